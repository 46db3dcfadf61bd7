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
pub struct LatencyHistogram {
    histogram: Histogram<u32>,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        // These bounds are good ones, so that there is a histogram.
        let histogram = Histogram::new_with_bounds(1, LONGEST, 1).or_else(|_| Histogram::new(1));
        LatencyHistogram {
            histogram: histogram
                .unwrap_or_else(|_| unreachable!("one significant digit is allowed")),
        }
    }
}

impl LatencyHistogram {
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
mod tests;
