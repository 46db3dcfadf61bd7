//! Keys and results, kept so that like reads can share an answer, and so that what must run once is
//! known again by its key.

use madderpoint::{Nanos, RequestId};
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
    /// The body's fingerprint, where a rule gave the key. It takes no part in what is alike: one
    /// key with two bodies is a mistake of the callers, which is told.
    pub body: Option<u64>,
    /// Whether it is that of what must run once: then it is only forgotten if nothing can have run,
    /// or when its window is over, whatever becomes of the result.
    pub once: bool,
    /// When what bears it reached the machine: the window is judged by this, for what comes within
    /// it may be read later.
    pub arrived: Nanos,
}

impl Key {
    fn alike(&self) -> (usize, u64, bool) {
        (self.op, self.subject, self.body.is_some())
    }
}

type Alike = (usize, u64, bool);

struct Entry {
    id: RequestId,
    key: Key,
    /// What arrived by then repeats it; and until when one of those may still be read.
    window: Nanos,
    until: Nanos,
    /// The result, and until when it may serve others.
    result: Option<(Vec<u8>, Nanos)>,
}

/// Keys of what is open or done, each with the latest invocation that holds it.
pub struct IdempotencyCache {
    entries: HashMap<Alike, Entry>,
    keys: HashMap<RequestId, Alike>,
    expiry: BTreeMap<(Nanos, RequestId), Alike>,
    bytes: usize,
    most_bytes: usize,
    most_keys: usize,
}

impl IdempotencyCache {
    /// CapacityLimits for results of so many bytes.
    pub fn new(most_bytes: usize) -> IdempotencyCache {
        let (entries, keys, expiry) = Default::default();
        let most_keys = (most_bytes / KEY_BYTES).clamp(KEYS_LEAST, KEYS_MAX);
        IdempotencyCache {
            entries,
            keys,
            expiry,
            bytes: 0,
            most_bytes,
            most_keys,
        }
    }

    /// Remembers a key for an invocation; an older one's entry moves to it. What arrives within the
    /// window repeats it, and is read at most so much later.
    pub fn remember(&mut self, now: Nanos, id: RequestId, key: Key, window: Nanos, late: Nanos) {
        self.sweep(now);
        let until = window.saturating_add(late);
        let alike = key.alike();
        if let Some(old) = self.entries.get(&alike).map(|e| e.id) {
            self.forget(old);
        }
        if self.entries.len() < self.most_keys {
            self.entries.insert(
                alike,
                Entry {
                    id,
                    key,
                    window,
                    until,
                    result: None,
                },
            );
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
        let entry = self
            .entries
            .get(&key.alike())
            .filter(|entry| key.arrived <= entry.window);
        entry.is_some_and(|entry| entry.key.body != key.body)
    }

    /// An invocation is over and left no result. What must run once and may have run stays known; a
    /// repeat is told of an error, for nothing says how it went.
    pub fn over(&mut self, id: RequestId, may_have_run: bool) {
        let entry = self.keys.get(&id).and_then(|key| self.entries.get(key));
        if !entry.is_some_and(|entry| entry.key.once && may_have_run) {
            self.forget(id);
        }
    }

    /// Removes an invocation's entry.
    pub fn forget(&mut self, id: RequestId) {
        let Some(key) = self.keys.remove(&id) else {
            return;
        };
        if let Some(entry) = self.entries.remove(&key) {
            self.expiry.remove(&(entry.until, id));
            self.bytes -= entry.result.map_or(0, |(r, _)| r.len());
        }
    }

    /// The invocation that a new read of this key repeats: one still open, or done and fresh.
    pub fn original(&mut self, now: Nanos, key: Key) -> Option<RequestId> {
        self.sweep(now);
        let entry = self
            .entries
            .get(&key.alike())
            .filter(|entry| key.arrived <= entry.window)?;
        entry
            .result
            .as_ref()
            .is_none_or(|&(_, fresh_until)| now <= fresh_until)
            .then_some(entry.id)
    }

    /// Keeps the result of a run whose key is remembered.
    pub fn keep(&mut self, id: RequestId, result: &[u8], fresh_until: Nanos) {
        let Some(entry) = self.keys.get(&id).and_then(|key| self.entries.get_mut(key)) else {
            return;
        };
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
    pub fn result(&self, id: RequestId) -> Option<&[u8]> {
        let entry = self.entries.get(self.keys.get(&id)?)?;
        entry.result.as_ref().map(|(result, _)| result.as_slice())
    }

    fn sweep(&mut self, now: Nanos) {
        while let Some((&(until, id), _)) = self
            .expiry
            .first_key_value()
            .filter(|((until, _), _)| *until < now)
        {
            self.expiry.remove(&(until, id));
            self.forget(id);
        }
    }
}

#[cfg(test)]
mod tests;
