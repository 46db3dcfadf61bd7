//! Handling of executor notices and backend replies.

use super::Node;
use crate::actions::{Actions, BackendLink, CallId};
use crate::backend;
use crate::executor::{End, Notice};
use crate::metrics::Metric;
use crate::state::AdmissionHost;
use madderpoint::admission::AdmissionController;
use madderpoint::{BackendCallOutcome, ExecutionOutcome, Nanos, RequestId};
use std::rc::Rc;

fn millis_to_nanos(ms: f64) -> Nanos {
    (ms * 1e6) as Nanos
}

impl<A: Actions> Node<A> {
    pub(super) fn on_executor_notice(&mut self, now: Nanos, notice: Notice) {
        match notice {
            Notice::Booted { cold, up_ms } => self.on_executor_booted(now, cold, up_ms),
            Notice::Info { mark, values } => {
                self.state.borrow_mut().gauges_received(mark, values);
            }
            Notice::HealthCheckDone { mark, ok } => {
                self.state.borrow_mut().health_check_done(mark, ok)
            }
            Notice::Odd(anomaly, times) => {
                let metric = Metric::ExecutorAnomaly(anomaly);
                self.state.borrow_mut().count(metric, times);
            }
            Notice::CommandRefused { command, rid } => {
                let failed = self.state.borrow_mut().command_refused(&command, &rid);
                if let Some(id) = failed {
                    self.execution_ended(now, id, ExecutionOutcome::Failed, 0);
                }
            }
            Notice::BackendCallNeeded { no, rid, body } => {
                let id = self.state.borrow_mut().backend_call_needed(&rid, no, body);
                if let (Some(id), Some(admission)) = (id, &mut self.admission) {
                    admission.on_backend_call_needed(now, id);
                }
            }
            Notice::ExecutionEnded {
                rid,
                end,
                time_ms,
                body,
            } => {
                let Some(id) = self.state.borrow_mut().execution_ended(&rid, end, body) else {
                    return;
                };
                let outcome = match end {
                    End::Ok => ExecutionOutcome::Succeeded,
                    End::Error => ExecutionOutcome::Failed,
                    End::Stopped => ExecutionOutcome::Cancelled,
                    End::NeverStarted => ExecutionOutcome::NeverStarted,
                };
                self.execution_ended(now, id, outcome, millis_to_nanos(time_ms));
            }
        }
    }

    fn on_executor_booted(&mut self, now: Nanos, is_cold: bool, up_ms: f64) {
        // A node that was told to drain before its executor came up admits nothing.
        if self.admission.is_none() && !self.state.borrow().is_draining() {
            let mut deployment = self.config.deployment.clone();
            deployment.starts_cold = is_cold;
            // Keys and results are stored in this process under its own memory limit and use none
            // of the executor's memory.
            deployment.idempotency_key_kb = 0.0;
            let started = now.saturating_sub(millis_to_nanos(up_ms));
            let host = AdmissionHost(Rc::clone(&self.state));
            self.admission = Some(AdmissionController::new(
                started, host, deployment, self.seed,
            ));
        }
        self.state.borrow_mut().executor_booted(is_cold, up_ms);
        self.update_cluster(|cluster| cluster.executor_booted(is_cold));
    }

    pub(super) fn execution_ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        outcome: ExecutionOutcome,
        latency: Nanos,
    ) {
        if outcome == ExecutionOutcome::Succeeded {
            self.update_cluster(|cluster| cluster.execution_succeeded());
        }
        if let Some(admission) = &mut self.admission {
            admission.on_execution_ended(now, id, outcome, latency);
        }
    }

    pub(super) fn on_backend_call_written(
        &mut self,
        now: Nanos,
        call_id: CallId,
        id: RequestId,
        link: BackendLink,
    ) {
        let is_cut_off = self
            .state
            .borrow_mut()
            .backend_call_written(call_id, id, link);
        if is_cut_off {
            self.backend_call_ended(now, id, BackendCallOutcome::PossiblyExecuted);
        }
    }

    pub(super) fn on_backend_call_not_sent(&mut self, now: Nanos, call_id: CallId, id: RequestId) {
        let is_current = self.state.borrow().is_current_call(id, call_id);
        if is_current {
            self.backend_call_ended(now, id, BackendCallOutcome::NotExecuted);
        }
    }

    pub(super) fn on_backend_disconnected(
        &mut self,
        now: Nanos,
        link: BackendLink,
        cause: Option<backend::ReadError>,
    ) {
        if let Some(cause) = cause {
            self.count(Metric::BackendProtocolError(cause));
        }
        let cut_off = self.state.borrow_mut().backend_disconnected(link);
        cut_off
            .into_iter()
            .for_each(|id| self.backend_call_ended(now, id, BackendCallOutcome::PossiblyExecuted));
    }

    pub(super) fn on_backend_reply(&mut self, now: Nanos, link: usize, reply: backend::Reply) {
        let Some(id) = self.state.borrow_mut().backend_replied(link, &reply) else {
            return;
        };
        let outcome = match reply.outcome {
            backend::Outcome::Ok => BackendCallOutcome::Succeeded,
            backend::Outcome::Overload | backend::Outcome::Stale => BackendCallOutcome::NotExecuted,
            backend::Outcome::Internal => BackendCallOutcome::PossiblyExecuted,
            backend::Outcome::Deadline => BackendCallOutcome::Abandoned,
        };
        if outcome == BackendCallOutcome::Succeeded {
            self.state
                .borrow_mut()
                .resume_execution(id, Some(reply.body));
        }
        self.backend_call_ended(now, id, outcome);
    }

    pub(super) fn backend_call_ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        outcome: BackendCallOutcome,
    ) {
        let latency = self.state.borrow_mut().end_backend_call(id, outcome);
        if let (Some(latency), Some(admission)) = (latency, &mut self.admission) {
            admission.on_backend_call_ended(now, id, outcome, latency);
        }
    }
}
