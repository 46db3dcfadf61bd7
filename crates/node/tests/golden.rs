//! Wire formats and command output must equal the recorded files in `golden`, byte for byte: peers
//! of other versions, and scripts, read them. The recorded data does not depend on the names of
//! types and functions.

use madderpoint_node::backend::{self, Outcome};
use madderpoint_node::executor::{self, Command as ExecutorCommand, End, Notice};
use madderpoint_node::fastcgi::{self, Event, ProtocolStatus, Reply};
use madderpoint_node::program_version::{self, version_of};
use madderpoint_node::request_memory::{ConnectionMemory, SharedRequestMemory};
use madderpoint_node::service_registry::{Answer, Phase, report};
use madderpoint_test_harness::peers::{
    LineConnection, LoadBalancer, execution_ended_notice, listen, ping, unix_ms, unused_address,
};
use madderpoint_test_harness::program::{Node, Program, node_config};
use madderpoint_test_harness::wire::{self, GET_VALUES, STDIN, record, same_at_every_split};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use std::process::Command;

const PROGRAM: Program = Program {
    exe: env!("CARGO_BIN_EXE_madderpoint"),
    dir: env!("CARGO_TARGET_TMPDIR"),
};
const RID: &str = "00000000000000aa";

fn directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

/// Asserts that a text equals the recorded file.
fn assert_recorded(file: &str, now: &str) {
    let recorded = std::fs::read_to_string(directory().join(file)).unwrap_or_default();
    assert!(
        now == recorded,
        "{file} differs from the recorded one, now:\n<<<\n{now}>>>\nrecorded:\n<<<\n{recorded}>>>"
    );
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Asserts that bytes equal the recorded file, which has a line `name hex` for each entry.
fn assert_bytes(file: &str, entries: &[(&str, Vec<u8>)]) {
    let lines = entries
        .iter()
        .map(|(name, bytes)| format!("{name} {}\n", hex(bytes)));
    assert_recorded(file, &lines.collect::<String>());
}

/// Asserts that the results of reading bytes equal the recorded file, which has a line
/// `name result` for each entry. Each input is also read in two parts, split at every place.
fn assert_read(file: &str, entries: &[(&str, &[u8])], read: impl Fn(&[&[u8]]) -> String) {
    let mut lines = String::new();
    for (name, bytes) in entries {
        same_at_every_split(bytes, &read);
        lines += &format!("{name} {}\n", read(&[bytes]));
    }
    assert_recorded(file, &lines);
}

fn written(reply: &Reply) -> Vec<u8> {
    reply
        .slices()
        .iter()
        .flat_map(|part| part.to_vec())
        .collect()
}

fn read_requests(parts: &[&[u8]]) -> String {
    let memory = ConnectionMemory::new(&SharedRequestMemory::new(65536));
    let (mut parser, mut events) = (fastcgi::Parser::new(100, memory), Vec::new());
    let mut sink = |event| {
        events.push(match event {
            Event::Request(r) => format!(
                "request id={} keep={} oversize={} params={} body={}",
                r.id,
                r.keep_conn,
                r.oversize,
                hex(&r.params),
                hex(&r.body)
            ),
            Event::Abort(id) => format!("abort id={id}"),
            Event::Reply(reply) => format!("reply {}", hex(&written(&reply))),
        });
    };
    let broken = parts
        .iter()
        .find_map(|part| parser.feed(part, &mut sink).err());
    events.extend(broken.map(|broken| format!("broken: {}", broken.as_str())));
    if events.is_empty() {
        "nothing".to_owned()
    } else {
        events.join("; ")
    }
}

#[test]
fn requests_of_load_balancers_are_read_as_recorded() {
    let call = wire::request(
        7,
        &wire::call_params("/call/read", RID, "1700000000000"),
        b"\0body\xff",
    );
    let long = "x".repeat(200);
    let two = [
        wire::request(1, &[("SCRIPT_NAME", "/ping")], b""),
        wire::begin(2, 1, false),
    ]
    .concat();
    let variables = wire::pairs(&[
        ("FCGI_MAX_CONNS", ""),
        ("FCGI_MAX_REQS", ""),
        ("FCGI_MPXS_CONNS", ""),
    ]);
    assert_read(
        "fastcgi-read.txt",
        &[
            ("call", &call[..]),
            ("long-value", &wire::request(0x0102, &[("A", &long)], b"")),
            ("aborted", &[two, record(wire::ABORT, 2, b"", 0)].concat()),
            (
                "large-body",
                &[&wire::request(3, &[], &[7; 2049])[..]].concat(),
            ),
            ("other-role", &wire::begin(4, 2, true)),
            ("values", &record(GET_VALUES, 0, &variables, 0)),
            ("unknown-type", &record(99, 0, b"", 0)),
            (
                "too-many-open",
                &(1..=33)
                    .flat_map(|id| wire::begin(id, 1, true))
                    .collect::<Vec<_>>(),
            ),
            (
                "begun-twice",
                &[wire::begin(5, 1, true), wire::begin(5, 1, true)].concat(),
            ),
            ("begin-cut-short", &record(wire::BEGIN, 5, b"\0", 0)),
            ("other-version", &[9; 8]),
            ("of-no-request", &record(STDIN, 6, b"lost", 4)),
        ],
        read_requests,
    );
    assert_bytes("fastcgi-request.hex", &[("call", call)]);
}

#[test]
fn parameters_are_read_as_recorded() {
    let read = |bytes: &[u8]| {
        let pairs = fastcgi::pairs(bytes).map(|pair| match pair {
            Ok((name, value)) => format!("{}={}", hex(name), hex(value)),
            Err(broken) => format!("broken: {}", broken.as_str()),
        });
        pairs.collect::<Vec<_>>().join("; ")
    };
    let call = wire::pairs(&wire::call_params("/call/read", RID, "1700000000000"));
    let long = wire::pairs(&[("A", &"x".repeat(130)), ("", "")]);
    let entries = [
        ("call", &call[..]),
        ("long", &long),
        ("cut", &call[..22]),
        ("length-cut", b"\x80\0"),
    ];
    let lines = entries.map(|(name, bytes)| format!("{name} {}\n", read(bytes)));
    assert_recorded("fastcgi-parameters.txt", &lines.concat());
}

#[test]
fn answers_are_written_as_recorded() {
    let answer = |status, fields, body: &[u8]| {
        written(&Reply::answer(0x0102, status, fields, body.to_vec()))
    };
    let end = |status| written(&Reply::end(0x0102, status));
    assert_bytes(
        "fastcgi-answers.hex",
        &[
            ("200", answer(200, "", b"\0\xff")),
            (
                "200-advert",
                answer(200, "X-Backend-Says: 0.5000\r\n", b"a result"),
            ),
            ("200-no-padding", answer(200, "", b"abcdef")),
            ("400", answer(400, "", b"X-Subject")),
            ("404", answer(404, "", b"unknown path")),
            ("429", answer(429, "X-Pushback-Ms: 250\r\n", b"")),
            (
                "429-last",
                answer(429, "X-Pushback-Ms: 250\r\nX-Stop-Trying: 1\r\n", b""),
            ),
            ("500", answer(500, "", b"")),
            ("503", answer(503, "", b"")),
            ("end-complete", end(ProtocolStatus::Complete)),
            ("end-overloaded", end(ProtocolStatus::Overloaded)),
            ("end-unknown-role", end(ProtocolStatus::UnknownRole)),
            ("raw", written(&Reply::raw(b"raw".to_vec()))),
        ],
    );
}

#[test]
fn commands_to_the_executor_are_written_as_recorded() {
    let line = |command: ExecutorCommand| command.line().into_bytes();
    assert_bytes(
        "kernel-commands.hex",
        &[
            ("OPEN", line(ExecutorCommand::Open(0))),
            ("OPEN-later", line(ExecutorCommand::Open(u64::MAX))),
            (
                "SCHED",
                line(ExecutorCommand::StartExecution {
                    rid: RID,
                    route: "read",
                    body: b"\0body\xff",
                }),
            ),
            (
                "SCHED-quoted",
                line(ExecutorCommand::StartExecution {
                    rid: RID,
                    route: "a \"b\"\\\n\u{e7}",
                    body: b"",
                }),
            ),
            ("PREEMPT", line(ExecutorCommand::Preempt(RID))),
            (
                "IODONE",
                line(ExecutorCommand::ResumeWithReply {
                    rid: RID,
                    body: b"a\r\nb",
                }),
            ),
            (
                "IODONE-empty",
                line(ExecutorCommand::ResumeWithReply {
                    rid: RID,
                    body: b"",
                }),
            ),
            (
                "NOIO",
                line(ExecutorCommand::ResumeWithoutReply { rid: RID, no: 17 }),
            ),
            ("SYSINFO", line(ExecutorCommand::SysInfo(3))),
            ("POST", line(ExecutorCommand::HealthCheck(4))),
        ],
    );
}

fn read_notices(parts: &[&[u8]]) -> String {
    let (mut reader, mut events) = (executor::Reader::default(), Vec::new());
    reader.open();
    let mut sink = |notice| {
        events.push(match notice {
            Notice::Booted { cold, up_ms } => format!("booted cold={cold} up={up_ms}"),
            Notice::ExecutionEnded {
                rid,
                end,
                time_ms,
                body,
            } => {
                let end = match end {
                    End::Ok => "ok",
                    End::Error => "error",
                    End::Stopped => "stopped",
                    End::NeverStarted => "moot",
                };
                format!(
                    "reap rid={rid} end={end} time={time_ms} body={}",
                    hex(&body)
                )
            }
            Notice::BackendCallNeeded { no, rid, body } => {
                format!("ioreq no={no} rid={rid} body={}", hex(&body))
            }
            Notice::Info { mark, values } => format!("info mark={mark} values={values:?}"),
            Notice::HealthCheckDone { mark, ok } => format!("posted mark={mark} ok={ok}"),
            Notice::CommandRefused { command, rid } => {
                format!("einval command={command} rid={rid}")
            }
            Notice::Odd(anomaly, times) => format!("odd {}: {times}", anomaly.as_str()),
        });
    };
    let broken = parts
        .iter()
        .find_map(|part| reader.feed(part, &mut sink).err());
    events.extend(broken.map(|broken| format!("broken: {}", broken.as_str())));
    events.push(format!("last={}", reader.open()));
    events.join("; ")
}

#[test]
fn notices_of_the_executor_are_read_as_recorded() {
    assert_read(
        "kernel-notices.txt",
        &[
            (
                "BOOTED-cold",
                b"{\"t\":\"BOOTED\",\"status\":\"COLD\",\"time_ms\":12.5}\n",
            ),
            (
                "BOOTED-warm",
                b"{\"t\":\"BOOTED\",\"status\":\"WARM\",\"time_ms\":9000}\n",
            ),
            ("REAP-ok", execution_ended_notice(1, RID, "OK").as_bytes()),
            (
                "REAP-error",
                execution_ended_notice(2, RID, "ERROR").as_bytes(),
            ),
            (
                "REAP-stopped",
                execution_ended_notice(1, RID, "STOPPED").as_bytes(),
            ),
            (
                "REAP-moot",
                execution_ended_notice(1, RID, "MOOT").as_bytes(),
            ),
            (
                "REAP-without-result",
                b"{\"t\":\"REAP\",\"no\":1,\"rid\":\"9b1f\",\"status\":\"OK\"}\n",
            ),
            (
                "IOREQ",
                b"{\"t\":\"IOREQ\",\"no\":1,\"rid\":\"9b1f\",\"b64\":\"AP8=\"}\n",
            ),
            (
                "INFO",
                b"{\"t\":\"INFO\",\"mark\":\"3\",\"v\":[0.1,0.25]}\n",
            ),
            (
                "POSTED-ok",
                b"{\"t\":\"POSTED\",\"mark\":\"4\",\"status\":\"OK\"}\n",
            ),
            (
                "POSTED-failed",
                b"{\"t\":\"POSTED\",\"mark\":\"4\",\"status\":\"ERROR\"}\n",
            ),
            (
                "EINVAL",
                b"{\"t\":\"EINVAL\",\"status\":\"NOIO\",\"rid\":\"9b1f\"}\n",
            ),
            (
                "EINVAL-of-no-run",
                b"{\"t\":\"EINVAL\",\"status\":\"POST\"}\n",
            ),
            ("DMESG", b"{\"t\":\"DMESG\",\"no\":1,\"b64\":\"AP8=\"}\n"),
            ("unknown", b"{\"t\":\"SONG\"}\n"),
            ("no-json", b"{broken\n"),
            (
                "twice",
                execution_ended_notice(1, RID, "OK").repeat(2).as_bytes(),
            ),
            (
                "missing",
                &[
                    execution_ended_notice(1, RID, "OK"),
                    execution_ended_notice(3, RID, "OK"),
                ]
                .concat()
                .into_bytes(),
            ),
        ],
        read_notices,
    );
}

#[test]
fn backend_calls_are_written_as_recorded() {
    assert_bytes(
        "backend-calls.hex",
        &[
            ("invoke", backend::invoke(RID, 250, b"\0\xff\r\n")),
            ("invoke-empty", backend::invoke(RID, 0, b"")),
            ("cancel", backend::cancel(RID)),
        ],
    );
}

fn read_replies(parts: &[&[u8]]) -> String {
    let (mut parser, mut events) = (backend::Parser::default(), Vec::new());
    let mut sink = |reply: backend::Reply| {
        let outcome = match reply.outcome {
            Outcome::Ok => "ok",
            Outcome::Overload => "overload",
            Outcome::Internal => "internal",
            Outcome::Deadline => "deadline",
            Outcome::Stale => "stale",
        };
        events.push(format!(
            "id={} outcome={outcome} body={}",
            reply.id,
            hex(&reply.body)
        ));
    };
    let broken = parts
        .iter()
        .find_map(|part| parser.feed(part, &mut sink).err());
    events.extend(broken.map(|broken| format!("broken: {}", broken.as_str())));
    events.join("; ")
}

#[test]
fn backend_replies_are_read_as_recorded() {
    assert_read(
        "backend-replies.txt",
        &[
            ("ok", b"9b1f ok 4\r\na\r\nb\r\n"),
            ("ok-empty", b"9b1f ok 0\r\n\r\n"),
            ("overload", b"9b1f overload\r\n"),
            ("internal", b"9b1f internal\r\n"),
            ("deadline", b"9b1f deadline\r\n"),
            ("stale", b"9b1f stale\r\n"),
            ("two", b"9b1f ok 1\r\nx\r\n9b20 stale\r\n"),
            ("unknown", b"9b1f song\r\n"),
            ("too-large", b"9b1f ok 8193\r\n"),
            ("no-end", b"9b1f ok 1\r\nxyz"),
        ],
        read_replies,
    );
}

#[test]
fn reports_to_the_service_registry_are_written_as_recorded() {
    let entry = |name, phase| (name, report("10.0.0.1:8080", "n3", phase));
    assert_bytes(
        "members-reports.hex",
        &[entry("up", Phase::Up), entry("out", Phase::Out)],
    );
}

#[test]
fn answers_of_the_service_registry_are_read_as_recorded() {
    let read = |parts: &[&[u8]]| {
        let mut answer = Answer::default();
        let ended = parts.iter().find_map(|part| answer.feed(part).transpose());
        match ended {
            Some(Ok(status)) => format!("status={status}"),
            Some(Err(_)) => "broken".to_owned(),
            None => "unfinished".to_owned(),
        }
    };
    assert_read(
        "members-answers.txt",
        &[
            ("taken", b"HTTP/1.1 204 No Content\r\n\r\n"),
            (
                "with-body",
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
            ),
            (
                "refused",
                b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\r\n",
            ),
            ("cut", b"HTTP/1.1 204 No Content\r\n"),
            ("no-http", b"220 mail.example\r\n"),
        ],
        read,
    );
}

#[test]
fn a_version_of_the_program_has_its_number_and_hash_as_recorded() {
    let dir = Path::new(PROGRAM.dir).join("golden-release-7");
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join(program_version::PROGRAM), "a program").unwrap();
    let version = version_of(&dir).unwrap();
    assert_recorded(
        "program-version.txt",
        &format!("release-7 {} {:016x}\n", version.number, version.hash),
    );
}

/// Sends a request over a connection and returns the bytes of its answer.
fn ask(balancer: &mut LoadBalancer, request: &[u8]) -> Vec<u8> {
    balancer.stream.write_all(request).unwrap();
    read_answer(balancer)
}

fn read_answer(balancer: &mut LoadBalancer) -> Vec<u8> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
    while wire::answers(&mut bytes.clone(), &mut BTreeMap::new()).is_empty() {
        let n = balancer.stream.read(&mut buffer).unwrap();
        assert!(n > 0, "the connection ended without an answer");
        bytes.extend_from_slice(&buffer[..n]);
    }
    bytes
}

const RULES: &str = r#"<translator version="1"><rules>
<rule name="worse"><when>script == "/worse"</when><throttle pause="1500ms" reason="worse"/></rule>
<rule name="denied"><when>script == "/denied"</when><error status="403" reason="denied"/></rule>
</rules></translator>"#;

#[test]
fn a_node_answers_with_the_recorded_bytes() {
    let executor = listen();
    let config = node_config(
        executor.local_addr().unwrap(),
        unused_address(),
        unused_address(),
        1024,
    )
    // A load report would vary with the node's load.
    .replace(r#""Advert": "weight""#, r#""Advert": "none""#)
    .replace(
        r#""RetryAfter": false, "MaxRetryAfter": 0.0"#,
        r#""RetryAfter": true, "MaxRetryAfter": 2.0"#,
    );
    let rules = PROGRAM.file("xml", RULES);
    let node = Node::start_with_config(PROGRAM, &config, &["--settings", rules.to_str().unwrap()]);
    let mut entries = vec![("check-503", ask(&mut node.connect(), &ping(1)))];
    let mut link = LineConnection::accept_executor_link(&executor, 0, "");
    while node.connect().ping() != "200" {}
    entries.push(("check-200", ask(&mut node.connect(), &ping(1))));
    for (no, name, status) in [(1, "200", "OK"), (2, "500", "ERROR")] {
        let mut balancer = node.connect();
        balancer.run(&mut link, 1, RID);
        link.send_text(&execution_ended_notice(no, RID, status));
        entries.push((name, read_answer(&mut balancer)));
    }
    let (now, late) = (
        unix_ms(),
        (unix_ms().parse::<u64>().unwrap() - 4000).to_string(),
    );
    for (name, path, arrived) in [
        ("400", "/call/read", "-"),
        ("403", "/denied", &now),
        ("404", "/call/song", &now),
        ("429-last", "/call/read", &late),
        ("429-pushback", "/worse", &now),
    ] {
        let request = wire::request(2, &wire::call_params(path, RID, arrived), b"");
        entries.push((name, ask(&mut node.connect(), &request)));
    }
    assert_bytes("node-answers.hex", &entries);
}

/// Runs the program at the root of the repository; returns its exit code and output.
fn output(arguments: &[&str]) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new(PROGRAM.exe)
        .args(arguments)
        .current_dir(root)
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    format!(
        "exit code {}\n--- standard output\n{}--- standard error\n{}",
        output.status.code().unwrap(),
        text(output.stdout),
        text(output.stderr)
    )
}

const SETTINGS: &str = "deploy/translator.xml";

#[test]
fn check_prints_the_recorded_output() {
    assert_recorded("check.txt", &output(&["check", SETTINGS]));
    assert_recorded(
        "check-json.txt",
        &output(&["check", SETTINGS, "--format", "json"]),
    );
    assert_recorded("check-no-file.txt", &output(&["check", "deploy/none.xml"]));
    assert_recorded(
        "check-bad.txt",
        &output(&["check", "crates/node/tests/golden/bad.xml"]),
    );
}

#[test]
fn rules_test_prints_the_recorded_output() {
    assert_recorded("rules-test.txt", &output(&["rules", "test", SETTINGS]));
}

#[test]
fn rules_explain_prints_the_recorded_output() {
    let explain = |request| output(&["rules", "explain", SETTINGS, "--request", request]);
    let limited = "crates/node/tests/golden/limited.json";
    assert_recorded("explain-limited.txt", &explain(limited));
    assert_recorded(
        "explain-none.txt",
        &explain("crates/node/tests/golden/none.json"),
    );
    let json = [
        "rules",
        "explain",
        SETTINGS,
        "--request",
        limited,
        "--format",
        "json",
    ];
    assert_recorded("explain-json.txt", &output(&json));
}
