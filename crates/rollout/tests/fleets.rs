//! Simulated fleets in which everything goes wrong: whatever it is, nothing happens that may not,
//! and it ends well.

use madderpoint_rollout::coordinator::Coordinator;
use madderpoint_rollout::simulation::{Effect, Noise, Shape, SimulatedCluster};
use madderpoint_rollout::{Outcome, Stage};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: u64 = 1_000_000_000;
const MINUTE: u64 = 60 * SECOND;

/// Stages as usual, but shorter.
fn shape(seed: u64, nodes: usize) -> Shape {
    let mut shape = Shape::new(seed, nodes);
    for stage in &mut shape.plan.stages {
        *stage = Stage {
            min_duration: 60 * SECOND,
            max_duration: 900 * SECOND,
            min_requests: 200,
            start_spread: 5 * SECOND,
            ..*stage
        };
    }
    shape
}

fn fine(cluster: &SimulatedCluster) {
    assert!(
        cluster.totals.broken.is_empty(),
        "{:#?}",
        cluster.totals.broken
    );
}

fn line(cluster: &SimulatedCluster) -> String {
    let node = (0..cluster.count()).find(|node| cluster.participant(*node).is_some());
    let Some(rollout) = node.and_then(|node| cluster.participant(node)) else {
        return String::new();
    };
    let rollouts = rollout.agent.rollouts().iter().map(|c| {
        format!(
            "\n{} stage {}: {} {}",
            c.version,
            c.progress.stage,
            c.outcome.display_name(),
            c.reason.why
        )
    });
    format!(
        "{}{}",
        rollout.coordinator.line(),
        rollouts.collect::<String>()
    )
}

#[test]
fn a_good_change_goes_through_all_stages_and_all_start_on_it_from_then_on() {
    for (seed, nodes) in [(1, 10), (2, 10), (3, 40), (4, 1), (5, 3)] {
        let mut cluster = SimulatedCluster::new(shape(seed, nodes));
        let id = cluster.offer(nodes / 2, 2, Effect::NONE);
        let mut most = 0;
        for _ in 0..400 {
            cluster.run(10 * SECOND);
            let (running, allowed) = (cluster.running(2), cluster.in_stage(id).len());
            assert!(running <= allowed, "{running} of {allowed}");
            assert!(running >= most, "nobody goes back");
            most = running;
            if cluster.all_know(id, Outcome::Completed) {
                break;
            }
        }
        assert!(
            cluster.all_know(id, Outcome::Completed),
            "{nodes} nodes: {}",
            line(&cluster)
        );
        cluster.run(5 * SECOND);
        assert_eq!(cluster.running(2), nodes);
        (0..nodes).for_each(|node| cluster.crash(node));
        cluster.run(5 * SECOND);
        (0..nodes).for_each(|node| cluster.start(node));
        assert_eq!(cluster.running(2), nodes);
        fine(&cluster);
    }
}

#[test]
fn what_throttles_everything_is_taken_back_with_one_node_harmed() {
    for seed in 0..5 {
        let mut cluster = SimulatedCluster::new(shape(seed, 10));
        let id = cluster.offer(4, 2, Effect::SHUT);
        assert!(
            cluster.until(5 * MINUTE, |cluster| cluster
                .all_know(id, Outcome::RolledBack)),
            "{}",
            line(&cluster)
        );
        cluster.run(10 * SECOND);
        assert_eq!(
            (
                cluster.running(2),
                cluster.totals.ran.len(),
                cluster.stage(id)
            ),
            (0, 1, 1)
        );
        let why = &cluster.known(3, id).unwrap().reason.why;
        assert!(why.contains("throttled"), "{why}");
        fine(&cluster);
    }
}

#[test]
fn a_leak_one_operations_harm_and_crashes_are_found() {
    let leak = Effect {
        leaks: 0.05,
        after: 6,
        ..Effect::NONE
    };
    let seldom = Effect {
        operation: Some(13),
        errored: 0.6,
        ..Effect::NONE
    };
    let crash = Effect {
        dies: 0.5,
        ..Effect::NONE
    };
    let slow = Effect {
        slower: 1.0,
        ..Effect::NONE
    };
    for (effect, at_most, message) in [
        (leak, 3, "memory"),
        (seldom, 3, ""),
        (crash, 2, "deaths"),
        (slow, 2, "slow"),
    ] {
        let mut cluster = SimulatedCluster::new(shape(7, 20));
        let id = cluster.offer(4, 2, effect);
        assert!(
            cluster.until(30 * MINUTE, |cluster| cluster
                .all_know(id, Outcome::RolledBack)),
            "{effect:?}: {}",
            line(&cluster)
        );
        let rollout = cluster.known(3, id).unwrap();
        assert!(
            rollout.progress.stage <= at_most,
            "{effect:?} came to stage {}: {}",
            rollout.progress.stage,
            line(&cluster)
        );
        assert!(
            rollout.reason.why.contains(message),
            "{effect:?}: {}",
            rollout.reason.why
        );
        cluster.run(MINUTE);
        assert_eq!(cluster.running(2), 0);
        fine(&cluster);
    }
}

#[test]
fn a_version_that_some_nodes_turn_down_never_begins() {
    let mut cluster = SimulatedCluster::new(shape(1, 30));
    let id = cluster.offer(
        0,
        2,
        Effect {
            unfit: 0.1,
            ..Effect::NONE
        },
    );
    assert!(cluster.until(MINUTE, |cluster| cluster.all_know(id, Outcome::Rejected)));
    assert!(
        cluster
            .known(3, id)
            .unwrap()
            .reason
            .why
            .contains("its limits are too small")
    );
    assert_eq!(cluster.totals.ran.len(), 0);
    fine(&cluster);
}

#[test]
fn of_a_hundred_versions_in_ten_seconds_the_highest_that_can_be_run_is_in_force() {
    let mut cluster = SimulatedCluster::new(shape(3, 10));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for number in 2..=101 {
        let broken = number % 3 == 2; // 101, 98 ...
        let effect = if broken {
            Effect {
                unfit: 1.0,
                ..Effect::NONE
            }
        } else {
            Effect::NONE
        };
        cluster.offer(rng.random_range(0..10), number, effect);
        cluster.run(SECOND / 10);
    }
    cluster.run(40 * MINUTE);
    let running = (0..10)
        .map(|node| cluster.runs(node).unwrap().number)
        .collect::<Vec<_>>();
    assert!(
        running
            .iter()
            .all(|number| *number == running[0] && number % 3 != 2 && *number > 90),
        "{running:?}"
    );
    assert!(
        cluster
            .participant(0)
            .unwrap()
            .agent
            .rollouts()
            .iter()
            .all(|rollout| rollout.outcome > Outcome::InProgress)
    );
    fine(&cluster);
}

#[test]
fn of_two_operators_one_is_told_that_the_other_was_first() {
    for seed in 0..10 {
        let mut cluster = SimulatedCluster::new(shape(seed, 8));
        let one = cluster.offer(1, 2, Effect::NONE);
        cluster.run(SECOND / 100 * (seed % 3));
        let two = cluster.offer(6, 2, Effect::NONE);
        let ended = |cluster: &SimulatedCluster, id| cluster.outcome(3, id).unwrap_or_default();
        assert!(cluster.until(20 * MINUTE, |cluster| ended(cluster, one)
            > Outcome::InProgress
            && ended(cluster, two) > Outcome::InProgress));
        let mut fates = [ended(&cluster, one), ended(&cluster, two)];
        fates.sort();
        assert_eq!(
            fates,
            [Outcome::Completed, Outcome::Rejected],
            "seed {seed}"
        );
        let loser = if ended(&cluster, one) == Outcome::Rejected {
            one
        } else {
            two
        };
        let why = &cluster.known(3, loser).unwrap().reason.why;
        assert!(
            why.contains("is under way") || why.contains("in force"),
            "{why}"
        );
        fine(&cluster);
    }
}

/// The halt is heard in the half that can't go on; the other one goes on, and stops when it hears
/// of it.
#[test]
fn a_halt_on_the_small_side_holds_for_all_once_it_is_heard() {
    let mut cluster = SimulatedCluster::new(shape(5, 10));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(cluster.until(10 * MINUTE, |cluster| cluster.stage(id) == 2));
    let in_stage = cluster.in_stage(id);
    let small: Vec<usize> = (3..10)
        .filter(|node| !in_stage.contains(node))
        .take(3)
        .collect();
    cluster.split(&small);
    cluster.run(10 * SECOND);
    cluster.end(small[0], id, Outcome::Halted);
    assert!(
        cluster.until(10 * MINUTE, |cluster| cluster.stage(id) == 4),
        "{}",
        line(&cluster)
    );
    assert!(
        small
            .iter()
            .all(|node| cluster.runs(*node).unwrap().number == 1),
        "who is cut off stays as it is"
    );
    let running = cluster.running(2);
    cluster.heal();
    assert!(cluster.until(MINUTE, |cluster| cluster.all_know(id, Outcome::Halted)));
    cluster.run(10 * MINUTE);
    assert!(
        cluster.running(2) >= running && cluster.running(2) < 10,
        "nobody begins, and nobody goes back"
    );
    let at = cluster.running(2);
    cluster.run(5 * MINUTE);
    assert_eq!(cluster.running(2), at);
    cluster.end(2, id, Outcome::RolledBack);
    cluster.run(MINUTE);
    assert_eq!(cluster.running(2), 0);
    fine(&cluster);
}

/// The nodes of the stage are on the small side: the large one does not go on without them.
#[test]
fn a_split_with_the_stage_on_the_small_side_stops_it_until_it_heals() {
    let mut cluster = SimulatedCluster::new(shape(6, 12));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(cluster.until(10 * MINUTE, |cluster| cluster.running(2) >= 1
        && cluster.stage(id) == 1));
    let small = cluster.in_stage(id);
    cluster.split(&small);
    cluster.run(8 * MINUTE);
    assert_eq!(
        (cluster.stage(id), cluster.running(2)),
        (1, 1),
        "{}",
        line(&cluster)
    );
    cluster.heal();
    assert!(
        cluster.until(20 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        line(&cluster)
    );
    fine(&cluster);
}

/// The voters are split evenly off: neither half goes on.
#[test]
fn without_most_arbiters_or_most_nodes_nothing_goes_on() {
    for small in [vec![0, 1], vec![2, 3, 4, 5, 6, 7, 8, 9]] {
        let mut cluster = SimulatedCluster::new(shape(8, 10));
        let id = cluster.offer(5, 2, Effect::NONE);
        assert!(cluster.until(10 * MINUTE, |cluster| cluster.stage(id) == 2));
        cluster.split(&small); // most voters are on one side, most nodes on the other
        let stage = cluster.stage(id);
        cluster.run(10 * MINUTE);
        assert_eq!(
            (cluster.stage(id), cluster.running(2)),
            (stage, cluster.in_stage(id).len())
        );
        cluster.heal();
        assert!(
            cluster.until(20 * MINUTE, |cluster| cluster
                .all_know(id, Outcome::Completed)),
            "{}",
            line(&cluster)
        );
        fine(&cluster);
    }
}

#[test]
fn who_offered_it_dies() {
    // At once, with the content: it does not begin.
    let mut cluster = SimulatedCluster::new(shape(1, 6));
    let id = cluster.offer(5, 2, Effect::NONE);
    cluster.run(SECOND / 500);
    cluster.crash(5);
    cluster.run(10 * MINUTE);
    assert!(
        (0..5).all(|node| cluster
            .outcome(node, id)
            .is_none_or(|outcome| outcome == Outcome::Rejected)),
        "{}",
        line(&cluster)
    );
    // Later it goes on without it.
    let mut cluster = SimulatedCluster::new(shape(1, 6));
    let id = cluster.offer(5, 2, Effect::NONE);
    cluster.run(2 * SECOND);
    cluster.crash(5);
    assert!(
        cluster.until(20 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        line(&cluster)
    );
    fine(&cluster);
}

#[test]
fn the_nodes_of_a_stage_die_by_chance_or_leave() {
    // They return: tried once more, and good.
    let mut cluster = SimulatedCluster::new(shape(2, 12));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(cluster.until(10 * MINUTE, |cluster| cluster.running(2) == 1));
    let node = cluster.in_stage(id)[0];
    cluster.crash(node);
    cluster.run(10 * SECOND);
    cluster.start(node);
    assert_eq!(
        cluster.runs(node).unwrap().number,
        1,
        "it starts on the last good one"
    );
    assert!(
        cluster.until(20 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        line(&cluster)
    );
    fine(&cluster);
    // They leave by notice: another one takes the place.
    let mut cluster = SimulatedCluster::new(shape(3, 12));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(cluster.until(10 * MINUTE, |cluster| cluster.running(2) == 1));
    cluster.leave(cluster.in_stage(id)[0]);
    assert!(
        cluster.until(20 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        line(&cluster)
    );
    fine(&cluster);
    // They are lost for good: it is halted, for they may run it still.
    let mut cluster = SimulatedCluster::new(shape(4, 12));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(cluster.until(10 * MINUTE, |cluster| cluster.running(2) == 1));
    cluster.crash(cluster.in_stage(id)[0]);
    assert!(
        cluster.until(20 * MINUTE, |cluster| cluster.all_know(id, Outcome::Halted)),
        "{}",
        line(&cluster)
    );
    assert_eq!(cluster.totals.ran.len(), 1);
    fine(&cluster);
}

#[test]
fn all_nodes_restart_at_once_and_it_goes_on() {
    for (stage, seed) in [(1, 1), (2, 2), (3, 3), (4, 4)] {
        let mut cluster = SimulatedCluster::new(shape(seed, 12));
        let id = cluster.offer(0, 2, Effect::NONE);
        assert!(cluster.until(20 * MINUTE, |cluster| cluster.stage(id) == stage));
        cluster.run(20 * SECOND);
        (0..12).for_each(|node| cluster.crash(node));
        cluster.run(5 * SECOND);
        (0..12).for_each(|node| cluster.start(node));
        assert_eq!(cluster.running(2), 0, "all start on the last good one");
        assert!(
            cluster.until(40 * MINUTE, |cluster| cluster
                .all_know(id, Outcome::Completed)),
            "stage {stage}: {}",
            line(&cluster)
        );
        fine(&cluster);
    }
}

/// It restarts once it is staged, and once more when its trial is written and has not begun.
#[test]
fn a_restart_between_staged_and_in_force_loses_nothing() {
    let mut cluster = SimulatedCluster::new(shape(9, 6));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(cluster.until(MINUTE, |cluster| cluster.stage(id) == 1));
    let node = cluster.in_stage(id)[0];
    cluster.crash(node);
    cluster.start(node);
    cluster.run(MINUTE);
    assert!(
        cluster.until(30 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        line(&cluster)
    );
    fine(&cluster);
}

#[test]
fn a_node_that_was_paused_or_away_comes_to_what_is_in_force() {
    let mut cluster = SimulatedCluster::new(shape(10, 9));
    cluster.crash(8);
    cluster.pause(7, true);
    cluster.run(5 * SECOND);
    let mut last = None;
    for number in 2..=4 {
        let id = cluster.offer(2, number, Effect::NONE);
        assert!(
            cluster.until(30 * MINUTE, |cluster| cluster.outcome(0, id)
                == Some(Outcome::Completed)),
            "{number}: {}",
            line(&cluster)
        );
        last = Some(id);
    }
    cluster.pause(7, false);
    cluster.start(8);
    assert_eq!(cluster.runs(8).unwrap().number, 1);
    cluster.run(MINUTE);
    assert!(cluster.all_know(last.unwrap(), Outcome::Completed));
    assert_eq!(cluster.running(4), 9);
    // One that is new comes to it as well.
    cluster.join();
    cluster.run(MINUTE);
    assert_eq!(cluster.running(4), 10);
    fine(&cluster);
}

/// A voter is set up anew in mid-rollout, and knows nothing of what it promised: it takes part
/// again once that is past.
#[test]
fn an_arbiter_that_lost_its_disk_abstains_for_two_agreements() {
    let mut cluster = SimulatedCluster::new(shape(14, 9));
    let id = cluster.offer(5, 2, Effect::NONE);
    assert!(cluster.until(10 * MINUTE, |cluster| cluster.stage(id) == 1));
    cluster.wipe(2);
    cluster.start(2);
    assert_eq!(cluster.runs(2).unwrap().number, 1);
    let voted = |cluster: &SimulatedCluster| {
        cluster
            .participant(2)
            .is_some_and(|rollout| rollout.agent.persisted_state().vote.is_some())
    };
    assert!(
        cluster.until(20 * MINUTE, |cluster| cluster.stage(id) == 3),
        "{}",
        line(&cluster)
    );
    assert!(!voted(&cluster));
    assert!(
        cluster.until(20 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        line(&cluster)
    );
    assert!(voted(&cluster) && cluster.running(2) == 9);
    fine(&cluster);
}

/// A node whose disk is full goes back all the same; once there is room, what it starts on is
/// written.
#[test]
fn what_could_not_be_written_is_written_once_there_is_room() {
    let mut cluster = SimulatedCluster::new(shape(31, 6));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(cluster.until(10 * MINUTE, |cluster| cluster.stage(id) == 1
        && cluster.running(2) == 1));
    let node = (0..6)
        .find(|node| cluster.runs(*node).unwrap().number == 2)
        .unwrap();
    cluster.fill(node, true);
    cluster.end(3, id, Outcome::RolledBack);
    assert!(
        cluster.until(MINUTE, |cluster| cluster.running(1) == 6),
        "{}",
        line(&cluster)
    );
    cluster.fill(node, false);
    cluster.run(MINUTE);
    cluster.crash(node);
    cluster.start(node);
    let says = |cluster: &SimulatedCluster| {
        cluster
            .participant(node)
            .unwrap()
            .agent
            .host
            .lines
            .join("; ")
    };
    assert!(
        !says(&cluster).contains("died on trial"),
        "{}",
        says(&cluster)
    );
    fine(&cluster);
}

#[test]
fn a_full_disk_keeps_a_change_from_beginning_and_not_from_going_back() {
    let mut cluster = SimulatedCluster::new(shape(11, 8));
    cluster.fill(6, true);
    let id = cluster.offer(1, 2, Effect::NONE);
    assert!(cluster.until(MINUTE, |cluster| cluster.all_know(id, Outcome::Rejected)));
    assert!(
        cluster
            .known(0, id)
            .unwrap()
            .reason
            .why
            .contains("no space")
    );
    cluster.fill(6, false);
    let id = cluster.offer(1, 3, Effect::NONE);
    assert!(
        cluster.until(10 * MINUTE, |cluster| cluster.running(3) >= 4),
        "{}",
        line(&cluster)
    );
    let node = cluster.in_stage(id)[0];
    cluster.fill(node, true);
    cluster.end(0, id, Outcome::RolledBack);
    cluster.run(MINUTE);
    assert_eq!(
        cluster.running(3),
        0,
        "it goes back though that can't be written"
    );
    fine(&cluster);
}

#[test]
fn a_clock_that_steps_in_a_trial_stops_nothing() {
    let mut cluster = SimulatedCluster::new(shape(12, 12));
    let id = cluster.offer(1, 2, Effect::NONE);
    assert!(cluster.until(10 * MINUTE, |cluster| cluster.running(2) == 1));
    let node = cluster.in_stage(id)[0];
    cluster.step(node, 3_600_000);
    cluster.step((node + 1) % 12, -3_600_000);
    assert!(
        cluster.until(30 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        line(&cluster)
    );
    fine(&cluster);
}

#[test]
fn what_was_found_good_can_be_taken_back_and_a_next_one_begins_where_one_was_halted() {
    let mut cluster = SimulatedCluster::new(shape(13, 8));
    let two = cluster.offer(1, 2, Effect::NONE);
    assert!(cluster.until(20 * MINUTE, |cluster| {
        cluster.all_know(two, Outcome::Completed)
    }));
    let three = cluster.offer(1, 3, Effect::NONE);
    assert!(cluster.until(20 * MINUTE, |cluster| cluster.running(3) >= 2));
    cluster.end(7, three, Outcome::Halted);
    cluster.run(MINUTE);
    let four = cluster.offer(5, 4, Effect::NONE);
    assert!(
        cluster.until(40 * MINUTE, |cluster| cluster
            .all_know(four, Outcome::Completed)),
        "{}",
        line(&cluster)
    );
    assert_eq!(
        (cluster.outcome(0, three), cluster.running(4)),
        (Some(Outcome::RolledBack), 8)
    );
    cluster.end(3, four, Outcome::RolledBack);
    cluster.run(MINUTE);
    assert_eq!(cluster.running(2), 8, "back to the last good one before it");
    fine(&cluster);
}

/// Whatever happens, by the seed: nothing that may not, and in the end all are on one version.
/// `SEEDS` plays more.
#[test]
fn whatever_happens_it_ends_with_one_version() {
    let seeds = std::env::var("SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(40);
    for seed in 0..seeds {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let nodes = rng.random_range(4..14);
        let mut shape = shape(seed, nodes);
        shape.loss = [0.0, 0.05, 0.3][rng.random_range(0..3)];
        shape.noise = if rng.random_bool(0.5) {
            Noise::USUAL
        } else {
            Noise::NONE
        };
        let mut cluster = SimulatedCluster::new(shape);
        let (mut number, mut wiped) = (1, false);
        for _ in 0..rng.random_range(10..30) {
            let node = rng.random_range(0..cluster.count());
            match rng.random_range(0..13) {
                0 | 1 => {
                    number += 1;
                    let bad = Effect {
                        errored: 0.3,
                        ..Effect::NONE
                    };
                    let effects = [
                        Effect::NONE,
                        Effect::NONE,
                        Effect::SHUT,
                        bad,
                        Effect {
                            unfit: 0.2,
                            ..Effect::NONE
                        },
                    ];
                    cluster.offer(node, number, effects[rng.random_range(0..effects.len())]);
                }
                2 => cluster.crash(node),
                3 => cluster.start(node),
                4 => cluster.pause(node, rng.random_bool(0.5)),
                5 => {
                    let side: Vec<usize> = (0..cluster.count())
                        .filter(|_| rng.random_bool(0.4))
                        .collect();
                    cluster.split(&side);
                }
                6 => cluster.heal(),
                7 => {
                    let open = cluster
                        .participant(node)
                        .and_then(|r| r.agent.rollouts().iter().map(|c| c.id).last());
                    if let Some(id) = open {
                        cluster.end(
                            node,
                            id,
                            [Outcome::Halted, Outcome::RolledBack][rng.random_range(0..2)],
                        );
                    }
                }
                8 => cluster.fill(node, rng.random_bool(0.5)),
                9 => cluster.step(node, rng.random_range(-100_000..100_000)),
                11 if !wiped => {
                    wiped = true;
                    cluster.wipe(node);
                }
                10 if cluster.count() < 16 => _ = cluster.join(),
                _ => {}
            }
            cluster.run(rng.random_range(1..120) * SECOND);
        }
        cluster.heal();
        for node in 0..cluster.count() {
            cluster.pause(node, false);
            cluster.fill(node, false);
            cluster.start(node);
        }
        // A last one that is good, above all others; those that were halted are taken back for it.
        cluster.run(2 * MINUTE);
        number += 1;
        let id = cluster.offer(0, number, Effect::NONE);
        let done = cluster.until(120 * MINUTE, |cluster| {
            cluster.all_know(id, Outcome::Completed) && cluster.running(number) == cluster.count()
        });
        assert!(
            cluster.totals.broken.is_empty(),
            "seed {seed}: {:#?}",
            cluster.totals.broken
        );
        let ended = cluster.outcome(0, id);
        // The day has trouble of its own: a good rollout may be stopped, by chance, and then all are
        // on what was before.
        if !done {
            assert!(
                ended >= Some(Outcome::Halted),
                "seed {seed}: {ended:?}, {}",
                line(&cluster)
            );
            cluster.end(0, id, Outcome::RolledBack);
            cluster.run(5 * MINUTE);
        }
        let first = cluster.runs(0);
        assert!(
            (0..cluster.count()).all(|node| cluster.runs(node) == first),
            "seed {seed}: all run one version"
        );
    }
}

#[test]
fn a_conductor_is_the_first_arbiter_that_is_there() {
    let coordinator = |me| Coordinator::new(0, me, Default::default(), vec![5, 6, 7]);
    let member = |node, there| madderpoint_rollout::Member {
        node,
        zone: 0,
        present: there,
    };
    let members = [
        member(5, false),
        member(6, true),
        member(7, true),
        member(9, true),
    ];
    assert_eq!(
        [5, 6, 7, 9].map(|me| coordinator(me).is_coordinating(&members)),
        [true, true, false, false]
    );
    assert!(!coordinator(9).is_voter());
}
