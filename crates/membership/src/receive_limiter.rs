//! Rate limit for the authentication of received datagrams.

use crate::{Nanos, SECOND};
use std::collections::HashSet;
use std::net::SocketAddr;

/// Rate in datagrams per second, and burst in datagrams: first for proven sources, then for all
/// other sources.
const RATES: [f64; 2] = [4000.0, 500.0];

/// Limits how many datagrams per second are authenticated. Checking a MAC takes one to two
/// microseconds, so the limit bounds the CPU time that a flood takes. Sources that have sent valid
/// datagrams (proven sources) have a limit that a flood from other sources does not use up.
#[derive(Debug)]
pub struct ReceiveLimiter {
    proven: HashSet<SocketAddr>,
    proven_max: usize,
    /// Number of datagrams that may still be checked, first from proven sources, then from all
    /// other sources.
    tokens: [f64; 2],
    refilled_at: Nanos,
}

impl ReceiveLimiter {
    /// Creates a limiter that remembers at most `proven_max` proven sources.
    pub fn new(proven_max: usize) -> ReceiveLimiter {
        ReceiveLimiter {
            proven: HashSet::new(),
            proven_max,
            tokens: RATES,
            refilled_at: 0,
        }
    }

    /// Returns whether a datagram from this source may be checked, and counts the datagram if it
    /// may.
    pub fn admits(&mut self, now: Nanos, from: SocketAddr) -> bool {
        let elapsed_seconds = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.refilled_at = now;
        for (tokens, rate) in self.tokens.iter_mut().zip(RATES) {
            *tokens = (*tokens + rate * elapsed_seconds).min(rate);
        }
        let tokens = &mut self.tokens[usize::from(!self.proven.contains(&from))];
        let admitted = *tokens >= 1.0;
        *tokens -= if admitted { 1.0 } else { 0.0 };
        admitted
    }

    /// Records that a datagram from this source was valid.
    pub fn mark_proven(&mut self, from: SocketAddr) {
        if self.proven.len() >= self.proven_max && !self.proven.contains(&from) {
            self.proven.clear(); // each source is proven again by its next valid datagram
        }
        self.proven.insert(from);
    }
}

#[cfg(test)]
mod tests;
