//! A rollout's content in bounded chunks: requested a few at a time, from any node that has it, and
//! believed by its digest alone.

use crate::identifiers::RolloutId;
use crate::rollout::Rollout;
use crate::{MILLISECOND, Nanos};

/// The most bytes of a content.
pub const MAX_CONTENT_BYTES: usize = 512 << 10;
/// Bytes of a chunk; the last one may be shorter.
pub const CHUNK_BYTES: usize = 1024;
/// Chunks that are requested at once.
pub const CHUNKS_PER_REQUEST: u32 = 8;
/// Requested chunks are waited for this long.
const CHUNK_TIMEOUT: Nanos = 400 * MILLISECOND;
/// Complete contents with a wrong digest after which the fetch is given up.
const MAX_CORRUPT_FETCHES: u32 = 3;

/// The SHA-256 of a content.
pub fn digest(content: &[u8]) -> [u8; 32] {
    let mut digest = [0; 32];
    digest.copy_from_slice(ring::digest::digest(&ring::digest::SHA256, content).as_ref());
    digest
}

/// How many chunks a content of this many bytes has.
pub fn count(bytes: usize) -> u32 {
    bytes.div_ceil(CHUNK_BYTES) as u32
}

/// A chunk of a content.
pub fn chunk(content: &[u8], index: u32) -> Option<&[u8]> {
    let from = (index as usize).checked_mul(CHUNK_BYTES)?;
    (from < content.len()).then(|| &content[from..content.len().min(from + CHUNK_BYTES)])
}

/// Content that is being fetched.
#[derive(Clone, Debug)]
pub struct ChunkFetch {
    /// The rollout whose content is fetched.
    pub rollout: RolloutId,
    digest: [u8; 32],
    content: Vec<u8>,
    have: Vec<bool>,
    asked: Nanos,
    corrupt_fetches: u32,
}

/// How far a fetch has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchProgress {
    /// Chunks are missing.
    Incomplete,
    /// The whole content, as its digest says.
    Complete(Vec<u8>),
    /// The content came whole and its digest differs: it is fetched anew, or given up.
    Corrupt {
        /// Whether it is given up.
        given_up: bool,
    },
}

impl ChunkFetch {
    /// The content of a rollout; none if it is beyond its bound.
    pub fn new(rollout: &Rollout) -> Option<ChunkFetch> {
        let bytes = rollout.bytes as usize;
        (bytes <= MAX_CONTENT_BYTES).then(|| ChunkFetch {
            rollout: rollout.id,
            digest: rollout.digest,
            content: vec![0; bytes],
            have: vec![false; count(bytes) as usize],
            asked: 0,
            corrupt_fetches: 0,
        })
    }

    /// Chunks to request now: the index of the first one, and how many.
    pub fn next_request(&mut self, now: Nanos) -> Option<(u32, u32)> {
        if now < self.asked + CHUNK_TIMEOUT && self.asked > 0 {
            return None;
        }
        let first = self.have.iter().position(|have| !have)?;
        let run = self.have[first..]
            .iter()
            .take(CHUNKS_PER_REQUEST as usize)
            .take_while(|have| !**have)
            .count();
        self.asked = now;
        Some((first as u32, run as u32))
    }

    /// Takes up a chunk; one that does not fit is dropped.
    pub fn insert(&mut self, index: u32, bytes: &[u8]) {
        let from = index as usize * CHUNK_BYTES;
        let fits =
            from < self.content.len() && bytes.len() == CHUNK_BYTES.min(self.content.len() - from);
        if !fits || self.have[index as usize] {
            return;
        }
        self.content[from..from + bytes.len()].copy_from_slice(bytes);
        self.have[index as usize] = true;
        // All that was asked for is here: the next ones may be asked for at once.
        let first = self
            .have
            .iter()
            .position(|have| !have)
            .unwrap_or(self.have.len());
        if first as u32 > index || first.is_multiple_of(CHUNKS_PER_REQUEST as usize) {
            self.asked = 0;
        }
    }

    /// How far it has come; a complete content is taken out.
    pub fn progress(&mut self) -> FetchProgress {
        if self.have.iter().any(|have| !have) {
            return FetchProgress::Incomplete;
        }
        if digest(&self.content) == self.digest {
            return FetchProgress::Complete(std::mem::take(&mut self.content));
        }
        self.have.fill(false);
        (self.corrupt_fetches, self.asked) = (self.corrupt_fetches + 1, 0);
        FetchProgress::Corrupt {
            given_up: self.corrupt_fetches >= MAX_CORRUPT_FETCHES,
        }
    }
}

#[cfg(test)]
mod tests;
