//! The table of exact key states, in slots that are reused after removal.

use crate::Nanos;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::ops::{Index, IndexMut};

/// The state of one key in one bucket.
#[derive(Clone, Copy, Debug)]
pub struct KeyState {
    /// Id of the bucket, which no other definition of a bucket ever has.
    pub bucket: u32,
    /// Hash of the key.
    pub key: u64,
    /// Theoretical arrival time: the time of the next request if requests arrived at an even rate.
    pub due: Nanos,
    /// Number of admitted requests of the key that have not ended.
    pub in_flight: u32,
}

/// A cheap hash over the integers of a table key. Keys already come from a hash with a secret, so a
/// client cannot provoke collisions and no stronger hash is needed.
#[derive(Clone, Copy, Default)]
struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        bytes
            .iter()
            .for_each(|byte| self.write_u64(u64::from(*byte)));
    }
    fn write_u32(&mut self, word: u32) {
        self.write_u64(u64::from(word));
    }
    fn write_u64(&mut self, word: u64) {
        self.0 = (self.0.rotate_left(5) ^ word).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
}

/// The table of exact key states, with an index by bucket and key.
pub struct KeyTable {
    by_key: HashMap<(u32, u64), u32, BuildHasherDefault<KeyHasher>>,
    entries: slab::Slab<KeyState>,
    /// One more than the highest slot that was ever in use.
    slots: usize,
    max_entries: usize,
}

impl KeyTable {
    /// Bytes that one key takes: 40 for the entry, 56 for its place in the hash map (which is at
    /// least seven sixteenths full after it has doubled) and 12 for its link in the timer wheel.
    pub const ENTRY_BYTES: usize = 40 + 56 + 12;

    /// Returns an empty table for at most `max_entries` keys.
    pub fn new(max_entries: usize) -> KeyTable {
        KeyTable {
            by_key: HashMap::default(),
            entries: slab::Slab::new(),
            slots: 0,
            max_entries,
        }
    }

    /// Returns the slot of a key, if the key has an entry.
    pub fn find(&self, bucket: u32, key: u64) -> Option<usize> {
        self.by_key.get(&(bucket, key)).map(|index| *index as usize)
    }

    /// Returns whether the table has no room for another key.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.max_entries
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of slots that are or were in use, at least 1.
    pub fn slots(&self) -> usize {
        self.slots.max(1)
    }

    /// Returns the entry at a slot, if the slot is in use.
    pub fn get(&self, index: usize) -> Option<&KeyState> {
        self.entries.get(index)
    }

    /// Adds an entry and returns its slot.
    pub fn insert(&mut self, entry: KeyState) -> usize {
        let index = self.entries.insert(entry);
        self.slots = self.slots.max(index + 1);
        self.by_key.insert((entry.bucket, entry.key), index as u32);
        index
    }

    /// Removes and returns the entry at a slot, if the slot is in use.
    pub fn remove(&mut self, index: usize) -> Option<KeyState> {
        let entry = self.entries.try_remove(index)?;
        self.by_key.remove(&(entry.bucket, entry.key));
        Some(entry)
    }

    /// Returns the slots of all entries for which `matches` returns true.
    pub fn slots_where(&self, matches: impl Fn(&KeyState) -> bool) -> Vec<usize> {
        self.entries
            .iter()
            .filter(|(_, entry)| matches(entry))
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the memory that the table takes, in bytes.
    pub fn bytes(&self) -> usize {
        self.by_key.capacity() * 25 + self.entries.capacity() * 40
    }
}

impl Index<usize> for KeyTable {
    type Output = KeyState;
    fn index(&self, index: usize) -> &KeyState {
        &self.entries[index]
    }
}

impl IndexMut<usize> for KeyTable {
    fn index_mut(&mut self, index: usize) -> &mut KeyState {
        &mut self.entries[index]
    }
}
