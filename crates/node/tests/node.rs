//! Starts the program and communicates with it over sockets. The tests stand in for the executor,
//! the backend, the service registry and the load balancers, on free ports; they wait for events,
//! not for fixed times.

use madderpoint_test_harness::peers::{
    LineConnection, WAIT_TIMEOUT, call_notice, execution_ended_notice, listen, ping, unix_ms,
    unused_address,
};
use madderpoint_test_harness::program::{Node, Program, node_config};
use madderpoint_test_harness::wire as support;
use serde_json::Value;
use std::io::Write;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

const PROGRAM: Program = Program {
    exe: env!("CARGO_BIN_EXE_madderpoint"),
    dir: env!("CARGO_TARGET_TMPDIR"),
};

const A: &str = "00000000000000aa";
const B: &str = "00000000000000bb";

#[test]
fn executions_succeed_or_fail_and_a_late_request_is_rejected() {
    let (node, _executor, mut link) = Node::with_executor(PROGRAM);
    let mut balancer = node.connect();
    let command = balancer.run(&mut link, 1, A);
    assert_eq!(
        (&command["route"], &command["b64"]),
        (&"read".into(), &"AGJvZHk=".into())
    );
    link.send_text(&execution_ended_notice(1, A, "OK"));
    let answer = balancer.answer();
    assert_eq!(
        (answer.id, &answer.status[..], &answer.body[..]),
        (1, "200", &b"\0\xff"[..])
    );
    balancer.run(&mut link, 1, B);
    link.send_text(&execution_ended_notice(2, B, "ERROR"));
    assert_eq!(balancer.answer().status, "500");
    let late = (unix_ms().parse::<u64>().unwrap() - 4000).to_string();
    let answer = balancer.ask(&support::request(
        2,
        &support::call_params("/call/read", A, &late),
        b"",
    ));
    assert_eq!((answer.id, &answer.status[..]), (2, "429"));
    assert_eq!(answer.fields["X-Stop-Trying"], "1");
}

#[test]
fn the_node_waits_for_an_executor_that_starts_late() {
    let executor = listen();
    let node = Node::start(
        PROGRAM,
        executor.local_addr().unwrap(),
        unused_address(),
        unused_address(),
        1024,
    );
    let mut balancer = node.connect();
    assert_eq!(balancer.ping(), "503");
    let mut link = LineConnection::accept_executor_link(&executor, 0, "");
    while balancer.ping() != "200" {}
    balancer.run(&mut link, 2, B);
}

#[test]
fn a_backend_call_gets_its_reply() {
    let (executor, backend) = (listen(), listen());
    let node = Node::start(
        PROGRAM,
        executor.local_addr().unwrap(),
        backend.local_addr().unwrap(),
        unused_address(),
        1024,
    );
    let mut link = LineConnection::accept_executor_link(&executor, 0, "");
    let mut balancer = node.connect();
    while balancer.ping() != "200" {}
    balancer.run(&mut link, 1, A);
    link.send_text(&call_notice(1, A));
    let mut backend_connection = LineConnection::accept(&backend);
    let line = backend_connection.line();
    assert!(
        line.starts_with(&format!("invoke {A} ")) && line.ends_with(" 2"),
        "{line}"
    );
    assert_eq!(backend_connection.exactly(4), b"\0\xff\r\n");
    backend_connection.send_text(&format!("{A} ok 4\r\na\r\nb\r\n"));
    let command = link.command();
    assert_eq!(
        (&command["t"], &command["b64"]),
        (&"IODONE".into(), &"YQ0KYg==".into())
    );
    link.send_text(&execution_ended_notice(2, A, "OK"));
    assert_eq!(balancer.answer().status, "200");
}

#[test]
fn an_execution_continues_when_the_backend_refuses_the_connection() {
    let (node, _executor, mut link) = Node::with_executor(PROGRAM);
    let mut balancer = node.connect();
    balancer.run(&mut link, 1, B);
    link.send_text(&call_notice(1, B));
    let command = link.command();
    assert_eq!((&command["t"], &command["no"]), (&"NOIO".into(), &1.into()));
}

#[test]
fn an_executor_connection_that_breaks_during_an_execution_loses_nothing() {
    let (node, executor, mut link) = Node::with_executor(PROGRAM);
    let mut balancer = node.connect();
    balancer.run(&mut link, 1, A);
    link.send_text(&execution_ended_notice(1, A, "OK")[..25]);
    drop(link); // in the middle of a line
    let mut link =
        LineConnection::accept_executor_link(&executor, 0, &execution_ended_notice(1, A, "OK"));
    assert_eq!(balancer.answer().status, "200");
    balancer.run(&mut link, 1, B); // the next command is this one
}

#[test]
fn unexpected_lines_of_the_executor_do_no_harm() {
    let (node, executor, mut link) = Node::with_executor(PROGRAM);
    link.send_text(
        "{\"t\":\"SONG\"}\n{broken\n{\"t\":\"EINVAL\",\"status\":\"NOIO\",\"rid\":\"zz\"}\n",
    );
    link.send_text(&execution_ended_notice(1, "ffffffffffffffff", "OK"));
    let mut balancer = node.connect();
    balancer.run(&mut link, 1, A);
    link.send_text(&"x".repeat(40_000)); // the line does not end: the link is renewed
    let mut link =
        LineConnection::accept_executor_link(&executor, 1, &execution_ended_notice(2, A, "OK"));
    assert_eq!(balancer.answer().status, "200");
    balancer.run(&mut link, 1, B);
}

#[test]
fn a_drain_answers_running_requests_reports_to_the_service_registry_and_exits_with_0() {
    let (executor, registry) = (listen(), listen());
    let mut node = Node::start(
        PROGRAM,
        executor.local_addr().unwrap(),
        unused_address(),
        registry.local_addr().unwrap(),
        1024,
    );
    let report = |registry: &TcpListener| {
        let mut talk = LineConnection::accept(registry);
        let head = talk.line();
        while !talk.line().is_empty() {}
        let body = talk.exactly("{\"phase\":\"UP\"}".len());
        talk.send_text("HTTP/1.1 204 No Content\r\n\r\n");
        (head, String::from_utf8(body).unwrap())
    };
    let (head, body) = report(&registry);
    assert_eq!(
        (&head[..], &body[..]),
        ("PUT /members/n3 HTTP/1.1", "{\"phase\":\"UP\"}")
    );
    let mut link = LineConnection::accept_executor_link(&executor, 0, "");
    let mut balancer = node.connect();
    while balancer.ping() != "200" {}
    balancer.run(&mut link, 1, A);
    node.terminate();
    while report(&registry).1 != "{\"phase\":\"OUT\"" {}
    node.terminate();
    link.send_text(&execution_ended_notice(1, A, "OK"));
    assert_eq!(balancer.answer().status, "200");
    assert_eq!(balancer.read(), 0);
    assert_eq!(node.wait().code(), Some(0));
}

/// Guards against two failures: SIGHUP ended the process; a reload that moves all peers lost a
/// running execution or a pending backend call. A configuration that cannot be read changes
/// nothing.
#[test]
fn a_new_configuration_moves_all_connections_and_a_bad_one_changes_nothing() {
    let (executor, backend, registry) = (listen(), listen(), listen());
    let at = |l: &TcpListener| l.local_addr().unwrap();
    let mut node = Node::start(PROGRAM, at(&executor), at(&backend), at(&registry), 1024);
    let good = node_config(at(&executor), at(&backend), at(&registry), 1024);
    for (text, named) in [
        (&good[..200], "EOF"),
        (
            &good.replace("\"memory_mb\": 192", "\"memory_mb\": 2"),
            "limits.memory_mb",
        ),
        (&good.replace("\"Cores\": 1", "\"Cores\": 0"), "Extra.Cores"),
    ] {
        node.reload(text);
        assert!(
            node.wait_for_log("new configuration rejected")
                .contains(named)
        );
    }
    let mut link = LineConnection::accept_executor_link(&executor, 0, "");
    let mut balancer = node.connect();
    while balancer.ping() != "200" {}
    balancer.run(&mut link, 1, A);
    link.send_text(&call_notice(1, A));
    let mut backend_connection = LineConnection::accept(&backend);
    backend_connection.line();
    backend_connection.exactly(4);
    let (executor2, backend2, registry2) = (listen(), listen(), listen());
    let moved = node_config(at(&executor2), at(&backend2), at(&registry2), 1024);
    node.reload(&moved.replace("\"sockets\": 1024", "\"sockets\": 999"));
    assert!(node.wait_for_log("needs_restart=").contains("limits"));
    // All lines that were sent before this one have arrived.
    let settled: Value = serde_json::from_str(&link.line()).unwrap();
    link.send_text(&format!(
        "{{\"t\":\"INFO\",\"mark\":{},\"v\":[0.1,0.1]}}\n",
        settled["mark"]
    ));
    let mut link = LineConnection::accept_executor_link(&executor2, 1, "");
    backend_connection.send_text(&format!("{A} ok 1\r\na\r\n")); // the old backend still replies
    let command = link.command();
    assert_eq!(
        (&command["t"], &command["b64"]),
        (&"IODONE".into(), &"YQ==".into())
    );
    link.send_text(&execution_ended_notice(2, A, "OK"));
    assert_eq!(balancer.answer().status, "200");
    balancer.run(&mut link, 2, B);
    link.send_text(&call_notice(3, B));
    assert!(
        LineConnection::accept(&backend2)
            .line()
            .starts_with(&format!("invoke {B} "))
    );
    assert!(
        LineConnection::accept(&registry2)
            .line()
            .starts_with("PUT /members/n3 ")
    );
}

#[test]
fn unexpected_answers_of_the_service_registry_do_no_harm() {
    let (executor, registry) = (listen(), listen());
    let node = Node::start(
        PROGRAM,
        executor.local_addr().unwrap(),
        unused_address(),
        registry.local_addr().unwrap(),
        1024,
    );
    let _link = LineConnection::accept_executor_link(&executor, 0, "");
    let mut balancer = node.connect();
    for answer in [
        "",
        "HTTP/1.1 2",
        "HTTP/1.1 500 Oh\r\n\r\n",
        "no such thing\r\n\r\n",
        "HTTP/1.1 204 \r\n\r\n",
    ] {
        LineConnection::accept(&registry).send_text(answer);
        while balancer.ping() != "200" {}
    }
}

#[test]
fn broken_framing_and_silence_affect_only_their_own_connection() {
    let (node, _executor, _link) = Node::with_executor(PROGRAM);
    let mut good = node.connect();
    let mut half = node.connect();
    half.stream
        .write_all(
            &support::request(1, &support::call_params("/call/read", A, &unix_ms()), b"")[..60],
        )
        .unwrap();
    let _silent = node.connect();
    for bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0xff; 64],
        &[1, 1, 0, 1, 0, 2, 0, 0, 0, 1],
    ] {
        let mut bad = node.connect();
        bad.stream.write_all(bytes).unwrap();
        assert_eq!(bad.read(), 0);
        assert_eq!(good.ping(), "200");
    }
}

#[test]
fn a_load_balancer_that_does_not_read_delays_no_other() {
    let (mut node, _executor, _link) = Node::with_executor(PROGRAM);
    let (mut not_reading, mut good) = (node.connect(), node.connect());
    not_reading.stream.set_nonblocking(true).unwrap();
    let pings: Vec<u8> = (1..=30).flat_map(ping).collect();
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            node.wait_for_log("connection closed: the peer does not read");
            ended.store(true, SeqCst);
        });
        let mut rest = &pings[..];
        while !ended.load(SeqCst) {
            match not_reading.stream.write(rest) {
                Ok(n) if n < rest.len() => rest = &rest[n..],
                Ok(_) => rest = &pings[..],
                Err(_) => assert_eq!(good.ping(), "200"),
            }
        }
    });
    assert_eq!(good.ping(), "200");
}

#[test]
fn idle_connections_are_closed_when_descriptors_run_out() {
    let executor = listen();
    let node = Node::start(
        PROGRAM,
        executor.local_addr().unwrap(),
        unused_address(),
        unused_address(),
        64,
    );
    let _link = LineConnection::accept_executor_link(&executor, 0, "");
    let mut all: Vec<_> = (0..60).map(|_| node.connect()).collect();
    for balancer in &mut all {
        balancer.stream.write_all(&ping(1)).unwrap();
    }
    // Each connection was either answered or closed unread to make room for a later one.
    let answered = all
        .iter_mut()
        .filter_map(|d| (d.read() > 0).then(|| d.answer()))
        .count();
    assert!(answered >= 20, "{answered}");
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", node.child.id()))
        .unwrap()
        .count();
    assert!(descriptors <= 64, "{descriptors}");
}

#[test]
fn several_hundred_connections_fit_into_memory_and_thread_limits() {
    let node = Node::start(
        PROGRAM,
        unused_address(),
        unused_address(),
        unused_address(),
        1024,
    );
    let mut all: Vec<_> = (0..400).map(|_| node.connect()).collect();
    assert!(all.iter_mut().all(|balancer| balancer.ping() == "503"));
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let value = |name: &str| -> usize {
        let line = status.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    };
    assert!(value("VmHWM:") < 96 * 1024, "{status}");
    assert!(value("Threads:") < 850, "{status}");
}

#[test]
fn an_invalid_configuration_is_reported_and_the_node_does_not_start() {
    let whole = format!(
        r#"{{"name": "n3", "listen": "127.0.0.1:0", "kernel": "127.0.0.1:1", "members": "127.0.0.1:1",
        "seed": "8c1f", "stop_ms": 2000, "limits": {{"cores": 0.2, "memory_mb": 32, "sockets": 1024}}, "settings": {}}}"#,
        support::SETTINGS
    );
    for (from, to, named) in [
        ("\"127.0.0.1:0\"", "\"nowhere\"", "socket address"),
        ("\"kernel\"", "\"colonel\"", "kernel"),
        ("\"8c1f\"", "\"zz\"", "seed"),
        ("2000", "-1", "stop_ms"),
        ("1024", "3", "limits.sockets"),
        ("32", "3", "limits.memory_mb"),
        ("0.2", "0", "limits.cores"),
        ("\"Cores\": 1", "\"Cores\": 0", "Extra.Cores"),
        ("\"n3\"", "\"n4\"", "PROXY_NAME"),
        ("{", "", "expected"),
    ] {
        let path = PROGRAM.config(&whole.replacen(from, to, 1));
        let output = PROGRAM
            .start(&path)
            .env("PROXY_NAME", "n3")
            .output()
            .unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert_ne!(output.status.code(), Some(0));
        assert!(
            text.lines().count() == 1 && text.contains(named) && text.contains("config-"),
            "{named}: {text}"
        );
    }
    let output = PROGRAM
        .start(&PathBuf::from("/nowhere.json"))
        .output()
        .unwrap();
    assert!(
        String::from_utf8(output.stderr)
            .unwrap()
            .contains("/nowhere.json")
    );
}

/// Stands in for an executor until the link ends: ends executions whose correlation id starts with
/// `known` at once, and refuses all other commands.
fn executor_that_runs(mut link: LineConnection, known: &'static str) {
    let mut no = 0;
    while let Some(command) = link.command_until_closed() {
        let rid = command["rid"].as_str().unwrap_or_default().to_owned();
        if command["t"] == "SCHED" && rid.starts_with(known) {
            no += 1;
            link.send_text(&execution_ended_notice(no, &rid, "OK"));
        } else {
            link.send_text(&format!(
                "{{\"t\":\"EINVAL\",\"status\":{},\"rid\":\"{rid}\"}}\n",
                command["t"]
            ));
        }
    }
}

/// Each kind of misbehaving client is rejected, answered with an error or closed within 3 s after
/// it connected, and never served; meanwhile a well-behaved load balancer is served without a
/// failure.
#[test]
fn misbehaving_clients_are_rejected_in_time_and_harm_no_other() {
    let (node, _executor, link) = Node::with_executor(PROGRAM);
    let link = std::thread::spawn(|| executor_that_runs(link, "aaaa"));
    let now = unix_ms();
    let call = |id: u16, path: &str, rid: &str| {
        support::request(id, &support::call_params(path, rid, &now), b"body")
    };
    let with = |name: &str, value: &str| {
        let mut params = support::call_params("/call/read", B, &now);
        params.retain(|(n, _)| *n != name);
        params.push((name, value));
        support::request(1, &params, b"body")
    };
    let huge = |kind, len: usize| {
        let start = [
            support::begin(1, 1, true),
            support::record(support::PARAMS, 1, b"", 0),
        ]
        .concat();
        let record = support::record(kind, 1, &[1; 60_000], 0);
        std::iter::once(start)
            .chain(std::iter::repeat_n(record, len / 60_000))
            .flatten()
            .collect::<Vec<u8>>()
    };
    let clients: Vec<Vec<u8>> = vec![
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        vec![0xff; 1000],
        huge(support::STDIN, 60_000_000),
        huge(support::PARAMS, 10_000_000),
        huge(77, 10_000_000),
        support::record(support::STDIN, 9, b"", 0).repeat(100_000),
        [1, 4, 0, 1, 0xff, 0xff, 0, 0].to_vec(), // the announced length does not arrive
        [
            support::begin(1, 1, true),
            support::record(support::PARAMS, 1, &[0xff; 20], 0),
        ]
        .concat(),
        call(1, "/call/dance", B),
        with("HTTP_X_ORG", "nobody"),
        with("HTTP_X_NEED_KB", "NaN"),
        with("HTTP_X_ESTIMATE_MS", "1e300"),
        with("HTTP_X_CRITICALITY", "-1"),
        with("HTTP_X_ARRIVED_MS", "99999999999999"),
        with("HTTP_X_CORRELATION_ID", ""),
        call(1, "/call/read", B), // unknown to the executor
        // Two requests with the same request id.
        [call(1, "/call/read", B), call(1, "/call/read", B)].concat(),
        (0..300)
            .flat_map(|id| call(id, "/call/read", &format!("{id:016x}")))
            .collect(),
        (0..300)
            .flat_map(|id| {
                [
                    call(id, "/call/read", &format!("b{id:015x}")),
                    support::record(support::ABORT, id, b"", 0),
                ]
                .concat()
            })
            .collect(),
        call(1, "/call/read", B)[..70].to_vec(),
        vec![],
    ];
    std::thread::scope(|scope| {
        let misbehaving: Vec<_> = clients
            .iter()
            .map(|bytes| {
                let mut client = node.connect();
                scope.spawn(move || {
                    let begun = Instant::now();
                    let mut writer = client.stream.try_clone().unwrap();
                    std::thread::scope(|both| {
                        both.spawn(|| drop(writer.write_all(bytes)));
                        while client.done.is_empty() && client.read() > 0 {}
                        assert!(
                            client.done.iter().all(|a| a.status != "200"),
                            "{:?}",
                            client.done
                        );
                        let _ = client.stream.shutdown(std::net::Shutdown::Both);
                    });
                    begun.elapsed()
                })
            })
            .collect();
        let mut good = node.connect();
        for n in 0..200 {
            let rid = format!("aaaa{n:012x}");
            assert_eq!(
                good.ask(&support::request(
                    1,
                    &support::call_params("/call/read", &rid, &unix_ms()),
                    b""
                ))
                .status,
                "200"
            );
        }
        for (client, bytes) in misbehaving.into_iter().zip(&clients) {
            let took = client.join().unwrap();
            assert!(
                took < Duration::from_secs(3),
                "{took:?}: {:?}",
                &bytes[..bytes.len().min(60)]
            );
        }
    });
    drop(node);
    link.join().unwrap();
}

#[test]
fn closed_connections_leave_no_thread_and_no_descriptor_behind() {
    let (node, _executor, _link) = Node::with_executor(PROGRAM);
    let pid = node.child.id();
    let threads = || {
        std::fs::read_dir(format!("/proc/{pid}/task"))
            .unwrap()
            .count()
    };
    let descriptors = || {
        std::fs::read_dir(format!("/proc/{pid}/fd"))
            .unwrap()
            .count()
    };
    let (threads_before, descriptors_before) = (threads(), descriptors());
    for _ in 0..40 {
        let mut all: Vec<_> = (0..50).map(|_| node.connect()).collect();
        assert!(all.iter_mut().all(|balancer| balancer.ping() == "200"));
    }
    let begun = Instant::now();
    while threads() > threads_before || descriptors() > descriptors_before {
        assert!(
            begun.elapsed() < WAIT_TIMEOUT,
            "{} threads, {} descriptors",
            threads(),
            descriptors()
        );
        std::thread::yield_now();
    }
}
