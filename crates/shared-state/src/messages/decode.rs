//! Reads messages.

use super::wire::{
    CountRow, CountWord, HeavyKeys, Keys, Known, Latencies, LentPart, Parcel, Process, SumWord,
    Wanted, Window, Witness,
};
use super::{ClusterTotals, HAVE_MAX, KnownCounters, Message, PARCEL_MAX, ReceivedMessage};
use crate::budget::{BudgetRequest, Lease};
use crate::counters::heavy_hitters::{ENTRIES, HeavyHitters};
use crate::counters::latency_histogram::{Sparse, VALUES_MAX};
use crate::counters::{
    COLUMNS, CounterReport, CounterRow, CounterRows, CounterWindow, HEAVY_MAX, ROWS_MAX, WINDOWS,
};
use crate::keyed_quota::{KEYS_ASKED, KeyGrant, KeyRequest, QuotaGrant, QuotaRequest};
use crate::service_health::HealthReport;
use crate::{Nanos, ProcessId};
use prost::Message as _;
use std::collections::BTreeMap;

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

/// Bounds on what is read.
const BUDGETS_MAX: usize = 64;

pub(super) fn who(process: Option<Process>) -> Option<ProcessId> {
    process.map(|p| ProcessId {
        key: p.key,
        life: p.life,
    })
}

pub(super) fn witness(w: &Witness) -> Option<(u64, HealthReport)> {
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

/// What is asked of keys, or lent; nothing if its lists don't fit each other.
pub(super) fn asked(keys: Keys) -> Option<Vec<KeyRequest>> {
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

pub(super) fn keys_lent(keys: Keys) -> Option<Vec<KeyGrant>> {
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

pub(super) fn read_rows(rows: &[CountRow]) -> Option<CounterRows> {
    let read = |row: &CountRow| {
        let mut numbers = CounterRow::default();
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

pub(super) fn read_latency(latency: &Latencies) -> Option<(u32, Sparse)> {
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

pub(super) fn read_heavy(heavy: &HeavyKeys) -> Option<(u8, HeavyHitters)> {
    let fits = heavy.keys.len() == heavy.counts.len() && heavy.keys.len() <= ENTRIES;
    let pairs = heavy.keys.iter().copied().zip(heavy.counts.iter().copied());
    u8::try_from(heavy.kind)
        .ok()
        .filter(|_| fits)
        .map(|kind| (kind, HeavyHitters::of(heavy.total, pairs)))
}

pub(super) fn read_window(window: &Window) -> Option<(u64, CounterWindow)> {
    let fits = window.latency.len() <= ROWS_MAX
        && window.heavy.len() <= HEAVY_MAX
        && window.gauges.len() <= 2;
    let mut gauges = [0; 2];
    gauges
        .iter_mut()
        .zip(&window.gauges)
        .for_each(|(into, gauge)| *into = *gauge);
    let read = CounterWindow {
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

pub(super) fn read_counts(word: &CountWord) -> Option<CounterReport> {
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

pub(super) fn read_sums(word: &SumWord) -> Option<ClusterTotals> {
    let minute = CounterWindow {
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

pub(super) fn read_have(known: &Known) -> Option<KnownCounters> {
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
