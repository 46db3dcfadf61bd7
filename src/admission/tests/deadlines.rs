//! Answers before the deadline, and work that nobody waits for.

use super::*;

#[test]
fn due_requests_are_answered_and_running_work_keeps_its_place() {
    let mut controller = controller(Deployment {
        preemption: Preemption::Unsupported,
        ..deployment()
    });
    put(&mut controller, 0..1, RequestState::Queued);
    put(&mut controller, 1..2, RequestState::Running);
    controller.answer_due(8 * S);
    assert_eq!(
        controller.host.effects,
        [Effect::Reject(0, true), Effect::Fail(1)]
    );
    assert_eq!((controller.requests.len(), controller.running), (1, 1));
    controller.answer_due(9 * S);
    assert_eq!(controller.host.effects.len(), 2, "exactly one answer");
}

#[test]
fn client_timeout_counts_from_arrival_at_the_machine() {
    let mut controller = controller(deployment());
    controller.on_arrival(
        10 * S,
        Arrival {
            age: 3 * S,
            time_left: None,
            ..arrival(1)
        },
    );
    assert!(
        controller
            .host
            .effects
            .contains(&Effect::SetTimer(2, 5 * S - ANSWER_MARGIN))
    );
}

#[test]
fn cancelled_work_is_stopped() {
    let mut controller = controller(deployment());
    put(&mut controller, 0..1, RequestState::Running);
    controller.on_client_cancelled(MS, RequestId(0));
    assert_eq!(controller.host.effects, [Effect::Stop(0)]);
    assert_eq!(controller.running, 1, "until the host reports its end");
}

#[test]
fn one_core_and_an_unknown_cluster_still_serve() {
    let tenants = Vec::new();
    let mut controller = controller(Deployment {
        cores: 1,
        nodes: 0,
        load_balancers: 0,
        tenants,
        ..deployment()
    });
    controller.on_arrival(S, arrival(1));
    controller.on_timer(2 * S, UPDATE_TIMER, busy(0.5));
    assert!(controller.host.effects.contains(&Effect::Start(1)));
}
