//! The idempotency cache: keys of requests and their results. Equal reads can share an answer, and
//! a repeat of a request that must run once is recognized by its key.

use madderpoint::{Nanos, RequestId};
use std::collections::{BTreeMap, HashMap};

/// Maximum number of keys.
const KEYS_MAX: usize = 8192;
/// Memory accounted for one key in the maps, in bytes. All keys together may take as much memory as
/// the results.
const KEY_BYTES: usize = 256;
/// Minimum number of keys, whatever the size of the cache.
const KEYS_MIN: usize = 16;

/// The key by which a repeat of a request is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// Index of the request's operation in the deployment configuration.
    pub operation: usize,
    /// Hash of the subject and body of a read, or of the key that a rule or the client gave.
    pub subject: u64,
    /// Fingerprint of the body, if a rule or the client gave the key. It does not take part in the
    /// comparison of keys: the same key with two bodies is a client error and is answered as one.
    pub body: Option<u64>,
    /// Whether the request must run at most once. Such a key is removed only if the request cannot
    /// have run, or at the end of its window, whether or not the result is stored.
    pub once: bool,
    /// When the request reached the machine. The window is compared with this time, because a
    /// request that arrives within the window may be read after its end.
    pub arrived: Nanos,
}

/// Operation, subject, and whether a rule or the client gave the key. Equal for equal keys.
type KeyIdentity = (usize, u64, bool);

impl IdempotencyKey {
    fn identity(&self) -> KeyIdentity {
        (self.operation, self.subject, self.body.is_some())
    }
}

struct Entry {
    id: RequestId,
    key: IdempotencyKey,
    /// A request with this key that arrived by this time is a repeat.
    window_end: Nanos,
    /// Latest time at which a repeat that arrived by `window_end` may be read.
    expires: Nanos,
    /// The result, and the time until which it may answer repeats.
    result: Option<(Vec<u8>, Nanos)>,
}

/// Keys of open and completed requests, each with the latest request that has the key.
pub struct IdempotencyCache {
    entries: HashMap<KeyIdentity, Entry>,
    by_request: HashMap<RequestId, KeyIdentity>,
    by_expiry: BTreeMap<(Nanos, RequestId), KeyIdentity>,
    /// Size of all stored results together, in bytes.
    bytes: usize,
    max_bytes: usize,
    max_keys: usize,
}

impl IdempotencyCache {
    /// Creates a cache for at most `max_bytes` bytes of results.
    pub fn new(max_bytes: usize) -> IdempotencyCache {
        IdempotencyCache {
            entries: HashMap::new(),
            by_request: HashMap::new(),
            by_expiry: BTreeMap::new(),
            bytes: 0,
            max_bytes,
            max_keys: (max_bytes / KEY_BYTES).clamp(KEYS_MIN, KEYS_MAX),
        }
    }

    /// Retains the key of a request, in place of an older request's entry for the same key. A
    /// request with this key that arrives by `window_end` is a repeat; it is read at most
    /// `longest_delay` nanoseconds after its arrival. Does nothing if the cache has no room for
    /// another key.
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

    /// Returns whether the cache has room for one more key.
    pub fn has_room(&mut self, now: Nanos) -> bool {
        self.remove_expired(now);
        self.entries.len() < self.max_keys
    }

    /// Returns whether the key belongs to a request with a different body.
    pub fn conflicts(&mut self, now: Nanos, key: &IdempotencyKey) -> bool {
        self.remove_expired(now);
        let entry = self
            .entries
            .get(&key.identity())
            .filter(|entry| key.arrived <= entry.window_end);
        entry.is_some_and(|entry| entry.key.body != key.body)
    }

    /// Records that a request ended without a result. The key of a request that must run once and
    /// may have run is kept; repeats are answered with an error, because the outcome is unknown.
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

    /// Returns the request that a new request with this key repeats: one that has no stored result
    /// yet, or one with a result that may still answer repeats.
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

    /// Stores the result of a request whose key is retained. The result may answer repeats until
    /// `fresh_until`, or to the end of the window if the request must run once.
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
            // The key of a request that must run once is kept without the result: it still shows
            // that the request ran.
            if !once {
                self.release(id);
            }
            return;
        }
        self.bytes += result.len();
        let fresh_until = if once { entry.expires } else { fresh_until };
        entry.result = Some((result.to_vec(), fresh_until));
    }

    /// Returns the stored result of a request.
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
