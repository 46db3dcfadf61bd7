//! Rollouts of settings among several processes with faults between them, by the scenarios in
//! `examples/rig`: good versions reach all nodes, bad ones stop in the first stage, and the
//! combined event record of all nodes follows the rules of a rollout.

use madderpoint_test_harness::fault_scenario::{FaultScenario, Outcome, ProgramSetup};
use madderpoint_test_harness::scenario::{
    self, Action, Fault, LinkFault, NodeSelector, Scenario, Step,
};
use std::path::Path;
use std::sync::OnceLock;
use std::time::Duration;

const EXE: &str = env!("CARGO_BIN_EXE_madderpoint");

/// Returns the path of a build of the program with a later version of all messages. The build runs
/// before any scenario: a compiler running at the same time would take CPU time from the nodes and
/// distort the canary analysis.
fn later_build() -> std::path::PathBuf {
    static BUILT: OnceLock<std::path::PathBuf> = OnceLock::new();
    BUILT.get_or_init(compile_later_build).clone()
}

fn compile_later_build() -> std::path::PathBuf {
    let target = Path::new(env!("CARGO_TARGET_TMPDIR")).join("later");
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let status = std::process::Command::new(cargo)
        .args([
            "build",
            "--locked",
            "--quiet",
            "--package",
            "madderpoint-node",
            "--features",
            "later",
            "--target-dir",
        ])
        .arg(&target)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
        .status();
    assert!(status.unwrap().success(), "the later version was built");
    target.join("debug").join("madderpoint")
}

fn run(scenario: &Scenario) -> Outcome {
    later_build();
    let setup = ProgramSetup {
        exe: EXE.into(),
        later: None,
        dir: env!("CARGO_TARGET_TMPDIR").into(),
        extra_settings: String::new(),
    };
    FaultScenario::start(scenario.clone(), setup).unwrap().run()
}

fn read(name: &str) -> Scenario {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/rig")).join(name);
    let text = std::fs::read_to_string(&path).unwrap();
    scenario::read(name, &text).unwrap_or_else(|diagnostics| panic!("{diagnostics}"))
}

fn run_scenario(name: &str) -> Outcome {
    let scenario = read(name);
    let outcome = run(&scenario);
    outcome.expect_good(&scenario);
    outcome
}

/// The bad version runs on one of six nodes only.
#[test]
fn a_version_that_throttles_all_requests_is_stopped_at_one_node() {
    let outcome = run_scenario("rollout-bad.xml");
    assert_eq!(outcome.on_trial.get(&5), Some(&1), "{:?}", outcome.on_trial);
    assert!(!outcome.on_trial.contains_key(&4) && !outcome.on_trial.contains_key(&3));
    let count = |status: &str| outcome.statuses.get(status).copied().unwrap_or(0);
    assert!(
        count("429") > 0 && count("429") * 10 < count("200"),
        "{:?}",
        outcome.statuses
    );
}

#[test]
fn a_good_version_reaches_all_nodes_although_the_offering_node_crashes() {
    let outcome = run_scenario("rollout-good.xml");
    assert!(outcome.on_trial[&2] >= 3, "{:?}", outcome.on_trial);
}

#[test]
fn a_halt_in_one_half_of_a_partition_applies_to_all_nodes() {
    run_scenario("rollout-split.xml");
}

#[test]
fn of_many_versions_by_two_operators_the_highest_good_one_is_in_force() {
    let outcome = run_scenario("rollout-many.xml");
    assert_eq!(
        outcome.on_trial.get(&4),
        Some(&1),
        "the version with errors ran at one node: {:?}",
        outcome.on_trial
    );
}

#[test]
fn a_rollout_continues_through_restarts() {
    run_scenario("rollout-restarts.xml");
}

/// Two nodes run a build whose messages have a later version, with an added field, some removed
/// fields and kinds unknown to the others. All nodes see each other, share quotas and budgets, and
/// a rollout offered by a node with the later build reaches all nodes.
#[test]
fn two_builds_with_different_messages_form_one_fleet() {
    let scenario = read("rollout-later.xml");
    let (exe, dir) = (EXE.into(), env!("CARGO_TARGET_TMPDIR").into());
    let setup = ProgramSetup {
        exe,
        later: Some(later_build()),
        dir,
        extra_settings: String::new(),
    };
    let outcome = FaultScenario::start(scenario.clone(), setup).unwrap().run();
    outcome.expect_good(&scenario);
    assert!(
        outcome.backend.calls > 300 && outcome.keyed_executions > 300,
        "{:?}",
        outcome.backend
    );
}

/// Two overlapping faults, chosen by a seed, during the rollout of a good version; afterwards one
/// version is in force on all nodes.
#[test]
fn one_version_is_in_force_after_pairs_of_faults_during_a_rollout() {
    let ms = Duration::from_millis;
    let runs: Vec<_> = [5u64, 13]
        .into_iter()
        .map(|seed| {
            let fault = |kind: u64, at: Duration| {
                let node = format!("n{}", (seed + kind) % 5);
                let link = |both, fault| {
                    let (from, to) = (NodeSelector::Node(node.clone()), NodeSelector::All);
                    let faulty = LinkFault { from, to, both, fault, ..LinkFault::default() };
                    Action::Link { faulty, time: Some(ms(5000)) }
                };
                let action = match kind {
                    0 => Action::Pause { node: node.clone(), time: ms(5000) },
                    1 => link(true, Fault { cut: true, ..Fault::default() }),
                    2 => link(false, Fault { cut: true, ..Fault::default() }),
                    3 => link(true, Fault { loss: 0.4, double: 0.3, reorder: 0.3, ..Fault::default() }),
                    _ => Action::Kill(node.clone()),
                };
                let is_kill = matches!(action, Action::Kill(_));
                let back = Action::Start { node, name: None, program: None };
                let back = is_kill.then_some(Step { at: at + ms(3000), action: back });
                [Some(Step { at, action }), back].into_iter().flatten()
            };
            let offer =
                Action::Offer { node: "n1".into(), number: 2, change: "good".into(), turned_down: false };
            let mut steps = vec![
                Step { at: ms(0), action: Action::Settled { within: ms(8000), sides: 1 } },
                Step { at: ms(9000), action: offer },
            ];
            steps.extend(fault(seed % 5, ms(9500)));
            steps.extend(fault((seed / 5 + seed + 1) % 5, ms(12_000)));
            // The version is either found good or stopped by a crash on trial; the canary
            // analysis decides. All nodes must end on the same version.
            steps.push(Step { at: ms(75_000), action: Action::Settled { within: ms(6000), sides: 1 } });
            steps.sort_by_key(|step| step.at);
            let periods = [("probe", "200ms"), ("answer", "80ms"), ("gossip", "50ms"), ("regain", "200ms")];
            let stages = r#"<rollout of-zone="0.7"><stage share="one" least="1s" sample="40" spread="0s"/>
                <stage share="1" least="1s" sample="60" spread="1s"/></rollout>"#;
            let scenario = Scenario {
                name: "a change and a pair of faults".into(),
                seed,
                nodes: 5,
                zones: 2,
                load: 30,
                callers: 3,
                rollout: Some(stages.into()),
                time: ms(80_000),
                periods: periods.map(|(n, v)| (n.to_owned(), v.to_owned())).into(),
                steps,
                ..Scenario::default()
            };
            std::thread::spawn(move || {
                let outcome = run(&scenario);
                outcome.expect_good(&scenario);
                assert!(outcome.one_version_at_the_end(), "{:?}", outcome.final_settings);
            })
        })
        .collect();
    runs.into_iter().for_each(|run| run.join().unwrap());
}
