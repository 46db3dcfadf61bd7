//! Requests of a node to the lender, their timing, and the handling of grants.
//!
//! Keys that run out of units are queued as urgent and share a request; the other keys are renewed
//! in the order of their renewal times. A token bucket limits the rate of requests of a node.

use super::{
    DEMAND_DECAY, DEMAND_HEADROOM, KeyId, QuotaBorrower, REQUEST_BATCH_DELAY, REQUEST_BURST,
    UnitLease,
};
use crate::Nanos;
use crate::clock::drift_shortened;
use crate::keyed_quota::{
    KeyRequest, MAX_KEYS_PER_REQUEST, QuotaGrant, QuotaKind, QuotaRequest, QuotaTiming,
};

/// The use of a key is measured over at least the renewal interval divided by this.
const MIN_MEASURED_DIVISOR: Nanos = 8;

impl QuotaBorrower {
    /// Queues a key for the next request.
    pub(super) fn queue_urgent(&mut self, now: Nanos, id: KeyId) {
        if let Some(key) = self.keys.get_mut(&id) {
            key.is_urgent = true;
            if self.urgent.is_empty() {
                self.urgent_since = now;
            }
            self.urgent.push(id);
        }
    }

    /// Returns the number of request tokens earned since the last refill.
    fn earned_tokens(&self, now: Nanos) -> f64 {
        now.saturating_sub(self.refilled_at) as f64 / self.timing.request_interval as f64
    }

    fn refill(&mut self, now: Nanos) {
        let elapsed = self.earned_tokens(now);
        self.request_tokens = (self.request_tokens + elapsed).min(REQUEST_BURST);
        self.refilled_at = now;
    }

    /// Returns the earliest time at which a further request may be sent: after the batch delay, and
    /// when a request token is available.
    pub(super) fn next_request_allowed(&self, now: Nanos) -> Nanos {
        let elapsed = self.earned_tokens(now);
        let missing = (1.0 - self.request_tokens - elapsed).max(0.0);
        let since = if self.urgent.is_empty() {
            now
        } else {
            self.urgent_since
        };
        (since + REQUEST_BATCH_DELAY)
            .max(now + (missing * self.timing.request_interval as f64) as Nanos)
    }

    /// Returns the time at which to call [`QuotaBorrower::next_request`]; `None` if no key is
    /// tracked.
    pub fn next_request_at(&self, now: Nanos) -> Option<Nanos> {
        let due = match (self.urgent.is_empty(), self.renewals.front()) {
            (false, _) => now,
            (true, Some((due, _))) => *due,
            (true, None) => return None,
        };
        Some(due.max(self.next_request_allowed(now)))
    }

    /// Returns the request that is due now, if any. The caller sends it to the lender.
    pub fn next_request(&mut self, now: Nanos) -> Option<QuotaRequest> {
        self.refill(now);
        let is_due = !self.urgent.is_empty() && now >= self.urgent_since + REQUEST_BATCH_DELAY
            || self.renewals.front().is_some_and(|(due, _)| *due <= now);
        if self.request_tokens < 1.0 || !is_due {
            return None;
        }
        let number = self.last_request + 1;
        let mut request = QuotaRequest {
            number,
            sent_at: now,
            keys: Vec::new(),
        };
        let urgent = self.urgent.len().min(MAX_KEYS_PER_REQUEST);
        for id in self.urgent.drain(..urgent).collect::<Vec<_>>() {
            self.request_key(now, number, id, &mut request.keys);
        }
        self.urgent_since = now;
        self.add_renewals(now, &mut request);
        if request.keys.is_empty() {
            return None;
        }
        self.last_request = number;
        self.request_tokens -= 1.0;
        self.last_request_at = now;
        Some(request)
    }

    /// Fills a request with keys whose renewal is due, and forgets keys that are no longer in use.
    fn add_renewals(&mut self, now: Nanos, request: &mut QuotaRequest) {
        let QuotaTiming {
            renewal_interval,
            idle_timeout,
            ..
        } = self.timing;
        while request.keys.len() < MAX_KEYS_PER_REQUEST {
            let Some((due, id)) = self.renewals.pop_front_if(|(due, _)| *due <= now) else {
                break;
            };
            // The entry is stale if the key was evicted, even if it is tracked again with a new
            // entry.
            let Some(key) = self.keys.get_mut(&id).filter(|key| key.renewal_due == due) else {
                continue;
            };
            if key.in_flight == 0 && key.lease.units(now) == 0 && now >= key.used_at + idle_timeout
            {
                self.forget(now, id);
                continue;
            }
            key.renewal_due = now + renewal_interval;
            let is_recent = now < key.requested_at + renewal_interval && key.lease.was_requested();
            self.renewals.push_back((now + renewal_interval, id));
            if !is_recent {
                self.request_key(now, request.number, id, &mut request.keys);
            }
        }
    }

    /// Adds a key to a request, with the number of its units that are kept, released and wanted.
    fn request_key(&mut self, now: Nanos, number: u32, id: KeyId, keys: &mut Vec<KeyRequest>) {
        let Some(terms) = self.terms.get(&id.0).copied() else {
            return;
        };
        let QuotaTiming {
            renewal_interval,
            idle_timeout,
            ..
        } = self.timing;
        let Some(key) = self.keys.get_mut(&id) else {
            return;
        };
        let is_used = now < key.used_at + idle_timeout;
        let attempts = match terms.kind {
            QuotaKind::Rate { .. } => {
                let elapsed = now
                    .saturating_sub(key.requested_at)
                    .max(renewal_interval / MIN_MEASURED_DIVISOR);
                f64::from(key.attempts) * renewal_interval as f64 / elapsed as f64
            }
            QuotaKind::InFlight { .. } => f64::from(key.attempts.saturating_sub(terms.floor)),
        };
        key.recent_use = (f64::from(key.recent_use) * DEMAND_DECAY).max(attempts) as f32;
        let demand = (f64::from(key.recent_use) * DEMAND_HEADROOM).ceil() as u32;
        // A key that is in use but rarely used keeps one unit on this node.
        let demand = if is_used { demand.max(1) } else { 0 }.min(terms.pool);
        let in_use = match terms.kind {
            QuotaKind::Rate { .. } => 0,
            QuotaKind::InFlight { .. } => key.in_flight.saturating_sub(terms.floor),
        };
        // Units in use are reported as kept even if their lease has expired.
        let (kept, released) = key.lease.request(now, number, demand.max(in_use));
        let kept = kept.max(in_use);
        (key.demand, key.requested_at, key.attempts, key.is_urgent) = (demand, now, 0, false);
        keys.push(KeyRequest {
            quota: id.0,
            key: id.1,
            kept,
            released,
            wanted: demand.saturating_sub(kept),
        });
    }

    /// Receives a grant. The grant is applied to a key only if it answers the latest request for
    /// that key, because the lender acts on the latest request. A grant whose request time lies in
    /// the future is ignored.
    pub fn receive_grant(&mut self, now: Nanos, grant: &QuotaGrant) {
        if grant.request_sent_at > now {
            return;
        }
        self.last_grant_at = self.last_grant_at.max(now);
        let expires_at = grant.request_sent_at.saturating_add(drift_shortened(
            grant.lease_duration.min(self.timing.lease_duration),
        ));
        for granted in &grant.keys {
            let Some(key) = self.keys.get_mut(&(granted.quota, granted.key)) else {
                continue;
            };
            if key
                .lease
                .receive_grant(now, grant.number, granted.added, expires_at)
            {
                key.exhausted_until = if granted.retry_after > 0 {
                    now + granted.retry_after
                } else {
                    0
                };
            }
        }
    }

    /// Drops all leases because the node leaves. Returns whether no unit is in flight.
    pub fn drop_leases(&mut self) -> bool {
        self.keys
            .values_mut()
            .for_each(|key| key.lease = UnitLease::default());
        self.keys.values().all(|key| key.in_flight == 0)
    }
}
