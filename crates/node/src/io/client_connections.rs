//! The core's end of load balancers' connections: it writes as much as a socket takes at once, and
//! starts a writer thread for one that does not take all.

use super::connection_slots::Socket;
use super::reader_commands::{ReaderCommand, ReaderHandle};
use super::stream::write_gathered;
use super::threads::spawn;
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

/// Answers that may wait for one connection's writer.
const REPLIES_MAX: usize = 2 * fastcgi::MAX_OPEN;
/// Answers written with one call.
const GATHERED: usize = 16;
/// Timeout of one write: a peer that takes no byte in that time is gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// What a writer is given.
enum Outgoing {
    /// An answer.
    Reply(Reply),
    /// The command to close the connection after all answers before it.
    Close(Close),
}

/// The core's end of a connection.
pub struct Connection {
    number: ConnectionId,
    socket: Arc<Socket>,
    /// The reader, which closes connections.
    reader: ReaderHandle,
    /// Answers of this turn.
    replies: Vec<Reply>,
    /// The command to close the connection after them.
    close: Option<Close>,
    /// The queue of the writer thread, once one was needed.
    writer: Option<Sender<Outgoing>>,
    /// How long the reader waits before each reading, in nanoseconds.
    pause: Arc<AtomicU64>,
}

impl Connection {
    /// For a connection that was accepted. Its reader waits for `pause` nanoseconds before each
    /// reading.
    pub fn new(
        number: ConnectionId,
        socket: Arc<Socket>,
        pause: Arc<AtomicU64>,
        reader: ReaderHandle,
    ) -> Connection {
        Connection {
            number,
            socket,
            reader,
            replies: Vec::new(),
            close: None,
            writer: None,
            pause,
        }
    }

    /// Adds an answer to those that are written at the end of this turn.
    pub fn reply(&mut self, reply: Reply) {
        self.replies.push(reply);
    }

    /// Has the connection closed after all answers so far.
    pub fn close(&mut self, close: Close) {
        self.close = Some(close);
    }

    /// Has the reader wait before each reading; `pause` in nanoseconds.
    pub fn pace(&self, pause: u64) {
        self.pause.store(pause, SeqCst);
    }

    /// Writes the answers of this turn without waiting. What the socket does not take goes to a
    /// writer.
    pub fn flush(&mut self) {
        while self.writer.is_none() && !self.replies.is_empty() {
            if let Err(e) = self.write_now() {
                if e.kind() != ErrorKind::WouldBlock {
                    return self.abort(); // the peer is gone
                }
                if let Err(e) = self.start_writer() {
                    warn!(
                        target: part::LOAD_BALANCER,
                        connection = self.number.0,
                        error = %e,
                        "connection closed: no writer thread could be started"
                    );
                    return self.abort();
                }
            }
        }
        let close = self.close.take();
        let Some(writer) = &self.writer else {
            if close
                .is_some_and(|close| !self.reader.send(ReaderCommand::Close(self.number, close)))
            {
                self.abort();
            }
            return;
        };
        for reply in std::mem::take(&mut self.replies) {
            let size = reply.size();
            let unwritten = self.socket.slots.unwritten.fetch_add(size, SeqCst);
            if unwritten > self.socket.slots.capacity.unread_answer_bytes
                || writer.try_send(Outgoing::Reply(reply)).is_err()
            {
                self.socket.slots.unwritten.fetch_sub(size, SeqCst);
                warn!(
                    target: part::LOAD_BALANCER,
                    connection = self.number.0,
                    "connection closed: the peer does not read"
                );
                return self.abort();
            }
        }
        if close.is_some_and(|close| writer.try_send(Outgoing::Close(close)).is_err()) {
            self.abort();
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
        self.socket.stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let (queue, replies) = bounded(REPLIES_MAX);
        let (number, socket, reader) = (self.number, Arc::clone(&self.socket), self.reader.clone());
        spawn("write", move || write(number, &socket, &replies, &reader))?;
        self.writer = Some(queue);
        Ok(())
    }

    /// The peer takes no answers: the connection ends at once.
    fn abort(&mut self) {
        self.replies.clear();
        let _ = self.socket.stream.shutdown(Shutdown::Both); // so that a blocked writer returns
        self.reader.send(ReaderCommand::Abort(self.number));
    }
}

/// Writes until the core has dropped the queue. A command to close it is passed to the reader
/// when all answers before it are written.
fn write(
    number: ConnectionId,
    socket: &Socket,
    replies: &Receiver<Outgoing>,
    reader: &ReaderHandle,
) {
    let unwritten = &socket.slots.unwritten;
    while let Ok(first) = replies.recv() {
        let mut batch = Vec::with_capacity(GATHERED);
        let mut close = None;
        let mut next = Some(first);
        while let Some(outgoing) = next {
            match outgoing {
                Outgoing::Reply(reply) => batch.push(reply),
                Outgoing::Close(command) => close = Some(command),
            }
            next = if batch.len() < GATHERED && close.is_none() {
                replies.try_recv().ok()
            } else {
                None
            };
        }
        let mut slices: Vec<_> = batch.iter().flat_map(Reply::slices).collect();
        let written = write_gathered(&socket.stream, &mut slices);
        unwritten.fetch_sub(batch.iter().map(Reply::size).sum(), SeqCst);
        let is_passed_on =
            close.is_none_or(|close| reader.send(ReaderCommand::Close(number, close)));
        if written.is_err() || !is_passed_on {
            let _ = socket.stream.shutdown(Shutdown::Both);
            reader.send(ReaderCommand::Abort(number));
            break;
        }
    }
    // Answers that come until the core knows that the connection is gone are dropped.
    for outgoing in replies {
        if let Outgoing::Reply(reply) = outgoing {
            unwritten.fetch_sub(reply.size(), SeqCst);
        }
    }
}
