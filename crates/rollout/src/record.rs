//! What came of a change's nodes and of the others over the same time, node by node: what the judgement goes by.
//!
//! Fed with each node's counts of each window. What a node did before the change began is kept beside: machines differ, and what a
//! slow one did before tells how slow it is.

use crate::change::{ChangeId, Version};
use std::collections::{BTreeMap, VecDeque};

/// Nodes that are kept apart; of more, those that come first by a hash.
pub const NODES_MAX: usize = 400;
/// Operations that are judged each for itself.
pub const OPERATIONS_MAX: usize = 16;
/// Latencies from which it is known what is slow.
const LATENCIES: u64 = 100;
/// Windows of the cohorts that are kept for tables and plots.
const HISTORY: usize = 720;

/// What came of one operation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cell {
    pub arrived: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    pub late: u64,
    /// Billed value, in thousandths.
    pub earned: u64,
    pub asked: u64,
    /// Of those whose latency is known: all, and those slower than nine in ten of the old ones were before.
    pub timed: u64,
    pub slow: u64,
}

impl Cell {
    pub fn add(&mut self, more: &Cell) {
        self.arrived += more.arrived;
        self.succeeded += more.succeeded;
        self.throttled += more.throttled;
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
pub struct Sample {
    pub node: u64,
    pub zone: u32,
    /// What it ran, by the hash of the version.
    pub label: u64,
    /// Whether it has just started, and is not warm.
    pub cold: bool,
    /// By operation; with latencies in tenths of a millisecond and how often each came.
    pub operations: BTreeMap<u32, (Cell, Vec<(u32, u32)>)>,
    pub memory_kb: u64,
    pub descriptors: u64,
    /// Invariants that did not hold.
    pub invariants: u64,
}

/// Which side a node is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Side {
    Old,
    New,
}

/// A gauge over windows: a line through it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    pub count: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    sum_yy: f64,
    pub last: f64,
}

impl Line {
    fn add(&mut self, x: f64, y: f64) {
        self.count += 1.0;
        self.sum_x += x;
        self.sum_y += y;
        self.sum_xx += x * x;
        self.sum_xy += x * y;
        self.sum_yy += y * y;
        self.last = y;
    }

    /// Its mean.
    pub fn mean(&self) -> f64 {
        if self.count > 0.0 { self.sum_y / self.count } else { 0.0 }
    }

    /// How much it rises with each window, and the variance of that by how far the values lie from the line. They are taken to lie
    /// off by some `usual` part of the mean, as if four more windows had shown that. Nothing of fewer than four.
    pub fn slope(&self, usual: f64) -> Option<(f64, f64)> {
        let n = self.count;
        let spread = self.sum_xx - self.sum_x * self.sum_x / n;
        if n < 4.0 || spread <= 0.0 {
            return None;
        }
        let common = self.sum_xy - self.sum_x * self.sum_y / n;
        let slope = common / spread;
        let off = (self.sum_yy - self.sum_y * self.sum_y / n - slope * common).max(0.0);
        let usual = 4.0 * (usual * self.mean()).powi(2);
        Some((slope, (off + usual) / (n - 2.0 + 4.0) / spread))
    }
}

/// What is known of a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeRecord {
    pub zone: u32,
    pub side: Option<Side>,
    /// Before the change began, and in this stage on the side that it is on, by operation.
    pub before: BTreeMap<u32, Cell>,
    pub after: BTreeMap<u32, Cell>,
    pub memory: Line,
    pub descriptors: Line,
    /// Memory and descriptors before.
    pub memory_before: Line,
    pub invariants: u64,
    /// Windows in this stage, and since it came to its side.
    pub windows: u32,
    settled: u32,
}

/// Both cohorts in one window, for tables and plots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Point {
    pub window: u64,
    pub stage: u32,
    /// Old, new: nodes, and all operations together.
    pub nodes: [u32; 2],
    pub cells: [Cell; 2],
    /// The mean memory.
    pub memory_kb: [f64; 2],
}

/// What nine in ten took at most, of enough of them.
fn nine_in_ten(latencies: &BTreeMap<u32, u64>) -> Option<u32> {
    let all: u64 = latencies.values().sum();
    let mut below = 0;
    let ninth = latencies.iter().find(|(_, count)| {
        below += **count;
        below * 10 >= all * 9
    });
    ninth.filter(|_| all >= LATENCIES).map(|(value, _)| *value)
}

/// The record of one change.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub change: ChangeId,
    pub version: Version,
    pub base: Version,
    pub nodes: BTreeMap<u64, NodeRecord>,
    /// By operation, what nine in ten of the old ones took at most before, in tenths of a millisecond.
    pub slow_from: BTreeMap<u32, u32>,
    latencies: BTreeMap<u32, BTreeMap<u32, u64>>,
    pub history: VecDeque<Point>,
    stage: u32,
    first_window: u64,
}

impl Record {
    /// Of a change that begins now.
    pub fn new(change: ChangeId, version: Version, base: Version) -> Record {
        Record { change, version, base, ..Record::default() }
    }

    fn node(&mut self, node: u64, zone: u32) -> Option<&mut NodeRecord> {
        if self.nodes.len() >= NODES_MAX && !self.nodes.contains_key(&node) {
            return None;
        }
        let of = self.nodes.entry(node).or_default();
        of.zone = zone;
        Some(of)
    }

    /// What a node did in a window before the change began.
    pub fn before(&mut self, window: u64, sample: &Sample) {
        if sample.cold {
            return;
        }
        for (operation, (_, latencies)) in sample.operations.iter().take(OPERATIONS_MAX) {
            let of = self.latencies.entry(*operation).or_default();
            latencies.iter().for_each(|(value, count)| *of.entry(*value).or_default() += u64::from(*count));
        }
        let Some(node) = self.node(sample.node, sample.zone) else { return };
        node.side = Some(Side::Old);
        for (operation, (cell, _)) in sample.operations.iter().take(OPERATIONS_MAX) {
            node.before.entry(*operation).or_default().add(cell);
        }
        node.memory_before.add(window as f64, sample.memory_kb as f64);
    }

    /// All of that is in: from here on it is known what is slow.
    pub fn begin(&mut self) {
        for (operation, latencies) in &self.latencies {
            if let Some(value) = nine_in_ten(latencies) {
                self.slow_from.insert(*operation, value);
            }
        }
        self.latencies.retain(|operation, _| !self.slow_from.contains_key(operation));
    }

    /// What was not known before is learnt from the old ones beside the new.
    fn learn(&mut self, sample: &Sample) {
        for (operation, (_, latencies)) in sample.operations.iter().take(OPERATIONS_MAX) {
            if !self.slow_from.contains_key(operation) {
                let of = self.latencies.entry(*operation).or_default();
                latencies
                    .iter()
                    .for_each(|(value, count)| *of.entry(*value).or_default() += u64::from(*count));
                if let Some(value) = nine_in_ten(of) {
                    self.slow_from.insert(*operation, value);
                    self.latencies.remove(operation);
                }
            }
        }
    }

    /// A stage begins: what comes from here on is what it is judged by.
    pub fn stage_begins(&mut self, stage: u32) {
        self.stage = stage;
        for node in self.nodes.values_mut() {
            // What rises slowly is looked at over all stages.
            (node.after, node.windows) = (BTreeMap::new(), 0);
            node.invariants = 0;
        }
    }

    /// What nodes did in a window since.
    pub fn after(&mut self, window: u64, samples: &[Sample]) {
        if self.first_window == 0 {
            self.first_window = window;
        }
        let mut point = Point { window, stage: self.stage, ..Point::default() };
        for sample in samples {
            let side = match sample.label {
                label if label == self.version.hash => Side::New,
                label if label == self.base.hash => Side::Old,
                _ => continue, // it runs something else, and tells nothing of this
            };
            if side == Side::Old && !sample.cold {
                self.learn(sample);
            }
            let (slow_from, x) = (self.slow_from.clone(), (window - self.first_window.min(window)) as f64);
            let cells: Vec<(u32, Cell)> = sample
                .operations
                .iter()
                .take(OPERATIONS_MAX)
                .map(|(operation, (cell, latencies))| {
                    let mut cell = *cell;
                    if let Some(from) = slow_from.get(operation) {
                        cell.timed = latencies.iter().map(|(_, count)| u64::from(*count)).sum();
                        let slow = latencies.iter().filter(|(value, _)| value > from);
                        cell.slow = slow.map(|(_, count)| u64::from(*count)).sum();
                    }
                    (*operation, cell)
                })
                .collect();
            let at = side as usize;
            point.nodes[at] += 1;
            point.memory_kb[at] += sample.memory_kb as f64;
            cells.iter().for_each(|(_, cell)| point.cells[at].add(cell));
            let Some(node) = self.node(sample.node, sample.zone) else { continue };
            if node.side != Some(side) {
                // It came over: its first window is mixed, and says nothing of either side.
                let was = node.side.replace(side);
                (node.after, node.windows, node.settled) = (BTreeMap::new(), 0, u32::from(was.is_none()));
                (node.memory, node.descriptors) = Default::default();
                node.invariants = 0;
            }
            node.invariants += sample.invariants;
            node.settled += 1;
            if sample.cold || side == Side::New && node.settled < 2 {
                continue;
            }
            node.windows += 1;
            cells.iter().for_each(|(operation, cell)| node.after.entry(*operation).or_default().add(cell));
            node.memory.add(x, sample.memory_kb as f64);
            node.descriptors.add(x, sample.descriptors as f64);
        }
        for side in 0..2 {
            point.memory_kb[side] /= f64::from(point.nodes[side].max(1));
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

    /// Nodes on a side.
    pub fn side(&self, side: Side) -> impl Iterator<Item = (&u64, &NodeRecord)> {
        self.nodes.iter().filter(move |(_, node)| node.side == Some(side))
    }

    /// Invocations that arrived at a side in this stage.
    pub fn arrived(&self, side: Side) -> u64 {
        self.side(side).flat_map(|(_, node)| node.after.values()).map(|cell| cell.arrived).sum()
    }

    /// The operations that came in this stage.
    pub fn operations(&self) -> Vec<u32> {
        let mut all: Vec<u32> = self.nodes.values().flat_map(|node| node.after.keys().copied()).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample(node: u64, label: u64, arrived: u64, latencies: &[(u32, u32)]) -> Sample {
        let cell = Cell { arrived, succeeded: arrived, ..Cell::default() };
        Sample {
            node,
            label,
            operations: BTreeMap::from([(7, (cell, latencies.to_vec()))]),
            memory_kb: 1000 + 10 * node,
            ..Sample::default()
        }
    }

    fn record() -> Record {
        let version = |number| Version { number, hash: number };
        Record::new(ChangeId(1), version(2), version(1))
    }

    #[test]
    fn sides_are_told_apart_by_what_they_run_and_a_window_of_change_counts_for_neither() {
        let mut record = record();
        for window in 0..8 {
            [1, 2]
                .iter()
                .for_each(|node| record.before(window, &sample(*node, 1, 100, &[(10, 90), (50, 10)])));
        }
        record.begin();
        assert_eq!(record.slow_from[&7], 10);
        record.stage_begins(1);
        for window in 8..14 {
            let label = if window < 10 { 1 } else { 2 };
            record.after(window, &[sample(1, label, 10, &[(10, 5), (60, 5)]), sample(2, 1, 10, &[(10, 10)])]);
        }
        let (new, old) = (&record.nodes[&1], &record.nodes[&2]);
        assert_eq!((new.side, old.side), (Some(Side::New), Some(Side::Old)));
        assert_eq!((new.after[&7].arrived, old.after[&7].arrived), (30, 60), "windows 11 to 13, and all");
        assert_eq!((new.after[&7].slow, new.after[&7].timed, old.after[&7].slow), (15, 30, 0));
        assert_eq!((new.before[&7].arrived, record.arrived(Side::New)), (800, 30));
        record.stage_begins(2);
        assert_eq!((record.arrived(Side::New), record.nodes[&1].before[&7].arrived), (0, 800));
        assert_eq!(record.history.len(), 6);
    }

    #[test]
    fn cold_nodes_and_other_versions_say_nothing() {
        let mut record = record();
        record.begin();
        record.stage_begins(1);
        for window in 0..5 {
            let cold = Sample { cold: true, ..sample(1, 2, 10, &[]) };
            record.after(window, &[cold, sample(2, 99, 10, &[]), sample(3, 1, 10, &[])]);
        }
        assert_eq!((record.arrived(Side::New), record.arrived(Side::Old)), (0, 50));
        assert!(!record.nodes.contains_key(&2));
    }

    #[test]
    fn a_line_has_its_slope_and_nodes_are_bounded() {
        let mut line = Line::default();
        (0..10).for_each(|x| line.add(f64::from(x), 100.0 + 3.0 * f64::from(x)));
        let (slope, variance) = line.slope(0.0).unwrap();
        assert!((slope - 3.0).abs() < 1e-9 && variance < 1e-9 && (line.mean() - 113.5).abs() < 1e-9);
        assert!(line.slope(0.01).unwrap().1 > variance && line.last == 127.0);
        let mut record = record();
        (0..2000).for_each(|node| record.before(0, &sample(node, 1, 1, &[])));
        assert_eq!(record.nodes.len(), NODES_MAX);
    }
}
