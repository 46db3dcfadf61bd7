//! The core's end of dispatchers' connections: it writes as much as a socket takes at once, and a
//! writer is started for one that does not take all.

use super::client_reader::{Order, Orders};
use super::connection_slots::Socket;
use super::{spawn, write_gathered};
use crate::actions::{Close, ConnectionId};
use crate::fastcgi::{self, Reply};
use crate::log::part;
use crossbeam_channel::{Receiver, Sender, bounded};
use rustix::net::{SendAncillaryBuffer, SendFlags, sendmsg};
use std::io::{self, ErrorKind, IoSlice};
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::Duration;
use tracing::warn;

/// Answers that may wait for one connection's writer, and answers written with one call.
const REPLIES: usize = 2 * fastcgi::MAX_OPEN;
const GATHERED: usize = 16;
/// Who takes no byte of an answer for so long is gone.
const UNREAD: Duration = Duration::from_secs(3);

enum Outgoing {
    Reply(Reply),
    Close(Close),
}

/// The core's end of a connection.
pub struct Connection {
    number: ConnectionId,
    socket: Arc<Socket>,
    /// The reader, which ends connections.
    reader: Orders,
    /// Answers of this turn, and the order to close the connection after them.
    replies: Vec<Reply>,
    closes: Option<Close>,
    writer: Option<Sender<Outgoing>>,
    /// Nanoseconds to wait before each reading.
    pause: Arc<AtomicU64>,
}

impl Connection {
    /// For a connection that was accepted; its reader waits for `pause` before each reading.
    pub fn new(
        number: ConnectionId,
        socket: Arc<Socket>,
        pause: Arc<AtomicU64>,
        reader: Orders,
    ) -> Connection {
        Connection {
            number,
            socket,
            reader,
            replies: Vec::new(),
            closes: None,
            writer: None,
            pause,
        }
    }

    /// Takes an answer, to be written with the others of this turn.
    pub fn reply(&mut self, reply: Reply) {
        self.replies.push(reply);
    }

    /// Has the connection closed after what was handed over is written.
    pub fn close(&mut self, close: Close) {
        self.closes = Some(close);
    }

    /// Has the reader wait before each reading.
    pub fn pace(&self, nanos: u64) {
        self.pause.store(nanos, SeqCst);
    }

    /// Writes the answers of this turn without waiting. What the socket does not take goes to a
    /// writer.
    pub fn flush(&mut self) {
        while self.writer.is_none() && !self.replies.is_empty() {
            if let Err(e) = self.write_now() {
                if e.kind() != ErrorKind::WouldBlock {
                    return self.end(); // the peer is gone
                }
                if let Err(e) = self.start_writer() {
                    warn!(target: part::LOAD_BALANCER, connection = self.number.0, error = %e, "connection closed: no writer thread could be started");
                    return self.end();
                }
            }
        }
        let closes = self.closes.take();
        let Some(writer) = &self.writer else {
            if closes.is_some_and(|close| !self.reader.give(Order::Close(self.number, close))) {
                self.end();
            }
            return;
        };
        for reply in std::mem::take(&mut self.replies) {
            let size = reply.size();
            let unread = self.socket.places.unread.fetch_add(size, SeqCst);
            if unread > self.socket.places.room.unread
                || writer.try_send(Outgoing::Reply(reply)).is_err()
            {
                self.socket.places.unread.fetch_sub(size, SeqCst);
                warn!(target: part::LOAD_BALANCER, connection = self.number.0, "connection closed: the peer does not read");
                return self.end();
            }
        }
        if closes.is_some_and(|close| writer.try_send(Outgoing::Close(close)).is_err()) {
            self.end();
        }
    }

    /// Writes what the socket takes of the first answers; `WouldBlock` if it does not take all of
    /// them.
    fn write_now(&mut self) -> io::Result<()> {
        let batch = &self.replies[..self.replies.len().min(GATHERED)];
        let slices: Vec<IoSlice<'_>> = batch
            .iter()
            .flat_map(Reply::slices)
            .filter(|s| !s.is_empty())
            .collect();
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        let mut written = match sendmsg(
            &self.socket.stream,
            &slices,
            &mut SendAncillaryBuffer::default(),
            flags,
        ) {
            Err(rustix::io::Errno::INTR) => 0,
            sent => sent?,
        };
        let whole = batch.iter().take_while(|r| {
            let all = r.size() <= written;
            written -= if all { r.size() } else { 0 };
            all
        });
        let whole = whole.count();
        self.replies.drain(..whole);
        if written > 0 {
            let bytes: Vec<u8> = self.replies[0]
                .slices()
                .iter()
                .flat_map(|s| s.iter().copied())
                .collect();
            self.replies[0] = Reply::raw(bytes[written..].to_vec());
            return Err(ErrorKind::WouldBlock.into());
        }
        Ok(())
    }

    fn start_writer(&mut self) -> io::Result<()> {
        self.socket.stream.set_write_timeout(Some(UNREAD))?;
        let (queue, replies) = bounded(REPLIES);
        let (number, socket, reader) = (self.number, Arc::clone(&self.socket), self.reader.clone());
        spawn("write", move || write(number, &socket, &replies, &reader))?;
        self.writer = Some(queue);
        Ok(())
    }

    /// Its peer takes no answers: there is nothing more to be done for it.
    fn end(&mut self) {
        self.replies.clear();
        let _ = self.socket.stream.shutdown(Shutdown::Both); // a writer that waits is to wait no longer
        self.reader.give(Order::Abort(self.number));
    }
}

/// Writes until the core lets go of the connection; orders to close it are handed on when all
/// before them is written.
fn write(number: ConnectionId, socket: &Socket, replies: &Receiver<Outgoing>, reader: &Orders) {
    let unread = &socket.places.unread;
    while let Ok(first) = replies.recv() {
        let mut batch = Vec::with_capacity(GATHERED);
        let mut close = None;
        let mut next = Some(first);
        while let Some(outgoing) = next {
            match outgoing {
                Outgoing::Reply(reply) => batch.push(reply),
                Outgoing::Close(order) => close = Some(order),
            }
            next = if batch.len() < GATHERED && close.is_none() {
                replies.try_recv().ok()
            } else {
                None
            };
        }
        let mut slices: Vec<_> = batch.iter().flat_map(Reply::slices).collect();
        let written = write_gathered(&socket.stream, &mut slices);
        unread.fetch_sub(batch.iter().map(Reply::size).sum(), SeqCst);
        let ordered = close.is_none_or(|close| reader.give(Order::Close(number, close)));
        if written.is_err() || !ordered {
            let _ = socket.stream.shutdown(Shutdown::Both);
            reader.give(Order::Abort(number));
            break;
        }
    }
    // What is still handed over until the core knows that the connection is gone waits for nobody.
    for outgoing in replies {
        if let Outgoing::Reply(reply) = outgoing {
            unread.fetch_sub(reply.size(), SeqCst);
        }
    }
}
