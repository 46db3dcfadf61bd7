//! The node's clock.

use crate::node::ClockReading;
use madderpoint::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The node's clock. Its time counts from the Unix epoch, so that points in time before the node's
/// start can be expressed too, but after the start it does not follow changes of the system's clock.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// Unix time at the start of the clock.
    unix_at_start: Duration,
}

impl Clock {
    /// Returns a clock that starts at the system's current time.
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
            unix_at_start: unix_time(),
        }
    }

    /// Returns the node's time and the system's Unix time.
    pub fn read(self) -> ClockReading {
        ClockReading {
            now: self.now(),
            unix_ms: unix_time().as_millis() as u64,
        }
    }

    /// Returns the node's time, in nanoseconds.
    pub fn now(self) -> Nanos {
        (self.unix_at_start + self.started.elapsed()).as_nanos() as Nanos
    }
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
