//! The counters that a process keeps of its own events.

use super::latency_histogram::LatencyHistogram;
use super::{
    CounterReport, CounterRows, CounterWindow, MAX_ROWS, PROCESS_ROW, WINDOW_MS, WINDOWS,
    process_column,
};
use crate::{Nanos, ProcessId};
use std::collections::BTreeMap;

/// Number of latest windows that [`ProcessCounters::recent`] covers.
const RECENT_WINDOWS: usize = 2;

/// The counters of this process.
#[derive(Clone, Debug, Default)]
pub struct ProcessCounters {
    total: CounterRows,
    windows: BTreeMap<u64, CounterWindow>,
    /// Latencies of the latest window, by row.
    latency: BTreeMap<u32, LatencyHistogram>,
    /// Number of the latest window.
    latest: u64,
}

impl ProcessCounters {
    /// Creates the counters of a process that has just started, with one start counted.
    pub fn new(unix_ms: u64) -> ProcessCounters {
        let mut counters = ProcessCounters::default();
        counters.add(unix_ms, PROCESS_ROW, process_column::STARTS, 1);
        counters
    }

    fn window(&mut self, unix_ms: u64) -> &mut CounterWindow {
        let number = unix_ms / WINDOW_MS;
        if number != self.latest {
            let latency = std::mem::take(&mut self.latency);
            if let Some(window) = self.windows.get_mut(&self.latest) {
                window.latency = latency
                    .iter()
                    .map(|(row, latency)| (*row, latency.sparse()))
                    .collect();
            }
            self.latest = number;
        }
        while self.windows.len() >= WINDOWS && !self.windows.contains_key(&number) {
            self.windows.pop_first();
        }
        self.windows.entry(number).or_default()
    }

    /// Adds `times` to a column of a row, in the total and in the window of `unix_ms`. Rows beyond
    /// [`MAX_ROWS`] are not counted.
    pub fn add(&mut self, unix_ms: u64, row: u32, column: usize, times: u64) {
        let window = self.window(unix_ms);
        if window.rows.len() >= MAX_ROWS && !window.rows.contains_key(&row) {
            return;
        }
        let in_window = window.rows.entry(row).or_default();
        in_window[column] = in_window[column].saturating_add(times);
        let in_total = self.total.entry(row).or_default();
        in_total[column] = in_total[column].saturating_add(times);
    }

    /// Records a latency in nanoseconds of the operation with this row. Rows beyond [`MAX_ROWS`]
    /// are ignored.
    pub fn record_latency(&mut self, unix_ms: u64, row: u32, latency: Nanos) {
        let _ = self.window(unix_ms);
        if self.latency.len() < MAX_ROWS || self.latency.contains_key(&row) {
            self.latency.entry(row).or_default().record(latency);
        }
    }

    /// Records one occurrence of a key for a kind of heavy keys ([`super::heavy_kind`]).
    pub fn record_key(&mut self, unix_ms: u64, kind: u8, key: u64) {
        self.window(unix_ms)
            .heavy
            .entry(kind)
            .or_default()
            .add(key, 1);
    }

    /// Records the memory in KB and the number of open file descriptors. A window keeps the maximum
    /// of each.
    pub fn record_gauges(&mut self, unix_ms: u64, gauges: [u64; 2]) {
        super::raise(&mut self.window(unix_ms).gauges, &gauges);
    }

    /// Returns a report of all counts since the start and of the `windows` latest windows.
    pub fn report(&self, process: ProcessId, version: u64, windows: usize) -> CounterReport {
        let mut latest: BTreeMap<u64, CounterWindow> = self
            .windows
            .iter()
            .rev()
            .take(windows)
            .map(|(number, window)| (*number, window.clone()))
            .collect();
        if let Some(window) = latest.get_mut(&self.latest) {
            window.latency = self
                .latency
                .iter()
                .map(|(row, latency)| (*row, latency.sparse()))
                .collect();
        }
        CounterReport {
            process,
            version,
            total: self.total.clone(),
            windows: latest,
        }
    }

    /// Returns the sum of a column over all operations in the latest two windows.
    pub fn recent(&self, column: usize) -> u64 {
        let latest = self.windows.values().rev().take(RECENT_WINDOWS);
        let rows =
            latest.flat_map(|window| window.rows.iter().filter(|(row, _)| **row != PROCESS_ROW));
        rows.map(|(_, numbers)| numbers[column]).sum()
    }

    /// Returns a column of a row since the start of the process, or 0 for an unknown row.
    pub fn total(&self, row: u32, column: usize) -> u64 {
        self.total.get(&row).map_or(0, |row| row[column])
    }
}
