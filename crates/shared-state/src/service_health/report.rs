//! What a node says.

use super::{ILL, PROVED, TRIES, WELL};

/// What a node says of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HealthReport {
    pub zone: u32,
    /// In its last window.
    pub tries: u32,
    pub failed: u32,
    /// What it lets through, of all.
    pub level: f64,
}

impl HealthReport {
    pub(super) fn failing(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.tries.max(1))
    }

    pub(super) fn is_ill(&self) -> bool {
        self.tries >= TRIES && self.failing() >= ILL || self.level == 0.0
    }

    pub(super) fn is_well(&self) -> bool {
        self.tries >= TRIES && self.failing() <= WELL
    }

    /// Whether it found it well just now. Where there are few calls at all, some that all went well
    /// are as much as there is; one that comes back has proved it with those before. Else fleets
    /// with some calls a second and node would hear nobody but those who closed it, and come back
    /// one tryer after the other.
    pub(super) fn found_well(&self) -> bool {
        let enough = if self.level < 1.0 { 1 } else { PROVED };
        self.is_well() || self.failed == 0 && self.tries >= enough
    }

    /// Whether it says anything: one that tries too little knows nothing, unless it has closed the
    /// service to itself.
    pub(super) fn tells(&self) -> bool {
        self.tries >= TRIES || self.level == 0.0 || self.found_well()
    }
}
