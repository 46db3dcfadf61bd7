//! Draining: requests that arrive within the drain grace may still run, and every request is
//! answered before the process is stopped.

use super::measure::UPDATE_INTERVAL;
use crate::{Deployment, Nanos};

/// A drain in progress.
#[derive(Clone, Copy)]
pub(super) struct Drain {
    /// Time at which the drain began.
    pub(super) begun_at: Nanos,
    /// Time at which the process will be stopped.
    pub(super) stops_at: Nanos,
}

impl Drain {
    /// Returns whether a request that arrived at `arrived_at` must not run.
    pub(super) fn is_past_grace(&self, arrived_at: Nanos, deployment: &Deployment) -> bool {
        arrived_at > self.begun_at + deployment.drain_grace
    }

    /// Returns whether all traffic is held back. The hold starts before the end of the grace, by
    /// the number of other nodes times the update interval: the fewer other nodes there are, the
    /// larger the share of the traffic that each would have to take, and the longer this node
    /// continues to serve. The factor is at least 1, so that load balancers receive the last load
    /// report before the grace ends.
    pub(super) fn holds_back_all(&self, now: Nanos, deployment: &Deployment) -> bool {
        let others = deployment.nodes.saturating_sub(1).max(1) as Nanos;
        now + UPDATE_INTERVAL * others >= self.begun_at + deployment.drain_grace
    }
}
