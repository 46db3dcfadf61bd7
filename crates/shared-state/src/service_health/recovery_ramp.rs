//! Ramp.

use super::{FIRST, HealthState, ServiceHealth, TwoHalfWindow};
use crate::Nanos;

impl ServiceHealth {
    /// One step further, but not beyond twice what the others let through, who come back with it.
    pub(super) fn rise(&mut self, now: Nanos) {
        let others = self
            .others(now)
            .map(|opinion| opinion.level)
            .filter(|level| *level > 0.0);
        self.since = now;
        self.level = (self.level * 2.0)
            .min(others.unwrap_or(1.0).max(FIRST) * 2.0)
            .min(1.0);
        if self.level >= 1.0 {
            self.risen = Some(now);
            self.enter(now, HealthState::Healthy);
        }
    }

    pub(super) fn come_back(&mut self, now: Nanos) {
        (self.halves, self.failed_in_a_row) = ([TwoHalfWindow::default(); 2], 0);
        self.level = FIRST;
        self.enter(now, HealthState::Recovering);
    }
}
