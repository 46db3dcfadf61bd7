//! The stages of a change: how many nodes are in each, which ones, and when each of them begins.
//!
//! Which nodes are in a stage follows from a threshold for each zone: a node is in it if the hash
//! of the change and its name lies at or below its zone's threshold. So all agree on who is in,
//! whatever they see of the fleet, and a node that joins in mid-change knows at once what its stage
//! says; and thresholds only rise, so that who is in stays in.

use crate::change::ChangeId;
use crate::{MILLISECOND, Nanos, SECOND, mix};
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

/// How a change goes out.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub stages: Vec<Stage>,
    /// No more of a zone than this is in a stage before the last, in thousandths.
    pub of_zone: u32,
    /// A share of what is asked that callers may lose to a change and it is still taken for good,
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

/// How far a change has reached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Reach {
    /// The number of the agreement, among those of all changes of its kind; 0 while it is only
    /// offered.
    pub seq: u64,
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

/// Where a node stands in a change's order.
pub fn place(change: ChangeId, node: u64) -> u64 {
    mix(node ^ mix(change.0))
}

impl Reach {
    /// Whether a node is in the stage.
    pub fn has(&self, change: ChangeId, node: u64, zone: u32) -> bool {
        self.stage > 0
            && (self.all
                || self
                    .until
                    .get(&zone)
                    .is_some_and(|until| place(change, node) <= *until))
    }

    /// How long after it heard of the stage a node begins: those that were in before at once, the
    /// others one after the other.
    pub fn slot(&self, change: ChangeId, node: u64, zone: u32, spread: Nanos) -> Nanos {
        let (at, before) = (place(change, node), self.before.get(&zone).copied());
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

    /// The reach of the next stage among these nodes, by zone, as this agreement.
    pub fn next(
        &self,
        change: ChangeId,
        plan: &Plan,
        nodes: &[(u64, u32)],
        seq: u64,
        electorate: u32,
    ) -> Option<Reach> {
        self.to(self.stage + 1, change, plan, nodes, seq, electorate)
    }

    /// The same stage with others in place of those that are gone.
    pub fn again(
        &self,
        change: ChangeId,
        plan: &Plan,
        nodes: &[(u64, u32)],
        seq: u64,
        electorate: u32,
    ) -> Option<Reach> {
        self.to(self.stage, change, plan, nodes, seq, electorate)
    }

    fn to(
        &self,
        number: u32,
        change: ChangeId,
        plan: &Plan,
        nodes: &[(u64, u32)],
        seq: u64,
        electorate: u32,
    ) -> Option<Reach> {
        if plan.is_beyond(number) {
            let done = Reach {
                seq,
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
            .for_each(|(node, zone)| zones.entry(*zone).or_default().push(place(change, *node)));
        zones.values_mut().for_each(|places| places.sort_unstable());
        let wanted = match stage.share {
            0 => 1,
            share => (nodes.len() * share as usize).div_ceil(1000),
        };
        let all = stage.share == 1000;
        let mut until = self.until.clone();
        if !all {
            for (zone, count) in Self::spread(change, &zones, wanted, plan.of_zone, self) {
                let Some(last) = count.checked_sub(1).and_then(|at| zones[&zone].get(at)) else {
                    continue;
                };
                let threshold = until.entry(zone).or_insert(*last);
                *threshold = (*threshold).max(*last);
            }
        }
        let (before, electorate) = (self.until.clone(), electorate.max(1));
        Some(Reach {
            seq,
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
        change: ChangeId,
        zones: &BTreeMap<u32, Vec<u64>>,
        wanted: usize,
        of_zone: u32,
        before: &Reach,
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
                mix(u64::from(*zone) ^ mix(change.0)),
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
mod tests {
    use super::*;

    const CHANGE: ChangeId = ChangeId(77);

    fn fleet(nodes: u64, zones: u64) -> Vec<(u64, u32)> {
        (0..nodes).map(|n| (mix(n), (n % zones) as u32)).collect()
    }

    fn of_zone(reach: &Reach, nodes: &[(u64, u32)], zone: u32) -> usize {
        nodes
            .iter()
            .filter(|(node, of)| *of == zone && reach.has(CHANGE, *node, zone))
            .count()
    }

    fn plan(shares: &[u32], of_zone: u32) -> Plan {
        let stage = Plan::default().stages[0];
        let stages = shares
            .iter()
            .map(|share| Stage {
                share: *share,
                ..stage
            })
            .collect();
        Plan {
            stages,
            of_zone,
            ..Plan::default()
        }
    }

    #[test]
    fn stages_are_spread_over_zones_and_who_is_in_stays_in() {
        for change in 0..50 {
            let change = ChangeId(change);
            let (nodes, plan) = (fleet(100, 4), plan(&[0, 50, 200, 500, 1000], 500));
            let mut reach = Reach::default();
            let mut before: Vec<u64> = Vec::new();
            // Half of each of four zones of 25 is 12.
            for (at, wanted) in [1, 5, 20, 48, 100].into_iter().enumerate() {
                reach = reach
                    .next(change, &plan, &nodes, at as u64 + 1, 100)
                    .unwrap();
                let now: Vec<u64> = nodes
                    .iter()
                    .filter(|(n, z)| reach.has(change, *n, *z))
                    .map(|(n, _)| *n)
                    .collect();
                assert_eq!(
                    (reach.stage, now.len()),
                    (at as u32 + 1, wanted),
                    "{change:?}"
                );
                assert!(
                    before.iter().all(|node| now.contains(node)),
                    "who was in is in"
                );
                if wanted < 100 {
                    let by_zone = (0..4).map(|zone| {
                        nodes
                            .iter()
                            .filter(|(n, z)| *z == zone && reach.has(change, *n, *z))
                            .count()
                    });
                    let by_zone: Vec<usize> = by_zone.collect();
                    let (least, most) =
                        (by_zone.iter().min().unwrap(), by_zone.iter().max().unwrap());
                    assert!(most - least <= 1, "{by_zone:?}");
                }
                before = now;
            }
            let done = reach.next(change, &plan, &nodes, 6, 100).unwrap();
            assert!(
                plan.is_beyond(done.stage) && done.next(change, &plan, &nodes, 7, 100).is_none()
            );
        }
    }

    #[test]
    fn a_zone_gives_no_more_than_may_be_of_it_and_one_of_few() {
        // One zone of 12, one of 3, one of 2.
        let nodes: Vec<(u64, u32)> = (0..17)
            .map(|n| {
                (
                    mix(n),
                    if n < 12 {
                        0
                    } else if n < 15 {
                        1
                    } else {
                        2
                    },
                )
            })
            .collect();
        let reach = Reach::default()
            .next(CHANGE, &plan(&[900, 1000], 250), &nodes, 1, 17)
            .unwrap();
        let counts = [0, 1, 2].map(|zone| of_zone(&reach, &nodes, zone));
        assert_eq!(counts, [3, 1, 1]);
        let last = reach
            .next(CHANGE, &plan(&[900, 1000], 250), &nodes, 1, 17)
            .unwrap();
        assert_eq!(
            [0, 1, 2].map(|zone| of_zone(&last, &nodes, zone)),
            [12, 3, 2]
        );
        assert!(last.has(CHANGE, 999, 7), "and whoever comes, from wherever");
    }

    #[test]
    fn nodes_that_join_are_in_by_their_place_and_nodes_begin_one_after_the_other() {
        let nodes = fleet(300, 3);
        let plan = plan(&[200, 1000], 500);
        let reach = Reach::default()
            .next(CHANGE, &plan, &nodes, 1, 300)
            .unwrap();
        let joined = (1000..4000u64)
            .filter(|n| reach.has(CHANGE, mix(*n), 1))
            .count();
        assert!(
            (450..750).contains(&joined),
            "about a fifth of 3,000: {joined}"
        );
        let mut slots: Vec<Nanos> = nodes
            .iter()
            .filter(|(node, zone)| reach.has(CHANGE, *node, *zone))
            .map(|(node, zone)| reach.slot(CHANGE, *node, *zone, 10 * SECOND))
            .collect();
        slots.sort_unstable();
        assert!(slots[0] < 2 * SECOND && slots[slots.len() - 1] <= 10 * SECOND);
        assert!(
            slots.windows(2).all(|two| two[1] - two[0] < 3 * SECOND),
            "{slots:?}"
        );
        let last = reach.next(CHANGE, &plan, &nodes, 1, 300).unwrap();
        let (node, zone) = *nodes
            .iter()
            .find(|(node, zone)| reach.has(CHANGE, *node, *zone))
            .unwrap();
        assert_eq!(
            last.slot(CHANGE, node, zone, 10 * SECOND),
            0,
            "one that was in does not begin again"
        );
    }

    #[test]
    fn others_take_the_place_of_nodes_that_are_gone() {
        let (nodes, plan) = (fleet(30, 3), plan(&[0, 100, 1000], 500));
        let first = Reach::default().next(CHANGE, &plan, &nodes, 1, 30).unwrap();
        let is_in = |reach: &Reach| -> Vec<(u64, u32)> {
            nodes
                .iter()
                .filter(|(node, zone)| reach.has(CHANGE, *node, *zone))
                .copied()
                .collect()
        };
        let gone = is_in(&first)[0];
        let left: Vec<(u64, u32)> = nodes
            .iter()
            .filter(|node| **node != gone)
            .copied()
            .collect();
        let again = first.again(CHANGE, &plan, &left, 2, 30).unwrap();
        let now = is_in(&again);
        assert_eq!(
            (again.stage, now.len()),
            (1, 2),
            "the one that is gone, and another one"
        );
        assert!(now.contains(&gone));
    }

    #[test]
    fn plans_that_make_no_sense_are_refused() {
        assert_eq!(Plan::default().check(), Ok(()));
        for (shares, told) in [
            (&[][..], "0 stages"),
            (&[100, 100, 1000], "larger than the one before"),
            (&[0, 500], "the whole fleet"),
        ] {
            assert!(
                plan(shares, 500).check().unwrap_err().contains(told),
                "{shares:?}"
            );
        }
        assert!(
            plan(&[1000], 0).check().is_err()
                && Plan {
                    margin: 0,
                    ..Plan::default()
                }
                .check()
                .is_err()
        );
        let stage = Stage {
            least: 2 * SECOND,
            longest: SECOND,
            ..Plan::default().stages[4]
        };
        assert!(
            Plan {
                stages: vec![stage],
                ..Plan::default()
            }
            .check()
            .unwrap_err()
            .contains("2 s at least")
        );
    }
}
