//! Links to the backend. Each link has a thread that connects when there is a call to write, and one
//! reader thread per connection.

use super::inbox::Message;
use super::stream::{Addresses, CONNECT_TIMEOUT, READ_BUFFER_BYTES};
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

/// After this time without a command to a link, the core gets an event and may close the link's
/// connection. The backend may close idle connections, and a call written to one that was reset
/// cannot be told from a call whose reply was lost.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of one write. After each timeout the link checks whether a partly written call is still
/// wanted.
const WRITE_TIMEOUT: Duration = Duration::from_millis(50);
/// Number of consecutive write timeouts after which a connection fails.
const WRITE_TIMEOUTS_MAX: u32 = 20;
/// Timeout of one read while a reply is incomplete.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of consecutive read timeouts after which an incomplete reply counts as cut short.
const REPLY_TIMEOUTS_MAX: u32 = 5;

/// Maximum number of connections to earlier addresses that a link keeps open for their replies.
const RETIRED_CONNECTIONS_MAX: usize = 1;

/// Commands to a backend link.
pub enum BackendLinkCommand {
    /// Writes the bytes of a call if the token says that the call is still wanted.
    Call(CallId, RequestId, Vec<u8>, CallInterestToken),
    /// Writes the bytes that abandon a call, on all connections of the link.
    Cancel(Vec<u8>),
    /// Closes all connections. The next call opens a new one.
    Close,
}

/// Starts the thread of the link with this index and returns its queue of `commands_max` commands.
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
    spawn("backend", move || link.run(&commands))?;
    Ok(queue)
}

/// A backend link, with one current connection that is opened when a call needs it.
struct Link {
    addresses: Addresses,
    index: usize,
    events: Sender<Message>,
    /// Number of connections opened so far, which is also the number of the current connection.
    generation: u64,
    /// The current connection and its remote address.
    stream: Option<(SocketAddr, Arc<TcpStream>)>,
    /// Connections to earlier addresses of the backend, kept open so that their calls can still get
    /// replies.
    retired: Vec<Arc<TcpStream>>,
}

impl Link {
    fn run(mut self, queue: &Receiver<BackendLinkCommand>) {
        loop {
            match queue.recv_timeout(IDLE_TIMEOUT) {
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
                    self.close_retired(0);
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

    /// Writes the bytes that abandon a call to all connections; the backend ignores them on a
    /// connection without that call. A connection that accepted only part of the line is shut down,
    /// since nothing can follow it.
    fn cancel(&mut self, bytes: &[u8]) {
        let interest = CallInterest::default();
        let current = self.stream.iter().map(|(_, stream)| stream);
        for stream in current.chain(&self.retired) {
            if write_while_wanted(stream, bytes, &interest.token()).is_err() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Shuts down the oldest connections to earlier addresses until `kept` are left.
    fn close_retired(&mut self, kept: usize) {
        let excess = self.retired.len().saturating_sub(kept);
        self.retired
            .drain(..excess)
            .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    fn close(&mut self) {
        if let Some((_, stream)) = self.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Writes a whole call, if the call is still wanted. If a reused connection fails before it
    /// accepted the whole call, the backend has not run it, so the call is written on a new
    /// connection.
    fn write_call(&mut self, bytes: &[u8], token: &CallInterestToken) -> io::Result<BackendLink> {
        let is_reused = self.stream.is_some();
        let written = self
            .connect_current()
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

    fn connect_current(&mut self) -> Result<Arc<TcpStream>, WriteError> {
        let address = self
            .addresses
            .load()
            .backend
            .ok_or_else(|| io::Error::from(ErrorKind::AddrNotAvailable))?;
        match self.stream.take() {
            Some((remote, stream)) if remote == address => {
                self.stream = Some((remote, Arc::clone(&stream)));
                return Ok(stream);
            }
            Some((_, old)) => {
                self.retired.push(old);
                self.close_retired(RETIRED_CONNECTIONS_MAX);
            }
            None => {}
        }
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
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

/// Why a call was not written completely.
#[derive(Debug)]
enum WriteError {
    /// The call was no longer wanted, and none of its bytes were written.
    Unwanted,
    /// The connection failed and cannot be used any more.
    Failed(io::Error),
}

impl From<io::Error> for WriteError {
    fn from(e: io::Error) -> WriteError {
        WriteError::Failed(e)
    }
}

/// Writes with the stream's write timeout, unless the call is no longer wanted. A call may have
/// waited in the queue, or for the backend to read, while its execution went on without it. Such a
/// call must not reach the backend, which would take it for the execution's next call.
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
                let is_abandoned = written > 0 && !token.is_wanted();
                if timeouts >= WRITE_TIMEOUTS_MAX || is_abandoned {
                    return Err(WriteError::Failed(e)); // the rest of the call is not written
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
    let (mut parser, mut buffer) = (backend::Parser::default(), [0; READ_BUFFER_BYTES]);
    let (mut timeouts, mut was_partial) = (0, false);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(n) => {
                let mut on_reply = |reply| {
                    let _ = events.send(Message::Event(Event::BackendReply(link.place, reply)));
                };
                parser.feed(&buffer[..n], &mut on_reply)?;
                timeouts = 0;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            // An incomplete reply holds up all replies behind it.
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
