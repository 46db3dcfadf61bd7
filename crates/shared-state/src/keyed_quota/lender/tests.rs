use super::*;
use crate::SECOND;
use crate::keyed_quota::QuotaKind;
use rand::seq::SliceRandom;

fn process(key: u64) -> ProcessId {
    ProcessId {
        key,
        incarnation: key,
    }
}

fn rate(count: u32, burst: u32) -> KeyedQuota {
    let kind = QuotaKind::Rate {
        count,
        period: SECOND,
        burst,
    };
    KeyedQuota {
        name: "r".into(),
        kind,
        floor: 0,
        max_nodes: 10,
    }
}

fn in_flight(limit: u32) -> KeyedQuota {
    KeyedQuota {
        kind: QuotaKind::InFlight {
            limit,
            max_hold: SECOND,
        },
        ..rate(1, 1)
    }
}

fn new_lender(quota: &KeyedQuota) -> QuotaLender {
    QuotaLender::new(
        0,
        std::slice::from_ref(quota),
        QuotaTiming::for_nodes(10),
        1 << 20,
        1,
    )
}

fn request(quota: &KeyedQuota, number: u32, kept: u32, released: u32, wanted: u32) -> QuotaRequest {
    let quota = quota.id();
    QuotaRequest {
        number,
        sent_at: 0,
        keys: vec![KeyRequest {
            quota,
            key: 7,
            kept,
            released,
            wanted,
        }],
    }
}

fn added(grant: Option<QuotaGrant>) -> Option<u32> {
    grant.and_then(|grant| grant.keys.first().map(|key| key.added))
}

#[test]
fn nothing_is_granted_before_earlier_leases_have_expired_and_units_are_created_from_then_on() {
    let quota = rate(10, 20);
    let mut lender = new_lender(&quota);
    assert_eq!(
        lender.request(
            lender.grants_from() - 1,
            process(1),
            &request(&quota, 1, 0, 0, 5)
        ),
        None
    );
    assert_eq!(
        added(lender.request(
            lender.grants_from(),
            process(1),
            &request(&quota, 2, 0, 0, 5)
        )),
        Some(0)
    );
    // A second later nine units have been created, about a tenth of a second apart. They are
    // granted once.
    let later = lender.grants_from() + SECOND;
    assert_eq!(
        added(lender.request(later, process(1), &request(&quota, 3, 0, 0, 50))),
        Some(9)
    );
    assert_eq!(
        added(lender.request(later, process(2), &request(&quota, 1, 0, 0, 50))),
        Some(0)
    );
}

/// Guards against more units than the burst after a long time without requests: leased units count
/// towards the burst.
#[test]
fn free_and_leased_units_stay_within_the_burst() {
    let quota = rate(10, 20);
    let mut lender = new_lender(&quota);
    let now = lender.grants_from() + 100 * SECOND;
    assert_eq!(
        added(lender.request(now, process(1), &request(&quota, 1, 0, 0, 20))),
        Some(20)
    );
    let later = now + SECOND;
    assert_eq!(
        added(lender.request(later, process(2), &request(&quota, 1, 0, 0, 20))),
        Some(0)
    );
    // The first borrower keeps 2 units, has spent 15 and releases 3. The spent units are created
    // again one by one.
    assert_eq!(
        added(lender.request(later, process(1), &request(&quota, 2, 2, 3, 0))),
        Some(0)
    );
    assert_eq!(
        added(lender.request(later, process(2), &request(&quota, 2, 0, 0, 3))),
        Some(3)
    );
    let much_later = later + SECOND / 2;
    assert_eq!(
        added(lender.request(much_later, process(2), &request(&quota, 3, 0, 0, 4))),
        Some(4)
    );
    assert_eq!(
        lender.key_usage(quota.id(), 7),
        Some(KeyUsage {
            free: 0,
            leased: 6,
            demand: 6,
            borrowers: 2
        })
    );
}

/// Guards against granting units of a lost lease too early: they are created anew at the rate, and
/// only from the end of the lease.
#[test]
fn lost_units_are_created_anew_only_after_their_lease_has_expired() {
    let quota = rate(1000, 20);
    let mut lender = new_lender(&quota);
    let now = lender.grants_from() + 100 * SECOND;
    assert_eq!(
        added(lender.request(now, process(1), &request(&quota, 1, 0, 0, 20))),
        Some(20)
    );
    let gone = now + drift_extended(QuotaTiming::for_nodes(10).lease_duration);
    assert_eq!(
        added(lender.request(gone - 1, process(2), &request(&quota, 1, 0, 0, 20))),
        Some(0)
    );
    assert_eq!(
        added(lender.request(gone, process(2), &request(&quota, 2, 0, 0, 20))),
        Some(0)
    );
    assert_eq!(
        added(lender.request(
            gone + SECOND / 100,
            process(2),
            &request(&quota, 3, 0, 0, 20)
        )),
        Some(9)
    );
    // The result is the same without requests in between, because a unit could have been spent at
    // the last moment of its lease.
    let mut lender = new_lender(&quota);
    assert_eq!(
        added(lender.request(now, process(1), &request(&quota, 1, 0, 0, 20))),
        Some(20)
    );
    assert_eq!(
        added(lender.request(
            gone + SECOND / 100,
            process(2),
            &request(&quota, 1, 0, 0, 20)
        )),
        Some(9)
    );
}

#[test]
fn a_request_that_arrives_after_a_later_one_changes_nothing() {
    let quota = rate(10, 20);
    let mut lender = new_lender(&quota);
    let now = lender.grants_from() + 100 * SECOND;
    assert_eq!(
        added(lender.request(now, process(1), &request(&quota, 4, 0, 0, 10))),
        Some(10)
    );
    assert_eq!(
        lender
            .request(now, process(1), &request(&quota, 3, 0, 0, 10))
            .unwrap()
            .keys,
        []
    );
    assert_eq!(
        lender
            .request(now, process(1), &request(&quota, 4, 0, 0, 10))
            .unwrap()
            .keys,
        []
    );
    assert_eq!(
        lender.key_usage(quota.id(), 7),
        Some(KeyUsage {
            free: 10,
            leased: 10,
            demand: 10,
            borrowers: 1
        })
    );
}

#[test]
fn units_in_flight_are_granted_again_only_after_release_or_use_after_expiry() {
    let quota = in_flight(10);
    let mut lender = new_lender(&quota);
    let now = lender.grants_from();
    assert_eq!(
        added(lender.request(now, process(1), &request(&quota, 1, 0, 0, 8))),
        Some(8)
    );
    assert_eq!(
        added(lender.request(now, process(2), &request(&quota, 1, 0, 0, 2))),
        Some(2)
    );
    assert_eq!(
        added(lender.request(now, process(1), &request(&quota, 2, 5, 3, 0))),
        Some(0)
    );
    assert_eq!(
        added(lender.request(now, process(2), &request(&quota, 2, 2, 0, 8))),
        Some(3)
    );
    // The first borrower is gone: its units are free after the lease and the longest use after
    // expiry.
    let gone = now + drift_extended(QuotaTiming::for_nodes(10).lease_duration) + SECOND;
    let renewed = |lender: &mut QuotaLender, no, at| {
        added(lender.request(at, process(2), &request(&quota, no, 5, 0, 5)))
    };
    assert_eq!(renewed(&mut lender, 3, gone - 1), Some(0));
    assert_eq!(renewed(&mut lender, 4, gone), Some(5));
}

/// Guards against one borrower taking all units when they are short: shares are proportional to
/// need, regardless of the order of the requests.
#[test]
fn short_units_are_shared_in_proportion_to_need() {
    let quota = rate(100, 100);
    let mut lender = new_lender(&quota);
    let mut now = lender.grants_from() + 100 * SECOND;
    let (mut got, mut rng) = ([0, 0, 0], Pcg64Mcg::seed_from_u64(1));
    for no in 1..400 {
        now += SECOND / 4;
        let mut turn = [(0, 60), (1, 30), (2, 30)];
        turn.shuffle(&mut rng);
        for (n, needs) in turn {
            let grant = lender.request(now, process(n as u64), &request(&quota, no, 0, 0, needs));
            got[n] += added(grant).unwrap_or(0);
        }
    }
    let all: u32 = got.iter().sum();
    assert!(
        (9200..=10_100).contains(&all),
        "{got:?}: expected 100 per second for 100 s"
    );
    assert!(
        (0.4..=0.6).contains(&(f64::from(got[0]) / f64::from(all))),
        "{got:?}"
    );
    assert!(
        (0.8..=1.25).contains(&(f64::from(got[1]) / f64::from(got[2]))),
        "{got:?}"
    );
}

#[test]
fn memory_is_bounded_and_keys_without_leases_are_forgotten() {
    let quota = rate(10, 20);
    let mut lender = QuotaLender::new(
        0,
        std::slice::from_ref(&quota),
        QuotaTiming::for_nodes(10),
        2 * 100 * KEY_BYTES,
        1,
    );
    let now = lender.grants_from() + 100 * SECOND;
    let one = |key, number| QuotaRequest {
        number,
        sent_at: 0,
        keys: vec![KeyRequest {
            quota: quota.id(),
            key,
            kept: 0,
            released: 0,
            wanted: 1,
        }],
    };
    for key in 0..300 {
        let _ = lender.request(now, process(1), &one(key, key as u32 + 1));
    }
    assert_eq!(
        lender.size(),
        QuotaLenderSize {
            keys: 100,
            leases: 100,
            refused: 200
        }
    );
    for n in 0..100 {
        let _ = lender.request(
            now + 60 * SECOND,
            process(1),
            &one(1000 + n % 3, 1000 + n as u32),
        );
    }
    let QuotaLenderSize { keys, leases, .. } = lender.size();
    assert!(keys <= 4 && leases <= 4, "{:?}", lender.size());
}

#[test]
fn the_units_of_a_borrower_that_leaves_are_free_at_once() {
    let quota = in_flight(4);
    let mut lender = new_lender(&quota);
    let now = lender.grants_from();
    assert_eq!(
        added(lender.request(now, process(1), &request(&quota, 1, 0, 0, 4))),
        Some(4)
    );
    lender.release(now, process(1));
    assert_eq!(
        added(lender.request(now, process(2), &request(&quota, 1, 0, 0, 4))),
        Some(4)
    );
}
