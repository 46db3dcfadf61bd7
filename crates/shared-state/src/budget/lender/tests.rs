use super::*;

/// Duration of a lease, in nanoseconds.
const LEASE_DURATION: Nanos = 1000;

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
    BudgetLender::new(0, 7, 100, LEASE_DURATION, 0, 64)
}

/// A time at which the lender has begun to grant.
const GRANTING: Nanos = 5000;
/// End of the leader lease, later than any lease in these tests.
const LEADER_UNTIL: Nanos = 1 << 40;

#[test]
fn nothing_is_granted_until_the_previous_leaders_leases_have_expired() {
    let mut lender = new_lender();
    assert_eq!(
        (
            lender.request(500, process(1), id(0, 0), demand(9), LEADER_UNTIL),
            lender.outstanding(500)
        ),
        (None, 100)
    );
    assert!(
        lender
            .request(1100, process(1), id(0, 0), demand(9), LEADER_UNTIL)
            .is_some()
    );
}

#[test]
fn a_unit_is_granted_again_only_after_its_release_or_the_end_of_its_lease() {
    let mut lender = new_lender();
    let first = lender
        .request(GRANTING, process(1), id(0, 0), demand(100), LEADER_UNTIL)
        .unwrap();
    assert_eq!(first.units, 100);
    // Another borrower is entitled to half, but no unit is free yet.
    assert_eq!(
        lender
            .request(GRANTING, process(2), id(0, 0), demand(100), LEADER_UNTIL)
            .unwrap()
            .units,
        0
    );
    // The first borrower is now granted half, but has not acknowledged the smaller lease.
    let second = lender
        .request(
            GRANTING + 100,
            process(1),
            id(7, first.id.number),
            demand(100),
            LEADER_UNTIL,
        )
        .unwrap();
    assert_eq!(second.units, 50);
    assert_eq!(
        lender
            .request(
                GRANTING + 200,
                process(2),
                id(0, 0),
                demand(100),
                LEADER_UNTIL
            )
            .unwrap()
            .units,
        0
    );
    // The first borrower acknowledges the second lease, and thus uses no other.
    let _ = lender.request(
        GRANTING + 300,
        process(1),
        id(7, second.id.number),
        demand(100),
        LEADER_UNTIL,
    );
    assert_eq!(
        lender
            .request(
                GRANTING + 300,
                process(2),
                id(0, 0),
                demand(100),
                LEADER_UNTIL
            )
            .unwrap()
            .units,
        50
    );
    // From now on the first borrower is silent: its units are free once its lease has expired, and
    // not before.
    let expired_at = GRANTING + 300 + drift_extended(LEASE_DURATION);
    assert_eq!(
        lender
            .request(
                expired_at - 1,
                process(2),
                id(0, 0),
                demand(100),
                LEADER_UNTIL
            )
            .unwrap()
            .units,
        50
    );
    assert_eq!(
        lender
            .request(expired_at, process(2), id(0, 0), demand(100), LEADER_UNTIL)
            .unwrap()
            .units,
        50
    ); // the first borrower is still entitled to half
    assert_eq!(
        lender
            .request(
                expired_at + 5 * LEASE_DURATION,
                process(2),
                id(0, 0),
                demand(100),
                LEADER_UNTIL
            )
            .unwrap()
            .units,
        100
    );
}

/// Guards against freeing units because a borrower reports a lease of another lender, although a
/// lease of this lender may still be on its way to the borrower.
#[test]
fn a_lease_of_another_lender_frees_nothing() {
    let mut lender = new_lender();
    assert_eq!(
        lender
            .request(GRANTING, process(1), id(0, 0), demand(100), LEADER_UNTIL)
            .unwrap()
            .units,
        100
    );
    let _ = lender.request(
        GRANTING + 1,
        process(2),
        id(0, 0),
        demand(100),
        LEADER_UNTIL,
    );
    let _ = lender.request(
        GRANTING + 2,
        process(1),
        id(3, 99),
        demand(100),
        LEADER_UNTIL,
    );
    assert_eq!(
        lender
            .request(
                GRANTING + 3,
                process(2),
                id(3, 99),
                demand(100),
                LEADER_UNTIL
            )
            .unwrap()
            .units,
        0
    );
}

/// Guards against granting units again while calls that were in flight at the end of the lease
/// still use them.
#[test]
fn units_in_use_after_expiry_are_granted_again_only_after_that_use() {
    let mut lender = BudgetLender::new(0, 7, 100, LEASE_DURATION, 500, 64);
    let _ = lender.request(GRANTING, process(1), id(0, 0), demand(100), LEADER_UNTIL);
    let expired_at = GRANTING + drift_extended(LEASE_DURATION);
    assert_eq!(
        lender
            .request(
                expired_at + 499,
                process(2),
                id(0, 0),
                demand(100),
                LEADER_UNTIL
            )
            .unwrap()
            .units,
        0
    );
    assert!(
        lender
            .request(
                expired_at + 500,
                process(2),
                id(0, 0),
                demand(100),
                LEADER_UNTIL
            )
            .unwrap()
            .units
            >= 50
    );
}

#[test]
fn a_restarted_node_is_a_separate_borrower() {
    let mut lender = new_lender();
    let old = lender
        .request(GRANTING, process(1), id(0, 0), demand(100), LEADER_UNTIL)
        .unwrap();
    assert_eq!(old.units, 100);
    let new = ProcessId {
        key: 1,
        incarnation: 77,
    };
    assert_eq!(
        lender
            .request(GRANTING + 10, new, id(0, 0), demand(100), LEADER_UNTIL)
            .unwrap()
            .units,
        0
    );
}

#[test]
fn after_a_lower_limit_grants_wait_for_free_units_and_no_lease_outlasts_the_leader_lease() {
    let mut lender = new_lender();
    let lease = lender
        .request(GRANTING, process(1), id(0, 0), demand(100), LEADER_UNTIL)
        .unwrap();
    lender.resize(30);
    assert_eq!(
        lender
            .request(GRANTING + 1, process(2), id(0, 0), demand(30), LEADER_UNTIL)
            .unwrap()
            .units,
        0
    );
    assert_eq!(
        lender
            .request(
                GRANTING + 2,
                process(1),
                id(7, lease.id.number),
                demand(100),
                LEADER_UNTIL
            )
            .unwrap()
            .units,
        15
    );
    assert_eq!(
        lender.request(
            GRANTING + 3,
            process(1),
            id(7, lease.id.number),
            demand(100),
            GRANTING + 500
        ),
        None
    );
}

#[test]
fn accounts_are_bounded_and_silent_borrowers_are_forgotten() {
    let mut lender = BudgetLender::new(0, 7, 100, LEASE_DURATION, 0, 3);
    let granted = (1..=5)
        .filter(|n| {
            lender
                .request(GRANTING, process(*n), id(0, 0), demand(1), LEADER_UNTIL)
                .is_some()
        })
        .count();
    assert_eq!((granted, lender.borrowers()), (3, 3));
    let _ = lender.request(
        GRANTING + 20 * LEASE_DURATION,
        process(1),
        id(0, 0),
        demand(1),
        LEADER_UNTIL,
    );
    assert_eq!(lender.borrowers(), 1);
}
