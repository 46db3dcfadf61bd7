//! Exact states of keys, in slots that are used again.

use crate::Nanos;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::ops::{Index, IndexMut};

/// A key's state.
#[derive(Clone, Copy, Debug)]
pub struct KeyState {
    /// The bucket's id.
    pub bucket: u32,
    /// The key's number.
    pub key: u64,
    /// The theoretical arrival time: when the next one would come at an even rate.
    pub due: Nanos,
    /// How many are in flight.
    pub in_flight: u32,
}

/// Combines the words of a key. Keys are numbers from a hash with a secret, so they need no other.
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

/// The table of exact states.
pub struct KeyTable {
    by_key: HashMap<(u32, u64), u32, BuildHasherDefault<KeyHasher>>,
    entries: slab::Slab<KeyState>,
    /// Slots that were ever in use.
    slots: usize,
    max_entries: usize,
}

impl KeyTable {
    /// Bytes of a key: its entry, its place in the map (which is at least seven sixteenths full after
    /// it has doubled) and its link in the timer wheel.
    pub const ENTRY_BYTES: usize = 40 + 56 + 12;

    /// An empty table.
    pub fn new(max_entries: usize) -> KeyTable {
        KeyTable {
            by_key: HashMap::default(),
            entries: slab::Slab::new(),
            slots: 0,
            max_entries,
        }
    }

    /// The slot of a key.
    pub fn find(&self, bucket: u32, key: u64) -> Option<usize> {
        self.by_key.get(&(bucket, key)).map(|index| *index as usize)
    }

    /// Whether there is no room for another key.
    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.max_entries
    }

    /// How many keys there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Slots that are or were in use, at least 1.
    pub fn slots(&self) -> usize {
        self.slots.max(1)
    }

    /// The entry at a slot, if there is one.
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

    /// Removes the entry at a slot, if there is one.
    pub fn remove(&mut self, index: usize) -> Option<KeyState> {
        let entry = self.entries.try_remove(index)?;
        self.by_key.remove(&(entry.bucket, entry.key));
        Some(entry)
    }

    /// Slots of the entries for which this returns true.
    pub fn slots_where(&self, matches: impl Fn(&KeyState) -> bool) -> Vec<usize> {
        self.entries
            .iter()
            .filter(|(_, entry)| matches(entry))
            .map(|(index, _)| index)
            .collect()
    }

    /// Bytes that it takes.
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
