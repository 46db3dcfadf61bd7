//! Each test sets up the state it needs and calls one function.

use super::*;
use crate::{DispatcherId, OpId, Tenant, TenantId};
use std::fmt;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000_000_000;

#[derive(Debug, PartialEq)]
enum Did {
    Run(u64),
    Halt(u64),
    Throttle(u64, bool),
    Error(u64),
    Call(u64, Nanos),
    Skip(u64),
    Remember(u64, Nanos),
    Join(u64),
    Health(bool),
    Advert(f64),
    CloseIdle(Nanos),
    Wake(u64, Nanos),
}

/// What was done, and apart from it whose keys were forgotten.
#[derive(Default)]
struct Diary(Vec<Did>, Vec<u64>);

impl Host for Diary {
    fn run(&mut self, id: InvId) {
        self.0.push(Did::Run(id.0));
    }
    fn halt(&mut self, id: InvId) {
        self.0.push(Did::Halt(id.0));
    }
    fn throttle(&mut self, id: InvId, _pause: Nanos, last: bool) {
        self.0.push(Did::Throttle(id.0, last));
    }
    fn error(&mut self, id: InvId) {
        self.0.push(Did::Error(id.0));
    }
    fn call(&mut self, id: InvId, timeout: Nanos) {
        self.0.push(Did::Call(id.0, timeout));
    }
    fn skip_call(&mut self, id: InvId) {
        self.0.push(Did::Skip(id.0));
    }
    fn remember(&mut self, id: InvId, lifetime: Nanos) {
        self.0.push(Did::Remember(id.0, lifetime));
    }
    fn forget(&mut self, id: InvId) {
        self.1.push(id.0);
    }
    fn join(&mut self, id: InvId) {
        self.0.push(Did::Join(id.0));
    }
    fn health(&mut self, good: bool, _from_store: bool) {
        self.0.push(Did::Health(good));
    }
    fn advertise(&mut self, value: f64) {
        self.0.push(Did::Advert(value));
    }
    fn close_idle(&mut self, after: Nanos) {
        self.0.push(Did::CloseIdle(after));
    }
    fn wake(&mut self, alarm: AlarmId, after: Nanos) {
        self.0.push(Did::Wake(alarm.0, after));
    }
    fn log(&mut self, _line: fmt::Arguments<'_>) {}
}

fn site() -> Premises {
    let operation = Operation {
        effect: Effect::Idempotent,
        latency_objective: 2 * S,
        objective_stretch: 0.0,
        client_timeout: 8 * S,
        repeat_window: 5 * S,
        billed_value: 1.0,
        late_share: 0.0,
        calls_below: true,
        share_without_call: 0.0,
    };
    Premises {
        cores: 4,
        memory_kb: 10_000.0,
        run_memory_factor: 4.0,
        key_kb: 100.0,
        cold: false,
        cold_speed: 0.25,
        warm_after: 10 * S,
        crowd_per_core: 5.0,
        drain_grace: 2 * S,
        step: 5 * MS,
        nodes: 10,
        dispatchers: 3,
        longest_idle: 30 * S,
        below: Below::Shared,
        call_share: 2.5,
        call_span: 5 * S,
        call_linger: 200 * MS,
        halt: Halt::Discard,
        advert: Advert::Weight,
        answer_fresh: 0,
        longest_pause: S,
        billed_by_work: false,
        over_share_value: 0.05,
        operations: vec![
            operation.clone(),
            Operation {
                billed_value: 4.0,
                ..operation
            },
        ],
        tenants: vec![Tenant { quota_per_s: 10.0 }],
    }
}

fn choice(site: Premises) -> Choice<Diary> {
    let mut choice = Choice::new(0, Diary::default(), site, 7);
    choice.host.0.clear();
    choice
}

fn arrival(id: u64) -> Arrival {
    Arrival {
        id: InvId(id),
        op: OpId(0),
        tenant: None,
        dispatcher: DispatcherId(0),
        has_subject: false,
        time_left: None,
        work_hint: None,
        held_kb: 10.0,
        age: 0,
        repeats: None,
    }
}

/// Puts invocations of operation 0 in hand at this stage, as if they had arrived at 0.
fn put(choice: &mut Choice<Diary>, ids: std::ops::Range<u64>, stage: Stage) {
    for id in ids {
        let place = choice.in_hand.insert(Invocation {
            id: InvId(id),
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
        choice.places.insert(InvId(id), place);
        choice.ledger_kb += 10.0;
        match stage {
            Stage::Held => choice.hold.push(place),
            Stage::Joining => {}
            _ => {
                choice.running += 1;
                choice.ledger_kb += 30.0;
                choice.calls += usize::from(stage == Stage::Calling);
                choice.away += usize::from(stage != Stage::Running);
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
    let mut choice = choice(site());
    (choice.red.buffer, choice.red.q_virtual) = (40.0, 20.0);
    let mut last = -1.0;
    for (q, low, high) in [
        (0.0, 0.0, 0.0),
        (16.0, 0.01, 0.1),
        (20.0, 0.45, 0.55),
        (24.0, 0.9, 0.99),
        (40.0, 1.0, 1.0),
    ] {
        choice.red.q_avg = q;
        let chance = choice.chance();
        assert!(
            (low..=high).contains(&chance) && chance > last,
            "at {q}: {chance}"
        );
        last = chance;
    }
}

#[test]
fn each_arrival_moves_the_average_by_its_weight() {
    let mut choice = choice(site());
    put(&mut choice, 0..10, Stage::Held);
    choice.red.q_avg = 20.0;
    choice.average(0);
    assert!((choice.red.q_avg - 17.0).abs() < 1e-9);
}

#[test]
fn what_is_unread_counts_as_held() {
    // Guards against slow reading that hides the queue: held 0 while invocations waited 0.6 s
    // unread.
    let mut choice = choice(site());
    choice.red.feed = 20.0;
    choice.average(500 * MS);
    assert!((choice.red.q_cur - 10.0).abs() < 1e-9 && (choice.red.q_avg - 3.0).abs() < 1e-9);
}

#[test]
fn a_call_that_hangs_is_abandoned_after_its_usual_time() {
    let mut choice = choice(Premises {
        below: Below::Tier,
        ..site()
    });
    put(&mut choice, 0..1, Stage::WantsCall);
    choice.rows[0].call = 0.1;
    choice.make_call(MS, 0, false);
    choice.call_ended(S, InvId(0), CallEnding::Abandoned, 100 * MS);
    assert_eq!(
        choice.host.0,
        [Did::Call(0, 1800 * MS), Did::Call(0, 1800 * MS)]
    );
}

#[test]
fn what_fails_below_is_not_hammered() {
    // Guards against tries that all nodes repeat at a tier that refuses: four attempts for each
    // invocation.
    let mut choice = choice(Premises {
        below: Below::Tier,
        ..site()
    });
    put(&mut choice, 0..1, Stage::Calling);
    put(&mut choice, 1..2, Stage::WantsCall);
    choice.rows[0].agreed.share_without_call = 0.5;
    choice.below_failed = 1.0;
    choice.call_ended(MS, InvId(0), CallEnding::NeverRan, MS);
    assert!(choice.host.0.contains(&Did::Skip(0)));
}

#[test]
fn walk_moves_by_the_error_and_keeps_its_bounds() {
    let mut choice = choice(site());
    put(&mut choice, 0..10, Stage::Held);
    choice.red.q_cur = 10.0;
    (
        choice.busy,
        choice.red.buffer,
        choice.red.q_target,
        choice.red.q_virtual,
        choice.red.q_avg,
    ) = (1.0, 40.0, 10.0, 20.0, 14.0);
    choice.walk();
    assert!(
        (choice.red.q_virtual - 19.0).abs() < 1e-9,
        "0.25 x (10 - 14)"
    );
    choice.red.q_avg = 1e4;
    choice.walk();
    assert_eq!(choice.red.q_virtual, 4.0, "never under the cores");
    (choice.red.q_target, choice.red.q_avg, choice.red.q_virtual) = (1e4, 0.0, 20.0);
    choice.walk();
    assert_eq!(choice.red.q_virtual, 39.0, "never over B - 1");
}

#[test]
fn calm_does_not_wind_the_target_up() {
    let mut choice = choice(site());
    (
        choice.busy,
        choice.red.buffer,
        choice.red.q_target,
        choice.red.q_virtual,
    ) = (0.3, 40.0, 10.0, 30.0);
    choice.walk();
    assert!((choice.red.q_virtual - 28.0).abs() < 1e-9);
}

#[test]
fn capacity_is_the_best_of_the_minute() {
    let mut choice = choice(site());
    choice.red.done[3] = 100.0; // 40 a second
    choice.measure_capacity();
    assert!((choice.red.q_target - 20.0).abs() < 1e-9, "40 x 0.5 s");
    assert!((choice.red.buffer - 80.0).abs() < 1e-9);
}

#[test]
fn buffer_is_capped_by_memory() {
    let mut choice = choice(site());
    choice.red.done[3] = 1000.0;
    choice.typical_kb = 100.0;
    choice.measure_capacity();
    // (10,000 x 0.85 / 2 - 4 x 4 x 100) / 100
    assert!(
        (choice.red.buffer - 26.5).abs() < 1e-9,
        "{}",
        choice.red.buffer
    );
}

#[test]
fn running_limit_grows_by_half_the_idle_cores_and_falls_by_one() {
    let mut choice = choice(site());
    put(&mut choice, 0..1, Stage::Held);
    choice.steer_running(&busy(0.5));
    assert_eq!(choice.limit, 5.0);
    choice.stretch = (8.0, 28.0);
    choice.steer_running(&busy(1.0));
    assert_eq!(choice.limit, 4.0);
    choice.steer_running(&busy(1.0));
    assert_eq!(choice.limit, 4.0, "the floor");
}

#[test]
fn everything_is_refused_at_b() {
    let mut choice = choice(site());
    (choice.running, choice.red.buffer) = (16, 6.0);
    put(&mut choice, 0..6, Stage::Held);
    choice.arrive(S, arrival(9));
    assert_eq!(choice.hold.len(), 6);
    assert!(choice.host.0.contains(&Did::Throttle(9, false)));
}

#[test]
fn refusal_rests_while_cores_show_room() {
    let mut choice = choice(site());
    (
        choice.running,
        choice.red.buffer,
        choice.red.q_avg,
        choice.busy,
    ) = (17, 26.0, 26.0, 0.5);
    put(&mut choice, 0..20, Stage::Held);
    choice.arrive(MS, arrival(99));
    assert_eq!(choice.hold.len(), 21);
}

#[test]
fn refusal_falls_on_the_least_merit_among_the_young() {
    let mut choice = choice(site());
    put(&mut choice, 0..2, Stage::Held);
    (
        choice.in_hand[1].op,
        choice.rows[0].pace,
        choice.rows[1].pace,
    ) = (1, 1.0, 1.0);
    assert_eq!(choice.victim(MS, 1), 0);
    assert_eq!(
        choice.victim(3 * S, 1),
        1,
        "held too long to be sent elsewhere"
    );
}

#[test]
fn a_tenant_beyond_its_share_loses_merit() {
    let mut choice = choice(site());
    put(&mut choice, 0..2, Stage::Held);
    choice.in_hand[0].tenant = Some(0);
    choice.tenants[0].1 = 4.0; // over 10 nodes: 40 a second against 10
    assert!((choice.merit(0) / choice.merit(1) - (0.25 + 0.75 * 0.05)).abs() < 1e-9);
}

#[test]
fn what_cannot_meet_its_objective_is_not_started() {
    let mut choice = choice(site());
    put(&mut choice, 0..2, Stage::Held);
    (choice.busy, choice.rows[0].pace) = (1.0, 1.5);
    choice.in_hand[1].objective = S;
    choice.fill(MS);
    assert_eq!(choice.host.0, [Did::Throttle(1, false), Did::Run(0)]);
}

#[test]
fn large_work_runs_while_cores_show_room() {
    // Guards against nodes that refuse the large ones for good though nothing else wants the core.
    let mut choice = choice(site());
    put(&mut choice, 0..1, Stage::Held);
    (choice.busy, choice.rows[0].pace) = (0.2, 30.0);
    choice.fill(MS);
    assert_eq!(choice.host.0, [Did::Run(0)]);
}

#[test]
fn runs_at_a_call_leave_their_place() {
    let mut choice = choice(site());
    put(&mut choice, 0..4, Stage::Calling);
    put(&mut choice, 4..6, Stage::Held);
    choice.fill(MS);
    assert_eq!(choice.host.0, [Did::Run(4), Did::Run(5)]);
}

#[test]
fn crowd_is_bounded_and_less_while_cold() {
    let mut choice = choice(Premises {
        cold: true,
        ..site()
    });
    assert_eq!(choice.crowd_limit(0), 6); // 4 x (1 + 4 x 0.25) x 0.85
    assert_eq!(choice.crowd_limit(20 * S), 17);
    choice.site.cold = false;
    assert_eq!(choice.crowd_limit(0), 17);
}

#[test]
fn what_is_due_is_answered_and_running_work_keeps_its_place() {
    let mut choice = choice(Premises {
        halt: Halt::No,
        ..site()
    });
    put(&mut choice, 0..1, Stage::Held);
    put(&mut choice, 1..2, Stage::Running);
    choice.answer_due(8 * S);
    assert_eq!(choice.host.0, [Did::Throttle(0, true), Did::Error(1)]);
    assert_eq!((choice.in_hand.len(), choice.running), (1, 1));
    choice.answer_due(9 * S);
    assert_eq!(choice.host.0.len(), 2, "exactly one answer");
}

#[test]
fn client_timeout_counts_from_arrival_at_the_machine() {
    let mut choice = choice(site());
    choice.arrive(
        10 * S,
        Arrival {
            age: 3 * S,
            time_left: None,
            ..arrival(1)
        },
    );
    assert!(choice.host.0.contains(&Did::Wake(2, 5 * S - MOMENT)));
}

#[test]
fn memory_bounds_what_is_taken() {
    let mut choice = choice(site());
    choice.ledger_kb = 4245.0; // doubled until the gauge has spoken
    choice.arrive(MS, arrival(1));
    assert_eq!(choice.host.0, [Did::Throttle(1, false)]);
}

#[test]
fn memory_count_learns_from_the_gauge() {
    let mut choice = choice(site());
    choice.ledger_kb = 1000.0;
    choice.watch_memory(
        0,
        &Gauges {
            memory_used: Some(0.3),
            ..Gauges::default()
        },
    );
    assert!((choice.memory_stretch - 3.0).abs() < 1e-9);
    choice.watch_memory(
        0,
        &Gauges {
            memory_used: Some(0.1),
            ..Gauges::default()
        },
    );
    assert!((choice.memory_stretch - 2.8).abs() < 1e-9);
}

#[test]
fn calls_below_stay_within_the_share() {
    let mut choice = choice(site());
    put(&mut choice, 0..2, Stage::Calling);
    put(&mut choice, 2..3, Stage::Running);
    choice.needs_call(MS, InvId(2));
    assert_eq!(choice.host.0, [], "waits");
    choice.call_ended(S, InvId(0), CallEnding::Abandoned, S);
    assert_eq!(
        choice.host.0,
        [Did::Call(2, 1820 * MS)],
        "the abandoned one lingers and is booked"
    );
    choice.rows[0].agreed.share_without_call = 0.5;
    choice.make_calls(S, true);
    assert_eq!(choice.host.0[1..], [Did::Skip(0)]);
}

#[test]
fn a_share_under_one_is_kept_in_the_mean() {
    // Half of 0.5 over 5 s flows back, half can be used at once, lingering included.
    let mut choice = choice(Premises {
        call_share: 0.5,
        ..site()
    });
    put(&mut choice, 0..2, Stage::WantsCall);
    choice.rows[0].call = 0.2;
    choice.rows[0].agreed.effect = Effect::Tokened;
    choice.make_calls(MS, false);
    assert_eq!(choice.host.0, [Did::Call(0, 1050 * MS)]);
    choice.call_ended(S, InvId(0), CallEnding::Succeeded, S);
    choice.make_calls(1500 * MS, false);
    assert_eq!(choice.host.0.len(), 1, "1 s used, 0.125 s of it made good");
    choice.make_calls(3 * S, false);
    assert_eq!(choice.host.0[1], Did::Call(1, 550 * MS));
}

#[test]
fn a_call_waits_for_room_before_it_is_skipped() {
    // Guards against small shares: a third of the calls were skipped while what lies below stood
    // idle.
    let mut choice = choice(Premises {
        call_share: 1.0,
        ..site()
    });
    choice.rows[0].agreed.share_without_call = 0.5;
    put(&mut choice, 0..1, Stage::Calling);
    put(&mut choice, 1..6, Stage::Running);
    (1..6).for_each(|id| choice.needs_call(MS, InvId(id)));
    assert_eq!(
        choice.host.0,
        [Did::Skip(5)],
        "as many as there are cores wait"
    );
    choice.call_ended(S, InvId(0), CallEnding::Succeeded, 100 * MS);
    assert!(matches!(choice.host.0[1], Did::Call(1, _)));
}

#[test]
fn a_call_that_may_have_run_is_not_repeated() {
    let mut choice = choice(Premises {
        below: Below::Tier,
        ..site()
    });
    put(&mut choice, 0..2, Stage::Calling);
    choice.rows[0].agreed.effect = Effect::NonIdempotent;
    choice.call_ended(MS, InvId(0), CallEnding::MayHaveRun, MS);
    choice.call_ended(MS, InvId(1), CallEnding::NeverRan, MS);
    assert_eq!(choice.host.0, [Did::Error(0), Did::Call(1, 8 * S - MS)]);
}

#[test]
fn a_token_is_remembered_before_the_run() {
    let mut choice = choice(site());
    choice.rows[0].agreed.effect = Effect::Tokened;
    choice.arrive(MS, arrival(1));
    assert_eq!(choice.host.0[1..], [Did::Remember(1, 5 * S), Did::Run(1)]);
}

#[test]
fn what_its_caller_left_before_it_ran_gives_its_key_back_and_a_tokened_run_goes_on() {
    let mut choice = choice(site());
    choice.rows[0].agreed.effect = Effect::Tokened;
    put(&mut choice, 1..2, Stage::Held);
    put(&mut choice, 2..3, Stage::Running);
    choice.limit = 0.0;
    choice.caller_left(MS, InvId(1));
    assert_eq!(choice.host.1, [1]);
    choice.caller_left(MS, InvId(2));
    assert_eq!(
        (&choice.host.0[..], &choice.host.1[..]),
        (&[][..], &[1][..]),
        "stopped, its repeat could only err"
    );
    choice.ended(2 * MS, InvId(2), Ending::Succeeded, MS);
    assert_eq!(choice.running, 0);
}

#[test]
fn a_repeat_joins_and_is_never_throttled() {
    let mut choice = choice(site());
    choice.arrive(
        MS,
        Arrival {
            repeats: Some(InvId(1)),
            ..arrival(2)
        },
    );
    assert_eq!(choice.host.0[1..], [Did::Join(2)]);
    choice.answer_due(9 * S);
    assert_eq!(choice.host.0[2..], [Did::Error(2)]);
    assert!(choice.in_hand.is_empty());
}

#[test]
fn a_stopped_run_is_not_taken_up_again() {
    let mut choice = choice(site());
    put(&mut choice, 0..1, Stage::Running);
    choice.ended(MS, InvId(0), Ending::Cancelled, MS);
    assert_eq!(choice.host.0, [Did::Error(0)]);
    assert_eq!((choice.running, choice.ledger_kb), (0, 0.0));
}

#[test]
fn figures_are_learnt_from_successes_alone() {
    let mut choice = choice(site());
    put(&mut choice, 0..2, Stage::Running);
    choice.ended(MS, InvId(0), Ending::Errored, MS);
    assert_eq!(choice.rows[0].pace, 0.0);
    choice.ended(MS, InvId(1), Ending::Succeeded, 300 * MS);
    assert!((choice.rows[0].pace - 0.3).abs() < 1e-9);
}

#[test]
fn work_that_nobody_waits_for_is_stopped() {
    let mut choice = choice(site());
    put(&mut choice, 0..1, Stage::Running);
    choice.caller_left(MS, InvId(0));
    assert_eq!(choice.host.0, [Did::Halt(0)]);
    assert_eq!(choice.running, 1, "until the host says so");
}

/// An arrival that says it is old once counted as a queue of that length: a stranger's word for
/// hours shut the node to everybody for a dozen arrivals.
#[test]
fn one_arrival_cannot_pass_for_a_queue_without_end() {
    let mut choice = choice(site());
    choice.red.feed = 100.0;
    choice.arrive(
        100 * S,
        Arrival {
            age: 50 * S,
            ..arrival(1)
        },
    );
    assert_eq!(choice.red.q_avg, W * choice.red.buffer);
}

#[test]
fn a_drain_answers_all_before_the_stop() {
    let mut choice = choice(site());
    put(&mut choice, 0..1, Stage::Running);
    choice.drain(S, 4 * S);
    assert_eq!(choice.in_hand[0].due, 5 * S - MOMENT);
    assert_eq!(
        choice.host.0,
        [
            Did::Wake(2, 4 * S - MOMENT),
            Did::Health(false),
            Did::Advert(0.0)
        ]
    );
    // One of few nodes serves on while it may: sent away at once, its callers would leave the
    // others no room.
    choice.host.0.clear();
    for (nodes, now) in [
        (2, 2 * S),
        (2, 3 * S - T_UPDATE),
        (4, S),
        (4, 2 * S),
        (5, S),
    ] {
        choice.site.nodes = nodes;
        choice.advertise(now);
    }
    assert_eq!(choice.host.0, [1.0, 0.0, 1.0, 0.0, 0.0].map(Did::Advert));
}

#[test]
fn nothing_that_comes_after_the_grace_runs() {
    let mut choice = choice(site());
    choice.stop = Some((S, 6 * S));
    choice.arrive(
        4 * S,
        Arrival {
            age: 500 * MS,
            ..arrival(1)
        },
    );
    choice.arrive(
        4 * S,
        Arrival {
            age: 1500 * MS,
            ..arrival(2)
        },
    );
    assert!(matches!(
        choice.host.0[..],
        [Did::Throttle(1, _), Did::Wake(2, _), Did::Run(2)]
    ));
}

#[test]
fn advert_follows_what_is_turned_away_and_falls_with_room() {
    let mut choice = choice(site());
    (choice.busy, choice.tally.read, choice.tally.turned) = (1.0, 10.0, 5.0);
    choice.steer_traffic(S);
    assert!((choice.shed - SHED_GAIN * 0.47).abs() < 1e-9);
    (choice.busy, choice.shed) = (0.5, 0.5);
    choice.steer_traffic(S);
    assert!((choice.shed - 0.45).abs() < 1e-9);
}

#[test]
fn each_advert_speaks_its_own_scale() {
    for (advert, value) in [
        (Advert::Level, 0.5),
        (Advert::Weight, 0.5),
        (Advert::Credit, 4.0),
    ] {
        let mut choice = choice(Premises { advert, ..site() });
        (choice.shed, choice.limit, choice.red.q_target) = (0.5, 10.0, 6.0);
        choice.advertise(S);
        assert_eq!(choice.host.0, [Did::Advert(value)]);
    }
}

#[test]
fn the_tenant_rate_is_counted_on_arrival() {
    let mut choice = choice(site());
    choice.arrive(
        MS,
        Arrival {
            tenant: Some(TenantId(0)),
            ..arrival(1)
        },
    );
    assert_eq!(choice.tenants[0].0, 1.0);
}

#[test]
fn connections_of_dispatchers_that_seldom_return_are_closed_at_once() {
    let mut choice = choice(Premises {
        dispatchers: 300,
        ..site()
    });
    choice.red.feed = 5.0; // back after a minute, against 30 s
    choice.steer_traffic(S);
    assert!(choice.host.0.contains(&Did::CloseIdle(MOMENT)));
    (choice.red.feed, choice.host.0) = (20.0, Vec::new());
    choice.steer_traffic(S);
    assert!(choice.host.0.contains(&Did::CloseIdle(30 * S)));
}

#[test]
fn callers_may_ask_elsewhere_while_the_fleet_is_within_its_shares() {
    // Guards against slow nodes that keep invocations from others with room.
    let mut choice = choice(site());
    put(&mut choice, 0..2, Stage::Held);
    choice.shed = 0.5;
    choice.turn_away(MS, 0);
    choice.tenants[0].1 = 2.0; // over 10 nodes: 20 a second against 10
    choice.turn_away(MS, 1);
    assert_eq!(
        choice.host.0,
        [Did::Throttle(0, false), Did::Throttle(1, true)]
    );
}

#[test]
fn what_would_be_late_waits_for_what_is_in_time() {
    // Guards against full cores that serve late answers for a fifth of their value first.
    let mut choice = choice(site());
    put(&mut choice, 0..2, Stage::Held);
    (
        choice.busy,
        choice.limit,
        choice.rows[0].pace,
        choice.rows[0].agreed.late_share,
    ) = (1.0, 1.0, 1.5, 0.2);
    choice.in_hand[0].objective = S;
    choice.fill(MS);
    assert_eq!(choice.host.0, [Did::Run(1)]);
}

#[test]
fn without_a_share_below_no_call_is_made() {
    let mut choice = choice(Premises {
        call_share: 0.0,
        ..site()
    });
    put(&mut choice, 0..2, Stage::WantsCall);
    choice.in_hand[1].op = 1;
    choice.rows[1].agreed.share_without_call = 0.5;
    choice.make_calls(MS, true);
    assert_eq!(choice.host.0, [Did::Skip(1)]);
    choice.answer_due(8 * S);
    assert!(choice.host.0.contains(&Did::Error(0)));
}

#[test]
fn one_core_and_nothing_told_of_the_fleet_still_serves() {
    let tenants = Vec::new();
    let mut choice = choice(Premises {
        cores: 1,
        nodes: 0,
        dispatchers: 0,
        tenants,
        ..site()
    });
    choice.arrive(S, arrival(1));
    choice.alarm(2 * S, TICK, busy(0.5));
    assert!(choice.host.0.contains(&Did::Run(1)));
}
