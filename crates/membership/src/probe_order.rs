//! Order of probes. Every member is probed once per round, in an order that is shuffled anew for
//! each round, so that the time until a failed member is probed is bounded.

use crate::member::MemberKey;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

/// Members in the order of the current round.
#[derive(Debug, Default)]
pub struct ProbeOrder {
    order: Vec<MemberKey>,
    next_index: usize,
}

impl ProbeOrder {
    /// Adds a member at a random position.
    pub fn insert(&mut self, rng: &mut impl Rng, key: MemberKey) {
        let position = rng.random_range(0..=self.order.len());
        self.order.push(key);
        let last = self.order.len() - 1;
        self.order.swap(position, last);
    }

    /// Removes all members.
    pub fn clear(&mut self) {
        *self = ProbeOrder::default();
    }

    /// Returns the next member for which `holds` returns true. Members for which it returns false
    /// are removed at the end of the round.
    pub fn next(
        &mut self,
        rng: &mut impl Rng,
        mut holds: impl FnMut(MemberKey) -> bool,
    ) -> Option<MemberKey> {
        for _ in 0..2 {
            while let Some(key) = self.order.get(self.next_index).copied() {
                self.next_index += 1;
                if holds(key) {
                    return Some(key);
                }
            }
            self.next_index = 0;
            self.order.retain(|key| holds(*key));
            self.order.sort_unstable(); // a member that left and returned may be listed twice
            self.order.dedup();
            self.order.shuffle(rng);
        }
        None
    }

    /// Returns up to `count_max` random members for which `holds` returns true, without repetition.
    pub fn sample(
        &self,
        rng: &mut impl Rng,
        count_max: usize,
        mut holds: impl FnMut(MemberKey) -> bool,
    ) -> Vec<MemberKey> {
        let mut sample = Vec::with_capacity(count_max);
        if self.order.len() <= 4 * count_max {
            sample.extend(self.order.iter().copied().filter(|key| holds(*key)));
            sample.sort_unstable();
            sample.dedup();
            sample.shuffle(rng);
            sample.truncate(count_max);
            return sample;
        }
        for _ in 0..4 * count_max {
            let key = self.order[rng.random_range(0..self.order.len())];
            if sample.len() < count_max && !sample.contains(&key) && holds(key) {
                sample.push(key);
            }
        }
        sample
    }
}

#[cfg(test)]
mod tests;
