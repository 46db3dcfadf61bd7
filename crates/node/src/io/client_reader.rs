//! The side that load balancers connect to: one thread accepts connections and reads all of them.
//! Where the process has only a part of a core, a thread for each connection would cost more than
//! all else.
//!
//! The reader also closes connections. The core asks for a close; only here is it known whether
//! something was read that the core has not heard of, and then the close is void. A closed
//! connection lingers: nothing more is written, and what still comes is read and dropped until the
//! peer ends its side too, for a close over unread bytes resets the connection, and answers that
//! the peer has not read are lost with it.

mod accept;
mod close;
mod read;

use super::connection_slots::{ConnectionSlots, Socket};
use super::inbox::Message;
use super::reader_commands::{ReaderCommand, ReaderHandle};
use super::threads::spawn;
use crate::actions::ConnectionId;
use crate::capacity::CapacityLimits;
use crate::fastcgi;
use crate::log::part;
use crossbeam_channel::{Receiver, Sender, bounded};
use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::{EventfdFlags, Timespec, eventfd};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::Instant;
use tracing::{error, info, warn};

/// Sockets that are looked at after one wait.
const POLLED: usize = 64;
/// The listener's number among the polled sockets; connections count from 1.
const LISTENER: u64 = 0;
/// The number of the handle's bell.
const BELL: u64 = u64::MAX;

/// Listens, and sends what is read as events. With `start` another process listens on the same
/// socket: no connection is accepted before a message comes there, and the backlog is left to the
/// other process in the end.
pub fn open(
    listener: TcpListener,
    start: Option<Receiver<()>>,
    capacity: CapacityLimits,
    events: Sender<Message>,
) -> io::Result<ReaderHandle> {
    let address = listener.local_addr()?;
    info!(target: part::LOAD_BALANCER, %address, "listening");
    let reader = Reader::new(listener, start.is_some(), capacity, events)?;
    let handle = reader.handle.clone();
    if start.is_none() {
        reader.watch_listener()?;
    }
    spawn("client reader", move || {
        if let Some(start) = start
            && let (Ok(()), Err(e)) = (start.recv(), reader.watch_listener())
        {
            error!(
                target: part::LOAD_BALANCER,
                error = %e,
                "listening failed: no connection is accepted"
            );
        }
        reader.serve();
    })?;
    Ok(handle)
}

/// Whether a connection is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It is read.
    Reading,
    /// It is read again after a pause.
    Paused,
    /// It is no longer read: its peer has ended its side, its framing is lost, or the core wants no
    /// more of it.
    Stopped { peer_ended: bool },
    /// Nothing more is written on it, and what comes is dropped: until then, and `left` more bytes
    /// at most.
    Lingering { until: Instant, left: usize },
}

/// A connection as the reader has it.
struct ReadConnection {
    socket: Arc<Socket>,
    parser: fastcgi::Parser,
    /// How long to wait before each reading, in nanoseconds.
    pause: Arc<AtomicU64>,
    state: State,
    /// Events that were sent to the core.
    events_sent: u64,
    /// A close that waits for the rest of a request: the events that the core had heard of, and
    /// until when it waits.
    closing: Option<(u64, Instant)>,
}

/// What one reading brought.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadOutcome {
    /// Bytes.
    Data,
    /// Nothing now.
    Nothing,
    /// No more is read on this connection.
    Finished,
}

struct Reader {
    slots: Arc<ConnectionSlots>,
    handle: ReaderHandle,
    commands: Receiver<ReaderCommand>,
    events: Sender<Message>,
    poll: OwnedFd,
    /// The listener, until no more connections are accepted.
    listener: Option<TcpListener>,
    /// Whether another process listens on the same socket.
    is_shared: bool,
    /// Whether only the connections in the backlog are accepted.
    is_stopping: bool,
    /// Connections accepted so far; the number of the last one.
    accepted: u64,
    connections: HashMap<u64, ReadConnection>,
    /// Lingering connections in the order in which they began to; some may be gone already.
    lingering: VecDeque<u64>,
    /// When to look at which connection: the end of a pause, of a wait for the rest of a request,
    /// of lingering.
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
}

impl Reader {
    fn new(
        listener: TcpListener,
        is_shared: bool,
        capacity: CapacityLimits,
        events: Sender<Message>,
    ) -> io::Result<Reader> {
        listener.set_nonblocking(true)?;
        let poll = epoll::create(CreateFlags::CLOEXEC)?;
        let bell = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        epoll::add(&poll, &*bell, EventData::new_u64(BELL), EventFlags::IN)?;
        // One command of each kind may wait for each connection.
        let (queue, commands) = bounded(3 * capacity.connections + 2);
        let handle = ReaderHandle::new(queue, bell);
        Ok(Reader {
            slots: Arc::new(ConnectionSlots::new(capacity, handle.clone())),
            handle,
            commands,
            events,
            poll,
            listener: Some(listener),
            is_shared,
            is_stopping: false,
            accepted: LISTENER,
            connections: HashMap::new(),
            lingering: VecDeque::new(),
            timers: BinaryHeap::new(),
        })
    }

    /// Polls the listener, the bell and all connections for good.
    fn serve(mut self) {
        let mut ready = Vec::with_capacity(POLLED);
        loop {
            let wait = self
                .timers
                .peek()
                .map(|Reverse((due, _))| due.saturating_duration_since(Instant::now()));
            let wait = wait.and_then(|wait| Timespec::try_from(wait).ok());
            match epoll::wait(&self.poll, spare_capacity(&mut ready), wait.as_ref()) {
                Err(Errno::INTR) | Ok(_) => {}
                Err(e) => {
                    error!(
                        target: part::LOAD_BALANCER,
                        error = %e,
                        "reading failed: all connections stop"
                    );
                    return;
                }
            }
            for event in ready.drain(..) {
                match event.data.u64() {
                    LISTENER => self.accept(),
                    BELL => self.run_commands(),
                    number => self.read(number),
                }
            }
            while self
                .timers
                .peek()
                .is_some_and(|Reverse((due, _))| *due <= Instant::now())
            {
                let Some(Reverse((_, number))) = self.timers.pop() else {
                    break;
                };
                self.on_timer(number);
            }
        }
    }

    /// Carries out all commands that wait.
    fn run_commands(&mut self) {
        self.handle.reset_bell();
        if self.slots.is_full.swap(false, SeqCst) {
            self.accept(); // a slot became free
        }
        while let Ok(command) = self.commands.try_recv() {
            match command {
                ReaderCommand::Close(ConnectionId(number), close) => self.close(number, close),
                ReaderCommand::StopReading(ConnectionId(number)) => {
                    if self
                        .connections
                        .get(&number)
                        .is_some_and(|connection| connection.pause.load(SeqCst) == 0)
                    {
                        self.read_rest(number);
                    }
                    if let Some(ReadConnection {
                        state: State::Reading | State::Paused,
                        ..
                    }) = self.connections.get(&number)
                    {
                        self.stop_reading(number, false);
                    }
                }
                ReaderCommand::Abort(ConnectionId(number)) => self.remove(number),
                ReaderCommand::StopListening => {
                    self.is_stopping = true;
                    self.accept();
                }
            }
        }
    }

    /// Looks at a connection, or at the listener, whose time has come.
    fn on_timer(&mut self, number: u64) {
        let now = Instant::now();
        let Some(connection) = self.connections.get_mut(&number) else {
            return if number == LISTENER {
                self.accept()
            };
        };
        match (connection.state, connection.closing) {
            (State::Lingering { until, .. }, _) if until <= now => self.remove(number),
            (State::Lingering { .. } | State::Stopped { .. }, _) => {}
            // The rest of a request did not come.
            (_, Some((_, until))) if until <= now => self.shut_down(number),
            (State::Paused, _) => {
                connection.state = State::Reading;
                if let Err(e) = self.watch(number) {
                    warn!(
                        target: part::LOAD_BALANCER,
                        connection = number,
                        error = %e,
                        "connection closed: it cannot be polled"
                    );
                    self.remove(number);
                }
            }
            (State::Reading, _) => {}
        }
    }

    /// Has the listener polled.
    fn watch_listener(&self) -> io::Result<()> {
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

    /// Has a connection polled.
    fn watch(&self, number: u64) -> io::Result<()> {
        let Some(connection) = self.connections.get(&number) else {
            return Ok(());
        };
        Ok(epoll::add(
            &self.poll,
            &connection.socket.stream,
            EventData::new_u64(number),
            EventFlags::IN,
        )?)
    }

    /// Has a connection no longer polled.
    fn unwatch(&self, number: u64) {
        if let Some(connection) = self.connections.get(&number) {
            let _ = epoll::delete(&self.poll, &connection.socket.stream);
        }
    }
}

#[cfg(test)]
mod tests;
