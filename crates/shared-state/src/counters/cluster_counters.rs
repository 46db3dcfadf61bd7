//! The counts of all processes.

use super::{
    CounterReport, CounterRows, CounterWindow, WINDOW_MS, WINDOWS, add, rise, subtract, sum,
};
use crate::{Nanos, ProcessId, SECOND};
use std::collections::BTreeMap;

pub(super) const DETAILED: usize = 3;
/// A process that is gone and was silent for so long is added to the sum.
pub(super) const GONE: Nanos = 600 * SECOND;
/// And is remembered beside it for so long: longer than a partition that anybody should leave
/// alone, and than the fleet believes a datagram.
const REMEMBERED: Nanos = 24 * 3600 * SECOND;

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
