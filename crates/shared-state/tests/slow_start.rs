//! Simulates a backend service that starts cold and the calls of all processes to it. In every
//! window, the number of calls stays within the capacity of the service at that time, with an
//! allowance for random variation. The processes learn of the start at different times, one is cut
//! off, one restarts during the recovery, one is idle until then, and all attempt calls at the same
//! times.

use madderpoint_shared_state::service_health::is_prober;
use madderpoint_shared_state::{
    Budget, BudgetKind, HealthReports, HealthState, Lease, LeaseId, Nanos, NodeBudgets, ProcessId,
    ServiceHealth,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: Nanos = 1_000_000;
const S: Nanos = 1000 * MS;
const SERVICE: u64 = 7;
/// Time at which the service goes down.
const DOWN: Nanos = 10 * S;
/// Time at which the service is up again, but cold.
const BACK: Nanos = 30 * S;
/// End of the simulation.
const END: Nanos = BACK + 60 * S;
/// Time at which a node restarts.
const RESTART: Nanos = BACK + 17 * S;
/// Time from which on the idle node attempts calls again.
const WAKES: Nanos = BACK + 15 * S;
/// Step of the simulation, in nanoseconds.
const TICK: Nanos = 10 * MS;
/// Time between two attempts of each node, in nanoseconds; all nodes attempt a call at the same
/// time.
const ATTEMPT_INTERVAL: Nanos = 10 * MS;
/// Duration of a lease, in nanoseconds.
const LEASE_DURATION: Nanos = S;
/// Time between two leases, and between two health reports, of a node, in nanoseconds.
const EXCHANGE_INTERVAL: Nanos = S / 2;

/// Returns the share of the limit that the service can take at a time after its start, in
/// nanoseconds: the steps of the recovery ramp, as if all nodes had begun the ramp at the start.
fn ramp(since: Nanos) -> f64 {
    let steps = (since / (5 * S)).min(4);
    2f64.powi(steps as i32) / 16.0
}

struct Node {
    health: ServiceHealth,
    budgets: NodeBudgets,
    reports: HealthReports,
    last_lease: u64,
}

/// Result of a simulation.
#[derive(Debug)]
struct Outcome {
    /// Maximum number of calls by which a window exceeded the allowed number; negative if none did.
    over: f64,
    /// Number of calls since the start of the service.
    calls: usize,
    /// Whether the service is healthy at all nodes at the end.
    is_healthy: bool,
}

/// The mechanism that limits a process while the service starts.
#[derive(Clone, Copy, PartialEq)]
enum RampBy {
    /// The budget share, which reduces the usable units of the process.
    BudgetShare,
    /// Only the admitted share of the service health; the usable units are not reduced.
    HealthAlone,
}

fn simulate(
    nodes: usize,
    calls_per_node: u32,
    window: Nanos,
    seed: u64,
    ramp_by: RampBy,
) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let limit = calls_per_node * nodes as u32;
    let kind = BudgetKind::Rate { burst: 50 * MS };
    let floor = (calls_per_node / 5).max(1);
    let budget = Budget {
        name: "below".into(),
        limit,
        floor,
        max_nodes: nodes as u32 + 1,
        kind,
        retries_only: false,
    };
    let new_node = |now: Nanos, n: usize, incarnation: u64| Node {
        health: ServiceHealth::new(now, n as u32 % 3),
        budgets: NodeBudgets::new(now, std::slice::from_ref(&budget))
            .with_seed(seed << 20 | incarnation << 10 | n as u64),
        reports: HealthReports::new(64),
        last_lease: 0,
    };
    let mut all: Vec<Node> = (0..nodes).map(|n| new_node(0, n, 0)).collect();
    // The first node restarts, the second node is idle, and the last node is cut off and gets no
    // leases.
    let (idle, cut_off) = (1, nodes - 1);
    // Each node receives reports and leases at its own times within the interval.
    let phase: Vec<Nanos> = (0..nodes).map(|_| rng.random_range(0..50) * TICK).collect();
    let mut calls: Vec<Nanos> = Vec::new();
    let mut now = 0;
    while now < END {
        now += TICK;
        let up = !(DOWN..BACK).contains(&now);
        if now == RESTART {
            all[0] = new_node(now, 0, 1);
        }
        for n in 0..nodes {
            let node = &mut all[n];
            if n != cut_off && (now + phase[n]).is_multiple_of(EXCHANGE_INTERVAL) {
                node.last_lease += 1;
                let units = budget.pool() / nodes as u32;
                let lease = Lease {
                    id: LeaseId {
                        lender: 1 + (now / RESTART),
                        number: node.last_lease,
                    },
                    units,
                    duration: LEASE_DURATION,
                    ..Lease::default()
                };
                node.budgets
                    .receive_leases(now, now - 5 * MS, &[(budget.id(), lease)]);
            }
            let attempts = n != idle || !(DOWN - 9 * S..WAKES).contains(&now);
            if attempts && now.is_multiple_of(ATTEMPT_INTERVAL) {
                if ramp_by == RampBy::BudgetShare {
                    node.budgets
                        .set_usable_share(now, node.health.budget_share(now));
                }
                if node.health.admits(now, false) && node.budgets.acquire(now, false).is_ok() {
                    if now >= BACK {
                        calls.push(now);
                    }
                    node.health.call_ended(now, up);
                }
            }
            if n != cut_off && (now + phase[n]).is_multiple_of(EXCHANGE_INTERVAL) {
                let report = node.health.report(now);
                for _ in 0..3 {
                    let m = rng.random_range(0..nodes);
                    if m != n && m != cut_off && !rng.random_bool(0.1) {
                        let from = ProcessId {
                            key: n as u64 + 1,
                            incarnation: 0,
                        };
                        all[m].reports.receive(now, from, SERVICE, report);
                    }
                }
            }
            if (now + phase[n]).is_multiple_of(EXCHANGE_INTERVAL) {
                let node = &mut all[n];
                let mut aggregated = node.reports.aggregate(now, SERVICE);
                let members = if n == cut_off { n..nodes } else { 0..cut_off };
                aggregated.is_prober =
                    is_prober(now, n as u64 + 1, SERVICE, members.map(|m| m as u64 + 1));
                aggregated.is_alone = n == cut_off;
                node.health.receive_reports(now, aggregated);
            }
        }
    }
    let mut over = f64::MIN;
    for (at, last) in calls.iter().enumerate() {
        let from = last.saturating_sub(window).max(BACK - TICK);
        let calls_in_window = calls[..=at]
            .iter()
            .rev()
            .take_while(|call| **call > from)
            .count() as f64;
        // The capacity of the service in the window, summed over the ticks.
        let capacity: f64 = (from / TICK + 1..=last / TICK)
            .map(|tick| f64::from(limit) * ramp(tick * TICK - BACK) * TICK as f64 / S as f64)
            .sum();
        // A window that began before the start of the service has the full length as well, with no
        // calls before the start.
        let capacity = capacity.max(f64::from(limit) * ramp(0) * window as f64 / S as f64);
        over = over.max(calls_in_window - (capacity + 2.0 * capacity.sqrt() + 2.0));
    }
    let is_healthy = all
        .iter()
        .all(|node| node.health.state() == HealthState::Healthy);
    Outcome {
        over,
        calls: calls.len(),
        is_healthy,
    }
}

#[test]
fn all_processes_together_stay_within_the_capacity_of_a_cold_service() {
    for nodes in [5, 20, 30] {
        for each in [2, 5, 10] {
            for window in [S / 2, S, 5 * S] {
                for seed in 0..10 {
                    let outcome = simulate(nodes, each, window, seed, RampBy::BudgetShare);
                    let case = format!(
                        "{nodes} processes, {each} calls/s each, window of {window} ns, seed {seed}: {outcome:?}"
                    );
                    assert!(outcome.over <= 0.0, "{case}");
                    // The service is used again once it is warm.
                    let max_calls = f64::from(each) * nodes as f64 * 60.0;
                    assert!(
                        outcome.is_healthy && outcome.calls as f64 > max_calls * 0.25,
                        "{case}"
                    );
                }
            }
        }
    }
}

/// Guards against a simulation that cannot detect an overload: without the budget share, the same
/// simulation exceeds the bound.
#[test]
fn without_a_slow_start_the_same_simulation_exceeds_the_bound() {
    for nodes in [5, 20, 30] {
        let over = (0..10)
            .filter(|seed| simulate(nodes, 5, S, *seed, RampBy::HealthAlone).over > 0.0)
            .count();
        assert!(
            over >= 8,
            "{nodes} processes: {over} of 10 seeds exceed the bound"
        );
    }
}
