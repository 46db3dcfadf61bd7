//! What came of the canary and of the baseline nodes over the same time, node by node: the input of the
//! canary analysis.
//!
//! Fed with each node's counts of each window. What a node did before the rollout began is recorded as
//! well: machines differ, and its past shows how slow a slow one is by itself.

mod baseline;
mod counts;
mod trend;

use crate::identifiers::{RolloutId, Version};
use crate::stages::node_position;
use baseline::{BaselineRates, OperationCountsList, nine_in_ten};
pub use counts::{
    Cohort, Latencies, Metric, NodeMetric, NodeMetrics, OperationCounts, WindowSample,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
pub use trend::LinearTrend;

/// Nodes that are kept apart at either end of the rollout's order: those that run the new version
/// first, and those that run it last. The others are in the common shares only.
pub const MAX_NODES_EACH_END: usize = 300;

/// Operations that are compared each for itself.
pub const MAX_OPERATIONS: usize = 16;

/// Windows of both cohorts that are remembered for tables and plots.
const HISTORY: usize = 720;

/// Bytes that a node takes here with eight operations.
pub const NODE_BYTES: usize = 4 << 10;

/// What is known of a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeHistory {
    /// Its zone.
    pub zone: u32,
    /// The cohort that it is in.
    pub cohort: Option<Cohort>,
    /// Its metrics before the rollout began, by operation.
    pub before: BTreeMap<u32, NodeMetrics>,
    /// Its metrics in this stage in its cohort, by operation.
    pub after: BTreeMap<u32, NodeMetrics>,
    /// Memory in KiB since it came to its cohort.
    pub memory: LinearTrend,
    /// Open descriptors since it came to its cohort.
    pub descriptors: LinearTrend,
    /// Memory in KiB before the rollout began.
    pub memory_before: LinearTrend,
    /// Violated invariants in this stage.
    pub invariants: u64,
    /// Windows in this stage.
    pub windows: u32,
    /// Windows since it came to its cohort.
    settled: u32,
}

impl NodeHistory {
    /// The node came over to a cohort: its first window there is mixed, and counts for neither.
    fn enter(&mut self, cohort: Cohort) {
        self.cohort = Some(cohort);
        (self.after, self.windows, self.settled) = (BTreeMap::new(), 0, 0);
        (self.memory, self.descriptors) = Default::default();
        self.invariants = 0;
    }

    /// Takes up invariants; whether the rest of the window counts.
    fn counts_window(&mut self, sample: &WindowSample, cohort: Cohort) -> bool {
        self.invariants += sample.invariants;
        self.settled += 1;
        !(sample.just_started || self.settled < 2 && cohort == Cohort::Canary)
    }

    fn add_window(
        &mut self,
        x: f64,
        sample: &WindowSample,
        cells: &OperationCountsList,
        usual: &BaselineRates,
    ) {
        self.windows += 1;
        for (operation, cell) in cells {
            let parts = usual.parts(sample.zone, *operation, cell);
            self.after.entry(*operation).or_default().add(&parts);
        }
        self.memory.add(x, sample.memory_kb as f64);
        self.descriptors.add(x, sample.descriptors as f64);
    }
}

/// Both cohorts in one window, for tables and plots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CohortPoint {
    /// The window's number.
    pub window: u64,
    /// The stage.
    pub stage: u32,
    /// Nodes: baseline, canary.
    pub nodes: [u32; 2],
    /// All operations together: baseline, canary.
    pub cells: [OperationCounts; 2],
    /// Mean memory in KiB: baseline, canary.
    pub memory_kb: [f64; 2],
}

/// The metrics of one rollout.
#[derive(Clone, Debug, Default)]
pub struct CohortMetrics {
    /// The rollout.
    pub rollout: RolloutId,
    /// What the canary cohort runs.
    pub version: Version,
    /// What the baseline cohort runs.
    pub base: Version,
    /// What is known of nodes, by key.
    pub nodes: BTreeMap<u64, NodeHistory>,
    /// The latency above which a request is slow, by operation, in tenths of a millisecond.
    pub slow_from: BTreeMap<u32, u32>,
    /// Latencies up to this are never slow, by operation, in tenths of a millisecond.
    fast_enough: BTreeMap<u32, u32>,
    latencies: BTreeMap<u32, BTreeMap<u32, u64>>,
    /// Both cohorts over the last windows.
    pub history: VecDeque<CohortPoint>,
    /// Nodes that ran something else than the base in their last window.
    elsewhere: BTreeSet<u64>,
    stage: u32,
    first_window: u64,
    room: usize,
}

impl CohortMetrics {
    /// The metrics of a rollout that begins now.
    pub fn new(rollout: RolloutId, version: Version, base: Version) -> CohortMetrics {
        CohortMetrics {
            rollout,
            version,
            base,
            room: MAX_NODES_EACH_END,
            ..CohortMetrics::default()
        }
    }

    /// Keeps this many nodes apart at either end.
    pub fn with_capacity(mut self, nodes: usize) -> CohortMetrics {
        self.room = nodes.clamp(4, MAX_NODES_EACH_END);
        self
    }

    /// Latencies that are fast enough for any client, by operation, in tenths of a millisecond.
    pub fn with_fast_enough(mut self, fast_enough: BTreeMap<u32, u32>) -> CohortMetrics {
        self.fast_enough = fast_enough;
        self
    }

    fn node(&mut self, node: u64, zone: u32) -> Option<&mut NodeHistory> {
        if self.nodes.len() >= 2 * self.room && !self.nodes.contains_key(&node) {
            return None;
        }
        let of = self.nodes.entry(node).or_default();
        of.zone = zone;
        Some(of)
    }

    /// The rollout begins: takes up the windows before it, as far as nodes ran the base.
    pub fn begin(&mut self, windows: &[(u64, Vec<WindowSample>)]) {
        let mut pure = |samples: &Vec<WindowSample>| -> Vec<WindowSample> {
            let is_pure = |sample: &&WindowSample| self.ran_base(sample) && !sample.just_started;
            samples.iter().filter(is_pure).cloned().collect()
        };
        let windows: Vec<(u64, Vec<WindowSample>)> = windows
            .iter()
            .map(|(no, samples)| (*no, pure(samples)))
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
            .take(self.room)
            .chain(all.iter().rev().take(self.room));
        ends.for_each(|(_, node)| _ = self.nodes.entry(*node).or_default());
        for (window, samples) in &windows {
            let cells: Vec<OperationCountsList> =
                samples.iter().map(|sample| self.cells(sample)).collect();
            let usual = BaselineRates::of(samples.iter().zip(&cells));
            for (sample, cells) in samples.iter().zip(&cells) {
                let Some(node) = self.nodes.get_mut(&sample.node) else {
                    continue;
                };
                (node.zone, node.cohort) = (sample.zone, Some(Cohort::Baseline));
                for (operation, cell) in cells {
                    let parts = usual.parts(sample.zone, *operation, cell);
                    node.before.entry(*operation).or_default().add(&parts);
                }
                node.memory_before
                    .add(*window as f64, sample.memory_kb as f64);
            }
        }
    }

    /// Whether a node ran the base for all of a window. The window in which it came back to it also has
    /// what it did before, which may be what a version was rolled back for: as a past of its own it would
    /// make a good version look like harm, or hide some. To be asked of each window in turn.
    fn ran_base(&mut self, sample: &WindowSample) -> bool {
        if sample.version_hash != self.base.hash {
            self.elsewhere.insert(sample.node);
            return false;
        }
        !self.elsewhere.remove(&sample.node)
    }

    /// A sample's operations, with what is slow among them.
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

    /// Latencies of operations that were not known before are learnt from baseline nodes.
    fn learn(&mut self, sample: &WindowSample) {
        for (operation, (_, latencies)) in sample.operations.iter().take(MAX_OPERATIONS) {
            if !self.slow_from.contains_key(operation) {
                let of = self.latencies.entry(*operation).or_default();
                latencies
                    .iter()
                    .for_each(|(value, count)| *of.entry(*value).or_default() += u64::from(*count));
                if let Some(value) = nine_in_ten(of) {
                    let fast_enough = self.fast_enough.get(operation).copied().unwrap_or(0);
                    self.slow_from.insert(*operation, value.max(fast_enough));
                    self.latencies.remove(operation);
                }
            }
        }
    }

    /// A stage begins: what comes from here on is what it is analysed by.
    pub fn start_stage(&mut self, stage: u32) {
        self.stage = stage;
        for node in self.nodes.values_mut() {
            // What rises slowly is looked at over all stages.
            (node.after, node.windows) = (BTreeMap::new(), 0);
            node.invariants = 0;
        }
    }

    /// Takes up what nodes counted in a window since the rollout began.
    pub fn record_window(&mut self, window: u64, samples: &[WindowSample]) {
        if self.first_window == 0 {
            self.first_window = window;
        }
        let x = (window - self.first_window.min(window)) as f64;
        let new = self.version.hash;
        // Nodes on any other version are left out.
        let with_cohort: Vec<(&WindowSample, Cohort)> = samples
            .iter()
            .filter_map(|sample| match self.ran_base(sample) {
                true => Some((sample, Cohort::Baseline)),
                false => (sample.version_hash == new).then_some((sample, Cohort::Canary)),
            })
            .collect();
        let warm = with_cohort
            .iter()
            .filter(|(sample, cohort)| *cohort == Cohort::Baseline && !sample.just_started);
        warm.for_each(|(sample, _)| self.learn(sample));
        let mut point = CohortPoint {
            window,
            stage: self.stage,
            ..CohortPoint::default()
        };
        let with_cohort: Vec<(&WindowSample, Cohort, OperationCountsList)> = with_cohort
            .into_iter()
            .map(|(sample, cohort)| (sample, cohort, self.cells(sample)))
            .collect();
        let warm_old = with_cohort
            .iter()
            .filter(|(sample, cohort, _)| *cohort == Cohort::Baseline && !sample.just_started);
        let usual = BaselineRates::of(warm_old.map(|(sample, _, cells)| (*sample, cells)));
        for (sample, cohort, cells) in &with_cohort {
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
                node.add_window(x, sample, cells, &usual);
            }
        }
        for cohort in 0..2 {
            point.memory_kb[cohort] /= f64::from(point.nodes[cohort].max(1));
        }
        self.history.push_back(point);
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    /// The stage that is recorded.
    pub fn stage(&self) -> u32 {
        self.stage
    }

    /// The nodes of a cohort.
    pub fn cohort(&self, cohort: Cohort) -> impl Iterator<Item = (&u64, &NodeHistory)> {
        self.nodes
            .iter()
            .filter(move |(_, node)| node.cohort == Some(cohort))
    }

    /// Requests that arrived at a cohort in this stage.
    pub fn arrived(&self, cohort: Cohort) -> u64 {
        self.cohort(cohort)
            .flat_map(|(_, node)| node.after.values())
            .map(|parts| parts.arrived)
            .sum()
    }

    /// The operations that came in this stage.
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
