//! The stages of a rollout: how many and which nodes each stage includes, and when each node
//! starts.
//!
//! A threshold for each zone determines the nodes of a stage: a node is included if the hash of the
//! rollout and the node's key is at or below the threshold of its zone. So all nodes agree on the
//! members of a stage whatever their view of the cluster, and a node that joins during a rollout
//! knows at once whether it is included. Thresholds only rise, so that an included node stays
//! included.

use crate::identifiers::RolloutId;
use crate::{MILLISECOND, Nanos, SECOND, splitmix64};
use std::collections::BTreeMap;

/// Maximum number of stages of a plan.
pub const MAX_STAGES: usize = 12;
/// Maximum number of zones with a threshold; nodes of further zones are in the last stage only.
pub const MAX_ZONES: usize = 24;
/// Maximum size in nodes of a small zone, which has at most one node in the stages before the last.
const SMALL_ZONE_NODES: usize = 3;

/// Bound that a plan violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The plan has no stages, or more than [`MAX_STAGES`].
    #[error("plan has {0} stages, must have 1 to {MAX_STAGES}")]
    StageCount(usize),
    /// The share of nodes in a stage is not larger than in the stage before.
    #[error("each stage must be larger than the one before")]
    StageNotLarger,
    /// The last stage does not include all nodes of the cluster.
    #[error("the last stage must be the whole fleet")]
    LastStageNotWhole,
    /// The minimum duration of a stage exceeds its maximum duration.
    #[error("a stage lasts {} s at least and {} s at most", min / SECOND, max / SECOND)]
    Durations {
        /// The minimum duration of the first such stage, in nanoseconds.
        min: Nanos,
        /// The maximum duration of the first such stage, in nanoseconds.
        max: Nanos,
    },
    /// The maximum share of a zone's nodes in a stage, or the margin of the analysis, is out of
    /// bounds.
    #[error("a maximum share of a zone must be from 0.001 to 1, and a margin from 0.001 to 0.5")]
    Shares,
}

/// One stage of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    /// The share of the cluster that runs the new version, in thousandths; 0 means a single node.
    pub share_permille: u32,
    /// The minimum duration of the stage, in nanoseconds.
    pub min_duration: Nanos,
    /// The maximum duration of the stage, in nanoseconds. A rollout without a verdict by then is
    /// halted.
    pub max_duration: Nanos,
    /// Minimum number of requests at the canary nodes for a verdict that the stage is fine.
    pub min_requests: u32,
    /// The time over which the starts of the stage's nodes are spread, in nanoseconds.
    pub start_spread: Nanos,
}

/// The stages of a rollout and the bounds of its analysis.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The stages in order; each includes more nodes than the stage before.
    pub stages: Vec<Stage>,
    /// The maximum share of a zone's nodes in a stage before the last, in thousandths.
    pub max_zone_permille: u32,
    /// The share of priority weight that a version may lose and still be fine, in thousandths.
    pub margin_permille: u32,
}

impl Default for Plan {
    fn default() -> Plan {
        let stage = |share, min_seconds, min_requests| Stage {
            share_permille: share,
            min_duration: min_seconds * SECOND,
            max_duration: 1800 * SECOND,
            min_requests,
            start_spread: 10 * SECOND,
        };
        Plan {
            stages: vec![
                stage(0, 60, 200),
                stage(50, 120, 1000),
                stage(250, 120, 2000),
                stage(500, 120, 2000),
                stage(1000, 120, 2000),
            ],
            max_zone_permille: 500,
            margin_permille: 20,
        }
    }
}

impl Plan {
    /// Checks the plan against the bounds that [`PlanError`] names.
    pub fn check(&self) -> Result<(), PlanError> {
        if self.stages.is_empty() || self.stages.len() > MAX_STAGES {
            return Err(PlanError::StageCount(self.stages.len()));
        }
        let grows = |pair: &[Stage]| pair[1].share_permille > pair[0].share_permille;
        if !self.stages.windows(2).all(grows) {
            return Err(PlanError::StageNotLarger);
        }
        if self
            .stages
            .last()
            .is_none_or(|last| last.share_permille != 1000)
        {
            return Err(PlanError::LastStageNotWhole);
        }
        let is_reversed = |stage: &&Stage| stage.min_duration > stage.max_duration;
        if let Some(stage) = self.stages.iter().find(is_reversed) {
            return Err(PlanError::Durations {
                min: stage.min_duration,
                max: stage.max_duration,
            });
        }
        if !(1..=1000).contains(&self.max_zone_permille)
            || !(1..=500).contains(&self.margin_permille)
        {
            return Err(PlanError::Shares);
        }
        Ok(())
    }

    /// Returns the stage of this number, counted from 1.
    pub fn stage(&self, number: u32) -> Option<&Stage> {
        self.stages.get((number as usize).checked_sub(1)?)
    }

    /// Returns whether the stage of this number is the last one.
    pub fn is_last(&self, number: u32) -> bool {
        number as usize == self.stages.len()
    }

    /// Returns whether the number is beyond the last stage, so that the rollout is completed.
    pub fn is_beyond(&self, number: u32) -> bool {
        number as usize > self.stages.len()
    }
}

/// The agreed progress of a rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Progress {
    /// The number of the agreement, counted over all rollouts of the same kind; 0 before the first
    /// one.
    pub agreement: u64,
    /// The stage, counted from 1; one more than the plan's number of stages once the rollout is
    /// completed.
    pub stage: u32,
    /// The thresholds of the previous stage, by zone.
    pub previous_thresholds: BTreeMap<u32, u64>,
    /// The thresholds of this stage, by zone; no node of a zone without a threshold is included.
    pub thresholds: BTreeMap<u32, u64>,
    /// True if the stage includes all nodes of all zones, whatever the thresholds.
    pub whole_cluster: bool,
    /// The agreed number of nodes in the cluster.
    pub cluster_size: u32,
    /// When the progress was proposed, in Unix milliseconds of the proposer's clock.
    pub at_ms: u64,
}

/// The inputs from which the next progress of a rollout is computed.
#[derive(Clone, Copy, Debug)]
pub struct NextAgreement<'a> {
    /// The rollout whose next progress is computed.
    pub rollout: RolloutId,
    /// The plan of the rollout, from which the next stage is taken.
    pub plan: &'a Plan,
    /// The present nodes, each with its key and zone.
    pub nodes: &'a [(u64, u32)],
    /// The number of the agreement by which the voters assign the progress.
    pub agreement: u64,
    /// The cluster size in nodes that the voters agree on together with the progress.
    pub cluster_size: u32,
}

/// Returns a node's position in a rollout's order; nodes with lower positions are included first.
pub fn node_position(rollout: RolloutId, node: u64) -> u64 {
    splitmix64(node ^ splitmix64(rollout.0))
}

impl Progress {
    /// Returns whether the stage includes the node with this key in this zone.
    pub fn includes(&self, rollout: RolloutId, node: u64, zone: u32) -> bool {
        self.stage > 0
            && (self.whole_cluster
                || self
                    .thresholds
                    .get(&zone)
                    .is_some_and(|until| node_position(rollout, node) <= *until))
    }

    /// Returns the time from when a node first saw the stage until the node starts the version, in
    /// nanoseconds. Nodes of the previous stage start at once, the other nodes one after the other
    /// over the time `spread`.
    pub fn slot(&self, rollout: RolloutId, node: u64, zone: u32, spread: Nanos) -> Nanos {
        let (position, previous) = (
            node_position(rollout, node),
            self.previous_thresholds.get(&zone).copied(),
        );
        if previous.is_some_and(|previous| position <= previous) {
            return 0;
        }
        let from = previous.unwrap_or(0);
        let until = if self.whole_cluster {
            u64::MAX
        } else {
            self.thresholds.get(&zone).copied().unwrap_or(u64::MAX)
        };
        let part =
            position.saturating_sub(from) as f64 / (until.saturating_sub(from).max(1)) as f64;
        (spread as f64 * part.clamp(0.0, 1.0)) as Nanos
    }

    /// Returns the progress at the next stage; `None` once the rollout is completed.
    pub fn next(&self, agreement: &NextAgreement<'_>) -> Option<Progress> {
        self.at_stage(self.stage + 1, agreement)
    }

    /// Returns the progress at the same stage, with other nodes added in place of nodes that left.
    pub fn again(&self, agreement: &NextAgreement<'_>) -> Option<Progress> {
        self.at_stage(self.stage, agreement)
    }

    fn at_stage(&self, number: u32, agreement: &NextAgreement<'_>) -> Option<Progress> {
        let NextAgreement {
            rollout,
            plan,
            nodes,
            agreement,
            cluster_size,
        } = *agreement;
        if plan.is_beyond(number) {
            let completed = Progress {
                agreement,
                stage: number,
                whole_cluster: true,
                cluster_size,
                ..self.clone()
            };
            return (number as usize == plan.stages.len() + 1).then_some(completed);
        }
        let stage = plan.stage(number)?;
        let mut zones: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
        nodes.iter().for_each(|(node, zone)| {
            zones
                .entry(*zone)
                .or_default()
                .push(node_position(rollout, *node))
        });
        zones.values_mut().for_each(|places| places.sort_unstable());
        let wanted = match stage.share_permille {
            0 => 1,
            share => (nodes.len() * share as usize).div_ceil(1000),
        };
        let whole_cluster = stage.share_permille == 1000;
        let mut thresholds = self.thresholds.clone();
        if !whole_cluster {
            for (zone, count) in Self::spread(rollout, &zones, wanted, plan.max_zone_permille, self)
            {
                let Some(last) = count.checked_sub(1).and_then(|at| zones[&zone].get(at)) else {
                    continue;
                };
                let threshold = thresholds.entry(zone).or_insert(*last);
                *threshold = (*threshold).max(*last);
            }
        }
        Some(Progress {
            agreement,
            stage: number,
            previous_thresholds: self.thresholds.clone(),
            thresholds,
            whole_cluster,
            cluster_size: cluster_size.max(1),
            at_ms: 0,
        })
    }

    /// Returns the number of nodes to include in each zone: in proportion to the zones' sizes, with
    /// the rest given to zones by the largest remainder and then by hash. No zone exceeds its
    /// maximum share, unless more of the zone's nodes are already included. No zone gets fewer
    /// nodes than are already included.
    fn spread(
        rollout: RolloutId,
        zones: &BTreeMap<u32, Vec<u64>>,
        wanted: usize,
        max_zone_permille: u32,
        current: &Progress,
    ) -> BTreeMap<u32, usize> {
        let all: usize = zones.values().map(Vec::len).sum();
        let max_nodes = |places: usize| match places {
            places if places <= SMALL_ZONE_NODES => 1,
            places => (places * max_zone_permille as usize / 1000).max(1),
        };
        let included = |zone: &u32, places: &[u64]| {
            let threshold = current.thresholds.get(zone).copied();
            threshold.map_or(0, |until| {
                places.iter().filter(|place| **place <= until).count()
            })
        };
        let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
        for (zone, places) in zones.iter().take(MAX_ZONES) {
            let even = wanted * places.len() / all.max(1);
            counts.insert(
                *zone,
                even.min(max_nodes(places.len()))
                    .max(included(zone, places)),
            );
        }
        let mut order: Vec<u32> = counts.keys().copied().collect();
        order.sort_by_key(|zone| {
            let remainder = wanted * zones[zone].len() % all.max(1);
            (
                std::cmp::Reverse(remainder),
                splitmix64(u64::from(*zone) ^ splitmix64(rollout.0)),
            )
        });
        while counts.values().sum::<usize>() < wanted {
            let has_room = |zone: &&u32| counts[zone] < max_nodes(zones[*zone].len());
            let Some(zone) = order.iter().find(has_room).copied() else {
                break;
            };
            *counts.entry(zone).or_default() += 1;
            // Zones take turns: a zone that was given a node goes to the end of the order.
            order.retain(|other| *other != zone);
            order.push(zone);
        }
        counts
    }
}

/// Formats a duration in seconds for operators, with one decimal below 10 s.
pub(crate) fn seconds(time: Nanos) -> String {
    if time < 10 * SECOND {
        format!("{:.1} s", time as f64 / SECOND as f64)
    } else {
        format!("{} s", time / SECOND)
    }
}

/// The shortest duration that a plan may set, in nanoseconds.
pub const MIN_STAGE_DURATION: Nanos = 100 * MILLISECOND;
/// The longest duration that a plan may set, in nanoseconds.
pub const MAX_STAGE_DURATION: Nanos = 7 * 24 * 3600 * SECOND;

#[cfg(test)]
mod tests;
