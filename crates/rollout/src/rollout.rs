//! One rollout: its version and plan, its agreed progress and its outcome.
//!
//! A rollout is a value that merges in any order and any number of times, and never moves back: of
//! two copies the later agreement determines the progress, and the outcome nearer to safety wins.
//! So **halting needs no agreement**: a node that halts, rejects or rolls back a rollout sets the
//! outcome in its own copy, and no copy that arrives later undoes this outcome. **Advancing needs a
//! majority**: progress is numbered, and only a majority of the voters can assign a number (see
//! [`crate::paxos`]), so that at most one side of a split cluster continues.

use crate::identifiers::{Kind, RolloutId, Version};
use crate::splitmix64;
use crate::stages::{Plan, Progress};

/// Maximum length of the text of a reason, in bytes; longer texts are truncated.
pub const MAX_REASON_BYTES: usize = 160;

/// The outcome of a rollout, ordered from the farthest to the nearest to safety.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// The rollout continues as stages are agreed on, or has not begun.
    #[default]
    InProgress,
    /// The whole cluster runs the version, which nodes promote.
    Completed,
    /// The rollout never began: another rollout began instead, or a node cannot run the version.
    Rejected,
    /// The rollout does not advance; nodes that run the version keep running it.
    Halted,
    /// All nodes return to the version that they ran before.
    RolledBack,
}

impl Outcome {
    /// Returns the name shown to operators.
    pub fn display_name(self) -> &'static str {
        ["open", "done", "refused", "halted", "back"][self as usize]
    }

    pub(crate) fn from_number(number: u32) -> Option<Outcome> {
        [
            Outcome::InProgress,
            Outcome::Completed,
            Outcome::Rejected,
            Outcome::Halted,
            Outcome::RolledBack,
        ]
        .get(number as usize)
        .copied()
    }
}

/// Why and when a rollout ended, and the node that ended the rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Reason {
    /// When the rollout ended, in Unix milliseconds.
    pub at_ms: u64,
    /// The key of the node that ended the rollout.
    pub by: u64,
    /// The reason as shown to operators, at most [`MAX_REASON_BYTES`] long.
    pub why: String,
}

impl Reason {
    /// Creates a reason; the text is truncated to [`MAX_REASON_BYTES`] at a character boundary.
    pub fn new(at_ms: u64, by: u64, why: &str) -> Reason {
        let end = (0..=MAX_REASON_BYTES.min(why.len()))
            .rev()
            .find(|end| why.is_char_boundary(*end))
            .unwrap_or(0);
        Reason {
            at_ms,
            by,
            why: why[..end].to_owned(),
        }
    }
}

/// The version that one rollout assigns to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assignment {
    /// The new version of the rollout.
    NewVersion,
    /// The version that the rollout replaces, or another version that the node ran before.
    BaseVersion,
    /// The node keeps the version that it runs.
    Unchanged,
}

/// One rollout of a version of the settings or of the program.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// The identifier of the rollout, the same in all copies.
    pub id: RolloutId,
    /// Whether the settings or the program is rolled out.
    pub kind: Kind,
    /// The version that is rolled out.
    pub version: Version,
    /// The version that is replaced, and that the baseline cohort runs.
    pub base: Version,
    /// SHA-256 digest of the version's content, by which nodes check what they fetched.
    pub digest: [u8; 32],
    /// Length of the version's content, in bytes.
    pub bytes: u32,
    /// The key of the node that offered the rollout.
    pub by: u64,
    /// When the rollout was offered, in Unix milliseconds.
    pub at_ms: u64,
    /// The stages of the rollout and their bounds.
    pub plan: Plan,
    /// The progress that the voters agreed on; its agreement number only grows.
    pub progress: Progress,
    /// The outcome, which only moves towards safety.
    pub outcome: Outcome,
    /// Why the rollout ended; empty while the rollout is in progress.
    pub reason: Reason,
}

impl Rollout {
    /// Returns the sort key of rollouts that have not begun: the highest version first, then the
    /// rollout that was offered first.
    pub fn order(&self) -> (std::cmp::Reverse<u64>, u64, RolloutId) {
        (std::cmp::Reverse(self.version.number), self.at_ms, self.id)
    }

    /// Returns whether the rollout has begun and neither ended nor been halted.
    pub fn is_in_progress(&self) -> bool {
        self.outcome == Outcome::InProgress && self.progress.stage > 0
    }

    /// Returns whether the rollout is completed, rejected or rolled back.
    pub fn is_over(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Completed | Outcome::Rejected | Outcome::RolledBack
        )
    }

    /// Returns the version that this copy of the rollout assigns to a node.
    pub fn assignment(&self, node: u64, zone: u32) -> Assignment {
        match self.outcome {
            Outcome::InProgress if self.progress.includes(self.id, node, zone) => {
                Assignment::NewVersion
            }
            Outcome::InProgress => Assignment::BaseVersion,
            Outcome::Completed => Assignment::NewVersion,
            Outcome::Halted => Assignment::Unchanged,
            Outcome::Rejected | Outcome::RolledBack => Assignment::BaseVersion,
        }
    }

    /// Moves the outcome towards safety, which needs no agreement. Returns whether the outcome
    /// changed.
    pub fn end(&mut self, outcome: Outcome, reason: Reason) -> bool {
        let ends = outcome > self.outcome;
        if ends {
            (self.outcome, self.reason) = (outcome, reason);
        }
        ends
    }

    /// Merges another copy of the same rollout. Returns whether this copy changed.
    pub fn merge(&mut self, other: &Rollout) -> bool {
        // Of two reasons for the same outcome the earlier reason wins, so that all nodes converge.
        let has_safer_end = other.outcome > self.outcome
            || other.outcome == self.outcome
                && other.outcome > Outcome::InProgress
                && other.reason < self.reason;
        if has_safer_end {
            (self.outcome, self.reason) = (other.outcome, other.reason.clone());
        }
        let is_later = self.record_progress(&other.progress);
        has_safer_end || is_later
    }

    /// Records progress that the voters agreed on. Returns whether the progress was new. There is
    /// at most one agreement of each number.
    pub(crate) fn record_progress(&mut self, progress: &Progress) -> bool {
        let is_later = progress.agreement > self.progress.agreement;
        if is_later {
            self.progress = progress.clone();
        }
        if self.outcome <= Outcome::Completed && self.plan.is_beyond(self.progress.stage) {
            (self.outcome, self.reason) = (Outcome::Completed, Reason::default());
        }
        is_later
    }

    /// Returns a hash that is equal for two copies with the same progress, outcome and reason.
    pub(crate) fn fingerprint(&self) -> u64 {
        let hash =
            splitmix64(self.id.0 ^ splitmix64(self.progress.agreement << 3 ^ self.outcome as u64));
        splitmix64(hash ^ self.reason.at_ms ^ self.reason.by)
    }

    /// Returns the sort key by which rollouts are retained: those that have begun and not ended,
    /// then those that may begin by [`Rollout::order`], then those that have ended, the latest
    /// first.
    pub(crate) fn retention_rank(&self) -> (u8, std::cmp::Reverse<u64>, u64, RolloutId) {
        let (number, at, id) = self.order();
        match self.outcome {
            Outcome::InProgress | Outcome::Halted if self.progress.agreement > 0 => {
                (0, std::cmp::Reverse(self.progress.agreement), at, id)
            }
            Outcome::InProgress => (1, number, at, id),
            _ => (
                2,
                std::cmp::Reverse(self.at_ms),
                self.progress.agreement,
                id,
            ),
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
