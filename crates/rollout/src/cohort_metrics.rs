//! Metrics of the canary and the baseline nodes over the same windows, node by node: the input of
//! the canary analysis.
//!
//! The input is the counts of each node in each window. Windows before the rollout are recorded as
//! well: machines differ, and a node's counts before the rollout show how slow or faulty the node
//! is regardless of the new version.

mod baseline;
mod counts;
mod trend;

use crate::identifiers::{RolloutId, Version};
use crate::stages::node_position;
use baseline::{BaselineRates, OperationCountsList, slow_threshold};
pub use counts::{
    Cohort, Latencies, Metric, NodeMetric, NodeMetrics, OperationCounts, WindowSample,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub use trend::LinearTrend;

/// Maximum number of nodes with metrics of their own at either end of the rollout's node order: the
/// nodes that run the new version first, and those that run it last. The counts of the other nodes
/// only enter the baseline rates and [`CohortMetrics::history`].
pub const MAX_NODES_EACH_END: usize = 300;

/// Maximum number of operations of a node that are compared, each separately.
pub const MAX_OPERATIONS: usize = 16;

/// Maximum number of windows in [`CohortMetrics::history`].
const MAX_HISTORY: usize = 720;

/// Approximate memory of one node's metrics with eight operations, in bytes.
pub const NODE_BYTES: usize = 4 << 10;

/// Metrics of one node before and during a rollout, which the canary analysis compares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeHistory {
    /// Number of the node's zone; the node is compared with nodes of the same zone.
    pub zone: u32,
    /// Cohort of the node in its last window; `None` before the first one.
    pub cohort: Option<Cohort>,
    /// Metrics before the rollout began, by operation.
    pub before: BTreeMap<u32, NodeMetrics>,
    /// Metrics of the current stage in the current cohort, by operation.
    pub after: BTreeMap<u32, NodeMetrics>,
    /// Resident memory in KiB since the node entered its cohort.
    pub memory: LinearTrend,
    /// Open file descriptors since the node entered its cohort.
    pub descriptors: LinearTrend,
    /// Resident memory in KiB before the rollout began.
    pub memory_before: LinearTrend,
    /// Number of invariants that the node reported as violated in this stage.
    pub invariants: u64,
    /// Number of windows whose counts are in `after`.
    pub windows: u32,
    /// Number of windows since the node entered its cohort.
    windows_in_cohort: u32,
}

impl NodeHistory {
    /// Moves the node to a cohort and discards the metrics of the previous cohort. The first window
    /// in the canary cohort has counts of both versions and is used for neither cohort.
    fn enter(&mut self, cohort: Cohort) {
        self.cohort = Some(cohort);
        (self.after, self.windows, self.windows_in_cohort) = (BTreeMap::new(), 0, 0);
        (self.memory, self.descriptors) = Default::default();
        self.invariants = 0;
    }

    /// Adds the violated invariants of a window; returns whether the other counts of the window are
    /// used.
    fn counts_window(&mut self, sample: &WindowSample, cohort: Cohort) -> bool {
        self.invariants += sample.invariants;
        self.windows_in_cohort += 1;
        !(sample.just_started || self.windows_in_cohort < 2 && cohort == Cohort::Canary)
    }

    fn add_window(
        &mut self,
        x: f64,
        sample: &WindowSample,
        cells: &OperationCountsList,
        baseline_rates: &BaselineRates,
    ) {
        self.windows += 1;
        for (operation, cell) in cells {
            let parts = baseline_rates.parts(sample.zone, *operation, cell);
            self.after.entry(*operation).or_default().add(&parts);
        }
        self.memory.add(x, sample.memory_kb as f64);
        self.descriptors.add(x, sample.descriptors as f64);
    }
}

/// Counts of both cohorts in one window, for tables and plots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CohortPoint {
    /// Number of the window: Unix time divided by the window length.
    pub window: u64,
    /// Stage of the rollout in the window, from 1.
    pub stage: u32,
    /// Number of baseline nodes and of canary nodes.
    pub nodes: [u32; 2],
    /// Counts of the baseline nodes and of the canary nodes, summed over all operations.
    pub cells: [OperationCounts; 2],
    /// Mean resident memory of the baseline nodes and of the canary nodes, in KiB.
    pub memory_kb: [f64; 2],
}

/// Metrics of the nodes of both cohorts during one rollout.
#[derive(Clone, Debug, Default)]
pub struct CohortMetrics {
    /// The rollout that the metrics belong to.
    pub rollout: RolloutId,
    /// Version that the canary cohort runs.
    pub version: Version,
    /// Version that the baseline cohort runs.
    pub base: Version,
    /// Metrics of the nodes at either end of the rollout's node order, by node key.
    pub nodes: BTreeMap<u64, NodeHistory>,
    /// Latency above which a request is slow, by operation, in tenths of a millisecond.
    pub slow_from: BTreeMap<u32, u32>,
    /// Latency up to which a request is never slow, by operation, in tenths of a millisecond.
    fast_enough: BTreeMap<u32, u32>,
    latencies: BTreeMap<u32, BTreeMap<u32, u64>>,
    /// Counts of both cohorts in the last windows, oldest first.
    pub history: VecDeque<CohortPoint>,
    /// Nodes that ran a version other than the base in their last window.
    on_other_version: BTreeSet<u64>,
    stage: u32,
    first_window: u64,
    max_nodes_each_end: usize,
}

impl CohortMetrics {
    /// Creates empty metrics of a rollout that begins now.
    pub fn new(rollout: RolloutId, version: Version, base: Version) -> CohortMetrics {
        CohortMetrics {
            rollout,
            version,
            base,
            max_nodes_each_end: MAX_NODES_EACH_END,
            ..CohortMetrics::default()
        }
    }

    /// Limits the nodes with metrics of their own to this many at either end, from 4 to
    /// [`MAX_NODES_EACH_END`].
    pub fn with_capacity(mut self, nodes: usize) -> CohortMetrics {
        self.max_nodes_each_end = nodes.clamp(4, MAX_NODES_EACH_END);
        self
    }

    /// Sets the latency up to which a request is never slow, by operation, in tenths of a
    /// millisecond.
    pub fn with_fast_enough(mut self, fast_enough: BTreeMap<u32, u32>) -> CohortMetrics {
        self.fast_enough = fast_enough;
        self
    }

    fn node(&mut self, node: u64, zone: u32) -> Option<&mut NodeHistory> {
        if self.nodes.len() >= 2 * self.max_nodes_each_end && !self.nodes.contains_key(&node) {
            return None;
        }
        let history = self.nodes.entry(node).or_default();
        history.zone = zone;
        Some(history)
    }

    /// Records the windows before the rollout. Samples of nodes that did not run the base for the
    /// whole window are left out.
    pub fn begin(&mut self, windows: &[(u64, Vec<WindowSample>)]) {
        let mut on_base = |samples: &Vec<WindowSample>| -> Vec<WindowSample> {
            let is_on_base = |sample: &&WindowSample| self.ran_base(sample) && !sample.just_started;
            samples.iter().filter(is_on_base).cloned().collect()
        };
        let windows: Vec<(u64, Vec<WindowSample>)> = windows
            .iter()
            .map(|(no, samples)| (*no, on_base(samples)))
            .collect();
        windows
            .iter()
            .flat_map(|(_, samples)| samples)
            .for_each(|sample| self.learn(sample));
        let mut all: Vec<(u64, u64)> = windows
            .iter()
            .flat_map(|(_, samples)| samples)
            .map(|s| (node_position(self.rollout, s.node), s.node))
            .collect();
        all.sort_unstable();
        all.dedup();
        let ends = all
            .iter()
            .take(self.max_nodes_each_end)
            .chain(all.iter().rev().take(self.max_nodes_each_end));
        ends.for_each(|(_, node)| _ = self.nodes.entry(*node).or_default());
        for (window, samples) in &windows {
            let cells: Vec<OperationCountsList> =
                samples.iter().map(|sample| self.cells(sample)).collect();
            let baseline_rates = BaselineRates::of(samples.iter().zip(&cells));
            for (sample, cells) in samples.iter().zip(&cells) {
                let Some(node) = self.nodes.get_mut(&sample.node) else {
                    continue;
                };
                (node.zone, node.cohort) = (sample.zone, Some(Cohort::Baseline));
                for (operation, cell) in cells {
                    let parts = baseline_rates.parts(sample.zone, *operation, cell);
                    node.before.entry(*operation).or_default().add(&parts);
                }
                node.memory_before
                    .add(*window as f64, sample.memory_kb as f64);
            }
        }
    }

    /// Returns whether a node ran the base for the whole window. The window in which a node returns
    /// to the base also has counts of the version that it ran before, which may be the harm that
    /// the version was rolled back for. Used as the node's history, such counts would make a good
    /// version look harmful or hide a harmful one. Must be called once for each window, in order.
    fn ran_base(&mut self, sample: &WindowSample) -> bool {
        if sample.version_hash != self.base.hash {
            self.on_other_version.insert(sample.node);
            return false;
        }
        !self.on_other_version.remove(&sample.node)
    }

    /// Returns the counts of a sample by operation, with the number of slow requests.
    fn cells(&self, sample: &WindowSample) -> OperationCountsList {
        let cell = |(operation, (cell, latencies)): (&u32, &(OperationCounts, Latencies))| {
            let mut cell = *cell;
            if let Some(from) = self.slow_from.get(operation) {
                cell.timed = latencies.iter().map(|(_, count)| u64::from(*count)).sum();
                let slow = latencies.iter().filter(|(value, _)| value > from);
                cell.slow = slow.map(|(_, count)| u64::from(*count)).sum();
            }
            (*operation, cell)
        };
        sample
            .operations
            .iter()
            .take(MAX_OPERATIONS)
            .map(cell)
            .collect()
    }

    /// Sets the slow threshold of operations that have no threshold yet, from the latencies of a
    /// baseline node.
    fn learn(&mut self, sample: &WindowSample) {
        for (operation, (_, latencies)) in sample.operations.iter().take(MAX_OPERATIONS) {
            if !self.slow_from.contains_key(operation) {
                let latencies_by_value = self.latencies.entry(*operation).or_default();
                latencies.iter().for_each(|(value, count)| {
                    *latencies_by_value.entry(*value).or_default() += u64::from(*count)
                });
                if let Some(value) = slow_threshold(latencies_by_value) {
                    let fast_enough = self.fast_enough.get(operation).copied().unwrap_or(0);
                    self.slow_from.insert(*operation, value.max(fast_enough));
                    self.latencies.remove(operation);
                }
            }
        }
    }

    /// Starts a stage: resets the metrics by which a stage is analysed.
    pub fn start_stage(&mut self, stage: u32) {
        self.stage = stage;
        for node in self.nodes.values_mut() {
            // Memory and descriptor trends are kept across stages, since a slow rise takes longer
            // than one stage to show.
            (node.after, node.windows) = (BTreeMap::new(), 0);
            node.invariants = 0;
        }
    }

    /// Records the nodes' samples of a window that ended after the rollout began.
    pub fn record_window(&mut self, window: u64, samples: &[WindowSample]) {
        if self.first_window == 0 {
            self.first_window = window;
        }
        let x = (window - self.first_window.min(window)) as f64;
        let new = self.version.hash;
        // Nodes on any other version belong to no cohort.
        let by_cohort: Vec<(&WindowSample, Cohort)> = samples
            .iter()
            .filter_map(|sample| match self.ran_base(sample) {
                true => Some((sample, Cohort::Baseline)),
                false => (sample.version_hash == new).then_some((sample, Cohort::Canary)),
            })
            .collect();
        let warmed_up = by_cohort
            .iter()
            .filter(|(sample, cohort)| *cohort == Cohort::Baseline && !sample.just_started);
        warmed_up.for_each(|(sample, _)| self.learn(sample));
        let mut point = CohortPoint {
            window,
            stage: self.stage,
            ..CohortPoint::default()
        };
        let by_cohort: Vec<(&WindowSample, Cohort, OperationCountsList)> = by_cohort
            .into_iter()
            .map(|(sample, cohort)| (sample, cohort, self.cells(sample)))
            .collect();
        let warmed_up_baseline = by_cohort
            .iter()
            .filter(|(sample, cohort, _)| *cohort == Cohort::Baseline && !sample.just_started);
        let baseline_rates =
            BaselineRates::of(warmed_up_baseline.map(|(sample, _, cells)| (*sample, cells)));
        for (sample, cohort, cells) in &by_cohort {
            let at = *cohort as usize;
            point.nodes[at] += 1;
            point.memory_kb[at] += sample.memory_kb as f64;
            cells.iter().for_each(|(_, cell)| point.cells[at].add(cell));
            let Some(node) = self.node(sample.node, sample.zone) else {
                continue;
            };
            if node.cohort != Some(*cohort) {
                node.enter(*cohort);
            }
            if node.counts_window(sample, *cohort) {
                node.add_window(x, sample, cells, &baseline_rates);
            }
        }
        for cohort in 0..2 {
            point.memory_kb[cohort] /= f64::from(point.nodes[cohort].max(1));
        }
        self.history.push_back(point);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// Returns the number of the stage whose metrics are recorded, counted from 1.
    pub fn stage(&self) -> u32 {
        self.stage
    }

    /// Returns the nodes of a cohort, with their keys.
    pub fn cohort(&self, cohort: Cohort) -> impl Iterator<Item = (&u64, &NodeHistory)> {
        self.nodes
            .iter()
            .filter(move |(_, node)| node.cohort == Some(cohort))
    }

    /// Returns the number of requests that arrived at a cohort in this stage.
    pub fn arrived(&self, cohort: Cohort) -> u64 {
        self.cohort(cohort)
            .flat_map(|(_, node)| node.after.values())
            .map(|parts| parts.arrived)
            .sum()
    }

    /// Returns the operations with requests in this stage, sorted and without duplicates.
    pub fn operations(&self) -> Vec<u32> {
        let mut all: Vec<u32> = self
            .nodes
            .values()
            .flat_map(|node| node.after.keys().copied())
            .collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

#[cfg(test)]
mod tests;
