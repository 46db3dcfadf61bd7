//! ClusterCounters that a fleet adds up: each process counts for itself ([`ProcessCounters`]) and tells its sums, and
//! whoever hears them ([`ClusterCounters`]), in any order and any number of times, comes to the same. What a
//! process counts only grows, so of two words of it the larger holds, number by number; a process
//! that returns under its name is another one, so that nothing is counted twice.
//!
//! A killed process takes with it what it had not told. Memory is bounded: windows end, and
//! processes that are gone from the fleet and long silent are added to one sum. They are remembered
//! beside it, so that one who was only cut off for long is taken out of the sum again when it is
//! heard; after that time a word of theirs would count a second time.

use crate::heavy_hitters::HeavyHitters;
use crate::latency_histogram::{LatencyHistogram, Sparse};
use crate::{Nanos, ProcessId, SECOND};
use std::collections::BTreeMap;

/// How long a window is, by each process's Unix clock; how many of them a process keeps and others
/// keep of it; and of how many of these others keep latencies and heavy keys.
pub const WINDOW_MS: u64 = 10_000;
pub const WINDOWS: usize = 8;
const DETAILED: usize = 3;
/// CounterRows of a process: operations, and itself.
pub const ROWS_MAX: usize = 32;
/// Kinds of heavy keys.
pub const HEAVY_MAX: usize = 4;
/// A process that is gone and was silent for so long is added to the sum.
const GONE: Nanos = 600 * SECOND;
/// And is remembered beside it for so long: longer than a partition that anybody should leave
/// alone, and than the fleet believes a datagram.
const REMEMBERED: Nanos = 24 * 3600 * SECOND;
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
pub mod heavy_hitters {
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

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ProcessRecord {
    label: u64,
    total: CounterRows,
    windows: BTreeMap<u64, CounterWindow>,
    /// What it ran in each window, as it said when that window was its latest.
    labels: BTreeMap<u64, u64>,
    heard: Nanos,
}

/// What is known of all counts.
#[derive(Clone, Debug)]
pub struct ClusterCounters {
    processes: BTreeMap<ProcessId, ProcessRecord>,
    /// The sum of those who are gone, and who they were.
    gone: CounterRows,
    gone_who: BTreeMap<ProcessId, (Nanos, CounterRows)>,
    most: usize,
    /// Words that found no room.
    refused: u64,
}

impl ClusterCounters {
    /// Over so many processes at most.
    pub fn new(most: usize) -> ClusterCounters {
        let (processes, gone_who) = (BTreeMap::new(), BTreeMap::new());
        ClusterCounters {
            processes,
            gone: CounterRows::new(),
            gone_who,
            most: most.max(1),
            refused: 0,
        }
    }

    /// A word came, from the process itself or by way of another.
    pub fn hear(&mut self, now: Nanos, word: &CounterReport) {
        if let Some((_, counted)) = self.gone_who.get(&word.who) {
            let mut risen = counted.clone();
            rise(&mut risen, &word.total);
            if risen == *counted {
                return; // all of it is in the sum
            }
            // It was only cut off: out of the sum with it.
            if let Some((_, counted)) = self.gone_who.remove(&word.who) {
                subtract(&mut self.gone, &counted);
                self.processes.insert(
                    word.who,
                    ProcessRecord {
                        total: counted,
                        ..ProcessRecord::default()
                    },
                );
            }
        }
        let is_new = !self.processes.contains_key(&word.who);
        if is_new && self.processes.len() >= self.most {
            self.refused += 1;
            return;
        }
        let process = self.processes.entry(word.who).or_default();
        let before = (
            sum(&process.total),
            process.windows.last_key_value().map(|(no, _)| *no),
        );
        process.label = word.label;
        if let Some((latest, _)) = word.windows.last_key_value() {
            process.labels.insert(*latest, word.label);
            while process.labels.len() > WINDOWS {
                process.labels.pop_first();
            }
        }
        rise(&mut process.total, &word.total);
        for (no, said) in &word.windows {
            let oldest = process.windows.first_key_value().map(|(first, _)| *first);
            let full = process.windows.len() >= WINDOWS && !process.windows.contains_key(no);
            if full && oldest.is_some_and(|first| *no < first) {
                continue;
            }
            process.windows.entry(*no).or_default().rise(said);
            while process.windows.len() > WINDOWS {
                process.windows.pop_first();
            }
        }
        let older = process.windows.iter_mut().rev().skip(DETAILED);
        older.for_each(|(_, window)| (window.latency, window.heavy) = Default::default());
        let after = (
            sum(&process.total),
            process.windows.last_key_value().map(|(no, _)| *no),
        );
        if is_new || before != after {
            process.heard = now;
        }
    }

    /// All that is known of a process, to be told to one who lacks it.
    pub fn word(&self, who: ProcessId) -> Option<CounterReport> {
        let process = self.processes.get(&who)?;
        let ProcessRecord {
            label,
            total,
            windows,
            ..
        } = process.clone();
        Some(CounterReport {
            who,
            label,
            total,
            windows,
        })
    }

    /// How far each process is known: the sum of all its numbers, which only grow.
    pub fn marks(&self) -> impl Iterator<Item = (ProcessId, u64)> {
        self.processes
            .iter()
            .map(|(who, process)| (*who, sum(&process.total)))
    }

    /// Adds those to the sum who are gone, by the fleet's view, and long silent; forgets who they
    /// were after their time.
    pub fn tidy(&mut self, now: Nanos, is_there: impl Fn(ProcessId) -> bool) {
        let silent: Vec<ProcessId> = self
            .processes
            .iter()
            .filter(|(who, process)| now >= process.heard + GONE && !is_there(**who))
            .map(|(who, _)| *who)
            .collect();
        for who in silent {
            if let Some(process) = self.processes.remove(&who) {
                add(&mut self.gone, &process.total);
                self.gone_who.insert(who, (now, process.total));
            }
        }
        self.gone_who
            .retain(|_, (since, _)| now < *since + REMEMBERED);
        // Whoever is remembered longest goes first.
        while self.gone_who.len() > 4 * self.most {
            let oldest = self
                .gone_who
                .iter()
                .min_by_key(|(_, (since, _))| *since)
                .map(|(who, _)| *who);
            oldest.map(|who| self.gone_who.remove(&who));
        }
    }

    /// All rows over the whole fleet, since all were started.
    pub fn total(&self) -> CounterRows {
        let mut total = self.gone.clone();
        self.processes
            .values()
            .for_each(|process| add(&mut total, &process.total));
        total
    }

    /// What came in the last windows that are whole, by this clock, at the processes of a kind.
    pub fn lately(
        &self,
        unix_ms: u64,
        windows: u64,
        is: impl Fn(ProcessId, u64) -> bool,
    ) -> CounterWindow {
        let this = unix_ms / WINDOW_MS;
        let mut sum = CounterWindow::default();
        for (_, process) in self
            .processes
            .iter()
            .filter(|(who, process)| is(**who, process.label))
        {
            for (_, window) in process.windows.range(this.saturating_sub(windows)..this) {
                sum.add(window);
            }
        }
        sum
    }

    /// Windows from this one on, each with its number and what the process ran in it, and whether
    /// it is the process's first one.
    pub fn windows(
        &self,
        from: u64,
    ) -> impl Iterator<Item = (ProcessId, u64, u64, bool, &CounterWindow)> {
        self.processes.iter().flat_map(move |(who, process)| {
            let first = process.windows.first_key_value().map(|(no, _)| *no);
            let whole = process.windows.len() < WINDOWS;
            process.windows.range(from..).map(move |(no, window)| {
                let label = process.labels.get(no).copied().unwrap_or(process.label);
                (*who, *no, label, whole && first == Some(*no), window)
            })
        })
    }

    /// Processes that are told apart, each with what it runs.
    pub fn processes(&self) -> impl Iterator<Item = (ProcessId, u64)> {
        self.processes
            .iter()
            .map(|(who, process)| (*who, process.label))
    }

    /// Those that are remembered beside the sum.
    pub fn gone(&self) -> usize {
        self.gone_who.len()
    }

    /// Words of processes for which there was no room.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

#[cfg(test)]
mod tests;
