//! The fields of the status snapshot: Protocol Buffers, fields by number.

/// A node's end of a budget on backend calls.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BudgetStatus {
    /// The budget's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether it limits a rate; else a number in flight.
    #[prost(bool, tag = "2")]
    pub is_rate: bool,
    /// Calls a second, or in flight, of all nodes together.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Units that each node may use without a lease.
    #[prost(uint32, tag = "4")]
    pub floor: u32,
    /// The most processes that run at once.
    #[prost(uint32, tag = "5")]
    pub max_nodes: u32,
    /// Whether only retries count.
    #[prost(bool, tag = "6")]
    pub retries_only: bool,
    /// Units that the node may use now.
    #[prost(uint32, tag = "7")]
    pub units: u32,
    /// Units that it requests beside its floor.
    #[prost(uint32, tag = "8")]
    pub demand: u32,
    /// Calls in flight.
    #[prost(uint32, tag = "9")]
    pub in_flight: u32,
    /// Calls that found a unit.
    #[prost(uint64, tag = "10")]
    pub allowed: u64,
    /// Calls that found none.
    #[prost(uint64, tag = "11")]
    pub refused: u64,
    /// The latest lease, if any.
    #[prost(message, optional, tag = "12")]
    pub lease: Option<LeaseStatus>,
}

/// A lease.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeaseStatus {
    /// Units when it was granted.
    #[prost(uint32, tag = "1")]
    pub units: u32,
    /// How long ago it was requested, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub requested_ms_ago: u64,
    /// How long ago it was received, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub granted_ms_ago: u64,
    /// How long it lasts, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub duration_ms: u64,
    /// Units that all borrowers requested then.
    #[prost(uint32, tag = "5")]
    pub total_demand: u32,
    /// How many borrowers there were.
    #[prost(uint32, tag = "6")]
    pub borrowers: u32,
    /// Units that there were to be leased.
    #[prost(uint32, tag = "7")]
    pub pool: u32,
}

/// A node's end of a keyed quota.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaStatus {
    /// The quota's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Units in a period; or, with no period, in flight.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// The period in milliseconds; 0 for a number in flight.
    #[prost(uint64, tag = "3")]
    pub period_ms: u64,
    /// Units that may be saved up.
    #[prost(uint32, tag = "4")]
    pub burst: u32,
    /// Units of each key that each node may use without a lease.
    #[prost(uint32, tag = "5")]
    pub floor: u32,
    /// The most processes that run at once.
    #[prost(uint32, tag = "6")]
    pub max_nodes: u32,
    /// Admitted by leased units.
    #[prost(uint64, tag = "7")]
    pub by_lease: u64,
    /// Admitted by the floor.
    #[prost(uint64, tag = "8")]
    pub by_floor: u64,
    /// Refused, in the order of [`RefusalReason`](crate::keyed_quota::borrower::RefusalReason).
    #[prost(uint64, repeated, tag = "9")]
    pub refused: Vec<u64>,
    /// Leased units of all keys.
    #[prost(uint64, tag = "10")]
    pub units: u64,
    /// Keys with leased units.
    #[prost(uint64, tag = "11")]
    pub keys: u64,
}

/// The backend service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceStatus {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// How the node treats it, as labelled by
    /// [`HealthState::label`](crate::HealthState::label).
    #[prost(string, tag = "2")]
    pub state: String,
    /// For how long, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub since_ms: u64,
    /// The share of calls that is admitted, from 0 to 1.
    #[prost(double, tag = "4")]
    pub admitted_share: f64,
    /// The node's calls in its last window.
    #[prost(uint32, tag = "5")]
    pub calls: u32,
    /// Of these, calls that failed.
    #[prost(uint32, tag = "6")]
    pub failed: u32,
    /// Other nodes with a conclusive report.
    #[prost(uint32, tag = "7")]
    pub reporters: u32,
    /// Of these, nodes that see it fail.
    #[prost(uint32, tag = "8")]
    pub failing: u32,
    /// Zones of the reporters.
    #[prost(uint32, tag = "9")]
    pub zones: u32,
    /// Zones of those that see it fail.
    #[prost(uint32, tag = "10")]
    pub failing_zones: u32,
    /// Whether this node is one of those that probe it.
    #[prost(bool, tag = "11")]
    pub is_prober: bool,
    /// Whether this node knows of no other member.
    #[prost(bool, tag = "12")]
    pub is_alone: bool,
    /// Calls that were admitted.
    #[prost(uint64, tag = "13")]
    pub admitted: u64,
    /// Calls that were held back.
    #[prost(uint64, tag = "14")]
    pub withheld: u64,
}

/// What the leader has granted of a budget.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LenderStatus {
    /// The budget's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Units that may be in use.
    #[prost(uint32, tag = "2")]
    pub outstanding: u32,
    /// Units that there are to be leased.
    #[prost(uint32, tag = "3")]
    pub pool: u32,
    /// How many borrowers there are.
    #[prost(uint32, tag = "4")]
    pub borrowers: u32,
}

/// A row of counters.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CounterRowStatus {
    /// The operation's name; empty for the processes themselves.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Counts since the processes' starts, by column.
    #[prost(uint64, repeated, tag = "2")]
    pub total: Vec<u64>,
    /// Counts of the last minute, by column.
    #[prost(uint64, repeated, tag = "3")]
    pub minute: Vec<u64>,
    /// The last minute's median latency, in microseconds.
    #[prost(uint64, tag = "4")]
    pub p50_us: u64,
    /// The latency that 99 of a hundred stayed within in the last minute, in microseconds.
    #[prost(uint64, tag = "5")]
    pub p99_us: u64,
}

/// How often something occurred.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CounterStatus {
    /// What occurred.
    #[prost(string, tag = "1")]
    pub name: String,
    /// How often.
    #[prost(uint64, tag = "2")]
    pub times: u64,
}

/// All of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusSnapshot {
    /// The node's name.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Its ends of the budgets.
    #[prost(message, repeated, tag = "2")]
    pub budgets: Vec<BudgetStatus>,
    /// Its ends of the keyed quotas.
    #[prost(message, repeated, tag = "3")]
    pub quotas: Vec<QuotaStatus>,
    /// How long ago the leader granted units of keys, in milliseconds, if it ever did.
    #[prost(uint64, optional, tag = "4")]
    pub quota_grant_ms_ago: Option<u64>,
    /// Whether it waits for a grant in vain.
    #[prost(bool, tag = "5")]
    pub is_quota_cut_off: bool,
    /// The backend service, where there is one.
    #[prost(message, optional, tag = "6")]
    pub service: Option<ServiceStatus>,
    /// Requests that the backend gate admitted.
    #[prost(uint64, tag = "7")]
    pub gate_admitted: u64,
    /// Requests that it rejected.
    #[prost(uint64, tag = "8")]
    pub gate_rejected: u64,
    /// Calls that wait for units.
    #[prost(uint32, tag = "9")]
    pub calls_waiting: u32,
    /// The hash of the leader's name, as far as is known; 0 if not.
    #[prost(fixed64, tag = "10")]
    pub leader: u64,
    /// Whether this node is the leader.
    #[prost(bool, tag = "11")]
    pub is_leader: bool,
    /// What it has granted as the leader.
    #[prost(message, repeated, tag = "12")]
    pub lenders: Vec<LenderStatus>,
    /// As the leader, of keyed quotas: keys, borrowers' shares of keys, requests without room, and
    /// milliseconds until it opens. Else empty.
    #[prost(uint64, repeated, tag = "13")]
    pub quota_lender: Vec<u64>,
    /// The age of the cluster's totals, in milliseconds.
    #[prost(uint64, tag = "14")]
    pub totals_age_ms: u64,
    /// Processes that are counted apart.
    #[prost(uint32, tag = "15")]
    pub processes: u32,
    /// Processes that have left and are counted together.
    #[prost(uint32, tag = "16")]
    pub retired: u32,
    /// The cluster's counters.
    #[prost(message, repeated, tag = "17")]
    pub rows: Vec<CounterRowStatus>,
    /// Heavy keys of the last minute.
    #[prost(message, repeated, tag = "18")]
    pub heavy: Vec<CounterStatus>,
    /// Events of this node.
    #[prost(message, repeated, tag = "19")]
    pub event_counts: Vec<CounterStatus>,
    /// The leader's name, where the membership has it.
    #[prost(string, tag = "20")]
    pub leader_name: String,
}
