//! The content of a rollout in chunks of bounded size. A node requests a few chunks at a time from
//! any node that has them, and accepts the content only if its digest matches.

use crate::identifiers::RolloutId;
use crate::rollout::Rollout;
use crate::{MILLISECOND, Nanos};

/// Maximum size of a rollout's content, in bytes.
pub const MAX_CONTENT_BYTES: usize = 512 << 10;
/// Size of a chunk in bytes; the last chunk may be shorter.
pub const CHUNK_BYTES: usize = 1024;
/// Maximum number of chunks in one request.
pub const CHUNKS_PER_REQUEST: u32 = 8;
/// Time after which missing chunks are requested again.
const CHUNK_TIMEOUT: Nanos = 400 * MILLISECOND;
/// Number of complete contents with a wrong digest after which a fetch is given up.
const MAX_CORRUPT_FETCHES: u32 = 3;

/// Returns the SHA-256 digest of `content`, as recorded in [`Rollout::digest`].
pub fn digest(content: &[u8]) -> [u8; 32] {
    let mut digest = [0; 32];
    digest.copy_from_slice(ring::digest::digest(&ring::digest::SHA256, content).as_ref());
    digest
}

/// Returns the number of chunks of a content of this many bytes.
pub fn count(bytes: usize) -> u32 {
    bytes.div_ceil(CHUNK_BYTES) as u32
}

/// Returns the chunk with this index; `None` if the index is beyond the content's end.
pub fn chunk(content: &[u8], index: u32) -> Option<&[u8]> {
    let from = (index as usize).checked_mul(CHUNK_BYTES)?;
    (from < content.len()).then(|| &content[from..content.len().min(from + CHUNK_BYTES)])
}

/// A fetch of a rollout's content, chunk by chunk, from other nodes.
#[derive(Clone, Debug)]
pub struct ChunkFetch {
    /// The rollout whose content is fetched.
    pub rollout: RolloutId,
    digest: [u8; 32],
    content: Vec<u8>,
    received: Vec<bool>,
    requested_at: Nanos,
    corrupt_fetches: u32,
}

/// Progress of a [`ChunkFetch`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchProgress {
    /// At least one chunk has not been received yet.
    Incomplete,
    /// The whole content; its digest matches the rollout's digest.
    Complete(Vec<u8>),
    /// All chunks were received, but the digest does not match: the content is fetched again, or
    /// the fetch is given up.
    Corrupt {
        /// True after `MAX_CORRUPT_FETCHES` complete contents with a wrong digest; false if the
        /// content is fetched again.
        given_up: bool,
    },
}

impl ChunkFetch {
    /// Creates a fetch of the rollout's content; `None` if the content is larger than
    /// [`MAX_CONTENT_BYTES`].
    pub fn new(rollout: &Rollout) -> Option<ChunkFetch> {
        let bytes = rollout.bytes as usize;
        (bytes <= MAX_CONTENT_BYTES).then(|| ChunkFetch {
            rollout: rollout.id,
            digest: rollout.digest,
            content: vec![0; bytes],
            received: vec![false; count(bytes) as usize],
            requested_at: 0,
            corrupt_fetches: 0,
        })
    }

    /// Returns the chunks to request now, as the index of the first one and their number; `None`
    /// while a request is pending or if no chunk is missing.
    pub fn next_request(&mut self, now: Nanos) -> Option<(u32, u32)> {
        if now < self.requested_at + CHUNK_TIMEOUT && self.requested_at > 0 {
            return None;
        }
        let first = self.received.iter().position(|received| !received)?;
        let run = self.received[first..]
            .iter()
            .take(CHUNKS_PER_REQUEST as usize)
            .take_while(|received| !**received)
            .count();
        self.requested_at = now;
        Some((first as u32, run as u32))
    }

    /// Stores a chunk. Ignores a chunk that is already stored, is beyond the content's end or has
    /// the wrong size.
    pub fn insert(&mut self, index: u32, bytes: &[u8]) {
        let from = index as usize * CHUNK_BYTES;
        let fits =
            from < self.content.len() && bytes.len() == CHUNK_BYTES.min(self.content.len() - from);
        if !fits || self.received[index as usize] {
            return;
        }
        self.content[from..from + bytes.len()].copy_from_slice(bytes);
        self.received[index as usize] = true;
        // The requested chunks are complete, so the next ones may be requested at once.
        let first = self
            .received
            .iter()
            .position(|received| !received)
            .unwrap_or(self.received.len());
        if first as u32 > index || first.is_multiple_of(CHUNKS_PER_REQUEST as usize) {
            self.requested_at = 0;
        }
    }

    /// Returns the progress of the fetch. A complete content is moved out of the fetch; after a
    /// wrong digest all chunks are fetched again.
    pub fn progress(&mut self) -> FetchProgress {
        if self.received.iter().any(|received| !received) {
            return FetchProgress::Incomplete;
        }
        if digest(&self.content) == self.digest {
            return FetchProgress::Complete(std::mem::take(&mut self.content));
        }
        self.received.fill(false);
        (self.corrupt_fetches, self.requested_at) = (self.corrupt_fetches + 1, 0);
        FetchProgress::Corrupt {
            given_up: self.corrupt_fetches >= MAX_CORRUPT_FETCHES,
        }
    }
}

#[cfg(test)]
mod tests;
