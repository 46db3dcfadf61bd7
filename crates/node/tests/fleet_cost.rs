//! Measures what the cluster costs a node under load, in one run: without a fleet, with a fleet,
//! with all shared state in use, and in a flood of datagrams. Not part of CI; run it with:
//!
//!     cargo test --release -p madderpoint-node --test fleet_cost -- --ignored --nocapture

use hdrhistogram::Histogram;
use madderpoint_test_harness::backend_service::{BackendConfig, BackendService};
use madderpoint_test_harness::executor::Executor;
use madderpoint_test_harness::load::next_request_id;
use madderpoint_test_harness::peers::{unix_ms, unused_address};
use madderpoint_test_harness::program::{Node, Program, node_config};
use madderpoint_test_harness::wire;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: Program = Program {
    exe: env!("CARGO_BIN_EXE_madderpoint"),
    dir: env!("CARGO_TARGET_TMPDIR"),
};
const REQUESTS: usize = 20_000;
const ROUNDS: usize = 3;

/// Budgets, a keyed quota and a service whose health is reported, with limits above the load.
const SHARED: &str = r#"<arbiter name="m0"/><arbiter name="m1"/><arbiter name="m2"/>
    <calls-budget name="rate" a-second="900000" floor="90000" nodes-most="9"/>
    <calls-budget name="hands" in-hand="9000" floor="900" nodes-most="9"/><service name="below"/>"#;
const RULES: &str = r#"<rules><parameter name="HTTP_X_KEY" most="64B"/>
    <bucket name="k" scope="fleet" rate="900000/s" burst="9000000" floor="900000" nodes-most="9" in-hand="90000000"/>
    <rule name="all"><when>true</when><give><limit bucket="k">params.HTTP_X_KEY</limit></give></rule></rules>"#;

fn ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .unwrap()
        .1
        .split_whitespace()
        .collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn free_port() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Starts a node with its executor, and in a fleet if its own address and that of the seed are
/// given.
fn start(name: &str, fleet: Option<(SocketAddr, SocketAddr)>, shares: bool) -> (Node, Executor) {
    let executor = Executor::start();
    executor.calls(true);
    let backend = BackendService::start(BackendConfig::default())
        .listen("z")
        .unwrap();
    let config = node_config(executor.address, backend, unused_address(), 1024)
        .replace("\"n3\"", &format!("\"{name}\""));
    let mut arguments = Vec::new();
    let settings = fleet.map(|(bind, seed)| {
        let keys = PROGRAM.file("keys", &"07".repeat(32));
        let (shared, rules) = if shares { (SHARED, RULES) } else { ("", "") };
        let text = format!(
            "<translator version=\"1\">{rules}<fleet name=\"f\" keys=\"{}\" bind=\"{bind}\"><seed address=\"{seed}\"/>{shared}\
             </fleet></translator>",
            keys.display()
        );
        PROGRAM.file("xml", &text).display().to_string()
    });
    if let Some(settings) = &settings {
        arguments.extend(["--settings", settings]);
    }
    (
        Node::start_with_config(PROGRAM, &config, &arguments),
        executor,
    )
}

/// Sends requests one after the other; returns the CPU microseconds per request and the latencies
/// in microseconds.
fn load(node: &Node) -> (f64, Histogram<u64>) {
    let mut balancer = node.connect();
    while balancer.ping() != "200" {}
    let mut stream = TcpStream::connect(node.listen).unwrap();
    stream.set_nodelay(true).unwrap();
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 10_000_000, 3).unwrap();
    let (mut received, mut open, mut buffer) = (Vec::new(), BTreeMap::new(), [0; 4096]);
    let before = ticks(node.child.id());
    for _ in 0..REQUESTS {
        let (id, arrived) = (next_request_id(), unix_ms());
        let mut params = wire::call_params("/call/read", &id, &arrived);
        params.push(("HTTP_X_KEY", &id[12..]));
        let request = wire::request(1, &params, b"body");
        let start = Instant::now();
        stream.write_all(&request).unwrap();
        let mut answers = wire::answers(&mut received, &mut open);
        while answers.is_empty() {
            let n = stream.read(&mut buffer).unwrap();
            assert!(n > 0, "the connection ended");
            received.extend_from_slice(&buffer[..n]);
            answers = wire::answers(&mut received, &mut open);
        }
        assert_eq!(answers[0].status, "200");
        latencies
            .record(start.elapsed().as_micros() as u64)
            .unwrap();
    }
    let cpu = (ticks(node.child.id()) - before) as f64 * 10_000.0 / REQUESTS as f64;
    (cpu, latencies)
}

#[test]
#[ignore = "a measurement of about a minute"]
fn cost_of_a_fleet_under_load_and_in_a_datagram_flood() {
    let seed = free_port();
    let others: Vec<(Node, Executor)> = (0..5)
        .map(|n| {
            start(
                &format!("m{n}"),
                Some((if n == 0 { seed } else { free_port() }, seed)),
                true,
            )
        })
        .collect();
    let own = free_port();
    for round in 0..ROUNDS {
        for case in ["off", "on", "shared", "storm"] {
            let (node, executor) =
                start("n9", (case != "off").then_some((own, seed)), case != "on");
            // Until the fleet has accepted the node and lends to it.
            thread::sleep(Duration::from_secs(if round == 0 { 15 } else { 6 }));
            let stop = Arc::new(AtomicBool::new(false));
            let storm = (case == "storm").then(|| {
                let stop = Arc::clone(&stop);
                let pids: Vec<u32> = others.iter().skip(1).map(|(node, _)| node.child.id()).collect();
                thread::spawn(move || {
                    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
                    let (mut sent, begun) = (0u64, Instant::now());
                    let mut stopped = false;
                    let signal = |stops: bool| {
                        for pid in &pids {
                            let signal_name = if stops { "-STOP" } else { "-CONT" };
                            std::process::Command::new("kill")
                                .args([signal_name, &pid.to_string()])
                                .status()
                                .unwrap();
                        }
                    };
                    while !stop.load(SeqCst) {
                        // 20,000 unauthenticated datagrams per second, while four of the five
                        // other nodes are stopped and continued once per second.
                        while sent < (begun.elapsed().as_secs_f64() * 20_000.0) as u64 {
                            let _ = socket.send_to(
                                b"mf\x01\x00 a stranger's, of some length to be looked at for a while",
                                own,
                            );
                            sent += 1;
                        }
                        let stops = begun.elapsed().as_secs() % 2 == 1;
                        if stops != stopped {
                            signal(stops);
                            stopped = stops;
                        }
                        thread::sleep(Duration::from_millis(2));
                    }
                    signal(false);
                })
            });
            let (cpu, latencies) = load(&node);
            stop.store(true, SeqCst);
            storm.into_iter().for_each(|storm| storm.join().unwrap());
            println!(
                "round {round}, {case:<6}: {cpu:.1} us CPU per request, p50 {} us, p99 {} us, max {} us, {} KiB",
                latencies.value_at_quantile(0.5),
                latencies.value_at_quantile(0.99),
                latencies.max(),
                resident_kib(node.child.id())
            );
            drop((node, executor));
        }
    }
}
