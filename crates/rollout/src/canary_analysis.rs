//! Compares the canary cohort with the baseline cohort over the same windows, and decides whether
//! the canary does worse.
//!
//! The unit of comparison is the node: nodes differ by more than the sampling error of thousands of
//! requests shows, so a difference is held against how much the baseline nodes differ among
//! themselves. Each node's level before the rollout is taken out (regression on a pre-rollout
//! covariate: CUPED) and zones are compared each with itself. The evidence may be examined after
//! every window without raising the probability of a false stop: it is a mixture likelihood ratio
//! (mSPRT) over all operations and metrics, which share that probability. Crashes and violated
//! invariants are counts and are compared as counts.
//!
//! | rule | input, unit | probability of a mistake |
//! | --- | --- | --- |
//! | harm: a comparison's evidence reaches `comparisons / FALSE_STOP`, and its harm reaches half of its margin | likelihood ratio; share of the requests that arrived, of those that succeeded, or of the priority weight asked for | stopping a harmless version: [`FALSE_STOP`] over all windows, operations and metrics of a stage |
//! | crashes and invariants: evidence reaches `2 / FALSE_STOP` (two tests) | counts per node and window | [`FALSE_STOP`], shared by both |
//! | enough requests: the canary nodes have received the stage's `min_requests` | requests | - |
//! | no harm by the margin: the upper bound of each comparison lies within its margin, which is widened while few nodes run the version | as above | passing a version that harms by the margin: [`MISSED`] for each metric |
//!
//! [`analyse`] applies them in this order.

mod comparison;
mod evidence;
mod shares;

use crate::cohort_metrics::{Cohort, CohortMetrics, Metric};
use crate::stages::Plan;
pub use comparison::{AnalysisMethod, Comparison, CrashCounts};
use comparison::{compare_counts, compare_metric, compare_trends};
pub use evidence::MISSED;
use evidence::upper_bound;
use std::fmt::Write;

/// Probability of stopping a harmless version, over all windows, operations and metrics of a stage.
pub const FALSE_STOP: f64 = 0.01;

/// The conclusion from the metrics of a stage.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The canary cohort does worse. Holds the comparisons that show harm, strongest evidence
    /// first.
    Harm(Vec<Comparison>),
    /// Harm by the margin is ruled out for the canary cohort, at the error probabilities
    /// [`FALSE_STOP`] and [`MISSED`].
    Fine,
    /// The data does not suffice for a verdict yet. Holds the reason.
    Wait(String),
    /// No comparison shows harm, but harm cannot be ruled out yet. Holds the reason.
    Unsure(String),
}

/// A verdict with the comparisons, requests and nodes that led to the verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct AnalysisResult {
    /// The conclusion from the comparisons.
    pub verdict: Verdict,
    /// All comparisons, strongest evidence first.
    pub findings: Vec<Comparison>,
    /// Number of requests that arrived at the canary nodes and at the baseline nodes in this stage.
    pub sample: [u64; 2],
    /// Number of canary nodes and of baseline nodes that were compared.
    pub nodes: [usize; 2],
}

impl AnalysisResult {
    /// Formats the result as one line of text; `name` gives the name of an operation.
    pub fn line(&self, name: &dyn Fn(u32) -> String) -> String {
        let mut line = match &self.verdict {
            Verdict::Harm(_) => "harm".to_owned(),
            Verdict::Fine => "fine".to_owned(),
            Verdict::Wait(why) => format!("waits: {why}"),
            Verdict::Unsure(why) => format!("no evidence of harm, not conclusive yet: {why}"),
        };
        let shown: &[Comparison] = match &self.verdict {
            Verdict::Harm(comparisons) => comparisons,
            _ => &self.findings,
        };
        for finding in shown.iter().take(3) {
            let _ = write!(line, "; {}", finding.line(name));
        }
        let [new, old] = self.nodes;
        let _ = write!(
            line,
            "; {new} new nodes with {} requests, {old} old nodes with {}",
            self.sample[0], self.sample[1]
        );
        line
    }
}

/// Analyses a stage by the counts recorded in `record` so far, and the crashes in `crashes`.
pub fn analyse(
    record: &CohortMetrics,
    plan: &Plan,
    stage: u32,
    crashes: &CrashCounts,
    method: AnalysisMethod,
) -> AnalysisResult {
    let mut findings: Vec<Comparison> = Vec::new();
    for operation in &record.operations() {
        findings.extend(
            Metric::ALL
                .iter()
                .filter_map(|metric| compare_metric(record, plan, method, *operation, *metric)),
        );
    }
    let share_comparisons = findings.len();
    if matches!(
        method,
        AnalysisMethod::Nodes | AnalysisMethod::NodesWithoutHistory
    ) {
        findings.extend(compare_trends(record));
    }
    let tests = findings.len().max(1) as f64;
    // The methods differ only in how they compare shares; all of them test the counts of crashes in
    // the same way.
    findings.extend(compare_counts(record, crashes));
    findings.sort_by(|a, b| b.evidence.total_cmp(&a.evidence));
    let sample = [
        record.arrived(Cohort::Canary),
        record.arrived(Cohort::Baseline),
    ];
    let nodes = [
        record.cohort(Cohort::Canary).count(),
        record.cohort(Cohort::Baseline).count(),
    ];
    let min_requests = plan
        .stage(stage)
        .map_or(0, |stage| u64::from(stage.min_requests));
    let has_sample = sample[0] >= min_requests;
    let harm: Vec<Comparison> = findings
        .iter()
        .filter(|finding| is_harm(finding, method, tests, has_sample))
        .cloned()
        .collect();
    let verdict = if !harm.is_empty() {
        Verdict::Harm(harm)
    } else if !has_sample {
        Verdict::Wait(format!(
            "{} of {min_requests} requests at the new nodes",
            sample[0]
        ))
    } else if share_comparisons == 0 {
        Verdict::Wait("no requests at the old nodes to compare with".into())
    } else {
        rule_out_harm(&findings, nodes, method)
    };
    AnalysisResult {
        verdict,
        findings,
        sample,
        nodes,
    }
}

/// Rule: a comparison shows harm if chance alone would rarely give such evidence and the harm is at
/// least half of the margin: smaller harm is ignored, however strong the evidence. Counts have no
/// margin; the two tests of counts share a separate [`FALSE_STOP`].
fn is_harm(finding: &Comparison, method: AnalysisMethod, tests: f64, has_sample: bool) -> bool {
    let required_for_shares = match method {
        AnalysisMethod::Fixed => 1.0,
        // A rank test at each window, not corrected for the number of windows.
        AnalysisMethod::Ranks => 1.0 / FALSE_STOP,
        _ => tests / FALSE_STOP,
    };
    let required = if finding.margin > 0.0 {
        required_for_shares
    } else {
        2.0 / FALSE_STOP
    };
    // The plain methods would stop every rollout if they decided on a handful of requests.
    let is_plain =
        finding.margin > 0.0 && matches!(method, AnalysisMethod::Fixed | AnalysisMethod::Ranks);
    finding.evidence >= required
        && finding.harm >= finding.margin / 2.0
        && (!is_plain || has_sample)
}

/// Rule: harm beyond the margin is ruled out for each comparison that could show such harm. The
/// margin is widened while fewer than half of the compared nodes run the version. Only the sampling
/// error enters the bound: more requests would not reduce the differences between nodes.
fn rule_out_harm(findings: &[Comparison], nodes: [usize; 2], method: AnalysisMethod) -> Verdict {
    let canary_share = nodes[0] as f64 / (nodes[0] + nodes[1]).max(1) as f64;
    let widening = (0.5 / canary_share.max(1e-6)).sqrt().max(1.0);
    let is_unsure = |finding: &&Comparison| {
        finding.margin > 0.0
            && upper_bound(finding.harm, finding.chance.powi(2)) > finding.margin * widening
    };
    // Rare events cannot be distinguished from chance: comparisons of rare events must not hold up
    // a version that is fine by all other comparisons.
    let can_show = |finding: &&Comparison| finding.chance < finding.margin;
    let unsure = || {
        findings
            .iter()
            .filter(|_| method != AnalysisMethod::Fixed && method != AnalysisMethod::Ranks)
            .filter(can_show)
            .filter(is_unsure)
    };
    let why = |finding: &Comparison| {
        format!(
            "{} {:+.4} ± {:.4}, must be within {:.4}",
            finding.what,
            finding.harm,
            finding.chance,
            finding.margin * widening
        )
    };
    match (
        unsure().find(|finding| finding.harm > finding.margin * widening),
        unsure().next(),
    ) {
        (Some(finding), _) => Verdict::Wait(why(finding)),
        (None, Some(finding)) => Verdict::Unsure(why(finding)),
        (None, None) => Verdict::Fine,
    }
}

#[cfg(test)]
mod tests;
