//! Which keys come most, in little memory: a Misra-Gries summary. Of a key that came n times among
//! all it holds at most n, and at least n less the error, which is at most all that came divided by
//! one more than the entries. Summaries of several processes add up to one with the same promise
//! for all of them together (Agarwal and others, Mergeable summaries, 2012).

use std::collections::BTreeMap;

/// Entries of a summary: keys with more than one in 25 of all that came are surely in it.
pub const ENTRIES: usize = 24;

/// A summary.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeavyHitters {
    /// All that came.
    pub total: u64,
    entries: BTreeMap<u64, u64>,
}

impl HeavyHitters {
    /// As it was told; what is beyond its bounds is not taken.
    pub fn of(total: u64, entries: impl Iterator<Item = (u64, u64)>) -> HeavyHitters {
        let mut heavy = HeavyHitters {
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
    pub fn merge(&mut self, other: &HeavyHitters) {
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
mod tests;
