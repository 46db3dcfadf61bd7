//! Comparisons of the cohorts: of an operation by a metric, of what rises, of crashes.

use super::evidence::{mixture, ranks};
use super::shares::{NodeShare, adjust, difference, mean, pooled, shares, spread};
use crate::cohort_metrics::{Cohort, CohortMetrics, LinearTrend, Metric, NodeHistory};
use crate::stages::Plan;
use statrs::distribution::{DiscreteCDF, Poisson};

/// Windows that a trend needs at least.
const RISE_WINDOWS: f64 = 6.0;

/// Windows of 10 s in an hour, to which trends are extrapolated.
const HOUR: f64 = 360.0;

/// Gauges lie off their trend by about this share.
const GAUGES: f64 = 0.01;

/// Windows in a day.
const DAY: f64 = 24.0 * HOUR;

/// A metric's margin as a multiple of the plan's: errors weigh more than late answers.
fn margin_of(measure: Metric) -> f64 {
    match measure {
        Metric::Errored => 0.5,
        Metric::Lost => 1.0,
        Metric::Rejected | Metric::Late => 2.0,
        Metric::Slow => 5.0,
    }
}

/// The statistical method; all but the first are there to be compared with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnalysisMethod {
    /// Nodes as units, each less its own past.
    Nodes,
    /// The same without the past.
    NodesWithoutHistory,
    /// Harm if the canary's share is above the baseline's by the margin.
    Fixed,
    /// A mixture likelihood ratio that takes requests for independent.
    IndependentRequests,
    /// A rank test on nodes at each look.
    Ranks,
}

/// One comparison of the cohorts.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// The number of the operation; none for the process itself.
    pub operation: Option<u32>,
    /// What is compared, in words.
    pub what: &'static str,
    /// The value at the canary nodes.
    pub new: f64,
    /// What was expected there by the baseline nodes in the same windows.
    pub old: f64,
    /// By how much the canary does worse.
    pub harm: f64,
    /// The standard error of the harm.
    pub error: f64,
    /// The part of that error that comes of counts being few; the rest is how different nodes are.
    pub chance: f64,
    /// Evidence for harm, as a likelihood ratio.
    pub evidence: f64,
    /// The harm that still counts as none; 0 for counts.
    pub margin: f64,
}

impl Comparison {
    /// In a line.
    pub fn line(&self, name: &dyn Fn(u32) -> String) -> String {
        let of = self
            .operation
            .map_or_else(String::new, |operation| format!("{} ", name(operation)));
        let unit = if self.operation.is_some() { 100.0 } else { 1.0 };
        let sign = if self.operation.is_some() { " %" } else { "" };
        format!(
            "{of}{}: {:.2}{sign} of the new, {:.2}{sign} of the old ones, {:+.2} ± {:.2}",
            self.what,
            self.new * unit,
            self.old * unit,
            self.harm * unit,
            self.error * unit
        )
    }
}

/// Crashes in a stage. Crashed nodes count nothing themselves, so that others count them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CrashCounts {
    /// Crashes on trial; crashes of the other nodes.
    pub crashes: [u64; 2],
    /// Nodes in the stage; the others.
    pub nodes: [u64; 2],
    /// The time in which they happened, in windows.
    pub windows: f64,
}

/// One operation by one metric.
pub(super) fn compare(
    record: &CohortMetrics,
    plan: &Plan,
    method: AnalysisMethod,
    operation: u32,
    measure: Metric,
) -> Option<Comparison> {
    let margin = f64::from(plan.margin_permille) / 1000.0 * margin_of(measure);
    let (new_share, expected) = pooled(record, Cohort::Canary, operation, measure)?;
    let (old_share, _) = pooled(record, Cohort::Baseline, operation, measure)?;
    let mut new = shares(record, Cohort::Canary, operation, measure);
    let mut old = shares(record, Cohort::Baseline, operation, measure);
    if new.is_empty() || old.is_empty() {
        return None;
    }
    let chance = difference(&new, &old, 0.0).map_or(0.0, |(_, variance)| variance.sqrt());
    let finding = |harm: f64, variance: f64, evidence: f64| Comparison {
        chance,
        operation: Some(operation),
        what: measure.display_name(),
        new: new_share,
        old: expected,
        harm,
        error: variance.sqrt(),
        evidence,
        margin,
    };
    match method {
        AnalysisMethod::Nodes | AnalysisMethod::NodesWithoutHistory => {
            if method == AnalysisMethod::Nodes {
                adjust(&mut new, &mut old);
            }
            let (harm, variance) = difference(&new, &old, spread(&old, margin))?;
            Some(finding(harm, variance, mixture(harm, variance, margin)))
        }
        AnalysisMethod::Fixed => {
            let harm = new_share - old_share;
            Some(finding(
                harm,
                0.0,
                if harm > margin { f64::MAX } else { 0.0 },
            ))
        }
        AnalysisMethod::IndependentRequests => {
            let variance = 1.0 / new.iter().map(|share| 1.0 / share.variance).sum::<f64>()
                + 1.0 / old.iter().map(|share| 1.0 / share.variance).sum::<f64>();
            let harm = new_share - expected;
            Some(finding(harm, variance, mixture(harm, variance, margin)))
        }
        AnalysisMethod::Ranks => {
            let harm = new_share - old_share;
            Some(finding(harm, 0.0, 1.0 / ranks(&new, &old).max(1e-12)))
        }
    }
}

/// Memory and descriptors: whether they rise faster than at the baseline nodes, extrapolated to an hour,
/// as a share of what there is.
pub(super) fn rises(record: &CohortMetrics) -> Vec<Comparison> {
    let mut findings = Vec::new();
    for (what, of) in [
        (
            "memory in an hour",
            (|node: &NodeHistory| node.memory) as fn(&NodeHistory) -> LinearTrend,
        ),
        ("descriptors in an hour", |node| node.descriptors),
    ] {
        let values = |cohort| -> Vec<NodeShare> {
            let lines = record.cohort(cohort).map(|(_, node)| (node.zone, of(node)));
            lines
                .filter(|(_, line)| line.count >= RISE_WINDOWS && line.mean() > 0.0)
                .filter_map(|(zone, line)| {
                    let (slope, variance) = line.slope(GAUGES)?;
                    let drawn = HOUR / line.mean();
                    Some(NodeShare {
                        zone,
                        value: slope * drawn,
                        variance: variance * drawn * drawn,
                        before: None,
                    })
                })
                .collect()
        };
        let (new, old) = (values(Cohort::Canary), values(Cohort::Baseline));
        let (value_new, value_old) = (
            mean(new.iter().map(|s| s.value)),
            mean(old.iter().map(|s| s.value)),
        );
        // A fifth more within an hour is harm.
        let margin = 0.2;
        if let Some((harm, variance)) = difference(&new, &old, spread(&old, margin)) {
            let evidence = mixture(harm, variance, margin);
            let error = variance.sqrt();
            let chance = difference(&new, &old, 0.0).map_or(0.0, |(_, variance)| variance.sqrt());
            findings.push(Comparison {
                chance,
                operation: None,
                what,
                new: value_new,
                old: value_old,
                harm,
                error,
                evidence,
                margin,
            });
        }
    }
    findings
}

/// Crashes and invariants: counts by node and time, whose chance is known. What the baseline had in the
/// same time shows how often such a thing happens today; without any, once in a node's day.
pub(super) fn counts(record: &CohortMetrics, crashes: &CrashCounts) -> Vec<Comparison> {
    let [new_time, old_time] = crashes
        .nodes
        .map(|nodes| (nodes as f64 * crashes.windows).max(1.0));
    let sum = |cohort| {
        record
            .cohort(cohort)
            .map(|(_, node)| node.invariants)
            .sum::<u64>()
    };
    let mut findings = Vec::new();
    let mut push = |what, [new, old]: [u64; 2], least: u64| {
        if new < least {
            return;
        }
        let rate = old as f64 / old_time + 1.0 / DAY;
        let chance = Poisson::new(rate * new_time).map_or(1.0, |poisson| poisson.sf(new - 1));
        findings.push(Comparison {
            operation: None,
            what,
            new: new as f64,
            old: old as f64,
            harm: new as f64 / new_time - rate,
            error: 0.0,
            chance: 0.0,
            evidence: 1.0 / chance.max(1e-12),
            margin: 0.0,
        });
    };
    push(
        "invariants that did not hold",
        [sum(Cohort::Canary), sum(Cohort::Baseline)],
        1,
    );
    // One crash may be chance; of two on trial, where the others live, one is not.
    push("deaths on trial", crashes.crashes, 2);
    findings
}
