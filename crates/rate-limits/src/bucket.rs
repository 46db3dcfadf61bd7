//! Definitions of buckets, and what a request gets from them.

use crate::{Nanos, Rate};

/// A bucket as it is defined. A limit that is none is not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bucket {
    /// Its name. A bucket whose name and limits are the same after a reload keeps its state.
    pub name: String,
    /// How often a key may come.
    pub rate: Option<Rate>,
    /// The most of a key in flight.
    pub max_in_flight: Option<u32>,
    /// The most of all keys together in flight, shared among the keys that have any.
    pub max_total_in_flight: Option<u32>,
}

impl Bucket {
    /// A bucket without limits.
    pub fn named(name: &str) -> Bucket {
        Bucket {
            name: name.to_owned(),
            rate: None,
            max_in_flight: None,
            max_total_in_flight: None,
        }
    }

    /// Whether it counts what is in flight.
    pub(crate) fn counts_in_flight(&self) -> bool {
        self.max_in_flight.is_some() || self.max_total_in_flight.is_some()
    }
}

/// Which limit a request exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceededLimit {
    /// Its key comes too often.
    Rate,
    /// Too much of its key is in flight.
    InFlight,
    /// Its key has its share of the total, and the rest is taken or reserved for others.
    Share,
    /// There is no memory for its key.
    NoMemory,
}

/// A request exceeds a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// The bucket, by its index in the definitions.
    pub bucket: u16,
    /// Which of its limits.
    pub limit: ExceededLimit,
    /// After how many nanoseconds there is room again: exact for a rate, else an estimate by how long
    /// permits are held.
    pub retry_after: Nanos,
}

/// What a request holds of its buckets until it ends. It must go back through
/// [`RateLimiter::release`](crate::RateLimiter::release).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    /// Bucket ids and keys of which one is in flight.
    pub(crate) held: Vec<(u32, u64)>,
    pub(crate) acquired_at: Nanos,
}

impl Permit {
    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

/// What was admitted and refused by a bucket, and what is in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BucketCounters {
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that exceeded a limit, in the order of [`ExceededLimit`].
    pub exceeded: [u64; 4],
    /// In flight now, of all keys.
    pub in_flight: u32,
    /// Keys with any in flight now.
    pub active_keys: u32,
}
