//! The limiter of all buckets: a request passes all its buckets or takes nothing of any.
//!
//! A key that has something in flight always has an entry in the table of exact states. A key that
//! is only limited by a rate has one while there is memory or while it comes often; else its
//! theoretical arrival time is in a sketch.

use crate::bucket::{Bucket, BucketCounters, ExceededLimit, LimitExceeded, Permit};
use crate::key_table::{KeyState, KeyTable};
use crate::sketch::{DueTimeSketch, FrequencySketch};
use crate::timer_wheel::TimerWheel;
use crate::{MILLISECOND, Nanos};

/// The shortest Retry-After where it is not known when there is room, in nanoseconds.
const MIN_RETRY_AFTER: Nanos = 10 * MILLISECOND;
/// The weight of one permit in the mean time for which a bucket's permits are held.
const HOLD_TIME_WEIGHT: f64 = 0.05;
/// Entries of which the least frequent one is evicted for a more frequent key.
const EVICTION_SAMPLE: usize = 8;
/// The most entries that are checked for ageing in one call.
const KEYS_AGED_PER_CALL: usize = 64;
/// Of a bucket's total one part in this many is reserved for keys with less than an even share.
const RESERVED_PART: u32 = 8;

/// A bucket with its state.
struct BucketState {
    /// Unique over all definitions.
    id: u32,
    bucket: Bucket,
    counters: BucketCounters,
    /// The mean time for which a permit is held, in nanoseconds.
    mean_hold_time: f64,
}

impl BucketState {
    /// An estimate of the time until one of this many permits is released, in nanoseconds.
    fn retry_after(&self, permits: u32) -> Nanos {
        MIN_RETRY_AFTER.max((self.mean_hold_time / f64::from(permits.max(1))) as Nanos)
    }

    /// Whether a key with `own` in flight may have one more of the bucket's total.
    fn has_share(&self, own: u32) -> bool {
        let Some(total) = self.bucket.max_total_in_flight else {
            return true;
        };
        let free = total.saturating_sub(self.counters.in_flight);
        let keys = self.counters.active_keys + u32::from(own == 0);
        let even_share = total.div_ceil(keys.max(1));
        // A part stays free for keys that have less, so that one key that takes all it can get does
        // not shut others out.
        free > if own < even_share && keys > 1 {
            0
        } else {
            total / RESERVED_PART
        }
    }

    /// Checks the limits for a key with a theoretical arrival time and `own` in flight.
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

/// The limiter of all buckets.
pub struct RateLimiter {
    buckets: Vec<BucketState>,
    last_id: u32,
    table: KeyTable,
    wheel: TimerWheel,
    /// Theoretical arrival times of keys without an entry.
    due_times: DueTimeSketch,
    /// How often keys came lately.
    frequencies: FrequencySketch,
    /// The latest time that was seen.
    now: Nanos,
    /// The slot of the table after which the next eviction sample begins.
    eviction_cursor: usize,
    evicted: u64,
}

impl RateLimiter {
    /// A limiter without buckets, in about this many bytes whatever the keys.
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

    /// Replaces the buckets. A bucket that is defined as before keeps its state; the others begin
    /// anew, and permits of definitions that are gone have no effect when they are released.
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

    /// Admits a request to buckets, each by its index in the definitions and the request's key: it
    /// passes all of them, or takes nothing of any.
    pub fn acquire(&mut self, now: Nanos, buckets: &[(u16, u64)]) -> Result<Permit, LimitExceeded> {
        self.now = self.now.max(now); // a clock that goes back must not admit anything twice
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

    /// Checks whether a bucket has room for one more of a key. Where it counts what is in flight, the
    /// key has an entry afterwards.
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

    /// Takes one of a key from a bucket that was checked.
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

    /// A request that was admitted has ended.
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
                "what is released was acquired"
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

    /// The entry of a key, made if it is required, or if the key came before or there is memory.
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
        // A key that was in the sketch goes on from there.
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

    /// Frees a slot of the table for a key, if it is required or came more often than the least
    /// frequent entry of a sample.
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
            // Its time goes on in the sketch: eviction makes no limit more lenient.
            self.due_times.raise(entry.bucket, entry.key, entry.due);
            self.evicted += 1;
        }
        true
    }

    /// Removes keys that have nothing in flight and whose time has passed, a few in each call.
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

    // ---- What others read ----

    /// The counters of each bucket with its name, in the order of the definitions.
    pub fn counters(&self) -> impl Iterator<Item = (&str, BucketCounters)> {
        self.buckets
            .iter()
            .map(|state| (state.bucket.name.as_str(), state.counters))
    }

    /// Keys with an exact state.
    pub fn tracked_keys(&self) -> usize {
        self.table.len()
    }

    /// Keys that were evicted for more frequent ones.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.table.bytes() + self.wheel.bytes() + self.due_times.bytes() + self.frequencies.bytes()
    }
}

#[cfg(test)]
mod tests;
