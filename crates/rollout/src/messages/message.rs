//! The messages that nodes exchange about rollouts.

use crate::identifiers::{Kind, RolloutId};
use crate::node_report::NodeReport;
use crate::paxos::{PaxosReply, PaxosRequest};
use crate::rollout::{Outcome, Rollout};

/// The most bytes of a message.
pub const MAX_MESSAGE_BYTES: usize = 1200;

/// A message between nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutMessage {
    /// What the sender knows of rollouts.
    Rollouts {
        /// The rollouts.
        rollouts: Vec<Rollout>,
        /// Whether the receiver is to answer with what it knows.
        answer: bool,
    },
    /// From the coordinator: how does the node stand to a rollout of which this is known?
    Poll {
        /// The number of the poll.
        poll: u32,
        /// The rollout.
        rollout: RolloutId,
        /// Its stage as the coordinator knows it.
        stage: u32,
        /// Its outcome as the coordinator knows it.
        outcome: Outcome,
    },
    /// The answer to a poll.
    NodeReport {
        /// The number of the poll.
        poll: u32,
        /// The report.
        report: NodeReport,
    },
    /// Chunks of a rollout's content are wanted.
    ChunkRequest {
        /// The rollout.
        rollout: RolloutId,
        /// The index of the first chunk.
        first: u32,
        /// How many.
        count: u32,
    },
    /// A chunk of a rollout's content.
    Chunk {
        /// The rollout.
        rollout: RolloutId,
        /// The index of the chunk.
        index: u32,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// From the coordinator to a voter, for this kind of rollout.
    PaxosRequest(Kind, PaxosRequest),
    /// From a voter to the coordinator, for this kind of rollout.
    PaxosReply(Kind, PaxosReply),
}
