//! Cuts reports.

use super::COUNTS_FIT;
use super::encode::write_counts;
use crate::counters::{CounterReport, CounterRows};
use prost::Message as _;
use std::collections::BTreeMap;

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
