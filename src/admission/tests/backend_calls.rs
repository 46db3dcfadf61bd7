//! Backend calls: attempts, the downstream limit and skipped calls.

use super::*;

#[test]
fn a_hanging_call_is_abandoned_after_a_multiple_of_its_usual_time() {
    let mut controller = controller(Deployment {
        downstream: Downstream::Tier,
        ..deployment()
    });
    insert_requests(&mut controller, 0..1, RequestState::AwaitsCall);
    controller.operations[0].call_time_s = 0.1;
    controller.try_call(MS, 0, false);
    controller.on_backend_call_ended(S, RequestId(0), BackendCallOutcome::Abandoned, 100 * MS);
    assert_eq!(
        controller.host.effects,
        [
            Effect::CallBackend(0, 1800 * MS),
            Effect::CallBackend(0, 1800 * MS)
        ]
    );
}

#[test]
fn failing_backends_get_fewer_retries() {
    // Guards against retries from all nodes to a tier that rejects, which made four attempts for
    // each request.
    let mut controller = controller(Deployment {
        downstream: Downstream::Tier,
        ..deployment()
    });
    insert_requests(&mut controller, 0..1, RequestState::Calling);
    insert_requests(&mut controller, 1..2, RequestState::AwaitsCall);
    controller.operations[0].config.weight_fraction_without_call = 0.5;
    controller.calls.failure_share = 1.0;
    controller.on_backend_call_ended(MS, RequestId(0), BackendCallOutcome::NotExecuted, MS);
    assert!(controller.host.effects.contains(&Effect::SkipCall(0)));
}

#[test]
fn calls_in_flight_stay_within_the_limit() {
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..2, RequestState::Calling);
    insert_requests(&mut controller, 2..3, RequestState::Running);
    controller.on_backend_call_needed(MS, RequestId(2));
    assert_eq!(controller.host.effects, [], "the call waits for capacity");
    controller.on_backend_call_ended(S, RequestId(0), BackendCallOutcome::Abandoned, S);
    assert_eq!(
        controller.host.effects,
        [Effect::CallBackend(2, 1820 * MS)],
        "the time of the abandoned call and its lingering are booked"
    );
    controller.operations[0].config.weight_fraction_without_call = 0.5;
    controller.make_pending_calls(S, true);
    assert_eq!(controller.host.effects[1..], [Effect::SkipCall(0)]);
}

#[test]
fn a_call_limit_below_one_holds_on_average() {
    // The limit is 0.5 x 5 s = 2.5 s of call time. Half of this is paid back over time, and half
    // can be used at once, lingering included.
    let mut controller = controller(Deployment {
        downstream_call_limit: 0.5,
        ..deployment()
    });
    insert_requests(&mut controller, 0..2, RequestState::AwaitsCall);
    controller.operations[0].call_time_s = 0.2;
    controller.operations[0].config.idempotency = Idempotency::Keyed;
    controller.make_pending_calls(MS, false);
    assert_eq!(controller.host.effects, [Effect::CallBackend(0, 1050 * MS)]);
    controller.on_backend_call_ended(S, RequestId(0), BackendCallOutcome::Succeeded, S);
    controller.make_pending_calls(1500 * MS, false);
    assert_eq!(
        controller.host.effects.len(),
        1,
        "1 s used, 0.125 s of it paid back"
    );
    controller.make_pending_calls(3 * S, false);
    assert_eq!(controller.host.effects[1], Effect::CallBackend(1, 550 * MS));
}

#[test]
fn a_call_waits_for_capacity_before_it_is_skipped() {
    // Guards against skipping calls too early: with a small limit, a third of the calls was skipped
    // while the backend was idle.
    let mut controller = controller(Deployment {
        downstream_call_limit: 1.0,
        ..deployment()
    });
    controller.operations[0].config.weight_fraction_without_call = 0.5;
    insert_requests(&mut controller, 0..1, RequestState::Calling);
    insert_requests(&mut controller, 1..6, RequestState::Running);
    (1..6).for_each(|id| controller.on_backend_call_needed(MS, RequestId(id)));
    assert_eq!(
        controller.host.effects,
        [Effect::SkipCall(5)],
        "as many calls as there are cores wait"
    );
    controller.on_backend_call_ended(S, RequestId(0), BackendCallOutcome::Succeeded, 100 * MS);
    assert!(matches!(
        controller.host.effects[1],
        Effect::CallBackend(1, _)
    ));
}

#[test]
fn a_call_that_may_have_run_is_not_retried() {
    let mut controller = controller(Deployment {
        downstream: Downstream::Tier,
        ..deployment()
    });
    insert_requests(&mut controller, 0..2, RequestState::Calling);
    controller.operations[0].config.idempotency = Idempotency::NonIdempotent;
    controller.on_backend_call_ended(MS, RequestId(0), BackendCallOutcome::PossiblyExecuted, MS);
    controller.on_backend_call_ended(MS, RequestId(1), BackendCallOutcome::NotExecuted, MS);
    assert_eq!(
        controller.host.effects,
        [Effect::Fail(0), Effect::CallBackend(1, 8 * S - MS)]
    );
}

#[test]
fn no_call_is_made_with_a_call_limit_of_zero() {
    let mut controller = controller(Deployment {
        downstream_call_limit: 0.0,
        ..deployment()
    });
    insert_requests(&mut controller, 0..2, RequestState::AwaitsCall);
    controller.requests[1].operation = 1;
    controller.operations[1].config.weight_fraction_without_call = 0.5;
    controller.make_pending_calls(MS, true);
    assert_eq!(controller.host.effects, [Effect::SkipCall(1)]);
    controller.answer_due(8 * S);
    assert!(controller.host.effects.contains(&Effect::Fail(0)));
}
