//! The messages of shared state, which travel as payloads of the cluster: Protocol Buffers, fields by
//! number, unknown ones ignored; a message of an unknown kind is none for this node.
//!
//! | field of `Payload` | is |
//! | --- | --- |
//! | 1 | kind: 1 vote request, 2 vote, 3 vote release, 4 lease request, 5 lease grant, 6 redirect, 7 leave, 9 health reports, 10 quota request, 11 quota grant, 12 counter report, 13 known counters, 14 totals request, 15 totals |
//! | 2 | number of a round or request |
//! | 3 | whether a vote was granted |
//! | 4 | a process: 1 key, 2 incarnation |
//! | 5 | nanoseconds for which a vote is bound yet |
//! | 6 | the borrower's time, which the grant returns |
//! | 7 | zone |
//! | 8 | lease requests: 1 budget (FNV-1a of its name and kind), 2 lender and 3 number of the lease that is held, 4 units, 5 value |
//! | 9 | leases: 1 budget, 2 lender, 3 number, 4 units, 5 duration in nanoseconds, 6 total demand, 7 borrowers, 8 pool |
//! | 11 | health reports of the sender: 1 service, 3 zone, 4 calls, 5 failed, 6 admitted share |
//! | 12 | keys, in lists of equal length: 1 quotas, 2 keys, 3 kept, 4 released, 5 wanted or added, 6 milliseconds to wait |
//! | 13 | the duration of key leases, in nanoseconds |
//! | 14 | counters of a process: 1 process, 2 version, 3 rows, 4 windows |
//! | 15 | how far some processes are known: 1 and 2 first and last key, and in lists of equal length 3 keys, 4 incarnations, 5 progress |
//! | 16 | totals: 1 processes, 2 retired, 3 rows since the start, 4 rows and 5 latencies and 6 heavy keys of the last minute, 7 its end in Unix milliseconds |
//! | row | 1 number (FNV-1a of the operation's name; 0 the process), 2 numbers by column |
//! | window | 1 number, 2 rows, 3 latencies, 4 heavy keys, 5 gauges |
//! | latency | 1 row, 2 values in tenths of a millisecond, each less the one before, 3 counts |
//! | heavy keys | 1 kind, 2 all occurrences, 3 keys, 4 counts |

mod decode;
mod decode_counters;
mod encode;
mod encode_counters;
mod split;
mod wire;

pub use decode::decode;
pub use encode::encode;
pub use split::split_report;

use crate::budget::{BudgetRequest, Lease};
use crate::counters::{CounterReport, CounterRows, CounterWindow};
use crate::keyed_quota::{QuotaGrant, QuotaRequest};
use crate::service_health::HealthReport;
use crate::{Nanos, ProcessId};
use prost::Message as _;
use wire::{Payload, kind};

/// The most bytes of a payload, as the cluster carries them.
pub const MAX_PAYLOAD_BYTES: usize = 1200;
/// The most processes in one [`KnownCounters`].
pub const MAX_KNOWN_PROCESSES: usize = 40;
/// The most bytes of counters in a payload, which leaves room for its other fields; the largest piece
/// of a report is smaller.
const MAX_COUNTERS_BYTES: usize = MAX_PAYLOAD_BYTES - 40;

/// Messages about votes, leases and quotas.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitMessage {
    /// To a voter: the sender requests its vote.
    VoteRequest {
        /// The candidate's round.
        round: u64,
    },
    /// From a voter: it grants its vote, or names who has it.
    Vote {
        /// The candidate's round.
        round: u64,
        /// Whether the vote is granted.
        is_granted: bool,
        /// Who has the vote now.
        holder: Option<ProcessId>,
        /// How long the vote is bound yet, in nanoseconds; 0 if that is not known.
        bound_for: Nanos,
    },
    /// To a voter: the vote of this round is released.
    VoteRelease {
        /// The candidate's round.
        round: u64,
    },
    /// To the leader: requests for leases.
    LeaseRequest {
        /// The borrower's time, which the grant returns.
        sent_at: Nanos,
        /// The borrower's zone.
        zone: u32,
        /// By budget.
        requests: Vec<BudgetRequest>,
    },
    /// From the leader: leases, by budget.
    LeaseGrant {
        /// The time of the request by the borrower's clock.
        request_sent_at: Nanos,
        /// Leases by the id of their budget.
        leases: Vec<(u32, Lease)>,
    },
    /// The sender is not the leader.
    Redirect {
        /// The leader, as far as the sender knows.
        leader: Option<ProcessId>,
    },
    /// The sender leaves and has released all its leases.
    Leave,
    /// To the leader: a request for units of some keys.
    QuotaRequest(QuotaRequest),
    /// From the leader: units of some keys.
    QuotaGrant(QuotaGrant),
}

/// How far a voter knows the counters of the processes in a range of keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KnownCounters {
    /// The first key of the range.
    pub first_key: u64,
    /// The last key of the range.
    pub last_key: u64,
    /// The sum of all numbers of each process that is known.
    pub progress: Vec<(ProcessId, u64)>,
}

/// The counters of the whole cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterTotals {
    /// Processes that are kept apart.
    pub processes: u32,
    /// Processes that have left and whose counts are in the total.
    pub retired: u32,
    /// Counts since each process's start.
    pub total: CounterRows,
    /// The last complete minute.
    pub last_minute: CounterWindow,
    /// When that minute ended, in Unix milliseconds.
    pub minute_end_unix_ms: u64,
}

/// A message of shared state.
#[derive(Clone, Debug, PartialEq)]
pub enum SharedMessage {
    /// About votes, leases and quotas.
    Limits(LimitMessage),
    /// The counters of a process, or a part of them.
    CounterReport(Box<CounterReport>),
    /// From one voter to another: how far it knows counters. The answer is what it lacks.
    KnownCounters(KnownCounters),
    /// To a voter: a request for the counters of the whole cluster.
    TotalsRequest,
    /// From a voter: the counters of the whole cluster.
    ClusterTotals(Box<ClusterTotals>),
    /// What the sender sees of services, by their numbers.
    HealthReports(Vec<(u64, HealthReport)>),
}

/// Whether this build sends a later version of the messages: with an unknown field in each, and with
/// messages of an unknown kind. For tests of two versions side by side.
pub const IS_LATER_VERSION: bool = cfg!(feature = "later");
/// A field that the present version does not know: number 250, a text.
const LATER_FIELD: [u8; 8] = [0xd2, 0x0f, 5, b'l', b'a', b't', b'e', b'r'];

/// A payload of a kind that the present version does not know.
pub fn unknown_kind_payload() -> Vec<u8> {
    add_later_field(
        Payload {
            kind: kind::LATER,
            ..Payload::default()
        }
        .encode_to_vec(),
    )
}

/// Adds the field of a later version, in a build that sends that and where it fits.
fn add_later_field(mut payload: Vec<u8>) -> Vec<u8> {
    if IS_LATER_VERSION && payload.len() + LATER_FIELD.len() <= MAX_PAYLOAD_BYTES {
        payload.extend(LATER_FIELD);
    }
    payload
}

#[cfg(test)]
mod tests;
