//! What a node shows of rollouts to those who ask: what it runs and why, the stages, the status of
//! each node, and where it has the metrics, the verdict with its figures and both cohorts over time.
//! Protocol Buffers, in pages.

use crate::canary_analysis::{Comparison, Verdict};
use crate::cohort_metrics::{CohortPoint, OperationCounts};
use crate::coordinator::Coordinator;
use crate::host::Host;
use crate::identifiers::Version;
use crate::member::Member;
use crate::node_agent::NodeAgent;
use crate::node_report::NodeReport;
use crate::rollout::{Outcome, Rollout};
use crate::stages::{Stage, seconds};
use std::collections::BTreeMap;

/// Nodes that are shown.
const NODES: usize = 300;
/// Points in time that are shown.
const POINTS: usize = 180;
/// Comparisons that are shown.
const FINDINGS: usize = 24;
/// The highest evidence that is shown.
const EVIDENCE: f64 = 1e9;

/// A version, as it is shown.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VersionStatus {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Its hash.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
}

/// A rollout, as it is shown.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RolloutStatus {
    /// Its identifier.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// What it changes: 0 settings, 1 the program.
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// What it brings.
    #[prost(message, optional, tag = "3")]
    pub version: Option<VersionStatus>,
    /// What it replaces.
    #[prost(message, optional, tag = "4")]
    pub base: Option<VersionStatus>,
    /// Its stage, from 1; one more than there are once it is completed.
    #[prost(uint32, tag = "5")]
    pub stage: u32,
    /// The plan's stages in words.
    #[prost(string, repeated, tag = "6")]
    pub stages: Vec<String>,
    /// Its outcome in a word.
    #[prost(string, tag = "7")]
    pub outcome: String,
    /// Why it ended.
    #[prost(string, tag = "8")]
    pub why: String,
    /// Who ended it.
    #[prost(string, tag = "9")]
    pub by: String,
    /// When it ended, Unix milliseconds.
    #[prost(uint64, tag = "10")]
    pub ended_ms: u64,
    /// Who offered it.
    #[prost(string, tag = "11")]
    pub offered_by: String,
    /// When it was offered, Unix milliseconds.
    #[prost(uint64, tag = "12")]
    pub offered_ms: u64,
    /// The number of its last agreement.
    #[prost(uint64, tag = "13")]
    pub agreement: u64,
    /// How many nodes the cluster was agreed to have.
    #[prost(uint32, tag = "14")]
    pub cluster_size: u32,
}

/// A node, as it is shown.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeStatusEntry {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Whether it is alive.
    #[prost(bool, tag = "3")]
    pub present: bool,
    /// Whether the stage includes it.
    #[prost(bool, tag = "4")]
    pub in_stage: bool,
    /// The version that it runs.
    #[prost(message, optional, tag = "5")]
    pub running: Option<VersionStatus>,
    /// Since when, Unix milliseconds.
    #[prost(uint64, tag = "6")]
    pub since_ms: u64,
    /// How it stands to the rollout, in words.
    #[prost(string, tag = "7")]
    pub status: String,
    /// How often the version crashed there.
    #[prost(uint32, tag = "8")]
    pub crashes: u32,
    /// Why it rejects the version.
    #[prost(string, tag = "9")]
    pub why: String,
}

/// A comparison, as it is shown.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ComparisonStatus {
    /// The operation; empty for the process itself.
    #[prost(string, tag = "1")]
    pub operation: String,
    /// What is compared.
    #[prost(string, tag = "2")]
    pub what: String,
    /// The value at the canary nodes.
    #[prost(double, tag = "3")]
    pub new: f64,
    /// What was expected there by the baseline nodes.
    #[prost(double, tag = "4")]
    pub old: f64,
    /// By how much the canary does worse.
    #[prost(double, tag = "5")]
    pub harm: f64,
    /// The standard error of that.
    #[prost(double, tag = "6")]
    pub error: f64,
    /// Evidence for harm, a likelihood ratio.
    #[prost(double, tag = "7")]
    pub evidence: f64,
    #[prost(double, tag = "8")]
    /// The harm that still counts as none.
    pub margin: f64,
}

/// Both cohorts in a window: baseline first, then canary.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CohortPointStatus {
    /// The window's number.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// The stage.
    #[prost(uint32, tag = "2")]
    pub stage: u32,
    /// Nodes.
    #[prost(uint32, repeated, tag = "3")]
    pub nodes: Vec<u32>,
    /// Requests that arrived.
    #[prost(uint64, repeated, tag = "4")]
    pub arrived: Vec<u64>,
    /// Requests that succeeded.
    #[prost(uint64, repeated, tag = "5")]
    pub succeeded: Vec<u64>,
    /// Requests that were rejected.
    #[prost(uint64, repeated, tag = "6")]
    pub rejected: Vec<u64>,
    /// Requests that failed.
    #[prost(uint64, repeated, tag = "7")]
    pub errored: Vec<u64>,
    /// Successes past their latency objective.
    #[prost(uint64, repeated, tag = "8")]
    pub late: Vec<u64>,
    /// Mean memory in KiB.
    #[prost(float, repeated, tag = "9")]
    pub memory_kb: Vec<f32>,
}

/// All that a status command shows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusSnapshot {
    /// The node that shows it.
    #[prost(string, tag = "1")]
    pub node: String,
    /// When, Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
    /// What is changed: 0 settings, 1 the program.
    #[prost(uint32, tag = "3")]
    pub kind: u32,
    /// The version that the node runs.
    #[prost(message, optional, tag = "4")]
    pub running: Option<VersionStatus>,
    /// Why it runs that, in lines.
    #[prost(string, repeated, tag = "5")]
    pub reasons: Vec<String>,
    /// The coordinator's name.
    #[prost(string, tag = "6")]
    pub coordinator: String,
    /// Where the coordinator's part in the cluster listens.
    #[prost(string, tag = "7")]
    pub coordinator_address: String,
    /// What the coordinator waits for, if the node is the coordinator.
    #[prost(string, tag = "8")]
    pub waits: String,
    /// All rollouts, the last agreement first.
    #[prost(message, repeated, tag = "9")]
    pub rollouts: Vec<RolloutStatus>,
    /// The nodes.
    #[prost(message, repeated, tag = "10")]
    pub nodes: Vec<NodeStatusEntry>,
    /// How many nodes there are, shown or not.
    #[prost(uint32, tag = "11")]
    pub nodes_in_all: u32,
    /// The last verdict in words.
    #[prost(string, tag = "12")]
    pub verdict: String,
    /// Its comparisons.
    #[prost(message, repeated, tag = "13")]
    pub findings: Vec<ComparisonStatus>,
    /// Requests in this stage: canary, baseline.
    #[prost(uint64, repeated, tag = "14")]
    pub sample: Vec<u64>,
    /// Nodes that were compared: canary, baseline.
    #[prost(uint64, repeated, tag = "15")]
    pub judged: Vec<u64>,
    /// Both cohorts over time.
    #[prost(message, repeated, tag = "16")]
    pub points: Vec<CohortPointStatus>,
    /// The span of a window, in milliseconds.
    #[prost(uint64, tag = "17")]
    pub window_ms: u64,
    /// The node's last promoted version.
    #[prost(message, optional, tag = "18")]
    pub promoted: Option<VersionStatus>,
}

/// What nodes and operations are called.
pub trait Names {
    /// A node's name and zone.
    fn node(&self, key: u64) -> Option<(String, String)>;
    /// An operation's name.
    fn operation(&self, number: u32) -> String;
}

fn version(of: Version) -> Option<VersionStatus> {
    Some(VersionStatus {
        number: of.number,
        hash: of.hash,
    })
}

impl VersionStatus {
    /// As a version is written.
    pub fn version(&self) -> Version {
        Version {
            number: self.number,
            hash: self.hash,
        }
    }
}

fn stage(stage: &Stage) -> String {
    let share = match stage.share_permille {
        0 => "one node".to_owned(),
        1000 => "all".to_owned(),
        share => format!("{} %", f64::from(share) / 10.0),
    };
    format!(
        "{share}, {} to {}, {} invocations",
        seconds(stage.min_duration),
        seconds(stage.max_duration),
        stage.min_requests
    )
}

fn rollout(of: &Rollout, names: &impl Names) -> RolloutStatus {
    let name = |key: u64| {
        names
            .node(key)
            .map_or_else(|| format!("{key:016x}"), |(name, _)| name)
    };
    let ended = of.outcome > Outcome::InProgress;
    RolloutStatus {
        id: of.id.0,
        kind: of.kind as u32,
        version: version(of.version),
        base: version(of.base),
        stage: of.progress.stage,
        stages: of.plan.stages.iter().map(stage).collect(),
        outcome: of.outcome.display_name().to_owned(),
        why: of.reason.why.clone(),
        by: if ended && of.reason.by > 0 {
            name(of.reason.by)
        } else {
            String::new()
        },
        ended_ms: of.reason.at_ms,
        offered_by: name(of.by),
        offered_ms: of.at_ms,
        agreement: of.progress.agreement,
        cluster_size: of.progress.cluster_size,
    }
}

fn finding(of: &Comparison, names: &impl Names) -> ComparisonStatus {
    ComparisonStatus {
        operation: of
            .operation
            .map_or_else(String::new, |operation| names.operation(operation)),
        what: of.what.to_owned(),
        new: of.new,
        old: of.old,
        harm: of.harm,
        error: of.error,
        evidence: of.evidence.min(EVIDENCE),
        margin: of.margin,
    }
}

fn point(of: &CohortPoint) -> CohortPointStatus {
    let both = |field: fn(&OperationCounts) -> u64| of.cells.iter().map(field).collect();
    CohortPointStatus {
        window: of.window,
        stage: of.stage,
        nodes: of.nodes.to_vec(),
        arrived: both(|cell| cell.arrived),
        succeeded: both(|cell| cell.succeeded),
        rejected: both(|cell| cell.rejected),
        errored: both(|cell| cell.errored),
        late: both(|cell| cell.late),
        memory_kb: of.memory_kb.iter().map(|kb| *kb as f32).collect(),
    }
}

/// Points in time, thinned out evenly where there are many, with the last one in any case.
fn points(coordinator: &Coordinator) -> Vec<CohortPointStatus> {
    let Some(record) = coordinator.metrics() else {
        return Vec::new();
    };
    let step = record.history.len().div_ceil(POINTS).max(1);
    let thin = record.history.iter().rev().step_by(step).map(point);
    let mut thin: Vec<CohortPointStatus> = thin.collect();
    thin.reverse();
    thin
}

fn verdict_line(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Harm(_) => "harm".to_owned(),
        Verdict::Fine => "fine".to_owned(),
        Verdict::Wait(why) => format!("waits: {why}"),
        Verdict::Unsure(why) => format!("nothing speaks for harm, not sure yet: {why}"),
    }
}

/// A node by the report on its entry, or by its last answer to this coordinator while the rollout is
/// in progress: that one is newer.
fn node_entry(
    member: &Member,
    attached: Option<&NodeReport>,
    current: Option<&Rollout>,
    coordinator: &Coordinator,
    names: &impl Names,
) -> NodeStatusEntry {
    let in_progress = current
        .filter(|rollout| rollout.outcome == Outcome::InProgress)
        .map(|rollout| rollout.id);
    let received = coordinator
        .report(member.node)
        .filter(|received| Some(received.rollout) == in_progress);
    let report = received.or(attached);
    let (name, zone) = names.node(member.node).unwrap_or_default();
    NodeStatusEntry {
        name,
        zone,
        present: member.present,
        in_stage: current.is_some_and(|c| c.progress.includes(c.id, member.node, member.zone)),
        running: report.and_then(|report| version(report.running)),
        since_ms: report.map_or(0, |report| report.since_ms),
        status: report
            .map_or("unknown", |report| report.status.display_name())
            .to_owned(),
        crashes: report.map_or(0, |report| report.crashes),
        why: report.map(|report| report.why.clone()).unwrap_or_default(),
    }
}

impl StatusSnapshot {
    /// What a node shows: itself, and the cluster by the reports of its members.
    pub fn of<H: Host>(
        unix_ms: u64,
        agent: &NodeAgent<H>,
        coordinator: &Coordinator,
        members: &[(Member, Option<NodeReport>)],
        names: &impl Names,
    ) -> StatusSnapshot {
        let rollouts = agent.rollouts();
        let kind = agent.kind();
        let current = rollouts.current(kind).or_else(|| rollouts.head(kind));
        let alone: Vec<Member> = members.iter().map(|(member, _)| *member).collect();
        let acting = coordinator.acting_coordinator(&alone);
        let mut all: Vec<RolloutStatus> = rollouts
            .iter()
            .filter(|of| of.kind == kind)
            .map(|of| rollout(of, names))
            .collect();
        all.sort_by_key(|rollout| std::cmp::Reverse((rollout.agreement, rollout.offered_ms)));
        let mut nodes: Vec<NodeStatusEntry> = members
            .iter()
            .map(|(member, report)| {
                node_entry(member, report.as_ref(), current, coordinator, names)
            })
            .collect();
        nodes.sort_by(|a, b| (!a.in_stage, &a.zone, &a.name).cmp(&(!b.in_stage, &b.zone, &b.name)));
        let nodes_in_all = nodes.len() as u32;
        nodes.truncate(NODES);
        let analysis = coordinator.analysis();
        let verdict = analysis.map_or_else(String::new, |analysis| verdict_line(&analysis.verdict));
        let findings = analysis
            .iter()
            .flat_map(|judged| &judged.findings)
            .take(FINDINGS);
        StatusSnapshot {
            node: names
                .node(agent.me())
                .map_or_else(String::new, |(name, _)| name),
            at_ms: unix_ms,
            kind: kind as u32,
            running: version(agent.running()),
            promoted: agent.persisted_state().promoted.and_then(version),
            reasons: agent.explain(unix_ms),
            coordinator: acting
                .and_then(|key| names.node(key))
                .map_or_else(String::new, |(name, _)| name),
            coordinator_address: String::new(),
            waits: if acting == Some(agent.me()) {
                coordinator.line().to_owned()
            } else {
                String::new()
            },
            rollouts: all,
            nodes,
            nodes_in_all,
            verdict,
            findings: findings.map(|of| finding(of, names)).collect(),
            sample: analysis.map_or_else(Vec::new, |judged| judged.sample.to_vec()),
            judged: analysis.map_or_else(Vec::new, |judged| {
                judged.nodes.iter().map(|n| *n as u64).collect()
            }),
            points: points(coordinator),
            window_ms: 0,
        }
    }

    /// How many present nodes run each version, by its number.
    pub fn by_version(&self) -> BTreeMap<u64, usize> {
        let mut all = BTreeMap::new();
        for node in self.nodes.iter().filter(|node| node.present) {
            if let Some(running) = &node.running {
                *all.entry(running.number).or_default() += 1;
            }
        }
        all
    }
}

#[cfg(test)]
mod tests;
