//! A node's end of all keyed quotas: leased units by key, floors, and what it requests. It never
//! waits: a unit is here or it is not, and where it is not, the caller gets a Retry-After.
//!
//! A request for a key passes [`QuotaBorrower::check`], then [`QuotaBorrower::acquire`], and for a
//! number in flight ends with [`QuotaBorrower::release`]. What the node sends and receives is in
//! `requests`; what others read of it in `view`.

mod requests;
mod unit_lease;
mod view;

pub use unit_lease::UnitLease;
pub use view::LeasedTotals;

use super::{KeyedQuota, QuotaKind, QuotaTiming};
use crate::{MILLISECOND, Nanos};
use madderpoint_rate_limits::sketch::DueTimeSketch;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Bytes that a key with a state of its own takes: the state, its place in the map (which may just
/// have doubled) and in the queues.
pub const KEY_STATE_BYTES: usize = 280;
/// Bytes of a cell of the sketch.
const CELL_BYTES: usize = 8;
/// The requested units as a multiple of the recent use.
const DEMAND_HEADROOM: f64 = 1.25;
/// The recent use fades by this factor with each request.
const DEMAND_DECAY: f64 = 0.5;
/// Keys that run out within this time share a request, in nanoseconds.
const REQUEST_BATCH_DELAY: Nanos = 10 * MILLISECOND;
/// The expected time until a grant arrives, in nanoseconds.
const EXPECTED_GRANT_DELAY: Nanos = 40 * MILLISECOND;
/// The most requests that may be sent at once after a pause.
const REQUEST_BURST: f64 = 4.0;
/// Keys of which the least recently used one is evicted.
const EVICTION_SAMPLE: usize = 8;
/// More units are requested once the leased ones are this part of the demand or fewer.
const LOW_WATER_PART: u32 = 3;

/// What a node has of a key.
#[derive(Clone, Copy, Debug, Default)]
struct LeasedUnits {
    lease: UnitLease,
    in_flight: u32,
    /// Of a rate: when the next unit of the floor would be made at an even rate.
    floor_due: Nanos,
    requested_at: Nanos,
    /// Since the last request: units attempted, or the most that were attempted in flight.
    attempts: u32,
    /// Units attempted lately in a renewal interval.
    recent_use: f32,
    /// The units needed, as requested last.
    demand: u32,
    used_at: Nanos,
    /// The lender has no units before this time.
    exhausted_until: Nanos,
    /// Whether it is queued for the next request.
    is_urgent: bool,
    /// When it is renewed: its entry in the renewal queue.
    renewal_due: Nanos,
}

/// Why a unit is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// None is here; units are being requested.
    Requested,
    /// The lender has no units now.
    Exhausted,
    /// No lender answers: the floor is all there is.
    LenderSilent,
    /// There is no memory for the key.
    NoMemory,
}

/// A unit is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaExceeded {
    /// Why.
    pub reason: RefusalReason,
    /// After how many nanoseconds to try again.
    pub retry_after: Nanos,
}

/// What was admitted and refused under a quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaCounters {
    /// Admitted by leased units.
    pub by_lease: u64,
    /// Admitted by the floor.
    pub by_floor: u64,
    /// Refused, in the order of [`RefusalReason`].
    pub refused: [u64; 4],
}

/// A key: the quota's id and the key's number.
type KeyId = (u32, u64);
/// All nodes number keys alike, so the map's hash has a secret of its own.
type LeasedUnitsByKey = HashMap<KeyId, LeasedUnits>;

/// What is needed of a quota for each unit, computed once.
#[derive(Clone, Copy, Debug)]
struct UnitTerms {
    kind: QuotaKind,
    floor: u32,
    pool: u32,
    floor_interval: Nanos,
    /// How far ahead of its even rate a floor may be used, in nanoseconds.
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

    /// Whether the floor of a rate has a unit now.
    fn has_floor_unit(&self, now: Nanos, key: &LeasedUnits) -> bool {
        self.floor > 0 && key.floor_due <= now.saturating_add(self.floor_tolerance)
    }

    /// Whether one more of a key is admitted now; the attempt is counted.
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

    /// Time until the floor of a rate has a unit, in nanoseconds.
    fn floor_wait(&self, now: Nanos, key: &LeasedUnits) -> Nanos {
        match self.kind {
            QuotaKind::Rate { .. } if self.floor > 0 => {
                key.floor_due.saturating_sub(self.floor_tolerance + now)
            }
            _ => Nanos::MAX,
        }
    }
}

/// A node's end of all keyed quotas.
pub struct QuotaBorrower {
    quotas: BTreeMap<u32, KeyedQuota>,
    terms: BTreeMap<u32, UnitTerms>,
    counters: BTreeMap<u32, QuotaCounters>,
    timing: QuotaTiming,
    started_at: Nanos,
    keys: LeasedUnitsByKey,
    max_keys: usize,
    /// When the floors of keys without a state of their own are due.
    floor_times: DueTimeSketch,
    /// Keys that are queued for the next request, and since when.
    urgent: Vec<KeyId>,
    urgent_since: Nanos,
    /// Keys by the time at which they are renewed.
    renewals: VecDeque<(Nanos, KeyId)>,
    /// The index in `renewals` at which the next eviction sample begins.
    eviction_cursor: usize,
    last_request: u32,
    /// Requests that may be sent now, as of `refilled_at`.
    request_tokens: f64,
    refilled_at: Nanos,
    last_grant_at: Nanos,
    last_request_at: Nanos,
}

impl QuotaBorrower {
    /// The end of a node that has just started, without leases and with empty floors, in about this
    /// many bytes.
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

    /// Changes the quotas. Leased units stay valid until they are used or expire.
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

    /// Checks whether one more of a key is admitted, and counts the attempt. Nothing is taken.
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

    /// Takes one of a key that was checked in this instant. Returns whether it is in flight from here
    /// on, and must go back through [`QuotaBorrower::release`].
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
                // A full floor would make no more units: it is used first.
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
                let is_low = state.lease.units(now) * LOW_WATER_PART <= state.demand;
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

    /// One in flight has ended.
    pub fn release(&mut self, quota: u32, key: u64) {
        if let Some(state) = self.keys.get_mut(&(quota, key)) {
            debug_assert!(state.in_flight > 0, "what is released was acquired");
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    fn count_refusal(&mut self, quota: u32, reason: RefusalReason) {
        self.counters.entry(quota).or_default().refused[reason as usize] += 1;
    }

    /// The state of a key, made if it is not there; none if there is no memory for it.
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
            // A floor begins empty, and goes on where it was before the key was evicted.
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

    /// Evicts the least recently used key of a sample, unless some of it is in flight. Its leased
    /// units are lost until they expire; its floor goes on in the sketch, so that eviction makes no
    /// limit more lenient.
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

    /// Whether no lender has answered for a whole lease duration although one was asked.
    pub fn is_cut_off(&self, now: Nanos) -> bool {
        now > self
            .last_grant_at
            .saturating_add(self.timing.lease_duration)
            && self.last_request_at > self.last_grant_at
    }
}

#[cfg(test)]
mod tests;
