//! Compares the time to acquire a permit, and the memory, with a plain map that holds the same
//! states. Run: cargo bench -p madderpoint-rate-limits

use criterion::{Criterion, criterion_group, criterion_main};
use madderpoint_rate_limits::{Bucket, Rate, RateLimiter};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::hint::black_box;

const SECOND: u64 = 1_000_000_000;

/// Memory of the limiter, in bytes: the amount that a node with 32 MB reserves for it.
const BYTES: usize = 1 << 20;

/// GCRA over a hash map that never evicts a key, as the baseline of the comparison.
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
        // Inserts every key, so that the memory printed does not depend on the number of
        // iterations.
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
