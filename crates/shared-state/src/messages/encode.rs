//! Writes messages.

use super::wire::{
    CountRow, CountWord, HeavyKeys, Keys, Known, Latencies, LentPart, Parcel, Process, SumWord,
    Wanted, Window, Witness,
};
use super::{COUNTS_FIT, ClusterTotals, Message, ReceivedMessage, later};
use crate::budget::{BudgetRequest, Lease};
use crate::counters::heavy_hitters::{ENTRIES, HeavyHitters};
use crate::counters::latency_histogram::Sparse;
use crate::counters::{CounterReport, CounterRows, CounterWindow};
use crate::{Nanos, ProcessId};
use prost::Message as _;

/// HeavyHitters keys of each kind in sums.
const HEAVY_TOLD: usize = 5;

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

pub(super) fn budgets(parcel: &mut Parcel, message: &Message) {
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

pub(super) fn process(who: ProcessId) -> Option<Process> {
    Some(Process {
        key: who.key,
        life: who.life,
    })
}

pub(super) fn write_rows(rows: &CounterRows) -> Vec<CountRow> {
    rows.iter()
        .map(|(row, numbers)| CountRow {
            row: *row,
            numbers: numbers.to_vec(),
        })
        .collect()
}

pub(super) fn write_latency(row: u32, sparse: &Sparse) -> Latencies {
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

pub(super) fn write_heavy(kind: u8, heavy: &HeavyHitters, most: usize) -> HeavyKeys {
    let (keys, counts) = heavy.most().into_iter().take(most).unzip();
    HeavyKeys {
        kind: u32::from(kind),
        total: heavy.total,
        keys,
        counts,
    }
}

pub(super) fn write_window(no: u64, window: &CounterWindow) -> Window {
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

pub(super) fn write_counts(word: &CounterReport) -> CountWord {
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

pub(super) fn write_sums(sums: &ClusterTotals) -> SumWord {
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
