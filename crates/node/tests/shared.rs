//! Several processes that share budgets, limits by key, counts and judgements, with faults between
//! them. The record of the service below, and of what ran by key, over all nodes, is the judge.

use madderpoint_test_harness::fault_scenario::{FaultScenario, Outcome, ProgramSetup};
use madderpoint_test_harness::scenario::{
    self, Action, BackendModel, Fault, KeyedLimit, LinkFault, NodeSelector, Scenario, Step,
};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

const EXE: &str = env!("CARGO_BIN_EXE_madderpoint");

fn setting() -> ProgramSetup {
    ProgramSetup {
        exe: EXE.into(),
        later: None,
        dir: env!("CARGO_TARGET_TMPDIR").into(),
        extra_settings: String::new(),
    }
}

fn play(script: &Scenario) -> Outcome {
    FaultScenario::start(script.clone(), setting())
        .unwrap()
        .run()
}

fn holds(name: &str) -> (Scenario, Outcome) {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/rig")).join(name);
    let text = std::fs::read_to_string(&path).unwrap();
    let script = scenario::read(name, &text).unwrap_or_else(|complaints| panic!("{complaints}"));
    let outcome = play(&script);
    outcome.expect_good(&script);
    (script, outcome)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn a_limit_is_kept_through_thirds_a_cut_one_way_and_replacements() {
    let (_, outcome) = holds("thirds.xml");
    assert!(outcome.backend.calls > 1500, "{:?}", outcome.backend);
}

#[test]
fn calls_in_hand_are_kept_through_thirds_a_cold_return_and_a_pause() {
    let (_, outcome) = holds("hands.xml");
    assert!(
        outcome.backend.most_in_flight >= 10 && outcome.backend.calls > 1500,
        "{:?}",
        outcome.backend
    );
}

#[test]
fn limits_by_key_are_kept_while_load_moves_and_a_zone_is_cut_off() {
    let (_, outcome) = holds("keys.xml");
    assert!(
        outcome.keyed_executions > 500,
        "{}",
        outcome.keyed_executions
    );
}

#[test]
fn a_service_that_comes_back_is_not_thrown_down_again() {
    let (_, outcome) = holds("service-dies.xml");
    assert!(
        outcome.backend.connections_while_down > 0,
        "{:?}",
        outcome.backend
    );
}

#[test]
fn the_sum_of_what_all_send_rises_with_a_service_that_starts_cold() {
    let (_, outcome) = holds("slow-start.xml");
    println!(
        "the worst second: {:?} calls over what it takes",
        outcome.excess_after_restart
    );
    assert!(
        outcome.excess_after_restart.is_some() && outcome.backend.calls > 1500,
        "{:?}",
        outcome.backend
    );
}

#[test]
fn a_service_that_is_ill_for_some_is_told_from_one_that_is_ill() {
    holds("service-looks-dead.xml");
}

/// The judge sees what it is for: with no limit set the same load is over it, and the service dies.
#[test]
fn without_the_limits_the_records_show_it() {
    let backend = BackendModel {
        work: ms(60),
        survives: 8,
        down: ms(500),
        warm: ms(500),
        ..BackendModel::default()
    };
    let script = Scenario {
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
    let outcome = play(&script);
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

/// Pairs of hard cases drawn by seed, one within the other, with budgets and keys at once.
#[test]
fn pairs_of_faults_by_seed_with_all_of_it_shared() {
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
        let script = Scenario {
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
        play(&script).expect_good(&script);
    }
}

fn call(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(EXE).args(arguments).output().unwrap();
    (
        output.status.code(),
        String::from_utf8([output.stdout, output.stderr].concat()).unwrap(),
    )
}

/// A running node says what it holds of all that is shared and why; one that shares nothing says
/// that.
#[test]
fn a_running_node_says_why_it_holds_what_it_holds() {
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
    for said in [
        "this node lends",
        "budget 'register', 100 calls a second for the fleet: may use",
        "its floor of 2",
        "keys 'by-site', each 10 in 1000 ms, 30 saved for the fleet",
        "service 'reg': open",
    ] {
        assert!(text.contains(said), "{said:?} in {text}");
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
