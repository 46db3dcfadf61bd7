//! A limit on how many received datagrams are authenticated.

use crate::{Nanos, SECOND};
use std::collections::HashSet;
use std::net::SocketAddr;

/// Datagrams a second, and burst, from proven sources and from others.
const RATES: [f64; 2] = [4000.0, 500.0];

/// Limits how many datagrams a second are authenticated. Checking a MAC takes a microsecond or two;
/// a flood must neither take more of the node than this nor displace sources that have sent valid
/// datagrams.
#[derive(Debug)]
pub struct ReceiveLimiter {
    proven: HashSet<SocketAddr>,
    proven_max: usize,
    /// Datagrams that may still be checked: of proven sources, of others.
    left: [f64; 2],
    refilled_at: Nanos,
}

impl ReceiveLimiter {
    /// A limiter that remembers at most `proven_max` proven sources.
    pub fn new(proven_max: usize) -> ReceiveLimiter {
        ReceiveLimiter {
            proven: HashSet::new(),
            proven_max,
            left: RATES,
            refilled_at: 0,
        }
    }

    /// Whether to check a datagram from this source.
    pub fn admits(&mut self, now: Nanos, from: SocketAddr) -> bool {
        let passed = now.saturating_sub(self.refilled_at) as f64 / SECOND as f64;
        self.refilled_at = now;
        for (left, rate) in self.left.iter_mut().zip(RATES) {
            *left = (*left + rate * passed).min(rate);
        }
        let left = &mut self.left[usize::from(!self.proven.contains(&from))];
        let admitted = *left >= 1.0;
        *left -= if admitted { 1.0 } else { 0.0 };
        admitted
    }

    /// A datagram from this source was valid.
    pub fn mark_proven(&mut self, from: SocketAddr) {
        if self.proven.len() >= self.proven_max && !self.proven.contains(&from) {
            self.proven.clear(); // each proves itself again with its next datagram
        }
        self.proven.insert(from);
    }
}

#[cfg(test)]
mod tests;
