//! Rollouts in simulated clusters under faults of every kind. No invariant may be violated, and
//! every rollout must reach the expected outcome.

use madderpoint_rollout::coordinator::Coordinator;
use madderpoint_rollout::simulation::{Effect, Noise, SimulatedCluster, SimulationConfig};
use madderpoint_rollout::{Outcome, Stage};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: u64 = 1_000_000_000;
const MINUTE: u64 = 60 * SECOND;

/// Returns the configuration with the default stages, but with shorter durations and fewer
/// requests.
fn test_config(seed: u64, nodes: usize) -> SimulationConfig {
    let mut config = SimulationConfig::new(seed, nodes);
    for stage in &mut config.plan.stages {
        *stage = Stage {
            min_duration: 60 * SECOND,
            max_duration: 900 * SECOND,
            min_requests: 200,
            start_spread: 5 * SECOND,
            ..*stage
        };
    }
    config
}

fn assert_no_violations(cluster: &SimulatedCluster) {
    assert!(
        cluster.totals.violations.is_empty(),
        "{:#?}",
        cluster.totals.violations
    );
}

fn describe(cluster: &SimulatedCluster) -> String {
    let node = (0..cluster.count()).find(|node| cluster.participant(*node).is_some());
    let Some(participant) = node.and_then(|node| cluster.participant(node)) else {
        return String::new();
    };
    let rollouts = participant.agent.rollouts().iter().map(|rollout| {
        format!(
            "\n{} stage {}: {} {}",
            rollout.version,
            rollout.progress.stage,
            rollout.outcome.display_name(),
            rollout.reason.why
        )
    });
    format!(
        "{}{}",
        participant.coordinator.line(),
        rollouts.collect::<String>()
    )
}

#[test]
fn a_good_rollout_passes_all_stages_and_nodes_restart_on_its_version() {
    for (seed, nodes) in [(1, 10), (2, 10), (3, 40), (4, 1), (5, 3)] {
        let mut cluster = SimulatedCluster::new(test_config(seed, nodes));
        let id = cluster.offer(nodes / 2, 2, Effect::NONE);
        let mut most = 0;
        for _ in 0..400 {
            cluster.run(10 * SECOND);
            let (running, allowed) = (cluster.running_count(2), cluster.in_stage(id).len());
            assert!(running <= allowed, "{running} of {allowed}");
            assert!(running >= most, "a node went back to an earlier version");
            most = running;
            if cluster.all_know(id, Outcome::Completed) {
                break;
            }
        }
        assert!(
            cluster.all_know(id, Outcome::Completed),
            "{nodes} nodes: {}",
            describe(&cluster)
        );
        cluster.run(5 * SECOND);
        assert_eq!(cluster.running_count(2), nodes);
        (0..nodes).for_each(|node| cluster.crash(node));
        cluster.run(5 * SECOND);
        (0..nodes).for_each(|node| cluster.start(node));
        assert_eq!(cluster.running_count(2), nodes);
        assert_no_violations(&cluster);
    }
}

#[test]
fn a_version_that_rejects_everything_is_rolled_back_after_one_node() {
    for seed in 0..5 {
        let mut cluster = SimulatedCluster::new(test_config(seed, 10));
        let id = cluster.offer(4, 2, Effect::REJECT_ALL);
        assert!(
            cluster.run_until(5 * MINUTE, |cluster| cluster
                .all_know(id, Outcome::RolledBack)),
            "{}",
            describe(&cluster)
        );
        cluster.run(10 * SECOND);
        assert_eq!(
            (
                cluster.running_count(2),
                cluster.totals.ran.len(),
                cluster.stage(id)
            ),
            (0, 1, 1)
        );
        let why = &cluster.rollout_at(3, id).unwrap().reason.why;
        assert!(why.contains("throttled"), "{why}");
        assert_no_violations(&cluster);
    }
}

#[test]
fn memory_leaks_harm_to_one_operation_crashes_and_slowness_are_found() {
    let leak = Effect {
        memory_growth: 0.05,
        delay_windows: 6,
        ..Effect::NONE
    };
    let rare_operation = Effect {
        operation: Some(13),
        errored: 0.6,
        ..Effect::NONE
    };
    let crash = Effect {
        crash_chance: 0.5,
        ..Effect::NONE
    };
    let slow = Effect {
        slowdown: 1.0,
        ..Effect::NONE
    };
    for (effect, at_most, reason) in [
        (leak, 3, "memory"),
        (rare_operation, 3, ""),
        (crash, 2, "deaths"),
        (slow, 2, "slow"),
    ] {
        let mut cluster = SimulatedCluster::new(test_config(7, 20));
        let id = cluster.offer(4, 2, effect);
        assert!(
            cluster.run_until(30 * MINUTE, |cluster| cluster
                .all_know(id, Outcome::RolledBack)),
            "{effect:?}: {}",
            describe(&cluster)
        );
        let rollout = cluster.rollout_at(3, id).unwrap();
        assert!(
            rollout.progress.stage <= at_most,
            "{effect:?} reached stage {}: {}",
            rollout.progress.stage,
            describe(&cluster)
        );
        assert!(
            rollout.reason.why.contains(reason),
            "{effect:?}: {}",
            rollout.reason.why
        );
        cluster.run(MINUTE);
        assert_eq!(cluster.running_count(2), 0);
        assert_no_violations(&cluster);
    }
}

#[test]
fn a_version_that_some_nodes_reject_never_starts() {
    let mut cluster = SimulatedCluster::new(test_config(1, 30));
    let id = cluster.offer(
        0,
        2,
        Effect {
            rejecting_share: 0.1,
            ..Effect::NONE
        },
    );
    assert!(cluster.run_until(MINUTE, |cluster| cluster.all_know(id, Outcome::Rejected)));
    assert!(
        cluster
            .rollout_at(3, id)
            .unwrap()
            .reason
            .why
            .contains("its limits are too small")
    );
    assert_eq!(cluster.totals.ran.len(), 0);
    assert_no_violations(&cluster);
}

#[test]
fn of_a_hundred_versions_in_ten_seconds_a_high_valid_one_is_in_force() {
    let mut cluster = SimulatedCluster::new(test_config(3, 10));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for number in 2..=101 {
        let is_invalid = number % 3 == 2; // 101, 98 ...
        let effect = if is_invalid {
            Effect {
                rejecting_share: 1.0,
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
        .map(|node| cluster.running_version(node).unwrap().number)
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
    assert_no_violations(&cluster);
}

#[test]
fn of_two_concurrent_rollouts_one_is_rejected_because_of_the_other() {
    for seed in 0..10 {
        let mut cluster = SimulatedCluster::new(test_config(seed, 8));
        let one = cluster.offer(1, 2, Effect::NONE);
        cluster.run(SECOND / 100 * (seed % 3));
        let two = cluster.offer(6, 2, Effect::NONE);
        let ended = |cluster: &SimulatedCluster, id| cluster.outcome(3, id).unwrap_or_default();
        assert!(cluster.run_until(20 * MINUTE, |cluster| ended(cluster, one)
            > Outcome::InProgress
            && ended(cluster, two) > Outcome::InProgress));
        let mut outcomes = [ended(&cluster, one), ended(&cluster, two)];
        outcomes.sort();
        assert_eq!(
            outcomes,
            [Outcome::Completed, Outcome::Rejected],
            "seed {seed}"
        );
        let rejected_rollout = if ended(&cluster, one) == Outcome::Rejected {
            one
        } else {
            two
        };
        let why = &cluster.rollout_at(3, rejected_rollout).unwrap().reason.why;
        assert!(
            why.contains("is under way") || why.contains("in force"),
            "{why}"
        );
        assert_no_violations(&cluster);
    }
}

/// The halt is issued in the minority, which cannot agree on stages. The majority goes on with the
/// rollout and stops once it learns of the halt.
#[test]
fn a_halt_in_the_minority_takes_effect_everywhere_after_the_split() {
    let mut cluster = SimulatedCluster::new(test_config(5, 10));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(cluster.run_until(10 * MINUTE, |cluster| cluster.stage(id) == 2));
    let in_stage = cluster.in_stage(id);
    let minority: Vec<usize> = (3..10)
        .filter(|node| !in_stage.contains(node))
        .take(3)
        .collect();
    cluster.split(&minority);
    cluster.run(10 * SECOND);
    cluster.end(minority[0], id, Outcome::Halted);
    assert!(
        cluster.run_until(10 * MINUTE, |cluster| cluster.stage(id) == 4),
        "{}",
        describe(&cluster)
    );
    assert!(
        minority
            .iter()
            .all(|node| cluster.running_version(*node).unwrap().number == 1),
        "nodes cut off from the majority keep their version"
    );
    let running = cluster.running_count(2);
    cluster.heal();
    assert!(cluster.run_until(MINUTE, |cluster| cluster.all_know(id, Outcome::Halted)));
    cluster.run(10 * MINUTE);
    assert!(
        cluster.running_count(2) >= running && cluster.running_count(2) < 10,
        "after the halt no node starts the version, and none rolls it back"
    );
    let count_after_halt = cluster.running_count(2);
    cluster.run(5 * MINUTE);
    assert_eq!(cluster.running_count(2), count_after_halt);
    cluster.end(2, id, Outcome::RolledBack);
    cluster.run(MINUTE);
    assert_eq!(cluster.running_count(2), 0);
    assert_no_violations(&cluster);
}

/// All nodes of the current stage are in the minority; the majority must not agree on further
/// stages without their reports.
#[test]
fn a_rollout_waits_while_its_stage_is_in_the_minority() {
    let mut cluster = SimulatedCluster::new(test_config(6, 12));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(
        cluster.run_until(10 * MINUTE, |cluster| cluster.running_count(2) >= 1
            && cluster.stage(id) == 1)
    );
    let minority = cluster.in_stage(id);
    cluster.split(&minority);
    cluster.run(8 * MINUTE);
    assert_eq!(
        (cluster.stage(id), cluster.running_count(2)),
        (1, 1),
        "{}",
        describe(&cluster)
    );
    cluster.heal();
    assert!(
        cluster.run_until(20 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        describe(&cluster)
    );
    assert_no_violations(&cluster);
}

/// Neither side has both a majority of the voters and a majority of the nodes, so the rollout does
/// not advance until the split ends.
#[test]
fn a_rollout_needs_a_majority_of_voters_and_of_nodes() {
    for minority in [vec![0, 1], vec![2, 3, 4, 5, 6, 7, 8, 9]] {
        let mut cluster = SimulatedCluster::new(test_config(8, 10));
        let id = cluster.offer(5, 2, Effect::NONE);
        assert!(cluster.run_until(10 * MINUTE, |cluster| cluster.stage(id) == 2));
        // The majority of voters is on one side, the majority of nodes on the other.
        cluster.split(&minority);
        let stage = cluster.stage(id);
        cluster.run(10 * MINUTE);
        assert_eq!(
            (cluster.stage(id), cluster.running_count(2)),
            (stage, cluster.in_stage(id).len())
        );
        cluster.heal();
        assert!(
            cluster.run_until(20 * MINUTE, |cluster| cluster
                .all_know(id, Outcome::Completed)),
            "{}",
            describe(&cluster)
        );
        assert_no_violations(&cluster);
    }
}

#[test]
fn a_rollout_survives_its_offering_node_once_the_content_is_shared() {
    // The offering node crashes before any other node has the content: the rollout does not begin.
    let mut cluster = SimulatedCluster::new(test_config(1, 6));
    let id = cluster.offer(5, 2, Effect::NONE);
    cluster.run(SECOND / 500);
    cluster.crash(5);
    cluster.run(10 * MINUTE);
    assert!(
        (0..5).all(|node| cluster
            .outcome(node, id)
            .is_none_or(|outcome| outcome == Outcome::Rejected)),
        "{}",
        describe(&cluster)
    );
    // The offering node crashes once the others have the content: the rollout completes.
    let mut cluster = SimulatedCluster::new(test_config(1, 6));
    let id = cluster.offer(5, 2, Effect::NONE);
    cluster.run(2 * SECOND);
    cluster.crash(5);
    assert!(
        cluster.run_until(20 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        describe(&cluster)
    );
    assert_no_violations(&cluster);
}

#[test]
fn nodes_of_a_stage_crash_leave_or_are_lost() {
    // The node returns: the version is put on trial once more and promoted.
    let mut cluster = SimulatedCluster::new(test_config(2, 12));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(cluster.run_until(10 * MINUTE, |cluster| cluster.running_count(2) == 1));
    let node = cluster.in_stage(id)[0];
    cluster.crash(node);
    cluster.run(10 * SECOND);
    cluster.start(node);
    assert_eq!(
        cluster.running_version(node).unwrap().number,
        1,
        "the node starts on the promoted version"
    );
    assert!(
        cluster.run_until(20 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        describe(&cluster)
    );
    assert_no_violations(&cluster);
    // The node leaves by notice: another node replaces it in the stage.
    let mut cluster = SimulatedCluster::new(test_config(3, 12));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(cluster.run_until(10 * MINUTE, |cluster| cluster.running_count(2) == 1));
    cluster.leave(cluster.in_stage(id)[0]);
    assert!(
        cluster.run_until(20 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        describe(&cluster)
    );
    assert_no_violations(&cluster);
    // The node does not return: the rollout is halted, since the node may still run the version.
    let mut cluster = SimulatedCluster::new(test_config(4, 12));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(cluster.run_until(10 * MINUTE, |cluster| cluster.running_count(2) == 1));
    cluster.crash(cluster.in_stage(id)[0]);
    assert!(
        cluster.run_until(20 * MINUTE, |cluster| cluster.all_know(id, Outcome::Halted)),
        "{}",
        describe(&cluster)
    );
    assert_eq!(cluster.totals.ran.len(), 1);
    assert_no_violations(&cluster);
}

#[test]
fn a_rollout_completes_after_all_nodes_restart_at_once() {
    for (stage, seed) in [(1, 1), (2, 2), (3, 3), (4, 4)] {
        let mut cluster = SimulatedCluster::new(test_config(seed, 12));
        let id = cluster.offer(0, 2, Effect::NONE);
        assert!(cluster.run_until(20 * MINUTE, |cluster| cluster.stage(id) == stage));
        cluster.run(20 * SECOND);
        (0..12).for_each(|node| cluster.crash(node));
        cluster.run(5 * SECOND);
        (0..12).for_each(|node| cluster.start(node));
        assert_eq!(
            cluster.running_count(2),
            0,
            "all nodes start on the promoted version"
        );
        assert!(
            cluster.run_until(40 * MINUTE, |cluster| cluster
                .all_know(id, Outcome::Completed)),
            "stage {stage}: {}",
            describe(&cluster)
        );
        assert_no_violations(&cluster);
    }
}

/// A node of the stage restarts between staging the version and putting it on trial; neither may be
/// lost.
#[test]
fn a_restart_between_staging_and_trial_loses_nothing() {
    let mut cluster = SimulatedCluster::new(test_config(9, 6));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(cluster.run_until(MINUTE, |cluster| cluster.stage(id) == 1));
    let node = cluster.in_stage(id)[0];
    cluster.crash(node);
    cluster.start(node);
    cluster.run(MINUTE);
    assert!(
        cluster.run_until(30 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        describe(&cluster)
    );
    assert_no_violations(&cluster);
}

#[test]
fn paused_absent_and_new_nodes_reach_the_version_in_force() {
    let mut cluster = SimulatedCluster::new(test_config(10, 9));
    cluster.crash(8);
    cluster.pause(7, true);
    cluster.run(5 * SECOND);
    let mut last = None;
    for number in 2..=4 {
        let id = cluster.offer(2, number, Effect::NONE);
        assert!(
            cluster.run_until(30 * MINUTE, |cluster| cluster.outcome(0, id)
                == Some(Outcome::Completed)),
            "{number}: {}",
            describe(&cluster)
        );
        last = Some(id);
    }
    cluster.pause(7, false);
    cluster.start(8);
    assert_eq!(cluster.running_version(8).unwrap().number, 1);
    cluster.run(MINUTE);
    assert!(cluster.all_know(last.unwrap(), Outcome::Completed));
    assert_eq!(cluster.running_count(4), 9);
    // A node that joins gets the version as well.
    cluster.join();
    cluster.run(MINUTE);
    assert_eq!(cluster.running_count(4), 10);
    assert_no_violations(&cluster);
}

/// A voter loses its disk during a rollout and no longer knows its promises. The voter abstains
/// until the agreements that it may have promised for are over.
#[test]
fn a_voter_that_lost_its_disk_abstains_for_two_agreements() {
    let mut cluster = SimulatedCluster::new(test_config(14, 9));
    let id = cluster.offer(5, 2, Effect::NONE);
    assert!(cluster.run_until(10 * MINUTE, |cluster| cluster.stage(id) == 1));
    cluster.wipe(2);
    cluster.start(2);
    assert_eq!(cluster.running_version(2).unwrap().number, 1);
    let voted = |cluster: &SimulatedCluster| {
        cluster
            .participant(2)
            .is_some_and(|participant| participant.agent.persisted_state().vote.is_some())
    };
    assert!(
        cluster.run_until(20 * MINUTE, |cluster| cluster.stage(id) == 3),
        "{}",
        describe(&cluster)
    );
    assert!(!voted(&cluster));
    assert!(
        cluster.run_until(20 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        describe(&cluster)
    );
    assert!(voted(&cluster) && cluster.running_count(2) == 9);
    assert_no_violations(&cluster);
}

/// A node with a full disk rolls back nevertheless. Once there is space again, the node persists
/// the version to start with; otherwise the next start would count as a crash on trial.
#[test]
fn a_failed_write_is_repeated_once_the_disk_has_space() {
    let mut cluster = SimulatedCluster::new(test_config(31, 6));
    let id = cluster.offer(0, 2, Effect::NONE);
    assert!(
        cluster.run_until(10 * MINUTE, |cluster| cluster.stage(id) == 1
            && cluster.running_count(2) == 1)
    );
    let node = (0..6)
        .find(|node| cluster.running_version(*node).unwrap().number == 2)
        .unwrap();
    cluster.set_disk_full(node, true);
    cluster.end(3, id, Outcome::RolledBack);
    assert!(
        cluster.run_until(MINUTE, |cluster| cluster.running_count(1) == 6),
        "{}",
        describe(&cluster)
    );
    cluster.set_disk_full(node, false);
    cluster.run(MINUTE);
    cluster.crash(node);
    cluster.start(node);
    let log = |cluster: &SimulatedCluster| {
        cluster
            .participant(node)
            .unwrap()
            .agent
            .host
            .lines
            .join("; ")
    };
    assert!(
        !log(&cluster).contains("died on trial"),
        "{}",
        log(&cluster)
    );
    assert_no_violations(&cluster);
}

#[test]
fn a_full_disk_prevents_a_rollout_but_not_its_rollback() {
    let mut cluster = SimulatedCluster::new(test_config(11, 8));
    cluster.set_disk_full(6, true);
    let id = cluster.offer(1, 2, Effect::NONE);
    assert!(cluster.run_until(MINUTE, |cluster| cluster.all_know(id, Outcome::Rejected)));
    assert!(
        cluster
            .rollout_at(0, id)
            .unwrap()
            .reason
            .why
            .contains("no space")
    );
    cluster.set_disk_full(6, false);
    let id = cluster.offer(1, 3, Effect::NONE);
    assert!(
        cluster.run_until(10 * MINUTE, |cluster| cluster.running_count(3) >= 4),
        "{}",
        describe(&cluster)
    );
    let node = cluster.in_stage(id)[0];
    cluster.set_disk_full(node, true);
    cluster.end(0, id, Outcome::RolledBack);
    cluster.run(MINUTE);
    assert_eq!(
        cluster.running_count(3),
        0,
        "the node rolls back although its disk is full"
    );
    assert_no_violations(&cluster);
}

#[test]
fn a_clock_step_during_a_trial_does_not_stop_the_rollout() {
    let mut cluster = SimulatedCluster::new(test_config(12, 12));
    let id = cluster.offer(1, 2, Effect::NONE);
    assert!(cluster.run_until(10 * MINUTE, |cluster| cluster.running_count(2) == 1));
    let node = cluster.in_stage(id)[0];
    cluster.step_clock(node, 3_600_000);
    cluster.step_clock((node + 1) % 12, -3_600_000);
    assert!(
        cluster.run_until(30 * MINUTE, |cluster| cluster
            .all_know(id, Outcome::Completed)),
        "{}",
        describe(&cluster)
    );
    assert_no_violations(&cluster);
}

#[test]
fn completed_rollouts_can_be_rolled_back_and_a_halted_one_is_replaced() {
    let mut cluster = SimulatedCluster::new(test_config(13, 8));
    let two = cluster.offer(1, 2, Effect::NONE);
    assert!(cluster.run_until(20 * MINUTE, |cluster| {
        cluster.all_know(two, Outcome::Completed)
    }));
    let three = cluster.offer(1, 3, Effect::NONE);
    assert!(cluster.run_until(20 * MINUTE, |cluster| cluster.running_count(3) >= 2));
    cluster.end(7, three, Outcome::Halted);
    cluster.run(MINUTE);
    let four = cluster.offer(5, 4, Effect::NONE);
    assert!(
        cluster.run_until(40 * MINUTE, |cluster| cluster
            .all_know(four, Outcome::Completed)),
        "{}",
        describe(&cluster)
    );
    assert_eq!(
        (cluster.outcome(0, three), cluster.running_count(4)),
        (Some(Outcome::RolledBack), 8)
    );
    cluster.end(3, four, Outcome::RolledBack);
    cluster.run(MINUTE);
    assert_eq!(
        cluster.running_count(2),
        8,
        "back to the version promoted before"
    );
    assert_no_violations(&cluster);
}

/// Random faults and rollouts, by seed: no invariant is violated, and all nodes run one version in
/// the end. The environment variable `SEEDS` sets the number of seeds.
#[test]
fn random_faults_end_with_one_version_on_all_nodes() {
    let seeds = std::env::var("SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(40);
    for seed in 0..seeds {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let nodes = rng.random_range(4..14);
        let mut config = test_config(seed, nodes);
        config.loss = [0.0, 0.05, 0.3][rng.random_range(0..3)];
        config.noise = if rng.random_bool(0.5) {
            Noise::USUAL
        } else {
            Noise::NONE
        };
        let mut cluster = SimulatedCluster::new(config);
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
                        Effect::REJECT_ALL,
                        bad,
                        Effect {
                            rejecting_share: 0.2,
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
                    let open = cluster.participant(node).and_then(|participant| {
                        participant
                            .agent
                            .rollouts()
                            .iter()
                            .map(|rollout| rollout.id)
                            .last()
                    });
                    if let Some(id) = open {
                        cluster.end(
                            node,
                            id,
                            [Outcome::Halted, Outcome::RolledBack][rng.random_range(0..2)],
                        );
                    }
                }
                8 => cluster.set_disk_full(node, rng.random_bool(0.5)),
                9 => cluster.step_clock(node, rng.random_range(-100_000..100_000)),
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
            cluster.set_disk_full(node, false);
            cluster.start(node);
        }
        // Finally, a good rollout with the highest version number; rollouts that were halted are
        // rolled back for it.
        cluster.run(2 * MINUTE);
        number += 1;
        let id = cluster.offer(0, number, Effect::NONE);
        let done = cluster.run_until(120 * MINUTE, |cluster| {
            cluster.all_know(id, Outcome::Completed)
                && cluster.running_count(number) == cluster.count()
        });
        assert!(
            cluster.totals.violations.is_empty(),
            "seed {seed}: {:#?}",
            cluster.totals.violations
        );
        let ended = cluster.outcome(0, id);
        // The simulated noise may cause a good rollout to be stopped. All nodes then run the
        // version before it.
        if !done {
            assert!(
                ended >= Some(Outcome::Halted),
                "seed {seed}: {ended:?}, {}",
                describe(&cluster)
            );
            cluster.end(0, id, Outcome::RolledBack);
            cluster.run(5 * MINUTE);
        }
        let first = cluster.running_version(0);
        assert!(
            (0..cluster.count()).all(|node| cluster.running_version(node) == first),
            "seed {seed}: nodes run different versions"
        );
    }
}

#[test]
fn the_coordinator_is_the_first_present_voter() {
    let coordinator = |me| Coordinator::new(0, me, Default::default(), vec![5, 6, 7]);
    let member = |node, present| madderpoint_rollout::Member {
        node,
        zone: 0,
        present,
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
