//! Settings of a node's part in the shared state.

use crate::budget::Budget;
use crate::keyed_quota::{KeyedQuota, QuotaTiming};
use crate::{MILLISECOND, Nanos, ProcessId, SECOND};

/// Requests that the leader can answer in a second.
const LEADER_REQUESTS_PER_SECOND: u64 = 2000;
/// The least time between two requests of a borrower, in nanoseconds.
const MIN_REQUEST_INTERVAL: Nanos = 300 * MILLISECOND;
/// A lease lasts for this many request intervals.
const REQUESTS_PER_LEASE: u64 = 5;
/// A leader lease lasts for this many leases.
const LEASES_PER_LEADER_LEASE: u64 = 2;
/// The default memory of the keyed quotas' lender, in bytes.
const DEFAULT_QUOTA_LENDER_BYTES: usize = 1 << 20;
/// The default bound on borrowers.
const DEFAULT_MAX_BORROWERS: usize = 4096;

/// Settings of a node's part in the shared state.
#[derive(Clone, Debug)]
pub struct Config {
    /// This process.
    pub me: ProcessId,
    /// Its zone.
    pub zone: u32,
    /// The hashes of the voters' names, the same on all nodes; an odd number, three or five.
    pub voters: Vec<u64>,
    /// Budgets on backend calls.
    pub budgets: Vec<Budget>,
    /// Limits by key.
    pub quotas: Vec<KeyedQuota>,
    /// How often keys are requested.
    pub quota_timing: QuotaTiming,
    /// The most memory of the keyed quotas' lender, in bytes.
    pub quota_lender_bytes: usize,
    /// The most processes whose counters a voter keeps apart; 0 where nothing is counted.
    pub max_counted_processes: usize,
    /// How long a vote, and with it leadership, lasts, in nanoseconds.
    pub leader_lease: Nanos,
    /// How long a lease of units lasts, in nanoseconds.
    pub lease_duration: Nanos,
    /// The time between two requests of a borrower, in nanoseconds.
    pub request_interval: Nanos,
    /// The most borrowers of a budget that the leader keeps accounts for.
    pub max_borrowers: usize,
}

impl Config {
    /// The default times, which follow from the most nodes that there may be, so that the leader can
    /// answer all requests. Recovery from the leader's death takes about two leader leases.
    pub fn with_defaults(
        me: ProcessId,
        voters: Vec<u64>,
        budgets: Vec<Budget>,
        quotas: Vec<KeyedQuota>,
    ) -> Config {
        let max_nodes = budgets
            .iter()
            .map(|budget| budget.max_nodes)
            .chain(quotas.iter().map(|quota| quota.max_nodes))
            .max()
            .unwrap_or(1);
        let request_interval =
            MIN_REQUEST_INTERVAL.max(SECOND * u64::from(max_nodes) / LEADER_REQUESTS_PER_SECOND);
        let lease_duration = REQUESTS_PER_LEASE * request_interval;
        Config {
            me,
            zone: 0,
            voters,
            budgets,
            quotas,
            quota_timing: QuotaTiming::for_nodes(max_nodes),
            quota_lender_bytes: DEFAULT_QUOTA_LENDER_BYTES,
            max_counted_processes: 0,
            leader_lease: LEASES_PER_LEADER_LEASE * lease_duration,
            lease_duration,
            request_interval,
            max_borrowers: DEFAULT_MAX_BORROWERS,
        }
    }
}
