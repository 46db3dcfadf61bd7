//! Answers before the deadline, and executions whose client no longer waits.

use super::*;

#[test]
fn due_requests_are_answered_once_and_running_executions_stay_counted() {
    let mut controller = controller(Deployment {
        preemption: Preemption::Unsupported,
        ..deployment()
    });
    insert_requests(&mut controller, 0..1, RequestState::Queued);
    insert_requests(&mut controller, 1..2, RequestState::Running);
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
fn a_cancelled_execution_is_stopped() {
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..1, RequestState::Running);
    controller.on_client_cancelled(MS, RequestId(0));
    assert_eq!(controller.host.effects, [Effect::Stop(0)]);
    assert_eq!(
        controller.running, 1,
        "counted until the host reports the end of the execution"
    );
}

#[test]
fn a_node_with_one_core_and_an_unknown_cluster_starts_requests() {
    let tenants = Vec::new();
    let mut controller = controller(Deployment {
        cores: 1,
        nodes: 0,
        load_balancers: 0,
        tenants,
        ..deployment()
    });
    controller.on_arrival(S, arrival(1));
    controller.on_timer(2 * S, UPDATE_TIMER, cpu_busy(0.5));
    assert!(controller.host.effects.contains(&Effect::Start(1)));
}
