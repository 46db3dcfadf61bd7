//! The configuration and the result of a simulation.

use crate::Nanos;
use crate::budget::Budget;
use crate::keyed_quota::KeyedQuota;

/// A strategy to enforce a cluster-wide limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitStrategy {
    /// The leases and unit grants of this package.
    Leases,
    /// Each node uses the limit divided by the number of nodes in its view, which lags behind.
    EvenByView,
    /// The first node counts for all nodes and is asked before each call; without its answer no
    /// call is made.
    Counter,
}

/// Configuration of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Number of nodes, all of which start at 1 s of simulated time.
    pub nodes: usize,
    /// Number of zones over which the nodes are distributed.
    pub zones: usize,
    /// The strategy that enforces the limits.
    pub strategy: LimitStrategy,
    /// The budget that all nodes share.
    pub budget: Budget,
    /// Probability that a message is lost, from 0 to 1.
    pub loss: f64,
    /// Minimum and maximum latency of a message, in nanoseconds.
    pub latency: (Nanos, Nanos),
    /// Maximum deviation of the rate of a clock from 1, as a fraction.
    pub clock_drift: f64,
    /// Time in nanoseconds by which the view of a node lags, for [`LimitStrategy::EvenByView`].
    pub view_delay: Nanos,
    /// Seed of all random draws.
    pub seed: u64,
    /// A keyed quota in addition to the budget.
    pub quota: Option<KeyedQuota>,
    /// Memory for keys at each node, and in addition at the leader, in bytes.
    pub quota_bytes: usize,
    /// Maximum number of processes whose counters voters keep separately; 0 if the nodes report no
    /// counters.
    pub max_counted_processes: usize,
}

/// Result of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationResult {
    /// Number of calls that the strategy allowed.
    pub calls_made: u64,
    /// Number of calls that the nodes attempted, allowed or not.
    pub calls_attempted: u64,
    /// Maximum excess over the limit, in units: in any second for a rate, at any time for calls in
    /// flight.
    pub max_over_limit: f64,
    /// Number of seconds at whose beginning the limit was exceeded.
    pub seconds_over_limit: u64,
    /// Number of messages sent.
    pub messages: u64,
    /// Size of the messages sent, in bytes and including all headers.
    pub bytes: u64,
    /// Number of units of keyed quotas that clients requested. A refused client retries twice,
    /// which is not counted again.
    pub keys_wanted: u64,
    /// Number of units of keyed quotas admitted.
    pub keys_admitted: u64,
    /// Number of units of keyed quotas refused in all attempts.
    pub keys_refused: u64,
    /// Maximum excess of any key over its limit, in units.
    pub max_key_over_limit: f64,
    /// Number of units of keyed quotas admitted, by node.
    pub keys_by_node: Vec<u64>,
    /// Number of calls made, by second of the simulated time.
    pub calls_by_second: Vec<u64>,
    /// Number of calls attempted, by second of the simulated time.
    pub attempts_by_second: Vec<u64>,
    /// Number of calls made, by node.
    pub calls_by_node: Vec<u64>,
}

impl SimulationResult {
    /// Creates an empty result for a cluster of `nodes` nodes.
    pub fn new(nodes: usize) -> SimulationResult {
        SimulationResult {
            calls_by_node: vec![0; nodes],
            keys_by_node: vec![0; nodes],
            ..SimulationResult::default()
        }
    }
}
