//! Compares the limits with exact models over simulated time, and checks the memory bound while new
//! keys arrive continuously.

use super::*;
use crate::Rate;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;

const SECOND: Nanos = 1000 * MILLISECOND;

fn new_limiter(bytes: usize, bucket: Bucket) -> RateLimiter {
    let mut limiter = RateLimiter::new(bytes, 11);
    limiter.configure(0, &[bucket]);
    limiter
}

fn rated(count: u64, burst: u32) -> Bucket {
    Bucket {
        rate: Rate::new(count, SECOND, burst),
        ..Bucket::named("rated")
    }
}

/// Exact GCRA for any number of keys, in a hash map.
#[derive(Default)]
struct Exact(HashMap<u64, Nanos>);

impl Exact {
    fn passes(&mut self, rate: Rate, now: Nanos, key: u64) -> bool {
        let due = self.0.entry(key).or_default();
        let passes = *due <= now + rate.tolerance();
        if passes {
            *due = (*due).max(now) + rate.interval();
        }
        passes
    }
}

#[test]
fn a_rate_is_exact_while_keys_fit_into_the_table() {
    let rate = Rate::new(20, SECOND, 5).unwrap();
    let (mut limiter, mut exact) = (new_limiter(1 << 20, rated(20, 5)), Exact::default());
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut now = 0;
    for _ in 0..200_000 {
        now += rng.random_range(0..2 * MILLISECOND);
        let key = rng.random_range(0..30u64);
        assert_eq!(
            limiter.acquire(now, &[(0, key)]).is_ok(),
            exact.passes(rate, now, key)
        );
    }
}

#[test]
fn no_key_exceeds_its_rate_among_a_million_keys() {
    let rate = Rate::new(10, SECOND, 3).unwrap();
    let mut limiter = new_limiter(64 << 10, rated(10, 3));
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    // Eight heavy keys among a million keys with one request each. The exact model must admit every
    // request that the limiter admitted.
    let mut due: HashMap<u64, Nanos> = HashMap::new();
    let (mut now, mut heavy_passed) = (0, [0u64; 8]);
    for i in 0..1_000_000u64 {
        now += 50_000;
        let key = if i % 4 == 0 {
            rng.random_range(0..8u64)
        } else {
            1000 + i
        };
        if limiter.acquire(now, &[(0, key)]).is_ok() && key < 8 {
            heavy_passed[key as usize] += 1;
            let due = due.entry(key).or_default();
            assert!(
                *due <= now + rate.tolerance(),
                "key {key} exceeds its rate at {now}"
            );
            *due = (*due).max(now) + rate.interval();
        }
        if i % 10_000 == 0 {
            assert!(
                limiter.bytes() < 96 << 10,
                "{} bytes after {i} keys",
                limiter.bytes()
            );
        }
    }
    // 50 s at ten a second plus the burst: each heavy key gets nearly its full rate.
    assert!(
        heavy_passed.iter().all(|n| (450..=503).contains(n)),
        "{heavy_passed:?}"
    );
}

#[test]
fn retry_after_is_the_exact_time_until_a_rate_admits_again() {
    let mut limiter = new_limiter(1 << 16, rated(4, 2));
    let mut now = 7 * SECOND;
    for _ in 0..100 {
        while limiter.acquire(now, &[(0, 1)]).is_ok() {}
        let exceeded = limiter.acquire(now, &[(0, 1)]).unwrap_err();
        assert_eq!(exceeded.limit, ExceededLimit::Rate);
        assert!(
            limiter
                .acquire(now + exceeded.retry_after - 1, &[(0, 1)])
                .is_err(),
            "not sooner"
        );
        now += exceeded.retry_after;
        assert!(limiter.acquire(now, &[(0, 1)]).is_ok(), "and not later");
    }
}

#[test]
fn permits_in_flight_are_bounded_and_reusable_after_release() {
    let mut limiter = new_limiter(
        1 << 16,
        Bucket {
            max_in_flight: Some(3),
            ..Bucket::named("held")
        },
    );
    let mut held: Vec<_> = (0..3)
        .map(|_| limiter.acquire(0, &[(0, 9)]).unwrap())
        .collect();
    assert_eq!(
        limiter.acquire(SECOND, &[(0, 9)]).unwrap_err().limit,
        ExceededLimit::InFlight
    );
    let other = limiter.acquire(SECOND, &[(0, 8)]).unwrap();
    limiter.release(2 * SECOND, held.remove(0));
    limiter.release(2 * SECOND, other);
    held.push(limiter.acquire(2 * SECOND, &[(0, 9)]).unwrap());
    assert_eq!(limiter.counters().next().unwrap().1.in_flight, 3);
    held.into_iter()
        .for_each(|permit| limiter.release(3 * SECOND, permit));
    let counters = limiter.counters().next().unwrap().1;
    assert_eq!(
        (
            counters.in_flight,
            counters.active_keys,
            counters.admitted,
            counters.exceeded
        ),
        (0, 0, 5, [0, 1, 0, 0])
    );
}

#[test]
fn a_greedy_key_does_not_starve_other_keys() {
    let mut limiter = new_limiter(
        1 << 16,
        Bucket {
            max_total_in_flight: Some(16),
            ..Bucket::named("shared")
        },
    );
    let mut greedy = Vec::new();
    while let Ok(permit) = limiter.acquire(0, &[(0, 1)]) {
        greedy.push(permit);
    }
    assert_eq!(greedy.len(), 14, "an eighth is reserved for other keys");
    let (mut a, mut b, mut again) = (Vec::new(), Vec::new(), Vec::new());
    a.push(
        limiter
            .acquire(0, &[(0, 2)])
            .expect("the reserved part admits a new key"),
    );
    b.push(
        limiter
            .acquire(0, &[(0, 3)])
            .expect("the reserved part admits a second new key"),
    );
    assert_eq!(
        limiter.acquire(0, &[(0, 4)]).unwrap_err().limit,
        ExceededLimit::Share,
        "the total is in use"
    );
    // When the greedy key releases its permits, keys with fewer permits get them, each up to an
    // even share.
    for permit in greedy.drain(..) {
        limiter.release(SECOND, permit);
        a.extend(limiter.acquire(SECOND, &[(0, 2)]));
        b.extend(limiter.acquire(SECOND, &[(0, 3)]));
        again.extend(limiter.acquire(SECOND, &[(0, 1)]));
    }
    let held = [a.len(), b.len(), again.len()];
    assert!(
        held.iter().all(|n| (3..=7).contains(n)) && held.iter().sum::<usize>() <= 16,
        "{held:?}"
    );
    assert_eq!(
        limiter.counters().next().unwrap().1.in_flight as usize,
        held.iter().sum::<usize>()
    );
}

#[test]
fn a_request_is_admitted_by_all_its_buckets_or_charged_to_none() {
    let mut limiter = RateLimiter::new(1 << 16, 1);
    let held = Bucket {
        max_in_flight: Some(1),
        ..Bucket::named("held")
    };
    limiter.configure(0, &[rated(1, 1), held]);
    let permit = limiter.acquire(0, &[(0, 5), (1, 5)]).unwrap();
    assert_eq!(
        limiter
            .acquire(2 * SECOND, &[(0, 5), (1, 5)])
            .unwrap_err()
            .bucket,
        1
    );
    limiter.release(2 * SECOND, permit);
    // The rate was not charged for the request that the second bucket refused.
    let permit = limiter.acquire(2 * SECOND, &[(0, 5), (1, 5)]).unwrap();
    limiter.release(2 * SECOND, permit);
}

#[test]
fn a_reload_keeps_unchanged_buckets_and_restarts_changed_ones() {
    let held = Bucket {
        max_in_flight: Some(1),
        ..Bucket::named("held")
    };
    let mut limiter = RateLimiter::new(1 << 16, 1);
    limiter.configure(0, &[rated(1, 1), held.clone()]);
    let first = limiter.acquire(0, &[(0, 5), (1, 5)]).unwrap();
    // The order is reversed, and the rate is changed.
    limiter.configure(MILLISECOND, &[held.clone(), rated(2, 1)]);
    assert_eq!(
        limiter.acquire(MILLISECOND, &[(0, 5)]).unwrap_err().limit,
        ExceededLimit::InFlight
    );
    assert!(
        limiter.acquire(MILLISECOND, &[(1, 5)]).is_ok(),
        "a bucket with a changed rate starts empty"
    );
    // A permit of a definition that was removed and defined again has no effect.
    limiter.configure(MILLISECOND, &[]);
    limiter.configure(MILLISECOND, &[held]);
    let second = limiter.acquire(MILLISECOND, &[(0, 5)]).unwrap();
    limiter.release(MILLISECOND, first);
    assert_eq!(
        limiter.acquire(MILLISECOND, &[(0, 5)]).unwrap_err().limit,
        ExceededLimit::InFlight
    );
    limiter.release(MILLISECOND, second);
}

#[test]
fn a_clock_that_jumps_admits_no_request_twice() {
    let mut limiter = new_limiter(1 << 16, rated(1, 1));
    assert!(limiter.acquire(100 * SECOND, &[(0, 1)]).is_ok());
    assert!(limiter.acquire(0, &[(0, 1)]).is_err(), "clock set back");
    assert!(
        limiter.acquire(100 * SECOND, &[(0, 1)]).is_err(),
        "clock at the first time again"
    );
    assert!(
        limiter.acquire(1 << 62, &[(0, 1)]).is_ok(),
        "far ahead the arrival time has passed"
    );
    for key in 0..10_000 {
        let _ = limiter.acquire((1 << 62) + key * SECOND * 300, &[(0, key)]);
    }
    assert!(
        limiter.tracked_keys() < 200,
        "{} keys are tracked although most arrival times have passed",
        limiter.tracked_keys()
    );
    assert!(limiter.acquire(u64::MAX, &[(0, 1)]).is_ok());
}

#[test]
fn a_new_key_without_memory_is_refused_with_a_retry_after() {
    let mut limiter = new_limiter(
        0,
        Bucket {
            max_in_flight: Some(1),
            ..Bucket::named("held")
        },
    );
    let mut permits = Vec::new();
    let exceeded = loop {
        match limiter.acquire(0, &[(0, permits.len() as u64)]) {
            Ok(permit) => permits.push(permit),
            Err(exceeded) => break exceeded,
        }
    };
    assert_eq!(
        (
            exceeded.limit,
            exceeded.retry_after >= MIN_RETRY_AFTER,
            permits.len()
        ),
        (ExceededLimit::NoMemory, true, 16)
    );
    limiter.release(SECOND, permits.remove(0));
    let found = (0..4).find_map(|_| limiter.acquire(SECOND, &[(0, 99)]).ok());
    limiter.release(
        SECOND,
        found.expect("a released slot is found within four attempts"),
    );
}

#[test]
fn invalid_rates_are_rejected() {
    assert_eq!(Rate::new(0, SECOND, 1), None);
    assert_eq!(Rate::new(1, SECOND, 0), None);
    assert_eq!(Rate::new(1, 0, 1), None);
    assert_eq!(Rate::new(1, u64::MAX, 2), None);
    assert_eq!(Rate::new(3, 10, 1).unwrap().interval(), 4, "rounded up");
}
