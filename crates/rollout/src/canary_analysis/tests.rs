use super::*;
use crate::cohort_metrics::{OperationCounts, WindowSample};
use crate::identifiers::{RolloutId, Version};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

fn record() -> CohortMetrics {
    let version = |number| Version {
        number,
        hash: number,
    };
    CohortMetrics::new(RolloutId(1), version(2), version(1))
}

struct SimulatedCluster {
    rng: Pcg64Mcg,
    /// Share of requests that fail at each node, apart from the failures that the new version
    /// causes.
    error_shares: Vec<f64>,
    /// Number of nodes, counted from the first node, that run the new version.
    new: usize,
}

impl SimulatedCluster {
    fn samples(
        &mut self,
        before: bool,
        harm: f64,
        each: u64,
        memory: f64,
        at: u64,
    ) -> Vec<WindowSample> {
        (0..self.error_shares.len())
            .map(|n| {
                let is_new = n < self.new && !before;
                let share = self.error_shares[n] + if is_new { harm } else { 0.0 };
                let errored = (0..each)
                    .filter(|_| self.rng.random_bool(share.clamp(0.0, 1.0)))
                    .count() as u64;
                let cell = OperationCounts {
                    arrived: each,
                    succeeded: each - errored,
                    errored,
                    earned: (each - errored) * 1000,
                    asked: each * 1000,
                    ..OperationCounts::default()
                };
                let memory = 10_000.0 + if is_new { memory * at as f64 } else { 0.0 };
                WindowSample {
                    node: n as u64,
                    zone: n as u32 % 3,
                    version_hash: if is_new { 2 } else { 1 },
                    operations: BTreeMap::from([(7, (cell, Vec::new()))]),
                    memory_kb: memory as u64 + self.rng.random_range(0..200),
                    descriptors: 40,
                    ..WindowSample::default()
                }
            })
            .collect()
    }
}

fn run_rollout(seed: u64, new: usize, harm: f64, slow_new: f64, memory: f64) -> AnalysisResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut error_shares: Vec<f64> = (0..30).map(|_| rng.random_range(0.005..0.02)).collect();
    error_shares[0] += slow_new;
    let mut cluster = SimulatedCluster {
        rng,
        error_shares,
        new,
    };
    let (mut record, mut windows) = (record(), Vec::new());
    for window in 0..8 {
        windows.push((window, cluster.samples(true, 0.0, 100, 0.0, window)));
    }
    record.begin(&windows);
    record.start_stage(1);
    let mut last = None;
    for window in 8..30 {
        record.record_window(window, &cluster.samples(false, harm, 100, memory, window));
        let analysed = analyse(
            &record,
            &Plan::default(),
            1,
            &CrashCounts::default(),
            AnalysisMethod::Nodes,
        );
        let stops = matches!(analysed.verdict, Verdict::Harm(_));
        last = Some(analysed);
        if stops {
            break;
        }
    }
    last.unwrap()
}

#[test]
fn harmful_rollout_is_stopped_and_harmless_one_passes() {
    for seed in 0..20 {
        let fine = run_rollout(seed, 3, 0.0, 0.0, 0.0);
        assert_eq!(
            fine.verdict,
            Verdict::Fine,
            "seed {seed}: {:?}",
            fine.findings.first()
        );
        let harm = run_rollout(seed, 3, 0.05, 0.0, 0.0);
        assert!(
            matches!(harm.verdict, Verdict::Harm(_)),
            "seed {seed}: {:?}",
            harm.findings.first()
        );
        let one = run_rollout(seed, 1, 0.2, 0.0, 0.0);
        assert!(
            matches!(one.verdict, Verdict::Harm(_)),
            "seed {seed}: {:?}",
            one.findings.first()
        );
    }
}

/// The only node of the first stage had more errors than the others before the rollout as well: the
/// rollout must not be blamed for them.
#[test]
fn node_that_always_had_more_errors_is_not_taken_for_harm() {
    for seed in 0..20 {
        let slow = run_rollout(seed, 1, 0.0, 0.06, 0.0);
        assert!(
            !matches!(slow.verdict, Verdict::Harm(_)),
            "seed {seed}: {:?}",
            slow.findings.first()
        );
    }
}

#[test]
fn memory_leak_is_found_before_requests_suffer() {
    // 60 KB a window; the margin of a fifth of the memory in an hour is about 6 KB a window.
    let leaks = run_rollout(1, 2, 0.0, 0.0, 60.0);
    let Verdict::Harm(findings) = &leaks.verdict else {
        panic!("{leaks:?}")
    };
    assert_eq!(findings[0].what, "memory in an hour");
    let line = leaks.line(&|n| format!("op{n}"));
    assert!(
        line.starts_with("harm; memory in an hour:") && line.contains("2 new nodes"),
        "{line}"
    );
}

#[test]
fn crashes_and_invariants_are_compared_with_the_baseline() {
    let mut cluster = SimulatedCluster {
        rng: Pcg64Mcg::seed_from_u64(1),
        error_shares: vec![0.01; 30],
        new: 3,
    };
    let mut record = record();
    record.begin(&[]);
    record.start_stage(1);
    for window in 0..6 {
        record.record_window(window, &cluster.samples(false, 0.0, 100, 0.0, window));
    }
    let analysed = |record: &CohortMetrics, crashes| {
        let crashes = CrashCounts {
            crashes,
            nodes: [3, 27],
            windows: 6.0,
        };
        analyse(record, &Plan::default(), 1, &crashes, AnalysisMethod::Nodes).verdict
    };
    assert!(
        !matches!(analysed(&record, [1, 0]), Verdict::Harm(_)),
        "one crash may be chance"
    );
    assert!(matches!(analysed(&record, [2, 0]), Verdict::Harm(_)));
    // Baseline nodes crash as well, so that the rollout is not the cause.
    assert!(!matches!(analysed(&record, [3, 27]), Verdict::Harm(_)));
    record.nodes.get_mut(&1).unwrap().invariants = 3;
    assert!(matches!(analysed(&record, [0, 0]), Verdict::Harm(_)));
}

#[test]
fn verdict_waits_for_the_minimum_of_requests() {
    let mut cluster = SimulatedCluster {
        rng: Pcg64Mcg::seed_from_u64(1),
        error_shares: vec![0.01; 30],
        new: 1,
    };
    let mut record = record();
    record.begin(&[]);
    record.start_stage(1);
    (0..4).for_each(|window| {
        record.record_window(window, &cluster.samples(false, 0.0, 30, 0.0, window))
    });
    let analysed = analyse(
        &record,
        &Plan::default(),
        1,
        &CrashCounts::default(),
        AnalysisMethod::Nodes,
    );
    assert_eq!(
        analysed.verdict,
        Verdict::Wait("90 of 200 requests at the new nodes".into())
    );
}

/// A version that rejected all requests was rolled back at one node in the middle of a window, and
/// a harmless rollout follows. The node's rejections in that window were taken for its own past, so
/// that the other nodes of its zone looked worse than they were and the rollout waited forever.
#[test]
fn rejections_of_a_rolled_back_version_do_not_hold_up_the_next_rollout() {
    for seed in 0..20 {
        let mut cluster = SimulatedCluster {
            rng: Pcg64Mcg::seed_from_u64(seed),
            error_shares: vec![0.001; 6],
            new: 0,
        };
        let (mut record, mut windows) = (record(), Vec::new());
        for window in 0..4 {
            let mut samples = cluster.samples(true, 0.0, 130, 0.0, window);
            if window == 1 || window == 2 {
                // The node ran the other version in the second window and half of the third.
                samples[3].version_hash = if window == 1 { 99 } else { 1 };
                let (cell, _) = samples[3].operations.get_mut(&7).unwrap();
                let throttled = if window == 1 { 130 } else { 65 };
                (cell.rejected, cell.succeeded, cell.earned) =
                    (throttled, 130 - throttled, (130 - throttled) * 1000);
            }
            windows.push((window, samples));
        }
        record.begin(&windows);
        record.start_stage(1);
        cluster.new = 1;
        (4..12).for_each(|window| {
            record.record_window(window, &cluster.samples(false, 0.0, 130, 0.0, window))
        });
        let analysed = analyse(
            &record,
            &Plan::default(),
            1,
            &CrashCounts::default(),
            AnalysisMethod::Nodes,
        );
        assert_eq!(
            analysed.verdict,
            Verdict::Fine,
            "seed {seed}: {:?}",
            analysed.findings.first()
        );
    }
}
