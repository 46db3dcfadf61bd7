//! Limits by key: how often a key may come, how many of it may be in flight, and how keys share what
//! there is.
//!
//! A [`Bucket`] is a definition; each of its keys has a state of its own. Memory is bounded whatever
//! the keys: what does not fit into the table of exact states is kept in a sketch that may be too
//! strict with a key and is never too lenient ([`sketch`]). Decisions without I/O: the time is an
//! argument, random draws come from a seed.
//!
//! ```
//! use madderpoint_rate_limits::{Bucket, RateLimiter, Rate};
//!
//! let bucket = Bucket { rate: Some(Rate::new(10, 1_000_000_000, 2).unwrap()), ..Bucket::named("by-site") };
//! let mut limiter = RateLimiter::new(1 << 16, 7);
//! limiter.configure(0, &[bucket]);
//! assert!(limiter.acquire(0, &[(0, 42)]).is_ok() && limiter.acquire(0, &[(0, 42)]).is_ok());
//! let exceeded = limiter.acquire(0, &[(0, 42)]).unwrap_err();
//! assert_eq!(exceeded.retry_after, 100_000_000); // ten a second: one more after a tenth
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

/// Whole nanoseconds from any fixed point.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;

/// The most buckets that may be defined, and that one request may be put into.
pub const BUCKETS_MAX: usize = 256;
