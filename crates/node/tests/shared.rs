//! Several processes that share budgets, keyed quotas, counters and health reports, with faults
//! between them. The tests check the backend service's record and the record of keyed executions
//! over all nodes.

use madderpoint_test_harness::fault_scenario::{FaultScenario, Outcome, ProgramSetup};
use madderpoint_test_harness::scenario::{
    self, Action, BackendModel, Fault, KeyedLimit, LinkFault, NodeSelector, Scenario, Step,
};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

const EXE: &str = env!("CARGO_BIN_EXE_madderpoint");

fn setup() -> ProgramSetup {
    ProgramSetup {
        exe: EXE.into(),
        later: None,
        dir: env!("CARGO_TARGET_TMPDIR").into(),
        extra_settings: String::new(),
    }
}

fn run(scenario: &Scenario) -> Outcome {
    FaultScenario::start(scenario.clone(), setup())
        .unwrap()
        .run()
}

fn run_scenario(name: &str) -> (Scenario, Outcome) {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/rig")).join(name);
    let text = std::fs::read_to_string(&path).unwrap();
    let scenario =
        scenario::read(name, &text).unwrap_or_else(|diagnostics| panic!("{diagnostics}"));
    let outcome = run(&scenario);
    outcome.expect_good(&scenario);
    (scenario, outcome)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_rate_budget_is_kept_through_partitions_a_one_way_cut_and_replacements() {
    let (_, outcome) = run_scenario("thirds.xml");
    assert!(outcome.backend.calls > 1500, "{:?}", outcome.backend);
}

#[test]
fn a_budget_of_calls_in_flight_is_kept_through_partitions_a_cold_restart_and_a_pause() {
    let (_, outcome) = run_scenario("hands.xml");
    assert!(
        outcome.backend.most_in_flight >= 10 && outcome.backend.calls > 1500,
        "{:?}",
        outcome.backend
    );
}

#[test]
fn keyed_quotas_are_kept_while_load_moves_and_a_zone_is_cut_off() {
    let (_, outcome) = run_scenario("keys.xml");
    assert!(
        outcome.keyed_executions > 500,
        "{}",
        outcome.keyed_executions
    );
}

#[test]
fn a_recovering_service_is_not_overloaded_again() {
    let (_, outcome) = run_scenario("service-dies.xml");
    assert!(
        outcome.backend.connections_while_down > 0,
        "{:?}",
        outcome.backend
    );
}

#[test]
fn the_total_load_rises_with_the_capacity_of_a_service_that_starts_cold() {
    let (_, outcome) = run_scenario("slow-start.xml");
    println!(
        "worst second: {:?} calls above the service's capacity",
        outcome.excess_after_restart
    );
    assert!(
        outcome.excess_after_restart.is_some() && outcome.backend.calls > 1500,
        "{:?}",
        outcome.backend
    );
}

#[test]
fn a_service_that_fails_for_some_nodes_is_distinguished_from_one_that_fails_for_all() {
    run_scenario("service-looks-dead.xml");
}

/// Checks the check itself: without limits the same load exceeds the service's capacity, the
/// service crashes, and the outcome reports it.
#[test]
fn without_limits_the_outcome_reports_the_crash_of_the_service() {
    let backend = BackendModel {
        work: ms(60),
        survives: 8,
        down: ms(500),
        warm: ms(500),
        ..BackendModel::default()
    };
    let scenario = Scenario {
        name: "no limits".into(),
        seed: 3,
        nodes: 3,
        zones: 1,
        load: 200,
        callers: 8,
        time: ms(4000),
        backend,
        ..Scenario::default()
    };
    let outcome = run(&scenario);
    assert!(
        outcome.backend.crashes > 0 && outcome.backend.most_in_flight > 8,
        "{:?}",
        outcome.backend
    );
    assert!(
        outcome.failures.iter().any(|what| what.contains("died")),
        "{:?}",
        outcome.failures
    );
}

/// Two overlapping faults, chosen by a seed, with budgets and keyed quotas at the same time.
#[test]
fn budgets_and_quotas_are_kept_through_pairs_of_overlapping_faults() {
    for seed in [3u64, 8] {
        let fault = |kind: u64, at: Duration| {
            let node = format!("n{}", (seed + kind) % 5);
            let link = |from: NodeSelector, to: NodeSelector, both, fault| {
                let faulty = LinkFault {
                    from,
                    to,
                    both,
                    fault,
                    ..LinkFault::default()
                };
                Action::Link {
                    faulty,
                    time: Some(ms(3000)),
                }
            };
            let cut = Fault {
                cut: true,
                ..Fault::default()
            };
            let action = match kind {
                0 => Action::Pause {
                    node: node.clone(),
                    time: ms(3000),
                },
                1 => link(
                    NodeSelector::Zone("z0".into()),
                    NodeSelector::NotZone("z0".into()),
                    true,
                    cut,
                ),
                2 => link(
                    NodeSelector::Zone("z0".into()),
                    NodeSelector::NotZone("z0".into()),
                    false,
                    cut,
                ),
                3 => {
                    let fault = Fault {
                        loss: 0.4,
                        double: 0.3,
                        reorder: 0.3,
                        ..Fault::default()
                    };
                    link(NodeSelector::All, NodeSelector::All, false, fault)
                }
                _ => Action::Kill(node.clone()),
            };
            let back = Action::Start {
                node,
                name: None,
                program: None,
            };
            let is_kill = matches!(action, Action::Kill(_));
            let back = is_kill.then_some(Step {
                at: at + ms(400),
                action: back,
            });
            [Some(Step { at, action }), back].into_iter().flatten()
        };
        let mut steps = vec![Step {
            at: ms(0),
            action: Action::Settled {
                within: ms(8000),
                sides: 1,
            },
        }];
        steps.extend(fault(seed % 5, ms(7000)));
        steps.extend(fault((seed / 5 + seed + 1) % 5, ms(8500)));
        steps.push(Step {
            at: ms(12_500),
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
            nodes: 5,
            zones: 2,
            load: 60,
            callers: 3,
            calls_a_second: 120,
            max_calls_in_flight: 12,
            retries_a_second: 10,
            floor: 1,
            backend: BackendModel {
                work: ms(30),
                survives: 14,
                judged: true,
                ..BackendModel::default()
            },
            keys: KeyedLimit {
                count: 3,
                a_second: 30,
                burst: 60,
                max_in_flight: 10,
                floor: 1,
            },
            time: ms(15_000),
            periods: periods.map(|(n, v)| (n.to_owned(), v.to_owned())).into(),
            steps,
            ..Scenario::default()
        };
        run(&scenario).expect_good(&scenario);
    }
}

fn call(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(EXE).args(arguments).output().unwrap();
    (
        output.status.code(),
        String::from_utf8([output.stdout, output.stderr].concat()).unwrap(),
    )
}

/// A running node explains its shared state; for a node without shared state the command fails with
/// an error that says so.
#[test]
fn a_running_node_explains_its_shared_state() {
    use madderpoint_test_harness::peers::unused_address;
    use madderpoint_test_harness::program::{Node, Program, node_config};
    let program = Program {
        exe: EXE,
        dir: env!("CARGO_TARGET_TMPDIR"),
    };
    let settings = |inner: &str, rules: &str| {
        let keys = program.file("keys", &"07".repeat(32));
        let bind = std::net::UdpSocket::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let text = format!(
            "<translator version=\"1\">{rules}<fleet name=\"f\" keys=\"{}\" bind=\"{bind}\">{inner}</fleet></translator>",
            keys.display()
        );
        (
            program.file("xml", &text).display().to_string(),
            bind.to_string(),
        )
    };
    let rules = r#"<rules><bucket name="by-site" scope="fleet" rate="10/s" burst="30" floor="1" nodes-most="4"/></rules>"#;
    let (good, at) = settings(
        r#"<arbiter name="n3"/><calls-budget name="register" a-second="100" floor="2" nodes-most="4"/><service name="reg"/>"#,
        rules,
    );
    let config = node_config(unused_address(), unused_address(), unused_address(), 1024);
    let mut node = Node::start_with_config(program, &config, &["--settings", &good]);
    node.wait_for_log("lends: a majority of the arbiters gave their word");
    let (code, text) = call(&["shared", "explain", "--settings", &good, "--at", &at]);
    assert_eq!(code, Some(0), "{text}");
    for expected in [
        "this node lends",
        "budget 'register', 100 calls a second for the fleet: may use",
        "its floor of 2",
        "keys 'by-site', each 10 in 1000 ms, 30 saved for the fleet",
        "service 'reg': open",
    ] {
        assert!(text.contains(expected), "{expected:?} in {text}");
    }
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
    let shown: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(
        (code, &shown["shared"]["lends"], &shown["size"]),
        (Some(0), &true.into(), &1.into())
    );
    assert_eq!(shown["shared"]["budgets"][0]["limit"], 100);
    let (plain, at) = settings("", "");
    let _node = Node::start_with_config(program, &config, &["--settings", &plain]);
    let (code, text) = call(&["shared", "explain", "--settings", &plain, "--at", &at]);
    assert!(
        code == Some(2) && text.contains("it shares nothing"),
        "{text}"
    );
    let (code, text) = call(&[
        "fleet",
        "show",
        "--settings",
        &plain,
        "--at",
        &at,
        "--format",
        "json",
    ]);
    assert!(
        code == Some(0) && text.contains("\"shared\": null"),
        "{text}"
    );
}
