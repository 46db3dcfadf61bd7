//! The counters of all processes of a cluster, which each voter keeps.

use super::{
    CounterReport, CounterRows, CounterWindow, WINDOW_MS, WINDOWS, add_rows, raise_rows,
    subtract_rows, sum_rows,
};
use crate::{Nanos, ProcessId, SECOND};
use std::collections::BTreeMap;

/// Number of latest windows of a process whose latencies and heavy keys are kept; older windows
/// keep only their counts.
pub(super) const DETAILED_WINDOWS: usize = 3;
/// Time in nanoseconds after which a process that has left the cluster and has reported nothing new
/// is added to the sum of retired processes.
pub(super) const RETIRE_AFTER: Nanos = 600 * SECOND;
/// Time in nanoseconds for which the counts of a retired process are remembered. It is longer than
/// a partition should last and longer than a datagram is accepted.
const REMEMBER_RETIRED: Nanos = 24 * 3600 * SECOND;
/// Maximum number of remembered retired processes, as a multiple of the maximum number of processes
/// that are kept separately.
const RETIRED_PER_PROCESS: usize = 4;

/// The merged reports of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ProcessRecord {
    version: u64,
    total: CounterRows,
    windows: BTreeMap<u64, CounterWindow>,
    /// The version that the process ran in each window, from the reports in which that window was
    /// the latest.
    versions: BTreeMap<u64, u64>,
    /// Time of the last report that changed the counts or added a window.
    updated_at: Nanos,
}

impl ProcessRecord {
    /// Returns the sum of all counts and the number of the latest window. A report that brings new
    /// data changes at least one of them.
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

/// A window of one process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessWindow<'a> {
    /// Process whose events are counted.
    pub process: ProcessId,
    /// Number of the window: the Unix time in milliseconds divided by [`WINDOW_MS`].
    pub number: u64,
    /// Number of the version that the process ran in this window.
    pub version: u64,
    /// True for the first window since the process started, which usually lacks the full length.
    pub is_first: bool,
    /// Counts, latencies and heavy keys of the window, as far as they were reported.
    pub window: &'a CounterWindow,
}

/// The counters of all processes of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterCounters {
    processes: BTreeMap<ProcessId, ProcessRecord>,
    /// The sum of the counts of all retired processes.
    retired_total: CounterRows,
    /// The remembered retired processes, each with the time at which it was retired and its share
    /// of `retired_total`.
    retired: BTreeMap<ProcessId, (Nanos, CounterRows)>,
    max_processes: usize,
    /// Number of reports dropped because `max_processes` was reached.
    refused: u64,
}

impl ClusterCounters {
    /// Creates empty counters that keep at most `max_processes` processes separately, at least 1.
    pub fn new(max_processes: usize) -> ClusterCounters {
        ClusterCounters {
            processes: BTreeMap::new(),
            retired_total: CounterRows::new(),
            retired: BTreeMap::new(),
            max_processes: max_processes.max(1),
            refused: 0,
        }
    }

    /// Merges a report, which may come from the process itself or from another receiver. `now` is
    /// in nanoseconds.
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

    /// Returns whether the process is retired and the sum of retired processes includes all counts
    /// of the report. A retired process that reports larger counts was only cut off and is taken
    /// out of the sum again.
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

    /// Returns the merged report of a process, for a voter that lacks it; `None` if the process is
    /// unknown or retired.
    pub fn report(&self, process: ProcessId) -> Option<CounterReport> {
        let record = self.processes.get(&process)?;
        Some(CounterReport {
            process,
            version: record.version,
            total: record.total.clone(),
            windows: record.windows.clone(),
        })
    }

    /// Returns for each process the sum of all its counts. The sum never decreases, so a voter with
    /// a smaller sum lacks reports.
    pub fn progress(&self) -> impl Iterator<Item = (ProcessId, u64)> {
        self.processes
            .iter()
            .map(|(process, record)| (*process, sum_rows(&record.total)))
    }

    /// Retires processes that are not members of the cluster and have reported nothing new for
    /// 600 s: adds their counts to the sum. Forgets retired processes after 24 h, or earlier if
    /// too many are remembered.
    pub fn retire(&mut self, now: Nanos, is_member: impl Fn(ProcessId) -> bool) {
        let to_retire: Vec<ProcessId> = self
            .processes
            .iter()
            .filter(|(process, record)| {
                now >= record.updated_at + RETIRE_AFTER && !is_member(**process)
            })
            .map(|(process, _)| *process)
            .collect();
        for process in to_retire {
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

    /// Returns the totals of all rows over all processes, including retired ones.
    pub fn total(&self) -> CounterRows {
        let mut total = self.retired_total.clone();
        self.processes
            .values()
            .for_each(|record| add_rows(&mut total, &record.total));
        total
    }

    /// Returns the sum of the last `windows` complete windows before `unix_ms`, over the processes
    /// for whose id and version `includes` returns true.
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

    /// Returns all kept windows with at least this number, by process.
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

    /// Returns the processes that are kept separately, each with its version.
    pub fn processes(&self) -> impl Iterator<Item = (ProcessId, u64)> {
        self.processes
            .iter()
            .map(|(process, record)| (*process, record.version))
    }

    /// Returns the number of retired processes that are remembered.
    pub fn retired(&self) -> usize {
        self.retired.len()
    }

    /// Returns the number of reports dropped because too many processes were kept.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
