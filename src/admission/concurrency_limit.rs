//! How much may run at once: the concurrency limit, found by feedback from the cores, and the
//! runnable limit, which the cores survive.

use crate::{Deployment, Gauges, Nanos};

/// Cores that are busy for this share of their time count as full.
const FULL_SHARE: f64 = 0.9;
/// Executions take long when they take this many times as long as short ones of their operation.
const LONG_RUN_RATIO: f64 = 3.0;
/// Part of the runnable executions that the cores survive which is used.
const USABLE_FRACTION: f64 = 0.85;

/// The most requests that may run at once, not counting those that wait for a backend call, which
/// use no core.
pub(super) struct ConcurrencyLimit {
    cores: f64,
    most: f64,
    pub(super) limit: f64,
    /// Executions that ended since the limit was judged.
    pub(super) ended: f64,
    /// The sum over them of how many times the short run time each took.
    pub(super) run_ratios: f64,
    /// Share of the cores' time in use at the last update.
    pub(super) busy_share: f64,
}

impl ConcurrencyLimit {
    pub(super) fn new(deployment: &Deployment) -> Self {
        let cores = deployment.cores as f64;
        ConcurrencyLimit {
            cores,
            most: cores * deployment.max_runnable_per_core.max(1.0),
            limit: cores,
            ended: 0.0,
            run_ratios: 0.0,
            busy_share: 0.0,
        }
    }

    /// Whether the cores have spare time.
    pub(super) fn has_spare_cpu(&self) -> bool {
        self.busy_share < FULL_SHARE
    }

    /// Counts an execution that succeeded and took `run_ratio` times the short run time.
    pub(super) fn observe_run(&mut self, run_ratio: f64) {
        self.ended += 1.0;
        self.run_ratios += run_ratio;
    }

    /// Grows the limit by half the idle cores while requests are queued, and lowers it by one while
    /// full cores run long. Without a gauge, cores are taken to be busy while requests are queued.
    pub(super) fn update(&mut self, any_queued: bool, gauges: &Gauges) {
        self.busy_share = gauges.cpu_busy.unwrap_or(f64::from(u8::from(any_queued)));
        self.limit += if any_queued {
            (1.0 - self.busy_share).max(0.0) * self.cores / 2.0
        } else {
            0.0
        };
        // Judged once as many executions have ended as may run at once: single ones on a small node
        // prove nothing.
        if self.ended >= self.limit {
            let runs_long =
                self.busy_share >= FULL_SHARE && self.run_ratios > LONG_RUN_RATIO * self.ended;
            self.limit -= f64::from(u8::from(runs_long));
            (self.ended, self.run_ratios) = (0.0, 0.0);
        }
        self.limit = self.limit.clamp(self.cores, self.most);
    }
}

/// The most executions that the cores survive if all that wait for disk or calls become runnable at
/// once. A node that starts cold is taken to warm up as slowly as it may.
pub(super) fn runnable_limit(now: Nanos, started_at: Nanos, deployment: &Deployment) -> usize {
    let warmed = (now - started_at) as f64 / deployment.warm_up_time.max(1) as f64;
    let lacking = if deployment.starts_cold {
        (1.0 - deployment.cold_speed_fraction) * (1.0 - warmed.min(1.0))
    } else {
        0.0
    };
    let survivable = deployment.cores as f64
        * (1.0 + (deployment.max_runnable_per_core - 1.0) * (1.0 - lacking));
    ((survivable * USABLE_FRACTION) as usize).max(1)
}
