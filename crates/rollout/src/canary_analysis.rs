//! Whether the canary cohort does worse than the baseline cohort over the same windows.
//!
//! The unit is the node: machines differ more than counts of thousands of requests let show, so
//! chance is measured by how much the baseline nodes differ among themselves. What a node did before
//! the rollout takes its own slowness out (regression on the covariate before: CUPED), zones are
//! compared each with itself, and the evidence may be looked at after every window without adding
//! to the chance of a false stop: a mixture likelihood ratio (mSPRT) over all operations and
//! metrics, which share that chance. Crashes and invariants are counts, and compared as such.
//!
//! | rule | input, unit | chance of a mistake |
//! | --- | --- | --- |
//! | harm: a comparison's evidence reaches `comparisons / FALSE_STOP`, and its harm half of its margin | likelihood ratio; share of what arrived, of what succeeded, or of the priority weight asked for | stopping a harmless version: [`FALSE_STOP`] over all looks, operations and metrics of a stage |
//! | crashes and invariants: evidence reaches `2 / FALSE_STOP` (two tests) | counts for nodes and windows | [`FALSE_STOP`], shared by both |
//! | enough requests: the stage's `min_requests` at the canary nodes | requests | - |
//! | no harm by the margin: the upper bound of each comparison lies within its margin, widened while few nodes run the version | as above | passing a version that harms by the margin: [`MISSED`], for each metric |
//!
//! [`analyse`] applies them in this order.

mod comparison;
mod evidence;
mod shares;

use crate::cohort_metrics::{Cohort, CohortMetrics, Metric};
use crate::stages::Plan;
pub use comparison::{AnalysisMethod, Comparison, CrashCounts};
use comparison::{compare, counts, rises};
pub use evidence::MISSED;
use evidence::most;
use std::fmt::Write;

/// The chance of stopping a harmless version, over all looks, operations and metrics of a stage.
pub const FALSE_STOP: f64 = 0.01;

/// What a stage has shown.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The canary cohort does worse: the comparisons that show it, the strongest evidence first.
    Harm(Vec<Comparison>),
    /// It does not do worse by the margin, as far as the stated chances go.
    Fine,
    /// It is too early to say: why.
    Wait(String),
    /// Nothing shows harm, and it can't be ruled out yet: why.
    Unsure(String),
}

/// A verdict with its figures.
#[derive(Clone, Debug, PartialEq)]
pub struct AnalysisResult {
    /// The verdict.
    pub verdict: Verdict,
    /// All comparisons, those with the most evidence first.
    pub findings: Vec<Comparison>,
    /// Requests in this stage: canary, baseline.
    pub sample: [u64; 2],
    /// Nodes that were compared: canary, baseline.
    pub nodes: [usize; 2],
}

impl AnalysisResult {
    /// In a line.
    pub fn line(&self, name: &dyn Fn(u32) -> String) -> String {
        let mut line = match &self.verdict {
            Verdict::Harm(_) => "harm".to_owned(),
            Verdict::Fine => "fine".to_owned(),
            Verdict::Wait(why) => format!("waits: {why}"),
            Verdict::Unsure(why) => format!("nothing speaks for harm, and is not sure yet: {why}"),
        };
        let shown: &[Comparison] = match &self.verdict {
            Verdict::Harm(of) => of,
            _ => &self.findings,
        };
        for finding in shown.iter().take(3) {
            let _ = write!(line, "; {}", finding.line(name));
        }
        let [new, old] = self.nodes;
        let _ = write!(
            line,
            "; {new} new nodes with {}, {old} old with {}",
            self.sample[0], self.sample[1]
        );
        line
    }
}

/// Analyses a stage by what was counted so far.
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
                .filter_map(|metric| compare(record, plan, method, *operation, *metric)),
        );
    }
    let shares = findings.len();
    if matches!(
        method,
        AnalysisMethod::Nodes | AnalysisMethod::NodesWithoutHistory
    ) {
        findings.extend(rises(record));
    }
    let tests = findings.len().max(1) as f64;
    // All methods take crashes for what they are: they differ in what they make of shares.
    findings.extend(counts(record, crashes));
    findings.sort_by(|a, b| b.evidence.total_cmp(&a.evidence));
    let sample = [
        record.arrived(Cohort::Canary),
        record.arrived(Cohort::Baseline),
    ];
    let nodes = [
        record.cohort(Cohort::Canary).count(),
        record.cohort(Cohort::Baseline).count(),
    ];
    let least = plan
        .stage(stage)
        .map_or(0, |stage| u64::from(stage.min_requests));
    let has_sample = sample[0] >= least;
    let harm: Vec<Comparison> = findings
        .iter()
        .filter(|finding| is_harm(finding, method, tests, has_sample))
        .cloned()
        .collect();
    let verdict = if !harm.is_empty() {
        Verdict::Harm(harm)
    } else if !has_sample {
        Verdict::Wait(format!(
            "{} of {least} invocations at the new nodes",
            sample[0]
        ))
    } else if shares == 0 {
        Verdict::Wait("nothing to compare with at the old nodes".into())
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

/// Rule: evidence that is rare enough by chance, for harm of half of the margin at least: harm that
/// is certain and small is none. Counts have no margin, and are two tests with a chance of their own.
fn is_harm(finding: &Comparison, method: AnalysisMethod, tests: f64, has_sample: bool) -> bool {
    let by_shares = match method {
        AnalysisMethod::Fixed => 1.0,
        // A rank test at each window that takes no account of the number of looks.
        AnalysisMethod::Ranks => 1.0 / FALSE_STOP,
        _ => tests / FALSE_STOP,
    };
    let enough = if finding.margin > 0.0 {
        by_shares
    } else {
        2.0 / FALSE_STOP
    };
    // The plain methods would stop all rollouts if they looked at a handful.
    let is_plain =
        finding.margin > 0.0 && matches!(method, AnalysisMethod::Fixed | AnalysisMethod::Ranks);
    finding.evidence >= enough && finding.harm >= finding.margin / 2.0 && (!is_plain || has_sample)
}

/// Rule: harm by the margin is ruled out for each comparison that could show it. The fewer nodes run
/// the version, the further off it may be: by the margin once half of the cluster runs it. What more
/// counts would not tell is not waited for.
fn rule_out_harm(findings: &[Comparison], nodes: [usize; 2], method: AnalysisMethod) -> Verdict {
    let part = nodes[0] as f64 / (nodes[0] + nodes[1]).max(1) as f64;
    let wide = (0.5 / part.max(1e-6)).sqrt().max(1.0);
    let is_unsure = |finding: &&Comparison| {
        finding.margin > 0.0 && most(finding.harm, finding.chance.powi(2)) > finding.margin * wide
    };
    // What is seldom can't be told from chance: it must not hold up a version that is fine by all
    // that is not.
    let can_show = |finding: &&Comparison| finding.chance < finding.margin;
    let open = || {
        findings
            .iter()
            .filter(|_| method != AnalysisMethod::Fixed && method != AnalysisMethod::Ranks)
            .filter(can_show)
            .filter(is_unsure)
    };
    let why = |finding: &Comparison| {
        format!(
            "{} {:+.4} ± {:.4}, {:.4} is looked for",
            finding.what,
            finding.harm,
            finding.chance,
            finding.margin * wide
        )
    };
    match (
        open().find(|finding| finding.harm > finding.margin * wide),
        open().next(),
    ) {
        (Some(finding), _) => Verdict::Wait(why(finding)),
        (None, Some(finding)) => Verdict::Unsure(why(finding)),
        (None, None) => Verdict::Fine,
    }
}

#[cfg(test)]
mod tests;
