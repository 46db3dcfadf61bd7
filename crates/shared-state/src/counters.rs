//! Counters that a cluster adds up: each process counts for itself ([`ProcessCounters`]) and reports
//! its sums; every receiver of the reports ([`ClusterCounters`]), in any order and any number of
//! times, comes to the same totals. What a process counts only grows, so of two reports the larger
//! number counts, column by column; a node that restarts is another process, so that nothing is
//! counted twice.
//!
//! A killed process takes with it what it had not reported. Memory is bounded: windows expire, and
//! processes that have left the cluster and were silent for long are added to one sum. They are
//! remembered beside it, so that one that was only cut off is taken out of the sum again; after that
//! time its reports would count a second time.

mod cluster_counters;
pub mod heavy_hitters;
pub mod latency_histogram;
mod process_counters;

pub use cluster_counters::{ClusterCounters, ProcessWindow};
pub use process_counters::ProcessCounters;

use crate::ProcessId;
use heavy_hitters::HeavyHitters;
use latency_histogram::{LatencyHistogram, Sparse};
use std::collections::BTreeMap;

/// The length of a window, by each process's Unix clock, in milliseconds.
pub const WINDOW_MS: u64 = 10_000;
/// Windows of a process that are kept.
pub const WINDOWS: usize = 8;
/// The most rows of a process: operations, and the process itself.
pub const MAX_ROWS: usize = 32;
/// The most kinds of heavy keys.
pub const MAX_HEAVY_KINDS: usize = 4;
/// Bytes that a process takes in [`ClusterCounters`]: eight rows, their windows, four operations'
/// latencies and three kinds of heavy keys, measured and rounded up.
pub const PROCESS_BYTES: usize = 12 << 10;
/// Columns of a row.
pub const COLUMNS: usize = 8;

/// The numbers of an operation, or of the process itself.
pub type CounterRow = [u64; COLUMNS];
/// Rows by the hash of the operation's name; [`PROCESS_ROW`] is the process itself.
pub type CounterRows = BTreeMap<u32, CounterRow>;

/// The row of the process itself.
pub const PROCESS_ROW: u32 = 0;

/// Columns of an operation's row.
pub mod operation_column {
    /// Requests that arrived.
    pub const ARRIVED: usize = 0;
    /// Requests that succeeded.
    pub const SUCCEEDED: usize = 1;
    /// Requests that were rejected.
    pub const REJECTED: usize = 2;
    /// Requests that failed.
    pub const FAILED: usize = 3;
    /// Requests that succeeded after the latency objective.
    pub const LATE: usize = 4;
    /// Priority weight of the answers in time, in thousandths.
    pub const EARNED_WEIGHT: usize = 5;
    /// Priority weight of all requests, in thousandths.
    pub const OFFERED_WEIGHT: usize = 6;
    /// Repeats of an earlier request.
    pub const REPEATS: usize = 7;
}

/// Columns of the process's own row.
pub mod process_column {
    /// Backend calls that were made.
    pub const CALLS: usize = 0;
    /// Backend calls that failed.
    pub const CALLS_FAILED: usize = 1;
    /// Backend calls that retry a failed one.
    pub const CALLS_RETRIED: usize = 2;
    /// Backend calls for which a budget had no unit.
    pub const CALLS_OVER_BUDGET: usize = 3;
    /// Requests rejected by keyed quotas.
    pub const OVER_QUOTA: usize = 4;
    /// Requests rejected because their backend call would find no room.
    pub const NO_BACKEND_CAPACITY: usize = 5;
    /// Violations of invariants.
    pub const INVARIANT_VIOLATIONS: usize = 6;
    /// Starts of the process: 1.
    pub const STARTS: usize = 7;
}

/// Kinds of heavy keys.
pub mod heavy_kind {
    /// Clients by their requests.
    pub const CLIENTS: u8 = 0;
    /// Clients by their repeats.
    pub const REPEATERS: u8 = 1;
    /// Keys over a keyed quota.
    pub const OVER_QUOTA: u8 = 2;
}

/// What was counted in a time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CounterWindow {
    /// Counts.
    pub rows: CounterRows,
    /// Latencies by row.
    pub latency: BTreeMap<u32, Sparse>,
    /// Heavy keys by kind.
    pub heavy: BTreeMap<u8, HeavyHitters>,
    /// The most memory in KB, and the most file descriptors, that were seen.
    pub gauges: [u64; 2],
}

/// What one process reports of its counters, or a part of that.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CounterReport {
    /// The process.
    pub process: ProcessId,
    /// The version that it runs, as a number.
    pub version: u64,
    /// Counts since its start.
    pub total: CounterRows,
    /// Windows by their number: Unix milliseconds divided by [`WINDOW_MS`].
    pub windows: BTreeMap<u64, CounterWindow>,
}

/// Raises each number to the reported one, if that is larger.
fn raise_rows(into: &mut CounterRows, reported: &CounterRows) {
    for (row, numbers) in reported {
        if into.len() >= MAX_ROWS && !into.contains_key(row) {
            continue;
        }
        let known = into.entry(*row).or_default();
        raise(known, numbers);
    }
}

fn raise(known: &mut [u64], reported: &[u64]) {
    known
        .iter_mut()
        .zip(reported)
        .for_each(|(known, reported)| *known = (*known).max(*reported));
}

fn add_rows(into: &mut CounterRows, more: &CounterRows) {
    for (row, numbers) in more {
        let sum = into.entry(*row).or_default();
        sum.iter_mut()
            .zip(numbers)
            .for_each(|(sum, more)| *sum = sum.saturating_add(*more));
    }
}

fn subtract_rows(from: &mut CounterRows, less: &CounterRows) {
    for (row, numbers) in less {
        if let Some(sum) = from.get_mut(row) {
            sum.iter_mut()
                .zip(numbers)
                .for_each(|(sum, less)| *sum = sum.saturating_sub(*less));
        }
    }
}

/// The sum of all numbers, which only grows.
fn sum_rows(rows: &CounterRows) -> u64 {
    rows.values()
        .flatten()
        .fold(0, |sum, number| sum.saturating_add(*number))
}

fn latency_count(sparse: &Sparse) -> u64 {
    sparse.iter().map(|(_, count)| u64::from(*count)).sum()
}

impl CounterWindow {
    /// Takes up another report of the same window: the larger counts, part by part.
    fn raise(&mut self, reported: &CounterWindow) {
        raise_rows(&mut self.rows, &reported.rows);
        for (row, sparse) in reported.latency.iter().take(MAX_ROWS) {
            let known = self.latency.entry(*row).or_default();
            if latency_count(sparse) > latency_count(known) {
                known.clone_from(sparse);
            }
        }
        for (kind, heavy) in reported.heavy.iter().take(MAX_HEAVY_KINDS) {
            let known = self.heavy.entry(*kind).or_default();
            if heavy.total > known.total {
                known.clone_from(heavy);
            }
        }
        raise(&mut self.gauges, &reported.gauges);
    }

    /// Adds the counts of another process or window.
    pub fn add(&mut self, other: &CounterWindow) {
        add_rows(&mut self.rows, &other.rows);
        for (row, sparse) in &other.latency {
            let mut latency = LatencyHistogram::default();
            latency.merge(self.latency.get(row).map_or(&[], Vec::as_slice));
            latency.merge(sparse);
            self.latency.insert(*row, latency.sparse());
        }
        for (kind, heavy) in &other.heavy {
            self.heavy.entry(*kind).or_default().merge(heavy);
        }
        raise(&mut self.gauges, &other.gauges);
    }
}

#[cfg(test)]
mod tests;
