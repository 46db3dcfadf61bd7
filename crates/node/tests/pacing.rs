//! Load balancers whose requests do not succeed: they are read more slowly, but each request that
//! they have written is answered.

use madderpoint_test_harness::peers::{
    LineConnection, LoadBalancer, execution_ended_notice, listen, unix_ms, unused_address,
};
use madderpoint_test_harness::program::{Node, Program, node_config};
use madderpoint_test_harness::wire;
use std::collections::BTreeMap;
use std::io::Write;

const PROGRAM: Program = Program {
    exe: env!("CARGO_BIN_EXE_madderpoint"),
    dir: env!("CARGO_TARGET_TMPDIR"),
};

/// Most requests that may be open on a connection.
const MAX_OPEN: u16 = 32;
/// Requests in a test; more than it takes for the longest pause.
const REQUESTS: u64 = 1200;

/// Starts a node with short client timeouts, and an executor that ends each execution with `status`.
fn start_node(status: &'static str) -> Node {
    let executor = listen();
    let config = node_config(
        executor.local_addr().unwrap(),
        unused_address(),
        unused_address(),
        1024,
    );
    let config = config.replace("\"Deadline\": 3.0", "\"Deadline\": 0.4");
    let config = config.replace("\"Aim\": 1.0", "\"Aim\": 0.4");
    let node = Node::start_with_config(PROGRAM, &config, &[]);
    std::thread::spawn(move || {
        let mut link = LineConnection::accept_executor_link(&executor, 0, "");
        let mut no = 0;
        while let Some(command) = link.command_until_closed() {
            if command["t"] == "SCHED" {
                no += 1;
                let rid = command["rid"].as_str().unwrap();
                link.send_text(&execution_ended_notice(no, rid, status));
            }
        }
    });
    while node.connect().ping() != "200" {}
    node
}

/// Sends requests with up to 32 open on one connection, and returns how often each status was given.
/// `age_ms` is the time since the requests came to the machine.
fn statuses(balancer: &mut LoadBalancer, age_ms: u64) -> BTreeMap<String, u64> {
    let mut statuses = BTreeMap::new();
    let mut free: Vec<u16> = (1..=MAX_OPEN).collect();
    let mut sent = 0;
    let mut answered = 0;
    while answered < REQUESTS {
        let mut bytes = Vec::new();
        while sent < REQUESTS
            && let Some(id) = free.pop()
        {
            sent += 1;
            let arrived = (unix_ms().parse::<u64>().unwrap() - age_ms).to_string();
            let rid = format!("{sent:016x}");
            let params = wire::call_params("/call/read", &rid, &arrived);
            bytes.extend(wire::request(id, &params, &[7; 2048]));
        }
        balancer.stream.write_all(&bytes).unwrap();
        let answer = balancer.answer();
        for answer in std::iter::once(answer).chain(balancer.done.drain(..)) {
            answered += 1;
            free.push(answer.id);
            *statuses.entry(answer.status).or_default() += 1;
        }
    }
    statuses
}

/// Guards against a connection that is closed over requests that were written and not read, since
/// all that came before them were rejected: they had come too late.
#[test]
fn a_load_balancer_whose_requests_are_all_rejected_gets_all_answers() {
    let node = start_node("OK");
    let mut balancer = node.connect();
    let rejected = BTreeMap::from([("429".to_owned(), REQUESTS)]);
    assert_eq!(statuses(&mut balancer, 5000), rejected);
    assert!(!balancer.has_ended());
}

/// The same while all executions fail, as when the service below is down.
#[test]
fn a_load_balancer_whose_executions_all_fail_gets_all_answers() {
    let node = start_node("ERROR");
    let mut balancer = node.connect();
    let statuses = statuses(&mut balancer, 0);
    assert!(statuses.contains_key("500"), "{statuses:?}");
    assert_eq!(statuses.get("200"), None);
    assert!(!balancer.has_ended());
}
