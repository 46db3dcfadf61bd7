//! `madderpoint run-under`: a small supervisor, for installations where it may start processes. The
//! supervisor holds the listening socket and the directories of the program's versions. It starts a
//! new process next to the old one, and goes back to the earlier version if the new process does
//! not come to serve or dies. If the supervisor is killed, the node continues without it; a
//! supervisor that is started later replaces that node without a gap in service. The decisions are
//! made in [`madderpoint_rollout::process_handover`]; this module carries them out.

mod host;
mod orphans;
mod sockets;

use crossbeam_channel::{Receiver, unbounded};
use host::SupervisorHost;
use madderpoint_node::log::{self, part};
use madderpoint_node::program_version::ProgramVersionError;
use madderpoint_node::version_store::{VersionStore, VersionStoreError};
use madderpoint_node::{config, program_version};
use madderpoint_rollout::process_handover::{Child, ProcessHost as _, Supervisor};
use madderpoint_rollout::supervisor_messages::{SupervisorMessage, kind};
use madderpoint_rollout::{HostError, Kind, PersistedState};
use orphans::Orphan;
use rustix::process::Signal;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR2};
use signal_hook::iterator::Signals;
use sockets::listen;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};
use tracing::info;

/// Maximum time between two wake-ups of the supervisor.
const WAKE_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a process may take to end, in addition to its configured stop time.
const STOP_SLACK: Duration = Duration::from_secs(5);

/// Options from the command line.
pub struct SupervisorOptions {
    /// Directory with one subdirectory for each version of the program.
    pub programs: PathBuf,
    /// Version to start on: a directory, or the name of a subdirectory of `programs`.
    pub start: PathBuf,
    /// Directory in which the supervisor stores which version is in force.
    pub state: PathBuf,
    /// Arguments with which each process of the program is started.
    pub arguments: Vec<String>,
    pub logging: log::Options,
}

/// Why the supervisor does not start.
#[derive(Debug, thiserror::Error)]
pub enum SupervisorError {
    /// The signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
    /// The environment does not name the configuration.
    #[error("PROXY_CONFIG is not set")]
    NoConfig,
    /// The configuration is invalid or cannot be read.
    #[error("{0}")]
    Config(String),
    /// The version to start on cannot be used.
    #[error(transparent)]
    Program(#[from] ProgramVersionError),
    /// The directory of the persisted state cannot be opened.
    #[error(transparent)]
    Store(#[from] VersionStoreError),
    /// The listening socket cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address to listen on, from the configuration file.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The address of the listening socket cannot be determined.
    #[error("cannot determine the address of the listening socket: {0}")]
    Address(io::Error),
}

/// An event for the supervisor's main loop.
enum Event {
    Message(Child, SupervisorMessage),
    /// A process ended, with a description of its exit status.
    Ended(Child, String),
    Signal(i32),
}

/// Runs the supervisor until it is told to leave and all processes have ended.
pub fn run(options: SupervisorOptions) -> Result<(), SupervisorError> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP, SIGUSR2]).map_err(SupervisorError::Signals)?;
    let path = PathBuf::from(std::env::var_os("PROXY_CONFIG").ok_or(SupervisorError::NoConfig)?);
    let identity = config::read(&path, |name| std::env::var(name).ok())
        .map_err(|error| SupervisorError::Config(error.to_string()))?;
    log::start(&identity.name, options.logging);
    let start = if options.start.is_dir() {
        options.start.clone()
    } else {
        options.programs.join(&options.start)
    };
    let initial_version = program_version::version_of(&start)?;
    let store = VersionStore::open(&options.state, &identity.name, Kind::Program)?;
    let processes_file = store.path().join("processes");
    let orphans = Orphan::read(&processes_file);
    let listener = listen(identity.listen).map_err(|source| SupervisorError::Listen {
        address: identity.listen,
        source,
    })?;
    let at = listener.local_addr().map_err(SupervisorError::Address)?;
    info!(
        target: part::SUPERVISOR,
        address = %at,
        program = %initial_version,
        previous_processes = orphans.len(),
        "socket opened"
    );
    let (persisted, fresh) = store.read_state();
    let (events, inbox) = unbounded();
    let signal_events = events.clone();
    thread::spawn(move || {
        signals
            .forever()
            .try_for_each(|signal| signal_events.send(Event::Signal(signal)).ok())
    });
    let host = SupervisorHost {
        options,
        listener,
        store,
        processes: BTreeMap::new(),
        events,
        orphans,
        processes_file,
    };
    let started_at = Instant::now();
    let now = || started_at.elapsed().as_nanos() as u64 + 1;
    let stop = (identity.stop_after + STOP_SLACK).as_nanos() as u64;
    let mut supervisor = Supervisor::new(now(), persisted, fresh, initial_version, stop, host);
    while !supervisor.is_over() {
        handle_next_event(&mut supervisor, &inbox, &now);
        supervisor.wake(now());
    }
    Ok(())
}

/// Handles the next event, if one arrives within [`WAKE_INTERVAL`].
fn handle_next_event(
    supervisor: &mut Supervisor<SupervisorHost>,
    inbox: &Receiver<Event>,
    now: &impl Fn() -> u64,
) {
    let Ok(event) = inbox.recv_timeout(WAKE_INTERVAL) else {
        return;
    };
    match event {
        Event::Signal(SIGHUP) => {
            supervisor
                .host
                .processes
                .values()
                .for_each(|process| process.signal(Signal::HUP));
        }
        Event::Signal(SIGUSR2) => supervisor.renew(now()),
        Event::Signal(_) => supervisor.leave(now()),
        Event::Ended(child, how) => {
            supervisor.host.processes.remove(&child);
            supervisor.ended(now(), child, &how);
            supervisor.host.write_processes_file();
        }
        Event::Message(child, message) => match message.kind {
            kind::READY => supervisor.ready(now(), child),
            kind::PERSIST => match PersistedState::decode(&message.persisted) {
                Ok(persisted) => supervisor.persist(child, message.request, persisted),
                Err(error) => supervisor.host.answer(
                    child,
                    message.request,
                    Err(HostError::from(error.word())),
                ),
            },
            kind::CHECK => supervisor.check(child, message.request, message.version()),
            kind::APPLY => supervisor.apply(now(), child, message.request, message.version()),
            _ => {}
        },
    }
}
