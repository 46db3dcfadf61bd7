//! Correlation ids of requests that must not run twice and that no idempotency key protects.
//!
//! The protocol gives each try a new id. A load balancer that lost a connection may still send a
//! request again under its id, as it does for one that crossed a close; the first try may have run.

use madderpoint::Nanos;
use std::collections::{BTreeSet, HashMap};

/// Ids of requests that may have run, until their clients no longer wait.
#[derive(Debug)]
pub struct ExecutedIds {
    max_ids: usize,
    expiry_by_id: HashMap<String, Nanos>,
    by_expiry: BTreeSet<(Nanos, String)>,
}

impl ExecutedIds {
    /// Creates an empty set of at most `max_ids` ids. Beyond them, those that expire first are
    /// dropped.
    pub fn new(max_ids: usize) -> ExecutedIds {
        ExecutedIds {
            max_ids,
            expiry_by_id: HashMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }

    /// Adds an id that is kept until `expires`.
    pub fn insert(&mut self, now: Nanos, id: String, expires: Nanos) {
        self.remove_expired(now);
        if let Some(earlier) = self.expiry_by_id.insert(id.clone(), expires) {
            self.by_expiry.remove(&(earlier, id.clone()));
        }
        self.by_expiry.insert((expires, id));
        if self.by_expiry.len() > self.max_ids {
            self.remove_first();
        }
    }

    /// Returns whether a request with this id may have run, and its client may still wait.
    pub fn contains(&mut self, now: Nanos, id: &str) -> bool {
        self.remove_expired(now);
        self.expiry_by_id.contains_key(id)
    }

    fn remove_expired(&mut self, now: Nanos) {
        while self
            .by_expiry
            .first()
            .is_some_and(|(expires, _)| *expires <= now)
        {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, id)) = self.by_expiry.pop_first() {
            self.expiry_by_id.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
