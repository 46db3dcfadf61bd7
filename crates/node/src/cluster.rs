//! The node's view of its cluster, and the updates that it sends to the cluster. Admission
//! decisions work without a cluster, and nothing in the node waits for the cluster.

#![warn(missing_docs)]

use madderpoint::{LoadReport, Nanos};
use madderpoint_membership::{ClusterView, Phase};
use madderpoint_shared_state::keyed_quota::QuotaRequest;
use madderpoint_shared_state::status::StatusSnapshot;
use madderpoint_shared_state::{BudgetRequest, HealthReport, counters};

/// Number of successful executions after which a node that started cold counts as warm.
const WARM_AFTER: u32 = 64;

/// An update that the node sends to the cluster about itself.
#[derive(Clone, Debug, PartialEq)]
pub enum ClusterUpdate {
    /// The phase that the node's process has entered.
    Phase(Phase),
    /// Load hint for the other members of the cluster.
    LoadHint {
        /// Capacity of the node, from 0 to 255; its meaning depends on the kind of load report.
        capacity: u8,
        /// Number of requests in flight, capped at 255.
        load: u8,
    },
    /// The node's demand for units of the budgets, and the units that it holds.
    BudgetRequests {
        /// Node's time at which the requests were made.
        at: Nanos,
        /// One request for each budget of the cluster.
        requests: Vec<BudgetRequest>,
    },
    /// The node's demand for units of keyed quotas, and the units that it holds.
    QuotaRequest(QuotaRequest),
    /// This node's health report on the backend service, for other nodes.
    HealthReport(HealthReport),
    /// The node's counters, as totals since the start of the process.
    Counters(Box<counters::CounterReport>),
    /// The node's part of a status snapshot.
    StatusSnapshot(Box<StatusSnapshot>),
    /// The node no longer uses its leases. The value is true if none of their units is in use any
    /// more.
    LeasesReleased(bool),
}

/// State of the node as a member of its cluster: its view, phase and last load hint.
#[derive(Debug, Default)]
pub struct ClusterParticipation {
    /// Latest view of the cluster; `None` until membership has sent one.
    pub view: Option<ClusterView>,
    phase: Option<Phase>,
    executions_succeeded: u32,
    /// Capacity and load of the last load hint sent.
    load_hint: Option<(u8, u8)>,
}

impl ClusterParticipation {
    /// Enters a phase and returns the update to send, or `None` if the node is already in this or a
    /// later phase.
    fn enter(&mut self, phase: Phase) -> Option<ClusterUpdate> {
        let is_new = self.phase.is_none_or(|current| current < phase);
        is_new.then(|| {
            self.phase = Some(phase);
            ClusterUpdate::Phase(phase)
        })
    }

    /// Records that the executor has booted, warm or cold.
    pub fn executor_booted(&mut self, is_cold: bool) -> Option<ClusterUpdate> {
        self.enter(if is_cold { Phase::Cold } else { Phase::Serving })
    }

    /// Records a successful execution. After [`WARM_AFTER`] of them a cold node is warm and enters
    /// the serving phase.
    pub fn execution_succeeded(&mut self) -> Option<ClusterUpdate> {
        self.executions_succeeded = self.executions_succeeded.saturating_add(1);
        if self.executions_succeeded == WARM_AFTER {
            self.enter(Phase::Serving)
        } else {
            None
        }
    }

    /// Records the start of the drain.
    pub fn drain_started(&mut self) -> Option<ClusterUpdate> {
        self.enter(Phase::Draining)
    }

    /// Returns the load hint to send, or `None` if it equals the last one sent.
    pub fn load_hint(
        &mut self,
        kind: LoadReport,
        load_report: Option<f64>,
        in_flight: usize,
    ) -> Option<ClusterUpdate> {
        let scaled = |fraction: f64| (fraction.clamp(0.0, 1.0) * 255.0) as u8;
        let capacity = match (kind, load_report) {
            (LoadReport::Disabled, _) | (_, None) => 255,
            (LoadReport::SheddingLevel, Some(level)) => scaled(1.0 - level),
            (LoadReport::Weight, Some(weight)) => scaled(weight),
            (LoadReport::Credit, Some(credit)) => credit.clamp(0.0, 255.0) as u8,
        };
        let load = u8::try_from(in_flight).unwrap_or(u8::MAX);
        let is_new = self.load_hint.replace((capacity, load)) != Some((capacity, load));
        is_new.then_some(ClusterUpdate::LoadHint { capacity, load })
    }
}

#[cfg(test)]
mod tests;
