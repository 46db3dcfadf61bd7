//! An operation with the observed times of its executions and backend calls.

use super::measure::{LEARNING_RATE, seconds, update_average};
use crate::{Nanos, Operation};

/// Configuration of an operation and its observed times.
pub(super) struct OperationProfile {
    pub(super) config: Operation,
    /// Expected run time per unit of request size, in seconds; 0 if unknown.
    pub(super) run_time_s: f64,
    /// Run time of a short execution per unit of request size, in seconds; 0 if unknown.
    pub(super) short_run_time_s: f64,
    /// Expected time of a backend call, in seconds; 0 if unknown.
    pub(super) call_time_s: f64,
}

impl OperationProfile {
    pub(super) fn new(config: &Operation) -> Self {
        OperationProfile {
            config: config.clone(),
            run_time_s: 0.0,
            short_run_time_s: 0.0,
            call_time_s: 0.0,
        }
    }

    /// Updates the run times with an execution that succeeded, and returns the run ratio: the run
    /// time as a multiple of the short run time. The short run time falls fast and rises slowly, so
    /// that it stays close to the shortest executions.
    pub(super) fn observe_run(&mut self, latency: Nanos, size: f64) -> f64 {
        let run_time_s = seconds(latency) / size;
        update_average(&mut self.run_time_s, run_time_s, LEARNING_RATE);
        let shorter = run_time_s < self.short_run_time_s;
        let share = if shorter {
            2.0 * LEARNING_RATE
        } else {
            LEARNING_RATE / 10.0
        };
        update_average(&mut self.short_run_time_s, run_time_s, share);
        run_time_s / self.short_run_time_s
    }

    /// Updates the call time with a backend call that succeeded or was abandoned.
    pub(super) fn observe_call(&mut self, latency: Nanos) {
        update_average(&mut self.call_time_s, seconds(latency), LEARNING_RATE);
    }
}
