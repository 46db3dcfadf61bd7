use super::*;

const TERM: Nanos = 1000 * crate::MILLISECOND;

fn rate(limit: u32, floor: u32, nodes_most: u32) -> Budget {
    let kind = Kind::Rate { burst: SECOND / 20 };
    Budget {
        name: "b".into(),
        limit,
        floor,
        nodes_most,
        kind,
        repeats_only: false,
    }
}

fn part(no: u64, units: u32) -> Lease {
    Lease {
        book: 1,
        no,
        units,
        term: TERM,
        ..Lease::default()
    }
}

#[test]
fn floors_that_add_up_to_more_than_the_limit_are_refused() {
    assert_eq!(rate(100, 1, 60).check(), Ok(()));
    assert_eq!(rate(100, 1, 60).pool(), 40);
    assert!(
        rate(100, 2, 60)
            .check()
            .unwrap_err()
            .contains("are 120, more than the limit of 100")
    );
    assert!(rate(0, 0, 1).check().is_err());
}

#[test]
fn a_deaf_node_falls_in_steps_to_its_floor_and_is_never_at_zero() {
    let mut purse = BudgetBorrower::new(0, rate(100, 2, 10));
    purse.lend(100, 100, part(1, 80));
    let at = |ms: u64| purse.units(100 + ms * crate::MILLISECOND);
    assert_eq!(
        [at(0), at(480), at(500), at(740), at(980), at(5000)],
        [82, 82, 42, 22, 2, 2]
    );
}

/// Never more than the rate over any window, whatever was saved, and however the part changes.
#[test]
fn a_rate_is_kept_over_every_window() {
    let mut purse = BudgetBorrower::new(0, rate(100, 0, 10));
    let mut taken = Vec::new();
    for ms in 0..20_000u64 {
        let now = ms * crate::MILLISECOND;
        if ms % 300 == 0 {
            let units = [60, 10, 30][(ms / 300 % 3) as usize];
            purse.lend(now, now, part(ms + 1, units));
        }
        for _ in 0..3 {
            if purse.take(now).is_ok() {
                taken.push(ms);
            }
        }
    }
    for (at, first) in taken.iter().enumerate() {
        for window in [50, 200, 1000, 5000] {
            let n = taken[at..]
                .iter()
                .take_while(|t| **t < first + window)
                .count() as f64;
            // All of it at 60 a second and the saved, as if the largest part had held throughout.
            assert!(
                n <= 60.0 * window as f64 / 1000.0 + 3.0 + 1.0,
                "{n} in {window} ms from {first}"
            );
        }
    }
    assert!(taken.len() > 500, "{}", taken.len());
}

#[test]
fn a_smaller_part_of_calls_in_hand_is_held_only_once_they_are_over() {
    let kind = Kind::InHand { longest: SECOND };
    let mut purse = BudgetBorrower::new(
        0,
        Budget {
            kind,
            ..rate(100, 1, 10)
        },
    );
    purse.lend(0, 0, part(1, 5));
    let taken = (0..9).filter(|_| purse.take(0).is_ok()).count();
    assert_eq!((taken, purse.holds()), (6, (1, 1)));
    purse.lend(10, 10, part(2, 2));
    assert_eq!((purse.holds(), purse.take(10).is_err()), ((0, 0), true));
    (0..3).for_each(|_| purse.over());
    assert_eq!((purse.holds(), purse.in_hand()), ((1, 2), 3));
}

#[test]
fn demand_follows_what_was_tried_and_fades() {
    let mut purse = BudgetBorrower::new(0, rate(1000, 1, 10));
    for ms in 0..1000 {
        let _ = purse.take(ms * crate::MILLISECOND);
    }
    let wants = purse.wants(SECOND);
    assert!(
        (1150..=1300).contains(&(wants + 300)) || wants == 990,
        "{wants}"
    );
    assert_eq!(purse.wants(3 * SECOND), 0);
}

#[test]
fn a_part_of_another_book_waits_for_the_end_of_what_is_held() {
    let mut purse = BudgetBorrower::new(0, rate(100, 0, 10));
    purse.lend(0, 0, part(9, 50));
    purse.lend(
        10,
        10,
        Lease {
            book: 2,
            ..part(1, 80)
        },
    );
    assert_eq!((purse.units(10), purse.holds()), (50, (1, 9)));
    purse.lend(
        TERM,
        TERM,
        Lease {
            book: 2,
            ..part(1, 80)
        },
    );
    assert_eq!((purse.units(TERM), purse.holds()), (80, (2, 1)));
}

/// A call needs room under all budgets that it counts for, or takes nothing of any.
#[test]
fn a_call_is_allowed_under_all_budgets_or_takes_nothing() {
    let in_hand = Budget {
        kind: Kind::InHand { longest: SECOND },
        ..rate(40, 4, 10)
    };
    let repeats = Budget {
        name: "repeats".into(),
        repeats_only: true,
        ..rate(10, 1, 10)
    };
    let mut ends = NodeBudgets::new(0, &[rate(20, 2, 10), in_hand, repeats]);
    let now = SECOND;
    let allowed = (0..9).filter(|_| ends.take(now, false).is_ok()).count();
    assert_eq!(
        (allowed, ends.purses()[1].in_hand()),
        (1, 1),
        "of a rate of 2 a second one call is saved"
    );
    ends.over(false);
    let later = (2..40)
        .filter(|tenths| ends.take(now + tenths * SECOND / 10, false).is_ok())
        .count();
    assert_eq!((later, ends.purses()[1].in_hand()), (4, 4), "four in hand");
    assert!(!ends.let_go(9 * SECOND));
    (0..4).for_each(|_| ends.over(false));
    assert!(ends.let_go(9 * SECOND));
    // Two may go each second, of which one may be a repeat; one that is refused as such took
    // nothing of the others.
    let at = |tenths: u64| 20 * SECOND + tenths * SECOND / 10;
    let repeated = (0..50)
        .filter(|t| {
            ends.take(at(*t), true).is_ok_and(|()| {
                ends.over(true);
                true
            })
        })
        .count();
    assert!((4..=6).contains(&repeated), "{repeated} in 5 s");
    assert!(ends.take(at(51), false).is_ok(), "a first call goes");
}

#[test]
fn one_that_returns_cold_has_saved_nothing() {
    let mut purse = BudgetBorrower::new(7 * SECOND, rate(100, 10, 10));
    assert!(purse.take(7 * SECOND).is_err());
    assert!(purse.take(8 * SECOND).is_ok());
}

/// A share of the units: as many fewer calls over any window, and none at once for what was saved
/// before.
#[test]
fn a_slow_start_uses_a_share_of_the_units_and_nothing_that_was_saved() {
    let mut ends = NodeBudgets::new(0, &[rate(100, 50, 1)]).with_seed(1);
    let taken = |ends: &mut NodeBudgets, from: u64, until: u64| {
        (from..until)
            .filter(|ms| ends.take(ms * crate::MILLISECOND, false).is_ok())
            .count()
    };
    assert!((48..=50).contains(&taken(&mut ends, 0, 1000)));
    ends.slow_start(5 * SECOND, 0.1);
    assert_eq!(taken(&mut ends, 5000, 5001), 0, "what was saved is gone");
    assert!((9..=11).contains(&taken(&mut ends, 5001, 7000)));
    assert_eq!(ends.a_second(7 * SECOND), Some(5.0));
    ends.slow_start(7 * SECOND, 1.0);
    assert!((48..=51).contains(&taken(&mut ends, 7000, 8000)));
}
