//! Seen from outside.

use super::{QuotaBorrower, QuotaCounters};
use crate::Nanos;
use crate::keyed_quota::KeyedQuota;

impl QuotaBorrower {
    /// Units that could be spent of a key now, of what was lent.
    pub fn units(&self, now: Nanos, budget: u32, key: u64) -> u32 {
        self.pockets
            .get(&(budget, key))
            .map_or(0, |pocket| pocket.slip.units(now))
    }

    /// What is in hand of a key.
    pub fn in_hand(&self, budget: u32, key: u64) -> u32 {
        self.pockets
            .get(&(budget, key))
            .map_or(0, |pocket| pocket.in_hand)
    }

    /// What came of each budget.
    pub fn tallies(&self) -> impl Iterator<Item = (&KeyedQuota, QuotaCounters)> {
        self.budgets
            .iter()
            .map(|(id, budget)| (budget, self.tallies.get(id).copied().unwrap_or_default()))
    }

    /// Units lent and keys with any, of a budget.
    pub fn holds(&self, now: Nanos, budget: u32) -> (u64, usize) {
        let of = self.pockets.iter().filter(|((id, _), _)| *id == budget);
        let units = of
            .map(|(_, pocket)| u64::from(pocket.slip.units(now)))
            .filter(|units| *units > 0);
        units.fold((0, 0), |(sum, keys), units| (sum + units, keys + 1))
    }

    /// How long ago one who lends was heard; none if never.
    pub fn heard(&self, now: Nanos) -> Option<Nanos> {
        (self.heard > 0).then(|| now.saturating_sub(self.heard))
    }

    /// Whether the floors are all that there is.
    pub fn hears_nobody(&self, now: Nanos) -> bool {
        self.is_deaf(now)
    }

    /// Keys that are told apart.
    pub fn keys(&self) -> usize {
        self.pockets.len()
    }
}
