//! Clients of a load balancer write slowly, and it passes each piece on as it comes, on a connection
//! that other requests use too. The node has the smallest limits of a process.

use madderpoint_test_harness::peers::{
    LineConnection, LoadBalancer, execution_ended_notice, listen, unix_ms, unused_address,
};
use madderpoint_test_harness::program::{Node, Program, node_config};
use madderpoint_test_harness::wire::{self, begin, record};
use std::io::Write;

const PROGRAM: Program = Program {
    exe: env!("CARGO_BIN_EXE_madderpoint"),
    dir: env!("CARGO_TARGET_TMPDIR"),
};

/// Most requests that may be open on a connection.
const MAX_OPEN: u16 = 32;
/// Largest body of a request, in bytes.
const BODY_MAX: usize = 2048;

/// Starts a node with the smallest limits, and an executor that ends each execution at once.
fn node_with_smallest_limits() -> Node {
    let executor = listen();
    let config = node_config(
        executor.local_addr().unwrap(),
        unused_address(),
        unused_address(),
        384,
    );
    let config = config.replace("\"memory_mb\": 192", "\"memory_mb\": 32");
    let node = Node::start_with_config(PROGRAM, &config, &[]);
    std::thread::spawn(move || {
        let mut link = LineConnection::accept_executor_link(&executor, 0, "");
        let mut no = 0;
        while let Some(command) = link.command_until_closed() {
            if command["t"] == "SCHED" {
                no += 1;
                let rid = command["rid"].as_str().unwrap();
                link.send_text(&execution_ended_notice(no, rid, "OK"));
            }
        }
    });
    let mut balancer = node.connect();
    while balancer.ping() != "200" {}
    node
}

fn correlation_id(number: usize) -> String {
    format!("{number:016x}")
}

/// The records of a request: those of its head, then one for each piece of its body and for its end.
fn records(id: u16, number: usize, piece: usize) -> Vec<Vec<u8>> {
    let (rid, arrived) = (correlation_id(number), unix_ms());
    let params = wire::pairs(&wire::call_params("/call/read", &rid, &arrived));
    let head = [
        begin(id, 1, true),
        record(wire::PARAMS, id, &params, 1),
        record(wire::PARAMS, id, &[], 0),
    ];
    let mut records = vec![head.concat()];
    let body = vec![number as u8; BODY_MAX];
    records.extend(
        body.chunks(piece)
            .map(|piece| record(wire::STDIN, id, piece, 0)),
    );
    records.push(record(wire::STDIN, id, &[], 0));
    records
}

/// Sends a whole request and checks that it is served.
fn is_served(balancer: &mut LoadBalancer, id: u16, number: usize) {
    let bytes = records(id, number, BODY_MAX).concat();
    balancer.stream.write_all(&bytes).unwrap();
    let answer = balancer.answer();
    assert_eq!((answer.id, &answer.status[..]), (id, "200"), "{number}");
}

/// Guards against a bound on the bytes of unfinished requests below what 32 requests of a connection
/// may have: well-formed requests were answered as malformed, also those that came whole, and the
/// connection was closed with requests on it that were never read.
#[test]
fn slow_bodies_harm_no_request_on_their_connection() {
    let node = node_with_smallest_limits();
    for piece in [1, 300, BODY_MAX] {
        let mut balancer = node.connect();
        let mut number = 1000 * piece;
        let mut next = || {
            number += 1;
            number
        };
        let slow: Vec<_> = (1..MAX_OPEN).map(|id| records(id, next(), piece)).collect();
        // Pieces of all slow requests in turn, with whole requests between them.
        let rounds = slow[0].len();
        for round in 0..rounds - 1 {
            let pieces = slow.iter().flat_map(|records| records[round].clone());
            balancer
                .stream
                .write_all(&pieces.collect::<Vec<u8>>())
                .unwrap();
            if round % (rounds / 4).max(1) == 0 {
                is_served(&mut balancer, MAX_OPEN, next());
            }
        }
        for (records, id) in slow.iter().zip(1..) {
            balancer.stream.write_all(&records[rounds - 1]).unwrap();
            let answer = balancer.answer();
            assert_eq!((answer.id, &answer.status[..]), (id, "200"), "{piece}");
        }
        assert!(!balancer.has_ended(), "{piece}");
    }
}
