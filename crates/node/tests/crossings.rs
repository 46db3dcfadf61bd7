//! Races between two events, forced by stand-ins: a peer that writes at the moment it sees the end
//! of its connection, an executor that answers on command, a listener without room, a service
//! registry that hangs at a certain step. The tests start the program and stand in for all its
//! peers; they wait for events, not for fixed times. docs/acceptance.md lists the failure that each
//! test guards against.

use madderpoint_test_harness::peers::{
    LineConnection, LoadBalancer, WAIT_TIMEOUT, execution_ended_notice, listen, ping, unix_ms,
    unused_address,
};
use madderpoint_test_harness::program::{Node, Program, node_config};
use madderpoint_test_harness::wire::{self as support, Answer};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

const PROGRAM: Program = Program {
    exe: env!("CARGO_BIN_EXE_madderpoint"),
    dir: env!("CARGO_TARGET_TMPDIR"),
};

const A: &str = "00000000000000aa";
const B: &str = "00000000000000bb";

fn at(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap()
}

fn call(id: u16, rid: &str) -> Vec<u8> {
    support::request(
        id,
        &support::call_params("/call/read", rid, &unix_ms()),
        b"body",
    )
}

/// Starts a node with the given replacements in its configuration, and waits until its executor is
/// up.
fn node_with(changes: &[(&str, &str)]) -> (Node, TcpListener, LineConnection) {
    let executor = listen();
    let config = changes.iter().fold(
        node_config(at(&executor), unused_address(), unused_address(), 1024),
        |text, (from, to)| text.replace(from, to),
    );
    let node = Node::start_with_config(PROGRAM, &config, &[]);
    let link = LineConnection::accept_executor_link(&executor, 0, "");
    let mut balancer = node.connect();
    while balancer.ping() != "200" {}
    (node, executor, link)
}

/// Reads until the connection ends and returns all answers.
fn rest(mut balancer: LoadBalancer) -> Vec<Answer> {
    while balancer.read() > 0 {}
    balancer.done
}

fn statuses(answers: &[Answer]) -> Vec<&str> {
    answers.iter().map(|answer| &answer.status[..]).collect()
}

// ---- Ends of connections ----

/// A peer that closes only its sending side still waits for the answer: to give up a request,
/// FastCGI has ABORT_REQUEST.
#[test]
fn a_peer_that_half_closes_after_a_whole_request_gets_its_answer() {
    let (node, _executor, mut link) = node_with(&[]);
    let mut balancer = node.connect();
    balancer
        .stream
        .write_all(&[call(1, A), ping(2)].concat())
        .unwrap();
    balancer.stream.shutdown(Shutdown::Write).unwrap();
    assert_eq!(link.command()["rid"], A);
    assert_eq!(
        balancer.answer().id,
        2,
        "the ping was read, and the half-close with it or soon after"
    );
    link.send_text(&execution_ended_notice(1, A, "OK"));
    assert_eq!(statuses(&rest(balancer)), ["200"]);
}

#[test]
fn an_answer_is_not_lost_by_what_its_peer_sent_after_the_request() {
    let (node, _executor, _link) = node_with(&[]);
    for bytes in [
        vec![0xff; 20_000],
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        ping(1),
        ping(1)[..9].to_vec(),
    ] {
        let mut balancer = node.connect();
        let mut writer = balancer.stream.try_clone().unwrap();
        writer.write_all(&[ping(1), bytes].concat()).unwrap();
        // The answer has arrived, and none of it was read before all bytes were written.
        assert!(balancer.stream.peek(&mut [0; 4096]).is_ok_and(|n| n > 0));
        let _ = writer.shutdown(Shutdown::Write);
        let mut answers = Vec::new();
        while balancer.read() > 0 {
            answers.append(&mut balancer.done);
        }
        answers.append(&mut balancer.done);
        assert_eq!(answers[0].status, "200", "{answers:?}");
    }
}

/// A request written when the node has already closed the connection is not executed, because the
/// load balancer sends it again to another node.
#[test]
fn a_request_written_after_the_node_closed_the_connection_is_not_executed() {
    let (node, _executor, mut link) = node_with(&[]);
    let mut idle = node.connect();
    assert_eq!(idle.read(), 0, "closed after 1.5 s without a request");
    let _ = idle.stream.write_all(&call(1, A));
    // The process reads and discards the request, and closes the connection after the linger time.
    let mut peer = idle.stream.try_clone().unwrap();
    let begun = Instant::now();
    while peer.write_all(&[0; 64]).is_ok() {
        assert!(begun.elapsed() < WAIT_TIMEOUT);
        std::thread::yield_now();
    }
    assert_eq!(
        node.connect().run(&mut link, 1, B)["rid"],
        B,
        "no execution was started before this one"
    );
}

/// Sends requests at about the time when the node closes the idle connection: each is answered, or
/// the connection ends without an answer. No answer comes after the end.
#[test]
fn requests_racing_the_idle_timeout_are_answered_or_see_the_end() {
    // Idle timeout of 30 ms.
    let (node, _executor, _link) = node_with(&[("\"Idle\": 15.0", "\"Idle\": 0.03")]);
    let mut unanswered = 0;
    for round in 0..60u64 {
        let mut balancer = node.connect();
        assert_eq!(balancer.ping(), "200");
        assert_eq!(balancer.ping(), "200");
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_micros(29_000 + round * 50) {
            std::hint::spin_loop();
        }
        let ended_before = balancer.has_ended();
        let mut stream = balancer.stream.try_clone().unwrap();
        if stream.write_all(&ping(1)).is_err() {
            continue;
        }
        while balancer.done.is_empty() && balancer.read() > 0 {}
        if balancer.done.is_empty() {
            unanswered += 1;
        } else {
            assert!(!ended_before, "an answer after the end");
        }
    }
    assert!(unanswered < 60, "some were answered");
}

// ---- Drains ----

/// Connections that the operating system accepted before SIGTERM, with complete requests in their
/// buffers, wait in the listen backlog while all connection slots are taken. They must be answered.
#[test]
fn requests_in_the_listen_backlog_are_answered_in_a_drain() {
    let (mut node, _executor, mut link) = node_with(&[
        ("\"sockets\": 1024", "\"sockets\": 64"),
        ("\"Cores\": 1", "\"Cores\": 64"),
    ]);
    // Each slot has a running request, so that no connection is closed to make room for another.
    let mut busy = Vec::new();
    for n in 0..32u16 {
        let mut balancer = node.connect();
        balancer
            .stream
            .write_all(&call(1, &format!("{n:016x}")))
            .unwrap();
        assert_eq!(link.command()["rid"], format!("{n:016x}"));
        busy.push(balancer);
    }
    let mut waiting: Vec<_> = (0..5).map(|_| node.connect()).collect();
    for (n, balancer) in waiting.iter_mut().enumerate() {
        balancer
            .stream
            .write_all(&call(1, &format!("b{n:015x}")))
            .unwrap();
    }
    node.terminate();
    node.wait_for_log("listening ends: the connections in the backlog are the last");
    for (n, balancer) in busy.into_iter().enumerate() {
        link.send_text(&execution_ended_notice(
            n as u64 + 1,
            &format!("{n:016x}"),
            "OK",
        ));
        assert_eq!(statuses(&rest(balancer)), ["200"]);
    }
    // The requests arrived before the notice, so they are executed.
    for n in 0..waiting.len() {
        let command = link.command();
        assert_eq!(&command["t"], "SCHED", "{command}");
        link.send_text(&execution_ended_notice(
            n as u64 + 33,
            command["rid"].as_str().unwrap(),
            "OK",
        ));
    }
    for balancer in waiting {
        assert_eq!(statuses(&rest(balancer)), ["200"]);
    }
    assert_eq!(node.wait().code(), Some(0));
}

/// An unidentified peer is paced: the node reads from it only after a pause. A request sent in that
/// pause is still in the socket's buffer when the drain starts.
#[test]
fn a_request_on_a_paced_connection_is_answered_in_a_drain() {
    let (mut node, _executor, _link) = node_with(&[("\"stop_ms\": 2000", "\"stop_ms\": 400")]);
    let mut paced = node.connect();
    for id in 1..=5 {
        let request =
            support::request(id, &support::call_params("/call/dance", A, &unix_ms()), b"");
        paced.stream.write_all(&request).unwrap();
        assert_eq!(paced.answer().status, "404");
    }
    paced.stream.write_all(&call(6, A)).unwrap(); // not read for another 0.4 s
    node.terminate();
    let answers = rest(paced);
    assert_eq!(
        answers.iter().map(|a| a.id).collect::<Vec<_>>(),
        [6],
        "{answers:?}"
    );
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn an_idle_peer_does_not_delay_the_end_of_a_drain() {
    let (mut node, _executor, mut link) = node_with(&[]);
    let mut idle = node.connect();
    assert_eq!((idle.ping(), idle.ping()), ("200".into(), "200".into()));
    let silent = node.connect();
    // One peer reads nothing of its answer, and one writes without end.
    let mut not_reading = node.connect();
    not_reading.run(&mut link, 1, A);
    let mut busy = node.connect();
    let begun = Instant::now();
    node.terminate();
    let ended = std::thread::scope(|scope| {
        scope.spawn(|| while busy.stream.write_all(&ping(1)).is_ok() && busy.read() > 0 {});
        link.send_text(&execution_ended_notice(1, A, "OK"));
        node.wait()
    });
    assert_eq!(ended.code(), Some(0));
    assert!(
        begun.elapsed() < Duration::from_millis(2000),
        "{:?}",
        begun.elapsed()
    );
    assert_eq!(idle.read(), 0, "closed without a reset");
    assert_eq!(not_reading.answer().status, "200");
    drop(silent);
}

#[test]
fn a_drain_before_the_executor_is_up_runs_nothing_and_ends_in_time() {
    let executor = listen();
    let mut node = Node::start(
        PROGRAM,
        at(&executor),
        unused_address(),
        unused_address(),
        1024,
    );
    let mut link = LineConnection::accept(&executor);
    assert_eq!(link.line(), "{\"t\":\"OPEN\",\"no\":0}");
    let mut balancer = node.connect();
    assert_eq!(balancer.ask(&call(1, A)).status, "503");
    node.terminate();
    node.wait_for_log("drain begins");
    // The executor boots during the drain: the node starts no execution any more.
    link.send_text("{\"t\":\"BOOTED\",\"status\":\"COLD\",\"time_ms\":0}\n");
    assert_eq!(balancer.ask(&call(2, B)).status, "503");
    assert_eq!(link.command_until_closed(), None);
    assert_eq!(node.wait().code(), Some(0));
}

/// A second SIGTERM, a new configuration and a connection to a new executor, all while an execution
/// is running in the drain.
#[test]
fn a_drain_goes_on_through_a_second_sigterm_and_a_new_executor_address() {
    let (mut node, executor, mut link) = node_with(&[]);
    let mut balancer = node.connect();
    balancer.run(&mut link, 1, A);
    node.terminate();
    node.wait_for_log("drain begins");
    let executor2 = listen();
    node.reload(&node_config(
        at(&executor2),
        unused_address(),
        unused_address(),
        1024,
    ));
    node.terminate();
    node.wait_for_log("new configuration in force");
    let settled: serde_json::Value = serde_json::from_str(&link.line()).unwrap();
    link.send_text(&format!(
        "{{\"t\":\"INFO\",\"mark\":{},\"v\":[0.1,0.1]}}\n",
        settled["mark"]
    ));
    let mut link = LineConnection::accept_executor_link(&executor2, 0, "");
    link.send_text(&execution_ended_notice(1, A, "OK"));
    assert_eq!(statuses(&rest(balancer)), ["200"]);
    assert_eq!(node.wait().code(), Some(0));
    drop(executor);
}

// ---- Reports ----

/// Accepts a connection and reads a report from it; returns the connection and the report's body.
fn report(registry: &TcpListener) -> (LineConnection, String) {
    let mut talk = LineConnection::accept(registry);
    talk.line();
    while !talk.line().is_empty() {}
    let mut body = String::new();
    while !body.ends_with('}') {
        body += &String::from_utf8(talk.exactly(1)).unwrap();
    }
    (talk, body)
}

/// A service registry that hangs at any step of a report delays neither the start, nor the report
/// that the node leaves, nor the end of the process.
#[test]
fn a_service_registry_that_hangs_at_any_step_delays_nothing() {
    for step in [
        "accepts nothing",
        "reads nothing",
        "answers nothing",
        "answers half",
        "refuses",
    ] {
        let (executor, registry) = (listen(), listen());
        let begun = Instant::now();
        let mut node = Node::start(
            PROGRAM,
            at(&executor),
            unused_address(),
            at(&registry),
            1024,
        );
        let mut kept = Vec::new(); // connections that stay open unchanged
        match step {
            "accepts nothing" => {}
            "reads nothing" => kept.push(LineConnection::accept(&registry)),
            "answers nothing" => kept.push(report(&registry).0),
            "answers half" => {
                let mut talk = report(&registry).0;
                talk.send_text("HTTP/1.1 204 No");
                kept.push(talk);
            }
            // The connection is reset, because the report was not read.
            _ => drop(LineConnection::accept(&registry)),
        }
        let mut link = LineConnection::accept_executor_link(&executor, 0, "");
        let mut balancer = node.connect();
        while balancer.ping() != "200" {}
        assert!(
            begun.elapsed() < Duration::from_secs(5),
            "{step}: ready after {:?}",
            begun.elapsed()
        );
        balancer.run(&mut link, 1, A);
        let noticed = Instant::now();
        node.terminate();
        while report(&registry).1 != "{\"phase\":\"OUT\"}" {}
        assert!(
            noticed.elapsed() < Duration::from_millis(1000),
            "{step}: reported after {:?}",
            noticed.elapsed()
        );
        link.send_text(&execution_ended_notice(1, A, "OK"));
        assert_eq!(statuses(&rest(balancer)), ["200"], "{step}");
        // The last reports are not accepted by any registry.
        assert_eq!(node.wait().code(), Some(0), "{step}");
        assert!(
            noticed.elapsed() < Duration::from_millis(2000),
            "{step}: ended after {:?}",
            noticed.elapsed()
        );
    }
}

#[test]
fn reports_resume_when_the_service_registry_is_back_and_follow_its_address() {
    let (executor, registry) = (listen(), listen());
    let address = at(&registry);
    drop(registry); // not reachable at the start
    let mut node = Node::start(PROGRAM, at(&executor), unused_address(), address, 1024);
    node.wait_for_log("report failed");
    let _link = LineConnection::accept_executor_link(&executor, 0, "");
    let registry = TcpListener::bind(address).unwrap();
    assert_eq!(report(&registry).1, "{\"phase\":\"UP\"}");
    // The registry hangs when its address changes: the new registry receives a report at once.
    let (held, _) = report(&registry);
    let moved = listen();
    node.reload(&node_config(
        at(&executor),
        unused_address(),
        at(&moved),
        1024,
    ));
    let begun = Instant::now();
    assert_eq!(report(&moved).1, "{\"phase\":\"UP\"}");
    assert!(
        begun.elapsed() < Duration::from_millis(1000),
        "{:?}",
        begun.elapsed()
    );
    drop((held, registry));
}

// ---- Connection floods ----

/// Clients that send nothing, or half a request, take all connection slots while the service
/// registry is not reachable. Load balancers are still served, the executor link is renewed, and
/// reports arrive as soon as the registry is reachable again.
#[test]
fn a_flood_leaves_room_for_load_balancers_connections_and_reports() {
    let (executor, registry) = (listen(), listen());
    let address = at(&registry);
    drop(registry);
    let mut node = Node::start(PROGRAM, at(&executor), unused_address(), address, 64);
    let link = LineConnection::accept_executor_link(&executor, 0, "");
    let stop = AtomicBool::new(false);
    let listen_at = node.listen;
    std::thread::scope(|scope| {
        // Each client reconnects as soon as its connection is closed.
        for client in 0..80 {
            let stop = &stop;
            scope.spawn(move || {
                while !stop.load(SeqCst) {
                    let Ok(mut stream) = TcpStream::connect(listen_at) else {
                        continue;
                    };
                    if client % 2 == 0 {
                        let _ = stream.write_all(&call(1, B)[..60]);
                    }
                    stream
                        .set_read_timeout(Some(Duration::from_millis(100)))
                        .unwrap();
                    let waits = |e: &std::io::Error| e.kind() == ErrorKind::WouldBlock;
                    while stream.read(&mut [0]).is_err_and(|e| waits(&e)) && !stop.load(SeqCst) {}
                }
            });
        }
        // The executor link breaks during the flood and is renewed.
        drop(link);
        let mut link = LineConnection::accept_executor_link(&executor, 0, "");
        for n in 0..5u64 {
            let rid = format!("{n:016x}");
            let mut balancer = node.connect();
            balancer.run(&mut link, 1, &rid);
            link.send_text(&execution_ended_notice(n + 1, &rid, "OK"));
            assert_eq!(balancer.answer().status, "200");
        }
        let registry = TcpListener::bind(address).unwrap();
        assert_eq!(report(&registry).1, "{\"phase\":\"UP\"}");
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", node.child.id()))
            .unwrap()
            .count();
        assert!(descriptors <= 64, "{descriptors}");
        stop.store(true, SeqCst);
    });
    // There is room at once when the clients have disconnected.
    let begun = Instant::now();
    assert_eq!(node.connect().ping(), "200");
    assert!(
        begun.elapsed() < Duration::from_secs(1),
        "{:?}",
        begun.elapsed()
    );
    node.terminate();
    assert_eq!(node.wait().code(), Some(0));
}
