//! Backend calls of executions: on which link they go, how long they wait, and how they end.

use super::{DeferredEvent, MILLISECOND, NodeState, Timer};
use crate::actions::{Actions, BackendLink, CallId, CallInterest};
use crate::backend;
use crate::log::part;
use crate::metrics::Metric;
use madderpoint::{BackendCallOutcome, Nanos, RequestId};
use madderpoint_shared_state::counters::process_column;
use std::collections::VecDeque;
use tracing::warn;

/// Connections to the backend. What spoils one is lost for all calls on it, so calls are spread. A
/// call avoids a link on which a late reply to an earlier call of its request may still come.
pub const BACKEND_LINKS: usize = 8;
/// A link that this many replies on others have overtaken is silent: it is avoided, and closed when
/// a call on it times out.
const SILENT_AFTER: u32 = 8;
/// The longest that a call waits for room under the cluster's budgets; one that would wait longer
/// is refused at once.
const LONGEST_QUEUE_WAIT: Nanos = 250 * MILLISECOND;
/// The most calls that wait.
const QUEUED_CALLS: usize = 64;

/// Where a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPlacement {
    /// It waits for room under the cluster's budgets, until this time at most.
    Queued { until: Nanos },
    /// It was handed to the link at this index.
    Link(usize),
}

/// A backend call that is wanted or under way.
#[derive(Debug)]
pub struct BackendCall {
    id: CallId,
    placement: CallPlacement,
    /// When it was wanted, then when it was handed to a link.
    started: Nanos,
    /// The connection on which it was written whole.
    written_on: Option<BackendLink>,
    /// Whether it occupies units of the cluster's budgets.
    has_budget: bool,
    /// Whether the call before it for the same notice failed.
    is_retry: bool,
    /// While this is here the call may still be written.
    interest: CallInterest,
}

impl BackendCall {
    /// The index of the link that it was handed to.
    pub fn link(&self) -> Option<usize> {
        match self.placement {
            CallPlacement::Queued { .. } => None,
            CallPlacement::Link(link) => Some(link),
        }
    }

    /// When it was handed to a link.
    pub fn started(&self) -> Nanos {
        self.started
    }

    /// Whether it occupies units of the cluster's budgets.
    pub fn has_budget(&self) -> bool {
        self.has_budget
    }

    /// Whether it repeats a call that failed.
    pub fn is_retry(&self) -> bool {
        self.is_retry
    }
}

/// What is known of a link to the backend.
#[derive(Clone, Copy, Default)]
struct BackendLinkState {
    /// Connections made there that are known to have ended.
    connections_ended: u64,
    /// The latest call that was made anywhere when the last reply came here.
    latest_call_at_reply: u64,
    /// Replies on other links, since then, to calls that were made later than one that waits here.
    overtaken: u32,
}

/// The links to the backend and the calls that wait for room.
pub struct BackendState {
    /// Whether there is a backend at all.
    is_configured: bool,
    links: [BackendLinkState; BACKEND_LINKS],
    last_call_id: u64,
    queue: VecDeque<(RequestId, CallId)>,
    /// When a timer looks for room, if one is set.
    queue_check_at: Option<Nanos>,
}

impl BackendState {
    /// Without calls.
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
    /// Makes a backend call for an execution; `timeout` 0 = the longest client timeout. A call that
    /// can't be made ends as one that never ran.
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
        let longest = self.config.deployment.operations[operation.0].client_timeout;
        let timeout = if timeout == 0 { longest } else { timeout };
        let admission = self.take_budget(is_retry);
        let longest_wait = LONGEST_QUEUE_WAIT.min(timeout / 4);
        if admission
            .is_err_and(|wait| wait > longest_wait || self.backend.queue.len() >= QUEUED_CALLS)
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

    /// Takes a unit of the cluster's budgets for a call; else after which time there may be room.
    fn take_budget(&mut self, is_retry: bool) -> Result<(), Nanos> {
        self.apply_recovery_ramp();
        let queued = self.backend.queue.len();
        match &mut self.shared.budgets {
            None => Ok(()),
            // Those that wait go first.
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

    /// The link for a call: rather one that is not silent, then the one with the fewest calls.
    fn choose_link(&self, id: RequestId) -> Option<usize> {
        let mut calls = [0; BACKEND_LINKS];
        self.requests
            .values()
            .filter_map(|request| request.backend_call.as_ref()?.link())
            .for_each(|link| calls[link] += 1);
        let tainted = self.requests.get(&id)?.tainted_links;
        (0..BACKEND_LINKS)
            .filter(|&link| !tainted[link])
            .min_by_key(|&link| {
                (
                    self.backend.links[link].overtaken >= SILENT_AFTER,
                    calls[link],
                )
            })
    }

    /// Hands a call that was admitted to a link.
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

    /// Has a timer look after this long whether a queued call has room.
    fn set_queue_check(&mut self, wait: Nanos) {
        let due = self.now + wait.max(MILLISECOND);
        if self.backend.queue_check_at.is_none_or(|set| due < set) {
            self.backend.queue_check_at = Some(due);
            self.set_timer(due - self.now, Timer::QueuedCalls);
        }
    }

    /// There may be room for queued calls at once.
    pub fn check_queue_now(&mut self) {
        self.backend.queue_check_at = None;
        self.set_timer(0, Timer::QueuedCalls);
    }

    /// Calls that wait for room under the cluster's budgets.
    pub fn queued_calls(&self) -> usize {
        self.backend.queue.len()
    }

    /// Sends the queued calls, as far as there is room, in their order.
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
                self.backend.queue.pop_front(); // it ended before there was room
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

    /// Whether this is the present call of a request.
    pub fn is_current_call(&self, id: RequestId, call_id: CallId) -> bool {
        self.requests
            .get(&id)
            .and_then(|request| request.backend_call.as_ref())
            .is_some_and(|call| call.id == call_id)
    }

    /// A call's time is up: how it ended, if it had not ended before.
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
        let state = self.backend.links[link];
        if state.overtaken >= SILENT_AFTER && state.latest_call_at_reply < call_id.0 {
            self.count(Metric::SilentBackendLinks, 1);
            self.actions.close_backend_link(link); // other calls on it would wait in vain
        }
        Some(BackendCallOutcome::Abandoned)
    }

    /// Tells the backend that a call's reply is no longer awaited.
    pub fn cancel_backend_call(&mut self, correlation_id: &str, link: usize) {
        self.actions
            .cancel_backend_call(link, backend::cancel(correlation_id));
    }

    /// A call was written whole: true if its connection is known to have ended since.
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

    /// A connection ended; gives the requests whose calls were written on it and had no reply.
    pub fn backend_disconnected(&mut self, link: BackendLink) -> Vec<RequestId> {
        // A connection that was closed for its silence may end after a newer one.
        let state = &mut self.backend.links[link.place];
        state.connections_ended = state.connections_ended.max(link.generation + 1);
        state.overtaken = 0;
        let cut_off: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request
                    .backend_call
                    .as_ref()
                    .is_some_and(|call| call.written_on == Some(link))
            })
            .map(|(&id, _)| id)
            .collect();
        if !cut_off.is_empty() {
            warn!(
                target: part::BACKEND,
                link = link.place,
                calls = cut_off.len(),
                "connection lost with calls under way"
            );
        }
        cut_off
    }

    /// Nothing was sent on a link for a while: it is closed before the backend does so, which a
    /// call could meet, unless a reply is awaited on it.
    pub fn backend_idle(&mut self, link: usize) {
        let is_awaited = self.requests.values().any(|request| {
            request
                .backend_call
                .as_ref()
                .is_some_and(|call| call.link() == Some(link))
        });
        if !is_awaited {
            self.actions.close_backend_link(link);
        }
    }

    /// A reply came: gives the request whose call it ends.
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

    /// A reply came on a link: counts it for the others on which an older call waits.
    fn detect_overtaken_links(&mut self, link: usize, id: Option<RequestId>) {
        let replied = &mut self.backend.links[link];
        replied.latest_call_at_reply = self.backend.last_call_id;
        replied.overtaken = 0;
        let Some(replied_call) = id
            .and_then(|id| self.requests.get(&id)?.backend_call.as_ref())
            .map(|call| call.id.0)
        else {
            return;
        };
        let mut oldest_calls = [u64::MAX; BACKEND_LINKS];
        for call in self
            .requests
            .values()
            .filter_map(|request| request.backend_call.as_ref())
        {
            if let Some(link) = call.link() {
                oldest_calls[link] = oldest_calls[link].min(call.id.0);
            }
        }
        for (link, oldest) in self.backend.links.iter_mut().zip(oldest_calls) {
            match oldest {
                u64::MAX => link.overtaken = 0, // nothing waits there
                oldest => {
                    let is_overtaken = link.latest_call_at_reply < oldest && oldest < replied_call;
                    link.overtaken += u32::from(is_overtaken);
                }
            }
        }
    }

    /// Takes a call that has ended; gives how long it took.
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
            self.note_service_call(has_succeeded, latency);
            self.count_own(process_column::CALLS_FAILED, u64::from(!has_succeeded));
        }
        Some(latency)
    }
}
