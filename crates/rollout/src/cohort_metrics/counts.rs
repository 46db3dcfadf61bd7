//! What nodes count in a window, and the metrics that are drawn from it.

use std::collections::BTreeMap;

/// How many requests took how long: value of a histogram's bucket in tenths of a millisecond, and count.
pub type Latencies = Vec<(u32, u32)>;

/// What is measured of an operation. Each is a share of what harms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Metric {
    /// Errored, of what arrived.
    Errored,
    /// Rejected, of what arrived.
    Rejected,
    /// Late, of what succeeded.
    Late,
    /// Priority weight that was not earned, of what was asked for.
    Lost,
    /// Slower by a tenth and 2 ms than nine in ten were before, of what succeeded.
    Slow,
}

impl Metric {
    /// All metrics.
    pub const ALL: [Metric; 5] = [
        Metric::Errored,
        Metric::Rejected,
        Metric::Late,
        Metric::Lost,
        Metric::Slow,
    ];

    /// What harms, of how much, and how many requests are behind it.
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

    /// What it is called in tables.
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

/// A metric at one node: what it came to, and what it would have if the node were as the baseline nodes
/// of its zone in the same windows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeMetric {
    /// What harms.
    pub bad: u64,
    /// Of how much.
    pub all: u64,
    /// Requests behind it.
    pub count: u64,
    /// What would harm at a baseline node.
    pub expected: f64,
}

impl NodeMetric {
    fn add(&mut self, more: &NodeMetric) {
        self.bad += more.bad;
        self.all += more.all;
        self.count += more.count;
        self.expected += more.expected;
    }
}

/// All metrics of an operation at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeMetrics {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    pub(super) parts: [NodeMetric; 5],
}

impl NodeMetrics {
    /// One measure.
    pub fn of(&self, measure: Metric) -> &NodeMetric {
        &self.parts[measure as usize]
    }

    pub(super) fn add(&mut self, more: &NodeMetrics) {
        self.arrived += more.arrived;
        self.succeeded += more.succeeded;
        self.parts
            .iter_mut()
            .zip(&more.parts)
            .for_each(|(sum, more)| sum.add(more));
    }
}

/// Counts of one operation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub errored: u64,
    /// Successes past their latency objective.
    pub late: u64,
    /// Priority weight that was earned, in thousandths.
    pub earned: u64,
    /// Priority weight that was asked for, in thousandths.
    pub asked: u64,
    /// Requests whose latency is known.
    pub timed: u64,
    /// Of these, those that were slow.
    pub slow: u64,
}

impl OperationCounts {
    /// Adds other counts.
    pub fn add(&mut self, more: &OperationCounts) {
        self.arrived += more.arrived;
        self.succeeded += more.succeeded;
        self.rejected += more.rejected;
        self.errored += more.errored;
        self.late += more.late;
        self.earned += more.earned;
        self.asked += more.asked;
        self.timed += more.timed;
        self.slow += more.slow;
    }
}

/// What a node counted in one window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WindowSample {
    /// The node's key.
    pub node: u64,
    /// Its zone.
    pub zone: u32,
    /// What it ran: the hash of the version.
    pub version_hash: u64,
    /// Whether it has just started.
    pub just_started: bool,
    /// Counts and latencies by operation.
    pub operations: BTreeMap<u32, (OperationCounts, Latencies)>,
    /// Resident memory in KiB.
    pub memory_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Invariants that were violated.
    pub invariants: u64,
}

/// Which version a node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cohort {
    /// Nodes on the version that is replaced.
    Baseline,
    /// Nodes on the new version.
    Canary,
}
