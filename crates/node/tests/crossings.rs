//! Two events that cross, forced: a peer that writes at the moment it sees an end, an executor that
//! answers on command, a listener with no room, a service that hangs at a step. The program is
//! started, all else is played here, and all waiting is for something to come. What each guards
//! against: docs/acceptance.md.

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

/// A node whose executor is up, with these changes to its configuration.
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

/// All that comes until the connection ends.
fn rest(mut balancer: LoadBalancer) -> Vec<Answer> {
    while balancer.read() > 0 {}
    balancer.done
}

fn statuses(answers: &[Answer]) -> Vec<&str> {
    answers.iter().map(|answer| &answer.status[..]).collect()
}

// ---- Ends of connections ----

/// Who ends only its side has not told that it waits for nothing: the protocol has ABORT_REQUEST
/// for that.
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
        "it was read, and the end of its side with it or soon after"
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
        // The answer is there, and nothing of it was read before all of that was written.
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

/// A request that is written as the node's end is seen is not run: the load balancer sends it again
/// elsewhere.
#[test]
fn a_request_written_as_the_end_is_seen_does_not_run() {
    let (node, _executor, mut link) = node_with(&[]);
    let mut resting = node.connect();
    assert_eq!(resting.read(), 0, "nothing was asked in 1.5 s");
    let _ = resting.stream.write_all(&call(1, A));
    // The process reads and drops it, and ends the connection in its time.
    let mut peer = resting.stream.try_clone().unwrap();
    let begun = Instant::now();
    while peer.write_all(&[0; 64]).is_ok() {
        assert!(begun.elapsed() < WAIT_TIMEOUT);
        std::thread::yield_now();
    }
    assert_eq!(
        node.connect().run(&mut link, 1, B)["rid"],
        B,
        "nothing was run before it"
    );
}

/// The end of an idle connection and a request on it, time and again: none is lost without the end
/// being seen first.
#[test]
fn requests_against_the_end_of_idle_connections_are_answered_or_see_the_end() {
    // Connections rest for 30 ms at most.
    let (node, _executor, _link) = node_with(&[("\"Idle\": 15.0", "\"Idle\": 0.03")]);
    let mut crossed = 0;
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
            crossed += 1;
        } else {
            assert!(!ended_before, "an answer after the end");
        }
    }
    assert!(crossed < 60, "some were answered");
}

// ---- Leaving ----

/// Connections that the system took before the notice, with whole requests in their buffers, wait
/// in the listen backlog while all places are taken. They are owed an answer.
#[test]
fn requests_in_the_listen_backlog_are_answered_in_a_drain() {
    let (mut node, _executor, mut link) = node_with(&[
        ("\"sockets\": 1024", "\"sockets\": 64"),
        ("\"Cores\": 1", "\"Cores\": 64"),
    ]);
    // Each place has a request that runs, so that none is given up for another.
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
    // They reached the machine before the notice, so that they may run.
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

/// An unidentified peer is read only after a pause; what it has sent by then is in the buffer when the node
/// leaves.
#[test]
fn a_request_on_a_paced_connection_is_answered_in_a_drain() {
    let (mut node, _executor, _link) = node_with(&[("\"stop_ms\": 2000", "\"stop_ms\": 400")]);
    let mut stranger = node.connect();
    for id in 1..=5 {
        let request =
            support::request(id, &support::call_params("/call/dance", A, &unix_ms()), b"");
        stranger.stream.write_all(&request).unwrap();
        assert_eq!(stranger.answer().status, "404");
    }
    stranger.stream.write_all(&call(6, A)).unwrap(); // not read for another 0.4 s
    node.terminate();
    let answers = rest(stranger);
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
    let mut resting = node.connect();
    assert_eq!(
        (resting.ping(), resting.ping()),
        ("200".into(), "200".into())
    );
    let silent = node.connect();
    // One that takes no byte of its answers, and one that writes on without end.
    let mut deaf = node.connect();
    deaf.run(&mut link, 1, A);
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
    assert_eq!(resting.read(), 0, "an end, and no reset");
    assert_eq!(deaf.answer().status, "200");
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
    // It comes up in the drain: nothing is taken up any more.
    link.send_text("{\"t\":\"BOOTED\",\"status\":\"COLD\",\"time_ms\":0}\n");
    assert_eq!(balancer.ask(&call(2, B)).status, "503");
    assert_eq!(link.command_until_closed(), None);
    assert_eq!(node.wait().code(), Some(0));
}

/// A second notice, a new configuration and a connection to a new executor, all while a run goes on in the
/// drain.
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

/// The body of a report, at the end of its connection's request.
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

/// A service that hangs at each step of a report holds up neither the start nor the notice that the
/// node leaves, nor its end.
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
        let mut kept = Vec::new(); // connections that are held as they are
        match step {
            "accepts nothing" => {}
            "reads nothing" => kept.push(LineConnection::accept(&registry)),
            "answers nothing" => kept.push(report(&registry).0),
            "answers half" => {
                let mut talk = report(&registry).0;
                talk.send_text("HTTP/1.1 204 No");
                kept.push(talk);
            }
            _ => drop(LineConnection::accept(&registry)), // a reset, for its report was not read
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
            "{step}: told after {:?}",
            noticed.elapsed()
        );
        link.send_text(&execution_ended_notice(1, A, "OK"));
        assert_eq!(statuses(&rest(balancer)), ["200"], "{step}");
        // Nobody takes the last reports.
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
    drop(registry); // away at the start
    let mut node = Node::start(PROGRAM, at(&executor), unused_address(), address, 1024);
    node.wait_for_log("report failed");
    let _link = LineConnection::accept_executor_link(&executor, 0, "");
    let registry = TcpListener::bind(address).unwrap();
    assert_eq!(report(&registry).1, "{\"phase\":\"UP\"}");
    // It hangs as it is moved: the new one hears at once.
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

// ---- Floods ----

/// Clients that say nothing, or half a request, take all places while the service registry is
/// away. Load balancers get in, the connection to the executor is made anew, and reports arrive as soon as the
/// service is back.
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
        // Each comes back as soon as it is ended.
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
        // The executor's link breaks in the flood and is made again.
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
    // CapacityLimits is there at once when they are gone.
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
