//! What one node reports of a service, and what follows from that by itself.

use super::{CONCLUSIVE_IN_A_ROW, FAILING_RATIO, HEALTHY_RATIO, MIN_CALLS};

/// What a node reports of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HealthReport {
    /// The node's zone.
    pub zone: u32,
    /// Calls in its last window of 2 s.
    pub calls: u32,
    /// Of these, calls that failed.
    pub failed: u32,
    /// The share of calls that it admits, from 0 to 1.
    pub admitted_share: f64,
}

impl HealthReport {
    /// The ratio of failed calls, from 0 to 1; 0 without calls.
    pub(super) fn failure_ratio(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.calls.max(1))
    }

    /// Whether it sees the service fail: by half of enough calls, or by having closed it.
    pub(super) fn is_failing(&self) -> bool {
        self.has_failing_window() || self.admitted_share == 0.0
    }

    /// Whether half of enough calls failed.
    pub(super) fn has_failing_window(&self) -> bool {
        self.calls >= MIN_CALLS && self.failure_ratio() >= FAILING_RATIO
    }

    /// Whether nearly all of enough calls succeeded.
    pub(super) fn is_healthy(&self) -> bool {
        self.calls >= MIN_CALLS && self.failure_ratio() <= HEALTHY_RATIO
    }

    /// Whether it found the service healthy just now. Where a node makes few calls, some that all
    /// succeeded are enough; of a node that recovers one is, because it has proved the service before.
    /// Else clusters with few calls a node would hear only of the nodes that closed the service.
    pub(super) fn saw_healthy(&self) -> bool {
        let enough = if self.admitted_share < 1.0 {
            1
        } else {
            CONCLUSIVE_IN_A_ROW
        };
        self.is_healthy() || self.failed == 0 && self.calls >= enough
    }

    /// Whether it says anything: a node with few calls knows nothing, unless it has closed the
    /// service.
    pub(super) fn is_conclusive(&self) -> bool {
        self.calls >= MIN_CALLS || self.admitted_share == 0.0 || self.saw_healthy()
    }
}
