//! What a process counts of itself.

use super::latency_histogram::LatencyHistogram;
use super::{CounterReport, CounterRows, CounterWindow, OWN, ROWS_MAX, WINDOW_MS, WINDOWS, own};
use crate::{Nanos, ProcessId};
use std::collections::BTreeMap;

/// What a process counts of itself.
#[derive(Clone, Debug, Default)]
pub struct ProcessCounters {
    total: CounterRows,
    windows: BTreeMap<u64, CounterWindow>,
    /// Latencies of the latest window, by row.
    latency: BTreeMap<u32, LatencyHistogram>,
    latest: u64,
}

impl ProcessCounters {
    /// Of a process that has just started.
    pub fn new(unix_ms: u64) -> ProcessCounters {
        let mut tally = ProcessCounters::default();
        tally.add(unix_ms, OWN, own::STARTS, 1);
        tally
    }

    fn window(&mut self, unix_ms: u64) -> &mut CounterWindow {
        let no = unix_ms / WINDOW_MS;
        if no != self.latest {
            let latency = std::mem::take(&mut self.latency);
            if let Some(window) = self.windows.get_mut(&self.latest) {
                window.latency = latency
                    .iter()
                    .map(|(row, latency)| (*row, latency.sparse()))
                    .collect();
            }
            self.latest = no;
        }
        while self.windows.len() >= WINDOWS && !self.windows.contains_key(&no) {
            self.windows.pop_first();
        }
        self.windows.entry(no).or_default()
    }

    /// Something came so often.
    pub fn add(&mut self, unix_ms: u64, row: u32, column: usize, times: u64) {
        let window = self.window(unix_ms);
        if window.rows.len() >= ROWS_MAX && !window.rows.contains_key(&row) {
            return;
        }
        let of_window = window.rows.entry(row).or_default();
        of_window[column] = of_window[column].saturating_add(times);
        let of_all = self.total.entry(row).or_default();
        of_all[column] = of_all[column].saturating_add(times);
    }

    /// One of a row took so long.
    pub fn took(&mut self, unix_ms: u64, row: u32, time: Nanos) {
        let _ = self.window(unix_ms);
        if self.latency.len() < ROWS_MAX || self.latency.contains_key(&row) {
            self.latency.entry(row).or_default().add(time);
        }
    }

    /// A key came.
    pub fn heavy(&mut self, unix_ms: u64, kind: u8, key: u64) {
        self.window(unix_ms)
            .heavy
            .entry(kind)
            .or_default()
            .add(key, 1);
    }

    /// The gauges stand so.
    pub fn gauges(&mut self, unix_ms: u64, gauges: [u64; 2]) {
        let held = &mut self.window(unix_ms).gauges;
        held.iter_mut()
            .zip(gauges)
            .for_each(|(held, seen)| *held = (*held).max(seen));
    }

    /// What it has to say: all since the start, and the latest windows.
    pub fn word(&self, who: ProcessId, label: u64, windows: usize) -> CounterReport {
        let mut latest: BTreeMap<u64, CounterWindow> = self
            .windows
            .iter()
            .rev()
            .take(windows)
            .map(|(no, window)| (*no, window.clone()))
            .collect();
        if let Some(window) = latest.get_mut(&self.latest) {
            window.latency = self
                .latency
                .iter()
                .map(|(row, latency)| (*row, latency.sparse()))
                .collect();
        }
        CounterReport {
            who,
            label,
            total: self.total.clone(),
            windows: latest,
        }
    }

    /// Of all operations, in the latest two windows.
    pub fn lately(&self, column: usize) -> u64 {
        let latest = self.windows.values().rev().take(2);
        let rows = latest.flat_map(|window| window.rows.iter().filter(|(row, _)| **row != OWN));
        rows.map(|(_, numbers)| numbers[column]).sum()
    }

    /// Since the start.
    pub fn total(&self, row: u32, column: usize) -> u64 {
        self.total.get(&row).map_or(0, |row| row[column])
    }
}
