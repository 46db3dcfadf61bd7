//! Counters that are summed over a cluster. Each process counts its own events
//! ([`ProcessCounters`]) and reports its sums. Every receiver ([`ClusterCounters`]) computes the
//! same totals from the same reports, in whatever order and however often they arrive. The counts
//! of a process never decrease, so the larger number of two reports is the newer one, column by
//! column. A node that restarts is a new process, so no event is counted twice.
//!
//! Counts that a process had not reported when it was killed are lost. Memory is bounded: windows
//! expire, and processes that have left the cluster and have not reported for a long time are added
//! to one sum. Each of these retired processes is remembered for a time in addition to the sum, so
//! that one that was only cut off is taken out of the sum again when it reports. Reports that
//! arrive after that time are counted a second time.

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

/// Length of a window by the Unix clock of the process, in milliseconds.
pub const WINDOW_MS: u64 = 10_000;
/// Maximum number of windows that are kept per process.
pub const WINDOWS: usize = 8;
/// Maximum number of rows of a process: one per operation and one for the process itself.
pub const MAX_ROWS: usize = 32;
/// Maximum number of kinds of heavy keys ([`heavy_kind`]).
pub const MAX_HEAVY_KINDS: usize = 4;
/// Memory that a process takes in [`ClusterCounters`], in bytes and rounded up: eight rows, their
/// windows, the latencies of four operations and three kinds of heavy keys.
pub const PROCESS_BYTES: usize = 12 << 10;
/// Number of columns of a row.
pub const COLUMNS: usize = 8;

/// The counts of an operation ([`operation_column`]) or of the process itself
/// ([`process_column`]).
pub type CounterRow = [u64; COLUMNS];
/// Rows by the hash of the operation's name; [`PROCESS_ROW`] holds the counts of the process
/// itself.
pub type CounterRows = BTreeMap<u32, CounterRow>;

/// Key of the row that holds the counts of the process itself.
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
    /// Sum of the priority weights of answers within the latency objective, in thousandths.
    pub const EARNED_WEIGHT: usize = 5;
    /// Sum of the priority weights of all requests that arrived, in thousandths.
    pub const OFFERED_WEIGHT: usize = 6;
    /// Requests that repeat an earlier request.
    pub const REPEATS: usize = 7;
}

/// Columns of the row of the process itself.
pub mod process_column {
    /// Backend calls that were made.
    pub const CALLS: usize = 0;
    /// Backend calls that failed.
    pub const CALLS_FAILED: usize = 1;
    /// Backend calls that retry a failed one.
    pub const CALLS_RETRIED: usize = 2;
    /// Backend calls that a budget refused because it had no unit left.
    pub const CALLS_OVER_BUDGET: usize = 3;
    /// Requests rejected by keyed quotas.
    pub const OVER_QUOTA: usize = 4;
    /// Requests rejected by the backend gate for lack of backend capacity.
    pub const NO_BACKEND_CAPACITY: usize = 5;
    /// Violations of invariants.
    pub const INVARIANT_VIOLATIONS: usize = 6;
    /// Starts of the process, always 1; the sum over the cluster is the number of starts.
    pub const STARTS: usize = 7;
}

/// Kinds of heavy keys, with what each kind counts.
pub mod heavy_kind {
    /// Clients by number of requests.
    pub const CLIENTS: u8 = 0;
    /// Clients by number of repeated requests.
    pub const REPEATERS: u8 = 1;
    /// Keys by number of requests that exceeded their keyed quota.
    pub const OVER_QUOTA: u8 = 2;
}

/// The counts of one window, or the sum of several windows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CounterWindow {
    /// Counts of the events in the window, by row as in [`CounterRows`].
    pub rows: CounterRows,
    /// Latency histograms by row.
    pub latency: BTreeMap<u32, Sparse>,
    /// Heavy keys by kind ([`heavy_kind`]).
    pub heavy: BTreeMap<u8, HeavyHitters>,
    /// Maximum memory in KB and maximum number of open file descriptors.
    pub gauges: [u64; 2],
}

/// A report of the counters of one process, or a part of such a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CounterReport {
    /// Process whose events are counted.
    pub process: ProcessId,
    /// Number of the version that the process runs.
    pub version: u64,
    /// Counts since the start of the process, by row.
    pub total: CounterRows,
    /// Windows by number, which is the Unix time in milliseconds divided by [`WINDOW_MS`].
    pub windows: BTreeMap<u64, CounterWindow>,
}

/// Raises each count to the reported one if that is larger. Rows beyond [`MAX_ROWS`] are ignored.
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

/// Returns the sum of all counts of the rows, which never decreases between reports of a process.
fn sum_rows(rows: &CounterRows) -> u64 {
    rows.values()
        .flatten()
        .fold(0, |sum, number| sum.saturating_add(*number))
}

fn latency_count(sparse: &Sparse) -> u64 {
    sparse.iter().map(|(_, count)| u64::from(*count)).sum()
}

impl CounterWindow {
    /// Merges another report of the same window: keeps the larger of each two counts, and of each
    /// two histograms or summaries the one with more occurrences.
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

    /// Adds the counts of another process or window; of the gauges, the larger ones are kept.
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
