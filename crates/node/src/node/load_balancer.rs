//! Handling of load balancers' connections and requests.

use super::{ClockReading, Node};
use crate::actions::{Actions, ConnectionId};
use crate::fastcgi;
use crate::metrics::Metric;
use crate::request::{Fields, RequestHead, RequestKind};
use crate::request_error::RequestError;
use crate::request_rules::RuleOutcome;
use crate::state::{CorrelationIdUse, ReplyTarget, RequestContext};
use madderpoint::{Arrival, Nanos, RequestId};

impl<A: Actions> Node<A> {
    pub(super) fn on_disconnected(&mut self, now: Nanos, connection_id: ConnectionId) {
        let cancelled = self.state.borrow_mut().disconnected(connection_id);
        cancelled
            .into_iter()
            .for_each(|id| self.client_cancelled(now, id));
    }

    /// Handles the end of a connection's input: its peer closed its sending side, or the input
    /// could not be parsed, for the reason in `cause`.
    pub(super) fn on_input_ended(
        &mut self,
        connection_id: ConnectionId,
        cause: Option<fastcgi::ParseError>,
    ) {
        let mut state = self.state.borrow_mut();
        if let Some(cause) = cause {
            state.count(Metric::ProtocolError(cause), 1);
        }
        state.event_received(connection_id);
        state.input_ended(connection_id);
    }

    pub(super) fn on_connection_limit_reached(&mut self) {
        let mut state = self.state.borrow_mut();
        state.count(Metric::ConnectionsOverLimit, 1);
        state.evict_idle_connection();
    }

    pub(super) fn on_load_balancer_event(
        &mut self,
        clock: ClockReading,
        connection_id: ConnectionId,
        event: fastcgi::Event,
    ) {
        self.state.borrow_mut().event_received(connection_id);
        match event {
            fastcgi::Event::Request(request) => self.on_request(clock, connection_id, request),
            fastcgi::Event::Abort(fastcgi_id) => {
                let target = ReplyTarget {
                    connection_id,
                    fastcgi_id,
                };
                let cancelled = self.state.borrow_mut().aborted(target);
                if let Some(id) = cancelled {
                    self.client_cancelled(clock.now, id);
                }
                self.state.borrow_mut().event_handled(connection_id);
            }
            fastcgi::Event::Reply(reply) => {
                let mut state = self.state.borrow_mut();
                state.answered_without_success(connection_id);
                state.actions.send_reply(connection_id, reply);
                state.event_handled(connection_id);
            }
        }
    }

    fn on_request(
        &mut self,
        clock: ClockReading,
        connection_id: ConnectionId,
        request: fastcgi::Request,
    ) {
        let mut state = self.state.borrow_mut();
        let target = ReplyTarget {
            connection_id,
            fastcgi_id: request.id,
        };
        if !state.open_on_connection(connection_id, &request) {
            return;
        }
        if state.has_too_many_open(connection_id) {
            return state.reject_overloaded(target);
        }
        if request.no_memory {
            state.count(Metric::RequestsWithoutMemory, 1);
            return state.reject_overloaded(target);
        }
        let fields = match Fields::of(&request) {
            Err(error) => return state.reject_with_strike(target, error),
            Ok(fields) => fields,
        };
        let outcome = match self.admission {
            Some(_) if state.rules.is_some() => {
                Self::evaluate_rules(&mut state, &self.config, connection_id, &fields, &request)
            }
            _ => None,
        };
        let operation = outcome.as_ref().and_then(|outcome| outcome.operation);
        if let Some(verdict) = outcome
            .as_ref()
            .and_then(|outcome| outcome.verdict.as_ref())
        {
            let counted = fields
                .operation_and_load_balancer(&self.config)
                .map(|(by_path, load_balancer)| (operation.unwrap_or(by_path), load_balancer));
            return Self::answer_verdict(&mut state, target, counted, verdict);
        }
        match fields.kind(&self.config, clock.unix_ms, operation) {
            Err(error) => state.reject_with_strike(target, error),
            Ok(RequestKind::HealthCheck { is_deep }) => state.health_check(target, is_deep),
            Ok(RequestKind::Call(_)) if self.admission.is_none() => {
                state.reject(target, RequestError::ExecutorNotUp);
            }
            Ok(RequestKind::Call(head)) => {
                drop(state);
                self.on_call(
                    clock,
                    target,
                    head,
                    request.body,
                    outcome.unwrap_or_default(),
                );
            }
        }
    }

    /// Checks a well-formed call against idempotency keys, the backend gate and limits, then passes
    /// it to the admission controller.
    fn on_call(
        &mut self,
        clock: ClockReading,
        target: ReplyTarget,
        head: RequestHead,
        body: Vec<u8>,
        outcome: RuleOutcome,
    ) {
        let mut state = self.state.borrow_mut();
        match state.correlation_id_use(&head.correlation_id) {
            CorrelationIdUse::New => {}
            CorrelationIdUse::Open => {
                return state.reject_with_strike(target, RequestError::CorrelationIdInUse);
            }
            CorrelationIdUse::ClientLeft => return state.reject_repeat(target),
        }
        let arrived = clock.now.saturating_sub(head.age(clock.unix_ms));
        let context = Self::admit_by_policy(&mut state, target, &head, outcome, &body, arrived);
        drop(state);
        if let Some(context) = context {
            self.on_arrival(clock, target, head, body, context);
        }
    }

    /// Opens a request and passes it to the admission controller.
    fn on_arrival(
        &mut self,
        clock: ClockReading,
        target: ReplyTarget,
        head: RequestHead,
        body: Vec<u8>,
        context: RequestContext,
    ) {
        let age = head.age(clock.unix_ms);
        let has_subject = head.subject.is_some() || context.idempotency_key.is_some();
        let (id, original) = self
            .state
            .borrow_mut()
            .open_request(target, &head, body, age, context);
        let arrival = Arrival {
            id,
            operation: head.operation,
            tenant: head.tenant,
            load_balancer: head.load_balancer,
            has_subject,
            time_left: head
                .client_timeout
                .map(|timeout| timeout.saturating_sub(age)),
            work_hint: head.expected_work_s,
            queued_kb: head.queued_kb,
            age,
            duplicate_of: original,
        };
        if let Some(admission) = &mut self.admission {
            admission.on_arrival(clock.now, arrival);
        }
    }

    fn client_cancelled(&mut self, now: Nanos, id: RequestId) {
        if let Some(admission) = &mut self.admission {
            admission.on_client_cancelled(now, id);
        }
    }
}
