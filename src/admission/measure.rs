//! Time and averages, as every rule measures them.

use crate::Nanos;

/// Interval at which the targets, the concurrency limit and the load report are updated (the
/// paper's T_update).
pub(super) const UPDATE_INTERVAL: Nanos = 500_000_000;
/// Share by which a learnt figure moves with each sample.
pub(super) const LEARNING_RATE: f64 = 0.1;

/// A span in seconds.
pub(super) fn seconds(span: Nanos) -> f64 {
    span as f64 / 1e9
}

/// Moves a figure by `share` towards a sample; the first sample is taken whole.
pub(super) fn learn(figure: &mut f64, sample: f64, share: f64) {
    *figure += if *figure > 0.0 {
        share * (sample - *figure)
    } else {
        sample
    };
}
