//! Order of probes: every member once a round, in an order shuffled anew for each round, so that
//! the time until a dead member is probed is bounded.

use crate::member::MemberKey;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

/// Members in the order of the present round.
#[derive(Debug, Default)]
pub struct ProbeOrder {
    order: Vec<MemberKey>,
    next_index: usize,
}

impl ProbeOrder {
    /// Adds a member at a random position.
    pub fn insert(&mut self, rng: &mut impl Rng, key: MemberKey) {
        let place = rng.random_range(0..=self.order.len());
        self.order.push(key);
        let last = self.order.len() - 1;
        self.order.swap(place, last);
    }

    /// Removes all members.
    pub fn clear(&mut self) {
        *self = ProbeOrder::default();
    }

    /// The next member for which `holds` is true. Members for which it is false are removed at the
    /// end of the round.
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

    /// Up to `most` random members for which `holds` is true, without repetition.
    pub fn sample(
        &self,
        rng: &mut impl Rng,
        most: usize,
        mut holds: impl FnMut(MemberKey) -> bool,
    ) -> Vec<MemberKey> {
        let mut sample = Vec::with_capacity(most);
        if self.order.len() <= 4 * most {
            sample.extend(self.order.iter().copied().filter(|key| holds(*key)));
            sample.sort_unstable();
            sample.dedup();
            sample.shuffle(rng);
            sample.truncate(most);
            return sample;
        }
        for _ in 0..4 * most {
            let key = self.order[rng.random_range(0..self.order.len())];
            if sample.len() < most && !sample.contains(&key) && holds(key) {
                sample.push(key);
            }
        }
        sample
    }
}

#[cfg(test)]
mod tests;
