//! Messages between a supervisor and the processes that it starts, sent over a stream. Each message
//! follows its length (4 bytes, little-endian). Fields are encoded by number; unknown fields are
//! skipped and unknown kinds ignored, so that a supervisor and a program of different versions
//! understand each other.

use crate::host_error::HostError;
use crate::identifiers::{RolloutId, Version};
use crate::persisted_state::{PersistedState, Trial};
use crate::process_handover::StartInstructions;
use prost::Message;

/// Maximum size of a message in bytes, without its length.
pub const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// Kinds of messages.
pub mod kind {
    /// From the supervisor: start instructions; the listening socket is sent with this message.
    pub const BEGIN: u32 = 1;
    /// From the supervisor: the process is now in charge.
    pub const IN_CHARGE: u32 = 2;
    /// From the supervisor: another process takes over, and the receiver is to drain and stop.
    pub const HAND_OVER: u32 = 3;
    /// From the supervisor: the answer to a request.
    pub const DONE: u32 = 4;
    /// From a process: reports that the process is ready to serve.
    pub const READY: u32 = 5;
    /// From a process: requests that its state be persisted.
    pub const PERSIST: u32 = 6;
    /// From a process: asks whether a version is on the machine and can be started.
    pub const CHECK: u32 = 7;
    /// From a process: requests that a process of this version take over.
    pub const APPLY: u32 = 8;
}

/// A message between a supervisor and its process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SupervisorMessage {
    /// Kind of the message, one of [`kind`].
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Number of a request, repeated in its answer.
    #[prost(uint64, tag = "2")]
    pub request: u64,
    /// Encoded persisted state, as returned by [`PersistedState::encode`].
    #[prost(bytes = "vec", tag = "3")]
    pub persisted: Vec<u8>,
    /// Number of the version that the message is about.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Hash of the version that the message is about.
    #[prost(fixed64, tag = "5")]
    pub hash: u64,
    /// True if the request was rejected; `why` then holds the reason.
    #[prost(bool, tag = "6")]
    pub refused: bool,
    /// Reason why the request was rejected.
    #[prost(string, tag = "7")]
    pub why: String,
    /// Number of starts of a trial that crashed; 0 if none crashed.
    #[prost(uint32, tag = "8")]
    pub died_tries: u32,
    /// Rollout of the trial that crashed.
    #[prost(fixed64, tag = "9")]
    pub died_change: u64,
    /// Version number of the trial that crashed.
    #[prost(uint64, tag = "10")]
    pub died_number: u64,
    /// Version hash of the trial that crashed.
    #[prost(fixed64, tag = "11")]
    pub died_hash: u64,
    /// True if the disk was empty before the start of the process.
    #[prost(bool, tag = "12")]
    pub disk_was_empty: bool,
    /// True if another process is serving; the started process then waits until it is in charge.
    #[prost(bool, tag = "13")]
    pub another_process_serves: bool,
}

impl SupervisorMessage {
    /// Creates a message that has only a kind, such as [`kind::IN_CHARGE`].
    pub fn plain(kind: u32) -> SupervisorMessage {
        SupervisorMessage {
            kind,
            ..SupervisorMessage::default()
        }
    }

    /// Returns the version that the message is about.
    pub fn version(&self) -> Version {
        Version {
            number: self.number,
            hash: self.hash,
        }
    }

    /// Creates the request with the number `request` about a version.
    pub fn about(kind: u32, request: u64, version: Version) -> SupervisorMessage {
        SupervisorMessage {
            kind,
            request,
            number: version.number,
            hash: version.hash,
            ..SupervisorMessage::default()
        }
    }

    /// Creates the answer to the request with the number `request`.
    pub fn done(request: u64, result: &Result<(), HostError>) -> SupervisorMessage {
        let why = result
            .as_ref()
            .err()
            .map(ToString::to_string)
            .unwrap_or_default();
        SupervisorMessage {
            kind: kind::DONE,
            request,
            refused: result.is_err(),
            why,
            ..SupervisorMessage::default()
        }
    }

    /// Creates the message with the start instructions of a process.
    pub fn begin(instructions: &StartInstructions) -> SupervisorMessage {
        let crashed = instructions.crashed;
        let crashed_version = crashed.map(|trial| trial.version).unwrap_or_default();
        SupervisorMessage {
            persisted: instructions.persisted.encode(),
            died_tries: crashed.map_or(0, |trial| trial.tries.max(1)),
            died_change: crashed.map_or(0, |trial| trial.rollout.0),
            died_number: crashed_version.number,
            died_hash: crashed_version.hash,
            disk_was_empty: instructions.disk_was_empty,
            another_process_serves: instructions.another_process_serves,
            ..SupervisorMessage::about(kind::BEGIN, 0, instructions.version)
        }
    }

    /// Returns the start instructions; `None` if the message is of another kind or its persisted
    /// state cannot be decoded.
    pub fn start_instructions(&self) -> Option<StartInstructions> {
        let version = Version {
            number: self.died_number,
            hash: self.died_hash,
        };
        let trial = Trial {
            rollout: RolloutId(self.died_change),
            version,
            tries: self.died_tries,
        };
        Some(StartInstructions {
            persisted: PersistedState::decode(&self.persisted)
                .ok()
                .filter(|_| self.kind == kind::BEGIN)?,
            version: self.version(),
            crashed: (self.died_tries > 0).then_some(trial),
            disk_was_empty: self.disk_was_empty,
            another_process_serves: self.another_process_serves,
        })
    }

    /// Encodes the message, preceded by its length, as sent over the stream.
    pub fn write(&self) -> Vec<u8> {
        let body = crate::messages::later(self.encode_to_vec());
        [&(body.len() as u32).to_le_bytes()[..], &body].concat()
    }
}

/// Splits a stream of bytes into messages.
#[derive(Debug, Default)]
pub struct MessageReader {
    bytes: Vec<u8>,
}

/// Error for a message that exceeds [`MAX_MESSAGE_BYTES`] or cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedMessage;

impl MessageReader {
    /// Appends bytes that were received from the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete message; `None` if more bytes are needed.
    pub fn take(&mut self) -> Result<Option<SupervisorMessage>, MalformedMessage> {
        let Some(length) = self.bytes.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(MalformedMessage);
        }
        let Some(body) = self.bytes.get(4..4 + length) else {
            return Ok(None);
        };
        let message = SupervisorMessage::decode(body).map_err(|_| MalformedMessage)?;
        self.bytes.drain(..4 + length);
        Ok(Some(message))
    }
}

#[cfg(test)]
mod tests;
