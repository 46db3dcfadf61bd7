//! Whether the new nodes do worse than the old ones, over the same time.
//!
//! The unit is the node: machines differ more than counts of thousands of invocations let show, so
//! that chance is measured by how much the old nodes differ among themselves. What a node did
//! before takes its own slowness out (regression on the covariate before: CUPED), zones are
//! compared each with itself, and the evidence is one that may be looked at after every window
//! without adding to the chance of a false stop: a mixture likelihood ratio (mSPRT) over all
//! operations and measures, which share that chance. Crashes are counts, and compared as such.

use crate::cohort_metrics::{Cohort, CohortMetrics, Metric, NodeHistory, NodeMetric};
use crate::stages::Plan;
use statrs::distribution::{ContinuousCDF, DiscreteCDF, Normal, Poisson};
use std::collections::BTreeMap;
use std::fmt::Write;

/// The chance of stopping a rollout that harms nobody, over all looks, operations and measures of a
/// stage.
pub const FALSE_STOP: f64 = 0.01;
/// The chance of passing a stage with a rollout that harms by the margin, for each measure.
pub const MISSED: f64 = 0.05;
/// Sizes of harm that are looked for, in margins.
const SIZES: [f64; 3] = [1.0, 4.0, 16.0];
/// Invocations of an operation that a node must have had to say anything.
const NODE_SAMPLE: u64 = 20;
/// How many nodes' worth it weighs how much nodes are taken to differ.
const PRIOR: f64 = 2.0;
/// Windows from which memory's rise is looked at, and the hour that it is drawn out to.
const RISE_WINDOWS: f64 = 6.0;
const HOUR: f64 = 360.0;
/// Gauges lie off their line by such a part.
const GAUGES: f64 = 0.01;
const DAY: f64 = 24.0 * HOUR;

/// A measure's margin as a multiple of the plan's: errors weigh more than answers that come later.
fn margin_of(measure: Metric) -> f64 {
    match measure {
        Metric::Errored => 0.5,
        Metric::Lost => 1.0,
        Metric::Throttled | Metric::Late => 2.0,
        Metric::Slow => 5.0,
    }
}

/// How it is judged; all but the first are here to be compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnalysisMethod {
    /// As told above.
    Nodes,
    /// The same without what was before.
    NodesNow,
    /// Stop if the share of the new ones is above that of the old ones by the margin.
    Fixed,
    /// A mixture likelihood ratio that takes every invocation for independent.
    Invocations,
    /// A rank test on nodes, at each look.
    Ranks,
}

/// One comparison.
#[derive(Clone, Debug, PartialEq)]
pub struct Comparison {
    /// The operation, or none for the process itself.
    pub operation: Option<u32>,
    pub what: &'static str,
    /// Of the new ones, and of the old ones in the same windows.
    pub new: f64,
    pub old: f64,
    /// By how much the new ones do worse, and how far that may be off.
    pub harm: f64,
    pub error: f64,
    /// As far as counts are few: what is left of that error once there are many, nodes being as
    /// different as they are.
    pub chance: f64,
    /// Evidence for harm, as a likelihood ratio; and the margin that is judged by.
    pub evidence: f64,
    pub margin: f64,
}

/// What a stage has shown.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The new nodes harm: the comparisons that say so, the worst first.
    Harm(Vec<Comparison>),
    /// They don't harm by the margin, as far as the chances allow to say.
    Fine,
    /// It can't be told yet: why.
    Wait(String),
    /// Nothing speaks for harm, and it can't be ruled out yet: why.
    Unsure(String),
}

/// A judgement with its figures.
#[derive(Clone, Debug, PartialEq)]
pub struct AnalysisResult {
    pub verdict: Verdict,
    /// All comparisons, those with most evidence first.
    pub findings: Vec<Comparison>,
    /// Invocations of the new and of the old nodes, and how many nodes there are.
    pub sample: [u64; 2],
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

impl Comparison {
    /// In words.
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

/// A node's share of something, with how far chance may have it off.
#[derive(Clone, Copy, Debug)]
struct NodeShare {
    zone: u32,
    value: f64,
    variance: f64,
    before: Option<Baseline>,
}

/// What it was before.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    value: f64,
    variance: f64,
}

/// The shares of a side's nodes: how far each is from what was to be expected of it.
fn shares(record: &CohortMetrics, side: Cohort, operation: u32, measure: Metric) -> Vec<NodeShare> {
    let parts = || {
        record
            .side(side)
            .filter_map(|(_, node)| Some((node, node.after.get(&operation)?.of(measure))))
    };
    let enough = |part: &NodeMetric| part.count >= NODE_SAMPLE && part.all > 0;
    let (bad, all) = parts().fold((0, 0), |(bad, all), (_, part)| {
        (bad + part.bad, all + part.all)
    });
    let common = bad as f64 / (all as f64).max(1.0);
    // Chance of counts, by what is likely, with half a one more so that no share is without any;
    // where that is less than what was seen, by that: few and seldom is not normal.
    let chance = |part: &NodeMetric, likely: f64| {
        let likely = likely.clamp(0.0, 1.0) * part.count as f64 + 0.5;
        let likely = likely / (part.count as f64 + 1.0);
        likely * (1.0 - likely) / part.count as f64
    };
    let share = |(node, part): (&NodeHistory, &NodeMetric)| {
        let past = node
            .before
            .get(&operation)
            .map(|parts| *parts.of(measure))
            .filter(enough);
        let expected = part.expected / part.all as f64;
        let value = part.bad as f64 / part.all as f64 - expected;
        let before = past.map(|past| {
            let value = (past.bad as f64 - past.expected) / past.all as f64;
            Baseline {
                value,
                variance: chance(&past, past.bad as f64 / past.all as f64),
            }
        });
        let own = before.map_or(0.0, |past| past.value.max(0.0));
        let likely = (expected + own).max(common);
        NodeShare {
            zone: node.zone,
            value,
            variance: chance(part, likely),
            before,
        }
    };
    parts()
        .filter(|(_, part)| enough(part))
        .map(share)
        .collect()
}

/// The common share of a side, and what was expected of it.
fn pooled(
    record: &CohortMetrics,
    side: Cohort,
    operation: u32,
    measure: Metric,
) -> Option<(f64, f64)> {
    let parts = record
        .side(side)
        .filter_map(|(_, node)| Some(node.after.get(&operation)?.of(measure)));
    let (bad, expected, all) = parts.fold((0, 0.0, 0), |(bad, expected, all), part| {
        (bad + part.bad, expected + part.expected, all + part.all)
    });
    (all > 0).then(|| (bad as f64 / all as f64, expected / all as f64))
}

fn mean(values: impl Iterator<Item = f64> + Clone) -> f64 {
    let count = values.clone().count();
    if count == 0 {
        0.0
    } else {
        values.sum::<f64>() / count as f64
    }
}

/// Takes out of each share what the node's own past tells: machines differ, and a slow one was slow
/// before. As much of its distance from its zone is taken as is its own rather than chance (the
/// best linear prediction by two variances, as CUPED does with one slope for all: here a node with
/// little past keeps more of its share).
fn adjust(new: &mut [NodeShare], old: &mut [NodeShare]) {
    let mut zones: BTreeMap<u32, Vec<Baseline>> = BTreeMap::new();
    for share in new.iter().chain(old.iter()) {
        zones.entry(share.zone).or_default().extend(share.before);
    }
    let centre = |zone: u32| mean(zones[&zone].iter().map(|past| past.value));
    let (mut squares, mut chance, mut degrees) = (0.0, 0.0, 0.0);
    for (zone, pasts) in zones.iter().filter(|(_, pasts)| pasts.len() > 1) {
        let part = (pasts.len() as f64 - 1.0) / pasts.len() as f64;
        squares += pasts
            .iter()
            .map(|past| (past.value - centre(*zone)).powi(2))
            .sum::<f64>();
        chance += pasts.iter().map(|past| past.variance).sum::<f64>() * part;
        degrees += pasts.len() as f64 - 1.0;
    }
    if degrees < 1.0 {
        return;
    }
    let own = (squares - chance).max(0.0) / degrees;
    for share in new.iter_mut().chain(old) {
        if let Some(past) = share.before.filter(|_| zones[&share.zone].len() > 1) {
            // One that stands far out differs by itself whatever the others do.
            let far = past.value - centre(share.zone);
            let out = 1.0 - past.variance / (far * far).max(1e-12);
            share.value -= (own / (own + past.variance)).max(out) * far;
        }
    }
}

/// How much the old nodes differ beyond chance, within their zones. Few of them tell little of
/// that: two more are taken to differ by half of the margin.
fn spread(old: &[NodeShare], margin: f64) -> f64 {
    let mut zones: BTreeMap<u32, Vec<&NodeShare>> = BTreeMap::new();
    old.iter()
        .for_each(|share| zones.entry(share.zone).or_default().push(share));
    let (mut squares, mut degrees, mut chance) = (0.0, 0.0, 0.0);
    for shares in zones.values().filter(|shares| shares.len() > 1) {
        let centre = mean(shares.iter().map(|share| share.value));
        squares += shares
            .iter()
            .map(|share| (share.value - centre).powi(2))
            .sum::<f64>();
        degrees += shares.len() as f64 - 1.0;
        chance += shares.iter().map(|share| share.variance).sum::<f64>()
            * (shares.len() as f64 - 1.0)
            / shares.len() as f64;
    }
    let prior = PRIOR * (margin / 2.0).powi(2);
    (((squares - chance).max(0.0) + prior) / (degrees + PRIOR)).sqrt()
}

/// By how much the new ones are above the old ones, zone by zone, and the variance of that.
fn difference(new: &[NodeShare], old: &[NodeShare], spread: f64) -> Option<(f64, f64)> {
    let mut zones: BTreeMap<u32, (Vec<NodeShare>, Vec<NodeShare>)> = BTreeMap::new();
    new.iter()
        .for_each(|share| zones.entry(share.zone).or_default().0.push(*share));
    old.iter()
        .for_each(|share| zones.entry(share.zone).or_default().1.push(*share));
    let variance = |shares: &[NodeShare], spread: f64| {
        let n = shares.len() as f64;
        spread * spread / n + shares.iter().map(|share| share.variance).sum::<f64>() / (n * n)
    };
    let value = |shares: &[NodeShare]| mean(shares.iter().map(|share| share.value));
    let (mut sum, mut weights) = (0.0, 0.0);
    for (new, here) in zones.values().filter(|(new, _)| !new.is_empty()) {
        // A zone without old nodes is compared with all of them, which differ by their zones too.
        let (against, far) = if here.is_empty() {
            (old, 2.0)
        } else {
            (here.as_slice(), 1.0)
        };
        if against.is_empty() {
            return None;
        }
        let harm = value(new) - value(against);
        let off = variance(new, far * spread) + variance(against, far * spread);
        sum += harm / off;
        weights += 1.0 / off;
    }
    (weights > 0.0).then(|| (sum / weights, 1.0 / weights))
}

/// The likelihood of a difference like this if there is harm of about this size or much more,
/// against none; one sided.
fn mixture(harm: f64, variance: f64, size: f64) -> f64 {
    if harm <= 0.0 {
        return 0.0;
    }
    let one = |size: f64| {
        let both = variance + size * size;
        (variance / both).sqrt()
            * (harm * harm * size * size / (2.0 * variance * both))
                .min(700.0)
                .exp()
    };
    SIZES.iter().map(|times| one(size * times)).sum::<f64>() / SIZES.len() as f64
}

/// The most that harm is likely to be, by the chance of missing it.
fn most(harm: f64, variance: f64) -> f64 {
    let quantile = Normal::standard().inverse_cdf(1.0 - MISSED);
    harm + quantile * variance.sqrt()
}

/// The chance that the new nodes' shares rank as high as they do.
fn ranks(new: &[NodeShare], old: &[NodeShare]) -> f64 {
    // The normal form of Mann and Whitney's U, with the correction for whole steps; ties count as
    // half.
    let (n, m) = (new.len() as f64, old.len() as f64);
    let above: f64 = new
        .iter()
        .flat_map(|a| old.iter().map(move |b| a.value.total_cmp(&b.value)))
        .map(|order| match order {
            std::cmp::Ordering::Greater => 1.0,
            std::cmp::Ordering::Equal => 0.5,
            std::cmp::Ordering::Less => 0.0,
        })
        .sum();
    let deviation = (n * m * (n + m + 1.0) / 12.0).sqrt().max(1e-9);
    1.0 - Normal::standard().cdf((above - 0.5 - n * m / 2.0) / deviation)
}

/// One operation by one measure.
fn compare(
    record: &CohortMetrics,
    plan: &Plan,
    method: AnalysisMethod,
    operation: u32,
    measure: Metric,
) -> Option<Comparison> {
    let margin = f64::from(plan.margin) / 1000.0 * margin_of(measure);
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
        what: measure.word(),
        new: new_share,
        old: expected,
        harm,
        error: variance.sqrt(),
        evidence,
        margin,
    };
    match method {
        AnalysisMethod::Nodes | AnalysisMethod::NodesNow => {
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
        AnalysisMethod::Invocations => {
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

/// Memory and descriptors: whether they rise faster than at the old nodes, drawn out over an hour,
/// as a share of what there is.
fn rises(record: &CohortMetrics) -> Vec<Comparison> {
    let mut findings = Vec::new();
    for (what, of) in [
        (
            "memory in an hour",
            (|node: &NodeHistory| node.memory)
                as fn(&NodeHistory) -> crate::cohort_metrics::LinearTrend,
        ),
        ("descriptors in an hour", |node| node.descriptors),
    ] {
        let values = |side| -> Vec<NodeShare> {
            let lines = record.side(side).map(|(_, node)| (node.zone, of(node)));
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

/// CrashCounts and invariants: counts by node and time, of which chance is known. What the others had in
/// the same time tells how often such a thing happens today; without any, once in a node's day.
fn counts(record: &CohortMetrics, crashes: &CrashCounts) -> Vec<Comparison> {
    let [new_time, old_time] = crashes
        .nodes
        .map(|nodes| (nodes as f64 * crashes.windows).max(1.0));
    let sum = |side| {
        record
            .side(side)
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
    // One death may be chance; of two on trial, where the others live, one is not.
    push("deaths on trial", crashes.crashes, 2);
    findings
}

/// What died in a stage: the dead don't count, so that others do it for them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CrashCounts {
    /// On trial, and of the others.
    pub crashes: [u64; 2],
    /// Of how many nodes that are in the stage, and that are not.
    pub nodes: [u64; 2],
    /// In how many windows' time.
    pub windows: f64,
}

/// Judges a stage by what there is so far.
pub fn judge(
    record: &CohortMetrics,
    plan: &Plan,
    stage: u32,
    crashes: &CrashCounts,
    method: AnalysisMethod,
) -> AnalysisResult {
    let operations = record.operations();
    let mut findings: Vec<Comparison> = Vec::new();
    for operation in &operations {
        findings.extend(
            Metric::ALL
                .iter()
                .filter_map(|m| compare(record, plan, method, *operation, *m)),
        );
    }
    let shares = findings.len();
    if matches!(method, AnalysisMethod::Nodes | AnalysisMethod::NodesNow) {
        findings.extend(rises(record));
    }
    // All ways take deaths for what they are: they differ in what they make of shares.
    let counted = counts(record, crashes);
    let tests = findings.len().max(1) as f64;
    let enough = match method {
        AnalysisMethod::Fixed => 1.0,
        // A rank test that is looked at each window without a thought of that.
        AnalysisMethod::Ranks => 1.0 / FALSE_STOP,
        _ => tests / FALSE_STOP,
    };
    findings.extend(counted);
    findings.sort_by(|a, b| b.evidence.total_cmp(&a.evidence));
    let sample = [
        record.arrived(Cohort::Canary),
        record.arrived(Cohort::Baseline),
    ];
    let nodes = [
        record.side(Cohort::Canary).count(),
        record.side(Cohort::Baseline).count(),
    ];
    let least = plan.stage(stage).map_or(0, |stage| u64::from(stage.sample));
    // Harm that is certain and small is none: half of the margin at least. Counts are two tests
    // more, with a chance of their own.
    let harms = |finding: &Comparison| {
        let enough = if finding.margin > 0.0 {
            enough
        } else {
            2.0 / FALSE_STOP
        };
        // The plain ways would stop all rollouts if they looked at a handful.
        let plain =
            finding.margin > 0.0 && matches!(method, AnalysisMethod::Fixed | AnalysisMethod::Ranks);
        finding.evidence >= enough
            && finding.harm >= finding.margin / 2.0
            && (!plain || sample[0] >= least)
    };
    let harm: Vec<Comparison> = findings
        .iter()
        .filter(|finding| harms(finding))
        .cloned()
        .collect();
    let verdict = if !harm.is_empty() {
        Verdict::Harm(harm)
    } else if sample[0] < least {
        Verdict::Wait(format!(
            "{} of {least} invocations at the new nodes",
            sample[0]
        ))
    } else if shares == 0 {
        Verdict::Wait("nothing to compare with at the old nodes".into())
    } else {
        // The fewer run it, the more it may be off: by the margin once half of the fleet does. What
        // more counts would not tell is not waited for.
        let part = nodes[0] as f64 / (nodes[0] + nodes[1]).max(1) as f64;
        let wide = (0.5 / part.max(1e-6)).sqrt().max(1.0);
        let unsure = |finding: &&Comparison| {
            finding.margin > 0.0
                && most(finding.harm, finding.chance.powi(2)) > finding.margin * wide
        };
        // What is seldom can't be told from chance: it must not hold a rollout up that is fine by
        // all that is not.
        let message = |finding: &&Comparison| finding.chance < finding.margin;
        let looked = || {
            findings
                .iter()
                .filter(|_| method != AnalysisMethod::Fixed && method != AnalysisMethod::Ranks)
                .filter(message)
                .filter(unsure)
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
            looked().find(|finding| finding.harm > finding.margin * wide),
            looked().next(),
        ) {
            (Some(finding), _) => Verdict::Wait(why(finding)),
            (None, Some(finding)) => Verdict::Unsure(why(finding)),
            (None, None) => Verdict::Fine,
        }
    };
    AnalysisResult {
        verdict,
        findings,
        sample,
        nodes,
    }
}

#[cfg(test)]
mod tests;
