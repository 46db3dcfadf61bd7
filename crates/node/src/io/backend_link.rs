//! Connections to the back end: each has a thread that connects when a call needs it and writes,
//! and a reader.

use super::{Addresses, CONNECT, Message, READ, spawn};
use crate::actions::{BackendLink, CallId, Wanted, Wants};
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

/// The core is told of a connection on which nothing was sent for so long. The back end closes idle
/// ones after 10 s, or earlier, or forgets them, and then a call meets a reset that may as well
/// stand for a lost reply.
const IDLE: Duration = Duration::from_secs(1);

/// A back end that takes no byte for so many times so long does not read; between them it is seen
/// whether a call that was written in part is still wanted.
const BLOCKED: Duration = Duration::from_millis(50);
const BLOCKED_MOST: u32 = 20;
/// A reply of which a part has come, and for so many times so long nothing more, was cut.
const CUT: Duration = Duration::from_millis(200);
const CUT_MOST: u32 = 5;

/// Connections to earlier addresses that a link keeps for their replies.
const RETIRED: usize = 1;

/// What a connection is asked for.
pub enum BackendLinkCommand {
    Call(CallId, RequestId, Vec<u8>, Wanted),
    Cancel(Vec<u8>),
    Rest,
}

/// Starts the thread for the link at this place.
pub fn start(
    addresses: Addresses,
    place: usize,
    room: usize,
    events: Sender<Message>,
) -> io::Result<Sender<BackendLinkCommand>> {
    let (queue, calls) = bounded(room);
    let link = Link {
        addresses,
        place,
        events,
        made: 0,
        stream: None,
        retired: Vec::new(),
    };
    spawn("back end", move || link.serve(&calls))?;
    Ok(queue)
}

/// One connection to the back end, made when a call needs it.
struct Link {
    addresses: Addresses,
    place: usize,
    events: Sender<Message>,
    made: u64,
    /// The connection, and where it leads.
    stream: Option<(SocketAddr, Arc<TcpStream>)>,
    /// Connections to where the back end was before. Their calls get their replies while it gives
    /// any.
    retired: Vec<Arc<TcpStream>>,
}

impl Link {
    fn serve(mut self, queue: &Receiver<BackendLinkCommand>) {
        loop {
            match queue.recv_timeout(IDLE) {
                Ok(BackendLinkCommand::Call(call, id, bytes, wanted)) => {
                    let event = match self.write_call(&bytes, &wanted) {
                        Ok(link) => Event::CallWritten(call, id, link),
                        Err(_) => Event::CallUnsent(call, id),
                    };
                    let _ = self.events.send(Message::Event(event));
                }
                Ok(BackendLinkCommand::Cancel(bytes)) => self.cancel(&bytes),
                Ok(BackendLinkCommand::Rest) => {
                    self.end_retired(0);
                    self.close();
                }
                Err(RecvTimeoutError::Timeout) if self.stream.is_some() => {
                    let _ = self
                        .events
                        .send(Message::Event(Event::BackendQuiet(self.place)));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Gives a call up; where no such call is, it means nothing. A part of the line would spoil the
    /// next one.
    fn cancel(&mut self, bytes: &[u8]) {
        let wants = Wants::default();
        let current = self.stream.iter().map(|(_, stream)| stream);
        for stream in current.chain(&self.retired) {
            if write_while_wanted(stream, bytes, &wants.wanted()).is_err() {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Ends the oldest connections to where the back end was before.
    fn end_retired(&mut self, but: usize) {
        let most = self.retired.len().saturating_sub(but);
        self.retired
            .drain(..most)
            .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    fn close(&mut self) {
        if let Some((_, stream)) = self.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Writes a call whole, if it is wanted still. Where the connection ended before it took all of
    /// it, nothing ran, and the call goes out on a new one.
    fn write_call(&mut self, bytes: &[u8], wanted: &Wanted) -> io::Result<BackendLink> {
        let kept = self.stream.is_some();
        let written = self
            .connected()
            .and_then(|stream| write_while_wanted(&stream, bytes, wanted));
        match written {
            Ok(()) => Ok(BackendLink {
                place: self.place,
                generation: self.made,
            }),
            Err(Unwritten::Untouched) => Err(ErrorKind::TimedOut.into()),
            Err(Unwritten::Broken(e)) => {
                self.close();
                if kept && wanted.is_so() {
                    self.write_call(bytes, wanted)
                } else {
                    Err(e)
                }
            }
        }
    }

    fn connected(&mut self) -> Result<Arc<TcpStream>, Unwritten> {
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
                self.end_retired(RETIRED);
            }
            None => {}
        }
        let stream = TcpStream::connect_timeout(&address, CONNECT)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(BLOCKED))?;
        let stream = Arc::new(stream);
        self.made += 1;
        let (reader, events) = (Arc::clone(&stream), self.events.clone());
        let link = BackendLink {
            place: self.place,
            generation: self.made,
        };
        spawn("back end read", move || {
            read_replies(&reader, link, &events)
        })?;
        self.stream = Some((address, Arc::clone(&stream)));
        Ok(stream)
    }
}

/// Why a call was not written whole.
#[derive(Debug)]
enum Unwritten {
    /// It was not wanted any more, and no byte of it was written.
    Untouched,
    /// The connection is of no further use.
    Broken(io::Error),
}

impl From<io::Error> for Unwritten {
    fn from(e: io::Error) -> Unwritten {
        Unwritten::Broken(e)
    }
}

/// Writes to a connection that makes nobody wait for long. A call that waited for its turn or for
/// the back end to read, and whose run has gone on meanwhile, must not reach the back end any more:
/// it would be taken for the run's next one.
fn write_while_wanted(
    mut stream: &TcpStream,
    bytes: &[u8],
    wanted: &Wanted,
) -> Result<(), Unwritten> {
    let (mut written, mut blocked) = (0, 0);
    while written < bytes.len() {
        if written == 0 && !wanted.is_so() {
            return Err(Unwritten::Untouched);
        }
        match stream.write(&bytes[written..]) {
            Ok(0) => return Err(Unwritten::Broken(ErrorKind::WriteZero.into())),
            Ok(n) => (written, blocked) = (written + n, 0),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                blocked += 1;
                let in_vain = written > 0 && !wanted.is_so();
                if blocked >= BLOCKED_MOST || in_vain {
                    return Err(Unwritten::Broken(e)); // the rest of the call is never written
                }
            }
            Err(e) => return Err(Unwritten::Broken(e)),
        }
    }
    Ok(())
}

fn read_replies(stream: &TcpStream, link: BackendLink, events: &Sender<Message>) {
    let cause = read_whole_replies(stream, link, events).err();
    if let Some(cause) = cause {
        warn!(target: part::BACKEND, link = link.place, error = %cause, "connection closed: protocol error");
    }
    let _ = stream.shutdown(Shutdown::Both);
    let _ = events.send(Message::Event(Event::BackendLost(
        link,
        cause.map(backend::ReadError::as_str),
    )));
}

fn read_whole_replies(
    mut stream: &TcpStream,
    link: BackendLink,
    events: &Sender<Message>,
) -> Result<(), backend::ReadError> {
    let (mut parser, mut buffer) = (backend::Parser::default(), [0; READ]);
    let (mut waits, mut was_partial) = (0, false);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(n) => {
                let mut hand = |reply| {
                    let _ = events.send(Message::Event(Event::Reply(link.place, reply)));
                };
                parser.feed(&buffer[..n], &mut hand)?;
                waits = 0;
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            // Nothing has come for a while after a part of a reply: all other replies wait behind
            // it.
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                waits += 1;
                if waits >= CUT_MOST {
                    return Err(backend::ReadError::CutShort);
                }
            }
            Err(_) => return Ok(()),
        }
        if std::mem::replace(&mut was_partial, parser.is_partial()) != parser.is_partial() {
            let _ = stream.set_read_timeout(parser.is_partial().then_some(CUT));
        }
    }
}

#[cfg(test)]
mod tests;
