//! Encoding of the messages that nodes exchange about rollouts, which travel in the payloads of the
//! membership; of the report that a node attaches to its membership entry; and of operator
//! commands. Messages are Protocol Buffers with fields by number. A decoder skips unknown fields
//! and rejects messages of an unknown kind.
//!
//! | field of `MessageWire` | meaning |
//! | --- | --- |
//! | 1 | kind: 1 rollouts, 2 poll, 3 report, 4 chunk request, 5 chunk, 6 prepare, 7 accept, 8 promised, 9 accepted, 10 refused |
//! | 2 | rollouts |
//! | 3 | whether the receiver is to answer with its own rollouts |
//! | 4 | number of a poll, index of the first requested chunk, or index of a chunk |
//! | 5 | rollout |
//! | 6 | report of a node |
//! | 7 | number of requested chunks |
//! | 8 | content of a chunk |
//! | 9 | stage |
//! | 10 | outcome |
//! | 11 | number of the agreement |
//! | 12 | ballot |
//! | 13 | ballot in which the proposal was accepted, or ballot that was promised to another request |
//! | 14 | proposal that is made or was accepted |
//! | 15 | whether a voter accepted the proposal in an earlier round |
//! | 16 | kind of the rollout: 0 settings, 1 program |

mod command;
mod decode;
mod encode;
mod later;
mod message;
mod wire;

pub use command::{CommandReply, OperatorCommand, command_kind};
pub use decode::{decode, decode_attachment};
pub(crate) use decode::{decode_rollout, decode_vote};
pub use encode::{encode, encode_attachment, rollout_messages};
pub(crate) use encode::{encode_rollout, encode_vote};
pub(crate) use later::later;
pub use later::{LATER, LATER_KIND, later_kind};
pub use message::{MAX_MESSAGE_BYTES, RolloutMessage};
pub(crate) use wire::{RolloutWire, VoteWire};

#[cfg(test)]
mod tests;
