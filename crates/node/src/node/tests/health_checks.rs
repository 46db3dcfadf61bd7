//! Health checks, and gauges for timers of the admission controller.

use super::support::*;

#[test]
fn deep_health_checks_are_answered_from_stored_health_by_the_executor_or_by_timeout() {
    let deep = [("SCRIPT_NAME", "/ping"), ("QUERY_STRING", "x=2&e2e=1")];
    let mut node = TestNode::without_executor(wire::SETTINGS);
    node.send(1, &deep, b"");
    assert_eq!(node.statuses(), [(1, "503".into())]);
    node.boot_executor();
    node.send(2, &deep, b"");
    assert_eq!(node.statuses(), [(2, "200".into())]);
    AdmissionHost(Rc::clone(&node.node.state)).set_health(true, false);
    node.executor_commands();
    for (id, ok, status) in [(3, true, "200"), (4, false, "503")] {
        node.send(id, &deep, b"");
        let command = node.executor_commands().pop().unwrap();
        let mark = command.split('"').nth(7).unwrap().parse().unwrap();
        node.event(Event::Executor(Notice::HealthCheckDone { mark, ok }));
        assert_eq!(node.statuses(), [(id, status.into())]);
    }
    node.send(5, &deep, b"");
    node.wait(2000);
    assert_eq!(node.statuses(), [(5, "503".into())]);
    node.break_link();
    node.send(6, &deep, b"");
    assert_eq!(node.statuses(), [(6, "503".into())]);
}

#[test]
fn admission_timers_use_fresh_gauges_and_fire_without_them() {
    let mut node = TestNode::new();
    node.node
        .with_actions(|actions| actions.gauges_requested = None);
    node.wait(480); // shortly before the first timer
    node.answer_gauges();
    assert_eq!(node.node.state.borrow().gauges().cpu_busy, Some(0.5));
    node.wait(101);
    assert_eq!(node.node.state.borrow().gauges().cpu_busy, None);
    let due = node.node.next_timer().unwrap();
    node.wait(1000); // the executor does not answer
    assert!(node.node.next_timer().unwrap() > due + 500 * MS);
}
