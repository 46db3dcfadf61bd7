//! The hard cases of a fleet, processed over simulated time: each names what must hold and how soon.

use madderpoint_membership::FeatureToggles;
use madderpoint_membership::member::{Attachment, Liveness, MemberKey};
use madderpoint_membership::simulation::{Simulation, SimulationConfig};
use madderpoint_membership::{Nanos, Phase};

const MS: Nanos = 1_000_000;
const S: Nanos = 1000 * MS;

fn fleet(members: usize, seed: u64) -> Simulation {
    Simulation::started(SimulationConfig {
        members,
        seed,
        ..SimulationConfig::default()
    })
}

fn settles(sim: &mut Simulation, within: Nanos) -> Nanos {
    let seed = sim.config.seed;
    let took = sim.run_until(within, 50 * MS, |sim| sim.is_settled());
    took.unwrap_or_else(|| panic!("seed {seed}: not settled within {} ms", within / MS))
}

/// The fleet is settled, and stays so, with nobody suspected and nothing falsely buried.
fn stays_settled(sim: &mut Simulation, time: Nanos) {
    let before = sim.false_deaths.len();
    sim.run(time);
    assert!(
        sim.is_settled() && sim.is_calm(),
        "seed {}",
        sim.config.seed
    );
    assert_eq!(sim.false_deaths[before..], [], "seed {}", sim.config.seed);
}

fn counted(sim: &Simulation, what: &str) -> u64 {
    sim.up()
        .filter_map(|(_, fleet)| fleet.counters().get(what))
        .sum()
}

fn no_invariant_failed(sim: &Simulation) {
    for (node, fleet) in sim.up() {
        let failed: Vec<_> = fleet
            .counters()
            .iter()
            .filter(|(what, _)| what.starts_with("invariant"))
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
fn all_that_start_at_once_and_cold_find_each_other() {
    for (members, within) in [(1, S), (2, 3 * S), (5, 3 * S), (60, 6 * S), (300, 10 * S)] {
        for seed in 0..3 {
            let mut sim = Simulation::started(SimulationConfig {
                members,
                seed,
                preloaded: false,
                ..SimulationConfig::default()
            });
            settles(&mut sim, within);
            stays_settled(&mut sim, 20 * S);
            no_invariant_failed(&sim);
        }
    }
}

#[test]
fn a_crash_is_found_and_its_end_agreed_on() {
    for (members, within) in [(3, 16 * S), (5, 12 * S), (40, 16 * S)] {
        for seed in 0..5 {
            let mut sim = fleet(members, seed);
            sim.run(5 * S);
            sim.crash(1);
            settles(&mut sim, within);
            stays_settled(&mut sim, 10 * S);
        }
    }
}

/// A zone is cut for six seconds, and for a minute: halves hold each other for dead, and find each
/// other again.
#[test]
fn halves_of_a_healed_partition_find_each_other() {
    for seed in 0..8 {
        for (members, cut) in [(6, 6), (60, 6), (60, 60), (300, 30)]
            .into_iter()
            .filter(|(m, _)| seed == 0 || *m < 300)
        {
            let mut sim = fleet(members, seed);
            sim.run(5 * S);
            sim.cut(|from, to| (from.zone == 0) != (to.zone == 0));
            sim.run(cut * S);
            sim.heal();
            let took = settles(&mut sim, 8 * S);
            println!(
                "{members} members, cut for {cut} s: settled after {} ms",
                took / MS
            );
            assert!(
                members < 300 || took <= 4 * S,
                "seed {seed}: {} ms for {members}",
                took / MS
            );
            // A last call that the cut swallowed may still bury one within its time.
            sim.run(S);
            settles(&mut sim, 3 * S);
            stays_settled(&mut sim, 60 * S);
            no_invariant_failed(&sim);
        }
    }
}

#[test]
fn a_partition_that_flaps_faster_than_suspicion_buries_nobody() {
    let mut sim = fleet(30, 7);
    sim.run(3 * S);
    for _ in 0..20 {
        sim.cut(|from, to| (from.zone == 0) != (to.zone == 0));
        sim.run(1500 * MS);
        sim.heal();
        sim.run(1500 * MS);
    }
    assert_eq!(sim.detected.len(), 0);
    settles(&mut sim, 5 * S);
    for (_, fleet) in sim.up() {
        assert_eq!(fleet.member_table().counts().dead, 0);
    }
}

/// A cannot reach B, but B reaches A, and all others hear both.
#[test]
fn a_link_cut_one_way_harms_nobody_whom_a_third_one_hears() {
    for seed in 0..5 {
        let mut sim = fleet(5, seed);
        sim.run(2 * S);
        sim.cut(|from, to| from.name == "n0" && to.name == "n1");
        stays_settled_but_for_suspicion(&mut sim, 120 * S);
        sim.cut(|from, to| {
            from.name == "n0" && to.name == "n1" || from.name == "n1" && to.name == "n0"
        });
        stays_settled_but_for_suspicion(&mut sim, 120 * S);
    }
}

fn stays_settled_but_for_suspicion(sim: &mut Simulation, time: Nanos) {
    for _ in 0..time / S {
        sim.run(S);
        for (node, fleet) in sim.up() {
            let counters = fleet.member_table().counts();
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
fn six_in_ten_are_replaced_within_seven_seconds() {
    for seed in 0..3 {
        let mut sim = fleet(100, seed);
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
        settles(&mut sim, 6 * S);
        sim.run(30 * S);
        assert!(sim.is_settled() && sim.is_calm(), "seed {seed}");
        no_invariant_failed(&sim);
    }
}

/// A node paused for longer than it takes to be declared dead wakes to find itself so, and says
/// that it is there.
#[test]
fn a_node_that_slept_past_its_death_comes_back() {
    for seed in 0..4 {
        let mut sim = fleet(20, seed);
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
        settles(&mut sim, 5 * S);
        let (_, fleet) = sim.up().nth(3).unwrap();
        assert!(fleet.refutation() > 0);
        // It buried nobody, though it had heard nobody for so long.
        assert_eq!(fleet.member_table().counts().dead, 0, "seed {seed}");
        assert!(counted(&sim, "times it stood still") >= 1);
        stays_settled(&mut sim, 30 * S);
    }
}

/// It sleeps for longer than the others remember who died: it must not bring the dead back.
#[test]
fn one_that_slept_past_what_others_remember_brings_no_dead_back() {
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
        "all forgot who died"
    );
    let ghosts = |sim: &Simulation| {
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
        assert!(!ghosts(&sim));
    }
    assert!(sim.is_settled());
}

/// A node so stalling that none of its probes is answered in time doubts itself first, and buries
/// nobody.
#[test]
fn a_slow_node_doubts_itself_first() {
    let mut sim = Simulation::started(SimulationConfig {
        members: 30,
        stalling: 0.07,
        seed: 5,
        ..SimulationConfig::default()
    });
    sim.run(600 * S);
    assert_eq!(sim.false_deaths, vec![]);
    assert!(counted(&sim, "times it stood still") > 50);
}

/// Without what Lifeguard adds the same fleet buries some who are there: the tests above can fail.
#[test]
fn without_doubt_and_confirmation_the_living_are_buried() {
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
    let mut with = Simulation::started(SimulationConfig {
        features: FeatureToggles::default(),
        ..config
    });
    with.run(1200 * S);
    assert!(
        sim.false_deaths.len() > 2 * with.false_deaths.len(),
        "{:?}, {:?}",
        sim.false_deaths,
        with.false_deaths
    );
}

/// All seeds are down: those who know each other go on; one that starts finds nobody, says so, and
/// joins once one is back.
#[test]
fn with_all_seeds_down_the_fleet_goes_on_and_a_newcomer_waits() {
    let mut sim = Simulation::new(SimulationConfig {
        members: 8,
        seed: 9,
        ..SimulationConfig::default()
    });
    sim.collect_lines = true;
    (0..7).for_each(|n| sim.start(n));
    settles(&mut sim, 5 * S);
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
    for (node, fleet) in sim.up().filter(|(node, _)| node.name != "n7") {
        assert_eq!(fleet.member_table().counts().present(), 4, "{}", node.name);
    }
    sim.start(1);
    settles(&mut sim, 15 * S);
}

/// Restarted under its name: at once, and with a clock that stepped back by a day.
#[test]
fn one_that_returns_under_its_name_holds_over_its_past() {
    for seed in 0..4 {
        let mut sim = fleet(10, seed);
        sim.run(5 * S);
        sim.crash(4);
        sim.run(200 * MS);
        sim.start(4);
        settles(&mut sim, 3 * S);
        sim.crash(4);
        sim.nodes[4].clock_error_ms = -300_000; // five minutes back
        sim.start(4);
        settles(&mut sim, 6 * S);
        let (_, fleet) = sim.up().nth(4).unwrap();
        assert!(!fleet.has_name_conflict());
        assert!(
            counted(
                &sim,
                "times it took its name over from an earlier incarnation"
            ) >= 1,
            "seed {seed}"
        );
        stays_settled(&mut sim, 30 * S);
    }
}

#[test]
fn clocks_that_are_minutes_apart_and_step_change_nothing() {
    let mut sim = Simulation::new(SimulationConfig {
        members: 9,
        seed: 4,
        ..SimulationConfig::default()
    });
    for n in 0..9 {
        sim.nodes[n].clock_error_ms = (n as i64 - 4) * 60_000;
        sim.start(n);
    }
    settles(&mut sim, 5 * S);
    for n in 0..9 {
        sim.nodes[n].clock_error_ms = if n % 2 == 0 { 86_400_000 } else { -86_400_000 };
    }
    stays_settled(&mut sim, 60 * S);
    sim.cut(|from, to| (from.zone == 0) != (to.zone == 0));
    sim.run(30 * S);
    sim.heal();
    settles(&mut sim, 6 * S);
}

#[test]
fn a_drain_and_a_leave_are_told_and_no_death() {
    let mut sim = fleet(12, 2);
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
    for (node, fleet) in sim.up() {
        assert_eq!(
            fleet
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
    for (_, fleet) in sim.up() {
        assert_eq!(
            (
                fleet.member_table().counts().left,
                fleet.member_table().counts().dead
            ),
            (1, 0)
        );
    }
    assert!(sim.is_settled());
}

/// One leaves while a zone is cut off: those on the other side hold it for dead, and hear
/// afterwards that it left.
#[test]
fn a_leave_that_a_partition_hid_is_heard_afterwards() {
    for seed in 0..4 {
        let mut sim = fleet(9, seed);
        sim.run(3 * S);
        sim.cut(|from, to| (from.zone == 0) != (to.zone == 0));
        sim.run(2 * S);
        sim.leave(4); // in zone 1
        sim.run(20 * S);
        sim.heal();
        settles(&mut sim, 6 * S);
        sim.run(25 * S);
        for (node, fleet) in sim.up() {
            let liveness = fleet
                .member_table()
                .get(MemberKey::of("n4"))
                .unwrap()
                .liveness();
            assert_eq!(liveness, Liveness::Left, "seed {seed}, {}", node.name);
        }
    }
}

/// What others hang on an entry reaches all; an entry can't grow beyond its bound.
#[test]
fn parts_reach_all_and_an_entry_has_its_bound() {
    let mut sim = fleet(12, 2);
    sim.run(S);
    let at = madderpoint_membership::ClockReading {
        now: sim.now,
        unix_ms: 1_800_000_000_000,
    };
    let fleet = sim.nodes[2].membership.as_mut().unwrap();
    let part = |bytes| Attachment {
        id: 7,
        version: 1,
        bytes,
    };
    assert!(fleet.set_attachment(at, part(vec![1; 500])).is_err());
    assert!(fleet.set_attachment(at, part(vec![5; 60])).is_ok());
    settles(&mut sim, 4 * S);
    for (_, fleet) in sim.up() {
        assert_eq!(
            fleet
                .member_table()
                .get(MemberKey::of("n2"))
                .unwrap()
                .details
                .attachments,
            vec![part(vec![5; 60])]
        );
    }
}

/// Any of the faults above, in pairs drawn by seed, one after the other: afterwards all agree
/// within the bound.
#[test]
fn pairs_of_faults_by_seed_are_settled() {
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
        sim.run(15 * S); // those who sleep wake
        settles(&mut sim, 25 * S);
        no_invariant_failed(&sim);
    }
}
