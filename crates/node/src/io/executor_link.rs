//! The link to the kernel: one thread that connects and reads, and a writer for each link.

use super::{Addresses, CONNECT, Message, read_all, spawn, write_gathered};
use crate::executor;
use crate::log::part;
use crate::node::Event;
use crossbeam_channel::{Sender, bounded};
use std::io::{self, IoSlice};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tracing::warn;

/// Lines written with one call.
const GATHERED: usize = 16;
/// Between the starts of two links, or tries to make one.
const RETRY: Duration = Duration::from_millis(50);

/// The core's end of a link.
pub struct ExecutorLink {
    stream: Arc<TcpStream>,
    queue: Sender<String>,
}

impl ExecutorLink {
    /// Has a line written; false, and the link ends, if the kernel does not read.
    pub fn write(&self, line: String) -> bool {
        let taken = self.queue.try_send(line).is_ok();
        if !taken {
            warn!(target: part::EXECUTOR, "connection closed: the executor does not read");
            self.close();
        }
        taken
    }

    /// Ends the link; what was handed over may be lost.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Keeps a link to the kernel from here on.
pub fn start(addresses: Addresses, lines: usize, events: Sender<Message>) -> io::Result<()> {
    spawn("kernel", move || keep(&addresses, lines, &events))
}

fn keep(addresses: &Addresses, lines: usize, events: &Sender<Message>) {
    let mut reader = executor::Reader::default();
    let mut told = false;
    loop {
        let (begun, address) = (Instant::now(), addresses.load().executor);
        match TcpStream::connect_timeout(&address, CONNECT) {
            Ok(stream) => {
                told = false;
                if let Err(e) = read(Arc::new(stream), lines, &mut reader, events) {
                    warn!(target: part::EXECUTOR, error = %e, "connection failed");
                }
                let _ = events.send(Message::Event(Event::KernelLost));
            }
            Err(e) if !told => {
                told = true;
                warn!(target: part::EXECUTOR, error = %e, "connect failed");
            }
            Err(_) => {}
        }
        if addresses.load().executor == address {
            thread::sleep(RETRY.saturating_sub(begun.elapsed()));
        }
    }
}

fn read(
    stream: Arc<TcpStream>,
    most: usize,
    reader: &mut executor::Reader,
    events: &Sender<Message>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (queue, lines) = bounded::<String>(most);
    let writer = Arc::clone(&stream);
    spawn("kernel write", move || {
        while let Ok(first) = lines.recv() {
            let batch: Vec<_> = std::iter::once(first)
                .chain(lines.try_iter().take(GATHERED - 1))
                .collect();
            let mut slices: Vec<_> = batch
                .iter()
                .map(|line| IoSlice::new(line.as_bytes()))
                .collect();
            if write_gathered(&writer, &mut slices).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    })?;
    let link = ExecutorLink {
        stream: Arc::clone(&stream),
        queue,
    };
    let _ = events.send(Message::Linked(reader.open(), link));
    let feed = |bytes: &[u8]| {
        reader.feed(bytes, &mut |notice| {
            let _ = events.send(Message::Event(Event::Kernel(notice)));
        })
    };
    let read = read_all(&stream, feed);
    let _ = stream.shutdown(Shutdown::Both);
    read.map_err(io::Error::other)
}
