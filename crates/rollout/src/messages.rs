//! What nodes tell each other about rollouts, as it travels in the membership's payloads; what a
//! node attaches to its membership entry; what operators ask. Protocol Buffers, fields by number: an
//! unknown field is skipped, an unknown kind is no message.
//!
//! | field of `MessageWire` | is |
//! | --- | --- |
//! | 1 | kind: 1 rollouts, 2 poll, 3 report, 4 chunk request, 5 chunk, 6 prepare, 7 accept, 8 promised, 9 accepted, 10 refused |
//! | 2 | rollouts |
//! | 3 | whether an answer is wanted |
//! | 4 | number of a poll, or index of the first chunk |
//! | 5 | rollout |
//! | 6 | a report |
//! | 7 | how many chunks |
//! | 8 | bytes of a chunk |
//! | 9 | stage |
//! | 10 | outcome |
//! | 11 | number of an agreement |
//! | 12 | ballot |
//! | 13 | the ballot in which a proposal was accepted, or which was promised |
//! | 14 | what is proposed, or was accepted |
//! | 15 | whether it is proposed again |
//! | 16 | what is changed: 0 settings, 1 the program |

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
