//! The snapshot as it travels.

/// A budget on calls below.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BudgetStatus {
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether it is a rate; else a number in hand.
    #[prost(bool, tag = "2")]
    pub rate: bool,
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    #[prost(uint32, tag = "4")]
    pub floor: u32,
    #[prost(uint32, tag = "5")]
    pub nodes_most: u32,
    #[prost(bool, tag = "6")]
    pub repeats_only: bool,
    /// What it may spend now, wants beside its floor, and has in hand.
    #[prost(uint32, tag = "7")]
    pub units: u32,
    #[prost(uint32, tag = "8")]
    pub wants: u32,
    #[prost(uint32, tag = "9")]
    pub in_hand: u32,
    #[prost(uint64, tag = "10")]
    pub allowed: u64,
    #[prost(uint64, tag = "11")]
    pub refused: u64,
    /// The part that it was lent last, if any: units, how long ago it was asked for and came, how
    /// long it is good.
    #[prost(message, optional, tag = "12")]
    pub part: Option<LeaseStatus>,
}

/// A part.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LeaseStatus {
    #[prost(uint32, tag = "1")]
    pub units: u32,
    #[prost(uint64, tag = "2")]
    pub asked_ms: u64,
    #[prost(uint64, tag = "3")]
    pub came_ms: u64,
    #[prost(uint64, tag = "4")]
    pub term_ms: u64,
    /// What all asked for then, how many they were, and what there was to lend.
    #[prost(uint32, tag = "5")]
    pub wanted: u32,
    #[prost(uint32, tag = "6")]
    pub borrowers: u32,
    #[prost(uint32, tag = "7")]
    pub pool: u32,
}

/// A limit by key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaStatus {
    #[prost(string, tag = "1")]
    pub name: String,
    /// So many in a period, of which so many may be saved; or, with no period, so many in hand.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    #[prost(uint64, tag = "3")]
    pub period_ms: u64,
    #[prost(uint32, tag = "4")]
    pub burst: u32,
    #[prost(uint32, tag = "5")]
    pub floor: u32,
    #[prost(uint32, tag = "6")]
    pub nodes_most: u32,
    /// Let through by units that were lent, and by the floor; refused for being asked for, short,
    /// deaf, without room.
    #[prost(uint64, tag = "7")]
    pub lent: u64,
    #[prost(uint64, tag = "8")]
    pub by_floor: u64,
    #[prost(uint64, repeated, tag = "9")]
    pub refused: Vec<u64>,
    /// Units in pockets, and keys with any.
    #[prost(uint64, tag = "10")]
    pub units: u64,
    #[prost(uint64, tag = "11")]
    pub keys: u64,
}

/// The service below.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceStatus {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub mode: String,
    #[prost(uint64, tag = "3")]
    pub since_ms: u64,
    #[prost(double, tag = "4")]
    pub level: f64,
    #[prost(uint32, tag = "5")]
    pub tries: u32,
    #[prost(uint32, tag = "6")]
    pub failed: u32,
    #[prost(uint32, tag = "7")]
    pub witnesses: u32,
    #[prost(uint32, tag = "8")]
    pub ill: u32,
    #[prost(uint32, tag = "9")]
    pub zones: u32,
    #[prost(uint32, tag = "10")]
    pub ill_zones: u32,
    #[prost(bool, tag = "11")]
    pub prober: bool,
    #[prost(bool, tag = "12")]
    pub alone: bool,
    #[prost(uint64, tag = "13")]
    pub passed: u64,
    #[prost(uint64, tag = "14")]
    pub kept_back: u64,
}

/// What a node that lends has out.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LenderStatus {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint32, tag = "2")]
    pub out: u32,
    #[prost(uint32, tag = "3")]
    pub pool: u32,
    #[prost(uint32, tag = "4")]
    pub borrowers: u32,
}

/// A row of counts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CounterRowStatus {
    /// The operation's name; empty for the processes themselves.
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, repeated, tag = "2")]
    pub total: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    pub minute: Vec<u64>,
    /// TwoHalfWindow, and 99 of a hundred, of the last minute's took at most so long.
    #[prost(uint64, tag = "4")]
    pub p50_us: u64,
    #[prost(uint64, tag = "5")]
    pub p99_us: u64,
}

/// How often something happened, or came.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CounterStatus {
    #[prost(string, tag = "1")]
    pub what: String,
    #[prost(uint64, tag = "2")]
    pub times: u64,
}

/// All of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusSnapshot {
    #[prost(string, tag = "1")]
    pub node: String,
    #[prost(message, repeated, tag = "2")]
    pub budgets: Vec<BudgetStatus>,
    #[prost(message, repeated, tag = "3")]
    pub keys: Vec<QuotaStatus>,
    /// How long ago the one who lends answered about keys, if it ever did; and whether it is waited
    /// for in vain.
    #[prost(uint64, optional, tag = "4")]
    pub keys_heard_ms: Option<u64>,
    #[prost(bool, tag = "5")]
    pub keys_deaf: bool,
    #[prost(message, optional, tag = "6")]
    pub service: Option<ServiceStatus>,
    #[prost(uint64, tag = "7")]
    pub let_in: u64,
    #[prost(uint64, tag = "8")]
    pub turned_away: u64,
    #[prost(uint32, tag = "9")]
    pub calls_waiting: u32,
    /// ProcessId lends, as far as is known, by its key; and whether that is this node, with its books.
    #[prost(fixed64, tag = "10")]
    pub lender: u64,
    #[prost(bool, tag = "11")]
    pub lends: bool,
    #[prost(message, repeated, tag = "12")]
    pub books: Vec<LenderStatus>,
    #[prost(uint64, repeated, tag = "13")]
    pub key_books: Vec<u64>,
    /// ClusterCounters of the whole fleet: how old they are, of how many processes, and of how many that are
    /// gone.
    #[prost(uint64, tag = "14")]
    pub counts_age_ms: u64,
    #[prost(uint32, tag = "15")]
    pub processes: u32,
    #[prost(uint32, tag = "16")]
    pub gone: u32,
    #[prost(message, repeated, tag = "17")]
    pub rows: Vec<CounterRowStatus>,
    #[prost(message, repeated, tag = "18")]
    pub heavy: Vec<CounterStatus>,
    #[prost(message, repeated, tag = "19")]
    pub counted: Vec<CounterStatus>,
    /// The name of the one who lends, where the view has it.
    #[prost(string, tag = "20")]
    pub lender_name: String,
}
