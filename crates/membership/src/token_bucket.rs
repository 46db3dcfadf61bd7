//! A token bucket in bytes that may be overdrawn once.

use crate::{Nanos, SECOND};

/// Limits bytes sent per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    bytes_per_second: f64,
    burst_bytes: f64,
    left: f64,
    refilled_at: Nanos,
}

impl TokenBucket {
    /// A full bucket with the given rate and burst.
    pub(crate) fn new((bytes_per_second, burst_bytes): (f64, f64), now: Nanos) -> TokenBucket {
        TokenBucket {
            bytes_per_second,
            burst_bytes,
            left: burst_bytes,
            refilled_at: now,
        }
    }

    /// Whether anything is left; what is then spent may overdraw the bucket once.
    pub(crate) fn is_open(&mut self, now: Nanos) -> bool {
        let passed = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.refilled_at = now;
        self.left = (self.left + self.bytes_per_second * passed).min(self.burst_bytes);
        self.left > 0.0
    }

    /// Takes bytes that were sent.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }
}
