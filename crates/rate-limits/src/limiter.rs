//! The limiter of all buckets. A request is admitted by all of its buckets, or is charged to none.
//!
//! A key with requests in flight always has an entry in the table of exact states. A key that is
//! limited only by a rate has an entry while the table has room or while the key is frequent;
//! otherwise its theoretical arrival time is in a sketch.

use crate::bucket::{Bucket, BucketCounters, ExceededLimit, LimitExceeded, Permit};
use crate::key_table::{KeyState, KeyTable};
use crate::sketch::{DueTimeSketch, FrequencySketch};
use crate::timer_wheel::TimerWheel;
use crate::{MILLISECOND, Nanos};

/// Minimum Retry-After when the time at which a bucket has room again can only be estimated, in
/// nanoseconds.
const MIN_RETRY_AFTER: Nanos = 10 * MILLISECOND;
/// Weight of one released permit in the moving average of the hold time of a bucket's permits.
const HOLD_TIME_WEIGHT: f64 = 0.05;
/// Number of slots that one search for an eviction candidate looks at; the least frequent of their
/// entries is evicted for a more frequent key.
const EVICTION_SAMPLE: usize = 8;
/// Maximum number of entries that one call checks for ageing.
const KEYS_AGED_PER_CALL: usize = 64;
/// Divisor of a bucket's limit on the total number of requests in flight. The quotient is reserved
/// for keys with less than an even share of that limit.
const RESERVED_PART: u32 = 8;

/// A bucket's definition, counters and hold time.
struct BucketState {
    /// Id that is unique over all definitions since the limiter was created.
    id: u32,
    bucket: Bucket,
    counters: BucketCounters,
    /// Moving average of the time for which a permit is held, in nanoseconds.
    mean_hold_time: f64,
}

impl BucketState {
    /// Returns an estimate of the time until one of `permits` permits is released, in nanoseconds.
    fn retry_after(&self, permits: u32) -> Nanos {
        MIN_RETRY_AFTER.max((self.mean_hold_time / f64::from(permits.max(1))) as Nanos)
    }

    /// Returns whether a key with `own` requests in flight may have one more within the bucket's
    /// limit on the total number in flight.
    fn has_share(&self, own: u32) -> bool {
        let Some(total) = self.bucket.max_total_in_flight else {
            return true;
        };
        let free = total.saturating_sub(self.counters.in_flight);
        let keys = self.counters.active_keys + u32::from(own == 0);
        let even_share = total.div_ceil(keys.max(1));
        // A part stays free for keys below an even share, so that one key that takes all it can get
        // does not starve the others.
        free > if own < even_share && keys > 1 {
            0
        } else {
            total / RESERVED_PART
        }
    }

    /// Checks the limits for a key with the theoretical arrival time `due` and `own` requests in
    /// flight.
    fn check(&self, now: Nanos, due: Nanos, own: u32) -> Result<(), (ExceededLimit, Nanos)> {
        if let Some(wait) = self
            .bucket
            .rate
            .map(|rate| rate.wait(now, due))
            .filter(|wait| *wait > 0)
        {
            return Err((ExceededLimit::Rate, wait));
        }
        if let Some(most) = self.bucket.max_in_flight.filter(|most| own >= *most) {
            return Err((ExceededLimit::InFlight, self.retry_after(most)));
        }
        if !self.has_share(own) {
            let total = self.bucket.max_total_in_flight.unwrap_or(1);
            return Err((ExceededLimit::Share, self.retry_after(total)));
        }
        Ok(())
    }
}

/// Admits or refuses requests by the limits of the buckets in which they are counted.
pub struct RateLimiter {
    buckets: Vec<BucketState>,
    last_id: u32,
    table: KeyTable,
    wheel: TimerWheel,
    /// Theoretical arrival times of keys without an entry in the table.
    due_times: DueTimeSketch,
    /// Number of recent requests of each key.
    frequencies: FrequencySketch,
    /// Latest time that was passed to the limiter.
    now: Nanos,
    /// Slot of the table after which the next eviction sample begins.
    eviction_cursor: usize,
    evicted: u64,
}

impl RateLimiter {
    /// Returns a limiter without buckets. It takes about `bytes` bytes for any number of keys.
    pub fn new(bytes: usize, seed: u64) -> RateLimiter {
        let entries = (bytes * 3 / 4 / KeyTable::ENTRY_BYTES).max(16);
        let cells = (bytes / 8 / 2).max(64);
        RateLimiter {
            buckets: Vec::new(),
            last_id: 0,
            table: KeyTable::new(entries),
            wheel: TimerWheel::new(),
            due_times: DueTimeSketch::new(cells / 4, seed),
            frequencies: FrequencySketch::new(cells, seed.rotate_left(17)),
            now: 0,
            eviction_cursor: 0,
            evicted: 0,
        }
    }

    /// Replaces the buckets. A bucket whose definition is unchanged keeps its state; the others
    /// start empty. Releasing a permit of a removed definition has no effect.
    pub fn configure(&mut self, now: Nanos, buckets: &[Bucket]) {
        self.now = self.now.max(now);
        let mut before = std::mem::take(&mut self.buckets);
        for bucket in buckets {
            let same = before.iter().position(|state| state.bucket == *bucket);
            let state = same
                .map(|index| before.swap_remove(index))
                .unwrap_or_else(|| {
                    self.last_id += 1;
                    BucketState {
                        id: self.last_id,
                        bucket: bucket.clone(),
                        counters: BucketCounters::default(),
                        mean_hold_time: 0.0,
                    }
                });
            self.buckets.push(state);
        }
        let gone: Vec<u32> = before.iter().map(|state| state.id).collect();
        if !gone.is_empty() {
            for index in self.table.slots_where(|entry| gone.contains(&entry.bucket)) {
                self.remove(index);
            }
        }
    }

    /// Admits a request to buckets, each given by its index in the definitions and the request's
    /// key. The request is admitted by all of them, or is charged to none.
    pub fn acquire(&mut self, now: Nanos, buckets: &[(u16, u64)]) -> Result<Permit, LimitExceeded> {
        self.now = self.now.max(now); // a clock that goes back must not admit a request twice
        self.age_keys();
        for (i, &(bucket, key)) in buckets.iter().enumerate() {
            let is_repeated = buckets[..i].contains(&(bucket, key));
            if !is_repeated && let Err(exceeded) = self.check(bucket, key) {
                if let Some(state) = self.buckets.get_mut(usize::from(bucket)) {
                    state.counters.exceeded[exceeded.limit as usize] += 1;
                }
                return Err(exceeded);
            }
        }
        let mut permit = Permit {
            held: Vec::new(),
            acquired_at: self.now,
        };
        for (i, &(bucket, key)) in buckets.iter().enumerate() {
            if !buckets[..i].contains(&(bucket, key)) {
                self.take(bucket, key, &mut permit);
            }
        }
        Ok(permit)
    }

    /// Checks whether a bucket has room for one more request of a key. If the bucket limits
    /// requests in flight, the key has an entry in the table after a successful check.
    fn check(&mut self, bucket: u16, key: u64) -> Result<(), LimitExceeded> {
        let Some(state) = self.buckets.get(usize::from(bucket)) else {
            return Ok(());
        };
        let (id, counts_in_flight) = (state.id, state.bucket.counts_in_flight());
        let exceeded = |(limit, retry_after)| LimitExceeded {
            bucket,
            limit,
            retry_after,
        };
        self.frequencies.add(id, key);
        let index = self.find_or_insert(id, key, counts_in_flight);
        let state = &self.buckets[usize::from(bucket)];
        let (due, own) = match index {
            Some(index) => (self.table[index].due, self.table[index].in_flight),
            None if counts_in_flight => {
                return Err(exceeded((ExceededLimit::NoMemory, state.retry_after(1))));
            }
            None => (self.due_times.due(id, key), 0),
        };
        state.check(self.now, due, own).map_err(exceeded)
    }

    /// Charges one request of a key to a bucket after a successful check.
    fn take(&mut self, bucket: u16, key: u64, permit: &mut Permit) {
        let Some(state) = self.buckets.get_mut(usize::from(bucket)) else {
            return;
        };
        state.counters.admitted += 1;
        let index = self.table.find(state.id, key);
        if let Some(rate) = state.bucket.rate {
            match index {
                Some(index) => {
                    self.table[index].due = rate.next_due(self.now, self.table[index].due)
                }
                None => {
                    let due = rate.next_due(self.now, self.due_times.due(state.id, key));
                    self.due_times.raise(state.id, key, due);
                }
            }
        }
        if let Some(index) = index.filter(|_| state.bucket.counts_in_flight()) {
            let entry = &mut self.table[index];
            entry.in_flight += 1;
            state.counters.in_flight += 1;
            state.counters.active_keys += u32::from(entry.in_flight == 1);
            permit.held.push((state.id, key));
        }
    }

    /// Returns the permit of an admitted request that has ended.
    pub fn release(&mut self, now: Nanos, permit: Permit) {
        self.now = self.now.max(now);
        let hold_time = self.now.saturating_sub(permit.acquired_at) as f64;
        for (id, key) in permit.held {
            let Some(state) = self.buckets.iter_mut().find(|state| state.id == id) else {
                continue;
            };
            let Some(index) = self.table.find(id, key) else {
                continue;
            };
            let (entry, counters) = (&mut self.table[index], &mut state.counters);
            debug_assert!(
                entry.in_flight > 0 && counters.in_flight > 0,
                "a released unit was acquired before"
            );
            entry.in_flight = entry.in_flight.saturating_sub(1);
            counters.in_flight = counters.in_flight.saturating_sub(1);
            counters.active_keys = counters
                .active_keys
                .saturating_sub(u32::from(entry.in_flight == 0));
            state.mean_hold_time += HOLD_TIME_WEIGHT * (hold_time - state.mean_hold_time);
        }
    }

    // ---- Entries of keys ----

    /// Returns the slot of a key's entry. Inserts the entry if it is required, if the key was
    /// counted more than once recently, or if the table has room.
    fn find_or_insert(&mut self, bucket: u32, key: u64, is_required: bool) -> Option<usize> {
        let index = self.table.find(bucket, key);
        if index.is_some() {
            return index;
        }
        let wants_entry =
            is_required || self.frequencies.of(bucket, key) > 1 || !self.table.is_full();
        if !wants_entry || !self.ensure_slot(bucket, key, is_required) {
            return None;
        }
        // A key that was in the sketch keeps its theoretical arrival time.
        let due = self.due_times.due(bucket, key);
        Some(self.insert(bucket, key, due))
    }

    fn insert(&mut self, bucket: u32, key: u64, due: Nanos) -> usize {
        let index = self.table.insert(KeyState {
            bucket,
            key,
            due,
            in_flight: 0,
        });
        self.wheel.insert(index, self.now, due);
        index
    }

    fn remove(&mut self, index: usize) -> Option<KeyState> {
        self.wheel.remove(index);
        self.table.remove(index)
    }

    /// Returns whether the table has a free slot for a key. Evicts the least frequent entry of a
    /// sample if the slot is required or the key is more frequent than that entry.
    fn ensure_slot(&mut self, bucket: u32, key: u64, is_required: bool) -> bool {
        if !self.table.is_full() {
            return true;
        }
        let mut least: Option<(u32, usize)> = None;
        for _ in 0..EVICTION_SAMPLE {
            self.eviction_cursor = (self.eviction_cursor + 1) % self.table.slots();
            let cursor = self.eviction_cursor;
            let Some(entry) = self.table.get(cursor).filter(|entry| entry.in_flight == 0) else {
                continue;
            };
            if entry.due <= self.now {
                self.remove(cursor);
                return true;
            }
            let frequency = self.frequencies.of(entry.bucket, entry.key);
            if least.is_none_or(|(least, _)| frequency < least) {
                least = Some((frequency, cursor));
            }
        }
        let Some((frequency, index)) = least else {
            return false;
        };
        if !is_required && self.frequencies.of(bucket, key) <= frequency.saturating_add(1) {
            return false;
        }
        if let Some(entry) = self.remove(index) {
            // The sketch takes over the arrival time, so eviction makes no limit more lenient.
            self.due_times.raise(entry.bucket, entry.key, entry.due);
            self.evicted += 1;
        }
        true
    }

    /// Removes keys without requests in flight whose theoretical arrival time has passed, at most
    /// `KEYS_AGED_PER_CALL` in each call.
    fn age_keys(&mut self) {
        for _ in 0..KEYS_AGED_PER_CALL {
            let Some(index) = self.wheel.next_due(self.now) else {
                return;
            };
            let Some(entry) = self.table.get(index) else {
                continue;
            };
            if entry.in_flight == 0 && entry.due <= self.now {
                self.table.remove(index);
            } else {
                let due = entry.due;
                self.wheel.insert(index, self.now, due);
            }
        }
    }

    // ---- Statistics ----

    /// Returns the name and the counters of each bucket, in the order of the definitions.
    pub fn counters(&self) -> impl Iterator<Item = (&str, BucketCounters)> {
        self.buckets
            .iter()
            .map(|state| (state.bucket.name.as_str(), state.counters))
    }

    /// Returns the number of keys with an exact state.
    pub fn tracked_keys(&self) -> usize {
        self.table.len()
    }

    /// Returns the number of keys evicted for more frequent ones since the limiter was created.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Returns the memory that the limiter takes, in bytes.
    pub fn bytes(&self) -> usize {
        self.table.bytes() + self.wheel.bytes() + self.due_times.bytes() + self.frequencies.bytes()
    }
}

#[cfg(test)]
mod tests;
