//! Comparisons of the cohorts: operations by metric, trends of memory and descriptors, and counts
//! of crashes and violated invariants.

use super::evidence::{mixture, ranks};
use super::shares::{NodeShare, adjust, difference, mean, pooled, shares, spread};
use crate::cohort_metrics::{Cohort, CohortMetrics, LinearTrend, Metric, NodeHistory};
use crate::stages::Plan;
use statrs::distribution::{DiscreteCDF, Poisson};

/// Minimum number of windows for a trend.
const MIN_TREND_WINDOWS: f64 = 6.0;

/// Number of 10 s windows in an hour, the time to which trends are extrapolated.
const HOUR: f64 = 360.0;

/// Typical deviation of a gauge from the line fitted to the gauge, as a fraction of the gauge's
/// value.
const GAUGE_DEVIATION: f64 = 0.01;

/// Number of 10 s windows in a day.
const DAY: f64 = 24.0 * HOUR;

/// Returns a metric's margin as a multiple of the plan's margin: errors weigh more than late
/// replies.
fn margin_factor(metric: Metric) -> f64 {
    match metric {
        Metric::Errored => 0.5,
        Metric::Lost => 1.0,
        Metric::Rejected | Metric::Late => 2.0,
        Metric::Slow => 5.0,
    }
}

/// The statistical method of an analysis. Nodes use [`AnalysisMethod::Nodes`]; the other methods
/// exist to be compared with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnalysisMethod {
    /// Compares the nodes' shares of harmful outcomes, each adjusted by the same node's share
    /// before the rollout.
    Nodes,
    /// Compares the nodes' shares of harmful outcomes, not adjusted by the shares before the
    /// rollout.
    NodesWithoutHistory,
    /// Reports harm if the canary's share of harmful outcomes exceeds the baseline's by more than
    /// the margin.
    Fixed,
    /// Uses a mixture likelihood ratio that treats requests as independent.
    IndependentRequests,
    /// Ranks the nodes by their shares of harmful outcomes at each window (Mann-Whitney U test).
    Ranks,
}

/// One comparison of the cohorts.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// The number of the compared operation; `None` for memory, descriptors and counts.
    pub operation: Option<u32>,
    /// The name of the compared metric or count, as shown to operators.
    pub what: &'static str,
    /// The value at the canary nodes: a share of harmful outcomes, an hourly growth relative to the
    /// mean, or a count.
    pub new: f64,
    /// The value expected at the canary nodes from the baseline nodes in the same windows; for
    /// counts and trends the baseline's value.
    pub old: f64,
    /// The excess of the canary's value over the expected one; negative if the canary does better.
    pub harm: f64,
    /// The standard error of `harm`.
    pub error: f64,
    /// The sampling error in `error`; the rest of `error` comes from differences between nodes.
    pub chance: f64,
    /// Evidence for harm, as a likelihood ratio against no harm.
    pub evidence: f64,
    /// The largest tolerated `harm`; 0 for counts.
    pub margin: f64,
}

impl Comparison {
    /// Formats the comparison as one line of text; `name` gives the name of an operation.
    pub fn line(&self, name: &dyn Fn(u32) -> String) -> String {
        let operation = self
            .operation
            .map_or_else(String::new, |operation| format!("{} ", name(operation)));
        let unit = if self.operation.is_some() { 100.0 } else { 1.0 };
        let sign = if self.operation.is_some() { " %" } else { "" };
        format!(
            "{operation}{}: {:.2}{sign} at new nodes, {:.2}{sign} at old ones, {:+.2} ± {:.2}",
            self.what,
            self.new * unit,
            self.old * unit,
            self.harm * unit,
            self.error * unit
        )
    }
}

/// Crashes in a stage. The coordinator counts them, as a crashed node cannot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CrashCounts {
    /// Number of crashes of nodes that run the new version on trial, and of the other nodes.
    pub crashes: [u64; 2],
    /// Number of nodes that the stage includes, and of the other nodes.
    pub nodes: [u64; 2],
    /// The duration over which the crashes were counted, in 10 s windows.
    pub windows: f64,
}

/// Compares the cohorts on one operation by one metric. Returns `None` if no node of a cohort has
/// enough requests.
pub(super) fn compare_metric(
    record: &CohortMetrics,
    plan: &Plan,
    method: AnalysisMethod,
    operation: u32,
    metric: Metric,
) -> Option<Comparison> {
    let margin = f64::from(plan.margin_permille) / 1000.0 * margin_factor(metric);
    let (new_share, expected) = pooled(record, Cohort::Canary, operation, metric)?;
    let (old_share, _) = pooled(record, Cohort::Baseline, operation, metric)?;
    let mut new = shares(record, Cohort::Canary, operation, metric);
    let mut old = shares(record, Cohort::Baseline, operation, metric);
    if new.is_empty() || old.is_empty() {
        return None;
    }
    let chance = difference(&new, &old, 0.0).map_or(0.0, |(_, variance)| variance.sqrt());
    let finding = |harm: f64, variance: f64, evidence: f64| Comparison {
        chance,
        operation: Some(operation),
        what: metric.display_name(),
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

/// Compares how fast memory and descriptors grow at the nodes of the two cohorts, extrapolated to
/// an hour, as a fraction of the mean memory or number of descriptors.
pub(super) fn compare_trends(record: &CohortMetrics) -> Vec<Comparison> {
    let mut findings = Vec::new();
    for (what, trend) in [
        (
            "memory in an hour",
            (|node: &NodeHistory| node.memory) as fn(&NodeHistory) -> LinearTrend,
        ),
        ("descriptors in an hour", |node| node.descriptors),
    ] {
        let values = |cohort| -> Vec<NodeShare> {
            let lines = record
                .cohort(cohort)
                .map(|(_, node)| (node.zone, trend(node)));
            lines
                .filter(|(_, line)| line.count >= MIN_TREND_WINDOWS && line.mean() > 0.0)
                .filter_map(|(zone, line)| {
                    let (slope, variance) = line.slope(GAUGE_DEVIATION)?;
                    let per_hour = HOUR / line.mean();
                    Some(NodeShare {
                        zone,
                        value: slope * per_hour,
                        variance: variance * per_hour * per_hour,
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
        // Growth by a fifth of the mean within an hour is harm.
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

/// Compares the counts of crashes and violated invariants, which are Poisson distributed by node
/// and time. The expected rate is that of the baseline in the same time plus one event per node and
/// day, so that the expected rate is never zero.
pub(super) fn compare_counts(record: &CohortMetrics, crashes: &CrashCounts) -> Vec<Comparison> {
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
    let mut push = |what, [new, old]: [u64; 2], min_count: u64| {
        if new < min_count {
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
    // One crash on trial may be chance; two, while the other nodes stay up, are not.
    push("deaths on trial", crashes.crashes, 2);
    findings
}
