//! Compares strategies that enforce a cluster-wide limit in the same scenarios: the strategy of
//! this package (leases for calls, units for keys), equal shares by the number of nodes in a view
//! that lags by 5 s, and a central counter. Prints tables.
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

/// Puts nearly all load, about twice the limit in total, on one node in five.
fn skewed() -> Load {
    Box::new(|n, _| if n % 5 == 0 { 1000.0 } else { 1.0 })
}

/// Like `skewed`, but the loaded nodes change every 4 s.
fn moving() -> Load {
    Box::new(|n, now| {
        if (n as u64 + now / (4 * S)).is_multiple_of(5) {
            1000.0
        } else {
            1.0
        }
    })
}

/// Runs until the cluster has settled, which takes longer in a large one because its leases are
/// longer.
fn settle(sim: &mut Simulation) {
    let time = if sim.config.nodes > 600 { 60 } else { 12 };
    sim.run(time * S);
    sim.reset_result();
}

fn print_row(name: &str, strategy: LimitStrategy, seconds: u64, sim: &Simulation) {
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

/// Returns the time in nanoseconds from a move of all demand to other nodes until nine tenths of
/// the limit are in use, or `None` if that takes more than 60 s.
fn time_to_adapt(nodes: usize, strategy: LimitStrategy) -> Option<Nanos> {
    let mut sim = Simulation::new(config(nodes, strategy, 1), skewed());
    settle(&mut sim);
    sim.set_load(Box::new(|n, _| if n % 5 == 1 { 1000.0 } else { 1.0 }));
    let moved_at = sim.now;
    while sim.now < moved_at + 60 * S {
        let before = sim.result.calls_made;
        sim.run(200 * MS);
        if (sim.result.calls_made - before) as f64 >= 0.9 * f64::from(sim.config.budget.limit) / 5.0
        {
            return Some(sim.now - moved_at);
        }
    }
    None
}

fn compare_budgets(sizes: &[usize]) {
    println!(
        "| nodes | scenario | strategy | share of the limit used | largest excess / limit | seconds over the limit | messages/s per node | B/s per node |"
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
                print_row(name, strategy, 20, &sim);
            }
            let mut sim = Simulation::new(config(nodes, strategy, 1), even());
            settle(&mut sim);
            sim.cut_links(|a, b| a % 3 != b % 3);
            sim.run(20 * S);
            print_row("split into thirds", strategy, 20, &sim);
            let mut sim = Simulation::new(config(nodes, strategy, 1), even());
            settle(&mut sim);
            for n in 0..nodes / 2 {
                sim.crash(n * 2);
                sim.run(20 * S / (nodes as u64 / 2).max(1));
                sim.start(n * 2);
            }
            print_row("half replaced in 20 s", strategy, 20, &sim);
            let mut sim = Simulation::new(config(nodes, strategy, 1), even());
            settle(&mut sim);
            sim.crash(0);
            sim.run(20 * S);
            print_row("first node crashes", strategy, 20, &sim);
            let adaptation_time = time_to_adapt(nodes, strategy)
                .map_or("never".to_owned(), |time| {
                    format!("{:.1} s", time as f64 / 1e9)
                });
            println!(
                "| {nodes} | time to nine tenths in use after a move | {strategy:?} | {adaptation_time} | | | | |"
            );
        }
    }
}

/// Returns a configuration and its number of keys: one key per ten nodes, at least five, each with
/// 20 units per second and a burst of 4 units per node.
fn key_config(nodes: usize, strategy: LimitStrategy, seed: u64) -> (SimulationConfig, u64) {
    let (max_nodes, keys) = (nodes as u32 * 5 / 4, (nodes as u64 / 10).max(5));
    let kind = QuotaKind::Rate {
        count: 20,
        period: S,
        burst: 4 * max_nodes,
    };
    let quota = KeyedQuota {
        name: "k".into(),
        kind,
        floor: 1,
        max_nodes,
    };
    (
        SimulationConfig {
            quota: Some(quota),
            quota_bytes: 4 << 20,
            ..config(nodes, strategy, seed)
        },
        keys,
    )
}

fn spread(nodes: usize, keys: u64, per_second: f64) -> KeyLoad {
    let mut carry = 0.0;
    Box::new(move |_, rng| {
        carry += per_second * keys as f64 / 200.0;
        let n = carry as usize;
        carry -= n as f64;
        (0..n)
            .map(|_| (rng.random_range(0..nodes), rng.random_range(0..keys)))
            .collect()
    })
}

/// Attempts each key only at one node in twenty; if `moves`, these nodes change every 10 s.
fn at_few(nodes: usize, keys: u64, per_second: f64, moves: bool) -> KeyLoad {
    let mut carry = 0.0;
    Box::new(move |now, rng| {
        carry += per_second * keys as f64 / 200.0;
        let n = carry as usize;
        carry -= n as f64;
        let step = if moves { now / (10 * S) } else { 0 };
        let attempt = |key: u64, rng: &mut rand_pcg::Pcg64Mcg| {
            let active = (nodes / 20).max(1);
            (
                ((key + step) as usize * 7 + rng.random_range(0..active)) % nodes,
                key,
            )
        };
        (0..n)
            .map(|_| {
                let key = rng.random_range(0..keys);
                attempt(key, rng)
            })
            .collect()
    })
}

fn compare_keys(sizes: &[usize]) {
    println!(
        "| nodes | keys | scenario | strategy | admitted / allowed | refused / attempted | largest excess, units | messages/s per node | B/s per node |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for nodes in sizes.iter().copied() {
        for strategy in STRATEGIES {
            for (name, wanted) in [
                ("under the limit: 6 of 20 per second, spread", 6.0),
                ("over the limit: 60 of 20 per second, spread", 60.0),
                ("over, at one node in twenty", 60.0),
                ("over, moving every 10 s", 60.0),
                ("over, split into thirds", 60.0),
            ] {
                let (config, keys) = key_config(nodes, strategy, 1);
                let mut sim = Simulation::new(config, Box::new(|_, _| 0.0));
                sim.set_key_load(match name {
                    "over, at one node in twenty" => at_few(nodes, keys, wanted, false),
                    "over, moving every 10 s" => at_few(nodes, keys, wanted, true),
                    _ => spread(nodes, keys, wanted),
                });
                sim.run(if nodes > 600 { 150 * S } else { 40 * S });
                if name == "over, split into thirds" {
                    sim.cut_links(|a, b| a % 3 != b % 3);
                }
                sim.reset_result();
                sim.run(30 * S);
                let m = &sim.result;
                let allowed = wanted.min(20.0) * keys as f64 * 30.0;
                println!(
                    "| {nodes} | {keys} | {name} | {strategy:?} | {:.2} | {:.2} | {:.0} | {:.1} | {:.0} |",
                    m.keys_admitted as f64 / allowed,
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
        Some("keys") => compare_keys(&sizes),
        _ => compare_budgets(&sizes),
    }
}
