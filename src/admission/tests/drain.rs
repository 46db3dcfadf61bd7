//! Draining.

use super::*;

#[test]
fn a_drain_answers_all_before_the_stop() {
    let mut controller = controller(deployment());
    put(&mut controller, 0..1, RequestState::Running);
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
    // One of few nodes serves on while it may: its clients, sent away at once, would overload the
    // others.
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
fn nothing_that_arrives_after_the_grace_runs() {
    let mut controller = controller(deployment());
    controller.drain = Some(Drain {
        noticed_at: S,
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
