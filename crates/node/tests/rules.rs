//! The program with a rules file, tested over sockets: the output of rules arrives at the executor,
//! throttled answers carry their pause, reloads under load lose no request, and every request gets
//! exactly one final answer.

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

fn settings_file(rules: &str) -> PathBuf {
    PROGRAM.file("xml", &settings_text(rules))
}

fn settings_text(rules: &str) -> String {
    format!("<translator version=\"1\">\n<rules>\n{rules}\n</rules>\n</translator>\n")
}

/// Starts a node with rules, and its executor.
fn node(rules: &Path) -> (Node, Executor) {
    let executor = Executor::start();
    let config = node_config(executor.address, unused_address(), unused_address(), 1024).replace(
        "\"RetryAfter\": false, \"MaxRetryAfter\": 0.0",
        "\"RetryAfter\": true, \"MaxRetryAfter\": 2.0",
    );
    let node = Node::start_with_config(PROGRAM, &config, &["--settings", rules.to_str().unwrap()]);
    let mut balancer = node.connect();
    while balancer.ping() != "200" {}
    (node, executor)
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
fn the_output_of_rules_reaches_the_executor_and_the_answers() {
    let (node, executor) = node(&settings_file(RULES));
    let mut balancer = node.connect();
    let mut request = |path: &str, site: Option<&str>| {
        let (rid, arrived) = (load::next_request_id(), unix_ms());
        let mut params = wire::call_params(path, &rid, &arrived);
        params.extend(site.map(|site| ("HTTP_X_SITE", site)));
        balancer.ask(&wire::request(1, &params, b"body"))
    };
    assert_eq!(request("/old/read", None).status, "200");
    assert_eq!(executor.wait_started(1)[0].route, "read");
    let first = request("/old/book/k1", None);
    let again = request("/old/book/k1", None);
    assert_eq!(
        (&first.status[..], first.body == again.body),
        ("200", true),
        "a repeated key gets the result of the first execution"
    );
    assert_eq!(executor.started().len(), 2);
    assert_eq!(executor.started()[1].route, "book");
    let answer = request("/call/read", Some("closed"));
    assert_eq!(
        (&answer.status[..], &answer.body[..]),
        ("403", &b"site is closed"[..])
    );
    // The bucket permits five requests at once; then the pause says when the next is permitted.
    let answers: Vec<_> = (0..6).map(|_| request("/call/read", Some("7"))).collect();
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
    thread::sleep(Duration::from_millis(pause)); // as a caller that obeys the pause
    assert_eq!(request("/call/read", Some("7")).status, "200");
    assert_eq!(request("/call/read", Some("8")).status, "200");
    assert_eq!(
        request("/who", None).status,
        "418",
        "rules see the address of the caller"
    );
    assert_eq!(request("/nowhere", None).status, "404");
}

#[test]
fn every_request_gets_one_answer_under_load_with_repeated_reloads() {
    let settings = settings_file(RULES);
    let (mut node, executor) = node(&settings);
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
                    let mut request = LoadRequest::of(
                        ["/call/read", "/old/read", "/old/read", "/call/pay"][number % 4],
                    );
                    if number % 5 == 0 {
                        // Three connections send each key; it must be executed once.
                        let key = format!("k{}-{number}", conn / 3);
                        request.path = format!("/old/book/{key}");
                        request.key = Some(key);
                    } else if number % 7 == 0 {
                        request.path = "/call/read".into();
                        request.params.push((
                            "HTTP_X_SITE".into(),
                            ["7", "8", "closed"][number % 3].into(),
                        ));
                    }
                    request
                },
            );
        });
        // Every other file is invalid, each time in another way; each reload is logged.
        let broken = [
            "<translator",
            "<rules/>",
            "<translator version=\"1\"><rules><rule name=\"x\"/></rules></translator>",
        ];
        // The number of reloads stays below the log's limit on lines per second, so that no line
        // is left out.
        while !loading.is_finished() && reloads < 16 {
            std::fs::write(&settings, broken[reloads / 2 % 3]).unwrap();
            node.signal("-HUP");
            node.wait_for_log("new settings rejected: the current ones stay in force");
            std::fs::write(&settings, settings_text(RULES)).unwrap();
            node.signal("-HUP");
            node.wait_for_log("rules in force rules=5");
            reloads += 2;
        }
    });
    assert!(reloads >= 4, "only {reloads} reloads took place under load");
    node.terminate();
    assert!(node.wait().success());
    let statuses = checker
        .into_inner()
        .unwrap()
        .verdict(&executor.started(), TIMEOUT)
        .unwrap_or_else(|e| panic!("{e:#?}"));
    let total: usize = statuses.values().sum();
    assert_eq!(total, 6 * 1200, "{statuses:?}");
    assert!(
        statuses["200"] > 100 && statuses["403"] > 100 && statuses["429"] > 100,
        "{statuses:?}"
    );
    assert!(
        !statuses.contains_key("404"),
        "rules were in force during all reloads: {statuses:?}"
    );
}

#[test]
fn a_drain_under_load_answers_all_requests_that_were_read() {
    let (mut node, executor) = node(&settings_file(RULES));
    let (checker, stop) = (Mutex::new(Checker::default()), AtomicBool::new(false));
    executor.hold(true);
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
        executor.wait_started(1);
        node.terminate();
        node.wait_for_log("drain begins");
        executor.hold(false);
        loading.join().unwrap();
    });
    assert!(node.wait().success());
    let statuses = checker
        .into_inner()
        .unwrap()
        .verdict(&executor.started(), TIMEOUT)
        .unwrap_or_else(|e| panic!("{e:#?}"));
    assert_eq!(statuses.values().sum::<usize>(), 16, "{statuses:?}");
}

#[test]
fn all_errors_of_an_invalid_file_are_reported_and_the_node_does_not_start() {
    let executor = Executor::start();
    let config = PROGRAM.config(&node_config(
        executor.address,
        unused_address(),
        unused_address(),
        1024,
    ));
    let bad = settings_file(
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
fn the_sub_commands_check_explain_test_and_measure_rules() {
    let good = settings_file(&format!(
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
    let output: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (code, &output["rules"], &output["good"]),
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
    let output: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (code, &output["given"]["rule"], &output["given"]["key"]),
        (Some(0), &"book".into(), &"k9".into())
    );
    assert_eq!(
        output["rules"][0]["failed"]["part"],
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

/// Returns the CPU time that a process has used, in clock ticks of a hundredth of a second.
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

/// Measures the CPU time per request of the whole program with the most expensive rule that is
/// accepted, with a rule that classifies, and without rules. Not part of CI; run it with:
/// cargo test --release -p madderpoint-node --test rules -- --ignored --nocapture
#[test]
#[ignore = "a measurement"]
fn cpu_per_request_with_the_most_expensive_rule_and_without() {
    let most_expensive = "<parameter name=\"W\" most=\"985B\"/><rule name=\"w\"><when><![CDATA[params.W.matches(\"(ab|cd)*e\")]]>\
        </when><give class=\"c\"/></rule>";
    let classify = "<bucket name=\"b\" rate=\"100000/s\" burst=\"1000\"/><rule name=\"r\"><when>operation == \"read\"</when>\
        <give operation=\"read\" class=\"c\"><limit bucket=\"b\">tenant</limit></give></rule>";
    let (requests_per_connection, connections) = (20_000, 4);
    let mut costs = [const { Vec::new() }; 3];
    for round in 0..5 {
        for (which, rules) in [None, Some(classify), Some(most_expensive)]
            .into_iter()
            .enumerate()
        {
            let executor = Executor::start();
            let config = node_config(executor.address, unused_address(), unused_address(), 1024);
            let path = rules.map(settings_file);
            let arguments: Vec<&str> = path
                .iter()
                .flat_map(|path| ["--settings", path.to_str().unwrap()])
                .collect();
            let node = Node::start_with_config(PROGRAM, &config, &arguments);
            let mut balancer = node.connect();
            while balancer.ping() != "200" {}
            let before = ticks(node.child.id());
            let (checker, stop) = (Mutex::new(Checker::default()), AtomicBool::new(false));
            // The executor searches its recorded executions for each new one, so they are discarded
            // regularly.
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
                            let mut request = LoadRequest::of("/call/read");
                            request.params.push(("W".into(), "abcd".repeat(246)));
                            request
                        },
                    );
                });
                while !loading.is_finished() {
                    executor.forget();
                    thread::sleep(Duration::from_millis(5));
                }
            });
            let used = ticks(node.child.id()) - before;
            let micros = used as f64 * 10_000.0 / (requests_per_connection * connections) as f64;
            println!(
                "round {round}, {}: {micros:.1} µs per request",
                ["no rules", "classify", "most expensive"][which]
            );
            costs[which].push(micros);
        }
    }
    let median = |costs: &mut Vec<f64>| {
        costs.sort_by(f64::total_cmp);
        costs[costs.len() / 2]
    };
    let [none, classify, most_expensive] = costs.each_mut().map(median);
    println!(
        "medians: no rules {none:.1}, classify {classify:.1}, most expensive {most_expensive:.1} µs per request"
    );
}
