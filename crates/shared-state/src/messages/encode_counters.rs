//! Encodes counters.

use super::encode::encode_process;
use super::wire::{Counters, HeavyKeys, Latencies, Row, Totals, Window};
use super::{ClusterTotals, MAX_COUNTERS_BYTES};
use crate::counters::heavy_hitters::{ENTRIES, HeavyHitters};
use crate::counters::latency_histogram::Sparse;
use crate::counters::{CounterReport, CounterRows, CounterWindow};
use prost::Message as _;
use std::collections::BTreeMap;

/// Maximum number of heavy keys of each kind in totals.
const HEAVY_KEYS_IN_TOTALS: usize = 5;

pub(super) fn encode_counters(report: &CounterReport) -> Counters {
    Counters {
        process: Some(encode_process(report.process)),
        version: report.version,
        rows: encode_rows(&report.total),
        windows: report
            .windows
            .iter()
            .map(|(number, window)| encode_window(*number, window))
            .collect(),
    }
}

/// Encodes totals. If they do not fit a payload, rows are dropped from the end: first latencies,
/// then counts of the last minute, then counts since the start.
pub(super) fn encode_totals(totals: &ClusterTotals) -> Totals {
    let minute = &totals.last_minute;
    let mut encoded = Totals {
        processes: totals.processes,
        retired: totals.retired,
        total: encode_rows(&totals.total),
        minute: encode_rows(&minute.rows),
        heavy: encode_heavy(&minute.heavy, HEAVY_KEYS_IN_TOTALS),
        latency: encode_latencies(&minute.latency),
        minute_end_unix_ms: totals.minute_end_unix_ms,
    };
    while encoded.encoded_len() > MAX_COUNTERS_BYTES
        && (encoded.latency.pop().is_some() || encoded.minute.pop().is_some())
    {}
    while encoded.encoded_len() > MAX_COUNTERS_BYTES && encoded.total.pop().is_some() {}
    encoded
}

fn encode_window(number: u64, window: &CounterWindow) -> Window {
    Window {
        number,
        rows: encode_rows(&window.rows),
        latency: encode_latencies(&window.latency),
        heavy: encode_heavy(&window.heavy, ENTRIES),
        gauges: window.gauges.to_vec(),
    }
}

fn encode_rows(rows: &CounterRows) -> Vec<Row> {
    rows.iter()
        .map(|(row, numbers)| Row {
            row: *row,
            numbers: numbers.to_vec(),
        })
        .collect()
}

fn encode_latencies(latency: &BTreeMap<u32, Sparse>) -> Vec<Latencies> {
    latency
        .iter()
        .map(|(row, sparse)| encode_latency(*row, sparse))
        .collect()
}

/// Encodes a histogram, with each value as the difference to the previous one.
fn encode_latency(row: u32, sparse: &Sparse) -> Latencies {
    let previous = std::iter::once(0).chain(sparse.iter().map(|(value, _)| *value));
    let values = sparse
        .iter()
        .zip(previous)
        .map(|((value, _), previous)| value.saturating_sub(previous))
        .collect();
    Latencies {
        row,
        values,
        counts: sparse.iter().map(|(_, count)| *count).collect(),
    }
}

fn encode_heavy(heavy: &BTreeMap<u8, HeavyHitters>, max_keys: usize) -> Vec<HeavyKeys> {
    heavy
        .iter()
        .map(|(kind, heavy)| {
            let (keys, counts) = heavy.top().into_iter().take(max_keys).unzip();
            HeavyKeys {
                kind: u32::from(*kind),
                total: heavy.total,
                keys,
                counts,
            }
        })
        .collect()
}
