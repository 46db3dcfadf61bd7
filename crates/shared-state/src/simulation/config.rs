//! Config.

use crate::Nanos;
use crate::budget::Budget;
use crate::keyed_quota::KeyedQuota;

/// How the limit is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitStrategy {
    /// By this package.
    Leases,
    /// Each node takes the limit divided by the nodes it has in sight; sight follows the truth
    /// late.
    EvenByView,
    /// One node counts for all, and is asked for each call; no answer, no call.
    Counter,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub nodes: usize,
    pub zones: usize,
    pub way: LimitStrategy,
    pub budget: Budget,
    pub loss: f64,
    pub latency: (Nanos, Nanos),
    /// Clocks run this much fast or slow at most, as a part of one.
    pub drift: f64,
    /// How late a node's sight of the others is, for the even part.
    pub sight: Nanos,
    pub seed: u64,
    /// A limit by key beside it, and the bytes for the keys of a node, and of books.
    pub keys: Option<KeyedQuota>,
    pub key_bytes: usize,
    /// Processes whose counts arbiters keep apart; none are counted if it is 0.
    pub counted: usize,
}

/// What came of a play.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationResult {
    /// Calls that were made, and tried.
    pub made: u64,
    pub tried: u64,
    /// The most over the limit in any second (of a rate) or at any moment (in hand), in units.
    pub worst_over: f64,
    /// Seconds in which it was over.
    pub seconds_over: u64,
    /// Messages that were sent, and their bytes as parcels.
    pub messages: u64,
    pub bytes: u64,
    /// Of keys: units that were wanted (each by a caller who comes back twice when it is told to),
    /// let through, and refused at the end; the most over the limit of any key.
    pub keys_wanted: u64,
    pub keys_made: u64,
    pub keys_refused: u64,
    pub keys_over: f64,
    pub keys_by_node: Vec<u64>,
    /// Calls made in each second.
    pub by_second: Vec<u64>,
    pub tried_by_second: Vec<u64>,
    /// Calls of each node.
    pub by_node: Vec<u64>,
}

impl SimulationResult {
    /// Nothing yet, of so many nodes.
    pub fn of(nodes: usize) -> SimulationResult {
        SimulationResult {
            by_node: vec![0; nodes],
            keys_by_node: vec![0; nodes],
            ..SimulationResult::default()
        }
    }
}
