//! The node's own check of a version on trial: a version that clearly fails at this node is rolled
//! back without the coordinator.

use super::NodeAgent;
use crate::Nanos;
use crate::host::Host;
use crate::rollout::Outcome;

/// Minimum number of requests, both before and since the start of a trial, for a comparison of the
/// shares of successful requests.
const LOCAL_MIN_REQUESTS: u64 = 50;

/// Maximum drop in the share of successful requests under a version on trial; a larger drop rolls
/// the rollout back.
const LOCAL_SUCCESS_DROP: f64 = 0.5;

/// Totals of this node since its start, by which the node decides on its own whether a trial fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalMetrics {
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of requests that succeeded.
    pub succeeded: u64,
    /// Number of requests that failed.
    pub errored: u64,
    /// Number of invariants that this node found violated.
    pub invariants: u64,
}

impl<H: Host> NodeAgent<H> {
    /// Records the node's totals so far. A version on trial that violates an invariant, or under
    /// which the share of successful requests drops by more than `LOCAL_SUCCESS_DROP`, is rolled
    /// back.
    pub fn record_local_metrics(&mut self, now: Nanos, unix_ms: u64, own: LocalMetrics) {
        let Some(trial) = self
            .persisted
            .trial
            .filter(|trial| trial.version == self.running)
        else {
            // A trial is compared with the interval from the second-last record before the trial to
            // the first record during the trial.
            (self.local_before, self.local_at_trial_start) = (
                LocalMetrics {
                    ..self.local_latest
                },
                None,
            );
            self.local_latest = own;
            return;
        };
        let at_start = *self.local_at_trial_start.get_or_insert(own);
        self.local_latest = own;
        let since = |count: fn(&LocalMetrics) -> u64| count(&own).saturating_sub(count(&at_start));
        let before = |count: fn(&LocalMetrics) -> u64| {
            count(&at_start).saturating_sub(count(&self.local_before))
        };
        let invariants = since(|own| own.invariants);
        if invariants > 0 {
            let why = format!("{invariants} invariants violated at one node");
            self.end(now, unix_ms, trial.rollout, Outcome::RolledBack, &why);
            return;
        }
        let (arrived, arrived_before) = (since(|own| own.arrived), before(|own| own.arrived));
        if arrived < LOCAL_MIN_REQUESTS || arrived_before < LOCAL_MIN_REQUESTS {
            return;
        }
        let share = since(|own| own.succeeded) as f64 / arrived as f64;
        let share_before = before(|own| own.succeeded) as f64 / arrived_before as f64;
        if share < share_before - LOCAL_SUCCESS_DROP {
            let why = format!(
                "{:.0} % succeed at one node, {:.0} % did before",
                share * 100.0,
                share_before * 100.0
            );
            self.end(now, unix_ms, trial.rollout, Outcome::RolledBack, &why);
        }
    }
}
