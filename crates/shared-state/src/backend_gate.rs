//! Admits requests that need a backend call only as fast as calls find room. Others are rejected
//! before they run, with the time to come back: a request that runs up to a call that can't be made
//! would use a core and fail there.

use crate::budget::NodeBudgets;
use crate::service_health::{HealthState, ServiceHealth, take_credit};
use crate::{MILLISECOND, Nanos, SECOND};

/// The time whose unused admissions may be saved up, in nanoseconds.
const BURST: Nanos = 250 * MILLISECOND;
/// The fewest admissions that may be saved up.
const MIN_BURST_REQUESTS: f64 = 2.0;
/// The weight of one request in the mean of calls for a request.
const CALLS_MEAN_WEIGHT: f64 = 0.05;
/// The least mean of calls for a request.
const MIN_CALLS_PER_REQUEST: f64 = 0.05;
/// The part of the calls a second that is admitted: calls come less evenly than requests.
const ADMITTED_PART: f64 = 0.95;
/// The time between two requests that are admitted to probe an unavailable service, in nanoseconds.
const PROBE_INTERVAL: Nanos = 500 * MILLISECOND;
/// The bounds of a Retry-After, in nanoseconds.
const RETRY_AFTER_BOUNDS: (Nanos, Nanos) = (MILLISECOND, 10 * SECOND);

/// Requests that were admitted and rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounts {
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that were rejected.
    pub rejected: u64,
}

/// Admits requests that need a backend call by the room there is for calls.
#[derive(Clone, Debug)]
pub struct BackendGate {
    /// Requests that may be admitted now, as of `refilled_at`.
    tokens: f64,
    refilled_at: Nanos,
    /// The mean number of calls for a request.
    calls_per_request: f64,
    /// Accumulates the admitted share of a service that is thinned out.
    admission_credit: f64,
    last_probe_at: Nanos,
    counts: GateCounts,
}

impl BackendGate {
    /// A gate without saved admissions.
    pub fn new(now: Nanos) -> BackendGate {
        BackendGate {
            tokens: 0.0,
            refilled_at: now,
            calls_per_request: 1.0,
            admission_credit: 0.0,
            last_probe_at: 0,
            counts: GateCounts::default(),
        }
    }

    /// Whether one more request may run; else after how many nanoseconds it should come back.
    pub fn admits(
        &mut self,
        now: Nanos,
        budgets: Option<&mut NodeBudgets>,
        health: Option<&mut ServiceHealth>,
    ) -> Result<(), Nanos> {
        let by_health = health.map_or(Ok(()), |health| self.check_health(now, health));
        let by_budgets = match (&by_health, budgets) {
            (Ok(()), Some(budgets)) => self.check_budgets(now, budgets),
            _ => Ok(()),
        };
        let admits = by_health.and(by_budgets);
        *(if admits.is_ok() {
            &mut self.counts.admitted
        } else {
            &mut self.counts.rejected
        }) += 1;
        admits
    }

    /// Admits by the health of the backend service.
    fn check_health(&mut self, now: Nanos, health: &mut ServiceHealth) -> Result<(), Nanos> {
        let admits = match health.state() {
            HealthState::Healthy => true,
            // A prober needs a request to probe it with.
            HealthState::Unavailable => {
                let probes = health.is_probe_due(now) && now >= self.last_probe_at + PROBE_INTERVAL;
                if probes {
                    self.last_probe_at = now;
                }
                probes
            }
            HealthState::Degraded | HealthState::Recovering => {
                take_credit(&mut self.admission_credit, health.admitted_share())
            }
        };
        if admits {
            Ok(())
        } else {
            Err(health.retry_after(now).max(MILLISECOND))
        }
    }

    /// Admits by the budgets: as many requests as there are calls for.
    fn check_budgets(&mut self, now: Nanos, budgets: &mut NodeBudgets) -> Result<(), Nanos> {
        if let Some(retry_after) = budgets.retry_after_if_full(now) {
            budgets.note_unmet_demand(now);
            return Err(retry_after.max(MILLISECOND));
        }
        let Some(calls_per_second) = budgets.calls_per_second(now) else {
            return Ok(());
        };
        let rate = ADMITTED_PART * calls_per_second / self.calls_per_request;
        let passed = now.saturating_sub(std::mem::replace(&mut self.refilled_at, now)) as f64
            / SECOND as f64;
        let most = (rate * BURST as f64 / SECOND as f64).max(MIN_BURST_REQUESTS);
        self.tokens = (self.tokens + rate * passed).min(most);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        // A request that is rejected here never attempts its call, which is demand all the same.
        budgets.note_unmet_demand(now);
        let retry_after = if rate > 0.0 {
            ((1.0 - self.tokens) / rate * SECOND as f64) as Nanos
        } else {
            SECOND
        };
        Err(retry_after.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1))
    }

    /// A request that was admitted has ended after this many calls.
    pub fn request_ended(&mut self, calls: u32) {
        let distance = f64::from(calls) - self.calls_per_request;
        self.calls_per_request =
            (self.calls_per_request + CALLS_MEAN_WEIGHT * distance).max(MIN_CALLS_PER_REQUEST);
    }

    /// Requests that were admitted and rejected.
    pub fn counts(&self) -> GateCounts {
        self.counts
    }
}

#[cfg(test)]
mod tests;
