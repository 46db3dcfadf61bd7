//! Strikes and pacing: which peers are read more slowly, and which connections are closed for it.

use super::support::*;

const CONNECTION: ConnectionId = ConnectionId(9);

/// A node that has run for some time, with a new connection.
fn node() -> TestNode {
    let mut node = TestNode::new();
    node.wait(5000);
    node.node.with_actions(|actions| actions.closed.clear());
    connect(&mut node, CONNECTION);
    node
}

fn connect(node: &mut TestNode, connection_id: ConnectionId) {
    node.connection_id = connection_id;
    node.event(Event::Connected(connection_id, None));
}

/// Sends requests that are past their client timeout, which are rejected without being run.
fn send_rejected(node: &mut TestNode, count: usize) {
    let arrived = (node.now / MS - 4000).to_string();
    for number in 0..count {
        let rid = format!("{number:016x}");
        node.send(1, &wire::call_params("/call/read", &rid, &arrived), b"");
    }
}

/// Sends requests of an operation that the deployment does not have.
fn send_malformed(node: &mut TestNode, count: usize) {
    for _ in 0..count {
        node.call(1, "/call/dance", A);
    }
}

/// The pauses between reads that the node has set so far, in milliseconds.
fn pauses_ms(node: &mut TestNode) -> Vec<u64> {
    let paced = node.node.with_actions(|actions| actions.paced.clone());
    paced.iter().map(|(_, pause)| pause / MS).collect()
}

fn assert_stays_open(node: &mut TestNode) {
    node.node.with_actions(|actions| {
        assert_eq!(actions.reading_stopped, []);
        assert_eq!(actions.closed, []);
    });
}

/// Guards against a load balancer whose connection is closed over requests that were not read,
/// because some of its clients sent requests that are answered as malformed.
#[test]
fn an_identified_peer_gets_no_strikes() {
    let mut node = node();
    node.call(1, "/call/read", A);
    node.end_execution(A, End::Ok, b"");
    send_malformed(&mut node, 20);
    assert_eq!(node.statuses().len(), 21);
    assert_eq!(pauses_ms(&mut node), [0; 0]);
    assert_stays_open(&mut node);
}

/// Guards against a connection that is closed over requests that were not read, because the node
/// rejects all that it gets. Rejections are the node's decision and say nothing about the peer.
#[test]
fn rejections_pace_an_unidentified_peer_but_do_not_close_its_connection() {
    let mut node = node();
    send_rejected(&mut node, 12 * 128);
    assert_eq!(node.statuses().len(), 12 * 128);
    let pauses = pauses_ms(&mut node);
    assert_eq!(pauses[..4], [50, 100, 200, 400]);
    // A quarter of the shortest client timeout: a request that waits for it is answered in time.
    assert!(pauses[4..].iter().all(|&pause| pause == 750), "{pauses:?}");
    assert_stays_open(&mut node);
}

/// The executor only runs what a load balancer has sent, also if it fails.
#[test]
fn a_peer_is_identified_by_an_execution_that_fails_or_needs_a_call() {
    for needs_call in [false, true] {
        let mut node = node();
        send_rejected(&mut node, 128);
        assert_eq!(pauses_ms(&mut node), [50]);
        node.call(2, "/call/read", B);
        if needs_call {
            node.need_backend_call(B, 1);
        } else {
            node.end_execution(B, End::Error, b"");
        }
        assert_eq!(pauses_ms(&mut node), [50, 0], "needs call: {needs_call}");
        send_rejected(&mut node, 1000);
        send_malformed(&mut node, 20);
        assert_eq!(pauses_ms(&mut node), [50, 0], "needs call: {needs_call}");
        assert_stays_open(&mut node);
    }
}

/// A request that the executor does not know never ran, so that it identifies nobody.
#[test]
fn a_request_that_never_started_identifies_no_peer() {
    let mut node = node();
    for id in 1..=3 {
        node.call(id, "/call/read", B);
        node.event(Event::LoadBalancer(CONNECTION, fastcgi::Event::Abort(id)));
        node.end_execution(B, End::NeverStarted, b"");
    }
    send_malformed(&mut node, 6);
    assert_eq!(pauses_ms(&mut node), [50, 100, 200, 400, 800, 1600]);
    assert_eq!(
        node.node.with_actions(|actions| actions.closed.clone()),
        [CONNECTION]
    );
}

/// Guards against peers that begin and abort requests without end: each abort is answered.
#[test]
fn answers_to_aborts_count_as_unsuccessful() {
    let mut node = node();
    for _ in 0..256 {
        let reply = Reply::end(1, ProtocolStatus::Complete);
        node.event(Event::LoadBalancer(
            CONNECTION,
            fastcgi::Event::Reply(reply),
        ));
    }
    assert_eq!(pauses_ms(&mut node), [50, 100]);
}

/// At the end of a drain the rest of what a load balancer has written is read, though its connection
/// is paced, and a peer with strikes is not listened to any more.
#[test]
fn the_end_of_a_drain_ends_the_pacing_of_peers_without_strikes() {
    let mut node = node();
    send_rejected(&mut node, 128);
    let struck = ConnectionId(10);
    connect(&mut node, struck);
    send_malformed(&mut node, 1);
    for (connection, rid) in [(CONNECTION, A), (struck, B)] {
        node.connection_id = connection;
        node.call(7, "/call/read", rid);
    }
    node.event(Event::Drain);
    node.wait(2900);
    let paced = node.node.with_actions(|actions| actions.paced.clone());
    assert_eq!(
        paced,
        [(CONNECTION, 50 * MS), (struck, 50 * MS), (CONNECTION, 0)]
    );
}
