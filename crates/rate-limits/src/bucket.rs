//! Definitions of buckets, the permits that requests acquire from them, and their counters.

use crate::{Nanos, Rate};

/// The definition of a bucket. A limit that is `None` is not applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bucket {
    /// Name of the bucket. A bucket whose name and limits are unchanged by a reload keeps its
    /// state.
    pub name: String,
    /// Rate at which requests of one key are admitted.
    pub rate: Option<Rate>,
    /// Maximum number of requests of one key in flight.
    pub max_in_flight: Option<u32>,
    /// Maximum number of requests in flight over all keys, shared among the keys that have requests
    /// in flight.
    pub max_total_in_flight: Option<u32>,
}

impl Bucket {
    /// Returns a bucket of this name without limits.
    pub fn named(name: &str) -> Bucket {
        Bucket {
            name: name.to_owned(),
            rate: None,
            max_in_flight: None,
            max_total_in_flight: None,
        }
    }

    /// Returns whether a limit of the bucket depends on the number of requests in flight.
    pub(crate) fn counts_in_flight(&self) -> bool {
        self.max_in_flight.is_some() || self.max_total_in_flight.is_some()
    }
}

/// The limit that a request exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceededLimit {
    /// The rate of the key.
    Rate,
    /// The number of requests of the key in flight.
    InFlight,
    /// The total number of requests in flight: the key has its share of the total, and the rest is
    /// in use or reserved for other keys.
    Share,
    /// The memory: the table has no slot for another key.
    NoMemory,
}

/// The refusal of a request that exceeds a limit of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    /// Index of the bucket in the definitions.
    pub bucket: u16,
    /// The limit of that bucket that is exceeded.
    pub limit: ExceededLimit,
    /// Nanoseconds until the bucket has room again: exact for a rate, otherwise an estimate from
    /// the mean time for which permits are held.
    pub retry_after: Nanos,
}

/// The units in flight that a request holds in its buckets until it ends. A permit must be returned
/// with [`RateLimiter::release`](crate::RateLimiter::release).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    /// Bucket id and key of each unit held.
    pub(crate) held: Vec<(u32, u64)>,
    pub(crate) acquired_at: Nanos,
}

impl Permit {
    /// Returns whether the permit holds no unit of any bucket.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

/// Counters of a bucket: requests admitted, refused and in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BucketCounters {
    /// Number of requests admitted.
    pub admitted: u64,
    /// Number of requests refused, by the limit that they exceeded, in the order of
    /// [`ExceededLimit`].
    pub exceeded: [u64; 4],
    /// Number of requests in flight now, over all keys.
    pub in_flight: u32,
    /// Number of keys that have requests in flight now.
    pub active_keys: u32,
}
