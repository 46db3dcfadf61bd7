//! Resume commands: an execution that waits for a backend call continues with the reply, or without
//! one.
//!
//! A resume command with a reply names only the request, and the executor takes it for the call that
//! the execution waits for when the command is read. It is therefore sent at most once for a call:
//! after the link has broken, the execution may have got the reply and may already wait for its next
//! call. A resume command without a reply names the notice that requested the call, so that it never
//! applies to another call and may be sent again.

use super::executions::{ExecutionWait, MARK_DELAY};
use super::executor_link::UNCERTAIN_TIMEOUT;
use super::{NodeState, Timer};
use crate::actions::Actions;
use crate::executor::Command;
use crate::metrics::Metric;
use madderpoint::RequestId;

impl<A: Actions> NodeState<A> {
    /// Resumes an execution that waits for a backend call, with or without a reply to it.
    pub fn resume_execution(&mut self, id: RequestId, reply: Option<Vec<u8>>) {
        let Some(execution) = self.execution_mut(id) else {
            return;
        };
        let ExecutionWait::BackendCall { notice } = execution.wait else {
            return;
        };
        execution.wait = ExecutionWait::ResumePending { notice, reply };
        self.send_pending_resume(id);
    }

    /// Sends the first resume command for a call, if it is pending and the link is in step.
    pub fn send_pending_resume(&mut self, id: RequestId) {
        if !self.executor.is_in_step() {
            return;
        }
        let Some(execution) = self.execution_mut(id) else {
            return;
        };
        let ExecutionWait::ResumePending { notice, reply } = &mut execution.wait else {
            return;
        };
        let (notice, reply) = (*notice, reply.take());
        let must_not_be_lost = reply.is_some() && !self.may_skip_call(id);
        self.send_resume(id, notice, reply);
        if must_not_be_lost {
            self.set_timer(MARK_DELAY, Timer::RequestGauges);
        }
    }

    /// Deals with a resume command that may have been lost with the previous link. `is_missing`
    /// returns whether the command with a number is not known to have arrived.
    ///
    /// If the call may be skipped, a resume command without a reply follows, which has no effect if
    /// the execution has continued. Otherwise its next notice shows that it has, and the request fails if
    /// there is none in [`UNCERTAIN_TIMEOUT`].
    pub fn check_resume(&mut self, id: RequestId, is_missing: impl Fn(u64) -> bool) {
        let Some(execution) = self.execution_mut(id) else {
            return;
        };
        let ExecutionWait::Resumed { notice, command } = execution.wait else {
            return;
        };
        if !is_missing(command) {
            return;
        }
        self.count(Metric::UncertainResumes, 1);
        if self.may_skip_call(id) {
            self.send_resume(id, notice, None);
        } else {
            self.set_timer(UNCERTAIN_TIMEOUT, Timer::UncertainResume(id, notice));
        }
    }

    /// Fails a request if its execution has sent no notice since it was resumed after the call that
    /// `notice` requested. The executor ends an execution that still waits for a call once its
    /// request is answered.
    pub fn fail_uncertain_resume(&mut self, id: RequestId, notice: u64) {
        let is_uncertain = self.execution_mut(id).is_some_and(|execution| {
            matches!(execution.wait, ExecutionWait::Resumed { notice: last, .. } if last == notice)
        });
        if !is_uncertain {
            return;
        }
        if self.executor.is_in_step() {
            self.answer(id, 500, "", Vec::new());
        } else {
            // The notice may be among those that are sent again on the next link.
            self.set_timer(UNCERTAIN_TIMEOUT, Timer::UncertainResume(id, notice));
        }
    }

    /// Returns whether an execution of the request may continue without a backend call.
    fn may_skip_call(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| {
            let operation = &self.config.deployment.operations[request.operation.0];
            operation.weight_fraction_without_call > 0.0
        })
    }

    /// Sends a resume command for the call that `notice` requested.
    fn send_resume(&mut self, id: RequestId, notice: u64, reply: Option<Vec<u8>>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let correlation_id = request.correlation_id.clone();
        let command = self.send_command(match &reply {
            Some(body) => Command::ResumeWithReply {
                rid: &correlation_id,
                body,
            },
            None => Command::ResumeWithoutReply {
                rid: &correlation_id,
                no: notice,
            },
        });
        let with_reply = if reply.is_some() { "with" } else { "without" };
        self.actions.trace_step(
            &correlation_id,
            format_args!("resumed {with_reply} reply for notice {notice} by command {command}"),
        );
        if let Some(execution) = self.execution_mut(id) {
            execution.wait = ExecutionWait::Resumed { notice, command };
        }
    }
}
