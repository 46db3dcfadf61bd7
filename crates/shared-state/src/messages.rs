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

use crate::budget_lender::Lease;
use crate::counts::{self, COLUMNS, CounterReport, CounterRows, HEAVY_MAX, ROWS_MAX, WINDOWS};
use crate::heavy_hitters::{ENTRIES, HeavyHitters};
use crate::keyed_quota::{KEYS_ASKED, KeyGrant, KeyRequest, QuotaGrant, QuotaRequest};
use crate::latency_histogram::{Sparse, VALUES_MAX};
use crate::service_health::HealthReport;
use crate::shared_state::{BudgetRequest, Message};
use crate::{Nanos, ProcessId};
use prost::Message as _;
use std::collections::BTreeMap;

/// The most bytes of a parcel, as the fleet takes them.
pub const PARCEL_MAX: usize = 1200;
/// Bounds on what is read.
const BUDGETS_MAX: usize = 64;
/// Processes in one word of what is known.
pub const HAVE_MAX: usize = 40;

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct Process {
    #[prost(fixed64, tag = "1")]
    key: u64,
    #[prost(fixed64, tag = "2")]
    life: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct Wanted {
    #[prost(uint32, tag = "1")]
    budget: u32,
    #[prost(fixed64, tag = "2")]
    book: u64,
    #[prost(uint64, tag = "3")]
    no: u64,
    #[prost(uint32, tag = "4")]
    units: u32,
    #[prost(double, tag = "5")]
    value: f64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct LentPart {
    #[prost(uint32, tag = "1")]
    budget: u32,
    #[prost(fixed64, tag = "2")]
    book: u64,
    #[prost(uint64, tag = "3")]
    no: u64,
    #[prost(uint32, tag = "4")]
    units: u32,
    #[prost(uint64, tag = "5")]
    term: u64,
    #[prost(uint32, tag = "6")]
    wanted: u32,
    #[prost(uint32, tag = "7")]
    borrowers: u32,
    #[prost(uint32, tag = "8")]
    pool: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct CountRow {
    #[prost(fixed32, tag = "1")]
    row: u32,
    #[prost(uint64, repeated, tag = "2")]
    numbers: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Latencies {
    #[prost(fixed32, tag = "1")]
    row: u32,
    #[prost(uint32, repeated, tag = "2")]
    values: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    counts: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct HeavyKeys {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(uint64, tag = "2")]
    total: u64,
    #[prost(fixed64, repeated, tag = "3")]
    keys: Vec<u64>,
    #[prost(uint64, repeated, tag = "4")]
    counts: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Window {
    #[prost(uint64, tag = "1")]
    no: u64,
    #[prost(message, repeated, tag = "2")]
    rows: Vec<CountRow>,
    #[prost(message, repeated, tag = "3")]
    latency: Vec<Latencies>,
    #[prost(message, repeated, tag = "4")]
    heavy: Vec<HeavyKeys>,
    #[prost(uint64, repeated, tag = "5")]
    gauges: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct CountWord {
    #[prost(message, optional, tag = "1")]
    who: Option<Process>,
    #[prost(fixed64, tag = "2")]
    label: u64,
    #[prost(message, repeated, tag = "3")]
    rows: Vec<CountRow>,
    #[prost(message, repeated, tag = "4")]
    windows: Vec<Window>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Known {
    #[prost(fixed64, tag = "1")]
    from: u64,
    #[prost(fixed64, tag = "2")]
    to: u64,
    #[prost(fixed64, repeated, tag = "3")]
    keys: Vec<u64>,
    #[prost(fixed64, repeated, tag = "4")]
    lives: Vec<u64>,
    #[prost(uint64, repeated, tag = "5")]
    marks: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SumWord {
    #[prost(uint32, tag = "1")]
    processes: u32,
    #[prost(uint32, tag = "2")]
    gone: u32,
    #[prost(message, repeated, tag = "3")]
    total: Vec<CountRow>,
    #[prost(message, repeated, tag = "4")]
    minute: Vec<CountRow>,
    #[prost(message, repeated, tag = "5")]
    latency: Vec<Latencies>,
    #[prost(message, repeated, tag = "6")]
    heavy: Vec<HeavyKeys>,
    #[prost(uint64, tag = "7")]
    until_ms: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct Witness {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(uint32, tag = "3")]
    zone: u32,
    #[prost(uint32, tag = "4")]
    tries: u32,
    #[prost(uint32, tag = "5")]
    failed: u32,
    #[prost(double, tag = "6")]
    level: f64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Keys {
    #[prost(fixed32, repeated, tag = "1")]
    budgets: Vec<u32>,
    #[prost(fixed64, repeated, tag = "2")]
    keys: Vec<u64>,
    #[prost(uint32, repeated, tag = "3")]
    left: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    back: Vec<u32>,
    #[prost(uint32, repeated, tag = "5")]
    units: Vec<u32>,
    #[prost(uint32, repeated, tag = "6")]
    waits: Vec<u32>,
}

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

#[derive(Clone, PartialEq, prost::Message)]
struct Parcel {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(uint64, tag = "2")]
    no: u64,
    #[prost(bool, tag = "3")]
    given: bool,
    #[prost(message, optional, tag = "4")]
    who: Option<Process>,
    #[prost(uint64, tag = "5")]
    left: u64,
    #[prost(uint64, tag = "6")]
    stamp: u64,
    #[prost(uint32, tag = "7")]
    zone: u32,
    #[prost(message, repeated, tag = "8")]
    wants: Vec<Wanted>,
    #[prost(message, repeated, tag = "9")]
    parts: Vec<LentPart>,
    #[prost(message, repeated, tag = "11")]
    evidence: Vec<Witness>,
    #[prost(message, optional, tag = "12")]
    keys: Option<Keys>,
    #[prost(uint64, tag = "13")]
    life: u64,
    #[prost(message, optional, tag = "14")]
    counts: Option<CountWord>,
    #[prost(message, optional, tag = "15")]
    known: Option<Known>,
    #[prost(message, optional, tag = "16")]
    sums: Option<SumWord>,
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
    pub minute: counts::CounterWindow,
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

fn process(who: ProcessId) -> Option<Process> {
    Some(Process {
        key: who.key,
        life: who.life,
    })
}

fn who(process: Option<Process>) -> Option<ProcessId> {
    process.map(|p| ProcessId {
        key: p.key,
        life: p.life,
    })
}

fn write_rows(rows: &CounterRows) -> Vec<CountRow> {
    rows.iter()
        .map(|(row, numbers)| CountRow {
            row: *row,
            numbers: numbers.to_vec(),
        })
        .collect()
}

fn read_rows(rows: &[CountRow]) -> Option<CounterRows> {
    let read = |row: &CountRow| {
        let mut numbers = counts::CounterRow::default();
        numbers
            .iter_mut()
            .zip(&row.numbers)
            .for_each(|(into, number)| *into = *number);
        (row.numbers.len() <= COLUMNS).then_some((row.row, numbers))
    };
    if rows.len() > ROWS_MAX {
        None
    } else {
        rows.iter().map(read).collect()
    }
}

fn write_latency(row: u32, sparse: &Sparse) -> Latencies {
    let before = std::iter::once(0).chain(sparse.iter().map(|(value, _)| *value));
    let values = sparse
        .iter()
        .zip(before)
        .map(|((value, _), before)| value.saturating_sub(before))
        .collect();
    Latencies {
        row,
        values,
        counts: sparse.iter().map(|(_, count)| *count).collect(),
    }
}

fn read_latency(latency: &Latencies) -> Option<(u32, Sparse)> {
    let n = latency.values.len();
    let mut at = 0u32;
    let sparse = latency
        .values
        .iter()
        .zip(&latency.counts)
        .map(|(more, count)| {
            at = at.saturating_add(*more);
            (at, *count)
        });
    (n == latency.counts.len() && n <= VALUES_MAX).then(|| (latency.row, sparse.collect()))
}

fn write_heavy(kind: u8, heavy: &HeavyHitters, most: usize) -> HeavyKeys {
    let (keys, counts) = heavy.most().into_iter().take(most).unzip();
    HeavyKeys {
        kind: u32::from(kind),
        total: heavy.total,
        keys,
        counts,
    }
}

fn read_heavy(heavy: &HeavyKeys) -> Option<(u8, HeavyHitters)> {
    let fits = heavy.keys.len() == heavy.counts.len() && heavy.keys.len() <= ENTRIES;
    let pairs = heavy.keys.iter().copied().zip(heavy.counts.iter().copied());
    u8::try_from(heavy.kind)
        .ok()
        .filter(|_| fits)
        .map(|kind| (kind, HeavyHitters::of(heavy.total, pairs)))
}

fn write_window(no: u64, window: &counts::CounterWindow) -> Window {
    Window {
        no,
        rows: write_rows(&window.rows),
        latency: window
            .latency
            .iter()
            .map(|(row, sparse)| write_latency(*row, sparse))
            .collect(),
        heavy: window
            .heavy
            .iter()
            .map(|(kind, heavy)| write_heavy(*kind, heavy, ENTRIES))
            .collect(),
        gauges: window.gauges.to_vec(),
    }
}

fn read_window(window: &Window) -> Option<(u64, counts::CounterWindow)> {
    let fits = window.latency.len() <= ROWS_MAX
        && window.heavy.len() <= HEAVY_MAX
        && window.gauges.len() <= 2;
    let mut gauges = [0; 2];
    gauges
        .iter_mut()
        .zip(&window.gauges)
        .for_each(|(into, gauge)| *into = *gauge);
    let read = counts::CounterWindow {
        rows: read_rows(&window.rows)?,
        latency: window
            .latency
            .iter()
            .map(read_latency)
            .collect::<Option<_>>()?,
        heavy: window.heavy.iter().map(read_heavy).collect::<Option<_>>()?,
        gauges,
    };
    fits.then_some((window.no, read))
}

fn write_counts(word: &CounterReport) -> CountWord {
    let windows = word
        .windows
        .iter()
        .map(|(no, window)| write_window(*no, window))
        .collect();
    CountWord {
        who: process(word.who),
        label: word.label,
        rows: write_rows(&word.total),
        windows,
    }
}

fn read_counts(word: &CountWord) -> Option<CounterReport> {
    let total = read_rows(&word.rows)?;
    let windows: BTreeMap<_, _> = word
        .windows
        .iter()
        .map(read_window)
        .collect::<Option<_>>()?;
    (windows.len() <= WINDOWS).then_some(CounterReport {
        who: who(word.who)?,
        label: word.label,
        total,
        windows,
    })
}

/// Cuts a word into parts that each fit a parcel. As of each number the larger holds, it does not
/// matter which of them come.
pub fn split(word: &CounterReport) -> Vec<CounterReport> {
    let empty = || CounterReport {
        total: CounterRows::new(),
        windows: BTreeMap::new(),
        ..word.clone()
    };
    let mut parts: Vec<CounterReport> = vec![empty()];
    let mut put = |with: &dyn Fn(&mut CounterReport)| {
        if let Some(last) = parts.last_mut() {
            let before = last.clone();
            with(last);
            if write_counts(last).encoded_len() <= COUNTS_FIT {
                return;
            }
            *last = before;
        }
        let mut next = empty();
        with(&mut next);
        parts.push(next);
    };
    for (row, numbers) in &word.total {
        put(&|part| _ = part.total.insert(*row, *numbers));
    }
    for (no, window) in &word.windows {
        put(&|part| part.windows.entry(*no).or_default().gauges = window.gauges);
        for (row, numbers) in &window.rows {
            put(&|part| {
                _ = part
                    .windows
                    .entry(*no)
                    .or_default()
                    .rows
                    .insert(*row, *numbers)
            });
        }
        for (row, sparse) in &window.latency {
            put(&|part| {
                _ = part
                    .windows
                    .entry(*no)
                    .or_default()
                    .latency
                    .insert(*row, sparse.clone())
            });
        }
        for (kind, heavy) in &window.heavy {
            put(&|part| {
                _ = part
                    .windows
                    .entry(*no)
                    .or_default()
                    .heavy
                    .insert(*kind, heavy.clone())
            });
        }
    }
    parts
}

/// What a part of a word may take, with room for the frame of the parcel; the largest piece of one
/// is smaller.
const COUNTS_FIT: usize = PARCEL_MAX - 40;
/// HeavyHitters keys of each kind in sums.
const HEAVY_TOLD: usize = 5;

fn write_sums(sums: &ClusterTotals) -> SumWord {
    let minute = &sums.minute;
    let mut word = SumWord {
        processes: sums.processes,
        gone: sums.gone,
        total: write_rows(&sums.total),
        minute: write_rows(&minute.rows),
        heavy: minute
            .heavy
            .iter()
            .map(|(kind, heavy)| write_heavy(*kind, heavy, HEAVY_TOLD))
            .collect(),
        latency: minute
            .latency
            .iter()
            .map(|(row, sparse)| write_latency(*row, sparse))
            .collect(),
        until_ms: sums.until_ms,
    };
    // Of many operations the last ones are told without latencies, then not at all.
    while word.encoded_len() > COUNTS_FIT
        && (word.latency.pop().is_some() || word.minute.pop().is_some())
    {}
    while word.encoded_len() > COUNTS_FIT && word.total.pop().is_some() {}
    word
}

fn read_sums(word: &SumWord) -> Option<ClusterTotals> {
    let minute = counts::CounterWindow {
        rows: read_rows(&word.minute)?,
        latency: word
            .latency
            .iter()
            .map(read_latency)
            .collect::<Option<_>>()?,
        heavy: word.heavy.iter().map(read_heavy).collect::<Option<_>>()?,
        gauges: [0; 2],
    };
    let (processes, gone, until_ms) = (word.processes, word.gone, word.until_ms);
    Some(ClusterTotals {
        processes,
        gone,
        total: read_rows(&word.total)?,
        minute,
        until_ms,
    })
}

fn read_have(known: &Known) -> Option<KnownCounters> {
    let n = known.keys.len();
    let fits = n <= HAVE_MAX && known.lives.len() == n && known.marks.len() == n;
    let who = known
        .keys
        .iter()
        .zip(&known.lives)
        .map(|(key, life)| ProcessId {
            key: *key,
            life: *life,
        });
    let marks = who.zip(known.marks.iter().copied()).collect();
    fits.then_some(KnownCounters {
        from: known.from,
        to: known.to,
        marks,
    })
}

/// Writes what is told. ClusterCounters that don't fit one parcel are cut by [`split`] first.
pub fn write(told: &ReceivedMessage) -> Vec<u8> {
    let mut parcel = Parcel::default();
    match told {
        ReceivedMessage::Budgets(message) => budgets(&mut parcel, message),
        ReceivedMessage::ClusterCounters(word) => {
            (parcel.kind, parcel.counts) = (12, Some(write_counts(word)))
        }
        ReceivedMessage::KnownCounters(have) => {
            parcel.kind = 13;
            parcel.known = Some(Known {
                from: have.from,
                to: have.to,
                keys: have.marks.iter().map(|(who, _)| who.key).collect(),
                lives: have.marks.iter().map(|(who, _)| who.life).collect(),
                marks: have.marks.iter().map(|(_, mark)| *mark).collect(),
            });
        }
        ReceivedMessage::AskSums => parcel.kind = 14,
        ReceivedMessage::ClusterTotals(sums) => {
            (parcel.kind, parcel.sums) = (15, Some(write_sums(sums)))
        }
        ReceivedMessage::HealthReport(all) => {
            parcel.kind = 9;
            parcel.evidence = all
                .iter()
                .map(|(service, e)| Witness {
                    service: *service,
                    zone: e.zone,
                    tries: e.tries,
                    failed: e.failed,
                    level: e.level,
                })
                .collect();
        }
    }
    later(parcel.encode_to_vec())
}

fn budgets(parcel: &mut Parcel, message: &Message) {
    match message {
        Message::BudgetRequest { no } => (parcel.kind, parcel.no) = (1, *no),
        Message::CounterReport {
            no,
            given,
            holder,
            left,
        } => {
            (parcel.kind, parcel.no, parcel.given, parcel.left) = (2, *no, *given, *left);
            parcel.who = holder.and_then(process);
        }
        Message::GiveBack { no } => (parcel.kind, parcel.no) = (3, *no),
        Message::Ask { stamp, zone, wants } => {
            (parcel.kind, parcel.stamp, parcel.zone) = (4, *stamp, *zone);
            let wanted = |w: &BudgetRequest| Wanted {
                budget: w.budget,
                book: w.holds.0,
                no: w.holds.1,
                units: w.units,
                value: w.value,
            };
            parcel.wants = wants.iter().map(wanted).collect();
        }
        Message::Lend { stamp, parts } => {
            (parcel.kind, parcel.stamp) = (5, *stamp);
            let lent = |(budget, p): &(u32, Lease)| LentPart {
                budget: *budget,
                book: p.book,
                no: p.no,
                units: p.units,
                term: p.term,
                wanted: p.wanted,
                borrowers: p.borrowers,
                pool: p.pool,
            };
            parcel.parts = parts.iter().map(lent).collect();
        }
        Message::Elsewhere { lender } => (parcel.kind, parcel.who) = (6, lender.and_then(process)),
        Message::Leave => parcel.kind = 7,
        Message::AskKeys(asked) => {
            (parcel.kind, parcel.no, parcel.stamp) = (10, u64::from(asked.no), asked.stamp);
            let all = &asked.keys;
            parcel.keys = Some(Keys {
                budgets: all.iter().map(|k| k.budget).collect(),
                keys: all.iter().map(|k| k.key).collect(),
                left: all.iter().map(|k| k.left).collect(),
                back: all.iter().map(|k| k.back).collect(),
                units: all.iter().map(|k| k.wants).collect(),
                waits: Vec::new(),
            });
        }
        Message::LendKeys(lent) => {
            (parcel.kind, parcel.no, parcel.stamp) = (11, u64::from(lent.no), lent.stamp);
            parcel.life = lent.life;
            let (all, ms) = (&lent.keys, |nanos: Nanos| {
                nanos.div_ceil(crate::MILLISECOND) as u32
            });
            parcel.keys = Some(Keys {
                budgets: all.iter().map(|k| k.budget).collect(),
                keys: all.iter().map(|k| k.key).collect(),
                left: Vec::new(),
                back: Vec::new(),
                units: all.iter().map(|k| k.adds).collect(),
                waits: all.iter().map(|k| ms(k.wait)).collect(),
            });
        }
    }
}

/// What is asked of keys, or lent; nothing if its lists don't fit each other.
fn asked(keys: Keys) -> Option<Vec<KeyRequest>> {
    let n = keys.keys.len();
    let fits = [&keys.budgets, &keys.left, &keys.back, &keys.units]
        .iter()
        .all(|list| list.len() == n);
    (fits && n <= KEYS_ASKED).then(|| {
        let one = |at: usize| KeyRequest {
            budget: keys.budgets[at],
            key: keys.keys[at],
            left: keys.left[at],
            back: keys.back[at],
            wants: keys.units[at],
        };
        (0..n).map(one).collect()
    })
}

fn keys_lent(keys: Keys) -> Option<Vec<KeyGrant>> {
    let n = keys.keys.len();
    let fits = [&keys.budgets, &keys.units, &keys.waits]
        .iter()
        .all(|list| list.len() == n);
    (fits && n <= KEYS_ASKED).then(|| {
        let one = |at: usize| KeyGrant {
            budget: keys.budgets[at],
            key: keys.keys[at],
            adds: keys.units[at],
            wait: u64::from(keys.waits[at]) * crate::MILLISECOND,
        };
        (0..n).map(one).collect()
    })
}

/// Reads what was told; nothing if it can't be read, is beyond its bounds, or is of a kind that is
/// not known.
pub fn read(bytes: &[u8]) -> Option<ReceivedMessage> {
    let parcel = Parcel::decode(bytes)
        .ok()
        .filter(|_| bytes.len() <= PARCEL_MAX)?;
    if parcel.wants.len() > BUDGETS_MAX || parcel.parts.len() > BUDGETS_MAX {
        return None;
    }
    let Parcel { no, stamp, .. } = parcel;
    Some(ReceivedMessage::Budgets(match parcel.kind {
        1 => Message::BudgetRequest { no },
        2 => Message::CounterReport {
            no,
            given: parcel.given,
            holder: who(parcel.who),
            left: parcel.left,
        },
        3 => Message::GiveBack { no },
        4 => {
            // A value that is no number would upset who gets how much.
            let sane = |value: f64| {
                if value.is_finite() {
                    value.clamp(0.0, 1e6)
                } else {
                    0.0
                }
            };
            let want = |w: &Wanted| BudgetRequest {
                budget: w.budget,
                holds: (w.book, w.no),
                units: w.units,
                value: sane(w.value),
            };
            Message::Ask {
                stamp,
                zone: parcel.zone,
                wants: parcel.wants.iter().map(want).collect(),
            }
        }
        5 => {
            let longest: Nanos = 3600 * crate::SECOND;
            let part = |p: &LentPart| {
                (
                    p.budget,
                    Lease {
                        book: p.book,
                        no: p.no,
                        units: p.units,
                        term: p.term.min(longest),
                        wanted: p.wanted,
                        borrowers: p.borrowers,
                        pool: p.pool,
                    },
                )
            };
            Message::Lend {
                stamp,
                parts: parcel.parts.iter().map(part).collect(),
            }
        }
        6 => Message::Elsewhere {
            lender: who(parcel.who),
        },
        7 => Message::Leave,
        9 => {
            return Some(ReceivedMessage::HealthReport(
                parcel.evidence.iter().filter_map(witness).collect(),
            ));
        }
        12 => {
            return Some(ReceivedMessage::ClusterCounters(Box::new(read_counts(
                &parcel.counts?,
            )?)));
        }
        13 => return Some(ReceivedMessage::KnownCounters(read_have(&parcel.known?)?)),
        14 => return Some(ReceivedMessage::AskSums),
        15 => {
            return Some(ReceivedMessage::ClusterTotals(Box::new(read_sums(
                &parcel.sums?,
            )?)));
        }
        10 => {
            let no = u32::try_from(no).ok()?;
            Message::AskKeys(QuotaRequest {
                no,
                stamp,
                keys: asked(parcel.keys?)?,
            })
        }
        11 => {
            let no = u32::try_from(no).ok()?;
            let life = parcel.life.min(3600 * crate::SECOND);
            Message::LendKeys(QuotaGrant {
                no,
                stamp,
                life,
                keys: keys_lent(parcel.keys?)?,
            })
        }
        _ => return None,
    }))
}

fn witness(w: &Witness) -> Option<(u64, HealthReport)> {
    let level = if w.level.is_finite() {
        w.level.clamp(0.0, 1.0)
    } else {
        return None;
    };
    let failed = w.failed.min(w.tries);
    Some((
        w.service,
        HealthReport {
            zone: w.zone,
            tries: w.tries,
            failed,
            level,
        },
    ))
}

#[cfg(test)]
mod tests;
