//! A node's own part in rollouts of one kind: it fetches and checks what is offered, puts it on
//! trial when its stage comes, promotes or rolls it back, and votes if it is a voter.
//!
//! Life of a rollout here: offered, content fetched, checked by the node itself, staged (on disk);
//! when its stage comes, the trial is written to disk first, and only then the version is applied.
//! It stays on trial until the cluster completes the rollout or rolls it back.
//!
//! Invariant: what is on disk is always enough to start on the last promoted version.
//!
//! **A start after a crash on trial.** The persisted state still names the trial, so that
//! [`PersistedState::start_candidates`] counts the crash, clears the trial and offers the last
//! promoted version to start on. [`NodeAgent::new`] gets that trial as [`InitialState::crashed`],
//! reports the status [`NodeStatus::Crashed`] and waits [`RETRY_AFTER_CRASH`] before the version is
//! tried once more, provided that the rollout still assigns it to this node. After
//! [`MAX_CRASHES`] it is not tried again, and the coordinator's analysis sees the crashes and rolls
//! the rollout back. A process that ends by notice clears the trial first ([`NodeAgent::leave`]),
//! so that it does not count as a crash.
//!
//! The methods lie by concern in the files below: messages, what is to run, trials, staging,
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

/// Time between two exchanges with a peer whose digest differs.
const DIGEST_INTERVAL: Nanos = SECOND;
/// A check, write or swap that is not answered within this is asked for again.
const OPERATION_TIMEOUT: Nanos = 20 * SECOND;
/// Time from a crash on trial, or from a failed swap, to the next attempt.
const RETRY_AFTER_CRASH: Nanos = 20 * SECOND;
/// Time between two attempts to write what could not be written.
const PERSIST_RETRY_INTERVAL: Nanos = 10 * SECOND;
/// Rollouts that have ended are forgotten after this.
const ROLLOUT_RETENTION: Nanos = 7 * 24 * 3600 * SECOND;

/// A node's name and place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// The key of its name.
    pub key: u64,
    /// The number of its zone.
    pub zone: u32,
}

/// What a node starts with, as read from its disk.
#[derive(Clone, Debug, Default)]
pub struct InitialState {
    /// What was persisted.
    pub persisted: PersistedState,
    /// The version that it runs.
    pub running: Version,
    /// Contents that are on its disk.
    pub contents: Vec<(Version, Vec<u8>)>,
    /// The content of what it runs, if it is not on its disk yet.
    pub new_content: Option<Vec<u8>>,
    /// The trial that crashed here before this start, if one did.
    pub crashed: Option<Trial>,
    /// Whether its disk was empty.
    pub disk_was_empty: bool,
}

/// The one operation of the host whose result is awaited.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PendingOperation {
    /// None.
    Nothing,
    /// A check of a version.
    Check { rollout: RolloutId, since: Nanos },
    /// A write, and what follows it.
    Persist {
        write: u64,
        then: Continuation,
        since: Nanos,
    },
    /// A swap of versions.
    Apply { version: Version, since: Nanos },
}

/// What follows once a write is on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Continuation {
    /// Nothing.
    Nothing,
    /// The content of a rollout is staged.
    Staged(RolloutId),
    /// A version is applied, on trial or as a rollback.
    Apply(Version),
    /// The coordinator gets a vote.
    PaxosReply(u64, PaxosReply),
}

/// When this node first saw a stage of a rollout: its start slot counts from then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StageFirstSeen {
    rollout: RolloutId,
    stage: u32,
    at: Nanos,
}

/// A node's own part in rollouts of one kind.
pub struct NodeAgent<H: Host> {
    /// The embedder.
    pub host: H,
    /// What its rollouts change.
    kind: Kind,
    /// The key of its name.
    me: u64,
    /// The number of its zone.
    zone: u32,
    /// What is on disk, or will be once the pending write has ended.
    persisted: PersistedState,
    /// All rollouts that it knows.
    pub(crate) rollouts: RolloutTable,
    /// The version that it runs.
    running: Version,
    /// Since when, Unix milliseconds.
    since_ms: u64,
    /// When a version last crashed here, Unix milliseconds.
    last_crash_ms: u64,
    /// The operation of the host whose result is awaited.
    pending: PendingOperation,
    /// Writes so far; numbers them.
    write_count: u64,
    /// What was asked of this node as a voter, and by whom.
    voter_request: Option<(u64, PaxosRequest)>,
    /// When it started, if its disk was empty and no agreement was seen since.
    empty_disk_since: Option<Nanos>,
    /// When it started.
    started: Nanos,
    /// Whether it has logged that it abstains.
    abstained: bool,
    /// When a write last failed, while what is on disk is not as it should be.
    persist_failed_at: Option<Nanos>,
    /// The content that is being fetched.
    fetch: Option<ChunkFetch>,
    /// Contents by version: of what is staged, so that others can be served.
    contents: BTreeMap<Version, Vec<u8>>,
    /// Versions whose content is checked and on disk.
    staged: BTreeSet<Version>,
    /// Versions that were rejected here since the start, and why.
    rejected: BTreeMap<Version, String>,
    /// The stage that was seen last, and when.
    stage_first_seen: Option<StageFirstSeen>,
    /// No version is put on trial before this.
    not_before: Nanos,
    /// When rollouts were last exchanged with a peer.
    last_digest_exchange: Nanos,
    /// The last report.
    report: NodeReport,
    /// Local totals one interval before the trial.
    local_before: LocalMetrics,
    /// Local totals when the trial began.
    local_at_trial_start: Option<LocalMetrics>,
    /// The last local totals.
    local_latest: LocalMetrics,
}

impl<H: Host> NodeAgent<H> {
    /// A node that has just started, and read this from its disk.
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
            abstained: false,
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
        agent.take_up_start(now, crashed, new_content);
        agent
    }

    /// What the node does with what it found on its disk, first of all after its start.
    fn take_up_start(&mut self, now: Nanos, crashed: Option<Trial>, new_content: Option<Vec<u8>>) {
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
        // A program whose turn it is to be tried starts on trial; else what it starts on is good,
        // as far as it goes.
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

    /// The node ends by notice: what is on trial did not crash. Gives what is to be written before the
    /// process ends.
    pub fn leave(&mut self) -> PersistedState {
        self.persisted.trial = None;
        self.persisted.clone()
    }

    /// All rollouts that are known.
    pub fn rollouts(&self) -> &RolloutTable {
        &self.rollouts
    }

    /// What its rollouts change.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// The key of its name.
    pub fn me(&self) -> u64 {
        self.me
    }

    /// Whether another version is being applied at this moment.
    pub fn is_applying(&self) -> bool {
        matches!(self.pending, PendingOperation::Apply { .. })
    }

    /// The node's last report.
    pub fn report(&self) -> &NodeReport {
        &self.report
    }

    /// The version that it runs.
    pub fn running(&self) -> Version {
        self.running
    }

    /// What is on disk, or will be once the pending write has ended.
    pub fn persisted_state(&self) -> &PersistedState {
        &self.persisted
    }

    /// A version's content, if it is here.
    pub fn content(&self, version: Version) -> Option<&[u8]> {
        self.contents.get(&version).map(Vec::as_slice)
    }

    /// Why a version was rejected here.
    pub fn rejection_reason(&self, version: Version) -> Option<&str> {
        self.rejected.get(&version).map(String::as_str)
    }

    /// Does what is due; to be called a few times a second.
    pub fn wake(&mut self, now: Nanos, unix_ms: u64) {
        let late = |since: Nanos| now > since + OPERATION_TIMEOUT;
        match &self.pending {
            PendingOperation::Check { since, .. }
            | PendingOperation::Persist { since, .. }
            | PendingOperation::Apply { since, .. }
                if late(*since) =>
            {
                self.host
                    .log("what was asked of this node was not answered, and is asked for again");
                self.pending = PendingOperation::Nothing;
            }
            _ => {}
        }
        // A disk that has room again gets what it lacks: else the node would start on what is no
        // more.
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

    /// Finds what is to be done next, and does it.
    fn proceed(&mut self, now: Nanos) {
        self.detect_lost_votes(now);
        if self.pending == PendingOperation::Nothing {
            self.answer_voter_request(now);
        }
        // What was agreed on and how it ended is on the disk, so that who starts anew does not go
        // by what is over.
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
