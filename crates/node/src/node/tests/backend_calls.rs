//! Backend calls: choice of a link, outcomes and retries.

use super::support::*;

#[test]
fn a_call_and_its_reply_are_passed_on_unchanged() {
    let mut node = TestNode::new();
    node.call(1, "/call/read", A);
    node.need_backend_call(A, 1);
    let (_, _, _, bytes) = node.last_call();
    assert!(
        bytes.starts_with(&format!("invoke {A} ")) && bytes.ends_with(" 4\r\ncall\r\n"),
        "{bytes}"
    );
    node.executor_commands();
    node.reply_to_call(0, A, Outcome::Ok);
    assert_eq!(
        node.executor_commands(),
        [format!(r#"{{"t":"IODONE","rid":"{A}","b64":"cmVwbHk="}}"#)]
    );
}

#[test]
fn a_late_reply_does_not_end_a_newer_call() {
    let mut node = TestNode::new();
    node.call(1, "/call/read", A);
    node.need_backend_call(A, 1);
    node.wait(1);
    node.reply_to_call(0, A, Outcome::Ok); // gives the node a measure of how long calls take
    node.need_backend_call(A, 2);
    node.executor_commands();
    let (first, ..) = node.last_call();
    node.wait(20); // much longer than the first call, so it is abandoned and retried
    assert_eq!(
        node.node.with_actions(|actions| actions.cancelled.clone()),
        [(first, format!("cancel {A}\r\n"))]
    );
    assert_eq!(node.calls(), 3);
    let (second, ..) = node.last_call();
    assert_ne!(first, second);
    node.reply_to_call(first, A, Outcome::Ok);
    assert_eq!(node.executor_commands(), [""; 0]);
    node.reply_to_call(second, A, Outcome::Ok);
    assert_eq!(node.executor_commands().len(), 1);
}

#[test]
fn only_calls_that_may_run_twice_are_retried_after_a_lost_connection() {
    let link = |generation| BackendLink {
        place: 0,
        generation,
    };
    for (path, written, calls) in [
        ("/call/read", true, 2),
        ("/call/pay", true, 1),
        ("/call/pay", false, 2),
    ] {
        let mut node = TestNode::new();
        node.call(1, path, A);
        node.need_backend_call(A, 1);
        let (_, no, id, _) = node.last_call();
        if written {
            node.event(Event::BackendCallWritten {
                call: no,
                request: id,
                link: link(1),
            });
            node.event(Event::BackendDisconnected(link(1), None));
        } else {
            // The connection of another call.
            node.event(Event::BackendDisconnected(link(1), None));
            node.event(Event::BackendCallNotSent(no, id));
        }
        assert_eq!(node.calls(), calls, "{path} {written}");
        assert_eq!(node.statuses().len(), 2 - calls, "{path} {written}");
    }
}

#[test]
fn a_call_reported_written_after_its_connection_ended_fails() {
    let mut node = TestNode::new();
    node.call(1, "/call/pay", A);
    node.need_backend_call(A, 1);
    let (_, no, id, _) = node.last_call();
    let link = BackendLink {
        place: 0,
        generation: 1,
    };
    node.event(Event::BackendDisconnected(link, None));
    assert_eq!(node.statuses(), []);
    node.event(Event::BackendCallWritten {
        call: no,
        request: id,
        link,
    });
    assert_eq!(node.statuses(), [(1, "500".into())]);
}

/// Protocol errors must be counted by cause, and must not lose answers of other requests.
#[test]
fn protocol_errors_are_counted_by_cause() {
    let mut node = TestNode::new();
    node.call(1, "/call/read", A);
    let link = BackendLink {
        place: 0,
        generation: 1,
    };
    node.event(Event::ProtocolError(
        node.connection_id,
        fastcgi::ParseError::UnknownVersion,
    ));
    node.event(Event::RequestTruncated);
    node.event(Event::BackendDisconnected(
        link,
        Some(backend::ReadError::CutShort),
    ));
    let counted = |metric: &str| node.node.state.borrow().metrics().total(metric);
    let causes = [
        "record of an unknown version",
        "load balancer: request cut short",
        "reply cut short",
    ];
    assert_eq!(causes.map(counted), [1; 3]);
    node.end_execution(A, End::Ok, b"result");
    assert_eq!(node.statuses(), [(1, "200".into())]);
}

#[test]
fn an_idle_link_closes_only_when_no_reply_is_awaited_on_it() {
    let mut node = TestNode::new();
    node.call(1, "/call/pay", A);
    node.need_backend_call(A, 1);
    node.event(Event::BackendIdle(0));
    node.event(Event::BackendIdle(1));
    assert_eq!(
        node.node
            .with_actions(|actions| actions.closed_links.clone()),
        [1]
    );
    node.reply_to_call(0, A, Outcome::Ok);
    node.event(Event::BackendIdle(0));
    assert_eq!(
        node.node
            .with_actions(|actions| actions.closed_links.clone()),
        [1, 0]
    );
}

/// A backend that drops one reply and keeps the connection open answers no later call on that
/// connection either. With all calls on one connection, every later call would time out.
#[test]
fn calls_are_spread_and_avoid_a_silent_link() {
    let mut node =
        TestNode::with_settings(&wire::SETTINGS.replace("\"Cores\": 1", "\"Cores\": 20"));
    let mut n = 0;
    let mut next = |node: &mut TestNode| {
        n += 1u16;
        let correlation_id = format!("{n:016x}");
        node.call(n, "/call/read", &correlation_id);
        node.need_backend_call(&correlation_id, n.into());
        (node.last_call().0, correlation_id)
    };
    assert_eq!(next(&mut node).0, 0); // the first call gets no reply
    for _ in 0..8 {
        let (place, correlation_id) = next(&mut node);
        assert_eq!(place, 1);
        node.reply_to_call(1, &correlation_id, Outcome::Ok);
    }
    let places: Vec<_> = (0..9).map(|_| next(&mut node).0).collect();
    assert_eq!(places, [1, 2, 3, 4, 5, 6, 7, 1, 2]);
    assert_eq!(
        node.node.with_actions(|actions| actions.closed_links.len()),
        0
    );
    node.wait(1000); // the first call times out
    assert_eq!(
        node.node
            .with_actions(|actions| actions.closed_links.clone()),
        [0]
    );
}

#[test]
fn a_call_may_be_written_until_it_times_out_or_it_or_its_execution_ends() {
    type Ending = fn(&mut TestNode);
    let endings: [(Ending, &str); 4] = [
        (|node| node.wait(2980), "its timeout"),
        (|node| node.reply_to_call(0, A, Outcome::Ok), "its reply"),
        (
            |node| node.end_execution(A, End::Stopped, b""),
            "the end of its execution",
        ),
        (
            |node| node.event(Event::BackendCallNotSent(CallId(1), RequestId(1))),
            "the event that it was not sent",
        ),
    ];
    for (end_call, cause) in endings {
        let mut node = TestNode::new();
        node.call(1, "/call/pay", A);
        node.need_backend_call(A, 1);
        let token = node.node.with_actions(|actions| actions.tokens[0].clone());
        assert!(token.is_wanted());
        end_call(&mut node);
        assert!(
            !token.is_wanted(),
            "the call must not be written after {cause}"
        );
    }
}

#[test]
fn the_outcome_of_a_reply_decides_whether_a_call_is_retried() {
    for (outcome, is_retried) in [
        (Outcome::Overload, true),
        (Outcome::Stale, true),
        (Outcome::Internal, false),
        (Outcome::Deadline, false),
    ] {
        let mut node = TestNode::new();
        node.call(1, "/call/pay", A);
        node.need_backend_call(A, 1);
        node.reply_to_call(0, A, outcome);
        assert_eq!(
            (node.calls() == 2, node.statuses().is_empty()),
            (is_retried, is_retried),
            "{outcome:?}"
        );
    }
}

#[test]
fn a_call_that_no_link_accepts_fails_as_not_executed() {
    let mut node = TestNode::new();
    node.node
        .with_actions(|actions| actions.links_are_full = true);
    node.call(1, "/call/pay", A);
    node.need_backend_call(A, 1);
    assert_eq!(
        (node.calls(), node.statuses()),
        (3, vec![(1, "500".into())])
    );
}

#[test]
fn calls_that_race_with_a_cancellation_are_abandoned_with_the_execution() {
    let mut node = TestNode::new();
    node.call(1, "/call/read", A);
    node.event(Event::LoadBalancer(
        ConnectionId(1),
        fastcgi::Event::Abort(1),
    ));
    node.need_backend_call(A, 1); // sent before the executor received the cancellation
    assert_eq!(node.calls(), 0);
    node.end_execution(A, End::Stopped, b"");
    node.need_backend_call(A, 2);
    assert_eq!(node.counted("executor: calls of unknown executions"), 1);
    node.call(1, "/call/read", B);
    node.need_backend_call(B, 3);
    node.end_execution(B, End::Stopped, b"");
    assert_eq!(node.node.with_actions(|actions| actions.cancelled.len()), 1);
    node.reply_to_call(0, B, Outcome::Ok);
    assert_eq!(node.counted("backend: replies to abandoned calls"), 1);
}
