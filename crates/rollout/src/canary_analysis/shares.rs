//! What each node came to in one metric, how far chance may have it off, and the difference between
//! the cohorts.

use crate::cohort_metrics::{Cohort, CohortMetrics, Metric, NodeHistory, NodeMetric};
use std::collections::BTreeMap;

/// Requests of an operation that a node must have had to be compared.
const NODE_SAMPLE: u64 = 20;

/// How many nodes the assumed spread of nodes counts for.
const PRIOR: f64 = 2.0;

/// A node's share of what harms, less what was expected, with its variance by chance.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeShare {
    pub(super) zone: u32,
    pub(super) value: f64,
    pub(super) variance: f64,
    pub(super) before: Option<Baseline>,
}

/// The same before the rollout began.
#[derive(Clone, Copy, Debug)]
pub(super) struct Baseline {
    value: f64,
    variance: f64,
}

/// The shares of a cohort's nodes: how far each is from what was expected of it.
pub(super) fn shares(
    record: &CohortMetrics,
    cohort: Cohort,
    operation: u32,
    measure: Metric,
) -> Vec<NodeShare> {
    let parts = || {
        record
            .cohort(cohort)
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

/// The common share of a cohort, and what was expected of it.
pub(super) fn pooled(
    record: &CohortMetrics,
    cohort: Cohort,
    operation: u32,
    measure: Metric,
) -> Option<(f64, f64)> {
    let parts = record
        .cohort(cohort)
        .filter_map(|(_, node)| Some(node.after.get(&operation)?.of(measure)));
    let (bad, expected, all) = parts.fold((0, 0.0, 0), |(bad, expected, all), part| {
        (bad + part.bad, expected + part.expected, all + part.all)
    });
    (all > 0).then(|| (bad as f64 / all as f64, expected / all as f64))
}

/// The mean; 0 of nothing.
pub(super) fn mean(values: impl Iterator<Item = f64> + Clone) -> f64 {
    let count = values.clone().count();
    if count == 0 {
        0.0
    } else {
        values.sum::<f64>() / count as f64
    }
}

/// Takes out of each share what the node's own past predicts: machines differ, and a slow one was slow
/// before. As much of its distance from its zone is taken as is its own rather than chance (the best
/// linear prediction by two variances, as CUPED does with one slope for all: here a node with little
/// past keeps more of its share).
pub(super) fn adjust(new: &mut [NodeShare], old: &mut [NodeShare]) {
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
            // One that is far out differs by itself whatever the others do.
            let far = past.value - centre(share.zone);
            let out = 1.0 - past.variance / (far * far).max(1e-12);
            share.value -= (own / (own + past.variance)).max(out) * far;
        }
    }
}

/// How much the baseline nodes differ beyond chance, within their zones. Few of them show little of
/// that: two more are taken to differ by half of the margin.
pub(super) fn spread(old: &[NodeShare], margin: f64) -> f64 {
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

/// By how much the canary is above the baseline, zone by zone, and the variance of that.
pub(super) fn difference(new: &[NodeShare], old: &[NodeShare], spread: f64) -> Option<(f64, f64)> {
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
