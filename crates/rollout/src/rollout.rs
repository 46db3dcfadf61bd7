//! One rollout: what is rolled out, by which plan, how far it has been agreed and what has become of
//! it.
//!
//! It is a value that merges in any order, any number of times, and only moves on: of two copies the
//! one with the later agreement gives the progress, and the outcome nearer to safety holds. So
//! **halting needs nobody**: whoever halts, rejects or rolls back sets the outcome in its own copy,
//! and no copy that arrives later undoes it. **Advancing needs a majority**: progress is numbered,
//! and a number is given by a majority of the voters only (see [`crate::paxos`]), so that of the
//! two sides of a split cluster at most one goes on.

use crate::identifiers::{Kind, RolloutId, Version};
use crate::splitmix64;
use crate::stages::{Plan, Progress};

/// The most bytes of a reason; longer ones are cut.
pub const MAX_REASON_BYTES: usize = 160;

/// What has become of a rollout, ordered from the farthest to the nearest to safety.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// It goes on, as far as stages are agreed.
    #[default]
    InProgress,
    /// The whole cluster runs it, and it is the last promoted version.
    Completed,
    /// It never began: another one did, or a node can't run it.
    Rejected,
    /// It goes no further; nodes that run it keep running it.
    Halted,
    /// All nodes run what they ran before.
    RolledBack,
}

impl Outcome {
    /// What it is called in tables.
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

/// Why a rollout ended, by whom and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Reason {
    /// When, Unix milliseconds.
    pub at_ms: u64,
    /// The key of the node that ended it.
    pub by: u64,
    /// The text, at most [`MAX_REASON_BYTES`].
    pub why: String,
}

impl Reason {
    /// A reason, cut to its bound.
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

/// What a node is to run, as far as one rollout is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assignment {
    /// The version that the rollout brings.
    NewVersion,
    /// The version that the rollout replaces, or whatever the node ran before.
    BaseVersion,
    /// The node stays as it is.
    Unchanged,
}

/// One rollout of a version of the settings or of the program.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// Its identifier.
    pub id: RolloutId,
    /// What it changes.
    pub kind: Kind,
    /// What it brings.
    pub version: Version,
    /// What it replaces.
    pub base: Version,
    /// SHA-256 of the content.
    pub digest: [u8; 32],
    /// Bytes of the content.
    pub bytes: u32,
    /// The key of the node that offered it.
    pub by: u64,
    /// When it was offered, Unix milliseconds.
    pub at_ms: u64,
    /// How it goes out.
    pub plan: Plan,
    /// How far it has been agreed; it only grows.
    pub progress: Progress,
    /// What has become of it; it only moves towards safety.
    pub outcome: Outcome,
    /// Why it ended.
    pub reason: Reason,
}

impl Rollout {
    /// The order of rollouts that have not begun: the highest version first, of these the one
    /// offered first.
    pub fn order(&self) -> (std::cmp::Reverse<u64>, u64, RolloutId) {
        (std::cmp::Reverse(self.version.number), self.at_ms, self.id)
    }

    /// Whether it has begun, and is not over.
    pub fn is_in_progress(&self) -> bool {
        self.outcome == Outcome::InProgress && self.progress.stage > 0
    }

    /// Whether nothing more becomes of it by itself.
    pub fn is_over(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Completed | Outcome::Rejected | Outcome::RolledBack
        )
    }

    /// What a node is to run by what is known here.
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

    /// Moves the outcome towards safety; whether it moved. Needs no agreement.
    pub fn end(&mut self, outcome: Outcome, reason: Reason) -> bool {
        let ends = outcome > self.outcome;
        if ends {
            (self.outcome, self.reason) = (outcome, reason);
        }
        ends
    }

    /// Takes up another copy of the same rollout; whether anything in it was new.
    pub fn merge(&mut self, other: &Rollout) -> bool {
        // Of two reasons for the same the one that was first, so that all come to one.
        let nearer = other.outcome > self.outcome
            || other.outcome == self.outcome
                && other.outcome > Outcome::InProgress
                && other.reason < self.reason;
        if nearer {
            (self.outcome, self.reason) = (other.outcome, other.reason.clone());
        }
        let farther = self.record_progress(&other.progress);
        nearer || farther
    }

    /// Takes up progress that the voters agreed on; whether it was new. Agreements are numbered, and
    /// there are no two of a number.
    pub(crate) fn record_progress(&mut self, progress: &Progress) -> bool {
        let farther = progress.agreement > self.progress.agreement;
        if farther {
            self.progress = progress.clone();
        }
        if self.outcome <= Outcome::Completed && self.plan.is_beyond(self.progress.stage) {
            (self.outcome, self.reason) = (Outcome::Completed, Reason::default());
        }
        farther
    }

    /// A number that two copies share if they agree.
    pub(crate) fn fingerprint(&self) -> u64 {
        let print =
            splitmix64(self.id.0 ^ splitmix64(self.progress.agreement << 3 ^ self.outcome as u64));
        splitmix64(print ^ self.reason.at_ms ^ self.reason.by)
    }

    /// The order in which rollouts are remembered: those in progress, then those that may begin, by
    /// their order, then those that have ended, the latest first.
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
