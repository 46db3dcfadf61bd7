//! What was usual in a window at the baseline nodes, and from which latency on a request is slow.

use super::counts::{Metric, NodeMetric, NodeMetrics, OperationCounts, WindowSample};
use std::collections::BTreeMap;

/// Latencies of an operation that must be known before it is said what is slow.
const LATENCIES: u64 = 100;

/// What is slow takes this much longer than nine in ten did, in tenths of a millisecond, and a tenth
/// longer at least: the histogram's own steps must not look like harm.
pub(super) const SLOWER: u32 = 20;

/// Counts by operation.
pub(super) type OperationCountsList = Vec<(u32, OperationCounts)>;

/// What was usual in a window, by zone, operation and measure: of what does not run the new
/// version. A jump of traffic or a zone in trouble is in it, and so taken out of what is compared.
#[derive(Debug, Default)]
pub(super) struct BaselineRates {
    zones: BTreeMap<(u32, u32), [[u64; 2]; 5]>,
    all: BTreeMap<u32, [[u64; 2]; 5]>,
}

impl BaselineRates {
    pub(super) fn of<'s>(
        samples: impl Iterator<Item = (&'s WindowSample, &'s OperationCountsList)>,
    ) -> BaselineRates {
        let mut usual = BaselineRates::default();
        for (sample, cells) in samples {
            for (operation, cell) in cells {
                let zone = usual.zones.entry((sample.zone, *operation)).or_default();
                for pool in [zone, usual.all.entry(*operation).or_default()] {
                    for (sum, measure) in pool.iter_mut().zip(Metric::ALL) {
                        let ([bad, all], _) = measure.of(cell);
                        (sum[0], sum[1]) = (sum[0] + bad, sum[1] + all);
                    }
                }
            }
        }
        usual
    }

    /// What a node came to, beside what was to be expected. What nothing is known to compare with
    /// is left out.
    pub(super) fn parts(&self, zone: u32, operation: u32, cell: &OperationCounts) -> NodeMetrics {
        let mut parts = NodeMetrics {
            arrived: cell.arrived,
            succeeded: cell.succeeded,
            ..NodeMetrics::default()
        };
        for measure in Metric::ALL {
            let at = measure as usize;
            let pool = |pool: Option<&[[u64; 2]; 5]>| {
                pool.map(|pool| pool[at]).filter(|[_, all]| *all > 0)
            };
            let usual =
                pool(self.zones.get(&(zone, operation))).or_else(|| pool(self.all.get(&operation)));
            let Some([bad, all]) = usual else { continue };
            let ([my_bad, my_all], count) = measure.of(cell);
            let expected = my_all as f64 * bad as f64 / all as f64;
            parts.parts[at] = NodeMetric {
                bad: my_bad,
                all: my_all,
                count,
                expected,
            };
        }
        parts
    }
}

/// What nine in ten took at most, of enough of them.
pub(super) fn nine_in_ten(latencies: &BTreeMap<u32, u64>) -> Option<u32> {
    let all: u64 = latencies.values().sum();
    let mut below = 0;
    let ninth = latencies.iter().find(|(_, count)| {
        below += **count;
        below * 10 >= all * 9
    });
    ninth
        .filter(|_| all >= LATENCIES)
        .map(|(value, _)| value + SLOWER.max(value / 10))
}
