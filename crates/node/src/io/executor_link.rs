//! The link to the executor: one thread that connects and reads, and one writer thread per
//! connection.

use super::executor_writer::ExecutorWriter;
use super::inbox::Message;
use super::stream::{Addresses, CONNECT_TIMEOUT, read_all, write_gathered};
use super::threads::spawn;
use crate::executor;
use crate::log::part;
use crate::node::Event;
use crossbeam_channel::{Receiver, Sender, bounded};
use std::io::{self, IoSlice};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tracing::warn;

/// Maximum number of lines written with one system call.
const WRITE_BATCH: usize = 16;
/// Minimum time between the starts of two attempts to connect.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the thread that keeps the executor connected. Up to `lines_max` lines are queued for
/// writing.
pub fn start(addresses: Addresses, lines_max: usize, events: Sender<Message>) -> io::Result<()> {
    spawn("executor", move || {
        keep_connected(&addresses, lines_max, &events);
    })
}

fn keep_connected(addresses: &Addresses, lines_max: usize, events: &Sender<Message>) {
    let mut reader = executor::Reader::default();
    let mut is_failure_logged = false;
    loop {
        let (begun, address) = (Instant::now(), addresses.load().executor);
        match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
            Ok(stream) => {
                is_failure_logged = false;
                if let Err(e) = read(Arc::new(stream), lines_max, &mut reader, events) {
                    warn!(target: part::EXECUTOR, error = %e, "connection failed");
                }
                let _ = events.send(Message::Event(Event::ExecutorDisconnected));
            }
            Err(e) if !is_failure_logged => {
                is_failure_logged = true;
                warn!(target: part::EXECUTOR, error = %e, "connect failed");
            }
            Err(_) => {}
        }
        if addresses.load().executor == address {
            thread::sleep(RETRY_INTERVAL.saturating_sub(begun.elapsed()));
        }
    }
}

/// Starts the writer of a connection, then reads the connection until it ends.
fn read(
    stream: Arc<TcpStream>,
    lines_max: usize,
    reader: &mut executor::Reader,
    events: &Sender<Message>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (queue, lines) = bounded::<String>(lines_max);
    let write_stream = Arc::clone(&stream);
    spawn("executor write", move || write(&write_stream, &lines))?;
    let writer = ExecutorWriter::new(Arc::clone(&stream), queue);
    let _ = events.send(Message::ExecutorConnected(reader.open(), writer));
    let feed = |bytes: &[u8]| {
        reader.feed(bytes, &mut |notice| {
            let _ = events.send(Message::Event(Event::Executor(notice)));
        })
    };
    let result = read_all(&stream, feed);
    let _ = stream.shutdown(Shutdown::Both);
    result.map_err(io::Error::other)
}

/// Writes lines until the core has dropped the queue or the connection fails.
fn write(stream: &TcpStream, lines: &Receiver<String>) {
    while let Ok(first) = lines.recv() {
        let batch: Vec<_> = std::iter::once(first)
            .chain(lines.try_iter().take(WRITE_BATCH - 1))
            .collect();
        let mut slices: Vec<_> = batch
            .iter()
            .map(|line| IoSlice::new(line.as_bytes()))
            .collect();
        if write_gathered(stream, &mut slices).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}
