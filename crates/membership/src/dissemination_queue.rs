//! Updates still to be disseminated: each is sent a bounded number of times, the least sent first.

use crate::member::MemberKey;
use std::collections::{BTreeSet, HashMap};

/// Transmissions of an update by each node, times the decimal logarithm of the cluster size.
const TRANSMISSIONS_FACTOR: f64 = 4.0;

/// Members about whom updates are to be sent.
#[derive(Debug, Default)]
pub struct DisseminationQueue {
    /// Transmissions so far, sequence number (the latest first), member.
    queue: BTreeSet<(u32, std::cmp::Reverse<u64>, MemberKey)>,
    positions: HashMap<MemberKey, (u32, u64)>,
    last_sequence: u64,
}

/// How often each node of a cluster of the given size sends an update.
pub fn transmissions(members: usize) -> u32 {
    (TRANSMISSIONS_FACTOR * ((members + 1) as f64).log10())
        .ceil()
        .max(1.0) as u32
}

impl DisseminationQueue {
    /// Queues the latest update about a member, in place of an older one.
    pub fn push(&mut self, key: MemberKey) {
        self.remove_updates(key);
        self.last_sequence += 1;
        self.positions.insert(key, (0, self.last_sequence));
        self.queue
            .insert((0, std::cmp::Reverse(self.last_sequence), key));
    }

    /// Removes the update about a member.
    pub fn remove_updates(&mut self, key: MemberKey) {
        if let Some((sent, came)) = self.positions.remove(&key) {
            self.queue.remove(&(sent, std::cmp::Reverse(came), key));
        }
    }

    /// Keeps only members for which `holds` is true.
    pub fn retain(&mut self, mut holds: impl FnMut(MemberKey) -> bool) {
        let gone: Vec<MemberKey> = self
            .positions
            .keys()
            .copied()
            .filter(|key| !holds(*key))
            .collect();
        gone.into_iter().for_each(|key| self.remove_updates(key));
    }

    /// Number of members queued.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Offers queued members to `fits` until it returns false; each one accepted counts as sent.
    pub fn take(&mut self, members: usize, mut fits: impl FnMut(MemberKey) -> bool) {
        let most = transmissions(members);
        let mut sent = Vec::new();
        for (times, came, key) in &self.queue {
            if !fits(*key) {
                break;
            }
            sent.push((*times, *came, *key));
        }
        for (times, came, key) in sent {
            self.queue.remove(&(times, came, key));
            if times + 1 < most {
                self.queue.insert((times + 1, came, key));
                self.positions.insert(key, (times + 1, came.0));
            } else {
                self.positions.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests;
