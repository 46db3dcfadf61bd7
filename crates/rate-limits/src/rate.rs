//! Rates, enforced by GCRA: each admission advances the theoretical arrival time of the key by one
//! interval. A key is refused while that time is further ahead of now than the burst allows.

use crate::{MILLISECOND, Nanos};

/// Maximum interval, and maximum tolerance of a burst, in nanoseconds: one day.
const MAX_SPAN: Nanos = 24 * 3600 * 1000 * MILLISECOND;

/// Rate at which requests of one key are admitted, with a burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Time between two admissions at an even rate, in nanoseconds.
    interval: Nanos,
    /// Number of admissions at once after a pause, at least 1.
    burst: u32,
}

impl Rate {
    /// Returns a rate of `count` in `period` nanoseconds, with `burst` at once after a pause.
    /// Returns `None` if one of them is 0, or if the interval or the tolerance of the burst exceeds
    /// a day.
    pub fn new(count: u64, period: Nanos, burst: u32) -> Option<Rate> {
        // Rounded up, so that no period admits more than `count` at an even rate.
        let interval = period.checked_add(count.checked_sub(1)?)? / count;
        let tolerance = interval.checked_mul(u64::from(burst.checked_sub(1)?))?;
        (interval > 0 && interval <= MAX_SPAN && tolerance <= MAX_SPAN)
            .then_some(Rate { interval, burst })
    }

    /// Returns the time between two admissions at an even rate, in nanoseconds.
    pub fn interval(&self) -> Nanos {
        self.interval
    }

    /// Returns how far ahead of now a theoretical arrival time may be, in nanoseconds.
    pub(crate) fn tolerance(&self) -> Nanos {
        self.interval * u64::from(self.burst - 1)
    }

    /// Returns how long a key with the theoretical arrival time `due` must wait, in nanoseconds; 0
    /// if the key is admitted now.
    pub(crate) fn wait(&self, now: Nanos, due: Nanos) -> Nanos {
        due.saturating_sub(now.saturating_add(self.tolerance()))
    }

    /// Returns the theoretical arrival time after an admission now.
    pub(crate) fn next_due(&self, now: Nanos, due: Nanos) -> Nanos {
        due.max(now).saturating_add(self.interval)
    }
}
