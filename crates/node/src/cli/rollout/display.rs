//! Output of `rollout status` and `rollout explain`.

use super::target::{RolloutTarget, request_status, request_with_coordinator};
use crate::cli::arguments::Format;
use crate::cli::error::CommandResult;
use madderpoint_rollout::status::{
    CohortPointStatus, NodeStatusEntry, RolloutStatus, StatusSnapshot, VersionStatus,
};
use serde_json::{Value, json};

/// Runs `rollout status`.
pub(super) fn status(target: &RolloutTarget, format: Format) -> CommandResult {
    let (snapshot, coordinator) = request_with_coordinator(target)?;
    let analysis = coordinator.as_ref().unwrap_or(&snapshot);
    if format == Format::Json {
        println!("{:#}", as_json(&snapshot, analysis));
        return Ok(true);
    }
    let Some(first) = snapshot.rollouts.first() else {
        println!(
            "no rollout is known; {} runs version {}",
            snapshot.node,
            version(snapshot.running.as_ref())
        );
        return Ok(true);
    };
    let current = snapshot
        .rollouts
        .iter()
        .find(|rollout| rollout.outcome == "open")
        .unwrap_or(first);
    println!("{}", summary(current, analysis));
    for rollout in snapshot
        .rollouts
        .iter()
        .filter(|rollout| rollout.id != current.id)
    {
        println!("  other: {}", summary(rollout, &StatusSnapshot::default()));
    }
    if !analysis.verdict.is_empty() {
        print_verdict(&snapshot, analysis);
    }
    print_nodes(analysis);
    Ok(true)
}

/// Prints the verdict of the canary analysis and its comparisons.
fn print_verdict(snapshot: &StatusSnapshot, analysis: &StatusSnapshot) {
    let pair = |numbers: &[u64]| {
        [
            numbers.first().copied().unwrap_or(0),
            numbers.get(1).copied().unwrap_or(0),
        ]
    };
    let ([new_requests, old_requests], [new_nodes, old_nodes]) =
        (pair(&analysis.sample), pair(&analysis.judged));
    println!("verdict by {}: {}", snapshot.coordinator, analysis.verdict);
    println!(
        "  {new_requests} requests at {new_nodes} canary nodes, {old_requests} at {old_nodes} baseline nodes"
    );
    let head = [
        "operation",
        "what",
        "new",
        "old",
        "harm",
        "+-",
        "evidence",
        "margin",
    ];
    if !analysis.findings.is_empty() {
        println!(
            "  {:<16} {:<11} {:>8} {:>8} {:>8} {:>8} {:>9} {:>7}",
            head[0], head[1], head[2], head[3], head[4], head[5], head[6], head[7]
        );
    }
    for comparison in &analysis.findings {
        let operation = if comparison.operation.is_empty() {
            "all"
        } else {
            &comparison.operation
        };
        println!(
            "  {operation:<16} {:<11} {:>8.4} {:>8.4} {:>8.4} {:>8.4} {:>9.1} {:>7.3}",
            comparison.what,
            comparison.new,
            comparison.old,
            comparison.harm,
            comparison.error,
            comparison.evidence,
            comparison.margin
        );
    }
}

/// Prints the nodes, and the number of nodes on each version.
fn print_nodes(analysis: &StatusSnapshot) {
    let running: Vec<String> = analysis
        .by_version()
        .iter()
        .map(|(number, nodes)| format!("{nodes} run {number}"))
        .collect();
    println!("{} nodes: {}", analysis.nodes_in_all, running.join(", "));
    println!(
        "{:<16} {:<8} {:<7} {:<6} {:<22} {:>9} {:<12} why",
        "node", "zone", "present", "stage", "version", "for", "status"
    );
    for node in &analysis.nodes {
        let yes_or_no = |value: bool| if value { "yes" } else { "no" };
        let since = analysis.at_ms.saturating_sub(node.since_ms) / 1000;
        println!(
            "{:<16} {:<8} {:<7} {:<6} {:<22} {:>7} s {:<12} {}",
            node.name,
            node.zone,
            yes_or_no(node.present),
            yes_or_no(node.in_stage),
            version(node.running.as_ref()),
            since,
            node.status,
            node.why
        );
    }
}

/// Runs `rollout explain`.
pub(super) fn explain(target: &RolloutTarget) -> CommandResult {
    let snapshot = request_status(target)?;
    println!("{}:", snapshot.node);
    snapshot
        .reasons
        .iter()
        .for_each(|line| println!("  {line}"));
    Ok(true)
}

/// Returns a one-line summary of a rollout. The reason for which it waits is taken from `snapshot`.
pub(super) fn summary(rollout: &RolloutStatus, snapshot: &StatusSnapshot) -> String {
    let stages = rollout.stages.len();
    let stage = match rollout.stage as usize {
        0 => "not started".to_owned(),
        stage if stage > stages => "all stages passed".to_owned(),
        stage => format!("stage {stage} of {stages} ({})", rollout.stages[stage - 1]),
    };
    let why = if rollout.why.is_empty() {
        String::new()
    } else {
        format!(", {}", rollout.why)
    };
    let by = if rollout.by.is_empty() {
        String::new()
    } else {
        format!(" (by {})", rollout.by)
    };
    let waits = match snapshot.waits.as_str() {
        "" => String::new(),
        waits if rollout.outcome == "open" => format!("; waiting: {waits}"),
        _ => String::new(),
    };
    format!(
        "change {:016x}: {} in place of {}, {stage}, {}{why}{by}{waits}",
        rollout.id,
        version(rollout.version.as_ref()),
        version(rollout.base.as_ref()),
        rollout.outcome
    )
}

fn version(version: Option<&VersionStatus>) -> String {
    version.map_or_else(|| "-".to_owned(), |version| version.version().to_string())
}

fn node(node: &NodeStatusEntry) -> Value {
    json!({"name": node.name, "zone": node.zone, "there": node.present, "in_stage": node.in_stage,
        "version": node.running.map(|v| v.number), "hash": node.running.map(|v| format!("{:016x}", v.hash)),
        "since_ms": node.since_ms, "stand": node.status, "died": node.crashes, "why": node.why})
}

fn point(point: &CohortPointStatus, window_ms: u64) -> Value {
    json!({"unix_ms": point.window * window_ms, "stage": point.stage, "nodes": point.nodes, "arrived": point.arrived,
        "succeeded": point.succeeded, "throttled": point.rejected, "errored": point.errored, "late": point.late,
        "memory_kb": point.memory_kb})
}

/// Returns the whole status as JSON, for other programs. Pairs in `points` hold the value of the
/// old version first, then that of the new one; pairs whose key ends in `_new_old` have the new
/// version first.
fn as_json(snapshot: &StatusSnapshot, analysis: &StatusSnapshot) -> Value {
    let rollouts: Vec<Value> = snapshot
        .rollouts
        .iter()
        .map(|c| {
            json!({"change": format!("{:016x}", c.id), "version": c.version.map(|v| v.number),
                "hash": c.version.map(|v| format!("{:016x}", v.hash)), "base": c.base.map(|v| v.number),
                "stage": c.stage, "stages": c.stages, "fate": c.outcome, "why": c.why, "by": c.by,
                "ended_ms": c.ended_ms, "offered_by": c.offered_by, "offered_ms": c.offered_ms,
                "agreement": c.agreement, "electorate": c.cluster_size})
        })
        .collect();
    let findings: Vec<Value> = analysis
        .findings
        .iter()
        .map(|f| {
            json!({"operation": f.operation, "what": f.what, "new": f.new, "old": f.old, "harm": f.harm,
                "error": f.error, "evidence": f.evidence, "margin": f.margin})
        })
        .collect();
    json!({"node": snapshot.node, "at_ms": snapshot.at_ms, "running": snapshot.running.map(|v| v.number),
        "good": snapshot.promoted.map(|v| v.number), "conductor": snapshot.coordinator, "waits": analysis.waits,
        "changes": rollouts, "nodes": analysis.nodes.iter().map(node).collect::<Vec<_>>(),
        "nodes_in_all": analysis.nodes_in_all, "verdict": analysis.verdict, "findings": findings,
        "sample_new_old": analysis.sample, "judged_new_old": analysis.judged,
        "points": analysis.points.iter().map(|p| point(p, analysis.window_ms)).collect::<Vec<_>>()})
}
