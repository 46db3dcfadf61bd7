//! Dispatchers' connections: a thread that accepts, and a reader and a writer for each connection.

use super::{CONNECT, Message, read_all, spawn, write_gathered};
use crate::core::{ConnId, Event};
use crate::fastcgi::{self, Reply};
use crate::log::log;
use crossbeam_channel::{Receiver, Sender, bounded};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::thread;
use std::time::Duration;

/// Descriptors left for all that is no dispatcher's connection.
const RESERVED: usize = 24;
/// Answers that may wait for one connection's writer, and answers written with one call.
const REPLIES: usize = 2 * fastcgi::MAX_OPEN;
const GATHERED: usize = 16;
/// Bytes of answers that may wait in all. Who does not read what would exceed this is gone, and so is who
/// takes no byte for so long.
const UNREAD_BYTES: usize = 32 * 1024 * 1024;
const UNREAD: Duration = Duration::from_secs(30);
/// Between two tries to take a connection when there is no room for one.
const CROWDED: Duration = Duration::from_millis(20);

enum Outgoing {
    Reply(Reply),
    Close,
}

/// The core's end of a connection.
pub struct Connection {
    stream: Arc<TcpStream>,
    queue: Sender<Outgoing>,
    front: Arc<Front>,
}

impl Connection {
    /// Has an answer written; ends a connection whose peer does not read.
    pub fn reply(&self, reply: Reply) {
        let size = reply.size();
        let unread = self.front.unread.fetch_add(size, SeqCst);
        if unread > UNREAD_BYTES || self.queue.try_send(Outgoing::Reply(reply)).is_err() {
            self.front.unread.fetch_sub(size, SeqCst);
            log!("dispatcher: connection ended, its peer does not read");
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes the connection after what was handed over is written.
    pub fn close(&self) {
        if self.queue.try_send(Outgoing::Close).is_err() {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

/// The listening side.
pub struct Front {
    listen: SocketAddr,
    events: Sender<Message>,
    /// Connections that may be open, and those that are.
    most: usize,
    open: AtomicUsize,
    /// Bytes of answers that wait to be written.
    unread: AtomicUsize,
    stopped: AtomicBool,
}

impl Front {
    /// Listens; of the process's descriptors all but a few may become connections.
    pub fn open(listen: SocketAddr, descriptors: usize, events: Sender<Message>) -> io::Result<Arc<Front>> {
        let listener = TcpListener::bind(listen)?;
        let front = Arc::new(Front {
            listen: listener.local_addr()?,
            events,
            most: descriptors.saturating_sub(RESERVED).max(1),
            open: AtomicUsize::new(0),
            unread: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        });
        log!("listening on {}", front.listen);
        let accepting = Arc::clone(&front);
        spawn("accept", move || accepting.accept(&listener))?;
        Ok(front)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        let mut next = 0;
        loop {
            let room = self.open.load(SeqCst) < self.most;
            let accepted = if room { listener.accept() } else { Err(ErrorKind::QuotaExceeded.into()) };
            if self.stopped.load(SeqCst) {
                return;
            }
            next += 1;
            let taken = accepted.and_then(|(stream, _)| self.connect(ConnId(next), stream));
            if let Err(e) = taken {
                if room {
                    log!("dispatcher: no connection taken: {e}");
                }
                let _ = self.events.send(Message::Event(Event::Crowded));
                thread::sleep(CROWDED);
            }
        }
    }

    fn connect(self: &Arc<Self>, conn: ConnId, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(UNREAD))?;
        let stream = Arc::new(stream);
        let (queue, replies) = bounded(REPLIES);
        let (front, writer) = (Arc::clone(self), Arc::clone(&stream));
        spawn("write", move || write(&writer, &replies, &front.unread))?;
        self.open.fetch_add(1, SeqCst);
        let connection = Connection { stream: Arc::clone(&stream), queue, front: Arc::clone(self) };
        let _ = self.events.send(Message::Accepted(conn, connection));
        let front = Arc::clone(self);
        let reading = spawn("read", move || {
            front.read(&stream, conn);
            let _ = stream.shutdown(Shutdown::Both);
            drop(stream);
            front.disconnected(conn);
        });
        if reading.is_err() {
            self.disconnected(conn);
        }
        reading
    }

    fn read(&self, stream: &TcpStream, conn: ConnId) {
        let mut parser = fastcgi::Parser::new(self.most);
        let feed = |bytes: &[u8]| {
            parser.feed(bytes, &mut |event| {
                let _ = self.events.send(Message::Event(Event::Front(conn, event)));
            })
        };
        if let Err(fastcgi::Broken(what)) = read_all(stream, feed) {
            log!("dispatcher: connection ended: {what}");
        }
    }

    fn disconnected(&self, conn: ConnId) {
        self.open.fetch_sub(1, SeqCst);
        let _ = self.events.send(Message::Event(Event::Disconnected(conn)));
    }

    /// Takes no more connections; one of its own ends the wait for another.
    pub fn stop(&self) {
        self.stopped.store(true, SeqCst);
        let _ = TcpStream::connect_timeout(&self.listen, CONNECT);
    }
}

fn write(stream: &TcpStream, replies: &Receiver<Outgoing>, unread: &AtomicUsize) {
    while let Ok(first) = replies.recv() {
        let mut batch = Vec::with_capacity(GATHERED);
        let mut close = false;
        let mut next = Some(first);
        while let Some(outgoing) = next {
            match outgoing {
                Outgoing::Reply(reply) => batch.push(reply),
                Outgoing::Close => close = true,
            }
            next = if batch.len() < GATHERED && !close { replies.try_recv().ok() } else { None };
        }
        let mut slices: Vec<_> = batch.iter().flat_map(Reply::slices).collect();
        let written = write_gathered(stream, &mut slices);
        unread.fetch_sub(batch.iter().map(Reply::size).sum(), SeqCst);
        if written.is_err() || close {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    // What is still handed over until the core knows that the connection is gone waits for nobody.
    for outgoing in replies {
        if let Outgoing::Reply(reply) = outgoing {
            unread.fetch_sub(reply.size(), SeqCst);
        }
    }
}
