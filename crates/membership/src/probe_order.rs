//! Who is asked next: every member once in each round, in an order drawn anew for each, so that the
//! time until a dead one is asked has a bound.

use crate::member::MemberKey;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

/// The order of a round.
#[derive(Debug, Default)]
pub struct ProbeOrder {
    order: Vec<MemberKey>,
    at: usize,
}

impl ProbeOrder {
    /// A member came: it gets a place by chance.
    pub fn insert(&mut self, rng: &mut impl Rng, key: MemberKey) {
        let place = rng.random_range(0..=self.order.len());
        self.order.push(key);
        let last = self.order.len() - 1;
        self.order.swap(place, last);
    }

    /// Everybody is gone.
    pub fn clear(&mut self) {
        *self = ProbeOrder::default();
    }

    /// The next one for whom this holds. Those for whom it does not hold any more leave at the
    /// round's end.
    pub fn next(
        &mut self,
        rng: &mut impl Rng,
        mut holds: impl FnMut(MemberKey) -> bool,
    ) -> Option<MemberKey> {
        for _ in 0..2 {
            while let Some(key) = self.order.get(self.at).copied() {
                self.at += 1;
                if holds(key) {
                    return Some(key);
                }
            }
            self.at = 0;
            self.order.retain(|key| holds(*key));
            self.order.sort_unstable(); // one that left and came again may stand here twice
            self.order.dedup();
            self.order.shuffle(rng);
        }
        None
    }

    /// Some of them by chance, for whom this holds; no one twice.
    pub fn some(
        &self,
        rng: &mut impl Rng,
        most: usize,
        mut holds: impl FnMut(MemberKey) -> bool,
    ) -> Vec<MemberKey> {
        let mut some = Vec::with_capacity(most);
        if self.order.len() <= 4 * most {
            some.extend(self.order.iter().copied().filter(|key| holds(*key)));
            some.sort_unstable();
            some.dedup();
            some.shuffle(rng);
            some.truncate(most);
            return some;
        }
        for _ in 0..4 * most {
            let key = self.order[rng.random_range(0..self.order.len())];
            if some.len() < most && !some.contains(&key) && holds(key) {
                some.push(key);
            }
        }
        some
    }
}

#[cfg(test)]
mod tests;
