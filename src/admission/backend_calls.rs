//! Backend calls: how long an attempt may take, whether downstream has capacity for it, and what
//! follows when it fails.
//!
//! A shared service survives a mean number of calls in flight, of which this node has its part:
//! `downstream_call_limit` over `downstream_call_window`. Calls in flight stay within it, or one.
//! What calls used, lingering included, is booked as a debt that half of the limit pays back all
//! the time; half of the window's can be used at once. So the mean of any window keeps to the
//! limit, however small it is.

use super::measure::LEARNING_RATE;
use super::operation::OperationProfile;
use super::request::Request;
use crate::{BackendCallOutcome, Deployment, Downstream, Idempotency, Nanos};
use rand::{Rng, RngExt};

/// Attempts of one call.
const MOST_ATTEMPTS: u8 = 3;
/// How many times its usual time a call may take before it is abandoned.
const CALL_TIME_FACTOR: f64 = 16.0;

/// What happens to an execution that needs a backend call.
pub(super) enum CallDecision {
    /// The call is made, and abandoned after `timeout`.
    Call { timeout: Nanos },
    /// The execution goes on without it.
    Skip,
    /// It waits for capacity downstream.
    Wait,
}

/// What happens to an execution whose backend call failed.
pub(super) enum FailedCall {
    /// It goes on without the call.
    Skip,
    /// The request is answered with an error.
    Fail,
    /// The call is attempted again at the next update.
    RetryAtUpdate,
    /// The call is attempted again.
    Retry,
}

/// The backend calls of this node.
pub(super) struct BackendCalls {
    /// Executions whose backend call is wanted or in flight.
    pub(super) waiting: usize,
    /// Calls in flight.
    pub(super) in_flight: usize,
    /// When what calls have used of the limit will have been paid back.
    paid_back_at: Nanos,
    /// Share of calls that failed lately.
    pub(super) failure_share: f64,
}

impl BackendCalls {
    pub(super) fn new() -> Self {
        BackendCalls {
            waiting: 0,
            in_flight: 0,
            paid_back_at: 0,
            failure_share: 0.0,
        }
    }

    /// Whether there are executions whose call is not yet made.
    pub(super) fn any_pending(&self) -> bool {
        self.waiting > self.in_flight
    }

    /// Whether a request's call is made now. A call without capacity is skipped, where that earns
    /// something, if it `has_waited` until an update or more calls than cores are waiting.
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

    /// How long a call may take: the time until the answer is due, or half the time until the
    /// objective ends where the call can be skipped; at most some multiple of its usual time, and
    /// at most what the limit allows.
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
        let repeatable = operation.agreed.idempotency == Idempotency::Idempotent;
        if operation.call_time_s > 0.0 && (skippable || repeatable) {
            // A call that hangs must not block its execution for long; but abandoning it before
            // the lingering time relieves the backend of nothing.
            let patience = (CALL_TIME_FACTOR * operation.call_time_s * 1e9) as Nanos;
            timeout = timeout.min(linger + patience);
        }
        if deployment.downstream == Downstream::SharedService {
            let limit = deployment.downstream_call_limit;
            let owed = self.paid_back_at.saturating_sub(now) as f64;
            let usable = limit / 2.0 * (deployment.downstream_call_window as f64 - owed);
            timeout = timeout.min(((usable / limit.max(1.0)) as Nanos).saturating_sub(linger));
        }
        timeout
    }

    fn has_capacity(&self, deployment: &Deployment) -> bool {
        deployment.downstream != Downstream::SharedService
            || self.in_flight < deployment.downstream_call_limit.max(1.0) as usize
    }

    /// Books what a call that has left the backend used, at once or after lingering there.
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
        let owed = used * 2.0 / deployment.downstream_call_limit.max(1e-6);
        self.paid_back_at = self.paid_back_at.max(now) + owed as Nanos;
    }

    /// Whether a call is not attempted again after this many failed attempts. Only a call that is
    /// known not to have run downstream, or may run twice, is repeated; and the less often the more
    /// calls fail, since retries of all nodes would prevent a backend from recovering.
    pub(super) fn gives_up(
        &self,
        failed_attempts: u8,
        operation: &OperationProfile,
        outcome: BackendCallOutcome,
        random: &mut impl Rng,
    ) -> bool {
        let repeatable = operation.agreed.idempotency == Idempotency::Idempotent
            || outcome == BackendCallOutcome::NotExecuted;
        let is_spent = failed_attempts >= MOST_ATTEMPTS || !repeatable;
        is_spent || random.random::<f64>() < self.failure_share
    }

    /// Learns whether calls fail.
    pub(super) fn observe_outcome(&mut self, failed: bool) {
        self.failure_share +=
            LEARNING_RATE / 2.0 * (f64::from(u8::from(failed)) - self.failure_share);
    }
}

/// What follows a failed call. A shared service is not to be hammered: its calls are skipped where
/// that earns something, and else attempted again at the next update.
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

/// Whether an answer without the call earns something.
fn is_skippable(operation: &OperationProfile) -> bool {
    operation.agreed.weight_fraction_without_call > 0.0
}
