//! Rates, kept by GCRA: a key has a theoretical arrival time, which each admission moves on by one
//! interval, and is refused while that time is further ahead than the burst allows.

use crate::{MILLISECOND, Nanos};

/// The longest interval, and the longest time of a burst, in nanoseconds: a day.
const MAX_SPAN: Nanos = 24 * 3600 * 1000 * MILLISECOND;

/// How often a key may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Between two admissions at an even rate, in nanoseconds.
    interval: Nanos,
    /// Admissions at once after a pause.
    burst: u32,
}

impl Rate {
    /// `count` in `period` nanoseconds, and `burst` at once after a pause. None if one of them is 0,
    /// or if the interval between two or the time of the burst exceeds a day.
    pub fn new(count: u64, period: Nanos, burst: u32) -> Option<Rate> {
        // Rounded up, so that no window ever sees one too many.
        let interval = period.checked_add(count.checked_sub(1)?)? / count;
        let tolerance = interval.checked_mul(u64::from(burst.checked_sub(1)?))?;
        (interval > 0 && interval <= MAX_SPAN && tolerance <= MAX_SPAN)
            .then_some(Rate { interval, burst })
    }

    /// The time between two admissions at an even rate, in nanoseconds.
    pub fn interval(&self) -> Nanos {
        self.interval
    }

    /// How far ahead of now a theoretical arrival time may be, in nanoseconds.
    pub(crate) fn tolerance(&self) -> Nanos {
        self.interval * u64::from(self.burst - 1)
    }

    /// How long a key must wait whose theoretical arrival time is `due`, in nanoseconds; 0 if it is
    /// admitted now.
    pub(crate) fn wait(&self, now: Nanos, due: Nanos) -> Nanos {
        due.saturating_sub(now.saturating_add(self.tolerance()))
    }

    /// The theoretical arrival time after an admission now.
    pub(crate) fn next_due(&self, now: Nanos, due: Nanos) -> Nanos {
        due.max(now).saturating_add(self.interval)
    }
}
