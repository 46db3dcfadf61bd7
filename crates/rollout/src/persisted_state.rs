//! What a node persists of its versions, so that it starts on the right one whatever happened: a small
//! file, written whole to another name, synced, and renamed. `docs/design/rollout.md` has it byte by
//! byte.
//!
//! Rules: a trial is written before it is applied. A file that names a trial at the start means that
//! the node crashed on trial: it starts on the last promoted version, and tries that one again
//! later, a bounded number of times (`node_agent`).

use crate::identifiers::{Kind, RolloutId, Version};
use crate::messages::{self, RolloutWire, VoteWire};
use crate::paxos::Vote;
use crate::rollout::Rollout;
use prost::Message;

const MAGIC: [u8; 4] = *b"mpv1";
/// Rejected versions that are remembered.
const TURNED_DOWN: usize = 16;
/// The most bytes of the file.
pub const MAX_FILE_BYTES: usize = 4096;

/// A version on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Trial {
    /// The rollout.
    pub rollout: RolloutId,
    /// Its version.
    pub version: Version,
    /// How often it was begun here.
    pub tries: u32,
}

/// What is persisted of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// What its versions are of.
    pub kind: Kind,
    /// The last promoted version; none before the first one.
    pub promoted: Option<Version>,
    /// The promoted version before it, whose content is still here.
    pub previous: Option<Version>,
    /// The version on trial.
    pub trial: Option<Trial>,
    /// Versions that crashed, were rejected or rolled back here, with how often they crashed.
    pub rejected: Vec<(Version, u32)>,
    /// The rollout of the last agreement, so that a cluster that starts all at once goes on with it.
    pub head: Option<Rollout>,
    /// The node's vote as a voter.
    pub vote: Option<Vote>,
    /// The last agreement in which it takes no part.
    pub abstains_to: u64,
}

/// Why a file can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PersistedStateError {
    /// It is cut, or another file.
    NotOne,
    /// Its checksum does not fit.
    Damaged,
    /// A later program wrote it.
    Later,
}

impl PersistedStateError {
    /// As the log has it.
    pub fn word(self) -> &'static str {
        match self {
            PersistedStateError::NotOne => "cut, or no such file",
            PersistedStateError::Damaged => "damaged",
            PersistedStateError::Later => "of a later program",
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

fn one(version: Version, crashes: u32) -> VersionWire {
    VersionWire {
        number: version.number,
        hash: version.hash,
        crashes,
    }
}

fn version(one: &VersionWire) -> Version {
    Version {
        number: one.number,
        hash: one.hash,
    }
}

impl PersistedState {
    /// Nothing persisted yet.
    pub fn new(kind: Kind) -> PersistedState {
        PersistedState {
            kind,
            ..PersistedState::default()
        }
    }

    /// The file: its mark, the length of the body (4 bytes, little-endian), its CRC-32 (4), and the body.
    pub fn encode(&self) -> Vec<u8> {
        let body = PersistedStateWire {
            promoted: self.promoted.map(|v| one(v, 0)),
            previous: self.previous.map(|v| one(v, 0)),
            rollout: self.trial.map_or(0, |trial| trial.rollout.0),
            trial: self.trial.map(|trial| one(trial.version, trial.tries)),
            rejected: self
                .rejected
                .iter()
                .map(|(v, crashes)| one(*v, *crashes))
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

    /// Reads a file.
    pub fn decode(bytes: &[u8]) -> Result<PersistedState, PersistedStateError> {
        let word = |at: usize| bytes.get(at..at + 4).and_then(|four| four.try_into().ok());
        let (Some(magic), Some(length), Some(crc)) = (word(0), word(4), word(8)) else {
            return Err(PersistedStateError::NotOne);
        };
        let magic: [u8; 4] = magic;
        if magic != MAGIC {
            return Err(if magic.starts_with(b"mpv") {
                PersistedStateError::Later
            } else {
                PersistedStateError::NotOne
            });
        }
        let body = bytes
            .get(12..12 + u32::from_le_bytes(length) as usize)
            .ok_or(PersistedStateError::NotOne)?;
        if bytes.len() > MAX_FILE_BYTES || crc32fast::hash(body) != u32::from_le_bytes(crc) {
            return Err(PersistedStateError::Damaged);
        }
        let body = PersistedStateWire::decode(body).map_err(|_| PersistedStateError::Damaged)?;
        let trial = body.trial.as_ref().map(|trial| Trial {
            rollout: RolloutId(body.rollout),
            version: version(trial),
            tries: trial.crashes,
        });
        Ok(PersistedState {
            kind: if body.kind == 1 {
                Kind::Program
            } else {
                Kind::Settings
            },
            promoted: body.promoted.as_ref().map(version),
            previous: body.previous.as_ref().map(version),
            trial,
            rejected: body
                .rejected
                .iter()
                .take(TURNED_DOWN)
                .map(|v| (version(v), v.crashes))
                .collect(),
            head: body.head.as_ref().and_then(messages::decode_rollout),
            vote: body.vote.as_ref().map(messages::decode_vote),
            abstains_to: body.abstains_to,
        })
    }

    /// The node starts: gives the versions that it may start on, the first that can be run; and the trial
    /// that crashed, if one did, which is counted. `given` is what the operator gave by hand. It goes first
    /// only if its number is higher than that of the last promoted version, and it was not rejected here:
    /// it may be the file that the machine was set up with long ago, or one that was placed there beside a
    /// rollout.
    pub fn start_candidates(&mut self, given: Version) -> (Vec<Version>, Option<Trial>) {
        let crashes = self.trial.take();
        if let Some(trial) = crashes {
            self.record_crash(trial.version);
        }
        let is_newer =
            self.promoted.is_none_or(|good| given.number > good.number) && !self.is_rejected(given);
        let first = Some(given).filter(|_| is_newer);
        let mut all: Vec<Version> = first
            .into_iter()
            .chain(self.promoted)
            .chain(self.previous)
            .chain([given])
            .collect();
        let mut seen = Vec::new();
        all.retain(|version| {
            let is_new = !seen.contains(version);
            seen.push(*version);
            is_new
        });
        (all, crashes)
    }

    /// A version crashed on trial here.
    pub fn record_crash(&mut self, version: Version) {
        match self.rejected.iter_mut().find(|(v, _)| *v == version) {
            Some((_, crashes)) => *crashes += 1,
            None => self.reject(version, 1),
        }
    }

    /// A version is not to be run here.
    pub fn reject(&mut self, version: Version, crashes: u32) {
        self.rejected.retain(|(v, _)| *v != version);
        self.rejected.push((version, crashes));
        let over = self.rejected.len().saturating_sub(TURNED_DOWN);
        self.rejected.drain(..over);
    }

    /// Whether a version crashed, was rejected or rolled back here.
    pub fn is_rejected(&self, version: Version) -> bool {
        self.rejected.iter().any(|(v, _)| *v == version)
    }

    /// How often a version crashed here.
    pub fn crashes(&self, version: Version) -> u32 {
        self.rejected
            .iter()
            .find(|(v, _)| *v == version)
            .map_or(0, |(_, crashes)| *crashes)
    }

    /// The version on trial is in force from here on.
    pub fn promote(&mut self, version: Version) {
        self.trial = None;
        if self.promoted != Some(version) {
            self.previous = self.promoted;
            self.promoted = Some(version);
        }
        self.rejected.retain(|(v, _)| *v != version);
    }

    /// Versions whose content must stay on disk.
    pub fn needed(&self) -> impl Iterator<Item = Version> {
        self.promoted
            .into_iter()
            .chain(self.previous)
            .chain(self.trial.map(|trial| trial.version))
    }
}

#[cfg(test)]
mod tests;
