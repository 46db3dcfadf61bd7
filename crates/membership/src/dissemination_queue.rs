//! MemberUpdate that still has to be spread: each piece goes out so many times, those that went out least
//! first.

use crate::member::MemberKey;
use std::collections::{BTreeSet, HashMap};

/// How often each piece is sent, times the decimal logarithm of the fleet's size.
const COPIES: f64 = 4.0;

/// Members of whom news is to be spread.
#[derive(Debug, Default)]
pub struct DisseminationQueue {
    /// How often it went out, when it came (the latest first), and of whom.
    queue: BTreeSet<(u32, std::cmp::Reverse<u64>, MemberKey)>,
    places: HashMap<MemberKey, (u32, u64)>,
    came: u64,
}

/// How often a piece of news is sent by each node of so many.
pub fn copies(members: usize) -> u32 {
    (COPIES * ((members + 1) as f64).log10()).ceil().max(1.0) as u32
}

impl DisseminationQueue {
    /// There is news of a member; what was still to be spread of it is out of date.
    pub fn push(&mut self, key: MemberKey) {
        self.remove_updates(key);
        self.came += 1;
        self.places.insert(key, (0, self.came));
        self.queue.insert((0, std::cmp::Reverse(self.came), key));
    }

    /// Nothing is to be spread of a member any more.
    pub fn remove_updates(&mut self, key: MemberKey) {
        if let Some((sent, came)) = self.places.remove(&key) {
            self.queue.remove(&(sent, std::cmp::Reverse(came), key));
        }
    }

    /// Nothing is to be spread any more of those for whom this does not hold.
    pub fn retain(&mut self, mut holds: impl FnMut(MemberKey) -> bool) {
        let gone: Vec<MemberKey> = self
            .places
            .keys()
            .copied()
            .filter(|key| !holds(*key))
            .collect();
        gone.into_iter().for_each(|key| self.remove_updates(key));
    }

    pub fn len(&self) -> usize {
        self.queue.len()
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Hands out members of whom news goes into a datagram, as long as `fits` takes them; each
    /// counts as sent.
    pub fn take(&mut self, members: usize, mut fits: impl FnMut(MemberKey) -> bool) {
        let most = copies(members);
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
                self.places.insert(key, (times + 1, came.0));
            } else {
                self.places.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests;
