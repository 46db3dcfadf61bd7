//! The strength of evidence that a difference between the cohorts is harm.

use super::shares::NodeShare;
use statrs::distribution::{ContinuousCDF, Normal};

/// Probability of passing a stage with a version that harms by the margin, for each metric.
pub const MISSED: f64 = 0.05;

/// Sizes of harm that the mixture likelihood ratio covers, as multiples of the margin.
const SIZES: [f64; 3] = [1.0, 4.0, 16.0];

/// Returns the likelihood ratio of the difference `harm` for real harm of 1, 4 or 16 times `size`
/// against no harm; 0 if `harm` is not positive.
pub(super) fn mixture(harm: f64, variance: f64, size: f64) -> f64 {
    if harm <= 0.0 {
        return 0.0;
    }
    let ratio = |size: f64| {
        let total = variance + size * size;
        (variance / total).sqrt()
            * (harm * harm * size * size / (2.0 * variance * total))
                .min(700.0)
                .exp()
    };
    SIZES.iter().map(|times| ratio(size * times)).sum::<f64>() / SIZES.len() as f64
}

/// Returns the upper confidence bound of harm, which the true harm exceeds with probability
/// [`MISSED`].
pub(super) fn upper_bound(harm: f64, variance: f64) -> f64 {
    let quantile = Normal::standard().inverse_cdf(1.0 - MISSED);
    harm + quantile * variance.sqrt()
}

/// Returns the probability that the new nodes' shares of harmful outcomes rank this high if the
/// cohorts do not differ.
pub(super) fn ranks(new: &[NodeShare], old: &[NodeShare]) -> f64 {
    // The normal approximation of the Mann-Whitney U test with continuity correction; a tie counts
    // as one half.
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
