//! The most frequent keys in bounded memory, as a Misra-Gries summary. The count of a key that
//! occurred n times is at most n and at least n minus the error. The error is at most the number of
//! all occurrences divided by ([`ENTRIES`] + 1). The merged summary of several processes keeps this
//! bound for the sum of their occurrences (Agarwal and others, Mergeable summaries, 2012).

use std::collections::BTreeMap;

/// Maximum number of entries of a summary. Each key with more than 1 in 25 of all occurrences has
/// an entry.
pub const ENTRIES: usize = 24;

/// A Misra-Gries summary of the occurrences of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeavyHitters {
    /// Number of occurrences of all keys, including those without an entry.
    pub total: u64,
    entries: BTreeMap<u64, u64>,
}

impl HeavyHitters {
    /// Creates a summary from the fields of a message. Entries beyond [`ENTRIES`] are ignored, and
    /// counts are capped at `total`.
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

    /// Adds `times` occurrences of a key.
    pub fn add(&mut self, key: u64, times: u64) {
        self.total = self.total.saturating_add(times);
        if self.entries.len() < ENTRIES || self.entries.contains_key(&key) {
            let count = self.entries.entry(key).or_default();
            *count = count.saturating_add(times);
            return;
        }
        // The new key and all entries lose the same count, which keeps the error bound.
        let less = self.entries.values().copied().min().unwrap_or(0).min(times);
        self.entries.retain(|_, count| {
            *count -= less;
            *count > 0
        });
        if times > less {
            self.entries.insert(key, times - less);
        }
    }

    /// Merges another summary into this one.
    pub fn merge(&mut self, other: &HeavyHitters) {
        self.total = self.total.saturating_add(other.total);
        for (key, times) in &other.entries {
            let count = self.entries.entry(*key).or_default();
            *count = count.saturating_add(*times);
        }
        self.prune();
    }

    /// Subtracts the count of the largest surplus entry from all entries, which removes the surplus
    /// entries.
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

    /// Returns the maximum by which a count may be too low.
    pub fn error(&self) -> u64 {
        // Each subtraction lowers more than `ENTRIES` counts by the same number, so a single count
        // lacks at most 1 in `ENTRIES` + 1 of all missing occurrences.
        let counted: u64 = self.entries.values().sum();
        (self.total - counted.min(self.total)) / (ENTRIES as u64 + 1)
    }

    /// Returns the keys with their counts, in descending order of the counts.
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
