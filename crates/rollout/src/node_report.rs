//! A node's report: the version that it runs and its status in the rollout that it follows. Reports
//! are attached to the node's membership entry and sent in answers to the coordinator's polls.

use crate::identifiers::{RolloutId, Version};
use crate::rollout::Outcome;

/// Number of crashes on trial at a node after which the node does not try the version again.
pub const MAX_CRASHES: u32 = 2;

/// A node's status in the rollout that it follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum NodeStatus {
    /// The node follows no rollout.
    #[default]
    Unknown,
    /// The version's content is being fetched or checked.
    Offered,
    /// The node cannot run the version.
    Rejected,
    /// The version is checked and on disk, so its trial could begin.
    Staged,
    /// The trial is on disk, and the version is being applied.
    Starting,
    /// The node runs the version on trial.
    OnTrial,
    /// The node runs the version, and the rollout was completed.
    Promoted,
    /// The version was rolled back at this node.
    RolledBack,
    /// The version crashed on trial at this node. The node tries it again later, or not at all
    /// after [`MAX_CRASHES`].
    Crashed,
}

impl NodeStatus {
    /// Returns the name shown to operators.
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

/// A node's report on its version and on the rollout that it follows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NodeReport {
    /// The rollout that the node follows; 0 if none.
    pub rollout: RolloutId,
    /// The latest stage of the rollout that the node knows, counted from 1.
    pub stage: u32,
    /// The outcome of the rollout that the node knows.
    pub outcome: Outcome,
    /// The node's status in the rollout.
    pub status: NodeStatus,
    /// The version that the node runs.
    pub running: Version,
    /// The last promoted version, on which the node starts.
    pub promoted: Version,
    /// When the node began to run its version, in Unix milliseconds.
    pub since_ms: u64,
    /// Number of crashes of the rollout's version at this node.
    pub crashes: u32,
    /// When a version last crashed on trial at this node, in Unix milliseconds; 0 if none did.
    pub last_crash_ms: u64,
    /// Why the node rejects the version; empty if the node does not reject the version.
    pub why: String,
    /// The digest of all rollouts that the node knows.
    pub digest: u64,
}
