//! Dispatchers' connections: a thread that accepts, and a reader for each connection. The core writes as much as
//! a socket takes at once; a writer is started for one that does not take all.

use super::{CONNECT, Message, read_all, spawn, write_gathered};
use crate::core::{ConnId, Event};
use crate::fastcgi::{self, Reply};
use crate::log::log;
use crate::room::Room;
use crossbeam_channel::{Receiver, Sender, bounded};
use rustix::net::{SendAncillaryBuffer, SendFlags, sendmsg};
use std::io::{self, ErrorKind, IoSlice};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::thread;
use std::time::Duration;

/// Answers that may wait for one connection's writer, and answers written with one call.
const REPLIES: usize = 2 * fastcgi::MAX_OPEN;
const GATHERED: usize = 16;
/// Who takes no byte of an answer for so long is gone.
const UNREAD: Duration = Duration::from_secs(3);
/// Between two tries to take a connection when there is no room for one.
const CROWDED: Duration = Duration::from_millis(20);

enum Outgoing {
    Reply(Reply),
    Close,
}

/// A connection's socket, shared by its reader, its writer and the core. Its place is free again only when all
/// three have let go of it: until then it takes a descriptor.
struct Socket {
    stream: TcpStream,
    front: Arc<Front>,
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.front.open.fetch_sub(1, SeqCst);
    }
}

/// The core's end of a connection.
pub struct Connection {
    socket: Arc<Socket>,
    /// Answers of this turn, and whether the connection is to be closed after them.
    replies: Vec<Reply>,
    closes: bool,
    writer: Option<Sender<Outgoing>>,
    /// Nanoseconds to wait before each reading.
    pause: Arc<AtomicU64>,
}

impl Connection {
    /// Takes an answer, to be written with the others of this turn.
    pub fn reply(&mut self, reply: Reply) {
        self.replies.push(reply);
    }

    /// Closes the connection after what was handed over is written.
    pub fn close(&mut self) {
        self.closes = true;
    }

    /// Has the reader wait before each reading.
    pub fn pace(&self, nanos: u64) {
        self.pause.store(nanos, SeqCst);
    }

    /// Writes the answers of this turn without waiting. What the socket does not take goes to a writer.
    pub fn flush(&mut self) {
        while self.writer.is_none() && !self.replies.is_empty() {
            if let Err(e) = self.write_now() {
                if e.kind() != ErrorKind::WouldBlock {
                    return self.end(); // the peer is gone
                }
                if let Err(e) = self.start_writer() {
                    log!("dispatcher: connection ended, no writer: {e}");
                    return self.end();
                }
            }
        }
        let Some(writer) = &self.writer else {
            if self.closes {
                self.end();
            }
            return;
        };
        for reply in std::mem::take(&mut self.replies) {
            let size = reply.size();
            let unread = self.socket.front.unread.fetch_add(size, SeqCst);
            if unread > self.socket.front.room.unread || writer.try_send(Outgoing::Reply(reply)).is_err() {
                self.socket.front.unread.fetch_sub(size, SeqCst);
                log!("dispatcher: connection ended, its peer does not read");
                return self.end();
            }
        }
        if self.closes && writer.try_send(Outgoing::Close).is_err() {
            self.end();
        }
    }

    /// Writes what the socket takes of the first answers; `WouldBlock` if it does not take all of them.
    fn write_now(&mut self) -> io::Result<()> {
        let batch = &self.replies[..self.replies.len().min(GATHERED)];
        let slices: Vec<IoSlice<'_>> =
            batch.iter().flat_map(Reply::slices).filter(|s| !s.is_empty()).collect();
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        let mut written =
            match sendmsg(&self.socket.stream, &slices, &mut SendAncillaryBuffer::default(), flags) {
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
            let bytes: Vec<u8> = self.replies[0].slices().iter().flat_map(|s| s.iter().copied()).collect();
            self.replies[0] = Reply::raw(bytes[written..].to_vec());
            return Err(ErrorKind::WouldBlock.into());
        }
        Ok(())
    }

    fn start_writer(&mut self) -> io::Result<()> {
        self.socket.stream.set_write_timeout(Some(UNREAD))?;
        let (queue, replies) = bounded(REPLIES);
        let socket = Arc::clone(&self.socket);
        spawn("write", move || write(&socket.stream, &replies, &socket.front.unread))?;
        self.writer = Some(queue);
        Ok(())
    }

    fn end(&mut self) {
        self.replies.clear();
        let _ = self.socket.stream.shutdown(Shutdown::Both);
    }
}

/// The listening side.
pub struct Front {
    listen: SocketAddr,
    events: Sender<Message>,
    room: Room,
    /// Connections that are open.
    open: AtomicUsize,
    /// Bytes of answers that wait to be written.
    unread: AtomicUsize,
    stopped: AtomicBool,
}

impl Front {
    /// Listens, and hands on what comes.
    pub fn open(listen: SocketAddr, room: Room, events: Sender<Message>) -> io::Result<Arc<Front>> {
        let listener = TcpListener::bind(listen)?;
        let front = Arc::new(Front {
            listen: listener.local_addr()?,
            events,
            room,
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
            let room = self.open.load(SeqCst) < self.room.connections;
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
        self.open.fetch_add(1, SeqCst);
        let socket = Arc::new(Socket { stream, front: Arc::clone(self) });
        let pause = Arc::new(AtomicU64::new(0));
        let connection = Connection {
            socket: Arc::clone(&socket),
            replies: Vec::new(),
            closes: false,
            writer: None,
            pause: Arc::clone(&pause),
        };
        let _ = self.events.send(Message::Accepted(conn, connection));
        let reading = spawn("read", move || {
            socket.front.read(&socket.stream, conn, &pause);
            let _ = socket.stream.shutdown(Shutdown::Both);
            socket.front.disconnected(conn);
        });
        if reading.is_err() {
            self.disconnected(conn);
        }
        reading
    }

    fn read(&self, stream: &TcpStream, conn: ConnId, pause: &AtomicU64) {
        let mut parser = fastcgi::Parser::new(self.room.connections, self.room.unfinished);
        let feed = |bytes: &[u8]| {
            let read = parser.feed(bytes, &mut |event| {
                let _ = self.events.send(Message::Event(Event::Front(conn, event)));
            });
            let nanos = pause.load(SeqCst);
            if nanos > 0 {
                thread::sleep(Duration::from_nanos(nanos));
            }
            read
        };
        if let Err(fastcgi::Broken(what)) = read_all(stream, feed) {
            log!("dispatcher: connection ended: {what}");
        }
    }

    fn disconnected(&self, conn: ConnId) {
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
