//! Conducting a rollout: one voter asks all nodes how they stand, judges the stage by what was
//! counted, and has the voters agree on what comes next. Safety does not rest on there being one:
//! see [`crate::paxos`]. What it knows beside is asked for anew by whoever conducts next.
//!
//! A rollout goes on only if more than half of the fleet as last agreed on, and all nodes of its
//! stage that are there, have answered lately and know of no end. Towards safety it needs nobody.

use crate::canary_analysis::{self, AnalysisMethod, AnalysisResult, CrashCounts, Verdict};
use crate::cohort_metrics::{Cohort, CohortMetrics, NODES_MAX, WindowSample};
use crate::messages::ReceivedMessage;
use crate::node_agent::{MAX_CRASHES, NodeReport, NodeStatus};
use crate::paxos::{
    Ballot, PaxosReply, PaxosRequest, PaxosRound, Proposal, RoundStep, last_agreement,
};
use crate::rollout::{Kind, Outcome, Rollout, RolloutId, RolloutTable, Version};
use crate::stages::{Progress, seconds};
use crate::{MILLISECOND, Nanos, SECOND, splitmix64};
use std::collections::BTreeMap;

/// A node, as the fleet's view has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    pub node: u64,
    pub zone: u32,
    /// Whether it is there; one that is known and lost is not. One that left is not given at all.
    pub there: bool,
}

/// CrashCounts are counted by windows of about this length.
const CRASH_WINDOW: Nanos = 10 * SECOND;
/// All nodes are asked once in this time, or in so much for each of them if that is longer.
const POLL_INTERVAL: Nanos = 2 * SECOND;
const POLL_INTERVAL_PER_NODE: Nanos = 5 * MILLISECOND;
/// A round that came to nothing is followed by another after about this.
const ROUND_BACKOFF: Nanos = 500 * MILLISECOND;
/// What the fleet was agreed to be holds so long against seeing fewer.
const ELECTORATE_LIFETIME: Nanos = 3600 * SECOND;
/// A rollout begins without those who don't answer after this; others take the place of a stage's
/// nodes that are all gone.
const STRAGGLER_WAIT: Nanos = 60 * SECOND;
/// A rollout whose content most nodes can't get hold of in this time does not begin: who offered it
/// is gone.
const CONTENT_LOST_AFTER: Nanos = 180 * SECOND;
const REPLACE_DEPARTED_AFTER: Nanos = 30 * SECOND;
/// With nobody left to compare with: so much less succeeds than before, as a share, and the rollout
/// goes no further.
const COLLAPSE_MARGIN: f64 = 0.3;
const COLLAPSE_MIN_REQUESTS: u64 = 200;

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing, and why.
    Wait(String),
    Propose(Proposal),
    End {
        rollout: RolloutId,
        outcome: Outcome,
        why: String,
    },
}

/// What the one who conducts wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    Send(u64, ReceivedMessage),
    End {
        rollout: RolloutId,
        outcome: Outcome,
        why: String,
    },
    Agreed(Proposal),
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    no: u32,
    report: NodeReport,
}

/// The part of a voter: it keeps the record of what is under way, and conducts when it is its
/// turn.
#[derive(Clone, Debug)]
pub struct Coordinator {
    me: u64,
    kind: Kind,
    voters: Vec<u64>,
    poll: u32,
    polled: Nanos,
    reports: BTreeMap<u64, ReceivedReport>,
    round: Option<PaxosRound>,
    highest: Ballot,
    not_before: Nanos,
    /// Since when the last agreement is known here, and since when a rollout that has not begun is.
    agreement: u64,
    since: Nanos,
    offered: Option<(RolloutId, Nanos)>,
    /// Since when no node of the stage is there.
    deserted: Option<Nanos>,
    record: Option<CohortMetrics>,
    counted: u64,
    judgement: Option<AnalysisResult>,
    line: String,
    method: AnalysisMethod,
    names: BTreeMap<u32, String>,
    room: usize,
    fast_enough: BTreeMap<u32, u32>,
}

/// What a step is decided by.
struct StepInputs<'a> {
    now: Nanos,
    unix_ms: u64,
    rollouts: &'a RolloutTable,
    members: &'a [Member],
    electorate: u32,
}

impl Coordinator {
    /// The part of this node among these voters.
    pub fn new(now: Nanos, me: u64, kind: Kind, voters: Vec<u64>) -> Coordinator {
        Coordinator {
            me,
            kind,
            voters,
            // Answers to a conductor before it under the same name must not be taken for answers to
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
            record: None,
            counted: 0,
            judgement: None,
            line: String::new(),
            method: AnalysisMethod::Nodes,
            names: BTreeMap::new(),
            room: NODES_MAX,
            fast_enough: BTreeMap::new(),
        }
    }

    /// Judged in another way, to compare.
    pub fn with_method(mut self, method: AnalysisMethod) -> Coordinator {
        self.method = method;
        self
    }

    /// Operations by their names, for reasons that people read.
    pub fn with_names(mut self, names: BTreeMap<u32, String>) -> Coordinator {
        self.names = names;
        self
    }

    /// Keeps so many nodes apart in its record.
    pub fn with_capacity(mut self, nodes: usize) -> Coordinator {
        self.room = nodes;
        self
    }

    /// What takes less than so long, by operation in tenths of a millisecond, is quick enough for
    /// any caller.
    pub fn with_fast_enough(mut self, fast_enough: BTreeMap<u32, u32>) -> Coordinator {
        self.fast_enough = fast_enough;
        self
    }

    /// The voters are others from here on.
    pub fn set_voters(&mut self, voters: Vec<u64>) {
        if voters != self.voters {
            self.voters = voters;
            self.round = None;
        }
    }

    /// Whether this node keeps a record.
    pub fn is_voter(&self) -> bool {
        self.voters.contains(&self.me)
    }

    /// Whether it is its turn: the first of the voters that are there conducts.
    pub fn is_coordinating(&self, members: &[Member]) -> bool {
        self.acting_coordinator(members) == Some(self.me)
    }

    /// Who conducts, as far as this node sees.
    pub fn acting_coordinator(&self, members: &[Member]) -> Option<u64> {
        let is_present =
            |node: u64| node == self.me || members.iter().any(|m| m.node == node && m.there);
        self.voters.iter().copied().find(|node| is_present(*node))
    }

    /// The record of the rollout that is under way, or was last.
    pub fn record(&self) -> Option<&CohortMetrics> {
        self.record.as_ref()
    }

    /// The last judgement.
    pub fn judgement(&self) -> Option<&AnalysisResult> {
        self.judgement.as_ref()
    }

    /// What it waits for, in words.
    pub fn line(&self) -> &str {
        &self.line
    }

    /// How a node stood when it was last heard.
    pub fn report(&self, node: u64) -> Option<&NodeReport> {
        self.reports.get(&node).map(|received| &received.report)
    }

    fn is_fresh(&self, received: &ReceivedReport) -> bool {
        self.poll.wrapping_sub(received.no) <= 1
    }

    // ---- What is counted ----

    /// The next window that is wanted; nothing while no rollout is under way here.
    pub fn next_wanted_window(&self, rollouts: &RolloutTable) -> Option<u64> {
        let begun =
            rollouts.in_progress(self.kind).is_some() && self.record.is_some() && self.is_voter();
        begun.then_some(self.counted)
    }

    /// What nodes did in a window that is over.
    pub fn record_window(&mut self, window: u64, samples: &[WindowSample]) {
        if let Some(record) = self.record.as_mut().filter(|_| window >= self.counted) {
            record.after(window, samples);
            self.counted = window + 1;
        }
    }

    /// Looks at what is known; if a rollout has begun, what was counted before is asked for.
    fn follow_rollout(
        &mut self,
        now: Nanos,
        rollouts: &RolloutTable,
        windows: &mut dyn FnMut() -> Vec<(u64, Vec<WindowSample>)>,
    ) {
        let agreement = last_agreement(rollouts, self.kind);
        if agreement != self.agreement {
            (self.agreement, self.since) = (agreement, now);
            (self.deserted, self.judgement) = (None, None);
        }
        let next = rollouts.next(self.kind).map(|rollout| rollout.id);
        if self.offered.map(|(id, _)| id) != next {
            self.offered = next.map(|id| (id, now));
        }
        let Some(rollout) = rollouts.in_progress(self.kind).filter(|_| self.is_voter()) else {
            return;
        };
        if self
            .record
            .as_ref()
            .is_none_or(|record| record.rollout != rollout.id)
        {
            let mut record = CohortMetrics::new(rollout.id, rollout.version, rollout.base)
                .with_capacity(self.room)
                .with_fast_enough(self.fast_enough.clone());
            let windows = windows();
            self.counted = windows
                .iter()
                .map(|(window, _)| window + 1)
                .max()
                .unwrap_or(self.counted);
            record.begin(&windows);
            self.record = Some(record);
        }
        if let Some(record) = self
            .record
            .as_mut()
            .filter(|record| record.stage() != rollout.progress.stage)
        {
            record.stage_begins(rollout.progress.stage);
        }
    }

    // ---- Words ----

    /// A node answered.
    pub fn handle_report(&mut self, from: u64, no: u32, report: NodeReport) {
        self.reports.insert(from, ReceivedReport { no, report });
    }

    /// A voter answered.
    pub fn handle_paxos_reply(
        &mut self,
        now: Nanos,
        from: u64,
        reply: &PaxosReply,
    ) -> Vec<CoordinatorAction> {
        let Some(round) = self.round.as_mut().filter(|_| self.voters.contains(&from)) else {
            return Vec::new();
        };
        match round.handle_reply(from, reply) {
            RoundStep::Wait => Vec::new(),
            RoundStep::Request(request) => self.request_all_voters(&request),
            RoundStep::Agreed(proposal) => {
                self.round = None;
                vec![CoordinatorAction::Agreed(proposal)]
            }
            RoundStep::GiveUp(highest) => {
                self.highest = self.highest.max(highest);
                self.give_up(now);
                Vec::new()
            }
        }
    }

    fn request_all_voters(&self, request: &PaxosRequest) -> Vec<CoordinatorAction> {
        self.voters
            .iter()
            .map(|to| {
                CoordinatorAction::Send(
                    *to,
                    ReceivedMessage::PaxosRequest(self.kind, request.clone()),
                )
            })
            .collect()
    }

    fn give_up(&mut self, now: Nanos) {
        self.round = None;
        // Two who conduct at once must not go on getting into each other's way.
        let part = splitmix64(self.me ^ now) % ROUND_BACKOFF;
        self.not_before = now + ROUND_BACKOFF + part;
    }

    // ---- Time ----

    /// Does what is due; to be called some times a second.
    pub fn wake(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        rollouts: &RolloutTable,
        members: &[Member],
        windows: &mut dyn FnMut() -> Vec<(u64, Vec<WindowSample>)>,
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
        let mut actions = Vec::new();
        if now >= self.polled + POLL_INTERVAL.max(POLL_INTERVAL_PER_NODE * members.len() as u64) {
            (self.polled, self.poll) = (now, self.poll.wrapping_add(1));
            let poll = ReceivedMessage::Poll {
                no: self.poll,
                rollout: rollout.id,
                stage: rollout.progress.stage,
                outcome: rollout.outcome,
            };
            actions.extend(
                members
                    .iter()
                    .filter(|member| member.there)
                    .map(|m| CoordinatorAction::Send(m.node, poll.clone())),
            );
            let is_known = |node: &u64| members.iter().any(|member| member.node == *node);
            self.reports.retain(|node, _| is_known(node));
        }
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
            Step::Propose(proposal) => {
                let ballot = Ballot {
                    round: self.highest.round + 1,
                    by: self.me,
                };
                self.highest = ballot;
                self.line = format!("has stage {} agreed on", proposal.progress.stage);
                let (round, request) = PaxosRound::begin(now, ballot, proposal, self.voters.len());
                self.round = Some(round);
                actions.extend(self.request_all_voters(&request));
            }
        }
        actions
    }

    /// How many the fleet is to be taken for: those that are known, and no fewer than was agreed on
    /// lately.
    fn electorate(&self, now: Nanos, rollouts: &RolloutTable, members: &[Member]) -> u32 {
        let agreed = rollouts
            .head(self.kind)
            .filter(|_| now < self.since + ELECTORATE_LIFETIME);
        (members.len() as u32).max(agreed.map_or(0, |head| head.progress.electorate))
    }

    /// Reports that came lately about a rollout.
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
        let electorate = self.electorate(now, rollouts, members);
        let facts = StepInputs {
            now,
            unix_ms,
            rollouts,
            members,
            electorate,
        };
        if let Some(end) = self.reject_superseded(rollouts) {
            return end;
        }
        let voters = self.voters.iter().filter(|node| {
            **node == self.me
                || members
                    .iter()
                    .any(|member| member.node == **node && member.there)
        });
        let (there, all) = (voters.count(), self.voters.len());
        if there * 2 <= all {
            return Step::Wait(format!(
                "{there} of {all} arbiters are there, more than half are needed"
            ));
        }
        match (rollouts.in_progress(self.kind), rollouts.next(self.kind)) {
            (Some(rollout), _) => self.step_in_progress(&facts, rollout),
            (None, Some(rollout)) => self.step_before_start(&facts, rollout),
            (None, None) => Step::Wait(String::new()),
        }
    }

    /// Those that can't begin any more, for another is in force or under way: they are told so.
    fn reject_superseded(&self, rollouts: &RolloutTable) -> Option<Step> {
        let ahead = rollouts.in_progress(self.kind).or_else(|| {
            let done = rollouts.iter().filter(|rollout| {
                rollout.kind == self.kind && rollout.outcome == Outcome::Completed
            });
            done.max_by_key(|rollout| rollout.progress.agreement)
        })?;
        let late = rollouts.iter().find(|rollout| {
            let waits = rollout.kind == self.kind
                && rollout.outcome == Outcome::InProgress
                && rollout.progress.agreement == 0;
            waits && rollout.version.number <= ahead.version.number
        })?;
        let word = if ahead.outcome == Outcome::Completed {
            "in force"
        } else {
            "under way"
        };
        let why = format!("version {} is {word}, change {}", ahead.version, ahead.id);
        Some(Step::End {
            rollout: late.id,
            outcome: Outcome::Rejected,
            why,
        })
    }

    /// More than half of the fleet answered, or why it can't go on.
    fn quorum(&self, facts: &StepInputs<'_>, rollout: &Rollout) -> Result<(), String> {
        let fresh = self.fresh_reports(rollout.id).count() as u32;
        if fresh * 2 <= facts.electorate {
            return Err(format!(
                "{fresh} of {} nodes answer, more than half are needed",
                facts.electorate
            ));
        }
        if let Some((node, report)) = self
            .fresh_reports(rollout.id)
            .find(|(_, report)| report.outcome > rollout.outcome)
        {
            return Err(format!(
                "node {node:016x} knows that it is {}",
                report.outcome.word()
            ));
        }
        Ok(())
    }

    /// The nodes that turned a version down, and why.
    fn rejection(&self, rollout: &Rollout) -> Option<String> {
        let mut nodes = self
            .fresh_reports(rollout.id)
            .filter(|(_, report)| report.status == NodeStatus::Rejected);
        let (_, first) = nodes.next()?;
        let why = if first.why.is_empty() {
            "it can't be run"
        } else {
            &first.why
        };
        Some(match nodes.count() {
            0 => format!("one node turns it down: {why}"),
            more => format!("{} nodes turn it down, one of them: {why}", more + 1),
        })
    }

    fn propose(&self, facts: &StepInputs<'_>, rollout: &Rollout, again: bool) -> Step {
        let nodes: Vec<(u64, u32)> = facts
            .members
            .iter()
            .filter(|member| member.there)
            .map(|member| (member.node, member.zone))
            .collect();
        let (progress, agreement) = (
            &rollout.progress,
            last_agreement(facts.rollouts, self.kind) + 1,
        );
        // What is agreed on is the fleet that is there: those that were lost long ago do not hold
        // the next ones up.
        let electorate = nodes.len() as u32;
        let progress = match again {
            true => progress.again(rollout.id, &rollout.plan, &nodes, agreement, electorate),
            false => progress.next(rollout.id, &rollout.plan, &nodes, agreement, electorate),
        };
        match progress {
            Some(progress) => {
                let progress = Progress {
                    at_ms: facts.unix_ms,
                    ..progress
                };
                Step::Propose(Proposal {
                    rollout: rollout.id,
                    progress,
                })
            }
            None => Step::Wait("there is no stage after this one".into()),
        }
    }

    fn step_before_start(&self, facts: &StepInputs<'_>, rollout: &Rollout) -> Step {
        let good = self
            .fresh_reports(rollout.id)
            .map(|(_, report)| report.good)
            .max()
            .unwrap_or_default();
        if rollout.version.number <= good.number {
            let why = format!("version {good} is in force at some nodes");
            return Step::End {
                rollout: rollout.id,
                outcome: Outcome::Rejected,
                why,
            };
        }
        if let Some(why) = self.rejection(rollout) {
            return Step::End {
                rollout: rollout.id,
                outcome: Outcome::Rejected,
                why,
            };
        }
        if let Err(why) = self.quorum(facts, rollout) {
            return Step::Wait(why);
        }
        let staged = self
            .fresh_reports(rollout.id)
            .filter(|(_, report)| report.status >= NodeStatus::Staged)
            .count();
        let there = facts.members.iter().filter(|member| member.there).count();
        let waited = self
            .offered
            .is_some_and(|(_, since)| facts.now > since + STRAGGLER_WAIT);
        if staged < there && !waited || staged as u32 * 2 <= facts.electorate {
            let why = format!("it is staged at {staged} of {there} nodes");
            let too_long = self
                .offered
                .is_some_and(|(_, since)| facts.now > since + CONTENT_LOST_AFTER);
            return match too_long && staged as u32 * 2 <= facts.electorate {
                true => Step::End {
                    rollout: rollout.id,
                    outcome: Outcome::Rejected,
                    why: format!("{why}, and its content may be lost"),
                },
                false => Step::Wait(why),
            };
        }
        // What was halted and not taken back is taken back now: there is one base to go out from.
        let halted = facts
            .rollouts
            .iter()
            .find(|c| c.kind == self.kind && c.outcome == Outcome::Halted);
        if let Some(halted) = halted {
            let why = format!("change {} begins in its place", rollout.id);
            return Step::End {
                rollout: halted.id,
                outcome: Outcome::RolledBack,
                why,
            };
        }
        self.propose(facts, rollout, false)
    }

    /// CrashCounts on trial, and of the others in this stage.
    fn crash_counts(&self, facts: &StepInputs<'_>, rollout: &Rollout) -> CrashCounts {
        let mut crashes = [0, 0];
        let is_new = |report: &NodeReport| {
            report.rollout == rollout.id
                && matches!(report.status, NodeStatus::Starting | NodeStatus::OnTrial)
        };
        for (node, received) in &self.reports {
            let report = &received.report;
            let is_present = facts
                .members
                .iter()
                .any(|member| member.node == *node && member.there);
            match () {
                () if report.crashes > 0 && report.rollout == rollout.id => {
                    let in_stage = report.last_crash_ms > rollout.progress.at_ms;
                    crashes[0] += u64::from(if in_stage { report.crashes } else { 0 });
                }
                () if !is_present && is_new(report) => crashes[0] += 1,
                () if !is_present => crashes[1] += 1,
                // It runs what it ran before, and has done so since it started: after the stage
                // began.
                () if report.running == rollout.base
                    && report.since_ms > rollout.progress.at_ms =>
                {
                    crashes[1] += 1
                }
                () => {}
            }
        }
        let in_stage = facts
            .members
            .iter()
            .filter(|m| rollout.progress.has(rollout.id, m.node, m.zone))
            .count() as u64;
        let nodes = [in_stage, facts.members.len() as u64 - in_stage];
        let held = facts.now - self.since.min(facts.now);
        CrashCounts {
            crashes: crashes,
            nodes,
            windows: held as f64 / CRASH_WINDOW as f64,
        }
    }

    fn step_in_progress(&mut self, facts: &StepInputs<'_>, rollout: &Rollout) -> Step {
        let end = |outcome, why| Step::End {
            rollout: rollout.id,
            outcome,
            why,
        };
        if let Some(why) = self.rejection(rollout) {
            return end(Outcome::RolledBack, why);
        }
        let crashes = self.crash_counts(facts, rollout);
        let stage = rollout.progress.stage;
        let judged = self.record.as_ref().map(|record| {
            canary_analysis::judge(record, &rollout.plan, stage, &crashes, self.method)
        });
        let verdict = judged.as_ref().map(|judged| {
            (
                judged.verdict.clone(),
                judged.line(&|op| self.operation_name(op)),
            )
        });
        self.judgement = judged;
        if let Some((Verdict::Harm(_), line)) = &verdict {
            return end(Outcome::RolledBack, line.clone());
        }
        if let Err(why) = self.quorum(facts, rollout) {
            return Step::Wait(why);
        }
        let (held, plan) = (facts.now - self.since.min(facts.now), &rollout.plan);
        let Some(of) = plan.stage(stage) else {
            return Step::Wait(String::new());
        };
        let mine: Vec<&Member> = facts
            .members
            .iter()
            .filter(|member| {
                member.there && rollout.progress.has(rollout.id, member.node, member.zone)
            })
            .collect();
        if mine.is_empty() {
            // Those that are lost may run it all the same: only those that left are replaced, so
            // that no more run it than may.
            let lost = facts
                .members
                .iter()
                .any(|m| !m.there && rollout.progress.has(rollout.id, m.node, m.zone));
            let since = *self.deserted.get_or_insert(facts.now);
            return match () {
                () if held > of.longest => end(
                    Outcome::Halted,
                    format!(
                        "no node of stage {stage} was there for {}",
                        seconds(of.longest)
                    ),
                ),
                () if lost => Step::Wait("the nodes of its stage are lost".into()),
                () if facts.now > since + REPLACE_DEPARTED_AFTER => {
                    self.propose(facts, rollout, true)
                }
                () => Step::Wait("the nodes of its stage left".into()),
            };
        }
        self.deserted = None;
        let not_yet = mine.iter().find(|member| {
            let received = self
                .reports
                .get(&member.node)
                .filter(|received| self.is_fresh(received));
            received.is_none_or(|received| {
                let report = &received.report;
                report.rollout != rollout.id
                    || report.running != rollout.version && report.crashes < MAX_CRASHES
            })
        });
        let waits = match (not_yet, &verdict) {
            (Some(member), _) => Some(format!(
                "node {:016x} of its stage does not run it yet",
                member.node
            )),
            _ if held < of.least => Some(format!(
                "{} of {} have passed",
                seconds(held),
                seconds(of.least)
            )),
            (_, None) => Some("nothing is counted yet".into()),
            _ => None,
        };
        let others = facts.members.iter().any(|member| {
            let runs_base = |received: &ReceivedReport| received.report.running == rollout.base;
            member.there && self.reports.get(&member.node).is_some_and(runs_base)
        });
        let waits = waits.or(match verdict {
            _ if !others => None,
            Some((Verdict::Wait(why), _)) => Some(why),
            // Where too little comes to tell, time must do: nothing has spoken for harm in all of
            // it.
            Some((Verdict::Unsure(why), _)) if held <= of.longest => Some(why),
            _ => None,
        });
        match waits {
            Some(why) if held > of.longest => end(
                Outcome::Halted,
                format!(
                    "stage {stage} came to no judgement in {}: {why}",
                    seconds(of.longest)
                ),
            ),
            Some(why) => Step::Wait(why),
            // Nobody is left to compare with: what was before must do.
            None if !others => match self.collapsed() {
                Some(why) => end(Outcome::Halted, why),
                None => self.propose(facts, rollout, false),
            },
            None => self.propose(facts, rollout, false),
        }
    }

    fn operation_name(&self, operation: u32) -> String {
        self.names
            .get(&operation)
            .cloned()
            .unwrap_or_else(|| format!("{operation:08x}"))
    }

    /// Whether much less succeeds than before; said of the whole, for want of others.
    fn collapsed(&self) -> Option<String> {
        let record = self.record.as_ref()?;
        let (mut before, mut after) = ([0, 0], [0, 0]);
        for (_, node) in record.side(Cohort::Canary) {
            for (sum, cells) in [(&mut before, &node.before), (&mut after, &node.after)] {
                for cell in cells.values() {
                    sum[0] += cell.succeeded;
                    sum[1] += cell.arrived;
                }
            }
        }
        if before[1] < COLLAPSE_MIN_REQUESTS || after[1] < COLLAPSE_MIN_REQUESTS {
            return None;
        }
        let share = |of: [u64; 2]| of[0] as f64 / of[1] as f64;
        (share(after) < share(before) - COLLAPSE_MARGIN).then(|| {
            format!(
                "{:.0} % succeed with nobody left to compare with, {:.0} % did before",
                share(after) * 100.0,
                share(before) * 100.0
            )
        })
    }

    /// How many nodes of the stage run the new version, how many are to, and how many the fleet
    /// has, as last heard.
    pub fn stage_counts(&self, rollout: &Rollout, members: &[Member]) -> [usize; 3] {
        let is_in = |member: &&Member| {
            member.there && rollout.progress.has(rollout.id, member.node, member.zone)
        };
        let runs =
            |version: Version, node: u64| self.report(node).is_some_and(|r| r.running == version);
        let running = members
            .iter()
            .filter(|m| m.there && runs(rollout.version, m.node))
            .count();
        [
            running,
            members.iter().filter(is_in).count(),
            members.iter().filter(|m| m.there).count(),
        ]
    }
}
