//! Queue of updates to disseminate. Each update is sent a bounded number of times, and the updates
//! that were sent least often go first.

use crate::member::MemberKey;
use std::collections::{BTreeSet, HashMap};

/// Number of transmissions of an update by each node, divided by the decimal logarithm of the
/// cluster size.
const TRANSMISSIONS_FACTOR: f64 = 4.0;

/// Members about which updates are to be sent.
#[derive(Debug, Default)]
pub struct DisseminationQueue {
    /// For each queued member: number of transmissions so far, sequence number (the latest first),
    /// and key.
    queue: BTreeSet<(u32, std::cmp::Reverse<u64>, MemberKey)>,
    /// Number of transmissions so far and sequence number of each queued member.
    positions: HashMap<MemberKey, (u32, u64)>,
    last_sequence: u64,
}

/// Returns how many times each node of a cluster with `members` members sends an update.
pub fn transmissions(members: usize) -> u32 {
    (TRANSMISSIONS_FACTOR * ((members + 1) as f64).log10())
        .ceil()
        .max(1.0) as u32
}

impl DisseminationQueue {
    /// Queues the latest update about a member, in place of an older one. The update counts as not
    /// yet sent.
    pub fn push(&mut self, key: MemberKey) {
        self.remove_updates(key);
        self.last_sequence += 1;
        self.positions.insert(key, (0, self.last_sequence));
        self.queue
            .insert((0, std::cmp::Reverse(self.last_sequence), key));
    }

    /// Removes the queued update about a member, if any.
    pub fn remove_updates(&mut self, key: MemberKey) {
        if let Some((sent, sequence)) = self.positions.remove(&key) {
            self.queue.remove(&(sent, std::cmp::Reverse(sequence), key));
        }
    }

    /// Keeps only the members for which `holds` returns true.
    pub fn retain(&mut self, mut holds: impl FnMut(MemberKey) -> bool) {
        let removed: Vec<MemberKey> = self
            .positions
            .keys()
            .copied()
            .filter(|key| !holds(*key))
            .collect();
        removed.into_iter().for_each(|key| self.remove_updates(key));
    }

    /// Returns the number of members queued.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no member is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Offers queued members to `fits` until it returns false. Each accepted member counts as sent
    /// once more and leaves the queue after the last transmission in a cluster with `members`
    /// members.
    pub fn take(&mut self, members: usize, mut fits: impl FnMut(MemberKey) -> bool) {
        let sent_max = transmissions(members);
        let mut sent = Vec::new();
        for (sent_before, sequence, key) in &self.queue {
            if !fits(*key) {
                break;
            }
            sent.push((*sent_before, *sequence, *key));
        }
        for (sent_before, sequence, key) in sent {
            self.queue.remove(&(sent_before, sequence, key));
            if sent_before + 1 < sent_max {
                self.queue.insert((sent_before + 1, sequence, key));
                self.positions.insert(key, (sent_before + 1, sequence.0));
            } else {
                self.positions.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests;
