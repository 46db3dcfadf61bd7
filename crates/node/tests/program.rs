//! Process handover under a supervisor: a new version of the program starts beside the old one on
//! the same listening socket, the node returns to the last good version if the new one does not
//! serve or crashes, and the node continues to serve when the process or the supervisor is killed.

use madderpoint_test_harness::checker::Checker;
use madderpoint_test_harness::executor::Executor;
use madderpoint_test_harness::load::{self, LoadRequest, LoadShape};
use madderpoint_test_harness::peers::unused_address;
use madderpoint_test_harness::program::{Program, node_config};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::os::unix::fs::{PermissionsExt, symlink};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

const EXE: &str = env!("CARGO_BIN_EXE_madderpoint");
const PROGRAM: Program = Program {
    exe: EXE,
    dir: env!("CARGO_TARGET_TMPDIR"),
};
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A node under a supervisor, its executor, and the directory with the supervisor's versions.
struct SupervisedNode {
    supervisor: Child,
    log: Receiver<String>,
    lines: Vec<String>,
    listen: SocketAddr,
    executor: Executor,
    programs: PathBuf,
    config: PathBuf,
    settings: PathBuf,
    at: SocketAddr,
    name: String,
}

/// Returns a loopback address with a port that is free at this moment.
fn free_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Creates the directory of a version, with the program itself or a shell script in its place.
fn version(programs: &Path, name: &str, script: Option<&str>) {
    let dir = programs.join(name);
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("madderpoint");
    match script {
        None => symlink(EXE, &file).unwrap(),
        Some(text) => {
            std::fs::write(&file, format!("#!/bin/sh\n{text}\n")).unwrap();
            std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o755)).unwrap();
        }
    }
}

impl SupervisedNode {
    /// Starts a fleet of one node.
    fn start(least: &str) -> SupervisedNode {
        SupervisedNode::fleet(1, least, "").pop().unwrap()
    }

    /// Starts a fleet, each node under its own supervisor, with `stages` before the last rollout
    /// stage; `least` is the minimum duration of the last stage.
    fn fleet(nodes: usize, least: &str, stages: &str) -> Vec<SupervisedNode> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let name = format!("under-{}-{}", std::process::id(), NEXT.fetch_add(1, SeqCst));
        let dir = PathBuf::from(PROGRAM.dir).join(name);
        let _ = std::fs::remove_dir_all(&dir);
        let keys = PROGRAM.file("keys", &"07".repeat(32));
        let bind = || {
            std::net::UdpSocket::bind("127.0.0.1:0")
                .unwrap()
                .local_addr()
                .unwrap()
        };
        let addresses: Vec<SocketAddr> = (0..nodes).map(|_| bind()).collect();
        let seeds: String = addresses
            .iter()
            .map(|at| format!("<seed address=\"{at}\"/>"))
            .collect();
        let arbiters: String = (0..nodes)
            .map(|n| format!("<arbiter name=\"n{n}\"/>"))
            .collect();
        let text = format!(
            "<translator version=\"1\" number=\"1\"><fleet name=\"f\" keys=\"{}\">{seeds}{arbiters}</fleet>\
             <rollout dir=\"{}\" of-zone=\"0.7\">{stages}<stage share=\"1\" least=\"{least}\" sample=\"1\" spread=\"0s\"/>\
             </rollout></translator>",
            keys.display(),
            dir.join("versions").display()
        );
        let settings = PROGRAM.file("xml", &text);
        let programs = dir.join("programs");
        version(&programs, "1", None);
        let mut all: Vec<SupervisedNode> = Vec::new();
        for (n, at) in addresses.into_iter().enumerate() {
            let (name, executor, listen) =
                (format!("n{n}"), Executor::start_for_many(), free_address());
            let config = node_config(executor.address, unused_address(), unused_address(), 1024);
            let config = config
                .replace("127.0.0.1:0", &listen.to_string())
                .replace("\"n3\"", &format!("\"{name}\""));
            let config = PROGRAM.config(&config);
            let (supervisor, log) =
                SupervisedNode::start_supervisor(&programs, &config, &settings, at);
            let (settings, programs) = (settings.clone(), programs.clone());
            let lines = Vec::new();
            all.push(SupervisedNode {
                supervisor,
                log,
                lines,
                listen,
                executor,
                programs,
                config,
                settings,
                at,
                name,
            });
        }
        for node in &mut all {
            node.wait_for_log("version 1 ");
            node.wait_for_log(" serves");
        }
        all
    }

    fn start_supervisor(
        programs: &Path,
        config: &Path,
        settings: &Path,
        at: SocketAddr,
    ) -> (Child, Receiver<String>) {
        let state = programs.with_file_name("state");
        let mut supervisor = Command::new(EXE)
            .args(["run-under", "--start", "1", "--programs"])
            .arg(programs)
            .arg("--state")
            .arg(state)
            .args(["--", "serve", "--settings"])
            .arg(settings)
            .env("PROXY_CONFIG", config)
            .env("MADDERPOINT_FLEET_BIND", at.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = BufReader::new(supervisor.stderr.take().unwrap());
        let (lines, log) = mpsc::channel();
        thread::spawn(move || {
            stderr
                .lines()
                .map_while(Result::ok)
                .try_for_each(|line| lines.send(line))
        });
        (supervisor, log)
    }

    /// Waits for a log line that contains `what`, from the supervisor or any of its processes, and
    /// returns the line.
    fn wait_for_log(&mut self, what: &str) -> String {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self
                .log
                .recv_timeout(until.saturating_duration_since(Instant::now()))
            {
                Ok(line) => {
                    self.lines.push(line.clone());
                    if line.contains(what) {
                        return line;
                    }
                }
                Err(e) => panic!("{what:?} was not logged: {e}\n{}", self.lines.join("\n")),
            }
        }
    }

    /// Runs a `rollout` command about the program; returns its exit code and output.
    fn program_rollout(&self, arguments: &[&str]) -> (Option<i32>, String) {
        self.rollout(&[arguments, &["--program"]].concat())
    }

    /// Runs a `rollout` command; returns its exit code and output.
    fn rollout(&self, arguments: &[&str]) -> (Option<i32>, String) {
        let at = self.at.to_string();
        let settings = self.settings.display().to_string();
        let output = Command::new(EXE)
            .arg("rollout")
            .args(arguments)
            .args(["--settings", &settings, "--at", &at])
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8([output.stdout, output.stderr].concat()).unwrap(),
        )
    }

    /// Offers a version, and repeats the command until it succeeds, because the process that
    /// answers the fleet's datagrams may be replaced at this moment.
    fn offer(&self, name: &str) -> String {
        let dir = self.programs.join(name).display().to_string();
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let (code, text) = self.program_rollout(&["start", &dir]);
            if code == Some(0) || Instant::now() > until {
                return text;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the process ids of the program from the file that the supervisor writes.
    fn processes(&self) -> Vec<u32> {
        let file = self
            .programs
            .with_file_name("state")
            .join(&self.name)
            .join("processes");
        let text = std::fs::read_to_string(file).unwrap_or_default();
        text.lines()
            .filter_map(|line| line.split_once(' ')?.0.parse().ok())
            .collect()
    }

    fn signal(pid: u32, name: &str) {
        assert!(
            Command::new("kill")
                .args([name, &pid.to_string()])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Sends requests without a pause while `during` runs; asserts that each is answered once and
    /// in time, and none is executed twice. Returns the number of answers with status 200.
    fn under_load(&mut self, during: impl FnOnce(&mut SupervisedNode)) -> usize {
        self.measured_under_load(during).0
    }

    /// Like [`Self::under_load`]; also returns the latencies that one additional client measured,
    /// each with the time at which its request was sent.
    fn measured_under_load(
        &mut self,
        during: impl FnOnce(&mut SupervisedNode),
    ) -> (usize, Vec<(Instant, Duration)>) {
        self.executor.forget();
        let (checker, stop) = (Mutex::new(Checker::default()), AtomicBool::new(false));
        let (listen, executor) = (self.listen, self.executor.clone());
        let latencies = thread::scope(|scope| {
            let measuring = scope.spawn(|| measure(listen, &checker, &stop));
            let load = scope.spawn(|| {
                let request = |conn: usize, no: usize| {
                    LoadRequest::of(["/call/read", "/call/pay"][(conn + no) % 2])
                };
                load::run(
                    listen,
                    LoadShape {
                        connections: 4,
                        open: 1,
                        requests_per_connection: usize::MAX,
                    },
                    &checker,
                    &stop,
                    request,
                );
            });
            let stop_guard = StopOnDrop(&stop);
            during(self);
            drop(stop_guard);
            load.join().unwrap();
            measuring.join().unwrap()
        });
        let statuses = checker
            .into_inner()
            .unwrap()
            .verdict(&executor.started(), Duration::from_secs(4));
        let statuses =
            statuses.unwrap_or_else(|wrong| panic!("{wrong:#?}\n{}", self.lines.join("\n")));
        assert!(
            statuses
                .keys()
                .all(|status| status == "200" || status == "429"),
            "{statuses:?}"
        );
        (statuses["200"], latencies)
    }

    fn stop_and_expect_success(mut self) {
        SupervisedNode::signal(self.supervisor.id(), "-TERM");
        assert!(self.supervisor.wait().unwrap().success());
        assert!(self.processes().is_empty());
    }
}

impl Drop for SupervisedNode {
    fn drop(&mut self) {
        let _ = self.supervisor.kill();
        let _ = self.supervisor.wait();
        for pid in self.processes() {
            let _ = Command::new("kill")
                .args(["-KILL", &pid.to_string()])
                .status();
        }
    }
}

/// A good version replaces the previous one under load, and an operator command rolls it back; no
/// request is lost or executed twice.
#[test]
fn a_good_version_replaces_the_previous_one_without_losing_requests() {
    let mut node = SupervisedNode::start("1s");
    version(&node.programs, "2", None);
    let answered = node.under_load(|node| {
        let text = node.offer("2");
        assert!(text.contains("change "), "{text}");
        node.wait_for_log("starts beside the old one");
        node.wait_for_log("is told to leave");
        node.wait_for_log("has left");
        node.wait_for_log("is good, and the one to start on");
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let (code, text) = node.program_rollout(&["status"]);
            if code == Some(0) && text.contains("done") && text.contains("1 run 2") {
                break;
            }
            assert!(Instant::now() < until, "{text}\n{}", node.lines.join("\n"));
            thread::sleep(Duration::from_millis(100));
        }
        let (code, text) = node.program_rollout(&["back", "--why", "test of a rollback"]);
        assert_eq!(code, Some(0), "{text}");
        node.wait_for_log("version 1 ");
        node.wait_for_log("is told to leave");
        node.wait_for_log("has left");
    });
    assert!(answered > 500, "{answered}");
    node.stop_and_expect_success();
}

/// One version exits at once and one crashes on trial: each time the node continues with the last
/// good version. A version that starts but never serves is not tested here.
#[test]
fn the_last_good_version_replaces_one_that_exits_or_crashes() {
    let mut node = SupervisedNode::start("20s");
    version(&node.programs, "2", Some("exit 3"));
    version(
        &node.programs,
        "3",
        Some(&format!("exec timeout -s KILL 4 {EXE} \"$@\"")),
    );
    let answered = node.under_load(|node| {
        node.offer("2");
        node.wait_for_log("did not come to serve: it ended before it served");
        node.wait_for_log("can't be run");
        node.offer("3");
        node.wait_for_log("is told to leave");
    });
    assert!(answered > 200, "{answered}");
    node.wait_for_log("died, ");
    node.wait_for_log("died on trial here, started on the last good one");
    node.wait_for_log("version 1 ");
    node.wait_for_log("serves");
    assert!(node.under_load(|_| thread::sleep(Duration::from_millis(500))) > 50);
    node.stop_and_expect_success();
}

/// A version that serves but throttles requests starts on one of three nodes; the canary analysis
/// detects it from the answers to clients, and the version is rolled back.
#[test]
fn a_worse_version_is_rolled_back_after_running_on_one_of_three_nodes() {
    let stages = r#"<stage share="one" least="2s" sample="100" spread="0s"/>"#;
    let mut fleet = SupervisedNode::fleet(3, "2s", stages);
    // The program with its own settings file, whose rule throttles all reads.
    let text = std::fs::read_to_string(&fleet[0].settings).unwrap();
    let rules = "<rules><rule name=\"worse\"><when>operation == \"read\"</when><throttle reason=\"worse\"/></rule></rules>";
    let worse = PROGRAM.file(
        "xml",
        &text.replace("number=\"1\">", &format!("number=\"1\">{rules}")),
    );
    let (worse, other) = (worse.display(), fleet[0].programs.with_file_name("other"));
    let script = format!(
        "MADDERPOINT_ROLLOUT_DIR={} exec {EXE} serve --settings {worse}",
        other.display()
    );
    version(&fleet[0].programs, "2", Some(&script));
    let (checkers, stop) = (
        [0, 1, 2].map(|_| Mutex::new(Checker::default())),
        AtomicBool::new(false),
    );
    thread::scope(|scope| {
        let stop_guard = StopOnDrop(&stop);
        for (node, checker) in fleet.iter().zip(&checkers) {
            let (listen, stop) = (node.listen, &stop);
            scope.spawn(move || {
                while !stop.load(SeqCst) {
                    load::run(
                        listen,
                        LoadShape {
                            connections: 2,
                            open: 1,
                            requests_per_connection: 1,
                        },
                        checker,
                        stop,
                        |conn, _| LoadRequest::of(["/call/read", "/call/book"][conn]),
                    );
                    thread::sleep(Duration::from_millis(15));
                }
            });
        }
        // Load before the rollout, so that the analysis has counts for comparison.
        thread::sleep(Duration::from_secs(12));
        let text = fleet[0].offer("2");
        assert!(text.contains("change "), "{text}");
        let until = Instant::now() + WAIT_TIMEOUT;
        let ended = loop {
            let (_, text) = fleet[0].program_rollout(&["status"]);
            if text.contains(", back") || Instant::now() > until {
                break text;
            }
            thread::sleep(Duration::from_millis(200));
        };
        assert!(ended.contains("throttled"), "{ended}");
        let starts_of_version_2 = |node: &mut SupervisedNode| {
            while let Ok(line) = node.log.try_recv() {
                node.lines.push(line);
            }
            node.lines
                .iter()
                .filter(|line| line.contains("version 2 ") && line.contains("serves, "))
                .count()
        };
        assert_eq!(
            fleet.iter_mut().map(starts_of_version_2).sum::<usize>(),
            1,
            "it served at one node: {ended}"
        );
        let until = Instant::now() + WAIT_TIMEOUT;
        while !fleet[0].program_rollout(&["status"]).1.contains("3 run 1") {
            assert!(
                Instant::now() < until,
                "{}",
                fleet[0].program_rollout(&["status"]).1
            );
            thread::sleep(Duration::from_millis(200));
        }
        drop(stop_guard);
    });
    for (node, checker) in fleet.iter().zip(checkers) {
        let verdict = checker
            .into_inner()
            .unwrap()
            .verdict(&node.executor.started(), Duration::from_secs(4));
        let statuses =
            verdict.unwrap_or_else(|wrong| panic!("{wrong:#?}\n{}", node.lines.join("\n")));
        assert!(statuses["200"] > 500, "{statuses:?}");
    }
    fleet
        .into_iter()
        .for_each(SupervisedNode::stop_and_expect_success);
}

/// A change of settings under load; docs/design/rollout.md has the measured latencies.
#[test]
fn a_change_of_settings_does_not_delay_requests() {
    let mut node = SupervisedNode::start("1s");
    let text = std::fs::read_to_string(&node.settings).unwrap();
    let rules = "<rules><rule name=\"r\"><when>operation == \"read\"</when><give class=\"c\"/></rule></rules>";
    let next = PROGRAM.file(
        "xml",
        &text.replace("number=\"1\">", &format!("number=\"2\">{rules}")),
    );
    let times = std::env::var("MADDERPOINT_TIMES")
        .ok()
        .and_then(|times| times.parse().ok())
        .unwrap_or(3);
    let mut start = Instant::now();
    let (answered, latencies) = node.measured_under_load(|node| {
        thread::sleep(Duration::from_millis(if times > 10 {
            60_000
        } else {
            1000
        }));
        start = Instant::now();
        let (code, text) = node.rollout(&["start", &next.display().to_string()]);
        assert_eq!(code, Some(0), "{text}");
        node.wait_for_log("settings: version 2 ");
        node.wait_for_log("is good, and the one to start on");
    });
    let latencies_of = |during: bool| {
        latencies
            .iter()
            .filter(move |(sent, _)| (*sent >= start) == during)
            .map(|(_, latency)| *latency)
    };
    println!(
        "{answered} answered; change of settings: p99 {:?} before, {:?} during, max {:?} and {:?}",
        quantile(latencies_of(false), 0.99),
        quantile(latencies_of(true), 0.99),
        quantile(latencies_of(false), 1.0),
        quantile(latencies_of(true), 1.0)
    );
    assert!(
        quantile(latencies_of(true), 0.99) < Duration::from_secs(1),
        "p99 latency stays below 1 s during the change"
    );
    node.stop_and_expect_success();
}

/// Sends requests one after the other until `stop` is set; returns the time at which each was sent
/// and its latency.
fn measure(
    listen: SocketAddr,
    checker: &Mutex<Checker>,
    stop: &AtomicBool,
) -> Vec<(Instant, Duration)> {
    let mut all = Vec::new();
    while !stop.load(SeqCst) {
        let sent = Instant::now();
        load::run(
            listen,
            LoadShape {
                connections: 1,
                open: 1,
                requests_per_connection: 1,
            },
            checker,
            &AtomicBool::new(false),
            |_, _| LoadRequest::of("/call/read"),
        );
        all.push((sent, sent.elapsed()));
        thread::sleep(Duration::from_millis(2));
    }
    all
}

/// Sets the flag on drop, so that the load threads stop even if an assertion fails.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, SeqCst);
    }
}

fn quantile(durations: impl Iterator<Item = Duration>, quantile: f64) -> Duration {
    let mut all: Vec<Duration> = durations.collect();
    all.sort();
    all.get(((all.len() as f64 * quantile) as usize).min(all.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

/// Repeated process handovers under load; docs/design/rollout.md has the measured latencies. The
/// environment variable MADDERPOINT_TIMES sets their number, 3 by default.
#[test]
fn handovers_lose_no_requests_and_cost_little_latency() {
    let times = std::env::var("MADDERPOINT_TIMES")
        .ok()
        .and_then(|times| times.parse().ok())
        .unwrap_or(3);
    let mut node = SupervisedNode::start("1s");
    let (mut start, mut durations) = (Instant::now(), Vec::new());
    let (answered, latencies) = node.measured_under_load(|node| {
        thread::sleep(Duration::from_millis(if times > 10 {
            60_000
        } else {
            1000
        }));
        start = Instant::now();
        for _ in 0..times {
            let since = Instant::now();
            SupervisedNode::signal(node.supervisor.id(), "-USR2");
            node.wait_for_log("is told to leave");
            durations.push(since.elapsed());
            node.wait_for_log("has left");
        }
    });
    println!("{answered} answered over {times} handovers");
    let latencies_of = |during: bool| {
        latencies
            .iter()
            .filter(move |(sent, _)| (*sent >= start) == during)
            .map(|(_, latency)| *latency)
    };
    println!(
        "new process serves after {:?} at the median; p50 {:?} before, {:?} during; p99 {:?} before, {:?} during; max {:?} and {:?}",
        quantile(durations.iter().copied(), 0.5),
        quantile(latencies_of(false), 0.5),
        quantile(latencies_of(true), 0.5),
        quantile(latencies_of(false), 0.99),
        quantile(latencies_of(true), 0.99),
        quantile(latencies_of(false), 1.0),
        quantile(latencies_of(true), 1.0)
    );
    assert!(
        quantile(latencies_of(true), 0.99) < Duration::from_secs(1),
        "p99 latency stays below 1 s during a handover"
    );
    node.stop_and_expect_success();
}

/// A killed process is restarted by the supervisor. When the supervisor is killed, the process
/// continues to serve, and another supervisor takes over without a gap.
#[test]
fn the_node_serves_after_its_process_or_the_supervisor_is_killed() {
    let mut node = SupervisedNode::start("1s");
    let first = node.processes();
    assert_eq!(first.len(), 1);
    SupervisedNode::signal(first[0], "-KILL");
    node.wait_for_log("died, ");
    node.wait_for_log("serves");
    let second = node.processes();
    assert!(second.len() == 1 && second != first);
    node.supervisor.kill().unwrap();
    node.supervisor.wait().unwrap();
    assert!(node.under_load(|_| thread::sleep(Duration::from_millis(500))) > 50);
    let (supervisor, log) =
        SupervisedNode::start_supervisor(&node.programs, &node.config, &node.settings, node.at);
    (node.supervisor, node.log) = (supervisor, log);
    node.wait_for_log("previous_processes=1");
    node.wait_for_log("process of the previous supervisor is told to drain");
    let until = Instant::now() + WAIT_TIMEOUT;
    while PathBuf::from(format!("/proc/{}", second[0])).exists() {
        assert!(
            Instant::now() < until,
            "the process of the previous supervisor did not exit"
        );
        thread::sleep(Duration::from_millis(20));
    }
    assert!(node.under_load(|_| thread::sleep(Duration::from_millis(500))) > 50);
    node.stop_and_expect_success();
}
