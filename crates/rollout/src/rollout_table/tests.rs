use super::*;
use crate::rollout::Assignment;
use crate::rollout::tests::{progress, rollout};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Copies merged in any order and any number of times give the same table, and no outcome moves
/// away from safety.
#[test]
fn copies_merge_in_any_order_and_only_towards_safety() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut copies: Vec<Rollout> = Vec::new();
        for id in 1..4 {
            for _ in 0..rng.random_range(1..8) {
                let mut copy = rollout(id, 2);
                copy.progress = progress(rng.random_range(0..8));
                if rng.random_bool(0.4) {
                    copy.outcome = Outcome::from_number(rng.random_range(1..5)).unwrap();
                    let why = ["a", "b"][rng.random_range(0..2)];
                    copy.reason = Reason::new(rng.random_range(0..9), rng.random_range(0..3), why);
                }
                copies.push(copy);
            }
        }
        let mut received: Vec<RolloutTable> = vec![RolloutTable::default(); 4];
        for rollouts in &mut received {
            copies.shuffle(&mut rng);
            let again = rng.random_range(0..copies.len());
            for copy in copies.iter().chain(&copies[..again]) {
                let before = rollouts.get(copy.id).cloned();
                rollouts.merge(copy);
                let after = rollouts.get(copy.id).unwrap();
                assert!(before.is_none_or(
                    |b| after.outcome >= b.outcome && after.progress.stage >= b.progress.stage
                ));
            }
        }
        // Another node receives the rollouts from the first one.
        let mut second = RolloutTable::default();
        received[0]
            .iter()
            .for_each(|rollout| _ = second.merge(rollout));
        received.push(second);
        assert!(
            received
                .windows(2)
                .all(|two| two[0] == two[1] && two[0].digest() == two[1].digest()),
            "{seed}"
        );
    }
}

#[test]
fn halt_is_not_undone_and_assigns_no_further_nodes() {
    let mut rollouts = RolloutTable::default();
    rollouts.merge(&rollout(1, 2));
    assert!(
        rollouts.advance(RolloutId(1), &progress(1))
            && !rollouts.advance(RolloutId(1), &progress(1))
    );
    assert!(rollouts.end(RolloutId(1), Outcome::Halted, Reason::new(5, 1, "seen")));
    assert!(!rollouts.end(RolloutId(1), Outcome::Completed, Reason::new(6, 2, "no")));
    let late = Rollout {
        progress: progress(2),
        ..rollout(1, 2)
    };
    rollouts.merge(&late); // agreed on by others before they received the halt
    let known = rollouts.get(RolloutId(1)).unwrap();
    assert_eq!(
        (known.progress.stage, known.outcome, known.assignment(3, 0)),
        (2, Outcome::Halted, Assignment::Unchanged)
    );
    assert!(rollouts.end(RolloutId(1), Outcome::RolledBack, Reason::new(9, 1, "back")));
    assert_eq!(
        rollouts.get(RolloutId(1)).unwrap().assignment(3, 0),
        Assignment::BaseVersion
    );
}

#[test]
fn highest_version_is_next_and_of_equal_versions_the_first_offered() {
    let mut rollouts = RolloutTable::default();
    [(1, 5), (2, 9), (3, 9), (4, 7)]
        .iter()
        .for_each(|(id, number)| _ = rollouts.merge(&rollout(*id, *number)));
    assert_eq!(rollouts.next(Kind::Settings).unwrap().id, RolloutId(2));
    rollouts.advance(RolloutId(4), &progress(1));
    assert_eq!(
        rollouts.current(Kind::Settings).unwrap().id,
        RolloutId(4),
        "a rollout in progress comes first"
    );
    assert!(rollouts.next(Kind::Program).is_none());
}

/// A hundred versions are offered: the table stays within its bound and keeps the rollout in
/// progress and the highest versions.
#[test]
fn table_is_bounded_and_keeps_the_rollout_in_progress() {
    let mut rollouts = RolloutTable::default();
    rollouts.merge(&rollout(1, 2));
    rollouts.advance(RolloutId(1), &progress(1));
    for id in 2..=100 {
        rollouts.merge(&rollout(id, id));
    }
    assert_eq!(
        (
            rollouts.iter().count(),
            rollouts.in_progress(Kind::Settings).unwrap().id
        ),
        (MAX_ROLLOUTS, RolloutId(1))
    );
    assert_eq!(rollouts.next(Kind::Settings).unwrap().version.number, 100);
    let mut ended = RolloutTable::default();
    for id in 1..=40 {
        ended.merge(&rollout(id, id));
        ended.end(RolloutId(id), Outcome::Rejected, Reason::new(id, 1, ""));
    }
    assert!(ended.iter().count() <= MAX_ROLLOUTS && ended.get(RolloutId(40)).is_some());
    ended.remove_expired(10_000_000, 3600 * crate::SECOND);
    assert_eq!(ended.iter().count(), 0);
}

/// The same rollouts are retained in whatever order they are received.
#[test]
fn retained_rollouts_do_not_depend_on_the_order_of_receipt() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut all: Vec<Rollout> = (1..=40)
            .map(|id| rollout(id, rng.random_range(2..30)))
            .collect();
        for rollout in &mut all {
            if rng.random_bool(0.5) {
                rollout.outcome = Outcome::Rejected;
            }
        }
        all[5].progress = progress(3);
        let received = |all: &[Rollout]| {
            let mut rollouts = RolloutTable::default();
            all.iter().for_each(|rollout| _ = rollouts.merge(rollout));
            rollouts
        };
        let one = received(&all);
        all.shuffle(&mut rng);
        assert_eq!(one, received(&all), "{seed}");
        assert_eq!(
            one.head(Kind::Settings).map(|head| head.progress.agreement),
            Some(3)
        );
    }
}

/// The agreement after the last stage completes the rollout, but does not undo a halt.
#[test]
fn agreement_after_the_last_stage_completes_the_rollout() {
    let mut rollouts = RolloutTable::default();
    rollouts.merge(&rollout(1, 2));
    (1..=6).for_each(|stage| _ = rollouts.advance(RolloutId(1), &progress(stage)));
    assert_eq!(
        rollouts.get(RolloutId(1)).unwrap().outcome,
        Outcome::Completed
    );
    let mut halted = RolloutTable::default();
    halted.merge(&Rollout {
        outcome: Outcome::Halted,
        ..rollout(1, 2)
    });
    halted.merge(rollouts.get(RolloutId(1)).unwrap());
    assert_eq!(halted.get(RolloutId(1)).unwrap().outcome, Outcome::Halted);
}
