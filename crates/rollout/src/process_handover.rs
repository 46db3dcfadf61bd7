//! A supervisor's decisions: which version of the program runs, how a new process takes the place of an
//! old one on the same listening socket, and what is started when one crashes. No I/O: fed what happens
//! and the time, it acts through [`ProcessHost`].
//!
//! Rules: the old process gets the notice to leave only once the new one serves and knows that it is in
//! charge, so that at every moment at least one process serves that has no such notice, but for the time
//! in which one that crashed is started anew. What is on disk is written by the process in charge alone.

use crate::host_error::HostError;
use crate::identifiers::Version;
use crate::persisted_state::{PersistedState, Trial};
use crate::{Nanos, SECOND};
use std::collections::BTreeMap;

/// A process that the supervisor started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Child(pub u64);

/// What a process starts with.
#[derive(Clone, Debug, PartialEq)]
pub struct StartInstructions {
    /// The persisted state.
    pub persisted: PersistedState,
    /// The version that the process is of.
    pub version: Version,
    /// The trial that crashed before this start, if one did.
    pub crashed: Option<Trial>,
    /// Whether the disk was empty.
    pub disk_was_empty: bool,
    /// Whether another process serves meanwhile: then this one waits until it is in charge.
    pub another_process_serves: bool,
}

/// What the decisions do.
pub trait ProcessHost {
    /// Starts a process; [`Supervisor::ready`] and [`Supervisor::ended`] take up what becomes of it.
    fn start(&mut self, child: Child, begin: &StartInstructions) -> Result<(), HostError>;
    /// Lets it know that it is in charge.
    fn in_charge(&mut self, child: Child);
    /// Gives it the notice to leave, as another process takes its place.
    fn hand_over(&mut self, child: Child);
    /// Gives it the notice to leave for good.
    fn leave(&mut self, child: Child);
    /// Kills it.
    fn kill(&mut self, child: Child);
    /// Writes the persisted state; it is on disk when this returns.
    fn persist(&mut self, persisted: &PersistedState) -> Result<(), HostError>;
    /// Whether a version is on this machine, or why it can't be started.
    fn has(&mut self, version: Version) -> Result<(), HostError>;
    /// Answers a request of a process.
    fn answer(&mut self, child: Child, request: u64, result: Result<(), HostError>);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}

/// A new process is ready within this, or is killed.
const READY_TIMEOUT: Nanos = 30 * SECOND;
/// Time between two starts of what crashes at once; doubled each time.
const MIN_RESTART_DELAY: Nanos = SECOND;
/// The longest time between two starts.
const MAX_RESTART_DELAY: Nanos = 30 * SECOND;
/// A process that lived this long did not crash at once.
const STABLE_AFTER: Nanos = 60 * SECOND;
/// A version that crashed at once this often goes after the others that may run.
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
    /// Who asked for it, and by which question; nobody if it was started because there was none.
    asked: Option<(Child, u64)>,
}

/// The supervisor.
pub struct Supervisor<H: ProcessHost> {
    /// The embedder.
    pub host: H,
    /// What is on disk.
    persisted: PersistedState,
    /// Whether the disk was empty.
    disk_was_empty: bool,
    /// The version that the operator gave to start on.
    given: Version,
    /// The time that a process may take to leave.
    stop: Nanos,
    /// The process in charge.
    in_charge_process: Option<Process>,
    /// The process that does not serve yet.
    starting: Option<Starting>,
    /// Processes that got the notice to leave.
    leaving: Vec<Process>,
    /// Processes started so far; numbers them.
    children: u64,
    /// The trial that crashed, until a process serves again.
    crashed: Option<Trial>,
    /// No process is started before this.
    not_before: Nanos,
    /// Crashes in a row of processes that lived shortly.
    quick_crashes: u32,
    /// Such crashes by version; not to serve at all counts as [`MAX_QUICK_CRASHES`].
    failures: BTreeMap<Version, u32>,
    /// Whether all is to end.
    ends: bool,
}

impl<H: ProcessHost> Supervisor<H> {
    /// A supervisor that read this from its disk; it starts a process.
    pub fn new(
        now: Nanos,
        persisted: PersistedState,
        disk_was_empty: bool,
        given: Version,
        stop: Nanos,
        host: H,
    ) -> Supervisor<H> {
        let mut parent = Supervisor {
            host,
            persisted,
            disk_was_empty,
            given,
            stop,
            in_charge_process: None,
            starting: None,
            leaving: Vec::new(),
            children: 0,
            crashed: None,
            not_before: 0,
            quick_crashes: 0,
            failures: BTreeMap::new(),
            ends: false,
        };
        parent.start_one(now);
        parent
    }

    /// The process in charge, and its version.
    pub fn in_charge(&self) -> Option<(Child, Version)> {
        self.in_charge_process
            .map(|process| (process.child, process.version))
    }

    /// Whether all processes have ended.
    pub fn is_over(&self) -> bool {
        self.ends
            && self.in_charge_process.is_none()
            && self.starting.is_none()
            && self.leaving.is_empty()
    }

    /// Starts a process if there is none: of the versions that it may run, the first that is here.
    fn start_one(&mut self, now: Nanos) {
        if self.ends
            || self.in_charge_process.is_some()
            || self.starting.is_some()
            || now < self.not_before
        {
            return;
        }
        let (all, crashed) = self.persisted.start_candidates(self.given);
        if let Some(trial) = crashed {
            self.crashed = Some(trial);
            if let Err(why) = self.host.persist(&self.persisted) {
                self.host.log(&format!(
                    "that version {} died could not be written: {why}",
                    trial.version
                ));
            }
        }
        // What did not come to serve lately, or crashed at once again and again, goes after the
        // others.
        let mut all = all;
        all.sort_by_key(|version| {
            self.failures.get(version).copied().unwrap_or(0) / MAX_QUICK_CRASHES
        });
        for version in all {
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
        self.wait_longer(now);
    }

    fn wait_longer(&mut self, now: Nanos) {
        self.not_before =
            now + (MIN_RESTART_DELAY << self.quick_crashes.min(8)).min(MAX_RESTART_DELAY);
        self.quick_crashes += 1;
    }

    fn start(
        &mut self,
        now: Nanos,
        version: Version,
        asked: Option<(Child, u64)>,
    ) -> Result<(), HostError> {
        self.children += 1;
        let child = Child(self.children);
        let another_process_serves = self.in_charge_process.is_some();
        let begin = StartInstructions {
            persisted: self.persisted.clone(),
            version,
            crashed: self.crashed,
            disk_was_empty: self.disk_was_empty,
            another_process_serves,
        };
        self.host.start(child, &begin)?;
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
            asked,
        });
        Ok(())
    }

    // ---- What processes say ----

    /// A process serves.
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

    /// A process wants this persisted; only the one in charge may, or the only one that there is.
    pub fn persist(&mut self, child: Child, request: u64, persisted: PersistedState) {
        let only = self
            .starting
            .filter(|_| self.in_charge_process.is_none())
            .map(|starting| starting.process.child);
        if self.in_charge_process.map(|process| process.child).or(only) != Some(child) {
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

    /// A process asks whether a version can be run here.
    pub fn check(&mut self, child: Child, request: u64, version: Version) {
        let here = self.host.has(version);
        self.host.answer(child, request, here);
    }

    /// The process in charge wants another version to take its place. It is answered only if that is not
    /// possible: else it gets the notice to leave.
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
        if self.starting.is_some() || self.ends {
            return self.host.answer(
                child,
                request,
                Err("another one is being started, or all of it ends".into()),
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

    /// The operator wants the process renewed: another one of the version in charge takes its place,
    /// without a gap.
    pub fn renew(&mut self, now: Nanos) {
        let Some(in_charge_process) = self
            .in_charge_process
            .filter(|_| self.starting.is_none() && !self.ends)
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

    /// A process ended.
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
            self.failed(now, &starting, &format!("it ended before it served, {how}"));
        }
        if let Some(process) = self
            .in_charge_process
            .take_if(|process| process.child == child)
        {
            if self.ends {
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
                self.wait_longer(now);
            } else {
                self.quick_crashes = 1; // the first time at once
            }
            // One that is being started takes its place when it serves; else one is started now.
            self.start_one(now);
        }
    }

    /// A process did not come to serve.
    fn failed(&mut self, now: Nanos, starting: &Starting, why: &str) {
        let version = starting.process.version;
        self.host
            .log(&format!("version {version} did not come to serve: {why}"));
        match (starting.asked, self.in_charge_process) {
            (Some((child, request)), Some(in_charge_process))
                if in_charge_process.child == child =>
            {
                self.host.answer(child, request, Err(why.into()));
            }
            _ => {
                *self.failures.entry(version).or_default() += MAX_QUICK_CRASHES;
                self.wait_longer(now);
                self.start_one(now);
            }
        }
    }

    // ---- Time and notices ----

    /// Does what is due; to be called a few times a second.
    pub fn wake(&mut self, now: Nanos) {
        if let Some(starting) = self
            .starting
            .take_if(|starting| now > starting.process.since + READY_TIMEOUT)
        {
            self.host.kill(starting.process.child);
            self.failed(now, &starting, "it was not ready in time");
        }
        let late = |process: &Process| now > process.since + self.stop;
        for process in self.leaving.iter_mut().filter(|process| late(process)) {
            self.host.log(&format!(
                "version {} did not leave in time, and is killed",
                process.version
            ));
            self.host.kill(process.child);
            process.since = now;
        }
        self.start_one(now);
    }

    /// The supervisor itself got the notice to leave: all processes get it.
    pub fn leave(&mut self, now: Nanos) {
        if std::mem::replace(&mut self.ends, true) {
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

    /// What is on disk.
    pub fn persisted(&self) -> &PersistedState {
        &self.persisted
    }
}

#[cfg(test)]
mod tests;
