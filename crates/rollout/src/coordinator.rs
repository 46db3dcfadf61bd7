//! Coordinates a rollout: one voter polls all nodes, analyses the stage by the recorded counts, and
//! has the voters agree on the next step. Safety does not depend on there being only one
//! coordinator: see [`crate::paxos`]. A coordinator's other state is not replicated: the next
//! coordinator collects the reports and metrics again.
//!
//! **Why advancing needs a majority and ending does not.** A step forward gives the new version to
//! more nodes, so the step must not be taken twice or on both sides of a network split: an
//! agreement of the voters is required. Before that, more than half of the last agreed cluster size
//! must have sent reports, and none of these reports may know of an end
//! (`Coordinator::check_quorum`). An end only withdraws the new version, and ending twice has the
//! same effect as ending once: any node may end a rollout alone, and [`crate::Rollout::merge`]
//! makes the end win everywhere.
//!
//! `start.rs` has the conditions for the first stage and `advance.rs` those for each further stage,
//! one function for each rule.

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

/// Minimum time between two polls of all nodes.
const POLL_INTERVAL: Nanos = 2 * SECOND;
/// Poll interval for each node of the cluster; applies if the product with the number of nodes
/// exceeds [`POLL_INTERVAL`].
const POLL_INTERVAL_PER_NODE: Nanos = 5 * MILLISECOND;
/// How long after an agreement of the voters its cluster size counts: until then, the coordinator
/// assumes at least as many nodes, even if fewer members are known.
const ELECTORATE_LIFETIME: Nanos = 3600 * SECOND;

/// Numbers of nodes that are present, in a stage, and on the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageCounts {
    /// Number of present nodes that run the new version.
    pub running: usize,
    /// Number of present nodes that the stage includes.
    pub in_stage: usize,
    /// Number of present nodes of the cluster.
    pub present: usize,
}

/// Samples of all nodes by window, with the number of each window.
pub type Windows = Vec<(u64, Vec<WindowSample>)>;

/// The coordinator's next step for a rollout.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Do nothing yet. Holds the reason.
    Wait(String),
    /// Begin a round of voting on this proposal.
    Propose(Proposal),
    /// End a rollout, which needs no agreement of the voters.
    End {
        /// The rollout to end.
        rollout: RolloutId,
        /// The outcome to set; higher in the order of [`Outcome`] than the present one.
        outcome: Outcome,
        /// The reason, as shown to operators.
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

/// An action that the coordinator requests of its node.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Send a message to the node with this key.
    Send(u64, RolloutMessage),
    /// End a rollout at once.
    End {
        /// The rollout to end.
        rollout: RolloutId,
        /// The outcome to set; higher in the order of [`Outcome`] than the present one.
        outcome: Outcome,
        /// The reason, as shown to operators.
        why: String,
    },
    /// Apply a proposal that a majority of the voters agreed on.
    Agreed(Proposal),
}

/// A node's last report with the number of the poll that it answers.
#[derive(Clone, Debug)]
struct ReceivedReport {
    poll: u32,
    report: NodeReport,
}

/// A voter's state: the metrics of the rollout in progress, and the coordination of rollouts while
/// this voter is the coordinator.
#[derive(Clone, Debug)]
pub struct Coordinator {
    me: u64,
    kind: Kind,
    voters: Vec<u64>,
    /// The number of the last poll.
    poll: u32,
    /// When the last poll was sent.
    polled: Nanos,
    /// The last report of each member, by the node's key.
    reports: BTreeMap<u64, ReceivedReport>,
    /// The round of voting in progress.
    round: Option<PaxosRound>,
    /// The highest ballot seen in replies; the next round takes a higher one.
    highest: Ballot,
    /// The earliest time for the next round of voting.
    not_before: Nanos,
    /// The number of the last agreement known to this node.
    agreement: u64,
    /// When this node learned of the last agreement.
    since: Nanos,
    /// The next rollout to begin, and when this node learned of that rollout.
    offered: Option<(RolloutId, Nanos)>,
    /// Time since which no node of the stage has been present; `None` if one is present.
    stage_empty_since: Option<Nanos>,
    /// The metrics of the rollout in progress, or of the last rollout.
    metrics: Option<CohortMetrics>,
    /// Number of the next window to record.
    next_window: u64,
    analysis: Option<AnalysisResult>,
    /// What the rollout waits for, as shown to operators; empty if nothing.
    line: String,
    method: AnalysisMethod,
    /// Names of operations, by number.
    names: BTreeMap<u32, String>,
    /// Maximum number of nodes with metrics of their own at each end of the rollout's node order;
    /// see [`MAX_NODES_EACH_END`].
    max_nodes: usize,
    /// Latencies that are never counted as slow, by operation, in units of 0.1 ms.
    fast_enough: BTreeMap<u32, u32>,
}

/// The state of the cluster by which the coordinator decides on the next step.
struct StepInputs<'a> {
    now: Nanos,
    unix_ms: u64,
    rollouts: &'a RolloutTable,
    members: &'a [Member],
    cluster_size: u32,
}

impl Coordinator {
    /// Creates the voter state of node `me`; `voters` is in order of precedence as coordinator.
    pub fn new(now: Nanos, me: u64, kind: Kind, voters: Vec<u64>) -> Coordinator {
        Coordinator {
            me,
            kind,
            voters,
            // A hashed first poll number keeps answers to polls of an earlier process of the same
            // node from being taken for answers to this coordinator's polls.
            poll: (splitmix64(me ^ now) as u32) & 0x0fff_ffff,
            polled: 0,
            reports: BTreeMap::new(),
            round: None,
            highest: Ballot::default(),
            not_before: 0,
            agreement: 0,
            since: now,
            offered: None,
            stage_empty_since: None,
            metrics: None,
            next_window: 0,
            analysis: None,
            line: String::new(),
            method: AnalysisMethod::Nodes,
            names: BTreeMap::new(),
            max_nodes: MAX_NODES_EACH_END,
            fast_enough: BTreeMap::new(),
        }
    }

    /// Sets the method of the canary analysis; used to compare methods.
    pub fn with_method(mut self, method: AnalysisMethod) -> Coordinator {
        self.method = method;
        self
    }

    /// Sets the names of operations, by number, for the reasons that are shown to operators.
    pub fn with_names(mut self, names: BTreeMap<u32, String>) -> Coordinator {
        self.names = names;
        self
    }

    /// Sets the maximum number of nodes with metrics of their own at each end of the rollout's node
    /// order; the default is [`MAX_NODES_EACH_END`].
    pub fn with_capacity(mut self, nodes: usize) -> Coordinator {
        self.max_nodes = nodes;
        self
    }

    /// Sets the latencies that are never counted as slow, by operation, in units of 0.1 ms.
    pub fn with_fast_enough(mut self, fast_enough: BTreeMap<u32, u32>) -> Coordinator {
        self.fast_enough = fast_enough;
        self
    }

    /// Replaces the voters; a change gives up the round of voting in progress.
    pub fn set_voters(&mut self, voters: Vec<u64>) {
        if voters != self.voters {
            self.voters = voters;
            self.round = None;
        }
    }

    /// Returns whether this node is one of the voters. Only voters record metrics.
    pub fn is_voter(&self) -> bool {
        self.voters.contains(&self.me)
    }

    /// Returns whether this node is the coordinator: the first present voter coordinates.
    pub fn is_coordinating(&self, members: &[Member]) -> bool {
        self.acting_coordinator(members) == Some(self.me)
    }

    /// Returns the key of the coordinator in this node's view of the cluster.
    pub fn acting_coordinator(&self, members: &[Member]) -> Option<u64> {
        let is_present =
            |node: u64| node == self.me || members.iter().any(|m| m.node == node && m.present);
        self.voters.iter().copied().find(|node| is_present(*node))
    }

    /// Returns the metrics of the rollout in progress, or of the last rollout.
    pub fn metrics(&self) -> Option<&CohortMetrics> {
        self.metrics.as_ref()
    }

    /// Returns the last analysis; `None` before the first one of a stage.
    pub fn analysis(&self) -> Option<&AnalysisResult> {
        self.analysis.as_ref()
    }

    /// Returns what the rollout waits for; empty if the rollout waits for nothing.
    pub fn line(&self) -> &str {
        &self.line
    }

    /// Returns the last report of a node; `None` if the node has answered no poll or has left.
    pub fn report(&self, node: u64) -> Option<&NodeReport> {
        self.reports.get(&node).map(|received| &received.report)
    }

    fn is_fresh(&self, received: &ReceivedReport) -> bool {
        self.poll.wrapping_sub(received.poll) <= 1
    }

    /// Records a node's answer to a poll. Only answers to the last two polls are used in decisions.
    pub fn handle_report(&mut self, from: u64, poll: u32, report: NodeReport) {
        self.reports.insert(from, ReceivedReport { poll, report });
    }

    /// Performs due work: polls, decisions and rounds of voting. Must be called a few times a
    /// second. `windows` returns the samples that were recorded before a rollout began.
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

    /// Polls all present nodes if a poll is due, and drops the reports of nodes that left.
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
        let is_member = |node: &u64| members.iter().any(|member| member.node == *node);
        self.reports.retain(|node, _| is_member(node));
        members
            .iter()
            .filter(|member| member.present)
            .map(|member| CoordinatorAction::Send(member.node, poll.clone()))
            .collect()
    }

    /// Returns the assumed cluster size: the number of known members, and at least the size that
    /// was agreed on within [`ELECTORATE_LIFETIME`].
    fn cluster_size(&self, now: Nanos, rollouts: &RolloutTable, members: &[Member]) -> u32 {
        let agreed = rollouts
            .head(self.kind)
            .filter(|_| now < self.since + ELECTORATE_LIFETIME);
        (members.len() as u32).max(agreed.map_or(0, |head| head.progress.cluster_size))
    }

    /// Returns the reports on a rollout that answer one of the last two polls.
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

    /// Counts the nodes of the stage by their last reports.
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
