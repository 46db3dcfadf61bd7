//! Decodes counters and checks their bounds.

use super::ClusterTotals;
use super::decode::decode_process;
use super::wire::{Counters, HeavyKeys, Latencies, Row, Totals, Window};
use crate::counters::heavy_hitters::{ENTRIES, HeavyHitters};
use crate::counters::latency_histogram::{MAX_SPARSE_VALUES, Sparse};
use crate::counters::{
    COLUMNS, CounterReport, CounterRow, CounterRows, CounterWindow, MAX_HEAVY_KINDS, MAX_ROWS,
    WINDOWS,
};
use std::collections::BTreeMap;

/// Number of gauges of a window.
const GAUGES: usize = 2;

/// Decodes a counter report. Returns `None` if it names no process or exceeds a bound.
pub(super) fn decode_counters(counters: &Counters) -> Option<CounterReport> {
    let total = decode_rows(&counters.rows)?;
    let windows: BTreeMap<_, _> = counters
        .windows
        .iter()
        .map(decode_window)
        .collect::<Option<_>>()?;
    (windows.len() <= WINDOWS).then_some(CounterReport {
        process: decode_process(counters.process?),
        version: counters.version,
        total,
        windows,
    })
}

/// Decodes totals. Returns `None` if they exceed a bound.
pub(super) fn decode_totals(totals: &Totals) -> Option<ClusterTotals> {
    let last_minute = CounterWindow {
        rows: decode_rows(&totals.minute)?,
        latency: decode_latencies(&totals.latency)?,
        heavy: decode_heavy(&totals.heavy)?,
        gauges: [0; GAUGES],
    };
    Some(ClusterTotals {
        processes: totals.processes,
        retired: totals.retired,
        total: decode_rows(&totals.total)?,
        last_minute,
        minute_end_unix_ms: totals.minute_end_unix_ms,
    })
}

fn decode_window(window: &Window) -> Option<(u64, CounterWindow)> {
    let fits = window.latency.len() <= MAX_ROWS
        && window.heavy.len() <= MAX_HEAVY_KINDS
        && window.gauges.len() <= GAUGES;
    let mut gauges = [0; GAUGES];
    gauges
        .iter_mut()
        .zip(&window.gauges)
        .for_each(|(into, gauge)| *into = *gauge);
    let decoded = CounterWindow {
        rows: decode_rows(&window.rows)?,
        latency: decode_latencies(&window.latency)?,
        heavy: decode_heavy(&window.heavy)?,
        gauges,
    };
    fits.then_some((window.number, decoded))
}

fn decode_rows(rows: &[Row]) -> Option<CounterRows> {
    let decode = |row: &Row| {
        let mut numbers = CounterRow::default();
        numbers
            .iter_mut()
            .zip(&row.numbers)
            .for_each(|(into, number)| *into = *number);
        (row.numbers.len() <= COLUMNS).then_some((row.row, numbers))
    };
    if rows.len() > MAX_ROWS {
        None
    } else {
        rows.iter().map(decode).collect()
    }
}

fn decode_latencies(latencies: &[Latencies]) -> Option<BTreeMap<u32, Sparse>> {
    latencies.iter().map(decode_latency).collect()
}

fn decode_latency(latency: &Latencies) -> Option<(u32, Sparse)> {
    let count = latency.values.len();
    let mut value = 0u32;
    let sparse = latency
        .values
        .iter()
        .zip(&latency.counts)
        .map(|(difference, count)| {
            value = value.saturating_add(*difference);
            (value, *count)
        });
    (count == latency.counts.len() && count <= MAX_SPARSE_VALUES)
        .then(|| (latency.row, sparse.collect()))
}

fn decode_heavy(kinds: &[HeavyKeys]) -> Option<BTreeMap<u8, HeavyHitters>> {
    let decode = |heavy: &HeavyKeys| {
        let fits = heavy.keys.len() == heavy.counts.len() && heavy.keys.len() <= ENTRIES;
        let pairs = heavy.keys.iter().copied().zip(heavy.counts.iter().copied());
        u8::try_from(heavy.kind)
            .ok()
            .filter(|_| fits)
            .map(|kind| (kind, HeavyHitters::from_parts(heavy.total, pairs)))
    };
    kinds.iter().map(decode).collect()
}
