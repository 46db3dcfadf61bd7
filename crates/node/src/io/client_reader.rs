//! The side that dispatchers connect to: one thread accepts and reads for all of them. A thread for
//! each connection cost more than all else where the system stops and continues the process to keep
//! it to a part of a core, for then every thread is woken each time, also those that only wait.
//!
//! It also ends connections. The core orders a close; only here is it known whether something has
//! come that the core has not heard of, and then the order is void. What is closed lingers: nothing
//! more is written, and what still comes is read and dropped until the peer ends its side too, for
//! a close over unread bytes resets the connection, and answers that the peer has not read go with
//! it.

use super::client_connections::Connection;
use super::connection_slots::{Places, Socket};
use super::{Message, READ, spawn};
use crate::actions::{Close, ConnectionId};
use crate::capacity::CapacityLimits;
use crate::fastcgi;
use crate::log::part;
use crate::node::Event;
use crossbeam_channel::{Receiver, Sender, bounded};
use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::{EventfdFlags, Timespec, eventfd};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};
use tracing::{error, info, warn};

/// Sockets that are looked at after one wait, and connections accepted in a row.
const READY: usize = 64;
const ACCEPTED: usize = 16;
/// Between two tries to take a connection when there is no room for one, unless one is given back
/// sooner.
const CROWDED: Duration = Duration::from_millis(20);
/// A connection that is closed has so long to be ended by its peer, and so many bytes of it are
/// read meanwhile. None of it where there is no room for another connection.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 64 * 1024;
/// Readings at most before a close: a peer that sends without end is closed all the same.
const LAST_READINGS: usize = 16;
/// The listener's number and the bell's; connections count from 1.
const LISTENER: u64 = 0;
const BELL: u64 = u64::MAX;

/// What the reader is asked for.
pub enum Order {
    /// To end a connection, if nothing has come on it that the core has not heard of.
    Close(ConnectionId, Close),
    /// To read nothing more on a connection, but what a peer that is not paced has sent by now.
    Deafen(ConnectionId),
    /// To let go of a connection at once: its peer takes no answers.
    Abort(ConnectionId),
    /// To take what waits in the listen backlog, and then no more connections.
    Stop,
}

/// Where the reader is asked. It never makes anybody wait.
#[derive(Clone)]
pub struct Orders {
    queue: Sender<Order>,
    bell: Arc<OwnedFd>,
}

impl Orders {
    /// Asks; false if too much was asked for already.
    pub fn give(&self, order: Order) -> bool {
        let taken = self.queue.try_send(order).is_ok();
        self.ring();
        taken
    }

    /// Wakes the reader.
    pub fn ring(&self) {
        let _ = rustix::io::write(&*self.bell, &1u64.to_ne_bytes());
    }
}

/// Listens, and hands on what comes. Where another process listens on the same socket none is taken
/// from it before the word comes that this one serves, and its backlog is left to the other one in
/// the end.
pub fn open(
    listener: TcpListener,
    word: Option<Receiver<()>>,
    room: CapacityLimits,
    events: Sender<Message>,
) -> io::Result<Orders> {
    let address = listener.local_addr()?;
    info!(target: part::LOAD_BALANCER, %address, "listening");
    let reader = Reader::new(listener, word.is_some(), room, events)?;
    let orders = reader.orders.clone();
    if word.is_none() {
        reader.look_at_listener()?;
    }
    spawn("front", move || {
        if let Some(word) = word
            && let (Ok(()), Err(e)) = (word.recv(), reader.look_at_listener())
        {
            error!(target: part::LOAD_BALANCER, error = %e, "listening failed: no connection is accepted");
        }
        reader.serve();
    })?;
    Ok(orders)
}

/// How far a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It is read.
    Read,
    /// It is read again after a pause.
    Rests,
    /// It is not read any more: its peer has ended its side, its framing is lost, or the core wants
    /// no more of it.
    Deaf { ended: bool },
    /// Nothing more is written on it, and what comes is dropped: so many bytes, and until then.
    Lingers { until: Instant, left: usize },
}

/// A connection as it is read.
struct Reading {
    socket: Arc<Socket>,
    parser: fastcgi::Parser,
    pause: Arc<AtomicU64>,
    state: State,
    /// Events that were handed to the core.
    handed: u64,
    /// A close that waits for the rest of a request: what the core had heard, and until when it
    /// waits.
    closing: Option<(u64, Instant)>,
}

/// What came of one reading.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Took {
    Some,
    Nothing,
    /// No more is read on this connection.
    Last,
}

struct Reader {
    places: Arc<Places>,
    orders: Orders,
    inbox: Receiver<Order>,
    events: Sender<Message>,
    poll: OwnedFd,
    listener: Option<TcpListener>,
    is_shared: bool,
    stopping: bool,
    accepted: u64,
    reading: HashMap<u64, Reading>,
    /// Those that linger, the one that began first in front; some are gone already.
    lingering: VecDeque<u64>,
    /// What is looked at then: the end of a pause, of a wait for the rest of a request, of
    /// lingering.
    later: BinaryHeap<Reverse<(Instant, u64)>>,
}

impl Reader {
    fn new(
        listener: TcpListener,
        is_shared: bool,
        room: CapacityLimits,
        events: Sender<Message>,
    ) -> io::Result<Reader> {
        listener.set_nonblocking(true)?;
        let poll = epoll::create(CreateFlags::CLOEXEC)?;
        let bell = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        epoll::add(&poll, &*bell, EventData::new_u64(BELL), EventFlags::IN)?;
        // One of each order may be open for each connection.
        let (queue, inbox) = bounded(3 * room.connections + 2);
        let orders = Orders { queue, bell };
        Ok(Reader {
            places: Arc::new(Places::new(room, orders.clone())),
            orders,
            inbox,
            events,
            poll,
            listener: Some(listener),
            is_shared,
            stopping: false,
            accepted: LISTENER,
            reading: HashMap::new(),
            lingering: VecDeque::new(),
            later: BinaryHeap::new(),
        })
    }

    fn serve(mut self) {
        let mut ready = Vec::with_capacity(READY);
        loop {
            let wait = self
                .later
                .peek()
                .map(|Reverse((due, _))| due.saturating_duration_since(Instant::now()));
            let wait = wait.and_then(|wait| Timespec::try_from(wait).ok());
            match epoll::wait(&self.poll, spare_capacity(&mut ready), wait.as_ref()) {
                Err(Errno::INTR) | Ok(_) => {}
                Err(e) => {
                    error!(target: part::LOAD_BALANCER, error = %e, "reading failed: all connections stop");
                    return;
                }
            }
            for event in ready.drain(..) {
                match event.data.u64() {
                    LISTENER => self.accept(),
                    BELL => self.obey(),
                    number => self.read(number),
                }
            }
            while self
                .later
                .peek()
                .is_some_and(|Reverse((due, _))| *due <= Instant::now())
            {
                let Some(Reverse((_, number))) = self.later.pop() else {
                    break;
                };
                self.look_again(number);
            }
        }
    }

    fn obey(&mut self) {
        let mut count = [0; 8];
        let _ = rustix::io::read(&*self.orders.bell, &mut count);
        if self.places.is_crowded.swap(false, SeqCst) {
            self.accept(); // a place was given back
        }
        while let Ok(order) = self.inbox.try_recv() {
            match order {
                Order::Close(ConnectionId(number), close) => self.close(number, close),
                Order::Deafen(ConnectionId(number)) => {
                    if self
                        .reading
                        .get(&number)
                        .is_some_and(|r| r.pause.load(SeqCst) == 0)
                    {
                        self.take_all(number);
                    }
                    if let Some(Reading {
                        state: State::Read | State::Rests,
                        ..
                    }) = self.reading.get(&number)
                    {
                        self.deafen(number, false);
                    }
                }
                Order::Abort(ConnectionId(number)) => self.gone(number),
                Order::Stop => {
                    self.stopping = true;
                    self.accept();
                }
            }
        }
    }

    fn look_again(&mut self, number: u64) {
        let now = Instant::now();
        let Some(reading) = self.reading.get_mut(&number) else {
            return if number == LISTENER {
                self.accept()
            };
        };
        match (reading.state, reading.closing) {
            (State::Lingers { until, .. }, _) if until <= now => self.gone(number),
            (State::Lingers { .. } | State::Deaf { .. }, _) => {}
            (_, Some((_, until))) if until <= now => self.shut(number), // the rest of a request did not come
            (State::Rests, _) => {
                reading.state = State::Read;
                if let Err(e) = self.look_at(number) {
                    warn!(target: part::LOAD_BALANCER, connection = number, error = %e, "connection closed: it cannot be polled");
                    self.gone(number);
                }
            }
            (State::Read, _) => {}
        }
    }

    fn look_at_listener(&self) -> io::Result<()> {
        let Some(listener) = &self.listener else {
            return Ok(());
        };
        Ok(epoll::add(
            &self.poll,
            listener,
            EventData::new_u64(LISTENER),
            EventFlags::IN,
        )?)
    }

    /// Has a connection read when something comes.
    fn look_at(&self, number: u64) -> io::Result<()> {
        let Some(reading) = self.reading.get(&number) else {
            return Ok(());
        };
        Ok(epoll::add(
            &self.poll,
            &reading.socket.stream,
            EventData::new_u64(number),
            EventFlags::IN,
        )?)
    }

    fn look_away(&self, number: u64) {
        if let Some(reading) = self.reading.get(&number) {
            let _ = epoll::delete(&self.poll, &reading.socket.stream);
        }
    }

    // ---- Connections come ----

    fn accept(&mut self) {
        for round in 0..ACCEPTED {
            if self.listener.is_none() {
                return;
            }
            if self.stopping && self.is_shared {
                return self.stop_listening(); // what waits is for the process that goes on
            }
            if !self.places.has_one() && round > 0 {
                break; // whether one more waits is seen when the listener is looked at again
            }
            if !self.places.has_one() {
                return self.crowded();
            }
            let Some(listener) = &self.listener else {
                return;
            };
            match listener
                .accept()
                .and_then(|(stream, from)| self.connect(stream, from.ip()))
            {
                Ok(()) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock && self.stopping => {
                    return self.stop_listening();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => {
                    warn!(target: part::LOAD_BALANCER, error = %e, "accept failed");
                    return self.crowded();
                }
            }
        }
        match self.look_at_listener().map_err(|e| e.raw_os_error()) {
            Err(e) if e != Some(Errno::EXIST.raw_os_error()) => {
                error!(target: part::LOAD_BALANCER, error = ?e, "listening failed: no connection is accepted");
            }
            _ => {}
        }
    }

    /// There is no room: what lingers is let go of, and the core is asked for a place. The listener
    /// is looked at again when one is given back.
    fn crowded(&mut self) {
        if let Some(listener) = &self.listener {
            let _ = epoll::delete(&self.poll, listener);
        }
        self.places.is_crowded.store(true, SeqCst);
        self.later
            .push(Reverse((Instant::now() + CROWDED, LISTENER)));
        while let Some(number) = self.lingering.pop_front() {
            if matches!(
                self.reading.get(&number),
                Some(Reading {
                    state: State::Lingers { .. },
                    ..
                })
            ) {
                return self.gone(number);
            }
        }
        let _ = self.events.send(Message::Event(Event::Crowded));
    }

    /// The backlog is empty, or another process's: no more connections are taken.
    fn stop_listening(&mut self) {
        if let Some(listener) = self.listener.take() {
            // Another process may have the same socket: then it stays open, and would be looked at
            // without end.
            let _ = epoll::delete(&self.poll, &listener);
            drop(listener);
            let _ = self.events.send(Message::Event(Event::NotListening));
        }
    }

    fn connect(&mut self, stream: TcpStream, from: IpAddr) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.accepted += 1;
        let number = self.accepted;
        let places = &self.places;
        let socket = Arc::new(Socket::new(stream, places));
        let pause = Arc::new(AtomicU64::new(0));
        let parser = fastcgi::Parser::new(places.room.connections, places.room.unfinished);
        let (state, handed, closing) = (State::Read, 0, None);
        let reading = Reading {
            socket: Arc::clone(&socket),
            parser,
            pause: Arc::clone(&pause),
            state,
            handed,
            closing,
        };
        self.reading.insert(number, reading);
        let connection = Connection::new(ConnectionId(number), socket, pause, self.orders.clone());
        let _ = self
            .events
            .send(Message::Accepted(ConnectionId(number), from, connection));
        self.look_at(number).inspect_err(|_| self.gone(number))
    }

    // ---- What comes on them ----

    fn read(&mut self, number: u64) {
        let Some(reading) = self.reading.get(&number) else {
            return;
        };
        match reading.state {
            State::Lingers { until, left } => self.linger(number, until, left),
            _ => {
                self.take(number);
                self.finish_close(number);
            }
        }
    }

    /// Reads once, and hands on what that completes.
    fn take(&mut self, number: u64) -> Took {
        let Some(reading) = self.reading.get_mut(&number) else {
            return Took::Last;
        };
        if matches!(reading.state, State::Deaf { .. } | State::Lingers { .. }) {
            return Took::Last;
        }
        let mut buffer = [0; READ];
        let n = match recv(&reading.socket.stream, &mut buffer, RecvFlags::DONTWAIT) {
            Err(Errno::INTR | Errno::AGAIN) => return Took::Nothing,
            Err(_) => {
                self.gone(number);
                return Took::Last;
            }
            Ok((n, _)) => n,
        };
        let (events, handed) = (&self.events, &mut reading.handed);
        let mut hand = |event| {
            *handed += 1;
            let _ = events.send(Message::Event(event));
        };
        if n == 0 {
            // It has told that nothing more comes, not that it waits for nothing.
            hand(Event::HalfClosed(ConnectionId(number)));
            if reading.parser.is_partial() {
                let _ = self.events.send(Message::Event(Event::CutShort));
            }
            return self.deafen(number, true);
        }
        let front = |event| hand(Event::Front(ConnectionId(number), event));
        if let Err(cause) = reading.parser.feed(&buffer[..n], &mut { front }) {
            warn!(target: part::LOAD_BALANCER, connection = number, error = %cause, "connection closed: protocol error");
            hand(Event::Garbled(ConnectionId(number), cause.as_str()));
            return self.deafen(number, false);
        }
        let pause = reading.pause.load(SeqCst);
        if pause > 0 && reading.state == State::Read {
            reading.state = State::Rests;
            self.later.push(Reverse((
                Instant::now() + Duration::from_nanos(pause),
                number,
            )));
            self.look_away(number);
        }
        Took::Some
    }

    fn deafen(&mut self, number: u64, ended: bool) -> Took {
        self.look_away(number);
        if let Some(reading) = self.reading.get_mut(&number) {
            reading.state = State::Deaf { ended };
        }
        Took::Last
    }

    // ---- They end ----

    /// Ends a connection on which nothing is owed, as far as the core knows.
    fn close(&mut self, number: u64, close: Close) {
        self.take_all(number);
        if let Some(reading) = self.reading.get_mut(&number) {
            let until = Instant::now() + Duration::from_nanos(close.patience);
            reading.closing = Some((close.heard, until));
            self.later.push(Reverse((until, number)));
        }
        self.finish_close(number);
    }

    /// Reads what has come by now: a request in it is owed an answer. Of a stranger, who is paced,
    /// it reads no more than once.
    fn take_all(&mut self, number: u64) {
        let is_paced = self
            .reading
            .get(&number)
            .is_some_and(|reading| reading.pause.load(SeqCst) > 0);
        let readings = if is_paced { 1 } else { LAST_READINGS };
        (0..readings).any(|_| self.take(number) != Took::Some);
    }

    /// Carries out an order to close, unless the core will hear of more, or the rest of a request
    /// may yet come.
    fn finish_close(&mut self, number: u64) {
        let Some(reading) = self.reading.get_mut(&number) else {
            return;
        };
        let Some((heard, until)) = reading.closing else {
            return;
        };
        if reading.handed != heard {
            reading.closing = None; // the core decides anew, knowing what came
            return;
        }
        let reads = matches!(reading.state, State::Read | State::Rests);
        if !(reads && reading.parser.is_partial() && Instant::now() < until) {
            self.shut(number);
        }
    }

    /// Stops writing; what still comes is dropped until the peer stops too.
    fn shut(&mut self, number: u64) {
        let Some(reading) = self.reading.get_mut(&number) else {
            return;
        };
        let _ = reading.socket.stream.shutdown(Shutdown::Write);
        if reading.parser.is_partial() && matches!(reading.state, State::Read | State::Rests) {
            let _ = self.events.send(Message::Event(Event::CutShort));
        }
        if reading.state == (State::Deaf { ended: true }) || !self.places.has_one() {
            return self.gone(number);
        }
        let is_looked_at = std::mem::replace(
            &mut reading.state,
            State::Lingers {
                until: Instant::now() + LINGER,
                left: LINGER_BYTES,
            },
        ) == State::Read;
        self.lingering.push_back(number);
        self.later.push(Reverse((Instant::now() + LINGER, number)));
        if !is_looked_at && self.look_at(number).is_err() {
            self.gone(number);
        }
    }

    fn linger(&mut self, number: u64, until: Instant, left: usize) {
        let Some(reading) = self.reading.get_mut(&number) else {
            return;
        };
        let mut buffer = [0; READ];
        match recv(&reading.socket.stream, &mut buffer, RecvFlags::DONTWAIT) {
            Err(Errno::INTR | Errno::AGAIN) => {}
            Ok((n, _)) if (1..left).contains(&n) => {
                reading.state = State::Lingers {
                    until,
                    left: left - n,
                };
            }
            _ => self.gone(number),
        }
    }

    fn gone(&mut self, number: u64) {
        let Some(reading) = self.reading.remove(&number) else {
            return;
        };
        let _ = epoll::delete(&self.poll, &reading.socket.stream); // the core or a writer may still hold it
        let _ = reading.socket.stream.shutdown(Shutdown::Both);
        drop(reading);
        while self
            .lingering
            .front()
            .is_some_and(|first| !self.reading.contains_key(first))
        {
            self.lingering.pop_front();
        }
        let _ = self
            .events
            .send(Message::Event(Event::Disconnected(ConnectionId(number))));
    }
}

#[cfg(test)]
mod tests;
