//! The health report of one node on a service.

use super::{CONCLUSIVE_IN_A_ROW, FAILING_RATIO, HEALTHY_RATIO, MIN_CALLS};

/// A report of one node on a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HealthReport {
    /// Zone of the reporting node.
    pub zone: u32,
    /// Number of the node's calls in its last window of 2 s.
    pub calls: u32,
    /// Number of the node's calls in that window that failed.
    pub failed: u32,
    /// Share of calls that the node admits, from 0 to 1.
    pub admitted_share: f64,
}

impl HealthReport {
    /// Returns the ratio of failed calls, from 0 to 1; 0 without calls.
    pub(super) fn failure_ratio(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.calls.max(1))
    }

    /// Returns whether the service is failing for the node: half of at least [`MIN_CALLS`] calls
    /// failed, or the node admits no calls.
    pub(super) fn is_failing(&self) -> bool {
        self.has_failing_window() || self.admitted_share == 0.0
    }

    /// Returns whether half of at least [`MIN_CALLS`] calls failed.
    pub(super) fn has_failing_window(&self) -> bool {
        self.calls >= MIN_CALLS && self.failure_ratio() >= FAILING_RATIO
    }

    /// Returns whether nearly all of at least [`MIN_CALLS`] calls succeeded.
    pub(super) fn is_healthy(&self) -> bool {
        self.calls >= MIN_CALLS && self.failure_ratio() <= HEALTHY_RATIO
    }

    /// Returns whether the service was healthy for the node in its last window. For a node with few
    /// calls, [`CONCLUSIVE_IN_A_ROW`] successes without a failure are enough; for a recovering node
    /// one success is enough, because its probes have succeeded before. Otherwise only nodes that
    /// admit no calls would have conclusive reports in clusters with few calls per node.
    pub(super) fn saw_healthy(&self) -> bool {
        let min_successes = if self.admitted_share < 1.0 {
            1
        } else {
            CONCLUSIVE_IN_A_ROW
        };
        self.is_healthy() || self.failed == 0 && self.calls >= min_successes
    }

    /// Returns whether the report is evidence on the state of the service. A report with few calls
    /// is evidence only if the node admits no calls or saw only successes.
    pub(super) fn is_conclusive(&self) -> bool {
        self.calls >= MIN_CALLS || self.admitted_share == 0.0 || self.saw_healthy()
    }
}
