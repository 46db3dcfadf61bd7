//! What came of a rollout's nodes and of the others over the same time, node by node: what the
//! judgement goes by.
//!
//! Fed with each node's counts of each window. What a node did before the rollout began is kept
//! beside: machines differ, and what a slow one did before tells how slow it is.

use crate::rollout::{RolloutId, Version};
use crate::stages::place;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Nodes that are kept apart, at either end of the rollout's order: those that run it first, and
/// those that run it last. The others are in the common shares only.
pub const NODES_MAX: usize = 300;
/// Operations that are judged each for itself.
pub const OPERATIONS_MAX: usize = 16;
/// Latencies from which it is known what is slow.
const LATENCIES: u64 = 100;
/// What is slow takes so much longer than nine in ten did, in tenths of a millisecond, and a tenth
/// longer at least: where all are quick, a hair more is no harm, and the histogram's own steps must
/// not look like some.
const SLOWER: u32 = 20;
/// Windows of the cohorts that are kept for tables and plots.
const HISTORY: usize = 720;

/// How many invocations took how long: value of a histogram's place, and count.
pub type Latencies = Vec<(u32, u32)>;

/// What is measured of an operation. Each is a share of what harms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Metric {
    /// Errored, of what arrived.
    Errored,
    /// Throttled, of what arrived.
    Throttled,
    /// Late, of what succeeded.
    Late,
    /// Billed value that was not earned, of what was asked for.
    Lost,
    /// Slower by a tenth and 2 ms than nine in ten were before, of what succeeded.
    Slow,
}

impl Metric {
    pub const ALL: [Metric; 5] = [
        Metric::Errored,
        Metric::Throttled,
        Metric::Late,
        Metric::Lost,
        Metric::Slow,
    ];

    /// What harms, and of how much; and how many invocations lie behind it.
    fn of(self, cell: &OperationCounts) -> ([u64; 2], u64) {
        match self {
            Metric::Errored => ([cell.errored, cell.arrived], cell.arrived),
            Metric::Throttled => ([cell.throttled, cell.arrived], cell.arrived),
            Metric::Late => ([cell.late, cell.succeeded], cell.succeeded),
            Metric::Lost => (
                [cell.asked.saturating_sub(cell.earned), cell.asked],
                cell.arrived,
            ),
            Metric::Slow => ([cell.slow, cell.timed], cell.timed),
        }
    }

    pub fn word(self) -> &'static str {
        match self {
            Metric::Errored => "errored",
            Metric::Throttled => "throttled",
            Metric::Late => "late",
            Metric::Lost => "value lost",
            Metric::Slow => "slow",
        }
    }
}

/// A measure at one node: what it came to, and what it would have if the node were as the old ones
/// of its zone in the same windows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeMetric {
    pub bad: u64,
    pub all: u64,
    pub count: u64,
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

/// All measures of an operation at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeMetrics {
    pub arrived: u64,
    pub succeeded: u64,
    parts: [NodeMetric; 5],
}

impl NodeMetrics {
    /// One measure.
    pub fn of(&self, measure: Metric) -> &NodeMetric {
        &self.parts[measure as usize]
    }

    fn add(&mut self, more: &NodeMetrics) {
        self.arrived += more.arrived;
        self.succeeded += more.succeeded;
        self.parts
            .iter_mut()
            .zip(&more.parts)
            .for_each(|(sum, more)| sum.add(more));
    }
}

/// What came of one operation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationCounts {
    pub arrived: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    pub late: u64,
    /// Billed value, in thousandths.
    pub earned: u64,
    pub asked: u64,
    /// Of those whose latency is known: all, and those slower than nine in ten of the old ones were
    /// before.
    pub timed: u64,
    pub slow: u64,
}

impl OperationCounts {
    pub fn add(&mut self, more: &OperationCounts) {
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
pub struct WindowSample {
    pub node: u64,
    pub zone: u32,
    /// What it ran, by the hash of the version.
    pub label: u64,
    /// Whether it has just started, and is not warm.
    pub cold: bool,
    /// By operation; with latencies in tenths of a millisecond and how often each came.
    pub operations: BTreeMap<u32, (OperationCounts, Latencies)>,
    pub memory_kb: u64,
    pub descriptors: u64,
    /// Invariants that did not hold.
    pub invariants: u64,
}

/// Which side a node is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cohort {
    Baseline,
    Canary,
}

/// A gauge over windows: a line through it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinearTrend {
    pub count: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    sum_yy: f64,
    pub last: f64,
}

impl LinearTrend {
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
        if self.count > 0.0 {
            self.sum_y / self.count
        } else {
            0.0
        }
    }

    /// How much it rises with each window, and the variance of that by how far the values lie from
    /// the line. They are taken to lie off by some `usual` part of the mean, as if four more
    /// windows had shown that. Nothing of fewer than four.
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

/// What a node takes here, with eight operations.
pub const NODE_BYTES: usize = 4 << 10;

/// What is known of a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeHistory {
    pub zone: u32,
    pub side: Option<Cohort>,
    /// Before the rollout began, and in this stage on the side that it is on, by operation.
    pub before: BTreeMap<u32, NodeMetrics>,
    pub after: BTreeMap<u32, NodeMetrics>,
    pub memory: LinearTrend,
    pub descriptors: LinearTrend,
    /// Memory and descriptors before.
    pub memory_before: LinearTrend,
    pub invariants: u64,
    /// Windows in this stage, and since it came to its side.
    pub windows: u32,
    settled: u32,
}

/// Both cohorts in one window, for tables and plots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CohortPoint {
    pub window: u64,
    pub stage: u32,
    /// Old, new: nodes, and all operations together.
    pub nodes: [u32; 2],
    pub cells: [OperationCounts; 2],
    /// The mean memory.
    pub memory_kb: [f64; 2],
}

type OperationCountsList = Vec<(u32, OperationCounts)>;

/// What was usual in a window, by zone, operation and measure: of what does not run the new
/// version. A jump of traffic or a zone in trouble is in it, and so taken out of what is compared.
#[derive(Debug, Default)]
struct BaselineRates {
    zones: BTreeMap<(u32, u32), [[u64; 2]; 5]>,
    all: BTreeMap<u32, [[u64; 2]; 5]>,
}

impl BaselineRates {
    fn of<'s>(
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
    fn parts(&self, zone: u32, operation: u32, cell: &OperationCounts) -> NodeMetrics {
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
fn nine_in_ten(latencies: &BTreeMap<u32, u64>) -> Option<u32> {
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

/// The record of one rollout.
#[derive(Clone, Debug, Default)]
pub struct CohortMetrics {
    pub rollout: RolloutId,
    pub version: Version,
    pub base: Version,
    pub nodes: BTreeMap<u64, NodeHistory>,
    /// By operation, what nine in ten of the old ones took at most before, in tenths of a
    /// millisecond.
    pub slow_from: BTreeMap<u32, u32>,
    /// Below this nothing is slow, by operation, in the same units.
    fast_enough: BTreeMap<u32, u32>,
    latencies: BTreeMap<u32, BTreeMap<u32, u64>>,
    pub history: VecDeque<CohortPoint>,
    /// Nodes that ran something else than the base in their last window.
    elsewhere: BTreeSet<u64>,
    stage: u32,
    first_window: u64,
    room: usize,
}

impl CohortMetrics {
    /// Of a rollout that begins now.
    pub fn new(rollout: RolloutId, version: Version, base: Version) -> CohortMetrics {
        CohortMetrics {
            rollout,
            version,
            base,
            room: NODES_MAX,
            ..CohortMetrics::default()
        }
    }

    /// With room for so many nodes at either end.
    pub fn with_capacity(mut self, nodes: usize) -> CohortMetrics {
        self.room = nodes.clamp(4, NODES_MAX);
        self
    }

    /// Where what takes less than so long, by operation in tenths of a millisecond, is quick enough
    /// for any caller.
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

    /// The rollout begins: these are the windows before, in which all that counts ran the base.
    pub fn begin(&mut self, windows: &[(u64, Vec<WindowSample>)]) {
        let mut pure = |samples: &Vec<WindowSample>| -> Vec<WindowSample> {
            let is_pure = |sample: &&WindowSample| self.ran_base(sample) && !sample.cold;
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
            .map(|s| (place(self.rollout, s.node), s.node))
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
                (node.zone, node.side) = (sample.zone, Some(Cohort::Baseline));
                for (operation, cell) in cells {
                    let parts = usual.parts(sample.zone, *operation, cell);
                    node.before.entry(*operation).or_default().add(&parts);
                }
                node.memory_before
                    .add(*window as f64, sample.memory_kb as f64);
            }
        }
    }

    /// Whether a node ran the base for all of a window. The one in which it came back to it has
    /// what it did before as well, which may be what a version was taken back for: as a past of its
    /// own it would make a good rollout look like harm, or hide some. To be asked of each window in
    /// turn.
    fn ran_base(&mut self, sample: &WindowSample) -> bool {
        if sample.label != self.base.hash {
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
            .take(OPERATIONS_MAX)
            .map(cell)
            .collect()
    }

    /// What was not known before is learnt from the old ones beside the new.
    fn learn(&mut self, sample: &WindowSample) {
        for (operation, (_, latencies)) in sample.operations.iter().take(OPERATIONS_MAX) {
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
    pub fn after(&mut self, window: u64, samples: &[WindowSample]) {
        if self.first_window == 0 {
            self.first_window = window;
        }
        let x = (window - self.first_window.min(window)) as f64;
        let new = self.version.hash;
        // What runs something else tells nothing of this.
        let sided: Vec<(&WindowSample, Cohort)> = samples
            .iter()
            .filter_map(|sample| match self.ran_base(sample) {
                true => Some((sample, Cohort::Baseline)),
                false => (sample.label == new).then_some((sample, Cohort::Canary)),
            })
            .collect();
        let warm = sided
            .iter()
            .filter(|(sample, side)| *side == Cohort::Baseline && !sample.cold);
        warm.for_each(|(sample, _)| self.learn(sample));
        let mut point = CohortPoint {
            window,
            stage: self.stage,
            ..CohortPoint::default()
        };
        let sided: Vec<(&WindowSample, Cohort, OperationCountsList)> = sided
            .into_iter()
            .map(|(sample, side)| (sample, side, self.cells(sample)))
            .collect();
        let warm_old = sided
            .iter()
            .filter(|(sample, side, _)| *side == Cohort::Baseline && !sample.cold);
        let usual = BaselineRates::of(warm_old.map(|(sample, _, cells)| (*sample, cells)));
        for (sample, side, cells) in &sided {
            let at = *side as usize;
            point.nodes[at] += 1;
            point.memory_kb[at] += sample.memory_kb as f64;
            cells.iter().for_each(|(_, cell)| point.cells[at].add(cell));
            let Some(node) = self.node(sample.node, sample.zone) else {
                continue;
            };
            if node.side != Some(*side) {
                // It came over: its first window is mixed, and says nothing of either side.
                node.side = Some(*side);
                (node.after, node.windows, node.settled) = (BTreeMap::new(), 0, 0);
                (node.memory, node.descriptors) = Default::default();
                node.invariants = 0;
            }
            node.invariants += sample.invariants;
            node.settled += 1;
            if sample.cold || node.settled < 2 && *side == Cohort::Canary {
                continue;
            }
            node.windows += 1;
            for (operation, cell) in cells {
                let parts = usual.parts(sample.zone, *operation, cell);
                node.after.entry(*operation).or_default().add(&parts);
            }
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
    pub fn side(&self, side: Cohort) -> impl Iterator<Item = (&u64, &NodeHistory)> {
        self.nodes
            .iter()
            .filter(move |(_, node)| node.side == Some(side))
    }

    /// Invocations that arrived at a side in this stage.
    pub fn arrived(&self, side: Cohort) -> u64 {
        self.side(side)
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
