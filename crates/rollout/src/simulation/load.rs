//! What simulated nodes get and make of it: machines that differ, zones in trouble, traffic that
//! jumps, processes that are cold; and what a version does to all that.

use crate::cohort_metrics::{Latencies, OperationCounts, WindowSample};
use crate::{Nanos, SECOND, splitmix64};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// The span of a window of counts.
pub const WINDOW: Nanos = 10 * SECOND;

/// Operations: number, share of the requests, priority weight in thousandths, and usual latency in tenths
/// of a millisecond.
pub const OPERATIONS: [(u32, f64, u64, f64); 3] = [
    (11, 0.7, 1000, 200.0),
    (12, 0.25, 2000, 450.0),
    (13, 0.05, 6000, 900.0),
];
/// How latencies lie about the usual one, and how often.
const SHAPE: [(f64, f64); 8] = [
    (0.4, 0.1),
    (0.6, 0.15),
    (0.8, 0.2),
    (1.0, 0.2),
    (1.2, 0.15),
    (1.6, 0.1),
    (2.2, 0.07),
    (4.0, 0.03),
];
/// Beyond this multiple of the usual latency an answer is late.
const LATE: f64 = 5.0;

/// What a version does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Effect {
    /// Of one operation only.
    pub operation: Option<u32>,
    /// The share of requests that fails on top.
    pub errored: f64,
    /// The share of requests that is rejected on top.
    pub throttled: f64,
    /// How much longer requests take, as a share.
    pub slower: f64,
    /// It starts this many windows after the version was applied.
    pub after: u64,
    /// How much memory rises with each window, as a share; at three times what it was requests fail.
    pub leaks: f64,
    /// The chance of a crash in each window.
    pub dies: f64,
    /// The share of nodes that reject the version.
    pub unfit: f64,
}

impl Effect {
    /// One that is like the version before.
    pub const NONE: Effect = Effect {
        operation: None,
        errored: 0.0,
        throttled: 0.0,
        slower: 0.0,
        after: 0,
        leaks: 0.0,
        dies: 0.0,
        unfit: 0.0,
    };

    /// Throttles everything.
    pub const SHUT: Effect = Effect {
        throttled: 1.0,
        ..Effect::NONE
    };
}

/// How much there is of what makes nodes differ.
#[derive(Clone, Copy, Debug)]
pub struct Noise {
    /// The mean share of failures of a node.
    pub errs: f64,
    /// How far a node's own share may be from the mean, as a share of it.
    pub differs: f64,
    /// The share of machines that are slow.
    pub slow: f64,
    /// How much longer they take.
    pub slower: f64,
    /// The chance in each window that a zone falls in trouble; it lasts some windows.
    pub trouble: f64,
    /// The chance in each window that traffic jumps; it lasts some windows.
    pub jump: f64,
    /// The chance in each window that a node crashes by itself.
    pub dies: f64,
}

impl Noise {
    /// As on a day of some trouble.
    pub const USUAL: Noise = Noise {
        errs: 0.01,
        differs: 0.5,
        slow: 0.05,
        slower: 0.6,
        trouble: 0.004,
        jump: 0.004,
        dies: 0.0001,
    };
    /// No trouble.
    pub const NONE: Noise = Noise {
        errs: 0.01,
        differs: 0.0,
        slow: 0.0,
        slower: 0.0,
        trouble: 0.0,
        jump: 0.0,
        dies: 0.0,
    };
}

#[derive(Clone, Copy, Debug)]
struct Machine {
    errs: f64,
    slower: f64,
}

/// A node's key.
pub(super) fn key(node: usize) -> u64 {
    splitmix64(node as u64 + 1)
}

/// The load of a cluster.
#[derive(Clone, Debug)]
pub struct Load {
    rng: Pcg64Mcg,
    noise: Noise,
    zones: u32,
    each: f64,
    machines: Vec<Machine>,
    trouble: BTreeMap<u32, (u64, f64)>,
    jump: (u64, f64),
}

/// What a node runs in a window.
#[derive(Clone, Copy, Debug)]
pub struct Runs {
    /// The hash of the version.
    pub version_hash: u64,
    /// What the version does.
    pub effect: Effect,
    /// Windows since the version was applied.
    pub since: u64,
    /// Windows since the process started.
    pub age: u64,
}

impl Load {
    /// For this many nodes in this many zones, each of which gets about `each` requests in a window.
    pub fn new(seed: u64, nodes: usize, zones: u32, each: f64, noise: Noise) -> Load {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let machines = (0..nodes)
            .map(|_| Machine {
                errs: noise.errs * (1.0 + noise.differs * rng.random_range(-1.0..1.0)),
                slower: if rng.random_bool(noise.slow) {
                    noise.slower
                } else {
                    rng.random_range(0.0..0.1) * noise.differs
                },
            })
            .collect();
        Load {
            rng,
            noise,
            zones,
            each,
            machines,
            trouble: BTreeMap::new(),
            jump: (0, 1.0),
        }
    }

    /// The zone of a node.
    pub fn zone(&self, node: usize) -> u32 {
        node as u32 % self.zones
    }

    /// One more machine.
    pub fn joins(&mut self) {
        self.machines.push(Machine {
            errs: self.noise.errs,
            slower: 0.0,
        });
    }

    /// A window begins: trouble comes and goes.
    pub fn window(&mut self, window: u64) {
        self.trouble.retain(|_, (until, _)| *until > window);
        if self.rng.random_bool(self.noise.trouble) {
            let (zone, much) = (
                self.rng.random_range(0..self.zones),
                self.rng.random_range(0.02..0.3),
            );
            self.trouble
                .insert(zone, (window + self.rng.random_range(3..30), much));
        }
        if window >= self.jump.0 {
            self.jump = (window, 1.0);
            if self.rng.random_bool(self.noise.jump) {
                self.jump = (
                    window + self.rng.random_range(3..30),
                    self.rng.random_range(1.5..4.0),
                );
            }
        }
    }

    /// Whether a node crashes in this window.
    pub fn dies(&mut self, runs: &Runs) -> bool {
        let by_version = if runs.since >= runs.effect.after {
            runs.effect.dies
        } else {
            0.0
        };
        let chance = (self.noise.dies + by_version).clamp(0.0, 1.0);
        self.rng.random_bool(chance)
    }

    /// About so many of `n`, each with this chance.
    fn of(&mut self, n: u64, chance: f64) -> u64 {
        let mean = n as f64 * chance.clamp(0.0, 1.0);
        if n == 0 || mean == 0.0 {
            return 0;
        }
        if n <= 40 {
            return (0..n)
                .filter(|_| self.rng.random_bool(chance.clamp(0.0, 1.0)))
                .count() as u64;
        }
        // Box and Muller's.
        let (a, b) = (
            self.rng.random_range(f64::MIN_POSITIVE..1.0),
            self.rng.random::<f64>(),
        );
        let bell = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let value = mean + bell * (mean * (1.0 - chance.clamp(0.0, 1.0))).sqrt();
        (value.round().max(0.0) as u64).min(n)
    }

    /// Counts, latencies and lost priority weight of one operation at a node in a window.
    fn operation_counts(
        &mut self,
        (_, part, value, usual): (u32, f64, u64, f64),
        effect: &Effect,
        machine: Machine,
        trouble: f64,
        is_full: bool,
    ) -> (OperationCounts, Latencies, f64) {
        let jump = self.jump.1;
        let many = (self.each * part * jump * 4.0) as u64;
        let arrived = self.of(many, 0.25);
        // A jump is more than there is room for: some are rejected, everywhere alike.
        let throttled_share = if jump > 1.2 {
            (1.0 - 1.2 / jump) * 0.5
        } else {
            0.0
        };
        let rejected = self.of(
            arrived,
            throttled_share + (1.0 - throttled_share) * effect.throttled,
        );
        let ran = arrived - rejected;
        let full = if is_full { 0.5 } else { 0.0 };
        let errs = machine.errs + trouble;
        let errored = self.of(ran, errs + (1.0 - errs) * (effect.errored + full));
        let succeeded = ran - errored;
        let slower = (1.0 + machine.slower) * (1.0 + effect.slower) * (1.0 + trouble);
        let mut latencies = Vec::new();
        let mut late = 0;
        for (times, chance) in SHAPE {
            let count = self.of(succeeded, chance);
            if count > 0 {
                latencies.push(((usual * times * slower) as u32, count as u32));
                late += if times * slower > LATE { count } else { 0 };
            }
        }
        let harm = effect.throttled + (1.0 - effect.throttled) * (effect.errored + full);
        let lost = arrived as f64 * value as f64 * harm.min(1.0) / 1000.0;
        let counts = OperationCounts {
            arrived,
            succeeded,
            rejected,
            errored,
            late: late.min(succeeded),
            earned: succeeded * value,
            asked: arrived * value,
            ..OperationCounts::default()
        };
        (counts, latencies, lost)
    }

    /// What a node counts in a window; with the priority weight that its version cost, beside what it
    /// would have earned.
    pub fn sample(&mut self, node: usize, key: u64, runs: &Runs) -> (WindowSample, f64) {
        let (zone, machine) = (self.zone(node), self.machines[node]);
        let trouble = self.trouble.get(&zone).map_or(0.0, |(_, much)| *much);
        let acts = runs.since >= runs.effect.after;
        let memory = 4000.0
            * (1.0
                + runs.effect.leaks
                    * if acts {
                        (runs.since - runs.effect.after) as f64
                    } else {
                        0.0
                    });
        let is_full = memory > 12_000.0;
        let mut cost = 0.0;
        let mut operations = BTreeMap::new();
        for operation in OPERATIONS {
            let touches = acts && runs.effect.operation.is_none_or(|only| only == operation.0);
            let effect = if touches { runs.effect } else { Effect::NONE };
            let (counts, latencies, lost) =
                self.operation_counts(operation, &effect, machine, trouble, is_full);
            cost += lost;
            operations.insert(operation.0, (counts, latencies));
        }
        let memory_kb = (memory * (1.0 + self.rng.random_range(-0.01..0.01))) as u64;
        let descriptors = 40 + self.rng.random_range(0..3);
        let sample = WindowSample {
            node: key,
            zone,
            version_hash: runs.version_hash,
            just_started: runs.age < 2,
            operations,
            memory_kb,
            descriptors,
            invariants: 0,
        };
        (sample, cost)
    }
}
