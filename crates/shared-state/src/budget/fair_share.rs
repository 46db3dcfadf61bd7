//! How units are shared among those who request them: nobody gets more than it requests while others
//! lack; where units are short, zones get even shares first, within a zone nodes with a higher value
//! get more, and no node with a request gets nothing if units allow.

use std::collections::BTreeMap;

/// The most that a node's value weighs.
const MAX_VALUE: f64 = 1e6;
/// The weight of a node whose value is 0; added to all values.
const BASE_WEIGHT: f64 = 0.1;

/// What a node requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Its zone.
    pub zone: u32,
    /// Units.
    pub units: u32,
    /// The value of a unit to it, compared with others; 0 is the least.
    pub value: f64,
}

/// A request for units, with its weight.
#[derive(Clone, Copy)]
struct WeightedDemand {
    units: u32,
    weight: f64,
}

/// Shares `pool` by weight, to each at most its demand, in whole units; what rounding leaves goes to
/// the largest remainders, the first ones first.
fn share_by_weight(pool: u32, demands: &[WeightedDemand]) -> Vec<u32> {
    let mut shares = vec![0u32; demands.len()];
    let mut left = pool;
    loop {
        let unmet: Vec<usize> = (0..demands.len())
            .filter(|&n| shares[n] < demands[n].units)
            .collect();
        if left == 0 || unmet.is_empty() {
            return shares;
        }
        let total_weight: f64 = unmet.iter().map(|&n| demands[n].weight).sum();
        let share = |n: usize| f64::from(left) * demands[n].weight / total_weight;
        let mut round: Vec<(usize, u32, f64)> = unmet
            .iter()
            .map(|&n| {
                let whole = share(n).floor() as u32;
                (
                    n,
                    whole.min(demands[n].units - shares[n]),
                    share(n) - share(n).floor(),
                )
            })
            .collect();
        let mut given = 0;
        for (n, units, _) in &round {
            shares[*n] += units;
            given += units;
        }
        left -= given;
        if given == 0 {
            // Less than a unit each: by the largest remainder.
            round.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.0.cmp(&b.0)));
            for (n, _, _) in round {
                if left > 0 {
                    shares[n] += 1;
                    left -= 1;
                }
            }
        }
    }
}

/// Shares `pool` units; returns the units of each, in the order of the demands. Units that nobody
/// requests are spread evenly, so that a node whose load rises finds some at once.
pub fn allocate(pool: u32, demands: &[Demand]) -> Vec<u32> {
    let mut zones: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
    demands
        .iter()
        .enumerate()
        .for_each(|(n, demand)| zones.entry(demand.zone).or_default().push(n));
    let total = |members: &[usize]| {
        members
            .iter()
            .map(|&n| demands[n].units)
            .fold(0u32, u32::saturating_add)
    };
    // Zones weigh by their members, so that each node has an even claim wherever it is.
    let of_zones: Vec<WeightedDemand> = zones
        .values()
        .map(|members| WeightedDemand {
            units: total(members),
            weight: members.len() as f64,
        })
        .collect();
    let zone_pools = share_by_weight(pool, &of_zones);
    let mut shares = vec![0; demands.len()];
    for (members, zone_pool) in zones.values().zip(zone_pools) {
        let of_members: Vec<WeightedDemand> = members
            .iter()
            .map(|&n| WeightedDemand {
                units: demands[n].units,
                weight: demands[n].value.clamp(0.0, MAX_VALUE) + BASE_WEIGHT,
            })
            .collect();
        members
            .iter()
            .zip(share_by_weight(zone_pool, &of_members))
            .for_each(|(&n, units)| shares[n] = units);
    }
    let spare = pool - shares.iter().sum::<u32>();
    let evenly: Vec<WeightedDemand> = demands
        .iter()
        .map(|_| WeightedDemand {
            units: u32::MAX / 2,
            weight: 1.0,
        })
        .collect();
    shares
        .iter_mut()
        .zip(share_by_weight(spare, &evenly))
        .for_each(|(units, more)| *units += more);
    shares
}

#[cfg(test)]
mod tests;
