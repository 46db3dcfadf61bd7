//! The most frequent keys, in little memory: a Misra-Gries summary. A key that occurred n times is
//! counted at most n times, and at least n less the error, which is at most all occurrences divided
//! by one more than the entries. Summaries of several processes add up to one with the same bound for
//! all of them together (Agarwal and others, Mergeable summaries, 2012).

use std::collections::BTreeMap;

/// Entries of a summary: keys with more than one in 25 of all occurrences are surely in it.
pub const ENTRIES: usize = 24;

/// A summary.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeavyHitters {
    /// All occurrences of all keys.
    pub total: u64,
    entries: BTreeMap<u64, u64>,
}

impl HeavyHitters {
    /// A summary from a message; entries beyond [`ENTRIES`] are ignored, counts capped at the total.
    pub fn from_parts(total: u64, entries: impl Iterator<Item = (u64, u64)>) -> HeavyHitters {
        let mut heavy = HeavyHitters {
            total,
            entries: BTreeMap::new(),
        };
        for (key, count) in entries.take(ENTRIES) {
            heavy.entries.insert(key, count.min(total));
        }
        heavy
    }

    /// Counts occurrences of a key.
    pub fn add(&mut self, key: u64, times: u64) {
        self.total = self.total.saturating_add(times);
        if self.entries.len() < ENTRIES || self.entries.contains_key(&key) {
            let count = self.entries.entry(key).or_default();
            *count = count.saturating_add(times);
            return;
        }
        // It cancels against all entries alike.
        let less = self.entries.values().copied().min().unwrap_or(0).min(times);
        self.entries.retain(|_, count| {
            *count -= less;
            *count > 0
        });
        if times > less {
            self.entries.insert(key, times - less);
        }
    }

    /// Adds another summary.
    pub fn merge(&mut self, other: &HeavyHitters) {
        self.total = self.total.saturating_add(other.total);
        for (key, times) in &other.entries {
            let count = self.entries.entry(*key).or_default();
            *count = count.saturating_add(*times);
        }
        self.prune();
    }

    /// Subtracts from all entries the count of the first one beyond their bound, so that it and
    /// those below go.
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

    /// The most by which a count may be too low.
    pub fn error(&self) -> u64 {
        // What is missing was subtracted from more than `ENTRIES` entries alike.
        let counted: u64 = self.entries.values().sum();
        (self.total - counted.min(self.total)) / (ENTRIES as u64 + 1)
    }

    /// Keys with their counts, the most frequent ones first.
    pub fn top(&self) -> Vec<(u64, u64)> {
        let mut top: Vec<(u64, u64)> = self
            .entries
            .iter()
            .map(|(key, count)| (*key, *count))
            .collect();
        top.sort_unstable_by_key(|(key, count)| (std::cmp::Reverse(*count), *key));
        top
    }
}

#[cfg(test)]
mod tests;
