//! Budgets that a cluster shares, over simulated time and under faults: the limit is never
//! exceeded, and units that are not used by one node are soon used by another one.

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

fn full_load() -> Load {
    Box::new(|_, _| 200.0)
}

/// Runs the simulation and checks that the limit is never exceeded, neither by the usable units of
/// all nodes together nor by the calls that the backend service recorded, and that there is never
/// more than one leader.
fn run_within(sim: &mut Simulation, duration: Nanos) {
    for _ in 0..duration / (20 * MS) {
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
        "seed {}: {} leaders at the same time",
        sim.config.seed,
        sim.max_leaders
    );
}

/// Runs for some seconds and returns the share of the limit that was used in this time.
fn run_and_measure_use(sim: &mut Simulation, seconds: u64) -> f64 {
    let before = sim.result.calls_made;
    run_within(sim, seconds * S);
    (sim.result.calls_made - before) as f64 / seconds as f64 / f64::from(sim.config.budget.limit)
}

#[test]
fn without_faults_nearly_all_of_the_limit_is_used_and_follows_the_demand() {
    for seed in 0..3 {
        let mut sim = Simulation::new(config(10, seed), full_load());
        run_within(&mut sim, 10 * S);
        assert!(
            run_and_measure_use(&mut sim, 5) > 0.9,
            "seed {seed}: even demand"
        );
        // Nearly all demand is at two nodes.
        sim.set_load(Box::new(|n, _| if n < 2 { 800.0 } else { 1.0 }));
        run_within(&mut sim, 2 * S);
        let skewed = run_and_measure_use(&mut sim, 5);
        assert!(skewed > 0.9, "seed {seed}: {skewed} under skewed demand");
        // The demand moves to another node; most units follow within 1.5 s.
        sim.set_load(Box::new(|n, _| if n == 7 { 1200.0 } else { 1.0 }));
        run_within(&mut sim, 1500 * MS);
        let moved = run_and_measure_use(&mut sim, 2);
        assert!(moved > 0.85, "seed {seed}: {moved} after the demand moved");
    }
}

/// The cluster is split into thirds, each with full demand. Guards against units that are granted
/// twice, and against nodes below their guaranteed floors.
#[test]
fn a_partition_in_thirds_stays_within_the_limit() {
    for seed in 0..4 {
        let mut sim = Simulation::new(config(12, seed), full_load());
        run_within(&mut sim, 10 * S);
        sim.cut_links(|a, b| a % 3 != b % 3);
        run_within(&mut sim, 20 * S);
        let units: Vec<u32> = (0..12).map(|n| sim.units(n)).collect();
        assert!(units.iter().all(|units| *units >= 2), "{units:?}");
        sim.cut_links(|_, _| false);
        run_within(&mut sim, 8 * S);
        assert!(
            run_and_measure_use(&mut sim, 3) > 0.9,
            "seed {seed}: after the partition has healed"
        );
    }
}

/// Two of the three voters are on one side of a partition. That side keeps its leader and goes on;
/// the nodes of the other side fall to their guaranteed floors.
#[test]
fn the_side_with_a_majority_of_voters_goes_on() {
    let mut sim = Simulation::new(config(9, 1), full_load());
    run_within(&mut sim, 10 * S);
    sim.cut_links(|a, b| (2..7).contains(&a) != (2..7).contains(&b));
    run_within(&mut sim, 12 * S);
    assert!(
        run_and_measure_use(&mut sim, 3) > 0.75,
        "four nodes attempt 800 calls per second"
    );
    assert!((2..7).all(|n| sim.units(n) == 2));
}

/// Links are cut in one direction: either the nodes do not hear the voters, or the voters do not
/// hear the nodes. Guards against units that are granted twice.
#[test]
fn links_cut_one_way_grant_nothing_twice() {
    for seed in 0..4 {
        for cuts_towards_voters in [true, false] {
            let mut sim = Simulation::new(config(8, seed), full_load());
            run_within(&mut sim, 10 * S);
            sim.cut_links(move |a, b| {
                if cuts_towards_voters {
                    b < 3 && a >= 3
                } else {
                    a < 3 && b >= 3
                }
            });
            run_within(&mut sim, 12 * S);
            sim.cut_links(|_, _| false);
            run_within(&mut sim, 8 * S);
            assert!(run_and_measure_use(&mut sim, 3) > 0.9, "seed {seed}");
        }
    }
}

#[test]
fn random_suspensions_crashes_and_restarts_stay_within_the_limit() {
    for seed in 0..25u64 {
        let mut sim = Simulation::new(
            SimulationConfig {
                loss: [0.0, 0.05, 0.3][seed as usize % 3],
                ..config(9, seed)
            },
            full_load(),
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
                run_and_measure_use(&mut sim, 3) > 0.85,
                "seed {seed}: after all nodes restarted at the same time"
            );
        }
    }
}

#[test]
fn replacing_half_of_the_nodes_at_full_load_stays_within_the_limit() {
    let mut sim = Simulation::new(config(20, 3), full_load());
    run_within(&mut sim, 10 * S);
    for n in 0..10 {
        sim.crash(n * 2);
        run_within(&mut sim, 100 * MS);
        sim.start(n * 2);
        run_within(&mut sim, 200 * MS);
    }
    run_within(&mut sim, 8 * S);
    assert!(run_and_measure_use(&mut sim, 3) > 0.9);
}

/// Calls in flight may go on after the end of the lease under which they were made. Guards against
/// units that are granted again while such calls go on.
#[test]
fn calls_in_flight_never_exceed_the_limit() {
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
            full_load(),
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
        // 120 calls in flight of 250 ms on average are about 480 calls per second.
        let calls_per_second = (sim.result.calls_made - before) / 4;
        assert!(calls_per_second > 300, "seed {seed}: {calls_per_second}");
    }
}

/// The limit is reduced first on one half of the nodes and then on the other. The smaller limit
/// holds once the leader has it and the leases have expired.
#[test]
fn a_limit_that_changes_on_half_of_the_nodes_stays_within_the_larger() {
    let mut sim = Simulation::new(config(8, 5), full_load());
    run_within(&mut sim, 10 * S);
    let smaller = budget(400, 2, 18);
    sim.update_budget(0..4, &smaller);
    run_within(&mut sim, 4 * S);
    sim.update_budget(4..8, &smaller);
    sim.config.budget = smaller;
    sim.run(2 * S);
    assert!(sim.usable_units() <= 400);
}

/// The limit has fewer units than there are nodes, and the guaranteed floor is 0.
#[test]
fn more_nodes_than_units_stay_within_the_limit() {
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

/// Guards against a simulation that cannot detect violations. In a partition, equal shares exceed
/// the limit, and a central counter allows nothing to the nodes that cannot reach it.
#[test]
fn the_simulation_detects_the_faults_of_the_baseline_strategies() {
    let run_partition = |strategy| {
        let mut sim = Simulation::new(
            SimulationConfig {
                strategy,
                ..config(12, 1)
            },
            full_load(),
        );
        sim.run(10 * S);
        sim.cut_links(|a, b| a % 3 != b % 3);
        sim.run(15 * S);
        sim.result.clone()
    };
    let (even, counter, leases) = (
        run_partition(LimitStrategy::EvenByView),
        run_partition(LimitStrategy::Counter),
        run_partition(LimitStrategy::Leases),
    );
    assert!(even.max_over_limit > 500.0, "{even:?}");
    assert!(leases.max_over_limit <= 0.0 && counter.max_over_limit <= 0.0);
    // A node that cannot reach the counter makes no calls; with leases it uses its floor.
    let cut_off = |strategy| {
        let mut sim = Simulation::new(
            SimulationConfig {
                strategy,
                ..config(12, 1)
            },
            full_load(),
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
        "{counter} and {leases} calls in 10 s with a floor of 2 per second"
    );
}

/// Counts calls while the voters are separated and nodes crash and restart. Guards against totals
/// that differ between nodes, exceed the number of calls made, or lack more than the crashed nodes
/// had not reported.
#[test]
fn totals_agree_and_lose_only_unreported_calls_of_crashed_nodes() {
    for seed in 0..6 {
        let mut sim = Simulation::new(
            SimulationConfig {
                max_counted_processes: 64,
                ..config(9, seed)
            },
            Box::new(|_, _| 20.0),
        );
        run_within(&mut sim, 10 * S);
        // Each third has one of the three voters, which are the nodes 0 to 2.
        sim.cut_links(|a, b| a % 3 != b % 3);
        run_within(&mut sim, 20 * S);
        let known: Vec<u64> = (0..3).map(|n| known_calls(&sim, n)).collect();
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
            lost += sim.result.calls_by_node[n] - before; // at most the calls since `before`
            sim.start(n);
        }
        // Node 0 has restarted without counters and receives all counters from the other two
        // voters.
        run_within(&mut sim, 30 * S);
        sim.set_load(Box::new(|_, _| 0.0));
        run_within(&mut sim, 40 * S);
        let (made, known) = (
            sim.result.calls_made,
            (0..3).map(|n| known_calls(&sim, n)).collect::<Vec<_>>(),
        );
        assert!(
            known.iter().all(|k| *k == known[0]),
            "seed {seed}: {known:?}"
        );
        assert!(
            known[0] <= made && known[0] + lost >= made,
            "seed {seed}: {known:?} of {made}, at most {lost} lost"
        );
        assert!(
            (0..9).all(|n| sim.reported_calls(n) == Some(known[0])),
            "seed {seed}: all nodes receive the same totals"
        );
        // After 600 s without reports, the crashed processes are retired.
        run_within(&mut sim, 700 * S);
        sim.retire_processes();
        assert_eq!(
            (
                known_calls(&sim, 1),
                sim.cluster_counters(1).unwrap().retired()
            ),
            (known[0], 3)
        );
    }
}

fn known_calls(sim: &Simulation, n: usize) -> u64 {
    use madderpoint_shared_state::counters::{PROCESS_ROW, process_column};
    sim.cluster_counters(n)
        .unwrap()
        .total()
        .get(&PROCESS_ROW)
        .map_or(0, |row| row[process_column::CALLS])
}
