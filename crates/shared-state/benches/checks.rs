//! Benchmarks the time of the shared-state checks that are made for each request, and prints the
//! memory that 100,000 keys take. Run: cargo bench -p madderpoint-shared-state

use criterion::{Criterion, criterion_group, criterion_main};
use madderpoint_shared_state::counters::{
    PROCESS_ROW, ProcessCounters, heavy_kind, operation_column,
};
use madderpoint_shared_state::keyed_quota::borrower::QuotaBorrower;
use madderpoint_shared_state::keyed_quota::lender::{QuotaLender, QuotaLenderSize};
use madderpoint_shared_state::keyed_quota::{
    KeyGrant, KeyRequest, KeyedQuota, QuotaGrant, QuotaKind, QuotaRequest, QuotaTiming,
};
use madderpoint_shared_state::{
    BackendGate, Budget, BudgetKind, Nanos, NodeBudgets, ProcessId, ServiceHealth,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::hint::black_box;

const S: Nanos = 1_000_000_000;

fn all_budgets() -> Vec<Budget> {
    let budget = |name: &str, limit, kind| Budget {
        name: name.into(),
        limit,
        floor: 1_000_000,
        max_nodes: 1,
        kind,
        retries_only: false,
    };
    vec![
        budget("rate", 1_000_000, BudgetKind::Rate { burst: S / 20 }),
        budget(
            "in-flight",
            1_000_000,
            BudgetKind::InFlight {
                max_call_time: 10 * S,
            },
        ),
    ]
}

fn keyed_quota(count: u32, burst: u32) -> KeyedQuota {
    let kind = QuotaKind::Rate {
        count,
        period: S,
        burst,
    };
    KeyedQuota {
        name: "by-site".into(),
        kind,
        floor: 1,
        max_nodes: 300,
    }
}

fn resident_kib() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    text.split_whitespace()
        .nth(1)
        .unwrap()
        .parse::<usize>()
        .unwrap()
        * 4
}

fn checks(c: &mut Criterion) {
    let mut group = c.benchmark_group("checks");
    let (mut budgets, mut now) = (NodeBudgets::new(0, &all_budgets()), S);
    group.bench_function("acquire and release under two budgets", |b| {
        b.iter(|| {
            now += 10_000;
            if black_box(budgets.acquire(now, false)).is_ok() {
                budgets.release(false);
            }
        });
    });
    let mut health = ServiceHealth::new(0, 1);
    group.bench_function("health check and result of a call", |b| {
        b.iter(|| {
            now += 10_000;
            if black_box(health.admits(now, false)) {
                health.call_ended(now, true);
            }
        });
    });
    let (mut gate, mut budgets) = (BackendGate::new(0), NodeBudgets::new(0, &all_budgets()));
    group.bench_function("backend gate", |b| {
        b.iter(|| {
            now += 10_000;
            black_box(gate.admits(now, Some(&mut budgets), Some(&mut health)))
        });
    });
    for keys in [100u64, 100_000] {
        let quota = keyed_quota(1_000_000, 2_000_000);
        let before = resident_kib();
        // Requests every nanosecond, so that all keys are granted units before the measurement.
        let timing = QuotaTiming {
            request_interval: 1,
            renewal_interval: 3600 * S,
            lease_duration: 3600 * S,
            idle_timeout: 3600 * S,
        };
        let mut borrower = QuotaBorrower::new(0, std::slice::from_ref(&quota), timing, 48 << 20, 7);
        let id = quota.id();
        let mut now = 1000 * S;
        for key in 0..keys {
            let _ = borrower.check(now, id, key);
        }
        for _ in 0..keys / 48 + 100 {
            now += S / 50;
            let Some(request) = borrower.next_request(now) else {
                break;
            };
            let keys = request
                .keys
                .iter()
                .map(|key| KeyGrant {
                    quota: key.quota,
                    key: key.key,
                    added: 1_000_000,
                    retry_after: 0,
                })
                .collect();
            borrower.receive_grant(
                now,
                &QuotaGrant {
                    number: request.number,
                    request_sent_at: request.sent_at,
                    lease_duration: 3600 * S,
                    keys,
                },
            );
        }
        println!(
            "borrower: {} keys, {} KiB",
            borrower.tracked_keys(),
            resident_kib().saturating_sub(before)
        );
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        group.bench_function(format!("check and acquire one of {keys} keys"), |b| {
            b.iter(|| {
                now += 1000;
                let key = rng.random_range(0..keys);
                if black_box(borrower.check(now, id, key)).is_ok() {
                    borrower.acquire(now, id, key);
                }
            });
        });
    }
    let mut counters = ProcessCounters::new(0);
    group.bench_function("count a request", |b| {
        b.iter(|| {
            now += 1000;
            let unix = now / 1_000_000;
            counters.add(unix, 7, operation_column::ARRIVED, 1);
            counters.add(unix, 7, operation_column::OFFERED_WEIGHT, 1000);
            counters.record_key(unix, heavy_kind::CLIENTS, now % 64);
            counters.add(unix, 7, operation_column::SUCCEEDED, 1);
            counters.add(unix, 7, operation_column::EARNED_WEIGHT, 1000);
            counters.record_latency(unix, 7, now % S);
            counters.add(unix, PROCESS_ROW, 0, 1);
        });
    });
    group.finish();
}

/// Benchmarks a quota request with 48 keys at the leader, with 300 nodes and 100,000 keys.
fn quota_lender(c: &mut Criterion) {
    let quota = keyed_quota(100, 2000);
    let before = resident_kib();
    let mut lender = QuotaLender::new(
        0,
        std::slice::from_ref(&quota),
        QuotaTiming::for_nodes(300),
        128 << 20,
        7,
    );
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut now = 1000 * S;
    let mut number = 0;
    let mut random_request = |rng: &mut Pcg64Mcg| {
        number += 1;
        let key = |rng: &mut Pcg64Mcg| KeyRequest {
            quota: quota.id(),
            key: rng.random_range(0..100_000),
            kept: 0,
            released: 0,
            wanted: 1,
        };
        (
            rng.random_range(1..=300),
            QuotaRequest {
                number,
                sent_at: 0,
                keys: (0..48).map(|_| key(rng)).collect(),
            },
        )
    };
    for _ in 0..20_000 {
        let (borrower_key, request) = random_request(&mut rng);
        let _ = lender.request(
            now,
            ProcessId {
                key: borrower_key,
                incarnation: 1,
            },
            &request,
        );
    }
    let QuotaLenderSize {
        keys,
        leases,
        refused,
    } = lender.size();
    println!(
        "lender: {keys} keys, {leases} leases, {refused} refused, {} KiB",
        resident_kib().saturating_sub(before)
    );
    c.bench_function("lender: a request of 48 of 100,000 keys", |b| {
        b.iter(|| {
            now += 100_000;
            let (borrower_key, request) = random_request(&mut rng);
            black_box(lender.request(
                now,
                ProcessId {
                    key: borrower_key,
                    incarnation: 1,
                },
                &request,
            ))
        });
    });
}

criterion_group!(benches, checks, quota_lender);
criterion_main!(benches);
