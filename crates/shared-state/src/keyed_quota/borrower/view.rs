//! What others read of a node's end of the quotas: for status, logs and tests.

use super::{QuotaBorrower, QuotaCounters};
use crate::Nanos;
use crate::keyed_quota::KeyedQuota;

/// Leased units of a quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeasedTotals {
    /// Units of all keys.
    pub units: u64,
    /// Keys with any.
    pub keys: usize,
}

impl QuotaBorrower {
    /// Leased units of a key that may be used now.
    pub fn units(&self, now: Nanos, quota: u32, key: u64) -> u32 {
        self.keys
            .get(&(quota, key))
            .map_or(0, |key| key.lease.units(now))
    }

    /// How many of a key are in flight.
    pub fn in_flight(&self, quota: u32, key: u64) -> u32 {
        self.keys.get(&(quota, key)).map_or(0, |key| key.in_flight)
    }

    /// What was admitted and refused under each quota.
    pub fn counters(&self) -> impl Iterator<Item = (&KeyedQuota, QuotaCounters)> {
        self.quotas
            .iter()
            .map(|(id, quota)| (quota, self.counters.get(id).copied().unwrap_or_default()))
    }

    /// Leased units of a quota, over all keys.
    pub fn leased(&self, now: Nanos, quota: u32) -> LeasedTotals {
        let of_quota = self.keys.iter().filter(|((id, _), _)| *id == quota);
        let units = of_quota
            .map(|(_, key)| u64::from(key.lease.units(now)))
            .filter(|units| *units > 0);
        units.fold(LeasedTotals::default(), |sum, units| LeasedTotals {
            units: sum.units + units,
            keys: sum.keys + 1,
        })
    }

    /// Time since the last grant, in nanoseconds; none if there was none.
    pub fn since_last_grant(&self, now: Nanos) -> Option<Nanos> {
        (self.last_grant_at > 0).then(|| now.saturating_sub(self.last_grant_at))
    }

    /// Keys with a state of their own.
    pub fn tracked_keys(&self) -> usize {
        self.keys.len()
    }
}
