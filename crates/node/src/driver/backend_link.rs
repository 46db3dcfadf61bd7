//! Connections to the back end: each has a thread that connects when a call needs it and writes, and a reader.

use super::{Addresses, CONNECT, Message, read_all, spawn};
use crate::backend;
use crate::core::Event;
use crate::log::log;
use crate::outward::{BackendLink, CallNo};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use madderpoint::InvId;
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The core is told of a connection on which nothing was sent for so long. The back end closes idle ones after
/// 10 s, or earlier, or forgets them, and then a call meets a reset that may as well stand for a lost reply.
const IDLE: Duration = Duration::from_secs(1);

/// Connections to earlier addresses that a link keeps for their replies.
const RETIRED: usize = 1;

/// What a connection is asked for.
pub enum Below {
    Call(CallNo, InvId, Vec<u8>),
    Cancel(Vec<u8>),
    Rest,
}

/// Starts the thread for the link at this place.
pub fn start(
    addresses: Addresses,
    place: usize,
    room: usize,
    events: Sender<Message>,
) -> io::Result<Sender<Below>> {
    let (queue, calls) = bounded(room);
    let link = Link { addresses, place, events, made: 0, stream: None, retired: Vec::new() };
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
    /// Connections to where the back end was before. Their calls get their replies while it gives any.
    retired: Vec<Arc<TcpStream>>,
}

impl Link {
    fn serve(mut self, queue: &Receiver<Below>) {
        loop {
            match queue.recv_timeout(IDLE) {
                Ok(Below::Call(call, id, bytes)) => {
                    let event = match self.write_call(&bytes) {
                        Ok(link) => Event::CallWritten(call, id, link),
                        Err(_) => Event::CallUnsent(call, id),
                    };
                    let _ = self.events.send(Message::Event(event));
                }
                Ok(Below::Cancel(bytes)) => {
                    let current = self.stream.iter().map(|(_, stream)| stream);
                    for mut stream in current.chain(&self.retired).map(Arc::as_ref) {
                        let _ = stream.write_all(&bytes); // where no such call is, it means nothing
                    }
                }
                Ok(Below::Rest) => {
                    self.end_retired(0);
                    self.close();
                }
                Err(RecvTimeoutError::Timeout) if self.stream.is_some() => {
                    let _ = self.events.send(Message::Event(Event::BackendQuiet(self.place)));
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Ends the oldest connections to where the back end was before.
    fn end_retired(&mut self, but: usize) {
        let most = self.retired.len().saturating_sub(but);
        self.retired.drain(..most).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    fn close(&mut self) {
        if let Some((_, stream)) = self.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Writes a call whole. Where the connection ended before it took all of it, nothing ran, and the call
    /// goes out on a new one.
    fn write_call(&mut self, bytes: &[u8]) -> io::Result<BackendLink> {
        let kept = self.stream.is_some();
        let written = self.connected().and_then(|stream| (&*stream).write_all(bytes));
        if written.is_err() {
            self.close();
            if kept {
                return self.write_call(bytes);
            }
        }
        written.map(|()| BackendLink { place: self.place, generation: self.made })
    }

    fn connected(&mut self) -> io::Result<Arc<TcpStream>> {
        let address = self.addresses.load().backend.ok_or(ErrorKind::AddrNotAvailable)?;
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
        let stream = Arc::new(stream);
        self.made += 1;
        let (reader, events) = (Arc::clone(&stream), self.events.clone());
        let link = BackendLink { place: self.place, generation: self.made };
        spawn("back end read", move || read_replies(&reader, link, &events))?;
        self.stream = Some((address, Arc::clone(&stream)));
        Ok(stream)
    }
}

fn read_replies(stream: &TcpStream, link: BackendLink, events: &Sender<Message>) {
    let mut parser = backend::Parser::default();
    let feed = |bytes: &[u8]| {
        parser.feed(bytes, &mut |reply| {
            let _ = events.send(Message::Event(Event::Reply(link.place, reply)));
        })
    };
    if let Err(backend::Broken(what)) = read_all(stream, feed) {
        log!("back end: connection ended: {what}");
    }
    let _ = stream.shutdown(Shutdown::Both);
    let _ = events.send(Message::Event(Event::BackendLost(link)));
}
