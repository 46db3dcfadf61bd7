//! What a supervisor and the processes that it starts tell each other over a stream: each message after
//! its length (4 bytes, little-endian). Fields by number: an unknown one is skipped, and an unknown kind
//! is ignored, so that a supervisor and a program of different versions understand each other.

use crate::host_error::HostError;
use crate::identifiers::{RolloutId, Version};
use crate::persisted_state::{PersistedState, Trial};
use crate::process_handover::StartInstructions;
use prost::Message;

/// The most bytes of a message.
pub const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// Kinds of messages.
pub mod kind {
    /// From the supervisor: what the process starts with; with it comes the listening socket.
    pub const BEGIN: u32 = 1;
    /// From the supervisor: the process is in charge.
    pub const IN_CHARGE: u32 = 2;
    /// From the supervisor: another process takes its place, and it is to leave.
    pub const HAND_OVER: u32 = 3;
    /// From the supervisor: the answer to a request.
    pub const DONE: u32 = 4;
    /// From a process: it serves.
    pub const READY: u32 = 5;
    /// From a process: this is to be persisted.
    pub const PERSIST: u32 = 6;
    /// From a process: is this version on the machine?
    pub const CHECK: u32 = 7;
    /// From a process: this version is to take its place.
    pub const APPLY: u32 = 8;
}

/// A message between a supervisor and its process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SupervisorMessage {
    /// One of [`kind`].
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// The number of a request, and of its answer.
    #[prost(uint64, tag = "2")]
    pub request: u64,
    /// The persisted state, as it is on disk.
    #[prost(bytes = "vec", tag = "3")]
    pub persisted: Vec<u8>,
    /// The number of a version.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// The hash of a version.
    #[prost(fixed64, tag = "5")]
    pub hash: u64,
    /// Whether a request was rejected.
    #[prost(bool, tag = "6")]
    pub refused: bool,
    /// Why.
    #[prost(string, tag = "7")]
    pub why: String,
    /// Of a trial that crashed: how often it was begun; 0 if none crashed.
    #[prost(uint32, tag = "8")]
    pub died_tries: u32,
    /// Of a trial that crashed: its rollout.
    #[prost(fixed64, tag = "9")]
    pub died_change: u64,
    /// Of a trial that crashed: the number of its version.
    #[prost(uint64, tag = "10")]
    pub died_number: u64,
    /// Of a trial that crashed: the hash of its version.
    #[prost(fixed64, tag = "11")]
    pub died_hash: u64,
    /// Whether the disk was empty.
    #[prost(bool, tag = "12")]
    pub disk_was_empty: bool,
    /// Whether another process serves meanwhile.
    #[prost(bool, tag = "13")]
    pub another_process_serves: bool,
}

impl SupervisorMessage {
    /// A message with nothing but its kind.
    pub fn plain(kind: u32) -> SupervisorMessage {
        SupervisorMessage {
            kind,
            ..SupervisorMessage::default()
        }
    }

    /// The version that it is about.
    pub fn version(&self) -> Version {
        Version {
            number: self.number,
            hash: self.hash,
        }
    }

    /// A request about a version.
    pub fn about(kind: u32, request: u64, version: Version) -> SupervisorMessage {
        SupervisorMessage {
            kind,
            request,
            number: version.number,
            hash: version.hash,
            ..SupervisorMessage::default()
        }
    }

    /// The answer to a request.
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

    /// What a process starts with.
    pub fn begin(begin: &StartInstructions) -> SupervisorMessage {
        let crashed = begin.crashed;
        let of = crashed.map(|trial| trial.version).unwrap_or_default();
        SupervisorMessage {
            persisted: begin.persisted.encode(),
            died_tries: crashed.map_or(0, |trial| trial.tries.max(1)),
            died_change: crashed.map_or(0, |trial| trial.rollout.0),
            died_number: of.number,
            died_hash: of.hash,
            disk_was_empty: begin.disk_was_empty,
            another_process_serves: begin.another_process_serves,
            ..SupervisorMessage::about(kind::BEGIN, 0, begin.version)
        }
    }

    /// Reads what a process starts with; none if the message is another one or can't be read.
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

    /// As it goes over the stream.
    pub fn write(&self) -> Vec<u8> {
        let body = crate::messages::later(self.encode_to_vec());
        [&(body.len() as u32).to_le_bytes()[..], &body].concat()
    }
}

/// Cuts a stream of bytes into messages.
#[derive(Debug, Default)]
pub struct MessageReader {
    bytes: Vec<u8>,
}

/// The other side sent what is no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedMessage;

impl MessageReader {
    /// Takes up bytes that came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message, if there is one.
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
        let saying = SupervisorMessage::decode(body).map_err(|_| MalformedMessage)?;
        self.bytes.drain(..4 + length);
        Ok(Some(saying))
    }
}

#[cfg(test)]
mod tests;
