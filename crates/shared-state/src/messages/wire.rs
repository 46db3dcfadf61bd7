//! The fields of the messages on the wire. Field numbers are fixed; the table in the parent module
//! describes them.

/// Kinds of payloads, the values of field 1.
pub(super) mod kind {
    pub const VOTE_REQUEST: u32 = 1;
    pub const VOTE: u32 = 2;
    pub const VOTE_RELEASE: u32 = 3;
    pub const LEASE_REQUEST: u32 = 4;
    pub const LEASE_GRANT: u32 = 5;
    pub const REDIRECT: u32 = 6;
    pub const LEAVE: u32 = 7;
    pub const HEALTH_REPORTS: u32 = 9;
    pub const QUOTA_REQUEST: u32 = 10;
    pub const QUOTA_GRANT: u32 = 11;
    pub const COUNTER_REPORT: u32 = 12;
    pub const KNOWN_COUNTERS: u32 = 13;
    pub const TOTALS_REQUEST: u32 = 14;
    pub const TOTALS: u32 = 15;
    /// A kind that the current version does not know.
    pub const LATER: u32 = 90;
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Process {
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct LeaseRequest {
    #[prost(uint32, tag = "1")]
    pub budget: u32,
    #[prost(fixed64, tag = "2")]
    pub held_lender: u64,
    #[prost(uint64, tag = "3")]
    pub held_number: u64,
    #[prost(uint32, tag = "4")]
    pub units: u32,
    #[prost(double, tag = "5")]
    pub value: f64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct GrantedLease {
    #[prost(uint32, tag = "1")]
    pub budget: u32,
    #[prost(fixed64, tag = "2")]
    pub lender: u64,
    #[prost(uint64, tag = "3")]
    pub number: u64,
    #[prost(uint32, tag = "4")]
    pub units: u32,
    #[prost(uint64, tag = "5")]
    pub duration: u64,
    #[prost(uint32, tag = "6")]
    pub total_demand: u32,
    #[prost(uint32, tag = "7")]
    pub borrowers: u32,
    #[prost(uint32, tag = "8")]
    pub pool: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Row {
    #[prost(fixed32, tag = "1")]
    pub row: u32,
    #[prost(uint64, repeated, tag = "2")]
    pub numbers: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Latencies {
    #[prost(fixed32, tag = "1")]
    pub row: u32,
    #[prost(uint32, repeated, tag = "2")]
    pub values: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    pub counts: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct HeavyKeys {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(uint64, tag = "2")]
    pub total: u64,
    #[prost(fixed64, repeated, tag = "3")]
    pub keys: Vec<u64>,
    #[prost(uint64, repeated, tag = "4")]
    pub counts: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Window {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<Row>,
    #[prost(message, repeated, tag = "3")]
    pub latency: Vec<Latencies>,
    #[prost(message, repeated, tag = "4")]
    pub heavy: Vec<HeavyKeys>,
    #[prost(uint64, repeated, tag = "5")]
    pub gauges: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Counters {
    #[prost(message, optional, tag = "1")]
    pub process: Option<Process>,
    #[prost(fixed64, tag = "2")]
    pub version: u64,
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<Row>,
    #[prost(message, repeated, tag = "4")]
    pub windows: Vec<Window>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Known {
    #[prost(fixed64, tag = "1")]
    pub first_key: u64,
    #[prost(fixed64, tag = "2")]
    pub last_key: u64,
    #[prost(fixed64, repeated, tag = "3")]
    pub keys: Vec<u64>,
    #[prost(fixed64, repeated, tag = "4")]
    pub incarnations: Vec<u64>,
    #[prost(uint64, repeated, tag = "5")]
    pub progress: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Totals {
    #[prost(uint32, tag = "1")]
    pub processes: u32,
    #[prost(uint32, tag = "2")]
    pub retired: u32,
    #[prost(message, repeated, tag = "3")]
    pub total: Vec<Row>,
    #[prost(message, repeated, tag = "4")]
    pub minute: Vec<Row>,
    #[prost(message, repeated, tag = "5")]
    pub latency: Vec<Latencies>,
    #[prost(message, repeated, tag = "6")]
    pub heavy: Vec<HeavyKeys>,
    #[prost(uint64, tag = "7")]
    pub minute_end_unix_ms: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct ServiceReport {
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    #[prost(uint32, tag = "3")]
    pub zone: u32,
    #[prost(uint32, tag = "4")]
    pub calls: u32,
    #[prost(uint32, tag = "5")]
    pub failed: u32,
    #[prost(double, tag = "6")]
    pub admitted_share: f64,
}

/// Lists of equal length. The kind of the payload determines which lists are used.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Keys {
    #[prost(fixed32, repeated, tag = "1")]
    pub quotas: Vec<u32>,
    #[prost(fixed64, repeated, tag = "2")]
    pub keys: Vec<u64>,
    #[prost(uint32, repeated, tag = "3")]
    pub kept: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    pub released: Vec<u32>,
    #[prost(uint32, repeated, tag = "5")]
    pub units: Vec<u32>,
    #[prost(uint32, repeated, tag = "6")]
    pub waits_ms: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Payload {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(bool, tag = "3")]
    pub is_granted: bool,
    #[prost(message, optional, tag = "4")]
    pub process: Option<Process>,
    #[prost(uint64, tag = "5")]
    pub bound_for: u64,
    #[prost(uint64, tag = "6")]
    pub sent_at: u64,
    #[prost(uint32, tag = "7")]
    pub zone: u32,
    #[prost(message, repeated, tag = "8")]
    pub lease_requests: Vec<LeaseRequest>,
    #[prost(message, repeated, tag = "9")]
    pub leases: Vec<GrantedLease>,
    #[prost(message, repeated, tag = "11")]
    pub health_reports: Vec<ServiceReport>,
    #[prost(message, optional, tag = "12")]
    pub keys: Option<Keys>,
    #[prost(uint64, tag = "13")]
    pub key_lease_duration: u64,
    #[prost(message, optional, tag = "14")]
    pub counters: Option<Counters>,
    #[prost(message, optional, tag = "15")]
    pub known: Option<Known>,
    #[prost(message, optional, tag = "16")]
    pub totals: Option<Totals>,
}
