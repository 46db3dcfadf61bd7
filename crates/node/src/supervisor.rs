//! `madderpoint run-under`: a small supervisor, for installations where it may start processes. It
//! holds the listening socket and the directories of the program's versions, starts a new process
//! beside the old one, and goes back if that does not come to serve or dies. If it is killed the
//! node goes on without it; a supervisor that is started then takes the place of that node without
//! a gap. [`madderpoint_rollout::process_handover`] decides; this acts.

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

/// Time between two wake-ups.
const WAKE_INTERVAL: Duration = Duration::from_millis(100);
/// What a process may take to leave beyond the time it is told to stop in.
const LEAVE_SLACK: Duration = Duration::from_secs(5);

/// What the command line gives.
pub struct SupervisorOptions {
    /// Where directories of versions are, and which one to start on.
    pub programs: PathBuf,
    pub start: PathBuf,
    /// Where it is kept what is in force.
    pub state: PathBuf,
    /// Arguments for the program.
    pub arguments: Vec<String>,
    pub logging: log::Options,
}

/// Why the supervisor does not start.
#[derive(Debug, thiserror::Error)]
pub enum SupervisorError {
    /// Signals can't be taken.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The environment does not name the configuration.
    #[error("PROXY_CONFIG is not set")]
    NoConfig,
    /// The configuration can't be taken.
    #[error("{0}")]
    Config(String),
    /// The version to start on can't be used.
    #[error(transparent)]
    Program(#[from] ProgramVersionError),
    /// The persisted state can't be read.
    #[error(transparent)]
    Store(#[from] VersionStoreError),
    /// The address can't be listened on.
    #[error("listen {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The address of the listening socket is not known.
    #[error("{0}")]
    Address(io::Error),
}

/// What happens to the supervisor.
enum Event {
    Message(Child, SupervisorMessage),
    Ended(Child, String),
    Signal(i32),
}

/// Runs until all processes have left after the notice to leave.
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
    let given = program_version::version_of(&start)?;
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
        program = %given,
        previous_processes = orphans.len(),
        "socket opened"
    );
    let (persisted, fresh) = store.read_state();
    let (events, inbox) = unbounded();
    let forwards = events.clone();
    thread::spawn(move || {
        signals
            .forever()
            .try_for_each(|signal| forwards.send(Event::Signal(signal)).ok())
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
    let begun = Instant::now();
    let now = || begun.elapsed().as_nanos() as u64 + 1;
    let stop = (identity.stop_after + LEAVE_SLACK).as_nanos() as u64;
    let mut supervisor = Supervisor::new(now(), persisted, fresh, given, stop, host);
    while !supervisor.is_over() {
        handle_next_event(&mut supervisor, &inbox, &now);
        supervisor.wake(now());
    }
    Ok(())
}

/// Takes up the next event, if one comes in time.
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
            supervisor.host.note();
        }
        Event::Message(child, message) => match message.kind {
            kind::READY => supervisor.ready(now(), child),
            kind::PERSIST => match PersistedState::decode(&message.persisted) {
                Ok(persisted) => supervisor.persist(child, message.request, persisted),
                Err(broken) => supervisor.host.answer(
                    child,
                    message.request,
                    Err(HostError::from(broken.word())),
                ),
            },
            kind::CHECK => supervisor.check(child, message.request, message.version()),
            kind::APPLY => supervisor.apply(now(), child, message.request, message.version()),
            _ => {}
        },
    }
}
