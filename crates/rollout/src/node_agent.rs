//! The node agent takes part in rollouts of one kind on behalf of a node. It fetches and checks
//! offered versions, runs a version on trial once a stage includes the node, promotes the version
//! or rolls it back, and votes if the node is a voter.
//!
//! Steps of a rollout at a node: offered, content fetched, checked by the node, staged (on disk).
//! Once a stage includes the node, the trial is written to disk first and the version applied after
//! that. The version stays on trial until the cluster completes the rollout or rolls it back.
//!
//! Invariant: the disk always holds what is needed to start on the last promoted version.
//!
//! **Start after a crash on trial.** The persisted state still names the trial, so that
//! [`PersistedState::start_candidates`] counts the crash, clears the trial and returns the last
//! promoted version to start on. [`NodeAgent::new`] gets that trial as [`InitialState::crashed`],
//! reports the status [`NodeStatus::Crashed`] and waits for `RETRY_AFTER_CRASH` before it tries
//! the version once more, provided that the rollout still assigns it to this node. After
//! [`MAX_CRASHES`] it does not try the version again; the coordinator's analysis sees the crashes
//! and rolls the rollout back. A process that is told to leave clears the trial first
//! ([`NodeAgent::leave`]), so that its end does not count as a crash.
//!
//! The submodules hold the methods by concern: messages, assignment of versions, trials, staging,
//! persistence, voting, local metrics and reports.

mod assignment;
mod explain;
mod local_metrics;
mod messaging;
mod persistence;
mod staging;
mod trial;
mod voting;

use crate::chunks::ChunkFetch;
use crate::host::Host;
use crate::identifiers::{Kind, RolloutId, Version};
use crate::node_report::NodeReport;
#[cfg(doc)]
use crate::node_report::{MAX_CRASHES, NodeStatus};
use crate::paxos::{PaxosReply, PaxosRequest};
use crate::persisted_state::{PersistedState, Trial};
use crate::rollout::Rollout;
use crate::rollout_table::RolloutTable;
use crate::{Nanos, SECOND};
pub use local_metrics::LocalMetrics;
use std::collections::{BTreeMap, BTreeSet};

/// Interval of exchanges with a peer whose digest of rollouts differs.
const DIGEST_INTERVAL: Nanos = SECOND;
/// How long a check, a write or a switch of versions by the host may take before the node agent
/// gives the operation up and requests it again.
const OPERATION_TIMEOUT: Nanos = 20 * SECOND;
/// Time from a crash on trial, or from a failed switch of versions, to the next attempt.
const RETRY_AFTER_CRASH: Nanos = 20 * SECOND;
/// Interval of attempts to write the persisted state after a failed write.
const PERSIST_RETRY_INTERVAL: Nanos = 10 * SECOND;
/// How long ended rollouts are kept.
const ROLLOUT_RETENTION: Nanos = 7 * 24 * 3600 * SECOND;

/// The key of a node's name, and the number of the node's zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// The key of the node's name.
    pub key: u64,
    /// The number of the node's zone, which selects the threshold of a stage.
    pub zone: u32,
}

/// The state a node starts with, as read from its disk.
#[derive(Clone, Debug, Default)]
pub struct InitialState {
    /// The persisted state of the node's versions, as decoded from disk.
    pub persisted: PersistedState,
    /// The version that the process runs.
    pub running: Version,
    /// Contents on the node's disk, by version.
    pub contents: Vec<(Version, Vec<u8>)>,
    /// The content of the running version, if it is not on disk yet.
    pub new_content: Option<Vec<u8>>,
    /// The trial that crashed at this node before this start, if any.
    pub crashed: Option<Trial>,
    /// True if the node's disk was empty at the start. The node may then have lost a vote and
    /// abstains from voting for a while.
    pub disk_was_empty: bool,
}

/// The host operation whose result is awaited. A node agent has at most one pending operation.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PendingOperation {
    /// No host operation is pending.
    Nothing,
    /// A check whether this node can run a rollout's version.
    Check { rollout: RolloutId, since: Nanos },
    /// A write of the persisted state, and the step that follows it.
    Persist {
        write: u64,
        then: Continuation,
        since: Nanos,
    },
    /// A switch to another version.
    Apply { version: Version, since: Nanos },
}

/// The step that follows once a write is on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Continuation {
    /// No further step.
    Nothing,
    /// Mark a rollout's version as staged.
    Staged(RolloutId),
    /// Apply a version, on trial or as a rollback.
    Apply(Version),
    /// Send a voter's reply to the coordinator with this key.
    PaxosReply(u64, PaxosReply),
}

/// When this node first saw a stage of a rollout. The node's start slot is counted from that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StageFirstSeen {
    rollout: RolloutId,
    stage: u32,
    at: Nanos,
}

/// The state machine that fetches, checks, runs, promotes and rolls back versions at one node, for
/// rollouts of one kind.
pub struct NodeAgent<H: Host> {
    /// The embedder, which carries out the agent's side effects.
    pub host: H,
    /// The kind of the rollouts.
    kind: Kind,
    /// The key of this node's name.
    me: u64,
    /// The number of this node's zone.
    zone: u32,
    /// The state on disk, or the state that the pending write puts there.
    persisted: PersistedState,
    /// All rollouts that this node knows.
    pub(crate) rollouts: RolloutTable,
    /// The version that this node runs.
    running: Version,
    /// When this node began to run the version `running`, in Unix milliseconds.
    since_ms: u64,
    /// When a version last crashed on trial at this node, in Unix milliseconds; 0 if none did.
    last_crash_ms: u64,
    /// The host operation whose result is awaited.
    pending: PendingOperation,
    /// Number of writes so far; the last write has this number.
    write_count: u64,
    /// The unanswered Paxos request to this node as a voter, with the key of the coordinator that
    /// sent the request.
    voter_request: Option<(u64, PaxosRequest)>,
    /// When this node started, if its disk was empty and no agreement has been seen since.
    empty_disk_since: Option<Nanos>,
    /// When this node started.
    started: Nanos,
    /// True once the node has logged that it abstains from votes.
    abstention_logged: bool,
    /// When a write of the persisted state last failed; `None` while the disk is up to date.
    persist_failed_at: Option<Nanos>,
    /// The fetch of a rollout's content in progress.
    fetch: Option<ChunkFetch>,
    /// Contents by version, kept to be checked and to be sent to other nodes.
    contents: BTreeMap<Version, Vec<u8>>,
    /// Versions whose content has been checked and is on disk.
    staged: BTreeSet<Version>,
    /// Versions that this node rejected since its start, with the reason.
    rejected: BTreeMap<Version, String>,
    /// The last seen stage that includes this node, and when this node first saw the stage.
    stage_first_seen: Option<StageFirstSeen>,
    /// The earliest time of the next trial.
    not_before: Nanos,
    /// When digests of rollouts were last compared with peers.
    last_digest_exchange: Nanos,
    /// The report that was last passed to [`Host::show`].
    report: NodeReport,
    /// Local totals at the second-last record before the trial began.
    local_before: LocalMetrics,
    /// Local totals when the trial began.
    local_at_trial_start: Option<LocalMetrics>,
    /// The most recent local totals.
    local_latest: LocalMetrics,
}

impl<H: Host> NodeAgent<H> {
    /// Creates the agent of a node that has just started; `start` is what the node read from its
    /// disk.
    pub fn new(
        now: Nanos,
        unix_ms: u64,
        identity: NodeIdentity,
        start: InitialState,
        host: H,
    ) -> NodeAgent<H> {
        let InitialState {
            persisted,
            running,
            contents,
            new_content,
            crashed,
            disk_was_empty,
        } = start;
        let mut agent = NodeAgent {
            host,
            kind: persisted.kind,
            me: identity.key,
            zone: identity.zone,
            persisted,
            rollouts: RolloutTable::default(),
            running,
            since_ms: unix_ms,
            last_crash_ms: if crashed.is_some() { unix_ms } else { 0 },
            pending: PendingOperation::Nothing,
            write_count: 0,
            voter_request: None,
            empty_disk_since: disk_was_empty.then_some(now),
            started: now,
            abstention_logged: false,
            persist_failed_at: None,
            fetch: None,
            contents: contents.into_iter().collect(),
            staged: BTreeSet::new(),
            rejected: BTreeMap::new(),
            stage_first_seen: None,
            not_before: 0,
            last_digest_exchange: now,
            report: NodeReport::default(),
            local_before: LocalMetrics::default(),
            local_at_trial_start: None,
            local_latest: LocalMetrics::default(),
        };
        agent.apply_initial_state(now, crashed, new_content);
        agent
    }

    /// Applies the state that the node found on its disk: merges the persisted rollout, delays the
    /// next trial after a crash, and promotes the running version unless it is on trial.
    fn apply_initial_state(
        &mut self,
        now: Nanos,
        crashed: Option<Trial>,
        new_content: Option<Vec<u8>>,
    ) {
        let running = self.running;
        if let Some(head) = &self.persisted.head {
            self.rollouts.merge(head);
        }
        if let Some(trial) = crashed {
            self.not_before = now + RETRY_AFTER_CRASH;
            self.host.log(&format!(
                "version {} died on trial here, started on the last good one, {}",
                trial.version, running
            ));
        }
        // A process of the program may be started to run its version on trial; any other version
        // that a node starts on counts as promoted.
        let is_trial = self
            .persisted
            .trial
            .is_some_and(|trial| trial.version == running);
        if !is_trial && self.persisted.promoted != Some(running) {
            self.persisted.promote(running);
        }
        if let Some(content) = &new_content {
            self.contents.insert(running, content.clone());
        }
        self.persist(
            now,
            Continuation::Nothing,
            new_content.map(|content| (running, content)),
        );
        self.proceed(now);
    }

    /// Clears the trial because the process has been told to leave: a version on trial did not
    /// crash. Returns the state that the caller must write before the process ends.
    pub fn leave(&mut self) -> PersistedState {
        self.persisted.trial = None;
        self.persisted.clone()
    }

    /// Returns all rollouts that this node knows.
    pub fn rollouts(&self) -> &RolloutTable {
        &self.rollouts
    }

    /// Returns the kind of the rollouts.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the key of this node's name.
    pub fn me(&self) -> u64 {
        self.me
    }

    /// Returns whether a switch to another version is in progress.
    pub fn is_applying(&self) -> bool {
        matches!(self.pending, PendingOperation::Apply { .. })
    }

    /// Returns the report that was last passed to [`Host::show`].
    pub fn report(&self) -> &NodeReport {
        &self.report
    }

    /// Returns the version that this node runs.
    pub fn running(&self) -> Version {
        self.running
    }

    /// Returns the state on disk, or the state that the pending write puts there.
    pub fn persisted_state(&self) -> &PersistedState {
        &self.persisted
    }

    /// Returns a version's content, if this node has it.
    pub fn content(&self, version: Version) -> Option<&[u8]> {
        self.contents.get(&version).map(Vec::as_slice)
    }

    /// Returns why this node rejected a version since its start; `None` if it did not.
    pub fn rejection_reason(&self, version: Version) -> Option<&str> {
        self.rejected.get(&version).map(String::as_str)
    }

    /// Performs due work. Must be called a few times a second.
    pub fn wake(&mut self, now: Nanos, unix_ms: u64) {
        let is_timed_out = |since: Nanos| now > since + OPERATION_TIMEOUT;
        match &self.pending {
            PendingOperation::Check { since, .. }
            | PendingOperation::Persist { since, .. }
            | PendingOperation::Apply { since, .. }
                if is_timed_out(*since) =>
            {
                self.host
                    .log("check, write or switch of versions timed out: it is requested again");
                self.pending = PendingOperation::Nothing;
            }
            _ => {}
        }
        // After a failed write the state is written once the disk has room again: otherwise the
        // node would start on outdated state.
        if self.pending == PendingOperation::Nothing
            && self
                .persist_failed_at
                .is_some_and(|since| now >= since + PERSIST_RETRY_INTERVAL)
        {
            self.persist(now, Continuation::Nothing, None);
        }
        if now >= self.last_digest_exchange + DIGEST_INTERVAL {
            self.last_digest_exchange = now;
            self.rollouts.remove_expired(unix_ms, ROLLOUT_RETENTION);
            if let Some(other) = self.host.peer_with_other_digest(self.rollouts.digest()) {
                self.send_rollouts(other, true);
            }
        }
        self.proceed(now);
    }

    /// Starts the next steps that the known rollouts require, and shows the report if the report
    /// changed.
    fn proceed(&mut self, now: Nanos) {
        self.detect_lost_votes(now);
        if self.pending == PendingOperation::Nothing {
            self.answer_voter_request(now);
        }
        // The last agreed rollout and its outcome are kept on disk, so that a node that restarts
        // does not follow a rollout that has ended.
        let head = |rollout: &Rollout| (rollout.id, rollout.progress.agreement, rollout.outcome);
        if self.pending == PendingOperation::Nothing
            && self.rollouts.head(self.kind).map(head) != self.persisted.head.as_ref().map(head)
        {
            self.persist(now, Continuation::Nothing, None);
        }
        if self.pending == PendingOperation::Nothing {
            self.update_running_version(now);
        }
        if self.pending == PendingOperation::Nothing {
            self.stage_next(now);
        }
        let report = self.report_of(self.shown_rollout());
        if report != self.report {
            self.report = report;
            self.host.show(&self.report);
        }
    }
}
