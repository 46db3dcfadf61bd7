//! Conducting a change: one arbiter asks all nodes how they stand, judges the stage by what was
//! counted, and has the arbiters agree on what comes next. Safety does not rest on there being one:
//! see [`crate::paxos`]. What it knows beside is asked for anew by whoever conducts next.
//!
//! A change goes on only if more than half of the fleet as last agreed on, and all nodes of its
//! stage that are there, have answered lately and know of no end. Towards safety it needs nobody.

use crate::canary_analysis::{self, AnalysisMethod, AnalysisResult, CrashCounts, Verdict};
use crate::cohort_metrics::{Cohort, CohortMetrics, NODES_MAX, WindowSample};
use crate::messages::ReceivedMessage;
use crate::node_agent::{DEATHS, NodeReport, NodeStatus};
use crate::paxos::{Ballot, PaxosReply, PaxosRequest, PaxosRound, Proposal, RoundStep, known};
use crate::rollout::{Kind, Outcome, Rollout, RolloutId, RolloutTable, Version};
use crate::stages::{Progress, seconds};
use crate::{MILLISECOND, Nanos, SECOND, mix};
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
const WINDOW: Nanos = 10 * SECOND;
/// All nodes are asked once in this time, or in so much for each of them if that is longer.
const POLL: Nanos = 2 * SECOND;
const POLL_EACH: Nanos = 5 * MILLISECOND;
/// A round that came to nothing is followed by another after about this.
const AGAIN: Nanos = 500 * MILLISECOND;
/// What the fleet was agreed to be holds so long against seeing fewer.
const ELECTORATE_HOLDS: Nanos = 3600 * SECOND;
/// A change begins without those who don't answer after this; others take the place of a stage's
/// nodes that are all gone.
const STRAGGLERS: Nanos = 60 * SECOND;
/// A change whose content most nodes can't get hold of in this time does not begin: who offered it
/// is gone.
const NOWHERE: Nanos = 180 * SECOND;
const REPLACED: Nanos = 30 * SECOND;
/// With nobody left to compare with: so much less succeeds than before, as a share, and the change
/// goes no further.
const COLLAPSE: f64 = 0.3;
const COLLAPSE_SAMPLE: u64 = 200;

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing, and why.
    Wait(String),
    Propose(Proposal),
    End {
        change: RolloutId,
        fate: Outcome,
        why: String,
    },
}

/// What the one who conducts wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    Send(u64, ReceivedMessage),
    End {
        change: RolloutId,
        fate: Outcome,
        why: String,
    },
    Agreed(Proposal),
}

#[derive(Clone, Debug)]
struct ReceivedReport {
    no: u32,
    report: NodeReport,
}

/// The part of an arbiter: it keeps the record of what is under way, and conducts when it is its
/// turn.
#[derive(Clone, Debug)]
pub struct Coordinator {
    me: u64,
    kind: Kind,
    arbiters: Vec<u64>,
    poll: u32,
    polled: Nanos,
    heard: BTreeMap<u64, ReceivedReport>,
    round: Option<PaxosRound>,
    highest: Ballot,
    not_before: Nanos,
    /// Since when the last agreement is known here, and since when a change that has not begun is.
    seq: u64,
    since: Nanos,
    offered: Option<(RolloutId, Nanos)>,
    /// Since when no node of the stage is there.
    deserted: Option<Nanos>,
    record: Option<CohortMetrics>,
    counted: u64,
    judgement: Option<AnalysisResult>,
    line: String,
    way: AnalysisMethod,
    names: BTreeMap<u32, String>,
    room: usize,
    quick: BTreeMap<u32, u32>,
}

/// What a step is decided by.
struct StepInputs<'a> {
    now: Nanos,
    unix_ms: u64,
    changes: &'a RolloutTable,
    members: &'a [Member],
    electorate: u32,
}

impl Coordinator {
    /// The part of this node among these arbiters.
    pub fn new(now: Nanos, me: u64, kind: Kind, arbiters: Vec<u64>) -> Coordinator {
        Coordinator {
            me,
            kind,
            arbiters,
            // Answers to a conductor before it under the same name must not be taken for answers to
            // this one.
            poll: (mix(me ^ now) as u32) & 0x0fff_ffff,
            polled: 0,
            heard: BTreeMap::new(),
            round: None,
            highest: Ballot::default(),
            not_before: 0,
            seq: 0,
            since: now,
            offered: None,
            deserted: None,
            record: None,
            counted: 0,
            judgement: None,
            line: String::new(),
            way: AnalysisMethod::Nodes,
            names: BTreeMap::new(),
            room: NODES_MAX,
            quick: BTreeMap::new(),
        }
    }

    /// Judged in another way, to compare.
    pub fn with_way(mut self, way: AnalysisMethod) -> Coordinator {
        self.way = way;
        self
    }

    /// Operations by their names, for reasons that people read.
    pub fn with_names(mut self, names: BTreeMap<u32, String>) -> Coordinator {
        self.names = names;
        self
    }

    /// Keeps so many nodes apart in its record.
    pub fn with_room(mut self, nodes: usize) -> Coordinator {
        self.room = nodes;
        self
    }

    /// What takes less than so long, by operation in tenths of a millisecond, is quick enough for
    /// any caller.
    pub fn with_quick(mut self, quick: BTreeMap<u32, u32>) -> Coordinator {
        self.quick = quick;
        self
    }

    /// The arbiters are others from here on.
    pub fn set_arbiters(&mut self, arbiters: Vec<u64>) {
        if arbiters != self.arbiters {
            self.arbiters = arbiters;
            self.round = None;
        }
    }

    /// Whether this node keeps a record.
    pub fn is_arbiter(&self) -> bool {
        self.arbiters.contains(&self.me)
    }

    /// Whether it is its turn: the first of the arbiters that are there conducts.
    pub fn conducts(&self, members: &[Member]) -> bool {
        self.conductor(members) == Some(self.me)
    }

    /// Who conducts, as far as this node sees.
    pub fn conductor(&self, members: &[Member]) -> Option<u64> {
        let is_there =
            |node: u64| node == self.me || members.iter().any(|m| m.node == node && m.there);
        self.arbiters.iter().copied().find(|node| is_there(*node))
    }

    /// The record of the change that is under way, or was last.
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
        self.heard.get(&node).map(|heard| &heard.report)
    }

    fn is_fresh(&self, heard: &ReceivedReport) -> bool {
        self.poll.wrapping_sub(heard.no) <= 1
    }

    // ---- What is counted ----

    /// The next window that is wanted; nothing while no change is under way here.
    pub fn wants_counts(&self, changes: &RolloutTable) -> Option<u64> {
        let begun =
            changes.under_way(self.kind).is_some() && self.record.is_some() && self.is_arbiter();
        begun.then_some(self.counted)
    }

    /// What nodes did in a window that is over.
    pub fn counted(&mut self, window: u64, samples: &[WindowSample]) {
        if let Some(record) = self.record.as_mut().filter(|_| window >= self.counted) {
            record.after(window, samples);
            self.counted = window + 1;
        }
    }

    /// Looks at what is known; if a change has begun, what was counted before is asked for.
    fn follow(
        &mut self,
        now: Nanos,
        changes: &RolloutTable,
        windows: &mut dyn FnMut() -> Vec<(u64, Vec<WindowSample>)>,
    ) {
        let seq = known(changes, self.kind);
        if seq != self.seq {
            (self.seq, self.since) = (seq, now);
            (self.deserted, self.judgement) = (None, None);
        }
        let next = changes.next(self.kind).map(|change| change.id);
        if self.offered.map(|(id, _)| id) != next {
            self.offered = next.map(|id| (id, now));
        }
        let Some(change) = changes.under_way(self.kind).filter(|_| self.is_arbiter()) else {
            return;
        };
        if self
            .record
            .as_ref()
            .is_none_or(|record| record.change != change.id)
        {
            let mut record = CohortMetrics::new(change.id, change.version, change.base)
                .with_room(self.room)
                .with_quick(self.quick.clone());
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
            .filter(|record| record.stage() != change.reach.stage)
        {
            record.stage_begins(change.reach.stage);
        }
    }

    // ---- Words ----

    /// A node answered.
    pub fn report_came(&mut self, from: u64, no: u32, report: NodeReport) {
        self.heard.insert(from, ReceivedReport { no, report });
    }

    /// An arbiter answered.
    pub fn said(&mut self, now: Nanos, from: u64, say: &PaxosReply) -> Vec<CoordinatorAction> {
        let Some(round) = self
            .round
            .as_mut()
            .filter(|_| self.arbiters.contains(&from))
        else {
            return Vec::new();
        };
        match round.said(from, say) {
            RoundStep::Wait => Vec::new(),
            RoundStep::PaxosRequest(ask) => self.ask(&ask),
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

    fn ask(&self, ask: &PaxosRequest) -> Vec<CoordinatorAction> {
        self.arbiters
            .iter()
            .map(|to| {
                CoordinatorAction::Send(*to, ReceivedMessage::PaxosRequest(self.kind, ask.clone()))
            })
            .collect()
    }

    fn give_up(&mut self, now: Nanos) {
        self.round = None;
        // Two who conduct at once must not go on getting into each other's way.
        let part = mix(self.me ^ now) % AGAIN;
        self.not_before = now + AGAIN + part;
    }

    // ---- Time ----

    /// Does what is due; to be called some times a second.
    pub fn wake(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        changes: &RolloutTable,
        members: &[Member],
        windows: &mut dyn FnMut() -> Vec<(u64, Vec<WindowSample>)>,
    ) -> Vec<CoordinatorAction> {
        self.follow(now, changes, windows);
        if !self.conducts(members) {
            self.round = None;
            self.heard.clear();
            self.line.clear();
            return Vec::new();
        }
        let Some(change) = changes
            .under_way(self.kind)
            .or_else(|| changes.next(self.kind))
        else {
            self.line.clear();
            return Vec::new();
        };
        let mut acts = Vec::new();
        if now >= self.polled + POLL.max(POLL_EACH * members.len() as u64) {
            (self.polled, self.poll) = (now, self.poll.wrapping_add(1));
            let poll = ReceivedMessage::Poll {
                no: self.poll,
                change: change.id,
                stage: change.reach.stage,
                fate: change.fate,
            };
            acts.extend(
                members
                    .iter()
                    .filter(|member| member.there)
                    .map(|m| CoordinatorAction::Send(m.node, poll.clone())),
            );
            let is_known = |node: &u64| members.iter().any(|member| member.node == *node);
            self.heard.retain(|node, _| is_known(node));
        }
        if self.round.as_ref().is_some_and(|round| round.is_over(now)) {
            self.give_up(now);
        }
        if self.round.is_some() || now < self.not_before {
            return acts;
        }
        match self.step(now, unix_ms, changes, members) {
            Step::Wait(why) => self.line = why,
            Step::End { change, fate, why } => {
                acts.push(CoordinatorAction::End { change, fate, why })
            }
            Step::Propose(proposal) => {
                let ballot = Ballot {
                    round: self.highest.round + 1,
                    by: self.me,
                };
                self.highest = ballot;
                self.line = format!("has stage {} agreed on", proposal.reach.stage);
                let (round, ask) = PaxosRound::begin(now, ballot, proposal, self.arbiters.len());
                self.round = Some(round);
                acts.extend(self.ask(&ask));
            }
        }
        acts
    }

    /// How many the fleet is to be taken for: those that are known, and no fewer than was agreed on
    /// lately.
    fn electorate(&self, now: Nanos, changes: &RolloutTable, members: &[Member]) -> u32 {
        let agreed = changes
            .head(self.kind)
            .filter(|_| now < self.since + ELECTORATE_HOLDS);
        (members.len() as u32).max(agreed.map_or(0, |head| head.reach.electorate))
    }

    /// Reports that came lately about a change.
    fn fresh(&self, change: RolloutId) -> impl Iterator<Item = (u64, &NodeReport)> {
        let heard = self
            .heard
            .iter()
            .filter(move |(_, h)| self.is_fresh(h) && h.report.change == change);
        heard.map(|(node, heard)| (*node, &heard.report))
    }

    fn step(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        changes: &RolloutTable,
        members: &[Member],
    ) -> Step {
        let electorate = self.electorate(now, changes, members);
        let facts = StepInputs {
            now,
            unix_ms,
            changes,
            members,
            electorate,
        };
        if let Some(end) = self.superseded(changes) {
            return end;
        }
        let arbiters = self.arbiters.iter().filter(|node| {
            **node == self.me
                || members
                    .iter()
                    .any(|member| member.node == **node && member.there)
        });
        let (there, all) = (arbiters.count(), self.arbiters.len());
        if there * 2 <= all {
            return Step::Wait(format!(
                "{there} of {all} arbiters are there, more than half are needed"
            ));
        }
        match (changes.under_way(self.kind), changes.next(self.kind)) {
            (Some(change), _) => self.goes_on(&facts, change),
            (None, Some(change)) => self.begins(&facts, change),
            (None, None) => Step::Wait(String::new()),
        }
    }

    /// Those that can't begin any more, for another is in force or under way: they are told so.
    fn superseded(&self, changes: &RolloutTable) -> Option<Step> {
        let ahead = changes.under_way(self.kind).or_else(|| {
            let done = changes
                .iter()
                .filter(|change| change.kind == self.kind && change.fate == Outcome::Completed);
            done.max_by_key(|change| change.reach.seq)
        })?;
        let late = changes.iter().find(|change| {
            let waits = change.kind == self.kind
                && change.fate == Outcome::InProgress
                && change.reach.seq == 0;
            waits && change.version.number <= ahead.version.number
        })?;
        let word = if ahead.fate == Outcome::Completed {
            "in force"
        } else {
            "under way"
        };
        let why = format!("version {} is {word}, change {}", ahead.version, ahead.id);
        Some(Step::End {
            change: late.id,
            fate: Outcome::Rejected,
            why,
        })
    }

    /// More than half of the fleet answered, or why it can't go on.
    fn quorum(&self, facts: &StepInputs<'_>, change: &Rollout) -> Result<(), String> {
        let fresh = self.fresh(change.id).count() as u32;
        if fresh * 2 <= facts.electorate {
            return Err(format!(
                "{fresh} of {} nodes answer, more than half are needed",
                facts.electorate
            ));
        }
        if let Some((node, report)) = self
            .fresh(change.id)
            .find(|(_, report)| report.fate > change.fate)
        {
            return Err(format!(
                "node {node:016x} knows that it is {}",
                report.fate.word()
            ));
        }
        Ok(())
    }

    /// The nodes that turned a version down, and why.
    fn turned_down(&self, change: &Rollout) -> Option<String> {
        let mut nodes = self
            .fresh(change.id)
            .filter(|(_, report)| report.stand == NodeStatus::Rejected);
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

    fn propose(&self, facts: &StepInputs<'_>, change: &Rollout, again: bool) -> Step {
        let nodes: Vec<(u64, u32)> = facts
            .members
            .iter()
            .filter(|member| member.there)
            .map(|member| (member.node, member.zone))
            .collect();
        let (reach, seq) = (&change.reach, known(facts.changes, self.kind) + 1);
        // What is agreed on is the fleet that is there: those that were lost long ago do not hold
        // the next ones up.
        let electorate = nodes.len() as u32;
        let reach = match again {
            true => reach.again(change.id, &change.plan, &nodes, seq, electorate),
            false => reach.next(change.id, &change.plan, &nodes, seq, electorate),
        };
        match reach {
            Some(reach) => {
                let reach = Progress {
                    at_ms: facts.unix_ms,
                    ..reach
                };
                Step::Propose(Proposal {
                    change: change.id,
                    reach,
                })
            }
            None => Step::Wait("there is no stage after this one".into()),
        }
    }

    fn begins(&self, facts: &StepInputs<'_>, change: &Rollout) -> Step {
        let good = self
            .fresh(change.id)
            .map(|(_, report)| report.good)
            .max()
            .unwrap_or_default();
        if change.version.number <= good.number {
            let why = format!("version {good} is in force at some nodes");
            return Step::End {
                change: change.id,
                fate: Outcome::Rejected,
                why,
            };
        }
        if let Some(why) = self.turned_down(change) {
            return Step::End {
                change: change.id,
                fate: Outcome::Rejected,
                why,
            };
        }
        if let Err(why) = self.quorum(facts, change) {
            return Step::Wait(why);
        }
        let staged = self
            .fresh(change.id)
            .filter(|(_, report)| report.stand >= NodeStatus::Staged)
            .count();
        let there = facts.members.iter().filter(|member| member.there).count();
        let waited = self
            .offered
            .is_some_and(|(_, since)| facts.now > since + STRAGGLERS);
        if staged < there && !waited || staged as u32 * 2 <= facts.electorate {
            let why = format!("it is staged at {staged} of {there} nodes");
            let too_long = self
                .offered
                .is_some_and(|(_, since)| facts.now > since + NOWHERE);
            return match too_long && staged as u32 * 2 <= facts.electorate {
                true => Step::End {
                    change: change.id,
                    fate: Outcome::Rejected,
                    why: format!("{why}, and its content may be lost"),
                },
                false => Step::Wait(why),
            };
        }
        // What was halted and not taken back is taken back now: there is one base to go out from.
        let halted = facts
            .changes
            .iter()
            .find(|c| c.kind == self.kind && c.fate == Outcome::Halted);
        if let Some(halted) = halted {
            let why = format!("change {} begins in its place", change.id);
            return Step::End {
                change: halted.id,
                fate: Outcome::RolledBack,
                why,
            };
        }
        self.propose(facts, change, false)
    }

    /// CrashCounts on trial, and of the others in this stage.
    fn deaths(&self, facts: &StepInputs<'_>, change: &Rollout) -> CrashCounts {
        let mut deaths = [0, 0];
        let is_new = |report: &NodeReport| {
            report.change == change.id
                && matches!(report.stand, NodeStatus::Starting | NodeStatus::OnTrial)
        };
        for (node, heard) in &self.heard {
            let report = &heard.report;
            let is_there = facts
                .members
                .iter()
                .any(|member| member.node == *node && member.there);
            match () {
                () if report.died > 0 && report.change == change.id => {
                    let in_stage = report.died_ms > change.reach.at_ms;
                    deaths[0] += u64::from(if in_stage { report.died } else { 0 });
                }
                () if !is_there && is_new(report) => deaths[0] += 1,
                () if !is_there => deaths[1] += 1,
                // It runs what it ran before, and has done so since it started: after the stage
                // began.
                () if report.running == change.base && report.since_ms > change.reach.at_ms => {
                    deaths[1] += 1
                }
                () => {}
            }
        }
        let in_stage = facts
            .members
            .iter()
            .filter(|m| change.reach.has(change.id, m.node, m.zone))
            .count() as u64;
        let nodes = [in_stage, facts.members.len() as u64 - in_stage];
        let held = facts.now - self.since.min(facts.now);
        CrashCounts {
            died: deaths,
            nodes,
            windows: held as f64 / WINDOW as f64,
        }
    }

    fn goes_on(&mut self, facts: &StepInputs<'_>, change: &Rollout) -> Step {
        let end = |fate, why| Step::End {
            change: change.id,
            fate,
            why,
        };
        if let Some(why) = self.turned_down(change) {
            return end(Outcome::RolledBack, why);
        }
        let deaths = self.deaths(facts, change);
        let stage = change.reach.stage;
        let judged = self
            .record
            .as_ref()
            .map(|record| canary_analysis::judge(record, &change.plan, stage, &deaths, self.way));
        let verdict = judged
            .as_ref()
            .map(|judged| (judged.verdict.clone(), judged.line(&|op| self.name(op))));
        self.judgement = judged;
        if let Some((Verdict::Harm(_), line)) = &verdict {
            return end(Outcome::RolledBack, line.clone());
        }
        if let Err(why) = self.quorum(facts, change) {
            return Step::Wait(why);
        }
        let (held, plan) = (facts.now - self.since.min(facts.now), &change.plan);
        let Some(of) = plan.stage(stage) else {
            return Step::Wait(String::new());
        };
        let mine: Vec<&Member> = facts
            .members
            .iter()
            .filter(|member| member.there && change.reach.has(change.id, member.node, member.zone))
            .collect();
        if mine.is_empty() {
            // Those that are lost may run it all the same: only those that left are replaced, so
            // that no more run it than may.
            let lost = facts
                .members
                .iter()
                .any(|m| !m.there && change.reach.has(change.id, m.node, m.zone));
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
                () if facts.now > since + REPLACED => self.propose(facts, change, true),
                () => Step::Wait("the nodes of its stage left".into()),
            };
        }
        self.deserted = None;
        let not_yet = mine.iter().find(|member| {
            let heard = self
                .heard
                .get(&member.node)
                .filter(|heard| self.is_fresh(heard));
            heard.is_none_or(|heard| {
                let report = &heard.report;
                report.change != change.id
                    || report.running != change.version && report.died < DEATHS
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
            let runs_base = |heard: &ReceivedReport| heard.report.running == change.base;
            member.there && self.heard.get(&member.node).is_some_and(runs_base)
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
                None => self.propose(facts, change, false),
            },
            None => self.propose(facts, change, false),
        }
    }

    fn name(&self, operation: u32) -> String {
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
        if before[1] < COLLAPSE_SAMPLE || after[1] < COLLAPSE_SAMPLE {
            return None;
        }
        let share = |of: [u64; 2]| of[0] as f64 / of[1] as f64;
        (share(after) < share(before) - COLLAPSE).then(|| {
            format!(
                "{:.0} % succeed with nobody left to compare with, {:.0} % did before",
                share(after) * 100.0,
                share(before) * 100.0
            )
        })
    }

    /// How many nodes of the stage run the new version, how many are to, and how many the fleet
    /// has, as last heard.
    pub fn standing(&self, change: &Rollout, members: &[Member]) -> [usize; 3] {
        let is_in = |member: &&Member| {
            member.there && change.reach.has(change.id, member.node, member.zone)
        };
        let runs =
            |version: Version, node: u64| self.report(node).is_some_and(|r| r.running == version);
        let running = members
            .iter()
            .filter(|m| m.there && runs(change.version, m.node))
            .count();
        [
            running,
            members.iter().filter(is_in).count(),
            members.iter().filter(|m| m.there).count(),
        ]
    }
}
