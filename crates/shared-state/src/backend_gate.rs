//! Admits requests that need a backend call only as fast as backend calls can be made. Other
//! requests are rejected before they run, with a Retry-After: a request that runs up to a call that
//! cannot be made would use a core and then fail.

use crate::budget::NodeBudgets;
use crate::service_health::{HealthState, ServiceHealth, take_credit};
use crate::{MILLISECOND, Nanos, SECOND};

/// Limit on saved admissions, as the time in nanoseconds in which they accumulate.
const BURST: Nanos = 250 * MILLISECOND;
/// Lower bound of the limit on saved admissions.
const MIN_BURST_REQUESTS: f64 = 2.0;
/// Weight of one request in the moving average of calls per request.
const CALLS_MEAN_WEIGHT: f64 = 0.05;
/// Lower bound of the moving average of calls per request.
const MIN_CALLS_PER_REQUEST: f64 = 0.05;
/// Fraction of the allowed calls per second for which requests are admitted. It is below 1 because
/// calls arrive less evenly than requests.
const ADMITTED_PART: f64 = 0.95;
/// Minimum time between two requests that are admitted to probe an unavailable service, in
/// nanoseconds.
const PROBE_INTERVAL: Nanos = 500 * MILLISECOND;
/// Lower and upper bound of a Retry-After that follows from the budgets, in nanoseconds.
const RETRY_AFTER_BOUNDS: (Nanos, Nanos) = (MILLISECOND, 10 * SECOND);

/// Numbers of requests that a [`BackendGate`] admitted and rejected since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCounts {
    /// Number of requests that the health and the budgets of the backend service allowed.
    pub admitted: u64,
    /// Number of requests that the health or the budgets of the backend service did not allow.
    pub rejected: u64,
}

/// Decides which requests that need a backend call may run, by the budgets and the health of the
/// backend service.
#[derive(Clone, Debug)]
pub struct BackendGate {
    /// Number of requests that may be admitted at `refilled_at`.
    tokens: f64,
    refilled_at: Nanos,
    /// Moving average of the number of calls per request.
    calls_per_request: f64,
    /// Sum of the admitted share of calls of a degraded or recovering service, added for each
    /// request. When the sum reaches 1, a request is admitted and 1 is subtracted.
    admission_credit: f64,
    last_probe_at: Nanos,
    counts: GateCounts,
}

impl BackendGate {
    /// Creates a gate without saved admissions.
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

    /// Admits one more request, or rejects it and returns its Retry-After in nanoseconds. Budgets
    /// or health that are not given are not checked.
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

    /// Checks a request against the health of the backend service.
    fn check_health(&mut self, now: Nanos, health: &mut ServiceHealth) -> Result<(), Nanos> {
        let admits = match health.state() {
            HealthState::Healthy => true,
            // A prober needs a request whose backend call probes the service.
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

    /// Checks a request against the budgets, and admits requests at the rate of the allowed calls.
    fn check_budgets(&mut self, now: Nanos, budgets: &mut NodeBudgets) -> Result<(), Nanos> {
        if let Some(retry_after) = budgets.retry_after_if_full(now) {
            budgets.note_unmet_demand(now);
            return Err(retry_after.max(MILLISECOND));
        }
        let Some(calls_per_second) = budgets.calls_per_second(now) else {
            return Ok(());
        };
        let rate = ADMITTED_PART * calls_per_second / self.calls_per_request;
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.refilled_at, now)) as f64
            / SECOND as f64;
        let max_tokens = (rate * BURST as f64 / SECOND as f64).max(MIN_BURST_REQUESTS);
        self.tokens = (self.tokens + rate * elapsed).min(max_tokens);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        // A request that is rejected here never attempts its call, but the call counts as demand.
        budgets.note_unmet_demand(now);
        let retry_after = if rate > 0.0 {
            ((1.0 - self.tokens) / rate * SECOND as f64) as Nanos
        } else {
            SECOND
        };
        Err(retry_after.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1))
    }

    /// Records that an admitted request has ended after `calls` backend calls.
    pub fn request_ended(&mut self, calls: u32) {
        let distance = f64::from(calls) - self.calls_per_request;
        self.calls_per_request =
            (self.calls_per_request + CALLS_MEAN_WEIGHT * distance).max(MIN_CALLS_PER_REQUEST);
    }

    /// Returns the numbers of admitted and rejected requests.
    pub fn counts(&self) -> GateCounts {
        self.counts
    }
}

#[cfg(test)]
mod tests;
