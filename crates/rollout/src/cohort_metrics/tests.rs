use super::baseline::SLOW_MARGIN;
use super::*;

fn sample(node: u64, version_hash: u64, arrived: u64, latencies: &[(u32, u32)]) -> WindowSample {
    let cell = OperationCounts {
        arrived,
        succeeded: arrived,
        ..OperationCounts::default()
    };
    WindowSample {
        node,
        version_hash,
        operations: BTreeMap::from([(7, (cell, latencies.to_vec()))]),
        memory_kb: 1000 + 10 * node,
        ..WindowSample::default()
    }
}

fn metrics() -> CohortMetrics {
    let version = |number| Version {
        number,
        hash: number,
    };
    CohortMetrics::new(RolloutId(1), version(2), version(1))
}

#[test]
fn nodes_are_assigned_to_cohorts_by_version_and_the_window_of_the_change_counts_for_neither() {
    let mut metrics = metrics();
    let windows: Vec<(u64, Vec<WindowSample>)> = (0..8)
        .map(|window| {
            (
                window,
                [1, 2]
                    .map(|node| sample(node, 1, 100, &[(10, 90), (50, 10)]))
                    .to_vec(),
            )
        })
        .collect();
    metrics.begin(&windows);
    assert_eq!(metrics.slow_from[&7], 10 + SLOW_MARGIN);
    metrics.start_stage(1);
    for window in 8..14 {
        let version_hash = if window < 10 { 1 } else { 2 };
        metrics.record_window(
            window,
            &[
                sample(1, version_hash, 10, &[(10, 5), (60, 5)]),
                sample(2, 1, 10, &[(10, 10)]),
            ],
        );
    }
    let (canary, baseline) = (&metrics.nodes[&1], &metrics.nodes[&2]);
    assert_eq!(
        (canary.cohort, baseline.cohort),
        (Some(Cohort::Canary), Some(Cohort::Baseline))
    );
    assert_eq!(
        (canary.after[&7].arrived, baseline.after[&7].arrived),
        (30, 60),
        "the canary counts in windows 11 to 13, the baseline in all"
    );
    let slow = |node: &NodeHistory| {
        (
            node.after[&7].of(Metric::Slow).bad,
            node.after[&7].of(Metric::Slow).all,
        )
    };
    assert_eq!((slow(canary), slow(baseline).0), ((15, 30), 0));
    let history = canary.before[&7].of(Metric::Slow);
    assert_eq!(
        (history.bad, history.all, history.expected),
        (80, 800, 80.0)
    );
    assert_eq!(
        (canary.before[&7].arrived, metrics.arrived(Cohort::Canary)),
        (800, 30)
    );
    metrics.start_stage(2);
    assert_eq!(
        (
            metrics.arrived(Cohort::Canary),
            metrics.nodes[&1].before[&7].arrived
        ),
        (0, 800)
    );
    assert_eq!(metrics.history.len(), 6);
}

/// The error rate of all nodes rises in some windows, and one canary node errs more than the
/// others. The expected errors of the canary node follow the baseline nodes of the same zone and
/// window.
#[test]
fn expected_errors_follow_the_baseline_nodes_of_the_same_window_and_zone() {
    let mut metrics = metrics();
    metrics.begin(&[]);
    metrics.start_stage(1);
    let erring_sample = |node, version_hash, zone, errored| {
        let mut sample = sample(node, version_hash, 100, &[]);
        sample.zone = zone;
        sample
            .operations
            .values_mut()
            .for_each(|(cell, _)| cell.errored = errored);
        sample
    };
    for window in 0..4 {
        let common_errors = [0, 50, 0, 2][window as usize];
        let samples = [
            erring_sample(1, 2, 0, common_errors + 4),
            erring_sample(2, 1, 0, common_errors),
            erring_sample(3, 1, 0, common_errors),
            erring_sample(4, 1, 1, 90),
        ];
        metrics.record_window(window, &samples);
    }
    let errored = metrics.nodes[&1].after[&7].of(Metric::Errored);
    assert_eq!(
        (errored.bad, errored.all, errored.expected),
        (50 + 2 + 12, 300, 52.0)
    );
}

#[test]
fn nodes_that_warm_up_or_run_other_versions_are_not_counted() {
    let mut metrics = metrics();
    metrics.begin(&[]);
    metrics.start_stage(1);
    for window in 0..5 {
        let warming_up = WindowSample {
            just_started: true,
            ..sample(1, 2, 10, &[])
        };
        metrics.record_window(
            window,
            &[warming_up, sample(2, 99, 10, &[]), sample(3, 1, 10, &[])],
        );
    }
    assert_eq!(
        (
            metrics.arrived(Cohort::Canary),
            metrics.arrived(Cohort::Baseline)
        ),
        (0, 50)
    );
    assert!(!metrics.nodes.contains_key(&2));
}

#[test]
fn trend_has_its_slope_and_the_number_of_nodes_is_bounded() {
    let mut line = LinearTrend::default();
    (0..10).for_each(|x| line.add(f64::from(x), 100.0 + 3.0 * f64::from(x)));
    let (slope, variance) = line.slope(0.0).unwrap();
    assert!((slope - 3.0).abs() < 1e-9 && variance < 1e-9 && (line.mean() - 113.5).abs() < 1e-9);
    assert!(line.slope(0.01).unwrap().1 > variance && line.last == 127.0);
    let mut metrics = metrics();
    let samples: Vec<WindowSample> = (0..2000).map(|node| sample(node, 1, 1, &[])).collect();
    metrics.begin(&[(0, samples.clone())]);
    metrics.record_window(1, &samples);
    assert_eq!(metrics.nodes.len(), 2 * MAX_NODES_EACH_END);
    let first = (0..2000)
        .min_by_key(|node| node_position(RolloutId(1), *node))
        .unwrap();
    assert!(
        metrics.nodes.contains_key(&first),
        "the first node of the rollout's order has metrics"
    );
}

/// A version is rolled back at a node in the middle of a window. The counts of that window belong
/// neither to the node's history nor to the baseline cohort.
#[test]
fn the_window_in_which_a_node_returns_to_the_base_is_not_counted() {
    let mut metrics = metrics();
    let window = |number, version_hash, arrived| {
        (
            number,
            vec![
                sample(1, version_hash, arrived, &[]),
                sample(2, 1, 100, &[]),
            ],
        )
    };
    metrics.begin(&[
        window(0, 1, 100),
        window(1, 99, 100),
        window(2, 1, 7),
        window(3, 1, 100),
    ]);
    assert_eq!(
        (
            metrics.nodes[&1].before[&7].arrived,
            metrics.nodes[&2].before[&7].arrived
        ),
        (200, 400)
    );
    metrics.start_stage(1);
    for (number, version_hash, arrived) in
        [(4, 1, 10), (5, 2, 10), (6, 2, 10), (7, 1, 7), (8, 1, 10)]
    {
        metrics.record_window(number, &[sample(1, version_hash, arrived, &[])]);
    }
    assert_eq!(
        (
            metrics.nodes[&1].cohort,
            metrics.nodes[&1].after[&7].arrived
        ),
        (Some(Cohort::Baseline), 10)
    );
    assert_eq!(
        (metrics.arrived(Cohort::Canary), metrics.history[3].nodes),
        (0, [0, 0])
    );
    // A node that ran another version until the rollout began returns to the base in the first
    // window.
    let mut returning = super::CohortMetrics::new(metrics.rollout, metrics.version, metrics.base);
    returning.begin(&[window(0, 99, 100)]);
    returning.start_stage(1);
    returning.record_window(1, &[sample(1, 1, 7, &[]), sample(2, 1, 100, &[])]);
    assert_eq!(
        (
            returning.nodes.contains_key(&1),
            returning.arrived(Cohort::Baseline)
        ),
        (false, 100)
    );
}
