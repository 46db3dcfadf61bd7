//! The counters of all processes of a cluster, as a voter keeps them.

use super::{
    CounterReport, CounterRows, CounterWindow, WINDOW_MS, WINDOWS, add_rows, raise_rows,
    subtract_rows, sum_rows,
};
use crate::{Nanos, ProcessId, SECOND};
use std::collections::BTreeMap;

/// Of a process's windows, the latest ones whose latencies and heavy keys are kept.
pub(super) const DETAILED_WINDOWS: usize = 3;
/// A process that has left and was silent for this long is added to the sum, in nanoseconds.
pub(super) const RETIRE_AFTER: Nanos = 600 * SECOND;
/// It is remembered beside the sum for this long, in nanoseconds: longer than a partition should
/// last, and than a datagram is accepted.
const REMEMBER_RETIRED: Nanos = 24 * 3600 * SECOND;
/// Retired processes are remembered up to this many times the processes that are kept apart.
const RETIRED_PER_PROCESS: usize = 4;

/// What is known of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ProcessRecord {
    version: u64,
    total: CounterRows,
    windows: BTreeMap<u64, CounterWindow>,
    /// The version that it ran in each window, as reported when that window was its latest.
    versions: BTreeMap<u64, u64>,
    /// When a report last brought something new.
    updated_at: Nanos,
}

impl ProcessRecord {
    /// How far it is known: changes with each report that brings something new.
    fn extent(&self) -> (u64, Option<u64>) {
        let latest = self.windows.last_key_value().map(|(number, _)| *number);
        (sum_rows(&self.total), latest)
    }

    fn merge(&mut self, report: &CounterReport) {
        self.version = report.version;
        if let Some((latest, _)) = report.windows.last_key_value() {
            self.versions.insert(*latest, report.version);
            while self.versions.len() > WINDOWS {
                self.versions.pop_first();
            }
        }
        raise_rows(&mut self.total, &report.total);
        for (number, reported) in &report.windows {
            let oldest = self.windows.first_key_value().map(|(first, _)| *first);
            let is_full = self.windows.len() >= WINDOWS && !self.windows.contains_key(number);
            if is_full && oldest.is_some_and(|first| *number < first) {
                continue;
            }
            self.windows.entry(*number).or_default().raise(reported);
            while self.windows.len() > WINDOWS {
                self.windows.pop_first();
            }
        }
        let older = self.windows.iter_mut().rev().skip(DETAILED_WINDOWS);
        older.for_each(|(_, window)| (window.latency, window.heavy) = Default::default());
    }
}

/// A window of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessWindow<'a> {
    /// The process.
    pub process: ProcessId,
    /// The window's number: Unix milliseconds divided by [`WINDOW_MS`].
    pub number: u64,
    /// The version that the process ran in it.
    pub version: u64,
    /// Whether it is the process's first window.
    pub is_first: bool,
    /// What was counted.
    pub window: &'a CounterWindow,
}

/// The counters of all processes.
#[derive(Clone, Debug)]
pub struct ClusterCounters {
    processes: BTreeMap<ProcessId, ProcessRecord>,
    /// The sum of the processes that have left, and when each was added with which counts.
    retired_total: CounterRows,
    retired: BTreeMap<ProcessId, (Nanos, CounterRows)>,
    max_processes: usize,
    /// Reports for which there was no room.
    refused: u64,
}

impl ClusterCounters {
    /// Counters of at most this many processes that are kept apart.
    pub fn new(max_processes: usize) -> ClusterCounters {
        ClusterCounters {
            processes: BTreeMap::new(),
            retired_total: CounterRows::new(),
            retired: BTreeMap::new(),
            max_processes: max_processes.max(1),
            refused: 0,
        }
    }

    /// Takes up a report, from the process itself or by way of another.
    pub fn merge(&mut self, now: Nanos, report: &CounterReport) {
        if self.is_retired_with(report) {
            return;
        }
        let is_new = !self.processes.contains_key(&report.process);
        if is_new && self.processes.len() >= self.max_processes {
            self.refused += 1;
            return;
        }
        let process = self.processes.entry(report.process).or_default();
        let before = process.extent();
        process.merge(report);
        if is_new || before != process.extent() {
            process.updated_at = now;
        }
    }

    /// Whether the sum of retired processes holds all of a report. A retired process that reports
    /// more was only cut off: it is taken out of the sum again.
    fn is_retired_with(&mut self, report: &CounterReport) -> bool {
        let Some((_, counted)) = self.retired.get(&report.process) else {
            return false;
        };
        let mut raised = counted.clone();
        raise_rows(&mut raised, &report.total);
        if raised == *counted {
            return true;
        }
        if let Some((_, counted)) = self.retired.remove(&report.process) {
            subtract_rows(&mut self.retired_total, &counted);
            self.processes.insert(
                report.process,
                ProcessRecord {
                    total: counted,
                    ..ProcessRecord::default()
                },
            );
        }
        false
    }

    /// All that is known of a process, to be sent to a voter that lacks it.
    pub fn report(&self, process: ProcessId) -> Option<CounterReport> {
        let record = self.processes.get(&process)?;
        Some(CounterReport {
            process,
            version: record.version,
            total: record.total.clone(),
            windows: record.windows.clone(),
        })
    }

    /// How far each process is known: the sum of all its numbers, which only grow.
    pub fn progress(&self) -> impl Iterator<Item = (ProcessId, u64)> {
        self.processes
            .iter()
            .map(|(process, record)| (*process, sum_rows(&record.total)))
    }

    /// Adds processes to the sum that have left the cluster and were silent for long, and forgets
    /// retired ones after their time.
    pub fn retire(&mut self, now: Nanos, is_member: impl Fn(ProcessId) -> bool) {
        let silent: Vec<ProcessId> = self
            .processes
            .iter()
            .filter(|(process, record)| {
                now >= record.updated_at + RETIRE_AFTER && !is_member(**process)
            })
            .map(|(process, _)| *process)
            .collect();
        for process in silent {
            if let Some(record) = self.processes.remove(&process) {
                add_rows(&mut self.retired_total, &record.total);
                self.retired.insert(process, (now, record.total));
            }
        }
        self.retired
            .retain(|_, (since, _)| now < *since + REMEMBER_RETIRED);
        while self.retired.len() > RETIRED_PER_PROCESS * self.max_processes {
            let oldest = self
                .retired
                .iter()
                .min_by_key(|(_, (since, _))| *since)
                .map(|(process, _)| *process);
            oldest.map(|process| self.retired.remove(&process));
        }
    }

    /// All rows over the whole cluster, since each process started.
    pub fn total(&self) -> CounterRows {
        let mut total = self.retired_total.clone();
        self.processes
            .values()
            .for_each(|record| add_rows(&mut total, &record.total));
        total
    }

    /// The sum of the last complete windows, at the processes that `includes` picks by id and
    /// version.
    pub fn recent(
        &self,
        unix_ms: u64,
        windows: u64,
        includes: impl Fn(ProcessId, u64) -> bool,
    ) -> CounterWindow {
        let current = unix_ms / WINDOW_MS;
        let mut sum = CounterWindow::default();
        for (_, record) in self
            .processes
            .iter()
            .filter(|(process, record)| includes(**process, record.version))
        {
            for (_, window) in record
                .windows
                .range(current.saturating_sub(windows)..current)
            {
                sum.add(window);
            }
        }
        sum
    }

    /// All windows from this number on.
    pub fn windows(&self, from: u64) -> impl Iterator<Item = ProcessWindow<'_>> {
        self.processes.iter().flat_map(move |(process, record)| {
            let first = record.windows.first_key_value().map(|(number, _)| *number);
            let is_complete = record.windows.len() < WINDOWS;
            record
                .windows
                .range(from..)
                .map(move |(number, window)| ProcessWindow {
                    process: *process,
                    number: *number,
                    version: record
                        .versions
                        .get(number)
                        .copied()
                        .unwrap_or(record.version),
                    is_first: is_complete && first == Some(*number),
                    window,
                })
        })
    }

    /// Processes that are kept apart, each with its version.
    pub fn processes(&self) -> impl Iterator<Item = (ProcessId, u64)> {
        self.processes
            .iter()
            .map(|(process, record)| (*process, record.version))
    }

    /// How many retired processes are remembered beside the sum.
    pub fn retired(&self) -> usize {
        self.retired.len()
    }

    /// Reports of processes for which there was no room.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
