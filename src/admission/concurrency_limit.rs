//! Limits on the executions that run at once: the concurrency limit, which follows the load of the
//! cores, and the runnable limit, which protects the cores from too many runnable executions.

use crate::{Deployment, Gauges, Nanos};

/// The cores have no spare time if at least this fraction of their time is in use.
const BUSY_THRESHOLD: f64 = 0.9;
/// Executions count as slow if their mean run ratio is above this. The run ratio is the run time as
/// a multiple of that of short executions of the same operation.
const SLOW_RUN_RATIO: f64 = 3.0;
/// Fraction of the sustainable number of runnable executions that the runnable limit allows. The
/// rest is a safety margin.
const USABLE_FRACTION: f64 = 0.85;

/// Limit of the executions that run at once. Executions that wait for a backend call use no core
/// and are not counted.
pub(super) struct ConcurrencyLimit {
    cores: f64,
    max_limit: f64,
    pub(super) limit: f64,
    /// Number of executions that succeeded since the limit was last checked for slow runs.
    pub(super) completed: f64,
    /// Sum of the run ratios of the executions in `completed`.
    pub(super) run_ratio_sum: f64,
    /// Fraction of the cores' time that was in use at the last update, 0 to 1.
    pub(super) busy_share: f64,
}

impl ConcurrencyLimit {
    pub(super) fn new(deployment: &Deployment) -> Self {
        let cores = deployment.cores as f64;
        ConcurrencyLimit {
            cores,
            max_limit: cores * deployment.max_runnable_per_core.max(1.0),
            limit: cores,
            completed: 0.0,
            run_ratio_sum: 0.0,
            busy_share: 0.0,
        }
    }

    /// Returns whether the cores have spare time.
    pub(super) fn has_spare_cpu(&self) -> bool {
        self.busy_share < BUSY_THRESHOLD
    }

    /// Counts an execution that succeeded and took `run_ratio` times as long as a short execution
    /// of the same operation.
    pub(super) fn observe_run(&mut self, run_ratio: f64) {
        self.completed += 1.0;
        self.run_ratio_sum += run_ratio;
    }

    /// Raises the limit by half the number of idle cores while requests are queued, and lowers the
    /// limit by one if busy cores run slowly. Without a gauge, the cores are assumed to be busy
    /// while requests are queued.
    pub(super) fn update(&mut self, any_queued: bool, gauges: &Gauges) {
        self.busy_share = gauges.cpu_busy.unwrap_or(f64::from(u8::from(any_queued)));
        self.limit += if any_queued {
            (1.0 - self.busy_share).max(0.0) * self.cores / 2.0
        } else {
            0.0
        };
        // The check needs as many completed executions as may run at once: on a small node, single
        // executions are not significant.
        if self.completed >= self.limit {
            let runs_slowly = self.busy_share >= BUSY_THRESHOLD
                && self.run_ratio_sum > SLOW_RUN_RATIO * self.completed;
            self.limit -= f64::from(u8::from(runs_slowly));
            (self.completed, self.run_ratio_sum) = (0.0, 0.0);
        }
        self.limit = self.limit.clamp(self.cores, self.max_limit);
    }
}

/// Returns the highest number of executions that the cores can sustain if all executions that wait
/// for disk or backend calls become runnable at once. A node that starts cold is assumed to take
/// the whole warm-up time of its deployment.
pub(super) fn runnable_limit(now: Nanos, started_at: Nanos, deployment: &Deployment) -> usize {
    let warmed = (now - started_at) as f64 / deployment.warm_up_time.max(1) as f64;
    let missing_speed = if deployment.starts_cold {
        (1.0 - deployment.cold_speed_fraction) * (1.0 - warmed.min(1.0))
    } else {
        0.0
    };
    let sustainable = deployment.cores as f64
        * (1.0 + (deployment.max_runnable_per_core - 1.0) * (1.0 - missing_speed));
    ((sustainable * USABLE_FRACTION) as usize).max(1)
}
