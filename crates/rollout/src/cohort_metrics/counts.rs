//! Counts of a node in a window, and the metrics that are derived from these counts.

use std::collections::BTreeMap;

/// Latency histogram: the value of each bucket in tenths of a millisecond, and its number of
/// requests.
pub type Latencies = Vec<(u32, u32)>;

/// A metric of an operation: the share of requests, or of their priority weight, that had a bad
/// outcome. Lower values are better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Metric {
    /// Requests that failed, of those that arrived.
    Errored,
    /// Requests that were rejected, of those that arrived.
    Rejected,
    /// Requests past their latency objective, of those that succeeded.
    Late,
    /// Priority weight of requests that did not succeed, of the priority weight of the requests
    /// that arrived.
    Lost,
    /// Requests that succeeded but took longer than the 90th percentile of the base, by more than 2
    /// ms and by more than a tenth of that percentile, of those that succeeded.
    Slow,
}

impl Metric {
    /// All metrics, in the order of their discriminants.
    pub const ALL: [Metric; 5] = [
        Metric::Errored,
        Metric::Rejected,
        Metric::Late,
        Metric::Lost,
        Metric::Slow,
    ];

    /// Returns the part with the bad outcome and the total that it is a part of, both in the unit
    /// of the metric, and the number of requests that entered the total.
    pub(super) fn of(self, cell: &OperationCounts) -> ([u64; 2], u64) {
        match self {
            Metric::Errored => ([cell.errored, cell.arrived], cell.arrived),
            Metric::Rejected => ([cell.rejected, cell.arrived], cell.arrived),
            Metric::Late => ([cell.late, cell.succeeded], cell.succeeded),
            Metric::Lost => (
                [cell.asked.saturating_sub(cell.earned), cell.asked],
                cell.arrived,
            ),
            Metric::Slow => ([cell.slow, cell.timed], cell.timed),
        }
    }

    /// Returns the name of the metric in tables.
    pub fn display_name(self) -> &'static str {
        match self {
            Metric::Errored => "errored",
            Metric::Rejected => "throttled",
            Metric::Late => "late",
            Metric::Lost => "value lost",
            Metric::Slow => "slow",
        }
    }
}

/// A metric of one node: the observed value, and the value expected if the node were like the
/// baseline nodes of its zone in the same windows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeMetric {
    /// Part of `all` with the bad outcome, in the unit of the metric: requests, or thousandths of
    /// priority weight.
    pub bad: u64,
    /// Total that `bad` is a part of.
    pub all: u64,
    /// Number of requests that entered `all`; differs from `all` if the unit is priority weight.
    pub count: u64,
    /// Value of `bad` that the baseline rates of the same windows predict.
    pub expected: f64,
}

impl NodeMetric {
    fn add(&mut self, other: &NodeMetric) {
        self.bad += other.bad;
        self.all += other.all;
        self.count += other.count;
        self.expected += other.expected;
    }
}

/// Metrics of one operation at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeMetrics {
    /// Number of requests that arrived in the recorded windows.
    pub arrived: u64,
    /// Number of requests that succeeded in the recorded windows.
    pub succeeded: u64,
    pub(super) parts: [NodeMetric; 5],
}

impl NodeMetrics {
    /// Returns the values of `metric`, summed over the recorded windows.
    pub fn of(&self, metric: Metric) -> &NodeMetric {
        &self.parts[metric as usize]
    }

    pub(super) fn add(&mut self, other: &NodeMetrics) {
        self.arrived += other.arrived;
        self.succeeded += other.succeeded;
        self.parts
            .iter_mut()
            .zip(&other.parts)
            .for_each(|(sum, other)| sum.add(other));
    }
}

/// Counts of one operation at a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationCounts {
    /// Number of requests that arrived, whatever their outcome.
    pub arrived: u64,
    /// Number of requests that succeeded, on time or late.
    pub succeeded: u64,
    /// Number of requests that were rejected.
    pub rejected: u64,
    /// Number of requests that failed.
    pub errored: u64,
    /// Number of successful requests past their latency objective.
    pub late: u64,
    /// Priority weight of the successful requests, in thousandths.
    pub earned: u64,
    /// Priority weight of all requests that arrived, in thousandths.
    pub asked: u64,
    /// Number of requests whose latency is known.
    pub timed: u64,
    /// Number of the requests in `timed` that were slower than the slow threshold of the operation.
    pub slow: u64,
}

impl OperationCounts {
    /// Adds the counts of the same operation from another node or window.
    pub fn add(&mut self, other: &OperationCounts) {
        self.arrived += other.arrived;
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.errored += other.errored;
        self.late += other.late;
        self.earned += other.earned;
        self.asked += other.asked;
        self.timed += other.timed;
        self.slow += other.slow;
    }
}

/// Counts and gauges of one node in one window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WindowSample {
    /// Key of the node.
    pub node: u64,
    /// Number of the node's zone; rates are compared within a zone first.
    pub zone: u32,
    /// Hash of the version that the node ran, which determines the node's cohort.
    pub version_hash: u64,
    /// True while the node's process is warming up after its start. Of such a window only the
    /// violated invariants are analysed.
    pub just_started: bool,
    /// Counts and latencies, by operation.
    pub operations: BTreeMap<u32, (OperationCounts, Latencies)>,
    /// Resident memory in KiB.
    pub memory_kb: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
    /// Number of invariants that were violated in the window.
    pub invariants: u64,
}

/// Cohort of a node, by the version that the node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cohort {
    /// Nodes on the base, the version that is replaced.
    Baseline,
    /// Nodes on the new version.
    Canary,
}
