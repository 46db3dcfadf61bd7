use super::aggregation::mix;
use super::*;
use crate::ProcessId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

fn process(key: u64) -> ProcessId {
    ProcessId {
        key,
        incarnation: key,
    }
}

/// The sum of these reports, each of a node in its zone, with calls and failures.
fn aggregated(reports_of: impl Iterator<Item = (u64, u32, u32, u32)>) -> AggregatedHealth {
    let mut reports = HealthReports::new(64);
    for (key, zone, calls, failed) in reports_of {
        reports.receive(
            SECOND,
            process(key),
            7,
            HealthReport {
                zone,
                calls,
                failed,
                admitted_share: 1.0,
            },
        );
    }
    reports.aggregate(SECOND, 7)
}

#[test]
fn own_calls_make_a_service_unavailable_and_others_alone_never_do() {
    let mut own = ServiceHealth::new(0, 0);
    (0..20).for_each(|_| own.call_ended(SECOND, false));
    assert_eq!(
        (own.state(), own.admits(SECOND, false)),
        (HealthState::Unavailable, false)
    );
    let mut others = ServiceHealth::new(0, 0);
    others.receive_reports(
        SECOND,
        aggregated((2..12).map(|key| (key, key as u32 % 3, 100, 100))),
    );
    assert_eq!(
        (others.state(), others.admitted_share()),
        (HealthState::Degraded, DEGRADED_SHARE)
    );
    assert_eq!(
        (0..100).filter(|_| others.admits(SECOND, false)).count(),
        25
    );
}

/// Calls that hang are few: three in a row, with nothing well for two seconds, are enough.
#[test]
fn few_calls_that_hang_make_a_service_unavailable() {
    let mut hangs = ServiceHealth::new(0, 0);
    (0..9).for_each(|_| hangs.call_ended(10 * SECOND, false));
    assert_eq!(
        hangs.state(),
        HealthState::Healthy,
        "nine at once may be one broken connection"
    );
    hangs.call_ended(11 * SECOND, true);
    (0..3).for_each(|n| hangs.call_ended((12 + n) * SECOND, false));
    assert_eq!(hangs.state(), HealthState::Unavailable);
}

#[test]
fn one_faulty_node_or_zone_is_told_from_a_failing_service() {
    let failed = |one: bool| if one { 100 } else { 0 };
    let mut liar = ServiceHealth::new(0, 0);
    liar.receive_reports(
        SECOND,
        aggregated((2..12).map(|key| (key, key as u32 % 3, 100, failed(key == 5)))),
    );
    assert_eq!(liar.state(), HealthState::Healthy);
    let mut zone = ServiceHealth::new(0, 0);
    zone.receive_reports(
        SECOND,
        aggregated((2..12).map(|key| (key, key as u32 % 2, 100, failed(key % 2 == 1)))),
    );
    assert_eq!(
        zone.state(),
        HealthState::Healthy,
        "a zone with a broken link of its own"
    );
    // What it sees itself goes first.
    let mut sees = ServiceHealth::new(0, 0);
    (0..50).for_each(|_| sees.call_ended(SECOND, true));
    sees.receive_reports(
        SECOND,
        aggregated((2..12).map(|key| (key, key as u32 % 3, 100, 100))),
    );
    assert_eq!(sees.state(), HealthState::Healthy);
}

#[test]
fn reports_expire_and_a_flood_of_reports_by_one_node_is_one_report() {
    let mut careful = ServiceHealth::new(0, 0);
    careful.receive_reports(
        SECOND,
        aggregated((2..12).map(|key| (key, key as u32 % 3, 100, 100))),
    );
    assert_eq!(careful.state(), HealthState::Degraded);
    assert!(careful.admits(SECOND + REPORT_MAX_AGE, false));
    assert_eq!(careful.state(), HealthState::Healthy);
    let flood = aggregated(
        (0..1000)
            .map(|n| (5, n % 7, 100, 100))
            .chain([(6, 1, 100, 0)]),
    );
    assert_eq!(
        (flood.reporters, flood.failing, flood.is_failing()),
        (2, 1, false)
    );
    // Reports of too many nodes are refused.
    let mut reports = HealthReports::new(64);
    (0..1000).for_each(|key| reports.receive(0, process(key), 7, HealthReport::default()));
    assert_eq!((reports.reports.len(), reports.refused()), (64, 936));
}

#[test]
fn few_nodes_probe_an_unavailable_service_and_they_take_turns() {
    let members: Vec<u64> = (0..300).map(mix).collect();
    let mut probes = BTreeSet::new();
    for round in 0..40 {
        let now = round * 10 * PROBE_INTERVAL;
        let probers: Vec<u64> = members
            .iter()
            .copied()
            .filter(|me| is_prober(now, *me, 7, members.iter().copied()))
            .collect();
        assert_eq!(probers.len(), PROBERS);
        probes.extend(probers);
    }
    assert!(probes.len() > 80, "{}", probes.len());
}

#[test]
fn a_node_that_is_cut_off_goes_by_its_own_probes() {
    let mut deaf = ServiceHealth::new(0, 0);
    (0..20).for_each(|_| deaf.call_ended(SECOND, false));
    let now = 60 * SECOND;
    let tries = (0..200)
        .filter(|n| deaf.admits(now + n * SECOND / 10, false))
        .count();
    assert_eq!(tries, 4, "one in 5 s");
    (0..3).for_each(|n| deaf.call_ended(now + (200 + n) * SECOND / 10, true));
    assert_eq!(deaf.state(), HealthState::Recovering);
    for n in 0..400 {
        let now = now + 21 * SECOND + n * SECOND / 10;
        if deaf.admits(now, false) {
            deaf.call_ended(now, true);
        }
    }
    assert_eq!(deaf.state(), HealthState::Healthy);
}

/// A request that was admitted as a part of the load makes its call, unless the service became
/// unavailable meanwhile.
#[test]
fn a_request_that_was_thinned_out_is_not_thinned_out_again() {
    let mut rising = ServiceHealth::new(0, 0);
    (0..20).for_each(|_| rising.call_ended(SECOND, false));
    assert!(!rising.admits(SECOND, true));
    (0..3).for_each(|_| rising.call_ended(2 * SECOND, true));
    assert_eq!(
        (0..16).filter(|_| rising.admits(2 * SECOND, true)).count(),
        16
    );
    assert_eq!(
        (0..16).filter(|_| rising.admits(2 * SECOND, false)).count(),
        1
    );
}

/// A service that fails beyond its capacity, is down for a minute under full demand, and is cold
/// when it is back. Each node reports to three others every half second, with losses; one is cut
/// off. Returns how often the service failed again, how many probes it had while it was down, and
/// whether it is healthy everywhere at the end. Without steps, a node with one good probe sends
/// everything at once.
fn simulate(nodes: usize, seed: u64, steps: bool) -> (u32, u64, bool) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (deaf, tick) = (nodes - 1, 10 * MILLISECOND);
    let mut services: Vec<ServiceHealth> = (0..nodes)
        .map(|n| ServiceHealth::new(0, n as u32 % 3))
        .collect();
    let mut received: Vec<HealthReports> = (0..nodes).map(|_| HealthReports::new(64)).collect();
    let (mut up, mut fell, mut probes_while_down) = (true, 0, 0);
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
            if services[n].admits(now, false) {
                calls += 1;
                probes_while_down += u64::from(!up);
                services[n].call_ended(now, up);
                if !steps && up && services[n].state() == HealthState::Unavailable {
                    services[n].enter(now, HealthState::Healthy);
                }
            }
            if step % 50 == n as u64 % 50 {
                let report = services[n].report(now);
                for _ in 0..3 {
                    let m = rng.random_range(0..nodes);
                    if m != n && m != deaf && n != deaf && !rng.random_bool(0.1) {
                        received[m].receive(now, process(n as u64 + 1), 7, report);
                    }
                }
                let mut aggregated = received[n].aggregate(now, 7);
                let members = if n == deaf { n..nodes } else { 0..deaf };
                aggregated.is_prober =
                    is_prober(now, n as u64 + 1, 7, members.map(|m| m as u64 + 1));
                aggregated.is_alone = n == deaf;
                services[n].receive_reports(now, aggregated);
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
        probes_while_down,
        services
            .iter()
            .all(|service| service.state() == HealthState::Healthy),
    )
}

/// In a minute, of a hundred calls a second and node that were wanted: ten of each node until the
/// service was unavailable to it, then three nodes' probes.
#[test]
fn a_service_that_recovers_does_not_fail_again() {
    for (nodes, seeds) in [(12, 0..20), (120, 20..23)] {
        for seed in seeds {
            let (fell, probes, is_healthy) = simulate(nodes, seed, true);
            let most = nodes as u64 * 11 + 450;
            assert!(
                fell == 0 && probes < most && is_healthy,
                "{nodes}, seed {seed}: {fell} {probes} {is_healthy}"
            );
        }
    }
    assert!(
        simulate(12, 0, false).0 > 0,
        "without steps it is thrown down"
    );
}

/// A node that was idle, or not there, while the service was down: it recovers with the others,
/// from the least share of them.
#[test]
fn a_node_that_saw_nothing_of_a_start_recovers_with_the_others() {
    let report = |calls, admitted_share| HealthReport {
        zone: 0,
        calls,
        failed: 0,
        admitted_share,
    };
    let aggregated = |levels: &[f64]| {
        let mut reports = HealthReports::new(64);
        let reports_of = levels.iter().zip(2..);
        reports_of.for_each(|(level, key)| {
            reports.receive(10 * SECOND, process(key), 7, report(3, *level))
        });
        reports.aggregate(10 * SECOND, 7)
    };
    let mut idle = ServiceHealth::new(0, 0);
    assert_eq!(
        (idle.budget_share(SECOND), idle.budget_share(REPORT_MAX_AGE)),
        (RAMP_FIRST_SHARE, 1.0),
        "it knows of nobody at first"
    );
    idle.receive_reports(10 * SECOND, aggregated(&[1.0, 0.25, 1.0]));
    assert_eq!(
        idle.state(),
        HealthState::Healthy,
        "one alone may have a trouble of its own"
    );
    idle.receive_reports(10 * SECOND, aggregated(&[0.5, 0.25, 1.0, 0.0]));
    assert_eq!(
        (idle.state(), idle.budget_share(10 * SECOND)),
        (HealthState::Recovering, 0.25)
    );
    // A node that sees for itself that the service is healthy goes by that.
    let mut sees = ServiceHealth::new(0, 0);
    (0..20).for_each(|_| sees.call_ended(10 * SECOND, true));
    sees.receive_reports(10 * SECOND, aggregated(&[0.5, 0.25, 1.0, 0.0]));
    assert_eq!(sees.state(), HealthState::Healthy);
}
