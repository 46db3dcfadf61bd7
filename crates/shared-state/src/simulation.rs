//! Fleets that share a budget, over simulated time: the same state machines, links that lose, delay
//! and are cut, nodes that crash, pause and return, clocks that drift; and a service below that
//! keeps the record. Beside the machines of this package two plain ways are played: an even part by
//! the number of nodes in sight, and a central counter.

mod baselines;
mod config;
mod keys;
mod node;
mod run;

pub use config::{LimitStrategy, SimulationConfig, SimulationResult};
pub use keys::KeyLoad;

use crate::budget::{Budget, NodeBudgets};
use crate::counters::{ClusterCounters, ProcessCounters};
use crate::keyed_quota::KeyedQuota;
use crate::keyed_quota::borrower::QuotaBorrower;
use crate::messages::{ReceivedMessage, write};
use crate::shared_state::{Config, SharedState};
use crate::{MILLISECOND, Nanos, ProcessId, SECOND};
use keys::KeyRecord;
use node::{SimulatedActions, SimulatedNode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

/// Between two words of a node's counts.
const TELLS: Nanos = 5 * SECOND;

/// Tries a second of a node at a time.
pub type Load = Box<dyn Fn(usize, Nanos) -> f64>;

/// A fleet that shares one budget.
pub struct Simulation {
    pub plan: SimulationConfig,
    pub now: Nanos,
    pub measured: SimulationResult,
    nodes: Vec<SimulatedNode>,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize, u64)>>,
    under_way: BTreeMap<u64, (ProcessId, ReceivedMessage)>,
    sent: u64,
    load: Load,
    cut: Box<dyn Fn(usize, usize) -> bool>,
    lives: u64,
    /// Calls in hand over all, with when they end.
    in_hand: BinaryHeap<Reverse<(Nanos, usize, u64)>>,
    recent: VecDeque<Nanos>,
    /// When the number of nodes changed, for sight that is late.
    changes: VecDeque<(Nanos, Vec<bool>)>,
    counter_saved: f64,
    pub lenders_most: usize,
    key_load: Option<KeyLoad>,
    key_record: KeyRecord,
    /// Callers who come back: when, to whom, how often they came, which key. And what is in hand:
    /// until when, of whom, which key.
    key_retries: BinaryHeap<Reverse<(Nanos, usize, u32, u64)>>,
    key_hands: BinaryHeap<Reverse<(Nanos, usize, u64, u64)>>,
    /// For plain ways: when a next one of a key would come evenly, at a node.
    plain_keys: HashMap<(usize, u64), Nanos>,
}

/// Time is played in steps of this.
const STEP: Nanos = 5 * MILLISECOND;
const ARBITERS: usize = 3;

impl Simulation {
    /// A fleet all of whose nodes start now.
    pub fn new(plan: SimulationConfig, load: Load) -> Simulation {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let nodes = (0..plan.nodes)
            .map(|_| SimulatedNode {
                shared: None,
                life: 0,
                rate: 1.0
                    + if plan.drift > 0.0 {
                        rng.random_range(-plan.drift..plan.drift)
                    } else {
                        0.0
                    },
                still_until: 0,
                owed: 0.0,
                saved: 0.0,
                up_since: 0,
                tally: ProcessCounters::default(),
                tells: 0,
            })
            .collect();
        let mut sim = Simulation {
            now: SECOND,
            measured: SimulationResult::of(plan.nodes),
            nodes,
            rng,
            queue: BinaryHeap::new(),
            under_way: BTreeMap::new(),
            sent: 0,
            load,
            cut: Box::new(|_, _| false),
            lives: 0,
            in_hand: BinaryHeap::new(),
            recent: VecDeque::new(),
            changes: VecDeque::new(),
            counter_saved: 0.0,
            lenders_most: 0,
            key_load: None,
            key_record: KeyRecord::default(),
            key_retries: BinaryHeap::new(),
            key_hands: BinaryHeap::new(),
            plain_keys: HashMap::new(),
            plan,
        };
        (0..sim.nodes.len()).for_each(|n| sim.start(n));
        sim
    }

    fn clock(&self, n: usize) -> Nanos {
        (self.now as f64 * self.nodes[n].rate) as Nanos
    }

    /// A node starts, knowing nothing.
    pub fn start(&mut self, n: usize) {
        self.lives += 1;
        let me = ProcessId {
            key: n as u64 + 1,
            life: self.lives,
        };
        let arbiters = (1..=ARBITERS.min(self.plan.nodes) as u64).collect();
        let keys: Vec<KeyedQuota> = self.plan.keys.iter().cloned().collect();
        let mut settings = Config::usual(me, arbiters, vec![self.plan.budget.clone()], keys);
        (settings.key_bytes, settings.counted) = (self.plan.key_bytes, self.plan.counted);
        settings.zone = (n % self.plan.zones.max(1)) as u32;
        let seed = self.plan.seed.wrapping_mul(7919).wrapping_add(self.lives);
        let now = self.clock(n);
        let node = &mut self.nodes[n];
        let ends = NodeBudgets::new(now, &settings.budgets);
        let wallet = QuotaBorrower::new(
            now,
            &settings.keys,
            settings.rhythm,
            self.plan.key_bytes,
            seed,
        );
        node.shared = Some(SharedState::new(
            settings,
            seed,
            now,
            SimulatedActions {
                sent: Vec::new(),
                ends,
                wallet,
            },
        ));
        (node.life, node.owed, node.saved, node.up_since) = (self.lives, 0.0, 0.0, self.now);
        (node.tally, node.tells) = (
            ProcessCounters::new(now / MILLISECOND),
            now + self.rng.random_range(0..TELLS),
        );
        self.changed();
    }

    fn changed(&mut self) {
        let up = self
            .nodes
            .iter()
            .map(|node| node.shared.is_some())
            .collect();
        self.changes.push_back((self.now, up));
    }

    /// A node ends without a word; what it had in hand below is given up.
    pub fn crash(&mut self, n: usize) {
        self.nodes[n].shared = None;
        self.in_hand.retain(|Reverse((_, node, _))| *node != n);
        let held = std::mem::take(&mut self.key_hands).into_vec();
        for Reverse((end, node, life, key)) in held {
            if node == n {
                self.key_record.over(key);
            } else {
                self.key_hands.push(Reverse((end, node, life, key)));
            }
        }
        self.changed();
    }

    /// A node stands still for so long.
    pub fn pause(&mut self, n: usize, time: Nanos) {
        self.nodes[n].still_until = self.now + time;
    }

    /// Links on which nothing passes, by sender and receiver.
    pub fn cut(&mut self, cut: impl Fn(usize, usize) -> bool + 'static) {
        self.cut = Box::new(cut);
    }

    /// Changes what is tried.
    pub fn load(&mut self, load: Load) {
        self.load = load;
    }

    /// Another limit, on some nodes.
    pub fn rebudget(&mut self, nodes: std::ops::Range<usize>, budget: &Budget) {
        for node in &mut self.nodes[nodes] {
            if let Some(shared) = &mut node.shared {
                shared.rebudget(vec![budget.clone()], Vec::new());
                shared.host.ends.rebudget(std::slice::from_ref(budget));
            }
        }
    }

    /// What it takes on the way, with the frame of the fleet and the heads of UDP and IP.
    fn bytes(told: &ReceivedMessage) -> u64 {
        const FRAME: usize = 32 + 16 + 24 + 28;
        (write(told).len() + FRAME) as u64
    }

    /// From here on what happens is measured anew; what is in hand stays.
    pub fn measure_anew(&mut self) {
        self.measured = SimulationResult::of(self.nodes.len());
        self.key_record
            .keys
            .values_mut()
            .for_each(|(due, _)| *due = 0);
    }

    /// The counts that a node knows of all, if it is an arbiter.
    pub fn counts(&self, n: usize) -> Option<&ClusterCounters> {
        self.nodes[n].shared.as_ref()?.counts_of_all()
    }

    /// Units that nodes have in hand now, over all of them.
    pub fn spendable(&mut self) -> u32 {
        let mut sum = 0;
        for n in 0..self.nodes.len() {
            let now = self.clock(n);
            if let Some(shared) = &mut self.nodes[n].shared {
                sum += shared.host.ends.purses()[0].units(now);
            }
        }
        sum
    }

    /// Units of one node now.
    pub fn units(&mut self, n: usize) -> u32 {
        let now = self.clock(n);
        self.nodes[n]
            .shared
            .as_mut()
            .map_or(0, |shared| shared.host.ends.purses()[0].units(now))
    }
}
