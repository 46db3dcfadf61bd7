//! Idempotency keys and results: like reads can share an answer, and what must run once is known
//! again by its key.

use madderpoint::{Nanos, RequestId};
use std::collections::{BTreeMap, HashMap};

/// The most keys that are retained.
const KEYS_MAX: usize = 8192;
/// Bytes that a key takes in the maps; all keys may take as much as the results.
const KEY_BYTES: usize = 256;
/// The least number of keys, however little memory there is.
const KEYS_LEAST: usize = 16;

/// What a repeat of a request is known by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// The index of its operation.
    pub operation: usize,
    /// What a read is about, or a hash of the key that a rule or the client gave.
    pub subject: u64,
    /// The body's fingerprint, where a rule or the client gave the key. It has no part in what
    /// counts as the same key: one key with two bodies is a client's mistake, and answered as one.
    pub body: Option<u64>,
    /// Whether it is that of what must run once: it is only forgotten if nothing can have run, or
    /// at the end of its window, whatever becomes of the result.
    pub once: bool,
    /// When the request reached the machine: the window counts by this, for what comes within it
    /// may be read later.
    pub arrived: Nanos,
}

/// Operation, subject, and whether the key was given: equal for the same key.
type KeyIdentity = (usize, u64, bool);

impl IdempotencyKey {
    fn identity(&self) -> KeyIdentity {
        (self.operation, self.subject, self.body.is_some())
    }
}

struct Entry {
    id: RequestId,
    key: IdempotencyKey,
    /// What arrived by then is a repeat.
    window_end: Nanos,
    /// Until when such a repeat may still be read.
    expires: Nanos,
    /// The result, and until when it may serve others.
    result: Option<(Vec<u8>, Nanos)>,
}

/// Keys of what is open or done, each with the latest request that has it.
pub struct IdempotencyCache {
    entries: HashMap<KeyIdentity, Entry>,
    by_request: HashMap<RequestId, KeyIdentity>,
    by_expiry: BTreeMap<(Nanos, RequestId), KeyIdentity>,
    /// Bytes of results.
    bytes: usize,
    max_bytes: usize,
    max_keys: usize,
}

impl IdempotencyCache {
    /// A cache for results of this many bytes.
    pub fn new(max_bytes: usize) -> IdempotencyCache {
        IdempotencyCache {
            entries: HashMap::new(),
            by_request: HashMap::new(),
            by_expiry: BTreeMap::new(),
            bytes: 0,
            max_bytes,
            max_keys: (max_bytes / KEY_BYTES).clamp(KEYS_LEAST, KEYS_MAX),
        }
    }

    /// Retains the key of a request; an older request's entry moves to it. What arrives by
    /// `window_end` repeats it, and is read at most `longest_delay` later.
    pub fn retain(
        &mut self,
        now: Nanos,
        id: RequestId,
        key: IdempotencyKey,
        window_end: Nanos,
        longest_delay: Nanos,
    ) {
        self.remove_expired(now);
        let expires = window_end.saturating_add(longest_delay);
        let identity = key.identity();
        if let Some(old) = self.entries.get(&identity).map(|entry| entry.id) {
            self.release(old);
        }
        if self.entries.len() < self.max_keys {
            self.entries.insert(
                identity,
                Entry {
                    id,
                    key,
                    window_end,
                    expires,
                    result: None,
                },
            );
            self.by_request.insert(id, identity);
            self.by_expiry.insert((expires, id), identity);
        }
    }

    /// Whether there is room for one more key.
    pub fn has_room(&mut self, now: Nanos) -> bool {
        self.remove_expired(now);
        self.entries.len() < self.max_keys
    }

    /// Whether a key belongs to a request with another body.
    pub fn conflicts(&mut self, now: Nanos, key: &IdempotencyKey) -> bool {
        self.remove_expired(now);
        let entry = self
            .entries
            .get(&key.identity())
            .filter(|entry| key.arrived <= entry.window_end);
        entry.is_some_and(|entry| entry.key.body != key.body)
    }

    /// A request ended without a result. What must run once and may have run stays known; a repeat
    /// is answered with an error, for nothing says how it went.
    pub fn ended_without_result(&mut self, id: RequestId, may_have_run: bool) {
        let entry = self
            .by_request
            .get(&id)
            .and_then(|identity| self.entries.get(identity));
        if !entry.is_some_and(|entry| entry.key.once && may_have_run) {
            self.release(id);
        }
    }

    /// Removes a request's entry.
    pub fn release(&mut self, id: RequestId) {
        let Some(identity) = self.by_request.remove(&id) else {
            return;
        };
        if let Some(entry) = self.entries.remove(&identity) {
            self.by_expiry.remove(&(entry.expires, id));
            self.bytes -= entry.result.map_or(0, |(result, _)| result.len());
        }
    }

    /// The request that a new one with this key repeats: one still open, or done with a result that
    /// may still serve.
    pub fn original(&mut self, now: Nanos, key: IdempotencyKey) -> Option<RequestId> {
        self.remove_expired(now);
        let entry = self
            .entries
            .get(&key.identity())
            .filter(|entry| key.arrived <= entry.window_end)?;
        entry
            .result
            .as_ref()
            .is_none_or(|&(_, fresh_until)| now <= fresh_until)
            .then_some(entry.id)
    }

    /// Stores the result of a request whose key is retained.
    pub fn store(&mut self, id: RequestId, result: &[u8], fresh_until: Nanos) {
        let Some(entry) = self
            .by_request
            .get(&id)
            .and_then(|identity| self.entries.get_mut(identity))
        else {
            return;
        };
        let once = entry.key.once;
        if self.bytes + result.len() > self.max_bytes {
            // Without its result it is still known to have run.
            if !once {
                self.release(id);
            }
            return;
        }
        self.bytes += result.len();
        let fresh_until = if once { entry.expires } else { fresh_until };
        entry.result = Some((result.to_vec(), fresh_until));
    }

    /// The stored result of a request.
    pub fn result(&self, id: RequestId) -> Option<&[u8]> {
        let entry = self.entries.get(self.by_request.get(&id)?)?;
        entry.result.as_ref().map(|(result, _)| result.as_slice())
    }

    fn remove_expired(&mut self, now: Nanos) {
        while let Some((&(expires, id), _)) = self
            .by_expiry
            .first_key_value()
            .filter(|((expires, _), _)| *expires < now)
        {
            self.by_expiry.remove(&(expires, id));
            self.release(id);
        }
    }
}

#[cfg(test)]
mod tests;
