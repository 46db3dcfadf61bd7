//! The record of limits by key over all nodes: what ran of each key, and what was in hand.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

#[derive(Default)]
struct Key {
    came: Vec<Instant>,
    in_hand: usize,
    most_in_hand: usize,
}

/// The record.
#[derive(Clone, Default)]
pub struct KeyRecord(Arc<Mutex<HashMap<String, Key>>>);

impl KeyRecord {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Key>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One of a key began to run.
    pub fn began(&self, key: &str) {
        let mut keys = self.lock();
        let of = keys.entry(key.to_owned()).or_default();
        of.came.push(Instant::now());
        of.in_hand += 1;
        of.most_in_hand = of.most_in_hand.max(of.in_hand);
    }

    /// It is over.
    pub fn ended(&self, key: &str) {
        if let Some(of) = self.lock().get_mut(key) {
            of.in_hand = of.in_hand.saturating_sub(1);
        }
    }

    /// All that ran.
    pub fn ran(&self) -> usize {
        self.lock().values().map(|of| of.came.len()).sum()
    }

    /// The most that was in hand of any key, and by how many the worst one was over so many a
    /// second with so many saved, in any time.
    pub fn worst(&self, a_second: f64, saved: f64) -> (usize, f64) {
        let (mut in_hand, mut over) = (0, 0f64);
        for of in self.lock().values_mut() {
            in_hand = in_hand.max(of.most_in_hand);
            of.came.sort_unstable();
            let (mut level, mut last) = (0f64, None);
            for came in &of.came {
                let passed = last.map_or(Duration::ZERO, |last| *came - last);
                level = (level - passed.as_secs_f64() * a_second).max(0.0) + 1.0;
                last = Some(*came);
                over = over.max(level - saved);
            }
        }
        (in_hand, over)
    }
}

#[cfg(test)]
mod tests;
