//! Token bucket that counts bytes and may be overdrawn once.

use crate::{Nanos, SECOND};

/// Limit on the bytes sent per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    bytes_per_second: f64,
    burst_bytes: f64,
    tokens: f64,
    refilled_at: Nanos,
}

impl TokenBucket {
    /// Creates a full bucket with the given rate and burst.
    pub(crate) fn new((bytes_per_second, burst_bytes): (f64, f64), now: Nanos) -> TokenBucket {
        TokenBucket {
            bytes_per_second,
            burst_bytes,
            tokens: burst_bytes,
            refilled_at: now,
        }
    }

    /// Returns whether any tokens are left. The next spending may overdraw the bucket.
    pub(crate) fn is_open(&mut self, now: Nanos) -> bool {
        let elapsed_seconds = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.refilled_at = now;
        self.tokens = (self.tokens + self.bytes_per_second * elapsed_seconds).min(self.burst_bytes);
        self.tokens > 0.0
    }

    /// Takes tokens for the bytes that were sent.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
