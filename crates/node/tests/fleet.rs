//! Runs the fault scenarios in `examples/rig` against several processes of the program: the members
//! must agree within the bounds of the scenario, and no request of the load may be lost, late or
//! executed twice.

use madderpoint_test_harness::fault_scenario::{FaultScenario, Outcome, ProgramSetup};
use madderpoint_test_harness::scenario::{
    self, Action, Fault, LinkFault, NodeSelector, Scenario, Step,
};
use std::path::Path;
use std::time::Duration;

fn setup() -> ProgramSetup {
    ProgramSetup {
        exe: env!("CARGO_BIN_EXE_madderpoint").into(),
        later: None,
        dir: env!("CARGO_TARGET_TMPDIR").into(),
        extra_settings: String::new(),
    }
}

fn read(name: &str) -> Scenario {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/rig")).join(name);
    let text = std::fs::read_to_string(&path).unwrap();
    scenario::read(name, &text).unwrap_or_else(|diagnostics| panic!("{diagnostics}"))
}

fn run(scenario: &Scenario) -> Outcome {
    FaultScenario::start(scenario.clone(), setup())
        .unwrap()
        .run()
}

fn run_scenario(name: &str) {
    let scenario = read(name);
    let outcome = run(&scenario);
    outcome.expect_good(&scenario);
    let succeeded = outcome.statuses.get("200").copied().unwrap_or(0);
    assert!(succeeded > 100, "{:?}", outcome.statuses);
}

#[test]
fn a_fleet_settles_after_a_zone_is_cut_off_and_a_node_crashes() {
    run_scenario("partition-and-crash.xml");
}

#[test]
fn a_fleet_settles_after_a_one_way_cut_and_a_flapping_partition() {
    run_scenario("one-way-and-flapping.xml");
}

#[test]
fn a_fleet_settles_after_six_of_ten_nodes_are_replaced() {
    run_scenario("replaced.xml");
}

#[test]
fn a_node_that_stalled_until_it_was_declared_dead_rejoins() {
    run_scenario("paused.xml");
}

#[test]
fn a_fleet_settles_with_two_processes_of_one_name() {
    run_scenario("names.xml");
}

#[test]
fn a_fleet_settles_with_all_seeds_down_and_after_a_cold_start() {
    run_scenario("cold-and-seeds.xml");
}

#[test]
fn a_fleet_settles_with_lossy_links_and_a_flood_of_unauthenticated_datagrams() {
    run_scenario("rough-links.xml");
}

/// Five nodes share a budget of backend calls through a partition, the crash of the lender and a
/// pause. Without the budget their load is two and a half times as high.
#[test]
fn a_budget_of_the_whole_fleet_is_kept() {
    let scenario = read("budget.xml");
    let outcome = run(&scenario);
    outcome.expect_good(&scenario);
    let (max, total) = (outcome.backend.most_in_a_second, outcome.backend.calls);
    assert!(
        max <= 110 && total > 500,
        "{total} calls, {max} in the busiest second"
    );
    let without = Scenario {
        calls_a_second: 0,
        time: Duration::from_secs(4),
        steps: Vec::new(),
        ..scenario
    };
    let answers = run(&without).statuses["200"];
    assert!(
        answers > 4 * 150,
        "{answers} answered in 4 s without a limit"
    );
}

#[test]
fn the_scenario_runner_reports_violated_expectations() {
    let outcome = run(&read("not-so.xml"));
    assert_eq!(outcome.failures.len(), 2, "{:?}", outcome.failures);
    assert!(
        outcome.failures[0].contains("2 groups that hear each other"),
        "{:?}",
        outcome.failures
    );
    assert!(
        outcome.failures[1].contains("n1 holds n2 for alive, not dead"),
        "{:?}",
        outcome.failures
    );
    assert!(
        outcome
            .record_excerpt
            .iter()
            .any(|line| line.contains("joined")),
        "{:?}",
        outcome.record_excerpt
    );
}

/// Two overlapping faults, chosen by a seed; afterwards all members agree.
#[test]
fn members_agree_after_pairs_of_overlapping_faults() {
    for seed in [11u64, 12] {
        let ms = Duration::from_millis;
        let fault = |kind: u64, at: Duration| {
            let node = format!("n{}", (seed + kind) % 4);
            let link = |fault| {
                let (from, to) = (NodeSelector::Node(node.clone()), NodeSelector::All);
                let faulty = LinkFault {
                    from,
                    to,
                    both: true,
                    fault,
                    ..LinkFault::default()
                };
                Action::Link {
                    faulty,
                    time: Some(ms(2500)),
                }
            };
            let action = match kind {
                0 => Action::Pause {
                    node: node.clone(),
                    time: ms(2500),
                },
                1 => link(Fault {
                    cut: true,
                    ..Fault::default()
                }),
                2 => link(Fault {
                    hold: true,
                    ..Fault::default()
                }),
                3 => link(Fault {
                    loss: 0.5,
                    double: 0.3,
                    ..Fault::default()
                }),
                _ => Action::Kill(node.clone()),
            };
            let back = Step {
                at: at + ms(2600),
                action: Action::Start {
                    node,
                    name: None,
                    program: None,
                },
            };
            let is_kill = matches!(action, Action::Kill(_));
            [Some(Step { at, action }), is_kill.then_some(back)]
                .into_iter()
                .flatten()
        };
        let mut steps = vec![Step {
            at: ms(0),
            action: Action::Settled {
                within: ms(8000),
                sides: 1,
            },
        }];
        steps.extend(fault(seed % 5, ms(1000)));
        steps.extend(fault((seed / 5 + seed) % 5, ms(2000)));
        steps.push(Step {
            at: ms(5500),
            action: Action::Settled {
                within: ms(6000),
                sides: 1,
            },
        });
        steps.sort_by_key(|step| step.at);
        let periods = [
            ("probe", "200ms"),
            ("answer", "80ms"),
            ("gossip", "50ms"),
            ("regain", "200ms"),
        ];
        let scenario = Scenario {
            name: "a pair of faults".into(),
            seed,
            nodes: 4,
            zones: 2,
            load: 20,
            time: ms(7000),
            periods: periods.map(|(n, v)| (n.to_owned(), v.to_owned())).into(),
            steps,
            ..Scenario::default()
        };
        run(&scenario).expect_good(&scenario);
    }
}

fn call(arguments: &[&str]) -> (Option<i32>, String) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_madderpoint"))
        .args(arguments)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

/// The scenarios for processes also run in simulated time, at any size, and violated expectations
/// are reported there too.
#[test]
fn scenarios_run_in_simulated_time() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/rig");
    for (name, members, good) in [
        ("partition-and-crash.xml", "5", true),
        ("partition-and-crash.xml", "60", true),
        ("cold-and-seeds.xml", "6", true),
        ("replaced.xml", "10", false), // expects several versions; a simulated fleet has one
        ("not-so.xml", "3", false),
    ] {
        let file = format!("{examples}/{name}");
        let (code, text) = call(&["fleet", "simulate", "--script", &file, "--members", members]);
        assert_eq!(code, Some(i32::from(!good)), "{name}: {text}");
        assert!(text.contains("held after"), "{text}");
    }
    let (code, text) = call(&[
        "fleet",
        "simulate",
        "--members",
        "20",
        "--time",
        "10s",
        "--crashes",
        "1",
        "--cut",
        "10s",
    ]);
    assert!(code == Some(0) && text.contains("0 false deaths"), "{text}");
    let (code, text) = call(&["fleet", "simulate", "--members", "0"]);
    assert!(
        code == Some(2) && text.contains("members: 1 to 20000"),
        "{text}"
    );
}

/// A running node is queried by the authenticated protocol; a query with other keys fails with an
/// error.
#[test]
fn a_running_node_shows_its_member_table() {
    use madderpoint_test_harness::peers::unused_address;
    use madderpoint_test_harness::program::{Node, Program, node_config};
    let program = Program {
        exe: env!("CARGO_BIN_EXE_madderpoint"),
        dir: env!("CARGO_TARGET_TMPDIR"),
    };
    let settings = |key: &str| {
        let keys = program.file("keys", &key.repeat(32));
        let bind = std::net::UdpSocket::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let text = format!(
            "<translator version=\"1\" number=\"7\"><fleet name=\"f\" keys=\"{}\" zone=\"z9\" bind=\"{bind}\"/></translator>",
            keys.display()
        );
        (
            program.file("xml", &text).display().to_string(),
            bind.to_string(),
        )
    };
    let (good, at) = settings("07");
    let _node = Node::start_with_config(
        program,
        &node_config(unused_address(), unused_address(), unused_address(), 1024),
        &["--settings", &good],
    );
    let (code, text) = call(&[
        "fleet",
        "show",
        "--settings",
        &good,
        "--at",
        &at,
        "--format",
        "json",
    ]);
    assert_eq!(code, Some(0), "{text}");
    let shown: serde_json::Value = serde_json::from_str(&text).unwrap();
    let own = &shown["members"][0];
    assert_eq!(
        (&shown["size"], &own["name"], &own["zone"], &own["settings"]),
        (&1.into(), &"n3".into(), &"z9".into(), &7.into())
    );
    let (code, text) = call(&[
        "fleet",
        "watch",
        "--settings",
        &good,
        "--at",
        &at,
        "--times",
        "2",
        "--every",
        "50ms",
    ]);
    assert!(code == Some(0) && text.contains("1 members"), "{text}");
    let (wrong, _) = settings("08");
    let (code, text) = call(&["fleet", "show", "--settings", &wrong, "--at", &at]);
    assert!(code == Some(2) && text.contains("no answer"), "{text}");
}

/// SIGHUP puts other keys in force. A key file that cannot be read, or invalid settings, leave the
/// previous ones in force.
#[test]
fn keys_change_by_reload_and_a_bad_file_changes_nothing() {
    use madderpoint_test_harness::peers::unused_address;
    use madderpoint_test_harness::program::{Node, Program, node_config};
    let program = Program {
        exe: env!("CARGO_BIN_EXE_madderpoint"),
        dir: env!("CARGO_TARGET_TMPDIR"),
    };
    let bind = std::net::UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let settings = |keys: &std::path::Path| {
        let keys = keys.display();
        let text = format!(
            "<translator version=\"1\"><fleet name=\"f\" keys=\"{keys}\" bind=\"{bind}\"/></translator>"
        );
        program.file("xml", &text)
    };
    let (old, new) = ("07".repeat(32), "08".repeat(32));
    let keys = program.file("keys", &old);
    let own = settings(&keys);
    let (by_old, by_new) = (
        settings(&program.file("keys", &old)),
        settings(&program.file("keys", &new)),
    );
    let show = |settings: &std::path::Path| {
        call(&[
            "fleet",
            "show",
            "--settings",
            settings.to_str().unwrap(),
            "--at",
            &bind,
        ])
        .0
    };
    let config = node_config(unused_address(), unused_address(), unused_address(), 1024);
    let mut node =
        Node::start_with_config(program, &config, &["--settings", own.to_str().unwrap()]);
    assert_eq!((show(&by_old), show(&by_new)), (Some(0), Some(2)));
    for (text, expected) in [("zz", "not valid hexadecimal"), ("", "0 keys")] {
        std::fs::write(&keys, text).unwrap();
        node.signal("-HUP");
        assert!(
            node.wait_for_log("new settings rejected")
                .contains(expected)
        );
    }
    assert_eq!(show(&by_old), Some(0));
    // Both keys are accepted; the new one authenticates sent datagrams.
    std::fs::write(&keys, format!("{new}\n{old}\n")).unwrap();
    node.signal("-HUP");
    node.wait_for_log("rules in force rules=0");
    assert_eq!(show(&by_new), Some(0));
    std::fs::write(&own, "<translator version=\"1\"><fleet/></translator>").unwrap();
    node.signal("-HUP");
    assert!(
        node.wait_for_log("new settings rejected")
            .contains("'name' is missing")
    );
    assert_eq!(show(&by_new), Some(0));
}
