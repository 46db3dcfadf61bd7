//! Coordinating a rollout: one voter polls all nodes, analyses the stage by what was counted, and
//! has the voters agree on the next step. Safety does not rest on there being one coordinator: see
//! [`crate::paxos`]. What it knows besides is asked for anew by whoever coordinates next.
//!
//! **Why advancing needs a majority and ending needs nobody.** A step forward gives the new version
//! to more nodes, so it must not be taken twice or on two sides of a split: it needs an agreement of
//! the voters, and beforehand answers of more than half of the nodes that the cluster was last
//! agreed to have, none of which knows of an end (`Coordinator::check_quorum`). An end only takes
//! the new version away, and an end that is made twice is the same end: any node may make it alone,
//! and [`crate::Rollout::merge`] lets it win everywhere.
//!
//! The conditions for the first stage are in `start.rs`, those for each further stage in
//! `advance.rs`, one function for each rule.

mod advance;
mod follow;
mod start;
mod voting;

use crate::canary_analysis::{AnalysisMethod, AnalysisResult};
use crate::cohort_metrics::{CohortMetrics, MAX_NODES_EACH_END, WindowSample};
use crate::identifiers::{Kind, RolloutId, Version};
use crate::member::Member;
use crate::messages::RolloutMessage;
use crate::node_report::NodeReport;
use crate::paxos::{Ballot, PaxosRound, Proposal};
use crate::rollout::{Outcome, Rollout};
use crate::rollout_table::RolloutTable;
use crate::{MILLISECOND, Nanos, SECOND, splitmix64};
use std::collections::BTreeMap;

/// All nodes are polled once in this time, or in [`POLL_INTERVAL_PER_NODE`] for each of them if that
/// is longer.
const POLL_INTERVAL: Nanos = 2 * SECOND;
/// See [`POLL_INTERVAL`].
const POLL_INTERVAL_PER_NODE: Nanos = 5 * MILLISECOND;
/// The number of nodes that was agreed on counts for this long against seeing fewer.
const ELECTORATE_LIFETIME: Nanos = 3600 * SECOND;

/// How far the nodes of a stage have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageCounts {
    /// Present nodes that run the new version.
    pub running: usize,
    /// Present nodes that the stage includes.
    pub in_stage: usize,
    /// Present nodes of the cluster.
    pub present: usize,
}

/// What nodes counted, by window.
pub type Windows = Vec<(u64, Vec<WindowSample>)>;

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing, and why.
    Wait(String),
    /// The voters are to agree on this.
    Propose(Proposal),
    /// A rollout is to end.
    End {
        /// The rollout.
        rollout: RolloutId,
        /// Its outcome.
        outcome: Outcome,
        /// The reason.
        why: String,
    },
}

impl Step {
    fn end(rollout: &Rollout, outcome: Outcome, why: String) -> Step {
        Step::End {
            rollout: rollout.id,
            outcome,
            why,
        }
    }
}

/// What the coordinator asks its node to do.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Send a message to the node of this key.
    Send(u64, RolloutMessage),
    /// End a rollout.
    End {
        /// The rollout.
        rollout: RolloutId,
        /// Its outcome.
        outcome: Outcome,
        /// The reason.
        why: String,
    },
    /// The voters agreed on this.
    Agreed(Proposal),
}

/// A node's last report, and the poll that it answers.
#[derive(Clone, Debug)]
struct ReceivedReport {
    poll: u32,
    report: NodeReport,
}

/// The part of a voter: it keeps the metrics of the rollout in progress, and coordinates when it is its
/// turn.
#[derive(Clone, Debug)]
pub struct Coordinator {
    me: u64,
    kind: Kind,
    voters: Vec<u64>,
    /// The number of the last poll.
    poll: u32,
    /// When it was sent.
    polled: Nanos,
    /// The last report of each node, by key.
    reports: BTreeMap<u64, ReceivedReport>,
    /// The round of voting that runs.
    round: Option<PaxosRound>,
    /// The highest ballot that was seen.
    highest: Ballot,
    /// No round begins before this.
    not_before: Nanos,
    /// The last agreement that is known here.
    agreement: u64,
    /// Since when it is known here.
    since: Nanos,
    /// The next rollout, and since when it is known here.
    offered: Option<(RolloutId, Nanos)>,
    /// Since when no node of the stage is present.
    deserted: Option<Nanos>,
    /// The metrics of the rollout in progress, or of the last one.
    metrics: Option<CohortMetrics>,
    /// The next window that is wanted.
    counted: u64,
    /// The last analysis.
    analysis: Option<AnalysisResult>,
    /// What it waits for, in words.
    line: String,
    /// The method of analysis.
    method: AnalysisMethod,
    /// Names of operations by number.
    names: BTreeMap<u32, String>,
    /// Nodes that the metrics keep apart at either end.
    room: usize,
    /// Latencies that are never slow, by operation, in tenths of a millisecond.
    fast_enough: BTreeMap<u32, u32>,
}

/// What a step is decided by.
struct StepInputs<'a> {
    now: Nanos,
    unix_ms: u64,
    rollouts: &'a RolloutTable,
    members: &'a [Member],
    cluster_size: u32,
}

impl Coordinator {
    /// The part of this node among these voters, in the order in which they coordinate.
    pub fn new(now: Nanos, me: u64, kind: Kind, voters: Vec<u64>) -> Coordinator {
        Coordinator {
            me,
            kind,
            voters,
            // Answers to an earlier coordinator under the same name must not be taken for answers to
            // this one.
            poll: (splitmix64(me ^ now) as u32) & 0x0fff_ffff,
            polled: 0,
            reports: BTreeMap::new(),
            round: None,
            highest: Ballot::default(),
            not_before: 0,
            agreement: 0,
            since: now,
            offered: None,
            deserted: None,
            metrics: None,
            counted: 0,
            analysis: None,
            line: String::new(),
            method: AnalysisMethod::Nodes,
            names: BTreeMap::new(),
            room: MAX_NODES_EACH_END,
            fast_enough: BTreeMap::new(),
        }
    }

    /// Analysed by another method, to compare.
    pub fn with_method(mut self, method: AnalysisMethod) -> Coordinator {
        self.method = method;
        self
    }

    /// Names of operations, for reasons that people read.
    pub fn with_names(mut self, names: BTreeMap<u32, String>) -> Coordinator {
        self.names = names;
        self
    }

    /// Keeps this many nodes apart at either end in its metrics.
    pub fn with_capacity(mut self, nodes: usize) -> Coordinator {
        self.room = nodes;
        self
    }

    /// Latencies that are fast enough for any client, by operation, in tenths of a millisecond.
    pub fn with_fast_enough(mut self, fast_enough: BTreeMap<u32, u32>) -> Coordinator {
        self.fast_enough = fast_enough;
        self
    }

    /// Replaces the voters.
    pub fn set_voters(&mut self, voters: Vec<u64>) {
        if voters != self.voters {
            self.voters = voters;
            self.round = None;
        }
    }

    /// Whether this node is a voter, and keeps metrics.
    pub fn is_voter(&self) -> bool {
        self.voters.contains(&self.me)
    }

    /// Whether it is this node's turn: the first present voter coordinates.
    pub fn is_coordinating(&self, members: &[Member]) -> bool {
        self.acting_coordinator(members) == Some(self.me)
    }

    /// The key of the coordinator, as far as this node sees.
    pub fn acting_coordinator(&self, members: &[Member]) -> Option<u64> {
        let is_present =
            |node: u64| node == self.me || members.iter().any(|m| m.node == node && m.present);
        self.voters.iter().copied().find(|node| is_present(*node))
    }

    /// The metrics of the rollout in progress, or of the last one.
    pub fn metrics(&self) -> Option<&CohortMetrics> {
        self.metrics.as_ref()
    }

    /// The last analysis.
    pub fn analysis(&self) -> Option<&AnalysisResult> {
        self.analysis.as_ref()
    }

    /// What it waits for.
    pub fn line(&self) -> &str {
        &self.line
    }

    /// A node's last report.
    pub fn report(&self, node: u64) -> Option<&NodeReport> {
        self.reports.get(&node).map(|received| &received.report)
    }

    fn is_fresh(&self, received: &ReceivedReport) -> bool {
        self.poll.wrapping_sub(received.poll) <= 1
    }

    /// Takes up a node's answer to a poll.
    pub fn handle_report(&mut self, from: u64, poll: u32, report: NodeReport) {
        self.reports.insert(from, ReceivedReport { poll, report });
    }

    /// Does what is due; to be called a few times a second.
    pub fn wake(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        rollouts: &RolloutTable,
        members: &[Member],
        windows: &mut dyn FnMut() -> Windows,
    ) -> Vec<CoordinatorAction> {
        self.follow_rollout(now, rollouts, windows);
        if !self.is_coordinating(members) {
            self.round = None;
            self.reports.clear();
            self.line.clear();
            return Vec::new();
        }
        let Some(rollout) = rollouts
            .in_progress(self.kind)
            .or_else(|| rollouts.next(self.kind))
        else {
            self.line.clear();
            return Vec::new();
        };
        let mut actions = self.poll_members(now, rollout, members);
        if self
            .round
            .as_ref()
            .is_some_and(|round| round.is_timed_out(now))
        {
            self.give_up(now);
        }
        if self.round.is_some() || now < self.not_before {
            return actions;
        }
        match self.step(now, unix_ms, rollouts, members) {
            Step::Wait(why) => self.line = why,
            Step::End {
                rollout,
                outcome,
                why,
            } => actions.push(CoordinatorAction::End {
                rollout,
                outcome,
                why,
            }),
            Step::Propose(proposal) => actions.extend(self.begin_round(now, proposal)),
        }
        actions
    }

    /// Polls all present nodes if it is time to, and forgets the reports of those that are gone.
    fn poll_members(
        &mut self,
        now: Nanos,
        rollout: &Rollout,
        members: &[Member],
    ) -> Vec<CoordinatorAction> {
        let interval = POLL_INTERVAL.max(POLL_INTERVAL_PER_NODE * members.len() as u64);
        if now < self.polled + interval {
            return Vec::new();
        }
        (self.polled, self.poll) = (now, self.poll.wrapping_add(1));
        let poll = RolloutMessage::Poll {
            poll: self.poll,
            rollout: rollout.id,
            stage: rollout.progress.stage,
            outcome: rollout.outcome,
        };
        let is_known = |node: &u64| members.iter().any(|member| member.node == *node);
        self.reports.retain(|node, _| is_known(node));
        members
            .iter()
            .filter(|member| member.present)
            .map(|member| CoordinatorAction::Send(member.node, poll.clone()))
            .collect()
    }

    /// How many nodes the cluster is taken to have: those that are known, and no fewer than were agreed
    /// on lately.
    fn cluster_size(&self, now: Nanos, rollouts: &RolloutTable, members: &[Member]) -> u32 {
        let agreed = rollouts
            .head(self.kind)
            .filter(|_| now < self.since + ELECTORATE_LIFETIME);
        (members.len() as u32).max(agreed.map_or(0, |head| head.progress.cluster_size))
    }

    /// Reports about a rollout that answer one of the last two polls.
    fn fresh_reports(&self, rollout: RolloutId) -> impl Iterator<Item = (u64, &NodeReport)> {
        let received = self
            .reports
            .iter()
            .filter(move |(_, h)| self.is_fresh(h) && h.report.rollout == rollout);
        received.map(|(node, received)| (*node, &received.report))
    }

    fn step(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        rollouts: &RolloutTable,
        members: &[Member],
    ) -> Step {
        let cluster_size = self.cluster_size(now, rollouts, members);
        let inputs = StepInputs {
            now,
            unix_ms,
            rollouts,
            members,
            cluster_size,
        };
        if let Some(end) = self.reject_superseded(rollouts) {
            return end;
        }
        if let Err(why) = self.check_voters(members) {
            return Step::Wait(why);
        }
        match (rollouts.in_progress(self.kind), rollouts.next(self.kind)) {
            (Some(rollout), _) => self.step_in_progress(&inputs, rollout),
            (None, Some(rollout)) => self.step_before_start(&inputs, rollout),
            (None, None) => Step::Wait(String::new()),
        }
    }

    /// How far the nodes of the stage have come, by their last reports.
    pub fn stage_counts(&self, rollout: &Rollout, members: &[Member]) -> StageCounts {
        let is_in = |member: &&Member| {
            member.present
                && rollout
                    .progress
                    .includes(rollout.id, member.node, member.zone)
        };
        let runs =
            |version: Version, node: u64| self.report(node).is_some_and(|r| r.running == version);
        let running = members
            .iter()
            .filter(|m| m.present && runs(rollout.version, m.node))
            .count();
        StageCounts {
            running,
            in_stage: members.iter().filter(is_in).count(),
            present: members.iter().filter(|m| m.present).count(),
        }
    }
}
