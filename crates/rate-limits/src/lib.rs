//! Limits per key: the rate of a key's requests, the number of them in flight, and the key's share
//! of the total number of requests in flight.
//!
//! A [`Bucket`] defines limits, which apply to each of its keys separately. Memory is bounded for
//! any number of keys: states that do not fit into the table of exact states are kept in a sketch,
//! which may be too strict with a key but is never too lenient ([`sketch`]). The crate does no I/O:
//! the caller passes the time, and hashing is seeded.
//!
//! ```
//! use madderpoint_rate_limits::{Bucket, RateLimiter, Rate};
//!
//! let bucket = Bucket { rate: Some(Rate::new(10, 1_000_000_000, 2).unwrap()), ..Bucket::named("by-site") };
//! let mut limiter = RateLimiter::new(1 << 16, 7);
//! limiter.configure(0, &[bucket]);
//! assert!(limiter.acquire(0, &[(0, 42)]).is_ok() && limiter.acquire(0, &[(0, 42)]).is_ok());
//! let exceeded = limiter.acquire(0, &[(0, 42)]).unwrap_err();
//! assert_eq!(exceeded.retry_after, 100_000_000); // 10 per second: the next after 100 ms
//! assert!(limiter.acquire(exceeded.retry_after, &[(0, 42)]).is_ok());
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bucket;
mod key_table;
mod limiter;
mod rate;
pub mod sketch;
mod timer_wheel;

pub use bucket::{Bucket, BucketCounters, ExceededLimit, LimitExceeded, Permit};
pub use limiter::RateLimiter;
pub use rate::Rate;

/// A time in nanoseconds since any fixed point, or a duration in nanoseconds.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;

/// Maximum number of buckets that may be defined, and that one request may be counted in.
pub const BUCKETS_MAX: usize = 256;
