//! Settings of a node's part.

use crate::budget::Budget;
use crate::keyed_quota::{KeyedQuota, QuotaTiming};
use crate::{MILLISECOND, Nanos, ProcessId, SECOND};

/// Questions that one who lends can answer in a second.
const QUESTIONS: u64 = 2000;

/// What a node is told.
#[derive(Clone, Debug)]
pub struct Config {
    pub me: ProcessId,
    pub zone: u32,
    /// Keys of those who arbitrate, the same on all nodes; an odd number, three or five.
    pub arbiters: Vec<u64>,
    pub budgets: Vec<Budget>,
    /// Limits by key, how often keys are asked for, and the bytes that books of them may take.
    pub keys: Vec<KeyedQuota>,
    pub rhythm: QuotaTiming,
    pub key_bytes: usize,
    /// Processes whose counts an arbiter keeps apart; none where nothing is counted.
    pub counted: usize,
    /// How long an arbiter's word holds, and how long a part does.
    pub term: Nanos,
    pub part: Nanos,
    /// Between two questions of a borrower.
    pub ask: Nanos,
    /// BorrowerTable that one who lends keeps accounts for.
    pub most: usize,
}

impl Config {
    /// Usual times, which follow from the most nodes that there may be, so that the one who lends
    /// is not asked more often than it can answer: recovery after its death takes about two terms.
    pub fn usual(
        me: ProcessId,
        arbiters: Vec<u64>,
        budgets: Vec<Budget>,
        keys: Vec<KeyedQuota>,
    ) -> Config {
        let most = budgets
            .iter()
            .map(|b| b.nodes_most)
            .chain(keys.iter().map(|k| k.nodes_most))
            .max();
        let most = most.unwrap_or(1);
        let ask = (300 * MILLISECOND).max(SECOND * u64::from(most) / QUESTIONS);
        let part = 5 * ask;
        let (term, rhythm) = (2 * part, QuotaTiming::of(most));
        let key_bytes = 1 << 20;
        let (counted, most) = (0, 4096);
        Config {
            me,
            zone: 0,
            arbiters,
            budgets,
            keys,
            rhythm,
            key_bytes,
            counted,
            term,
            part,
            ask,
            most,
        }
    }
}
