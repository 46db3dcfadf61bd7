//! Backend calls: the timeout of an attempt, the limit of calls to a shared service, and the
//! handling of failed attempts.
//!
//! A shared service can sustain a certain mean number of calls in flight. This node's part of that
//! number is `downstream_call_limit`, as a mean over `downstream_call_window`. The number of calls
//! in flight stays within the limit, or within 1 if the limit is below 1. The time that calls used,
//! including the lingering of abandoned ones, is booked as a debt. The debt is paid back
//! continuously at a rate of half the limit, and up to half of limit times window can be used at
//! once. The mean over any window thus stays within the limit, however small the limit is.

use super::measure::LEARNING_RATE;
use super::operation::OperationProfile;
use super::request::Request;
use crate::{BackendCallOutcome, Deployment, Downstream, Idempotency, Nanos};
use rand::{Rng, RngExt};

/// Maximum number of attempts of one backend call.
const MAX_ATTEMPTS: u8 = 3;
/// A call that can be skipped or retried is abandoned after the lingering time plus this multiple
/// of the usual call time.
const CALL_TIME_FACTOR: f64 = 16.0;

/// Decision on an execution that needs a backend call.
pub(super) enum CallDecision {
    /// Make the call, and abandon it after `timeout`.
    Call { timeout: Nanos },
    /// Continue the execution without the call.
    Skip,
    /// Wait for downstream capacity.
    Wait,
}

/// Decision on an execution whose backend call failed.
pub(super) enum FailedCall {
    /// Continue the execution without the call.
    Skip,
    /// Answer the request with an error.
    Fail,
    /// Retry the call at the next update.
    RetryAtUpdate,
    /// Retry the call now.
    Retry,
}

/// State of the backend calls of this node.
pub(super) struct BackendCalls {
    /// Number of executions whose backend call is pending or in flight.
    pub(super) waiting: usize,
    /// Number of calls in flight.
    pub(super) in_flight: usize,
    /// Time at which the debt of past calls will be paid back.
    debt_cleared_at: Nanos,
    /// Moving average of the fraction of backend calls that failed, 0 to 1.
    pub(super) failure_share: f64,
}

impl BackendCalls {
    pub(super) fn new() -> Self {
        BackendCalls {
            waiting: 0,
            in_flight: 0,
            debt_cleared_at: 0,
            failure_share: 0.0,
        }
    }

    /// Returns whether any execution waits for a call that is not yet made.
    pub(super) fn any_pending(&self) -> bool {
        self.waiting > self.in_flight
    }

    /// Decides whether a request's call is made now. Without downstream capacity, a skippable call
    /// is skipped if `has_waited` is true (the call has waited until an update) or if more calls
    /// than there are cores wait.
    pub(super) fn decide(
        &self,
        now: Nanos,
        request: &Request,
        operation: &OperationProfile,
        deployment: &Deployment,
        has_waited: bool,
    ) -> CallDecision {
        let timeout = self.timeout(now, request, operation, deployment);
        let usual = (operation.call_time_s * 1e9) as Nanos;
        if self.has_capacity(deployment) && timeout > usual {
            CallDecision::Call { timeout }
        } else if is_skippable(operation)
            && (has_waited || self.waiting - self.in_flight > deployment.cores)
        {
            CallDecision::Skip
        } else {
            CallDecision::Wait
        }
    }

    /// Returns the timeout of a call: the time until the answer is due, or, if the call can be
    /// skipped, half of the time until the latency objective ends. The timeout is capped by a
    /// multiple of the usual call time and by the time that the downstream limit allows.
    fn timeout(
        &self,
        now: Nanos,
        request: &Request,
        operation: &OperationProfile,
        deployment: &Deployment,
    ) -> Nanos {
        let skippable = is_skippable(operation);
        let linger = deployment.abandoned_call_linger;
        let mut timeout = if skippable {
            request.times.objective_at.saturating_sub(now) / 2
        } else {
            request.times.answer_by.saturating_sub(now)
        };
        let retryable = operation.config.idempotency == Idempotency::Idempotent;
        if operation.call_time_s > 0.0 && (skippable || retryable) {
            // A hanging call must not block its execution for long. Abandoning the call before the
            // lingering time has passed would not relieve the backend.
            let max_call_time = (CALL_TIME_FACTOR * operation.call_time_s * 1e9) as Nanos;
            timeout = timeout.min(linger + max_call_time);
        }
        if deployment.downstream == Downstream::SharedService {
            let limit = deployment.downstream_call_limit;
            let debt = self.debt_cleared_at.saturating_sub(now) as f64;
            let usable = limit / 2.0 * (deployment.downstream_call_window as f64 - debt);
            timeout = timeout.min(((usable / limit.max(1.0)) as Nanos).saturating_sub(linger));
        }
        timeout
    }

    fn has_capacity(&self, deployment: &Deployment) -> bool {
        deployment.downstream != Downstream::SharedService
            || self.in_flight < deployment.downstream_call_limit.max(1.0) as usize
    }

    /// Books the time that an ended call used downstream. An abandoned call also uses the lingering
    /// time.
    pub(super) fn record_end(
        &mut self,
        now: Nanos,
        was_abandoned: bool,
        latency: Nanos,
        deployment: &Deployment,
    ) {
        self.in_flight -= 1;
        let linger = if was_abandoned {
            deployment.abandoned_call_linger
        } else {
            0
        };
        let used = (latency + linger) as f64;
        let debt = used * 2.0 / deployment.downstream_call_limit.max(1e-6);
        self.debt_cleared_at = self.debt_cleared_at.max(now) + debt as Nanos;
    }

    /// Returns whether a call is given up after `failed_attempts`. A call is retried only if it is
    /// known not to have run downstream or may run twice. The more calls fail, the fewer are
    /// retried, since retries from all nodes would prevent the backend from recovering.
    pub(super) fn gives_up(
        &self,
        failed_attempts: u8,
        operation: &OperationProfile,
        outcome: BackendCallOutcome,
        random: &mut impl Rng,
    ) -> bool {
        let retryable = operation.config.idempotency == Idempotency::Idempotent
            || outcome == BackendCallOutcome::NotExecuted;
        let is_exhausted = failed_attempts >= MAX_ATTEMPTS || !retryable;
        is_exhausted || random.random::<f64>() < self.failure_share
    }

    /// Updates the moving average of the fraction of failed calls with the outcome of a call.
    pub(super) fn observe_outcome(&mut self, failed: bool) {
        self.failure_share +=
            LEARNING_RATE / 2.0 * (f64::from(u8::from(failed)) - self.failure_share);
    }
}

/// Decides how an execution continues after a failed call. To avoid overloading a shared service,
/// its calls are skipped if possible and otherwise retried only at the next update.
pub(super) fn after_failure(
    gives_up: bool,
    operation: &OperationProfile,
    deployment: &Deployment,
) -> FailedCall {
    let is_shared = deployment.downstream == Downstream::SharedService;
    if is_skippable(operation) && (gives_up || is_shared) {
        FailedCall::Skip
    } else if gives_up {
        FailedCall::Fail
    } else if is_shared {
        FailedCall::RetryAtUpdate
    } else {
        FailedCall::Retry
    }
}

/// Returns whether an answer without the backend call still earns weight.
fn is_skippable(operation: &OperationProfile) -> bool {
    operation.config.weight_fraction_without_call > 0.0
}
