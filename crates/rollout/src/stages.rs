//! The stages of a rollout: how many nodes are in each, which ones, and when each of them begins.
//!
//! Which nodes are in a stage follows from a threshold for each zone: a node is in it if the hash
//! of the rollout and its name lies at or below its zone's threshold. So all agree on who is in,
//! whatever they see of the fleet, and a node that joins in mid-rollout knows at once what its stage
//! says; and thresholds only rise, so that who is in stays in.

use crate::rollout::RolloutId;
use crate::{MILLISECOND, Nanos, SECOND, splitmix64};
use std::collections::BTreeMap;

/// Stages that a plan may have.
pub const STAGES_MAX: usize = 12;
/// Zones that are told apart in a stage; nodes of others are in the last stage only.
pub const ZONES_MAX: usize = 24;
/// A zone of no more nodes than this gives one at a time until the last stage.
const FEW: usize = 3;

/// One stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    /// The share of the fleet that runs the new version, in thousandths; 0 stands for one node.
    pub share: u32,
    /// It lasts so long at least, and for no longer than so long without a judgement.
    pub least: Nanos,
    pub longest: Nanos,
    /// Invocations that the new nodes have answered before it is judged to be well.
    pub sample: u32,
    /// The nodes of the stage begin spread over this time.
    pub spread: Nanos,
}

/// How a rollout goes out.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub stages: Vec<Stage>,
    /// No more of a zone than this is in a stage before the last, in thousandths.
    pub of_zone: u32,
    /// A share of what is asked that callers may lose to a rollout and it is still taken for good,
    /// in thousandths.
    pub margin: u32,
}

impl Default for Plan {
    fn default() -> Plan {
        let stage = |share, least, sample| Stage {
            share,
            least: least * SECOND,
            longest: 1800 * SECOND,
            sample,
            spread: 10 * SECOND,
        };
        Plan {
            stages: vec![
                stage(0, 60, 200),
                stage(50, 120, 1000),
                stage(250, 120, 2000),
                stage(500, 120, 2000),
                stage(1000, 120, 2000),
            ],
            of_zone: 500,
            margin: 20,
        }
    }
}

impl Plan {
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        if self.stages.is_empty() || self.stages.len() > STAGES_MAX {
            return Err(format!(
                "{} stages; 1 to {STAGES_MAX} are possible",
                self.stages.len()
            ));
        }
        if self
            .stages
            .windows(2)
            .any(|two| two[1].share <= two[0].share)
        {
            return Err("each stage must be larger than the one before".into());
        }
        if self.stages.last().is_none_or(|last| last.share != 1000) {
            return Err("the last stage must be the whole fleet".into());
        }
        if let Some(stage) = self.stages.iter().find(|stage| stage.least > stage.longest) {
            return Err(format!(
                "a stage lasts {} s at least and {} s at most",
                stage.least / SECOND,
                stage.longest / SECOND
            ));
        }
        if !(1..=1000).contains(&self.of_zone) || !(1..=500).contains(&self.margin) {
            return Err("a share of a zone is from 0.001 to 1, a margin from 0.001 to 0.5".into());
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
    /// The number of the agreement, among those of all rollouts of its kind; 0 while it is only
    /// offered.
    pub agreement: u64,
    /// The stage, from 1; one more than there are once it is done.
    pub stage: u32,
    /// Thresholds by zone: of the stage before, and of this one. With none for a zone nobody of it
    /// is in.
    pub before: BTreeMap<u32, u64>,
    pub until: BTreeMap<u32, u64>,
    /// Whether it is the whole fleet, in whatever zone.
    pub all: bool,
    /// How many nodes there were when it was agreed on, the most that could be seen.
    pub electorate: u32,
    /// When, by the Unix clock of who proposed it, in milliseconds.
    pub at_ms: u64,
}

/// Where a node stands in a rollout's order.
pub fn place(rollout: RolloutId, node: u64) -> u64 {
    splitmix64(node ^ splitmix64(rollout.0))
}

impl Progress {
    /// Whether a node is in the stage.
    pub fn has(&self, rollout: RolloutId, node: u64, zone: u32) -> bool {
        self.stage > 0
            && (self.all
                || self
                    .until
                    .get(&zone)
                    .is_some_and(|until| place(rollout, node) <= *until))
    }

    /// How long after it heard of the stage a node begins: those that were in before at once, the
    /// others one after the other.
    pub fn slot(&self, rollout: RolloutId, node: u64, zone: u32, spread: Nanos) -> Nanos {
        let (at, before) = (place(rollout, node), self.before.get(&zone).copied());
        if before.is_some_and(|before| at <= before) {
            return 0;
        }
        let from = before.unwrap_or(0);
        let until = if self.all {
            u64::MAX
        } else {
            self.until.get(&zone).copied().unwrap_or(u64::MAX)
        };
        let part = at.saturating_sub(from) as f64 / (until.saturating_sub(from).max(1)) as f64;
        (spread as f64 * part.clamp(0.0, 1.0)) as Nanos
    }

    /// The progress of the next stage among these nodes, by zone, as this agreement.
    pub fn next(
        &self,
        rollout: RolloutId,
        plan: &Plan,
        nodes: &[(u64, u32)],
        agreement: u64,
        electorate: u32,
    ) -> Option<Progress> {
        self.to(self.stage + 1, rollout, plan, nodes, agreement, electorate)
    }

    /// The same stage with others in place of those that are gone.
    pub fn again(
        &self,
        rollout: RolloutId,
        plan: &Plan,
        nodes: &[(u64, u32)],
        agreement: u64,
        electorate: u32,
    ) -> Option<Progress> {
        self.to(self.stage, rollout, plan, nodes, agreement, electorate)
    }

    fn to(
        &self,
        number: u32,
        rollout: RolloutId,
        plan: &Plan,
        nodes: &[(u64, u32)],
        agreement: u64,
        electorate: u32,
    ) -> Option<Progress> {
        if plan.is_beyond(number) {
            let done = Progress {
                agreement,
                stage: number,
                all: true,
                electorate,
                ..self.clone()
            };
            return (number as usize == plan.stages.len() + 1).then_some(done);
        }
        let stage = plan.stage(number)?;
        let mut zones: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
        nodes
            .iter()
            .for_each(|(node, zone)| zones.entry(*zone).or_default().push(place(rollout, *node)));
        zones.values_mut().for_each(|places| places.sort_unstable());
        let wanted = match stage.share {
            0 => 1,
            share => (nodes.len() * share as usize).div_ceil(1000),
        };
        let all = stage.share == 1000;
        let mut until = self.until.clone();
        if !all {
            for (zone, count) in Self::spread(rollout, &zones, wanted, plan.of_zone, self) {
                let Some(last) = count.checked_sub(1).and_then(|at| zones[&zone].get(at)) else {
                    continue;
                };
                let threshold = until.entry(zone).or_insert(*last);
                *threshold = (*threshold).max(*last);
            }
        }
        let (before, electorate) = (self.until.clone(), electorate.max(1));
        Some(Progress {
            agreement,
            stage: number,
            before,
            until,
            all,
            electorate,
            at_ms: 0,
        })
    }

    /// How many of each zone: by the zones' sizes, those with the largest remainder first and of
    /// these by hash, none beyond what may be of a zone, and none fewer than are in already.
    fn spread(
        rollout: RolloutId,
        zones: &BTreeMap<u32, Vec<u64>>,
        wanted: usize,
        of_zone: u32,
        before: &Progress,
    ) -> BTreeMap<u32, usize> {
        let all: usize = zones.values().map(Vec::len).sum();
        let most = |places: usize| match places {
            places if places <= FEW => 1,
            places => (places * of_zone as usize / 1000).max(1),
        };
        let held = |zone: &u32, places: &[u64]| {
            let threshold = before.until.get(zone).copied();
            threshold.map_or(0, |until| {
                places.iter().filter(|place| **place <= until).count()
            })
        };
        let mut counts: BTreeMap<u32, usize> = BTreeMap::new();
        for (zone, places) in zones.iter().take(ZONES_MAX) {
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

/// Times of plans lie within this.
pub const LEAST_MIN: Nanos = 100 * MILLISECOND;
pub const LONGEST_MAX: Nanos = 7 * 24 * 3600 * SECOND;

#[cfg(test)]
mod tests;
