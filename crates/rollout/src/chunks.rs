//! A change's content in bounded pieces: asked for a few at a time, from whoever has it, and
//! believed by its hash alone.

use crate::messages::PIECE;
use crate::rollout::{Rollout, RolloutId};
use crate::{MILLISECOND, Nanos};

/// The most bytes of a content.
pub const CONTENT_MAX: usize = 512 << 10;
/// Pieces asked for at once, and how long they are waited for.
pub const AT_ONCE: u32 = 8;
const WAIT: Nanos = 400 * MILLISECOND;
/// Whole contents that were not what they should be, before none is asked for any more.
const SPOILT: u32 = 3;

/// The SHA-256 of a content.
pub fn digest(content: &[u8]) -> [u8; 32] {
    let mut digest = [0; 32];
    digest.copy_from_slice(ring::digest::digest(&ring::digest::SHA256, content).as_ref());
    digest
}

/// How many pieces so many bytes are.
pub fn count(bytes: usize) -> u32 {
    bytes.div_ceil(PIECE) as u32
}

/// A piece of a content.
pub fn piece(content: &[u8], no: u32) -> Option<&[u8]> {
    let from = (no as usize).checked_mul(PIECE)?;
    (from < content.len()).then(|| &content[from..content.len().min(from + PIECE)])
}

/// Content that is being fetched.
#[derive(Clone, Debug)]
pub struct ChunkFetch {
    pub change: RolloutId,
    digest: [u8; 32],
    content: Vec<u8>,
    have: Vec<bool>,
    asked: Nanos,
    spoilt: u32,
}

/// What has come of a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchProgress {
    /// Pieces are missing.
    NodeMetric,
    /// All of it, as it should be.
    Whole(Vec<u8>),
    /// It came whole and was not what it should be, and is begun anew; or given up.
    MalformedMessage { given_up: bool },
}

impl ChunkFetch {
    /// The content of a change; none if it is beyond its bound.
    pub fn new(change: &Rollout) -> Option<ChunkFetch> {
        let bytes = change.bytes as usize;
        (bytes <= CONTENT_MAX).then(|| ChunkFetch {
            change: change.id,
            digest: change.digest,
            content: vec![0; bytes],
            have: vec![false; count(bytes) as usize],
            asked: 0,
            spoilt: 0,
        })
    }

    /// Pieces to ask for now: the first one, and how many.
    pub fn ask(&mut self, now: Nanos) -> Option<(u32, u32)> {
        if now < self.asked + WAIT && self.asked > 0 {
            return None;
        }
        let first = self.have.iter().position(|have| !have)?;
        let run = self.have[first..]
            .iter()
            .take(AT_ONCE as usize)
            .take_while(|have| !**have)
            .count();
        self.asked = now;
        Some((first as u32, run as u32))
    }

    /// A piece came.
    pub fn piece(&mut self, no: u32, bytes: &[u8]) {
        let from = no as usize * PIECE;
        let fits = from < self.content.len() && bytes.len() == PIECE.min(self.content.len() - from);
        if !fits || self.have[no as usize] {
            return;
        }
        self.content[from..from + bytes.len()].copy_from_slice(bytes);
        self.have[no as usize] = true;
        // All that was asked for is here: the next ones may be asked for at once.
        let first = self
            .have
            .iter()
            .position(|have| !have)
            .unwrap_or(self.have.len());
        if first as u32 > no || first.is_multiple_of(AT_ONCE as usize) {
            self.asked = 0;
        }
    }

    /// What there is.
    pub fn fetched(&mut self) -> FetchProgress {
        if self.have.iter().any(|have| !have) {
            return FetchProgress::NodeMetric;
        }
        if digest(&self.content) == self.digest {
            return FetchProgress::Whole(std::mem::take(&mut self.content));
        }
        self.have.fill(false);
        (self.spoilt, self.asked) = (self.spoilt + 1, 0);
        FetchProgress::MalformedMessage {
            given_up: self.spoilt >= SPOILT,
        }
    }
}

#[cfg(test)]
mod tests;
