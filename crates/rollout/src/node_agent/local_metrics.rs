//! The node's own check of a version on trial: what is plainly bad here is rolled back without asking
//! anybody.

use super::NodeAgent;
use crate::Nanos;
use crate::host::Host;
use crate::rollout::Outcome;

/// Requests before and since the start of a trial that the comparison needs at least.
const LOCAL_MIN_REQUESTS: u64 = 50;

/// A share of successes that is lower than before by more than this ends the rollout.
const LOCAL_SUCCESS_DROP: f64 = 0.5;

/// Totals of this node since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalMetrics {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests that failed.
    pub errored: u64,
    /// Invariants that were violated.
    pub invariants: u64,
}

impl<H: Host> NodeAgent<H> {
    /// Takes up the node's totals so far: a version that is plainly bad is rolled back without asking anybody.
    pub fn record_local_metrics(&mut self, now: Nanos, unix_ms: u64, own: LocalMetrics) {
        let Some(trial) = self
            .persisted
            .trial
            .filter(|trial| trial.version == self.running)
        else {
            // A trial is compared with the time between the last two totals before it.
            (self.local_before, self.local_at_trial_start) = (
                LocalMetrics {
                    ..self.local_latest
                },
                None,
            );
            self.local_latest = own;
            return;
        };
        let begun = *self.local_at_trial_start.get_or_insert(own);
        self.local_latest = own;
        let since = |of: fn(&LocalMetrics) -> u64| of(&own).saturating_sub(of(&begun));
        let before =
            |of: fn(&LocalMetrics) -> u64| of(&begun).saturating_sub(of(&self.local_before));
        let invariants = since(|own| own.invariants);
        if invariants > 0 {
            let why = format!("{invariants} invariants did not hold at one node");
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
