//! Requests in flight, from being read until they are answered and their executions have ended.

use super::backend_calls::BackendCall;
use super::backend_links::BACKEND_LINKS;
use super::connections::OpenItem;
use super::executions::Execution;
use super::{DeferredEvent, MILLISECOND, NodeState};
use crate::actions::{Actions, ConnectionId};
use crate::fastcgi::Reply;
use crate::idempotency_cache::IdempotencyKey;
use crate::metrics::Metric;
use crate::request::RequestHead;
use crate::request_error::RequestError;
use crate::request_rules::HeldPermits;
use madderpoint::{ExecutionOutcome, Idempotency, Nanos, OperationId, RequestId};
use std::collections::hash_map::DefaultHasher;
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;

/// Time added to a client timeout before the client counts as gone. Covers the protocol's tolerance
/// of 50 ms in every time limit, answers that are still on their way, and short pauses.
const CLIENT_GONE_MARGIN: Nanos = 1000 * MILLISECOND;

/// The connection and FastCGI request id that an answer is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyTarget {
    /// Connection that the request was read from.
    pub connection_id: ConnectionId,
    /// FastCGI request id on that connection.
    pub fastcgi_id: u16,
}

/// How the correlation id of a new request was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CorrelationIdUse {
    /// The id is new.
    New,
    /// A request with the id is open, and its client has not left.
    Open,
    /// A request with the id is in flight or may have run, and its client has left or may have.
    ClientLeft,
}

/// Results of the checks by rules, the backend gate and limits that a request passed before it
/// reaches the admission controller.
#[derive(Debug, Default)]
pub struct RequestContext {
    /// Key that identifies repeats of the request.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Class assigned by a rule.
    pub class: Option<Rc<str>>,
    /// Bucket permits that the request holds.
    pub permits: Option<HeldPermits>,
    /// Whether the request was checked and admitted by the backend gate.
    pub is_gated: bool,
}

/// A request that is not answered yet or whose execution continues.
pub struct OpenRequest {
    /// Correlation id sent by the load balancer; unique among requests in flight.
    pub correlation_id: String,
    /// Operation that the request calls.
    pub operation: OperationId,
    /// Request body, sent to the executor with each start command.
    pub body: Vec<u8>,
    /// Time at which the request reached the machine.
    pub arrived: Nanos,
    /// Time that the client waits for an answer, counted from `arrived`.
    client_timeout: Nanos,
    /// Time without pauses of the machine after which no client waits for the answer, whether or
    /// not it has read one.
    pub client_gone_by: Nanos,
    /// Target of the answer; `None` once the request is answered or cancelled by its client.
    pub reply_target: Option<ReplyTarget>,
    /// Execution of the request, from the decision to start it until its end.
    pub execution: Option<Execution>,
    /// Whether an execution of the request has run and ended.
    pub has_run: bool,
    /// Number of start commands sent.
    pub start_commands: u32,
    /// Whether the request is known not to have run although a start command was sent.
    pub never_ran: bool,
    /// Current backend call, if one is queued or awaits its reply.
    pub backend_call: Option<BackendCall>,
    /// Whether the previous backend call failed, so that the next one is a retry.
    pub last_call_failed: bool,
    /// Number of backend calls so far.
    pub backend_calls: u32,
    /// Whether the request was checked and admitted by the backend gate.
    pub is_gated: bool,
    /// Links to the backend on which a late reply to one of the request's calls may arrive.
    pub tainted_links: [bool; BACKEND_LINKS],
    /// Key that identifies repeats of the request.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Earlier request with the same idempotency key, which this request repeats; `None` if there
    /// is none.
    pub repeat_of: Option<RequestId>,
    /// Time at which the request was coalesced with the one that it repeats.
    pub coalesced_at: Option<Nanos>,
    /// Requests that are coalesced with this one and get its result.
    pub coalesced: Vec<RequestId>,
    class: Option<Rc<str>>,
    permits: Option<HeldPermits>,
}

/// Hashes a body to detect that an idempotency key is reused with another body. The hash need not
/// be secret: a client that constructs two bodies with one fingerprint only gets the answer to the
/// first for both.
fn fingerprint(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    hasher.finish()
}

impl<A: Actions> NodeState<A> {
    /// Returns how a correlation id was used before.
    pub fn correlation_id_use(&mut self, correlation_id: &str) -> CorrelationIdUse {
        let now = self.time_without_pauses();
        let Some(id) = self.request_ids.get(correlation_id) else {
            return match self.executed_ids.contains(now, correlation_id) {
                true => CorrelationIdUse::ClientLeft,
                false => CorrelationIdUse::New,
            };
        };
        let target = self
            .requests
            .get(id)
            .and_then(|request| request.reply_target);
        match target.and_then(|target| self.connections.get(&target.connection_id)) {
            Some(connection) if !connection.has_input_ended => CorrelationIdUse::Open,
            _ => CorrelationIdUse::ClientLeft,
        }
    }

    /// Returns the key that identifies repeats of a request: the key assigned by a rule, if the
    /// operation uses one; else the idempotency key sent by the client of a keyed operation; else
    /// the subject and body of a read whose results are shared. Keys of different tenants never
    /// match.
    pub fn idempotency_key(
        &self,
        head: &RequestHead,
        rule_key: Option<u64>,
        body: &[u8],
        arrived: Nanos,
    ) -> Option<IdempotencyKey> {
        let idempotency = self.idempotency(head.operation);
        let shares_results =
            self.config.deployment.shared_answer_ttl > 0 && idempotency == Idempotency::Idempotent;
        let once = idempotency == Idempotency::Keyed;
        let tenant = head.tenant.map(|tenant| tenant.0);
        let by_rule = rule_key.map(|key| self.key_hasher.hash_one((tenant, key)));
        let by_client = head
            .idempotency_key
            .as_ref()
            .map(|key| self.key_hasher.hash_one((tenant, key)));
        match by_rule.or(by_client.filter(|_| once)) {
            Some(subject) if shares_results || once => Some(IdempotencyKey {
                operation: head.operation.0,
                subject,
                body: Some(fingerprint(body)),
                once,
                arrived,
            }),
            // The body holds the question about the subject, so only requests with the same body
            // share a result.
            _ => head
                .subject
                .filter(|_| shares_results)
                .map(|subject| IdempotencyKey {
                    operation: head.operation.0,
                    subject: self.key_hasher.hash_one((tenant, subject, body)),
                    body: None,
                    once: false,
                    arrived,
                }),
        }
    }

    /// Checks that a request with this key may be admitted: its body matches earlier requests with
    /// the key, and the cache has room to remember a new key that must run only once.
    pub fn check_idempotency_key(&mut self, key: &IdempotencyKey) -> Result<(), RequestError> {
        if self.idempotency_cache.conflicts(self.now, key) {
            return Err(RequestError::IdempotencyKeyConflict);
        }
        let is_new = key.once && self.idempotency_cache.original(self.now, *key).is_none();
        // A request that must run only once is not run if the cache could not record it.
        if is_new && !self.idempotency_cache.has_room(self.now) {
            return Err(RequestError::IdempotencyCacheFull);
        }
        Ok(())
    }

    /// Adds a request. Returns its id and the earlier request that it repeats, if any.
    pub fn open_request(
        &mut self,
        target: ReplyTarget,
        head: &RequestHead,
        body: Vec<u8>,
        age: Nanos,
        context: RequestContext,
    ) -> (RequestId, Option<RequestId>) {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let client_timeout = head
            .client_timeout
            .unwrap_or(self.config.deployment.operations[head.operation.0].client_timeout);
        let longest_wait = self.config.deployment.operations[head.operation.0].client_timeout;
        let client_gone_by = self.time_without_pauses() + longest_wait + CLIENT_GONE_MARGIN;
        let repeat_of = context
            .idempotency_key
            .and_then(|key| self.idempotency_cache.original(self.now, key));
        let request = OpenRequest {
            correlation_id: head.correlation_id.clone(),
            operation: head.operation,
            body,
            arrived: self.now.saturating_sub(age),
            client_timeout,
            client_gone_by,
            reply_target: Some(target),
            execution: None,
            has_run: false,
            start_commands: 0,
            never_ran: false,
            backend_call: None,
            last_call_failed: false,
            backend_calls: 0,
            is_gated: context.is_gated,
            tainted_links: [false; BACKEND_LINKS],
            idempotency_key: context.idempotency_key,
            repeat_of,
            coalesced_at: None,
            coalesced: Vec::new(),
            class: context.class,
            permits: context.permits,
        };
        self.actions.trace_step(
            &head.correlation_id,
            format_args!("read, age {} ms", age / MILLISECOND),
        );
        self.request_ids.insert(head.correlation_id.clone(), id);
        self.requests.insert(id, request);
        self.count_arrival(head.operation, head.load_balancer, repeat_of.is_some());
        if let Some(connection) = self.connections.get_mut(&target.connection_id) {
            connection
                .open
                .insert(target.fastcgi_id, OpenItem::Request(id));
        }
        (id, repeat_of)
    }

    /// Returns the idempotency of an operation, which decides whether it may run again.
    pub fn idempotency(&self, operation: OperationId) -> Idempotency {
        self.config.deployment.operations[operation.0].idempotency
    }

    /// Returns the time until the executor certainly takes a request for over; 0 if it does. The
    /// executor does so once the client has read the answer or has stopped waiting. The node does
    /// not learn when an answer was read, so only the end of the client's wait is certain.
    pub fn time_until_over(&self, id: RequestId) -> Nanos {
        let now = self.time_without_pauses();
        self.requests
            .get(&id)
            .map_or(0, |request| match request.reply_target {
                Some(_) => Nanos::MAX,
                None => request.client_gone_by.saturating_sub(now),
            })
    }

    /// Sends the only answer to a request. Does nothing if the request is already answered or was
    /// cancelled by its client.
    pub fn answer(&mut self, id: RequestId, status: u16, more_headers: &str, body: Vec<u8>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(target) = request.reply_target.take() else {
            return;
        };
        let (operation, class) = (request.operation, request.class.clone());
        let (arrived, client_timeout) = (request.arrived, request.client_timeout);
        self.actions.trace_step(
            &request.correlation_id,
            format_args!(
                "answered {status} after {} ms",
                (self.now - arrived) / MILLISECOND
            ),
        );
        if self.now > arrived + client_timeout {
            self.count(Metric::LateAnswers, 1);
        }
        self.count_answer(operation, status, self.now.saturating_sub(arrived));
        match status {
            200 => self.identify_peer(target.connection_id),
            _ => self.answered_without_success(target.connection_id),
        }
        if let (Some(class), Some(rules)) = (&class, &mut self.rules) {
            rules.count_answer(class, status);
        }
        let headers = self.response_headers() + more_headers;
        self.finish(
            target,
            Reply::answer(target.fastcgi_id, status, &headers, body),
        );
        self.remove_if_done(id);
    }

    /// Removes a request that no longer awaits an answer and has no execution.
    pub fn remove_if_done(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.reply_target.is_some() {
            return;
        }
        match &request.execution {
            Some(execution) if execution.start_command == 0 => self.drop_unsent_execution(id),
            Some(_) => {}
            None => self.remove(id),
        }
    }

    /// Drops an execution whose start command was never sent.
    pub fn drop_unsent_execution(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.execution = None;
            self.deferred
                .push_back(DeferredEvent::ExecutionNeverStarted(id));
            self.remove_if_done(id);
        }
    }

    fn remove(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.request_ids.remove(&request.correlation_id);
        if let Some(gate) = self
            .shared
            .backend_gate
            .as_mut()
            .filter(|_| request.is_gated && request.has_run)
        {
            gate.request_ended(request.backend_calls);
        }
        if let (Some(permits), Some(rules)) = (request.permits, &mut self.rules) {
            rules.release(self.now, permits);
        }
        let may_have_run = request.start_commands > 0 && !request.never_ran;
        if may_have_run
            && request.idempotency_key.is_none()
            && self.idempotency(request.operation) != Idempotency::Idempotent
        {
            let now = self.time_without_pauses();
            self.executed_ids
                .insert(now, request.correlation_id, request.client_gone_by);
        }
        let result = self.idempotency_cache.result(id).map(<[u8]>::to_vec);
        if result.is_none() {
            self.idempotency_cache
                .ended_without_result(id, may_have_run);
        }
        for coalesced in request.coalesced {
            self.deferred
                .push_back(DeferredEvent::CoalescedEnded(coalesced, result.clone()));
        }
    }

    /// Answers a request with the result of the request that it was coalesced with. Returns the
    /// outcome and the time since the request was coalesced.
    pub fn answer_coalesced(
        &mut self,
        id: RequestId,
        result: Option<Vec<u8>>,
    ) -> Option<(ExecutionOutcome, Nanos)> {
        let request = self.requests.get(&id)?;
        let latency = self.now - request.coalesced_at?;
        let outcome = if result.is_some() {
            ExecutionOutcome::Succeeded
        } else {
            ExecutionOutcome::Failed
        };
        match result {
            Some(body) => self.answer(id, 200, "", body),
            None => self.answer(id, 500, "", Vec::new()),
        }
        Some((outcome, latency))
    }
}
