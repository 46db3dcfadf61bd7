//! Allocation of units to the nodes that request them. No node gets more than it requests while the
//! demand of another node is unmet. If units are short, zones get shares in proportion to their
//! number of nodes, and within a zone a node with a higher value gets more. A node whose value is 0
//! has a share too, which rounding to whole units may reduce to nothing.

use std::collections::BTreeMap;

/// Upper bound of a node's value in its weight.
const MAX_VALUE: f64 = 1e6;
/// Added to every value, so that a node whose value is 0 has a weight.
const BASE_WEIGHT: f64 = 0.1;

/// A node's request for units.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Number of the node's zone.
    pub zone: u32,
    /// Number of units requested.
    pub units: u32,
    /// The value of a unit to the node, relative to other nodes; at least 0.
    pub value: f64,
}

/// A request for units, with its weight.
#[derive(Clone, Copy)]
struct WeightedDemand {
    units: u32,
    weight: f64,
}

/// Divides `pool` by weight into whole units, to each node at most its demand. Units left over by
/// rounding go to the largest remainders; ties go to the first in order.
fn share_by_weight(pool: u32, demands: &[WeightedDemand]) -> Vec<u32> {
    let mut shares = vec![0u32; demands.len()];
    let mut remaining = pool;
    loop {
        let unmet: Vec<usize> = (0..demands.len())
            .filter(|&n| shares[n] < demands[n].units)
            .collect();
        if remaining == 0 || unmet.is_empty() {
            return shares;
        }
        let total_weight: f64 = unmet.iter().map(|&n| demands[n].weight).sum();
        let share = |n: usize| f64::from(remaining) * demands[n].weight / total_weight;
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
        let mut allocated = 0;
        for (n, units, _) in &round {
            shares[*n] += units;
            allocated += units;
        }
        remaining -= allocated;
        if allocated == 0 {
            // Every share is below one unit: the largest remainders get one unit each.
            round.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.0.cmp(&b.0)));
            for (n, _, _) in round {
                if remaining > 0 {
                    shares[n] += 1;
                    remaining -= 1;
                }
            }
        }
    }
}

/// Allocates `pool` units and returns the units of each node, in the order of the demands. Units
/// that no node requests are spread evenly, so that a node whose load rises has some at once.
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
    // A zone's weight is its number of nodes, so that a node's claim does not depend on its zone.
    let zone_demands: Vec<WeightedDemand> = zones
        .values()
        .map(|members| WeightedDemand {
            units: total(members),
            weight: members.len() as f64,
        })
        .collect();
    let zone_pools = share_by_weight(pool, &zone_demands);
    let mut shares = vec![0; demands.len()];
    for (members, zone_pool) in zones.values().zip(zone_pools) {
        let member_demands: Vec<WeightedDemand> = members
            .iter()
            .map(|&n| WeightedDemand {
                units: demands[n].units,
                weight: demands[n].value.clamp(0.0, MAX_VALUE) + BASE_WEIGHT,
            })
            .collect();
        members
            .iter()
            .zip(share_by_weight(zone_pool, &member_demands))
            .for_each(|(&n, units)| shares[n] = units);
    }
    let spare = pool - shares.iter().sum::<u32>();
    let even_demands: Vec<WeightedDemand> = demands
        .iter()
        .map(|_| WeightedDemand {
            units: u32::MAX / 2,
            weight: 1.0,
        })
        .collect();
    shares
        .iter_mut()
        .zip(share_by_weight(spare, &even_demands))
        .for_each(|(units, more)| *units += more);
    shares
}

#[cfg(test)]
mod tests;
