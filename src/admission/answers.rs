//! How a request ends: rejected, failed, stopped, and taken out of the table and the counts.

use super::request::RequestState;
use super::{AdmissionController, DEADLINE_TIMER};
use crate::{Host, Idempotency, Nanos, Preemption};

impl<H: Host> AdmissionController<H> {
    /// Answers a request that never ran: it is rejected, or failed if what it repeats may have run.
    pub(super) fn reject(&mut self, now: Nanos, slot: usize) {
        self.window.value_rejected += self.value_density(slot);
        let request = &self.requests[slot];
        if request.state == RequestState::Coalesced {
            self.host.fail(request.id);
        } else {
            // Trying another node helps neither against lateness nor against an overload of the
            // whole cluster.
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

    /// Answers all that is due; work that goes on is counted as running until it ends.
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

    /// Answers with an error what was started or coalesced.
    pub(super) fn fail(&mut self, slot: usize) {
        self.host.fail(self.requests[slot].id);
        match self.requests[slot].state {
            RequestState::Coalesced => self.remove(slot),
            _ => self.stop_work(slot),
        }
    }

    /// Stops work that nobody waits for any more, where that can be done.
    pub(super) fn stop_work(&mut self, slot: usize) {
        let request = &mut self.requests[slot];
        request.is_answered = true;
        // A repeat within the window is served from the result of a keyed execution; if that was
        // stopped, the repeat could only fail.
        let serves_repeats =
            self.operations[request.operation].agreed.idempotency == Idempotency::Keyed;
        if request.state == RequestState::Running
            && self.deployment.preemption != Preemption::Unsupported
            && !serves_repeats
        {
            self.host.stop(request.id);
        }
    }

    /// Takes a request out of the table and the counts.
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
