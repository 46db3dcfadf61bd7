//! The record of executions by key over all nodes, used to check keyed quotas.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

#[derive(Default)]
struct KeyHistory {
    /// Begin times of all executions of the key.
    started: Vec<Instant>,
    in_flight: usize,
    most_in_flight: usize,
}

/// The record of executions by key. Clones share the record.
#[derive(Clone, Default)]
pub struct KeyRecord(Arc<Mutex<HashMap<String, KeyHistory>>>);

impl KeyRecord {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, KeyHistory>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an execution of a key began.
    pub fn started(&self, key: &str) {
        let mut keys = self.lock();
        let history = keys.entry(key.to_owned()).or_default();
        history.started.push(Instant::now());
        history.in_flight += 1;
        history.most_in_flight = history.most_in_flight.max(history.in_flight);
    }

    /// Records that an execution of a key ended.
    pub fn ended(&self, key: &str) {
        if let Some(history) = self.lock().get_mut(key) {
            history.in_flight = history.in_flight.saturating_sub(1);
        }
    }

    /// Returns the number of executions that began, over all keys.
    pub fn execution_count(&self) -> usize {
        self.lock()
            .values()
            .map(|history| history.started.len())
            .sum()
    }

    /// Returns the maximum number of executions of one key in flight, and by how many executions
    /// the worst key exceeded a token bucket. `rate` is in executions per second, `burst` in
    /// executions.
    pub fn worst(&self, rate: f64, burst: f64) -> (usize, f64) {
        let (mut in_flight, mut excess) = (0, 0f64);
        for history in self.lock().values_mut() {
            in_flight = in_flight.max(history.most_in_flight);
            history.started.sort_unstable();
            let (mut level, mut last) = (0f64, None);
            for started in &history.started {
                let passed = last.map_or(Duration::ZERO, |last| *started - last);
                level = (level - passed.as_secs_f64() * rate).max(0.0) + 1.0;
                last = Some(*started);
                excess = excess.max(level - burst);
            }
        }
        (in_flight, excess)
    }
}

#[cfg(test)]
mod tests;
