//! Each node's share of harmful outcomes in one metric, the sampling variance of that share, and
//! the difference between the cohorts.

use crate::cohort_metrics::{Cohort, CohortMetrics, Metric, NodeHistory, NodeMetric};
use std::collections::BTreeMap;

/// Minimum number of requests of an operation at a node for the node to be compared.
const MIN_NODE_REQUESTS: u64 = 20;

/// The weight of the assumed standard deviation between nodes, as a number of nodes.
const PRIOR_NODES: f64 = 2.0;

/// A node's share of harmful outcomes less the expected share, and the sampling variance of the
/// difference.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeShare {
    pub(super) zone: u32,
    pub(super) value: f64,
    pub(super) variance: f64,
    pub(super) before: Option<PriorShare>,
}

/// A node's share of harmful outcomes before the rollout began, less the expected share.
#[derive(Clone, Copy, Debug)]
pub(super) struct PriorShare {
    value: f64,
    variance: f64,
}

/// Returns the shares of harmful outcomes of a cohort's nodes, each less the share that the
/// baseline rates predict for the node.
pub(super) fn shares(
    record: &CohortMetrics,
    cohort: Cohort,
    operation: u32,
    metric: Metric,
) -> Vec<NodeShare> {
    let parts = || {
        record
            .cohort(cohort)
            .filter_map(|(_, node)| Some((node, node.after.get(&operation)?.of(metric))))
    };
    let enough = |part: &NodeMetric| part.count >= MIN_NODE_REQUESTS && part.all > 0;
    let (bad, all) = parts().fold((0, 0), |(bad, all), (_, part)| {
        (bad + part.bad, all + part.all)
    });
    let common = bad as f64 / (all as f64).max(1.0);
    // Binomial variance at the likely share of harmful outcomes; half an event is added so that no
    // share has a variance of zero. The likely share is at least the share of the whole cohort,
    // because few and rare events are not normally distributed.
    let sampling_variance = |part: &NodeMetric, likely: f64| {
        let likely = likely.clamp(0.0, 1.0) * part.count as f64 + 0.5;
        let likely = likely / (part.count as f64 + 1.0);
        likely * (1.0 - likely) / part.count as f64
    };
    let share = |(node, part): (&NodeHistory, &NodeMetric)| {
        let past = node
            .before
            .get(&operation)
            .map(|parts| *parts.of(metric))
            .filter(enough);
        let expected = part.expected / part.all as f64;
        let value = part.bad as f64 / part.all as f64 - expected;
        let before = past.map(|past| {
            let value = (past.bad as f64 - past.expected) / past.all as f64;
            PriorShare {
                value,
                variance: sampling_variance(&past, past.bad as f64 / past.all as f64),
            }
        });
        let past_excess = before.map_or(0.0, |past| past.value.max(0.0));
        let likely = (expected + past_excess).max(common);
        NodeShare {
            zone: node.zone,
            value,
            variance: sampling_variance(part, likely),
            before,
        }
    };
    parts()
        .filter(|(_, part)| enough(part))
        .map(share)
        .collect()
}

/// Returns the share of harmful outcomes of a whole cohort and the expected share; `None` if the
/// cohort had no requests.
pub(super) fn pooled(
    record: &CohortMetrics,
    cohort: Cohort,
    operation: u32,
    metric: Metric,
) -> Option<(f64, f64)> {
    let parts = record
        .cohort(cohort)
        .filter_map(|(_, node)| Some(node.after.get(&operation)?.of(metric)));
    let (bad, expected, all) = parts.fold((0, 0.0, 0), |(bad, expected, all), part| {
        (bad + part.bad, expected + part.expected, all + part.all)
    });
    (all > 0).then(|| (bad as f64 / all as f64, expected / all as f64))
}

/// Returns the mean, or 0 if there are no values.
pub(super) fn mean(values: impl Iterator<Item = f64> + Clone) -> f64 {
    let count = values.clone().count();
    if count == 0 {
        0.0
    } else {
        values.sum::<f64>() / count as f64
    }
}

/// Subtracts from each node's share what the node's share before the rollout predicts: machines
/// differ, and a slow machine was slow before the rollout. The distance of the earlier share from
/// the mean of the zone is subtracted to the extent that the distance is a property of the node
/// rather than chance. This is the best linear prediction from the two variances. CUPED uses one
/// slope for all nodes, while here less is subtracted from the share of a node with little history.
pub(super) fn adjust(new: &mut [NodeShare], old: &mut [NodeShare]) {
    let mut zones: BTreeMap<u32, Vec<PriorShare>> = BTreeMap::new();
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
    let between = (squares - chance).max(0.0) / degrees;
    for share in new.iter_mut().chain(old) {
        if let Some(past) = share.before.filter(|_| zones[&share.zone].len() > 1) {
            // An outlier's distance is a property of that node even if the other nodes do not
            // differ.
            let distance = past.value - centre(share.zone);
            let outlier = 1.0 - past.variance / (distance * distance).max(1e-12);
            share.value -= (between / (between + past.variance)).max(outlier) * distance;
        }
    }
}

/// Returns the standard deviation, beyond chance, of the shares of baseline nodes in the same zone.
/// A few nodes allow only a rough estimate, so [`PRIOR_NODES`] more nodes are assumed to differ by
/// half of the margin.
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
    let prior = PRIOR_NODES * (margin / 2.0).powi(2);
    (((squares - chance).max(0.0) + prior) / (degrees + PRIOR_NODES)).sqrt()
}

/// Returns by how much the canary's share of harmful outcomes exceeds the baseline's, combined over
/// the zones, and the variance of that difference; `None` if either cohort is empty.
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
    for (new, same_zone) in zones.values().filter(|(new, _)| !new.is_empty()) {
        // A zone without baseline nodes is compared with the baseline nodes of all zones. Those
        // nodes also differ by zone, so the spread is doubled.
        let (against, spread_factor) = if same_zone.is_empty() {
            (old, 2.0)
        } else {
            (same_zone.as_slice(), 1.0)
        };
        if against.is_empty() {
            return None;
        }
        let harm = value(new) - value(against);
        let total =
            variance(new, spread_factor * spread) + variance(against, spread_factor * spread);
        sum += harm / total;
        weights += 1.0 / total;
    }
    (weights > 0.0).then(|| (sum / weights, 1.0 / weights))
}
