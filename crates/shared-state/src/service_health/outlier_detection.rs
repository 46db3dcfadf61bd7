//! The rules by which the health state of a service changes.

use super::{
    AggregatedHealth, CALL_WINDOW, CONCLUSIVE_IN_A_ROW, HEALTHY_RATIO, HealthReport, HealthState,
    MIN_CALLS, RAMP_STEP, RECOVERED_HOLD, REPORT_MAX_AGE, ServiceHealth,
};
use crate::Nanos;

impl ServiceHealth {
    /// Receives the reports of other nodes as aggregated at `now`, and updates the state.
    pub fn receive_reports(&mut self, now: Nanos, aggregated: AggregatedHealth) {
        self.others = Some((aggregated, now));
        if aggregated.reports >= 2 {
            self.unaware_until = now;
        }
        if self.others_found_it_healthy_again(now, &aggregated) {
            self.start_recovery(now);
        }
        self.evaluate(now);
    }

    /// Returns whether a service that is unavailable to this node may begin to recover because it
    /// is healthy to others. Reports on the time before the failure are excluded: a report is used
    /// for [`REPORT_MAX_AGE`] and covers a [`CALL_WINDOW`].
    fn others_found_it_healthy_again(&self, now: Nanos, others: &AggregatedHealth) -> bool {
        let is_later = now > self.state_since + REPORT_MAX_AGE + CALL_WINDOW;
        let is_enough = others.healthy >= 2.min(others.reporters).max(1);
        self.state == HealthState::Unavailable && is_later && is_enough
    }

    /// Returns whether the service is failing for this node: half of at least [`MIN_CALLS`] calls
    /// in a window failed, [`MIN_CALLS`] consecutive calls failed, or, for calls that hang and are
    /// therefore few, [`CONCLUSIVE_IN_A_ROW`] consecutive calls failed without a success for a
    /// window.
    fn failed_here(&self, now: Nanos, own: &HealthReport) -> bool {
        let hangs = self.failures_in_a_row >= CONCLUSIVE_IN_A_ROW
            && now >= self.failing_since + CALL_WINDOW;
        own.has_failing_window() || self.failures_in_a_row >= MIN_CALLS || hangs
    }

    /// Returns whether a node that made no calls during a failure, because it was idle or down, has
    /// to follow the recovery ramp of the others. A node that has completed its own recovery less
    /// than [`RECOVERED_HOLD`] ago does not.
    fn follows_recovery(
        &self,
        now: Nanos,
        own: &HealthReport,
        others: Option<&AggregatedHealth>,
    ) -> bool {
        self.recovered_at
            .is_none_or(|recovered_at| now >= recovered_at + RECOVERED_HOLD)
            && !own.is_healthy()
            && others.is_some_and(AggregatedHealth::is_recovering)
    }

    /// Returns whether a step of the recovery ramp is over and nearly all calls in the last window
    /// succeeded.
    fn step_succeeded(&self, now: Nanos, own: &HealthReport) -> bool {
        now >= self.state_since + RAMP_STEP && own.failure_ratio() <= HEALTHY_RATIO
    }

    /// Updates the state from the calls and reports up to `now`. Reports may have expired since the
    /// last update.
    pub fn evaluate(&mut self, now: Nanos) {
        let own = self.report(now);
        let others = self.aggregated_health(now);
        let others_see_failure = others.is_some_and(|others| others.is_failing());
        match self.state {
            HealthState::Healthy | HealthState::Degraded | HealthState::Recovering
                if self.failed_here(now, &own) =>
            {
                self.enter(now, HealthState::Unavailable)
            }
            HealthState::Healthy | HealthState::Degraded
                if self.follows_recovery(now, &own, others.as_ref()) =>
            {
                if let Some(others) = others.filter(|others| others.mean_share > 0.0) {
                    self.ramp_share = others.min_share;
                    self.enter(now, HealthState::Recovering);
                } else if self.state == HealthState::Healthy && others_see_failure {
                    self.enter(now, HealthState::Degraded);
                }
            }
            HealthState::Healthy if !own.is_healthy() && others_see_failure => {
                self.enter(now, HealthState::Degraded)
            }
            // The result of the own calls takes precedence over the reports of others.
            HealthState::Degraded if own.is_healthy() || !others_see_failure => {
                self.enter(now, HealthState::Healthy)
            }
            HealthState::Recovering if self.step_succeeded(now, &own) => self.next_ramp_step(now),
            _ => {}
        }
    }
}
