//! Three ways to keep a limit for a whole fleet, by the same scripts: leases (this package), an even part by the nodes in sight
//! (sight 5 s late), a central counter. Prints one table.
//!
//!     cargo run --release -p madderpoint-shared --example compare -- 10 100 300

use madderpoint_shared::sim::{Load, Measured, Plan, Sim, Way};
use madderpoint_shared::{Budget, Kind, Nanos};

const MS: Nanos = 1_000_000;
const S: Nanos = 1000 * MS;

fn plan(nodes: usize, way: Way, seed: u64) -> Plan {
    let limit = 100 * nodes as u32;
    let nodes_most = nodes as u32 * 5 / 4;
    let kind = Kind::Rate { burst: 50 * MS };
    let budget = Budget { name: "b".into(), limit, floor: 2, nodes_most, kind, repeats_only: false };
    Plan {
        nodes,
        zones: 3,
        way,
        budget,
        loss: 0.01,
        latency: (MS / 2, 5 * MS),
        drift: 0.005,
        sight: 5 * S,
        seed,
        keys: None,
        key_bytes: 0,
        counted: 0,
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
    Box::new(|n, now| if (n as u64 + now / (4 * S)).is_multiple_of(5) { 1000.0 } else { 1.0 })
}

fn settle(sim: &mut Sim) {
    sim.run(12 * S);
    sim.measured = Measured::of(sim.plan.nodes);
}

fn line(name: &str, way: Way, nodes: usize, seconds: u64, sim: &Sim) {
    let m = &sim.measured;
    let limit = f64::from(sim.plan.budget.limit);
    println!(
        "| {nodes} | {name} | {way:?} | {:.2} | {:.2} | {} | {:.1} |",
        m.made as f64 / seconds as f64 / limit,
        m.worst_over / limit,
        m.seconds_over,
        m.messages as f64 / seconds as f64 / nodes as f64
    );
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    println!(
        "| nodes | script | way | share of the limit in use | worst over, of the limit | seconds over | messages/s a node |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for nodes in if sizes.is_empty() { vec![10] } else { sizes } {
        for way in [Way::Leases, Way::EvenByView, Way::Counter] {
            for (name, load) in
                [("even demand", even as fn() -> Load), ("skewed", skewed), ("moving", moving)]
            {
                let mut sim = Sim::new(plan(nodes, way, 1), load());
                settle(&mut sim);
                sim.run(20 * S);
                line(name, way, nodes, 20, &sim);
            }
            let mut sim = Sim::new(plan(nodes, way, 1), even());
            settle(&mut sim);
            sim.cut(|a, b| a % 3 != b % 3);
            sim.run(20 * S);
            line("cut in thirds", way, nodes, 20, &sim);
            let mut sim = Sim::new(plan(nodes, way, 1), even());
            settle(&mut sim);
            for n in 0..nodes / 2 {
                sim.crash(n * 2);
                sim.run(20 * S / (nodes as u64 / 2).max(1));
                sim.start(n * 2);
            }
            line("half replaced in 20 s", way, nodes, 20, &sim);
            let mut sim = Sim::new(plan(nodes, way, 1), even());
            settle(&mut sim);
            sim.crash(0);
            sim.run(20 * S);
            line("the first node dies", way, nodes, 20, &sim);
        }
    }
}
