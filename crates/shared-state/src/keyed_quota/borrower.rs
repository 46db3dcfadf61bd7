//! The borrower side of all keyed quotas on one node: leased units by key, floors, and requests to
//! the lender. A check never waits: if no unit is available, the caller gets the time after which
//! to retry.
//!
//! An operation under a key calls [`QuotaBorrower::check`], then [`QuotaBorrower::acquire`], and,
//! for a limit on units in flight, [`QuotaBorrower::release`] when it ends. Requests to the lender
//! and its grants are in `requests`, read access for status, logs and tests in `view`.

mod requests;
mod unit_lease;
mod view;

pub use unit_lease::UnitLease;
pub use view::LeasedTotals;

use super::{KeyedQuota, QuotaKind, QuotaTiming};
use crate::{MILLISECOND, Nanos};
use madderpoint_rate_limits::sketch::DueTimeSketch;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Number of bytes that a tracked key takes: its state and its entries in the map, which may just
/// have doubled its capacity, and in the queues.
pub const KEY_STATE_BYTES: usize = 280;
/// Number of bytes in a cell of the sketch of floor times.
const CELL_BYTES: usize = 8;
/// Requested units as a multiple of the recent use.
const DEMAND_HEADROOM: f64 = 1.25;
/// Factor by which the recent use decays with each request.
const DEMAND_DECAY: f64 = 0.5;
/// Time for which an urgent request waits, in nanoseconds, so that further keys that run out of
/// units share it.
const REQUEST_BATCH_DELAY: Nanos = 10 * MILLISECOND;
/// Expected time from sending a request to receiving the grant, in nanoseconds.
const EXPECTED_GRANT_DELAY: Nanos = 40 * MILLISECOND;
/// Maximum number of requests that may be sent at once after a pause.
const REQUEST_BURST: f64 = 4.0;
/// Number of keys in a sample, of which the least recently used one is evicted.
const EVICTION_SAMPLE: usize = 8;
/// More units are requested once the leased units are at most the demand divided by this.
const LOW_WATER_DIVISOR: u32 = 3;

/// The state of one key on this node.
#[derive(Clone, Copy, Debug, Default)]
struct LeasedUnits {
    lease: UnitLease,
    in_flight: u32,
    /// For a rate: when the next unit of the floor would be created at an even rate.
    floor_due: Nanos,
    requested_at: Nanos,
    /// Since the last request: for a rate, the units attempted; for a limit on units in flight, the
    /// peak in flight including refused attempts.
    attempts: u32,
    /// Decaying maximum of the units attempted per renewal interval.
    recent_use: f32,
    /// Number of units of the key that the node needed at the last request.
    demand: u32,
    used_at: Nanos,
    /// Time until which the lender has no free units of the key, according to its last grant.
    exhausted_until: Nanos,
    /// True if the key is queued in `urgent`.
    is_urgent: bool,
    /// Time of the next renewal, which is also the key of the valid entry in the renewal queue.
    renewal_due: Nanos,
}

/// Reason for which a unit is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The node has no unit left and requests more from the lender.
    Requested,
    /// The lender has no free units now.
    Exhausted,
    /// No lender answers, and the floor is used up.
    LenderSilent,
    /// The table of keys is full.
    NoMemory,
}

/// The refusal of a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaExceeded {
    /// Why no unit was available to the operation.
    pub reason: RefusalReason,
    /// Time after which to retry, in nanoseconds.
    pub retry_after: Nanos,
}

/// Numbers of operations admitted and refused under a quota since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaCounters {
    /// Number of operations that spent a leased unit.
    pub by_lease: u64,
    /// Number of operations that spent a unit of the floor.
    pub by_floor: u64,
    /// Numbers of refused operations by reason, in the order of [`RefusalReason`].
    pub refused: [u64; 4],
}

/// Identifies a key by the quota's id and the key's number.
type KeyId = (u32, u64);
/// All nodes number keys alike, so clients could choose colliding numbers: the map uses a hash with
/// a random secret.
type LeasedUnitsByKey = HashMap<KeyId, LeasedUnits>;

/// The figures of a quota that each check needs, computed once.
#[derive(Clone, Copy, Debug)]
struct UnitTerms {
    kind: QuotaKind,
    floor: u32,
    pool: u32,
    floor_interval: Nanos,
    /// Time by which the use of a floor may be ahead of an even rate, in nanoseconds: one interval
    /// for each unit beyond the first.
    floor_tolerance: Nanos,
}

impl UnitTerms {
    fn of(quota: &KeyedQuota) -> UnitTerms {
        let floor_interval = quota.floor_interval();
        let floor_tolerance =
            floor_interval.saturating_mul(u64::from(quota.floor.saturating_sub(1)));
        UnitTerms {
            kind: quota.kind,
            floor: quota.floor,
            pool: quota.pool(),
            floor_interval,
            floor_tolerance,
        }
    }

    /// Returns whether the floor of a rate has an unused unit now.
    fn has_floor_unit(&self, now: Nanos, key: &LeasedUnits) -> bool {
        self.floor > 0 && key.floor_due <= now.saturating_add(self.floor_tolerance)
    }

    /// Returns whether a unit of a key is available now, and counts the attempt.
    fn admits(&self, now: Nanos, key: &mut LeasedUnits) -> bool {
        match self.kind {
            QuotaKind::Rate { .. } => {
                key.attempts = key.attempts.saturating_add(1);
                key.lease.units(now) > 0 || self.has_floor_unit(now, key)
            }
            QuotaKind::InFlight { .. } => {
                key.attempts = key.attempts.max(key.in_flight.saturating_add(1));
                key.in_flight < self.floor + key.lease.units(now)
            }
        }
    }

    /// Returns the time until the floor of a rate has a unit, in nanoseconds; `Nanos::MAX` for a
    /// limit on units in flight and without a floor.
    fn floor_wait(&self, now: Nanos, key: &LeasedUnits) -> Nanos {
        match self.kind {
            QuotaKind::Rate { .. } if self.floor > 0 => {
                key.floor_due.saturating_sub(self.floor_tolerance + now)
            }
            _ => Nanos::MAX,
        }
    }
}

/// The borrower side of all keyed quotas on one node.
pub struct QuotaBorrower {
    quotas: BTreeMap<u32, KeyedQuota>,
    terms: BTreeMap<u32, UnitTerms>,
    counters: BTreeMap<u32, QuotaCounters>,
    timing: QuotaTiming,
    started_at: Nanos,
    keys: LeasedUnitsByKey,
    max_keys: usize,
    /// The `floor_due` times of keys that were evicted or forgotten.
    floor_times: DueTimeSketch,
    /// Keys that are queued for the next request.
    urgent: Vec<KeyId>,
    /// When the first key in `urgent` was queued.
    urgent_since: Nanos,
    /// Keys in the order of their renewal times.
    renewals: VecDeque<(Nanos, KeyId)>,
    /// Index in `renewals` after which the next eviction sample begins.
    eviction_cursor: usize,
    last_request: u32,
    /// Tokens for requests, as of `refilled_at`; a request takes one.
    request_tokens: f64,
    refilled_at: Nanos,
    last_grant_at: Nanos,
    last_request_at: Nanos,
}

impl QuotaBorrower {
    /// Creates the borrower of a node that has just started, without leases and with empty floors.
    /// It uses about `bytes` bytes of memory; `seed` seeds the hash of the sketch of floor times.
    pub fn new(
        now: Nanos,
        quotas: &[KeyedQuota],
        timing: QuotaTiming,
        bytes: usize,
        seed: u64,
    ) -> QuotaBorrower {
        let cells = (bytes / 4 / CELL_BYTES).max(64);
        let mut borrower = QuotaBorrower {
            quotas: BTreeMap::new(),
            terms: BTreeMap::new(),
            counters: BTreeMap::new(),
            timing,
            started_at: now,
            keys: LeasedUnitsByKey::default(),
            max_keys: (bytes / 4 * 3 / KEY_STATE_BYTES).max(16),
            floor_times: DueTimeSketch::new(cells, seed),
            urgent: Vec::new(),
            urgent_since: 0,
            renewals: VecDeque::new(),
            eviction_cursor: 0,
            last_request: 0,
            request_tokens: REQUEST_BURST,
            refilled_at: now,
            last_grant_at: 0,
            last_request_at: now,
        };
        borrower.update_quotas(quotas);
        borrower
    }

    /// Changes the quotas. Leased units stay valid until they are spent or expire.
    pub fn update_quotas(&mut self, quotas: &[KeyedQuota]) {
        self.quotas = quotas
            .iter()
            .map(|quota| (quota.id(), quota.clone()))
            .collect();
        self.terms = self
            .quotas
            .iter()
            .map(|(id, quota)| (*id, UnitTerms::of(quota)))
            .collect();
        let ids = &self.quotas;
        self.keys
            .retain(|(id, _), key| ids.contains_key(id) || key.in_flight > 0);
        for id in self.quotas.keys() {
            self.counters.entry(*id).or_default();
        }
        self.counters.retain(|id, _| ids.contains_key(id));
    }

    /// Checks whether a unit of a key is available, and counts the attempt. Takes no unit. An
    /// unknown quota refuses nothing.
    ///
    /// # Errors
    ///
    /// Returns the reason and the time after which to retry if no unit is available.
    pub fn check(&mut self, now: Nanos, quota: u32, key: u64) -> Result<(), QuotaExceeded> {
        let Some(terms) = self.terms.get(&quota).copied() else {
            return Ok(());
        };
        let (id, is_cut_off) = ((quota, key), self.is_cut_off(now));
        let (lease_duration, next_request) =
            (self.timing.lease_duration, self.next_request_allowed(now));
        let Some(state) = self.key_state(now, id) else {
            self.count_refusal(quota, RefusalReason::NoMemory);
            return Err(QuotaExceeded {
                reason: RefusalReason::NoMemory,
                retry_after: lease_duration,
            });
        };
        let admits = terms.admits(now, state);
        state.used_at = now;
        if admits {
            return Ok(());
        }
        let floor_wait = terms.floor_wait(now, state);
        let (exhausted_until, is_urgent) = (state.exhausted_until, state.is_urgent);
        let (reason, wait) = match is_cut_off {
            true => (RefusalReason::LenderSilent, lease_duration),
            false if exhausted_until > now => (RefusalReason::Exhausted, exhausted_until - now),
            false => (
                RefusalReason::Requested,
                next_request.saturating_sub(now) + EXPECTED_GRANT_DELAY,
            ),
        };
        if !is_urgent && exhausted_until <= now {
            self.queue_urgent(now, id);
        }
        self.count_refusal(quota, reason);
        Err(QuotaExceeded {
            reason,
            retry_after: wait.min(floor_wait).max(MILLISECOND),
        })
    }

    /// Takes a unit of a key that [`QuotaBorrower::check`] allowed in this instant. Returns whether
    /// the unit is now in flight and must be returned through [`QuotaBorrower::release`].
    pub fn acquire(&mut self, now: Nanos, quota: u32, key: u64) -> bool {
        let Some(terms) = self.terms.get(&quota).copied() else {
            return false;
        };
        let id = (quota, key);
        let Some(state) = self.key_state(now, id) else {
            return false;
        };
        let (is_leased, is_low) = match terms.kind {
            QuotaKind::Rate { .. } => {
                // No units are created for a full floor, so a full floor is used before the lease.
                let is_floor_full = terms.floor > 0 && state.floor_due <= now;
                let is_leased = state.lease.units(now) > 0 && !is_floor_full;
                if is_leased {
                    state.lease.spend();
                } else {
                    state.floor_due = state
                        .floor_due
                        .max(now)
                        .saturating_add(terms.floor_interval);
                }
                let is_low = state.lease.units(now) * LOW_WATER_DIVISOR <= state.demand;
                (is_leased, is_low)
            }
            QuotaKind::InFlight { .. } => {
                state.in_flight += 1;
                let room = terms.floor + state.lease.units(now);
                (state.in_flight > terms.floor, state.in_flight >= room)
            }
        };
        let is_pending = state.is_urgent || state.exhausted_until > now;
        let counters = self.counters.entry(quota).or_default();
        counters.by_lease += u64::from(is_leased);
        counters.by_floor += u64::from(!is_leased);
        if is_low && !is_pending {
            self.queue_urgent(now, id);
        }
        matches!(terms.kind, QuotaKind::InFlight { .. })
    }

    /// Releases a unit in flight whose operation has ended.
    pub fn release(&mut self, quota: u32, key: u64) {
        if let Some(state) = self.keys.get_mut(&(quota, key)) {
            debug_assert!(
                state.in_flight > 0,
                "a unit is acquired before it is released"
            );
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    fn count_refusal(&mut self, quota: u32, reason: RefusalReason) {
        self.counters.entry(quota).or_default().refused[reason as usize] += 1;
    }

    /// Returns the state of a key, which is created if necessary; `None` if the table of keys is
    /// full and no key can be evicted.
    fn key_state(&mut self, now: Nanos, id: KeyId) -> Option<&mut LeasedUnits> {
        if self.keys.len() >= self.max_keys && !self.keys.contains_key(&id) && !self.evict(now) {
            return None;
        }
        let QuotaBorrower {
            keys,
            terms,
            floor_times,
            renewals,
            timing,
            started_at,
            ..
        } = self;
        Some(keys.entry(id).or_insert_with(|| {
            // A floor starts empty when the node starts. If the key was evicted, the sketch has the
            // time up to which the floor was used.
            let begins_at = terms.get(&id.0).map_or(0, |terms| {
                started_at
                    .saturating_add(terms.floor_interval.saturating_mul(u64::from(terms.floor)))
            });
            let floor_due = begins_at.max(floor_times.due(id.0, id.1));
            let renewal_due = now + timing.renewal_interval;
            renewals.push_back((renewal_due, id));
            LeasedUnits {
                floor_due,
                requested_at: now,
                renewal_due,
                ..LeasedUnits::default()
            }
        }))
    }

    /// Evicts the least recently used key of a sample, except keys with units in flight. Returns
    /// whether a key was evicted. The key's leased units are unusable until they expire. Its floor
    /// time is kept in the sketch, so that eviction makes no limit more lenient.
    fn evict(&mut self, now: Nanos) -> bool {
        let mut oldest: Option<(Nanos, KeyId)> = None;
        for _ in 0..EVICTION_SAMPLE.min(self.renewals.len()) {
            self.eviction_cursor = (self.eviction_cursor + 1) % self.renewals.len();
            let id = self.renewals[self.eviction_cursor].1;
            let Some(key) = self.keys.get(&id) else {
                continue;
            };
            if key.in_flight == 0 && oldest.is_none_or(|(used_at, _)| key.used_at < used_at) {
                oldest = Some((key.used_at, id));
            }
        }
        let Some((_, id)) = oldest else {
            return false;
        };
        self.forget(now, id);
        true
    }

    fn forget(&mut self, now: Nanos, id: KeyId) {
        if let Some(key) = self.keys.remove(&id)
            && key.floor_due > now
        {
            self.floor_times.raise(id.0, id.1, key.floor_due);
        }
    }

    /// Returns whether a request was sent and no lender has answered for a whole lease duration.
    pub fn is_cut_off(&self, now: Nanos) -> bool {
        now > self
            .last_grant_at
            .saturating_add(self.timing.lease_duration)
            && self.last_request_at > self.last_grant_at
    }
}

#[cfg(test)]
mod tests;
