//! Connections: closing, idle timeouts, eviction, and pacing of unidentified peers.

use super::support::*;

#[test]
fn requests_beyond_the_open_request_limit_are_rejected_as_overloaded() {
    let mut node =
        TestNode::with_settings(&wire::SETTINGS.replace("\"Cores\": 1", "\"Cores\": 12"));
    for id in 0..=fastcgi::MAX_OPEN as u16 {
        node.call(id, "/call/read", &format!("{id:016x}"));
    }
    let answers = node.answers();
    let is_overloaded = |a: &Answer| a.protocol_status == ProtocolStatus::Overloaded as u8;
    assert!(
        answers
            .iter()
            .all(|a| is_overloaded(a) == (a.id == fastcgi::MAX_OPEN as u16)),
        "{answers:?}"
    );
}

/// The node's own lack of memory is not the peer's fault: the request never ran and is rejected, and
/// the connection stays open and is not paced.
#[test]
fn a_request_for_which_there_was_no_memory_is_rejected_and_is_no_strike() {
    let mut node = TestNode::new();
    for id in 1..=20 {
        let request = fastcgi::Request {
            id,
            keep_conn: true,
            params: Vec::new(),
            body: Vec::new(),
            oversize: false,
            no_memory: true,
        };
        node.event(Event::LoadBalancer(
            ConnectionId(1),
            fastcgi::Event::Request(request),
        ));
    }
    let answers = node.answers();
    assert_eq!(answers.len(), 20);
    for answer in answers {
        assert_eq!(answer.protocol_status, ProtocolStatus::Overloaded as u8);
    }
    node.node.with_actions(|actions| {
        assert_eq!(
            (&actions.paced[..], &actions.closed[..]),
            (&[][..], &[][..])
        );
    });
    assert_eq!(
        node.counted("rejected for lack of memory while read in part"),
        20
    );
}

/// A slow client of a load balancer holds its connection for as long as it writes; an unidentified
/// peer could do so for good, and a drain must end.
#[test]
fn a_close_waits_for_each_part_of_a_request_of_an_identified_peer_unless_in_a_drain() {
    let close_of = |is_identified: bool, is_draining: bool| {
        let mut node = TestNode::new();
        node.event(Event::Connected(ConnectionId(2), None));
        if is_identified {
            node.connection_id = ConnectionId(2);
            node.call(1, "/call/read", A);
            node.end_execution(A, End::Ok, b"");
        }
        if is_draining {
            node.event(Event::Drain);
        }
        node.wait(16_000);
        node.node
            .with_actions(|actions| actions.close_orders[&ConnectionId(2)])
    };
    for (is_identified, is_draining, is_wait_renewed) in [
        (true, false, true),
        (false, false, false),
        (true, true, false),
    ] {
        let close = close_of(is_identified, is_draining);
        assert_eq!(close.is_wait_renewed, is_wait_renewed, "{close:?}");
    }
}

#[test]
fn a_connection_without_keep_alive_closes_after_its_last_answer() {
    let mut node = TestNode::new();
    node.call(1, "/call/read", A);
    let params = wire::pairs(&[("SCRIPT_NAME", "/ping")]);
    let check = fastcgi::Request {
        id: 2,
        keep_conn: false,
        params,
        body: Vec::new(),
        oversize: false,
        no_memory: false,
    };
    node.event(Event::LoadBalancer(
        ConnectionId(1),
        fastcgi::Event::Request(check),
    ));
    assert_eq!(
        (
            node.statuses(),
            node.node.with_actions(|actions| actions.closed.len())
        ),
        (vec![(2, "200".into())], 0)
    );
    node.end_execution(A, End::Ok, b"");
    assert_eq!(
        node.node.with_actions(|actions| actions.closed.clone()),
        [ConnectionId(1)]
    );
}

#[test]
fn a_duplicate_fastcgi_id_closes_its_connection_after_the_first_answer() {
    let mut node = TestNode::new();
    node.call(1, "/call/read", A);
    node.call(1, "/call/read", B);
    assert_eq!(node.executor_commands(), [start_command(A, "read")]);
    let conn = node.connection_id;
    assert_eq!(
        node.node
            .with_actions(|actions| (actions.reading_stopped.clone(), actions.closed.len())),
        (vec![conn], 0)
    );
    node.end_execution(A, End::Ok, b"first");
    assert_eq!(
        node.answers()
            .iter()
            .map(|a| &a.body[..])
            .collect::<Vec<_>>(),
        [b"first"]
    );
    assert_eq!(
        node.node.with_actions(|actions| actions.closed.clone()),
        [conn]
    );
}

#[test]
fn connections_close_when_idle_and_only_then() {
    let mut node = TestNode::new();
    node.event(Event::Connected(ConnectionId(2), None));
    node.call(1, "/call/read", A);
    node.node.state.borrow_mut().set_idle_timeout(30 * MS);
    node.wait(1490);
    assert_eq!(node.node.with_actions(|actions| actions.closed.len()), 0);
    node.wait(20); // the first request may take longer than the idle timeout, but only up to 1.5 s
    assert_eq!(
        node.node.with_actions(|actions| actions.closed.clone()),
        [ConnectionId(2)]
    );
    node.end_execution(A, End::Ok, b"");
    node.wait(20);
    assert_eq!(node.node.with_actions(|actions| actions.closed.len()), 1);
    node.wait(20);
    assert_eq!(
        node.node.with_actions(|actions| actions.closed.clone()),
        [ConnectionId(2), ConnectionId(1)]
    );
    // The reader had passed on a request before it learned of the close: the request is answered,
    // and the close is void.
    assert_eq!(
        node.node
            .with_actions(|actions| actions.close_orders[&ConnectionId(1)].events_handled),
        1
    );
    let (keep_conn, params) = (
        true,
        wire::pairs(&wire::call_params("/call/read", B, "3000")),
    );
    let request = fastcgi::Request {
        id: 2,
        keep_conn,
        params,
        body: b"body".to_vec(),
        oversize: false,
        no_memory: false,
    };
    node.event(Event::LoadBalancer(
        ConnectionId(1),
        fastcgi::Event::Request(request),
    ));
    assert_eq!(node.executor_commands()[1..], [start_command(B, "read")]);
    assert_eq!(node.statuses(), [(1, "200".into())]);
    node.end_execution(B, End::Ok, b"");
    assert_eq!(node.statuses(), [(2, "200".into())]);
    node.wait(40);
    assert_eq!(
        node.node
            .with_actions(|actions| actions.closed[2..].to_vec()),
        [ConnectionId(1)]
    );
    assert_eq!(
        node.node
            .with_actions(|actions| actions.close_orders[&ConnectionId(1)].events_handled),
        2,
        "the next close counts the event"
    );
}

#[test]
fn eviction_prefers_unidentified_peers_and_then_the_longest_idle() {
    let mut node = TestNode::new();
    let connect_and_serve = |node: &mut TestNode, conn: u64, requests: u16| {
        node.connection_id = ConnectionId(conn);
        node.event(Event::Connected(node.connection_id, None));
        for id in 1..=requests {
            node.call(id, "/call/read", A);
            node.end_execution(A, End::Ok, b"");
        }
        node.wait(10);
    };
    connect_and_serve(&mut node, 2, 2); // a load balancer's connection, idle for longest
    connect_and_serve(&mut node, 3, 2);
    connect_and_serve(&mut node, 4, 1); // sent one request and stays connected
    connect_and_serve(&mut node, 5, 0); // sends nothing
    node.event(Event::ConnectionLimitReached);
    assert_eq!(
        node.node.with_actions(|actions| actions.closed.clone()),
        [ConnectionId(4)]
    ); // connection 5 is too new to be evicted
    node.wait(200);
    node.connection_id = ConnectionId(3);
    node.call(9, "/call/read", A); // a request is open on connection 3
    (0..4).for_each(|_| node.event(Event::ConnectionLimitReached));
    assert_eq!(
        node.node.with_actions(|actions| actions.closed.clone()),
        [
            ConnectionId(4),
            ConnectionId(1),
            ConnectionId(5),
            ConnectionId(2)
        ]
    );
    // Above the eviction threshold each new connection evicts an idle one before the limit is
    // reached.
    (100..136).for_each(|conn| node.event(Event::Connected(ConnectionId(conn), None)));
    node.wait(200);
    assert_eq!(node.node.with_actions(|actions| actions.closed.len()), 4);
    node.event(Event::Connected(ConnectionId(200), None));
    assert_eq!(node.node.with_actions(|actions| actions.closed.len()), 5);
}

/// A peer that sends a new request as soon as the last is rejected must not use up the processor.
#[test]
fn unidentified_peers_are_paced_with_growing_pauses_and_then_closed() {
    let mut node = TestNode::new();
    let pauses_ms = |node: &mut TestNode| {
        node.node
            .with_actions(|actions| actions.paced.iter().map(|p| p.1 / MS).collect::<Vec<_>>())
    };
    for id in 1..=6 {
        assert_eq!(node.node.with_actions(|actions| actions.closed.len()), 0);
        node.call(id, "/call/dance", A);
    }
    assert_eq!(pauses_ms(&mut node), [50, 100, 200, 400, 800, 1600]);
    assert_eq!(
        node.node.with_actions(|actions| actions.closed.clone()),
        [ConnectionId(1)]
    );
    node.call(1, "/call/read", A); // on a new connection; the executor refuses it
    node.event(Event::Executor(Notice::CommandRefused {
        command: "SCHED".into(),
        rid: A.into(),
    }));
    assert_eq!(pauses_ms(&mut node).len(), 7);
    node.call(2, "/call/read", B); // this request succeeds
    node.end_execution(B, End::Ok, b"");
    assert_eq!(pauses_ms(&mut node)[7..], [0]);
    node.wait(5000);
    let old = (node.now / MS - 4000).to_string(); // past the client timeout
    (0..1000).for_each(|id| node.send(id, &wire::call_params("/call/read", A, &old), b""));
    assert_eq!(pauses_ms(&mut node).len(), 8); // rejections are no strikes for an identified peer
    node.connection_id = ConnectionId(9);
    node.event(Event::Connected(ConnectionId(9), None));
    (0..128).for_each(|id| node.send(id, &wire::call_params("/call/read", A, &old), b""));
    assert_eq!(pauses_ms(&mut node)[8..], [50]);
}
