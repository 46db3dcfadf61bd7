//! Restores the load of a service that was unavailable. The admitted share starts at one sixteenth
//! and doubles every 5 s, up to twice the mean share that the other nodes admit.

use super::{HalfWindow, HealthState, RAMP_FIRST_SHARE, ServiceHealth};
use crate::Nanos;

impl ServiceHealth {
    /// Begins the first step of the ramp and clears the counts of calls.
    pub(super) fn start_recovery(&mut self, now: Nanos) {
        self.halves = [HalfWindow::default(); 2];
        self.failures_in_a_row = 0;
        self.ramp_share = RAMP_FIRST_SHARE;
        self.enter(now, HealthState::Recovering);
    }

    /// Doubles the admitted share, up to twice the mean of the others. The service is healthy once
    /// the share reaches 1.
    pub(super) fn next_ramp_step(&mut self, now: Nanos) {
        let others = self
            .aggregated_health(now)
            .map(|others| others.mean_share)
            .filter(|share| *share > 0.0);
        self.state_since = now;
        self.ramp_share = (self.ramp_share * 2.0)
            .min(others.unwrap_or(1.0).max(RAMP_FIRST_SHARE) * 2.0)
            .min(1.0);
        if self.ramp_share >= 1.0 {
            self.recovered_at = Some(now);
            self.enter(now, HealthState::Healthy);
        }
    }
}
