//! Who is asked next: every member once in each round, in an order drawn anew for each, so that the
//! time until a dead one is asked has a bound.

use crate::member::Key;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

/// The order of a round.
#[derive(Debug, Default)]
pub struct Round {
    order: Vec<Key>,
    at: usize,
}

impl Round {
    /// A member came: it gets a place by chance.
    pub fn insert(&mut self, rng: &mut impl Rng, key: Key) {
        let place = rng.random_range(0..=self.order.len());
        self.order.push(key);
        let last = self.order.len() - 1;
        self.order.swap(place, last);
    }

    /// Everybody is gone.
    pub fn clear(&mut self) {
        *self = Round::default();
    }

    /// The next one for whom this holds. Those for whom it does not hold any more leave at the
    /// round's end.
    pub fn next(&mut self, rng: &mut impl Rng, mut holds: impl FnMut(Key) -> bool) -> Option<Key> {
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
        mut holds: impl FnMut(Key) -> bool,
    ) -> Vec<Key> {
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
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_pcg::Pcg64Mcg;
    use std::collections::BTreeSet;

    #[test]
    fn all_are_asked_in_each_round_and_the_gone_are_not() {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut round = Round::default();
        (1..=50).for_each(|n| round.insert(&mut rng, Key(n)));
        round.insert(&mut rng, Key(7)); // came again
        let mut orders = Vec::new();
        while round.at < round.order.len() {
            round.next(&mut rng, |_| true);
        }
        for _ in 0..3 {
            let order: Vec<Key> = (0..50)
                .filter_map(|_| round.next(&mut rng, |_| true))
                .collect();
            assert_eq!(order.iter().collect::<BTreeSet<_>>().len(), 50);
            orders.push(order);
        }
        assert_ne!(orders[0], orders[1]);
        let few: BTreeSet<Key> = (0..9)
            .filter_map(|_| round.next(&mut rng, |key| key.0 <= 3))
            .collect();
        assert_eq!(few.len(), 3);
        assert_eq!(round.next(&mut rng, |_| false), None);
        assert_eq!(round.order.len(), 0);
    }

    #[test]
    fn some_by_chance_are_different_ones_for_whom_it_holds() {
        let mut rng = Pcg64Mcg::seed_from_u64(2);
        let mut round = Round::default();
        (1..=100).for_each(|n| round.insert(&mut rng, Key(n)));
        let mut all = BTreeSet::new();
        for _ in 0..500 {
            let some = round.some(&mut rng, 3, |key| key.0 > 50);
            assert!(some.iter().all(|key| key.0 > 50) && some.len() <= 3);
            assert_eq!(some.iter().collect::<BTreeSet<_>>().len(), some.len());
            all.extend(some);
        }
        assert_eq!(all.len(), 50);
    }
}
