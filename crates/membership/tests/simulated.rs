//! Faults of a cluster in simulated time. Each test states what must hold afterwards, and how soon.

use madderpoint_membership::FeatureToggles;
use madderpoint_membership::member::{Attachment, Liveness, MemberKey};
use madderpoint_membership::simulation::{Simulation, SimulationConfig};
use madderpoint_membership::{Nanos, Phase};

const MS: Nanos = 1_000_000;
const S: Nanos = 1000 * MS;

fn cluster(members: usize, seed: u64) -> Simulation {
    Simulation::started(SimulationConfig {
        members,
        seed,
        ..SimulationConfig::default()
    })
}

fn run_until_settled(sim: &mut Simulation, within: Nanos) -> Nanos {
    let seed = sim.config.seed;
    let took = sim.run_until(within, 50 * MS, |sim| sim.is_settled());
    took.unwrap_or_else(|| panic!("seed {seed}: not settled within {} ms", within / MS))
}

/// Runs the simulation for a time, and checks that the cluster is settled afterwards, that no
/// member is suspected then, and that none was falsely declared dead in the meantime.
fn assert_stays_settled(sim: &mut Simulation, time: Nanos) {
    let before = sim.false_deaths.len();
    sim.run(time);
    assert!(
        sim.is_settled() && sim.is_calm(),
        "seed {}",
        sim.config.seed
    );
    assert_eq!(sim.false_deaths[before..], [], "seed {}", sim.config.seed);
}

fn counter_total(sim: &Simulation, counter: &str) -> u64 {
    sim.up()
        .filter_map(|(_, membership)| membership.counters().get(counter))
        .sum()
}

fn no_invariant_failed(sim: &Simulation) {
    for (node, membership) in sim.up() {
        let failed: Vec<_> = membership
            .counters()
            .iter()
            .filter(|(counter, _)| counter.starts_with("invariant"))
            .collect();
        assert!(
            failed.is_empty(),
            "seed {}, {}: {failed:?}",
            sim.config.seed,
            node.name
        );
    }
}

#[test]
fn members_that_start_at_once_find_each_other() {
    for (members, within) in [(1, S), (2, 3 * S), (5, 3 * S), (60, 6 * S), (300, 10 * S)] {
        for seed in 0..3 {
            let mut sim = Simulation::started(SimulationConfig {
                members,
                seed,
                preloaded: false,
                ..SimulationConfig::default()
            });
            run_until_settled(&mut sim, within);
            assert_stays_settled(&mut sim, 20 * S);
            no_invariant_failed(&sim);
        }
    }
}

#[test]
fn all_members_agree_on_a_crash() {
    for (members, within) in [(3, 16 * S), (5, 12 * S), (40, 16 * S)] {
        for seed in 0..5 {
            let mut sim = cluster(members, seed);
            sim.run(5 * S);
            sim.crash(1);
            run_until_settled(&mut sim, within);
            assert_stays_settled(&mut sim, 10 * S);
        }
    }
}

/// A zone is cut off for 6 to 60 seconds, long enough for both sides to declare each other dead.
/// After the cut they must find each other again.
#[test]
fn halves_of_a_healed_partition_find_each_other() {
    for seed in 0..8 {
        for (members, cut) in [(6, 6), (60, 6), (60, 60), (300, 30)]
            .into_iter()
            .filter(|(m, _)| seed == 0 || *m < 300)
        {
            let mut sim = cluster(members, seed);
            sim.run(5 * S);
            sim.cut(|from, to| (from.zone == 0) != (to.zone == 0));
            sim.run(cut * S);
            sim.heal();
            let took = run_until_settled(&mut sim, 8 * S);
            println!(
                "{members} members, cut for {cut} s: settled after {} ms",
                took / MS
            );
            assert!(
                members < 300 || took <= 4 * S,
                "seed {seed}: {} ms for {members}",
                took / MS
            );
            // A suspicion from the cut, whose last calls were lost, may still lead to a death.
            sim.run(S);
            run_until_settled(&mut sim, 3 * S);
            assert_stays_settled(&mut sim, 60 * S);
            no_invariant_failed(&sim);
        }
    }
}

#[test]
fn a_flapping_partition_shorter_than_the_suspicion_timeout_causes_no_deaths() {
    let mut sim = cluster(30, 7);
    sim.run(3 * S);
    for _ in 0..20 {
        sim.cut(|from, to| (from.zone == 0) != (to.zone == 0));
        sim.run(1500 * MS);
        sim.heal();
        sim.run(1500 * MS);
    }
    assert_eq!(sim.detected.len(), 0);
    run_until_settled(&mut sim, 5 * S);
    for (_, membership) in sim.up() {
        assert_eq!(membership.member_table().counts().dead, 0);
    }
}

/// The link from one member to another is cut, first in one direction and then in both; all other
/// members reach both of them.
#[test]
fn a_cut_link_between_two_members_that_others_reach_causes_no_deaths() {
    for seed in 0..5 {
        let mut sim = cluster(5, seed);
        sim.run(2 * S);
        sim.cut(|from, to| from.name == "n0" && to.name == "n1");
        assert_all_stay_present(&mut sim, 120 * S);
        sim.cut(|from, to| {
            from.name == "n0" && to.name == "n1" || from.name == "n1" && to.name == "n0"
        });
        assert_all_stay_present(&mut sim, 120 * S);
    }
}

fn assert_all_stay_present(sim: &mut Simulation, time: Nanos) {
    for _ in 0..time / S {
        sim.run(S);
        for (node, membership) in sim.up() {
            let counters = membership.member_table().counts();
            assert_eq!(
                (counters.present(), counters.dead),
                (5, 0),
                "seed {}, {}",
                sim.config.seed,
                node.name
            );
        }
    }
}

#[test]
fn six_in_ten_members_are_replaced_within_seven_seconds() {
    for seed in 0..3 {
        let mut sim = cluster(100, seed);
        sim.run(3 * S);
        for n in 0..60 {
            if n % 2 == 0 {
                sim.leave(n)
            } else {
                sim.crash(n)
            }
            sim.run(58 * MS);
            sim.start(n);
            sim.run(58 * MS);
        }
        run_until_settled(&mut sim, 6 * S);
        sim.run(30 * S);
        assert!(sim.is_settled() && sim.is_calm(), "seed {seed}");
        no_invariant_failed(&sim);
    }
}

/// A node is paused for longer than it takes to be declared dead. After the pause it must refute
/// its death and must not declare other members dead.
#[test]
fn a_node_that_was_declared_dead_during_a_pause_returns() {
    for seed in 0..4 {
        let mut sim = cluster(20, seed);
        sim.run(2 * S);
        sim.pause(3, 40 * S);
        sim.run(39 * S);
        let dead = sim.up().filter(|(node, _)| node.name != "n3");
        let dead = dead
            .filter(|(_, f)| {
                f.member_table()
                    .get(MemberKey::of("n3"))
                    .unwrap()
                    .liveness()
                    == Liveness::Dead
            })
            .count();
        assert_eq!(dead, 19, "seed {seed}");
        sim.run(S);
        run_until_settled(&mut sim, 5 * S);
        let (_, membership) = sim.up().nth(3).unwrap();
        assert!(membership.refutation() > 0);
        // It declared no member dead, although it received nothing during the pause.
        assert_eq!(membership.member_table().counts().dead, 0, "seed {seed}");
        assert!(counter_total(&sim, "times it stood still") >= 1);
        assert_stays_settled(&mut sim, 30 * S);
    }
}

/// A node is paused for longer than the others remember dead members. Its outdated table must not
/// make these members appear again.
#[test]
fn a_node_paused_beyond_the_retention_time_does_not_bring_back_dead_members() {
    let mut config = SimulationConfig {
        members: 12,
        seed: 3,
        ..SimulationConfig::default()
    };
    config.timing.forget_after = 60 * S;
    let mut sim = Simulation::started(config);
    sim.run(2 * S);
    sim.pause(0, 400 * S);
    sim.run(10 * S);
    (1..5).for_each(|n| sim.crash(n));
    sim.run(380 * S);
    assert_eq!(
        sim.up().nth(1).unwrap().1.member_table().counts().dead,
        0,
        "all members have forgotten the dead ones"
    );
    let dead_returned = |sim: &Simulation| {
        sim.up().skip(1).any(|(_, f)| {
            (1..5).any(|n| {
                f.member_table()
                    .get(MemberKey::of(&format!("n{n}")))
                    .is_some()
            })
        })
    };
    for _ in 0..250 {
        sim.run(100 * MS);
        assert!(!dead_returned(&sim));
    }
    assert!(sim.is_settled());
}

/// Some nodes stall for so long that replies to their probes come too late. Their local health
/// score must keep them from declaring other members dead.
#[test]
fn stalling_nodes_cause_no_false_deaths() {
    let mut sim = Simulation::started(SimulationConfig {
        members: 30,
        stalling: 0.07,
        seed: 5,
        ..SimulationConfig::default()
    });
    sim.run(600 * S);
    assert_eq!(sim.false_deaths, vec![]);
    assert!(counter_total(&sim, "times it stood still") > 50);
}

/// Without local health and confirmations the same cluster must have many more false deaths. This
/// shows that the tests above can fail.
#[test]
fn without_local_health_and_confirmations_false_deaths_increase() {
    let features = FeatureToggles {
        health: false,
        confirm: false,
        ..FeatureToggles::default()
    };
    let config = SimulationConfig {
        members: 30,
        stalling: 0.2,
        loss: 0.5,
        seed: 5,
        features,
        ..SimulationConfig::default()
    };
    let mut sim = Simulation::started(config.clone());
    sim.run(1200 * S);
    let mut sim_with_features = Simulation::started(SimulationConfig {
        features: FeatureToggles::default(),
        ..config
    });
    sim_with_features.run(1200 * S);
    assert!(
        sim.false_deaths.len() > 2 * sim_with_features.false_deaths.len(),
        "{:?}, {:?}",
        sim.false_deaths,
        sim_with_features.false_deaths
    );
}

/// All seeds are down. Members that know each other must stay together; a member that starts must
/// report that it is alone, and join once a seed is back.
#[test]
fn with_all_seeds_down_members_stay_and_a_new_one_joins_later() {
    let mut sim = Simulation::new(SimulationConfig {
        members: 8,
        seed: 9,
        ..SimulationConfig::default()
    });
    sim.collect_lines = true;
    (0..7).for_each(|n| sim.start(n));
    run_until_settled(&mut sim, 5 * S);
    (0..3).for_each(|n| sim.crash(n));
    sim.start(7);
    sim.run(30 * S);
    assert_eq!(
        sim.up().last().unwrap().1.member_table().counts().present(),
        1
    );
    assert!(
        sim.nodes[7]
            .membership
            .as_ref()
            .unwrap()
            .host
            .lines
            .as_ref()
            .unwrap()
            .iter()
            .any(|l| l.contains("alone"))
    );
    for (node, membership) in sim.up().filter(|(node, _)| node.name != "n7") {
        assert_eq!(
            membership.member_table().counts().present(),
            4,
            "{}",
            node.name
        );
    }
    sim.start(1);
    run_until_settled(&mut sim, 15 * S);
}

/// A member restarts under its name, first at once and then with a clock that was set back by five
/// minutes. Its new incarnation must take precedence over the earlier ones.
#[test]
fn a_restarted_member_takes_precedence_over_its_earlier_incarnations() {
    for seed in 0..4 {
        let mut sim = cluster(10, seed);
        sim.run(5 * S);
        sim.crash(4);
        sim.run(200 * MS);
        sim.start(4);
        run_until_settled(&mut sim, 3 * S);
        sim.crash(4);
        sim.nodes[4].clock_error_ms = -300_000; // set back by five minutes
        sim.start(4);
        run_until_settled(&mut sim, 6 * S);
        let (_, membership) = sim.up().nth(4).unwrap();
        assert!(!membership.has_name_conflict());
        assert!(
            counter_total(
                &sim,
                "times it took its name over from an earlier incarnation"
            ) >= 1,
            "seed {seed}"
        );
        assert_stays_settled(&mut sim, 30 * S);
    }
}

#[test]
fn clock_differences_and_clock_jumps_do_no_harm() {
    let mut sim = Simulation::new(SimulationConfig {
        members: 9,
        seed: 4,
        ..SimulationConfig::default()
    });
    for n in 0..9 {
        sim.nodes[n].clock_error_ms = (n as i64 - 4) * 60_000;
        sim.start(n);
    }
    run_until_settled(&mut sim, 5 * S);
    for n in 0..9 {
        sim.nodes[n].clock_error_ms = if n % 2 == 0 { 86_400_000 } else { -86_400_000 };
    }
    assert_stays_settled(&mut sim, 60 * S);
    sim.cut(|from, to| (from.zone == 0) != (to.zone == 0));
    sim.run(30 * S);
    sim.heal();
    run_until_settled(&mut sim, 6 * S);
}

#[test]
fn a_drain_and_a_leave_reach_all_members_and_cause_no_death() {
    let mut sim = cluster(12, 2);
    sim.run(3 * S);
    let at = madderpoint_membership::ClockReading {
        now: sim.now,
        unix_ms: 1_800_000_000_000,
    };
    sim.nodes[5]
        .membership
        .as_mut()
        .unwrap()
        .set_phase(at, Phase::Draining);
    sim.run(2 * S);
    for (node, membership) in sim.up() {
        assert_eq!(
            membership
                .member_table()
                .get(MemberKey::of("n5"))
                .unwrap()
                .details
                .phase,
            Phase::Draining,
            "{}",
            node.name
        );
    }
    sim.leave(5);
    sim.run(2 * S);
    for (_, membership) in sim.up() {
        assert_eq!(
            (
                membership.member_table().counts().left,
                membership.member_table().counts().dead
            ),
            (1, 0)
        );
    }
    assert!(sim.is_settled());
}

/// A member leaves while a zone is cut off. The members on the other side declare it dead, and must
/// learn after the partition that it left.
#[test]
fn a_leave_during_a_partition_is_known_to_all_afterwards() {
    for seed in 0..4 {
        let mut sim = cluster(9, seed);
        sim.run(3 * S);
        sim.cut(|from, to| (from.zone == 0) != (to.zone == 0));
        sim.run(2 * S);
        sim.leave(4); // in zone 1
        sim.run(20 * S);
        sim.heal();
        run_until_settled(&mut sim, 6 * S);
        sim.run(25 * S);
        for (node, membership) in sim.up() {
            let liveness = membership
                .member_table()
                .get(MemberKey::of("n4"))
                .unwrap()
                .liveness();
            assert_eq!(liveness, Liveness::Left, "seed {seed}, {}", node.name);
        }
    }
}

/// An attachment must reach all members. An attachment that makes the entry too large must be
/// refused.
#[test]
fn attachments_reach_all_members_and_are_bounded() {
    let mut sim = cluster(12, 2);
    sim.run(S);
    let at = madderpoint_membership::ClockReading {
        now: sim.now,
        unix_ms: 1_800_000_000_000,
    };
    let membership = sim.nodes[2].membership.as_mut().unwrap();
    let attachment = |bytes| Attachment {
        id: 7,
        version: 1,
        bytes,
    };
    assert!(
        membership
            .set_attachment(at, attachment(vec![1; 500]))
            .is_err()
    );
    assert!(
        membership
            .set_attachment(at, attachment(vec![5; 60]))
            .is_ok()
    );
    run_until_settled(&mut sim, 4 * S);
    for (_, membership) in sim.up() {
        assert_eq!(
            membership
                .member_table()
                .get(MemberKey::of("n2"))
                .unwrap()
                .details
                .attachments,
            vec![attachment(vec![5; 60])]
        );
    }
}

/// Pairs of the faults above, chosen by the seed, one after the other. Afterwards all members must
/// agree within the time limit.
#[test]
fn all_members_agree_after_pairs_of_faults() {
    for seed in 0..40u64 {
        let members = [3, 4, 7, 16, 40][seed as usize % 5];
        let loss = [0.0, 0.05, 0.15][seed as usize % 3];
        let mut sim = Simulation::started(SimulationConfig {
            members,
            seed,
            loss,
            ..SimulationConfig::default()
        });
        sim.run(2 * S);
        for fault in [seed % 7, seed / 7 % 7] {
            let n = (seed as usize * 7 + fault as usize) % members;
            match fault {
                0 => sim.crash(n),
                1 => sim.pause(n, 15 * S),
                2 => sim.cut(|from, to| (from.zone == 1) != (to.zone == 1)),
                3 => sim.cut(|from, _| from.name == "n1"),
                4 => {
                    sim.crash(n);
                    sim.start(n);
                }
                5 => sim.leave(n),
                _ => (0..members).for_each(|n| sim.pause(n, (n as Nanos % 4) * 700 * MS)),
            }
            sim.run((3 + seed % 5) * S);
        }
        sim.heal();
        for n in 0..members {
            if sim.nodes[n].membership.is_none() {
                sim.start(n);
            }
        }
        sim.run(15 * S); // all pauses end
        run_until_settled(&mut sim, 25 * S);
        no_invariant_failed(&sim);
    }
}
