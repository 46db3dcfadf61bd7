//! The hard cases of keyed quotas that a cluster shares, over simulated time: no key is ever over
//! its limit, and what there is is used.

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

fn none() -> Load {
    Box::new(|_, _| 0.0)
}

/// Attempts of some keys, each this many a second, at random nodes.
fn even(
    nodes: usize,
    keys: u64,
    a_second: f64,
) -> impl FnMut(Nanos, &mut rand_pcg::Pcg64Mcg) -> Vec<(usize, u64)> {
    let mut owed = 0.0;
    move |_, rng| {
        owed += a_second * keys as f64 / 200.0;
        let n = owed as usize;
        owed -= n as f64;
        (0..n)
            .map(|_| (rng.random_range(0..nodes), rng.random_range(0..keys)))
            .collect()
    }
}

fn sim(nodes: usize, seed: u64, keys: KeyedQuota) -> Simulation {
    Simulation::new(config(nodes, seed, keys), none())
}

fn run(sim: &mut Simulation, time: Nanos) {
    sim.run(time);
    assert!(
        sim.result.max_key_over_limit <= 0.0,
        "seed {}: over by {}",
        sim.config.seed,
        sim.result.max_key_over_limit
    );
    assert!(sim.max_leaders <= 1);
}

/// Admitted a second and key, of what was wanted.
fn made(sim: &mut Simulation, seconds: u64, keys: u64) -> f64 {
    let before = sim.result.keys_admitted;
    run(sim, seconds * S);
    (sim.result.keys_admitted - before) as f64 / seconds as f64 / keys as f64
}

#[test]
fn keys_under_their_limit_are_all_admitted_and_those_in_high_demand_get_all_of_it() {
    for seed in 0..3 {
        // Well under: 3 a second of 20, over ten nodes.
        let mut under = sim(10, seed, rate(20, 40, 1, 12));
        under.set_key_load(Box::new(even(10, 30, 3.0)));
        run(&mut under, 20 * S);
        let refused = under.result.keys_refused;
        let passed = made(&mut under, 20, 30);
        assert!(
            passed > 2.8 && under.result.keys_refused - refused < 20,
            "seed {seed}: {passed}"
        );
        // Far over, even.
        let mut over = sim(10, seed, rate(20, 40, 1, 12));
        over.set_key_load(Box::new(even(10, 5, 60.0)));
        run(&mut over, 20 * S);
        let passed = made(&mut over, 20, 5);
        assert!(
            (18.0..=20.0).contains(&passed),
            "seed {seed}: {passed} of 20 a second, even"
        );
        // All of it at one node, then at another one.
        over.set_key_load(Box::new(|_, rng| vec![(3, rng.random_range(0..5))]));
        run(&mut over, 4 * S);
        let passed = made(&mut over, 10, 5);
        assert!(
            passed > 17.0,
            "seed {seed}: {passed} of 20 a second at one node"
        );
        over.set_key_load(Box::new(|_, rng| vec![(8, rng.random_range(0..5))]));
        run(&mut over, 2 * S);
        let passed = made(&mut over, 10, 5);
        assert!(
            passed > 17.0,
            "seed {seed}: {passed} of 20 a second after it moved"
        );
    }
}

fn all_cold(sim: &mut Simulation) {
    for n in 0..sim.config.nodes {
        sim.crash(n);
        sim.start(n);
    }
}

#[test]
fn through_partitions_suspensions_crashes_and_restarts_no_key_is_over_its_limit() {
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
            none(),
        );
        sim.set_key_load(Box::new(even(9, 4, 100.0)));
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
                    all_cold(&mut sim);
                }
            }
            run(&mut sim, (400 + 370 * (step % 7)) * MS);
        }
        sim.cut_links(|_, _| false);
        all_cold(&mut sim);
        run(&mut sim, 16 * S);
        let passed = made(&mut sim, 10, 4);
        assert!(
            passed > if loss > 0.1 { 8.0 } else { 16.0 },
            "seed {seed}: {passed} a second at the end"
        );
    }
}

/// A node that is cut off from the leader has its floor; with none it has nothing.
#[test]
fn a_node_that_is_cut_off_has_its_floor() {
    for (floor, least, most) in [(2u32, 8, 12), (0, 0, 0)] {
        let mut sim = sim(6, 1, rate(160, 400, floor, 10));
        sim.set_key_load(Box::new(|_, _| vec![(5, 1)]));
        run(&mut sim, 20 * S);
        sim.cut_links(|a, b| (a == 5) != (b == 5));
        run(&mut sim, 5 * S);
        let before = sim.result.keys_by_node[5];
        run(&mut sim, 8 * S);
        // A sixteenth of 160 a second, among ten: one a second.
        let passed = sim.result.keys_by_node[5] - before;
        assert!(
            (least..=most).contains(&passed),
            "{passed} in 8 s with a floor of {floor}"
        );
    }
}

/// The leader dies: nothing is granted for the leader lease and the duration of its leases, then
/// all goes on.
#[test]
fn another_leader_grants_after_the_death_of_the_first() {
    let mut sim = sim(9, 2, rate(20, 30, 1, 12));
    sim.set_key_load(Box::new(even(9, 4, 60.0)));
    run(&mut sim, 15 * S);
    (0..2).for_each(|n| sim.crash(n));
    run(&mut sim, 2 * S);
    sim.start(1);
    run(&mut sim, 12 * S);
    let passed = made(&mut sim, 8, 4);
    assert!(passed > 17.0, "{passed}");
}

/// A hundred thousand keys, of which most are seldom used: memory is bounded, and a key without
/// memory is refused and not admitted.
#[test]
fn a_hundred_thousand_keys_in_bounded_memory() {
    let mut sim = sim(5, 3, rate(5, 20, 1, 8));
    let mut next = 0u64;
    sim.set_key_load(Box::new(move |_, rng| {
        next += 10;
        (0..10)
            .map(|n| (rng.random_range(0..5), (next + n) % 100_000))
            .collect()
    }));
    run(&mut sim, 40 * S); // until floors, of one in 26 s, are there
    let (wanted, made) = (sim.result.keys_wanted, sim.result.keys_admitted);
    run(&mut sim, 20 * S);
    let passed =
        (sim.result.keys_admitted - made) as f64 / (sim.result.keys_wanted - wanted) as f64;
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
    assert!(refused > 0 && passed > 0.9, "{refused} {passed}");
}

/// Half of the nodes have a smaller limit: all together keep to the larger one.
#[test]
fn a_limit_that_changes_on_half_of_the_nodes() {
    let mut sim = sim(8, 4, rate(40, 80, 1, 10));
    sim.set_key_load(Box::new(even(8, 3, 100.0)));
    run(&mut sim, 15 * S);
    sim.update_quota(4..8, &rate(10, 80, 1, 10));
    run(&mut sim, 5 * S);
    sim.update_quota(0..4, &rate(10, 80, 1, 10));
    run(&mut sim, 5 * S);
    let passed = made(&mut sim, 10, 3);
    assert!((8.0..=10.0).contains(&passed), "{passed}");
}
