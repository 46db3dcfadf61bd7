//! The bounded table of rollouts that a node knows, with the queries that decide which rollout the
//! node follows.
//!
//! Invariant: which rollouts are retained depends on the copies received and not on their order, so
//! that the tables of all nodes converge.

use crate::Nanos;
use crate::identifiers::{Kind, RolloutId};
use crate::rollout::{Outcome, Reason, Rollout};
use crate::stages::Progress;
use std::collections::BTreeMap;

/// Maximum number of rollouts in a table; the oldest ended rollouts are removed first.
pub const MAX_ROLLOUTS: usize = 16;

/// The rollouts that a node knows, at most [`MAX_ROLLOUTS`], by identifier.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutTable {
    all: BTreeMap<RolloutId, Rollout>,
}

impl RolloutTable {
    /// Returns all rollouts in the order of their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.all.values()
    }

    /// Returns the rollout with this identifier.
    pub fn get(&self, id: RolloutId) -> Option<&Rollout> {
        self.all.get(&id)
    }

    /// Returns the rollout of the last agreement. That rollout is never removed, so that agreements
    /// keep their numbers.
    pub fn head(&self, kind: Kind) -> Option<&Rollout> {
        let agreed = self
            .all
            .values()
            .filter(|rollout| rollout.kind == kind && rollout.progress.agreement > 0);
        agreed.max_by_key(|rollout| rollout.progress.agreement)
    }

    /// Merges a copy of a rollout. Returns whether the copy changed the table.
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

    /// Moves a rollout's outcome towards safety. Returns whether the outcome changed.
    pub fn end(&mut self, id: RolloutId, outcome: Outcome, reason: Reason) -> bool {
        self.all
            .get_mut(&id)
            .is_some_and(|rollout| rollout.end(outcome, reason))
    }

    /// Records progress that the voters agreed on. Returns whether the progress was new.
    pub fn advance(&mut self, id: RolloutId, progress: &Progress) -> bool {
        self.all
            .get_mut(&id)
            .is_some_and(|rollout| rollout.record_progress(progress))
    }

    /// Returns the rollout in progress. While this node has not received the end of a rollout, two
    /// rollouts may seem to be in progress. The rollout with the later agreement is returned.
    pub fn in_progress(&self, kind: Kind) -> Option<&Rollout> {
        self.all
            .values()
            .filter(|c| c.kind == kind && c.is_in_progress())
            .max_by_key(|rollout| rollout.progress.agreement)
    }

    /// Returns the rollout that begins next: the first by [`Rollout::order`] that has not begun.
    pub fn next(&self, kind: Kind) -> Option<&Rollout> {
        let is_waiting = |c: &&Rollout| {
            c.kind == kind && c.outcome == Outcome::InProgress && c.progress.stage == 0
        };
        self.all
            .values()
            .filter(is_waiting)
            .min_by_key(|rollout| rollout.order())
    }

    /// Returns the rollout that a node follows: the rollout in progress, else the last halted
    /// rollout, else the rollout that begins next.
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

    /// Returns a hash that is equal at two nodes with the same rollouts.
    pub fn digest(&self) -> u64 {
        self.all
            .values()
            .fold(0, |sum, rollout| sum.wrapping_add(rollout.fingerprint()))
    }

    /// Removes rollouts that ended longer than `retention` ago. The rollouts of the last agreement
    /// of each kind are kept.
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
