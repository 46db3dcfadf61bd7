//! A node's part in changes of one kind: a method for each thing that happens, acting through a
//! small [`Host`].
//!
//! The life of a change here: known, fetched, checked by the node itself, staged (its content is on
//! the disk), and when its stage comes on trial: first that is written, then it takes force. On
//! trial it stays until the fleet finds it good or takes it back. What is written is always enough
//! to start on the last good version.

use crate::chunks::{self, ChunkFetch, FetchProgress};
use crate::cohort_metrics::WindowSample;
use crate::coordinator::Member;
use crate::messages::{ReceivedMessage, changes as in_parcels};
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
    fn send(&mut self, to: u64, told: ReceivedMessage);
    /// Write a line to the log: one for each change of what the node does about a change.
    fn log(&mut self, line: &str);
    /// Some other nodes that are there, by turns.
    fn some(&mut self, most: usize) -> Vec<u64>;
    /// One that is there and knows other changes, by the digest that it shows; if there is one.
    fn differs(&mut self, digest: u64) -> Option<u64>;
    /// Show this to the fleet, on the node's entry.
    fn show(&mut self, report: &NodeReport);
    /// Check a version by its content; answered by [`NodeAgent::checked`].
    fn check(&mut self, change: RolloutId, version: Version, content: Option<Vec<u8>>);
    /// Write what is kept, and a content with it; contents that are not needed any more may go.
    /// Answered by [`NodeAgent::kept`].
    fn keep(&mut self, no: u64, kept: &PersistedState, content: Option<(Version, Vec<u8>)>);
    /// Run this version from here on; answered by [`NodeAgent::applied`].
    fn apply(&mut self, version: Version);
    /// The fleet as this node sees it, itself among it.
    fn members(&mut self) -> Vec<Member>;
    /// Look into a content that is offered here, or into a program's version; answered by
    /// [`crate::Participant::looked_into`]. A host that takes no orders is never asked.
    fn look_into(&mut self, _no: u64, _version: Option<Version>, _content: Option<Vec<u8>>) {}
    /// What all nodes counted in these windows, as far as it is known here.
    fn windows(&mut self, from: u64, until: u64) -> Vec<(u64, Vec<WindowSample>)>;
}

/// How a node stands to the change that it goes by.
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
    pub kept: PersistedState,
    pub running: Version,
    /// Contents that its disk has.
    pub contents: Vec<(Version, Vec<u8>)>,
    /// The content of what it runs, if that is not on its disk yet.
    pub new_content: Option<Vec<u8>>,
    /// The version that died here on trial, if one did.
    pub died: Option<Trial>,
    /// Whether nothing was on its disk.
    pub fresh: bool,
}

/// What a node says of itself: which version it runs since when, and how it stands to which change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeReport {
    pub change: RolloutId,
    /// What it knows of that change.
    pub stage: u32,
    pub fate: Outcome,
    pub stand: NodeStatus,
    pub running: Version,
    /// The last good one: what it starts on.
    pub good: Version,
    /// Unix milliseconds.
    pub since_ms: u64,
    /// How often the version died here, and when it did last, by the Unix clock.
    pub died: u32,
    pub died_ms: u64,
    pub why: String,
    /// Of all changes that it knows.
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

/// Between two words to one whose changes differ.
const COMPARE: Nanos = SECOND;
/// Nodes that hear of something new at once.
const TELL: usize = 3;
/// A check, a write or a swap that was not answered for so long is asked for again.
const ANSWER: Nanos = 20 * SECOND;
/// After a death the version is tried once more, after this; who dies twice takes it back.
const AGAIN: Nanos = 20 * SECOND;
pub(crate) const DEATHS: u32 = 2;
/// What could not be written is tried again after this.
const REWRITE: Nanos = 10 * SECOND;
/// A node alone halts what is plainly bad: of so many invocations since, so much less succeed than
/// of as many before.
const OWN_SAMPLE: u64 = 50;
const OWN_LESS: f64 = 0.5;
/// One that starts with nothing on its disk and hears of agreements within this may have lost what
/// it voted, and takes no part for as long at most.
const NEW: Nanos = 600 * SECOND;
/// RolloutTable that are over are forgotten after this.
const REMEMBERED: Nanos = 7 * 24 * 3600 * SECOND;

/// What is waited for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PendingOperation {
    Nothing,
    Check {
        change: RolloutId,
        since: Nanos,
    },
    /// A write, and what follows it.
    Keep {
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
    Rest,
    /// The content of a change is staged.
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
    kept: PersistedState,
    pub(crate) changes: RolloutTable,
    running: Version,
    since_ms: u64,
    died_ms: u64,
    waits: PendingOperation,
    writes: u64,
    /// What is asked of this node as an arbiter, and by whom.
    asked: Option<(u64, PaxosRequest)>,
    /// When it started, if nothing was on its disk.
    born: Option<Nanos>,
    started: Nanos,
    abstained: bool,
    /// Since when what is kept is not on the disk as it should be, or was last tried.
    unwritten: Option<Nanos>,
    fetch: Option<ChunkFetch>,
    /// Contents by version, as far as they are here: of what is staged, so that others can be told.
    contents: BTreeMap<Version, Vec<u8>>,
    staged: BTreeMap<Version, bool>,
    turned_down: BTreeMap<Version, String>,
    /// When this node heard that it is in a stage; and when it may try again after a death.
    heard_stage: Option<(RolloutId, u32, Nanos)>,
    not_before: Nanos,
    compared: Nanos,
    report: NodeReport,
    /// What the node came to before and since the version on trial took force.
    own_before: LocalMetrics,
    own_begun: Option<LocalMetrics>,
    own_last: LocalMetrics,
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
            kept,
            running,
            contents,
            new_content,
            died,
            fresh,
        } = start;
        let mut local = NodeAgent {
            host,
            kind: kept.kind,
            me,
            zone,
            kept,
            changes: RolloutTable::default(),
            running,
            since_ms: unix_ms,
            died_ms: if died.is_some() { unix_ms } else { 0 },
            waits: PendingOperation::Nothing,
            writes: 0,
            asked: None,
            born: fresh.then_some(now),
            started: now,
            abstained: false,
            unwritten: None,
            fetch: None,
            contents: contents.into_iter().collect(),
            staged: BTreeMap::new(),
            turned_down: BTreeMap::new(),
            heard_stage: None,
            not_before: 0,
            compared: now,
            report: NodeReport::default(),
            own_before: LocalMetrics::default(),
            own_begun: None,
            own_last: LocalMetrics::default(),
        };
        if let Some(head) = &local.kept.head {
            local.changes.hear(head);
        }
        if let Some(trial) = died {
            local.not_before = now + AGAIN;
            local.host.log(&format!(
                "version {} died on trial here, started on the last good one, {}",
                trial.version, running
            ));
        }
        // A program whose turn it is to be tried starts on trial; else what it starts on is good,
        // as far as it goes.
        let is_trial = local
            .kept
            .trial
            .is_some_and(|trial| trial.version == running);
        if !is_trial && local.kept.good != Some(running) {
            local.kept.found_good(running);
        }
        if let Some(content) = &new_content {
            local.contents.insert(running, content.clone());
        }
        local.write(
            now,
            Continuation::Rest,
            new_content.map(|content| (running, content)),
        );
        local.look(now);
        local
    }

    /// The node ends, by notice: what is on trial did not die. Gives what is to be written before
    /// the process ends.
    pub fn leave(&mut self) -> PersistedState {
        self.kept.trial = None;
        self.kept.clone()
    }

    // ---- What is known ----

    /// All changes that are known.
    pub fn changes(&self) -> &RolloutTable {
        &self.changes
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
        matches!(self.waits, PendingOperation::Apply { .. })
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
    pub fn kept_now(&self) -> &PersistedState {
        &self.kept
    }

    /// A version's content, if it is here.
    pub fn content(&self, version: Version) -> Option<&[u8]> {
        self.contents.get(&version).map(Vec::as_slice)
    }

    /// Why a version was turned down here.
    pub fn why_not(&self, version: Version) -> Option<&str> {
        self.turned_down.get(&version).map(String::as_str)
    }

    // ---- Words ----

    /// The node itself offers a change.
    pub fn offer(&mut self, now: Nanos, change: Rollout, content: Option<Vec<u8>>) {
        if let Some(content) = content {
            self.contents.insert(change.version, content);
        }
        self.hear(now, &change);
    }

    /// Somebody here moves a change towards safety: an operator, or a look at its figures.
    pub fn end(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        id: RolloutId,
        fate: Outcome,
        why: &str,
    ) -> bool {
        let ends = self
            .changes
            .end(id, fate, Reason::new(unix_ms, self.me, why));
        if ends {
            self.host
                .log(&format!("change {id}: {}, {why}", fate.word()));
            self.tell_some();
            self.look(now);
        }
        ends
    }

    /// The arbiters agreed that a change has come so far.
    pub fn advance(&mut self, now: Nanos, id: RolloutId, reach: &Progress) -> bool {
        let advances = self.changes.advance(id, reach);
        if advances {
            let line = match self.changes.get(id) {
                Some(change) if change.fate == Outcome::Completed => {
                    "done, the whole fleet runs it".to_owned()
                }
                _ => format!("stage {} begins", reach.stage),
            };
            self.host.log(&format!("change {id}: {line}"));
            self.tell_some();
            self.look(now);
        }
        advances
    }

    fn hear(&mut self, now: Nanos, said: &Rollout) -> bool {
        if said.kind != self.kind {
            return false;
        }
        let before = self
            .changes
            .get(said.id)
            .map(|change| (change.fate, change.reach.stage));
        if !self.changes.hear(said) {
            return false;
        }
        if let Some(change) = self.changes.get(said.id) {
            let (fate, stage) = before.unwrap_or((Outcome::InProgress, 0));
            let (id, version) = (change.id, change.version);
            let line = match change.fate {
                now if now > fate => Some(format!(
                    "change {id}: {}, {}",
                    now.word(),
                    change.reason.why
                )),
                Outcome::InProgress if change.reach.stage > stage => {
                    Some(format!("change {id}: stage {} begins", change.reach.stage))
                }
                Outcome::InProgress if before.is_none() => Some(format!(
                    "change {id}: {version} is offered in place of {}",
                    change.base
                )),
                _ => None,
            };
            if let Some(line) = line {
                self.host.log(&line);
            }
        }
        self.tell_some();
        self.look(now);
        true
    }

    fn tell_some(&mut self) {
        for to in self.host.some(TELL) {
            for told in in_parcels(self.changes.iter(), false) {
                self.host.send(to, told);
            }
        }
    }

    /// Something was told.
    pub fn told(&mut self, now: Nanos, from: u64, told: ReceivedMessage) {
        match told {
            ReceivedMessage::RolloutTable { changes, answer } => {
                let mine: Vec<Rollout> = changes
                    .into_iter()
                    .filter(|change| change.kind == self.kind)
                    .collect();
                for change in &mine {
                    self.hear(now, change);
                }
                if answer {
                    for told in in_parcels(self.changes.iter(), false) {
                        self.host.send(from, told);
                    }
                }
            }
            ReceivedMessage::Poll {
                no,
                change,
                stage,
                fate,
            } => {
                if self.changes.get(change).is_none()
                    && !self.changes.iter().any(|c| c.id == change)
                {
                    // It knows nothing of it yet, and asks.
                    in_parcels(self.changes.iter(), true)
                        .into_iter()
                        .for_each(|told| self.host.send(from, told));
                }
                let report = self.report_on(change);
                if (report.stage, report.fate) > (stage, fate) {
                    // It knows more than the one who conducts.
                    in_parcels(self.changes.iter(), true)
                        .into_iter()
                        .for_each(|told| self.host.send(from, told));
                } else if (report.stage, report.fate) < (stage, fate) {
                    self.compared = 0; // and the other way round
                }
                self.host
                    .send(from, ReceivedMessage::NodeReport { no, report });
            }
            ReceivedMessage::AskPieces {
                change,
                first,
                count,
            } => {
                let version = self.changes.get(change).map(|change| change.version);
                let content = version.and_then(|version| self.contents.get(&version));
                let pieces: Vec<(u32, Vec<u8>)> = (first
                    ..first.saturating_add(count.min(chunks::AT_ONCE)))
                    .filter_map(|no| Some((no, chunks::piece(content?, no)?.to_vec())))
                    .collect();
                for (no, bytes) in pieces {
                    self.host
                        .send(from, ReceivedMessage::Piece { change, no, bytes });
                }
            }
            ReceivedMessage::Piece { change, no, bytes } => {
                if let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.change == change) {
                    fetch.piece(no, &bytes);
                    self.look(now);
                }
            }
            ReceivedMessage::PaxosRequest(kind, ask) => {
                // Of two the later one holds: the earlier is asked again, or given up.
                self.asked = Some((from, ask)).filter(|_| kind == self.kind);
                self.look(now);
            }
            ReceivedMessage::NodeReport { .. } | ReceivedMessage::PaxosReply(..) => {}
        }
    }

    /// The report, on this change.
    fn report_on(&self, change: RolloutId) -> NodeReport {
        NodeReport {
            change,
            ..self.report_of(self.changes.get(change))
        }
    }

    // ---- Time ----

    /// Does what is due; to be called some times a second.
    pub fn wake(&mut self, now: Nanos, unix_ms: u64) {
        let late = |since: Nanos| now > since + ANSWER;
        match &self.waits {
            PendingOperation::Check { since, .. }
            | PendingOperation::Keep { since, .. }
            | PendingOperation::Apply { since, .. }
                if late(*since) =>
            {
                self.host
                    .log("what was asked of this node was not answered, and is asked for again");
                self.waits = PendingOperation::Nothing;
            }
            _ => {}
        }
        // A disk that has room again gets what it lacks: else the node would start on what is no
        // more.
        if self.waits == PendingOperation::Nothing
            && self.unwritten.is_some_and(|since| now >= since + REWRITE)
        {
            self.write(now, Continuation::Rest, None);
        }
        if now >= self.compared + COMPARE {
            self.compared = now;
            self.changes.tidy(unix_ms, REMEMBERED);
            if let Some(other) = self.host.differs(self.changes.digest()) {
                in_parcels(self.changes.iter(), true)
                    .into_iter()
                    .for_each(|told| self.host.send(other, told));
            }
        }
        self.look(now);
    }

    /// What the node itself came to so far: a version that is plainly bad is taken back without
    /// asking anybody.
    pub fn own(&mut self, now: Nanos, unix_ms: u64, own: LocalMetrics) {
        let Some(trial) = self
            .kept
            .trial
            .filter(|trial| trial.version == self.running)
        else {
            // The last two words before a trial are what it is compared with.
            (self.own_before, self.own_begun) = (LocalMetrics { ..self.own_last }, None);
            self.own_last = own;
            return;
        };
        let begun = *self.own_begun.get_or_insert(own);
        self.own_last = own;
        let since = |of: fn(&LocalMetrics) -> u64| of(&own).saturating_sub(of(&begun));
        let before = |of: fn(&LocalMetrics) -> u64| of(&begun).saturating_sub(of(&self.own_before));
        let invariants = since(|own| own.invariants);
        if invariants > 0 {
            let why = format!("{invariants} invariants did not hold at one node");
            self.end(now, unix_ms, trial.change, Outcome::RolledBack, &why);
            return;
        }
        let (arrived, arrived_before) = (since(|own| own.arrived), before(|own| own.arrived));
        if arrived < OWN_SAMPLE || arrived_before < OWN_SAMPLE {
            return;
        }
        let share = since(|own| own.succeeded) as f64 / arrived as f64;
        let share_before = before(|own| own.succeeded) as f64 / arrived_before as f64;
        if share < share_before - OWN_LESS {
            let why = format!(
                "{:.0} % succeed at one node, {:.0} % did before",
                share * 100.0,
                share_before * 100.0
            );
            self.end(now, unix_ms, trial.change, Outcome::RolledBack, &why);
        }
    }

    // ---- What is done ----

    fn of_kind(&self) -> impl Iterator<Item = &Rollout> {
        self.changes
            .iter()
            .filter(|change| change.kind == self.kind)
    }

    /// The last one that is done and is not here yet.
    fn missed(&self) -> Option<&Rollout> {
        let good = self.kept.good.unwrap_or(self.running);
        let done = self.of_kind().filter(|change| {
            change.fate == Outcome::Completed && change.version.number > good.number
        });
        done.filter(|change| !self.turned_down.contains_key(&change.version))
            .max_by_key(|change| change.reach.seq)
    }

    /// The one that was taken back and runs here.
    fn undone(&self) -> Option<&Rollout> {
        self.of_kind().find(|change| {
            matches!(change.fate, Outcome::Rejected | Outcome::RolledBack)
                && change.version == self.running
        })
    }

    /// The change that this node is shown to go by.
    fn mine(&self) -> Option<&Rollout> {
        let trial = self
            .kept
            .trial
            .and_then(|trial| self.changes.get(trial.change));
        let under_way = self.changes.under_way(self.kind);
        let current = || {
            self.changes
                .current(self.kind)
                .or_else(|| self.changes.head(self.kind))
        };
        trial
            .or_else(|| self.undone())
            .or(under_way)
            .or_else(|| self.missed())
            .or_else(current)
    }

    /// Looks at what is to be done next, and does it.
    fn look(&mut self, now: Nanos) {
        self.learn_of_agreements(now);
        if self.waits == PendingOperation::Nothing {
            self.vote(now);
        }
        // What was agreed on and how it ended is on the disk, so that who starts anew does not go
        // by what is over.
        let head = |change: &Rollout| (change.id, change.reach.seq, change.fate);
        if self.waits == PendingOperation::Nothing
            && self.changes.head(self.kind).map(head) != self.kept.head.as_ref().map(head)
        {
            self.write(now, Continuation::Rest, None);
        }
        if self.waits == PendingOperation::Nothing {
            self.go_on(now);
        }
        if self.waits == PendingOperation::Nothing {
            self.prepare(now);
        }
        let report = self.report_of(self.mine());
        if report != self.report {
            self.report = report;
            self.host.show(&self.report);
        }
    }

    /// An arbiter that starts without anything on its disk, in a fleet that has agreed on things,
    /// may have lost its votes: it takes part again after two more agreements, when nothing that it
    /// can have voted on is open; or after so long that whoever can have counted its vote has long
    /// brought that to its end.
    fn learn_of_agreements(&mut self, now: Nanos) {
        let known = paxos::known(&self.changes, self.kind);
        let Some(born) = self.born.filter(|_| known > 0) else {
            return;
        };
        self.born = None;
        if now < born + NEW && self.kept.vote.is_none() {
            self.kept.abstains_to = known + 2;
        }
    }

    /// What is asked of an arbiter: its vote is written before it is told.
    fn vote(&mut self, now: Nanos) {
        let Some((from, ask)) = self.asked.take() else {
            return;
        };
        let seq = match &ask {
            PaxosRequest::Prepare { seq, .. } => *seq,
            PaxosRequest::Accept { proposal, .. } => proposal.reach.seq,
        };
        if seq <= self.kept.abstains_to && now < self.started + NEW {
            let from = self.kept.abstains_to + 1;
            if !std::mem::replace(&mut self.abstained, true) {
                self.host.log(&format!(
                    "nothing was on the disk: votes on changes from agreement {from} on"
                ));
            }
            return;
        }
        let vote = self.kept.vote.clone().unwrap_or_default();
        match vote.asked(&self.changes, self.kind, &ask) {
            VoterAction::PaxosReply(say) => self
                .host
                .send(from, ReceivedMessage::PaxosReply(self.kind, say)),
            VoterAction::Write(vote, say) => {
                self.kept.vote = Some(vote);
                self.write(now, Continuation::PaxosReply(from, say), None);
            }
            VoterAction::Behind => in_parcels(self.changes.iter(), true)
                .into_iter()
                .for_each(|told| self.host.send(from, told)),
            VoterAction::Ahead => in_parcels(self.changes.iter(), false)
                .into_iter()
                .for_each(|told| self.host.send(from, told)),
        }
    }

    /// What this node runs: whether it is to be another version by what is known.
    fn go_on(&mut self, now: Nanos) {
        if let Some(trial) = self.kept.trial {
            let Some(change) = self.changes.get(trial.change).cloned() else {
                // Only what is over is forgotten: it was taken back, or another one is in force.
                return self.take_back(now, trial.version, self.running);
            };
            return match change.wants(self.me, self.zone) {
                Some(false) => self.take_back(now, trial.version, change.base),
                Some(true)
                    if change.fate == Outcome::Completed && self.running == trial.version =>
                {
                    self.found_good(now, trial.version);
                }
                Some(true) | None => {}
            };
        }
        if now < self.not_before {
            return;
        }
        if let Some((version, base)) = self.undone().map(|change| (change.version, change.base)) {
            return self.take_back(now, version, base);
        }
        let in_stage = self
            .changes
            .under_way(self.kind)
            .filter(|c| c.wants(self.me, self.zone) == Some(true));
        let Some(change) = self.missed().or(in_stage).cloned() else {
            return;
        };
        let version = change.version;
        if self.running != version
            && self.staged.contains_key(&version)
            && self.kept.deaths(version) < DEATHS
        {
            self.begin(now, &change);
        }
    }

    /// What may be begun later is fetched and checked: what is missing here, then what is under
    /// way, then what goes next.
    fn prepare(&mut self, now: Nanos) {
        let under_way = self.changes.under_way(self.kind);
        let all = [self.missed(), under_way, self.changes.next(self.kind)];
        let is_here = |version: Version| {
            self.staged.contains_key(&version)
                || self.turned_down.contains_key(&version)
                || version == self.running
        };
        let change = all
            .into_iter()
            .flatten()
            .find(|change| !is_here(change.version))
            .cloned();
        match change {
            Some(change) => self.stage(now, &change),
            None => self.fetch = None,
        }
    }

    /// Fetches, checks and writes a change's content.
    fn stage(&mut self, now: Nanos, change: &Rollout) {
        let has = self.contents.contains_key(&change.version);
        if change.kind == Kind::Settings && !has {
            if self
                .fetch
                .as_ref()
                .is_none_or(|fetch| fetch.change != change.id)
            {
                self.fetch = ChunkFetch::new(change);
            }
            let Some(fetch) = &mut self.fetch else {
                return self.turn_down(change, "its content is too large");
            };
            match fetch.fetched() {
                FetchProgress::Whole(content) => {
                    self.contents.insert(change.version, content);
                    self.fetch = None;
                }
                FetchProgress::MalformedMessage { given_up: true } => {
                    return self.turn_down(change, "its content is not what its hash says");
                }
                FetchProgress::MalformedMessage { given_up: false } | FetchProgress::NodeMetric => {
                    if let Some((first, count)) = fetch.ask(now) {
                        // Whoever offered it has it; others may.
                        let mut to = self.host.some(1);
                        to.push(change.by);
                        to.dedup();
                        for to in to {
                            self.host.send(
                                to,
                                ReceivedMessage::AskPieces {
                                    change: change.id,
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
        self.waits = PendingOperation::Check {
            change: change.id,
            since: now,
        };
        let content = self.contents.get(&change.version).cloned();
        self.host.check(change.id, change.version, content);
    }

    fn turn_down(&mut self, change: &Rollout, why: &str) {
        self.host
            .log(&format!("change {}: turned down here, {why}", change.id));
        self.turned_down.insert(change.version, why.to_owned());
        self.contents.remove(&change.version);
        self.fetch = None;
    }

    /// A check was carried out.
    pub fn checked(&mut self, now: Nanos, id: RolloutId, result: Result<(), String>) {
        if !matches!(self.waits, PendingOperation::Check { change, .. } if change == id) {
            return; // asked for again meanwhile
        }
        self.waits = PendingOperation::Nothing;
        let Some(change) = self.changes.get(id).cloned() else {
            return;
        };
        match result {
            Err(why) => self.turn_down(&change, &why),
            Ok(()) => {
                let content = self
                    .contents
                    .get(&change.version)
                    .cloned()
                    .map(|c| (change.version, c));
                self.write(now, Continuation::Staged(id), content);
            }
        }
        self.look(now);
    }

    fn write(&mut self, now: Nanos, then: Continuation, content: Option<(Version, Vec<u8>)>) {
        self.writes += 1;
        self.kept.head = self.changes.head(self.kind).cloned();
        self.waits = PendingOperation::Keep {
            no: self.writes,
            then,
            since: now,
        };
        let kept = self.kept.clone();
        self.host.keep(self.writes, &kept, content);
    }

    /// A write was carried out, or could not be.
    pub fn kept(&mut self, now: Nanos, no: u64, result: Result<(), String>) {
        let then = match &self.waits {
            PendingOperation::Keep {
                no: waits, then, ..
            } if *waits == no => then.clone(),
            _ => return,
        };
        self.waits = PendingOperation::Nothing;
        let was_unwritten = self.unwritten.take().is_some();
        if result.is_err() {
            self.unwritten = Some(now);
        } else if was_unwritten {
            self.host.log("what is in force is written again");
        }
        match (then, result) {
            (Continuation::Rest, Ok(())) => {}
            (Continuation::Rest, Err(_)) if was_unwritten => {} // told before
            (Continuation::Rest, Err(why)) => self
                .host
                .log(&format!("what is in force could not be written: {why}")),
            (Continuation::Staged(id), result) => {
                if let Some(change) = self.changes.get(id).cloned() {
                    match result {
                        Ok(()) => {
                            self.host.log(&format!(
                                "change {id}: version {} is staged",
                                change.version
                            ));
                            self.staged.insert(change.version, true);
                        }
                        Err(why) => {
                            self.turn_down(&change, &format!("it could not be written: {why}"))
                        }
                    }
                }
            }
            (Continuation::PaxosReply(to, say), Ok(())) => self
                .host
                .send(to, ReceivedMessage::PaxosReply(self.kind, say)),
            (Continuation::PaxosReply(..), Err(why)) => self
                .host
                .log(&format!("a vote could not be written: {why}")),
            // It was halted meanwhile: who has not begun does not begin.
            (Continuation::Apply(_), Ok(())) if self.is_halted_trial() => self.kept.trial = None,
            (Continuation::Apply(version), Ok(())) => {
                self.waits = PendingOperation::Apply {
                    version,
                    since: now,
                };
                self.host.apply(version);
            }
            // Towards safety it goes without its note; a version on trial must be noted before it
            // takes force.
            (Continuation::Apply(version), Err(why)) if self.kept.trial.is_none() => {
                self.host.log(&format!(
                    "goes back though that could not be written: {why}"
                ));
                self.waits = PendingOperation::Apply {
                    version,
                    since: now,
                };
                self.host.apply(version);
            }
            (Continuation::Apply(_), Err(why)) => {
                if let Some(change) = self
                    .kept
                    .trial
                    .take()
                    .and_then(|trial| self.changes.get(trial.change).cloned())
                {
                    self.turn_down(
                        &change,
                        &format!("its trial could not be written down: {why}"),
                    );
                }
            }
        }
        self.look(now);
    }

    fn is_halted_trial(&self) -> bool {
        let trial = self
            .kept
            .trial
            .filter(|trial| trial.version != self.running);
        trial
            .and_then(|trial| self.changes.get(trial.change))
            .is_some_and(|change| change.fate > Outcome::Completed)
    }

    /// A version's turn has come here: in its slot it is written down as on trial, and then takes
    /// force.
    fn begin(&mut self, now: Nanos, change: &Rollout) {
        let stage = change.reach.stage;
        let heard = match self.heard_stage {
            Some((id, of, heard)) if (id, of) == (change.id, stage) => heard,
            _ => {
                self.heard_stage = Some((change.id, stage, now));
                now
            }
        };
        let spread = change.plan.stage(stage).map_or(0, |stage| stage.spread);
        let slot = if change.fate == Outcome::Completed {
            0
        } else {
            change.reach.slot(change.id, self.me, self.zone, spread)
        };
        if now < heard + slot {
            return;
        }
        let tries = self.kept.deaths(change.version) + 1;
        self.kept.trial = Some(Trial {
            change: change.id,
            version: change.version,
            tries,
        });
        self.write(now, Continuation::Apply(change.version), None);
    }

    /// A version runs now, or can't be run.
    pub fn applied(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        version: Version,
        result: Result<(), String>,
    ) {
        if !matches!(self.waits, PendingOperation::Apply { version: waits, .. } if waits == version)
        {
            return;
        }
        self.waits = PendingOperation::Nothing;
        match result {
            Ok(()) => {
                let word = if self.kept.trial.is_some() {
                    "on trial"
                } else {
                    "in force"
                };
                self.host.log(&format!(
                    "version {version} is {word}, in place of {}",
                    self.running
                ));
                (self.running, self.since_ms) = (version, unix_ms);
                self.own_begun = None;
            }
            Err(why) => {
                self.host
                    .log(&format!("version {version} can't be run: {why}"));
                // What can't be gone back to is tried again, and shown until then.
                self.not_before = now + AGAIN;
                if let Some(trial) = self.kept.trial.take_if(|trial| trial.version == version) {
                    self.kept.turn_down(version, DEATHS);
                    self.turned_down.insert(version, why.clone());
                    self.write(now, Continuation::Rest, None);
                    self.end(
                        now,
                        unix_ms,
                        trial.change,
                        Outcome::RolledBack,
                        &format!("it can't be run at one node: {why}"),
                    );
                }
            }
        }
        self.look(now);
    }

    fn found_good(&mut self, now: Nanos, version: Version) {
        if self.kept.good != Some(version) || self.kept.trial.is_some() {
            self.kept.found_good(version);
            self.host.log(&format!(
                "version {version} is good, and the one to start on"
            ));
            self.forget_contents();
            self.write(now, Continuation::Rest, None);
        }
    }

    /// Back to the last good version; of one that was found good and is taken back later, to the
    /// one before.
    fn take_back(&mut self, now: Nanos, version: Version, base: Version) {
        self.kept.trial = None;
        self.kept.turn_down(version, self.kept.deaths(version));
        if self.kept.good == Some(version) {
            self.kept.good = self.kept.before.take().or(Some(base));
        }
        let to = self.kept.good.unwrap_or(base);
        self.own_begun = None;
        self.staged.remove(&version);
        if self.running == to {
            return self.write(now, Continuation::Rest, None);
        }
        self.write(now, Continuation::Apply(to), None);
    }

    /// Contents of versions that are neither kept nor offered make room.
    fn forget_contents(&mut self) {
        let needed: Vec<Version> = self.kept.needed().collect();
        let open = |version: &Version| {
            self.changes
                .iter()
                .any(|c| c.version == *version && !c.is_over())
        };
        self.contents
            .retain(|version, _| needed.contains(version) || open(version));
    }

    /// How it stands to a change.
    fn stand(&self, change: &Rollout) -> NodeStatus {
        let version = change.version;
        let trial = self
            .kept
            .trial
            .is_some_and(|trial| trial.version == version);
        match () {
            () if self.running == version && self.kept.good == Some(version) => {
                NodeStatus::Promoted
            }
            () if self.running == version && trial => NodeStatus::OnTrial,
            () if trial => NodeStatus::Starting,
            () if matches!(change.fate, Outcome::Rejected | Outcome::RolledBack) => {
                match self.kept.is_turned_down(version) {
                    true => NodeStatus::RolledBack,
                    false => NodeStatus::Offered,
                }
            }
            () if self.kept.deaths(version) > 0 => NodeStatus::Crashed,
            () if self.turned_down.contains_key(&version) => NodeStatus::Rejected,
            () if self.staged.contains_key(&version) => NodeStatus::Staged,
            () => NodeStatus::Offered,
        }
    }

    fn report_of(&self, change: Option<&Rollout>) -> NodeReport {
        let of = change.map(|change| change.version);
        NodeReport {
            change: change.map_or(RolloutId(0), |change| change.id),
            stage: change.map_or(0, |change| change.reach.stage),
            fate: change.map_or(Outcome::InProgress, |change| change.fate),
            stand: change.map_or(NodeStatus::Unknown, |change| self.stand(change)),
            running: self.running,
            good: self.kept.good.unwrap_or_default(),
            since_ms: self.since_ms,
            died: of.map_or(0, |version| self.kept.deaths(version)),
            died_ms: self.died_ms,
            why: of
                .and_then(|version| self.turned_down.get(&version))
                .cloned()
                .unwrap_or_default(),
            digest: self.changes.digest(),
        }
    }

    /// Why the node runs what it runs, in words.
    pub fn why(&self, unix_ms: u64) -> Vec<String> {
        let ago = |since: u64| seconds(unix_ms.saturating_sub(since) * MILLISECOND);
        let mut lines = vec![format!(
            "runs version {} since {} ago",
            self.running,
            ago(self.since_ms)
        )];
        let shown = |version: Option<Version>| version.map_or("none".to_owned(), |v| v.to_string());
        lines.push(format!(
            "the last good one is {}, before it {}; it starts on the last good one",
            shown(self.kept.good),
            shown(self.kept.before)
        ));
        if let Some(change) = self.mine() {
            let wants = match change.wants(self.me, self.zone) {
                Some(true) => "this node is in its stage",
                Some(false) if change.fate == Outcome::InProgress => {
                    "this node is not in its stage"
                }
                Some(false) => "this node goes back, or never went",
                None => "this node stays as it is",
            };
            lines.push(format!(
                "change {}: {} in place of {}, stage {} of {}, {}{}; {wants}; it is {} here{}",
                change.id,
                change.version,
                change.base,
                change.reach.stage,
                change.plan.stages.len(),
                change.fate.word(),
                if change.fate > Outcome::InProgress {
                    format!(" ({})", change.reason.why)
                } else {
                    String::new()
                },
                self.report.stand.word(),
                if self.report.why.is_empty() {
                    String::new()
                } else {
                    format!(": {}", self.report.why)
                }
            ));
        }
        for (version, died) in &self.kept.turned_down {
            lines.push(format!(
                "version {version} was taken back or turned down here, and died {died} times"
            ));
        }
        lines
    }
}
