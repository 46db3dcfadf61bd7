//! What is simulated, and what came of it.

use crate::Nanos;
use crate::budget::Budget;
use crate::keyed_quota::KeyedQuota;

/// How limits are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitStrategy {
    /// By the leases of this package.
    Leases,
    /// Each node takes the limit divided by the nodes in its view; the view follows the truth late.
    EvenByView,
    /// One node counts for all and is asked about each call; without its answer there is no call.
    Counter,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// How many nodes there are.
    pub nodes: usize,
    /// How many zones they are spread over.
    pub zones: usize,
    /// How limits are kept.
    pub strategy: LimitStrategy,
    /// The budget that all nodes share.
    pub budget: Budget,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The least and the most latency of a message, in nanoseconds.
    pub latency: (Nanos, Nanos),
    /// Clocks run at most this part too fast or slow.
    pub clock_drift: f64,
    /// How late a node's view of the others is, for even shares, in nanoseconds.
    pub view_delay: Nanos,
    /// Of all random draws.
    pub seed: u64,
    /// A keyed quota beside the budget.
    pub quota: Option<KeyedQuota>,
    /// The memory for keys at a node, and at the leader, in bytes.
    pub quota_bytes: usize,
    /// The most processes whose counters voters keep apart; 0 where nothing is counted.
    pub max_counted_processes: usize,
}

/// What came of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationResult {
    /// Calls that were made.
    pub calls_made: u64,
    /// Calls that were attempted.
    pub calls_attempted: u64,
    /// The most over the limit, in units, in any second (of a rate) or at any moment (in flight).
    pub max_over_limit: f64,
    /// Seconds in which the limit was exceeded.
    pub seconds_over_limit: u64,
    /// Messages that were sent.
    pub messages: u64,
    /// Their bytes, with all headers.
    pub bytes: u64,
    /// Units of keys that were wanted; a refused client comes back twice.
    pub keys_wanted: u64,
    /// Units of keys that were admitted.
    pub keys_admitted: u64,
    /// Units of keys that were refused to the end.
    pub keys_refused: u64,
    /// The most over the limit of any key, in units.
    pub max_key_over_limit: f64,
    /// Admitted units of keys by node.
    pub keys_by_node: Vec<u64>,
    /// Calls made in each second.
    pub calls_by_second: Vec<u64>,
    /// Calls attempted in each second.
    pub attempts_by_second: Vec<u64>,
    /// Calls made by node.
    pub calls_by_node: Vec<u64>,
}

impl SimulationResult {
    /// An empty result of this many nodes.
    pub fn new(nodes: usize) -> SimulationResult {
        SimulationResult {
            calls_by_node: vec![0; nodes],
            keys_by_node: vec![0; nodes],
            ..SimulationResult::default()
        }
    }
}
