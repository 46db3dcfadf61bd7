//! The end of a request: it is rejected, failed or stopped, and removed from the request table and
//! the counts.

use super::request::RequestState;
use super::{AdmissionController, DEADLINE_TIMER};
use crate::{Host, Idempotency, Nanos, Preemption};

impl<H: Host> AdmissionController<H> {
    /// Rejects a request that never ran. A coalesced request is failed instead, since the request
    /// that it repeats may have run.
    pub(super) fn reject(&mut self, now: Nanos, slot: usize) {
        self.window.value_rejected += self.value_density(slot);
        let request = &self.requests[slot];
        if request.state == RequestState::Coalesced {
            self.host.fail(request.id);
        } else {
            // Trying another node does not help if the request is late or the whole cluster is
            // overloaded.
            let stop_trying = now >= request.times.objective_at
                || self.signals.is_shedding()
                    && self.tenants.cluster_reaches_quotas(&self.deployment);
            let retry_after = self.deployment.max_retry_after as f64 * self.held_back(now);
            self.host
                .reject(request.id, retry_after as Nanos, stop_trying);
            self.host.release_idempotency_key(request.id);
        }
        self.remove(slot);
    }

    /// Answers all requests that are due. Executions that continue are counted as running until
    /// they end.
    pub(super) fn answer_due(&mut self, now: Nanos) {
        self.deadline_timer.fired();
        let mut next = Nanos::MAX;
        for slot in self.requests.slots() {
            match self.requests.get(slot) {
                Some(request) if request.is_answered => {}
                Some(request) if request.times.answer_by > now => {
                    next = next.min(request.times.answer_by);
                }
                Some(request) if request.state == RequestState::Queued => self.reject(now, slot),
                Some(_) => self.fail(slot),
                None => {}
            }
        }
        self.set_deadline_timer(now, next);
    }

    pub(super) fn set_deadline_timer(&mut self, now: Nanos, answer_by: Nanos) {
        if let Some(delay) = self.deadline_timer.delay_for(now, answer_by) {
            self.host.set_timer(DEADLINE_TIMER, delay);
        }
    }

    /// Answers a started or coalesced request with an error.
    pub(super) fn fail(&mut self, slot: usize) {
        self.host.fail(self.requests[slot].id);
        match self.requests[slot].state {
            RequestState::Coalesced => self.remove(slot),
            _ => self.stop_work(slot),
        }
    }

    /// Marks a started request as answered, and stops its execution if the deployment supports
    /// preemption.
    pub(super) fn stop_work(&mut self, slot: usize) {
        let request = &mut self.requests[slot];
        request.is_answered = true;
        // The result of a keyed execution also answers repeats within the idempotency window. If
        // the execution were stopped, those repeats could only fail.
        let serves_repeats =
            self.operations[request.operation].config.idempotency == Idempotency::Keyed;
        if request.state == RequestState::Running
            && self.deployment.preemption != Preemption::Unsupported
            && !serves_repeats
        {
            self.host.stop(request.id);
        }
    }

    /// Removes a request from the request table and the counts.
    pub(super) fn remove(&mut self, slot: usize) {
        let request = self.requests.remove(slot);
        self.memory.remove_queued(request.queued_kb);
        match request.state {
            RequestState::Queued => self.queue.remove(slot),
            RequestState::Coalesced => {}
            state => {
                self.running -= 1;
                self.calls.waiting -= usize::from(state != RequestState::Running);
                self.memory.remove_running(request.queued_kb);
            }
        }
    }
}
