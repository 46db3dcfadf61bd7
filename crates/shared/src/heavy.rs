//! Which keys come most, in little memory: a Misra-Gries summary. Of a key that came n times among
//! all it holds at most n, and at least n less the error, which is at most all that came divided by
//! one more than the entries. Summaries of several processes add up to one with the same promise
//! for all of them together (Agarwal and others, Mergeable summaries, 2012).

use std::collections::BTreeMap;

/// Entries of a summary: keys with more than one in 25 of all that came are surely in it.
pub const ENTRIES: usize = 24;

/// A summary.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heavy {
    /// All that came.
    pub total: u64,
    entries: BTreeMap<u64, u64>,
}

impl Heavy {
    /// As it was told; what is beyond its bounds is not taken.
    pub fn of(total: u64, entries: impl Iterator<Item = (u64, u64)>) -> Heavy {
        let mut heavy = Heavy {
            total,
            entries: BTreeMap::new(),
        };
        for (key, count) in entries.take(ENTRIES) {
            heavy.entries.insert(key, count.min(total));
        }
        heavy
    }

    /// A key came so often.
    pub fn add(&mut self, key: u64, times: u64) {
        self.total = self.total.saturating_add(times);
        if self.entries.len() < ENTRIES || self.entries.contains_key(&key) {
            let count = self.entries.entry(key).or_default();
            *count = count.saturating_add(times);
            return;
        }
        // It stands against all others alike: what is gone with it is gone from each of them.
        let less = self.entries.values().copied().min().unwrap_or(0).min(times);
        self.entries.retain(|_, count| {
            *count -= less;
            *count > 0
        });
        if times > less {
            self.entries.insert(key, times - less);
        }
    }

    /// Another one's are added.
    pub fn merge(&mut self, other: &Heavy) {
        self.total = self.total.saturating_add(other.total);
        for (key, times) in &other.entries {
            let count = self.entries.entry(*key).or_default();
            *count = count.saturating_add(*times);
        }
        self.prune();
    }

    /// Takes from all entries what the first one beyond their number has, so that it and those
    /// below are gone.
    fn prune(&mut self) {
        if self.entries.len() <= ENTRIES {
            return;
        }
        let mut counts: Vec<u64> = self.entries.values().copied().collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        let less = counts[ENTRIES];
        self.entries.retain(|_, count| {
            *count -= less.min(*count);
            *count > 0
        });
    }

    /// By how much a count may be too low at most.
    pub fn error(&self) -> u64 {
        // What is missing was taken from more than so many entries alike.
        let held: u64 = self.entries.values().sum();
        (self.total - held.min(self.total)) / (ENTRIES as u64 + 1)
    }

    /// The keys that came most, the first ones first.
    pub fn most(&self) -> Vec<(u64, u64)> {
        let mut most: Vec<(u64, u64)> = self
            .entries
            .iter()
            .map(|(key, count)| (*key, *count))
            .collect();
        most.sort_unstable_by_key(|(key, count)| (std::cmp::Reverse(*count), *key));
        most
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    /// Streams with a few heavy keys among many, cut among processes as it happens and added up in
    /// any order: what is held is never more than came and never less by more than the error, which
    /// keeps its bound; and the heavy ones are there.
    #[test]
    fn sums_of_summaries_keep_their_error() {
        for seed in 0..60 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut true_counts: BTreeMap<u64, u64> = BTreeMap::new();
            let mut of: Vec<Heavy> = vec![Heavy::default(); rng.random_range(1..9)];
            let all = rng.random_range(100..20_000u64);
            for _ in 0..all {
                let heavy = rng.random_bool(0.4);
                let key = if heavy {
                    rng.random_range(0..4)
                } else {
                    rng.random_range(100..5000)
                };
                *true_counts.entry(key).or_default() += 1;
                let n = rng.random_range(0..of.len());
                of[n].add(key, 1);
            }
            let mut sum = Heavy::default();
            while !of.is_empty() {
                let one = of.swap_remove(rng.random_range(0..of.len()));
                sum.merge(&one);
            }
            assert_eq!(sum.total, all);
            assert!(
                sum.error() <= all / (ENTRIES as u64 + 1),
                "seed {seed}: {} of {all}",
                sum.error()
            );
            assert!(sum.most().len() <= ENTRIES);
            for (key, count) in &true_counts {
                let held = sum.entries.get(key).copied().unwrap_or(0);
                assert!(
                    held <= *count && held + sum.error() >= *count,
                    "seed {seed}: key {key}, {held} of {count}"
                );
            }
            let first: Vec<u64> = sum.most().iter().take(4).map(|(key, _)| *key).collect();
            assert!(
                all < 2000 || first.iter().all(|key| *key < 4),
                "seed {seed}: {first:?}"
            );
        }
    }

    #[test]
    fn what_is_told_is_bounded() {
        let heavy = Heavy::of(10, (0..100).map(|key| (key, 1000)));
        assert!(
            heavy.most().len() == ENTRIES && heavy.most().iter().all(|(_, count)| *count <= 10)
        );
    }
}
