//! Keys of reads and their results, kept so that like reads can share an answer.

use madderpoint::{InvId, Nanos};
use std::collections::{BTreeMap, HashMap};

/// Keys kept at most.
const KEYS_MAX: usize = 8192;

/// What a read is about: its operation and its subject.
pub type Key = (usize, u64);

struct Entry {
    id: InvId,
    until: Nanos,
    /// The result, and until when it may serve others.
    result: Option<(Vec<u8>, Nanos)>,
}

/// Keys of what is open or done, each with the latest invocation that holds it.
pub struct Kept {
    entries: HashMap<Key, Entry>,
    keys: HashMap<InvId, Key>,
    expiry: BTreeMap<(Nanos, InvId), Key>,
    bytes: usize,
    most_bytes: usize,
}

impl Kept {
    /// Room for results of so many bytes.
    pub fn new(most_bytes: usize) -> Kept {
        let (entries, keys, expiry) = Default::default();
        Kept { entries, keys, expiry, bytes: 0, most_bytes }
    }

    /// Remembers a key for an invocation; an older one's entry moves to it.
    pub fn remember(&mut self, now: Nanos, id: InvId, key: Key, until: Nanos) {
        self.sweep(now);
        if let Some(old) = self.entries.get(&key).map(|e| e.id) {
            self.forget(old);
        }
        if self.entries.len() < KEYS_MAX {
            self.entries.insert(key, Entry { id, until, result: None });
            self.keys.insert(id, key);
            self.expiry.insert((until, id), key);
        }
    }

    /// Removes an invocation's entry.
    pub fn forget(&mut self, id: InvId) {
        let Some(key) = self.keys.remove(&id) else { return };
        if let Some(entry) = self.entries.remove(&key) {
            self.expiry.remove(&(entry.until, id));
            self.bytes -= entry.result.map_or(0, |(r, _)| r.len());
        }
    }

    /// The invocation that a new read of this key repeats: one still open, or done and fresh.
    pub fn original(&mut self, now: Nanos, key: Key) -> Option<InvId> {
        self.sweep(now);
        let entry = self.entries.get(&key)?;
        entry.result.as_ref().is_none_or(|&(_, fresh_until)| now <= fresh_until).then_some(entry.id)
    }

    /// Keeps the result of a run whose key is remembered.
    pub fn keep(&mut self, id: InvId, result: &[u8], fresh_until: Nanos) {
        let Some(entry) = self.keys.get(&id).and_then(|key| self.entries.get_mut(key)) else { return };
        if self.bytes + result.len() > self.most_bytes {
            return self.forget(id);
        }
        self.bytes += result.len();
        entry.result = Some((result.to_vec(), fresh_until));
    }

    /// The kept result of an invocation.
    pub fn result(&self, id: InvId) -> Option<&[u8]> {
        let entry = self.entries.get(self.keys.get(&id)?)?;
        entry.result.as_ref().map(|(result, _)| result.as_slice())
    }

    fn sweep(&mut self, now: Nanos) {
        while let Some((&(until, id), _)) =
            self.expiry.first_key_value().filter(|((until, _), _)| *until < now)
        {
            self.expiry.remove(&(until, id));
            self.forget(id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BYTES_MAX: usize = 1 << 20;

    #[test]
    fn entries_end_with_their_lifetimes_and_are_bounded() {
        let mut kept = Kept::new(BYTES_MAX);
        for n in 0..KEYS_MAX as u64 + 10 {
            kept.remember(0, InvId(n), (0, n), 100);
        }
        assert_eq!((kept.entries.len(), kept.expiry.len()), (KEYS_MAX, KEYS_MAX));
        let result = vec![7; 4096];
        (0..KEYS_MAX as u64).for_each(|n| kept.keep(InvId(n), &result, 50));
        assert_eq!((kept.bytes, kept.entries.len()), (BYTES_MAX, BYTES_MAX / 4096));
        assert_eq!(kept.original(50, (0, 1)), Some(InvId(1)));
        assert_eq!(kept.original(51, (0, 1)), None);
        assert_eq!(kept.result(InvId(1)), Some(&result[..]));
        assert_eq!(kept.original(101, (0, 1)), None);
        assert_eq!((kept.bytes, kept.entries.len(), kept.keys.len()), (0, 0, 0));
    }

    #[test]
    fn a_newer_read_takes_the_entry_over() {
        let mut kept = Kept::new(BYTES_MAX);
        kept.remember(0, InvId(1), (0, 9), 100);
        kept.remember(0, InvId(2), (0, 9), 100);
        kept.forget(InvId(1));
        assert_eq!(kept.original(0, (0, 9)), Some(InvId(2)));
    }
}
