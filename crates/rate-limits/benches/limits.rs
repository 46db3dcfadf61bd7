//! What acquiring a permit costs, against a plain map of the same states, and what memory both
//! take. Run: cargo bench -p madderpoint-rate-limits

use criterion::{Criterion, criterion_group, criterion_main};
use madderpoint_rate_limits::{Bucket, Rate, RateLimiter};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::hint::black_box;

const SECOND: u64 = 1_000_000_000;

/// What a node with 32 MB sets aside.
const BYTES: usize = 1 << 20;

/// GCRA in a map that never forgets: the plain structure.
#[derive(Default)]
struct Plain(HashMap<u64, u64>);

impl Plain {
    fn acquire(&mut self, rate: Rate, now: u64, key: u64) -> bool {
        let due = self.0.entry(key).or_default();
        let passes = *due <= now + rate.interval() * 19;
        if passes {
            *due = (*due).max(now) + rate.interval();
        }
        passes
    }
}

fn limits(c: &mut Criterion) {
    let rate = Rate::new(50, SECOND, 20).unwrap();
    let mut group = c.benchmark_group("limits");
    for (name, keys) in [("a thousand keys", 1_000u64), ("a million keys", 1_000_000)] {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut limiter = RateLimiter::new(BYTES, 7);
        limiter.configure(
            0,
            &[Bucket {
                rate: Some(rate),
                ..Bucket::named("b")
            }],
        );
        let mut now = 0;
        group.bench_function(format!("rate, {name}"), |b| {
            b.iter(|| {
                now += 10_000;
                black_box(
                    limiter
                        .acquire(now, &[(0, rng.random_range(0..keys))])
                        .is_ok(),
                )
            });
        });
        let mut plain = Plain::default();
        group.bench_function(format!("plain map, {name}"), |b| {
            b.iter(|| {
                now += 10_000;
                black_box(plain.acquire(rate, now, rng.random_range(0..keys)))
            });
        });
        // Memory after as many keys as there are, whatever the benchmark asked.
        for key in 0..keys {
            let _ = limiter.acquire(now, &[(0, key)]);
            plain.acquire(rate, now, key);
        }
        println!(
            "{name}: {} KiB bounded, {} KiB in the plain map",
            limiter.bytes() >> 10,
            (plain.0.capacity() * 17) >> 10
        );
    }
    let mut limiter = RateLimiter::new(BYTES, 7);
    limiter.configure(
        0,
        &[Bucket {
            max_in_flight: Some(64),
            max_total_in_flight: Some(4096),
            ..Bucket::named("b")
        }],
    );
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut now = 0;
    group.bench_function("in flight and shared, acquired and released", |b| {
        b.iter(|| {
            now += 10_000;
            if let Ok(permit) = limiter.acquire(now, &[(0, rng.random_range(0..1000))]) {
                limiter.release(now, permit);
            }
        });
    });
    group.finish();
}

criterion_group!(benches, limits);
criterion_main!(benches);
