//! What the fleet's part costs a node that works: off, on, and in a storm, in one run. Not in CI:
//!
//!     cargo test --release -p madderpoint-node --test fleet_cost -- --ignored --nocapture

use hdrhistogram::Histogram;
use madderpoint_standins::load::rid;
use madderpoint_standins::peers::{nobody, unix_ms};
use madderpoint_standins::program::{Node, Program, told};
use madderpoint_standins::wire;
use madderpoint_standins::worker::Worker;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: Program = Program { exe: env!("CARGO_BIN_EXE_madderpoint"), dir: env!("CARGO_TARGET_TMPDIR") };
const REQUESTS: usize = 20_000;
const ROUNDS: usize = 3;

fn ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn free_port() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A node with its kernel; with its place in a fleet if it has one.
fn start(name: &str, fleet: Option<(SocketAddr, SocketAddr)>) -> (Node, Worker) {
    let worker = Worker::start();
    let config = told(worker.address, nobody(), nobody(), 1024).replace("\"n3\"", &format!("\"{name}\""));
    let mut arguments = Vec::new();
    let settings = fleet.map(|(bind, seed)| {
        let keys = PROGRAM.file("keys", &"07".repeat(32));
        let text = format!(
            "<translator version=\"1\"><fleet name=\"f\" keys=\"{}\" bind=\"{bind}\"><seed address=\"{seed}\"/></fleet></translator>",
            keys.display()
        );
        PROGRAM.file("xml", &text).display().to_string()
    });
    if let Some(settings) = &settings {
        arguments.extend(["--settings", settings]);
    }
    (Node::started(PROGRAM, &config, &arguments), worker)
}

/// Asks one after the other; gives CPU microseconds a request and the latencies in microseconds.
fn load(node: &Node) -> (f64, Histogram<u64>) {
    let mut dispatcher = node.connect();
    while dispatcher.ping() != "200" {}
    let mut stream = TcpStream::connect(node.listen).unwrap();
    stream.set_nodelay(true).unwrap();
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 10_000_000, 3).unwrap();
    let (mut come, mut open, mut buffer) = (Vec::new(), BTreeMap::new(), [0; 4096]);
    let before = ticks(node.child.id());
    for _ in 0..REQUESTS {
        let (id, arrived) = (rid(), unix_ms());
        let request = wire::request(1, &wire::call("/call/read", &id, &arrived), b"body");
        let begun = Instant::now();
        stream.write_all(&request).unwrap();
        while wire::answers(&mut come, &mut open).is_empty() {
            let n = stream.read(&mut buffer).unwrap();
            assert!(n > 0, "the connection ended");
            come.extend_from_slice(&buffer[..n]);
        }
        latencies.record(begun.elapsed().as_micros() as u64).unwrap();
    }
    let cpu = (ticks(node.child.id()) - before) as f64 * 10_000.0 / REQUESTS as f64;
    (cpu, latencies)
}

#[test]
#[ignore = "a measurement of about a minute"]
fn cost_of_the_fleet_off_on_and_in_a_storm() {
    let seed = free_port();
    let others: Vec<(Node, Worker)> = (0..5)
        .map(|n| start(&format!("m{n}"), Some((if n == 0 { seed } else { free_port() }, seed))))
        .collect();
    let own = free_port();
    for round in 0..ROUNDS {
        for case in ["off", "on", "storm"] {
            let (node, worker) = start("n9", (case != "off").then_some((own, seed)));
            thread::sleep(Duration::from_secs(2)); // so that the fleet knows it
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
                            let word = if stops { "-STOP" } else { "-CONT" };
                            std::process::Command::new("kill")
                                .args([word, &pid.to_string()])
                                .status()
                                .unwrap();
                        }
                    };
                    while !stop.load(SeqCst) {
                        // 20,000 datagrams of a stranger a second, and four of five others that stand still and go on.
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
                "round {round}, {case:<5}: {cpu:.1} us CPU a request, p50 {} us, p99 {} us, max {} us, {} KiB",
                latencies.value_at_quantile(0.5),
                latencies.value_at_quantile(0.99),
                latencies.max(),
                resident_kib(node.child.id())
            );
            drop((node, worker));
        }
    }
}
