//! Load and counts of simulated nodes: machines that differ, zones with faults, jumps of traffic,
//! processes that warm up, and the effect of a version on all of these.

use crate::cohort_metrics::{Latencies, OperationCounts, WindowSample};
use crate::{Nanos, SECOND, splitmix64};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Length of a window of counts, in nanoseconds.
pub const WINDOW: Nanos = 10 * SECOND;

/// Operations: number, share of the requests, priority weight in thousandths, and typical latency
/// in tenths of a millisecond.
pub const OPERATIONS: [(u32, f64, u64, f64); 3] = [
    (11, 0.7, 1000, 200.0),
    (12, 0.25, 2000, 450.0),
    (13, 0.05, 6000, 900.0),
];
/// Distribution of latencies: each multiple of the typical latency, and the share of requests with
/// that latency.
const LATENCY_DISTRIBUTION: [(f64, f64); 8] = [
    (0.4, 0.1),
    (0.6, 0.15),
    (0.8, 0.2),
    (1.0, 0.2),
    (1.2, 0.15),
    (1.6, 0.1),
    (2.2, 0.07),
    (4.0, 0.03),
];
/// Multiple of the typical latency above which a reply is late.
const LATE_MULTIPLE: f64 = 5.0;

/// Effect of a version on the nodes that run it, compared with the base.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Effect {
    /// Operation that the effect is limited to; `None` for all operations.
    pub operation: Option<u32>,
    /// Additional share of requests that fail, from 0 to 1.
    pub errored: f64,
    /// Additional share of requests that are rejected, from 0 to 1.
    pub rejected: f64,
    /// Increase of latencies, as a fraction of the latency on the base.
    pub slowdown: f64,
    /// Number of windows from applying the version to the start of the effect.
    pub delay_windows: u64,
    /// Rise of resident memory in each window, as a fraction of the initial memory. Above three
    /// times the initial memory, half of the requests fail.
    pub memory_growth: f64,
    /// Probability that the process crashes in a window.
    pub crash_chance: f64,
    /// Share of nodes whose check rejects the version, from 0 to 1.
    pub rejecting_share: f64,
}

impl Effect {
    /// A version that does not differ from the base.
    pub const NONE: Effect = Effect {
        operation: None,
        errored: 0.0,
        rejected: 0.0,
        slowdown: 0.0,
        delay_windows: 0,
        memory_growth: 0.0,
        crash_chance: 0.0,
        rejecting_share: 0.0,
    };

    /// A version that rejects all requests.
    pub const REJECT_ALL: Effect = Effect {
        rejected: 1.0,
        ..Effect::NONE
    };
}

/// Differences between nodes, and faults that no version causes.
#[derive(Clone, Copy, Debug)]
pub struct Noise {
    /// Mean share of requests that fail at a node.
    pub failure_share: f64,
    /// Maximum deviation of a node's share of failed requests from `failure_share`, as a fraction
    /// of `failure_share`.
    pub failure_spread: f64,
    /// Share of machines that are slow, from 0 to 1.
    pub slow_share: f64,
    /// Increase of latencies on slow machines, as a fraction of the latency on other machines.
    pub slowdown: f64,
    /// Probability that a fault of a zone begins in a window; a fault lasts from 3 to 29 windows.
    pub zone_fault_chance: f64,
    /// Probability that a jump of traffic begins in a window; a jump lasts from 3 to 29 windows.
    pub jump_chance: f64,
    /// Probability that a process crashes in a window regardless of its version.
    pub crash_chance: f64,
}

impl Noise {
    /// Usual conditions: machines differ, and zone faults, traffic jumps and crashes happen
    /// occasionally.
    pub const USUAL: Noise = Noise {
        failure_share: 0.01,
        failure_spread: 0.5,
        slow_share: 0.05,
        slowdown: 0.6,
        zone_fault_chance: 0.004,
        jump_chance: 0.004,
        crash_chance: 0.0001,
    };
    /// No differences between nodes and no faults, apart from a constant share of failed requests.
    pub const NONE: Noise = Noise {
        failure_share: 0.01,
        failure_spread: 0.0,
        slow_share: 0.0,
        slowdown: 0.0,
        zone_fault_chance: 0.0,
        jump_chance: 0.0,
        crash_chance: 0.0,
    };
}

#[derive(Clone, Copy, Debug)]
struct Machine {
    failure_share: f64,
    slowdown: f64,
}

/// Returns the key of the node with this index.
pub(super) fn key(node: usize) -> u64 {
    splitmix64(node as u64 + 1)
}

/// Load of a simulated cluster, and the random state from which the counts of each window are
/// drawn.
#[derive(Clone, Debug)]
pub struct Load {
    rng: Pcg64Mcg,
    noise: Noise,
    zones: u32,
    requests_per_window: f64,
    machines: Vec<Machine>,
    zone_faults: BTreeMap<u32, (u64, f64)>,
    jump: (u64, f64),
}

/// The version that a node runs in a window, and for how many windows it has run.
#[derive(Clone, Copy, Debug)]
pub struct NodeRun {
    /// Hash of the version that the node runs.
    pub version_hash: u64,
    /// Effect of the version that the node runs.
    pub effect: Effect,
    /// Number of windows since the version was applied.
    pub windows_since_apply: u64,
    /// Number of windows since the process started.
    pub windows_since_start: u64,
}

impl Load {
    /// Creates the load of a cluster of this many nodes in this many zones. Each node receives
    /// about `requests_per_window` requests in a window.
    pub fn new(
        seed: u64,
        nodes: usize,
        zones: u32,
        requests_per_window: f64,
        noise: Noise,
    ) -> Load {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let machines = (0..nodes)
            .map(|_| Machine {
                failure_share: noise.failure_share
                    * (1.0 + noise.failure_spread * rng.random_range(-1.0..1.0)),
                slowdown: if rng.random_bool(noise.slow_share) {
                    noise.slowdown
                } else {
                    rng.random_range(0.0..0.1) * noise.failure_spread
                },
            })
            .collect();
        Load {
            rng,
            noise,
            zones,
            requests_per_window,
            machines,
            zone_faults: BTreeMap::new(),
            jump: (0, 1.0),
        }
    }

    /// Returns the number of the zone of the node with this index.
    pub fn zone(&self, node: usize) -> u32 {
        node as u32 % self.zones
    }

    /// Adds a machine for a node that joins.
    pub fn add_machine(&mut self) {
        self.machines.push(Machine {
            failure_share: self.noise.failure_share,
            slowdown: 0.0,
        });
    }

    /// Begins a window: faults of zones and jumps of traffic begin and end.
    pub fn begin_window(&mut self, window: u64) {
        self.zone_faults.retain(|_, (until, _)| *until > window);
        if self.rng.random_bool(self.noise.zone_fault_chance) {
            let (zone, severity) = (
                self.rng.random_range(0..self.zones),
                self.rng.random_range(0.02..0.3),
            );
            self.zone_faults
                .insert(zone, (window + self.rng.random_range(3..30), severity));
        }
        if window >= self.jump.0 {
            self.jump = (window, 1.0);
            if self.rng.random_bool(self.noise.jump_chance) {
                self.jump = (
                    window + self.rng.random_range(3..30),
                    self.rng.random_range(1.5..4.0),
                );
            }
        }
    }

    /// Returns whether a node crashes in this window.
    pub fn crashes(&mut self, run: &NodeRun) -> bool {
        let by_version = if run.windows_since_apply >= run.effect.delay_windows {
            run.effect.crash_chance
        } else {
            0.0
        };
        let chance = (self.noise.crash_chance + by_version).clamp(0.0, 1.0);
        self.rng.random_bool(chance)
    }

    /// Draws a binomially distributed number of successes in `n` trials with this probability;
    /// approximated by a normal distribution if `n` exceeds 40.
    fn binomial(&mut self, n: u64, chance: f64) -> u64 {
        let mean = n as f64 * chance.clamp(0.0, 1.0);
        if n == 0 || mean == 0.0 {
            return 0;
        }
        if n <= 40 {
            return (0..n)
                .filter(|_| self.rng.random_bool(chance.clamp(0.0, 1.0)))
                .count() as u64;
        }
        // Box-Muller transform.
        let (a, b) = (
            self.rng.random_range(f64::MIN_POSITIVE..1.0),
            self.rng.random::<f64>(),
        );
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let value = mean + normal * (mean * (1.0 - chance.clamp(0.0, 1.0))).sqrt();
        (value.round().max(0.0) as u64).min(n)
    }

    /// Returns the counts, latencies and lost priority weight of one operation at a node in a
    /// window.
    fn operation_counts(
        &mut self,
        (_, share, weight, typical_latency): (u32, f64, u64, f64),
        effect: &Effect,
        machine: Machine,
        zone_fault: f64,
        is_out_of_memory: bool,
    ) -> (OperationCounts, Latencies, f64) {
        let jump = self.jump.1;
        let trials = (self.requests_per_window * share * jump * 4.0) as u64;
        let arrived = self.binomial(trials, 0.25);
        // A jump of traffic exceeds the capacity: all nodes reject the same share of requests.
        let capacity_rejected_share = if jump > 1.2 {
            (1.0 - 1.2 / jump) * 0.5
        } else {
            0.0
        };
        let rejected = self.binomial(
            arrived,
            capacity_rejected_share + (1.0 - capacity_rejected_share) * effect.rejected,
        );
        let ran = arrived - rejected;
        let memory_failures = if is_out_of_memory { 0.5 } else { 0.0 };
        let base_failures = machine.failure_share + zone_fault;
        let errored = self.binomial(
            ran,
            base_failures + (1.0 - base_failures) * (effect.errored + memory_failures),
        );
        let succeeded = ran - errored;
        let slowdown = (1.0 + machine.slowdown) * (1.0 + effect.slowdown) * (1.0 + zone_fault);
        let mut latencies = Vec::new();
        let mut late = 0;
        for (multiple, chance) in LATENCY_DISTRIBUTION {
            let count = self.binomial(succeeded, chance);
            if count > 0 {
                latencies.push(((typical_latency * multiple * slowdown) as u32, count as u32));
                late += if multiple * slowdown > LATE_MULTIPLE {
                    count
                } else {
                    0
                };
            }
        }
        let effect_share =
            effect.rejected + (1.0 - effect.rejected) * (effect.errored + memory_failures);
        let lost = arrived as f64 * weight as f64 * effect_share.min(1.0) / 1000.0;
        let counts = OperationCounts {
            arrived,
            succeeded,
            rejected,
            errored,
            late: late.min(succeeded),
            earned: succeeded * weight,
            asked: arrived * weight,
            ..OperationCounts::default()
        };
        (counts, latencies, lost)
    }

    /// Returns the sample of a node in a window, and the priority weight lost to the effect of its
    /// version.
    pub fn sample(&mut self, node: usize, key: u64, run: &NodeRun) -> (WindowSample, f64) {
        let (zone, machine) = (self.zone(node), self.machines[node]);
        let zone_fault = self
            .zone_faults
            .get(&zone)
            .map_or(0.0, |(_, severity)| *severity);
        let is_active = run.windows_since_apply >= run.effect.delay_windows;
        let memory = 4000.0
            * (1.0
                + run.effect.memory_growth
                    * if is_active {
                        (run.windows_since_apply - run.effect.delay_windows) as f64
                    } else {
                        0.0
                    });
        let is_out_of_memory = memory > 12_000.0;
        let mut cost = 0.0;
        let mut operations = BTreeMap::new();
        for operation in OPERATIONS {
            let applies = is_active && run.effect.operation.is_none_or(|only| only == operation.0);
            let effect = if applies { run.effect } else { Effect::NONE };
            let (counts, latencies, lost) =
                self.operation_counts(operation, &effect, machine, zone_fault, is_out_of_memory);
            cost += lost;
            operations.insert(operation.0, (counts, latencies));
        }
        let memory_kb = (memory * (1.0 + self.rng.random_range(-0.01..0.01))) as u64;
        let descriptors = 40 + self.rng.random_range(0..3);
        let sample = WindowSample {
            node: key,
            zone,
            version_hash: run.version_hash,
            just_started: run.windows_since_start < 2,
            operations,
            memory_kb,
            descriptors,
            invariants: 0,
        };
        (sample, cost)
    }
}
