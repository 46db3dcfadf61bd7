//! The supervisor's state machine: which version of the program runs, how a new process replaces
//! the old one on the same listening socket, and what is started after a crash. It does no I/O: it
//! takes events and the time, and acts through [`ProcessHost`].
//!
//! Rules: the old process is told to leave only once the new one serves and has been told that it
//! is in charge. So there is always a serving process that has not been told to leave, except while
//! a crashed process is being restarted. Only the process in charge may have the persisted state
//! written, or the starting process while no process is in charge.

use crate::host_error::HostError;
use crate::identifiers::Version;
use crate::persisted_state::{PersistedState, Trial};
use crate::{Nanos, SECOND};
use std::collections::BTreeMap;

/// Identifies a process that the supervisor started. Processes are numbered from 1 in the order of
/// their starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Child(pub u64);

/// The instructions that a process gets at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct StartInstructions {
    /// The persisted state that the process begins with.
    pub persisted: PersistedState,
    /// The version that the process runs.
    pub version: Version,
    /// The trial that crashed before this start, if any.
    pub crashed: Option<Trial>,
    /// True if the disk was empty when the supervisor started and no process has served since.
    pub disk_was_empty: bool,
    /// True if another process is serving. The started process then waits until it is told that it
    /// is in charge.
    pub another_process_serves: bool,
}

/// The interface between a [`Supervisor`] and its embedder, which starts and signals processes and
/// writes to disk.
pub trait ProcessHost {
    /// Starts a process. [`Supervisor::ready`] and [`Supervisor::ended`] report its further course.
    fn start(&mut self, child: Child, instructions: &StartInstructions) -> Result<(), HostError>;
    /// Tells a process that it is in charge.
    fn in_charge(&mut self, child: Child);
    /// Tells a process to leave because another process has replaced it.
    fn hand_over(&mut self, child: Child);
    /// Tells a process to leave because the supervisor stops.
    fn leave(&mut self, child: Child);
    /// Kills a process.
    fn kill(&mut self, child: Child);
    /// Writes the persisted state; it is on disk when this returns.
    fn persist(&mut self, persisted: &PersistedState) -> Result<(), HostError>;
    /// Checks that a version is installed on this machine. Otherwise returns why it cannot be
    /// started.
    fn has(&mut self, version: Version) -> Result<(), HostError>;
    /// Answers the request with the number `request` of the process `child`.
    fn answer(&mut self, child: Child, request: u64, result: Result<(), HostError>);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}

/// How long a new process may take to become ready before it is killed.
const READY_TIMEOUT: Nanos = 30 * SECOND;
/// Time before the restart of a process that crashed soon after its start; doubled with each
/// further quick crash or failed start.
const MIN_RESTART_DELAY: Nanos = SECOND;
/// Maximum time before a restart, however many quick crashes came before.
const MAX_RESTART_DELAY: Nanos = 30 * SECOND;
/// A crash this long after the process became ready does not count as a quick crash.
const STABLE_AFTER: Nanos = 60 * SECOND;
/// Number of quick crashes after which a version is tried only after the other start candidates.
const MAX_QUICK_CRASHES: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Process {
    child: Child,
    version: Version,
    since: Nanos,
}

#[derive(Clone, Copy, Debug)]
struct Starting {
    process: Process,
    /// The process that requested the start and the number of its request; `None` if the supervisor
    /// started the process by itself or for the operator.
    requested_by: Option<(Child, u64)>,
}

/// The supervisor of a node's processes.
pub struct Supervisor<H: ProcessHost> {
    /// The embedder, which carries out the supervisor's side effects.
    pub host: H,
    /// The state of the node's versions as last written to disk; given to each started process.
    persisted: PersistedState,
    /// True if the disk was empty when the supervisor started; cleared once a process serves.
    disk_was_empty: bool,
    /// The version that the operator installed to start on.
    given: Version,
    /// How long a process may take to leave before it is killed.
    stop_timeout: Nanos,
    /// The process that serves and may have the persisted state written; `None` while none serves.
    in_charge_process: Option<Process>,
    /// The process that has been started and does not serve yet, if any.
    starting: Option<Starting>,
    /// Processes that have been told to leave.
    leaving: Vec<Process>,
    /// Number of processes started so far, which is the number of the last started process.
    child_count: u64,
    /// The trial that crashed before the next start; cleared once a process serves.
    crashed: Option<Trial>,
    /// The earliest time at which the next process may be started.
    not_before: Nanos,
    /// Number of consecutive quick crashes and failed starts.
    quick_crashes: u32,
    /// Quick crashes by version; a failed start counts as [`MAX_QUICK_CRASHES`].
    failures: BTreeMap<Version, u32>,
    /// True once [`Supervisor::leave`] was called; no process is started from then on.
    is_stopping: bool,
}

impl<H: ProcessHost> Supervisor<H> {
    /// Creates a supervisor with the state read from its disk, and starts a process. `given` is the
    /// version that the operator installed; `stop_timeout` is how long a process may take to leave.
    pub fn new(
        now: Nanos,
        persisted: PersistedState,
        disk_was_empty: bool,
        given: Version,
        stop_timeout: Nanos,
        host: H,
    ) -> Supervisor<H> {
        let mut supervisor = Supervisor {
            host,
            persisted,
            disk_was_empty,
            given,
            stop_timeout,
            in_charge_process: None,
            starting: None,
            leaving: Vec::new(),
            child_count: 0,
            crashed: None,
            not_before: 0,
            quick_crashes: 0,
            failures: BTreeMap::new(),
            is_stopping: false,
        };
        supervisor.start_if_none(now);
        supervisor
    }

    /// Returns the process in charge and its version.
    pub fn in_charge(&self) -> Option<(Child, Version)> {
        self.in_charge_process
            .map(|process| (process.child, process.version))
    }

    /// Returns whether the supervisor is stopping and all processes have ended.
    pub fn is_over(&self) -> bool {
        self.is_stopping
            && self.in_charge_process.is_none()
            && self.starting.is_none()
            && self.leaving.is_empty()
    }

    /// Starts a process of the first installed start candidate, unless a process is in charge or
    /// being started.
    fn start_if_none(&mut self, now: Nanos) {
        if self.is_stopping
            || self.in_charge_process.is_some()
            || self.starting.is_some()
            || now < self.not_before
        {
            return;
        }
        let (candidates, crashed) = self.persisted.start_candidates(self.given);
        if let Some(trial) = crashed {
            self.crashed = Some(trial);
            if let Err(why) = self.host.persist(&self.persisted) {
                self.host.log(&format!(
                    "crash of version {} could not be written: {why}",
                    trial.version
                ));
            }
        }
        // Versions whose start failed or that had repeated quick crashes come after the others.
        let mut candidates = candidates;
        candidates.sort_by_key(|version| {
            self.failures.get(version).copied().unwrap_or(0) / MAX_QUICK_CRASHES
        });
        for version in candidates {
            let started = self
                .host
                .has(version)
                .and_then(|()| self.start(now, version, None));
            match started {
                Ok(()) => return,
                Err(why) => self
                    .host
                    .log(&format!("version {version} can't be started: {why}")),
            }
        }
        self.back_off(now);
    }

    /// Delays the next start; the delay doubles with each quick crash or failed start.
    fn back_off(&mut self, now: Nanos) {
        self.not_before =
            now + (MIN_RESTART_DELAY << self.quick_crashes.min(8)).min(MAX_RESTART_DELAY);
        self.quick_crashes += 1;
    }

    fn start(
        &mut self,
        now: Nanos,
        version: Version,
        requested_by: Option<(Child, u64)>,
    ) -> Result<(), HostError> {
        self.child_count += 1;
        let child = Child(self.child_count);
        let another_process_serves = self.in_charge_process.is_some();
        let instructions = StartInstructions {
            persisted: self.persisted.clone(),
            version,
            crashed: self.crashed,
            disk_was_empty: self.disk_was_empty,
            another_process_serves,
        };
        self.host.start(child, &instructions)?;
        self.host.log(&format!(
            "version {version} starts{}",
            if another_process_serves {
                " beside the old one"
            } else {
                ""
            }
        ));
        self.starting = Some(Starting {
            process: Process {
                child,
                version,
                since: now,
            },
            requested_by,
        });
        Ok(())
    }

    // ---- Events of processes ----

    /// Handles a process's report that it serves. The process takes charge, and the previous
    /// process is told to leave.
    pub fn ready(&mut self, now: Nanos, child: Child) {
        let Some(starting) = self
            .starting
            .take_if(|starting| starting.process.child == child)
        else {
            return;
        };
        let process = Process {
            since: now,
            ..starting.process
        };
        self.host.in_charge(child);
        (self.crashed, self.disk_was_empty) = (None, false);
        match self.in_charge_process.replace(process) {
            Some(old) => {
                let line = format!(
                    "version {} serves, {} is told to leave",
                    process.version, old.version
                );
                self.host.log(&line);
                self.host.hand_over(old.child);
                self.leaving.push(Process { since: now, ..old });
            }
            None => self
                .host
                .log(&format!("version {} serves", process.version)),
        }
    }

    /// Handles a process's request to write the persisted state. Only the process in charge may
    /// request this, or the starting process while no process is in charge.
    pub fn persist(&mut self, child: Child, request: u64, persisted: PersistedState) {
        let sole_process = self
            .starting
            .filter(|_| self.in_charge_process.is_none())
            .map(|starting| starting.process.child);
        if self
            .in_charge_process
            .map(|process| process.child)
            .or(sole_process)
            != Some(child)
        {
            return self
                .host
                .answer(child, request, Err("another process is in charge".into()));
        }
        let written = self.host.persist(&persisted);
        if written.is_ok() {
            self.persisted = persisted;
        }
        self.host.answer(child, request, written);
    }

    /// Answers a process's request whether a version can be started on this machine.
    pub fn check(&mut self, child: Child, request: u64, version: Version) {
        let result = self.host.has(version);
        self.host.answer(child, request, result);
    }

    /// Handles a request of the process in charge to be replaced by another version. The request is
    /// answered only if it fails or the version already runs. Otherwise the process is told to
    /// leave once the new process serves.
    pub fn apply(&mut self, now: Nanos, child: Child, request: u64, version: Version) {
        let Some(in_charge_process) = self
            .in_charge_process
            .filter(|process| process.child == child)
        else {
            return self
                .host
                .answer(child, request, Err("another process is in charge".into()));
        };
        if in_charge_process.version == version {
            return self.host.answer(child, request, Ok(()));
        }
        if self.starting.is_some() || self.is_stopping {
            return self.host.answer(
                child,
                request,
                Err("another process is being started, or the supervisor is stopping".into()),
            );
        }
        let started = self
            .host
            .has(version)
            .and_then(|()| self.start(now, version, Some((child, request))));
        if let Err(why) = started {
            self.host.answer(child, request, Err(why));
        }
    }

    /// Replaces the process in charge by another one of the same version, without interruption of
    /// service; requested by the operator. Does nothing while another process is being started.
    pub fn renew(&mut self, now: Nanos) {
        let Some(in_charge_process) = self
            .in_charge_process
            .filter(|_| self.starting.is_none() && !self.is_stopping)
        else {
            return;
        };
        if let Err(why) = self.start(now, in_charge_process.version, None) {
            self.host.log(&format!(
                "version {} can't be started anew: {why}",
                in_charge_process.version
            ));
        }
    }

    /// Handles the end of a process; `how`, such as the exit status, is shown in the log.
    pub fn ended(&mut self, now: Nanos, child: Child, how: &str) {
        if let Some(at) = self
            .leaving
            .iter()
            .position(|process| process.child == child)
        {
            let process = self.leaving.remove(at);
            self.host
                .log(&format!("version {} has left, {how}", process.version));
        }
        if let Some(starting) = self
            .starting
            .take_if(|starting| starting.process.child == child)
        {
            self.start_failed(now, &starting, &format!("it ended before it served, {how}"));
        }
        if let Some(process) = self
            .in_charge_process
            .take_if(|process| process.child == child)
        {
            if self.is_stopping {
                return;
            }
            self.host
                .log(&format!("version {} died, {how}", process.version));
            if now >= process.since + STABLE_AFTER {
                (self.quick_crashes, self.failures) = (0, BTreeMap::new());
            } else {
                *self.failures.entry(process.version).or_default() += 1;
            }
            if self.quick_crashes > 0 {
                self.back_off(now);
            } else {
                self.quick_crashes = 1; // the first restart is immediate
            }
            // A process that is being started takes charge once it serves. If none is being
            // started, one is started now.
            self.start_if_none(now);
        }
    }

    /// Handles a process that ended or timed out before it served.
    fn start_failed(&mut self, now: Nanos, starting: &Starting, why: &str) {
        let version = starting.process.version;
        self.host
            .log(&format!("version {version} did not come to serve: {why}"));
        match (starting.requested_by, self.in_charge_process) {
            (Some((child, request)), Some(in_charge_process))
                if in_charge_process.child == child =>
            {
                self.host.answer(child, request, Err(why.into()));
            }
            _ => {
                *self.failures.entry(version).or_default() += MAX_QUICK_CRASHES;
                self.back_off(now);
                self.start_if_none(now);
            }
        }
    }

    // ---- Timers and stop ----

    /// Performs due work. Must be called a few times a second.
    pub fn wake(&mut self, now: Nanos) {
        if let Some(starting) = self
            .starting
            .take_if(|starting| now > starting.process.since + READY_TIMEOUT)
        {
            self.host.kill(starting.process.child);
            self.start_failed(now, &starting, "it was not ready in time");
        }
        let is_late = |process: &Process| now > process.since + self.stop_timeout;
        for process in self.leaving.iter_mut().filter(|process| is_late(process)) {
            self.host.log(&format!(
                "version {} did not leave in time, and is killed",
                process.version
            ));
            self.host.kill(process.child);
            process.since = now;
        }
        self.start_if_none(now);
    }

    /// Stops the supervisor: all processes are told to leave, and no further one is started.
    pub fn leave(&mut self, now: Nanos) {
        if std::mem::replace(&mut self.is_stopping, true) {
            return;
        }
        if let Some(starting) = self.starting.take() {
            self.host.leave(starting.process.child);
            self.leaving.push(Process {
                since: now,
                ..starting.process
            });
        }
        if let Some(process) = self.in_charge_process.take() {
            self.host.leave(process.child);
            self.leaving.push(Process {
                since: now,
                ..process
            });
        }
    }

    /// Returns the persisted state on disk.
    pub fn persisted(&self) -> &PersistedState {
        &self.persisted
    }
}

#[cfg(test)]
mod tests;
