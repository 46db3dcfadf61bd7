//! Latencies as a histogram that can be sent and added up: each latency to one significant digit.

use crate::{Nanos, SECOND};
use hdrhistogram::Histogram;

/// The unit of the histogram's values, in nanoseconds.
const UNIT: Nanos = 100_000;
/// The largest value, in units; longer latencies count as this.
const MAX_VALUE: u64 = 120 * SECOND / UNIT;
/// The most values of one histogram in a message.
pub const MAX_SPARSE_VALUES: usize = 160;

/// A histogram in a message: values in tenths of a millisecond, each with its count.
pub type Sparse = Vec<(u32, u32)>;

/// Latencies of one operation.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Histogram<u32>,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        let histogram = Histogram::new_with_bounds(1, MAX_VALUE, 1).or_else(|_| Histogram::new(1));
        LatencyHistogram {
            histogram: histogram
                .unwrap_or_else(|_| unreachable!("one significant digit is allowed")),
        }
    }
}

impl LatencyHistogram {
    /// Records a latency.
    pub fn record(&mut self, latency: Nanos) {
        self.histogram
            .saturating_record((latency / UNIT).clamp(1, MAX_VALUE));
    }

    /// Adds another histogram.
    pub fn merge(&mut self, sparse: &[(u32, u32)]) {
        for (value, count) in sparse {
            let value = u64::from(*value).clamp(1, MAX_VALUE);
            self.histogram.saturating_record_n(value, *count);
        }
    }

    /// The histogram for a message, of at most [`MAX_SPARSE_VALUES`] values.
    pub fn sparse(&self) -> Sparse {
        let values = self.histogram.iter_recorded();
        let mut sparse: Sparse = values
            .map(|value| (value.value_iterated_to() as u32, value.count_at_value()))
            .collect();
        // Where there are more, neighbours are merged into the larger of both.
        while sparse.len() > MAX_SPARSE_VALUES {
            let merge = |pair: &[(u32, u32)]| {
                let count = pair
                    .iter()
                    .map(|(_, count)| *count)
                    .fold(0, u32::saturating_add);
                (pair[pair.len() - 1].0, count)
            };
            sparse = sparse.chunks(2).map(merge).collect();
        }
        sparse
    }

    /// How many latencies were recorded.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The latency that this fraction of all stayed within, in nanoseconds.
    pub fn quantile(&self, fraction: f64) -> Nanos {
        self.histogram.value_at_quantile(fraction) * UNIT
    }

    /// How many latencies exceeded this one.
    pub fn longer_than(&self, latency: Nanos) -> u64 {
        let within = self.histogram.count_between(0, (latency / UNIT).max(1));
        self.histogram.len().saturating_sub(within)
    }
}

#[cfg(test)]
mod tests;
