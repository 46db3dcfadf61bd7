use super::super::KeyGrant;
use super::*;
use crate::SECOND;
use crate::clock::drift_shortened;
use crate::keyed_quota::{QuotaGrant, QuotaRequest};

fn rate(count: u32, burst: u32, floor: u32) -> KeyedQuota {
    let kind = QuotaKind::Rate {
        count,
        period: SECOND,
        burst,
    };
    KeyedQuota {
        name: "r".into(),
        kind,
        floor,
        max_nodes: 4,
    }
}

fn new_borrower(quota: &KeyedQuota) -> QuotaBorrower {
    QuotaBorrower::new(
        0,
        std::slice::from_ref(quota),
        QuotaTiming::for_nodes(4),
        1 << 20,
        1,
    )
}

fn admits(borrower: &mut QuotaBorrower, now: Nanos, quota: &KeyedQuota, key: u64) -> bool {
    let admitted = borrower.check(now, quota.id(), key).is_ok();
    if admitted {
        borrower.acquire(now, quota.id(), key);
    }
    admitted
}

fn grant(
    borrower: &mut QuotaBorrower,
    now: Nanos,
    request: &QuotaRequest,
    added: u32,
    retry_after: Nanos,
) {
    let keys = request
        .keys
        .iter()
        .map(|k| KeyGrant {
            quota: k.quota,
            key: k.key,
            added,
            retry_after,
        })
        .collect();
    let lease_duration = QuotaTiming::for_nodes(4).lease_duration;
    borrower.receive_grant(
        now,
        &QuotaGrant {
            number: request.number,
            request_sent_at: request.sent_at,
            lease_duration,
            keys,
        },
    );
}

/// The time at which most of these tests begin.
const START: Nanos = 1000 * SECOND;

#[test]
fn without_a_floor_the_first_attempt_gets_a_retry_time_after_which_units_are_granted() {
    let quota = rate(10, 20, 0);
    let mut borrower = new_borrower(&quota);
    let refused = borrower.check(START, quota.id(), 7).unwrap_err();
    assert!(
        refused.reason == RefusalReason::Requested && refused.retry_after <= 100 * MILLISECOND,
        "{refused:?}"
    );
    let due = borrower.next_request_at(START).unwrap();
    assert_eq!(
        (due, borrower.next_request(START)),
        (START + REQUEST_BATCH_DELAY, None)
    );
    let request = borrower.next_request(due).unwrap();
    assert_eq!((request.keys.len(), request.keys[0].wanted > 0), (1, true));
    grant(&mut borrower, due + MILLISECOND, &request, 2, 0);
    let later = START + refused.retry_after;
    assert!(admits(&mut borrower, later, &quota, 7) && admits(&mut borrower, later, &quota, 7));
    assert!(
        !admits(&mut borrower, later, &quota, 7),
        "two units were granted"
    );
    assert!(
        !admits(&mut borrower, later, &quota, 8),
        "another key has no units"
    );
}

#[test]
fn a_lease_is_counted_from_its_request() {
    let quota = rate(10, 20, 0);
    let mut borrower = new_borrower(&quota);
    let _ = borrower.check(START, quota.id(), 7);
    let request = borrower.next_request(START + REQUEST_BATCH_DELAY).unwrap();
    grant(&mut borrower, START + SECOND, &request, 5, 0);
    let until =
        START + REQUEST_BATCH_DELAY + drift_shortened(QuotaTiming::for_nodes(4).lease_duration);
    assert_eq!(
        (
            borrower.units(until - 1, quota.id(), 7),
            borrower.units(until, quota.id(), 7)
        ),
        (5, 0)
    );
}

/// Guards against counting units twice: the lender acts on the latest request, so a grant for an
/// earlier request, or a duplicate grant, must not add units.
#[test]
fn only_the_first_grant_for_the_latest_request_is_applied() {
    let quota = rate(10, 20, 0);
    let mut borrower = new_borrower(&quota);
    let _ = borrower.check(START, quota.id(), 7);
    let first = borrower.next_request(START + REQUEST_BATCH_DELAY).unwrap();
    let _ = borrower.check(START + SECOND, quota.id(), 7);
    let second = borrower
        .next_request(START + SECOND + REQUEST_BATCH_DELAY)
        .unwrap();
    grant(
        &mut borrower,
        START + SECOND + 2 * REQUEST_BATCH_DELAY,
        &first,
        5,
        0,
    );
    assert_eq!(borrower.units(START + 2 * SECOND, quota.id(), 7), 0);
    grant(
        &mut borrower,
        START + SECOND + 2 * REQUEST_BATCH_DELAY,
        &second,
        3,
        0,
    );
    grant(
        &mut borrower,
        START + SECOND + 2 * REQUEST_BATCH_DELAY,
        &second,
        3,
        0,
    ); // a duplicate
    assert_eq!(borrower.units(START + 2 * SECOND, quota.id(), 7), 3);
}

#[test]
fn a_node_that_is_cut_off_has_its_floor_and_reports_a_silent_lender() {
    let quota = rate(32, 20, 2);
    let mut borrower = new_borrower(&quota);
    // Of 32 units per second, a sixteenth is created as floors of four nodes: one unit every two
    // seconds per node, plus two saved up.
    let admitted = (0..200)
        .filter(|n| admits(&mut borrower, START + n * 100 * MILLISECOND, &quota, 7))
        .count();
    assert!((10..=12).contains(&admitted), "{admitted} in 20 s");
    for n in 0..200 {
        let _ = borrower.next_request(START + n * 100 * MILLISECOND);
    }
    let now = START + 20 * SECOND;
    let _ = (
        borrower.check(now, quota.id(), 7),
        borrower.next_request(now + SECOND),
    );
    let refused = borrower.check(now + SECOND, quota.id(), 7);
    assert!(
        refused.is_ok()
            || refused
                .is_err_and(|r| r.reason == RefusalReason::LenderSilent
                    && r.retry_after <= 2200 * MILLISECOND)
    );
}

/// Guards against restarts that create units: floors must be empty at the start.
#[test]
fn a_restarted_node_has_an_empty_floor() {
    let quota = rate(32, 20, 2);
    let mut borrower = QuotaBorrower::new(
        START,
        std::slice::from_ref(&quota),
        QuotaTiming::for_nodes(4),
        1 << 20,
        1,
    );
    assert!(
        !admits(&mut borrower, START, &quota, 7)
            && !admits(&mut borrower, START + SECOND, &quota, 9)
    );
    assert!(admits(&mut borrower, START + 3 * SECOND, &quota, 11));
}

#[test]
fn an_exhausted_key_returns_a_retry_time_and_is_not_requested_before() {
    let quota = rate(10, 20, 0);
    let mut borrower = new_borrower(&quota);
    let _ = borrower.check(START, quota.id(), 7);
    let request = borrower.next_request(START + REQUEST_BATCH_DELAY).unwrap();
    grant(
        &mut borrower,
        START + 20 * MILLISECOND,
        &request,
        0,
        500 * MILLISECOND,
    );
    let refused = borrower
        .check(START + 120 * MILLISECOND, quota.id(), 7)
        .unwrap_err();
    assert_eq!(
        refused,
        QuotaExceeded {
            reason: RefusalReason::Exhausted,
            retry_after: 400 * MILLISECOND
        }
    );
    assert_eq!(borrower.next_request(START + 300 * MILLISECOND), None);
    let _ = borrower.check(START + 520 * MILLISECOND, quota.id(), 7);
    assert!(borrower.next_request(START + 540 * MILLISECOND).is_some());
}

#[test]
fn unneeded_units_are_released_and_idle_keys_are_forgotten() {
    let quota = rate(1000, 2000, 0);
    let mut borrower = new_borrower(&quota);
    let _ = borrower.check(START, quota.id(), 7);
    let request = borrower.next_request(START + REQUEST_BATCH_DELAY).unwrap();
    grant(&mut borrower, START + 20 * MILLISECOND, &request, 100, 0);
    assert!(admits(&mut borrower, START + 30 * MILLISECOND, &quota, 7));
    let (mut now, mut released, mut kept) = (START, 0, u32::MAX);
    for _ in 0..200 {
        now += 200 * MILLISECOND;
        if let Some(request) = borrower.next_request(now) {
            released += request.keys[0].released;
            kept = request.keys[0].kept;
            grant(&mut borrower, now, &request, 0, 0);
        }
    }
    assert_eq!(
        (released, kept, borrower.tracked_keys()),
        (99, 0, 0),
        "one of the 100 units was spent"
    );
}

#[test]
fn units_in_flight_are_reported_as_kept_after_their_lease_has_expired() {
    let kind = QuotaKind::InFlight {
        limit: 10,
        max_hold: SECOND,
    };
    let quota = KeyedQuota {
        kind,
        ..rate(1, 1, 1)
    };
    let mut borrower = new_borrower(&quota);
    assert!(admits(&mut borrower, START, &quota, 7) && !admits(&mut borrower, START, &quota, 7));
    let request = borrower.next_request(START + REQUEST_BATCH_DELAY).unwrap();
    grant(&mut borrower, START + REQUEST_BATCH_DELAY, &request, 2, 0);
    assert!(
        admits(&mut borrower, START + REQUEST_BATCH_DELAY, &quota, 7)
            && admits(&mut borrower, START + REQUEST_BATCH_DELAY, &quota, 7)
    );
    assert!(!admits(
        &mut borrower,
        START + REQUEST_BATCH_DELAY,
        &quota,
        7
    ));
    // The lease has expired while three units are in flight. Two of them are beyond the floor and
    // are reported as kept.
    let late = START + 20 * SECOND;
    assert!(!admits(&mut borrower, late, &quota, 7));
    let request = (0..20)
        .find_map(|n| borrower.next_request(late + n * SECOND))
        .unwrap();
    assert_eq!(request.keys[0].kept, 2);
    (0..3).for_each(|_| borrower.release(quota.id(), 7));
    assert_eq!(borrower.in_flight(quota.id(), 7), 0);
    assert!(borrower.drop_leases());
}

#[test]
fn keys_are_bounded_and_eviction_makes_no_limit_more_lenient() {
    let quota = rate(32, 20, 1);
    let mut borrower = QuotaBorrower::new(
        0,
        std::slice::from_ref(&quota),
        QuotaTiming::for_nodes(4),
        64 * KEY_STATE_BYTES,
        1,
    );
    assert!(admits(&mut borrower, START, &quota, 7));
    let admitted = (100..400)
        .filter(|key| admits(&mut borrower, START, &quota, *key))
        .count();
    assert!(
        borrower.tracked_keys() <= 56 && admitted > 100,
        "{} {admitted}",
        borrower.tracked_keys()
    );
    assert!(
        !admits(&mut borrower, START, &quota, 7),
        "the floor of the evicted key is still used up"
    );
}
