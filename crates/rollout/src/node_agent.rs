//! A node's part in rollouts of one kind: a method for each thing that happens, acting through a
//! small [`Host`].
//!
//! The life of a rollout here: known, fetched, checked by the node itself, staged (its content is on
//! the disk), and when its stage comes on trial: first that is written, then it takes force. On
//! trial it stays until the fleet finds it good or takes it back. What is written is always enough
//! to start on the last good version.

use crate::chunks::{self, ChunkFetch, FetchProgress};
use crate::cohort_metrics::WindowSample;
use crate::coordinator::Member;
use crate::messages::{ReceivedMessage, rollouts as rollout_messages};
use crate::paxos::{self, PaxosReply, PaxosRequest, VoterAction};
use crate::persisted_state::{PersistedState, Trial};
use crate::rollout::{Kind, Outcome, Reason, Rollout, RolloutId, RolloutTable, Version};
use crate::stages::{Progress, seconds};
use crate::{MILLISECOND, Nanos, SECOND};
use std::collections::BTreeMap;

/// What a node's part does to the world. None of it may wait; what takes time is answered by a
/// method.
pub trait Host {
    /// Send to a node, by the key of its name.
    fn send(&mut self, to: u64, message: ReceivedMessage);
    /// Write a line to the log: one for each rollout of what the node does about a rollout.
    fn log(&mut self, line: &str);
    /// Some other nodes that are there, by turns.
    fn random_peers(&mut self, most: usize) -> Vec<u64>;
    /// One that is there and knows other rollouts, by the digest that it shows; if there is one.
    fn peer_with_other_digest(&mut self, digest: u64) -> Option<u64>;
    /// Show this to the fleet, on the node's entry.
    fn show(&mut self, report: &NodeReport);
    /// Check a version by its content; answered by [`NodeAgent::checked`].
    fn check(&mut self, rollout: RolloutId, version: Version, content: Option<Vec<u8>>);
    /// Write what is kept, and a content with it; contents that are not needed any more may go.
    /// Answered by [`NodeAgent::kept`].
    fn persist(&mut self, no: u64, persisted: &PersistedState, content: Option<(Version, Vec<u8>)>);
    /// Run this version from here on; answered by [`NodeAgent::applied`].
    fn apply(&mut self, version: Version);
    /// The fleet as this node sees it, itself among it.
    fn members(&mut self) -> Vec<Member>;
    /// Look into a content that is offered here, or into a program's version; answered by
    /// [`crate::Participant::looked_into`]. A host that takes no orders is never asked.
    fn check_offer(&mut self, _no: u64, _version: Option<Version>, _content: Option<Vec<u8>>) {}
    /// What all nodes counted in these windows, as far as it is known here.
    fn windows(&mut self, from: u64, until: u64) -> Vec<(u64, Vec<WindowSample>)>;
}

/// How a node stands to the rollout that it goes by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum NodeStatus {
    /// It goes by none.
    #[default]
    Unknown,
    /// Its content is being fetched or checked.
    Offered,
    /// It can't be run here.
    Rejected,
    /// It could begin.
    Staged,
    /// It is written down and taking force.
    Starting,
    OnTrial,
    /// The whole fleet found it good.
    Promoted,
    /// It was taken back here.
    RolledBack,
    /// It died on trial here, and is not tried again by itself for a while, or at all.
    Crashed,
}

impl NodeStatus {
    /// Its word, as tables show it.
    pub fn word(self) -> &'static str {
        match self {
            NodeStatus::Unknown => "-",
            NodeStatus::Offered => "known",
            NodeStatus::Rejected => "turned down",
            NodeStatus::Staged => "staged",
            NodeStatus::Starting => "beginning",
            NodeStatus::OnTrial => "on trial",
            NodeStatus::Promoted => "good",
            NodeStatus::RolledBack => "taken back",
            NodeStatus::Crashed => "died",
        }
    }

    pub(crate) fn from_number(number: u32) -> NodeStatus {
        let all = [
            NodeStatus::Unknown,
            NodeStatus::Offered,
            NodeStatus::Rejected,
            NodeStatus::Staged,
            NodeStatus::Starting,
            NodeStatus::OnTrial,
            NodeStatus::Promoted,
            NodeStatus::RolledBack,
            NodeStatus::Crashed,
        ];
        all.get(number as usize).copied().unwrap_or_default()
    }
}

/// What a node starts with.
#[derive(Clone, Debug, Default)]
pub struct InitialState {
    pub persisted: PersistedState,
    pub running: Version,
    /// Contents that its disk has.
    pub contents: Vec<(Version, Vec<u8>)>,
    /// The content of what it runs, if that is not on its disk yet.
    pub new_content: Option<Vec<u8>>,
    /// The version that died here on trial, if one did.
    pub crashed: Option<Trial>,
    /// Whether nothing was on its disk.
    pub fresh: bool,
}

/// What a node says of itself: which version it runs since when, and how it stands to which rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeReport {
    pub rollout: RolloutId,
    /// What it knows of that rollout.
    pub stage: u32,
    pub outcome: Outcome,
    pub status: NodeStatus,
    pub running: Version,
    /// The last good one: what it starts on.
    pub good: Version,
    /// Unix milliseconds.
    pub since_ms: u64,
    /// How often the version died here, and when it did last, by the Unix clock.
    pub crashes: u32,
    pub last_crash_ms: u64,
    pub why: String,
    /// Of all rollouts that it knows.
    pub digest: u64,
}

/// What the node itself came to lately, for its own look at a version on trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalMetrics {
    pub arrived: u64,
    pub succeeded: u64,
    pub errored: u64,
    pub invariants: u64,
}

/// Between two words to one whose rollouts differ.
const DIGEST_INTERVAL: Nanos = SECOND;
/// Nodes that hear of something new at once.
const ANNOUNCE_FANOUT: usize = 3;
/// A check, a write or a swap that was not answered for so long is asked for again.
const OPERATION_TIMEOUT: Nanos = 20 * SECOND;
/// After a death the version is tried once more, after this; who dies twice takes it back.
const RETRY_AFTER_CRASH: Nanos = 20 * SECOND;
pub(crate) const MAX_CRASHES: u32 = 2;
/// What could not be written is tried again after this.
const PERSIST_RETRY_INTERVAL: Nanos = 10 * SECOND;
/// A node alone halts what is plainly bad: of so many invocations since, so much less succeed than
/// of as many before.
const LOCAL_MIN_REQUESTS: u64 = 50;
const LOCAL_SUCCESS_DROP: f64 = 0.5;
/// One that starts with nothing on its disk and hears of agreements within this may have lost what
/// it voted, and takes no part for as long at most.
const VOTE_LOSS_PERIOD: Nanos = 600 * SECOND;
/// RolloutTable that are over are forgotten after this.
const ROLLOUT_RETENTION: Nanos = 7 * 24 * 3600 * SECOND;

/// What is waited for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PendingOperation {
    Nothing,
    Check {
        rollout: RolloutId,
        since: Nanos,
    },
    /// A write, and what follows it.
    Persist {
        no: u64,
        then: Continuation,
        since: Nanos,
    },
    Apply {
        version: Version,
        since: Nanos,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Continuation {
    /// Nothing more.
    Nothing,
    /// The content of a rollout is staged.
    Staged(RolloutId),
    /// A version takes force, on trial or back.
    Apply(Version),
    /// The one who conducts is told of a vote.
    PaxosReply(u64, PaxosReply),
}

/// A node's part.
pub struct NodeAgent<H: Host> {
    pub host: H,
    kind: Kind,
    me: u64,
    zone: u32,
    persisted: PersistedState,
    pub(crate) rollouts: RolloutTable,
    running: Version,
    since_ms: u64,
    last_crash_ms: u64,
    pending: PendingOperation,
    write_count: u64,
    /// What is asked of this node as a voter, and by whom.
    voter_request: Option<(u64, PaxosRequest)>,
    /// When it started, if nothing was on its disk.
    empty_disk_since: Option<Nanos>,
    started: Nanos,
    abstained: bool,
    /// Since when what is kept is not on the disk as it should be, or was last tried.
    persist_failed_at: Option<Nanos>,
    fetch: Option<ChunkFetch>,
    /// Contents by version, as far as they are here: of what is staged, so that others can be told.
    contents: BTreeMap<Version, Vec<u8>>,
    staged: BTreeMap<Version, bool>,
    rejected: BTreeMap<Version, String>,
    /// When this node heard that it is in a stage; and when it may try again after a death.
    stage_first_seen: Option<(RolloutId, u32, Nanos)>,
    not_before: Nanos,
    last_digest_exchange: Nanos,
    report: NodeReport,
    /// What the node came to before and since the version on trial took force.
    local_before: LocalMetrics,
    local_at_trial_start: Option<LocalMetrics>,
    local_latest: LocalMetrics,
}

impl<H: Host> NodeAgent<H> {
    /// A node that has just started, and read this from its disk.
    pub fn new(
        now: Nanos,
        unix_ms: u64,
        (me, zone): (u64, u32),
        start: InitialState,
        host: H,
    ) -> NodeAgent<H> {
        let InitialState {
            persisted,
            running,
            contents,
            new_content,
            crashed,
            fresh,
        } = start;
        let mut agent = NodeAgent {
            host,
            kind: persisted.kind,
            me,
            zone,
            persisted,
            rollouts: RolloutTable::default(),
            running,
            since_ms: unix_ms,
            last_crash_ms: if crashed.is_some() { unix_ms } else { 0 },
            pending: PendingOperation::Nothing,
            write_count: 0,
            voter_request: None,
            empty_disk_since: fresh.then_some(now),
            started: now,
            abstained: false,
            persist_failed_at: None,
            fetch: None,
            contents: contents.into_iter().collect(),
            staged: BTreeMap::new(),
            rejected: BTreeMap::new(),
            stage_first_seen: None,
            not_before: 0,
            last_digest_exchange: now,
            report: NodeReport::default(),
            local_before: LocalMetrics::default(),
            local_at_trial_start: None,
            local_latest: LocalMetrics::default(),
        };
        if let Some(head) = &agent.persisted.head {
            agent.rollouts.merge(head);
        }
        if let Some(trial) = crashed {
            agent.not_before = now + RETRY_AFTER_CRASH;
            agent.host.log(&format!(
                "version {} died on trial here, started on the last good one, {}",
                trial.version, running
            ));
        }
        // A program whose turn it is to be tried starts on trial; else what it starts on is good,
        // as far as it goes.
        let is_trial = agent
            .persisted
            .trial
            .is_some_and(|trial| trial.version == running);
        if !is_trial && agent.persisted.good != Some(running) {
            agent.persisted.promote(running);
        }
        if let Some(content) = &new_content {
            agent.contents.insert(running, content.clone());
        }
        agent.persist(
            now,
            Continuation::Nothing,
            new_content.map(|content| (running, content)),
        );
        agent.proceed(now);
        agent
    }

    /// The node ends, by notice: what is on trial did not die. Gives what is to be written before
    /// the process ends.
    pub fn leave(&mut self) -> PersistedState {
        self.persisted.trial = None;
        self.persisted.clone()
    }

    // ---- What is known ----

    /// All rollouts that are known.
    pub fn rollouts(&self) -> &RolloutTable {
        &self.rollouts
    }

    /// What it has a part in changing.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// The key of its name.
    pub fn me(&self) -> u64 {
        self.me
    }

    /// Whether another version is taking force at this moment.
    pub fn is_applying(&self) -> bool {
        matches!(self.pending, PendingOperation::Apply { .. })
    }

    /// What it says of itself.
    pub fn report(&self) -> &NodeReport {
        &self.report
    }

    /// What it runs.
    pub fn running(&self) -> Version {
        self.running
    }

    /// What is on the disk, or will be.
    pub fn persisted_state(&self) -> &PersistedState {
        &self.persisted
    }

    /// A version's content, if it is here.
    pub fn content(&self, version: Version) -> Option<&[u8]> {
        self.contents.get(&version).map(Vec::as_slice)
    }

    /// Why a version was turned down here.
    pub fn rejection_reason(&self, version: Version) -> Option<&str> {
        self.rejected.get(&version).map(String::as_str)
    }

    // ---- Words ----

    /// The node itself offers a rollout.
    pub fn offer(&mut self, now: Nanos, rollout: Rollout, content: Option<Vec<u8>>) {
        if let Some(content) = content {
            self.contents.insert(rollout.version, content);
        }
        self.learn(now, &rollout);
    }

    /// Somebody here moves a rollout towards safety: an operator, or a look at its figures.
    pub fn end(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        id: RolloutId,
        outcome: Outcome,
        why: &str,
    ) -> bool {
        let ends = self
            .rollouts
            .end(id, outcome, Reason::new(unix_ms, self.me, why));
        if ends {
            self.host
                .log(&format!("change {id}: {}, {why}", outcome.word()));
            self.announce();
            self.proceed(now);
        }
        ends
    }

    /// The voters agreed that a rollout has come so far.
    pub fn advance(&mut self, now: Nanos, id: RolloutId, progress: &Progress) -> bool {
        let advances = self.rollouts.advance(id, progress);
        if advances {
            let line = match self.rollouts.get(id) {
                Some(rollout) if rollout.outcome == Outcome::Completed => {
                    "done, the whole fleet runs it".to_owned()
                }
                _ => format!("stage {} begins", progress.stage),
            };
            self.host.log(&format!("change {id}: {line}"));
            self.announce();
            self.proceed(now);
        }
        advances
    }

    fn learn(&mut self, now: Nanos, received: &Rollout) -> bool {
        if received.kind != self.kind {
            return false;
        }
        let before = self
            .rollouts
            .get(received.id)
            .map(|rollout| (rollout.outcome, rollout.progress.stage));
        if !self.rollouts.merge(received) {
            return false;
        }
        if let Some(rollout) = self.rollouts.get(received.id) {
            let (outcome, stage) = before.unwrap_or((Outcome::InProgress, 0));
            let (id, version) = (rollout.id, rollout.version);
            let line = match rollout.outcome {
                now if now > outcome => Some(format!(
                    "change {id}: {}, {}",
                    now.word(),
                    rollout.reason.why
                )),
                Outcome::InProgress if rollout.progress.stage > stage => Some(format!(
                    "change {id}: stage {} begins",
                    rollout.progress.stage
                )),
                Outcome::InProgress if before.is_none() => Some(format!(
                    "change {id}: {version} is offered in place of {}",
                    rollout.base
                )),
                _ => None,
            };
            if let Some(line) = line {
                self.host.log(&line);
            }
        }
        self.announce();
        self.proceed(now);
        true
    }

    fn announce(&mut self) {
        for to in self.host.random_peers(ANNOUNCE_FANOUT) {
            for message in rollout_messages(self.rollouts.iter(), false) {
                self.host.send(to, message);
            }
        }
    }

    /// Something was told.
    pub fn handle_message(&mut self, now: Nanos, from: u64, message: ReceivedMessage) {
        match message {
            ReceivedMessage::Rollouts { rollouts, answer } => {
                let mine: Vec<Rollout> = rollouts
                    .into_iter()
                    .filter(|rollout| rollout.kind == self.kind)
                    .collect();
                for rollout in &mine {
                    self.learn(now, rollout);
                }
                if answer {
                    for message in rollout_messages(self.rollouts.iter(), false) {
                        self.host.send(from, message);
                    }
                }
            }
            ReceivedMessage::Poll {
                no,
                rollout,
                stage,
                outcome,
            } => {
                if self.rollouts.get(rollout).is_none()
                    && !self.rollouts.iter().any(|c| c.id == rollout)
                {
                    // It knows nothing of it yet, and asks.
                    rollout_messages(self.rollouts.iter(), true)
                        .into_iter()
                        .for_each(|message| self.host.send(from, message));
                }
                let report = self.report_on(rollout);
                if (report.stage, report.outcome) > (stage, outcome) {
                    // It knows more than the one who conducts.
                    rollout_messages(self.rollouts.iter(), true)
                        .into_iter()
                        .for_each(|message| self.host.send(from, message));
                } else if (report.stage, report.outcome) < (stage, outcome) {
                    self.last_digest_exchange = 0; // and the other way round
                }
                self.host
                    .send(from, ReceivedMessage::NodeReport { no, report });
            }
            ReceivedMessage::ChunkRequest {
                rollout,
                first,
                count,
            } => {
                let version = self.rollouts.get(rollout).map(|rollout| rollout.version);
                let content = version.and_then(|version| self.contents.get(&version));
                let chunks: Vec<(u32, Vec<u8>)> = (first
                    ..first.saturating_add(count.min(chunks::CHUNKS_PER_REQUEST)))
                    .filter_map(|no| Some((no, chunks::chunk(content?, no)?.to_vec())))
                    .collect();
                for (no, bytes) in chunks {
                    self.host
                        .send(from, ReceivedMessage::Chunk { rollout, no, bytes });
                }
            }
            ReceivedMessage::Chunk { rollout, no, bytes } => {
                if let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.rollout == rollout) {
                    fetch.insert(no, &bytes);
                    self.proceed(now);
                }
            }
            ReceivedMessage::PaxosRequest(kind, request) => {
                // Of two the later one holds: the earlier is asked again, or given up.
                self.voter_request = Some((from, request)).filter(|_| kind == self.kind);
                self.proceed(now);
            }
            ReceivedMessage::NodeReport { .. } | ReceivedMessage::PaxosReply(..) => {}
        }
    }

    /// The report, on this rollout.
    fn report_on(&self, rollout: RolloutId) -> NodeReport {
        NodeReport {
            rollout,
            ..self.report_of(self.rollouts.get(rollout))
        }
    }

    // ---- Time ----

    /// Does what is due; to be called some times a second.
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
                rollout_messages(self.rollouts.iter(), true)
                    .into_iter()
                    .for_each(|message| self.host.send(other, message));
            }
        }
        self.proceed(now);
    }

    /// What the node itself came to so far: a version that is plainly bad is taken back without
    /// asking anybody.
    pub fn record_local_metrics(&mut self, now: Nanos, unix_ms: u64, own: LocalMetrics) {
        let Some(trial) = self
            .persisted
            .trial
            .filter(|trial| trial.version == self.running)
        else {
            // The last two words before a trial are what it is compared with.
            (self.local_before, self.local_at_trial_start) = (
                LocalMetrics {
                    ..self.local_latest
                },
                None,
            );
            self.local_latest = own;
            return;
        };
        let begun = *self.local_at_trial_start.get_or_insert(own);
        self.local_latest = own;
        let since = |of: fn(&LocalMetrics) -> u64| of(&own).saturating_sub(of(&begun));
        let before =
            |of: fn(&LocalMetrics) -> u64| of(&begun).saturating_sub(of(&self.local_before));
        let invariants = since(|own| own.invariants);
        if invariants > 0 {
            let why = format!("{invariants} invariants did not hold at one node");
            self.end(now, unix_ms, trial.rollout, Outcome::RolledBack, &why);
            return;
        }
        let (arrived, arrived_before) = (since(|own| own.arrived), before(|own| own.arrived));
        if arrived < LOCAL_MIN_REQUESTS || arrived_before < LOCAL_MIN_REQUESTS {
            return;
        }
        let share = since(|own| own.succeeded) as f64 / arrived as f64;
        let share_before = before(|own| own.succeeded) as f64 / arrived_before as f64;
        if share < share_before - LOCAL_SUCCESS_DROP {
            let why = format!(
                "{:.0} % succeed at one node, {:.0} % did before",
                share * 100.0,
                share_before * 100.0
            );
            self.end(now, unix_ms, trial.rollout, Outcome::RolledBack, &why);
        }
    }

    // ---- What is done ----

    fn of_kind(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts
            .iter()
            .filter(|rollout| rollout.kind == self.kind)
    }

    /// The last one that is done and is not here yet.
    fn missing_completed(&self) -> Option<&Rollout> {
        let good = self.persisted.good.unwrap_or(self.running);
        let done = self.of_kind().filter(|rollout| {
            rollout.outcome == Outcome::Completed && rollout.version.number > good.number
        });
        done.filter(|rollout| !self.rejected.contains_key(&rollout.version))
            .max_by_key(|rollout| rollout.progress.agreement)
    }

    /// The one that was taken back and runs here.
    fn running_rolled_back(&self) -> Option<&Rollout> {
        self.of_kind().find(|rollout| {
            matches!(rollout.outcome, Outcome::Rejected | Outcome::RolledBack)
                && rollout.version == self.running
        })
    }

    /// The rollout that this node is shown to go by.
    fn shown_rollout(&self) -> Option<&Rollout> {
        let trial = self
            .persisted
            .trial
            .and_then(|trial| self.rollouts.get(trial.rollout));
        let in_progress = self.rollouts.in_progress(self.kind);
        let current = || {
            self.rollouts
                .current(self.kind)
                .or_else(|| self.rollouts.head(self.kind))
        };
        trial
            .or_else(|| self.running_rolled_back())
            .or(in_progress)
            .or_else(|| self.missing_completed())
            .or_else(current)
    }

    /// Looks at what is to be done next, and does it.
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

    /// A voter that starts without anything on its disk, in a fleet that has agreed on things,
    /// may have lost its votes: it takes part again after two more agreements, when nothing that it
    /// can have voted on is open; or after so long that whoever can have counted its vote has long
    /// brought that to its end.
    fn detect_lost_votes(&mut self, now: Nanos) {
        let known = paxos::last_agreement(&self.rollouts, self.kind);
        let Some(empty_disk_since) = self.empty_disk_since.filter(|_| known > 0) else {
            return;
        };
        self.empty_disk_since = None;
        if now < empty_disk_since + VOTE_LOSS_PERIOD && self.persisted.vote.is_none() {
            self.persisted.abstains_to = known + 2;
        }
    }

    /// What is asked of a voter: its vote is written before it is told.
    fn answer_voter_request(&mut self, now: Nanos) {
        let Some((from, request)) = self.voter_request.take() else {
            return;
        };
        let agreement = match &request {
            PaxosRequest::Prepare { agreement, .. } => *agreement,
            PaxosRequest::Accept { proposal, .. } => proposal.progress.agreement,
        };
        if agreement <= self.persisted.abstains_to && now < self.started + VOTE_LOSS_PERIOD {
            let from = self.persisted.abstains_to + 1;
            if !std::mem::replace(&mut self.abstained, true) {
                self.host.log(&format!(
                    "nothing was on the disk: votes on changes from agreement {from} on"
                ));
            }
            return;
        }
        let vote = self.persisted.vote.clone().unwrap_or_default();
        match vote.handle_request(&self.rollouts, self.kind, &request) {
            VoterAction::Reply(reply) => self
                .host
                .send(from, ReceivedMessage::PaxosReply(self.kind, reply)),
            VoterAction::Persist(vote, reply) => {
                self.persisted.vote = Some(vote);
                self.persist(now, Continuation::PaxosReply(from, reply), None);
            }
            VoterAction::Behind => rollout_messages(self.rollouts.iter(), true)
                .into_iter()
                .for_each(|message| self.host.send(from, message)),
            VoterAction::Ahead => rollout_messages(self.rollouts.iter(), false)
                .into_iter()
                .for_each(|message| self.host.send(from, message)),
        }
    }

    /// What this node runs: whether it is to be another version by what is known.
    fn update_running_version(&mut self, now: Nanos) {
        if let Some(trial) = self.persisted.trial {
            let Some(rollout) = self.rollouts.get(trial.rollout).cloned() else {
                // Only what is over is forgotten: it was taken back, or another one is in force.
                return self.roll_back(now, trial.version, self.running);
            };
            return match rollout.assignment(self.me, self.zone) {
                Some(false) => self.roll_back(now, trial.version, rollout.base),
                Some(true)
                    if rollout.outcome == Outcome::Completed && self.running == trial.version =>
                {
                    self.promote(now, trial.version);
                }
                Some(true) | None => {}
            };
        }
        if now < self.not_before {
            return;
        }
        if let Some((version, base)) = self
            .running_rolled_back()
            .map(|rollout| (rollout.version, rollout.base))
        {
            return self.roll_back(now, version, base);
        }
        let in_stage = self
            .rollouts
            .in_progress(self.kind)
            .filter(|c| c.assignment(self.me, self.zone) == Some(true));
        let Some(rollout) = self.missing_completed().or(in_stage).cloned() else {
            return;
        };
        let version = rollout.version;
        if self.running != version
            && self.staged.contains_key(&version)
            && self.persisted.crashes(version) < MAX_CRASHES
        {
            self.start_trial(now, &rollout);
        }
    }

    /// What may be begun later is fetched and checked: what is missing here, then what is under
    /// way, then what goes next.
    fn stage_next(&mut self, now: Nanos) {
        let in_progress = self.rollouts.in_progress(self.kind);
        let all = [
            self.missing_completed(),
            in_progress,
            self.rollouts.next(self.kind),
        ];
        let is_here = |version: Version| {
            self.staged.contains_key(&version)
                || self.rejected.contains_key(&version)
                || version == self.running
        };
        let rollout = all
            .into_iter()
            .flatten()
            .find(|rollout| !is_here(rollout.version))
            .cloned();
        match rollout {
            Some(rollout) => self.fetch_and_check(now, &rollout),
            None => self.fetch = None,
        }
    }

    /// Fetches, checks and writes a rollout's content.
    fn fetch_and_check(&mut self, now: Nanos, rollout: &Rollout) {
        let has = self.contents.contains_key(&rollout.version);
        if rollout.kind == Kind::Settings && !has {
            if self
                .fetch
                .as_ref()
                .is_none_or(|fetch| fetch.rollout != rollout.id)
            {
                self.fetch = ChunkFetch::new(rollout);
            }
            let Some(fetch) = &mut self.fetch else {
                return self.reject(rollout, "its content is too large");
            };
            match fetch.progress() {
                FetchProgress::Complete(content) => {
                    self.contents.insert(rollout.version, content);
                    self.fetch = None;
                }
                FetchProgress::Corrupt { given_up: true } => {
                    return self.reject(rollout, "its content is not what its hash says");
                }
                FetchProgress::Corrupt { given_up: false } | FetchProgress::Incomplete => {
                    if let Some((first, count)) = fetch.next_request(now) {
                        // Whoever offered it has it; others may.
                        let mut to = self.host.random_peers(1);
                        to.push(rollout.by);
                        to.dedup();
                        for to in to {
                            self.host.send(
                                to,
                                ReceivedMessage::ChunkRequest {
                                    rollout: rollout.id,
                                    first,
                                    count,
                                },
                            );
                        }
                    }
                    return;
                }
            }
        }
        self.pending = PendingOperation::Check {
            rollout: rollout.id,
            since: now,
        };
        let content = self.contents.get(&rollout.version).cloned();
        self.host.check(rollout.id, rollout.version, content);
    }

    fn reject(&mut self, rollout: &Rollout, why: &str) {
        self.host
            .log(&format!("change {}: turned down here, {why}", rollout.id));
        self.rejected.insert(rollout.version, why.to_owned());
        self.contents.remove(&rollout.version);
        self.fetch = None;
    }

    /// A check was carried out.
    pub fn check_finished(&mut self, now: Nanos, id: RolloutId, result: Result<(), String>) {
        if !matches!(self.pending, PendingOperation::Check { rollout, .. } if rollout == id) {
            return; // asked for again meanwhile
        }
        self.pending = PendingOperation::Nothing;
        let Some(rollout) = self.rollouts.get(id).cloned() else {
            return;
        };
        match result {
            Err(why) => self.reject(&rollout, &why),
            Ok(()) => {
                let content = self
                    .contents
                    .get(&rollout.version)
                    .cloned()
                    .map(|c| (rollout.version, c));
                self.persist(now, Continuation::Staged(id), content);
            }
        }
        self.proceed(now);
    }

    fn persist(&mut self, now: Nanos, then: Continuation, content: Option<(Version, Vec<u8>)>) {
        self.write_count += 1;
        self.persisted.head = self.rollouts.head(self.kind).cloned();
        self.pending = PendingOperation::Persist {
            no: self.write_count,
            then,
            since: now,
        };
        let persisted = self.persisted.clone();
        self.host.persist(self.write_count, &persisted, content);
    }

    /// A write was carried out, or could not be.
    pub fn persist_finished(&mut self, now: Nanos, no: u64, result: Result<(), String>) {
        let then = match &self.pending {
            PendingOperation::Persist {
                no: pending, then, ..
            } if *pending == no => then.clone(),
            _ => return,
        };
        self.pending = PendingOperation::Nothing;
        let was_unwritten = self.persist_failed_at.take().is_some();
        if result.is_err() {
            self.persist_failed_at = Some(now);
        } else if was_unwritten {
            self.host.log("what is in force is written again");
        }
        match (then, result) {
            (Continuation::Nothing, Ok(())) => {}
            (Continuation::Nothing, Err(_)) if was_unwritten => {} // told before
            (Continuation::Nothing, Err(why)) => self
                .host
                .log(&format!("what is in force could not be written: {why}")),
            (Continuation::Staged(id), result) => {
                if let Some(rollout) = self.rollouts.get(id).cloned() {
                    match result {
                        Ok(()) => {
                            self.host.log(&format!(
                                "change {id}: version {} is staged",
                                rollout.version
                            ));
                            self.staged.insert(rollout.version, true);
                        }
                        Err(why) => {
                            self.reject(&rollout, &format!("it could not be written: {why}"))
                        }
                    }
                }
            }
            (Continuation::PaxosReply(to, reply), Ok(())) => self
                .host
                .send(to, ReceivedMessage::PaxosReply(self.kind, reply)),
            (Continuation::PaxosReply(..), Err(why)) => self
                .host
                .log(&format!("a vote could not be written: {why}")),
            // It was halted meanwhile: who has not begun does not begin.
            (Continuation::Apply(_), Ok(())) if self.is_pending_trial_halted() => {
                self.persisted.trial = None
            }
            (Continuation::Apply(version), Ok(())) => {
                self.pending = PendingOperation::Apply {
                    version,
                    since: now,
                };
                self.host.apply(version);
            }
            // Towards safety it goes without its note; a version on trial must be noted before it
            // takes force.
            (Continuation::Apply(version), Err(why)) if self.persisted.trial.is_none() => {
                self.host.log(&format!(
                    "goes back though that could not be written: {why}"
                ));
                self.pending = PendingOperation::Apply {
                    version,
                    since: now,
                };
                self.host.apply(version);
            }
            (Continuation::Apply(_), Err(why)) => {
                if let Some(rollout) = self
                    .persisted
                    .trial
                    .take()
                    .and_then(|trial| self.rollouts.get(trial.rollout).cloned())
                {
                    self.reject(
                        &rollout,
                        &format!("its trial could not be written down: {why}"),
                    );
                }
            }
        }
        self.proceed(now);
    }

    fn is_pending_trial_halted(&self) -> bool {
        let trial = self
            .persisted
            .trial
            .filter(|trial| trial.version != self.running);
        trial
            .and_then(|trial| self.rollouts.get(trial.rollout))
            .is_some_and(|rollout| rollout.outcome > Outcome::Completed)
    }

    /// A version's turn has come here: in its slot it is written down as on trial, and then takes
    /// force.
    fn start_trial(&mut self, now: Nanos, rollout: &Rollout) {
        let stage = rollout.progress.stage;
        let received = match self.stage_first_seen {
            Some((id, of, received)) if (id, of) == (rollout.id, stage) => received,
            _ => {
                self.stage_first_seen = Some((rollout.id, stage, now));
                now
            }
        };
        let spread = rollout.plan.stage(stage).map_or(0, |stage| stage.spread);
        let slot = if rollout.outcome == Outcome::Completed {
            0
        } else {
            rollout
                .progress
                .slot(rollout.id, self.me, self.zone, spread)
        };
        if now < received + slot {
            return;
        }
        let tries = self.persisted.crashes(rollout.version) + 1;
        self.persisted.trial = Some(Trial {
            rollout: rollout.id,
            version: rollout.version,
            tries,
        });
        self.persist(now, Continuation::Apply(rollout.version), None);
    }

    /// A version runs now, or can't be run.
    pub fn apply_finished(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        version: Version,
        result: Result<(), String>,
    ) {
        if !matches!(self.pending, PendingOperation::Apply { version: pending, .. } if pending == version)
        {
            return;
        }
        self.pending = PendingOperation::Nothing;
        match result {
            Ok(()) => {
                let word = if self.persisted.trial.is_some() {
                    "on trial"
                } else {
                    "in force"
                };
                self.host.log(&format!(
                    "version {version} is {word}, in place of {}",
                    self.running
                ));
                (self.running, self.since_ms) = (version, unix_ms);
                self.local_at_trial_start = None;
            }
            Err(why) => {
                self.host
                    .log(&format!("version {version} can't be run: {why}"));
                // What can't be gone back to is tried again, and shown until then.
                self.not_before = now + RETRY_AFTER_CRASH;
                if let Some(trial) = self
                    .persisted
                    .trial
                    .take_if(|trial| trial.version == version)
                {
                    self.persisted.reject(version, MAX_CRASHES);
                    self.rejected.insert(version, why.clone());
                    self.persist(now, Continuation::Nothing, None);
                    self.end(
                        now,
                        unix_ms,
                        trial.rollout,
                        Outcome::RolledBack,
                        &format!("it can't be run at one node: {why}"),
                    );
                }
            }
        }
        self.proceed(now);
    }

    fn promote(&mut self, now: Nanos, version: Version) {
        if self.persisted.good != Some(version) || self.persisted.trial.is_some() {
            self.persisted.promote(version);
            self.host.log(&format!(
                "version {version} is good, and the one to start on"
            ));
            self.forget_contents();
            self.persist(now, Continuation::Nothing, None);
        }
    }

    /// Back to the last good version; of one that was found good and is taken back later, to the
    /// one before.
    fn roll_back(&mut self, now: Nanos, version: Version, base: Version) {
        self.persisted.trial = None;
        self.persisted
            .reject(version, self.persisted.crashes(version));
        if self.persisted.good == Some(version) {
            self.persisted.good = self.persisted.before.take().or(Some(base));
        }
        let to = self.persisted.good.unwrap_or(base);
        self.local_at_trial_start = None;
        self.staged.remove(&version);
        if self.running == to {
            return self.persist(now, Continuation::Nothing, None);
        }
        self.persist(now, Continuation::Apply(to), None);
    }

    /// Contents of versions that are neither kept nor offered make room.
    fn forget_contents(&mut self) {
        let needed: Vec<Version> = self.persisted.needed().collect();
        let open = |version: &Version| {
            self.rollouts
                .iter()
                .any(|c| c.version == *version && !c.is_over())
        };
        self.contents
            .retain(|version, _| needed.contains(version) || open(version));
    }

    /// How it stands to a rollout.
    fn node_status(&self, rollout: &Rollout) -> NodeStatus {
        let version = rollout.version;
        let trial = self
            .persisted
            .trial
            .is_some_and(|trial| trial.version == version);
        match () {
            () if self.running == version && self.persisted.good == Some(version) => {
                NodeStatus::Promoted
            }
            () if self.running == version && trial => NodeStatus::OnTrial,
            () if trial => NodeStatus::Starting,
            () if matches!(rollout.outcome, Outcome::Rejected | Outcome::RolledBack) => {
                match self.persisted.is_rejected(version) {
                    true => NodeStatus::RolledBack,
                    false => NodeStatus::Offered,
                }
            }
            () if self.persisted.crashes(version) > 0 => NodeStatus::Crashed,
            () if self.rejected.contains_key(&version) => NodeStatus::Rejected,
            () if self.staged.contains_key(&version) => NodeStatus::Staged,
            () => NodeStatus::Offered,
        }
    }

    fn report_of(&self, rollout: Option<&Rollout>) -> NodeReport {
        let of = rollout.map(|rollout| rollout.version);
        NodeReport {
            rollout: rollout.map_or(RolloutId(0), |rollout| rollout.id),
            stage: rollout.map_or(0, |rollout| rollout.progress.stage),
            outcome: rollout.map_or(Outcome::InProgress, |rollout| rollout.outcome),
            status: rollout.map_or(NodeStatus::Unknown, |rollout| self.node_status(rollout)),
            running: self.running,
            good: self.persisted.good.unwrap_or_default(),
            since_ms: self.since_ms,
            crashes: of.map_or(0, |version| self.persisted.crashes(version)),
            last_crash_ms: self.last_crash_ms,
            why: of
                .and_then(|version| self.rejected.get(&version))
                .cloned()
                .unwrap_or_default(),
            digest: self.rollouts.digest(),
        }
    }

    /// Why the node runs what it runs, in words.
    pub fn explain(&self, unix_ms: u64) -> Vec<String> {
        let ago = |since: u64| seconds(unix_ms.saturating_sub(since) * MILLISECOND);
        let mut lines = vec![format!(
            "runs version {} since {} ago",
            self.running,
            ago(self.since_ms)
        )];
        let shown = |version: Option<Version>| version.map_or("none".to_owned(), |v| v.to_string());
        lines.push(format!(
            "the last good one is {}, before it {}; it starts on the last good one",
            shown(self.persisted.good),
            shown(self.persisted.before)
        ));
        if let Some(rollout) = self.shown_rollout() {
            let assignment = match rollout.assignment(self.me, self.zone) {
                Some(true) => "this node is in its stage",
                Some(false) if rollout.outcome == Outcome::InProgress => {
                    "this node is not in its stage"
                }
                Some(false) => "this node goes back, or never went",
                None => "this node stays as it is",
            };
            lines.push(format!(
                "change {}: {} in place of {}, stage {} of {}, {}{}; {assignment}; it is {} here{}",
                rollout.id,
                rollout.version,
                rollout.base,
                rollout.progress.stage,
                rollout.plan.stages.len(),
                rollout.outcome.word(),
                if rollout.outcome > Outcome::InProgress {
                    format!(" ({})", rollout.reason.why)
                } else {
                    String::new()
                },
                self.report.status.word(),
                if self.report.why.is_empty() {
                    String::new()
                } else {
                    format!(": {}", self.report.why)
                }
            ));
        }
        for (version, crashes) in &self.persisted.rejected {
            lines.push(format!(
                "version {version} was taken back or turned down here, and died {crashes} times"
            ));
        }
        lines
    }
}
