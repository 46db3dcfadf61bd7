//! Rates of harmful outcomes of the baseline nodes in a window, and the latency from which a
//! request is slow.

use super::counts::{Metric, NodeMetric, NodeMetrics, OperationCounts, WindowSample};
use std::collections::BTreeMap;

/// Number of latencies of an operation that are needed to set the operation's slow threshold.
const MIN_LATENCIES: u64 = 100;

/// Margin above the 90th percentile from which a request is slow, in tenths of a millisecond; the
/// margin is at least a tenth of the percentile. The margin keeps the bucket widths of the latency
/// histogram from looking like harm.
pub(super) const SLOW_MARGIN: u32 = 20;

/// Counts of a node in a window, each with the number of the operation.
pub(super) type OperationCountsList = Vec<(u32, OperationCounts)>;

/// Rates of harmful outcomes of the nodes that run the base in one window, by zone, operation and
/// metric. A jump of traffic or a fault of a zone is part of these rates, and so does not show as a
/// difference between the cohorts.
#[derive(Debug, Default)]
pub(super) struct BaselineRates {
    zones: BTreeMap<(u32, u32), [[u64; 2]; 5]>,
    all: BTreeMap<u32, [[u64; 2]; 5]>,
}

impl BaselineRates {
    pub(super) fn of<'s>(
        samples: impl Iterator<Item = (&'s WindowSample, &'s OperationCountsList)>,
    ) -> BaselineRates {
        let mut rates = BaselineRates::default();
        for (sample, cells) in samples {
            for (operation, cell) in cells {
                let zone = rates.zones.entry((sample.zone, *operation)).or_default();
                for pool in [zone, rates.all.entry(*operation).or_default()] {
                    for (sum, metric) in pool.iter_mut().zip(Metric::ALL) {
                        let ([bad, all], _) = metric.of(cell);
                        (sum[0], sum[1]) = (sum[0] + bad, sum[1] + all);
                    }
                }
            }
        }
        rates
    }

    /// Returns the metrics of a node together with the values expected from the baseline rates of
    /// the node's zone, or of all zones if the zone has no baseline rates. A metric without any
    /// baseline rate is left out.
    pub(super) fn parts(&self, zone: u32, operation: u32, cell: &OperationCounts) -> NodeMetrics {
        let mut parts = NodeMetrics {
            arrived: cell.arrived,
            succeeded: cell.succeeded,
            ..NodeMetrics::default()
        };
        for metric in Metric::ALL {
            let at = metric as usize;
            let pool = |pool: Option<&[[u64; 2]; 5]>| {
                pool.map(|pool| pool[at]).filter(|[_, all]| *all > 0)
            };
            let rates =
                pool(self.zones.get(&(zone, operation))).or_else(|| pool(self.all.get(&operation)));
            let Some([bad, all]) = rates else { continue };
            let ([node_bad, node_all], count) = metric.of(cell);
            let expected = node_all as f64 * bad as f64 / all as f64;
            parts.parts[at] = NodeMetric {
                bad: node_bad,
                all: node_all,
                count,
                expected,
            };
        }
        parts
    }
}

/// Returns the latency above which a request is slow: the 90th percentile plus a margin. `None` if
/// there are too few latencies.
pub(super) fn slow_threshold(latencies: &BTreeMap<u32, u64>) -> Option<u32> {
    let all: u64 = latencies.values().sum();
    let mut below = 0;
    let percentile = latencies.iter().find(|(_, count)| {
        below += **count;
        below * 10 >= all * 9
    });
    percentile
        .filter(|_| all >= MIN_LATENCIES)
        .map(|(value, _)| value + SLOW_MARGIN.max(value / 10))
}
