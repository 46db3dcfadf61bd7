use super::baseline::SLOWER;
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

fn record() -> CohortMetrics {
    let version = |number| Version {
        number,
        hash: number,
    };
    CohortMetrics::new(RolloutId(1), version(2), version(1))
}

#[test]
fn sides_are_told_apart_by_what_they_run_and_a_window_of_change_counts_for_neither() {
    let mut record = record();
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
    record.begin(&windows);
    assert_eq!(record.slow_from[&7], 10 + SLOWER);
    record.start_stage(1);
    for window in 8..14 {
        let label = if window < 10 { 1 } else { 2 };
        record.record_window(
            window,
            &[
                sample(1, label, 10, &[(10, 5), (60, 5)]),
                sample(2, 1, 10, &[(10, 10)]),
            ],
        );
    }
    let (new, old) = (&record.nodes[&1], &record.nodes[&2]);
    assert_eq!(
        (new.cohort, old.cohort),
        (Some(Cohort::Canary), Some(Cohort::Baseline))
    );
    assert_eq!(
        (new.after[&7].arrived, old.after[&7].arrived),
        (30, 60),
        "windows 11 to 13, and all"
    );
    let slow = |node: &NodeHistory| {
        (
            node.after[&7].of(Metric::Slow).bad,
            node.after[&7].of(Metric::Slow).all,
        )
    };
    assert_eq!((slow(new), slow(old).0), ((15, 30), 0));
    let past = new.before[&7].of(Metric::Slow);
    assert_eq!((past.bad, past.all, past.expected), (80, 800, 80.0));
    assert_eq!(
        (new.before[&7].arrived, record.arrived(Cohort::Canary)),
        (800, 30)
    );
    record.start_stage(2);
    assert_eq!(
        (
            record.arrived(Cohort::Canary),
            record.nodes[&1].before[&7].arrived
        ),
        (0, 800)
    );
    assert_eq!(record.history.len(), 6);
}

/// All err more in some windows, and one more than the others: it is held against the others of the
/// same windows.
#[test]
fn what_is_expected_follows_the_old_ones_of_the_same_window_and_zone() {
    let mut record = record();
    record.begin(&[]);
    record.start_stage(1);
    let errs = |node, label, zone, errored| {
        let mut sample = sample(node, label, 100, &[]);
        sample.zone = zone;
        sample
            .operations
            .values_mut()
            .for_each(|(cell, _)| cell.errored = errored);
        sample
    };
    for window in 0..4 {
        let here = [0, 50, 0, 2][window as usize];
        let samples = [
            errs(1, 2, 0, here + 4),
            errs(2, 1, 0, here),
            errs(3, 1, 0, here),
            errs(4, 1, 1, 90),
        ];
        record.record_window(window, &samples);
    }
    let part = record.nodes[&1].after[&7].of(Metric::Errored);
    assert_eq!(
        (part.bad, part.all, part.expected),
        (50 + 2 + 12, 300, 52.0)
    );
}

#[test]
fn cold_nodes_and_other_versions_say_nothing() {
    let mut record = record();
    record.begin(&[]);
    record.start_stage(1);
    for window in 0..5 {
        let cold = WindowSample {
            just_started: true,
            ..sample(1, 2, 10, &[])
        };
        record.record_window(
            window,
            &[cold, sample(2, 99, 10, &[]), sample(3, 1, 10, &[])],
        );
    }
    assert_eq!(
        (
            record.arrived(Cohort::Canary),
            record.arrived(Cohort::Baseline)
        ),
        (0, 50)
    );
    assert!(!record.nodes.contains_key(&2));
}

#[test]
fn a_line_has_its_slope_and_nodes_are_bounded() {
    let mut line = LinearTrend::default();
    (0..10).for_each(|x| line.add(f64::from(x), 100.0 + 3.0 * f64::from(x)));
    let (slope, variance) = line.slope(0.0).unwrap();
    assert!((slope - 3.0).abs() < 1e-9 && variance < 1e-9 && (line.mean() - 113.5).abs() < 1e-9);
    assert!(line.slope(0.01).unwrap().1 > variance && line.last == 127.0);
    let mut record = record();
    let samples: Vec<WindowSample> = (0..2000).map(|node| sample(node, 1, 1, &[])).collect();
    record.begin(&[(0, samples.clone())]);
    record.record_window(1, &samples);
    assert_eq!(record.nodes.len(), 2 * MAX_NODES_EACH_END);
    let first = (0..2000)
        .min_by_key(|node| node_position(RolloutId(1), *node))
        .unwrap();
    assert!(
        record.nodes.contains_key(&first),
        "the one that runs it first is followed"
    );
}

/// A version was taken back from a node in the middle of a window: what it did until then is no
/// past of the base, nor of the old side.
#[test]
fn the_window_in_which_a_node_came_back_to_the_base_counts_for_nothing() {
    let mut record = record();
    let window = |no, label, arrived| {
        (
            no,
            vec![sample(1, label, arrived, &[]), sample(2, 1, 100, &[])],
        )
    };
    record.begin(&[
        window(0, 1, 100),
        window(1, 99, 100),
        window(2, 1, 7),
        window(3, 1, 100),
    ]);
    assert_eq!(
        (
            record.nodes[&1].before[&7].arrived,
            record.nodes[&2].before[&7].arrived
        ),
        (200, 400)
    );
    record.start_stage(1);
    for (no, label, arrived) in [(4, 1, 10), (5, 2, 10), (6, 2, 10), (7, 1, 7), (8, 1, 10)] {
        record.record_window(no, &[sample(1, label, arrived, &[])]);
    }
    assert_eq!(
        (record.nodes[&1].cohort, record.nodes[&1].after[&7].arrived),
        (Some(Cohort::Baseline), 10)
    );
    assert_eq!(
        (record.arrived(Cohort::Canary), record.history[3].nodes),
        (0, [0, 0])
    );
    // One of another version until the rollout began comes back in its first window.
    let mut late = super::CohortMetrics::new(record.rollout, record.version, record.base);
    late.begin(&[window(0, 99, 100)]);
    late.start_stage(1);
    late.record_window(1, &[sample(1, 1, 7, &[]), sample(2, 1, 100, &[])]);
    assert_eq!(
        (late.nodes.contains_key(&1), late.arrived(Cohort::Baseline)),
        (false, 100)
    );
}
