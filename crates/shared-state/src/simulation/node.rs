//! Node.

use crate::Nanos;
use crate::budget::{BudgetRequest, Lease, NodeBudgets};
use crate::counters::ProcessCounters;
use crate::keyed_quota::QuotaGrant;
use crate::keyed_quota::borrower::QuotaBorrower;
use crate::messages::ReceivedMessage;
use crate::shared_state::{Host, SharedState};

pub(super) struct SimulatedActions {
    pub(super) sent: Vec<(u64, ReceivedMessage)>,
    pub(super) ends: NodeBudgets,
    pub(super) wallet: QuotaBorrower,
}

impl Host for SimulatedActions {
    fn send(&mut self, to: u64, told: ReceivedMessage) {
        self.sent.push((to, told));
    }
    fn log(&mut self, _: &str) {}
    fn wants(&mut self, now: Nanos) -> (Nanos, Vec<BudgetRequest>) {
        (now, self.ends.wants(now))
    }
    fn lent(&mut self, now: Nanos, asked: Nanos, parts: &[(u32, Lease)]) {
        self.ends.lent(now, asked, parts);
    }
    fn keys_lent(&mut self, now: Nanos, lent: QuotaGrant) {
        self.wallet.lent(now, &lent);
    }
    fn let_go(&mut self, now: Nanos) -> bool {
        let free = self.wallet.let_go();
        self.ends.let_go(now) && free
    }
}

pub(super) struct SimulatedNode {
    pub(super) shared: Option<SharedState<SimulatedActions>>,
    pub(super) life: u64,
    pub(super) rate: f64,
    pub(super) still_until: Nanos,
    /// Tries that are owed to its load.
    pub(super) owed: f64,
    /// For the even part: saved calls.
    pub(super) saved: f64,
    /// For the counter: tries that wait for an answer are not counted; this is what was allowed.
    pub(super) up_since: Nanos,
    /// What it counted, and when it tells that.
    pub(super) tally: ProcessCounters,
    pub(super) tells: Nanos,
}
