//! The exchange of counters. Each process reports its counters to all voters. Voters compare which
//! reports they have, and send each other the missing ones. Every node requests the totals from a
//! voter.

use super::{Host, SharedState};
use crate::counters::{ClusterCounters, CounterReport, WINDOW_MS};
use crate::messages::{
    ClusterTotals, KnownCounters, MAX_KNOWN_PROCESSES, SharedMessage, split_report,
};
use crate::{MILLISECOND, Nanos, ProcessId};
use rand::RngExt;
use std::collections::BTreeMap;

/// Number of counter windows in a minute.
const WINDOWS_PER_MINUTE: u64 = 60_000 / WINDOW_MS;
/// Maximum number of processes whose counters are sent in answer to one comparison.
const MAX_MISSING_SENT: usize = 8;

impl<H: Host> SharedState<H> {
    /// Reports this node's counters to all voters.
    pub fn report_counters(&mut self, now: Nanos, report: &CounterReport) {
        self.detect_suspension(now);
        let voters = self.settings.voters.clone();
        for part in split_report(report) {
            for key in voters.iter().filter(|key| **key != self.settings.me.key) {
                let message = SharedMessage::CounterReport(Box::new(part.clone()));
                self.host.send(*key, message);
            }
        }
        self.merge_counters(now, report);
    }

    pub(super) fn merge_counters(&mut self, now: Nanos, report: &CounterReport) {
        if let Some(counters) = &mut self.cluster_counters {
            counters.merge(now, report);
        }
    }

    /// Sends another voter the progress of the counters of some processes as this voter knows it.
    /// The answer contains the reports that this voter lacks; the other voter obtains those that it
    /// lacks through its own comparison.
    pub(super) fn compare_counters(&mut self) {
        let others: Vec<u64> = self
            .settings
            .voters
            .iter()
            .copied()
            .filter(|key| *key != self.settings.me.key)
            .collect();
        let (Some(counters), false) = (&self.cluster_counters, others.is_empty()) else {
            return;
        };
        let to = others[self.rng.random_range(0..others.len())];
        let first_key = self.next_comparison_key;
        let mut progress: Vec<(ProcessId, u64)> = counters
            .progress()
            .filter(|(process, _)| process.key >= first_key)
            .take(MAX_KNOWN_PROCESSES + 1)
            .collect();
        // The last page covers all remaining keys; any other page ends before the first key for
        // which it has no room.
        let next = progress
            .get(MAX_KNOWN_PROCESSES)
            .map(|(process, _)| process.key);
        let (last_key, next_key) = match next {
            Some(next) if next > first_key => (next - 1, next),
            _ => (u64::MAX, 0),
        };
        progress.truncate(MAX_KNOWN_PROCESSES);
        progress.retain(|(process, _)| process.key <= last_key);
        self.next_comparison_key = next_key;
        let message = SharedMessage::KnownCounters(KnownCounters {
            first_key,
            last_key,
            progress,
        });
        self.host.send(to, message);
    }

    /// Sends another voter the counters that it lacks, judged by the progress that it reported.
    pub(super) fn send_missing_counters(&mut self, from: ProcessId, known: &KnownCounters) {
        let Some(counters) = &self.cluster_counters else {
            return;
        };
        let theirs: BTreeMap<ProcessId, u64> = known.progress.iter().copied().collect();
        let in_page = counters
            .progress()
            .filter(|(process, _)| (known.first_key..=known.last_key).contains(&process.key));
        let missing = in_page.filter(|(process, progress)| {
            theirs
                .get(process)
                .is_none_or(|their_progress| their_progress < progress)
        });
        let reports: Vec<CounterReport> = missing
            .take(MAX_MISSING_SENT)
            .filter_map(|(process, _)| counters.report(process))
            .collect();
        for part in reports.iter().flat_map(split_report) {
            let message = SharedMessage::CounterReport(Box::new(part));
            self.host.send(from.key, message);
        }
    }

    /// Computes the totals on a voter, or requests them from a random voter.
    pub(super) fn request_totals(&mut self, now: Nanos) {
        let voters = &self.settings.voters;
        if self.cluster_counters.is_some() {
            self.totals = self.compute_totals(now).map(|totals| (totals, now));
        } else if !voters.is_empty() {
            let to = voters[self.rng.random_range(0..voters.len())];
            self.host.send(to, SharedMessage::TotalsRequest);
        }
    }

    /// Returns the counters of the whole cluster on a voter that keeps them. `now` must be the time
    /// since the Unix epoch here.
    pub(super) fn compute_totals(&self, now: Nanos) -> Option<ClusterTotals> {
        let counters = self.cluster_counters.as_ref()?;
        let minute_end_unix_ms = now / MILLISECOND / WINDOW_MS * WINDOW_MS;
        Some(ClusterTotals {
            processes: counters.processes().count() as u32,
            retired: counters.retired() as u32,
            total: counters.total(),
            last_minute: counters.recent(minute_end_unix_ms, WINDOWS_PER_MINUTE, |_, _| true),
            minute_end_unix_ms,
        })
    }

    /// Returns the latest counters of the whole cluster, with their age in nanoseconds.
    pub fn totals(&self, now: Nanos) -> Option<(&ClusterTotals, Nanos)> {
        self.totals
            .as_ref()
            .map(|(totals, received_at)| (totals, now.saturating_sub(*received_at)))
    }

    /// Returns the counters of all processes on a voter that keeps them.
    pub fn cluster_counters(&self) -> Option<&ClusterCounters> {
        self.cluster_counters.as_ref()
    }

    /// Merges the counters of processes that have left the cluster, by the member table, into one
    /// sum after a delay.
    pub fn retire_processes(&mut self, now: Nanos, is_member: impl Fn(ProcessId) -> bool) {
        if let Some(counters) = &mut self.cluster_counters {
            counters.retire(now, is_member);
        }
    }
}
