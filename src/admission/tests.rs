//! Tests of the admission controller. Each test sets up the controller's state directly and calls
//! one function or event handler.

use super::beta_red::AVERAGING_WEIGHT;
use super::concurrency_limit::runnable_limit;
use super::deadlines::ANSWER_MARGIN;
use super::load_report::LEVEL_GAIN;
use super::*;
use crate::{
    Downstream, LoadBalancerId, LoadReport, Operation, OperationId, Preemption, Tenant, TenantId,
};
use std::fmt;

mod backend_calls;
mod beta_red;
mod concurrency_limit;
mod deadlines;
mod drain;
mod idempotency;
mod load_report;
mod memory;
mod queue;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000_000_000;

/// A side effect that the controller requested.
#[derive(Debug, PartialEq)]
enum Effect {
    Start(u64),
    Stop(u64),
    Reject(u64, bool),
    Fail(u64),
    CallBackend(u64, Nanos),
    SkipCall(u64),
    RetainKey(u64, Nanos),
    Coalesce(u64),
    SetHealth(bool),
    ReportLoad(f64),
    CloseIdle(Nanos),
    SetTimer(u64, Nanos),
}

/// Records the requested side effects. Released keys are recorded in a separate list.
#[derive(Default)]
struct RecordingHost {
    effects: Vec<Effect>,
    released_keys: Vec<u64>,
}

impl Host for RecordingHost {
    fn start(&mut self, id: RequestId) {
        self.effects.push(Effect::Start(id.0));
    }
    fn stop(&mut self, id: RequestId) {
        self.effects.push(Effect::Stop(id.0));
    }
    fn reject(&mut self, id: RequestId, _retry_after: Nanos, stop_trying: bool) {
        self.effects.push(Effect::Reject(id.0, stop_trying));
    }
    fn fail(&mut self, id: RequestId) {
        self.effects.push(Effect::Fail(id.0));
    }
    fn call_backend(&mut self, id: RequestId, timeout: Nanos) {
        self.effects.push(Effect::CallBackend(id.0, timeout));
    }
    fn skip_backend_call(&mut self, id: RequestId) {
        self.effects.push(Effect::SkipCall(id.0));
    }
    fn retain_idempotency_key(&mut self, id: RequestId, lifetime: Nanos) {
        self.effects.push(Effect::RetainKey(id.0, lifetime));
    }
    fn release_idempotency_key(&mut self, id: RequestId) {
        self.released_keys.push(id.0);
    }
    fn coalesce(&mut self, id: RequestId) {
        self.effects.push(Effect::Coalesce(id.0));
    }
    fn set_health(&mut self, healthy: bool, _from_cache: bool) {
        self.effects.push(Effect::SetHealth(healthy));
    }
    fn report_load(&mut self, value: f64) {
        self.effects.push(Effect::ReportLoad(value));
    }
    fn close_idle_connections(&mut self, idle_for: Nanos) {
        self.effects.push(Effect::CloseIdle(idle_for));
    }
    fn set_timer(&mut self, timer: TimerId, after: Nanos) {
        self.effects.push(Effect::SetTimer(timer.0, after));
    }
    fn log(&mut self, _line: fmt::Arguments<'_>) {}
}

fn deployment() -> Deployment {
    let operation = Operation {
        idempotency: Idempotency::Idempotent,
        latency_objective: 2 * S,
        objective_per_work: 0.0,
        client_timeout: 8 * S,
        idempotency_window: 5 * S,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        calls_downstream: true,
        weight_fraction_without_call: 0.0,
    };
    Deployment {
        cores: 4,
        memory_kb: 10_000.0,
        run_memory_factor: 4.0,
        idempotency_key_kb: 100.0,
        starts_cold: false,
        cold_speed_fraction: 0.25,
        warm_up_time: 10 * S,
        max_runnable_per_core: 5.0,
        drain_grace: 2 * S,
        read_interval: 5 * MS,
        nodes: 10,
        load_balancers: 3,
        client_idle_timeout: 30 * S,
        downstream: Downstream::SharedService,
        downstream_call_limit: 2.5,
        downstream_call_window: 5 * S,
        abandoned_call_linger: 200 * MS,
        preemption: Preemption::Discard,
        load_report: LoadReport::Weight,
        shared_answer_ttl: 0,
        max_retry_after: S,
        weighted_by_work: false,
        over_quota_weight_fraction: 0.05,
        operations: vec![
            operation.clone(),
            Operation {
                priority_weight: 4.0,
                ..operation
            },
        ],
        tenants: vec![Tenant { quota_per_s: 10.0 }],
    }
}

fn controller(deployment: Deployment) -> AdmissionController<RecordingHost> {
    let mut controller = AdmissionController::new(0, RecordingHost::default(), deployment, 7);
    controller.host.effects.clear();
    controller
}

fn arrival(id: u64) -> Arrival {
    Arrival {
        id: RequestId(id),
        operation: OperationId(0),
        tenant: None,
        load_balancer: LoadBalancerId(0),
        has_subject: false,
        time_left: None,
        work_hint: None,
        queued_kb: 10.0,
        age: 0,
        duplicate_of: None,
    }
}

/// Inserts open requests of operation 0 in this state, with arrival time 0.
fn insert_requests(
    controller: &mut AdmissionController<RecordingHost>,
    ids: std::ops::Range<u64>,
    state: RequestState,
) {
    for id in ids {
        let slot = controller.requests.insert(Request {
            id: RequestId(id),
            operation: 0,
            tenant: None,
            times: RequestTimes {
                arrived_at: 0,
                objective_at: 2 * S,
                answer_by: 8 * S,
            },
            queued_kb: 10.0,
            size: 1.0,
            state,
            is_answered: false,
            failed_calls: 0,
        });
        controller.memory.counted_kb += 10.0;
        match state {
            RequestState::Queued => controller.queue.push(slot),
            RequestState::Coalesced => {}
            _ => {
                controller.running += 1;
                controller.memory.counted_kb += 30.0;
                controller.calls.in_flight += usize::from(state == RequestState::Calling);
                controller.calls.waiting += usize::from(state != RequestState::Running);
            }
        }
    }
}

fn cpu_busy(share: f64) -> Gauges {
    Gauges {
        cpu_busy: Some(share),
        ..Gauges::default()
    }
}

// The following functions call one rule with the controller's own state as input.

fn observe_arrival(controller: &mut AdmissionController<RecordingHost>, age: Nanos) {
    controller
        .beta_red
        .observe_arrival(controller.queue.len(), age);
}

fn walk(controller: &mut AdmissionController<RecordingHost>) {
    controller
        .beta_red
        .walk(controller.concurrency.has_spare_cpu());
}

fn update_limit(controller: &mut AdmissionController<RecordingHost>, gauges: &Gauges) {
    controller
        .concurrency
        .update(!controller.queue.is_empty(), gauges);
}

fn shed_candidate(
    controller: &AdmissionController<RecordingHost>,
    now: Nanos,
    arrival: usize,
) -> usize {
    let values = controller.valuation();
    controller
        .queue
        .shed_candidate(now, arrival, &controller.requests, &values)
}

fn runnable(controller: &AdmissionController<RecordingHost>, now: Nanos) -> usize {
    runnable_limit(now, controller.started_at, &controller.deployment)
}
