use super::*;
use crate::rollout::Assignment;
use crate::rollout::tests::{progress, rollout};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Words in any order, in any groups, any number of times come to the same, and nothing moves
/// away from safety.
#[test]
fn words_merge_in_any_order_and_only_towards_safety() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut words: Vec<Rollout> = Vec::new();
        for id in 1..4 {
            for _ in 0..rng.random_range(1..8) {
                let mut word = rollout(id, 2);
                word.progress = progress(rng.random_range(0..8));
                if rng.random_bool(0.4) {
                    word.outcome = Outcome::from_number(rng.random_range(1..5)).unwrap();
                    let why = ["a", "b"][rng.random_range(0..2)];
                    word.reason = Reason::new(rng.random_range(0..9), rng.random_range(0..3), why);
                }
                words.push(word);
            }
        }
        let mut received: Vec<RolloutTable> = vec![RolloutTable::default(); 4];
        for rollouts in &mut received {
            words.shuffle(&mut rng);
            let again = rng.random_range(0..words.len());
            for word in words.iter().chain(&words[..again]) {
                let before = rollouts.get(word.id).cloned();
                rollouts.merge(word);
                let after = rollouts.get(word.id).unwrap();
                assert!(before.is_none_or(
                    |b| after.outcome >= b.outcome && after.progress.stage >= b.progress.stage
                ));
            }
        }
        // One more hears by way of the first.
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
fn a_halt_is_not_undone_and_nothing_advances_after_it() {
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
    rollouts.merge(&late); // it was agreed on elsewhere before the halt was heard there
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
fn the_highest_version_goes_next_and_of_like_ones_the_first() {
    let mut rollouts = RolloutTable::default();
    [(1, 5), (2, 9), (3, 9), (4, 7)]
        .iter()
        .for_each(|(id, number)| _ = rollouts.merge(&rollout(*id, *number)));
    assert_eq!(rollouts.next(Kind::Settings).unwrap().id, RolloutId(2));
    rollouts.advance(RolloutId(4), &progress(1));
    assert_eq!(
        rollouts.current(Kind::Settings).unwrap().id,
        RolloutId(4),
        "what has begun goes first"
    );
    assert!(rollouts.next(Kind::Program).is_none());
}

/// A hundred versions are offered: memory stays, what is under way stays, and the highest ones
/// are kept.
#[test]
fn changes_are_bounded_and_what_is_under_way_is_kept() {
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
    let mut over = RolloutTable::default();
    for id in 1..=40 {
        over.merge(&rollout(id, id));
        over.end(RolloutId(id), Outcome::Rejected, Reason::new(id, 1, ""));
    }
    assert!(over.iter().count() <= MAX_ROLLOUTS && over.get(RolloutId(40)).is_some());
    over.remove_expired(10_000_000, 3600 * crate::SECOND);
    assert_eq!(over.iter().count(), 0);
}

/// Whatever the order in which they are heard, the same ones are remembered.
#[test]
fn which_changes_are_remembered_does_not_depend_on_the_order() {
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

/// The agreement beyond the last stage is that it is done.
#[test]
fn beyond_the_last_stage_a_change_is_done() {
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
