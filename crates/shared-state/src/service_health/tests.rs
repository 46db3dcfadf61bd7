use super::aggregation::mix;
use super::*;
use crate::ProcessId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

fn who(key: u64) -> ProcessId {
    ProcessId { key, life: key }
}

/// What a node is told by these, each in its zone, with tries and failures.
fn said(words: impl Iterator<Item = (u64, u32, u32, u32)>) -> AggregatedHealth {
    let mut witnesses = HealthReports::new(64);
    for (key, zone, tries, failed) in words {
        witnesses.hear(
            SECOND,
            who(key),
            7,
            HealthReport {
                zone,
                tries,
                failed,
                level: 1.0,
            },
        );
    }
    witnesses.opinion(SECOND, 7)
}

#[test]
fn own_tries_close_it_and_others_alone_never_do() {
    let mut own = ServiceHealth::new(0, 0);
    (0..20).for_each(|_| own.ended(SECOND, false));
    assert_eq!(
        (own.mode(), own.admits(SECOND, false)),
        (HealthState::Unavailable, false)
    );
    let mut others = ServiceHealth::new(0, 0);
    others.told(
        SECOND,
        said((2..12).map(|key| (key, key as u32 % 3, 100, 100))),
    );
    assert_eq!(
        (others.mode(), others.level()),
        (HealthState::Degraded, CAREFUL)
    );
    assert_eq!(
        (0..100).filter(|_| others.admits(SECOND, false)).count(),
        25
    );
}

/// Calls that hang are few: three in a row, with nothing well for two seconds, are enough.
#[test]
fn calls_that_hang_close_it_though_they_are_few() {
    let mut hangs = ServiceHealth::new(0, 0);
    (0..9).for_each(|_| hangs.ended(10 * SECOND, false));
    assert_eq!(
        hangs.mode(),
        HealthState::Healthy,
        "nine at once may be one broken connection"
    );
    hangs.ended(11 * SECOND, true);
    (0..3).for_each(|n| hangs.ended((12 + n) * SECOND, false));
    assert_eq!(hangs.mode(), HealthState::Unavailable);
}

#[test]
fn one_sick_node_or_one_zone_is_told_from_a_sick_service() {
    let failed = |one: bool| if one { 100 } else { 0 };
    let mut liar = ServiceHealth::new(0, 0);
    liar.told(
        SECOND,
        said((2..12).map(|key| (key, key as u32 % 3, 100, failed(key == 5)))),
    );
    assert_eq!(liar.mode(), HealthState::Healthy);
    let mut zone = ServiceHealth::new(0, 0);
    zone.told(
        SECOND,
        said((2..12).map(|key| (key, key as u32 % 2, 100, failed(key % 2 == 1)))),
    );
    assert_eq!(
        zone.mode(),
        HealthState::Healthy,
        "a zone with a broken link of its own"
    );
    // What it sees itself goes first.
    let mut sees = ServiceHealth::new(0, 0);
    (0..50).for_each(|_| sees.ended(SECOND, true));
    sees.told(
        SECOND,
        said((2..12).map(|key| (key, key as u32 % 3, 100, 100))),
    );
    assert_eq!(sees.mode(), HealthState::Healthy);
}

#[test]
fn a_word_ages_out_and_a_flood_of_words_by_one_is_one_word() {
    let mut careful = ServiceHealth::new(0, 0);
    careful.told(
        SECOND,
        said((2..12).map(|key| (key, key as u32 % 3, 100, 100))),
    );
    assert_eq!(careful.mode(), HealthState::Degraded);
    assert!(careful.admits(SECOND + AGED, false));
    assert_eq!(careful.mode(), HealthState::Healthy);
    let flood = said(
        (0..1000)
            .map(|n| (5, n % 7, 100, 100))
            .chain([(6, 1, 100, 0)]),
    );
    assert_eq!((flood.witnesses, flood.ill, flood.is_ill()), (2, 1, false));
    // Many that are none: what finds no room is not kept.
    let mut witnesses = HealthReports::new(64);
    (0..1000).for_each(|key| witnesses.hear(0, who(key), 7, HealthReport::default()));
    assert_eq!((witnesses.words.len(), witnesses.refused()), (64, 936));
}

#[test]
fn few_try_a_service_that_is_down_and_they_take_turns() {
    let members: Vec<u64> = (0..300).map(mix).collect();
    let mut tried = BTreeSet::new();
    for round in 0..40 {
        let now = round * 10 * PROBE;
        let probers: Vec<u64> = members
            .iter()
            .copied()
            .filter(|me| is_prober(now, *me, 7, members.iter().copied()))
            .collect();
        assert_eq!(probers.len(), PROBES);
        tried.extend(probers);
    }
    assert!(tried.len() > 80, "{}", tried.len());
}

#[test]
fn a_deaf_node_goes_on_by_its_own_tries() {
    let mut deaf = ServiceHealth::new(0, 0);
    (0..20).for_each(|_| deaf.ended(SECOND, false));
    let now = 60 * SECOND;
    let tries = (0..200)
        .filter(|n| deaf.admits(now + n * SECOND / 10, false))
        .count();
    assert_eq!(tries, 4, "one in 5 s");
    (0..3).for_each(|n| deaf.ended(now + (200 + n) * SECOND / 10, true));
    assert_eq!(deaf.mode(), HealthState::Recovering);
    for n in 0..400 {
        let now = now + 21 * SECOND + n * SECOND / 10;
        if deaf.admits(now, false) {
            deaf.ended(now, true);
        }
    }
    assert_eq!(deaf.mode(), HealthState::Healthy);
}

/// What was let in for its part of the load makes its call, unless the service closed meanwhile.
#[test]
fn what_was_thinned_before_is_not_thinned_again() {
    let mut rising = ServiceHealth::new(0, 0);
    (0..20).for_each(|_| rising.ended(SECOND, false));
    assert!(!rising.admits(SECOND, true));
    (0..3).for_each(|_| rising.ended(2 * SECOND, true));
    assert_eq!(
        (0..16).filter(|_| rising.admits(2 * SECOND, true)).count(),
        16
    );
    assert_eq!(
        (0..16).filter(|_| rising.admits(2 * SECOND, false)).count(),
        1
    );
}

/// A service that dies past what it can do, is dead for a minute under full demand, and is cold
/// when it is back. Each node tells three others every half second, with losses; one hears nobody.
/// Gives how often it was thrown down, and how many calls it had while it was dead. Without steps,
/// who had one good try sends all at once.
fn play(nodes: usize, seed: u64, steps: bool) -> (u32, u64, bool) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (deaf, tick) = (nodes - 1, 10 * MILLISECOND);
    let mut judges: Vec<ServiceHealth> = (0..nodes)
        .map(|n| ServiceHealth::new(0, n as u32 % 3))
        .collect();
    let mut heard: Vec<HealthReports> = (0..nodes).map(|_| HealthReports::new(64)).collect();
    let (mut up, mut fell, mut tried_while_down) = (true, 0, 0);
    let (mut load, mut back_at) = (0.0f64, None);
    for step in 0..20_000u64 {
        let now = SECOND + step * tick;
        if step == 1000 {
            (up, load) = (false, 0.0);
        }
        if step == 7000 {
            (up, back_at) = (true, Some(now));
        }
        // It takes 1.2 times the usual load, and only a part of that while it is cold.
        let warm = back_at
            .map_or(1.0, |at| 0.15 + (now - at) as f64 / (20 * SECOND) as f64)
            .min(1.0);
        let mut calls = 0;
        for n in 0..nodes {
            if judges[n].admits(now, false) {
                calls += 1;
                tried_while_down += u64::from(!up);
                judges[n].ended(now, up);
                if !steps && up && judges[n].mode() == HealthState::Unavailable {
                    judges[n].enter(now, HealthState::Healthy);
                }
            }
            if step % 50 == n as u64 % 50 {
                let word = judges[n].evidence(now);
                for _ in 0..3 {
                    let m = rng.random_range(0..nodes);
                    if m != n && m != deaf && n != deaf && !rng.random_bool(0.1) {
                        heard[m].hear(now, who(n as u64 + 1), 7, word);
                    }
                }
                let mut opinion = heard[n].opinion(now, 7);
                let members = if n == deaf { n..nodes } else { 0..deaf };
                opinion.prober = is_prober(now, n as u64 + 1, 7, members.map(|m| m as u64 + 1));
                opinion.alone = n == deaf;
                judges[n].told(now, opinion);
            }
        }
        load = load * 0.98 + f64::from(calls) * 0.02;
        if up && load > 1.2 * nodes as f64 * warm {
            up = false;
            fell += 1;
        }
    }
    (
        fell,
        tried_while_down,
        judges
            .iter()
            .all(|judge| judge.mode() == HealthState::Healthy),
    )
}

/// In a minute, of a hundred calls a second and node that were wanted: ten of each until it closed,
/// then three nodes' tries.
#[test]
fn a_service_that_comes_back_is_not_thrown_down_again() {
    for (nodes, seeds) in [(12, 0..20), (120, 20..23)] {
        for seed in seeds {
            let (fell, tried, open) = play(nodes, seed, true);
            let most = nodes as u64 * 11 + 450;
            assert!(
                fell == 0 && tried < most && open,
                "{nodes}, seed {seed}: {fell} {tried} {open}"
            );
        }
    }
    assert!(play(12, 0, false).0 > 0, "without steps it is thrown down");
}

/// One that was idle, or not there, while the service was down: it comes back with the others, from
/// the least of them.
#[test]
fn who_saw_nothing_of_a_start_comes_back_with_the_others() {
    let word = |tries, level| HealthReport {
        zone: 0,
        tries,
        failed: 0,
        level,
    };
    let opinion = |levels: &[f64]| {
        let mut witnesses = HealthReports::new(64);
        let words = levels.iter().zip(2..);
        words.for_each(|(level, key)| witnesses.hear(10 * SECOND, who(key), 7, word(3, *level)));
        witnesses.opinion(10 * SECOND, 7)
    };
    let mut idle = ServiceHealth::new(0, 0);
    assert_eq!(
        (idle.share(SECOND), idle.share(AGED)),
        (FIRST, 1.0),
        "it knows of nobody at first"
    );
    idle.told(10 * SECOND, opinion(&[1.0, 0.25, 1.0]));
    assert_eq!(
        idle.mode(),
        HealthState::Healthy,
        "one alone may have a trouble of its own"
    );
    idle.told(10 * SECOND, opinion(&[0.5, 0.25, 1.0, 0.0]));
    assert_eq!(
        (idle.mode(), idle.share(10 * SECOND)),
        (HealthState::Recovering, 0.25)
    );
    // What sees for itself that it is well goes by that.
    let mut sees = ServiceHealth::new(0, 0);
    (0..20).for_each(|_| sees.ended(10 * SECOND, true));
    sees.told(10 * SECOND, opinion(&[0.5, 0.25, 1.0, 0.0]));
    assert_eq!(sees.mode(), HealthState::Healthy);
}
