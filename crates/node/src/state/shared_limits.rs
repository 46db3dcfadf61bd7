//! Limits shared with the cluster: budgets and the health of the backend service, the backend gate
//! that applies both, and keyed quotas.

use super::backend_calls::BackendCall;
use super::{NodeState, Timer};
use crate::actions::Actions;
use crate::idempotency_cache::IdempotencyKey;
use crate::log::part;
use madderpoint::{Nanos, OperationId};
use madderpoint_shared_state::keyed_quota::QuotaRequest;
use madderpoint_shared_state::{BackendGate, HealthState, NodeBudgets, ServiceHealth};
use tracing::info;

/// This node's part of the budgets and the service health that the cluster shares.
#[derive(Default)]
pub struct SharedLimits {
    /// Budgets of the cluster; `None` if none are shared.
    pub budgets: Option<Box<NodeBudgets>>,
    /// Health of the backend service; `None` if the cluster does not track it.
    pub service_health: Option<Box<ServiceHealth>>,
    /// Backend calls that take longer than this count as failed; `None` disables the check.
    pub slow_call_threshold: Option<Nanos>,
    /// Gate for requests that need a backend call; `None` if neither budgets nor service health are
    /// shared.
    pub backend_gate: Option<Box<BackendGate>>,
}

impl<A: Actions> NodeState<A> {
    /// Releases the budget units of a call that has ended. If `may_linger`, the backend may still
    /// be executing the call, because it was abandoned or its connection was lost; its units then
    /// stay occupied until the longest call time has passed since the call was sent.
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

    /// Returns the units of a call to the budgets, and sends queued calls if units are free.
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

    /// Checks whether the backend gate admits a request. Returns true if the gate admitted the
    /// request, and false if the gate does not apply to the request. The error is the time after
    /// which a retry may succeed.
    pub fn check_backend_gate(
        &mut self,
        operation: OperationId,
        key: Option<IdempotencyKey>,
    ) -> Result<bool, Nanos> {
        if self.shared.backend_gate.is_none() {
            return Ok(false);
        }
        let operation = &self.config.deployment.operations[operation.0];
        // A repeat needs no call, because the request that it repeats makes the call.
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

    /// Limits the budgets to the share of their rates that the service's health allows. During the
    /// recovery ramp the total rate of all nodes then rises with the service, whatever the demand.
    pub fn apply_recovery_ramp(&mut self) {
        if let (Some(budgets), Some(health)) =
            (&mut self.shared.budgets, &self.shared.service_health)
        {
            budgets.set_usable_share(self.now, health.budget_share(self.now));
        }
    }

    /// Returns whether the health of the backend service admits a call; true if the health is not
    /// tracked.
    pub fn service_health_admits(&mut self, is_gated: bool) -> bool {
        self.with_service_health(|health, now| health.admits(now, is_gated))
            .unwrap_or(true)
    }

    /// Records a call to the backend service that ended. A slow call counts as failed.
    pub fn record_service_call(&mut self, has_succeeded: bool, latency: Nanos) {
        let is_slow = self
            .shared
            .slow_call_threshold
            .is_some_and(|threshold| latency > threshold);
        self.with_service_health(|health, now| health.call_ended(now, has_succeeded && !is_slow));
    }

    /// Applies `f` to the health of the backend service, and logs a change of the health state or a
    /// rise of the share of admitted calls during recovery. Returns `None` if the health is not
    /// tracked.
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

    /// Sets a timer for the next quota request, unless an earlier one is set. A timer that fires
    /// too soon only sets the next timer.
    pub fn set_quota_request_timer(&mut self) {
        let due = self
            .rules
            .as_ref()
            .and_then(|rules| rules.next_quota_request(self.now));
        if let Some(due) = due
            && self.quota_request_due.is_none_or(|current| due < current)
        {
            self.quota_request_due = Some(due);
            self.set_timer(due.saturating_sub(self.now), Timer::QuotaRequests);
        }
    }

    /// Returns the quota requests that are due when the timer fires, and sets the next timer.
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
