//! Keys and results, kept so that like reads can share an answer, and so that what must run once is known again by its
//! key.

use madderpoint::{InvId, Nanos};
use std::collections::{BTreeMap, HashMap};

/// Keys kept at most, and what one takes in the maps; they may take as much as the results.
const KEYS_MAX: usize = 8192;
const KEY_BYTES: usize = 256;
/// However little room there is, a few are kept.
const KEYS_LEAST: usize = 16;

/// What an invocation is known again by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    /// Its operation.
    pub op: usize,
    /// What a read is about, or the key that a rule gave.
    pub subject: u64,
    /// The body's fingerprint, where a rule gave the key. It takes no part in what is alike: one key with two bodies
    /// is a mistake of the callers, which is told.
    pub body: Option<u64>,
    /// Whether it is that of what must run once: then it is only forgotten if nothing can have run, or when its window
    /// is over, whatever becomes of the result.
    pub once: bool,
}

impl Key {
    fn alike(&self) -> (usize, u64, bool) {
        (self.op, self.subject, self.body.is_some())
    }
}

type Alike = (usize, u64, bool);

struct Entry {
    id: InvId,
    key: Key,
    until: Nanos,
    /// The result, and until when it may serve others.
    result: Option<(Vec<u8>, Nanos)>,
}

/// Keys of what is open or done, each with the latest invocation that holds it.
pub struct Kept {
    entries: HashMap<Alike, Entry>,
    keys: HashMap<InvId, Alike>,
    expiry: BTreeMap<(Nanos, InvId), Alike>,
    bytes: usize,
    most_bytes: usize,
    most_keys: usize,
}

impl Kept {
    /// Room for results of so many bytes.
    pub fn new(most_bytes: usize) -> Kept {
        let (entries, keys, expiry) = Default::default();
        let most_keys = (most_bytes / KEY_BYTES).clamp(KEYS_LEAST, KEYS_MAX);
        Kept { entries, keys, expiry, bytes: 0, most_bytes, most_keys }
    }

    /// Remembers a key for an invocation; an older one's entry moves to it.
    pub fn remember(&mut self, now: Nanos, id: InvId, key: Key, until: Nanos) {
        self.sweep(now);
        let alike = key.alike();
        if let Some(old) = self.entries.get(&alike).map(|e| e.id) {
            self.forget(old);
        }
        if self.entries.len() < self.most_keys {
            self.entries.insert(alike, Entry { id, key, until, result: None });
            self.keys.insert(id, alike);
            self.expiry.insert((until, id), alike);
        }
    }

    /// Whether there is room for one more key.
    pub fn has_room(&mut self, now: Nanos) -> bool {
        self.sweep(now);
        self.entries.len() < self.most_keys
    }

    /// Whether a key is taken by an invocation with another body.
    pub fn conflicts(&mut self, now: Nanos, key: &Key) -> bool {
        self.sweep(now);
        self.entries.get(&key.alike()).is_some_and(|entry| entry.key.body != key.body)
    }

    /// An invocation is over and left no result. What must run once and may have run stays known; a repeat is told of
    /// an error, for nothing says how it went.
    pub fn over(&mut self, id: InvId, may_have_run: bool) {
        let entry = self.keys.get(&id).and_then(|key| self.entries.get(key));
        if !entry.is_some_and(|entry| entry.key.once && may_have_run) {
            self.forget(id);
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
        let entry = self.entries.get(&key.alike())?;
        entry.result.as_ref().is_none_or(|&(_, fresh_until)| now <= fresh_until).then_some(entry.id)
    }

    /// Keeps the result of a run whose key is remembered.
    pub fn keep(&mut self, id: InvId, result: &[u8], fresh_until: Nanos) {
        let Some(entry) = self.keys.get(&id).and_then(|key| self.entries.get_mut(key)) else { return };
        let once = entry.key.once;
        if self.bytes + result.len() > self.most_bytes {
            // Without its result it is still known to have run.
            if !once {
                self.forget(id);
            }
            return;
        }
        self.bytes += result.len();
        let fresh_until = if once { entry.until } else { fresh_until };
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

    fn read(subject: u64) -> Key {
        Key { op: 0, subject, body: None, once: false }
    }

    fn once(subject: u64, body: u64) -> Key {
        Key { op: 0, subject, body: Some(body), once: true }
    }

    #[test]
    fn what_must_run_once_stays_known_whatever_becomes_of_its_result() {
        let mut kept = Kept::new(8);
        kept.remember(0, InvId(1), once(5, 77), 100);
        assert!(!kept.conflicts(0, &once(5, 77)) && kept.conflicts(0, &once(5, 78)));
        assert_eq!((kept.original(0, read(5)), kept.original(0, once(5, 77))), (None, Some(InvId(1))));
        // The result is too large to be kept, and then the invocation is let go of.
        kept.keep(InvId(1), &[0; 9], 1);
        kept.over(InvId(1), true);
        assert_eq!((kept.original(99, once(5, 77)), kept.result(InvId(1))), (Some(InvId(1)), None));
        assert_eq!(kept.original(101, once(5, 77)), None, "its window is over");
        // One that can't have run may come again; a result that fits serves for the whole window.
        kept.remember(200, InvId(2), once(6, 1), 300);
        kept.over(InvId(2), false);
        assert_eq!(kept.original(200, once(6, 1)), None);
        kept.remember(200, InvId(3), once(6, 1), 300);
        kept.keep(InvId(3), &[1; 8], 201);
        assert_eq!(
            (kept.original(300, once(6, 1)), kept.result(InvId(3))),
            (Some(InvId(3)), Some(&[1; 8][..]))
        );
    }

    #[test]
    fn entries_end_with_their_lifetimes_and_are_bounded() {
        let mut kept = Kept::new(BYTES_MAX);
        let most = kept.most_keys;
        for n in 0..most as u64 + 10 {
            kept.remember(0, InvId(n), read(n), 100);
        }
        assert_eq!((kept.entries.len(), kept.expiry.len()), (most, most));
        let result = vec![7; 4096];
        (0..most as u64).for_each(|n| kept.keep(InvId(n), &result, 50));
        assert_eq!((kept.bytes, kept.entries.len()), (BYTES_MAX, BYTES_MAX / 4096));
        assert_eq!(kept.original(50, read(1)), Some(InvId(1)));
        assert_eq!(kept.original(51, read(1)), None);
        assert_eq!(kept.result(InvId(1)), Some(&result[..]));
        assert_eq!(kept.original(101, read(1)), None);
        assert_eq!((kept.bytes, kept.entries.len(), kept.keys.len()), (0, 0, 0));
    }

    #[test]
    fn a_newer_read_takes_the_entry_over() {
        let mut kept = Kept::new(BYTES_MAX);
        kept.remember(0, InvId(1), read(9), 100);
        kept.remember(0, InvId(2), read(9), 100);
        kept.forget(InvId(1));
        assert_eq!(kept.original(0, read(9)), Some(InvId(2)));
    }
}
