//! Keyed quotas that a cluster shares, over simulated time and under faults: no key ever exceeds
//! its limit, and available units are used.

use madderpoint_shared_state::keyed_quota::lender::QuotaLenderSize;
use madderpoint_shared_state::keyed_quota::{KeyedQuota, QuotaKind};
use madderpoint_shared_state::simulation::{LimitStrategy, Load, Simulation, SimulationConfig};
use madderpoint_shared_state::{Budget, BudgetKind, Nanos};
use rand::RngExt;

const MS: Nanos = 1_000_000;
const S: Nanos = 1000 * MS;

fn rate(count: u32, burst: u32, floor: u32, max_nodes: u32) -> KeyedQuota {
    KeyedQuota {
        name: "by-site".into(),
        kind: QuotaKind::Rate {
            count,
            period: S,
            burst,
        },
        floor,
        max_nodes,
    }
}

fn config(nodes: usize, seed: u64, keys: KeyedQuota) -> SimulationConfig {
    let kind = BudgetKind::Rate { burst: 50 * MS };
    let max_nodes = nodes as u32 + 10;
    SimulationConfig {
        nodes,
        zones: 3,
        strategy: LimitStrategy::Leases,
        budget: Budget {
            name: "below".into(),
            limit: 1000,
            floor: 2,
            max_nodes,
            kind,
            retries_only: false,
        },
        loss: 0.02,
        latency: (MS / 2, 5 * MS),
        clock_drift: 0.005,
        view_delay: 5 * S,
        seed,
        quota: Some(keys),
        quota_bytes: 1 << 20,
        max_counted_processes: 0,
    }
}

fn no_calls() -> Load {
    Box::new(|_, _| 0.0)
}

/// Returns a load that attempts each of `keys` keys `per_second` times per second, at random nodes.
fn even_load(
    nodes: usize,
    keys: u64,
    per_second: f64,
) -> impl FnMut(Nanos, &mut rand_pcg::Pcg64Mcg) -> Vec<(usize, u64)> {
    let mut carry = 0.0;
    move |_, rng| {
        carry += per_second * keys as f64 / 200.0;
        let n = carry as usize;
        carry -= n as f64;
        (0..n)
            .map(|_| (rng.random_range(0..nodes), rng.random_range(0..keys)))
            .collect()
    }
}

fn sim(nodes: usize, seed: u64, keys: KeyedQuota) -> Simulation {
    Simulation::new(config(nodes, seed, keys), no_calls())
}

fn run(sim: &mut Simulation, duration: Nanos) {
    sim.run(duration);
    assert!(
        sim.result.max_key_over_limit <= 0.0,
        "seed {}: a key exceeds its limit by {}",
        sim.config.seed,
        sim.result.max_key_over_limit
    );
    assert!(sim.max_leaders <= 1);
}

/// Runs for some seconds and returns the number of units that were admitted per second and key.
fn admitted_per_second(sim: &mut Simulation, seconds: u64, keys: u64) -> f64 {
    let before = sim.result.keys_admitted;
    run(sim, seconds * S);
    (sim.result.keys_admitted - before) as f64 / seconds as f64 / keys as f64
}

#[test]
fn keys_below_their_limit_are_admitted_and_keys_above_it_use_nearly_all_of_it() {
    for seed in 0..3 {
        // Below the limit: 3 of 20 units per second, over ten nodes.
        let mut under = sim(10, seed, rate(20, 40, 1, 12));
        under.set_key_load(Box::new(even_load(10, 30, 3.0)));
        run(&mut under, 20 * S);
        let refused = under.result.keys_refused;
        let admitted = admitted_per_second(&mut under, 20, 30);
        assert!(
            admitted > 2.8 && under.result.keys_refused - refused < 20,
            "seed {seed}: {admitted}"
        );
        // Above the limit: 60 of 20 units per second, over ten nodes.
        let mut over = sim(10, seed, rate(20, 40, 1, 12));
        over.set_key_load(Box::new(even_load(10, 5, 60.0)));
        run(&mut over, 20 * S);
        let admitted = admitted_per_second(&mut over, 20, 5);
        assert!(
            (18.0..=20.0).contains(&admitted),
            "seed {seed}: {admitted} of 20 per second, over all nodes"
        );
        // All demand is at one node, and then at another node.
        over.set_key_load(Box::new(|_, rng| vec![(3, rng.random_range(0..5))]));
        run(&mut over, 4 * S);
        let admitted = admitted_per_second(&mut over, 10, 5);
        assert!(
            admitted > 17.0,
            "seed {seed}: {admitted} of 20 per second at one node"
        );
        over.set_key_load(Box::new(|_, rng| vec![(8, rng.random_range(0..5))]));
        run(&mut over, 2 * S);
        let admitted = admitted_per_second(&mut over, 10, 5);
        assert!(
            admitted > 17.0,
            "seed {seed}: {admitted} of 20 per second after the demand moved"
        );
    }
}

fn restart_all(sim: &mut Simulation) {
    for n in 0..sim.config.nodes {
        sim.crash(n);
        sim.start(n);
    }
}

#[test]
fn no_key_exceeds_its_limit_during_partitions_suspensions_crashes_and_restarts() {
    for seed in 0..16u64 {
        let floor = (seed % 2) as u32;
        let loss = [0.0, 0.05, 0.3][seed as usize % 3];
        let kind = match seed % 4 {
            3 => QuotaKind::InFlight {
                limit: 20,
                max_hold: 800 * MS,
            },
            _ => QuotaKind::Rate {
                count: 20,
                period: S,
                burst: 30,
            },
        };
        let keys = KeyedQuota {
            kind,
            ..rate(20, 30, floor, 16)
        };
        let mut sim = Simulation::new(
            SimulationConfig {
                loss,
                ..config(9, seed, keys)
            },
            no_calls(),
        );
        sim.set_key_load(Box::new(even_load(9, 4, 100.0)));
        run(&mut sim, 12 * S);
        for step in 0..14u64 {
            let n = ((seed * 5 + step * 7) % 9) as usize;
            match (seed + step) % 6 {
                0 => sim.suspend(n, (1 + step % 6) * S),
                1 => sim.crash(n),
                2 => {
                    sim.crash(n);
                    sim.start(n);
                }
                3 => sim.cut_links(move |a, b| (a % 3) != (b % 3)),
                4 => sim.cut_links(move |a, b| {
                    a < 3 && b >= 3 && n.is_multiple_of(2) || a >= 3 && b < 3 && n % 2 == 1
                }),
                _ => {
                    sim.cut_links(|_, _| false);
                    restart_all(&mut sim);
                }
            }
            run(&mut sim, (400 + 370 * (step % 7)) * MS);
        }
        sim.cut_links(|_, _| false);
        restart_all(&mut sim);
        run(&mut sim, 16 * S);
        let admitted = admitted_per_second(&mut sim, 10, 4);
        assert!(
            admitted > if loss > 0.1 { 8.0 } else { 16.0 },
            "seed {seed}: {admitted} per second at the end"
        );
    }
}

/// A node that is cut off from the leader uses its guaranteed floor; without a floor it admits
/// nothing.
#[test]
fn a_node_that_is_cut_off_uses_its_floor() {
    for (floor, min, max) in [(2u32, 8, 12), (0, 0, 0)] {
        let mut sim = sim(6, 1, rate(160, 400, floor, 10));
        sim.set_key_load(Box::new(|_, _| vec![(5, 1)]));
        run(&mut sim, 20 * S);
        sim.cut_links(|a, b| (a == 5) != (b == 5));
        run(&mut sim, 5 * S);
        let before = sim.result.keys_by_node[5];
        run(&mut sim, 8 * S);
        // One sixteenth of 160 units per second, divided among ten nodes, is 1 per second.
        let admitted = sim.result.keys_by_node[5] - before;
        assert!(
            (min..=max).contains(&admitted),
            "{admitted} admitted in 8 s with a floor of {floor}"
        );
    }
}

/// The leader crashes. Guards against a new leader that grants units before the leader lease and
/// the leases of the previous leader have expired, or that does not grant any afterwards.
#[test]
fn a_new_leader_grants_after_the_crash_of_the_first() {
    let mut sim = sim(9, 2, rate(20, 30, 1, 12));
    sim.set_key_load(Box::new(even_load(9, 4, 60.0)));
    run(&mut sim, 15 * S);
    (0..2).for_each(|n| sim.crash(n));
    run(&mut sim, 2 * S);
    sim.start(1);
    run(&mut sim, 12 * S);
    let admitted = admitted_per_second(&mut sim, 8, 4);
    assert!(admitted > 17.0, "{admitted}");
}

/// 100,000 keys, most of which are rarely used. Guards against memory that grows with the number of
/// keys, and against a leader that has no memory limit or refuses too much because of it.
#[test]
fn memory_is_bounded_with_100_000_keys() {
    let mut sim = sim(5, 3, rate(5, 20, 1, 8));
    let mut next = 0u64;
    sim.set_key_load(Box::new(move |_, rng| {
        next += 10;
        (0..10)
            .map(|n| (rng.random_range(0..5), (next + n) % 100_000))
            .collect()
    }));
    run(&mut sim, 40 * S); // until units of the floors, one per 26 s, are available
    let (wanted, admitted_before) = (sim.result.keys_wanted, sim.result.keys_admitted);
    run(&mut sim, 20 * S);
    let admitted = (sim.result.keys_admitted - admitted_before) as f64
        / (sim.result.keys_wanted - wanted) as f64;
    let (tracked, lender) = sim.key_sizes();
    let QuotaLenderSize {
        keys,
        leases,
        refused,
    } = lender.unwrap();
    assert!(
        tracked <= 5 * 5000 && keys <= 2980 && leases <= 13_200,
        "{tracked} {keys} {leases} {refused}"
    );
    assert!(refused > 0 && admitted > 0.9, "{refused} {admitted}");
}

/// The limit is reduced first on one half of the nodes and then on the other. Meanwhile the larger
/// limit holds, and the smaller one is used afterwards.
#[test]
fn a_limit_that_changes_on_half_of_the_nodes_is_not_exceeded() {
    let mut sim = sim(8, 4, rate(40, 80, 1, 10));
    sim.set_key_load(Box::new(even_load(8, 3, 100.0)));
    run(&mut sim, 15 * S);
    sim.update_quota(4..8, &rate(10, 80, 1, 10));
    run(&mut sim, 5 * S);
    sim.update_quota(0..4, &rate(10, 80, 1, 10));
    run(&mut sim, 5 * S);
    let admitted = admitted_per_second(&mut sim, 10, 3);
    assert!((8.0..=10.0).contains(&admitted), "{admitted}");
}
