//! The limits against exact models over simulated time, and their memory under keys without end.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;

const SECOND: Nanos = 1000 * MILLISECOND;

fn limits(bytes: usize, bucket: Bucket) -> RateLimiter {
    let mut limits = RateLimiter::new(bytes, 11);
    limits.define(0, &[bucket]);
    limits
}

fn rated(count: u64, burst: u32) -> Bucket {
    Bucket {
        rate: Rate::new(count, SECOND, burst),
        ..Bucket::named("rated")
    }
}

/// GCRA for any number of keys, in a plain map.
#[derive(Default)]
struct Exact(HashMap<u64, Nanos>);

impl Exact {
    fn passes(&mut self, rate: Rate, now: Nanos, key: u64) -> bool {
        let due = self.0.entry(key).or_default();
        let passes = *due <= now + rate.tolerance();
        if passes {
            *due = (*due).max(now) + rate.interval;
        }
        passes
    }
}

#[test]
fn a_rate_is_kept_exactly_while_keys_fit() {
    let rate = Rate::new(20, SECOND, 5).unwrap();
    let (mut limits, mut exact) = (limits(1 << 20, rated(20, 5)), Exact::default());
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut now = 0;
    for _ in 0..200_000 {
        now += rng.random_range(0..2 * MILLISECOND);
        let key = rng.random_range(0..30u64);
        assert_eq!(
            limits.ask(now, &[(0, key)]).is_ok(),
            exact.passes(rate, now, key)
        );
    }
}

#[test]
fn no_key_is_ever_over_its_rate_though_a_million_come() {
    let rate = Rate::new(10, SECOND, 3).unwrap();
    let mut limits = limits(64 << 10, rated(10, 3));
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    // A few heavy keys among a million that come once. Whatever was let through must have fitted
    // the exact model.
    let mut due: HashMap<u64, Nanos> = HashMap::new();
    let (mut now, mut heavy_passed) = (0, [0u64; 8]);
    for i in 0..1_000_000u64 {
        now += 50_000;
        let key = if i % 4 == 0 {
            rng.random_range(0..8u64)
        } else {
            1000 + i
        };
        if limits.ask(now, &[(0, key)]).is_ok() && key < 8 {
            heavy_passed[key as usize] += 1;
            let due = due.entry(key).or_default();
            assert!(
                *due <= now + rate.tolerance(),
                "key {key} is over its rate at {now}"
            );
            *due = (*due).max(now) + rate.interval;
        }
        if i % 10_000 == 0 {
            assert!(
                limits.bytes() < 96 << 10,
                "{} bytes after {i} keys",
                limits.bytes()
            );
        }
    }
    // 50 s at ten a second, and the burst: each heavy key gets nearly all of it, none is starved.
    assert!(
        heavy_passed.iter().all(|n| (450..=503).contains(n)),
        "{heavy_passed:?}"
    );
}

#[test]
fn the_pause_tells_when_there_is_room() {
    let mut limits = limits(1 << 16, rated(4, 2));
    let mut now = 7 * SECOND;
    for _ in 0..100 {
        while limits.ask(now, &[(0, 1)]).is_ok() {}
        let over = limits.ask(now, &[(0, 1)]).unwrap_err();
        assert_eq!(over.why, ExceededLimit::Rate);
        assert!(
            limits.ask(now + over.pause - 1, &[(0, 1)]).is_err(),
            "not sooner"
        );
        now += over.pause;
        assert!(limits.ask(now, &[(0, 1)]).is_ok(), "and not later");
    }
}

#[test]
fn what_is_in_hand_is_bounded_and_comes_back() {
    let mut limits = limits(
        1 << 16,
        Bucket {
            in_hand: Some(3),
            ..Bucket::named("held")
        },
    );
    let mut held: Vec<_> = (0..3).map(|_| limits.ask(0, &[(0, 9)]).unwrap()).collect();
    assert_eq!(
        limits.ask(SECOND, &[(0, 9)]).unwrap_err().why,
        ExceededLimit::InHand
    );
    let other = limits.ask(SECOND, &[(0, 8)]).unwrap();
    limits.done(2 * SECOND, held.remove(0));
    limits.done(2 * SECOND, other);
    held.push(limits.ask(2 * SECOND, &[(0, 9)]).unwrap());
    assert_eq!(limits.tallies().next().unwrap().1.in_hand, 3);
    held.into_iter()
        .for_each(|ticket| limits.done(3 * SECOND, ticket));
    let tally = limits.tallies().next().unwrap().1;
    assert_eq!(
        (tally.in_hand, tally.keys, tally.passed, tally.over),
        (0, 0, 5, [0, 1, 0, 0])
    );
}

#[test]
fn one_key_that_takes_all_it_gets_shuts_nobody_out() {
    let mut limits = limits(
        1 << 16,
        Bucket {
            total: Some(16),
            ..Bucket::named("shared")
        },
    );
    let mut greedy = Vec::new();
    while let Ok(ticket) = limits.ask(0, &[(0, 1)]) {
        greedy.push(ticket);
    }
    assert_eq!(greedy.len(), 14, "an eighth is kept for others");
    let (mut a, mut b, mut again) = (Vec::new(), Vec::new(), Vec::new());
    a.push(
        limits
            .ask(0, &[(0, 2)])
            .expect("a place is kept for a new key"),
    );
    b.push(limits.ask(0, &[(0, 3)]).expect("and one more"));
    assert_eq!(
        limits.ask(0, &[(0, 4)]).unwrap_err().why,
        ExceededLimit::Share,
        "all are taken"
    );
    // As the greedy key's places come back, keys that hold less get them, up to an even share of
    // each.
    for ticket in greedy.drain(..) {
        limits.done(SECOND, ticket);
        a.extend(limits.ask(SECOND, &[(0, 2)]));
        b.extend(limits.ask(SECOND, &[(0, 3)]));
        again.extend(limits.ask(SECOND, &[(0, 1)]));
    }
    let held = [a.len(), b.len(), again.len()];
    assert!(
        held.iter().all(|n| (3..=7).contains(n)) && held.iter().sum::<usize>() <= 16,
        "{held:?}"
    );
    assert_eq!(
        limits.tallies().next().unwrap().1.in_hand as usize,
        held.iter().sum::<usize>()
    );
}

#[test]
fn a_request_takes_of_all_its_buckets_or_of_none() {
    let mut limits = RateLimiter::new(1 << 16, 1);
    let held = Bucket {
        in_hand: Some(1),
        ..Bucket::named("held")
    };
    limits.define(0, &[rated(1, 1), held]);
    let ticket = limits.ask(0, &[(0, 5), (1, 5)]).unwrap();
    assert_eq!(
        limits
            .ask(2 * SECOND, &[(0, 5), (1, 5)])
            .unwrap_err()
            .bucket,
        1
    );
    limits.done(2 * SECOND, ticket);
    // The rate was not charged for the one that was turned away by the other bucket.
    let ticket = limits.ask(2 * SECOND, &[(0, 5), (1, 5)]).unwrap();
    limits.done(2 * SECOND, ticket);
}

#[test]
fn a_reload_keeps_what_stayed_and_forgets_what_changed() {
    let held = Bucket {
        in_hand: Some(1),
        ..Bucket::named("held")
    };
    let mut limits = RateLimiter::new(1 << 16, 1);
    limits.define(0, &[rated(1, 1), held.clone()]);
    let first = limits.ask(0, &[(0, 5), (1, 5)]).unwrap();
    // In another order, and one of them changed.
    limits.define(MILLISECOND, &[held.clone(), rated(2, 1)]);
    assert_eq!(
        limits.ask(MILLISECOND, &[(0, 5)]).unwrap_err().why,
        ExceededLimit::InHand
    );
    assert!(
        limits.ask(MILLISECOND, &[(1, 5)]).is_ok(),
        "a changed rate begins anew"
    );
    // What was taken under a definition that went and came again counts for nothing.
    limits.define(MILLISECOND, &[]);
    limits.define(MILLISECOND, &[held]);
    let second = limits.ask(MILLISECOND, &[(0, 5)]).unwrap();
    limits.done(MILLISECOND, first);
    assert_eq!(
        limits.ask(MILLISECOND, &[(0, 5)]).unwrap_err().why,
        ExceededLimit::InHand
    );
    limits.done(MILLISECOND, second);
}

#[test]
fn clocks_that_jump_give_nothing_away() {
    let mut limits = limits(1 << 16, rated(1, 1));
    assert!(limits.ask(100 * SECOND, &[(0, 1)]).is_ok());
    assert!(limits.ask(0, &[(0, 1)]).is_err(), "back");
    assert!(
        limits.ask(100 * SECOND, &[(0, 1)]).is_err(),
        "and forth again"
    );
    assert!(
        limits.ask(1 << 62, &[(0, 1)]).is_ok(),
        "far ahead its time has passed"
    );
    for key in 0..10_000 {
        let _ = limits.ask((1 << 62) + key * SECOND * 300, &[(0, key)]);
    }
    assert!(
        limits.keys() < 200,
        "{} keys are left of which the time has passed",
        limits.keys()
    );
    assert!(limits.ask(u64::MAX, &[(0, 1)]).is_ok());
}

#[test]
fn when_all_places_are_held_a_new_key_is_turned_away_politely() {
    let mut limits = limits(
        0,
        Bucket {
            in_hand: Some(1),
            ..Bucket::named("held")
        },
    );
    let mut tickets = Vec::new();
    let over = loop {
        match limits.ask(0, &[(0, tickets.len() as u64)]) {
            Ok(ticket) => tickets.push(ticket),
            Err(over) => break over,
        }
    };
    assert_eq!(
        (over.why, over.pause >= LEAST_PAUSE, tickets.len()),
        (ExceededLimit::Room, true, 16)
    );
    limits.done(SECOND, tickets.remove(0));
    let found = (0..4).find_map(|_| limits.ask(SECOND, &[(0, 99)]).ok());
    limits.done(SECOND, found.expect("a place that came back is found"));
}

#[test]
fn rates_that_make_no_sense_are_no_rates() {
    assert_eq!(Rate::new(0, SECOND, 1), None);
    assert_eq!(Rate::new(1, SECOND, 0), None);
    assert_eq!(Rate::new(1, 0, 1), None);
    assert_eq!(Rate::new(1, u64::MAX, 2), None);
    assert_eq!(Rate::new(3, 10, 1).unwrap().interval(), 4, "rounded up");
}
