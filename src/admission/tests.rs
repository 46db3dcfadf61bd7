//! Each test sets up the state it needs and calls one function.

use super::*;
use crate::{LoadBalancerId, OperationId, Tenant, TenantId};
use std::fmt;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000_000_000;

#[derive(Debug, PartialEq)]
enum Did {
    Run(u64),
    Preemption(u64),
    Throttle(u64, bool),
    Error(u64),
    Call(u64, Nanos),
    Skip(u64),
    Remember(u64, Nanos),
    Join(u64),
    Health(bool),
    LoadReport(f64),
    CloseIdle(Nanos),
    Wake(u64, Nanos),
}

/// What was done, and apart from it whose keys were forgotten.
#[derive(Default)]
struct Diary(Vec<Did>, Vec<u64>);

impl Host for Diary {
    fn start(&mut self, id: RequestId) {
        self.0.push(Did::Run(id.0));
    }
    fn stop(&mut self, id: RequestId) {
        self.0.push(Did::Preemption(id.0));
    }
    fn reject(&mut self, id: RequestId, _pause: Nanos, last: bool) {
        self.0.push(Did::Throttle(id.0, last));
    }
    fn fail(&mut self, id: RequestId) {
        self.0.push(Did::Error(id.0));
    }
    fn call_backend(&mut self, id: RequestId, timeout: Nanos) {
        self.0.push(Did::Call(id.0, timeout));
    }
    fn skip_backend_call(&mut self, id: RequestId) {
        self.0.push(Did::Skip(id.0));
    }
    fn retain_idempotency_key(&mut self, id: RequestId, lifetime: Nanos) {
        self.0.push(Did::Remember(id.0, lifetime));
    }
    fn release_idempotency_key(&mut self, id: RequestId) {
        self.1.push(id.0);
    }
    fn coalesce(&mut self, id: RequestId) {
        self.0.push(Did::Join(id.0));
    }
    fn set_health(&mut self, good: bool, _from_store: bool) {
        self.0.push(Did::Health(good));
    }
    fn report_load(&mut self, value: f64) {
        self.0.push(Did::LoadReport(value));
    }
    fn close_idle_connections(&mut self, after: Nanos) {
        self.0.push(Did::CloseIdle(after));
    }
    fn set_timer(&mut self, alarm: TimerId, after: Nanos) {
        self.0.push(Did::Wake(alarm.0, after));
    }
    fn log(&mut self, _line: fmt::Arguments<'_>) {}
}

fn site() -> Deployment {
    let operation = Operation {
        effect: Idempotency::Idempotent,
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
        cold: false,
        cold_speed_fraction: 0.25,
        warm_up_time: 10 * S,
        max_runnable_per_core: 5.0,
        drain_grace: 2 * S,
        step: 5 * MS,
        nodes: 10,
        dispatchers: 3,
        client_idle_timeout: 30 * S,
        below: Downstream::SharedService,
        downstream_call_limit: 2.5,
        downstream_call_window: 5 * S,
        abandoned_call_linger: 200 * MS,
        halt: Preemption::Discard,
        advert: LoadReport::Weight,
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

fn controller(site: Deployment) -> AdmissionController<Diary> {
    let mut controller = AdmissionController::new(0, Diary::default(), site, 7);
    controller.host.0.clear();
    controller
}

fn arrival(id: u64) -> Arrival {
    Arrival {
        id: RequestId(id),
        op: OperationId(0),
        tenant: None,
        dispatcher: LoadBalancerId(0),
        has_subject: false,
        time_left: None,
        work_hint: None,
        queued_kb: 10.0,
        age: 0,
        repeats: None,
    }
}

/// Puts invocations of operation 0 in hand at this stage, as if they had arrived at 0.
fn put(controller: &mut AdmissionController<Diary>, ids: std::ops::Range<u64>, stage: Stage) {
    for id in ids {
        let place = controller.in_hand.insert(Invocation {
            id: RequestId(id),
            op: 0,
            tenant: None,
            arrived: 0,
            objective: 2 * S,
            due: 8 * S,
            kb: 10.0,
            size: 1.0,
            stage,
            over: false,
            failed_calls: 0,
        });
        controller.places.insert(RequestId(id), place);
        controller.ledger_kb += 10.0;
        match stage {
            Stage::Held => controller.hold.push(place),
            Stage::Joining => {}
            _ => {
                controller.running += 1;
                controller.ledger_kb += 30.0;
                controller.calls += usize::from(stage == Stage::Calling);
                controller.away += usize::from(stage != Stage::Running);
            }
        }
    }
}

fn busy(share: f64) -> Gauges {
    Gauges {
        cpu_busy: Some(share),
        ..Gauges::default()
    }
}

#[test]
fn refusal_chance_follows_the_curve() {
    let mut controller = controller(site());
    (controller.red.buffer, controller.red.q_virtual) = (40.0, 20.0);
    let mut last = -1.0;
    for (q, low, high) in [
        (0.0, 0.0, 0.0),
        (16.0, 0.01, 0.1),
        (20.0, 0.45, 0.55),
        (24.0, 0.9, 0.99),
        (40.0, 1.0, 1.0),
    ] {
        controller.red.q_avg = q;
        let chance = controller.chance();
        assert!(
            (low..=high).contains(&chance) && chance > last,
            "at {q}: {chance}"
        );
        last = chance;
    }
}

#[test]
fn each_arrival_moves_the_average_by_its_weight() {
    let mut controller = controller(site());
    put(&mut controller, 0..10, Stage::Held);
    controller.red.q_avg = 20.0;
    controller.average(0);
    assert!((controller.red.q_avg - 17.0).abs() < 1e-9);
}

#[test]
fn what_is_unread_counts_as_held() {
    // Guards against slow reading that hides the queue: held 0 while invocations waited 0.6 s
    // unread.
    let mut controller = controller(site());
    controller.red.feed = 20.0;
    controller.average(500 * MS);
    assert!(
        (controller.red.q_cur - 10.0).abs() < 1e-9 && (controller.red.q_avg - 3.0).abs() < 1e-9
    );
}

#[test]
fn a_call_that_hangs_is_abandoned_after_its_usual_time() {
    let mut controller = controller(Deployment {
        below: Downstream::Tier,
        ..site()
    });
    put(&mut controller, 0..1, Stage::WantsCall);
    controller.rows[0].call = 0.1;
    controller.make_call(MS, 0, false);
    controller.on_backend_call_ended(S, RequestId(0), BackendCallOutcome::Abandoned, 100 * MS);
    assert_eq!(
        controller.host.0,
        [Did::Call(0, 1800 * MS), Did::Call(0, 1800 * MS)]
    );
}

#[test]
fn what_fails_below_is_not_hammered() {
    // Guards against tries that all nodes repeat at a tier that refuses: four attempts for each
    // invocation.
    let mut controller = controller(Deployment {
        below: Downstream::Tier,
        ..site()
    });
    put(&mut controller, 0..1, Stage::Calling);
    put(&mut controller, 1..2, Stage::WantsCall);
    controller.rows[0].agreed.weight_fraction_without_call = 0.5;
    controller.below_failed = 1.0;
    controller.on_backend_call_ended(MS, RequestId(0), BackendCallOutcome::NotExecuted, MS);
    assert!(controller.host.0.contains(&Did::Skip(0)));
}

#[test]
fn walk_moves_by_the_error_and_keeps_its_bounds() {
    let mut controller = controller(site());
    put(&mut controller, 0..10, Stage::Held);
    controller.red.q_cur = 10.0;
    (
        controller.busy,
        controller.red.buffer,
        controller.red.q_target,
        controller.red.q_virtual,
        controller.red.q_avg,
    ) = (1.0, 40.0, 10.0, 20.0, 14.0);
    controller.walk();
    assert!(
        (controller.red.q_virtual - 19.0).abs() < 1e-9,
        "0.25 x (10 - 14)"
    );
    controller.red.q_avg = 1e4;
    controller.walk();
    assert_eq!(controller.red.q_virtual, 4.0, "never under the cores");
    (
        controller.red.q_target,
        controller.red.q_avg,
        controller.red.q_virtual,
    ) = (1e4, 0.0, 20.0);
    controller.walk();
    assert_eq!(controller.red.q_virtual, 39.0, "never over B - 1");
}

#[test]
fn calm_does_not_wind_the_target_up() {
    let mut controller = controller(site());
    (
        controller.busy,
        controller.red.buffer,
        controller.red.q_target,
        controller.red.q_virtual,
    ) = (0.3, 40.0, 10.0, 30.0);
    controller.walk();
    assert!((controller.red.q_virtual - 28.0).abs() < 1e-9);
}

#[test]
fn capacity_is_the_best_of_the_minute() {
    let mut controller = controller(site());
    controller.red.done[3] = 100.0; // 40 a second
    controller.measure_capacity();
    assert!((controller.red.q_target - 20.0).abs() < 1e-9, "40 x 0.5 s");
    assert!((controller.red.buffer - 80.0).abs() < 1e-9);
}

#[test]
fn buffer_is_capped_by_memory() {
    let mut controller = controller(site());
    controller.red.done[3] = 1000.0;
    controller.typical_kb = 100.0;
    controller.measure_capacity();
    // (10,000 x 0.85 / 2 - 4 x 4 x 100) / 100
    assert!(
        (controller.red.buffer - 26.5).abs() < 1e-9,
        "{}",
        controller.red.buffer
    );
}

#[test]
fn running_limit_grows_by_half_the_idle_cores_and_falls_by_one() {
    let mut controller = controller(site());
    put(&mut controller, 0..1, Stage::Held);
    controller.steer_running(&busy(0.5));
    assert_eq!(controller.limit, 5.0);
    controller.stretch = (8.0, 28.0);
    controller.steer_running(&busy(1.0));
    assert_eq!(controller.limit, 4.0);
    controller.steer_running(&busy(1.0));
    assert_eq!(controller.limit, 4.0, "the floor");
}

#[test]
fn everything_is_refused_at_b() {
    let mut controller = controller(site());
    (controller.running, controller.red.buffer) = (16, 6.0);
    put(&mut controller, 0..6, Stage::Held);
    controller.on_arrival(S, arrival(9));
    assert_eq!(controller.hold.len(), 6);
    assert!(controller.host.0.contains(&Did::Throttle(9, false)));
}

#[test]
fn refusal_rests_while_cores_show_room() {
    let mut controller = controller(site());
    (
        controller.running,
        controller.red.buffer,
        controller.red.q_avg,
        controller.busy,
    ) = (17, 26.0, 26.0, 0.5);
    put(&mut controller, 0..20, Stage::Held);
    controller.on_arrival(MS, arrival(99));
    assert_eq!(controller.hold.len(), 21);
}

#[test]
fn refusal_falls_on_the_least_merit_among_the_young() {
    let mut controller = controller(site());
    put(&mut controller, 0..2, Stage::Held);
    (
        controller.in_hand[1].op,
        controller.rows[0].pace,
        controller.rows[1].pace,
    ) = (1, 1.0, 1.0);
    assert_eq!(controller.victim(MS, 1), 0);
    assert_eq!(
        controller.victim(3 * S, 1),
        1,
        "held too long to be sent elsewhere"
    );
}

#[test]
fn a_tenant_beyond_its_share_loses_merit() {
    let mut controller = controller(site());
    put(&mut controller, 0..2, Stage::Held);
    controller.in_hand[0].tenant = Some(0);
    controller.tenants[0].1 = 4.0; // over 10 nodes: 40 a second against 10
    assert!((controller.merit(0) / controller.merit(1) - (0.25 + 0.75 * 0.05)).abs() < 1e-9);
}

#[test]
fn what_cannot_meet_its_objective_is_not_started() {
    let mut controller = controller(site());
    put(&mut controller, 0..2, Stage::Held);
    (controller.busy, controller.rows[0].pace) = (1.0, 1.5);
    controller.in_hand[1].objective = S;
    controller.fill(MS);
    assert_eq!(controller.host.0, [Did::Throttle(1, false), Did::Run(0)]);
}

#[test]
fn large_work_runs_while_cores_show_room() {
    // Guards against nodes that refuse the large ones for good though nothing else wants the core.
    let mut controller = controller(site());
    put(&mut controller, 0..1, Stage::Held);
    (controller.busy, controller.rows[0].pace) = (0.2, 30.0);
    controller.fill(MS);
    assert_eq!(controller.host.0, [Did::Run(0)]);
}

#[test]
fn runs_at_a_call_leave_their_place() {
    let mut controller = controller(site());
    put(&mut controller, 0..4, Stage::Calling);
    put(&mut controller, 4..6, Stage::Held);
    controller.fill(MS);
    assert_eq!(controller.host.0, [Did::Run(4), Did::Run(5)]);
}

#[test]
fn crowd_is_bounded_and_less_while_cold() {
    let mut controller = controller(Deployment {
        cold: true,
        ..site()
    });
    assert_eq!(controller.crowd_limit(0), 6); // 4 x (1 + 4 x 0.25) x 0.85
    assert_eq!(controller.crowd_limit(20 * S), 17);
    controller.site.cold = false;
    assert_eq!(controller.crowd_limit(0), 17);
}

#[test]
fn what_is_due_is_answered_and_running_work_keeps_its_place() {
    let mut controller = controller(Deployment {
        halt: Preemption::Unsupported,
        ..site()
    });
    put(&mut controller, 0..1, Stage::Held);
    put(&mut controller, 1..2, Stage::Running);
    controller.answer_due(8 * S);
    assert_eq!(controller.host.0, [Did::Throttle(0, true), Did::Error(1)]);
    assert_eq!((controller.in_hand.len(), controller.running), (1, 1));
    controller.answer_due(9 * S);
    assert_eq!(controller.host.0.len(), 2, "exactly one answer");
}

#[test]
fn client_timeout_counts_from_arrival_at_the_machine() {
    let mut controller = controller(site());
    controller.on_arrival(
        10 * S,
        Arrival {
            age: 3 * S,
            time_left: None,
            ..arrival(1)
        },
    );
    assert!(controller.host.0.contains(&Did::Wake(2, 5 * S - MOMENT)));
}

#[test]
fn memory_bounds_what_is_taken() {
    let mut controller = controller(site());
    controller.ledger_kb = 4245.0; // doubled until the gauge has spoken
    controller.on_arrival(MS, arrival(1));
    assert_eq!(controller.host.0, [Did::Throttle(1, false)]);
}

#[test]
fn memory_count_learns_from_the_gauge() {
    let mut controller = controller(site());
    controller.ledger_kb = 1000.0;
    controller.watch_memory(
        0,
        &Gauges {
            memory_used: Some(0.3),
            ..Gauges::default()
        },
    );
    assert!((controller.memory_stretch - 3.0).abs() < 1e-9);
    controller.watch_memory(
        0,
        &Gauges {
            memory_used: Some(0.1),
            ..Gauges::default()
        },
    );
    assert!((controller.memory_stretch - 2.8).abs() < 1e-9);
}

#[test]
fn calls_below_stay_within_the_share() {
    let mut controller = controller(site());
    put(&mut controller, 0..2, Stage::Calling);
    put(&mut controller, 2..3, Stage::Running);
    controller.on_backend_call_needed(MS, RequestId(2));
    assert_eq!(controller.host.0, [], "waits");
    controller.on_backend_call_ended(S, RequestId(0), BackendCallOutcome::Abandoned, S);
    assert_eq!(
        controller.host.0,
        [Did::Call(2, 1820 * MS)],
        "the abandoned one lingers and is booked"
    );
    controller.rows[0].agreed.weight_fraction_without_call = 0.5;
    controller.make_calls(S, true);
    assert_eq!(controller.host.0[1..], [Did::Skip(0)]);
}

#[test]
fn a_share_under_one_is_kept_in_the_mean() {
    // Half of 0.5 over 5 s flows back, half can be used at once, lingering included.
    let mut controller = controller(Deployment {
        downstream_call_limit: 0.5,
        ..site()
    });
    put(&mut controller, 0..2, Stage::WantsCall);
    controller.rows[0].call = 0.2;
    controller.rows[0].agreed.effect = Idempotency::Keyed;
    controller.make_calls(MS, false);
    assert_eq!(controller.host.0, [Did::Call(0, 1050 * MS)]);
    controller.on_backend_call_ended(S, RequestId(0), BackendCallOutcome::Succeeded, S);
    controller.make_calls(1500 * MS, false);
    assert_eq!(
        controller.host.0.len(),
        1,
        "1 s used, 0.125 s of it made good"
    );
    controller.make_calls(3 * S, false);
    assert_eq!(controller.host.0[1], Did::Call(1, 550 * MS));
}

#[test]
fn a_call_waits_for_room_before_it_is_skipped() {
    // Guards against small shares: a third of the calls were skipped while what lies below stood
    // idle.
    let mut controller = controller(Deployment {
        downstream_call_limit: 1.0,
        ..site()
    });
    controller.rows[0].agreed.weight_fraction_without_call = 0.5;
    put(&mut controller, 0..1, Stage::Calling);
    put(&mut controller, 1..6, Stage::Running);
    (1..6).for_each(|id| controller.on_backend_call_needed(MS, RequestId(id)));
    assert_eq!(
        controller.host.0,
        [Did::Skip(5)],
        "as many as there are cores wait"
    );
    controller.on_backend_call_ended(S, RequestId(0), BackendCallOutcome::Succeeded, 100 * MS);
    assert!(matches!(controller.host.0[1], Did::Call(1, _)));
}

#[test]
fn a_call_that_may_have_run_is_not_repeated() {
    let mut controller = controller(Deployment {
        below: Downstream::Tier,
        ..site()
    });
    put(&mut controller, 0..2, Stage::Calling);
    controller.rows[0].agreed.effect = Idempotency::NonIdempotent;
    controller.on_backend_call_ended(MS, RequestId(0), BackendCallOutcome::PossiblyExecuted, MS);
    controller.on_backend_call_ended(MS, RequestId(1), BackendCallOutcome::NotExecuted, MS);
    assert_eq!(controller.host.0, [Did::Error(0), Did::Call(1, 8 * S - MS)]);
}

#[test]
fn a_token_is_remembered_before_the_run() {
    let mut controller = controller(site());
    controller.rows[0].agreed.effect = Idempotency::Keyed;
    controller.on_arrival(MS, arrival(1));
    assert_eq!(
        controller.host.0[1..],
        [Did::Remember(1, 5 * S), Did::Run(1)]
    );
}

#[test]
fn what_its_caller_left_before_it_ran_gives_its_key_back_and_a_tokened_run_goes_on() {
    let mut controller = controller(site());
    controller.rows[0].agreed.effect = Idempotency::Keyed;
    put(&mut controller, 1..2, Stage::Held);
    put(&mut controller, 2..3, Stage::Running);
    controller.limit = 0.0;
    controller.on_client_cancelled(MS, RequestId(1));
    assert_eq!(controller.host.1, [1]);
    controller.on_client_cancelled(MS, RequestId(2));
    assert_eq!(
        (&controller.host.0[..], &controller.host.1[..]),
        (&[][..], &[1][..]),
        "stopped, its repeat could only err"
    );
    controller.on_execution_ended(2 * MS, RequestId(2), ExecutionOutcome::Succeeded, MS);
    assert_eq!(controller.running, 0);
}

#[test]
fn a_repeat_joins_and_is_never_throttled() {
    let mut controller = controller(site());
    controller.on_arrival(
        MS,
        Arrival {
            repeats: Some(RequestId(1)),
            ..arrival(2)
        },
    );
    assert_eq!(controller.host.0[1..], [Did::Join(2)]);
    controller.answer_due(9 * S);
    assert_eq!(controller.host.0[2..], [Did::Error(2)]);
    assert!(controller.in_hand.is_empty());
}

#[test]
fn a_stopped_run_is_not_taken_up_again() {
    let mut controller = controller(site());
    put(&mut controller, 0..1, Stage::Running);
    controller.on_execution_ended(MS, RequestId(0), ExecutionOutcome::Cancelled, MS);
    assert_eq!(controller.host.0, [Did::Error(0)]);
    assert_eq!((controller.running, controller.ledger_kb), (0, 0.0));
}

#[test]
fn figures_are_learnt_from_successes_alone() {
    let mut controller = controller(site());
    put(&mut controller, 0..2, Stage::Running);
    controller.on_execution_ended(MS, RequestId(0), ExecutionOutcome::Failed, MS);
    assert_eq!(controller.rows[0].pace, 0.0);
    controller.on_execution_ended(MS, RequestId(1), ExecutionOutcome::Succeeded, 300 * MS);
    assert!((controller.rows[0].pace - 0.3).abs() < 1e-9);
}

#[test]
fn work_that_nobody_waits_for_is_stopped() {
    let mut controller = controller(site());
    put(&mut controller, 0..1, Stage::Running);
    controller.on_client_cancelled(MS, RequestId(0));
    assert_eq!(controller.host.0, [Did::Preemption(0)]);
    assert_eq!(controller.running, 1, "until the host says so");
}

/// An arrival that says it is old once counted as a queue of that length: a stranger's word for
/// hours shut the node to everybody for a dozen arrivals.
#[test]
fn one_arrival_cannot_pass_for_a_queue_without_end() {
    let mut controller = controller(site());
    controller.red.feed = 100.0;
    controller.on_arrival(
        100 * S,
        Arrival {
            age: 50 * S,
            ..arrival(1)
        },
    );
    assert_eq!(controller.red.q_avg, W * controller.red.buffer);
}

#[test]
fn a_drain_answers_all_before_the_stop() {
    let mut controller = controller(site());
    put(&mut controller, 0..1, Stage::Running);
    controller.start_drain(S, 4 * S);
    assert_eq!(controller.in_hand[0].due, 5 * S - MOMENT);
    assert_eq!(
        controller.host.0,
        [
            Did::Wake(2, 4 * S - MOMENT),
            Did::Health(false),
            Did::LoadReport(0.0)
        ]
    );
    // One of few nodes serves on while it may: sent away at once, its callers would leave the
    // others no room.
    controller.host.0.clear();
    for (nodes, now) in [
        (2, 2 * S),
        (2, 3 * S - T_UPDATE),
        (4, S),
        (4, 2 * S),
        (5, S),
    ] {
        controller.site.nodes = nodes;
        controller.advertise(now);
    }
    assert_eq!(
        controller.host.0,
        [1.0, 0.0, 1.0, 0.0, 0.0].map(Did::LoadReport)
    );
}

#[test]
fn nothing_that_comes_after_the_grace_runs() {
    let mut controller = controller(site());
    controller.stop = Some((S, 6 * S));
    controller.on_arrival(
        4 * S,
        Arrival {
            age: 500 * MS,
            ..arrival(1)
        },
    );
    controller.on_arrival(
        4 * S,
        Arrival {
            age: 1500 * MS,
            ..arrival(2)
        },
    );
    assert!(matches!(
        controller.host.0[..],
        [Did::Throttle(1, _), Did::Wake(2, _), Did::Run(2)]
    ));
}

#[test]
fn advert_follows_what_is_turned_away_and_falls_with_room() {
    let mut controller = controller(site());
    (
        controller.busy,
        controller.tally.read,
        controller.tally.turned,
    ) = (1.0, 10.0, 5.0);
    controller.steer_traffic(S);
    assert!((controller.shed - SHED_GAIN * 0.47).abs() < 1e-9);
    (controller.busy, controller.shed) = (0.5, 0.5);
    controller.steer_traffic(S);
    assert!((controller.shed - 0.45).abs() < 1e-9);
}

#[test]
fn each_advert_speaks_its_own_scale() {
    for (advert, value) in [
        (LoadReport::SheddingLevel, 0.5),
        (LoadReport::Weight, 0.5),
        (LoadReport::Credit, 4.0),
    ] {
        let mut controller = controller(Deployment { advert, ..site() });
        (controller.shed, controller.limit, controller.red.q_target) = (0.5, 10.0, 6.0);
        controller.advertise(S);
        assert_eq!(controller.host.0, [Did::LoadReport(value)]);
    }
}

#[test]
fn the_tenant_rate_is_counted_on_arrival() {
    let mut controller = controller(site());
    controller.on_arrival(
        MS,
        Arrival {
            tenant: Some(TenantId(0)),
            ..arrival(1)
        },
    );
    assert_eq!(controller.tenants[0].0, 1.0);
}

#[test]
fn connections_of_dispatchers_that_seldom_return_are_closed_at_once() {
    let mut controller = controller(Deployment {
        dispatchers: 300,
        ..site()
    });
    controller.red.feed = 5.0; // back after a minute, against 30 s
    controller.steer_traffic(S);
    assert!(controller.host.0.contains(&Did::CloseIdle(MOMENT)));
    (controller.red.feed, controller.host.0) = (20.0, Vec::new());
    controller.steer_traffic(S);
    assert!(controller.host.0.contains(&Did::CloseIdle(30 * S)));
}

#[test]
fn callers_may_ask_elsewhere_while_the_fleet_is_within_its_shares() {
    // Guards against slow nodes that keep invocations from others with room.
    let mut controller = controller(site());
    put(&mut controller, 0..2, Stage::Held);
    controller.shed = 0.5;
    controller.turn_away(MS, 0);
    controller.tenants[0].1 = 2.0; // over 10 nodes: 20 a second against 10
    controller.turn_away(MS, 1);
    assert_eq!(
        controller.host.0,
        [Did::Throttle(0, false), Did::Throttle(1, true)]
    );
}

#[test]
fn what_would_be_late_waits_for_what_is_in_time() {
    // Guards against full cores that serve late answers for a fifth of their value first.
    let mut controller = controller(site());
    put(&mut controller, 0..2, Stage::Held);
    (
        controller.busy,
        controller.limit,
        controller.rows[0].pace,
        controller.rows[0].agreed.late_weight_fraction,
    ) = (1.0, 1.0, 1.5, 0.2);
    controller.in_hand[0].objective = S;
    controller.fill(MS);
    assert_eq!(controller.host.0, [Did::Run(1)]);
}

#[test]
fn without_a_share_below_no_call_is_made() {
    let mut controller = controller(Deployment {
        downstream_call_limit: 0.0,
        ..site()
    });
    put(&mut controller, 0..2, Stage::WantsCall);
    controller.in_hand[1].op = 1;
    controller.rows[1].agreed.weight_fraction_without_call = 0.5;
    controller.make_calls(MS, true);
    assert_eq!(controller.host.0, [Did::Skip(1)]);
    controller.answer_due(8 * S);
    assert!(controller.host.0.contains(&Did::Error(0)));
}

#[test]
fn one_core_and_nothing_told_of_the_fleet_still_serves() {
    let tenants = Vec::new();
    let mut controller = controller(Deployment {
        cores: 1,
        nodes: 0,
        dispatchers: 0,
        tenants,
        ..site()
    });
    controller.on_arrival(S, arrival(1));
    controller.on_timer(2 * S, TICK, busy(0.5));
    assert!(controller.host.0.contains(&Did::Run(1)));
}
