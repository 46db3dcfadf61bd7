//! Sockets, threads and clocks: feeds the core with what comes, and writes what it hands over.

use crate::backend;
use crate::config::Identity;
use crate::core::{BackendLink, CallNo, ConnId, Core, Event, Moment, Outward};
use crate::desk::BACKEND_LINKS;
use crate::fastcgi::{self, Reply};
use crate::kernel;
use crate::log::log;
use crate::members::{self, Phase};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use madderpoint::{InvId, Nanos};
use std::collections::HashMap;
use std::fmt;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Stack of every thread but the first.
const STACK: usize = 128 * 1024;
/// Bytes taken from a socket at once.
const READ: usize = 4096;
/// Events that may wait for the core, and answers for one connection's writer.
const EVENTS: usize = 4096;
const REPLIES: usize = 128;
/// Answers written with one call.
const GATHERED: usize = 16;
/// Lines that may wait for the kernel, and calls for one back end link.
const LINES: usize = 4096;
const CALLS: usize = 1024;
/// Descriptors left for all that is no dispatcher's connection.
const RESERVED: usize = 48;
/// Between two looks whether there is room for another connection.
const CROWDED_WAIT: Duration = Duration::from_millis(20);
/// Half a request may lie for so long.
const HALF_REQUEST: Duration = Duration::from_secs(10);
/// Between two tries to link with the kernel.
const KERNEL_RETRY: Duration = Duration::from_millis(50);
/// What connecting to any peer may take.
const CONNECT: Duration = Duration::from_millis(500);
/// An idle connection to the back end is closed before the back end would.
const BACKEND_IDLE: Duration = Duration::from_secs(8);
/// Between two reports to the membership service, after one that failed, and what each step of one may take.
const REPORT_PERIOD: Duration = Duration::from_millis(800);
const REPORT_RETRY: Duration = Duration::from_millis(200);
const REPORT_STEP: Duration = Duration::from_millis(400);
/// A timer that is later than this shows that the machine stood still: what came meanwhile is let in first.
const STOOD_STILL: Nanos = 20_000_000;
const LET_IN: Duration = Duration::from_millis(3);

/// What reaches the core's thread.
enum Message {
    Event(Event),
    /// A connection was accepted.
    Accepted(ConnId, Arc<TcpStream>, Sender<Outgoing>),
    /// A link to the kernel stands.
    Linked(u64, Arc<TcpStream>, Sender<String>),
}

enum Outgoing {
    Reply(Reply),
    Close,
}

enum Below {
    Call(CallNo, InvId, Vec<u8>),
    Cancel(Vec<u8>),
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).stack_size(STACK).spawn(work).map(drop)
}

/// The node's clocks.
#[derive(Clone, Copy)]
struct Clock(Instant);

impl Clock {
    fn read(self) -> Moment {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Moment { now: self.now(), unix_ms: unix.as_millis() as u64 }
    }

    fn now(self) -> Nanos {
        self.0.elapsed().as_nanos() as Nanos
    }
}

/// The node's hands: queues to the threads that write.
struct Sockets {
    conns: HashMap<ConnId, (Arc<TcpStream>, Sender<Outgoing>)>,
    kernel: Option<(Arc<TcpStream>, Sender<String>)>,
    backend: Vec<Sender<Below>>,
    events: Sender<Message>,
    front: Arc<Front>,
    phase: Arc<AtomicBool>,
}

impl Outward for Sockets {
    fn reply(&mut self, conn: ConnId, reply: Reply) {
        let Some((stream, queue)) = self.conns.get(&conn) else { return };
        if queue.try_send(Outgoing::Reply(reply)).is_err() {
            log!("dispatcher: a connection whose peer does not read was ended");
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn close(&mut self, conn: ConnId) {
        let Some((stream, queue)) = self.conns.get(&conn) else { return };
        if queue.try_send(Outgoing::Close).is_err() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn kernel(&mut self, line: String) {
        let Some((stream, queue)) = &self.kernel else { return };
        if let Err(TrySendError::Full(_)) = queue.try_send(line) {
            log!("kernel: link renewed, it does not read");
            let _ = stream.shutdown(Shutdown::Both);
            self.kernel = None; // what follows would leave a gap
        }
    }

    fn call(&mut self, place: usize, call: CallNo, id: InvId, bytes: Vec<u8>) {
        if let Some(queue) = self.backend.get(place)
            && queue.try_send(Below::Call(call, id, bytes)).is_ok()
        {
            return;
        }
        // The core's own queue is bounded too: if it is full, the call's time limit ends the call.
        let _ = self.events.try_send(Message::Event(Event::CallUnsent(call, id)));
    }

    fn cancel(&mut self, place: usize, bytes: Vec<u8>) {
        if let Some(queue) = self.backend.get(place) {
            let _ = queue.try_send(Below::Cancel(bytes));
        }
    }

    fn leaving(&mut self) {
        self.phase.store(true, SeqCst);
    }

    fn stop_listening(&mut self) {
        self.front.stop();
    }

    fn log(&mut self, line: fmt::Arguments<'_>) {
        log!("{line}");
    }
}

/// Runs the node until it has left.
pub fn serve(who: Identity, drain: Receiver<()>) -> io::Result<()> {
    let clock = Clock(Instant::now());
    let listener = TcpListener::bind(who.listen)?;
    let (events, inbox) = bounded(EVENTS);
    let front = Arc::new(Front {
        listen: who.listen,
        most: who.descriptors.saturating_sub(RESERVED),
        open: AtomicUsize::new(0),
        stopped: AtomicBool::new(false),
    });
    let phase = Arc::new(AtomicBool::new(false));
    let mut backend = Vec::new();
    if let Some(address) = who.backend {
        for place in 0..BACKEND_LINKS {
            let (queue, calls) = bounded(CALLS);
            let link = BackLink { address, place, events: events.clone(), made: 0, stream: None };
            spawn("back end", move || link.serve(&calls))?;
            backend.push(queue);
        }
    }
    let sockets = Sockets {
        conns: HashMap::new(),
        kernel: None,
        backend,
        events: events.clone(),
        front: Arc::clone(&front),
        phase: Arc::clone(&phase),
    };
    let stop_after = who.stop_after.as_nanos() as Nanos;
    let mut core = Core::new(sockets, who.start, who.seed, stop_after, who.backend.is_some());
    spawn("accept", {
        let events = events.clone();
        move || front.accept(&listener, &events)
    })?;
    spawn("kernel", {
        let events = events.clone();
        move || link_kernel(who.kernel, &events)
    })?;
    spawn("members", move || report(who.members, &who.name, &phase))?;
    spawn("drain", move || {
        while drain.recv().is_ok() {
            let _ = events.send(Message::Event(Event::Drain));
        }
    })?;
    run(&mut core, clock, &inbox);
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
            while let Ok(message) = inbox.recv_timeout(LET_IN) {
                take(core, clock, message);
            }
        }
        core.fire(clock.now());
    }
}

fn take(core: &mut Core<Sockets>, clock: Clock, message: Message) {
    let event = match message {
        Message::Event(event) => event,
        Message::Accepted(conn, stream, queue) => {
            core.out(|out| out.conns.insert(conn, (stream, queue)));
            Event::Connected(conn)
        }
        Message::Linked(last, stream, queue) => {
            core.out(|out| out.kernel = Some((stream, queue)));
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
    mut quiet: impl FnMut() -> bool,
) -> Result<(), E> {
    let mut buffer = [0; READ];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(n) => sink(&buffer[..n])?,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) && quiet() => {}
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

// ---- Dispatchers ----

/// The listening side.
struct Front {
    listen: SocketAddr,
    most: usize,
    open: AtomicUsize,
    stopped: AtomicBool,
}

impl Front {
    fn accept(self: &Arc<Self>, listener: &TcpListener, events: &Sender<Message>) {
        let mut next = 0;
        loop {
            if self.stopped.load(SeqCst) {
                return;
            }
            let room = self.open.load(SeqCst) < self.most;
            let accepted = if room { listener.accept() } else { Err(ErrorKind::QuotaExceeded.into()) };
            if self.stopped.load(SeqCst) {
                return;
            }
            next += 1;
            let started = accepted.and_then(|(stream, _)| self.connect(ConnId(next), stream, events));
            if let Err(e) = started {
                if room {
                    log!("dispatcher: no connection taken: {e}");
                }
                let _ = events.send(Message::Event(Event::Crowded));
                thread::sleep(CROWDED_WAIT);
            }
        }
    }

    fn connect(
        self: &Arc<Self>,
        conn: ConnId,
        stream: TcpStream,
        events: &Sender<Message>,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(HALF_REQUEST))?;
        let stream = Arc::new(stream);
        let (queue, replies) = bounded(REPLIES);
        let (reader, writer) = (Arc::clone(&stream), Arc::clone(&stream));
        spawn("write", move || write_replies(&writer, &replies))?;
        let (front, to_core) = (Arc::clone(self), events.clone());
        let most = self.most;
        let _ = events.send(Message::Accepted(conn, stream, queue));
        self.open.fetch_add(1, SeqCst);
        spawn("read", move || {
            read_requests(&reader, conn, most, &to_core);
            let _ = reader.shutdown(Shutdown::Both);
            drop(reader);
            front.open.fetch_sub(1, SeqCst);
            let _ = to_core.send(Message::Event(Event::Disconnected(conn)));
        })
    }

    /// Ends `accept`, which waits for a connection.
    fn stop(&self) {
        self.stopped.store(true, SeqCst);
        let _ = TcpStream::connect_timeout(&self.listen, CONNECT);
    }
}

fn read_requests(stream: &TcpStream, conn: ConnId, most: usize, events: &Sender<Message>) {
    let parser = std::cell::RefCell::new(fastcgi::Parser::new(most));
    let feed = |bytes: &[u8]| {
        parser.borrow_mut().feed(bytes, &mut |event| {
            let _ = events.send(Message::Event(Event::Front(conn, event)));
        })
    };
    if let Err(fastcgi::Broken(what)) = read_all(stream, feed, || !parser.borrow().mid_request()) {
        log!("dispatcher: connection ended: {what}");
    }
}

fn write_replies(stream: &TcpStream, replies: &Receiver<Outgoing>) {
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
        if write_gathered(stream, &mut slices).is_err() || close {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

// ---- The kernel ----

fn link_kernel(address: SocketAddr, events: &Sender<Message>) {
    let mut reader = kernel::Reader::default();
    let mut told = false;
    loop {
        match TcpStream::connect_timeout(&address, CONNECT) {
            Ok(stream) => {
                told = false;
                if let Err(e) = read_kernel(Arc::new(stream), &mut reader, events) {
                    log!("kernel: {e}");
                }
                if events.send(Message::Event(Event::KernelLost)).is_err() {
                    return;
                }
            }
            Err(e) if !told => {
                told = true;
                log!("kernel: no link: {e}");
            }
            Err(_) => {}
        }
        thread::sleep(KERNEL_RETRY);
    }
}

fn read_kernel(
    stream: Arc<TcpStream>,
    reader: &mut kernel::Reader,
    events: &Sender<Message>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (queue, lines) = bounded::<String>(LINES);
    let writer = Arc::clone(&stream);
    spawn("kernel write", move || {
        while let Ok(first) = lines.recv() {
            let batch: Vec<_> = std::iter::once(first).chain(lines.try_iter().take(GATHERED)).collect();
            let mut slices: Vec<_> = batch.iter().map(|line| IoSlice::new(line.as_bytes())).collect();
            if write_gathered(&writer, &mut slices).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    })?;
    let _ = events.send(Message::Linked(reader.open(), Arc::clone(&stream), queue));
    let before = (reader.odd, reader.missed);
    let feed = |bytes: &[u8]| {
        reader.feed(bytes, &mut |notice| {
            let _ = events.send(Message::Event(Event::Kernel(notice)));
        })
    };
    let read = read_all(&stream, feed, || true);
    let _ = stream.shutdown(Shutdown::Both);
    if before != (reader.odd, reader.missed) {
        log!("kernel: {} lines made no sense, {} notices missed in all", reader.odd, reader.missed);
    }
    read.map_err(|kernel::Broken(what)| io::Error::other(what))
}

// ---- The back end ----

/// One connection to the back end, made when a call needs it.
struct BackLink {
    address: SocketAddr,
    place: usize,
    events: Sender<Message>,
    made: u64,
    stream: Option<Arc<TcpStream>>,
}

impl BackLink {
    fn serve(mut self, queue: &Receiver<Below>) {
        loop {
            match queue.recv_timeout(BACKEND_IDLE) {
                Ok(Below::Call(call, id, bytes)) => {
                    let event = match self.write_call(&bytes) {
                        Ok(link) => Event::CallWritten(call, id, link),
                        Err(_) => Event::CallUnsent(call, id),
                    };
                    let _ = self.events.send(Message::Event(event));
                }
                Ok(Below::Cancel(bytes)) => {
                    if let Some(mut stream) = self.stream.as_deref() {
                        let _ = stream.write_all(&bytes);
                    }
                }
                Err(RecvTimeoutError::Timeout) => self.close(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn close(&mut self) {
        if let Some(stream) = self.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Writes a call whole, on a new connection if the last one has ended before a byte was taken.
    fn write_call(&mut self, bytes: &[u8]) -> io::Result<BackendLink> {
        let stream = self.connected()?;
        if let Err(e) = (&*stream).write_all(bytes) {
            self.close();
            log!("back end: call not written: {e}");
            return Err(e);
        }
        Ok(BackendLink { place: self.place, generation: self.made })
    }

    fn connected(&mut self) -> io::Result<Arc<TcpStream>> {
        if let Some(stream) = &self.stream {
            return Ok(Arc::clone(stream));
        }
        let stream = TcpStream::connect_timeout(&self.address, CONNECT)?;
        stream.set_nodelay(true)?;
        let stream = Arc::new(stream);
        self.made += 1;
        let (reader, events) = (Arc::clone(&stream), self.events.clone());
        let link = BackendLink { place: self.place, generation: self.made };
        spawn("back end read", move || read_replies(&reader, link, &events))?;
        self.stream = Some(Arc::clone(&stream));
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
    if let Err(backend::Broken(what)) = read_all(stream, feed, || true) {
        log!("back end: connection ended: {what}");
    }
    let _ = stream.shutdown(Shutdown::Both);
    let _ = events.send(Message::Event(Event::BackendLost(link)));
}

// ---- The membership service ----

fn report(address: SocketAddr, node: &str, leaving: &AtomicBool) {
    let mut failing = false;
    loop {
        let out = leaving.load(SeqCst);
        let phase = if out { Phase::Out } else { Phase::Up };
        let done = report_once(address, &members::report(&address.to_string(), node, phase));
        if let Err(e) = &done
            && !failing
        {
            log!("members: report failed: {e}");
        }
        if done.is_ok() && failing {
            log!("members: reports arrive again");
        }
        failing = done.is_err();
        let rest = if failing { REPORT_RETRY } else { REPORT_PERIOD };
        let until = Instant::now() + rest;
        while Instant::now() < until && leaving.load(SeqCst) == out {
            thread::sleep(Duration::from_millis(50).min(rest));
        }
    }
}

fn report_once(address: SocketAddr, bytes: &[u8]) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, REPORT_STEP)?;
    stream.set_read_timeout(Some(REPORT_STEP))?;
    stream.set_write_timeout(Some(REPORT_STEP))?;
    stream.write_all(bytes)?;
    let until = Instant::now() + REPORT_STEP;
    let (mut answer, mut buffer) = (members::Answer::default(), [0; 512]);
    while Instant::now() < until {
        let n = stream.read(&mut buffer)?;
        if n == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        match answer.feed(&buffer[..n]) {
            Ok(None) => {}
            Ok(Some(204)) => return Ok(()),
            Ok(Some(status)) => return Err(io::Error::other(format!("status {status}"))),
            Err(members::Broken) => return Err(io::Error::other("an answer that is no HTTP")),
        }
    }
    Err(ErrorKind::TimedOut.into())
}
