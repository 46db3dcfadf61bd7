//! Simulation of clusters that share a budget. The state machines of this package run over
//! simulated time, with links that lose and delay messages or are cut, nodes that crash, restart
//! and are suspended, clocks that drift, and a backend service that records the calls that reach
//! it. For comparison, two baseline strategies are simulated as well: equal shares by the number of
//! nodes in view, and a central counter.
//!
//! All random draws come from one seed, so equal configurations give equal results. Time advances
//! in steps (`run`). The order of the draws within a step determines the recorded results and must
//! not change.

mod baselines;
mod calls;
mod config;
mod keys;
mod node;
mod run;

pub use config::{LimitStrategy, SimulationConfig, SimulationResult};
pub use keys::KeyLoad;

use crate::budget::{Budget, NodeBudgets};
use crate::counters::{ClusterCounters, PROCESS_ROW, ProcessCounters, process_column};
use crate::keyed_quota::KeyedQuota;
use crate::keyed_quota::borrower::QuotaBorrower;
use crate::messages::SharedMessage;
use crate::shared_state::{Config, SharedState};
use crate::{MILLISECOND, Nanos, ProcessId, SECOND};
use keys::KeySimulation;
use node::{SimulatedHost, SimulatedNode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Time between two counter reports of a node, in nanoseconds.
const REPORT_INTERVAL: Nanos = 5 * SECOND;
/// Duration of a step, in nanoseconds.
const STEP: Nanos = 5 * MILLISECOND;
/// Number of voters, which are the first nodes.
const VOTERS: usize = 3;

/// The load: the number of calls per second that a node attempts at a time in nanoseconds.
pub type Load = Box<dyn Fn(usize, Nanos) -> f64>;

/// A sent message that has not arrived yet.
struct MessageInFlight {
    from: ProcessId,
    message: SharedMessage,
}

/// A call in flight: the time of its end, its node, and the incarnation of the node.
type CallInFlight = Reverse<(Nanos, usize, u64)>;

/// A simulated cluster.
pub struct Simulation {
    /// Configuration with which the cluster was created.
    pub config: SimulationConfig,
    /// Simulated time, in nanoseconds.
    pub now: Nanos,
    /// The result since the start or the last [`Simulation::reset_result`].
    pub result: SimulationResult,
    /// Maximum number of nodes that were the leader at the same time.
    pub max_leaders: usize,
    nodes: Vec<SimulatedNode>,
    rng: Pcg64Mcg,
    /// Scheduled arrivals: the time, the id of the message, and the receiving node.
    arrivals: BinaryHeap<Reverse<(Nanos, u64, usize)>>,
    messages: BTreeMap<u64, MessageInFlight>,
    messages_sent: u64,
    load: Load,
    /// Returns whether the link from a sender to a receiver is cut.
    is_cut: Box<dyn Fn(usize, usize) -> bool>,
    incarnations: u64,
    /// Calls in flight of all nodes, in the order of their ends.
    calls_in_flight: BinaryHeap<CallInFlight>,
    /// Times of the calls of the last second.
    recent_calls: VecDeque<Nanos>,
    /// Which nodes were up from which time on, for views that lag behind.
    up_changes: VecDeque<(Nanos, Vec<bool>)>,
    /// Number of calls that the central counter allows now.
    counter_tokens: f64,
    keys: KeySimulation,
}

impl Simulation {
    /// Creates a cluster, all of whose nodes start at 1 s of simulated time.
    pub fn new(config: SimulationConfig, load: Load) -> Simulation {
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let nodes = (0..config.nodes)
            .map(|_| {
                SimulatedNode::new(
                    1.0 + if config.clock_drift > 0.0 {
                        rng.random_range(-config.clock_drift..config.clock_drift)
                    } else {
                        0.0
                    },
                )
            })
            .collect();
        let mut simulation = Simulation {
            now: SECOND,
            result: SimulationResult::new(config.nodes),
            max_leaders: 0,
            nodes,
            rng,
            arrivals: BinaryHeap::new(),
            messages: BTreeMap::new(),
            messages_sent: 0,
            load,
            is_cut: Box::new(|_, _| false),
            incarnations: 0,
            calls_in_flight: BinaryHeap::new(),
            recent_calls: VecDeque::new(),
            up_changes: VecDeque::new(),
            counter_tokens: 0.0,
            keys: KeySimulation::default(),
            config,
        };
        (0..simulation.nodes.len()).for_each(|n| simulation.start(n));
        simulation
    }

    /// Returns the time by the clock of a node, in nanoseconds.
    fn clock(&self, n: usize) -> Nanos {
        (self.now as f64 * self.nodes[n].clock_rate) as Nanos
    }

    fn process(&self, n: usize) -> ProcessId {
        ProcessId {
            key: n as u64 + 1,
            incarnation: self.nodes[n].incarnation,
        }
    }

    /// Starts a node with a new incarnation and no state.
    pub fn start(&mut self, n: usize) {
        self.incarnations += 1;
        let me = ProcessId {
            key: n as u64 + 1,
            incarnation: self.incarnations,
        };
        let voters = (1..=VOTERS.min(self.config.nodes) as u64).collect();
        let quotas: Vec<KeyedQuota> = self.config.quota.iter().cloned().collect();
        let mut settings =
            Config::with_defaults(me, voters, vec![self.config.budget.clone()], quotas);
        settings.quota_lender_bytes = self.config.quota_bytes;
        settings.max_counted_processes = self.config.max_counted_processes;
        settings.zone = (n % self.config.zones.max(1)) as u32;
        let seed = self
            .config
            .seed
            .wrapping_mul(7919)
            .wrapping_add(self.incarnations);
        let now = self.clock(n);
        let host = SimulatedHost {
            sent: Vec::new(),
            budgets: NodeBudgets::new(now, &settings.budgets),
            quotas: QuotaBorrower::new(
                now,
                &settings.quotas,
                settings.quota_timing,
                self.config.quota_bytes,
                seed,
            ),
        };
        let node = &mut self.nodes[n];
        node.shared = Some(SharedState::new(settings, seed, now, host));
        node.incarnation = self.incarnations;
        node.load_credit = 0.0;
        (node.even_tokens, node.even_refilled_at) = (0.0, self.now);
        node.counters = ProcessCounters::new(now / MILLISECOND);
        node.next_report = now + self.rng.random_range(0..REPORT_INTERVAL);
        self.record_up_change();
    }

    fn record_up_change(&mut self) {
        let up = self
            .nodes
            .iter()
            .map(|node| node.shared.is_some())
            .collect();
        self.up_changes.push_back((self.now, up));
    }

    /// Crashes a node: it sends no message, and its calls in flight are abandoned.
    pub fn crash(&mut self, n: usize) {
        self.nodes[n].shared = None;
        self.calls_in_flight
            .retain(|Reverse((_, node, _))| *node != n);
        self.keys.abandon(n);
        self.record_up_change();
    }

    /// Suspends a node for `duration` nanoseconds.
    pub fn suspend(&mut self, n: usize, duration: Nanos) {
        self.nodes[n].suspended_until = self.now + duration;
    }

    /// Cuts the links for which `is_cut` returns true for the sender and the receiver, and restores
    /// all others.
    pub fn cut_links(&mut self, is_cut: impl Fn(usize, usize) -> bool + 'static) {
        self.is_cut = Box::new(is_cut);
    }

    /// Replaces the load.
    pub fn set_load(&mut self, load: Load) {
        self.load = load;
    }

    /// Replaces the budget on a range of nodes.
    pub fn update_budget(&mut self, nodes: std::ops::Range<usize>, budget: &Budget) {
        for node in &mut self.nodes[nodes] {
            if let Some(shared) = &mut node.shared {
                shared.update_limits(vec![budget.clone()], Vec::new());
                shared
                    .host
                    .budgets
                    .update_budgets(std::slice::from_ref(budget));
            }
        }
    }

    /// Begins a new result. Messages, calls and units in flight stay.
    pub fn reset_result(&mut self) {
        self.result = SimulationResult::new(self.nodes.len());
        self.keys.forget_dues();
    }

    /// Returns the counters of all processes that a node keeps as a voter; `None` for other nodes.
    pub fn cluster_counters(&self, n: usize) -> Option<&ClusterCounters> {
        self.nodes[n].shared.as_ref()?.cluster_counters()
    }

    /// Makes all voters retire the processes that are down.
    pub fn retire_processes(&mut self) {
        let up: Vec<ProcessId> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].shared.is_some())
            .map(|n| self.process(n))
            .collect();
        for n in 0..self.nodes.len() {
            let now = self.clock(n);
            if let Some(shared) = &mut self.nodes[n].shared {
                shared.retire_processes(now, |process| up.contains(&process));
            }
        }
    }

    /// Returns the number of calls of the whole cluster in the totals that a node received last.
    pub fn reported_calls(&self, n: usize) -> Option<u64> {
        let shared = self.nodes[n].shared.as_ref()?;
        let (totals, _) = shared.totals(self.clock(n))?;
        Some(totals.total.get(&PROCESS_ROW)?[process_column::CALLS])
    }

    /// Returns the number of units of the budget that all nodes together may use now.
    pub fn usable_units(&mut self) -> u32 {
        (0..self.nodes.len()).map(|n| self.units(n)).sum()
    }

    /// Returns the number of units of the budget that one node may use now.
    pub fn units(&mut self, n: usize) -> u32 {
        let now = self.clock(n);
        self.nodes[n]
            .shared
            .as_mut()
            .map_or(0, |shared| shared.host.budgets.borrowers()[0].units(now))
    }
}
