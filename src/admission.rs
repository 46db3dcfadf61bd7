//! All decisions of a node. The host calls one method of [`AdmissionController`] for each event and
//! passes the present time; the method returns its decisions through calls to [`Host`].
//!
//! Arrivals are admitted by Dynamic Beta RED (`beta_red`): each arrival moves the averaged queue
//! length and is rejected with the probability that the refusal curve gives for that average. Each
//! update moves the virtual target and the concurrency limit. Queued requests start in the order of
//! their value density (`queue`), within the concurrency limit, the runnable limit
//! (`concurrency_limit`) and memory (`memory`). Every request is answered before its deadline
//! (`deadlines`), backend calls stay within the node's part of the downstream limit
//! (`backend_calls`), and load balancers are told how much traffic to hold back (`load_report`,
//! `drain`).
//!
//! Invariants: each request gets exactly one answer. An execution or backend call that must not run
//! twice is not started a second time. Random draws depend only on the seed and the order of
//! events, so that the same events at the same times give the same decisions.

mod answers;
mod backend_calls;
mod beta_red;
mod concurrency_limit;
mod deadlines;
mod drain;
mod load_report;
mod measure;
mod memory;
mod mode;
mod operation;
mod queue;
mod request;
mod tenants;
mod updates;

use crate::{
    Arrival, BackendCallOutcome, Deployment, ExecutionOutcome, Gauges, Host, Idempotency, Nanos,
    RequestId, TimerId,
};
use backend_calls::{BackendCalls, CallDecision, FailedCall};
use beta_red::BetaRed;
use concurrency_limit::ConcurrencyLimit;
use deadlines::{DeadlineTimer, RequestTimes};
use drain::Drain;
use load_report::{LoadSignals, UpdateWindow};
use measure::UPDATE_INTERVAL;
use memory::MemoryAccount;
use mode::Mode;
use operation::OperationProfile;
use queue::{Queue, Rank, Valuation};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use request::{Request, RequestState, RequestTable};
use tenants::TenantRates;

#[cfg(test)]
mod tests;

/// Periodic timer that triggers the updates.
const UPDATE_TIMER: TimerId = TimerId(1);
/// Timer that fires when the next answer is due.
const DEADLINE_TIMER: TimerId = TimerId(2);

/// Makes all admission decisions of one node. Side effects are requested from `H`.
pub struct AdmissionController<H: Host> {
    host: H,
    deployment: Deployment,
    started_at: Nanos,
    random: Pcg64Mcg,
    operations: Vec<OperationProfile>,
    tenants: TenantRates,
    requests: RequestTable,
    queue: Queue,
    /// Number of executions, including those that wait for a backend call.
    running: usize,
    memory: MemoryAccount,
    beta_red: BetaRed,
    concurrency: ConcurrencyLimit,
    calls: BackendCalls,
    window: UpdateWindow,
    signals: LoadSignals,
    deadline_timer: DeadlineTimer,
    drain: Option<Drain>,
    mode: Mode,
}

impl<H: Host> AdmissionController<H> {
    /// Creates the controller of a node that starts at `now`, and sets the first update timer.
    /// Random draws depend only on `seed` and the order of events.
    pub fn new(now: Nanos, mut host: H, deployment: Deployment, seed: u64) -> Self {
        host.set_health(true, true);
        host.set_timer(UPDATE_TIMER, UPDATE_INTERVAL);
        let operations = &deployment.operations;
        let objectives = operations
            .iter()
            .map(|operation| operation.latency_objective);
        let shortest_objective = objectives.min().unwrap_or(0);
        let mut controller = AdmissionController {
            host,
            started_at: now,
            random: Pcg64Mcg::seed_from_u64(seed),
            operations: operations.iter().map(OperationProfile::new).collect(),
            tenants: TenantRates::new(&deployment.tenants),
            requests: RequestTable::new(),
            queue: Queue::new(),
            running: 0,
            memory: MemoryAccount::new(&deployment),
            beta_red: BetaRed::new(deployment.cores as f64, shortest_objective),
            concurrency: ConcurrencyLimit::new(&deployment),
            calls: BackendCalls::new(),
            window: UpdateWindow::default(),
            signals: LoadSignals::new(),
            deadline_timer: DeadlineTimer::new(),
            drain: None,
            mode: Mode::Admitting,
            deployment,
        };
        controller.update_targets();
        controller
    }

    // ---- Events ----

    /// Handles a request that was read from a connection: it is queued, coalesced or rejected, and
    /// queued requests are started.
    pub fn on_arrival(&mut self, now: Nanos, arrival: Arrival) {
        let slot = self.register(now, &arrival);
        let RequestTimes {
            arrived_at,
            answer_by,
            ..
        } = self.requests[slot].times;
        let key_lifetime = self.key_lifetime(&arrival);
        let is_late = answer_by <= now
            || self
                .drain
                .is_some_and(|drain| drain.is_past_grace(arrived_at, &self.deployment));
        let key_kb = key_lifetime.map_or(0.0, |_| self.memory.key_kb());
        if is_late || !self.memory.fits(key_kb) {
            return self.reject(now, slot);
        }
        self.set_deadline_timer(now, answer_by);
        if arrival.duplicate_of.is_some() {
            return self.host.coalesce(arrival.id);
        }
        if let Some(lifetime) = key_lifetime {
            // The key is retained before the execution starts, so that any later repeat is
            // recognised.
            self.host.retain_idempotency_key(arrival.id, lifetime);
            self.memory.add_key(now + lifetime);
        }
        self.queue.push(slot);
        let has_spare_cpu = self.concurrency.has_spare_cpu();
        if self
            .beta_red
            .rejects(self.queue.len(), has_spare_cpu, &mut self.random)
        {
            let candidate = self
                .queue
                .shed_candidate(now, slot, &self.requests, &self.valuation());
            self.reject(now, candidate);
        }
        self.start_queued(now);
    }

    /// Handles a running request that needs a backend call. The call is made, skipped or delayed.
    pub fn on_backend_call_needed(&mut self, now: Nanos, id: RequestId) {
        let Some(slot) = self.requests.slot(id) else {
            return;
        };
        let request = &mut self.requests[slot];
        (request.state, request.failed_calls) = (RequestState::AwaitsCall, 0);
        self.calls.waiting += 1;
        self.try_call(now, slot, false);
        self.start_queued(now);
    }

    /// Handles the end of a backend call, `latency` after it was made.
    pub fn on_backend_call_ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        outcome: BackendCallOutcome,
        latency: Nanos,
    ) {
        let Some(slot) = self.requests.slot(id) else {
            return;
        };
        let request = &mut self.requests[slot];
        if request.state != RequestState::Calling {
            return;
        }
        let operation = &mut self.operations[request.operation];
        let failed = outcome != BackendCallOutcome::Succeeded;
        let was_abandoned = outcome == BackendCallOutcome::Abandoned;
        if !failed || was_abandoned {
            operation.observe_call(latency);
        }
        if failed {
            request.state = RequestState::AwaitsCall;
            request.failed_calls += 1;
        } else {
            request.state = RequestState::Running;
            self.calls.waiting -= 1;
        }
        let random = &mut self.random;
        let gives_up = self
            .calls
            .gives_up(request.failed_calls, operation, outcome, random);
        let next = backend_calls::after_failure(gives_up, operation, &self.deployment);
        let is_awaited = !request.is_answered;
        self.calls.observe_outcome(failed);
        self.calls
            .record_end(now, was_abandoned, latency, &self.deployment);
        if failed && is_awaited {
            match next {
                FailedCall::Skip => self.skip_call(slot),
                FailedCall::Fail => self.fail(slot),
                FailedCall::RetryAtUpdate => {}
                FailedCall::Retry => self.try_call(now, slot, false),
            }
        }
        self.make_pending_calls(now, false);
    }

    /// Handles the end of an execution or of a coalesced wait, `latency` after it started. If the
    /// outcome is `Succeeded` or `Failed`, the host has answered the client.
    pub fn on_execution_ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        outcome: ExecutionOutcome,
        latency: Nanos,
    ) {
        let Some(slot) = self.requests.slot(id) else {
            return;
        };
        let request = &self.requests[slot];
        if request.state == RequestState::Calling {
            self.calls.record_end(now, true, latency, &self.deployment);
        } else if outcome == ExecutionOutcome::Succeeded && request.state == RequestState::Running {
            let operation = &mut self.operations[request.operation];
            let run_ratio = operation.observe_run(latency, request.size);
            self.concurrency.observe_run(run_ratio);
            self.beta_red.count_completion();
        }
        if outcome == ExecutionOutcome::Cancelled && !request.is_answered {
            // The execution was stopped while its client still waits. It is not started again,
            // since the operation may not be allowed to run twice.
            self.host.fail(id);
        }
        self.remove(slot);
        self.start_queued(now);
        self.make_pending_calls(now, false);
    }

    /// Handles the cancellation of a request by its client.
    pub fn on_client_cancelled(&mut self, now: Nanos, id: RequestId) {
        let Some(slot) = self.requests.slot(id) else {
            return;
        };
        match self.requests[slot].state {
            RequestState::Queued => {
                // The request never ran, so a repeat must run instead of waiting for its result.
                self.host.release_idempotency_key(id);
                self.remove(slot);
            }
            RequestState::Coalesced => self.remove(slot),
            _ => self.stop_work(slot),
        }
        self.start_queued(now);
    }

    /// Handles the expiry of a timer. `gauges` are the node's present gauges.
    pub fn on_timer(&mut self, now: Nanos, timer: TimerId, gauges: Gauges) {
        if timer == DEADLINE_TIMER {
            self.answer_due(now);
        } else {
            self.host.set_timer(UPDATE_TIMER, UPDATE_INTERVAL);
            self.update(now, &gauges);
        }
        self.start_queued(now);
        self.make_pending_calls(now, timer == UPDATE_TIMER);
    }

    /// Starts to drain the node. The process will be stopped after `remaining`; all open requests
    /// are answered before then.
    pub fn start_drain(&mut self, now: Nanos, remaining: Nanos) {
        let stops_at = now + remaining;
        self.drain = Some(Drain {
            begun_at: now,
            stops_at,
        });
        let latest = deadlines::latest_answer(stops_at);
        for request in self.requests.iter_mut() {
            request.times.answer_by = request.times.answer_by.min(latest);
        }
        self.set_deadline_timer(now, latest);
        self.host.set_health(false, true);
        self.send_load_report(now);
        self.enter(Mode::Draining);
    }

    // ---- Arrival and start ----

    /// Adds an arrival to the request table and the counts, and returns its slot.
    fn register(&mut self, now: Nanos, arrival: &Arrival) -> usize {
        let config = &self.operations[arrival.operation.0].config;
        let stops_at = self.drain.map(|drain| drain.stops_at);
        let times = RequestTimes::new(now, arrival, config, stops_at);
        let slot = self.requests.insert(Request::new(arrival, times));
        self.memory.add_queued(arrival.queued_kb);
        if let Some(tenant) = arrival.tenant {
            self.tenants.count_arrival(tenant.0);
        }
        self.window.value_read += self.value_density(slot);
        self.window.arrivals += 1.0;
        self.beta_red.observe_arrival(self.queue.len(), arrival.age);
        slot
    }

    /// Returns how long an arrival's idempotency key is retained: for keyed operations the
    /// idempotency window, for reads the time for which an answer may be shared. Returns `None` if
    /// the request has no key, or repeats a request whose key is already retained.
    fn key_lifetime(&self, arrival: &Arrival) -> Option<Nanos> {
        let config = &self.operations[arrival.operation.0].config;
        let shared_ttl = self.deployment.shared_answer_ttl;
        let is_shared =
            shared_ttl > 0 && arrival.has_subject && config.idempotency == Idempotency::Idempotent;
        let is_keyed = is_shared || config.idempotency == Idempotency::Keyed;
        (arrival.duplicate_of.is_none() && is_keyed)
            .then(|| config.idempotency_window.max(shared_ttl))
    }

    fn valuation(&self) -> Valuation<'_> {
        Valuation {
            deployment: &self.deployment,
            operations: &self.operations,
            tenants: &self.tenants,
            has_spare_cpu: self.concurrency.has_spare_cpu(),
        }
    }

    fn value_density(&self, slot: usize) -> f64 {
        self.valuation().value_density(&self.requests[slot])
    }

    /// Starts queued requests while the concurrency limit, the runnable limit and memory allow it.
    /// The concurrency limit does not count executions that wait for a backend call, since they use
    /// no core.
    fn start_queued(&mut self, now: Nanos) {
        while self.running - self.calls.waiting < self.concurrency.limit as usize
            && self.running
                < concurrency_limit::runnable_limit(now, self.started_at, &self.deployment)
        {
            let Some(slot) = self.next_to_start(now) else {
                return;
            };
            let queued_kb = self.requests[slot].queued_kb;
            let extra_kb = self.memory.extra_running_kb(queued_kb);
            let starts_alone = self.running == 0 && self.memory.fits_by_count(extra_kb);
            if !self.memory.fits(extra_kb) && !starts_alone {
                return;
            }
            self.queue.remove(slot);
            self.memory.add_running(queued_kb);
            self.running += 1;
            self.requests[slot].state = RequestState::Running;
            self.host.start(self.requests[slot].id);
        }
    }

    /// Returns the slot of the queued request with the highest rank. Rejects queued requests whose
    /// answer would earn nothing.
    fn next_to_start(&mut self, now: Nanos) -> Option<usize> {
        let mut best: Option<(Rank, usize)> = None;
        for index in (0..self.queue.len()).rev() {
            let slot = self.queue.slot(index);
            match self.valuation().rank(now, &self.requests[slot]) {
                None => self.reject(now, slot),
                Some(rank) if best.is_none_or(|(highest, _)| rank >= highest) => {
                    best = Some((rank, slot));
                }
                Some(_) => {}
            }
        }
        best.map(|(_, slot)| slot)
    }

    // ---- Backend calls ----

    /// Makes the backend calls that executions wait for, while the downstream has capacity. Calls
    /// with a failed attempt are retried only if `at_update` is true.
    fn make_pending_calls(&mut self, now: Nanos, at_update: bool) {
        if !self.calls.any_pending() {
            return;
        }
        for slot in self.requests.slots() {
            let Some(request) = self.requests.get(slot) else {
                continue;
            };
            if request.state == RequestState::AwaitsCall && (at_update || request.failed_calls == 0)
            {
                self.try_call(now, slot, at_update);
            }
        }
    }

    /// Makes the backend call that an execution waits for, skips the call, or leaves the execution
    /// waiting for capacity. `has_waited` is true if the call has waited until an update.
    fn try_call(&mut self, now: Nanos, slot: usize, has_waited: bool) {
        let Some(request) = self.requests.get(slot) else {
            return;
        };
        if request.is_answered {
            return;
        }
        let operation = &self.operations[request.operation];
        let decision = self
            .calls
            .decide(now, request, operation, &self.deployment, has_waited);
        match decision {
            CallDecision::Call { timeout } => {
                self.calls.in_flight += 1;
                self.host.call_backend(request.id, timeout);
                self.requests[slot].state = RequestState::Calling;
            }
            CallDecision::Skip => self.skip_call(slot),
            CallDecision::Wait => {}
        }
    }

    fn skip_call(&mut self, slot: usize) {
        self.requests[slot].state = RequestState::Running;
        self.calls.waiting -= 1;
        self.host.skip_backend_call(self.requests[slot].id);
    }
}
