//! Grants and reports that this node receives from the cluster, and requests and reports that it
//! sends.

use super::Node;
use crate::actions::Actions;
use crate::cluster::{ClusterParticipation, ClusterUpdate};
use crate::log::part;
use crate::state::Timer;
use madderpoint::Nanos;
use madderpoint_membership::ClusterView;
use madderpoint_shared_state::keyed_quota::QuotaGrant;
use madderpoint_shared_state::status::StatusSnapshot;
use madderpoint_shared_state::{AggregatedHealth, Budget, Lease};
use tracing::info;

/// Interval between load hints.
pub(super) const LOAD_HINT_PERIOD: Nanos = 1_000_000_000;
/// Interval between requests for units of the cluster's budgets.
pub(super) const BUDGET_REQUEST_PERIOD: Nanos = 250_000_000;
/// Interval between health reports on the backend service.
pub(super) const HEALTH_REPORT_PERIOD: Nanos = 500_000_000;
/// Interval between counter reports.
pub(super) const COUNTER_REPORT_PERIOD: Nanos = 5_000_000_000;

impl<A: Actions> Node<A> {
    /// Sends the update that the closure returns to the cluster. Does nothing outside a cluster or
    /// if the closure returns `None`.
    pub(super) fn update_cluster(
        &mut self,
        update: impl FnOnce(&mut ClusterParticipation) -> Option<ClusterUpdate>,
    ) {
        if let Some(update) = self.cluster.as_mut().and_then(update) {
            self.state.borrow_mut().actions.update_cluster(update);
        }
    }

    pub(super) fn on_cluster_changed(&mut self, view: ClusterView) {
        if let Some(cluster) = &mut self.cluster {
            cluster.view = Some(view);
        }
    }

    pub(super) fn on_leases_granted(
        &mut self,
        now: Nanos,
        requested_at: Nanos,
        leases: &[(u32, Lease)],
    ) {
        if let Some(budgets) = &mut self.state.borrow_mut().shared.budgets {
            budgets.receive_leases(now, requested_at, leases);
        }
        self.log_lease_changes(now);
    }

    pub(super) fn on_quota_granted(&mut self, now: Nanos, grant: &QuotaGrant) {
        if let Some(rules) = &mut self.state.borrow_mut().rules {
            rules.quota_granted(now, grant);
        }
    }

    pub(super) fn on_budgets_changed(&mut self, limits: &[Budget]) {
        if let Some(budgets) = &mut self.state.borrow_mut().shared.budgets {
            budgets.update_budgets(limits);
        }
    }

    pub(super) fn on_aggregated_health(&mut self, others: AggregatedHealth) {
        self.state
            .borrow_mut()
            .with_service_health(|health, now| health.receive_reports(now, others));
    }

    /// Requests units of the budgets. While the node drains, it only reports units that have become
    /// free.
    pub(super) fn send_budget_requests(&mut self, now: Nanos) {
        let requests = {
            let mut state = self.state.borrow_mut();
            state.set_timer(BUDGET_REQUEST_PERIOD, Timer::BudgetRequests);
            let weight = state.mean_priority_weight();
            state.shared.budgets.as_mut().map(|budgets| {
                if let Some(weight) = weight {
                    budgets.set_value(weight);
                }
                budgets.requests(now)
            })
        };
        if let Some(requests) = requests {
            self.update_cluster(|_| Some(ClusterUpdate::BudgetRequests { at: now, requests }));
        }
    }

    /// Sends this node's health report on the backend service.
    pub(super) fn send_health_report(&mut self) {
        let report = {
            let mut state = self.state.borrow_mut();
            state.set_timer(HEALTH_REPORT_PERIOD, Timer::HealthReport);
            state.with_service_health(|health, now| health.evaluate(now));
            state.with_service_health(|health, now| health.report(now))
        };
        if let Some(report) = report {
            self.update_cluster(|_| Some(ClusterUpdate::HealthReport(report)));
        }
    }

    /// Sends the counter report.
    pub(super) fn send_counter_report(&mut self) {
        let report = {
            let mut state = self.state.borrow_mut();
            state.set_timer(COUNTER_REPORT_PERIOD, Timer::CounterReport);
            state.counter_report()
        };
        if let Some(report) = report {
            self.update_cluster(|_| Some(ClusterUpdate::Counters(Box::new(report))));
        }
    }

    /// Sends this node's part of a status snapshot: budgets, service health, backend gate and
    /// quotas.
    pub(super) fn send_status_snapshot(&mut self, now: Nanos) {
        let mut snapshot = StatusSnapshot::default();
        {
            let mut state = self.state.borrow_mut();
            let queued_calls = state.queued_calls();
            if let Some(budgets) = &mut state.shared.budgets {
                snapshot.with_budgets(now, budgets);
            }
            if let Some(health) = &mut state.shared.service_health {
                snapshot.with_service(now, &self.service_name, health);
            }
            if let Some(gate) = &state.shared.backend_gate {
                snapshot.with_gate(gate, queued_calls);
            }
            if let Some(borrower) = state
                .rules
                .as_ref()
                .and_then(|rules| rules.quota_borrower())
            {
                snapshot.with_quotas(now, borrower);
            }
        }
        self.update_cluster(|_| Some(ClusterUpdate::StatusSnapshot(Box::new(snapshot))));
    }

    /// Logs each transition of a budget, or of the quotas, to its guaranteed floor or back to a
    /// lease.
    fn log_lease_changes(&mut self, now: Nanos) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if let Some(budgets) = &mut state.shared.budgets {
            let borrowers = budgets.borrowers();
            self.budgets_at_floor.resize(borrowers.len(), true);
            for (borrower, was_at_floor) in borrowers.iter().zip(&mut self.budgets_at_floor) {
                let is_at_floor = borrower.is_at_floor(now);
                if std::mem::replace(was_at_floor, is_at_floor) != is_at_floor {
                    let budget = borrower.budget();
                    let (name, units, limit) = (&budget.name, borrower.units(now), budget.limit);
                    let message = if is_at_floor {
                        "no lease: only the guaranteed floor may be used"
                    } else {
                        "lease granted"
                    };
                    info!(target: part::SHARED_STATE, budget = %name, units, limit, "{message}");
                }
            }
        }
        if let Some(borrower) = state
            .rules
            .as_ref()
            .and_then(|rules| rules.quota_borrower())
        {
            let has_no_lender = borrower.is_cut_off(now);
            if std::mem::replace(&mut self.quotas_without_lender, has_no_lender) != has_no_lender {
                let message = if has_no_lender {
                    "no lender of quotas heard: only guaranteed floors may be used"
                } else {
                    "a lender of quotas heard again"
                };
                info!(target: part::SHARED_STATE, keys = borrower.tracked_keys(), "{message}");
            }
        }
    }

    /// Sends the requests for units of keyed quotas that are due.
    pub(super) fn send_quota_requests(&mut self) {
        let requests = self.state.borrow_mut().due_quota_requests();
        for request in requests {
            self.update_cluster(|_| Some(ClusterUpdate::QuotaRequest(request)));
        }
    }

    /// Sends the load hint if it has changed, and logs changes of leases.
    pub(super) fn send_load_hint(&mut self, now: Nanos) {
        self.log_lease_changes(now);
        let (in_flight, load_report) = {
            let mut state = self.state.borrow_mut();
            state.set_timer(LOAD_HINT_PERIOD, Timer::LoadHint);
            (state.in_flight(), state.load_report())
        };
        let kind = self.config.deployment.load_report;
        self.update_cluster(|cluster| cluster.load_hint(kind, load_report, in_flight));
    }

    /// Stops using all leases before the process ends, and reports to the cluster whether every
    /// leased unit is free.
    pub fn release_leases(&mut self, now: Nanos) {
        let is_free = {
            let mut state = self.state.borrow_mut();
            let budgets_free = state
                .shared
                .budgets
                .as_mut()
                .is_none_or(|budgets| budgets.drop_leases(now));
            let quotas_free = state
                .rules
                .as_mut()
                .is_none_or(|rules| rules.release_leases());
            budgets_free && quotas_free
        };
        self.update_cluster(|_| Some(ClusterUpdate::LeasesReleased(is_free)));
    }
}
