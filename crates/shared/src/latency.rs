//! Latencies as a histogram that travels and adds up: of each latency it holds the value to one
//! significant digit.

use crate::{Nanos, SECOND};
use hdrhistogram::Histogram;

/// In these units, and no longer than so many of them.
const UNIT: Nanos = 100_000;
const LONGEST: u64 = 120 * SECOND / UNIT;
/// Values that a word of one histogram holds at most.
pub const VALUES_MAX: usize = 160;

/// A histogram as it travels: values in tenths of a millisecond, with how often each came.
pub type Sparse = Vec<(u32, u32)>;

/// Latencies of one operation.
#[derive(Clone, Debug)]
pub struct Latency {
    histogram: Histogram<u32>,
}

impl Default for Latency {
    fn default() -> Latency {
        // These bounds are good ones, so that there is a histogram.
        let histogram = Histogram::new_with_bounds(1, LONGEST, 1).or_else(|_| Histogram::new(1));
        Latency {
            histogram: histogram
                .unwrap_or_else(|_| unreachable!("one significant digit is allowed")),
        }
    }
}

impl Latency {
    /// One more took so long.
    pub fn add(&mut self, time: Nanos) {
        self.histogram
            .saturating_record((time / UNIT).clamp(1, LONGEST));
    }

    /// All that another one holds is added.
    pub fn merge(&mut self, sparse: &[(u32, u32)]) {
        for (value, count) in sparse {
            let value = u64::from(*value).clamp(1, LONGEST);
            self.histogram.saturating_record_n(value, *count);
        }
    }

    /// As it travels.
    pub fn sparse(&self) -> Sparse {
        let values = self.histogram.iter_recorded();
        let mut sparse: Sparse = values
            .map(|v| (v.value_iterated_to() as u32, v.count_at_value()))
            .collect();
        // So many different ones are rare: then neighbours are told as one, by the larger of both.
        while sparse.len() > VALUES_MAX {
            let two = |two: &[(u32, u32)]| {
                let count = two
                    .iter()
                    .map(|(_, count)| *count)
                    .fold(0, u32::saturating_add);
                (two[two.len() - 1].0, count)
            };
            sparse = sparse.chunks(2).map(two).collect();
        }
        sparse
    }

    /// How many.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// What so large a part took at most.
    pub fn quantile(&self, part: f64) -> Nanos {
        self.histogram.value_at_quantile(part) * UNIT
    }

    /// How many took longer.
    pub fn longer_than(&self, time: Nanos) -> u64 {
        let until = self.histogram.count_between(0, (time / UNIT).max(1));
        self.histogram.len().saturating_sub(until)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::MILLISECOND;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    #[test]
    fn parts_that_travelled_add_up_to_the_whole_within_a_digit() {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut of = vec![Latency::default(); 7];
        let mut all: Vec<Nanos> = Vec::new();
        for _ in 0..20_000 {
            let time = (rng.random_range(0.0..9.0f64).exp() * 1e6) as Nanos;
            let n = rng.random_range(0..of.len());
            of[n].add(time);
            all.push(time);
        }
        all.sort_unstable();
        let mut sum = Latency::default();
        for one in &of {
            let sparse = one.sparse();
            assert!(sparse.len() <= VALUES_MAX);
            sum.merge(&sparse);
        }
        assert_eq!(sum.count(), 20_000);
        for part in [0.1, 0.5, 0.9, 0.99] {
            let (true_one, told) = (all[(part * 20_000.0) as usize], sum.quantile(part));
            let off = told as f64 / true_one as f64;
            assert!((0.9..=1.12).contains(&off), "{part}: {told} for {true_one}");
        }
        let longer = all.iter().filter(|time| **time > 500 * MILLISECOND).count() as f64;
        assert!((sum.longer_than(500 * MILLISECOND) as f64 / longer - 1.0).abs() < 0.05);
    }

    #[test]
    fn what_makes_no_sense_is_held_within_bounds() {
        let mut latency = Latency::default();
        latency.add(0);
        latency.add(Nanos::MAX);
        latency.merge(&[(0, 3), (u32::MAX, 2)]);
        assert_eq!((latency.count(), latency.quantile(0.1) > 0), (7, true));
        let mut full = Latency::default();
        (0..100_000).for_each(|n| full.add(n * 1_200_000));
        assert!(full.sparse().len() <= VALUES_MAX);
    }
}
