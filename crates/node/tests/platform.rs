//! Requirements of the platform on the process that the line `run` starts: it is one process that
//! opens only TCP sockets over IPv4, starts no other program, has no busy-waiting thread and needs
//! no settings file. Features that would break these requirements are off without a settings file.

use madderpoint_test_harness::peers::{listen, unused_address};
use madderpoint_test_harness::program::{Node, Program, node_config};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::time::{Duration, Instant};

const PROGRAM: Program = Program {
    exe: env!("CARGO_BIN_EXE_madderpoint"),
    dir: env!("CARGO_TARGET_TMPDIR"),
};

/// Counts the sockets of a process by the table in `/proc/PID/net` that lists them.
fn sockets(pid: u32) -> BTreeMap<&'static str, usize> {
    let fds = fs::read_dir(format!("/proc/{pid}/fd")).unwrap().flatten();
    let links = fds
        .filter_map(|fd| fs::read_link(fd.path()).ok())
        .map(|l| l.to_string_lossy().into_owned());
    let inodes: BTreeSet<String> = links
        .filter_map(|l| Some(l.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned()))
        .collect();
    let mut found = BTreeMap::new();
    for (table, column) in [
        ("tcp", 9),
        ("tcp6", 9),
        ("udp", 9),
        ("udp6", 9),
        ("unix", 6),
        ("raw", 9),
        ("packet", 8),
    ] {
        let text = fs::read_to_string(format!("/proc/{pid}/net/{table}")).unwrap_or_default();
        let listed = text
            .lines()
            .filter_map(|line| line.split_whitespace().nth(column));
        let count = listed.filter(|inode| inodes.contains(*inode)).count();
        if count > 0 {
            found.insert(table, count);
        }
    }
    found
}

/// Returns the CPU time in clock ticks by thread name.
fn threads(pid: u32) -> BTreeMap<String, u64> {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).unwrap().flatten();
    let mut threads = BTreeMap::new();
    for task in tasks {
        let stat = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        let (head, tail) = stat.rsplit_once(')').unwrap_or_default();
        let fields: Vec<&str> = tail.split_whitespace().collect();
        let ticks = |n: usize| {
            fields
                .get(n)
                .and_then(|f| f.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let name = head.split_once('(').map_or("", |(_, name)| name).to_owned();
        *threads.entry(name).or_default() += ticks(11) + ticks(12);
    }
    threads
}

fn children(pid: u32) -> String {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).unwrap().flatten();
    tasks
        .map(|task| fs::read_to_string(task.path().join("children")).unwrap_or_default())
        .collect()
}

#[test]
fn the_line_run_executes_the_program_without_a_settings_file() {
    let deploy = fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/balancer.toml"
    ))
    .unwrap();
    let run = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = "))
        .unwrap();
    assert_eq!(run, "\"exec target/release/madderpoint\"");
}

/// The bench preloads a library into the process, which works only if the program is linked
/// dynamically against the C library.
#[test]
fn the_program_is_linked_dynamically_against_the_c_library() {
    let bytes = fs::read(PROGRAM.exe).unwrap();
    let has = |text: &[u8]| bytes.windows(text.len()).any(|w| w == text);
    assert!(has(b"ld-linux") && has(b"libc.so.6"));
}

#[test]
fn without_settings_the_program_opens_only_ipv4_tcp_starts_no_program_and_idles() {
    let (executor, registry) = (listen(), listen());
    let node = Node::start(
        PROGRAM,
        executor.local_addr().unwrap(),
        unused_address(),
        registry.local_addr().unwrap(),
        1024,
    );
    let _link =
        madderpoint_test_harness::peers::LineConnection::accept_executor_link(&executor, 0, "");
    let mut balancer = node.connect();
    while balancer.ping() != "200" {}
    let pid = node.child.id();
    // The only Unix sockets are the pair that delivers signals inside the process.
    let opened = sockets(pid);
    assert!(
        opened.keys().all(|table| ["tcp", "unix"].contains(table)),
        "{opened:?}"
    );
    assert!(
        opened["tcp"] >= 3 && opened.get("unix").copied().unwrap_or(0) <= 2,
        "{opened:?}"
    );
    assert_eq!(children(pid), "");
    let names = threads(pid);
    assert!(!names.contains_key("fleet"), "{names:?}");
    // When idle, all threads together use at most 10 % of a CPU (100 ticks are a second).
    let (before, begun) = (names.values().sum::<u64>(), Instant::now());
    std::thread::sleep(Duration::from_millis(1500));
    let took = threads(pid).values().sum::<u64>() - before;
    assert!(
        took <= 15,
        "{took} ticks in {:?}: {:?}",
        begun.elapsed(),
        threads(pid)
    );
}

/// Checks the checks above: they detect the cluster when it is configured, so they would detect it
/// in the process that `run` starts.
#[test]
fn a_configured_cluster_is_detected_by_the_same_checks() {
    let keys = PROGRAM.file("keys", &"07".repeat(32));
    let settings = format!(
        "<translator version=\"1\"><fleet name=\"f\" keys=\"{}\" bind=\"127.0.0.1:1\" advertise=\"127.0.0.1:9\"/></translator>",
        keys.display()
    );
    let port = std::net::UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let settings = PROGRAM.file(
        "xml",
        &settings.replace("127.0.0.1:1\"", &format!("{port}\"")),
    );
    let config = node_config(unused_address(), unused_address(), unused_address(), 1024);
    let node = Node::start_with_config(
        PROGRAM,
        &config,
        &["--settings", settings.to_str().unwrap()],
    );
    while !threads(node.child.id()).contains_key("fleet") {
        std::thread::yield_now();
    }
    assert_eq!(sockets(node.child.id()).get("udp"), Some(&1));
}
