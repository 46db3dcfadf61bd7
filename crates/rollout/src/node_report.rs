//! What a node reports of itself: which version it runs and how it stands to the rollout that it
//! follows. It travels on the node's membership entry and in answers to the coordinator's polls.

use crate::identifiers::{RolloutId, Version};
use crate::rollout::Outcome;

/// A version that crashed so often on trial at a node is not tried there again.
pub const MAX_CRASHES: u32 = 2;

/// How a node stands to the rollout that it follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum NodeStatus {
    /// It follows none.
    #[default]
    Unknown,
    /// Its content is being fetched or checked.
    Offered,
    /// It can't be run here.
    Rejected,
    /// Checked and on disk; it could begin.
    Staged,
    /// The trial is on disk, and the version is being applied.
    Starting,
    /// The version runs here on trial.
    OnTrial,
    /// The version runs here, and the rollout was completed.
    Promoted,
    /// The version was taken from this node again.
    RolledBack,
    /// The version crashed on trial here, and is tried again later or not at all.
    Crashed,
}

impl NodeStatus {
    /// What it is called in tables.
    pub fn display_name(self) -> &'static str {
        match self {
            NodeStatus::Unknown => "-",
            NodeStatus::Offered => "known",
            NodeStatus::Rejected => "turned down",
            NodeStatus::Staged => "staged",
            NodeStatus::Starting => "beginning",
            NodeStatus::OnTrial => "on trial",
            NodeStatus::Promoted => "good",
            NodeStatus::RolledBack => "taken back",
            NodeStatus::Crashed => "died",
        }
    }

    pub(crate) fn from_number(number: u32) -> NodeStatus {
        let all = [
            NodeStatus::Unknown,
            NodeStatus::Offered,
            NodeStatus::Rejected,
            NodeStatus::Staged,
            NodeStatus::Starting,
            NodeStatus::OnTrial,
            NodeStatus::Promoted,
            NodeStatus::RolledBack,
            NodeStatus::Crashed,
        ];
        all.get(number as usize).copied().unwrap_or_default()
    }
}

/// What a node reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeReport {
    /// The rollout that it follows.
    pub rollout: RolloutId,
    /// Its stage, as the node knows it.
    pub stage: u32,
    /// Its outcome, as the node knows it.
    pub outcome: Outcome,
    /// How the node stands to it.
    pub status: NodeStatus,
    /// The version that it runs.
    pub running: Version,
    /// The last promoted version: what it starts on.
    pub promoted: Version,
    /// Since when it runs, Unix milliseconds.
    pub since_ms: u64,
    /// How often the rollout's version crashed here.
    pub crashes: u32,
    /// When it last did, Unix milliseconds.
    pub last_crash_ms: u64,
    /// Why the node rejects it.
    pub why: String,
    /// The digest of all rollouts that the node knows.
    pub digest: u64,
}
