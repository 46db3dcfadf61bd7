//! The program with a file of rules, on sockets: what rules give is seen at the executor's wire,
//! throttles carry their pause, reloads under load lose nothing, and every request gets one final
//! answer.

use madderpoint_test_harness::checker::Checker;
use madderpoint_test_harness::executor::Executor;
use madderpoint_test_harness::load::{self, LoadRequest, LoadShape};
use madderpoint_test_harness::peers::{unix_ms, unused_address};
use madderpoint_test_harness::program::{Node, Program, node_config};
use madderpoint_test_harness::wire;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;

const PROGRAM: Program = Program {
    exe: env!("CARGO_BIN_EXE_madderpoint"),
    dir: env!("CARGO_TARGET_TMPDIR"),
};
/// The client timeout of all operations here.
const TIMEOUT: Duration = Duration::from_secs(3);

fn file(rules: &str) -> PathBuf {
    PROGRAM.file("xml", &whole(rules))
}

fn whole(rules: &str) -> String {
    format!("<translator version=\"1\">\n<rules>\n{rules}\n</rules>\n</translator>\n")
}

/// A node with rules, and the executor that works for it.
fn node(rules: &Path) -> (Node, Executor) {
    let worker = Executor::start();
    let config = node_config(worker.address, unused_address(), unused_address(), 1024).replace(
        "\"RetryAfter\": false, \"MaxRetryAfter\": 0.0",
        "\"RetryAfter\": true, \"MaxRetryAfter\": 2.0",
    );
    let node = Node::start_with_config(PROGRAM, &config, &["--settings", rules.to_str().unwrap()]);
    let mut balancer = node.connect();
    while balancer.ping() != "200" {}
    (node, worker)
}

const RULES: &str = r#"
<bucket name="site" rate="5/s" burst="5"/>
<rule name="denied"><when>params.HTTP_X_SITE == "closed"</when><error status="403" reason="site is closed"/></rule>
<rule name="book"><when>script.startsWith("/old/book/")</when>
  <give operation="book" class="writes"><key>script.part("/", 3)</key></give></rule>
<rule name="limited"><when>has(params.HTTP_X_SITE)</when>
  <give class="reads"><limit bucket="site">params.HTTP_X_SITE</limit></give></rule>
<rule name="near"><when>script == "/who" &amp;&amp; caller.address in net("127.0.0.0/8")</when>
  <error status="418" reason="from here"/></rule>
<rule name="old"><when>script == "/old/read"</when><give operation="read"/></rule>
"#;

#[test]
fn what_rules_give_is_seen_at_the_executor_and_in_the_answers() {
    let (node, worker) = node(&file(RULES));
    let mut balancer = node.connect();
    let mut ask = |path: &str, site: Option<&str>| {
        let (rid, arrived) = (load::next_request_id(), unix_ms());
        let mut params = wire::call_params(path, &rid, &arrived);
        params.extend(site.map(|site| ("HTTP_X_SITE", site)));
        balancer.ask(&wire::request(1, &params, b"body"))
    };
    assert_eq!(ask("/old/read", None).status, "200");
    assert_eq!(worker.wait_started(1)[0].route, "read");
    let first = ask("/old/book/k1", None);
    let again = ask("/old/book/k1", None);
    assert_eq!(
        (&first.status[..], first.body == again.body),
        ("200", true),
        "a repeat has the first one's result"
    );
    assert_eq!(worker.started().len(), 2);
    assert_eq!(worker.started()[1].route, "book");
    let answer = ask("/call/read", Some("closed"));
    assert_eq!(
        (&answer.status[..], &answer.body[..]),
        ("403", &b"site is closed"[..])
    );
    // Five at once, and then the pause tells when there is room.
    let answers: Vec<_> = (0..6).map(|_| ask("/call/read", Some("7"))).collect();
    assert!(
        answers[..5].iter().all(|a| a.status == "200"),
        "{answers:?}"
    );
    let pause: u64 = answers[5].fields["X-Pushback-Ms"].parse().unwrap();
    assert!(
        answers[5].status == "429" && (1..=200).contains(&pause),
        "{:?}",
        answers[5]
    );
    thread::sleep(Duration::from_millis(pause)); // as a caller that heeds it
    assert_eq!(ask("/call/read", Some("7")).status, "200");
    assert_eq!(ask("/call/read", Some("8")).status, "200");
    assert_eq!(
        ask("/who", None).status,
        "418",
        "where a caller connects from is known"
    );
    assert_eq!(ask("/nowhere", None).status, "404");
}

#[test]
fn under_load_with_reload_after_reload_every_request_gets_one_answer() {
    let settings = file(RULES);
    let (mut node, worker) = node(&settings);
    let (checker, stop) = (Mutex::new(Checker::default()), AtomicBool::new(false));
    let (mut reloads, listen) = (0, node.listen);
    thread::scope(|scope| {
        let loading = scope.spawn(|| {
            load::run(
                listen,
                LoadShape {
                    connections: 6,
                    open: 3,
                    requests_per_connection: 1200,
                },
                &checker,
                &stop,
                |conn, number| {
                    let mut ask = LoadRequest::of(
                        ["/call/read", "/old/read", "/old/read", "/call/pay"][number % 4],
                    );
                    if number % 5 == 0 {
                        // Each key comes from three connections, and must run once.
                        let key = format!("k{}-{number}", conn / 3);
                        ask.path = format!("/old/book/{key}");
                        ask.key = Some(key);
                    } else if number % 7 == 0 {
                        ask.path = "/call/read".into();
                        ask.params.push((
                            "HTTP_X_SITE".into(),
                            ["7", "8", "closed"][number % 3].into(),
                        ));
                    }
                    ask
                },
            );
        });
        // Every other file is broken in another way; what follows the good ones is logged each
        // time.
        let broken = [
            "<translator",
            "<rules/>",
            "<translator version=\"1\"><rules><rule name=\"x\"/></rules></translator>",
        ];
        // No more lines than the log takes in a second, so that none is left out.
        while !loading.is_finished() && reloads < 16 {
            std::fs::write(&settings, broken[reloads / 2 % 3]).unwrap();
            node.signal("-HUP");
            node.wait_for_log("new settings rejected: the current ones stay in force");
            std::fs::write(&settings, whole(RULES)).unwrap();
            node.signal("-HUP");
            node.wait_for_log("rules in force rules=5");
            reloads += 2;
        }
    });
    assert!(reloads >= 4, "{reloads} reloads came in time");
    node.terminate();
    assert!(node.wait().success());
    let statuses = checker
        .into_inner()
        .unwrap()
        .verdict(&worker.started(), TIMEOUT)
        .unwrap_or_else(|e| panic!("{e:#?}"));
    let total: usize = statuses.values().sum();
    assert_eq!(total, 6 * 1200, "{statuses:?}");
    assert!(
        statuses["200"] > 100 && statuses["403"] > 100 && statuses["429"] > 100,
        "{statuses:?}"
    );
    assert!(
        !statuses.contains_key("404"),
        "no reload left a moment without rules: {statuses:?}"
    );
}

#[test]
fn a_drain_under_load_answers_all_that_was_read() {
    let (mut node, worker) = node(&file(RULES));
    let (checker, stop) = (Mutex::new(Checker::default()), AtomicBool::new(false));
    worker.hold(true);
    let listen = node.listen;
    thread::scope(|scope| {
        let loading = scope.spawn(|| {
            load::run(
                listen,
                LoadShape {
                    connections: 4,
                    open: 4,
                    requests_per_connection: 4,
                },
                &checker,
                &stop,
                |_, _| LoadRequest::of("/old/read"),
            )
        });
        worker.wait_started(1);
        node.terminate();
        node.wait_for_log("drain begins");
        worker.hold(false);
        loading.join().unwrap();
    });
    assert!(node.wait().success());
    let statuses = checker
        .into_inner()
        .unwrap()
        .verdict(&worker.started(), TIMEOUT)
        .unwrap_or_else(|e| panic!("{e:#?}"));
    assert_eq!(statuses.values().sum::<usize>(), 16, "{statuses:?}");
}

#[test]
fn a_file_that_is_bad_at_the_start_is_shown_whole_and_nothing_starts() {
    let worker = Executor::start();
    let config = PROGRAM.config(&node_config(
        worker.address,
        unused_address(),
        unused_address(),
        1024,
    ));
    let bad = file(
        "<rule name=\"a\"><when>operation == \"gone\"</when></rule>\n<rule name=\"b\"><when>1 +</when></rule>",
    );
    let output = PROGRAM
        .start(&config)
        .args(["serve", "--settings", bad.to_str().unwrap()])
        .output()
        .unwrap();
    let log = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        log.contains(":3:")
            && log
                .contains("the settings have no operation 'gone'; expected one of read, book, pay"),
        "{log}"
    );
    assert!(
        log.contains(":4:") && log.contains("unexpected the end"),
        "{log}"
    );
}

fn call(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = Command::new(PROGRAM.exe).args(arguments).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[test]
fn the_sub_commands_check_explain_test_and_measure() {
    let good = file(&format!(
        "{RULES}<case name=\"booked\"><request script=\"/old/book/k9\"/><expect rule=\"book\" operation=\"book\" key=\"k9\"/></case>\
        <case name=\"wrong\"><request script=\"/old/read\"/><expect rule=\"book\"/></case>"
    ));
    let config = PROGRAM.config(&node_config(
        unused_address(),
        unused_address(),
        unused_address(),
        1024,
    ));
    let (good, config) = (good.to_str().unwrap(), config.to_str().unwrap());
    let (code, out, _) = call(&["check", good, "--config", config]);
    assert!(
        code == Some(0) && out.contains("good; 5 rules, 1 buckets, 2 cases"),
        "{out}"
    );
    let (code, out, _) = call(&["check", good, "--format", "json"]);
    let told: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (code, &told["rules"], &told["good"]),
        (Some(0), &5.into(), &true.into())
    );
    let (code, out, _) = call(&["rules", "test", good]);
    assert_eq!(code, Some(1));
    assert!(
        out.contains("ok: booked") && out.contains("FAILED: wrong: rule is old, not book"),
        "{out}"
    );
    let request = PROGRAM.file(
        "json",
        r#"{"script": "/old/book/k9", "params": {"HTTP_X_SITE": "open"}}"#,
    );
    let (code, out, _) = call(&[
        "rules",
        "explain",
        good,
        "--request",
        request.to_str().unwrap(),
        "--format",
        "json",
    ]);
    let told: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (code, &told["given"]["rule"], &told["given"]["key"]),
        (Some(0), &"book".into(), &"k9".into())
    );
    assert_eq!(
        told["rules"][0]["failed"]["part"],
        "params.HTTP_X_SITE == \"closed\""
    );
    let (code, out, _) = call(&["rules", "bench", good, "--rounds", "50"]);
    assert!(
        code == Some(0) && out.contains("index") && out.contains("scan"),
        "{out}"
    );
    for wrong in [
        &["rules", "explain", good][..],
        &["check"],
        &["check", "/nowhere.xml"],
        &["dance"],
    ] {
        assert_eq!(call(wrong).0, Some(2), "{wrong:?}");
    }
    let (_, help, _) = call(&["--help"]);
    assert!(help.contains("Example"), "{help}");
}

/// CPU time of a process so far, in clock ticks of a hundredth of a second.
fn ticks(pid: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

/// Not a part of CI: what a request costs the whole program with the dearest rule that is accepted,
/// with rules that classify, and without. Run: cargo test --release -p madderpoint-node --test
/// rules -- --ignored --nocapture
#[test]
#[ignore = "a measurement"]
fn cpu_of_a_request_with_the_most_expensive_rule_and_without() {
    let dearest = "<parameter name=\"W\" most=\"985B\"/><rule name=\"w\"><when><![CDATA[params.W.matches(\"(ab|cd)*e\")]]>\
        </when><give class=\"c\"/></rule>";
    let classify = "<bucket name=\"b\" rate=\"100000/s\" burst=\"1000\"/><rule name=\"r\"><when>operation == \"read\"</when>\
        <give operation=\"read\" class=\"c\"><limit bucket=\"b\">tenant</limit></give></rule>";
    let (requests_per_connection, connections) = (20_000, 4);
    let mut costs = [const { Vec::new() }; 3];
    for round in 0..5 {
        for (which, rules) in [None, Some(classify), Some(dearest)]
            .into_iter()
            .enumerate()
        {
            let worker = Executor::start();
            let config = node_config(worker.address, unused_address(), unused_address(), 1024);
            let path = rules.map(file);
            let arguments: Vec<&str> = path
                .iter()
                .flat_map(|path| ["--settings", path.to_str().unwrap()])
                .collect();
            let node = Node::start_with_config(PROGRAM, &config, &arguments);
            let mut balancer = node.connect();
            while balancer.ping() != "200" {}
            let before = ticks(node.child.id());
            let (checker, stop) = (Mutex::new(Checker::default()), AtomicBool::new(false));
            // A worker that remembers all runs looks through them for each; this one forgets.
            thread::scope(|scope| {
                let loading = scope.spawn(|| {
                    load::run(
                        node.listen,
                        LoadShape {
                            connections,
                            open: 4,
                            requests_per_connection,
                        },
                        &checker,
                        &stop,
                        |_, _| {
                            let mut ask = LoadRequest::of("/call/read");
                            ask.params.push(("W".into(), "abcd".repeat(246)));
                            ask
                        },
                    );
                });
                while !loading.is_finished() {
                    worker.forget();
                    thread::sleep(Duration::from_millis(5));
                }
            });
            let used = ticks(node.child.id()) - before;
            let micros = used as f64 * 10_000.0 / (requests_per_connection * connections) as f64;
            println!(
                "round {round}, {}: {micros:.1} µs a request",
                ["no rules", "classify", "dearest"][which]
            );
            costs[which].push(micros);
        }
    }
    let middle = |costs: &mut Vec<f64>| {
        costs.sort_by(f64::total_cmp);
        costs[costs.len() / 2]
    };
    let [none, classify, dearest] = costs.each_mut().map(middle);
    println!(
        "medians: no rules {none:.1}, classify {classify:.1}, dearest {dearest:.1} µs a request"
    );
}
