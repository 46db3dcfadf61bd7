//! Starts processes, exchanges messages with them and sends them signals.

use super::orphans::Orphan;
use super::sockets::{read_messages, send_with_socket};
use super::{Event, SupervisorOptions};
use crossbeam_channel::Sender;
use madderpoint_node::log::part;
use madderpoint_node::program_version;
use madderpoint_node::supervisor_client::SUPERVISED_VARIABLE;
use madderpoint_node::version_store::VersionStore;
use madderpoint_rollout::process_handover::{Child, ProcessHost, StartInstructions};
use madderpoint_rollout::supervisor_messages::{SupervisorMessage, kind};
use madderpoint_rollout::{HostError, PersistedState, Version};
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use tracing::{info, warn};

/// A process that was started.
pub(super) struct Process {
    stream: UnixStream,
    /// Process id; none once the process was waited for, because the id may then be reused.
    running_pid: Arc<Mutex<Option<Pid>>>,
}

impl Process {
    /// Sends a signal to the process, if it still runs.
    pub(super) fn signal(&self, signal: Signal) {
        let running_pid = self
            .running_pid
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(pid) = *running_pid {
            let _ = kill_process(pid, signal);
        }
    }
}

/// Carries out the decisions of the supervisor.
pub(super) struct SupervisorHost {
    pub(super) options: SupervisorOptions,
    pub(super) listener: TcpListener,
    pub(super) store: VersionStore,
    pub(super) processes: BTreeMap<Child, Process>,
    pub(super) events: Sender<Event>,
    /// Processes of a previous supervisor, which serve until a process of this one is in charge.
    pub(super) orphans: Vec<Orphan>,
    /// File with the list of processes, for a later supervisor.
    pub(super) processes_file: PathBuf,
}

impl SupervisorHost {
    fn send(&mut self, child: Child, message: &SupervisorMessage) {
        if let Some(process) = self.processes.get_mut(&child) {
            // An error means that the process has ended, which `Event::Ended` reports.
            let _ = process.stream.write_all(&message.write());
        }
    }

    /// Writes the list of running processes, for a later supervisor.
    pub(super) fn write_processes_file(&self) {
        let own = self.processes.values().filter_map(|process| {
            let pid = *process
                .running_pid
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            Orphan::of(pid?.as_raw_nonzero().get())
        });
        let all: Vec<String> = own
            .chain(self.orphans.iter().cloned())
            .map(|o| format!("{} {}\n", o.pid, o.started))
            .collect();
        if let Err(e) = std::fs::write(&self.processes_file, all.concat()) {
            warn!(
                target: part::SUPERVISOR,
                path = %self.processes_file.display(),
                error = %e,
                "list of processes not written"
            );
        }
    }

    fn spawn(&mut self, child: Child, begin: &StartInstructions) -> Result<(), HostError> {
        let dir = program_version::find(&self.options.programs, begin.version)
            .map_err(|error| HostError::new(error.to_string()))?;
        let file = dir.join(program_version::PROGRAM);
        let failed = |e: io::Error| HostError::new(format!("{}: {e}", file.display()));
        let (ours, theirs) = UnixStream::pair().map_err(failed)?;
        let mut process = Command::new(&file)
            .args(&self.options.arguments)
            .env(SUPERVISED_VARIABLE, "1")
            .stdin(Stdio::from(OwnedFd::from(theirs)))
            .spawn()
            .map_err(failed)?;
        let pid = Pid::from_raw(process.id() as i32);
        let running_pid = Arc::new(Mutex::new(pid));
        let (read_stream, pid_when_ended) =
            (ours.try_clone().map_err(failed)?, Arc::clone(&running_pid));
        let (events, end_events) = (self.events.clone(), self.events.clone());
        thread::spawn(move || read_messages(child, read_stream, &events));
        thread::spawn(move || {
            let status = process.wait();
            *pid_when_ended
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = None;
            let exit = status.map_or_else(|e| e.to_string(), |status| status.to_string());
            let _ = end_events.send(Event::Ended(child, exit));
        });
        let sent = send_with_socket(
            &ours,
            &SupervisorMessage::begin(begin).write(),
            &self.listener,
        );
        let started = Process {
            stream: ours,
            running_pid,
        };
        if let Err(e) = sent {
            // The process has ended or does not read. It is killed, and its end is handled as that
            // of any process.
            warn!(
                target: part::SUPERVISOR,
                program = %file.display(),
                error = %e,
                "start instructions not delivered"
            );
            started.signal(Signal::KILL);
        }
        self.processes.insert(child, started);
        self.write_processes_file();
        Ok(())
    }
}

impl ProcessHost for SupervisorHost {
    fn start(&mut self, child: Child, begin: &StartInstructions) -> Result<(), HostError> {
        let another_process_serves = begin.another_process_serves || !self.orphans.is_empty();
        self.spawn(
            child,
            &StartInstructions {
                another_process_serves,
                ..begin.clone()
            },
        )
    }

    fn in_charge(&mut self, child: Child) {
        self.send(child, &SupervisorMessage::plain(kind::IN_CHARGE));
        for orphan in std::mem::take(&mut self.orphans) {
            if orphan.is_running()
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
        self.write_processes_file();
    }

    fn hand_over(&mut self, child: Child) {
        self.send(child, &SupervisorMessage::plain(kind::HAND_OVER));
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

    fn persist(&mut self, persisted: &PersistedState) -> Result<(), HostError> {
        self.store
            .persist(persisted, None)
            .map_err(|error| HostError::new(error.to_string()))
    }

    fn has(&mut self, version: Version) -> Result<(), HostError> {
        program_version::find(&self.options.programs, version)
            .map(drop)
            .map_err(|error| HostError::new(error.to_string()))
    }

    fn answer(&mut self, child: Child, no: u64, result: Result<(), HostError>) {
        self.send(child, &SupervisorMessage::done(no, &result));
    }

    fn log(&mut self, line: &str) {
        info!(target: part::SUPERVISOR, event = "program", "{line}");
    }
}
