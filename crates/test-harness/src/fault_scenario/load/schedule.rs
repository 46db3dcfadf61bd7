//! The times at which one load connection sends its requests. The times are drawn at random, so that
//! connections stay independent of each other. Connections with fixed intervals would keep the phase
//! that they happen to have, and would all send at once for the rest of a scenario after a pause of
//! the test machine.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Range of the time between two requests, as a share of the mean interval.
const SPREAD: Range<f64> = 0.5..1.5;
/// Maximum delay of a request beyond the drawn time, as a share of the mean interval.
const MAX_DELAY: f64 = 0.25;

/// Draws the send times of one load connection.
pub(super) struct SendSchedule {
    /// Time of the last drawn request; the start of the load before the first one.
    due: Instant,
    is_first: bool,
    rng: Pcg64Mcg,
}

impl SendSchedule {
    /// Returns the schedule of a connection that starts at `start`; the drawn times depend on the
    /// seed only.
    pub(super) fn new(seed: u64, start: Instant) -> SendSchedule {
        SendSchedule {
            due: start,
            is_first: true,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Draws the time of the next request; `interval` is the mean interval. The time is `now` if the
    /// answer to the request before took longer.
    pub(super) fn next(&mut self, interval: Duration, now: Instant) -> Instant {
        let spread = if self.is_first { 0.0..1.0 } else { SPREAD };
        self.is_first = false;
        self.due = (self.due + self.draw(interval, spread)).max(now);
        self.due
    }

    /// Draws a new time for a request whose time passed too long before `now`. All connections wake
    /// at once at the end of a pause of the test machine; the new times spread their requests over
    /// an interval. Returns `None` if the request is to be sent now.
    pub(super) fn postponed(&mut self, interval: Duration, now: Instant) -> Option<Instant> {
        if now <= self.due + interval.mul_f64(MAX_DELAY) {
            return None;
        }
        self.due = now + self.draw(interval, 0.0..1.0);
        Some(self.due)
    }

    fn draw(&mut self, interval: Duration, shares: Range<f64>) -> Duration {
        interval.mul_f64(self.rng.random_range(shares))
    }
}

#[cfg(test)]
mod tests;
