//! The state that a node persists about its versions, so that the node starts on the right version
//! after any failure. The state is a small file that is written completely under another name,
//! synced and renamed. `docs/design/rollout.md` specifies the format.
//!
//! Rules: a trial is written to the file before its version is applied. If the file names a trial
//! when the node starts, the node crashed on that trial. The node then starts on the last promoted
//! version, and tries the crashed version again later, a bounded number of times (`node_agent`).

use crate::identifiers::{Kind, RolloutId, Version};
use crate::messages::{self, RolloutWire, VoteWire};
use crate::paxos::Vote;
use crate::rollout::Rollout;
use prost::Message;

const MAGIC: [u8; 4] = *b"mpv1";
/// Maximum number of entries in [`PersistedState::rejected`]; the oldest entries are dropped.
const MAX_REJECTED: usize = 16;
/// Maximum size of an encoded state, in bytes.
pub const MAX_FILE_BYTES: usize = 4096;

/// A version on trial, as recorded on disk before it is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Trial {
    /// The rollout that brings the version.
    pub rollout: RolloutId,
    /// The version on trial.
    pub version: Version,
    /// Number of trials of the version at this node, including this one.
    pub tries: u32,
}

/// The persisted state of one kind of rollouts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// Whether the versions are of the settings or of the program.
    pub kind: Kind,
    /// The last promoted version; `None` before the first promotion.
    pub promoted: Option<Version>,
    /// The version promoted before `promoted`, whose content is kept on disk for a rollback.
    pub previous: Option<Version>,
    /// The trial in progress; `None` while the node runs a promoted version.
    pub trial: Option<Trial>,
    /// Versions that crashed, were rejected or were rolled back at this node, with the number of
    /// their crashes.
    pub rejected: Vec<(Version, u32)>,
    /// The rollout of the last agreement, so that a cluster whose nodes all restart at once
    /// continues with it.
    pub head: Option<Rollout>,
    /// The node's last promise and vote as a voter; `None` if it has never promised or voted.
    pub vote: Option<Vote>,
    /// The number of the last agreement on which this node abstains as a voter, after a possible
    /// loss of its vote; 0 if none.
    pub abstains_to: u64,
}

/// Why a file could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PersistedStateError {
    /// The file is truncated, or not a persisted state.
    NotPersistedState,
    /// The checksum does not match, or the body cannot be decoded.
    Damaged,
    /// The file was written by a newer version of the program in a format that this version cannot
    /// read.
    NewerFormat,
}

impl PersistedStateError {
    /// Returns a short description of the error for log lines and errors.
    pub fn word(self) -> &'static str {
        match self {
            PersistedStateError::NotPersistedState => "truncated or not a persisted state",
            PersistedStateError::Damaged => "damaged",
            PersistedStateError::NewerFormat => "written by a newer version of the program",
        }
    }
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct VersionWire {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(fixed64, tag = "2")]
    hash: u64,
    #[prost(uint32, tag = "3")]
    crashes: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct PersistedStateWire {
    #[prost(message, optional, tag = "1")]
    promoted: Option<VersionWire>,
    #[prost(message, optional, tag = "2")]
    previous: Option<VersionWire>,
    #[prost(fixed64, tag = "3")]
    rollout: u64,
    #[prost(message, optional, tag = "4")]
    trial: Option<VersionWire>,
    #[prost(message, repeated, tag = "5")]
    rejected: Vec<VersionWire>,
    #[prost(uint32, tag = "6")]
    kind: u32,
    #[prost(message, optional, tag = "7")]
    head: Option<RolloutWire>,
    #[prost(message, optional, tag = "8")]
    vote: Option<VoteWire>,
    #[prost(uint64, tag = "9")]
    abstains_to: u64,
}

fn encode_version(version: Version, crashes: u32) -> VersionWire {
    VersionWire {
        number: version.number,
        hash: version.hash,
        crashes,
    }
}

fn decode_version(wire: &VersionWire) -> Version {
    Version {
        number: wire.number,
        hash: wire.hash,
    }
}

impl PersistedState {
    /// Returns the state of a node that has persisted nothing yet.
    pub fn new(kind: Kind) -> PersistedState {
        PersistedState {
            kind,
            ..PersistedState::default()
        }
    }

    /// Encodes the file: the magic bytes (4), the length of the body (4 bytes, little-endian), the
    /// body's CRC-32 (4 bytes, little-endian) and the body.
    pub fn encode(&self) -> Vec<u8> {
        let body = PersistedStateWire {
            promoted: self.promoted.map(|v| encode_version(v, 0)),
            previous: self.previous.map(|v| encode_version(v, 0)),
            rollout: self.trial.map_or(0, |trial| trial.rollout.0),
            trial: self
                .trial
                .map(|trial| encode_version(trial.version, trial.tries)),
            rejected: self
                .rejected
                .iter()
                .map(|(v, crashes)| encode_version(*v, *crashes))
                .collect(),
            kind: self.kind as u32,
            head: self.head.as_ref().map(messages::encode_rollout),
            vote: self.vote.as_ref().map(messages::encode_vote),
            abstains_to: self.abstains_to,
        };
        let body = messages::later(body.encode_to_vec());
        let mut file = MAGIC.to_vec();
        file.extend((body.len() as u32).to_le_bytes());
        file.extend(crc32fast::hash(&body).to_le_bytes());
        file.extend(body);
        file
    }

    /// Decodes a file that [`PersistedState::encode`] returned.
    pub fn decode(bytes: &[u8]) -> Result<PersistedState, PersistedStateError> {
        let field = |at: usize| bytes.get(at..at + 4).and_then(|four| four.try_into().ok());
        let (Some(magic), Some(length), Some(crc)) = (field(0), field(4), field(8)) else {
            return Err(PersistedStateError::NotPersistedState);
        };
        let magic: [u8; 4] = magic;
        if magic != MAGIC {
            return Err(if magic.starts_with(b"mpv") {
                PersistedStateError::NewerFormat
            } else {
                PersistedStateError::NotPersistedState
            });
        }
        let body = bytes
            .get(12..12 + u32::from_le_bytes(length) as usize)
            .ok_or(PersistedStateError::NotPersistedState)?;
        if bytes.len() > MAX_FILE_BYTES || crc32fast::hash(body) != u32::from_le_bytes(crc) {
            return Err(PersistedStateError::Damaged);
        }
        let body = PersistedStateWire::decode(body).map_err(|_| PersistedStateError::Damaged)?;
        let trial = body.trial.as_ref().map(|trial| Trial {
            rollout: RolloutId(body.rollout),
            version: decode_version(trial),
            tries: trial.crashes,
        });
        Ok(PersistedState {
            kind: if body.kind == 1 {
                Kind::Program
            } else {
                Kind::Settings
            },
            promoted: body.promoted.as_ref().map(decode_version),
            previous: body.previous.as_ref().map(decode_version),
            trial,
            rejected: body
                .rejected
                .iter()
                .take(MAX_REJECTED)
                .map(|v| (decode_version(v), v.crashes))
                .collect(),
            head: body.head.as_ref().and_then(messages::decode_rollout),
            vote: body.vote.as_ref().map(messages::decode_vote),
            abstains_to: body.abstains_to,
        })
    }

    /// Returns the versions on which the node may start, in order of preference, and the trial that
    /// crashed, if any. Counts the crash of that trial. `given` is the version that the operator
    /// installed. That version comes first only if its number is higher than the number of the last
    /// promoted version and this node has not rejected it. The installed version may date from the
    /// setup of the machine, or have been installed by hand during a rollout.
    pub fn start_candidates(&mut self, given: Version) -> (Vec<Version>, Option<Trial>) {
        let crashed = self.trial.take();
        if let Some(trial) = crashed {
            self.record_crash(trial.version);
        }
        let is_newer = self
            .promoted
            .is_none_or(|promoted| given.number > promoted.number)
            && !self.is_rejected(given);
        let first = Some(given).filter(|_| is_newer);
        let mut candidates: Vec<Version> = first
            .into_iter()
            .chain(self.promoted)
            .chain(self.previous)
            .chain([given])
            .collect();
        let mut seen = Vec::new();
        candidates.retain(|version| {
            let is_new = !seen.contains(version);
            seen.push(*version);
            is_new
        });
        (candidates, crashed)
    }

    /// Counts a crash of a version on trial at this node.
    pub fn record_crash(&mut self, version: Version) {
        match self.rejected.iter_mut().find(|(v, _)| *v == version) {
            Some((_, crashes)) => *crashes += 1,
            None => self.reject(version, 1),
        }
    }

    /// Records that this node must not run a version, with the number of the version's crashes at
    /// this node.
    pub fn reject(&mut self, version: Version, crashes: u32) {
        self.rejected.retain(|(v, _)| *v != version);
        self.rejected.push((version, crashes));
        let excess = self.rejected.len().saturating_sub(MAX_REJECTED);
        self.rejected.drain(..excess);
    }

    /// Returns whether a version crashed, was rejected or was rolled back at this node.
    pub fn is_rejected(&self, version: Version) -> bool {
        self.rejected.iter().any(|(v, _)| *v == version)
    }

    /// Returns how often a version crashed on trial at this node; 0 if the version is not in
    /// [`PersistedState::rejected`].
    pub fn crashes(&self, version: Version) -> u32 {
        self.rejected
            .iter()
            .find(|(v, _)| *v == version)
            .map_or(0, |(_, crashes)| *crashes)
    }

    /// Promotes a version and ends the trial: the node starts on this version from now on.
    pub fn promote(&mut self, version: Version) {
        self.trial = None;
        if self.promoted != Some(version) {
            self.previous = self.promoted;
            self.promoted = Some(version);
        }
        self.rejected.retain(|(v, _)| *v != version);
    }

    /// Returns the versions whose content must stay on disk.
    pub fn needed(&self) -> impl Iterator<Item = Version> {
        self.promoted
            .into_iter()
            .chain(self.previous)
            .chain(self.trial.map(|trial| trial.version))
    }
}

#[cfg(test)]
mod tests;
