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

struct Fleet {
    rng: Pcg64Mcg,
    /// Share of errors of each node by itself, and which ones are new.
    own: Vec<f64>,
    new: usize,
}

impl Fleet {
    fn samples(
        &mut self,
        before: bool,
        harm: f64,
        each: u64,
        memory: f64,
        at: u64,
    ) -> Vec<WindowSample> {
        (0..self.own.len())
            .map(|n| {
                let is_new = n < self.new && !before;
                let share = self.own[n] + if is_new { harm } else { 0.0 };
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

fn play(seed: u64, new: usize, harm: f64, slow_new: f64, memory: f64) -> AnalysisResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut own: Vec<f64> = (0..30).map(|_| rng.random_range(0.005..0.02)).collect();
    own[0] += slow_new;
    let mut fleet = Fleet { rng, own, new };
    let (mut record, mut windows) = (record(), Vec::new());
    for window in 0..8 {
        windows.push((window, fleet.samples(true, 0.0, 100, 0.0, window)));
    }
    record.begin(&windows);
    record.start_stage(1);
    let mut last = None;
    for window in 8..30 {
        record.record_window(window, &fleet.samples(false, harm, 100, memory, window));
        let judged = analyse(
            &record,
            &Plan::default(),
            1,
            &CrashCounts::default(),
            AnalysisMethod::Nodes,
        );
        let stops = matches!(judged.verdict, Verdict::Harm(_));
        last = Some(judged);
        if stops {
            break;
        }
    }
    last.unwrap()
}

#[test]
fn a_change_that_harms_is_stopped_and_one_that_does_not_passes() {
    for seed in 0..20 {
        let fine = play(seed, 3, 0.0, 0.0, 0.0);
        assert_eq!(
            fine.verdict,
            Verdict::Fine,
            "seed {seed}: {:?}",
            fine.findings.first()
        );
        let harm = play(seed, 3, 0.05, 0.0, 0.0);
        assert!(
            matches!(harm.verdict, Verdict::Harm(_)),
            "seed {seed}: {:?}",
            harm.findings.first()
        );
        let one = play(seed, 1, 0.2, 0.0, 0.0);
        assert!(
            matches!(one.verdict, Verdict::Harm(_)),
            "seed {seed}: {:?}",
            one.findings.first()
        );
    }
}

/// The one node of the first stage is a machine that always erred more: that is no fault of the
/// rollout.
#[test]
fn a_slow_machine_among_the_new_ones_is_no_harm() {
    for seed in 0..20 {
        let slow = play(seed, 1, 0.0, 0.06, 0.0);
        assert!(
            !matches!(slow.verdict, Verdict::Harm(_)),
            "seed {seed}: {:?}",
            slow.findings.first()
        );
    }
}

#[test]
fn a_leak_shows_before_it_harms() {
    let leaks = play(1, 2, 0.0, 0.0, 60.0); // 2 % of its memory in an hour would be 3 KB a window
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
fn deaths_and_invariants_are_counted_against_the_others() {
    let mut fleet = Fleet {
        rng: Pcg64Mcg::seed_from_u64(1),
        own: vec![0.01; 30],
        new: 3,
    };
    let mut record = record();
    record.begin(&[]);
    record.start_stage(1);
    for window in 0..6 {
        record.record_window(window, &fleet.samples(false, 0.0, 100, 0.0, window));
    }
    let judged = |record: &CohortMetrics, crashes| {
        let crashes = CrashCounts {
            crashes,
            nodes: [3, 27],
            windows: 6.0,
        };
        analyse(record, &Plan::default(), 1, &crashes, AnalysisMethod::Nodes).verdict
    };
    assert!(
        !matches!(judged(&record, [1, 0]), Verdict::Harm(_)),
        "one may be chance"
    );
    assert!(matches!(judged(&record, [2, 0]), Verdict::Harm(_)));
    // Old ones die as well: then it is the day and not the rollout.
    assert!(!matches!(judged(&record, [3, 27]), Verdict::Harm(_)));
    record.nodes.get_mut(&1).unwrap().invariants = 3;
    assert!(matches!(judged(&record, [0, 0]), Verdict::Harm(_)));
}

#[test]
fn too_little_is_waited_for() {
    let mut fleet = Fleet {
        rng: Pcg64Mcg::seed_from_u64(1),
        own: vec![0.01; 30],
        new: 1,
    };
    let mut record = record();
    record.begin(&[]);
    record.start_stage(1);
    (0..4).for_each(|window| {
        record.record_window(window, &fleet.samples(false, 0.0, 30, 0.0, window))
    });
    let judged = analyse(
        &record,
        &Plan::default(),
        1,
        &CrashCounts::default(),
        AnalysisMethod::Nodes,
    );
    assert_eq!(
        judged.verdict,
        Verdict::Wait("90 of 200 invocations at the new nodes".into())
    );
}

/// A version that throttled all was taken back from one node in the middle of a window, and a good
/// rollout follows. What that node did in that window was held for its past: the others of its zone
/// then looked worse than they were, and the rollout waited for good.
#[test]
fn what_a_version_that_was_taken_back_did_does_not_hold_up_the_next_change() {
    for seed in 0..20 {
        let mut fleet = Fleet {
            rng: Pcg64Mcg::seed_from_u64(seed),
            own: vec![0.001; 6],
            new: 0,
        };
        let (mut record, mut windows) = (record(), Vec::new());
        for window in 0..4 {
            let mut samples = fleet.samples(true, 0.0, 130, 0.0, window);
            if window == 1 || window == 2 {
                // It ran the other version in the second window, and half of the third.
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
        fleet.new = 1;
        (4..12).for_each(|window| {
            record.record_window(window, &fleet.samples(false, 0.0, 130, 0.0, window))
        });
        let judged = analyse(
            &record,
            &Plan::default(),
            1,
            &CrashCounts::default(),
            AnalysisMethod::Nodes,
        );
        assert_eq!(
            judged.verdict,
            Verdict::Fine,
            "seed {seed}: {:?}",
            judged.findings.first()
        );
    }
}
