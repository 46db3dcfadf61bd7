//! The messages that nodes exchange about rollouts.

use crate::identifiers::{Kind, RolloutId};
use crate::node_report::NodeReport;
use crate::paxos::{PaxosReply, PaxosRequest};
use crate::rollout::{Outcome, Rollout};

/// Maximum size of an encoded message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1200;

/// A message between nodes about rollouts.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutMessage {
    /// The rollouts known to the sender.
    Rollouts {
        /// Rollouts known to the sender, as many as fit into one message.
        rollouts: Vec<Rollout>,
        /// True if the receiver is to answer with the rollouts that it knows.
        answer: bool,
    },
    /// From the coordinator: asks a node for its report on a rollout, and tells the node the
    /// rollout's stage and outcome.
    Poll {
        /// Number of the poll, repeated in the node's answer.
        poll: u32,
        /// Rollout that is polled.
        rollout: RolloutId,
        /// Stage of the rollout as known to the coordinator.
        stage: u32,
        /// Outcome of the rollout as known to the coordinator.
        outcome: Outcome,
    },
    /// From a node to the coordinator: the answer to a poll.
    NodeReport {
        /// Number of the poll that is answered.
        poll: u32,
        /// Report of the answering node on the polled rollout.
        report: NodeReport,
    },
    /// Requests consecutive chunks of a rollout's content.
    ChunkRequest {
        /// Rollout whose content is requested.
        rollout: RolloutId,
        /// Index of the first chunk.
        first: u32,
        /// Number of chunks that are requested.
        count: u32,
    },
    /// A chunk of a rollout's content.
    Chunk {
        /// Rollout whose content the chunk is part of.
        rollout: RolloutId,
        /// Index of the chunk in the content, from 0.
        index: u32,
        /// Bytes of the chunk; the last chunk of a content may be shorter than the others.
        bytes: Vec<u8>,
    },
    /// Paxos request from the coordinator to a voter, for rollouts of this kind.
    PaxosRequest(Kind, PaxosRequest),
    /// Paxos reply from a voter to the coordinator, for rollouts of this kind.
    PaxosReply(Kind, PaxosReply),
}
