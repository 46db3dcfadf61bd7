//! Keys with a state of their own, in places that are used again.

use crate::Nanos;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::ops::{Index, IndexMut};

/// A key's state.
#[derive(Clone, Copy, Debug)]
pub struct KeyState {
    pub bucket: u32,
    pub key: u64,
    /// The theoretical arrival time: when a next one would come evenly.
    pub due: Nanos,
    pub in_hand: u32,
}

/// Keys are numbers that came out of a hash with a secret, so that they need no other.
#[derive(Clone, Copy, Default)]
struct Plain(u64);

impl Hasher for Plain {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.write_u64(u64::from(*b)));
    }
    fn write_u32(&mut self, n: u32) {
        self.write_u64(u64::from(n));
    }
    fn write_u64(&mut self, n: u64) {
        self.0 = (self.0.rotate_left(5) ^ n).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
}

pub struct KeyTable {
    by_key: HashMap<(u32, u64), u32, BuildHasherDefault<Plain>>,
    entries: slab::Slab<KeyState>,
    /// Places that were ever in use.
    places: usize,
    most: usize,
}

impl KeyTable {
    /// What a key takes: its entry, its place in the map (which is at least seven sixteenths full
    /// after it has doubled) and its link in the wheel.
    pub const ENTRY_BYTES: usize = 40 + 56 + 12;

    pub fn new(most: usize) -> KeyTable {
        KeyTable {
            by_key: HashMap::default(),
            entries: slab::Slab::new(),
            places: 0,
            most,
        }
    }

    pub fn find(&self, bucket: u32, key: u64) -> Option<usize> {
        self.by_key.get(&(bucket, key)).map(|at| *at as usize)
    }

    pub fn is_full(&self) -> bool {
        self.entries.len() >= self.most
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Places that are or were in use.
    pub fn places(&self) -> usize {
        self.places.max(1)
    }

    pub fn get(&self, at: usize) -> Option<&KeyState> {
        self.entries.get(at)
    }

    pub fn insert(&mut self, entry: KeyState) -> usize {
        let at = self.entries.insert(entry);
        self.places = self.places.max(at + 1);
        self.by_key.insert((entry.bucket, entry.key), at as u32);
        at
    }

    pub fn remove(&mut self, at: usize) -> Option<KeyState> {
        let entry = self.entries.try_remove(at)?;
        self.by_key.remove(&(entry.bucket, entry.key));
        Some(entry)
    }

    /// Places whose entries are like this.
    pub fn places_where(&self, is: impl Fn(&KeyState) -> bool) -> Vec<usize> {
        self.entries
            .iter()
            .filter(|(_, e)| is(e))
            .map(|(at, _)| at)
            .collect()
    }

    pub fn bytes(&self) -> usize {
        self.by_key.capacity() * 25 + self.entries.capacity() * 40
    }
}

impl Index<usize> for KeyTable {
    type Output = KeyState;
    fn index(&self, at: usize) -> &KeyState {
        &self.entries[at]
    }
}

impl IndexMut<usize> for KeyTable {
    fn index_mut(&mut self, at: usize) -> &mut KeyState {
        &mut self.entries[at]
    }
}
