//! Sockets, threads and clocks: feeds the core with what comes, and writes what it hands over.

mod backend_link;
mod dispatchers;
mod kernel_link;
mod reports;

use crate::config::{Identity, Moved, Peers};
use crate::core::{CallNo, ConnId, Core, Event, Moment, Outward};
use crate::desk::BACKEND_LINKS;
use crate::fastcgi::Reply;
use crate::log::log;
use backend_link::Below;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use crossbeam_utils::atomic::AtomicCell;
use dispatchers::{Connection, Front};
use kernel_link::KernelLink;
use madderpoint::{InvId, Nanos};
use std::collections::HashMap;
use std::fmt;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Stack of every thread but the first.
const STACK: usize = 128 * 1024;
/// Bytes taken from a socket at once.
const READ: usize = 4096;
/// Events that may wait for the core.
const EVENTS: usize = 4096;
/// What connecting to a peer may take.
const CONNECT: Duration = Duration::from_millis(500);
/// A timer later than this shows that the machine stood still. Before it fires, what came meanwhile is let
/// in until nothing has come for a moment, or for the longest time.
const STOOD_STILL: Nanos = 20_000_000;
const LET_IN: Duration = Duration::from_millis(3);
const LET_IN_MOST: Nanos = 50_000_000;

/// Where peers are reached now; looked at before each connect.
type Addresses = Arc<AtomicCell<Peers>>;

/// What the process is told from outside.
#[derive(Debug)]
pub enum Notice {
    /// To leave.
    Leave,
    /// That its configuration was replaced.
    Moved(Moved),
}

/// What reaches the core's thread.
enum Message {
    Event(Event),
    /// A connection was accepted.
    Accepted(ConnId, Connection),
    /// A link to the kernel stands; the last notice that was read before it.
    Linked(u64, KernelLink),
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).stack_size(STACK).spawn(work).map(drop)
}

/// The node's clocks. Its own time counts from the Unix epoch, so that what came long before the node started
/// has its place too, but never jumps with the system's clock.
#[derive(Clone, Copy)]
struct Clock {
    started: Instant,
    unix: Duration,
}

fn unix() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

impl Clock {
    fn start() -> Clock {
        Clock { started: Instant::now(), unix: unix() }
    }

    fn read(self) -> Moment {
        Moment { now: self.now(), unix_ms: unix().as_millis() as u64 }
    }

    fn now(self) -> Nanos {
        (self.unix + self.started.elapsed()).as_nanos() as Nanos
    }
}

/// The node's hands: queues to the threads that write.
struct Sockets {
    conns: HashMap<ConnId, Connection>,
    kernel: Option<KernelLink>,
    backend: Vec<Sender<Below>>,
    addresses: Addresses,
    front: Arc<Front>,
    leaving: Arc<AtomicBool>,
}

impl Outward for Sockets {
    fn reply(&mut self, conn: ConnId, reply: Reply) {
        if let Some(conn) = self.conns.get(&conn) {
            conn.reply(reply);
        }
    }

    fn close(&mut self, conn: ConnId) {
        if let Some(conn) = self.conns.get(&conn) {
            conn.close();
        }
    }

    fn kernel(&mut self, line: String) {
        // One line that is left out would leave a gap, so none may follow it on that link.
        self.kernel.take_if(|link| !link.write(line));
    }

    fn call(&mut self, place: usize, call: CallNo, id: InvId, bytes: Vec<u8>) -> bool {
        self.backend.get(place).is_some_and(|queue| queue.try_send(Below::Call(call, id, bytes)).is_ok())
    }

    fn cancel(&mut self, place: usize, bytes: Vec<u8>) {
        if let Some(queue) = self.backend.get(place) {
            let _ = queue.try_send(Below::Cancel(bytes));
        }
    }

    fn rest(&mut self, place: usize) {
        if let Some(queue) = self.backend.get(place) {
            let _ = queue.try_send(Below::Rest);
        }
    }

    fn moved(&mut self, peers: Peers) -> bool {
        self.addresses.swap(peers).kernel != peers.kernel
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
        self.front.stop();
    }

    fn log(&mut self, line: fmt::Arguments<'_>) {
        log!("{line}");
    }
}

/// Runs the node until it has left.
pub fn serve(who: &Identity, notices: Receiver<Notice>) -> io::Result<()> {
    let clock = Clock::start();
    let (events, inbox) = bounded(EVENTS);
    let front = Front::open(who.listen, who.limits.sockets, events.clone())?;
    let leaving = Arc::new(AtomicBool::new(false));
    let addresses = Arc::new(AtomicCell::new(who.peers));
    let mut backend = Vec::new();
    if who.peers.backend.is_some() {
        for place in 0..BACKEND_LINKS {
            backend.push(backend_link::start(Arc::clone(&addresses), place, events.clone())?);
        }
    }
    kernel_link::start(Arc::clone(&addresses), events.clone())?;
    reports::start(Arc::clone(&addresses), who.name.clone(), Arc::clone(&leaving))?;
    spawn("notices", move || {
        while let Ok(notice) = notices.recv() {
            let event = match notice {
                Notice::Leave => Event::Drain,
                Notice::Moved(moved) => Event::Moved(moved),
            };
            let _ = events.send(Message::Event(event));
        }
    })?;
    let has_backend = !backend.is_empty();
    let sockets = Sockets { conns: HashMap::new(), kernel: None, backend, addresses, front, leaving };
    let stop_after = who.stop_after.as_nanos() as Nanos;
    run(&mut Core::new(sockets, who.start.clone(), who.seed, stop_after, has_backend), clock, &inbox);
    Ok(())
}

/// Takes all that waits, then fires the timers that are due, so that what came in counts before a time-out.
fn run(core: &mut Core<Sockets>, clock: Clock, inbox: &Receiver<Message>) {
    while !core.has_left() {
        let due = core.next_timer().unwrap_or(Nanos::MAX);
        let wait = Duration::from_nanos(due.saturating_sub(clock.now()));
        match inbox.recv_timeout(wait) {
            Ok(message) => take(core, clock, message),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        for _ in 0..EVENTS {
            let Ok(message) = inbox.try_recv() else { break };
            take(core, clock, message);
        }
        if clock.now() > due.saturating_add(STOOD_STILL) {
            let until = clock.now() + LET_IN_MOST;
            while clock.now() < until {
                let Ok(message) = inbox.recv_timeout(LET_IN) else { break };
                take(core, clock, message);
            }
        }
        core.fire(clock.now());
    }
}

fn take(core: &mut Core<Sockets>, clock: Clock, message: Message) {
    let event = match message {
        Message::Event(event) => event,
        Message::Accepted(conn, connection) => {
            core.out(|out| out.conns.insert(conn, connection));
            Event::Connected(conn)
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
fn read_all<E>(mut stream: &TcpStream, mut sink: impl FnMut(&[u8]) -> Result<(), E>) -> Result<(), E> {
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
