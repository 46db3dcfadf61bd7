use super::cluster_counters::{DETAILED_WINDOWS, RETIRE_AFTER};
use super::*;
use crate::SECOND;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn process(key: u64, incarnation: u64) -> ProcessId {
    ProcessId { key, incarnation }
}

const UNIX: u64 = 1_800_000_000_000;

fn arrived(counts: &ClusterCounters) -> u64 {
    counts
        .total()
        .get(&7)
        .map_or(0, |row| row[operation_column::ARRIVED])
}

/// Delivers reports to several receivers in random order, partly split, partly repeated and partly
/// through another receiver. Guards against receivers whose totals differ from each other or from
/// the true totals.
#[test]
fn receivers_of_the_same_reports_compute_the_same_totals() {
    for seed in 0..60 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut reports = Vec::new();
        let mut true_total = 0;
        for key in 1..=5 {
            for life in 0..rng.random_range(1..3) {
                let mut counters = ProcessCounters::new(UNIX);
                let mut unix = UNIX;
                for _ in 0..rng.random_range(1..30) {
                    let times = rng.random_range(0..9);
                    unix += rng.random_range(0..3000);
                    counters.add(unix, 7, operation_column::ARRIVED, times);
                    counters.record_latency(unix, 7, rng.random_range(1..2000) * 1_000_000);
                    counters.record_key(unix, heavy_kind::CLIENTS, rng.random_range(0..40));
                    true_total += times;
                    if rng.random_bool(0.3) {
                        reports.push(counters.report(
                            process(key, life),
                            1,
                            rng.random_range(0..3),
                        ));
                    }
                }
                reports.push(counters.report(process(key, life), 1, WINDOWS));
            }
        }
        // Some reports arrive in two parts.
        for at in 0..reports.len() {
            if rng.random_bool(0.3) {
                let whole = reports[at].clone();
                reports[at] = CounterReport {
                    total: CounterRows::new(),
                    ..whole.clone()
                };
                reports.push(CounterReport {
                    windows: BTreeMap::new(),
                    ..whole
                });
            }
        }
        let mut receivers: Vec<ClusterCounters> =
            (0..3).map(|_| ClusterCounters::new(64)).collect();
        for counts in &mut receivers {
            reports.shuffle(&mut rng);
            let again = rng.random_range(0..=reports.len());
            reports
                .iter()
                .chain(&reports[..again])
                .for_each(|report| counts.merge(0, report));
        }
        // One more receiver gets reports only through the first one.
        let mut indirect = ClusterCounters::new(64);
        let all: Vec<ProcessId> = receivers[0]
            .processes()
            .map(|(process, _)| process)
            .collect();
        all.iter()
            .filter_map(|process| receivers[0].report(*process))
            .for_each(|report| indirect.merge(0, &report));
        receivers.push(indirect);
        let sums: Vec<(u64, CounterWindow)> = receivers
            .iter()
            .map(|c| (arrived(c), c.recent(UNIX + 200_000, 30, |_, _| true)))
            .collect();
        assert!(sums.windows(2).all(|two| two[0] == two[1]), "seed {seed}");
        assert_eq!(sums[0].0, true_total, "seed {seed}");
    }
}

#[test]
fn counts_of_a_restarted_node_add_to_those_before_the_restart() {
    let mut all = ClusterCounters::new(64);
    let mut first = ProcessCounters::new(UNIX);
    first.add(UNIX, 7, operation_column::ARRIVED, 100);
    all.merge(0, &first.report(process(1, 1), 0, 2));
    let mut second = ProcessCounters::new(UNIX);
    second.add(UNIX, 7, operation_column::ARRIVED, 5);
    all.merge(0, &second.report(process(1, 2), 0, 2));
    all.merge(0, &first.report(process(1, 1), 0, 2)); // arrives late
    assert_eq!(
        (
            arrived(&all),
            all.total()[&PROCESS_ROW][process_column::STARTS]
        ),
        (105, 2)
    );
}

/// 5000 processes start and leave, one every 120 s. Guards against memory that grows with them, a
/// total that loses counts, and a late report of a retired process that is counted again.
#[test]
fn memory_is_bounded_as_processes_come_and_go() {
    let mut all = ClusterCounters::new(50);
    let mut now = 0;
    let mut last = CounterReport::default();
    for life in 1..=5000u64 {
        let mut counters = ProcessCounters::new(UNIX + now / 1_000_000);
        counters.add(UNIX + now / 1_000_000, 7, operation_column::ARRIVED, 3);
        last = counters.report(process(life % 20 + 1, life), 0, 2);
        all.merge(now, &last);
        now += 120 * SECOND;
        all.retire(now, |_| false);
    }
    assert_eq!((arrived(&all), all.refused()), (15_000, 0));
    assert!(
        all.processes().count() <= 6 && all.retired() <= 200,
        "{}",
        all.retired()
    );
    now += RETIRE_AFTER;
    all.retire(now, |_| false);
    all.merge(now, &last);
    assert_eq!(arrived(&all), 15_000);
}

/// A process is idle or cut off for an hour and then reports again. Guards against counts that are
/// lost or added twice when the process is retired and taken out of the sum.
#[test]
fn a_process_that_reports_after_a_long_silence_is_counted_once() {
    let (mut all, mut one) = (ClusterCounters::new(9), ProcessCounters::new(UNIX));
    one.add(UNIX, 7, operation_column::ARRIVED, 100);
    all.merge(0, &one.report(process(1, 1), 0, 2));
    all.retire(3600 * SECOND, |_| true); // idle, still a member
    assert_eq!(all.processes().count(), 1);
    all.retire(3600 * SECOND, |_| false); // cut off, no longer a member
    assert_eq!((all.processes().count(), arrived(&all)), (0, 100));
    all.merge(3600 * SECOND, &one.report(process(1, 1), 0, 2));
    assert_eq!((all.processes().count(), arrived(&all)), (0, 100));
    one.add(UNIX, 7, operation_column::ARRIVED, 5);
    all.merge(3601 * SECOND, &one.report(process(1, 1), 0, 2));
    assert_eq!((all.processes().count(), arrived(&all)), (1, 105));
}

/// Guards against windows that are attributed to the current version of a process although an
/// earlier version ran in them.
#[test]
fn a_window_keeps_the_version_that_ran_in_it() {
    let (mut all, mut one) = (ClusterCounters::new(9), ProcessCounters::new(UNIX));
    for (window, version) in [(0, 1), (1, 1), (2, 2)] {
        one.add(UNIX + window * WINDOW_MS, 7, operation_column::ARRIVED, 1);
        all.merge(0, &one.report(process(1, 1), version, 2));
    }
    let ran: Vec<(u64, bool)> = all
        .windows(0)
        .map(|window| (window.version, window.is_first))
        .collect();
    assert_eq!(ran, [(1, true), (1, false), (2, false)]);
    assert_eq!(all.windows(UNIX / WINDOW_MS + 2).count(), 1);
}

#[test]
fn processes_and_rows_beyond_their_bounds_are_ignored() {
    let mut all = ClusterCounters::new(3);
    for life in 1..=5 {
        let mut counters = ProcessCounters::new(UNIX);
        counters.add(UNIX, 7, operation_column::ARRIVED, 1);
        all.merge(0, &counters.report(process(life, life), 0, 2));
    }
    assert_eq!((arrived(&all), all.refused()), (3, 2));
    let mut counters = ProcessCounters::new(UNIX);
    (0..100).for_each(|row| counters.add(UNIX, row, 0, 1));
    let mut wide = counters.report(process(1, 1), 0, 2);
    assert_eq!(wide.total.len(), MAX_ROWS);
    (0..100).for_each(|row| _ = wide.total.insert(1000 + row, CounterRow::default()));
    all.merge(0, &wide);
    assert_eq!(all.report(process(1, 1)).unwrap().total.len(), MAX_ROWS);
}

/// Old windows expire, only the latest windows keep latencies, and the counts of cohorts that run
/// different versions are separate over the same time.
#[test]
fn windows_expire_and_cohorts_are_counted_separately() {
    let mut all = ClusterCounters::new(9);
    for (key, version) in [(1, 10), (2, 20), (3, 20)] {
        let mut counters = ProcessCounters::new(UNIX);
        for window in 0..100 {
            let unix = UNIX + window * WINDOW_MS;
            counters.add(unix, 7, operation_column::ARRIVED, 2 * key);
            counters.record_latency(unix, 7, key * 10_000_000);
            counters.record_key(unix, heavy_kind::CLIENTS, key);
        }
        let report = counters.report(process(key, key), version, usize::MAX);
        assert_eq!(report.windows.len(), WINDOWS);
        all.merge(0, &report);
    }
    let at = UNIX + 100 * WINDOW_MS;
    let cohort = |version, windows| all.recent(at, windows, |_, ran| ran == version);
    assert_eq!(
        (
            cohort(10, 3).rows[&7][0],
            cohort(20, 3).rows[&7][0],
            cohort(20, 99).rows[&7][0]
        ),
        (6, 30, 80)
    );
    assert_eq!(
        latency_count(&cohort(20, 99).latency[&7]),
        2 * DETAILED_WINDOWS as u64
    );
    let mut latency = LatencyHistogram::default();
    latency.merge(&cohort(20, 2).latency[&7]);
    assert!(latency.quantile(0.4) < 22_000_000 && latency.quantile(0.9) > 28_000_000);
}
