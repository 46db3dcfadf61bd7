//! Configuration of the shared state on one node.

use crate::budget::Budget;
use crate::keyed_quota::{KeyedQuota, QuotaTiming};
use crate::{MILLISECOND, Nanos, ProcessId, SECOND};

/// Number of lease requests that the leader can answer per second.
const LEADER_REQUESTS_PER_SECOND: u64 = 2000;
/// Minimum time between two lease requests of a borrower, in nanoseconds.
const MIN_REQUEST_INTERVAL: Nanos = 300 * MILLISECOND;
/// Duration of a lease, in request intervals.
const REQUESTS_PER_LEASE: u64 = 5;
/// Duration of the leader lease, in lease durations.
const LEASES_PER_LEADER_LEASE: u64 = 2;
/// Default memory limit of the keyed quotas' lender, in bytes.
const DEFAULT_QUOTA_LENDER_BYTES: usize = 1 << 20;
/// Default maximum number of borrowers of a budget.
const DEFAULT_MAX_BORROWERS: usize = 4096;

/// Configuration of the shared state on one node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Key and incarnation of this process.
    pub me: ProcessId,
    /// Number of this node's zone.
    pub zone: u32,
    /// Hashes of the voters' names, three or five of them, the same on all nodes.
    pub voters: Vec<u64>,
    /// Budgets on backend calls, in the same order throughout the process.
    pub budgets: Vec<Budget>,
    /// Keyed quotas that the leader of the cluster lends.
    pub quotas: Vec<KeyedQuota>,
    /// Intervals of the requests for units of keyed quotas.
    pub quota_timing: QuotaTiming,
    /// Memory limit of the keyed quotas' lender, in bytes.
    pub quota_lender_bytes: usize,
    /// Maximum number of processes whose counters a voter keeps separately; 0 disables the exchange
    /// of counters.
    pub max_counted_processes: usize,
    /// Duration of a vote, and thus of a leader lease, in nanoseconds.
    pub leader_lease: Nanos,
    /// Duration of a lease of units, in nanoseconds.
    pub lease_duration: Nanos,
    /// Time between two lease requests of a borrower, in nanoseconds.
    pub request_interval: Nanos,
    /// Maximum number of borrowers of a budget for which the leader keeps accounts.
    pub max_borrowers: usize,
}

impl Config {
    /// Returns the default configuration. The intervals follow from the maximum number of nodes, so
    /// that the leader can answer all requests. After the leader's death, grants resume within
    /// about two leader leases.
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
