//! The core's end of load balancers' connections. The core writes as much as a socket accepts without
//! blocking, and starts a writer thread for a connection whose socket does not accept everything.

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

/// Length of the queue of one connection's writer thread.
const QUEUED_REPLIES_MAX: usize = 2 * fastcgi::MAX_OPEN;
/// Maximum number of answers written with one system call.
const WRITE_BATCH: usize = 16;
/// Timeout of one write. A peer that accepts no byte within this time counts as gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// An item in the queue of a writer thread.
enum Outgoing {
    /// An answer to write.
    Reply(Reply),
    /// Closes the connection after all answers that were queued before.
    Close(Close),
}

/// The core's end of a connection.
pub struct Connection {
    number: ConnectionId,
    socket: Arc<Socket>,
    /// Sends commands to the reader, which closes connections.
    reader: ReaderHandle,
    /// Answers from the current turn of the event loop that are not written yet.
    replies: Vec<Reply>,
    /// The request to close the connection after the answers in `replies`, if there is one.
    close: Option<Close>,
    /// The queue of the writer thread, if one was started.
    writer: Option<Sender<Outgoing>>,
    /// Pause of the reader before each read, in nanoseconds.
    pause: Arc<AtomicU64>,
}

impl Connection {
    /// Creates the core's end of an accepted connection. The reader pauses for `pause` nanoseconds
    /// before each read.
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

    /// Adds an answer, which is written at the end of this turn.
    pub fn reply(&mut self, reply: Reply) {
        self.replies.push(reply);
    }

    /// Requests that the connection is closed after all answers added so far.
    pub fn close(&mut self, close: Close) {
        self.close = Some(close);
    }

    /// Sets the pause of the reader before each read, in nanoseconds.
    pub fn pace(&self, pause: u64) {
        self.pause.store(pause, SeqCst);
    }

    /// Writes the answers of this turn without blocking. Answers that the socket does not accept are
    /// queued for the writer thread.
    pub fn flush(&mut self) {
        while self.writer.is_none() && !self.replies.is_empty() {
            if let Err(e) = self.write_available() {
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

    /// Writes as much of the first answers as the socket accepts. Fails with `WouldBlock` if the
    /// socket does not accept all of them.
    fn write_available(&mut self) -> io::Result<()> {
        let batch = &self.replies[..self.replies.len().min(WRITE_BATCH)];
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
        let complete = batch.iter().take_while(|r| {
            let is_complete = r.size() <= written;
            written -= if is_complete { r.size() } else { 0 };
            is_complete
        });
        let complete = complete.count();
        self.replies.drain(..complete);
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
        let (queue, replies) = bounded(QUEUED_REPLIES_MAX);
        let (number, socket, reader) = (self.number, Arc::clone(&self.socket), self.reader.clone());
        spawn("write", move || write(number, &socket, &replies, &reader))?;
        self.writer = Some(queue);
        Ok(())
    }

    /// Ends the connection at once, because its peer does not accept answers.
    fn abort(&mut self) {
        self.replies.clear();
        let _ = self.socket.stream.shutdown(Shutdown::Both); // unblocks a writer
        self.reader.send(ReaderCommand::Abort(self.number));
    }
}

/// Writes answers until the core has dropped the queue. A request to close the connection is passed
/// to the reader once all answers queued before it are written.
fn write(
    number: ConnectionId,
    socket: &Socket,
    replies: &Receiver<Outgoing>,
    reader: &ReaderHandle,
) {
    let unwritten = &socket.slots.unwritten;
    while let Ok(first) = replies.recv() {
        let mut batch = Vec::with_capacity(WRITE_BATCH);
        let mut close = None;
        let mut next = Some(first);
        while let Some(outgoing) = next {
            match outgoing {
                Outgoing::Reply(reply) => batch.push(reply),
                Outgoing::Close(command) => close = Some(command),
            }
            next = if batch.len() < WRITE_BATCH && close.is_none() {
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
    // Answers that arrive before the core has handled the disconnect are dropped.
    for outgoing in replies {
        if let Outgoing::Reply(reply) = outgoing {
            unwritten.fetch_sub(reply.size(), SeqCst);
        }
    }
}
