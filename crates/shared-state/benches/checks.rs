//! What the checks of shared state cost in the path of a request, and what a hundred thousand keys
//! take. Run: cargo bench -p madderpoint-shared-state

use criterion::{Criterion, criterion_group, criterion_main};
use madderpoint_shared_state::counters::{OWN, ProcessCounters, column, heavy_kind};
use madderpoint_shared_state::keyed_quota::borrower::QuotaBorrower;
use madderpoint_shared_state::keyed_quota::lender::QuotaLender;
use madderpoint_shared_state::keyed_quota::{
    KeyGrant, KeyRequest, KeyedQuota, QuotaGrant, QuotaKind, QuotaRequest, QuotaTiming,
};
use madderpoint_shared_state::{
    BackendGate, Budget, Kind, Nanos, NodeBudgets, ProcessId, ServiceHealth,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::hint::black_box;

const S: Nanos = 1_000_000_000;

fn budgets() -> Vec<Budget> {
    let budget = |name: &str, limit, kind| Budget {
        name: name.into(),
        limit,
        floor: 1_000_000,
        nodes_most: 1,
        kind,
        repeats_only: false,
    };
    vec![
        budget("rate", 1_000_000, Kind::Rate { burst: S / 20 }),
        budget("hands", 1_000_000, Kind::InHand { longest: 10 * S }),
    ]
}

fn by_key(count: u32, burst: u32) -> KeyedQuota {
    let kind = QuotaKind::Rate {
        count,
        period: S,
        burst,
    };
    KeyedQuota {
        name: "by-site".into(),
        kind,
        floor: 1,
        nodes_most: 300,
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
    let (mut ends, mut now) = (NodeBudgets::new(0, &budgets()), S);
    group.bench_function("a call under two budgets, and its end", |b| {
        b.iter(|| {
            now += 10_000;
            if black_box(ends.take(now, false)).is_ok() {
                ends.over(false);
            }
        });
    });
    let mut judge = ServiceHealth::new(0, 1);
    group.bench_function("a call by judgement, and its end", |b| {
        b.iter(|| {
            now += 10_000;
            if black_box(judge.admits(now, false)) {
                judge.ended(now, true);
            }
        });
    });
    let (mut gate, mut ends) = (BackendGate::new(0), NodeBudgets::new(0, &budgets()));
    group.bench_function("the gate", |b| {
        b.iter(|| {
            now += 10_000;
            black_box(gate.admits(now, Some(&mut ends), Some(&mut judge)))
        });
    });
    for keys in [100u64, 100_000] {
        let budget = by_key(1_000_000, 2_000_000);
        let before = resident_kib();
        // So quick a rhythm that all keys are lent something at once.
        let rhythm = QuotaTiming {
            urgent: 1,
            renew: 3600 * S,
            life: 3600 * S,
            keep: 3600 * S,
        };
        let mut wallet = QuotaBorrower::new(0, std::slice::from_ref(&budget), rhythm, 48 << 20, 7);
        let id = budget.id();
        let mut now = 1000 * S;
        for key in 0..keys {
            let _ = wallet.fits(now, id, key);
        }
        for _ in 0..keys / 48 + 100 {
            now += S / 50;
            let Some(asked) = wallet.ask(now) else { break };
            let keys = asked
                .keys
                .iter()
                .map(|k| KeyGrant {
                    budget: k.budget,
                    key: k.key,
                    adds: 1_000_000,
                    wait: 0,
                })
                .collect();
            wallet.lent(
                now,
                &QuotaGrant {
                    no: asked.no,
                    stamp: asked.stamp,
                    life: 3600 * S,
                    keys,
                },
            );
        }
        println!(
            "wallet: {} keys, {} KiB",
            wallet.keys(),
            resident_kib().saturating_sub(before)
        );
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        group.bench_function(format!("one of {keys} keys"), |b| {
            b.iter(|| {
                now += 1000;
                let key = rng.random_range(0..keys);
                if black_box(wallet.fits(now, id, key)).is_ok() {
                    wallet.take(now, id, key);
                }
            });
        });
    }
    let mut tally = ProcessCounters::new(0);
    group.bench_function("counting an invocation", |b| {
        b.iter(|| {
            now += 1000;
            let unix = now / 1_000_000;
            tally.add(unix, 7, column::ARRIVED, 1);
            tally.add(unix, 7, column::ASKED, 1000);
            tally.heavy(unix, heavy_kind::CALLERS, now % 64);
            tally.add(unix, 7, column::SUCCEEDED, 1);
            tally.add(unix, 7, column::EARNED, 1000);
            tally.took(unix, 7, now % S);
            tally.add(unix, OWN, 0, 1);
        });
    });
    group.finish();
}

/// A question of 48 keys at the books of the one who lends, with 300 nodes and a hundred thousand
/// keys.
fn books(c: &mut Criterion) {
    let budget = by_key(100, 2000);
    let before = resident_kib();
    let mut books = QuotaLender::new(
        0,
        std::slice::from_ref(&budget),
        QuotaTiming::of(300),
        128 << 20,
        7,
    );
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut now = 1000 * S;
    let mut no = 0;
    let mut question = |rng: &mut Pcg64Mcg| {
        no += 1;
        let key = |rng: &mut Pcg64Mcg| KeyRequest {
            budget: budget.id(),
            key: rng.random_range(0..100_000),
            left: 0,
            back: 0,
            wants: 1,
        };
        (
            rng.random_range(1..=300),
            QuotaRequest {
                no,
                stamp: 0,
                keys: (0..48).map(|_| key(rng)).collect(),
            },
        )
    };
    for _ in 0..20_000 {
        let (who, asked) = question(&mut rng);
        let _ = books.ask(now, ProcessId { key: who, life: 1 }, &asked);
    }
    let (keys, pockets, refused) = books.figures();
    println!(
        "books: {keys} keys, {pockets} pockets, {refused} refused, {} KiB",
        resident_kib().saturating_sub(before)
    );
    c.bench_function("books: a question of 48 of 100,000 keys", |b| {
        b.iter(|| {
            now += 100_000;
            let (who, asked) = question(&mut rng);
            black_box(books.ask(now, ProcessId { key: who, life: 1 }, &asked))
        });
    });
}

criterion_group!(benches, checks, books);
criterion_main!(benches);
