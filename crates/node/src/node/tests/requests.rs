//! Answers to requests, request errors and cancellations.

use super::support::*;

#[test]
fn a_request_is_answered_once_with_the_executors_bytes() {
    let mut node = TestNode::new();
    node.call(9, "/call/read", A);
    assert_eq!(node.executor_commands(), [start_command(A, "read")]);
    node.end_execution(A, End::Ok, b"\0\xffresult");
    node.end_execution(A, End::Ok, b"again");
    let answers = node.answers();
    assert_eq!(answers.len(), 1);
    assert_eq!(
        (answers[0].id, &answers[0].status[..], &answers[0].body[..]),
        (9, "200", &b"\0\xffresult"[..])
    );
    assert_eq!(node.counted("executor: ends of unknown executions"), 1);
}

#[test]
fn a_failed_execution_gives_500_and_a_late_arrival_is_rejected_with_stop_trying() {
    let mut node = TestNode::new();
    node.call(1, "/call/read", A);
    node.end_execution(A, End::Error, b"");
    node.wait(5000);
    node.send(2, &wire::call_params("/call/read", B, "1000"), b"");
    let answers = node.answers();
    assert_eq!(
        (&answers[0].status[..], &answers[1].status[..]),
        ("500", "429")
    );
    assert_eq!(answers[1].fields["X-Stop-Trying"], "1");
    assert!(answers[1].fields.contains_key("X-Backend-Says"));
    assert_eq!(node.executor_commands().len(), 1);
}

#[test]
fn an_arrival_time_in_the_future_is_treated_as_now() {
    let mut node = TestNode::new();
    node.send(1, &wire::call_params("/call/read", A, "5000"), b"body");
    node.wait(2900);
    assert_eq!(node.statuses(), []);
    node.wait(100);
    assert_eq!(node.statuses(), [(1, "500".into())]);
}

#[test]
fn a_malformed_request_gets_one_answer_with_the_status_for_its_cause() {
    let mut node = TestNode::new();
    let valid = wire::call_params("/call/read", A, "1000");
    let with = |name: &'static str, value: Option<&'static str>| {
        let mut params: Vec<_> = valid.iter().copied().filter(|(n, _)| *n != name).collect();
        params.extend(value.map(|v| (name, v)));
        params
    };
    let cases = [
        (with("SCRIPT_NAME", Some("/call/dance")), "404"),
        (with("SCRIPT_NAME", Some("/else")), "404"),
        (with("SCRIPT_NAME", None), "400"),
        (with("REQUEST_METHOD", Some("GET")), "405"),
        (with("HTTP_X_CORRELATION_ID", Some("aa")), "400"),
        (with("HTTP_X_ARRIVED_MS", Some("-5")), "400"),
        (with("HTTP_X_ARRIVED_MS", None), "400"),
        (with("HTTP_X_ARRIVED_MS", Some("9999999")), "400"),
        (
            with("HTTP_X_ARRIVED_MS", Some("18446744073709551615")),
            "400",
        ),
        (with("HTTP_X_CRITICALITY", Some("1.5")), "400"),
        (with("HTTP_X_CRITICALITY", Some("inf")), "400"),
        (with("HTTP_X_ESTIMATE_MS", Some("-1")), "400"),
        (with("HTTP_X_ORG", Some("nobody")), "404"),
        (with("HTTP_X_ORG", None), "404"),
        (with("HTTP_X_UPSTREAM_PEER", Some("-1")), "400"),
        (with("HTTP_X_ESTIMATE_MS", Some("NaN")), "400"),
        (with("HTTP_X_NEED_KB", Some("2000")), "400"),
        (with("HTTP_X_NEED_KB", Some("0")), "400"),
        (with("HTTP_X_NEED_KB", None), "400"),
        (with("HTTP_X_SUBJECT", Some("xyz")), "400"),
    ];
    for (i, (params, status)) in cases.iter().enumerate() {
        node.send(i as u16, params, b"");
        assert_eq!(
            node.statuses(),
            [(i as u16, status.to_string())],
            "{params:?}"
        );
    }
    assert_eq!(node.executor_commands().len(), 0);
    let long_past = wire::call_params("/call/read", A, "1000");
    node.now = 100_000 * MS;
    node.send(49, &long_past, b"");
    assert_eq!(node.statuses(), [(49, "400".into())]);
    node.now = 1000 * MS;
    // The request is served without hints.
    let mut params = with("HTTP_X_ESTIMATE_MS", None);
    params.retain(|(n, _)| *n != "HTTP_X_UPSTREAM_PEER");
    params.push(("HTTP_X_UPSTREAM_PEER", "4000000000000")); // numbers of load balancers are never reused
    node.send(50, &params, b"body");
    assert_eq!(node.executor_commands(), [start_command(A, "read")]);
    // A correlation id in flight may not be used again.
    node.call(51, "/call/read", A);
    assert_eq!(node.statuses(), [(51, "409".into())]);
}

#[test]
fn a_cancelled_request_gets_no_answer_and_its_ids_may_be_reused() {
    let mut node = TestNode::new();
    node.call(1, "/call/read", A);
    node.call(2, "/call/read", B); // queued, as there is only one core
    node.executor_commands();
    node.event(Event::LoadBalancer(
        ConnectionId(1),
        fastcgi::Event::Abort(2),
    ));
    node.event(Event::LoadBalancer(
        ConnectionId(1),
        fastcgi::Event::Abort(1),
    ));
    assert_eq!(
        node.executor_commands(),
        [format!(r#"{{"t":"PREEMPT","rid":"{A}"}}"#)]
    );
    node.end_execution(A, End::Stopped, b"");
    let answers = node.answers();
    assert!(
        answers.len() == 2 && answers.iter().all(|a| a.status.is_empty()),
        "{answers:?}"
    );
    // The FastCGI id and the correlation id may both be used again.
    node.call(1, "/call/read", B);
    assert_eq!(node.executor_commands(), [start_command(B, "read")]);
    node.event(Event::Disconnected(ConnectionId(1)));
    assert_eq!(
        node.executor_commands(),
        [format!(r#"{{"t":"PREEMPT","rid":"{B}"}}"#)]
    );
}

#[test]
fn a_cancellation_that_races_with_the_end_frees_the_slot() {
    let mut node = TestNode::new();
    node.call(1, "/call/read", A);
    node.event(Event::LoadBalancer(
        ConnectionId(1),
        fastcgi::Event::Abort(1),
    ));
    node.end_execution(A, End::Ok, b"late");
    assert!(node.answers().iter().all(|a| a.status.is_empty()));
    node.executor_commands();
    node.call(2, "/call/read", B);
    assert_eq!(node.executor_commands(), [start_command(B, "read")]);
}
