//! What the cluster shares and limits backend calls: budgets, the health of the backend service,
//! the gate by both, and keyed quotas.

use super::backend_calls::BackendCall;
use super::{NodeState, Timer};
use crate::actions::Actions;
use crate::idempotency_cache::IdempotencyKey;
use crate::log::part;
use madderpoint::{Nanos, OperationId};
use madderpoint_shared_state::keyed_quota::QuotaRequest;
use madderpoint_shared_state::{BackendGate, HealthState, NodeBudgets, ServiceHealth};
use tracing::info;

/// This node's end of what is shared.
#[derive(Default)]
pub struct SharedLimits {
    /// Budgets of the cluster; none where none are shared.
    pub budgets: Option<Box<NodeBudgets>>,
    /// The health of the backend service; none where it is not watched together.
    pub service_health: Option<Box<ServiceHealth>>,
    /// A backend call that takes longer counts as failed.
    pub slow_call_threshold: Option<Nanos>,
    /// Admits requests that need a backend call; none where neither of the above is shared.
    pub backend_gate: Option<Box<BackendGate>>,
}

impl<A: Actions> NodeState<A> {
    /// A call that took units of the budgets has ended. The backend may still be at work on one
    /// that was abandoned or whose connection broke: it occupies them for as long as the longest
    /// call.
    pub fn release_budget(&mut self, call: &BackendCall, may_linger: bool) {
        let longest = self
            .shared
            .budgets
            .as_ref()
            .and_then(|budgets| budgets.max_call_time());
        let Some(longest) = longest.filter(|_| call.has_budget()) else {
            return;
        };
        let left = (call.started() + longest).saturating_sub(self.now);
        if may_linger && call.link().is_some() && left > 0 {
            return self.set_timer(left, Timer::AbandonedCallExpired(call.is_retry()));
        }
        self.budget_released(call.is_retry());
    }

    /// A call no longer occupies its units of the budgets.
    pub fn budget_released(&mut self, is_retry: bool) {
        let Some(budgets) = &mut self.shared.budgets else {
            return;
        };
        budgets.release(is_retry);
        if self.queued_calls() > 0
            && let Some(budgets) = &mut self.shared.budgets
            && budgets.retry_after_if_full(self.now).is_none()
        {
            self.check_queue_now();
        }
    }

    /// Whether the backend gate admits a request that needs a call: true if it was asked, false if
    /// it has no part in this one. Else when it is worth to come back.
    pub fn ask_backend_gate(
        &mut self,
        operation: OperationId,
        key: Option<IdempotencyKey>,
    ) -> Result<bool, Nanos> {
        if self.shared.backend_gate.is_none() {
            return Ok(false);
        }
        let operation = &self.config.deployment.operations[operation.0];
        // A repeat needs no call: what it repeats makes it.
        let is_repeat =
            key.is_some_and(|key| self.idempotency_cache.original(self.now, key).is_some());
        if !operation.calls_downstream || operation.weight_fraction_without_call > 0.0 || is_repeat
        {
            return Ok(false);
        }
        self.apply_recovery_ramp();
        let shared = &mut self.shared;
        let Some(gate) = &mut shared.backend_gate else {
            return Ok(false);
        };
        gate.admits(
            self.now,
            shared.budgets.as_deref_mut(),
            shared.service_health.as_deref_mut(),
        )
        .map(|()| true)
    }

    /// While the backend service starts, budgets give the share of their rates that its health
    /// allows: the sum of what all nodes send rises with the service, however much is wanted.
    pub fn apply_recovery_ramp(&mut self) {
        if let (Some(budgets), Some(health)) =
            (&mut self.shared.budgets, &self.shared.service_health)
        {
            budgets.set_usable_share(self.now, health.budget_share(self.now));
        }
    }

    /// Whether the health of the backend service admits a call.
    pub fn service_health_admits(&mut self, is_gated: bool) -> bool {
        self.with_service_health(|health, now| health.admits(now, is_gated))
            .unwrap_or(true)
    }

    /// A call to the backend service ended.
    pub fn note_service_call(&mut self, has_succeeded: bool, latency: Nanos) {
        let is_slow = self
            .shared
            .slow_call_threshold
            .is_some_and(|threshold| latency > threshold);
        self.with_service_health(|health, now| health.call_ended(now, has_succeeded && !is_slow));
    }

    /// Reads or changes the health of the backend service, and logs if the node treats the service
    /// differently since.
    pub fn with_service_health<T>(
        &mut self,
        f: impl FnOnce(&mut ServiceHealth, Nanos) -> T,
    ) -> Option<T> {
        let health = self.shared.service_health.as_mut()?;
        let (state_before, level_before) = (health.state(), health.admitted_share());
        let result = f(health, self.now);
        let (state, level) = (health.state(), health.admitted_share());
        if state != state_before || level > level_before && state == HealthState::Recovering {
            let own = health.report(self.now);
            let others = health.aggregated_health(self.now).unwrap_or_default();
            info!(
                target: part::BACKEND,
                from = %state_before.label(),
                to = %state.label(),
                failed = own.failed,
                calls = own.calls,
                reporters_against = others.failing,
                reporters = others.reporters,
                zones_against = others.failing_zones,
                zones = others.zones,
                admitted_percent = (level * 100.0).round(),
                "service health changed"
            );
        }
        Some(result)
    }

    /// Has a timer fire when the next quota request is due. One that fires too soon only looks
    /// again.
    pub fn set_quota_request_timer(&mut self) {
        let due = self
            .rules
            .as_ref()
            .and_then(|rules| rules.next_quota_request(self.now));
        if let Some(due) = due
            && self.quota_request_due.is_none_or(|set| due < set)
        {
            self.quota_request_due = Some(due);
            self.set_timer(due.saturating_sub(self.now), Timer::QuotaRequests);
        }
    }

    /// The timer fired: gives the quota requests that are due.
    pub fn due_quota_requests(&mut self) -> Vec<QuotaRequest> {
        self.quota_request_due = None;
        let now = self.now;
        let requests = self
            .rules
            .iter_mut()
            .flat_map(|rules| std::iter::from_fn(|| rules.quota_request(now)))
            .collect();
        self.set_quota_request_timer();
        requests
    }
}
