//! Operations that must not run twice.

use super::*;

#[test]
fn a_key_is_retained_before_the_execution_starts() {
    let mut controller = controller(deployment());
    controller.operations[0].config.idempotency = Idempotency::Keyed;
    controller.on_arrival(MS, arrival(1));
    assert_eq!(
        controller.host.effects[1..],
        [Effect::RetainKey(1, 5 * S), Effect::Start(1)]
    );
}

#[test]
fn cancelling_releases_the_key_of_a_queued_request_and_does_not_stop_a_keyed_execution() {
    let mut controller = controller(deployment());
    controller.operations[0].config.idempotency = Idempotency::Keyed;
    insert_requests(&mut controller, 1..2, RequestState::Queued);
    insert_requests(&mut controller, 2..3, RequestState::Running);
    controller.concurrency.limit = 0.0;
    controller.on_client_cancelled(MS, RequestId(1));
    assert_eq!(controller.host.released_keys, [1]);
    controller.on_client_cancelled(MS, RequestId(2));
    assert_eq!(
        (
            &controller.host.effects[..],
            &controller.host.released_keys[..]
        ),
        (&[][..], &[1][..]),
        "if the execution were stopped, its repeat could only fail"
    );
    controller.on_execution_ended(2 * MS, RequestId(2), ExecutionOutcome::Succeeded, MS);
    assert_eq!(controller.running, 0);
}

#[test]
fn a_repeat_is_coalesced_and_never_rejected() {
    let mut controller = controller(deployment());
    controller.on_arrival(
        MS,
        Arrival {
            duplicate_of: Some(RequestId(1)),
            ..arrival(2)
        },
    );
    assert_eq!(controller.host.effects[1..], [Effect::Coalesce(2)]);
    controller.answer_due(9 * S);
    assert_eq!(controller.host.effects[2..], [Effect::Fail(2)]);
    assert_eq!(controller.requests.len(), 0);
}

#[test]
fn a_stopped_execution_is_not_started_again() {
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..1, RequestState::Running);
    controller.on_execution_ended(MS, RequestId(0), ExecutionOutcome::Cancelled, MS);
    assert_eq!(controller.host.effects, [Effect::Fail(0)]);
    assert_eq!((controller.running, controller.memory.counted_kb), (0, 0.0));
}
