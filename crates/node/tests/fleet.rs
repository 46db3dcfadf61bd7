//! Several processes of the program with faults between them, by the timetables in `examples/rig`: each must settle within its
//! bounds, and nothing of the load may be lost, late or doubled.

use madderpoint_standins::rig::{Outcome, Rig, Setting};
use madderpoint_standins::script::{self, Action, Ends, Fault, Faulty, Script, Step};
use std::path::Path;
use std::time::Duration;

fn setting() -> Setting {
    Setting {
        exe: env!("CARGO_BIN_EXE_madderpoint").into(),
        dir: env!("CARGO_TARGET_TMPDIR").into(),
        more: String::new(),
    }
}

fn read(name: &str) -> Script {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/rig")).join(name);
    let text = std::fs::read_to_string(&path).unwrap();
    script::read(name, &text).unwrap_or_else(|complaints| panic!("{complaints}"))
}

fn play(script: &Script) -> Outcome {
    Rig::start(script.clone(), setting()).unwrap().play()
}

fn holds(name: &str) {
    let script = read(name);
    let outcome = play(&script);
    outcome.expect_good(&script);
    let succeeded = outcome.statuses.get("200").copied().unwrap_or(0);
    assert!(succeeded > 100, "{:?}", outcome.statuses);
}

#[test]
fn a_zone_is_cut_off_then_a_node_crashes() {
    holds("partition-and-crash.xml");
}

#[test]
fn a_link_is_cut_one_way_and_a_partition_flaps() {
    holds("one-way-and-flapping.xml");
}

#[test]
fn six_in_ten_are_replaced() {
    holds("replaced.xml");
}

#[test]
fn a_node_stands_still_past_its_death() {
    holds("paused.xml");
}

#[test]
fn two_processes_have_one_name() {
    holds("names.xml");
}

#[test]
fn all_seeds_are_down_and_all_start_cold() {
    holds("cold-and-seeds.xml");
}

#[test]
fn links_are_rough_and_a_stranger_floods() {
    holds("rough-links.xml");
}

#[test]
fn the_rig_says_so_when_something_does_not_hold() {
    let outcome = play(&read("not-so.xml"));
    assert_eq!(outcome.failures.len(), 2, "{:?}", outcome.failures);
    assert!(outcome.failures[0].contains("2 groups that hear each other"), "{:?}", outcome.failures);
    assert!(outcome.failures[1].contains("n1 holds n2 for alive, not dead"), "{:?}", outcome.failures);
    assert!(outcome.record.iter().any(|line| line.contains("joined")), "{:?}", outcome.record);
}

/// Pairs of faults drawn by seed, one within the other; afterwards all agree.
#[test]
fn pairs_of_faults_by_seed() {
    for seed in [11u64, 12] {
        let ms = Duration::from_millis;
        let fault = |kind: u64, at: Duration| {
            let node = format!("n{}", (seed + kind) % 4);
            let link = |fault| {
                let (from, to) = (Ends::Node(node.clone()), Ends::All);
                let faulty = Faulty { from, to, both: true, fault, ..Faulty::default() };
                Action::Link { faulty, time: Some(ms(2500)) }
            };
            let action = match kind {
                0 => Action::Pause { node: node.clone(), time: ms(2500) },
                1 => link(Fault { cut: true, ..Fault::default() }),
                2 => link(Fault { hold: true, ..Fault::default() }),
                3 => link(Fault { loss: 0.5, double: 0.3, ..Fault::default() }),
                _ => Action::Kill(node.clone()),
            };
            let back = Step { at: at + ms(2600), action: Action::Start { node, name: None, program: None } };
            let is_kill = matches!(action, Action::Kill(_));
            [Some(Step { at, action }), is_kill.then_some(back)].into_iter().flatten()
        };
        let mut steps = vec![Step { at: ms(0), action: Action::Settled { within: ms(8000), sides: 1 } }];
        steps.extend(fault(seed % 5, ms(1000)));
        steps.extend(fault((seed / 5 + seed) % 5, ms(2000)));
        steps.push(Step { at: ms(5500), action: Action::Settled { within: ms(6000), sides: 1 } });
        steps.sort_by_key(|step| step.at);
        let periods = [("probe", "200ms"), ("answer", "80ms"), ("gossip", "50ms"), ("regain", "200ms")];
        let script = Script {
            name: "a pair of faults".into(),
            seed,
            nodes: 4,
            zones: 2,
            load: 20,
            time: ms(7000),
            periods: periods.map(|(n, v)| (n.to_owned(), v.to_owned())).into(),
            steps,
            ..Script::default()
        };
        play(&script).expect_good(&script);
    }
}
