use super::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Distributes streams with a few heavy keys among many light ones over processes at random and
/// merges their summaries in random order. Guards against counts above the true number or below it
/// by more than the error, an error above its bound, and heavy keys that are missing.
#[test]
fn merged_summaries_keep_the_error_bound() {
    for seed in 0..60 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut true_counts: BTreeMap<u64, u64> = BTreeMap::new();
        let mut summaries: Vec<HeavyHitters> =
            vec![HeavyHitters::default(); rng.random_range(1..9)];
        let all = rng.random_range(100..20_000u64);
        for _ in 0..all {
            let heavy = rng.random_bool(0.4);
            let key = if heavy {
                rng.random_range(0..4)
            } else {
                rng.random_range(100..5000)
            };
            *true_counts.entry(key).or_default() += 1;
            let n = rng.random_range(0..summaries.len());
            summaries[n].add(key, 1);
        }
        let mut sum = HeavyHitters::default();
        while !summaries.is_empty() {
            let one = summaries.swap_remove(rng.random_range(0..summaries.len()));
            sum.merge(&one);
        }
        assert_eq!(sum.total, all);
        assert!(
            sum.error() <= all / (ENTRIES as u64 + 1),
            "seed {seed}: {} of {all}",
            sum.error()
        );
        assert!(sum.top().len() <= ENTRIES);
        for (key, count) in &true_counts {
            let counted = sum.entries.get(key).copied().unwrap_or(0);
            assert!(
                counted <= *count && counted + sum.error() >= *count,
                "seed {seed}: key {key}, {counted} of {count}"
            );
        }
        let first: Vec<u64> = sum.top().iter().take(4).map(|(key, _)| *key).collect();
        assert!(
            all < 2000 || first.iter().all(|key| *key < 4),
            "seed {seed}: {first:?}"
        );
    }
}

#[test]
fn summaries_from_messages_are_bounded() {
    let heavy = HeavyHitters::from_parts(10, (0..100).map(|key| (key, 1000)));
    assert!(heavy.top().len() == ENTRIES && heavy.top().iter().all(|(_, count)| *count <= 10));
}
