//! Sockets, threads and clocks: feeds the core with what comes, and writes what it hands over.

mod backend_link;
mod client_connections;
mod client_reader;
mod cluster_link;
mod connection_slots;
mod executor_link;
mod registry_reports;
mod rollout_link;

pub use cluster_link::{Part, Reset, SHARED, zone_number};
pub use rollout_link::{Changing, PROGRAM_CHANGES, SETTINGS_CHANGES, Versions};

use crate::actions::{Actions, CallId, Close, ConnectionId, Wanted};
use crate::capacity::{CapacityLimits, OptionalSubsystems};
use crate::classify::Sheet;
use crate::cluster::ClusterUpdate;
use crate::config::{ConfigUpdate, NodeConfig, PeerAddresses};
use crate::fastcgi::Reply;
use crate::log::part;
use crate::node::{Core, Event, Moment};
use crate::state::BACKEND_LINKS;
use backend_link::BackendLinkCommand;
use client_connections::Connection;
use client_reader::{Order, Orders};
use cluster_link::ClusterLink;
use crossbeam_channel::{Receiver, Sender, bounded, select};
use crossbeam_utils::atomic::AtomicCell;
use executor_link::ExecutorLink;
use madderpoint::{Nanos, RequestId};
use std::collections::HashMap;
use std::fmt;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{IpAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Stack of every thread but the first.
const STACK: usize = 128 * 1024;
/// Bytes taken from a socket at once.
const READ: usize = 4096;
/// Events of dispatchers that are taken before the core turns to the other peers and the timers
/// again.
const FRONT_TURN: usize = 64;
/// What connecting to a peer may take.
const CONNECT: Duration = Duration::from_millis(500);
/// A timer later than this shows that the machine stood still. Before it fires, what came meanwhile
/// is let in until nothing has come for a moment, or for the longest time.
const STOOD_STILL: Nanos = 20_000_000;
const LET_IN: Duration = Duration::from_millis(3);
const LET_IN_MOST: Nanos = 50_000_000;

/// Where peers are reached now; looked at before each connect.
type Addresses = Arc<AtomicCell<PeerAddresses>>;

/// What a running node is told from outside: by signals, by its supervisor, by rollouts.
#[derive(Debug)]
pub enum ControlMessage {
    /// Drain and stop.
    Drain,
    /// Drain and stop, for another process of this node takes over: neither the service registry
    /// nor the cluster hears that the node leaves.
    HandOver,
    /// The configuration was replaced.
    Config(ConfigUpdate),
    /// The rules were replaced.
    Rules(Box<Sheet>),
    /// The settings of the cluster were replaced.
    Cluster(Box<Reset>),
}

/// What reaches the core's thread.
enum Message {
    Event(Event),
    /// A connection was accepted, from there.
    Accepted(ConnectionId, IpAddr, Connection),
    /// A link to the kernel stands; the last notice that was read before it.
    Linked(u64, ExecutorLink),
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.into())
        .stack_size(STACK)
        .spawn(work)
        .map(drop)
}

/// The node's clocks. Its own time counts from the Unix epoch, so that what came long before the
/// node started has its place too, but never jumps with the system's clock.
#[derive(Clone, Copy)]
struct Clock {
    started: Instant,
    unix: Duration,
}

fn unix() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

impl Clock {
    fn start() -> Clock {
        Clock {
            started: Instant::now(),
            unix: unix(),
        }
    }

    fn read(self) -> Moment {
        Moment {
            now: self.now(),
            unix_ms: unix().as_millis() as u64,
        }
    }

    fn now(self) -> Nanos {
        (self.unix + self.started.elapsed()).as_nanos() as Nanos
    }
}

/// The node's hands: queues to the threads that write.
struct Sockets {
    conns: HashMap<ConnectionId, Connection>,
    /// Connections with something to be done at the end of this turn.
    dirty: Vec<ConnectionId>,
    kernel: Option<ExecutorLink>,
    backend: Vec<Sender<BackendLinkCommand>>,
    addresses: Addresses,
    front: Orders,
    leaving: Arc<AtomicBool>,
    fleet: Option<ClusterLink>,
}

impl Actions for Sockets {
    fn reply(&mut self, conn: ConnectionId, reply: Reply) {
        if let Some(connection) = self.conns.get_mut(&conn) {
            connection.reply(reply);
            self.dirty.push(conn);
        }
    }

    fn close(&mut self, conn: ConnectionId, close: Close) {
        if let Some(connection) = self.conns.get_mut(&conn) {
            connection.close(close);
            self.dirty.push(conn);
        }
    }

    fn deafen(&mut self, conn: ConnectionId) {
        self.front.give(Order::Deafen(conn));
    }

    fn pace(&mut self, conn: ConnectionId, pause: Nanos) {
        if let Some(connection) = self.conns.get(&conn) {
            connection.pace(pause);
        }
    }

    fn kernel(&mut self, line: String) {
        // One line that is left out would leave a gap, so none may follow it on that link.
        self.kernel.take_if(|link| !link.write(line));
    }

    fn call(
        &mut self,
        place: usize,
        call: CallId,
        id: RequestId,
        bytes: Vec<u8>,
        wanted: Wanted,
    ) -> bool {
        let call = BackendLinkCommand::Call(call, id, bytes, wanted);
        self.backend
            .get(place)
            .is_some_and(|queue| queue.try_send(call).is_ok())
    }

    fn cancel(&mut self, place: usize, bytes: Vec<u8>) {
        if let Some(queue) = self.backend.get(place) {
            let _ = queue.try_send(BackendLinkCommand::Cancel(bytes));
        }
    }

    fn rest(&mut self, place: usize) {
        if let Some(queue) = self.backend.get(place) {
            let _ = queue.try_send(BackendLinkCommand::Rest);
        }
    }

    fn moved(&mut self, peers: PeerAddresses) -> bool {
        self.addresses.swap(peers).executor != peers.executor
    }

    fn renew_kernel(&mut self) {
        if let Some(link) = self.kernel.take() {
            link.close();
        }
    }

    fn leaving(&mut self) {
        self.leaving.store(true, SeqCst);
    }

    fn stop_listening(&mut self) {
        self.front.give(Order::Stop);
    }

    fn fleet(&mut self, word: ClusterUpdate) {
        if let Some(fleet) = &self.fleet {
            fleet.say(word);
        }
    }

    fn step(&mut self, rid: &str, what: fmt::Arguments<'_>) {
        tracing::trace!(target: part::REQUEST, event = "step", rid, "{what}");
    }
}

impl Sockets {
    /// Writes what this turn has brought for dispatchers, all answers to a connection at once.
    fn flush(&mut self) {
        for conn in self.dirty.drain(..) {
            if let Some(connection) = self.conns.get_mut(&conn) {
                connection.flush();
            }
        }
    }
}

/// What waits for the core: dispatchers' events apart from all others, which they must not hold up.
struct Inbox {
    front: Receiver<Message>,
    peers: Receiver<Message>,
}

/// The bounds on what a node keeps, with these subsystems beside what it always has.
pub fn capacity_limits(config: &NodeConfig, beside: OptionalSubsystems) -> CapacityLimits {
    CapacityLimits::of(&config.limits, BACKEND_LINKS, beside)
}

/// What a node may have beside what the platform demands.
#[derive(Default)]
pub struct OptionalParts {
    /// The socket to listen on, where a supervisor holds it.
    pub listener: Option<TcpListener>,
    /// Called once the node serves.
    pub on_serving: Option<Box<dyn FnOnce()>>,
    /// Rules of the settings file.
    pub rules: Option<Box<Sheet>>,
    /// Its part in a cluster.
    pub cluster: Option<Box<Part>>,
}

impl OptionalParts {
    fn beside(&self) -> OptionalSubsystems {
        let shared = self.cluster.as_ref().is_some_and(|part| part.shares());
        let changes = self
            .cluster
            .as_ref()
            .is_some_and(|part| !part.changes.is_empty());
        OptionalSubsystems {
            settings: self.rules.is_some(),
            fleet: self.cluster.is_some(),
            shared,
            changes,
        }
    }
}

/// Runs the node until it has left.
pub fn serve(
    config: &NodeConfig,
    ours: OptionalParts,
    notices: Receiver<ControlMessage>,
) -> io::Result<()> {
    let clock = Clock::start();
    let room = capacity_limits(config, ours.beside());
    let (front_events, front_inbox) = bounded(room.front_events);
    let (events, peers_inbox) = bounded(room.peer_events);
    let inbox = Inbox {
        front: front_inbox,
        peers: peers_inbox,
    };
    let (go, word) = bounded(1);
    let word = ours.listener.as_ref().map(|_| word);
    let listener = ours
        .listener
        .map_or_else(|| TcpListener::bind(config.listen), Ok)?;
    let front = client_reader::open(listener, word, room, front_events)?;
    let serves = ours.on_serving.map(|told| -> Box<dyn FnOnce()> {
        Box::new(move || {
            let _ = go.send(());
            told();
        })
    });
    let handed = Arc::new(AtomicBool::new(false));
    let leaving = Arc::new(AtomicBool::new(false));
    let addresses = Arc::new(AtomicCell::new(config.peers));
    let mut backend = Vec::new();
    if config.peers.backend.is_some() {
        for place in 0..BACKEND_LINKS {
            backend.push(backend_link::start(
                Arc::clone(&addresses),
                place,
                room.calls,
                events.clone(),
            )?);
        }
    }
    executor_link::start(Arc::clone(&addresses), room.commands, events.clone())?;
    let told = registry_reports::Told {
        leaving: Arc::clone(&leaving),
        handed: Arc::clone(&handed),
    };
    registry_reports::start(Arc::clone(&addresses), config.name.clone(), told)?;
    let budgets = ours
        .cluster
        .as_ref()
        .map_or(Vec::new(), |part| part.budgets.clone());
    let rhythm = ours.cluster.as_ref().map(|part| part.rhythm());
    let with = ours
        .cluster
        .as_ref()
        .map(|part| part.with())
        .unwrap_or_default();
    let fleet = match ours.cluster {
        Some(mut part) => {
            part.settings.bytes = room.fleet;
            part.key_bytes = room.key_books;
            part.count_bytes = room.counts;
            part.change_bytes = room.changes;
            let unix = move || {
                let Moment { now, unix_ms } = clock.read();
                madderpoint_membership::ClockReading { now, unix_ms }
            };
            // Chance of its own: the seed of the decisions is told by the platform, and may be the
            // same on many.
            Some(cluster_link::start(
                *part,
                config.seed ^ clock.now(),
                unix,
                events.clone(),
            )?)
        }
        None => None,
    };
    let (fleet, fleet_thread) = fleet.unzip();
    let (told, hands) = (fleet.clone(), Arc::clone(&handed));
    spawn("notices", move || {
        while let Ok(notice) = notices.recv() {
            let event = match notice {
                ControlMessage::Drain => Event::Drain,
                ControlMessage::HandOver => {
                    hands.store(true, SeqCst);
                    Event::Drain
                }
                ControlMessage::Config(update) => Event::Moved(update),
                ControlMessage::Rules(sheet) => Event::Ruled(sheet),
                ControlMessage::Cluster(reset) => {
                    told.iter().for_each(|fleet| fleet.reset((*reset).clone()));
                    continue;
                }
            };
            let _ = events.send(Message::Event(event));
        }
    })?;
    let has_backend = !backend.is_empty();
    let (conns, dirty) = (HashMap::new(), Vec::new());
    let sockets = Sockets {
        conns,
        dirty,
        kernel: None,
        backend,
        addresses,
        front,
        leaving,
        fleet,
    };
    let stop_after = config.stop_after.as_nanos() as Nanos;
    let mut core = Core::new(
        sockets,
        config.deployment.clone(),
        config.seed,
        stop_after,
        has_backend,
        &room,
    );
    if let Some(rhythm) = rhythm {
        core.join_fleet(clock.now(), &budgets, rhythm, &with);
    }
    if let Some(sheet) = ours.rules {
        core.handle(clock.read(), Event::Ruled(sheet));
    }
    run(&mut core, clock, &inbox, serves);
    core.let_go(clock.now());
    let handed = handed.load(SeqCst);
    core.out(|out| out.fleet.iter().for_each(|fleet| fleet.leave(handed)));
    if let Some(thread) = fleet_thread {
        let _ = thread.join();
    }
    Ok(())
}

/// Takes what waits, then fires the timers that are due, so that what came in counts before a
/// time-out.
fn run(
    core: &mut Core<Sockets>,
    clock: Clock,
    inbox: &Inbox,
    mut serves: Option<Box<dyn FnOnce()>>,
) {
    while !core.has_left() {
        if let Some(serves) = serves.take_if(|_| core.is_up()) {
            serves();
        }
        let due = core.next_timer().unwrap_or(Nanos::MAX);
        let wait = Duration::from_nanos(due.saturating_sub(clock.now()));
        turn(core, clock, inbox, wait);
        if clock.now() > due.saturating_add(STOOD_STILL) {
            let until = clock.now() + LET_IN_MOST;
            while clock.now() < until && turn(core, clock, inbox, LET_IN) {}
        }
        core.fire(clock.now());
        core.out(Sockets::flush);
    }
}

/// Waits for something, then takes all that peers sent and a share of what dispatchers did; false
/// if nothing came.
fn turn(core: &mut Core<Sockets>, clock: Clock, inbox: &Inbox, wait: Duration) -> bool {
    let first = select! {
        recv(inbox.peers) -> message => message,
        recv(inbox.front) -> message => message,
        default(wait) => return false,
    };
    first
        .into_iter()
        .for_each(|message| take(core, clock, message));
    let peers = inbox.peers.try_iter().take(inbox.peers.len());
    peers.for_each(|message| take(core, clock, message));
    inbox
        .front
        .try_iter()
        .take(FRONT_TURN)
        .for_each(|message| take(core, clock, message));
    true
}

fn take(core: &mut Core<Sockets>, clock: Clock, message: Message) {
    let event = match message {
        Message::Event(event) => event,
        Message::Accepted(conn, from, connection) => {
            core.out(|out| out.conns.insert(conn, connection));
            Event::Connected(conn, Some(from))
        }
        Message::Linked(last, link) => {
            core.out(|out| out.kernel = Some(link));
            Event::KernelLinked(last)
        }
    };
    match &event {
        Event::Disconnected(conn) => drop(core.out(|out| out.conns.remove(conn))),
        Event::KernelLost => core.out(|out| out.kernel = None),
        _ => {}
    }
    core.handle(clock.read(), event);
}

/// Reads a socket into the sink until it ends.
fn read_all<E>(
    mut stream: &TcpStream,
    mut sink: impl FnMut(&[u8]) -> Result<(), E>,
) -> Result<(), E> {
    let mut buffer = [0; READ];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(n) => sink(&buffer[..n])?,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Ok(()),
        }
    }
}

fn write_gathered(mut stream: &TcpStream, mut slices: &mut [IoSlice<'_>]) -> io::Result<()> {
    IoSlice::advance_slices(&mut slices, 0);
    while !slices.is_empty() {
        match stream.write_vectored(slices) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => IoSlice::advance_slices(&mut slices, n),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
