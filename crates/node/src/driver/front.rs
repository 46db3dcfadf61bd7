//! The side that dispatchers connect to: one thread accepts and reads for all of them. A thread for each connection
//! cost more than all else where the system stops and continues the process to keep it to a part of a core, for
//! then every thread is woken each time, also those that only wait.

use super::dispatchers::Connection;
use super::places::{Places, Socket};
use super::{CONNECT, Message, READ, spawn};
use crate::core::Event;
use crate::fastcgi;
use crate::log::log;
use crate::outward::ConnId;
use crate::room::Room;
use crossbeam_channel::{Receiver, Sender};
use rustix::buffer::spare_capacity;
use rustix::event::Timespec;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};

/// Sockets that are looked at after one wait, and connections accepted in a row.
const READY: usize = 64;
const ACCEPTED: usize = 16;
/// Between two tries to take a connection when there is no room for one.
const CROWDED: Duration = Duration::from_millis(20);
/// The listener's number; connections count from 1.
const LISTENER: u64 = 0;

/// The listening side, seen from the core.
pub struct Front {
    places: Arc<Places>,
    listen: SocketAddr,
    stopped: AtomicBool,
}

impl Front {
    /// Listens, and hands on what comes. Where another process listens on the same socket none is taken from it before the word
    /// comes that this one serves.
    pub fn open(
        listener: TcpListener,
        word: Option<Receiver<()>>,
        room: Room,
        events: Sender<Message>,
    ) -> io::Result<Arc<Front>> {
        listener.set_nonblocking(true)?;
        let places = Arc::new(Places::new(room));
        let stopped = AtomicBool::new(false);
        let front = Arc::new(Front { places, listen: listener.local_addr()?, stopped });
        log!("listening on {}", front.listen);
        let poll = epoll::create(CreateFlags::CLOEXEC)?;
        let reader = Reader {
            front: Arc::clone(&front),
            events,
            poll,
            listener: Some(listener),
            accepted: LISTENER,
            reading: HashMap::new(),
            resting: BinaryHeap::new(),
        };
        if word.is_none() {
            reader.look_at(LISTENER)?;
        }
        spawn("front", move || {
            if let Some(word) = word
                && let (Ok(()), Err(e)) = (word.recv(), reader.look_at(LISTENER))
            {
                log!("dispatcher: no connection is taken: {e}");
            }
            reader.serve();
        })?;
        Ok(front)
    }

    /// Takes no more connections; one of its own ends the wait for another.
    pub fn stop(&self) {
        self.stopped.store(true, SeqCst);
        let _ = TcpStream::connect_timeout(&self.listen, CONNECT);
    }
}

/// A connection as it is read.
struct Reading {
    socket: Arc<Socket>,
    parser: fastcgi::Parser,
    pause: Arc<AtomicU64>,
}

struct Reader {
    front: Arc<Front>,
    events: Sender<Message>,
    poll: OwnedFd,
    listener: Option<TcpListener>,
    accepted: u64,
    reading: HashMap<u64, Reading>,
    /// What is not looked at until then.
    resting: BinaryHeap<Reverse<(Instant, u64)>>,
}

impl Reader {
    fn serve(mut self) {
        let mut ready = Vec::with_capacity(READY);
        loop {
            let wait =
                self.resting.peek().map(|Reverse((due, _))| due.saturating_duration_since(Instant::now()));
            let wait = wait.and_then(|wait| Timespec::try_from(wait).ok());
            match epoll::wait(&self.poll, spare_capacity(&mut ready), wait.as_ref()) {
                Err(Errno::INTR) | Ok(_) => {}
                Err(e) => return log!("dispatcher: no more is read: {e}"),
            }
            for event in ready.drain(..) {
                match event.data.u64() {
                    LISTENER => self.accept(),
                    conn => self.read(conn),
                }
            }
            while self.resting.peek().is_some_and(|Reverse((due, _))| *due <= Instant::now()) {
                let Some(Reverse((_, number))) = self.resting.pop() else { break };
                if let Err(e) = self.look_at(number) {
                    log!("dispatcher: not read any more: {e}");
                    self.ended(number);
                }
            }
        }
    }

    /// Has a socket looked at when something comes.
    fn look_at(&self, number: u64) -> io::Result<()> {
        let data = EventData::new_u64(number);
        match (self.reading.get(&number), &self.listener) {
            (Some(reading), _) => epoll::add(&self.poll, &reading.socket.stream, data, EventFlags::IN)?,
            (None, Some(listener)) if number == LISTENER => {
                epoll::add(&self.poll, listener, data, EventFlags::IN)?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Has a socket not looked at for some time.
    fn rest(&mut self, number: u64, time: Duration) {
        let done = match (self.reading.get(&number), &self.listener) {
            (Some(reading), _) => epoll::delete(&self.poll, &reading.socket.stream),
            (None, Some(listener)) if number == LISTENER => epoll::delete(&self.poll, listener),
            _ => return,
        };
        if done.is_ok() {
            self.resting.push(Reverse((Instant::now() + time, number)));
        }
    }

    fn accept(&mut self) {
        for _ in 0..ACCEPTED {
            if self.front.stopped.load(SeqCst)
                && let Some(listener) = self.listener.take()
            {
                // Another process may have the same socket: then it stays open, and would be looked at without end.
                let _ = epoll::delete(&self.poll, &listener);
            }
            let Some(listener) = &self.listener else { return };
            let room = self.front.places.has_one();
            let accepted = if room { listener.accept() } else { Err(ErrorKind::QuotaExceeded.into()) };
            match accepted.and_then(|(stream, from)| self.connect(stream, from.ip())) {
                Ok(()) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => {
                    if room {
                        log!("dispatcher: no connection taken: {e}");
                    }
                    let _ = self.events.send(Message::Event(Event::Crowded));
                    return self.rest(LISTENER, CROWDED);
                }
            }
        }
    }

    fn connect(&mut self, stream: TcpStream, from: IpAddr) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.accepted += 1;
        let places = &self.front.places;
        let socket = Arc::new(Socket::new(stream, places));
        let pause = Arc::new(AtomicU64::new(0));
        let parser = fastcgi::Parser::new(places.room.connections, places.room.unfinished);
        let reading = Reading { socket: Arc::clone(&socket), parser, pause: Arc::clone(&pause) };
        self.reading.insert(self.accepted, reading);
        let connection = Connection::new(socket, pause);
        let _ = self.events.send(Message::Accepted(ConnId(self.accepted), from, connection));
        self.look_at(self.accepted).inspect_err(|_| self.ended(self.accepted))
    }

    fn read(&mut self, number: u64) {
        let Some(Reading { socket, parser, pause }) = self.reading.get_mut(&number) else { return };
        let mut buffer = [0; READ];
        let n = match recv(&socket.stream, &mut buffer, RecvFlags::DONTWAIT) {
            Err(Errno::INTR | Errno::AGAIN) => return,
            Err(_) => 0,
            Ok((n, _)) => n,
        };
        if n == 0 {
            return self.ended(number);
        }
        let fed = parser.feed(&buffer[..n], &mut |event| {
            let _ = self.events.send(Message::Event(Event::Front(ConnId(number), event)));
        });
        let pause = pause.load(SeqCst);
        if let Err(fastcgi::Broken(what)) = fed {
            log!("dispatcher: connection ended: {what}");
            self.ended(number);
        } else if pause > 0 {
            self.rest(number, Duration::from_nanos(pause));
        }
    }

    fn ended(&mut self, number: u64) {
        let Some(reading) = self.reading.remove(&number) else { return };
        let _ = epoll::delete(&self.poll, &reading.socket.stream); // the core or a writer may still hold it
        let _ = reading.socket.stream.shutdown(Shutdown::Both);
        drop(reading);
        let _ = self.events.send(Message::Event(Event::Disconnected(ConnId(number))));
    }
}
