//! The messages as they travel.

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Process {
    #[prost(fixed64, tag = "1")]
    pub(super) key: u64,
    #[prost(fixed64, tag = "2")]
    pub(super) life: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Wanted {
    #[prost(uint32, tag = "1")]
    pub(super) budget: u32,
    #[prost(fixed64, tag = "2")]
    pub(super) book: u64,
    #[prost(uint64, tag = "3")]
    pub(super) no: u64,
    #[prost(uint32, tag = "4")]
    pub(super) units: u32,
    #[prost(double, tag = "5")]
    pub(super) value: f64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct LentPart {
    #[prost(uint32, tag = "1")]
    pub(super) budget: u32,
    #[prost(fixed64, tag = "2")]
    pub(super) book: u64,
    #[prost(uint64, tag = "3")]
    pub(super) no: u64,
    #[prost(uint32, tag = "4")]
    pub(super) units: u32,
    #[prost(uint64, tag = "5")]
    pub(super) term: u64,
    #[prost(uint32, tag = "6")]
    pub(super) wanted: u32,
    #[prost(uint32, tag = "7")]
    pub(super) borrowers: u32,
    #[prost(uint32, tag = "8")]
    pub(super) pool: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct CountRow {
    #[prost(fixed32, tag = "1")]
    pub(super) row: u32,
    #[prost(uint64, repeated, tag = "2")]
    pub(super) numbers: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Latencies {
    #[prost(fixed32, tag = "1")]
    pub(super) row: u32,
    #[prost(uint32, repeated, tag = "2")]
    pub(super) values: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    pub(super) counts: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct HeavyKeys {
    #[prost(uint32, tag = "1")]
    pub(super) kind: u32,
    #[prost(uint64, tag = "2")]
    pub(super) total: u64,
    #[prost(fixed64, repeated, tag = "3")]
    pub(super) keys: Vec<u64>,
    #[prost(uint64, repeated, tag = "4")]
    pub(super) counts: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Window {
    #[prost(uint64, tag = "1")]
    pub(super) no: u64,
    #[prost(message, repeated, tag = "2")]
    pub(super) rows: Vec<CountRow>,
    #[prost(message, repeated, tag = "3")]
    pub(super) latency: Vec<Latencies>,
    #[prost(message, repeated, tag = "4")]
    pub(super) heavy: Vec<HeavyKeys>,
    #[prost(uint64, repeated, tag = "5")]
    pub(super) gauges: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct CountWord {
    #[prost(message, optional, tag = "1")]
    pub(super) who: Option<Process>,
    #[prost(fixed64, tag = "2")]
    pub(super) label: u64,
    #[prost(message, repeated, tag = "3")]
    pub(super) rows: Vec<CountRow>,
    #[prost(message, repeated, tag = "4")]
    pub(super) windows: Vec<Window>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Known {
    #[prost(fixed64, tag = "1")]
    pub(super) from: u64,
    #[prost(fixed64, tag = "2")]
    pub(super) to: u64,
    #[prost(fixed64, repeated, tag = "3")]
    pub(super) keys: Vec<u64>,
    #[prost(fixed64, repeated, tag = "4")]
    pub(super) lives: Vec<u64>,
    #[prost(uint64, repeated, tag = "5")]
    pub(super) marks: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SumWord {
    #[prost(uint32, tag = "1")]
    pub(super) processes: u32,
    #[prost(uint32, tag = "2")]
    pub(super) gone: u32,
    #[prost(message, repeated, tag = "3")]
    pub(super) total: Vec<CountRow>,
    #[prost(message, repeated, tag = "4")]
    pub(super) minute: Vec<CountRow>,
    #[prost(message, repeated, tag = "5")]
    pub(super) latency: Vec<Latencies>,
    #[prost(message, repeated, tag = "6")]
    pub(super) heavy: Vec<HeavyKeys>,
    #[prost(uint64, tag = "7")]
    pub(super) until_ms: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct Witness {
    #[prost(fixed64, tag = "1")]
    pub(super) service: u64,
    #[prost(uint32, tag = "3")]
    pub(super) zone: u32,
    #[prost(uint32, tag = "4")]
    pub(super) tries: u32,
    #[prost(uint32, tag = "5")]
    pub(super) failed: u32,
    #[prost(double, tag = "6")]
    pub(super) level: f64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Keys {
    #[prost(fixed32, repeated, tag = "1")]
    pub(super) budgets: Vec<u32>,
    #[prost(fixed64, repeated, tag = "2")]
    pub(super) keys: Vec<u64>,
    #[prost(uint32, repeated, tag = "3")]
    pub(super) left: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    pub(super) back: Vec<u32>,
    #[prost(uint32, repeated, tag = "5")]
    pub(super) units: Vec<u32>,
    #[prost(uint32, repeated, tag = "6")]
    pub(super) waits: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Parcel {
    #[prost(uint32, tag = "1")]
    pub(super) kind: u32,
    #[prost(uint64, tag = "2")]
    pub(super) no: u64,
    #[prost(bool, tag = "3")]
    pub(super) given: bool,
    #[prost(message, optional, tag = "4")]
    pub(super) who: Option<Process>,
    #[prost(uint64, tag = "5")]
    pub(super) left: u64,
    #[prost(uint64, tag = "6")]
    pub(super) stamp: u64,
    #[prost(uint32, tag = "7")]
    pub(super) zone: u32,
    #[prost(message, repeated, tag = "8")]
    pub(super) wants: Vec<Wanted>,
    #[prost(message, repeated, tag = "9")]
    pub(super) parts: Vec<LentPart>,
    #[prost(message, repeated, tag = "11")]
    pub(super) evidence: Vec<Witness>,
    #[prost(message, optional, tag = "12")]
    pub(super) keys: Option<Keys>,
    #[prost(uint64, tag = "13")]
    pub(super) life: u64,
    #[prost(message, optional, tag = "14")]
    pub(super) counts: Option<CountWord>,
    #[prost(message, optional, tag = "15")]
    pub(super) known: Option<Known>,
    #[prost(message, optional, tag = "16")]
    pub(super) sums: Option<SumWord>,
}
