//! Links to the backend: each has a thread that connects when a call needs it and writes, and a
//! reader for each connection.

use super::inbox::Message;
use super::stream::{Addresses, CONNECT, READ};
use super::threads::spawn;
use crate::actions::{BackendLink, CallId, CallInterest, CallInterestToken};
use crate::backend;
use crate::log::part;
use crate::node::Event;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use madderpoint::RequestId;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tracing::warn;

/// After this time without a command the core gets an event, and may have the connection closed:
/// the backend may close idle connections, and a call that meets the reset looks like one whose
/// reply was lost.
const IDLE: Duration = Duration::from_secs(1);

/// Timeout of one write. After each it is looked whether a call that was written in part is still
/// wanted.
const WRITE_TIMEOUT: Duration = Duration::from_millis(50);
/// Writes in a row that time out on a backend that does not read.
const WRITE_TIMEOUTS_MAX: u32 = 20;
/// Timeout of one read after a part of a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Reads in a row that time out on a reply that is cut short.
const REPLY_TIMEOUTS_MAX: u32 = 5;

/// Connections to earlier addresses that a link keeps for their replies.
const RETIRED_MAX: usize = 1;

/// What a link is asked for.
pub enum BackendLinkCommand {
    /// To write a call, given by its bytes, while it is wanted.
    Call(CallId, RequestId, Vec<u8>, CallInterestToken),
    /// To write the bytes that abandon a call, on all connections.
    Cancel(Vec<u8>),
    /// To end all connections until another call is made.
    Close,
}

/// Starts the thread of the link with this index; `commands_max` commands may wait for it.
pub fn start(
    addresses: Addresses,
    index: usize,
    commands_max: usize,
    events: Sender<Message>,
) -> io::Result<Sender<BackendLinkCommand>> {
    let (queue, commands) = bounded(commands_max);
    let link = Link {
        addresses,
        index,
        events,
        generation: 0,
        stream: None,
        retired: Vec::new(),
    };
    spawn("backend", move || link.serve(&commands))?;
    Ok(queue)
}

/// A link: one connection at a time, made when a call needs it.
struct Link {
    addresses: Addresses,
    index: usize,
    events: Sender<Message>,
    /// Connections made so far; the number of the present one.
    generation: u64,
    /// The connection, and where it leads.
    stream: Option<(SocketAddr, Arc<TcpStream>)>,
    /// Connections to the backend's earlier addresses. Their calls get their replies while it gives
    /// any.
    retired: Vec<Arc<TcpStream>>,
}

impl Link {
    fn serve(mut self, queue: &Receiver<BackendLinkCommand>) {
        loop {
            match queue.recv_timeout(IDLE) {
                Ok(BackendLinkCommand::Call(call, id, bytes, token)) => {
                    let event = match self.write_call(&bytes, &token) {
                        Ok(link) => Event::BackendCallWritten {
                            call,
                            request: id,
                            link,
                        },
                        Err(_) => Event::BackendCallNotSent(call, id),
                    };
                    let _ = self.events.send(Message::Event(event));
                }
                Ok(BackendLinkCommand::Cancel(bytes)) => self.cancel(&bytes),
                Ok(BackendLinkCommand::Close) => {
                    self.end_retired(0);
                    self.close();
                }
                Err(RecvTimeoutError::Timeout) if self.stream.is_some() => {
                    let _ = self
                        .events
                        .send(Message::Event(Event::BackendIdle(self.index)));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Abandons a call; on a connection without the call it means nothing. A connection that took a
    /// part of the line only is of no further use.
    fn cancel(&mut self, bytes: &[u8]) {
        let interest = CallInterest::default();
        let current = self.stream.iter().map(|(_, stream)| stream);
        for stream in current.chain(&self.retired) {
            if write_while_wanted(stream, bytes, &interest.token()).is_err() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Ends the oldest connections to earlier addresses, until `kept` are left.
    fn end_retired(&mut self, kept: usize) {
        let ended = self.retired.len().saturating_sub(kept);
        self.retired
            .drain(..ended)
            .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    fn close(&mut self) {
        if let Some((_, stream)) = self.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Writes a whole call, if it is still wanted. Where an old connection ended before it took all
    /// of it, nothing ran, and the call is written on a new one.
    fn write_call(&mut self, bytes: &[u8], token: &CallInterestToken) -> io::Result<BackendLink> {
        let is_reused = self.stream.is_some();
        let written = self
            .connected()
            .and_then(|stream| write_while_wanted(&stream, bytes, token));
        match written {
            Ok(()) => Ok(BackendLink {
                place: self.index,
                generation: self.generation,
            }),
            Err(WriteError::Unwanted) => Err(ErrorKind::TimedOut.into()),
            Err(WriteError::Failed(e)) => {
                self.close();
                if is_reused && token.is_wanted() {
                    self.write_call(bytes, token)
                } else {
                    Err(e)
                }
            }
        }
    }

    fn connected(&mut self) -> Result<Arc<TcpStream>, WriteError> {
        let address = self
            .addresses
            .load()
            .backend
            .ok_or_else(|| io::Error::from(ErrorKind::AddrNotAvailable))?;
        match self.stream.take() {
            Some((to, stream)) if to == address => {
                self.stream = Some((to, Arc::clone(&stream)));
                return Ok(stream);
            }
            Some((_, old)) => {
                self.retired.push(old);
                self.end_retired(RETIRED_MAX);
            }
            None => {}
        }
        let stream = TcpStream::connect_timeout(&address, CONNECT)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let stream = Arc::new(stream);
        self.generation += 1;
        let (reader, events) = (Arc::clone(&stream), self.events.clone());
        let link = BackendLink {
            place: self.index,
            generation: self.generation,
        };
        spawn("backend read", move || read_replies(&reader, link, &events))?;
        self.stream = Some((address, Arc::clone(&stream)));
        Ok(stream)
    }
}

/// Why a call was not written whole.
#[derive(Debug)]
enum WriteError {
    /// It was no longer wanted, and no byte of it was written.
    Unwanted,
    /// The connection is of no further use.
    Failed(io::Error),
}

impl From<io::Error> for WriteError {
    fn from(e: io::Error) -> WriteError {
        WriteError::Failed(e)
    }
}

/// Writes with the timeout that the stream has. A call that waited for its turn or for the backend
/// to read, and whose execution has gone on meanwhile, must not reach the backend any more: it would
/// be taken for the execution's next call.
fn write_while_wanted(
    mut stream: &TcpStream,
    bytes: &[u8],
    token: &CallInterestToken,
) -> Result<(), WriteError> {
    let (mut written, mut timeouts) = (0, 0);
    while written < bytes.len() {
        if written == 0 && !token.is_wanted() {
            return Err(WriteError::Unwanted);
        }
        match stream.write(&bytes[written..]) {
            Ok(0) => return Err(WriteError::Failed(ErrorKind::WriteZero.into())),
            Ok(n) => (written, timeouts) = (written + n, 0),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                timeouts += 1;
                let is_in_vain = written > 0 && !token.is_wanted();
                if timeouts >= WRITE_TIMEOUTS_MAX || is_in_vain {
                    return Err(WriteError::Failed(e)); // the rest of the call is never written
                }
            }
            Err(e) => return Err(WriteError::Failed(e)),
        }
    }
    Ok(())
}

fn read_replies(stream: &TcpStream, link: BackendLink, events: &Sender<Message>) {
    let cause = read_whole_replies(stream, link, events).err();
    if let Some(cause) = cause {
        warn!(
            target: part::BACKEND,
            link = link.place,
            error = %cause,
            "connection closed: protocol error"
        );
    }
    let _ = stream.shutdown(Shutdown::Both);
    let _ = events.send(Message::Event(Event::BackendDisconnected(link, cause)));
}

fn read_whole_replies(
    mut stream: &TcpStream,
    link: BackendLink,
    events: &Sender<Message>,
) -> Result<(), backend::ReadError> {
    let (mut parser, mut buffer) = (backend::Parser::default(), [0; READ]);
    let (mut timeouts, mut was_partial) = (0, false);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(n) => {
                let mut sink = |reply| {
                    let _ = events.send(Message::Event(Event::BackendReply(link.place, reply)));
                };
                parser.feed(&buffer[..n], &mut sink)?;
                timeouts = 0;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            // The rest of a reply does not come, and all other replies wait behind it.
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                timeouts += 1;
                if timeouts >= REPLY_TIMEOUTS_MAX {
                    return Err(backend::ReadError::CutShort);
                }
            }
            Err(_) => return Ok(()),
        }
        if std::mem::replace(&mut was_partial, parser.is_partial()) != parser.is_partial() {
            let _ = stream.set_read_timeout(parser.is_partial().then_some(REPLY_TIMEOUT));
        }
    }
}

#[cfg(test)]
mod tests;
