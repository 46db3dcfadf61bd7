//! Strategies to keep a limit for a whole cluster, in the same scenarios: this package (leases for
//! calls, units for keys), even shares by the nodes in view (a view that is 5 s late), a central
//! counter. Prints tables.
//!
//!     cargo run --release -p madderpoint-shared-state --example compare -- 10 300 3000
//!     cargo run --release -p madderpoint-shared-state --example compare -- keys 10 300

use madderpoint_shared_state::keyed_quota::{KeyedQuota, QuotaKind};
use madderpoint_shared_state::simulation::{
    KeyLoad, LimitStrategy, Load, Simulation, SimulationConfig,
};
use madderpoint_shared_state::{Budget, BudgetKind, Nanos};
use rand::RngExt;

const MS: Nanos = 1_000_000;
const S: Nanos = 1000 * MS;
const STRATEGIES: [LimitStrategy; 3] = [
    LimitStrategy::Leases,
    LimitStrategy::EvenByView,
    LimitStrategy::Counter,
];

fn config(nodes: usize, strategy: LimitStrategy, seed: u64) -> SimulationConfig {
    let limit = 100 * nodes as u32;
    let max_nodes = nodes as u32 * 5 / 4;
    let kind = BudgetKind::Rate { burst: 50 * MS };
    let budget = Budget {
        name: "b".into(),
        limit,
        floor: 2,
        max_nodes,
        kind,
        retries_only: false,
    };
    SimulationConfig {
        nodes,
        zones: 3,
        strategy,
        budget,
        loss: 0.01,
        latency: (MS / 2, 5 * MS),
        clock_drift: 0.005,
        view_delay: 5 * S,
        seed,
        quota: None,
        quota_bytes: 0,
        max_counted_processes: 0,
    }
}

fn even() -> Load {
    Box::new(|_, _| 200.0)
}

/// All of the load at one node of five, and of it twice what the limit has.
fn skewed() -> Load {
    Box::new(|n, _| if n % 5 == 0 { 1000.0 } else { 1.0 })
}

/// The same, and it moves every 4 s.
fn moving() -> Load {
    Box::new(|n, now| {
        if (n as u64 + now / (4 * S)).is_multiple_of(5) {
            1000.0
        } else {
            1.0
        }
    })
}

/// Lets a cluster of this size settle: leases get longer with it.
fn settle(sim: &mut Simulation) {
    let time = if sim.config.nodes > 600 { 60 } else { 12 };
    sim.run(time * S);
    sim.reset_result();
}

fn line(name: &str, strategy: LimitStrategy, seconds: u64, sim: &Simulation) {
    let m = &sim.result;
    let limit = f64::from(sim.config.budget.limit);
    let nodes = sim.config.nodes as f64;
    println!(
        "| {} | {name} | {strategy:?} | {:.2} | {:.2} | {} | {:.1} | {:.0} |",
        sim.config.nodes,
        m.calls_made as f64 / seconds as f64 / limit,
        m.max_over_limit / limit,
        m.seconds_over_limit,
        m.messages as f64 / seconds as f64 / nodes,
        m.bytes as f64 / seconds as f64 / nodes
    );
}

/// Until nine tenths of the limit are in use after all demand has moved to others.
fn adapts(nodes: usize, strategy: LimitStrategy) -> Option<Nanos> {
    let mut sim = Simulation::new(config(nodes, strategy, 1), skewed());
    settle(&mut sim);
    sim.set_load(Box::new(|n, _| if n % 5 == 1 { 1000.0 } else { 1.0 }));
    let begun = sim.now;
    while sim.now < begun + 60 * S {
        let before = sim.result.calls_made;
        sim.run(200 * MS);
        if (sim.result.calls_made - before) as f64 >= 0.9 * f64::from(sim.config.budget.limit) / 5.0
        {
            return Some(sim.now - begun);
        }
    }
    None
}

fn calls(sizes: &[usize]) {
    println!(
        "| nodes | script | way | share of the limit in use | worst over, of the limit | seconds over | messages/s a node | B/s a node |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for nodes in sizes.iter().copied() {
        for strategy in STRATEGIES {
            for (name, load) in [
                ("even demand", even as fn() -> Load),
                ("skewed", skewed),
                ("moving", moving),
            ] {
                let mut sim = Simulation::new(config(nodes, strategy, 1), load());
                settle(&mut sim);
                sim.run(20 * S);
                line(name, strategy, 20, &sim);
            }
            let mut sim = Simulation::new(config(nodes, strategy, 1), even());
            settle(&mut sim);
            sim.cut_links(|a, b| a % 3 != b % 3);
            sim.run(20 * S);
            line("cut in thirds", strategy, 20, &sim);
            let mut sim = Simulation::new(config(nodes, strategy, 1), even());
            settle(&mut sim);
            for n in 0..nodes / 2 {
                sim.crash(n * 2);
                sim.run(20 * S / (nodes as u64 / 2).max(1));
                sim.start(n * 2);
            }
            line("half replaced in 20 s", strategy, 20, &sim);
            let mut sim = Simulation::new(config(nodes, strategy, 1), even());
            settle(&mut sim);
            sim.crash(0);
            sim.run(20 * S);
            line("the first node dies", strategy, 20, &sim);
            let adapted = adapts(nodes, strategy).map_or("never".to_owned(), |time| {
                format!("{:.1} s", time as f64 / 1e9)
            });
            println!(
                "| {nodes} | nine tenths in use after a move | {strategy:?} | {adapted} | | | | |"
            );
        }
    }
}

/// A tenth as many keys as nodes, at least five; each 20 a second, with a burst of 4 a node.
fn key_config(nodes: usize, strategy: LimitStrategy, seed: u64) -> (SimulationConfig, u64) {
    let (most, keys) = (nodes as u32 * 5 / 4, (nodes as u64 / 10).max(5));
    let kind = QuotaKind::Rate {
        count: 20,
        period: S,
        burst: 4 * most,
    };
    let budget = KeyedQuota {
        name: "k".into(),
        kind,
        floor: 1,
        max_nodes: most,
    };
    (
        SimulationConfig {
            quota: Some(budget),
            quota_bytes: 4 << 20,
            ..config(nodes, strategy, seed)
        },
        keys,
    )
}

fn spread(nodes: usize, keys: u64, a_second: f64) -> KeyLoad {
    let mut owed = 0.0;
    Box::new(move |_, rng| {
        owed += a_second * keys as f64 / 200.0;
        let n = owed as usize;
        owed -= n as f64;
        (0..n)
            .map(|_| (rng.random_range(0..nodes), rng.random_range(0..keys)))
            .collect()
    })
}

/// All attempts of a key at one node of twenty, which changes every 10 s if `moves`.
fn at_few(nodes: usize, keys: u64, a_second: f64, moves: bool) -> KeyLoad {
    let mut owed = 0.0;
    Box::new(move |now, rng| {
        owed += a_second * keys as f64 / 200.0;
        let n = owed as usize;
        owed -= n as f64;
        let step = if moves { now / (10 * S) } else { 0 };
        let one = |key: u64, rng: &mut rand_pcg::Pcg64Mcg| {
            let few = (nodes / 20).max(1);
            (
                ((key + step) as usize * 7 + rng.random_range(0..few)) % nodes,
                key,
            )
        };
        (0..n)
            .map(|_| {
                let key = rng.random_range(0..keys);
                one(key, rng)
            })
            .collect()
    })
}

fn keys(sizes: &[usize]) {
    println!(
        "| nodes | keys | script | way | let through, of what may be | refused at the end, of what was wanted | worst over, units | messages/s a node | B/s a node |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for nodes in sizes.iter().copied() {
        for strategy in STRATEGIES {
            for (name, wanted) in [
                ("under: 6 of 20 a second, spread", 6.0),
                ("over: 60 of 20 a second, spread", 60.0),
                ("over, at one node of twenty", 60.0),
                ("over, and it moves every 10 s", 60.0),
                ("over, cut in thirds", 60.0),
            ] {
                let (config, keys) = key_config(nodes, strategy, 1);
                let mut sim = Simulation::new(config, Box::new(|_, _| 0.0));
                sim.set_key_load(match name {
                    "over, at one node of twenty" => at_few(nodes, keys, wanted, false),
                    "over, and it moves every 10 s" => at_few(nodes, keys, wanted, true),
                    _ => spread(nodes, keys, wanted),
                });
                sim.run(if nodes > 600 { 150 * S } else { 40 * S });
                if name == "over, cut in thirds" {
                    sim.cut_links(|a, b| a % 3 != b % 3);
                }
                sim.reset_result();
                sim.run(30 * S);
                let m = &sim.result;
                let may = wanted.min(20.0) * keys as f64 * 30.0;
                println!(
                    "| {nodes} | {keys} | {name} | {strategy:?} | {:.2} | {:.2} | {:.0} | {:.1} | {:.0} |",
                    m.keys_admitted as f64 / may,
                    m.keys_refused as f64 / m.keys_wanted.max(1) as f64,
                    m.max_key_over_limit.max(0.0),
                    m.messages as f64 / 30.0 / nodes as f64,
                    m.bytes as f64 / 30.0 / nodes as f64
                );
            }
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let sizes: Vec<usize> = arguments
        .iter()
        .filter_map(|text| text.parse().ok())
        .collect();
    let sizes = if sizes.is_empty() { vec![10] } else { sizes };
    match arguments.first().map(String::as_str) {
        Some("keys") => keys(&sizes),
        _ => calls(&sizes),
    }
}
