//! The stages of a rollout: how many nodes are in each, which ones, and when each of them starts.
//!
//! Which nodes a stage includes follows from a threshold for each zone: a node is included if the hash
//! of the rollout and its name is at or below its zone's threshold. So all nodes agree on it, whatever
//! they see of the cluster, and a node that joins during a rollout knows at once whether it is included;
//! and thresholds only rise, so that a node that is included stays included.

use crate::identifiers::RolloutId;
use crate::{MILLISECOND, Nanos, SECOND, splitmix64};
use std::collections::BTreeMap;

/// Stages that a plan may have.
pub const MAX_STAGES: usize = 12;
/// Zones that a stage distinguishes; nodes of others are in the last stage only.
pub const MAX_ZONES: usize = 24;
/// A zone of no more nodes than this gives one at a time until the last stage.
const SMALL_ZONE_NODES: usize = 3;

/// Why a plan can't be followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The number of stages is out of bounds.
    #[error("{0} stages; 1 to {MAX_STAGES} are possible")]
    StageCount(usize),
    /// A stage has no larger share than the one before it.
    #[error("each stage must be larger than the one before")]
    StageNotLarger,
    /// The last stage leaves nodes out.
    #[error("the last stage must be the whole fleet")]
    LastStageNotWhole,
    /// A stage's least duration is above its longest.
    #[error("a stage lasts {} s at least and {} s at most", min / SECOND, max / SECOND)]
    Durations {
        /// The least duration.
        min: Nanos,
        /// The longest duration.
        max: Nanos,
    },
    /// The share of a zone or the margin is out of bounds.
    #[error("a share of a zone is from 0.001 to 1, a margin from 0.001 to 0.5")]
    Shares,
}

/// One stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    /// The share of the cluster that runs the new version, in thousandths; 0 stands for one node.
    pub share_permille: u32,
    /// The stage lasts at least this long.
    pub min_duration: Nanos,
    /// Without a verdict the rollout is halted after this.
    pub max_duration: Nanos,
    /// Requests at the canary nodes before the stage can be fine.
    pub min_requests: u32,
    /// The nodes of the stage start spread over this time.
    pub start_spread: Nanos,
}

/// How a rollout goes out.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The stages, each larger than the one before.
    pub stages: Vec<Stage>,
    /// The most of a zone in a stage before the last, in thousandths.
    pub max_zone_permille: u32,
    /// The share of priority weight that a version may lose and still count as fine, in thousandths.
    pub margin_permille: u32,
}

impl Default for Plan {
    fn default() -> Plan {
        let stage = |share, least, sample| Stage {
            share_permille: share,
            min_duration: least * SECOND,
            max_duration: 1800 * SECOND,
            min_requests: sample,
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
    /// Checks the plan against its bounds.
    pub fn check(&self) -> Result<(), PlanError> {
        if self.stages.is_empty() || self.stages.len() > MAX_STAGES {
            return Err(PlanError::StageCount(self.stages.len()));
        }
        let grows = |two: &[Stage]| two[1].share_permille > two[0].share_permille;
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

    /// The stage of this number, from 1.
    pub fn stage(&self, number: u32) -> Option<&Stage> {
        self.stages.get((number as usize).checked_sub(1)?)
    }

    /// Whether it is the last one.
    pub fn is_last(&self, number: u32) -> bool {
        number as usize == self.stages.len()
    }

    /// Whether it is beyond the last one: done.
    pub fn is_beyond(&self, number: u32) -> bool {
        number as usize > self.stages.len()
    }
}

/// How far a rollout has reached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Progress {
    /// The number of the agreement, among those of all rollouts of its kind; 0 while it is only offered.
    pub agreement: u64,
    /// The stage, from 1; one more than the plan has once it is completed.
    pub stage: u32,
    /// Thresholds of the stage before, by zone.
    pub previous_thresholds: BTreeMap<u32, u64>,
    /// Thresholds of this stage, by zone; of a zone without one no node is included.
    pub thresholds: BTreeMap<u32, u64>,
    /// Whether all nodes are included, in whatever zone.
    pub whole_cluster: bool,
    /// How many nodes the cluster was agreed to have.
    pub cluster_size: u32,
    /// When it was proposed, Unix milliseconds of the proposer.
    pub at_ms: u64,
}

/// What the next progress of a rollout is drawn from.
#[derive(Clone, Copy, Debug)]
pub struct NextAgreement<'a> {
    /// The rollout.
    pub rollout: RolloutId,
    /// Its plan.
    pub plan: &'a Plan,
    /// The present nodes: key and zone.
    pub nodes: &'a [(u64, u32)],
    /// The number that the agreement gets.
    pub agreement: u64,
    /// How many nodes the cluster is taken to have.
    pub cluster_size: u32,
}

/// A node's place in a rollout's order: low places come first.
pub fn node_position(rollout: RolloutId, node: u64) -> u64 {
    splitmix64(node ^ splitmix64(rollout.0))
}

impl Progress {
    /// Whether the stage includes a node.
    pub fn includes(&self, rollout: RolloutId, node: u64, zone: u32) -> bool {
        self.stage > 0
            && (self.whole_cluster
                || self
                    .thresholds
                    .get(&zone)
                    .is_some_and(|until| node_position(rollout, node) <= *until))
    }

    /// How long after it first saw the stage a node starts: those of the stage before at once, the others
    /// one after the other.
    pub fn slot(&self, rollout: RolloutId, node: u64, zone: u32, spread: Nanos) -> Nanos {
        let (at, before) = (
            node_position(rollout, node),
            self.previous_thresholds.get(&zone).copied(),
        );
        if before.is_some_and(|before| at <= before) {
            return 0;
        }
        let from = before.unwrap_or(0);
        let until = if self.whole_cluster {
            u64::MAX
        } else {
            self.thresholds.get(&zone).copied().unwrap_or(u64::MAX)
        };
        let part = at.saturating_sub(from) as f64 / (until.saturating_sub(from).max(1)) as f64;
        (spread as f64 * part.clamp(0.0, 1.0)) as Nanos
    }

    /// The progress at the next stage, as this agreement; none past the end of the plan.
    pub fn next(&self, agreement: &NextAgreement<'_>) -> Option<Progress> {
        self.at_stage(self.stage + 1, agreement)
    }

    /// The same stage with other nodes in place of those that are gone.
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

    /// How many of each zone: by the zones' sizes, those with the largest remainder first and of
    /// these by hash, none beyond what may be of a zone, and none fewer than are in already.
    fn spread(
        rollout: RolloutId,
        zones: &BTreeMap<u32, Vec<u64>>,
        wanted: usize,
        max_zone_permille: u32,
        current: &Progress,
    ) -> BTreeMap<u32, usize> {
        let all: usize = zones.values().map(Vec::len).sum();
        let most = |places: usize| match places {
            places if places <= SMALL_ZONE_NODES => 1,
            places => (places * max_zone_permille as usize / 1000).max(1),
        };
        let held = |zone: &u32, places: &[u64]| {
            let threshold = current.thresholds.get(zone).copied();
            threshold.map_or(0, |until| {
                places.iter().filter(|place| **place <= until).count()
            })
        };
        let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
        for (zone, places) in zones.iter().take(MAX_ZONES) {
            let even = wanted * places.len() / all.max(1);
            counts.insert(*zone, even.min(most(places.len())).max(held(zone, places)));
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
            let room = |zone: &&u32| counts[zone] < most(zones[*zone].len());
            let Some(zone) = order.iter().find(room).copied() else {
                break;
            };
            *counts.entry(zone).or_default() += 1;
            // Each takes its turn.
            order.retain(|other| *other != zone);
            order.push(zone);
        }
        counts
    }
}

/// A time as people read it.
pub(crate) fn seconds(time: Nanos) -> String {
    if time < 10 * SECOND {
        format!("{:.1} s", time as f64 / SECOND as f64)
    } else {
        format!("{} s", time / SECOND)
    }
}

/// The shortest duration that a plan may set.
pub const MIN_STAGE_DURATION: Nanos = 100 * MILLISECOND;
/// The longest duration that a plan may set.
pub const MAX_STAGE_DURATION: Nanos = 7 * 24 * 3600 * SECOND;

#[cfg(test)]
mod tests;
