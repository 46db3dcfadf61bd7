//! `madderpoint run-under`: a small parent, for installations where it may start processes. It
//! holds the listening socket and the directories of the program's versions, starts a new one
//! beside the old, and goes back if that does not come to serve or dies. If it is killed the node
//! goes on without it; a parent that is started then takes the place of that node without a gap.

use crossbeam_channel::{Receiver, Sender, unbounded};
use madderpoint_node::log::{self, part};
use madderpoint_node::supervisor_client::UNDER;
use madderpoint_node::version_store::Directory;
use madderpoint_node::{config, program_version};
use madderpoint_rollout::process_handover::{Child, Host, StartInstructions, Supervisor};
use madderpoint_rollout::supervisor_messages::{MessageReader, SupervisorMessage, kind};
use madderpoint_rollout::{Kind, PersistedState, Version};
use rustix::net::sockopt::{set_socket_reuseaddr, set_socket_reuseport};
use rustix::net::{
    AddressFamily, SendAncillaryBuffer, SendAncillaryMessage, SendFlags, SocketFlags, SocketType,
};
use rustix::process::{Pid, Signal, kill_process};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR2};
use signal_hook::iterator::Signals;
use std::collections::BTreeMap;
use std::io::{self, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Between two looks at what is due.
const WAKE: Duration = Duration::from_millis(100);
/// What an old one may take beyond the time it is told to stop in.
const SLACK: Duration = Duration::from_secs(5);
const BACKLOG: i32 = 1024;

/// What is told on the command line.
pub struct Told {
    /// Where directories of versions are, and which one to start on.
    pub programs: PathBuf,
    pub start: PathBuf,
    /// Where it is kept what is in force.
    pub state: PathBuf,
    /// Arguments for the program.
    pub arguments: Vec<String>,
    pub logging: log::Options,
}

enum Event {
    Said(Child, SupervisorMessage),
    Ended(Child, String),
    Signal(i32),
}

/// A process that was started. Its number is signalled only while it was not waited for.
struct Process {
    stream: UnixStream,
    alive: Arc<Mutex<Option<Pid>>>,
}

impl Process {
    fn signal(&self, signal: Signal) {
        let alive = self.alive.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pid) = *alive {
            let _ = kill_process(pid, signal);
        }
    }
}

/// What the decisions do to the world.
struct SupervisorHost {
    told: Told,
    listener: TcpListener,
    directory: Directory,
    processes: BTreeMap<Child, Process>,
    events: Sender<Event>,
    /// Processes of a parent before this one, which go on serving until one of ours does.
    orphans: Vec<Orphan>,
    file: PathBuf,
}

/// A process of a parent that is gone, told from others of its number by when it was started.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Orphan {
    pid: i32,
    started: String,
}

impl Orphan {
    fn of(pid: i32) -> Option<Orphan> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name may have anything in it but ends with the last bracket; the start is the 20th
        // field after it.
        let started = stat
            .rsplit_once(')')?
            .1
            .split_whitespace()
            .nth(19)?
            .to_owned();
        Some(Orphan { pid, started })
    }

    fn is_there(&self) -> bool {
        Orphan::of(self.pid).as_ref() == Some(self)
    }

    fn read(file: &Path) -> Vec<Orphan> {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let lines = text.lines().filter_map(|line| {
            let (pid, started) = line.split_once(' ')?;
            Some(Orphan {
                pid: pid.parse().ok()?,
                started: started.to_owned(),
            })
        });
        lines.filter(Orphan::is_there).collect()
    }
}

impl SupervisorHost {
    fn say(&mut self, child: Child, saying: &SupervisorMessage) {
        if let Some(process) = self.processes.get_mut(&child) {
            let _ = process.stream.write_all(&saying.write()); // one that is gone is told of by its end
        }
    }

    /// Writes down who is there, for a parent that comes after this one.
    fn note(&self) {
        let own = self.processes.values().filter_map(|process| {
            let pid = *process.alive.lock().unwrap_or_else(PoisonError::into_inner);
            Orphan::of(pid?.as_raw_nonzero().get())
        });
        let all: Vec<String> = own
            .chain(self.orphans.iter().cloned())
            .map(|o| format!("{} {}\n", o.pid, o.started))
            .collect();
        if let Err(e) = std::fs::write(&self.file, all.concat()) {
            warn!(
                target: part::SUPERVISOR,
                path = %self.file.display(),
                error = %e,
                "list of processes not written"
            );
        }
    }

    fn spawn(&mut self, child: Child, begin: &StartInstructions) -> Result<(), String> {
        let dir = program_version::find(&self.told.programs, begin.version)?;
        let file = dir.join(program_version::PROGRAM);
        let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
        let (ours, theirs) = UnixStream::pair().map_err(|e| wrong(&e))?;
        let mut process = Command::new(&file)
            .args(&self.told.arguments)
            .env(UNDER, "1")
            .stdin(Stdio::from(OwnedFd::from(theirs)))
            .spawn()
            .map_err(|e| wrong(&e))?;
        let pid = Pid::from_raw(process.id() as i32);
        let alive = Arc::new(Mutex::new(pid));
        let (reading, ended) = (ours.try_clone().map_err(|e| wrong(&e))?, Arc::clone(&alive));
        let (events, told) = (self.events.clone(), self.events.clone());
        thread::spawn(move || read(child, reading, &events));
        thread::spawn(move || {
            let status = process.wait();
            *ended.lock().unwrap_or_else(PoisonError::into_inner) = None;
            let how = status.map_or_else(|e| e.to_string(), |status| status.to_string());
            let _ = told.send(Event::Ended(child, how));
        });
        let sent = hand(
            &ours,
            &SupervisorMessage::begin(begin).write(),
            &self.listener,
        );
        let started = Process {
            stream: ours,
            alive,
        };
        if let Err(e) = sent {
            // It ended already, or takes nothing: its end tells the rest.
            warn!(
                target: part::SUPERVISOR,
                program = %file.display(),
                error = %e,
                "start instructions not delivered"
            );
            started.signal(Signal::KILL);
        }
        self.processes.insert(child, started);
        self.note();
        Ok(())
    }
}

/// The first saying, with the listening socket beside its first byte.
fn hand(stream: &UnixStream, bytes: &[u8], listener: &TcpListener) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let sockets = [listener.as_fd()];
    if !control.push(SendAncillaryMessage::ScmRights(&sockets)) {
        return Err(io::Error::other("no room for a socket"));
    }
    let sent = rustix::net::sendmsg(
        stream,
        &[IoSlice::new(bytes)],
        &mut control,
        SendFlags::NOSIGNAL,
    )?;
    let mut stream = stream;
    stream.write_all(&bytes[sent..])
}

fn read(child: Child, mut stream: UnixStream, events: &Sender<Event>) {
    let (mut reader, mut buffer) = (MessageReader::default(), [0; 4096]);
    while let Ok(n) = stream.read(&mut buffer) {
        if n == 0 {
            return;
        }
        reader.feed(&buffer[..n]);
        loop {
            match reader.take() {
                Ok(Some(saying)) => _ = events.send(Event::Said(child, saying)),
                Ok(None) => break,
                Err(_) => {
                    warn!(
                        target: part::SUPERVISOR,
                        "message of a process cannot be read: no more is read of it"
                    );
                    return;
                }
            }
        }
    }
}

impl Host for SupervisorHost {
    fn start(&mut self, child: Child, begin: &StartInstructions) -> Result<(), String> {
        let beside = begin.beside || !self.orphans.is_empty();
        self.spawn(
            child,
            &StartInstructions {
                beside,
                ..begin.clone()
            },
        )
    }
    fn in_charge(&mut self, child: Child) {
        self.say(child, &SupervisorMessage::plain(kind::IN_CHARGE));
        for orphan in std::mem::take(&mut self.orphans) {
            if orphan.is_there()
                && let Some(pid) = Pid::from_raw(orphan.pid)
            {
                info!(
                    target: part::SUPERVISOR,
                    pid = orphan.pid,
                    "process of the previous supervisor is told to drain"
                );
                let _ = kill_process(pid, Signal::TERM);
            }
        }
        self.note();
    }
    fn hand_over(&mut self, child: Child) {
        self.say(child, &SupervisorMessage::plain(kind::HAND_OVER));
    }
    fn leave(&mut self, child: Child) {
        if let Some(process) = self.processes.get(&child) {
            process.signal(Signal::TERM);
        }
    }
    fn kill(&mut self, child: Child) {
        if let Some(process) = self.processes.get(&child) {
            process.signal(Signal::KILL);
        }
    }
    fn keep(&mut self, kept: &PersistedState) -> Result<(), String> {
        self.directory.keep(kept, None)
    }
    fn has(&mut self, version: Version) -> Result<(), String> {
        program_version::find(&self.told.programs, version).map(drop)
    }
    fn answer(&mut self, child: Child, no: u64, result: Result<(), String>) {
        self.say(child, &SupervisorMessage::done(no, &result));
    }
    fn log(&mut self, line: &str) {
        info!(target: part::SUPERVISOR, event = "program", "{line}");
    }
}

/// A socket to listen on, beside which another one may listen: that of a node whose parent was
/// killed.
fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let family = if at.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let socket = rustix::net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    set_socket_reuseaddr(&socket, true)?;
    set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &at)?;
    rustix::net::listen(&socket, BACKLOG)?;
    Ok(TcpListener::from(socket))
}

/// Runs until all processes have left after the notice to leave.
pub fn run(told: Told) -> Result<(), String> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP, SIGUSR2]).map_err(|e| format!("signals: {e}"))?;
    let path = PathBuf::from(std::env::var_os("PROXY_CONFIG").ok_or("PROXY_CONFIG is not set")?);
    let who = config::read(&path, |name| std::env::var(name).ok()).map_err(|e| e.to_string())?;
    log::start(&who.name, told.logging);
    let start = if told.start.is_dir() {
        told.start.clone()
    } else {
        told.programs.join(&told.start)
    };
    let given = program_version::version_of(&start)?;
    let directory = Directory::open(&told.state, &who.name, Kind::Program)?;
    let file = directory.path().join("processes");
    let orphans = Orphan::read(&file);
    let listener = listen(who.listen).map_err(|e| format!("listen {}: {e}", who.listen))?;
    let at = listener.local_addr().map_err(|e| e.to_string())?;
    info!(
        target: part::SUPERVISOR,
        address = %at,
        program = %given,
        previous_processes = orphans.len(),
        "socket opened"
    );
    let (kept, fresh) = directory.read_kept();
    let (events, inbox) = unbounded();
    let forwards = events.clone();
    thread::spawn(move || {
        signals
            .forever()
            .try_for_each(|signal| forwards.send(Event::Signal(signal)).ok())
    });
    let hands = SupervisorHost {
        told,
        listener,
        directory,
        processes: BTreeMap::new(),
        events,
        orphans,
        file,
    };
    let begun = Instant::now();
    let now = || begun.elapsed().as_nanos() as u64 + 1;
    let stop = (who.stop_after + SLACK).as_nanos() as u64;
    let mut parent = Supervisor::new(now(), kept, fresh, given, stop, hands);
    while !parent.is_over() {
        turn(&mut parent, &inbox, &now);
        parent.wake(now());
    }
    Ok(())
}

fn turn(parent: &mut Supervisor<SupervisorHost>, inbox: &Receiver<Event>, now: &impl Fn() -> u64) {
    let Ok(event) = inbox.recv_timeout(WAKE) else {
        return;
    };
    match event {
        Event::Signal(SIGHUP) => {
            parent
                .host
                .processes
                .values()
                .for_each(|process| process.signal(Signal::HUP));
        }
        Event::Signal(SIGUSR2) => parent.renew(now()),
        Event::Signal(_) => parent.leave(now()),
        Event::Ended(child, how) => {
            parent.host.processes.remove(&child);
            parent.ended(now(), child, &how);
            parent.host.note();
        }
        Event::Said(child, saying) => match saying.kind {
            kind::READY => parent.ready(now(), child),
            kind::KEEP => match PersistedState::read(&saying.kept) {
                Ok(kept) => parent.keep(child, saying.no, kept),
                Err(broken) => parent
                    .host
                    .answer(child, saying.no, Err(broken.word().into())),
            },
            kind::CHECK => parent.check(child, saying.no, saying.version()),
            kind::APPLY => parent.apply(now(), child, saying.no, saying.version()),
            _ => {}
        },
    }
}
