//! How strongly a difference between the cohorts speaks for harm.

use super::shares::NodeShare;
use statrs::distribution::{ContinuousCDF, Normal};

/// The chance of passing a stage with a version that harms by the margin, for each metric.
pub const MISSED: f64 = 0.05;

/// Sizes of harm that are looked for, in margins.
const SIZES: [f64; 3] = [1.0, 4.0, 16.0];

/// The likelihood of a difference like this if there is harm of about this size or much more,
/// against none; one sided.
pub(super) fn mixture(harm: f64, variance: f64, size: f64) -> f64 {
    if harm <= 0.0 {
        return 0.0;
    }
    let one = |size: f64| {
        let both = variance + size * size;
        (variance / both).sqrt()
            * (harm * harm * size * size / (2.0 * variance * both))
                .min(700.0)
                .exp()
    };
    SIZES.iter().map(|times| one(size * times)).sum::<f64>() / SIZES.len() as f64
}

/// The most that harm is likely to be, by the chance of missing it.
pub(super) fn most(harm: f64, variance: f64) -> f64 {
    let quantile = Normal::standard().inverse_cdf(1.0 - MISSED);
    harm + quantile * variance.sqrt()
}

/// The chance that the new nodes' shares rank as high as they do.
pub(super) fn ranks(new: &[NodeShare], old: &[NodeShare]) -> f64 {
    // The normal form of Mann and Whitney's U, with the correction for whole steps; ties count as
    // half.
    let (n, m) = (new.len() as f64, old.len() as f64);
    let above: f64 = new
        .iter()
        .flat_map(|a| old.iter().map(move |b| a.value.total_cmp(&b.value)))
        .map(|order| match order {
            std::cmp::Ordering::Greater => 1.0,
            std::cmp::Ordering::Equal => 0.5,
            std::cmp::Ordering::Less => 0.0,
        })
        .sum();
    let deviation = (n * m * (n + m + 1.0) / 12.0).sqrt().max(1e-9);
    1.0 - Normal::standard().cdf((above - 0.5 - n * m / 2.0) / deviation)
}
