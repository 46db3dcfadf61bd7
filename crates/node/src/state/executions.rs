//! Executions of requests at the executor.

use super::{HOUSEKEEPING_PERIOD, MILLISECOND, NodeState, Timer};
use crate::actions::Actions;
use crate::executor::{Command, End};
use crate::metrics::Metric;
use madderpoint::{Idempotency, Nanos, RequestId};

/// Delay between a command that must not be sent twice and the following request for gauges. The
/// mark that returns with the gauges confirms that the command arrived, so only commands sent
/// within this delay are uncertain when the link breaks.
pub(super) const MARK_DELAY: Nanos = 10 * MILLISECOND;

/// State of an execution with regard to its backend calls.
#[derive(Debug)]
pub enum ExecutionWait {
    /// The execution runs and waits for nothing.
    Nothing,
    /// The execution waits for a backend call.
    BackendCall {
        /// Number of the notice that requested the call.
        notice: u64,
    },
    /// The execution continues after a backend call as soon as the link is in step. No resume
    /// command was sent for the call yet.
    ResumePending {
        /// Number of the notice that requested the call.
        notice: u64,
        /// Reply to the call; `None` if the execution continues without one.
        reply: Option<Vec<u8>>,
    },
    /// A resume command was sent for the latest backend call.
    Resumed {
        /// Number of the notice that requested the call.
        notice: u64,
        /// Number of the latest resume command for the call.
        command: u64,
    },
}

/// An execution whose start was requested by the admission controller.
#[derive(Debug)]
pub struct Execution {
    /// Number of the latest start command; 0 if it could not be sent yet.
    pub start_command: u64,
    /// Number of the cancel command, if the execution was cancelled; 0 if it could not be sent yet.
    pub cancel_command: Option<u64>,
    /// Whether the executor has sent a notice that confirms the execution.
    pub is_acknowledged: bool,
    /// Whether the start command may have been lost with a link and the executor was not asked
    /// about the execution since.
    pub is_uncertain: bool,
    /// Whether the execution runs, waits for a backend call, or continues after a call.
    pub wait: ExecutionWait,
    /// Body of the latest requested backend call.
    pub call_body: Vec<u8>,
}

impl<A: Actions> NodeState<A> {
    /// Starts the execution of a request, after checking the invariants of a start.
    pub fn start_execution(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let runs_twice =
            request.has_run && self.idempotency(request.operation) != Idempotency::Idempotent;
        let arrived = request.arrived;
        let is_late = self
            .drain
            .started
            .is_some_and(|started| arrived > started + self.config.deployment.drain_grace);
        let is_awaited = request.reply_target.is_some();
        invariant!(
            self,
            !runs_twice,
            "a request that must not run twice runs once"
        );
        invariant!(
            self,
            !is_late,
            "a request that arrives after the drain grace does not run"
        );
        invariant!(
            self,
            is_awaited,
            "only a request that awaits an answer is run"
        );
        self.send_start(id);
    }

    /// Sends the start command of a request, for the first time or again.
    pub fn send_start(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (correlation_id, body) = (request.correlation_id.clone(), request.body.clone());
        let operation = request.operation;
        let route = self.config.operation_names[operation.0].clone();
        let command = self.send_command(Command::StartExecution {
            rid: &correlation_id,
            route: &route,
            body: &body,
        });
        self.actions.trace_step(
            &correlation_id,
            format_args!("started by command {command}"),
        );
        if let Some(request) = self.requests.get_mut(&id) {
            let execution = request.execution.get_or_insert_with(|| Execution {
                start_command: command,
                cancel_command: None,
                is_acknowledged: false,
                is_uncertain: false,
                wait: ExecutionWait::Nothing,
                call_body: Vec::new(),
            });
            execution.start_command = command;
            request.start_commands += u32::from(command > 0);
            if self.idempotency(operation) != Idempotency::Idempotent {
                self.set_timer(MARK_DELAY, Timer::RequestGauges);
            }
        }
    }

    /// Cancels the execution of a request.
    pub fn cancel_execution(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(execution) = &request.execution else {
            return;
        };
        if execution.start_command == 0 {
            return self.drop_unsent_execution(id);
        }
        let correlation_id = request.correlation_id.clone();
        let command = self.send_command(Command::Preempt(&correlation_id));
        if let Some(execution) = self.execution_mut(id) {
            execution.cancel_command = Some(command);
        }
    }

    pub(super) fn execution_mut(&mut self, id: RequestId) -> Option<&mut Execution> {
        self.requests.get_mut(&id)?.execution.as_mut()
    }

    /// Records that an execution needs a backend call. Returns its request, or `None` if there is
    /// no such execution.
    pub fn backend_call_needed(
        &mut self,
        correlation_id: &str,
        notice: u64,
        body: Vec<u8>,
    ) -> Option<RequestId> {
        let id = self.request_ids.get(correlation_id).copied();
        let request = id
            .and_then(|id| self.requests.get_mut(&id))
            .filter(|request| request.execution.is_some());
        let Some(request) = request else {
            self.count(Metric::CallsOfUnknownExecutions, 1);
            return None;
        };
        request.last_call_failed = false;
        let execution = request.execution.as_mut()?;
        execution.is_acknowledged = true;
        execution.wait = ExecutionWait::BackendCall { notice };
        execution.call_body = body;
        self.actions.trace_step(
            correlation_id,
            format_args!("backend call needed by notice {notice}"),
        );
        id.inspect(|&id| self.executor_knows(id))
    }

    /// Returns whether the execution of a request waits for a backend call.
    pub fn waits_for_backend_call(&self, id: RequestId) -> bool {
        self.requests
            .get(&id)
            .and_then(|request| request.execution.as_ref())
            .is_some_and(|execution| matches!(execution.wait, ExecutionWait::BackendCall { .. }))
    }

    /// Handles the end of an execution and answers its request. Returns the request, or `None` if
    /// there is no such execution.
    pub fn execution_ended(
        &mut self,
        correlation_id: &str,
        end: End,
        body: Vec<u8>,
    ) -> Option<RequestId> {
        let id = self.request_ids.get(correlation_id).copied();
        let request = id
            .and_then(|id| self.requests.get_mut(&id))
            .filter(|request| request.execution.is_some());
        let (Some(id), Some(request)) = (id, request) else {
            self.count(Metric::EndsOfUnknownExecutions, 1);
            return None;
        };
        request.execution = None;
        request.has_run |= end != End::NeverStarted;
        // After a second start command, MOOT only means that nothing runs now: the execution may
        // have run after the first command, and the notice of its end may have been lost.
        request.never_ran = end == End::NeverStarted && request.start_commands == 1;
        self.actions
            .trace_step(correlation_id, format_args!("execution ended: {end:?}"));
        if let Some(call) = request.backend_call.take() {
            self.release_budget(&call, true);
            call.link()
                .into_iter()
                .for_each(|link| self.cancel_backend_call(correlation_id, link));
        }
        if end != End::NeverStarted {
            self.executor_knows(id);
        }
        match end {
            End::Ok => {
                let fresh_until = self.now + self.config.deployment.shared_answer_ttl;
                self.idempotency_cache.store(id, &body, fresh_until);
                self.answer(id, 200, "", body);
            }
            End::Error => self.answer(id, 500, "", Vec::new()),
            End::Stopped | End::NeverStarted => {}
        }
        self.remove_if_done(id);
        Some(id)
    }

    /// Handles a command that the executor refused. Returns the request that fails because its
    /// start was refused, if any.
    pub fn command_refused(&mut self, command: &str, correlation_id: &str) -> Option<RequestId> {
        self.count(Metric::RefusedCommands, 1);
        let id = self
            .request_ids
            .get(correlation_id)
            .copied()
            .filter(|_| command == "SCHED")?;
        let request = self.requests.get_mut(&id)?;
        request
            .execution
            .take_if(|execution| !execution.is_acknowledged)?;
        // After a second start command, the refusal says nothing of the first one.
        request.never_ran = request.start_commands == 1;
        if let Some(target) = request.reply_target {
            // Load balancers only send requests that the executor knows.
            self.strike(target.connection_id);
        }
        self.answer(id, 500, "", Vec::new());
        self.remove_if_done(id); // it may have been answered before
        Some(id)
    }

    /// Asks the executor whether an execution exists, by another start command for a request that is
    /// over. If no execution exists, the start command or the notice of the end was lost, and the
    /// executor answers MOOT. If the execution exists, the executor does nothing.
    ///
    /// For a request that is not over yet, the command would start a second execution.
    pub fn query_execution(&mut self, id: RequestId) {
        invariant!(
            self,
            self.time_until_over(id) == 0,
            "only an execution whose client is gone is queried"
        );
        if let Some(execution) = self.execution_mut(id) {
            execution.is_uncertain = false;
        }
        self.send_start(id);
    }

    /// Queries executions whose requests have been over for [`HOUSEKEEPING_PERIOD`] or longer.
    pub fn query_overdue_executions(&mut self) {
        if !self.executor.is_in_step() {
            return; // notices missed without a link are replayed first
        }
        let now = self.time_without_pauses();
        let overdue: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request.reply_target.is_none()
                    && request.execution.is_some()
                    && now > request.client_gone_by + HOUSEKEEPING_PERIOD
            })
            .map(|(&id, _)| id)
            .collect();
        for id in overdue {
            self.count(Metric::OverdueExecutions, 1);
            self.query_execution(id);
        }
    }

    /// Returns whether the execution with this correlation id waits for a backend call.
    #[cfg(test)]
    pub fn waits_for_call(&self, correlation_id: &str) -> bool {
        self.request_ids
            .get(correlation_id)
            .is_some_and(|&id| self.waits_for_backend_call(id))
    }
}
