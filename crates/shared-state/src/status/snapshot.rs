//! The fields of the status snapshot, encoded as Protocol Buffers. Field numbers are fixed.

/// State of a budget on backend calls at one node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BudgetStatus {
    /// Name of the budget.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether the budget limits a rate; otherwise it limits the number of calls in flight.
    #[prost(bool, tag = "2")]
    pub is_rate: bool,
    /// Limit for all nodes together, in calls per second or calls in flight.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Guaranteed floor: units that each node may use without a lease.
    #[prost(uint32, tag = "4")]
    pub floor: u32,
    /// Maximum number of processes that run at the same time.
    #[prost(uint32, tag = "5")]
    pub max_nodes: u32,
    /// True if only retries of failed calls need a unit of the budget.
    #[prost(bool, tag = "6")]
    pub retries_only: bool,
    /// Number of units that the node may use now.
    #[prost(uint32, tag = "7")]
    pub units: u32,
    /// Number of units that the node requests beyond its floor.
    #[prost(uint32, tag = "8")]
    pub demand: u32,
    /// Number of calls in flight.
    #[prost(uint32, tag = "9")]
    pub in_flight: u32,
    /// Number of calls that got a unit.
    #[prost(uint64, tag = "10")]
    pub allowed: u64,
    /// Number of calls refused for lack of a unit.
    #[prost(uint64, tag = "11")]
    pub refused: u64,
    /// The latest lease, if any.
    #[prost(message, optional, tag = "12")]
    pub lease: Option<LeaseStatus>,
}

/// A lease of a budget.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeaseStatus {
    /// Number of units when the lease was granted.
    #[prost(uint32, tag = "1")]
    pub units: u32,
    /// Time since the request for the lease, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub requested_ms_ago: u64,
    /// Time since the grant was received, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub granted_ms_ago: u64,
    /// Duration of the lease, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub duration_ms: u64,
    /// Number of units that all borrowers requested at the time of the grant.
    #[prost(uint32, tag = "5")]
    pub total_demand: u32,
    /// Number of borrowers at the time of the grant.
    #[prost(uint32, tag = "6")]
    pub borrowers: u32,
    /// Number of units that the lender distributed at the time of the grant.
    #[prost(uint32, tag = "7")]
    pub pool: u32,
}

/// State of a keyed quota at one node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaStatus {
    /// Name of the quota.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Limit on the units of each key: per period, or in flight if `period_ms` is 0.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Period in milliseconds; 0 for a limit on units in flight.
    #[prost(uint64, tag = "3")]
    pub period_ms: u64,
    /// Number of units of each key that may be saved up.
    #[prost(uint32, tag = "4")]
    pub burst: u32,
    /// Guaranteed floor: units of each key that each node may use without a lease.
    #[prost(uint32, tag = "5")]
    pub floor: u32,
    /// Maximum number of processes that run at the same time.
    #[prost(uint32, tag = "6")]
    pub max_nodes: u32,
    /// Number of requests admitted by leased units.
    #[prost(uint64, tag = "7")]
    pub by_lease: u64,
    /// Number of requests admitted by the floor.
    #[prost(uint64, tag = "8")]
    pub by_floor: u64,
    /// Numbers of refused requests by reason, in the order of
    /// [`RefusalReason`](crate::keyed_quota::borrower::RefusalReason).
    #[prost(uint64, repeated, tag = "9")]
    pub refused: Vec<u64>,
    /// Number of leased units of all keys.
    #[prost(uint64, tag = "10")]
    pub units: u64,
    /// Number of keys with leased units.
    #[prost(uint64, tag = "11")]
    pub keys: u64,
}

/// Health of the backend service at one node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceStatus {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Health state of the service at this node, as labelled by
    /// [`HealthState::label`](crate::HealthState::label).
    #[prost(string, tag = "2")]
    pub state: String,
    /// Time since the last change of the state, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub since_ms: u64,
    /// Share of calls that is admitted, from 0 to 1.
    #[prost(double, tag = "4")]
    pub admitted_share: f64,
    /// Number of the node's calls in its last window of 2 s.
    #[prost(uint32, tag = "5")]
    pub calls: u32,
    /// Number of the node's calls in that window that failed.
    #[prost(uint32, tag = "6")]
    pub failed: u32,
    /// Number of other nodes with a conclusive report.
    #[prost(uint32, tag = "7")]
    pub reporters: u32,
    /// Number of reporters to which the service is failing.
    #[prost(uint32, tag = "8")]
    pub failing: u32,
    /// Number of zones of the reporters.
    #[prost(uint32, tag = "9")]
    pub zones: u32,
    /// Number of zones of the reporters to which the service is failing.
    #[prost(uint32, tag = "10")]
    pub failing_zones: u32,
    /// Whether this node is one of the probers while the service is unavailable.
    #[prost(bool, tag = "11")]
    pub is_prober: bool,
    /// Whether the member table of this node has no other member.
    #[prost(bool, tag = "12")]
    pub is_alone: bool,
    /// Number of calls that the health of the service allowed.
    #[prost(uint64, tag = "13")]
    pub admitted: u64,
    /// Number of calls that the health of the service refused.
    #[prost(uint64, tag = "14")]
    pub withheld: u64,
}

/// The units of a budget that the leader has granted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LenderStatus {
    /// Name of the budget.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of leased units that may be in use.
    #[prost(uint32, tag = "2")]
    pub outstanding: u32,
    /// Number of units that the leader distributes.
    #[prost(uint32, tag = "3")]
    pub pool: u32,
    /// Number of borrowers of the budget that the leader knows.
    #[prost(uint32, tag = "4")]
    pub borrowers: u32,
}

/// A row of the counters of the cluster.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CounterRowStatus {
    /// Name of the operation; empty for the processes themselves, and the row number in hexadecimal
    /// for an operation that is unknown to this node.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Counts since the start of each process, by column.
    #[prost(uint64, repeated, tag = "2")]
    pub total: Vec<u64>,
    /// Counts of the last minute, by column.
    #[prost(uint64, repeated, tag = "3")]
    pub minute: Vec<u64>,
    /// Median latency in the last minute, in microseconds; 0 without latencies.
    #[prost(uint64, tag = "4")]
    pub p50_us: u64,
    /// 99th percentile of the latencies in the last minute, in microseconds; 0 without latencies.
    #[prost(uint64, tag = "5")]
    pub p99_us: u64,
}

/// A named event or heavy key with its number of occurrences.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CounterStatus {
    /// Name of the event or key.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Number of occurrences.
    #[prost(uint64, tag = "2")]
    pub times: u64,
}

/// The shared state as one node sees it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusSnapshot {
    /// Name of the node whose view the snapshot shows.
    #[prost(string, tag = "1")]
    pub node: String,
    /// State of the budgets at this node.
    #[prost(message, repeated, tag = "2")]
    pub budgets: Vec<BudgetStatus>,
    /// State of the keyed quotas at this node.
    #[prost(message, repeated, tag = "3")]
    pub quotas: Vec<QuotaStatus>,
    /// Time since the last grant of units of keyed quotas by a leader, in milliseconds; `None`
    /// before the first grant.
    #[prost(uint64, optional, tag = "4")]
    pub quota_grant_ms_ago: Option<u64>,
    /// Whether no lender has answered the requests for units of keyed quotas for a whole lease
    /// duration.
    #[prost(bool, tag = "5")]
    pub is_quota_cut_off: bool,
    /// Health of the backend service, if one is configured.
    #[prost(message, optional, tag = "6")]
    pub service: Option<ServiceStatus>,
    /// Number of requests that the backend gate admitted.
    #[prost(uint64, tag = "7")]
    pub gate_admitted: u64,
    /// Number of requests that the backend gate rejected.
    #[prost(uint64, tag = "8")]
    pub gate_rejected: u64,
    /// Number of calls that wait for units.
    #[prost(uint32, tag = "9")]
    pub calls_waiting: u32,
    /// Member key of the leader, which is the hash of its name; 0 if the leader is unknown.
    #[prost(fixed64, tag = "10")]
    pub leader: u64,
    /// True if this node is the leader and thus grants leases.
    #[prost(bool, tag = "11")]
    pub is_leader: bool,
    /// Grants of this node as the leader, by budget; empty at other nodes.
    #[prost(message, repeated, tag = "12")]
    pub lenders: Vec<LenderStatus>,
    /// Keyed quotas at the leader, as a list of four numbers: keys, leases, requests refused for
    /// lack of memory, and milliseconds until the first grant. Empty at other nodes.
    #[prost(uint64, repeated, tag = "13")]
    pub quota_lender: Vec<u64>,
    /// Age of the totals of the cluster, in milliseconds.
    #[prost(uint64, tag = "14")]
    pub totals_age_ms: u64,
    /// Number of processes whose counters are kept separately.
    #[prost(uint32, tag = "15")]
    pub processes: u32,
    /// Number of retired processes, whose counters are kept as one sum.
    #[prost(uint32, tag = "16")]
    pub retired: u32,
    /// Counters of the cluster: a row for the processes themselves and one for each operation.
    #[prost(message, repeated, tag = "17")]
    pub rows: Vec<CounterRowStatus>,
    /// Heavy keys in the last minute.
    #[prost(message, repeated, tag = "18")]
    pub heavy: Vec<CounterStatus>,
    /// Event counts of this node.
    #[prost(message, repeated, tag = "19")]
    pub event_counts: Vec<CounterStatus>,
    /// Name of the leader; empty if the member table does not have it.
    #[prost(string, tag = "20")]
    pub leader_name: String,
}
