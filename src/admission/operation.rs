//! An operation as agreed, with what its executions and backend calls have shown.

use super::measure::{LEARNING_RATE, learn, seconds};
use crate::{Nanos, Operation};

/// An operation as agreed, and what was learnt of it.
pub(super) struct OperationProfile {
    pub(super) agreed: Operation,
    /// Expected run time for each unit of size, in seconds; 0 = not known.
    pub(super) run_time_s: f64,
    /// Run time for each unit of size of a short execution, in seconds; 0 = not known.
    pub(super) short_run_time_s: f64,
    /// Expected time of a backend call, in seconds; 0 = not known.
    pub(super) call_time_s: f64,
}

impl OperationProfile {
    pub(super) fn new(agreed: &Operation) -> Self {
        OperationProfile {
            agreed: agreed.clone(),
            run_time_s: 0.0,
            short_run_time_s: 0.0,
            call_time_s: 0.0,
        }
    }

    /// Learns from an execution that succeeded, and returns how many times the short run time it
    /// took. The short run time falls fast and rises slowly, so that it stays with the short ones.
    pub(super) fn observe_run(&mut self, latency: Nanos, size: f64) -> f64 {
        let run_time_s = seconds(latency) / size;
        learn(&mut self.run_time_s, run_time_s, LEARNING_RATE);
        let shorter = run_time_s < self.short_run_time_s;
        let share = if shorter {
            2.0 * LEARNING_RATE
        } else {
            LEARNING_RATE / 10.0
        };
        learn(&mut self.short_run_time_s, run_time_s, share);
        run_time_s / self.short_run_time_s
    }

    /// Learns from a backend call that succeeded or was abandoned.
    pub(super) fn observe_call(&mut self, latency: Nanos) {
        learn(&mut self.call_time_s, seconds(latency), LEARNING_RATE);
    }
}
