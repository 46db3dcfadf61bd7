//! Backend calls of executions: queueing under budgets, sending, and outcomes.

use super::backend_links::{BACKEND_LINKS, BackendLinkState};
use super::{DeferredEvent, MILLISECOND, NodeState, Timer};
use crate::actions::{Actions, BackendLink, CallId, CallInterest};
use crate::backend;
use crate::metrics::Metric;
use madderpoint::{BackendCallOutcome, Nanos, RequestId};
use madderpoint_shared_state::counters::process_column;
use std::collections::VecDeque;

/// Longest time that a call is queued for units of the cluster's budgets. A call that would wait
/// longer is refused immediately.
const MAX_QUEUE_WAIT: Nanos = 250 * MILLISECOND;
/// Maximum number of queued calls.
const MAX_QUEUED_CALLS: usize = 64;

/// Where a call is on its way to the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPlacement {
    /// The call is queued for units of the cluster's budgets, at most until this time.
    Queued { until: Nanos },
    /// The call was handed to the link at this index.
    Link(usize),
}

/// A backend call that is queued or awaits its reply.
#[derive(Debug)]
pub struct BackendCall {
    pub(super) id: CallId,
    placement: CallPlacement,
    /// Time at which the call was handed to a link; before that, the time at which it was
    /// requested.
    started: Nanos,
    /// Connection on which the call was written completely.
    pub(super) written_on: Option<BackendLink>,
    /// Whether the call occupies units of the cluster's budgets.
    has_budget: bool,
    /// Whether the previous call for the same executor notice failed.
    is_retry: bool,
    /// Interest in the call. Once it is dropped, the call is not written any more.
    interest: CallInterest,
}

impl BackendCall {
    /// Returns the index of the link that the call was handed to, or `None` while it is queued.
    pub fn link(&self) -> Option<usize> {
        match self.placement {
            CallPlacement::Queued { .. } => None,
            CallPlacement::Link(link) => Some(link),
        }
    }

    /// Returns the time at which the call was handed to a link, or was requested if it is queued.
    pub fn started(&self) -> Nanos {
        self.started
    }

    /// Returns whether the call occupies units of the cluster's budgets.
    pub fn has_budget(&self) -> bool {
        self.has_budget
    }

    /// Returns whether the call is a retry of a failed call.
    pub fn is_retry(&self) -> bool {
        self.is_retry
    }
}

/// The links to the backend and the calls that are queued for budget units.
pub struct BackendState {
    /// True if the configuration has a backend; without one no call can be made.
    is_configured: bool,
    pub(super) links: [BackendLinkState; BACKEND_LINKS],
    pub(super) last_call_id: u64,
    queue: VecDeque<(RequestId, CallId)>,
    /// Due time of the timer that sends queued calls, if one is set.
    queue_check_at: Option<Nanos>,
}

impl BackendState {
    /// Creates the state without any calls.
    pub fn new(is_configured: bool) -> BackendState {
        BackendState {
            is_configured,
            links: Default::default(),
            last_call_id: 0,
            queue: VecDeque::new(),
            queue_check_at: None,
        }
    }
}

impl<A: Actions> NodeState<A> {
    /// Makes a backend call for an execution. A `timeout` of 0 means the client timeout of the
    /// request's operation. A call that cannot be made ends as not executed.
    pub fn start_backend_call(&mut self, id: RequestId, timeout: Nanos) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !self.waits_for_backend_call(id) {
            return self.count(Metric::UnexpectedBackendCalls, 1);
        }
        if !self.backend.is_configured || request.backend_call.is_some() {
            return self.backend_call_not_made(id);
        }
        let (operation, is_gated) = (request.operation, request.is_gated);
        let is_retry = request.last_call_failed;
        if !self.service_health_admits(is_gated) {
            return self.refuse_backend_call(id, Metric::BackendCallsWithheld);
        }
        let client_timeout = self.config.deployment.operations[operation.0].client_timeout;
        let timeout = if timeout == 0 {
            client_timeout
        } else {
            timeout
        };
        let admission = self.take_budget(is_retry);
        let max_wait = MAX_QUEUE_WAIT.min(timeout / 4);
        if admission
            .is_err_and(|wait| wait > max_wait || self.backend.queue.len() >= MAX_QUEUED_CALLS)
        {
            return self.refuse_backend_call(id, Metric::BackendCallsOverBudget);
        }
        let call_id = self.add_backend_call(id, timeout, admission.is_ok(), is_retry);
        match admission {
            Ok(()) => self.send_backend_call(id, timeout),
            Err(wait) => {
                self.backend.queue.push_back((id, call_id));
                self.set_queue_check(wait);
            }
        }
    }

    fn backend_call_not_made(&mut self, id: RequestId) {
        self.deferred.push_back(DeferredEvent::BackendCallEnded(
            id,
            BackendCallOutcome::NotExecuted,
        ));
    }

    fn refuse_backend_call(&mut self, id: RequestId, metric: Metric) {
        self.count(metric, 1);
        self.count_own(process_column::CALLS_OVER_BUDGET, 1);
        self.backend_call_not_made(id);
    }

    /// Acquires units of the cluster's budgets for a call. The error is the expected wait until
    /// units are free.
    fn take_budget(&mut self, is_retry: bool) -> Result<(), Nanos> {
        self.apply_recovery_ramp();
        let queued = self.backend.queue.len();
        match &mut self.shared.budgets {
            None => Ok(()),
            // Calls that are already queued go first.
            Some(budgets) if queued > 0 => Err(budgets.expected_wait(self.now, queued)),
            Some(budgets) => budgets.acquire(self.now, is_retry),
        }
    }

    fn add_backend_call(
        &mut self,
        id: RequestId,
        timeout: Nanos,
        is_admitted: bool,
        is_retry: bool,
    ) -> CallId {
        self.backend.last_call_id += 1;
        let call_id = CallId(self.backend.last_call_id);
        let call = BackendCall {
            id: call_id,
            placement: CallPlacement::Queued {
                until: self.now + timeout,
            },
            started: self.now,
            written_on: None,
            has_budget: self.shared.budgets.is_some() && is_admitted,
            is_retry,
            interest: CallInterest::default(),
        };
        if let Some(request) = self.requests.get_mut(&id) {
            request.backend_calls += 1;
            request.backend_call = Some(call);
        }
        self.set_timer(timeout, Timer::BackendCallTimeout(id, call_id));
        call_id
    }

    /// Hands a call that holds its budget units to a link.
    fn send_backend_call(&mut self, id: RequestId, timeout: Nanos) {
        let link = self.choose_link(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (Some(call), Some(execution)) = (&mut request.backend_call, &request.execution) else {
            return;
        };
        if let Some(link) = link {
            let timeout_ms = timeout.div_ceil(MILLISECOND);
            let bytes = backend::invoke(&request.correlation_id, timeout_ms, &execution.call_body);
            let token = call.interest.token();
            if self
                .actions
                .send_backend_call(link, call.id, id, bytes, token)
            {
                (call.placement, call.started) = (CallPlacement::Link(link), self.now);
                let is_retry = call.is_retry;
                self.actions.trace_step(
                    &request.correlation_id,
                    format_args!(
                        "backend call on link {link}, for {} ms",
                        timeout / MILLISECOND
                    ),
                );
                self.count_own(process_column::CALLS, 1);
                return self.count_own(process_column::CALLS_RETRIED, u64::from(is_retry));
            }
        }
        if let Some(call) = request.backend_call.take() {
            self.release_budget(&call, false);
        }
        self.backend_call_not_made(id);
    }

    /// Sets a timer to send queued calls after `wait`, but no sooner than after 1 ms. Does nothing
    /// if an earlier timer is set.
    fn set_queue_check(&mut self, wait: Nanos) {
        let due = self.now + wait.max(MILLISECOND);
        if self
            .backend
            .queue_check_at
            .is_none_or(|current| due < current)
        {
            self.backend.queue_check_at = Some(due);
            self.set_timer(due - self.now, Timer::QueuedCalls);
        }
    }

    /// Sets a timer to send queued calls immediately, because budget units may be free.
    pub fn check_queue_now(&mut self) {
        self.backend.queue_check_at = None;
        self.set_timer(0, Timer::QueuedCalls);
    }

    /// Returns the number of calls that are queued for units of the cluster's budgets.
    pub fn queued_calls(&self) -> usize {
        self.backend.queue.len()
    }

    /// Sends queued calls in order for as long as the budgets have units.
    pub fn send_queued_calls(&mut self) {
        self.backend.queue_check_at = None;
        self.apply_recovery_ramp();
        while let Some((id, call_id)) = self.backend.queue.front().copied() {
            let queued = self
                .requests
                .get(&id)
                .and_then(|request| request.backend_call.as_ref())
                .filter(|call| call.id == call_id);
            let Some((until, is_retry)) = queued.and_then(|call| match call.placement {
                CallPlacement::Queued { until } => Some((until, call.is_retry)),
                CallPlacement::Link(_) => None,
            }) else {
                self.backend.queue.pop_front(); // the call ended before units were free
                continue;
            };
            let now = self.now;
            if let Some(Err(wait)) = self
                .shared
                .budgets
                .as_mut()
                .map(|budgets| budgets.acquire(now, is_retry))
            {
                return self.set_queue_check(wait);
            }
            self.backend.queue.pop_front();
            if let Some(call) = self
                .requests
                .get_mut(&id)
                .and_then(|request| request.backend_call.as_mut())
            {
                call.has_budget = true;
            }
            self.send_backend_call(id, until.saturating_sub(now).max(MILLISECOND));
        }
    }

    /// Returns whether `call_id` is the current call of a request.
    pub fn is_current_call(&self, id: RequestId, call_id: CallId) -> bool {
        self.requests
            .get(&id)
            .and_then(|request| request.backend_call.as_ref())
            .is_some_and(|call| call.id == call_id)
    }

    /// Handles a call's timeout. Returns the outcome of the call, or `None` if it had already
    /// ended.
    pub fn backend_call_timed_out(
        &mut self,
        id: RequestId,
        call_id: CallId,
    ) -> Option<BackendCallOutcome> {
        if !self.is_current_call(id, call_id) {
            return None;
        }
        let request = self.requests.get_mut(&id)?;
        let Some(link) = request.backend_call.as_ref()?.link() else {
            self.count(Metric::BackendCallsOverBudget, 1);
            return Some(BackendCallOutcome::NotExecuted);
        };
        request.tainted_links[link] = true;
        let correlation_id = request.correlation_id.clone();
        self.cancel_backend_call(&correlation_id, link);
        if self.backend.links[link].is_silent_since(call_id) {
            self.count(Metric::SilentBackendLinks, 1);
            self.actions.close_backend_link(link); // other calls on it would not be answered either
        }
        Some(BackendCallOutcome::Abandoned)
    }

    /// Notifies the backend that the reply to a call is no longer awaited.
    pub fn cancel_backend_call(&mut self, correlation_id: &str, link: usize) {
        self.actions
            .cancel_backend_call(link, backend::cancel(correlation_id));
    }

    /// Records that a call was written completely. Returns whether the connection that it was
    /// written on is known to have ended since.
    pub fn backend_call_written(
        &mut self,
        call_id: CallId,
        id: RequestId,
        link: BackendLink,
    ) -> bool {
        if !self.is_current_call(id, call_id) {
            return false;
        }
        if let Some(call) = self
            .requests
            .get_mut(&id)
            .and_then(|request| request.backend_call.as_mut())
        {
            call.written_on = Some(link);
        }
        self.backend.links[link.place].connections_ended > link.generation
    }

    /// Records a reply. Returns the request whose call it ends, or `None` for an abandoned call.
    pub fn backend_replied(&mut self, link: usize, reply: &backend::Reply) -> Option<RequestId> {
        let id = self.request_ids.get(&reply.id).copied();
        self.actions.trace_step(
            &reply.id,
            format_args!("reply {:?} on link {link}", reply.outcome),
        );
        self.detect_overtaken_links(link, id);
        let call = id
            .and_then(|id| self.requests.get(&id))
            .and_then(|request| request.backend_call.as_ref());
        if call.is_none_or(|call| call.link() != Some(link)) {
            self.count(Metric::RepliesToAbandonedCalls, 1);
            return None;
        }
        id
    }

    /// Removes the call of a request after it has ended. Returns its latency, which is 0 if no call
    /// had been made, or `None` if the request has no execution.
    pub fn end_backend_call(
        &mut self,
        id: RequestId,
        outcome: BackendCallOutcome,
    ) -> Option<Nanos> {
        let request = self.requests.get_mut(&id)?;
        request.execution.as_ref()?;
        let Some(call) = request.backend_call.take() else {
            return Some(0);
        };
        let has_succeeded = outcome == BackendCallOutcome::Succeeded;
        request.last_call_failed = !has_succeeded;
        let latency = self.now - call.started;
        let may_linger = matches!(
            outcome,
            BackendCallOutcome::Abandoned | BackendCallOutcome::PossiblyExecuted
        );
        self.release_budget(&call, may_linger);
        if call.link().is_some() {
            self.record_service_call(has_succeeded, latency);
            self.count_own(process_column::CALLS_FAILED, u64::from(!has_succeeded));
        }
        Some(latency)
    }
}
