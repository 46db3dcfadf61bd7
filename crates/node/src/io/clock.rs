//! The node's clock.

use crate::node::ClockReading;
use madderpoint::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The node's own time counts from the Unix epoch, so that what was sent long before the node
/// started has its place too, but it never jumps with the system's clock.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    /// Unix time at the start.
    unix: Duration,
}

impl Clock {
    /// A clock that starts at the system's present time.
    pub fn start() -> Clock {
        Clock {
            started: Instant::now(),
            unix: unix(),
        }
    }

    /// The node's time, and the system's.
    pub fn read(self) -> ClockReading {
        ClockReading {
            now: self.now(),
            unix_ms: unix().as_millis() as u64,
        }
    }

    /// The node's time.
    pub fn now(self) -> Nanos {
        (self.unix + self.started.elapsed()).as_nanos() as Nanos
    }
}

fn unix() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
