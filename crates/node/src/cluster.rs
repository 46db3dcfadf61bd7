//! What the node knows of its cluster, and what it reports of itself there. Decisions work the same
//! without a cluster, and nothing waits for it.

#![warn(missing_docs)]

use madderpoint::{LoadReport, Nanos};
use madderpoint_membership::{ClusterView, Phase};
use madderpoint_shared_state::keyed_quota::QuotaRequest;
use madderpoint_shared_state::status::StatusSnapshot;
use madderpoint_shared_state::{BudgetRequest, HealthReport, counters};

/// Successful executions after which a node that started cold counts as warm.
const WARM_AFTER: u32 = 64;

/// What a node reports of itself.
#[derive(Clone, Debug, PartialEq)]
pub enum ClusterUpdate {
    /// The phase of its process.
    Phase(Phase),
    /// Its load hint.
    LoadHint {
        /// What it has room for, 255 at most.
        capacity: u8,
        /// Requests in flight, 255 at most.
        load: u8,
    },
    /// What it requests of the budgets, and has of them.
    BudgetRequests {
        /// When the requests were made.
        at: Nanos,
        /// One for each budget.
        requests: Vec<BudgetRequest>,
    },
    /// What it requests of keyed quotas, and has of them.
    QuotaRequest(QuotaRequest),
    /// What it sees of the backend service.
    HealthReport(HealthReport),
    /// What it has counted so far.
    Counters(Box<counters::CounterReport>),
    /// Its part of a status snapshot.
    StatusSnapshot(Box<StatusSnapshot>),
    /// It uses no leases any more; whether none of their units is in use.
    LeasesReleased(bool),
}

/// The node as a member of its cluster.
#[derive(Debug, Default)]
pub struct ClusterParticipation {
    /// What is seen of the cluster; none until membership has reported.
    pub view: Option<ClusterView>,
    phase: Option<Phase>,
    executions_succeeded: u32,
    /// The capacity and load that were sent last.
    load_hint: Option<(u8, u8)>,
}

impl ClusterParticipation {
    /// Enters a phase; nothing if the node is in it or in a later one.
    fn enter(&mut self, phase: Phase) -> Option<ClusterUpdate> {
        let is_new = self.phase.is_none_or(|before| before < phase);
        is_new.then(|| {
            self.phase = Some(phase);
            ClusterUpdate::Phase(phase)
        })
    }

    /// The executor is up.
    pub fn executor_booted(&mut self, is_cold: bool) -> Option<ClusterUpdate> {
        self.enter(if is_cold { Phase::Cold } else { Phase::Serving })
    }

    /// An execution succeeded; enough of them, and the node is warm.
    pub fn execution_succeeded(&mut self) -> Option<ClusterUpdate> {
        self.executions_succeeded = self.executions_succeeded.saturating_add(1);
        if self.executions_succeeded == WARM_AFTER {
            self.enter(Phase::Serving)
        } else {
            None
        }
    }

    /// The drain began.
    pub fn drain_started(&mut self) -> Option<ClusterUpdate> {
        self.enter(Phase::Draining)
    }

    /// The load hint, if it is another than was sent last.
    pub fn load_hint(
        &mut self,
        kind: LoadReport,
        load_report: Option<f64>,
        in_flight: usize,
    ) -> Option<ClusterUpdate> {
        let share = |fraction: f64| (fraction.clamp(0.0, 1.0) * 255.0) as u8;
        let capacity = match (kind, load_report) {
            (LoadReport::Disabled, _) | (_, None) => 255,
            (LoadReport::SheddingLevel, Some(held_back)) => share(1.0 - held_back),
            (LoadReport::Weight, Some(weight)) => share(weight),
            (LoadReport::Credit, Some(credit)) => credit.clamp(0.0, 255.0) as u8,
        };
        let load = u8::try_from(in_flight).unwrap_or(u8::MAX);
        let is_new = self.load_hint.replace((capacity, load)) != Some((capacity, load));
        is_new.then_some(ClusterUpdate::LoadHint { capacity, load })
    }
}

#[cfg(test)]
mod tests;
