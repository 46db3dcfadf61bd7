//! Read access to the borrower side of the keyed quotas, for status, logs and tests.

use super::{QuotaBorrower, QuotaCounters};
use crate::Nanos;
use crate::keyed_quota::KeyedQuota;

/// Totals of the leased units of a quota on one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeasedTotals {
    /// Number of usable leased units of all keys.
    pub units: u64,
    /// Number of keys with at least one such unit.
    pub keys: usize,
}

impl QuotaBorrower {
    /// Returns the number of leased units of a key that may be used now.
    pub fn units(&self, now: Nanos, quota: u32, key: u64) -> u32 {
        self.keys
            .get(&(quota, key))
            .map_or(0, |key| key.lease.units(now))
    }

    /// Returns the number of units of a key in flight.
    pub fn in_flight(&self, quota: u32, key: u64) -> u32 {
        self.keys.get(&(quota, key)).map_or(0, |key| key.in_flight)
    }

    /// Returns the numbers of operations admitted and refused under each quota.
    pub fn counters(&self) -> impl Iterator<Item = (&KeyedQuota, QuotaCounters)> {
        self.quotas
            .iter()
            .map(|(id, quota)| (quota, self.counters.get(id).copied().unwrap_or_default()))
    }

    /// Returns the totals of the leased units of a quota that may be used now.
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

    /// Returns the time since the last grant, in nanoseconds; `None` before the first grant.
    pub fn since_last_grant(&self, now: Nanos) -> Option<Nanos> {
        (self.last_grant_at > 0).then(|| now.saturating_sub(self.last_grant_at))
    }

    /// Returns the number of keys that have their own state.
    pub fn tracked_keys(&self) -> usize {
        self.keys.len()
    }
}
