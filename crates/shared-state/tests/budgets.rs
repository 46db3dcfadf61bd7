//! The hard cases of a budget that a cluster shares, over simulated time: never over the limit, and
//! unused units are used again soon.

use madderpoint_shared_state::simulation::{LimitStrategy, Load, Simulation, SimulationConfig};
use madderpoint_shared_state::{Budget, BudgetKind, Nanos};

const MS: Nanos = 1_000_000;
const S: Nanos = 1000 * MS;

fn budget(limit: u32, floor: u32, max_nodes: u32) -> Budget {
    Budget {
        name: "below".into(),
        limit,
        floor,
        max_nodes,
        kind: BudgetKind::Rate { burst: 50 * MS },
        retries_only: false,
    }
}

fn config(nodes: usize, seed: u64) -> SimulationConfig {
    SimulationConfig {
        nodes,
        zones: 3,
        strategy: LimitStrategy::Leases,
        budget: budget(1000, 2, nodes as u32 + 10),
        loss: 0.02,
        latency: (MS / 2, 5 * MS),
        clock_drift: 0.005,
        view_delay: 5 * S,
        seed,
        quota: None,
        quota_bytes: 0,
        max_counted_processes: 0,
    }
}

fn full() -> Load {
    Box::new(|_, _| 200.0)
}

/// Never over the limit, at any moment: the units of all nodes together, and the calls that the
/// backend service recorded.
fn run_within(sim: &mut Simulation, time: Nanos) {
    for _ in 0..time / (20 * MS) {
        sim.run(20 * MS);
        let (units, limit) = (sim.usable_units(), sim.config.budget.limit);
        assert!(
            units <= limit,
            "seed {}: {units} at {} ms",
            sim.config.seed,
            sim.now / MS
        );
    }
    assert!(
        sim.result.max_over_limit <= 0.0,
        "seed {}: {:?}",
        sim.config.seed,
        sim.result.max_over_limit
    );
    assert!(
        sim.max_leaders <= 1,
        "seed {}: {} lend at once",
        sim.config.seed,
        sim.max_leaders
    );
}

/// The share of the limit that was used in the last seconds.
fn used(sim: &mut Simulation, seconds: u64) -> f64 {
    let before = sim.result.calls_made;
    run_within(sim, seconds * S);
    (sim.result.calls_made - before) as f64 / seconds as f64 / f64::from(sim.config.budget.limit)
}

#[test]
fn without_faults_nearly_all_of_the_limit_is_used_and_moves_to_where_it_is_needed() {
    for seed in 0..3 {
        let mut sim = Simulation::new(config(10, seed), full());
        run_within(&mut sim, 10 * S);
        assert!(used(&mut sim, 5) > 0.9, "seed {seed}: even demand");
        // All of it at two nodes.
        sim.set_load(Box::new(|n, _| if n < 2 { 800.0 } else { 1.0 }));
        run_within(&mut sim, 2 * S);
        let skewed = used(&mut sim, 5);
        assert!(skewed > 0.9, "seed {seed}: {skewed} under skewed demand");
        // It moves to another one; within a second or so most of it has followed.
        sim.set_load(Box::new(|n, _| if n == 7 { 1200.0 } else { 1.0 }));
        run_within(&mut sim, 1500 * MS);
        let moved = used(&mut sim, 2);
        assert!(moved > 0.85, "seed {seed}: {moved} after it moved");
    }
}

/// Thirds that each reach only themselves, each with full demand: one of them may have a leader,
/// the others fall to their floors.
#[test]
fn a_partition_in_thirds_stays_within_the_limit() {
    for seed in 0..4 {
        let mut sim = Simulation::new(config(12, seed), full());
        run_within(&mut sim, 10 * S);
        sim.cut_links(|a, b| a % 3 != b % 3);
        run_within(&mut sim, 20 * S);
        let floors: Vec<u32> = (0..12).map(|n| sim.units(n)).collect();
        assert!(floors.iter().all(|units| *units >= 2), "{floors:?}");
        sim.cut_links(|_, _| false);
        run_within(&mut sim, 8 * S);
        assert!(used(&mut sim, 3) > 0.9, "seed {seed}: after the heal");
    }
}

/// Two of three voters on one side: that side goes on, the other one has its floors.
#[test]
fn the_side_with_a_majority_of_voters_goes_on() {
    let mut sim = Simulation::new(config(9, 1), full());
    run_within(&mut sim, 10 * S);
    sim.cut_links(|a, b| (2..7).contains(&a) != (2..7).contains(&b));
    run_within(&mut sim, 12 * S);
    assert!(used(&mut sim, 3) > 0.75, "four nodes try 800 a second");
    assert!((2..7).all(|n| sim.units(n) == 2));
}

/// Links cut one way: the leader is not heard, and hears; the other way round as well.
#[test]
fn links_cut_one_way_grant_nothing_twice() {
    for seed in 0..4 {
        for lender_is_heard in [true, false] {
            let mut sim = Simulation::new(config(8, seed), full());
            run_within(&mut sim, 10 * S);
            sim.cut_links(move |a, b| {
                if lender_is_heard {
                    b < 3 && a >= 3
                } else {
                    a < 3 && b >= 3
                }
            });
            run_within(&mut sim, 12 * S);
            sim.cut_links(|_, _| false);
            run_within(&mut sim, 8 * S);
            assert!(used(&mut sim, 3) > 0.9, "seed {seed}");
        }
    }
}

#[test]
fn suspensions_crashes_and_restarts_by_seed_stay_within_the_limit() {
    for seed in 0..25u64 {
        let mut sim = Simulation::new(
            SimulationConfig {
                loss: [0.0, 0.05, 0.3][seed as usize % 3],
                ..config(9, seed)
            },
            full(),
        );
        run_within(&mut sim, 9 * S);
        for step in 0..12 {
            let n = ((seed * 5 + step * 7) % 9) as usize;
            match (seed + step) % 5 {
                0 => sim.suspend(n, (1 + step % 6) * S),
                1 => sim.crash(n),
                2 => {
                    sim.crash(n);
                    sim.start(n);
                }
                3 => sim.cut_links(move |a, b| (a % 2 == n % 2) != (b % 2 == n % 2)),
                _ => {
                    sim.cut_links(|_, _| false);
                    sim.start(n);
                }
            }
            run_within(&mut sim, (300 + 170 * (step % 7)) * MS);
        }
        sim.cut_links(|_, _| false);
        (0..9).for_each(|n| sim.start(n));
        run_within(&mut sim, 10 * S);
        if sim.config.loss < 0.1 {
            assert!(
                used(&mut sim, 3) > 0.85,
                "seed {seed}: all cold at once, and back"
            );
        }
    }
}

/// Half of the cluster is replaced while the limit is fully used.
#[test]
fn half_of_the_cluster_is_replaced_with_the_limit_fully_used() {
    let mut sim = Simulation::new(config(20, 3), full());
    run_within(&mut sim, 10 * S);
    for n in 0..10 {
        sim.crash(n * 2);
        run_within(&mut sim, 100 * MS);
        sim.start(n * 2);
        run_within(&mut sim, 200 * MS);
    }
    run_within(&mut sim, 8 * S);
    assert!(used(&mut sim, 3) > 0.9);
}

/// Calls in flight, which go on beyond the end of a lease.
#[test]
fn calls_in_flight_are_never_more_than_the_limit() {
    for seed in 0..6 {
        let kind = BudgetKind::InFlight {
            max_call_time: 400 * MS,
        };
        let budget = Budget {
            name: "in hand".into(),
            limit: 120,
            floor: 2,
            max_nodes: 12,
            kind,
            retries_only: false,
        };
        let mut sim = Simulation::new(
            SimulationConfig {
                budget,
                ..config(9, seed)
            },
            full(),
        );
        run_within(&mut sim, 10 * S);
        for step in 0..8u64 {
            let n = ((seed + step * 4) % 9) as usize;
            match step % 4 {
                0 => sim.suspend(n, 2 * S),
                1 => sim.cut_links(move |a, b| (a == n) != (b == n)),
                2 => sim.cut_links(|_, _| false),
                _ => {
                    sim.crash(n);
                    sim.start(n);
                }
            }
            run_within(&mut sim, 1300 * MS);
        }
        run_within(&mut sim, 8 * S);
        let before = sim.result.calls_made;
        run_within(&mut sim, 4 * S);
        // 120 in flight of 250 ms each on average are some 480 a second.
        let a_second = (sim.result.calls_made - before) / 4;
        assert!(a_second > 300, "seed {seed}: {a_second}");
    }
}

/// A limit is changed on half of the nodes: the smaller of both holds once the leader has it and
/// leases have expired.
#[test]
fn a_limit_that_changes_on_half_of_the_nodes_stays_within_the_larger() {
    let mut sim = Simulation::new(config(8, 5), full());
    run_within(&mut sim, 10 * S);
    let smaller = budget(400, 2, 18);
    sim.update_budget(0..4, &smaller);
    run_within(&mut sim, 4 * S);
    sim.update_budget(4..8, &smaller);
    sim.config.budget = smaller;
    sim.run(2 * S);
    assert!(sim.usable_units() <= 400);
}

/// More nodes than the limit has units, and floors that may be none.
#[test]
fn more_nodes_than_units() {
    let budget = Budget {
        floor: 0,
        ..budget(10, 0, 100)
    };
    let mut sim = Simulation::new(
        SimulationConfig {
            budget,
            ..config(40, 2)
        },
        Box::new(|_, _| 5.0),
    );
    run_within(&mut sim, 20 * S);
    assert!(sim.result.calls_made > 50, "{}", sim.result.calls_made);
}

/// The plain strategies exceed the limit where a part of the cluster is cut off, or use little: the
/// record can tell.
#[test]
fn the_record_tells_the_plain_strategies_apart() {
    let play = |strategy| {
        let mut sim = Simulation::new(
            SimulationConfig {
                strategy,
                ..config(12, 1)
            },
            full(),
        );
        sim.run(10 * S);
        sim.cut_links(|a, b| a % 3 != b % 3);
        sim.run(15 * S);
        sim.result.clone()
    };
    let (even, counter, leases) = (
        play(LimitStrategy::EvenByView),
        play(LimitStrategy::Counter),
        play(LimitStrategy::Leases),
    );
    assert!(even.max_over_limit > 500.0, "{even:?}");
    assert!(leases.max_over_limit <= 0.0 && counter.max_over_limit <= 0.0);
    // Cut off from the counter a node has nothing at all; with leases it has its floor.
    let cut_off = |strategy| {
        let mut sim = Simulation::new(
            SimulationConfig {
                strategy,
                ..config(12, 1)
            },
            full(),
        );
        sim.run(10 * S);
        sim.cut_links(|a, b| a % 3 != b % 3);
        sim.run(3 * S);
        let before = sim.result.calls_by_node[1];
        sim.run(10 * S);
        sim.result.calls_by_node[1] - before
    };
    let (counter, leases) = (
        cut_off(LimitStrategy::Counter),
        cut_off(LimitStrategy::Leases),
    );
    assert!(
        counter == 0 && (15..=25).contains(&leases),
        "{counter} and {leases} in 10 s, of a floor of 2 a second"
    );
}

/// Counters of calls, by way of voters that lose each other, with killed nodes and restarts: all
/// come to the same, never to more than was made, and to less only by what the killed nodes had not
/// reported.
#[test]
fn totals_are_the_same_everywhere_and_lose_only_what_was_not_reported() {
    for seed in 0..6 {
        let mut sim = Simulation::new(
            SimulationConfig {
                max_counted_processes: 64,
                ..config(9, seed)
            },
            Box::new(|_, _| 20.0),
        );
        run_within(&mut sim, 10 * S);
        // Each of three sides has one of the voters, 0 to 2.
        sim.cut_links(|a, b| a % 3 != b % 3);
        run_within(&mut sim, 20 * S);
        let known: Vec<u64> = (0..3).map(|n| calls(&sim, n)).collect();
        assert!(
            known.iter().all(|known| *known < sim.result.calls_made),
            "{known:?}"
        );
        sim.cut_links(|_, _| false);
        let mut lost = 0;
        for n in [4, 7, 0] {
            let before = sim.result.calls_by_node[n];
            run_within(&mut sim, 5 * S);
            sim.crash(n);
            lost += sim.result.calls_by_node[n] - before; // at most what it made since
            sim.start(n);
        }
        // Two voters only for a while, and one that knows nothing receives everything from the
        // others.
        run_within(&mut sim, 30 * S);
        sim.set_load(Box::new(|_, _| 0.0));
        run_within(&mut sim, 40 * S);
        let (made, known) = (
            sim.result.calls_made,
            (0..3).map(|n| calls(&sim, n)).collect::<Vec<_>>(),
        );
        assert!(
            known.iter().all(|k| *k == known[0]),
            "seed {seed}: {known:?}"
        );
        assert!(
            known[0] <= made && known[0] + lost >= made,
            "seed {seed}: {known:?} of {made}, {lost} at risk"
        );
        assert!(
            (0..9).all(|n| sim.reported_calls(n) == Some(known[0])),
            "seed {seed}: all are told the sums"
        );
        // Long after, the processes that have left are one sum.
        run_within(&mut sim, 700 * S);
        sim.retire_processes();
        assert_eq!(
            (calls(&sim, 1), sim.cluster_counters(1).unwrap().retired()),
            (known[0], 3)
        );
    }
}

fn calls(sim: &Simulation, n: usize) -> u64 {
    use madderpoint_shared_state::counters::{PROCESS_ROW, process_column};
    sim.cluster_counters(n)
        .unwrap()
        .total()
        .get(&PROCESS_ROW)
        .map_or(0, |row| row[process_column::CALLS])
}
