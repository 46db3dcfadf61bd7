//! ClusterCounters that a fleet adds up: each process counts for itself ([`ProcessCounters`]) and tells its sums, and
//! whoever hears them ([`ClusterCounters`]), in any order and any number of times, comes to the same. What a
//! process counts only grows, so of two words of it the larger holds, number by number; a process
//! that returns under its name is another one, so that nothing is counted twice.
//!
//! A killed process takes with it what it had not told. Memory is bounded: windows end, and
//! processes that are gone from the fleet and long silent are added to one sum. They are remembered
//! beside it, so that one who was only cut off for long is taken out of the sum again when it is
//! heard; after that time a word of theirs would count a second time.

mod cluster_counters;
pub mod heavy_hitters;
pub mod latency_histogram;
mod process_counters;

pub use cluster_counters::ClusterCounters;
pub use process_counters::ProcessCounters;

use crate::ProcessId;
use heavy_hitters::HeavyHitters;
use latency_histogram::{LatencyHistogram, Sparse};
use std::collections::BTreeMap;

/// How long a window is, by each process's Unix clock; how many of them a process keeps and others
/// keep of it; and of how many of these others keep latencies and heavy keys.
pub const WINDOW_MS: u64 = 10_000;
pub const WINDOWS: usize = 8;
/// CounterRows of a process: operations, and itself.
pub const ROWS_MAX: usize = 32;
/// Kinds of heavy keys.
pub const HEAVY_MAX: usize = 4;
/// What a process takes here: eight rows, their windows, four operations' latencies and three kinds
/// of heavy keys, measured and rounded up.
pub const PROCESS_BYTES: usize = 12 << 10;

/// Numbers of an operation.
pub const COLUMNS: usize = 8;
pub type CounterRow = [u64; COLUMNS];
/// What stands in which column of an operation's row.
pub mod column {
    pub const ARRIVED: usize = 0;
    pub const SUCCEEDED: usize = 1;
    pub const THROTTLED: usize = 2;
    pub const ERRORED: usize = 3;
    /// Succeeded after the latency objective.
    pub const LATE: usize = 4;
    /// Billed value that was earned and that was asked for, in thousandths.
    pub const EARNED: usize = 5;
    pub const ASKED: usize = 6;
    /// Repeats of an earlier one.
    pub const REPEATS: usize = 7;
}
/// The row of the process itself, and what stands in its columns.
pub const OWN: u32 = 0;
pub mod own {
    /// Calls below that were made, that failed, that repeat one which failed, and that found no
    /// room.
    pub const CALLS: usize = 0;
    pub const CALLS_FAILED: usize = 1;
    pub const CALLS_REPEATED: usize = 2;
    pub const CALLS_REFUSED: usize = 3;
    /// Throttled by limits of the whole fleet, and for the room below.
    pub const OVER_LIMIT: usize = 4;
    pub const NO_ROOM: usize = 5;
    /// What must hold and did not.
    pub const INVARIANTS: usize = 6;
    /// Starts of the process: one.
    pub const STARTS: usize = 7;
}
/// Kinds of heavy keys: who sends most, who repeats most, and which keys are over a limit of the
/// fleet.
pub mod heavy_kind {
    pub const CALLERS: u8 = 0;
    pub const REPEATERS: u8 = 1;
    pub const OVER_LIMIT: u8 = 2;
}

/// CounterRows by number.
pub type CounterRows = BTreeMap<u32, CounterRow>;

/// What came in a time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CounterWindow {
    pub rows: CounterRows,
    /// Latencies by row.
    pub latency: BTreeMap<u32, Sparse>,
    pub heavy: BTreeMap<u8, HeavyHitters>,
    /// The most of memory in KB, and of descriptors, that was seen in it.
    pub gauges: [u64; 2],
}

/// What one process says of its counts: all since its start, and some windows. One word may say a
/// part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CounterReport {
    pub who: ProcessId,
    /// What it runs, told by a number.
    pub label: u64,
    pub total: CounterRows,
    /// By the window's number: Unix milliseconds divided by its length.
    pub windows: BTreeMap<u64, CounterWindow>,
}

fn rise(into: &mut CounterRows, said: &CounterRows) {
    for (row, numbers) in said {
        if into.len() >= ROWS_MAX && !into.contains_key(row) {
            continue;
        }
        let held = into.entry(*row).or_default();
        held.iter_mut()
            .zip(numbers)
            .for_each(|(held, said)| *held = (*held).max(*said));
    }
}

fn add(into: &mut CounterRows, more: &CounterRows) {
    for (row, numbers) in more {
        let sum = into.entry(*row).or_default();
        sum.iter_mut()
            .zip(numbers)
            .for_each(|(sum, more)| *sum = sum.saturating_add(*more));
    }
}

fn subtract(from: &mut CounterRows, less: &CounterRows) {
    for (row, numbers) in less {
        if let Some(sum) = from.get_mut(row) {
            sum.iter_mut()
                .zip(numbers)
                .for_each(|(sum, less)| *sum = sum.saturating_sub(*less));
        }
    }
}

fn sum(rows: &CounterRows) -> u64 {
    rows.values()
        .flatten()
        .fold(0, |sum, number| sum.saturating_add(*number))
}

fn how_many(sparse: &Sparse) -> u64 {
    sparse.iter().map(|(_, count)| u64::from(*count)).sum()
}

impl CounterWindow {
    /// Of two words of the same window the larger holds, part by part.
    fn rise(&mut self, said: &CounterWindow) {
        rise(&mut self.rows, &said.rows);
        for (row, sparse) in said.latency.iter().take(ROWS_MAX) {
            let held = self.latency.entry(*row).or_default();
            if how_many(sparse) > how_many(held) {
                held.clone_from(sparse);
            }
        }
        for (kind, heavy) in said.heavy.iter().take(HEAVY_MAX) {
            let held = self.heavy.entry(*kind).or_default();
            if heavy.total > held.total {
                held.clone_from(heavy);
            }
        }
        self.gauges
            .iter_mut()
            .zip(&said.gauges)
            .for_each(|(held, said)| *held = (*held).max(*said));
    }

    /// Adds another one's.
    pub fn add(&mut self, other: &CounterWindow) {
        add(&mut self.rows, &other.rows);
        for (row, sparse) in &other.latency {
            let mut latency = LatencyHistogram::default();
            latency.merge(self.latency.get(row).map_or(&[], Vec::as_slice));
            latency.merge(sparse);
            self.latency.insert(*row, latency.sparse());
        }
        for (kind, heavy) in &other.heavy {
            self.heavy.entry(*kind).or_default().merge(heavy);
        }
        self.gauges
            .iter_mut()
            .zip(&other.gauges)
            .for_each(|(held, said)| *held = (*held).max(*said));
    }
}

#[cfg(test)]
mod tests;
