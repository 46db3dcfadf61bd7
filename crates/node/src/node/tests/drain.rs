//! Draining before and after the executor is up.

use super::support::*;

#[test]
fn a_drain_answers_all_requests_and_starts_none_that_arrive_after_the_grace() {
    let mut node = TestNode::new();
    node.call(1, "/call/read", A);
    node.event(Event::Drain);
    node.wait(400);
    node.call(2, "/call/read", B); // within the grace
    node.event(Event::Drain); // a second drain event has no effect
    node.wait(101);
    assert!(
        node.node
            .with_actions(|actions| actions.has_stopped_listening)
    );
    node.executor_commands();
    node.call(3, "/call/read", "00000000000000cc");
    assert_eq!(
        (node.executor_commands(), node.statuses()),
        (vec![], vec![(3, "429".into())])
    );
    node.end_execution(A, End::Ok, b"");
    assert_eq!(node.executor_commands(), [start_command(B, "read")]);
    node.wait(2349); // 150 ms before the stop
    assert_eq!(node.statuses(), [(1, "200".into()), (2, "500".into())]);
    assert_eq!(
        node.node.with_actions(|actions| actions.closed.clone()),
        [ConnectionId(1)]
    );
    assert!(!node.node.has_drained());
    node.event(Event::Disconnected(ConnectionId(1)));
    assert!(
        !node.node.has_drained(),
        "a connection may wait in the listen backlog"
    );
    node.event(Event::ListenerClosed);
    assert!(node.node.has_drained());
}

#[test]
fn a_drain_that_begins_before_the_executor_is_up_stays_in_effect() {
    let mut node = TestNode::without_executor(wire::SETTINGS);
    node.event(Event::Drain);
    node.wait(100);
    node.boot_executor();
    node.executor_commands();
    node.call(1, "/call/read", A);
    assert_eq!(
        (node.executor_commands(), node.statuses()),
        (vec![], vec![(1, "503".into())])
    );
}
