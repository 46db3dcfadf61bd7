//! The status of rollouts that a node returns to status commands: the version that the node runs
//! and why, the stages, and the status of each node; on the coordinator also the cohort metrics,
//! the last verdict with its figures, and both cohorts over time. Encoded as Protocol Buffers and
//! sent in pages.

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

/// Maximum number of nodes listed in a status.
const MAX_NODES: usize = 300;
/// Maximum number of points in time in a status.
const MAX_POINTS: usize = 180;
/// Maximum number of comparisons in a status.
const MAX_FINDINGS: usize = 24;
/// Upper bound on the evidence of a comparison in a status; higher evidence is shown as this value.
const MAX_EVIDENCE: f64 = 1e9;

/// A version in a status.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct VersionStatus {
    /// Number of the version; a later version has a higher number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// First 8 bytes of a hash of the version's content.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
}

/// A rollout in a status.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RolloutStatus {
    /// Identifier of the rollout.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Kind of the rollout: 0 settings, 1 program.
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// Version that is rolled out.
    #[prost(message, optional, tag = "3")]
    pub version: Option<VersionStatus>,
    /// Version that is replaced.
    #[prost(message, optional, tag = "4")]
    pub base: Option<VersionStatus>,
    /// Current stage, from 1; the number of stages plus one once the rollout is completed.
    #[prost(uint32, tag = "5")]
    pub stage: u32,
    /// Readable description of each stage of the plan.
    #[prost(string, repeated, tag = "6")]
    pub stages: Vec<String>,
    /// Name of the outcome.
    #[prost(string, tag = "7")]
    pub outcome: String,
    /// Reason why the rollout ended; empty while it is in progress.
    #[prost(string, tag = "8")]
    pub why: String,
    /// Name of the node where the rollout was ended; empty while it is in progress.
    #[prost(string, tag = "9")]
    pub by: String,
    /// Unix time in milliseconds at which the rollout ended; 0 while it is in progress.
    #[prost(uint64, tag = "10")]
    pub ended_ms: u64,
    /// Name of the node where the rollout was offered.
    #[prost(string, tag = "11")]
    pub offered_by: String,
    /// Unix time in milliseconds at which the rollout was offered.
    #[prost(uint64, tag = "12")]
    pub offered_ms: u64,
    /// Number of the last agreement about the rollout.
    #[prost(uint64, tag = "13")]
    pub agreement: u64,
    /// Cluster size in the last agreement, in nodes.
    #[prost(uint32, tag = "14")]
    pub cluster_size: u32,
}

/// A node in a status.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeStatusEntry {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Name of the node's zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// True if the node is alive; false if the node was lost without an announcement.
    #[prost(bool, tag = "3")]
    pub present: bool,
    /// True if the current stage of the followed rollout includes the node.
    #[prost(bool, tag = "4")]
    pub in_stage: bool,
    /// Version that the node runs.
    #[prost(message, optional, tag = "5")]
    pub running: Option<VersionStatus>,
    /// Unix time in milliseconds since which the node has run the version.
    #[prost(uint64, tag = "6")]
    pub since_ms: u64,
    /// Name of the node's status in the rollout.
    #[prost(string, tag = "7")]
    pub status: String,
    /// Number of crashes of the version on the node.
    #[prost(uint32, tag = "8")]
    pub crashes: u32,
    /// Reason why the node rejects the version; empty if the node does not reject the version.
    #[prost(string, tag = "9")]
    pub why: String,
}

/// A comparison of the canary analysis in a status.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ComparisonStatus {
    /// Name of the operation; empty for a comparison of processes.
    #[prost(string, tag = "1")]
    pub operation: String,
    /// Name of the compared metric.
    #[prost(string, tag = "2")]
    pub what: String,
    /// Value at the canary nodes.
    #[prost(double, tag = "3")]
    pub new: f64,
    /// Value expected at the canary nodes from the baseline nodes.
    #[prost(double, tag = "4")]
    pub old: f64,
    /// Excess of the canary's value over the expected one.
    #[prost(double, tag = "5")]
    pub harm: f64,
    /// Standard error of the field `harm`.
    #[prost(double, tag = "6")]
    pub error: f64,
    /// Evidence for harm, as a likelihood ratio.
    #[prost(double, tag = "7")]
    pub evidence: f64,
    #[prost(double, tag = "8")]
    /// Largest tolerated value of the field `harm`; 0 for counts.
    pub margin: f64,
}

/// Counts of both cohorts in a window: baseline first, then canary.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CohortPointStatus {
    /// Number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Stage of the rollout in the window, from 1.
    #[prost(uint32, tag = "2")]
    pub stage: u32,
    /// Number of nodes in each cohort.
    #[prost(uint32, repeated, tag = "3")]
    pub nodes: Vec<u32>,
    /// Number of requests that arrived at each cohort in the window.
    #[prost(uint64, repeated, tag = "4")]
    pub arrived: Vec<u64>,
    /// Number of requests that succeeded in each cohort.
    #[prost(uint64, repeated, tag = "5")]
    pub succeeded: Vec<u64>,
    /// Number of requests that each cohort rejected.
    #[prost(uint64, repeated, tag = "6")]
    pub rejected: Vec<u64>,
    /// Number of requests that failed in each cohort.
    #[prost(uint64, repeated, tag = "7")]
    pub errored: Vec<u64>,
    /// Number of successful requests past their latency objective in each cohort.
    #[prost(uint64, repeated, tag = "8")]
    pub late: Vec<u64>,
    /// Mean resident memory of the nodes of each cohort, in KiB.
    #[prost(float, repeated, tag = "9")]
    pub memory_kb: Vec<f32>,
}

/// The complete status of rollouts at a node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusSnapshot {
    /// Name of the node that returns the status.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Unix time of the status in milliseconds.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
    /// Kind of the rollouts: 0 settings, 1 program.
    #[prost(uint32, tag = "3")]
    pub kind: u32,
    /// Version that the node runs.
    #[prost(message, optional, tag = "4")]
    pub running: Option<VersionStatus>,
    /// Reasons why the node runs the version, one per line.
    #[prost(string, repeated, tag = "5")]
    pub reasons: Vec<String>,
    /// Name of the coordinator; empty if it is unknown.
    #[prost(string, tag = "6")]
    pub coordinator: String,
    /// Membership address of the coordinator.
    #[prost(string, tag = "7")]
    pub coordinator_address: String,
    /// Condition that the coordinator waits for; empty on other nodes.
    #[prost(string, tag = "8")]
    pub waits: String,
    /// All known rollouts, the latest agreement first.
    #[prost(message, repeated, tag = "9")]
    pub rollouts: Vec<RolloutStatus>,
    /// Nodes of the cluster, nodes of the current stage first.
    #[prost(message, repeated, tag = "10")]
    pub nodes: Vec<NodeStatusEntry>,
    /// Number of nodes in the cluster, including those left out of `nodes`.
    #[prost(uint32, tag = "11")]
    pub nodes_in_all: u32,
    /// Readable form of the last verdict.
    #[prost(string, tag = "12")]
    pub verdict: String,
    /// Comparisons that led to the last verdict, strongest evidence first.
    #[prost(message, repeated, tag = "13")]
    pub findings: Vec<ComparisonStatus>,
    /// Number of requests that arrived at the canary nodes and at the baseline nodes in this stage.
    #[prost(uint64, repeated, tag = "14")]
    pub sample: Vec<u64>,
    /// Number of canary nodes and of baseline nodes that were compared.
    #[prost(uint64, repeated, tag = "15")]
    pub judged: Vec<u64>,
    /// Counts of both cohorts over time.
    #[prost(message, repeated, tag = "16")]
    pub points: Vec<CohortPointStatus>,
    /// Length of a window in milliseconds.
    #[prost(uint64, tag = "17")]
    pub window_ms: u64,
    /// Last promoted version of the node.
    #[prost(message, optional, tag = "18")]
    pub promoted: Option<VersionStatus>,
}

/// Names of nodes and operations, provided by the embedder.
pub trait Names {
    /// Returns the name and the zone of a node; `None` if the node is unknown.
    fn node(&self, key: u64) -> Option<(String, String)>;
    /// Returns the name of an operation.
    fn operation(&self, number: u32) -> String;
}

fn version_status(version: Version) -> Option<VersionStatus> {
    Some(VersionStatus {
        number: version.number,
        hash: version.hash,
    })
}

impl VersionStatus {
    /// Returns the number and hash as a [`Version`].
    pub fn version(&self) -> Version {
        Version {
            number: self.number,
            hash: self.hash,
        }
    }
}

fn describe_stage(stage: &Stage) -> String {
    let share = match stage.share_permille {
        0 => "one node".to_owned(),
        1000 => "all".to_owned(),
        share => format!("{} %", f64::from(share) / 10.0),
    };
    format!(
        "{share}, {} to {}, {} requests",
        seconds(stage.min_duration),
        seconds(stage.max_duration),
        stage.min_requests
    )
}

fn rollout_status(rollout: &Rollout, names: &impl Names) -> RolloutStatus {
    let name = |key: u64| {
        names
            .node(key)
            .map_or_else(|| format!("{key:016x}"), |(name, _)| name)
    };
    let ended = rollout.outcome > Outcome::InProgress;
    RolloutStatus {
        id: rollout.id.0,
        kind: rollout.kind as u32,
        version: version_status(rollout.version),
        base: version_status(rollout.base),
        stage: rollout.progress.stage,
        stages: rollout.plan.stages.iter().map(describe_stage).collect(),
        outcome: rollout.outcome.display_name().to_owned(),
        why: rollout.reason.why.clone(),
        by: if ended && rollout.reason.by > 0 {
            name(rollout.reason.by)
        } else {
            String::new()
        },
        ended_ms: rollout.reason.at_ms,
        offered_by: name(rollout.by),
        offered_ms: rollout.at_ms,
        agreement: rollout.progress.agreement,
        cluster_size: rollout.progress.cluster_size,
    }
}

fn comparison_status(comparison: &Comparison, names: &impl Names) -> ComparisonStatus {
    ComparisonStatus {
        operation: comparison
            .operation
            .map_or_else(String::new, |operation| names.operation(operation)),
        what: comparison.what.to_owned(),
        new: comparison.new,
        old: comparison.old,
        harm: comparison.harm,
        error: comparison.error,
        evidence: comparison.evidence.min(MAX_EVIDENCE),
        margin: comparison.margin,
    }
}

fn point_status(point: &CohortPoint) -> CohortPointStatus {
    let by_cohort = |field: fn(&OperationCounts) -> u64| point.cells.iter().map(field).collect();
    CohortPointStatus {
        window: point.window,
        stage: point.stage,
        nodes: point.nodes.to_vec(),
        arrived: by_cohort(|counts| counts.arrived),
        succeeded: by_cohort(|counts| counts.succeeded),
        rejected: by_cohort(|counts| counts.rejected),
        errored: by_cohort(|counts| counts.errored),
        late: by_cohort(|counts| counts.late),
        memory_kb: point.memory_kb.iter().map(|kb| *kb as f32).collect(),
    }
}

/// Returns the counts of both cohorts over time. If there are more than [`MAX_POINTS`] windows,
/// windows are left out at even intervals; the last window is always included.
fn points(coordinator: &Coordinator) -> Vec<CohortPointStatus> {
    let Some(metrics) = coordinator.metrics() else {
        return Vec::new();
    };
    let step = metrics.history.len().div_ceil(MAX_POINTS).max(1);
    let thinned = metrics.history.iter().rev().step_by(step).map(point_status);
    let mut thinned: Vec<CohortPointStatus> = thinned.collect();
    thinned.reverse();
    thinned
}

fn verdict_line(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Harm(_) => "harm".to_owned(),
        Verdict::Fine => "fine".to_owned(),
        Verdict::Wait(why) => format!("waits: {why}"),
        Verdict::Unsure(why) => format!("no evidence of harm, not conclusive yet: {why}"),
    }
}

/// Returns the status of a node from the report on its membership entry. While the rollout is in
/// progress, the node's last answer to a poll of this coordinator takes precedence, because it is
/// newer.
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
    let reply = coordinator
        .report(member.node)
        .filter(|reply| Some(reply.rollout) == in_progress);
    let report = reply.or(attached);
    let (name, zone) = names.node(member.node).unwrap_or_default();
    NodeStatusEntry {
        name,
        zone,
        present: member.present,
        in_stage: current.is_some_and(|c| c.progress.includes(c.id, member.node, member.zone)),
        running: report.and_then(|report| version_status(report.running)),
        since_ms: report.map_or(0, |report| report.since_ms),
        status: report
            .map_or("unknown", |report| report.status.display_name())
            .to_owned(),
        crashes: report.map_or(0, |report| report.crashes),
        why: report.map(|report| report.why.clone()).unwrap_or_default(),
    }
}

impl StatusSnapshot {
    /// Creates the status of a node; the cluster is described by the reports of its members.
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
        let member_list: Vec<Member> = members.iter().map(|(member, _)| *member).collect();
        let acting = coordinator.acting_coordinator(&member_list);
        let mut all: Vec<RolloutStatus> = rollouts
            .iter()
            .filter(|rollout| rollout.kind == kind)
            .map(|rollout| rollout_status(rollout, names))
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
        nodes.truncate(MAX_NODES);
        let analysis = coordinator.analysis();
        let verdict = analysis.map_or_else(String::new, |analysis| verdict_line(&analysis.verdict));
        let findings = analysis
            .iter()
            .flat_map(|analysis| &analysis.findings)
            .take(MAX_FINDINGS);
        StatusSnapshot {
            node: names
                .node(agent.me())
                .map_or_else(String::new, |(name, _)| name),
            at_ms: unix_ms,
            kind: kind as u32,
            running: version_status(agent.running()),
            promoted: agent.persisted_state().promoted.and_then(version_status),
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
            findings: findings
                .map(|finding| comparison_status(finding, names))
                .collect(),
            sample: analysis.map_or_else(Vec::new, |analysis| analysis.sample.to_vec()),
            judged: analysis.map_or_else(Vec::new, |analysis| {
                analysis.nodes.iter().map(|n| *n as u64).collect()
            }),
            points: points(coordinator),
            window_ms: 0,
        }
    }

    /// Returns the number of present nodes for each version number.
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
