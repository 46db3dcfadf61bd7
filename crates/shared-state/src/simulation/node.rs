//! A simulated node, and the host that performs its side effects.

use crate::Nanos;
use crate::budget::{BudgetRequest, Lease, NodeBudgets};
use crate::counters::ProcessCounters;
use crate::keyed_quota::QuotaGrant;
use crate::keyed_quota::borrower::QuotaBorrower;
use crate::messages::SharedMessage;
use crate::shared_state::{Host, SharedState};

/// Collects the messages that a node sends, and passes grants to the borrowers of the node.
pub(super) struct SimulatedHost {
    pub(super) sent: Vec<(u64, SharedMessage)>,
    pub(super) budgets: NodeBudgets,
    pub(super) quotas: QuotaBorrower,
}

impl Host for SimulatedHost {
    fn send(&mut self, to: u64, message: SharedMessage) {
        self.sent.push((to, message));
    }
    fn log(&mut self, _: &str) {}
    fn lease_requests(&mut self, now: Nanos) -> (Nanos, Vec<BudgetRequest>) {
        (now, self.budgets.requests(now))
    }
    fn receive_leases(&mut self, now: Nanos, requested_at: Nanos, leases: &[(u32, Lease)]) {
        self.budgets.receive_leases(now, requested_at, leases);
    }
    fn receive_quota_grant(&mut self, now: Nanos, grant: QuotaGrant) {
        self.quotas.receive_grant(now, &grant);
    }
    fn drop_leases(&mut self, now: Nanos) -> bool {
        let is_idle = self.quotas.drop_leases();
        self.budgets.drop_leases(now) && is_idle
    }
}

/// A simulated node.
pub(super) struct SimulatedNode {
    /// `None` while the node is down.
    pub(super) shared: Option<SharedState<SimulatedHost>>,
    pub(super) incarnation: u64,
    /// Rate of the clock of the node; 1 is exact.
    pub(super) clock_rate: f64,
    pub(super) suspended_until: Nanos,
    /// Accumulates the load; a call is attempted when the sum reaches 1.
    pub(super) load_credit: f64,
    /// For [`LimitStrategy::EvenByView`](super::LimitStrategy::EvenByView): the number of calls
    /// that may be made at `even_refilled_at`.
    pub(super) even_tokens: f64,
    pub(super) even_refilled_at: Nanos,
    pub(super) counters: ProcessCounters,
    pub(super) next_report: Nanos,
}

impl SimulatedNode {
    /// Creates a node that has not started yet.
    pub(super) fn new(clock_rate: f64) -> SimulatedNode {
        SimulatedNode {
            shared: None,
            incarnation: 0,
            clock_rate,
            suspended_until: 0,
            load_credit: 0.0,
            even_tokens: 0.0,
            even_refilled_at: 0,
            counters: ProcessCounters::default(),
            next_report: 0,
        }
    }
}
