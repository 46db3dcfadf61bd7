//! Time units and moving averages that all rules share.

use crate::Nanos;

/// Interval at which the targets, the concurrency limit and the load report are updated, in
/// nanoseconds (T_update in the paper that `beta_red` cites).
pub(super) const UPDATE_INTERVAL: Nanos = 500_000_000;
/// Weight of a new sample in a moving average.
pub(super) const LEARNING_RATE: f64 = 0.1;

/// Converts a duration to seconds.
pub(super) fn seconds(span: Nanos) -> f64 {
    span as f64 / 1e9
}

/// Moves an average towards a sample by `weight`. The first sample replaces the initial 0.
pub(super) fn update_average(average: &mut f64, sample: f64, weight: f64) {
    *average += if *average > 0.0 {
        weight * (sample - *average)
    } else {
        sample
    };
}
