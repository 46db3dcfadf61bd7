//! A latency histogram that can be sent in messages and merged. Latencies are kept to one
//! significant digit.

use crate::{Nanos, SECOND};
use hdrhistogram::Histogram;

/// Unit of the values of the histogram, in nanoseconds.
const UNIT: Nanos = 100_000;
/// Largest value of the histogram, in multiples of [`UNIT`]; longer latencies are recorded as this
/// value.
const MAX_VALUE: u64 = 120 * SECOND / UNIT;
/// Maximum number of values of one histogram in a message.
pub const MAX_SPARSE_VALUES: usize = 160;

/// The form of a histogram in messages: pairs of a value in tenths of a millisecond and its count.
pub type Sparse = Vec<(u32, u32)>;

/// Histogram of the latencies of one operation.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Histogram<u32>,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        let histogram = Histogram::new_with_bounds(1, MAX_VALUE, 1).or_else(|_| Histogram::new(1));
        LatencyHistogram {
            histogram: histogram.unwrap_or_else(|_| {
                unreachable!("a histogram with one significant digit can always be created")
            }),
        }
    }
}

impl LatencyHistogram {
    /// Records a latency in nanoseconds.
    pub fn record(&mut self, latency: Nanos) {
        self.histogram
            .saturating_record((latency / UNIT).clamp(1, MAX_VALUE));
    }

    /// Adds the values of a histogram from a message; values out of bounds are clamped.
    pub fn merge(&mut self, sparse: &[(u32, u32)]) {
        for (value, count) in sparse {
            let value = u64::from(*value).clamp(1, MAX_VALUE);
            self.histogram.saturating_record_n(value, *count);
        }
    }

    /// Returns the histogram in the form for messages, with at most [`MAX_SPARSE_VALUES`] values.
    pub fn sparse(&self) -> Sparse {
        let values = self.histogram.iter_recorded();
        let mut sparse: Sparse = values
            .map(|value| (value.value_iterated_to() as u32, value.count_at_value()))
            .collect();
        // While there are too many values, each two neighbours are merged into the larger value.
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

    /// Returns the number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns the latency in nanoseconds that `fraction` (0 to 1) of all latencies did not exceed.
    pub fn quantile(&self, fraction: f64) -> Nanos {
        self.histogram.value_at_quantile(fraction) * UNIT
    }

    /// Returns the number of recorded latencies that exceed `latency` nanoseconds.
    pub fn longer_than(&self, latency: Nanos) -> u64 {
        let within = self.histogram.count_between(0, (latency / UNIT).max(1));
        self.histogram.len().saturating_sub(within)
    }
}

#[cfg(test)]
mod tests;
