use super::*;
use crate::budget::BudgetError;

/// Duration of a lease, in nanoseconds.
const LEASE_DURATION: Nanos = 1000 * crate::MILLISECOND;

fn rate(limit: u32, floor: u32, max_nodes: u32) -> Budget {
    let kind = BudgetKind::Rate { burst: SECOND / 20 };
    Budget {
        name: "b".into(),
        limit,
        floor,
        max_nodes,
        kind,
        retries_only: false,
    }
}

fn id(lender: u64, number: u64) -> LeaseId {
    LeaseId { lender, number }
}

fn lease(number: u64, units: u32) -> Lease {
    Lease {
        id: LeaseId { lender: 1, number },
        units,
        duration: LEASE_DURATION,
        ..Lease::default()
    }
}

#[test]
fn floors_that_exceed_the_limit_together_are_rejected() {
    assert_eq!(rate(100, 1, 60).check(), Ok(()));
    assert_eq!(rate(100, 1, 60).pool(), 40);
    assert!(
        rate(100, 2, 60)
            .check()
            .unwrap_err()
            .to_string()
            .contains("are 120, more than the limit of 100")
    );
    assert_eq!(
        rate(0, 0, 1).check(),
        Err(BudgetError::Zero { name: "b".into() })
    );
}

#[test]
fn a_node_that_is_cut_off_falls_to_its_floor_in_steps() {
    let mut borrower = BudgetBorrower::new(0, rate(100, 2, 10));
    borrower.receive_lease(100, 100, lease(1, 80));
    let at = |ms: u64| borrower.units(100 + ms * crate::MILLISECOND);
    assert_eq!(
        [at(0), at(480), at(500), at(740), at(980), at(5000)],
        [82, 82, 42, 22, 2, 2]
    );
}

/// Guards against exceeding the rate over any window when the lease changes or tokens were saved
/// up.
#[test]
fn calls_stay_within_the_rate_over_every_window() {
    let mut borrower = BudgetBorrower::new(0, rate(100, 0, 10));
    let mut taken = Vec::new();
    for ms in 0..20_000u64 {
        let now = ms * crate::MILLISECOND;
        if ms % 300 == 0 {
            let units = [60, 10, 30][(ms / 300 % 3) as usize];
            borrower.receive_lease(now, now, lease(ms + 1, units));
        }
        for _ in 0..3 {
            if borrower.acquire(now).is_ok() {
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
            // The bound if the largest lease were held throughout: 60 per second plus 3 saved-up
            // calls and 1 for rounding.
            assert!(
                n <= 60.0 * window as f64 / 1000.0 + 3.0 + 1.0,
                "{n} in {window} ms from {first}"
            );
        }
    }
    assert!(taken.len() > 500, "{}", taken.len());
}

#[test]
fn a_smaller_lease_counts_as_held_once_no_more_calls_are_in_flight() {
    let kind = BudgetKind::InFlight {
        max_call_time: SECOND,
    };
    let mut borrower = BudgetBorrower::new(
        0,
        Budget {
            kind,
            ..rate(100, 1, 10)
        },
    );
    borrower.receive_lease(0, 0, lease(1, 5));
    let taken = (0..9).filter(|_| borrower.acquire(0).is_ok()).count();
    assert_eq!((taken, borrower.held_lease()), (6, id(1, 1)));
    borrower.receive_lease(10, 10, lease(2, 2));
    assert_eq!(
        (borrower.held_lease(), borrower.acquire(10).is_err()),
        (id(0, 0), true)
    );
    (0..3).for_each(|_| borrower.release());
    assert_eq!((borrower.held_lease(), borrower.in_flight()), (id(1, 2), 3));
}

#[test]
fn demand_follows_attempts_and_decays() {
    let mut borrower = BudgetBorrower::new(0, rate(1000, 1, 10));
    for ms in 0..1000 {
        let _ = borrower.acquire(ms * crate::MILLISECOND);
    }
    let demand = borrower.demand(SECOND);
    assert!(
        (1150..=1300).contains(&(demand + 300)) || demand == 990,
        "{demand}"
    );
    assert_eq!(borrower.demand(3 * SECOND), 0);
}

#[test]
fn a_lease_of_another_lender_is_accepted_only_after_the_held_lease_has_expired() {
    let mut borrower = BudgetBorrower::new(0, rate(100, 0, 10));
    borrower.receive_lease(0, 0, lease(9, 50));
    borrower.receive_lease(
        10,
        10,
        Lease {
            id: LeaseId {
                lender: 2,
                number: 1,
            },
            ..lease(1, 80)
        },
    );
    assert_eq!((borrower.units(10), borrower.held_lease()), (50, id(1, 9)));
    borrower.receive_lease(
        LEASE_DURATION,
        LEASE_DURATION,
        Lease {
            id: LeaseId {
                lender: 2,
                number: 1,
            },
            ..lease(1, 80)
        },
    );
    assert_eq!(
        (borrower.units(LEASE_DURATION), borrower.held_lease()),
        (80, id(2, 1))
    );
}

/// Guards against units that stay taken when another budget refuses the call.
#[test]
fn a_call_takes_a_unit_of_every_budget_or_of_none() {
    let in_flight = Budget {
        kind: BudgetKind::InFlight {
            max_call_time: SECOND,
        },
        ..rate(40, 4, 10)
    };
    let retries = Budget {
        name: "repeats".into(),
        retries_only: true,
        ..rate(10, 1, 10)
    };
    let mut budgets = NodeBudgets::new(0, &[rate(20, 2, 10), in_flight, retries]);
    let now = SECOND;
    let allowed = (0..9)
        .filter(|_| budgets.acquire(now, false).is_ok())
        .count();
    assert_eq!(
        (allowed, budgets.borrowers()[1].in_flight()),
        (1, 1),
        "a rate of 2 per second saves up one call"
    );
    budgets.release(false);
    let allowed_later = (2..40)
        .filter(|tenths| budgets.acquire(now + tenths * SECOND / 10, false).is_ok())
        .count();
    assert_eq!(
        (allowed_later, budgets.borrowers()[1].in_flight()),
        (4, 4),
        "four calls are in flight"
    );
    assert!(!budgets.drop_leases(9 * SECOND));
    (0..4).for_each(|_| budgets.release(false));
    assert!(budgets.drop_leases(9 * SECOND));
    // Two calls may be made per second, one of which may be a retry. A refused retry takes no unit
    // of the other budgets.
    let at = |tenths: u64| 20 * SECOND + tenths * SECOND / 10;
    let allowed_retries = (0..50)
        .filter(|t| {
            budgets.acquire(at(*t), true).is_ok_and(|()| {
                budgets.release(true);
                true
            })
        })
        .count();
    assert!(
        (4..=6).contains(&allowed_retries),
        "{allowed_retries} in 5 s"
    );
    assert!(
        budgets.acquire(at(51), false).is_ok(),
        "a call that is not a retry is allowed"
    );
}

#[test]
fn a_restarted_node_starts_without_tokens() {
    let mut borrower = BudgetBorrower::new(7 * SECOND, rate(100, 10, 10));
    assert!(borrower.acquire(7 * SECOND).is_err());
    assert!(borrower.acquire(8 * SECOND).is_ok());
}

/// Guards against a burst at the beginning of a slow start: the share limits the rate, and tokens
/// saved up before it are discarded.
#[test]
fn a_slow_start_uses_a_share_of_the_units_and_discards_saved_tokens() {
    let mut budgets = NodeBudgets::new(0, &[rate(100, 50, 1)]).with_seed(1);
    let taken = |budgets: &mut NodeBudgets, from: u64, until: u64| {
        (from..until)
            .filter(|ms| budgets.acquire(ms * crate::MILLISECOND, false).is_ok())
            .count()
    };
    assert!((48..=50).contains(&taken(&mut budgets, 0, 1000)));
    budgets.set_usable_share(5 * SECOND, 0.1);
    assert_eq!(
        taken(&mut budgets, 5000, 5001),
        0,
        "saved tokens are discarded"
    );
    assert!((9..=11).contains(&taken(&mut budgets, 5001, 7000)));
    assert_eq!(budgets.calls_per_second(7 * SECOND), Some(5.0));
    budgets.set_usable_share(7 * SECOND, 1.0);
    assert!((48..=51).contains(&taken(&mut budgets, 7000, 8000)));
}
