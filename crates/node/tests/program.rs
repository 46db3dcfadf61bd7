//! The program changed under a parent: a new one beside the old on one socket, back again if it
//! does not serve or dies, and a node that serves whatever is killed.

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

/// A node under a parent, its kernel, and the place where the parent's versions are.
struct Under {
    parent: Child,
    log: Receiver<String>,
    lines: Vec<String>,
    listen: SocketAddr,
    worker: Executor,
    programs: PathBuf,
    config: PathBuf,
    settings: PathBuf,
    at: SocketAddr,
    name: String,
}

/// Ports of loopback that nobody has at this moment.
fn free() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// A directory of a version: the program itself, or a script in its place.
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

impl Under {
    /// A fleet of one.
    fn start(least: &str) -> Under {
        Under::fleet(1, least, "").pop().unwrap()
    }

    /// A fleet of some, each node with its parent, with these stages before the last.
    fn fleet(nodes: usize, least: &str, stages: &str) -> Vec<Under> {
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
        let places: Vec<SocketAddr> = (0..nodes).map(|_| bind()).collect();
        let seeds: String = places
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
        let mut all: Vec<Under> = Vec::new();
        for (n, at) in places.into_iter().enumerate() {
            let (name, worker, listen) = (format!("n{n}"), Executor::start_for_many(), free());
            let config = node_config(worker.address, unused_address(), unused_address(), 1024);
            let config = config
                .replace("127.0.0.1:0", &listen.to_string())
                .replace("\"n3\"", &format!("\"{name}\""));
            let config = PROGRAM.config(&config);
            let (parent, log) = Under::parent(&programs, &config, &settings, at);
            let (settings, programs) = (settings.clone(), programs.clone());
            let lines = Vec::new();
            all.push(Under {
                parent,
                log,
                lines,
                listen,
                worker,
                programs,
                config,
                settings,
                at,
                name,
            });
        }
        for under in &mut all {
            under.logged("version 1 ");
            under.logged(" serves");
        }
        all
    }

    fn parent(
        programs: &Path,
        config: &Path,
        settings: &Path,
        at: SocketAddr,
    ) -> (Child, Receiver<String>) {
        let state = programs.with_file_name("state");
        let mut parent = Command::new(EXE)
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
        let stderr = BufReader::new(parent.stderr.take().unwrap());
        let (lines, log) = mpsc::channel();
        thread::spawn(move || {
            stderr
                .lines()
                .map_while(Result::ok)
                .try_for_each(|line| lines.send(line))
        });
        (parent, log)
    }

    /// Waits for a line with this in it, of the parent or of any of its processes.
    fn logged(&mut self, what: &str) -> String {
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

    fn rollout(&self, arguments: &[&str]) -> (Option<i32>, String) {
        self.changed(&[arguments, &["--program"]].concat())
    }

    fn changed(&self, arguments: &[&str]) -> (Option<i32>, String) {
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

    /// Offers a version; the fleet's part of the node may be changing hands at this moment.
    fn offer(&self, name: &str) -> String {
        let dir = self.programs.join(name).display().to_string();
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let (code, text) = self.rollout(&["start", &dir]);
            if code == Some(0) || Instant::now() > until {
                return text;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// The processes of the program that the parent has, by the file that it writes.
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

    /// Asks without a pause while something is done; all must be answered once and in time, and
    /// nothing run twice.
    fn under_load(&mut self, during: impl FnOnce(&mut Under)) -> usize {
        self.measured(during).0
    }

    /// The same, with what one caller beside measured.
    fn measured(&mut self, during: impl FnOnce(&mut Under)) -> (usize, Vec<(Instant, Duration)>) {
        self.worker.forget();
        let (checker, stop) = (Mutex::new(Checker::default()), AtomicBool::new(false));
        let (listen, worker) = (self.listen, self.worker.clone());
        let latencies = thread::scope(|scope| {
            let measuring = scope.spawn(|| measure(listen, &checker, &stop));
            let load = scope.spawn(|| {
                let ask = |conn: usize, no: usize| {
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
                    ask,
                );
            });
            let ends = Ends(&stop);
            during(self);
            drop(ends);
            load.join().unwrap();
            measuring.join().unwrap()
        });
        let statuses = checker
            .into_inner()
            .unwrap()
            .verdict(&worker.started(), Duration::from_secs(4));
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

    fn ends_well(mut self) {
        Under::signal(self.parent.id(), "-TERM");
        assert!(self.parent.wait().unwrap().success());
        assert!(self.processes().is_empty());
    }
}

impl Drop for Under {
    fn drop(&mut self) {
        let _ = self.parent.kill();
        let _ = self.parent.wait();
        for pid in self.processes() {
            let _ = Command::new("kill")
                .args(["-KILL", &pid.to_string()])
                .status();
        }
    }
}

/// A good version takes the place of the one before, under load, and back again by an order;
/// nothing is lost or run twice.
#[test]
fn a_good_version_takes_the_place_of_the_one_before_without_a_loss() {
    let mut under = Under::start("1s");
    version(&under.programs, "2", None);
    let answered = under.under_load(|under| {
        let text = under.offer("2");
        assert!(text.contains("change "), "{text}");
        under.logged("starts beside the old one");
        under.logged("is told to leave");
        under.logged("has left");
        under.logged("is good, and the one to start on");
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let (code, text) = under.rollout(&["status"]);
            if code == Some(0) && text.contains("done") && text.contains("1 run 2") {
                break;
            }
            assert!(Instant::now() < until, "{text}\n{}", under.lines.join("\n"));
            thread::sleep(Duration::from_millis(100));
        }
        let (code, text) = under.rollout(&["back", "--why", "it is late"]);
        assert_eq!(code, Some(0), "{text}");
        under.logged("version 1 ");
        under.logged("is told to leave");
        under.logged("has left");
    });
    assert!(answered > 500, "{answered}");
    under.ends_well();
}

/// One that ends at once, one that never serves in time is not waited for here, and one that dies
/// on trial: the node goes on with the last good version.
#[test]
fn a_version_that_does_not_serve_or_dies_is_followed_by_the_last_good_one() {
    let mut under = Under::start("20s");
    version(&under.programs, "2", Some("exit 3"));
    version(
        &under.programs,
        "3",
        Some(&format!("exec timeout -s KILL 4 {EXE} \"$@\"")),
    );
    let answered = under.under_load(|under| {
        under.offer("2");
        under.logged("did not come to serve: it ended before it served");
        under.logged("can't be run");
        under.offer("3");
        under.logged("is told to leave");
    });
    assert!(answered > 200, "{answered}");
    under.logged("died, ");
    under.logged("died on trial here, started on the last good one");
    under.logged("version 1 ");
    under.logged("serves");
    assert!(under.under_load(|_| thread::sleep(Duration::from_millis(500))) > 50);
    under.ends_well();
}

/// A version that serves and does worse, among three nodes: found out at one of them by what
/// callers get, and taken back.
#[test]
fn a_version_that_does_worse_is_taken_back_at_one_node_of_three() {
    let stages = r#"<stage share="one" least="2s" sample="100" spread="0s"/>"#;
    let mut fleet = Under::fleet(3, "2s", stages);
    // The program with a file of rules of its own, which throttles all reads.
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
        let ends = Ends(&stop);
        for (under, checker) in fleet.iter().zip(&checkers) {
            let (listen, stop) = (under.listen, &stop);
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
        // Counts of a while before, so that what is usual is known.
        thread::sleep(Duration::from_secs(12));
        let text = fleet[0].offer("2");
        assert!(text.contains("change "), "{text}");
        let until = Instant::now() + WAIT_TIMEOUT;
        let ended = loop {
            let (_, text) = fleet[0].rollout(&["status"]);
            if text.contains(", back") || Instant::now() > until {
                break text;
            }
            thread::sleep(Duration::from_millis(200));
        };
        assert!(ended.contains("throttled"), "{ended}");
        let of = |under: &mut Under| {
            while let Ok(line) = under.log.try_recv() {
                under.lines.push(line);
            }
            under
                .lines
                .iter()
                .filter(|line| line.contains("version 2 ") && line.contains("serves, "))
                .count()
        };
        assert_eq!(
            fleet.iter_mut().map(of).sum::<usize>(),
            1,
            "it served at one node: {ended}"
        );
        let until = Instant::now() + WAIT_TIMEOUT;
        while !fleet[0].rollout(&["status"]).1.contains("3 run 1") {
            assert!(
                Instant::now() < until,
                "{}",
                fleet[0].rollout(&["status"]).1
            );
            thread::sleep(Duration::from_millis(200));
        }
        drop(ends);
    });
    for (under, checker) in fleet.iter().zip(checkers) {
        let verdict = checker
            .into_inner()
            .unwrap()
            .verdict(&under.worker.started(), Duration::from_secs(4));
        let statuses =
            verdict.unwrap_or_else(|wrong| panic!("{wrong:#?}\n{}", under.lines.join("\n")));
        assert!(statuses["200"] > 500, "{statuses:?}");
    }
    fleet.into_iter().for_each(Under::ends_well);
}

/// A swap of settings under load; the figures are in docs/design/rollout.md.
#[test]
fn a_swap_of_settings_holds_nobody_up() {
    let mut under = Under::start("1s");
    let text = std::fs::read_to_string(&under.settings).unwrap();
    let rules = "<rules><rule name=\"r\"><when>operation == \"read\"</when><give class=\"c\"/></rule></rules>";
    let next = PROGRAM.file(
        "xml",
        &text.replace("number=\"1\">", &format!("number=\"2\">{rules}")),
    );
    let times = std::env::var("MADDERPOINT_TIMES")
        .ok()
        .and_then(|times| times.parse().ok())
        .unwrap_or(3);
    let mut began = Instant::now();
    let (answered, latencies) = under.measured(|under| {
        thread::sleep(Duration::from_millis(if times > 10 {
            60_000
        } else {
            1000
        }));
        began = Instant::now();
        let (code, text) = under.changed(&["start", &next.display().to_string()]);
        assert_eq!(code, Some(0), "{text}");
        under.logged("settings: version 2 ");
        under.logged("is good, and the one to start on");
    });
    let of = |during: bool| {
        latencies
            .iter()
            .filter(move |(sent, _)| (*sent >= began) == during)
            .map(|(_, latency)| *latency)
    };
    println!(
        "{answered} answered; a swap: p99 {:?} before, {:?} during, most {:?} and {:?}",
        quantile(of(false), 0.99),
        quantile(of(true), 0.99),
        quantile(of(false), 1.0),
        quantile(of(true), 1.0)
    );
    assert!(
        quantile(of(true), 0.99) < Duration::from_secs(1),
        "a swap holds nobody up for long"
    );
    under.ends_well();
}

/// Latencies of one caller's requests, one after the other, until it is told to stop; with when
/// each was sent.
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

/// Ends what goes on beside, also where a check fails.
struct Ends<'a>(&'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, SeqCst);
    }
}

fn quantile(of: impl Iterator<Item = Duration>, part: f64) -> Duration {
    let mut all: Vec<Duration> = of.collect();
    all.sort();
    all.get(((all.len() as f64 * part) as usize).min(all.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

/// Many renewals under load; the figures are in docs/design/rollout.md. MADDERPOINT_TIMES says how
/// many, 3 if it is not told.
#[test]
fn renewals_lose_nothing_and_cost_little() {
    let times = std::env::var("MADDERPOINT_TIMES")
        .ok()
        .and_then(|times| times.parse().ok())
        .unwrap_or(3);
    let mut under = Under::start("1s");
    let (mut began, mut took) = (Instant::now(), Vec::new());
    let (answered, latencies) = under.measured(|under| {
        thread::sleep(Duration::from_millis(if times > 10 {
            60_000
        } else {
            1000
        }));
        began = Instant::now();
        for _ in 0..times {
            let since = Instant::now();
            Under::signal(under.parent.id(), "-USR2");
            under.logged("is told to leave");
            took.push(since.elapsed());
            under.logged("has left");
        }
    });
    println!("{answered} answered over {times} renewals");
    let of = |during: bool| {
        latencies
            .iter()
            .filter(move |(sent, _)| (*sent >= began) == during)
            .map(|(_, l)| *l)
    };
    println!(
        "new one serves after {:?} at the median; p50 {:?} before, {:?} during; p99 {:?} before, {:?} during; most {:?} and {:?}",
        quantile(took.iter().copied(), 0.5),
        quantile(of(false), 0.5),
        quantile(of(true), 0.5),
        quantile(of(false), 0.99),
        quantile(of(true), 0.99),
        quantile(of(false), 1.0),
        quantile(of(true), 1.0)
    );
    assert!(
        quantile(of(true), 0.99) < Duration::from_secs(1),
        "a renewal holds nobody up for long"
    );
    under.ends_well();
}

/// The node is killed: it starts anew. The parent is killed: the node goes on, and another parent
/// takes its place without a gap.
#[test]
fn a_kill_of_either_leaves_a_node_that_serves() {
    let mut under = Under::start("1s");
    let first = under.processes();
    assert_eq!(first.len(), 1);
    Under::signal(first[0], "-KILL");
    under.logged("died, ");
    under.logged("serves");
    let second = under.processes();
    assert!(second.len() == 1 && second != first);
    under.parent.kill().unwrap();
    under.parent.wait().unwrap();
    assert!(under.under_load(|_| thread::sleep(Duration::from_millis(500))) > 50);
    let (parent, log) = Under::parent(&under.programs, &under.config, &under.settings, under.at);
    (under.parent, under.log) = (parent, log);
    under.logged("previous_processes=1");
    under.logged("process of the previous supervisor is told to drain");
    let until = Instant::now() + WAIT_TIMEOUT;
    while PathBuf::from(format!("/proc/{}", second[0])).exists() {
        assert!(
            Instant::now() < until,
            "the process of the parent before did not leave"
        );
        thread::sleep(Duration::from_millis(20));
    }
    assert!(under.under_load(|_| thread::sleep(Duration::from_millis(500))) > 50);
    under.ends_well();
}
