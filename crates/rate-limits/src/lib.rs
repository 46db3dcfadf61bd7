//! RateLimiter by key: how often a key may come, how much of it may be in hand, and how keys share what
//! is there.
//!
//! A bucket is a definition; each of its keys has a state of its own. Memory is bounded whatever
//! the keys: what does not fit into the table of exact states is kept in a sketch that may be too
//! strict with a key and is never too lenient ([`sketch`]). Decisions without I/O: the time is an
//! argument, chance comes from a seed.
//!
//! ```
//! use madderpoint_rate_limits::{Bucket, RateLimiter, Rate};
//!
//! let bucket = Bucket { rate: Some(Rate::new(10, 1_000_000_000, 2).unwrap()), ..Bucket::named("by-site") };
//! let mut limits = RateLimiter::new(1 << 16, 7);
//! limits.define(0, &[bucket]);
//! assert!(limits.ask(0, &[(0, 42)]).is_ok() && limits.ask(0, &[(0, 42)]).is_ok());
//! let over = limits.ask(0, &[(0, 42)]).unwrap_err();
//! assert_eq!(over.pause, 100_000_000); // ten a second: one more after a tenth
//! assert!(limits.ask(over.pause, &[(0, 42)]).is_ok());
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod sketch;
mod table;
mod timer_wheel;

#[cfg(test)]
mod tests;

use sketch::{DueTimeSketch, FrequencySketch};
use table::{KeyState, KeyTable};
use timer_wheel::TimerWheel;

/// Whole nanoseconds from any fixed point.
pub type Nanos = u64;

const MILLISECOND: Nanos = 1_000_000;
/// The most buckets that may be defined, and that one request may be put into.
pub const BUCKETS_MAX: usize = 256;
/// The shortest pause that is asked for where it is not known when there is room.
const LEAST_PAUSE: Nanos = 10 * MILLISECOND;
/// What one more holding counts in the mean of a bucket's holding times.
const LEARN: f64 = 0.05;
/// Entries of which the least used makes room for a key that is used more.
const SAMPLE: usize = 8;
/// Entries that are looked at for ageing on one call, so that no call takes long.
const AGED_AT_ONCE: usize = 64;
/// Of a bucket's places, one in so many is kept for keys that hold less than an even share.
const KEPT_FOR_OTHERS: u32 = 8;

/// How often a key may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Between two that come evenly.
    interval: Nanos,
    /// Those that may come at once after a rest.
    burst: u32,
}

impl Rate {
    /// So many in so long, and so many at once after a rest; none if that is no rate.
    pub fn new(count: u64, period: Nanos, burst: u32) -> Option<Rate> {
        // Rounded up, so that no window ever sees one too many.
        let interval = period.checked_add(count.checked_sub(1)?)? / count;
        let tolerance = interval.checked_mul(u64::from(burst.checked_sub(1)?))?;
        let longest = 24 * 3600 * 1000 * MILLISECOND;
        (interval > 0 && interval <= longest && tolerance <= longest)
            .then_some(Rate { interval, burst })
    }

    /// Between two that come evenly.
    pub fn interval(&self) -> Nanos {
        self.interval
    }

    fn tolerance(&self) -> Nanos {
        self.interval * u64::from(self.burst - 1)
    }

    /// How long a key must wait whose theoretical arrival time is this.
    fn wait(&self, now: Nanos, due: Nanos) -> Nanos {
        due.saturating_sub(now.saturating_add(self.tolerance()))
    }

    fn next(&self, now: Nanos, due: Nanos) -> Nanos {
        due.max(now).saturating_add(self.interval)
    }
}

/// A bucket as it is defined. What is not named is not limited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bucket {
    /// Its name; with the rest it tells whether a reload changed it.
    pub name: String,
    /// How often a key may come.
    pub rate: Option<Rate>,
    /// How much of a key may be in hand.
    pub in_hand: Option<u32>,
    /// How much of all keys together may be in hand, shared among those that are there.
    pub total: Option<u32>,
}

impl Bucket {
    /// A bucket that limits nothing yet.
    pub fn named(name: &str) -> Bucket {
        Bucket {
            name: name.to_owned(),
            rate: None,
            in_hand: None,
            total: None,
        }
    }

    fn holds(&self) -> bool {
        self.in_hand.is_some() || self.total.is_some()
    }
}

/// ExceededLimit a request is over a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceededLimit {
    /// Its key comes too often.
    Rate,
    /// Too much of its key is in hand.
    InHand,
    /// Its key holds its share of what is there, and the rest is taken or kept for others.
    Share,
    /// There is no room to remember its key.
    Room,
}

/// A request is over a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// The bucket, by its place in the definitions.
    pub bucket: u16,
    /// ExceededLimit.
    pub why: ExceededLimit,
    /// After this there is room again: known for a rate, else a guess from how long things were
    /// held.
    pub pause: Nanos,
}

/// What a request holds until it is done. It must go back through [`RateLimiter::done`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    held: Vec<(u32, u64)>,
    since: Nanos,
}

impl Permit {
    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

/// What has come to a bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BucketCounters {
    /// Let through.
    pub passed: u64,
    /// LimitExceeded the limit, in the order of [`ExceededLimit`].
    pub over: [u64; 4],
    /// In hand now, and keys that hold any.
    pub in_hand: u32,
    /// Keys that hold any now.
    pub keys: u32,
}

/// A bucket with its state.
struct BucketState {
    /// Never used again.
    id: u32,
    bucket: Bucket,
    tally: BucketCounters,
    /// The mean time for which a place was held.
    held_for: f64,
}

impl BucketState {
    fn pause(&self, places: u32) -> Nanos {
        LEAST_PAUSE.max((self.held_for / f64::from(places.max(1))) as Nanos)
    }

    /// Whether a key that holds so many may have one more of the bucket's places.
    fn shares(&self, mine: u32) -> bool {
        let Some(total) = self.bucket.total else {
            return true;
        };
        let free = total.saturating_sub(self.tally.in_hand);
        let keys = self.tally.keys + u32::from(mine == 0);
        let even = total.div_ceil(keys.max(1));
        // Some places stay free for keys that hold less, so that one that takes all it can get
        // shuts nobody out.
        free > if mine < even && keys > 1 {
            0
        } else {
            total / KEPT_FOR_OTHERS
        }
    }
}

/// RateLimiter of all buckets.
pub struct RateLimiter {
    live: Vec<BucketState>,
    next_id: u32,
    table: KeyTable,
    wheel: TimerWheel,
    /// Due times of keys that have no entry, and how often keys came lately.
    times: DueTimeSketch,
    counts: FrequencySketch,
    now: Nanos,
    /// Where the next sample for making room begins.
    hand: usize,
    evicted: u64,
}

impl RateLimiter {
    /// RateLimiter that take about so many bytes, whatever the keys.
    pub fn new(bytes: usize, seed: u64) -> RateLimiter {
        let entries = (bytes * 3 / 4 / KeyTable::ENTRY_BYTES).max(16);
        let cells = (bytes / 8 / 2).max(64);
        RateLimiter {
            live: Vec::new(),
            next_id: 0,
            table: KeyTable::new(entries),
            wheel: TimerWheel::new(),
            times: DueTimeSketch::new(cells / 4, seed),
            counts: FrequencySketch::new(cells, seed.rotate_left(17)),
            now: 0,
            hand: 0,
            evicted: 0,
        }
    }

    /// From here on these are the buckets. What is defined as before keeps its state; the rest
    /// begins anew, and what was taken under a definition that is gone counts for nothing any more.
    pub fn define(&mut self, now: Nanos, buckets: &[Bucket]) {
        self.now = self.now.max(now);
        let mut before = std::mem::take(&mut self.live);
        for bucket in buckets {
            let same = before.iter().position(|live| live.bucket == *bucket);
            let live = same.map(|at| before.swap_remove(at)).unwrap_or_else(|| {
                self.next_id += 1;
                BucketState {
                    id: self.next_id,
                    bucket: bucket.clone(),
                    tally: BucketCounters::default(),
                    held_for: 0.0,
                }
            });
            self.live.push(live);
        }
        let gone: Vec<u32> = before.iter().map(|live| live.id).collect();
        if !gone.is_empty() {
            for at in self
                .table
                .places_where(|entry| gone.contains(&entry.bucket))
            {
                self.remove(at);
            }
        }
    }

    /// A request belongs to these buckets by these keys: it passes all of them, or takes nothing of
    /// any.
    pub fn ask(&mut self, now: Nanos, of: &[(u16, u64)]) -> Result<Permit, LimitExceeded> {
        self.now = self.now.max(now); // a clock that goes back must not give anything twice
        self.age();
        for (i, &(place, key)) in of.iter().enumerate() {
            let twice = of[..i].contains(&(place, key));
            if !twice && let Err(over) = self.fits(place, key) {
                if let Some(live) = self.live.get_mut(usize::from(place)) {
                    live.tally.over[over.why as usize] += 1;
                }
                return Err(over);
            }
        }
        let mut ticket = Permit {
            held: Vec::new(),
            since: self.now,
        };
        for (i, &(place, key)) in of.iter().enumerate() {
            if !of[..i].contains(&(place, key)) {
                self.take(place, key, &mut ticket);
            }
        }
        Ok(ticket)
    }

    /// Whether a bucket has room for one more of a key; where one is needed, the key has an entry
    /// afterwards.
    fn fits(&mut self, place: u16, key: u64) -> Result<(), LimitExceeded> {
        let Some(live) = self.live.get(usize::from(place)) else {
            return Ok(());
        };
        let (id, holds, rate) = (live.id, live.bucket.holds(), live.bucket.rate);
        let over = |why, pause| {
            Err(LimitExceeded {
                bucket: place,
                why,
                pause,
            })
        };
        self.counts.add(id, key);
        let mut at = self.table.find(id, key);
        if at.is_none() {
            let wants = holds || self.counts.of(id, key) > 1 || !self.table.is_full();
            if wants && self.make_room(id, key, holds) {
                // A key that was in the sketch till now goes on from there.
                let due = self.times.due(id, key);
                at = Some(self.insert(id, key, due));
            }
        }
        let live = &self.live[usize::from(place)];
        let (due, mine) = match at {
            Some(at) => (self.table[at].due, self.table[at].in_hand),
            None if holds => return over(ExceededLimit::Room, live.pause(1)),
            None => (self.times.due(id, key), 0),
        };
        if let Some(wait) = rate
            .map(|rate| rate.wait(self.now, due))
            .filter(|wait| *wait > 0)
        {
            return over(ExceededLimit::Rate, wait);
        }
        if let Some(most) = live.bucket.in_hand.filter(|most| mine >= *most) {
            return over(ExceededLimit::InHand, live.pause(most));
        }
        if !live.shares(mine) {
            return over(
                ExceededLimit::Share,
                live.pause(live.bucket.total.unwrap_or(1)),
            );
        }
        Ok(())
    }

    fn take(&mut self, place: u16, key: u64, ticket: &mut Permit) {
        let Some(live) = self.live.get_mut(usize::from(place)) else {
            return;
        };
        live.tally.passed += 1;
        let at = self.table.find(live.id, key);
        if let Some(rate) = live.bucket.rate {
            match at {
                Some(at) => self.table[at].due = rate.next(self.now, self.table[at].due),
                None => {
                    let due = rate.next(self.now, self.times.due(live.id, key));
                    self.times.raise(live.id, key, due);
                }
            }
        }
        if let Some(at) = at.filter(|_| live.bucket.holds()) {
            let entry = &mut self.table[at];
            entry.in_hand += 1;
            live.tally.in_hand += 1;
            live.tally.keys += u32::from(entry.in_hand == 1);
            ticket.held.push((live.id, key));
        }
    }

    /// A request that had passed is over.
    pub fn done(&mut self, now: Nanos, ticket: Permit) {
        self.now = self.now.max(now);
        let held_for = self.now.saturating_sub(ticket.since) as f64;
        for (id, key) in ticket.held {
            let Some(live) = self.live.iter_mut().find(|live| live.id == id) else {
                continue;
            };
            let Some(at) = self.table.find(id, key) else {
                continue;
            };
            let entry = &mut self.table[at];
            debug_assert!(
                entry.in_hand > 0 && live.tally.in_hand > 0,
                "what is given back was taken"
            );
            entry.in_hand = entry.in_hand.saturating_sub(1);
            live.tally.in_hand = live.tally.in_hand.saturating_sub(1);
            live.tally.keys = live
                .tally
                .keys
                .saturating_sub(u32::from(entry.in_hand == 0));
            live.held_for += LEARN * (held_for - live.held_for);
        }
    }

    // ---- Room ----

    fn insert(&mut self, bucket: u32, key: u64, due: Nanos) -> usize {
        let at = self.table.insert(KeyState {
            bucket,
            key,
            due,
            in_hand: 0,
        });
        self.wheel.put(at, self.now, due);
        at
    }

    fn remove(&mut self, at: usize) -> Option<KeyState> {
        self.wheel.take(at);
        self.table.remove(at)
    }

    /// Makes room in the table for a key, if it deserves that; a key that must be held has priority
    /// over any that only waits for its time to pass.
    fn make_room(&mut self, bucket: u32, key: u64, must: bool) -> bool {
        if !self.table.is_full() {
            return true;
        }
        let mut victim: Option<(u32, usize)> = None;
        for _ in 0..SAMPLE {
            self.hand = (self.hand + 1) % self.table.places();
            let Some(entry) = self.table.get(self.hand).filter(|entry| entry.in_hand == 0) else {
                continue;
            };
            if entry.due <= self.now {
                self.remove(self.hand);
                return true;
            }
            let used = self.counts.of(entry.bucket, entry.key);
            if victim.is_none_or(|(least, _)| used < least) {
                victim = Some((used, self.hand));
            }
        }
        let Some((used, at)) = victim else {
            return false;
        };
        if !must && self.counts.of(bucket, key) <= used.saturating_add(1) {
            return false;
        }
        if let Some(entry) = self.remove(at) {
            // Its time goes on in the sketch: nothing is forgiven by being pushed out.
            self.times.raise(entry.bucket, entry.key, entry.due);
            self.evicted += 1;
        }
        true
    }

    /// Lets go of keys that have nothing in hand and whose time has passed, a few on each call.
    fn age(&mut self) {
        for _ in 0..AGED_AT_ONCE {
            let Some(at) = self.wheel.next_due(self.now) else {
                return;
            };
            let Some(entry) = self.table.get(at) else {
                continue;
            };
            if entry.in_hand == 0 && entry.due <= self.now {
                self.table.remove(at);
            } else {
                let due = entry.due;
                self.wheel.put(at, self.now, due);
            }
        }
    }

    // ---- What is seen from outside ----

    /// What has come to each bucket, by its place in the definitions.
    pub fn tallies(&self) -> impl Iterator<Item = (&str, BucketCounters)> {
        self.live
            .iter()
            .map(|live| (live.bucket.name.as_str(), live.tally))
    }

    /// Keys with a state of their own.
    pub fn keys(&self) -> usize {
        self.table.len()
    }

    /// Keys that gave way to others that came more often.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.table.bytes() + self.wheel.bytes() + self.times.bytes() + self.counts.bytes()
    }
}
