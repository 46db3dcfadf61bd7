//! The listener for load balancers: one thread accepts the connections and reads all of them. In a
//! process that has only a fraction of a core, a thread per connection would cost more than all
//! other work.
//!
//! The reader also closes connections. The core requests a close, but only the reader knows whether
//! it has sent events that the core had not handled by then; in that case the close is void. A closed
//! connection lingers: nothing more is written, and incoming bytes are read and dropped until the
//! peer closes its side too. Closing a socket that has unread bytes would reset the connection, and
//! the peer would lose the answers that it has not read yet.

mod accept;
mod close;
mod read;

use super::connection_slots::{ConnectionSlots, Socket};
use super::inbox::Message;
use super::reader_commands::{ReaderCommand, ReaderHandle};
use super::threads::spawn;
use crate::actions::{Close, ConnectionId};
use crate::capacity::CapacityLimits;
use crate::fastcgi;
use crate::log::part;
use crate::request_memory::SharedRequestMemory;
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
use std::time::{Duration, Instant};
use tracing::{error, info, warn};

/// Maximum number of ready sockets that one wait returns.
const EVENTS_PER_WAIT: usize = 64;
/// The listener's number among the polled descriptors. Connections are numbered from 1.
const LISTENER: u64 = 0;
/// The number of the reader's wake descriptor among the polled descriptors.
const WAKE_FD: u64 = u64::MAX;

/// Starts the thread that accepts connections, reads them and sends the requests as events. `start`
/// is given if another process listens on the same socket: no connection is accepted before a
/// message arrives on it, and the backlog is left to the other process when this one stops
/// listening.
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

/// The state of a connection in the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The connection is polled and read.
    Reading,
    /// The connection is paced and will be read again after a pause.
    Paused,
    /// The connection is no longer read: its peer has closed its side (`peer_ended`), its framing is
    /// lost, or the core has stopped the reading.
    Stopped { peer_ended: bool },
    /// Nothing more is written on the connection, and incoming bytes are dropped, until the instant
    /// `until` and for at most `left` more bytes.
    Lingering { until: Instant, left: usize },
}

/// The reader's end of a connection.
struct ReadConnection {
    socket: Arc<Socket>,
    parser: fastcgi::Parser,
    /// Pause before each read, in nanoseconds; set by the core.
    pause: Arc<AtomicU64>,
    state: State,
    /// Number of events of this connection that were sent to the core.
    events_sent: u64,
    /// A close that waits for the rest of a request.
    closing: Option<PendingClose>,
}

/// A close that waits for the rest of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingClose {
    /// The close that the core requested.
    request: Close,
    /// End of the wait.
    until: Instant,
}

impl PendingClose {
    fn new(request: Close) -> PendingClose {
        PendingClose {
            request,
            until: Instant::now() + Duration::from_nanos(request.partial_request_wait),
        }
    }
}

/// The outcome of one read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadOutcome {
    /// Bytes were read.
    Data,
    /// No bytes are available now.
    Nothing,
    /// The connection is not read any more.
    Finished,
}

struct Reader {
    slots: Arc<ConnectionSlots>,
    /// Memory that the unfinished requests of all connections share.
    request_memory: Arc<SharedRequestMemory>,
    handle: ReaderHandle,
    commands: Receiver<ReaderCommand>,
    events: Sender<Message>,
    poll: OwnedFd,
    /// The listener; `None` once no more connections are accepted.
    listener: Option<TcpListener>,
    /// Whether another process listens on the same socket.
    is_shared: bool,
    /// Whether the listener is about to close and only the backlog is still accepted.
    is_stopping: bool,
    /// Number of connections accepted so far, which is also the number of the last connection.
    accepted: u64,
    connections: HashMap<u64, ReadConnection>,
    /// Numbers of lingering connections, oldest first. Some of the connections may already be
    /// removed.
    lingering: VecDeque<u64>,
    /// Due times with the connection's number: the ends of pauses, of waits for the rest of a
    /// request, and of lingering. The listener's number stands for the next attempt to accept.
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
        let wake_fd = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        epoll::add(
            &poll,
            &*wake_fd,
            EventData::new_u64(WAKE_FD),
            EventFlags::IN,
        )?;
        // Room for one command of each of the three kinds per connection.
        let (queue, commands) = bounded(3 * capacity.connections + 2);
        let handle = ReaderHandle::new(queue, wake_fd);
        Ok(Reader {
            request_memory: SharedRequestMemory::new(capacity.shared_request_bytes),
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

    /// Polls the listener, the wake descriptor and all connections until polling fails.
    fn serve(mut self) {
        let mut ready = Vec::with_capacity(EVENTS_PER_WAIT);
        loop {
            if let Err(e) = self.serve_once(&mut ready) {
                error!(
                    target: part::LOAD_BALANCER,
                    error = %e,
                    "reading failed: all connections stop"
                );
                return;
            }
        }
    }

    /// Waits until descriptors are ready or a timer is due, and handles them. `ready` is empty before
    /// and after.
    fn serve_once(&mut self, ready: &mut Vec<epoll::Event>) -> Result<(), Errno> {
        let wait = self
            .timers
            .peek()
            .map(|Reverse((due, _))| due.saturating_duration_since(Instant::now()));
        let wait = wait.and_then(|wait| Timespec::try_from(wait).ok());
        match epoll::wait(&self.poll, spare_capacity(ready), wait.as_ref()) {
            Err(Errno::INTR) | Ok(_) => {}
            Err(e) => return Err(e),
        }
        for event in ready.drain(..) {
            match event.data.u64() {
                LISTENER => self.accept(),
                WAKE_FD => self.run_commands(),
                number => self.read(number),
            }
        }
        self.run_due_timers();
        Ok(())
    }

    fn run_due_timers(&mut self) {
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

    /// Carries out all queued commands.
    fn run_commands(&mut self) {
        self.handle.clear_wake_fd();
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
                        self.read_turn(number);
                    }
                    if let Some(ReadConnection {
                        state: State::Reading | State::Paused,
                        ..
                    }) = self.connections.get(&number)
                    {
                        self.stop_reading(number, false);
                        self.finish_close(number);
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

    /// Handles a due timer of a connection or of the listener.
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
            (_, Some(pending)) if pending.until <= now => {
                // The rest of a request is late, unless it has arrived and was not read yet.
                self.read_turn(number);
                self.finish_close(number);
            }
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

    /// Adds the listener to the polled descriptors.
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

    /// Adds a connection to the polled descriptors.
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

    /// Removes a connection from the polled descriptors.
    fn unwatch(&self, number: u64) {
        if let Some(connection) = self.connections.get(&number) {
            let _ = epoll::delete(&self.poll, &connection.socket.stream);
        }
    }
}

#[cfg(test)]
mod tests;
