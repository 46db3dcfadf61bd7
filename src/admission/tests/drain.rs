//! Draining: answers before the stop, the load report and late arrivals.

use super::*;

#[test]
fn a_drain_answers_all_requests_before_the_process_stops() {
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..1, RequestState::Running);
    controller.start_drain(S, 4 * S);
    assert_eq!(
        controller.requests[0].times.answer_by,
        5 * S - ANSWER_MARGIN
    );
    assert_eq!(
        controller.host.effects,
        [
            Effect::SetTimer(2, 4 * S - ANSWER_MARGIN),
            Effect::SetHealth(false),
            Effect::ReportLoad(0.0)
        ]
    );
    // With few nodes, the node continues to serve during the grace: if it held back all traffic at
    // once, the other nodes would be overloaded.
    controller.host.effects.clear();
    for (nodes, now) in [
        (2, 2 * S),
        (2, 3 * S - UPDATE_INTERVAL),
        (4, S),
        (4, 2 * S),
        (5, S),
    ] {
        controller.deployment.nodes = nodes;
        controller.send_load_report(now);
    }
    assert_eq!(
        controller.host.effects,
        [1.0, 0.0, 1.0, 0.0, 0.0].map(Effect::ReportLoad)
    );
}

#[test]
fn requests_that_arrive_after_the_drain_grace_are_rejected() {
    let mut controller = controller(deployment());
    controller.drain = Some(Drain {
        begun_at: S,
        stops_at: 6 * S,
    });
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
        controller.host.effects[..],
        [
            Effect::Reject(1, _),
            Effect::SetTimer(2, _),
            Effect::Start(2)
        ]
    ));
}
