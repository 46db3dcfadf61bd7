use super::*;

/// The duration of a lease.
const TERM: Nanos = 1000;

fn id(lender: u64, number: u64) -> LeaseId {
    LeaseId { lender, number }
}

fn process(key: u64) -> ProcessId {
    ProcessId {
        key,
        incarnation: key,
    }
}

fn demand(units: u32) -> Demand {
    Demand {
        zone: 0,
        units,
        value: 1.0,
    }
}

fn new_lender() -> BudgetLender {
    BudgetLender::new(0, 7, 100, TERM, 0, 64)
}

const LATER: Nanos = 5000;
const LONG: Nanos = 1 << 40;

#[test]
fn nothing_is_granted_until_earlier_leases_have_expired() {
    let mut lender = new_lender();
    assert_eq!(
        (
            lender.request(500, process(1), id(0, 0), demand(9), LONG),
            lender.outstanding(500)
        ),
        (None, 100)
    );
    assert!(
        lender
            .request(1100, process(1), id(0, 0), demand(9), LONG)
            .is_some()
    );
}

#[test]
fn a_unit_moves_only_when_its_borrower_released_it_or_its_lease_has_expired() {
    let mut lender = new_lender();
    let first = lender
        .request(LATER, process(1), id(0, 0), demand(100), LONG)
        .unwrap();
    assert_eq!(first.units, 100);
    // Another borrower requests half: there is nothing yet.
    assert_eq!(
        lender
            .request(LATER, process(2), id(0, 0), demand(100), LONG)
            .unwrap()
            .units,
        0
    );
    // The first borrower is granted half now, but has not acknowledged that.
    let second = lender
        .request(
            LATER + 100,
            process(1),
            id(7, first.id.number),
            demand(100),
            LONG,
        )
        .unwrap();
    assert_eq!(second.units, 50);
    assert_eq!(
        lender
            .request(LATER + 200, process(2), id(0, 0), demand(100), LONG)
            .unwrap()
            .units,
        0
    );
    // It holds the second lease and no other.
    let _ = lender.request(
        LATER + 300,
        process(1),
        id(7, second.id.number),
        demand(100),
        LONG,
    );
    assert_eq!(
        lender
            .request(LATER + 300, process(2), id(0, 0), demand(100), LONG)
            .unwrap()
            .units,
        50
    );
    // It is silent from now on: its units come back after the lease has expired, and not before.
    let ends = LATER + 300 + drift_extended(TERM);
    assert_eq!(
        lender
            .request(ends - 1, process(2), id(0, 0), demand(100), LONG)
            .unwrap()
            .units,
        50
    );
    assert_eq!(
        lender
            .request(ends, process(2), id(0, 0), demand(100), LONG)
            .unwrap()
            .units,
        50
    ); // the first one is still owed its half
    assert_eq!(
        lender
            .request(ends + 5 * TERM, process(2), id(0, 0), demand(100), LONG)
            .unwrap()
            .units,
        100
    );
}

/// A lease of another lender says nothing of the leases of this one: what is under way to the
/// borrower stays granted.
#[test]
fn a_lease_of_another_lender_frees_nothing() {
    let mut lender = new_lender();
    assert_eq!(
        lender
            .request(LATER, process(1), id(0, 0), demand(100), LONG)
            .unwrap()
            .units,
        100
    );
    let _ = lender.request(LATER + 1, process(2), id(0, 0), demand(100), LONG);
    let _ = lender.request(LATER + 2, process(1), id(3, 99), demand(100), LONG);
    assert_eq!(
        lender
            .request(LATER + 3, process(2), id(3, 99), demand(100), LONG)
            .unwrap()
            .units,
        0
    );
}

/// Calls in flight at the end of a lease go on for a while: their units are not granted again
/// before.
#[test]
fn units_in_use_beyond_the_end_of_a_lease_come_back_after_their_use() {
    let mut lender = BudgetLender::new(0, 7, 100, TERM, 500, 64);
    let _ = lender.request(LATER, process(1), id(0, 0), demand(100), LONG);
    let ends = LATER + drift_extended(TERM);
    assert_eq!(
        lender
            .request(ends + 499, process(2), id(0, 0), demand(100), LONG)
            .unwrap()
            .units,
        0
    );
    assert!(
        lender
            .request(ends + 500, process(2), id(0, 0), demand(100), LONG)
            .unwrap()
            .units
            >= 50
    );
}

#[test]
fn a_restarted_node_is_another_borrower() {
    let mut lender = new_lender();
    let old = lender
        .request(LATER, process(1), id(0, 0), demand(100), LONG)
        .unwrap();
    assert_eq!(old.units, 100);
    let new = ProcessId {
        key: 1,
        incarnation: 77,
    };
    assert_eq!(
        lender
            .request(LATER + 10, new, id(0, 0), demand(100), LONG)
            .unwrap()
            .units,
        0
    );
}

#[test]
fn a_smaller_limit_grants_nothing_until_enough_came_back_and_no_lease_outlasts_the_leader() {
    let mut lender = new_lender();
    let lease = lender
        .request(LATER, process(1), id(0, 0), demand(100), LONG)
        .unwrap();
    lender.resize(30);
    assert_eq!(
        lender
            .request(LATER + 1, process(2), id(0, 0), demand(30), LONG)
            .unwrap()
            .units,
        0
    );
    assert_eq!(
        lender
            .request(
                LATER + 2,
                process(1),
                id(7, lease.id.number),
                demand(100),
                LONG
            )
            .unwrap()
            .units,
        15
    );
    assert_eq!(
        lender.request(
            LATER + 3,
            process(1),
            id(7, lease.id.number),
            demand(100),
            LATER + 500
        ),
        None
    );
}

#[test]
fn accounts_are_bounded_and_silent_borrowers_forgotten() {
    let mut lender = BudgetLender::new(0, 7, 100, TERM, 0, 3);
    let granted = (1..=5)
        .filter(|n| {
            lender
                .request(LATER, process(*n), id(0, 0), demand(1), LONG)
                .is_some()
        })
        .count();
    assert_eq!((granted, lender.borrowers()), (3, 3));
    let _ = lender.request(LATER + 20 * TERM, process(1), id(0, 0), demand(1), LONG);
    assert_eq!(lender.borrowers(), 1);
}
