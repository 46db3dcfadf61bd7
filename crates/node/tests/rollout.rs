//! Changes of settings in stages among several processes, with faults between them, by the
//! timetables in `examples/rig`: good ones reach all, bad ones are stopped where they began, and
//! the joined record of all nodes is what the rules of a change allow.

use madderpoint_test_harness::fault_scenario::{FaultScenario, Outcome, ProgramSetup};
use madderpoint_test_harness::scenario::{
    self, Action, Fault, LinkFault, NodeSelector, Scenario, Step,
};
use std::path::Path;
use std::sync::OnceLock;
use std::time::Duration;

const EXE: &str = env!("CARGO_BIN_EXE_madderpoint");

/// The program with a later version of all messages, built beside the present one. It is there
/// before any rig plays: a compiler beside them takes the processors that judgements go by.
fn later() -> std::path::PathBuf {
    static BUILT: OnceLock<std::path::PathBuf> = OnceLock::new();
    BUILT.get_or_init(build_later).clone()
}

fn build_later() -> std::path::PathBuf {
    let target = Path::new(env!("CARGO_TARGET_TMPDIR")).join("later");
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let built = std::process::Command::new(cargo)
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
    assert!(built.unwrap().success(), "the later build");
    target.join("debug").join("madderpoint")
}

fn play(script: &Scenario) -> Outcome {
    later();
    let setting = ProgramSetup {
        exe: EXE.into(),
        later: None,
        dir: env!("CARGO_TARGET_TMPDIR").into(),
        extra_settings: String::new(),
    };
    FaultScenario::start(script.clone(), setting).unwrap().run()
}

fn read(name: &str) -> Scenario {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/rig")).join(name);
    let text = std::fs::read_to_string(&path).unwrap();
    scenario::read(name, &text).unwrap_or_else(|complaints| panic!("{complaints}"))
}

fn holds(name: &str) -> Outcome {
    let script = read(name);
    let outcome = play(&script);
    outcome.expect_good(&script);
    outcome
}

/// One node of six is harmed, and no other.
#[test]
fn a_change_that_throttles_all_is_stopped_at_one_node() {
    let outcome = holds("rollout-bad.xml");
    assert_eq!(outcome.on_trial.get(&5), Some(&1), "{:?}", outcome.on_trial);
    assert!(!outcome.on_trial.contains_key(&4) && !outcome.on_trial.contains_key(&3));
    let of = |status: &str| outcome.statuses.get(status).copied().unwrap_or(0);
    assert!(
        of("429") > 0 && of("429") * 10 < of("200"),
        "{:?}",
        outcome.statuses
    );
}

#[test]
fn a_good_change_reaches_all_though_who_offered_it_dies() {
    let outcome = holds("rollout-good.xml");
    assert!(outcome.on_trial[&2] >= 3, "{:?}", outcome.on_trial);
}

#[test]
fn a_halt_in_one_half_of_a_partition_holds_for_all() {
    holds("rollout-split.xml");
}

#[test]
fn of_many_versions_by_two_operators_the_highest_good_one_is_in_force() {
    let outcome = holds("rollout-many.xml");
    assert_eq!(
        outcome.on_trial.get(&4),
        Some(&1),
        "what errs ran at one node: {:?}",
        outcome.on_trial
    );
}

#[test]
fn a_change_goes_on_through_restarts() {
    holds("rollout-restarts.xml");
}

/// Two nodes are of a build whose messages have another version, a field more, some less and kinds
/// that the others do not know. All of them see each other, share limits and budgets, and a change
/// that one of the later ones offers reaches all.
#[test]
fn two_builds_with_other_messages_are_one_fleet() {
    let script = read("rollout-later.xml");
    let (exe, dir) = (EXE.into(), env!("CARGO_TARGET_TMPDIR").into());
    let setting = ProgramSetup {
        exe,
        later: Some(later()),
        dir,
        extra_settings: String::new(),
    };
    let outcome = FaultScenario::start(script.clone(), setting).unwrap().run();
    outcome.expect_good(&script);
    assert!(
        outcome.backend.calls > 300 && outcome.keyed_executions > 300,
        "{:?}",
        outcome.backend
    );
}

/// Pairs of hard cases drawn by seed, one within the other, while a good change goes out;
/// afterwards one version is in force.
#[test]
fn pairs_of_faults_by_seed_while_a_change_goes_out() {
    let ms = Duration::from_millis;
    let plays: Vec<_> = [5u64, 13]
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
            // Whether it is found good or a death on trial stops it is for the judgement to say;
            // all must come to the same.
            steps.push(Step { at: ms(75_000), action: Action::Settled { within: ms(6000), sides: 1 } });
            steps.sort_by_key(|step| step.at);
            let periods = [("probe", "200ms"), ("answer", "80ms"), ("gossip", "50ms"), ("regain", "200ms")];
            let stages = r#"<rollout of-zone="0.7"><stage share="one" least="1s" sample="40" spread="0s"/>
                <stage share="1" least="1s" sample="60" spread="1s"/></rollout>"#;
            let script = Scenario {
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
                let outcome = play(&script);
                outcome.expect_good(&script);
                assert!(outcome.one_version_at_the_end(), "{:?}", outcome.final_settings);
            })
        })
        .collect();
    plays.into_iter().for_each(|play| play.join().unwrap());
}
