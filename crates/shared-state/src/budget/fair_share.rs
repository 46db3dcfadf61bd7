//! How what there is is shared out among those who ask for it: nobody gets more than it asks for
//! while others lack; where it is short, zones get even parts first and within a zone the more
//! valued asks get more, and none gets nothing.

use std::collections::BTreeMap;

/// What a node asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    pub zone: u32,
    /// Units.
    pub wants: u32,
    /// How much a unit is worth to it, against others; 0 counts as the least.
    pub value: f64,
}

/// Shares `room` out by weight, to each at most what it wants, in whole units; leftovers of
/// rounding go to the largest remainders, the first ones first.
fn fill(room: u32, asks: &[(u32, f64)]) -> Vec<u32> {
    let mut given = vec![0u32; asks.len()];
    let mut left = room;
    loop {
        let open: Vec<usize> = (0..asks.len()).filter(|&n| given[n] < asks[n].0).collect();
        if left == 0 || open.is_empty() {
            return given;
        }
        let weight: f64 = open.iter().map(|&n| asks[n].1).sum();
        let share = |n: usize| f64::from(left) * asks[n].1 / weight;
        let mut parts: Vec<(usize, u32, f64)> = open
            .iter()
            .map(|&n| {
                let whole = share(n).floor() as u32;
                (
                    n,
                    whole.min(asks[n].0 - given[n]),
                    share(n) - share(n).floor(),
                )
            })
            .collect();
        let mut spent = 0;
        for (n, part, _) in &parts {
            given[*n] += part;
            spent += part;
        }
        left -= spent;
        if spent == 0 {
            // Less than a unit each: by the largest remainder.
            parts.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.0.cmp(&b.0)));
            for (n, _, _) in parts {
                if left > 0 {
                    given[n] += 1;
                    left -= 1;
                }
            }
        }
    }
}

/// Shares out; gives the units of each, in the order of the demands. What nobody asks for is spread
/// evenly, so that a node whose load rises finds some at once.
pub fn allot(room: u32, demands: &[Demand]) -> Vec<u32> {
    let mut zones: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
    demands
        .iter()
        .enumerate()
        .for_each(|(n, demand)| zones.entry(demand.zone).or_default().push(n));
    let wants = |members: &[usize]| {
        members
            .iter()
            .map(|&n| demands[n].wants)
            .fold(0u32, u32::saturating_add)
    };
    // Zones weigh by their members, so that each node has an even claim wherever it is.
    let of_zones: Vec<(u32, f64)> = zones
        .values()
        .map(|members| (wants(members), members.len() as f64))
        .collect();
    let rooms = fill(room, &of_zones);
    let mut given = vec![0; demands.len()];
    for (members, room) in zones.values().zip(rooms) {
        let value = |n: usize| demands[n].value.clamp(0.0, 1e6) + 0.1;
        let asks: Vec<(u32, f64)> = members
            .iter()
            .map(|&n| (demands[n].wants, value(n)))
            .collect();
        members
            .iter()
            .zip(fill(room, &asks))
            .for_each(|(&n, units)| given[n] = units);
    }
    let spare = room - given.iter().sum::<u32>();
    let evenly: Vec<(u32, f64)> = demands.iter().map(|_| (u32::MAX / 2, 1.0)).collect();
    given
        .iter_mut()
        .zip(fill(spare, &evenly))
        .for_each(|(units, more)| *units += more);
    given
}

#[cfg(test)]
mod tests;
