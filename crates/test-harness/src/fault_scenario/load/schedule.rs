//! The times at which one load connection sends its requests: at a fixed interval, with a phase that
//! is drawn at random. A connection that was held up by a pause of the test machine draws a new
//! phase. Otherwise all connections would send at once for the rest of a scenario.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::{Duration, Instant};

/// Maximum delay of a request beyond the time when it is due, as a share of the interval.
const MAX_DELAY: f64 = 0.25;

/// Sets the send times of one load connection.
pub(super) struct SendSchedule {
    /// Time when the last request was due; the start of the load before the first one.
    due: Instant,
    is_first: bool,
    rng: Pcg64Mcg,
}

impl SendSchedule {
    /// Returns the schedule of a connection that starts at `start`; the drawn phases depend on
    /// the seed only.
    pub(super) fn new(seed: u64, start: Instant) -> SendSchedule {
        SendSchedule {
            due: start,
            is_first: true,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the time of the next request: `now` if the answer to the request before took longer
    /// than `interval`.
    pub(super) fn next(&mut self, interval: Duration, now: Instant) -> Instant {
        let step = if self.is_first {
            self.draw_phase(interval)
        } else {
            interval
        };
        self.is_first = false;
        self.due = (self.due + step).max(now);
        self.due
    }

    /// Draws a new time for a request whose time passed too long before `now`. All connections wake
    /// at once at the end of a pause of the test machine; the new times spread their requests over
    /// an interval. Returns `None` if the request is to be sent now.
    pub(super) fn postponed(&mut self, interval: Duration, now: Instant) -> Option<Instant> {
        if now <= self.due + interval.mul_f64(MAX_DELAY) {
            return None;
        }
        self.due = now + self.draw_phase(interval);
        Some(self.due)
    }

    fn draw_phase(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.rng.random_range(0.0..1.0))
    }
}

#[cfg(test)]
mod tests;
