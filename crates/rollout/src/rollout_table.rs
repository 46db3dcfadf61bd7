//! All rollouts that a node knows, bounded, with the queries by which nodes decide which of them
//! they follow.
//!
//! Invariant: which rollouts are remembered follows from what was received and not from the order
//! in which it came, so that all nodes come to the same table.

use crate::Nanos;
use crate::identifiers::{Kind, RolloutId};
use crate::rollout::{Outcome, Reason, Rollout};
use crate::stages::Progress;
use std::collections::BTreeMap;

/// Rollouts that are remembered; the oldest ones that have ended go first.
pub const MAX_ROLLOUTS: usize = 16;

/// All rollouts that a node knows, by identifier.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutTable {
    all: BTreeMap<RolloutId, Rollout>,
}

impl RolloutTable {
    /// All rollouts, by identifier.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.all.values()
    }

    /// A rollout.
    pub fn get(&self, id: RolloutId) -> Option<&Rollout> {
        self.all.get(&id)
    }

    /// The rollout of the last agreement: it is never forgotten, so that agreements keep their numbers.
    pub fn head(&self, kind: Kind) -> Option<&Rollout> {
        let of = self
            .all
            .values()
            .filter(|rollout| rollout.kind == kind && rollout.progress.agreement > 0);
        of.max_by_key(|rollout| rollout.progress.agreement)
    }

    /// Takes up a copy of a rollout; whether anything in it was new.
    pub fn merge(&mut self, other: &Rollout) -> bool {
        if let Some(known) = self.all.get_mut(&other.id) {
            return known.merge(other);
        }
        let mut other = other.clone();
        if other.outcome == Outcome::InProgress {
            other.reason = Reason::default();
        }
        let progress = std::mem::take(&mut other.progress);
        other.record_progress(&progress);
        let id = other.id;
        self.all.insert(id, other);
        if self.all.len() <= MAX_ROLLOUTS {
            return true;
        }
        let heads = [Kind::Settings, Kind::Program].map(|kind| self.head(kind).map(|head| head.id));
        let last = self
            .all
            .values()
            .filter(|c| !heads.contains(&Some(c.id)))
            .max_by_key(|rollout| rollout.retention_rank());
        let Some(last) = last.map(|last| last.id) else {
            return true;
        };
        self.all.remove(&last);
        last != id
    }

    /// Moves a rollout's outcome towards safety; whether it moved.
    pub fn end(&mut self, id: RolloutId, outcome: Outcome, reason: Reason) -> bool {
        self.all
            .get_mut(&id)
            .is_some_and(|rollout| rollout.end(outcome, reason))
    }

    /// Takes up progress that the voters agreed on; whether it was new.
    pub fn advance(&mut self, id: RolloutId, progress: &Progress) -> bool {
        self.all
            .get_mut(&id)
            .is_some_and(|rollout| rollout.record_progress(progress))
    }

    /// The rollout in progress. While this node lacks the end of one there may seem to be two: the later
    /// agreement holds.
    pub fn in_progress(&self, kind: Kind) -> Option<&Rollout> {
        self.all
            .values()
            .filter(|c| c.kind == kind && c.is_in_progress())
            .max_by_key(|rollout| rollout.progress.agreement)
    }

    /// The rollout that begins next: the first in the order of those that have not begun.
    pub fn next(&self, kind: Kind) -> Option<&Rollout> {
        let waits = |c: &&Rollout| {
            c.kind == kind && c.outcome == Outcome::InProgress && c.progress.stage == 0
        };
        self.all
            .values()
            .filter(waits)
            .min_by_key(|rollout| rollout.order())
    }

    /// The rollout that a node follows: in progress, or halted and not rolled back, or else the next.
    pub fn current(&self, kind: Kind) -> Option<&Rollout> {
        let halted = || {
            let halted = self
                .all
                .values()
                .filter(|c| c.kind == kind && c.outcome == Outcome::Halted);
            halted.max_by_key(|rollout| rollout.progress.agreement)
        };
        self.in_progress(kind)
            .or_else(halted)
            .or_else(|| self.next(kind))
    }

    /// A number that two nodes share if they know the same.
    pub fn digest(&self) -> u64 {
        self.all
            .values()
            .fold(0, |sum, rollout| sum.wrapping_add(rollout.fingerprint()))
    }

    /// Forgets rollouts that ended longer ago than `retention`.
    pub fn remove_expired(&mut self, now_ms: u64, retention: Nanos) {
        let retention_ms = retention / crate::MILLISECOND;
        let heads = [Kind::Settings, Kind::Program].map(|kind| self.head(kind).map(|head| head.id));
        self.all.retain(|id, rollout| {
            heads.contains(&Some(*id))
                || !rollout.is_over()
                || now_ms
                    < rollout
                        .reason
                        .at_ms
                        .max(rollout.at_ms)
                        .saturating_add(retention_ms)
        });
    }
}

#[cfg(test)]
mod tests;
