use super::*;
use crate::MILLISECOND;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

#[test]
fn merged_histograms_match_the_true_quantiles_to_one_digit() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut histograms = vec![LatencyHistogram::default(); 7];
    let mut all: Vec<Nanos> = Vec::new();
    for _ in 0..20_000 {
        let time = (rng.random_range(0.0..9.0f64).exp() * 1e6) as Nanos;
        let n = rng.random_range(0..histograms.len());
        histograms[n].record(time);
        all.push(time);
    }
    all.sort_unstable();
    let mut sum = LatencyHistogram::default();
    for histogram in &histograms {
        let sparse = histogram.sparse();
        assert!(sparse.len() <= MAX_SPARSE_VALUES);
        sum.merge(&sparse);
    }
    assert_eq!(sum.count(), 20_000);
    for part in [0.1, 0.5, 0.9, 0.99] {
        let (expected, actual) = (all[(part * 20_000.0) as usize], sum.quantile(part));
        let ratio = actual as f64 / expected as f64;
        assert!(
            (0.9..=1.12).contains(&ratio),
            "{part}: {actual} for {expected}"
        );
    }
    let longer = all.iter().filter(|time| **time > 500 * MILLISECOND).count() as f64;
    assert!((sum.longer_than(500 * MILLISECOND) as f64 / longer - 1.0).abs() < 0.05);
}

#[test]
fn values_out_of_bounds_are_clamped() {
    let mut latency = LatencyHistogram::default();
    latency.record(0);
    latency.record(Nanos::MAX);
    latency.merge(&[(0, 3), (u32::MAX, 2)]);
    assert_eq!((latency.count(), latency.quantile(0.1) > 0), (7, true));
    let mut full = LatencyHistogram::default();
    (0..100_000).for_each(|n| full.record(n * 1_200_000));
    assert!(full.sparse().len() <= MAX_SPARSE_VALUES);
}
