//! Counters.

use super::{Host, SharedState};
use crate::counters::{ClusterCounters, CounterReport, WINDOW_MS};
use crate::messages::{ClusterTotals, HAVE_MAX, KnownCounters, ReceivedMessage, split};
use crate::{MILLISECOND, Nanos, ProcessId};
use rand::RngExt;
use std::collections::BTreeMap;

/// Windows of the sums' last minute.
const MINUTE: u64 = 6;
/// Processes whose counts are told for one page.
const LACKED: usize = 8;

impl<H: Host> SharedState<H> {
    /// The node counted so far: all arbiters hear it.
    pub fn tell_counts(&mut self, now: Nanos, word: &CounterReport) {
        self.noticed(now);
        let arbiters = self.settings.arbiters.clone();
        for part in split(word) {
            for key in arbiters.iter().filter(|key| **key != self.settings.me.key) {
                self.host.send(
                    *key,
                    ReceivedMessage::ClusterCounters(Box::new(part.clone())),
                );
            }
        }
        self.counts_of_all
            .iter_mut()
            .for_each(|counts| counts.hear(now, word));
    }

    /// Tells another arbiter how far it knows the counts of some processes; what is lacked there or
    /// here then follows.
    pub(super) fn compare_counts(&mut self) {
        let others: Vec<u64> = self
            .settings
            .arbiters
            .iter()
            .copied()
            .filter(|key| *key != self.settings.me.key)
            .collect();
        let (Some(counts), false) = (&self.counts_of_all, others.is_empty()) else {
            return;
        };
        let to = others[self.rng.random_range(0..others.len())];
        let from = self.have_from;
        let mut marks: Vec<(ProcessId, u64)> = counts
            .marks()
            .filter(|(who, _)| who.key >= from)
            .take(HAVE_MAX + 1)
            .collect();
        // The last page ends with the last key; another one before the first key that it has no
        // room for.
        let (last, next) = match marks.get(HAVE_MAX).map(|(who, _)| who.key) {
            Some(next) if next > from => (next - 1, next),
            _ => (u64::MAX, 0),
        };
        marks.truncate(HAVE_MAX);
        marks.retain(|(who, _)| who.key <= last);
        self.have_from = next;
        self.host.send(
            to,
            ReceivedMessage::KnownCounters(KnownCounters {
                from,
                to: last,
                marks,
            }),
        );
    }

    pub(super) fn compared(&mut self, from: ProcessId, have: &KnownCounters) {
        let Some(counts) = &self.counts_of_all else {
            return;
        };
        let theirs: BTreeMap<ProcessId, u64> = have.marks.iter().copied().collect();
        let in_page = counts
            .marks()
            .filter(|(who, _)| (have.from..=have.to).contains(&who.key));
        let lacked =
            in_page.filter(|(who, mark)| theirs.get(who).is_none_or(|theirs| theirs < mark));
        let words: Vec<CounterReport> = lacked
            .take(LACKED)
            .filter_map(|(who, _)| counts.word(who))
            .collect();
        for part in words.iter().flat_map(split) {
            self.host
                .send(from.key, ReceivedMessage::ClusterCounters(Box::new(part)));
        }
    }

    pub(super) fn ask_sums(&mut self, now: Nanos) {
        let arbiters = &self.settings.arbiters;
        if self.counts_of_all.is_some() {
            self.sums = self.sums_now(now).map(|sums| (sums, now));
        } else if !arbiters.is_empty() {
            let to = arbiters[self.rng.random_range(0..arbiters.len())];
            self.host.send(to, ReceivedMessage::AskSums);
        }
    }

    /// The counts of the whole fleet, at an arbiter. Clocks count from the Unix epoch here.
    pub(super) fn sums_now(&self, now: Nanos) -> Option<ClusterTotals> {
        let counts = self.counts_of_all.as_ref()?;
        let until_ms = now / MILLISECOND / WINDOW_MS * WINDOW_MS;
        Some(ClusterTotals {
            processes: counts.processes().count() as u32,
            gone: counts.gone() as u32,
            total: counts.total(),
            minute: counts.lately(until_ms, MINUTE, |_, _| true),
            until_ms,
        })
    }

    /// The counts of the whole fleet as they were told last, and how long ago.
    pub fn sums(&self, now: Nanos) -> Option<(&ClusterTotals, Nanos)> {
        self.sums
            .as_ref()
            .map(|(sums, at)| (sums, now.saturating_sub(*at)))
    }

    /// The counts of all processes, at an arbiter.
    pub fn counts_of_all(&self) -> Option<&ClusterCounters> {
        self.counts_of_all.as_ref()
    }

    /// Those who are gone, by the view of the fleet, are added up after a while.
    pub fn tidy(&mut self, now: Nanos, is_there: impl Fn(ProcessId) -> bool) {
        self.counts_of_all
            .iter_mut()
            .for_each(|counts| counts.tidy(now, &is_there));
    }
}
