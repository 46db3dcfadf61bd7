//! The messages of shared state, which are sent as payloads of the cluster's datagrams. They are
//! encoded as Protocol Buffers. Unknown fields are ignored, and a message of an unknown kind is
//! dropped.
//!
//! | field of `Payload` | content |
//! | --- | --- |
//! | 1 | kind: 1 vote request, 2 vote, 3 vote release, 4 lease request, 5 lease grant, 6 redirect, 7 leave, 9 health reports, 10 quota request, 11 quota grant, 12 counter report, 13 known counters, 14 totals request, 15 totals |
//! | 2 | number of the round or request |
//! | 3 | whether the vote is granted |
//! | 4 | a process: 1 key, 2 incarnation |
//! | 5 | remaining time in nanoseconds for which the vote is bound |
//! | 6 | time of the request by the borrower's clock, in nanoseconds, which the grant returns |
//! | 7 | zone |
//! | 8 | lease requests: 1 budget (FNV-1a of its name and kind), 2 lender and 3 number of the held lease, 4 units, 5 value |
//! | 9 | leases: 1 budget, 2 lender, 3 number, 4 units, 5 duration in nanoseconds, 6 total demand, 7 borrowers, 8 pool |
//! | 11 | health reports of the sender: 1 service, 3 zone, 4 calls, 5 failed, 6 admitted share |
//! | 12 | keys, in lists of equal length: 1 quotas, 2 keys, 3 kept, 4 released, 5 wanted or added, 6 Retry-After in milliseconds |
//! | 13 | duration of key leases, in nanoseconds |
//! | 14 | counters of a process: 1 process, 2 version, 3 rows, 4 windows |
//! | 15 | known counters: 1 and 2 first and last key, and in lists of equal length 3 keys, 4 incarnations, 5 progress |
//! | 16 | totals: 1 processes, 2 retired, 3 rows since the start, 4 rows and 5 latencies and 6 heavy keys of the last minute, 7 its end in Unix milliseconds |
//! | row | 1 number (FNV-1a of the operation's name; 0 for the process itself), 2 counts by column |
//! | window | 1 number, 2 rows, 3 latencies, 4 heavy keys, 5 gauges |
//! | latency | 1 row, 2 values in tenths of a millisecond, each as the difference to the previous value, 3 counts |
//! | heavy keys | 1 kind, 2 number of all occurrences, 3 keys, 4 counts |

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

/// Maximum size of a payload that the cluster carries, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1200;
/// Maximum number of processes in one [`KnownCounters`].
pub const MAX_KNOWN_PROCESSES: usize = 40;
/// Maximum size of the counters in a payload, in bytes. The rest of the payload is for its other
/// fields. The largest piece of a report that cannot be split is smaller than this.
const MAX_COUNTERS_BYTES: usize = MAX_PAYLOAD_BYTES - 40;

/// Messages about votes, leases and quotas.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitMessage {
    /// Sent to a voter: the candidate requests the voter's vote.
    VoteRequest {
        /// Number of the candidate's round.
        round: u64,
    },
    /// Sent by a voter: grants the vote, or names the process that holds it.
    Vote {
        /// Round of the request that the vote answers.
        round: u64,
        /// True if the candidate now has the voter's vote.
        is_granted: bool,
        /// The process that holds the vote now, if any.
        holder: Option<ProcessId>,
        /// Remaining time for which the vote is bound, in nanoseconds; 0 if unknown.
        bound_for: Nanos,
    },
    /// Sent to a voter: the candidate releases the vote of this round.
    VoteRelease {
        /// Round in which the released vote was given.
        round: u64,
    },
    /// Sent to the leader: a borrower requests leases.
    LeaseRequest {
        /// Time of the request by the borrower's clock, in nanoseconds. The grant returns it.
        sent_at: Nanos,
        /// Number of the borrower's zone. Scarce units are divided among the zones first.
        zone: u32,
        /// The requests, at most one per budget.
        requests: Vec<BudgetRequest>,
    },
    /// Sent by the leader: grants leases.
    LeaseGrant {
        /// Time of the request by the borrower's clock, in nanoseconds.
        request_sent_at: Nanos,
        /// Leases by the id of their budget.
        leases: Vec<(u32, Lease)>,
    },
    /// Answers a request to a node that is not the leader.
    Redirect {
        /// The leader, if the sender knows it.
        leader: Option<ProcessId>,
    },
    /// Tells the leader that the sender leaves the cluster and has released all its leases.
    Leave,
    /// Sent to the leader: a borrower requests units of keyed quotas.
    QuotaRequest(QuotaRequest),
    /// Sent by the leader: grants units of keyed quotas.
    QuotaGrant(QuotaGrant),
}

/// The progress of the counters that a voter has of the processes in a range of keys, for
/// comparison with another voter.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KnownCounters {
    /// Lower bound of the range of process keys, inclusive.
    pub first_key: u64,
    /// Upper bound of the range of process keys, inclusive.
    pub last_key: u64,
    /// Each known process in the range with the sum of all its counts, at most
    /// [`MAX_KNOWN_PROCESSES`].
    pub progress: Vec<(ProcessId, u64)>,
}

/// The counters of the whole cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterTotals {
    /// Number of processes whose counters are kept separately.
    pub processes: u32,
    /// Number of retired processes, whose counts are part of the total.
    pub retired: u32,
    /// Counts of all processes since the start of each, by row.
    pub total: CounterRows,
    /// Counts of the last complete minute.
    pub last_minute: CounterWindow,
    /// End of the last complete minute as Unix time, in milliseconds.
    pub minute_end_unix_ms: u64,
}

/// A message of shared state.
#[derive(Clone, Debug, PartialEq)]
pub enum SharedMessage {
    /// A message about votes, leases or quotas.
    Limits(LimitMessage),
    /// The counter report of a process, or a part of that report.
    CounterReport(Box<CounterReport>),
    /// Sent by a voter to another voter, which answers with the reports that the sender lacks.
    KnownCounters(KnownCounters),
    /// Sent to a voter: requests the counters of the whole cluster.
    TotalsRequest,
    /// Sent by a voter: the counters of the whole cluster.
    ClusterTotals(Box<ClusterTotals>),
    /// Health reports of the sender, each with the number of the service.
    HealthReports(Vec<(u64, HealthReport)>),
}

/// Whether this build sends a later version of the messages: with an unknown field in each message,
/// and with messages of an unknown kind. Used to test a cluster of two versions.
pub const IS_LATER_VERSION: bool = cfg!(feature = "later");
/// A field that the current version does not know: number 250, a string.
const LATER_FIELD: [u8; 8] = [0xd2, 0x0f, 5, b'l', b'a', b't', b'e', b'r'];

/// Returns a payload of a kind that the current version does not know.
pub fn unknown_kind_payload() -> Vec<u8> {
    add_later_field(
        Payload {
            kind: kind::LATER,
            ..Payload::default()
        }
        .encode_to_vec(),
    )
}

/// Appends the field of a later version, if this build sends it and the payload has space.
fn add_later_field(mut payload: Vec<u8>) -> Vec<u8> {
    if IS_LATER_VERSION && payload.len() + LATER_FIELD.len() <= MAX_PAYLOAD_BYTES {
        payload.extend(LATER_FIELD);
    }
    payload
}

#[cfg(test)]
mod tests;
