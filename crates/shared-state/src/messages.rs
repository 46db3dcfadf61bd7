//! What nodes tell each other about what they share, as it travels in the fleet's parcels: Protocol
//! Buffers, fields by number, unknown ones passed over; a message of an unknown kind is none for
//! this node.
//!
//! | field of `Parcel` | is |
//! | --- | --- |
//! | 1 | kind: 1 want, 2 word, 3 give back, 4 ask, 5 lend, 6 elsewhere, 7 leave, 9 evidence, 10 ask keys, 11 lend keys, 12 counts, 13 have, 14 ask sums, 15 sums |
//! | 2 | number of a round |
//! | 3 | whether an arbiter's word was given |
//! | 4 | a process: 1 key, 2 life |
//! | 5 | nanoseconds left of a word |
//! | 6 | the asker's stamp, which comes back |
//! | 7 | zone |
//! | 8 | wants: 1 budget (FNV-1a of its name and kind), 2 book and 3 number of the part that is held, 4 units, 5 value |
//! | 9 | parts: 1 budget, 2 book, 3 number, 4 units, 5 term in nanoseconds, 6 wanted by all, 7 borrowers, 8 pool |
//! | 11 | evidence of the sender: 1 service, 3 zone, 4 tries, 5 failed, 6 level |
//! | 12 | keys, in lists of equal length: 1 budgets, 2 keys, 3 left, 4 given back, 5 wanted or added, 6 milliseconds to wait |
//! | 13 | for how long keys are lent, in nanoseconds |
//! | 14 | counts of a process: 1 process, 2 label, 3 rows, 4 windows |
//! | 15 | what is known of some processes: 1 and 2 first and last key, and in lists of equal length 3 keys, 4 lives, 5 marks |
//! | 16 | sums: 1 processes, 2 gone, 3 rows since the start, 4 rows and 5 latencies and 6 heavy keys of the last minute, 7 its end in Unix milliseconds |
//! | row | 1 number (FNV-1a of the operation's name; 0 the process), 2 numbers by column |
//! | window | 1 number, 2 rows, 3 latencies, 4 heavy keys, 5 gauges |
//! | latency | 1 row, 2 values in tenths of a millisecond, each less the one before, 3 counts |
//! | heavy keys | 1 kind, 2 all that came, 3 keys, 4 counts |

mod decode;
mod encode;
mod split;
mod wire;

pub use decode::read;
pub use encode::write;
pub use split::split;

use crate::budget::{BudgetRequest, Lease};
use crate::counters::{CounterReport, CounterRows, CounterWindow};
use crate::keyed_quota::{QuotaGrant, QuotaRequest};
use crate::service_health::HealthReport;
use crate::{Nanos, ProcessId};
use prost::Message as _;
use wire::Parcel;

/// The most bytes of a parcel, as the fleet takes them.
pub const PARCEL_MAX: usize = 1200;
const COUNTS_FIT: usize = PARCEL_MAX - 40;
/// Processes in one word of what is known.
pub const HAVE_MAX: usize = 40;

/// Whether this is a build with a later version of the messages: a field more in each, one less in
/// some, and kinds that the present version does not know. For tests of both side by side.
pub const LATER: bool = cfg!(feature = "later");
/// A field that the present version does not know: number 250, a text.
const LATER_FIELD: [u8; 8] = [0xd2, 0x0f, 5, b'l', b'a', b't', b'e', b'r'];
/// A kind of message that it does not know.
pub const LATER_KIND: u32 = 90;

/// A parcel of a kind that the present version does not know.
pub fn later_kind() -> Vec<u8> {
    later(
        Parcel {
            kind: LATER_KIND,
            ..Parcel::default()
        }
        .encode_to_vec(),
    )
}

/// What a later version adds to a message.
pub(crate) fn later(mut message: Vec<u8>) -> Vec<u8> {
    if LATER && message.len() + LATER_FIELD.len() <= PARCEL_MAX {
        message.extend(LATER_FIELD);
    }
    message
}

/// What nodes tell each other.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// To an arbiter: give me your word, in this round.
    BudgetRequest { no: u64 },
    /// An arbiter gives it, or tells who has it.
    CounterReport {
        no: u64,
        given: bool,
        holder: Option<ProcessId>,
        left: Nanos,
    },
    /// What was given in this round is given back.
    GiveBack { no: u64 },
    /// To the one who lends: I hold these parts and want so much, by budget. The stamp is the
    /// asker's time.
    Ask {
        stamp: Nanos,
        zone: u32,
        wants: Vec<BudgetRequest>,
    },
    /// Parts, by budget; the stamp of the question comes back.
    Lend {
        stamp: Nanos,
        parts: Vec<(u32, Lease)>,
    },
    /// I do not lend; that one does, as far as I know.
    Elsewhere { lender: Option<ProcessId> },
    /// I leave: all of it is back.
    Leave,
    /// To the one who lends: what I have of some keys and want.
    AskKeys(QuotaRequest),
    /// What I get of them.
    LendKeys(QuotaGrant),
}

/// How far an arbiter knows the counts of the processes in a range of keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KnownCounters {
    pub from: u64,
    pub to: u64,
    pub marks: Vec<(ProcessId, u64)>,
}

/// The counts of the whole fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterTotals {
    pub processes: u32,
    /// Processes that are gone and counted.
    pub gone: u32,
    pub total: CounterRows,
    /// The last minute that is whole, and when it ended.
    pub minute: CounterWindow,
    pub until_ms: u64,
}

/// What a parcel is.
#[derive(Clone, Debug, PartialEq)]
pub enum ReceivedMessage {
    /// About budgets.
    Budgets(Message),
    /// ClusterCounters of a process, or a part of them.
    ClusterCounters(Box<CounterReport>),
    /// From one arbiter to another: what it knows of counts. The answer is what it lacks.
    KnownCounters(KnownCounters),
    /// To an arbiter: the counts of the whole fleet are wanted.
    AskSums,
    /// They are.
    ClusterTotals(Box<ClusterTotals>),
    /// What is seen of services, by their numbers.
    HealthReport(Vec<(u64, HealthReport)>),
}

#[cfg(test)]
mod tests;
