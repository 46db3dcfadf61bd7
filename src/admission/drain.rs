//! Leaving: from the notice until the end of its grace what arrives may still run; everything is
//! answered before the process is stopped.

use super::measure::UPDATE_INTERVAL;
use crate::{Deployment, Nanos};

/// A drain that has begun.
#[derive(Clone, Copy)]
pub(super) struct Drain {
    /// When the notice to leave came.
    pub(super) noticed_at: Nanos,
    /// When the process ends.
    pub(super) stops_at: Nanos,
}

impl Drain {
    /// Whether what arrived then must not run.
    pub(super) fn is_past_grace(&self, arrived_at: Nanos, deployment: &Deployment) -> bool {
        arrived_at > self.noticed_at + deployment.drain_grace
    }

    /// Whether all traffic is to stay away. Where few other nodes would get its share, a node
    /// serves on for as much of the grace as they are fewer; the last load report before its end
    /// reaches clients in time.
    pub(super) fn sends_all_away(&self, now: Nanos, deployment: &Deployment) -> bool {
        let others = deployment.nodes.saturating_sub(1).max(1) as Nanos;
        now + UPDATE_INTERVAL * others >= self.noticed_at + deployment.drain_grace
    }
}
