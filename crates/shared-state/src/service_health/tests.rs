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

/// Aggregates reports, each given as the key of a node, its zone, its calls and its failed calls.
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

/// Calls that hang are few. Guards against a service that stays healthy because too few calls end
/// to fill a window: three consecutive failures without a success for 2 s are enough.
#[test]
fn few_calls_that_hang_make_a_service_unavailable() {
    let mut health = ServiceHealth::new(0, 0);
    (0..9).for_each(|_| health.call_ended(10 * SECOND, false));
    assert_eq!(
        health.state(),
        HealthState::Healthy,
        "nine failures at once may be caused by one broken connection"
    );
    health.call_ended(11 * SECOND, true);
    (0..3).for_each(|n| health.call_ended((12 + n) * SECOND, false));
    assert_eq!(health.state(), HealthState::Unavailable);
}

#[test]
fn a_faulty_node_or_zone_does_not_make_a_service_degraded() {
    let failed = |is_faulty: bool| if is_faulty { 100 } else { 0 };
    let mut one_failing = ServiceHealth::new(0, 0);
    one_failing.receive_reports(
        SECOND,
        aggregated((2..12).map(|key| (key, key as u32 % 3, 100, failed(key == 5)))),
    );
    assert_eq!(one_failing.state(), HealthState::Healthy);
    let mut one_zone = ServiceHealth::new(0, 0);
    one_zone.receive_reports(
        SECOND,
        aggregated((2..12).map(|key| (key, key as u32 % 2, 100, failed(key % 2 == 1)))),
    );
    assert_eq!(
        one_zone.state(),
        HealthState::Healthy,
        "one zone may have a broken link"
    );
    // Own successful calls take precedence over the reports of others.
    let mut own_calls = ServiceHealth::new(0, 0);
    (0..50).for_each(|_| own_calls.call_ended(SECOND, true));
    own_calls.receive_reports(
        SECOND,
        aggregated((2..12).map(|key| (key, key as u32 % 3, 100, 100))),
    );
    assert_eq!(own_calls.state(), HealthState::Healthy);
}

#[test]
fn reports_expire_and_each_node_counts_once() {
    let mut degraded = ServiceHealth::new(0, 0);
    degraded.receive_reports(
        SECOND,
        aggregated((2..12).map(|key| (key, key as u32 % 3, 100, 100))),
    );
    assert_eq!(degraded.state(), HealthState::Degraded);
    assert!(degraded.admits(SECOND + REPORT_MAX_AGE, false));
    assert_eq!(degraded.state(), HealthState::Healthy);
    let flood = aggregated(
        (0..1000)
            .map(|n| (5, n % 7, 100, 100))
            .chain([(6, 1, 100, 0)]),
    );
    assert_eq!(
        (flood.reporters, flood.failing, flood.is_failing()),
        (2, 1, false)
    );
    // Reports beyond the maximum number are refused.
    let mut reports = HealthReports::new(64);
    (0..1000).for_each(|key| reports.receive(0, process(key), 7, HealthReport::default()));
    assert_eq!((reports.reports.len(), reports.refused()), (64, 936));
}

#[test]
fn three_nodes_at_a_time_probe_an_unavailable_service_in_turns() {
    let members: Vec<u64> = (0..300).map(mix).collect();
    let mut all_probers = BTreeSet::new();
    for round in 0..40 {
        let now = round * 10 * PROBE_INTERVAL;
        let probers: Vec<u64> = members
            .iter()
            .copied()
            .filter(|me| is_prober(now, *me, 7, members.iter().copied()))
            .collect();
        assert_eq!(probers.len(), PROBERS);
        all_probers.extend(probers);
    }
    assert!(all_probers.len() > 80, "{}", all_probers.len());
}

#[test]
fn a_node_that_is_cut_off_recovers_by_its_own_probes() {
    let mut cut_off = ServiceHealth::new(0, 0);
    (0..20).for_each(|_| cut_off.call_ended(SECOND, false));
    let now = 60 * SECOND;
    let probes = (0..200)
        .filter(|n| cut_off.admits(now + n * SECOND / 10, false))
        .count();
    assert_eq!(probes, 4, "one probe per 5 s");
    (0..3).for_each(|n| cut_off.call_ended(now + (200 + n) * SECOND / 10, true));
    assert_eq!(cut_off.state(), HealthState::Recovering);
    for n in 0..400 {
        let now = now + 21 * SECOND + n * SECOND / 10;
        if cut_off.admits(now, false) {
            cut_off.call_ended(now, true);
        }
    }
    assert_eq!(cut_off.state(), HealthState::Healthy);
}

/// Guards against applying the admitted share twice, to a request at the backend gate and again to
/// its call. The call is withheld only if the service became unavailable in the meantime.
#[test]
fn calls_of_gated_requests_are_not_reduced_again() {
    let mut recovering = ServiceHealth::new(0, 0);
    (0..20).for_each(|_| recovering.call_ended(SECOND, false));
    assert!(!recovering.admits(SECOND, true));
    (0..3).for_each(|_| recovering.call_ended(2 * SECOND, true));
    assert_eq!(
        (0..16)
            .filter(|_| recovering.admits(2 * SECOND, true))
            .count(),
        16
    );
    assert_eq!(
        (0..16)
            .filter(|_| recovering.admits(2 * SECOND, false))
            .count(),
        1
    );
}

/// Simulates a service that fails beyond its capacity, is down for a minute under full demand, and
/// has a reduced capacity for a while after it is up again. Each node reports to three others every
/// half second, with losses; one node is cut off. Returns how often the service failed again, how
/// many calls it received while it was down, and whether it is healthy at all nodes at the end.
/// Without `steps`, a node sends its full load as soon as one probe succeeds.
fn simulate(nodes: usize, seed: u64, steps: bool) -> (u32, u64, bool) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (cut_off, tick) = (nodes - 1, 10 * MILLISECOND);
    let mut services: Vec<ServiceHealth> = (0..nodes)
        .map(|n| ServiceHealth::new(0, n as u32 % 3))
        .collect();
    let mut received: Vec<HealthReports> = (0..nodes).map(|_| HealthReports::new(64)).collect();
    let (mut up, mut failures, mut probes_while_down) = (true, 0, 0);
    let (mut load, mut back_at) = (0.0f64, None);
    for step in 0..20_000u64 {
        let now = SECOND + step * tick;
        if step == 1000 {
            (up, load) = (false, 0.0);
        }
        if step == 7000 {
            (up, back_at) = (true, Some(now));
        }
        // The capacity is 1.2 times the usual load, and only a part of that while it is cold.
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
                    if m != n && m != cut_off && n != cut_off && !rng.random_bool(0.1) {
                        received[m].receive(now, process(n as u64 + 1), 7, report);
                    }
                }
                let mut aggregated = received[n].aggregate(now, 7);
                let members = if n == cut_off { n..nodes } else { 0..cut_off };
                aggregated.is_prober =
                    is_prober(now, n as u64 + 1, 7, members.map(|m| m as u64 + 1));
                aggregated.is_alone = n == cut_off;
                services[n].receive_reports(now, aggregated);
            }
        }
        load = load * 0.98 + f64::from(calls) * 0.02;
        if up && load > 1.2 * nodes as f64 * warm {
            up = false;
            failures += 1;
        }
    }
    (
        failures,
        probes_while_down,
        services
            .iter()
            .all(|service| service.state() == HealthState::Healthy),
    )
}

/// Guards against a recovering service that is overloaded again, and against too many calls in the
/// minute in which it is down. Of 100 attempted calls per second and node, each node makes ten
/// until the service is unavailable to it, and then three nodes probe.
#[test]
fn a_service_that_recovers_does_not_fail_again() {
    for (nodes, seeds) in [(12, 0..20), (120, 20..23)] {
        for seed in seeds {
            let (failures, probes, is_healthy) = simulate(nodes, seed, true);
            let max_probes = nodes as u64 * 11 + 450;
            assert!(
                failures == 0 && probes < max_probes && is_healthy,
                "{nodes}, seed {seed}: {failures} {probes} {is_healthy}"
            );
        }
    }
    assert!(
        simulate(12, 0, false).0 > 0,
        "without steps the service fails again"
    );
}

/// Guards against a node that sends its full load to a recovering service because it was idle or
/// down while the service failed. The node joins the recovery at the smallest share of the others.
#[test]
fn a_node_that_was_idle_during_a_failure_recovers_with_the_others() {
    let report = |calls, admitted_share| HealthReport {
        zone: 0,
        calls,
        failed: 0,
        admitted_share,
    };
    let aggregated = |shares: &[f64]| {
        let mut reports = HealthReports::new(64);
        let reports_of = shares.iter().zip(2..);
        reports_of.for_each(|(share, key)| {
            reports.receive(10 * SECOND, process(key), 7, report(3, *share))
        });
        reports.aggregate(10 * SECOND, 7)
    };
    let mut idle = ServiceHealth::new(0, 0);
    assert_eq!(
        (idle.budget_share(SECOND), idle.budget_share(REPORT_MAX_AGE)),
        (RAMP_FIRST_SHARE, 1.0),
        "a new process has no reports at first"
    );
    idle.receive_reports(10 * SECOND, aggregated(&[1.0, 0.25, 1.0]));
    assert_eq!(
        idle.state(),
        HealthState::Healthy,
        "one recovering node may have a problem of its own"
    );
    idle.receive_reports(10 * SECOND, aggregated(&[0.5, 0.25, 1.0, 0.0]));
    assert_eq!(
        (idle.state(), idle.budget_share(10 * SECOND)),
        (HealthState::Recovering, 0.25)
    );
    // Own successful calls take precedence over the recovery of the others.
    let mut own_calls = ServiceHealth::new(0, 0);
    (0..20).for_each(|_| own_calls.call_ended(10 * SECOND, true));
    own_calls.receive_reports(10 * SECOND, aggregated(&[0.5, 0.25, 1.0, 0.0]));
    assert_eq!(own_calls.state(), HealthState::Healthy);
}
