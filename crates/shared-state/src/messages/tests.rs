use super::wire::Keys;
use super::*;
use crate::counters::heavy_hitters::HeavyHitters;
use crate::counters::{self, COLUMNS};
use crate::keyed_quota::{KEYS_ASKED, KeyGrant, KeyRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

fn all() -> Vec<ReceivedMessage> {
    let someone = ProcessId {
        key: 1 << 60,
        life: 77,
    };
    let part = Lease {
        book: 9,
        no: 3,
        units: 40,
        term: 1_500_000_000,
        wanted: 90,
        borrowers: 3,
        pool: 60,
    };
    let want = BudgetRequest {
        budget: 2,
        holds: (9, 2),
        units: 7,
        value: 1.5,
    };
    let budgets = [
        Message::BudgetRequest { no: 4 },
        Message::CounterReport {
            no: 4,
            given: true,
            holder: Some(someone),
            left: 0,
        },
        Message::CounterReport {
            no: 4,
            given: false,
            holder: None,
            left: 9,
        },
        Message::GiveBack { no: 4 },
        Message::Ask {
            stamp: 12,
            zone: 3,
            wants: vec![want, BudgetRequest { budget: 0, ..want }],
        },
        Message::Lend {
            stamp: 12,
            parts: vec![(2, part)],
        },
        Message::Elsewhere {
            lender: Some(someone),
        },
        Message::Leave,
        Message::AskKeys(QuotaRequest {
            no: 7,
            stamp: 12,
            keys: vec![
                KeyRequest {
                    budget: 5,
                    key: 1 << 50,
                    left: 0,
                    back: 300,
                    wants: 2
                };
                2
            ],
        }),
        Message::LendKeys(QuotaGrant {
            no: 7,
            stamp: 12,
            life: 3_000_000_000,
            keys: vec![KeyGrant {
                budget: 5,
                key: 1 << 50,
                adds: 4,
                wait: 250_000_000,
            }],
        }),
    ];
    let mut told: Vec<ReceivedMessage> =
        budgets.into_iter().map(ReceivedMessage::Budgets).collect();
    let rows = CounterRows::from([(7, [1, 0, 300, 0, 0, 9, 1 << 40, 0]), (0, [3; COLUMNS])]);
    let latency = BTreeMap::from([(7, vec![(3, 1), (200, 4), (90_000, 1)])]);
    let heavy = BTreeMap::from([(0, HeavyHitters::of(30, [(5, 9), (1 << 60, 8)].into_iter()))]);
    let window = counters::CounterWindow {
        rows: rows.clone(),
        latency,
        heavy,
        gauges: [12_000, 40],
    };
    let windows = BTreeMap::from([(180_000_000, window.clone())]);
    told.push(ReceivedMessage::ClusterCounters(Box::new(CounterReport {
        who: someone,
        label: 77,
        total: rows.clone(),
        windows,
    })));
    told.push(ReceivedMessage::KnownCounters(KnownCounters {
        from: 0,
        to: u64::MAX,
        marks: vec![(someone, 12), (ProcessId::default(), 0)],
    }));
    told.push(ReceivedMessage::AskSums);
    let minute = counters::CounterWindow {
        gauges: [0; 2],
        ..window
    };
    let sums = ClusterTotals {
        processes: 3,
        gone: 1,
        total: rows,
        minute,
        until_ms: 1 << 40,
    };
    told.push(ReceivedMessage::ClusterTotals(Box::new(sums)));
    let evidence = HealthReport {
        zone: 1,
        tries: 20,
        failed: 3,
        level: 0.25,
    };
    told.push(ReceivedMessage::HealthReport(vec![(5, evidence)]));
    told
}

#[test]
fn what_is_told_is_read_as_it_was_meant() {
    for told in all() {
        let bytes = write(&told);
        assert!(bytes.len() < 300, "{told:?}");
        assert_eq!(read(&bytes), Some(told));
    }
}

#[test]
fn the_largest_question_about_keys_fits_a_parcel_and_lists_that_differ_are_refused() {
    let key = KeyRequest {
        budget: u32::MAX,
        key: u64::MAX,
        left: 1 << 20,
        back: 1 << 20,
        wants: 1 << 20,
    };
    let keys = vec![key; KEYS_ASKED];
    let bytes = write(&ReceivedMessage::Budgets(Message::AskKeys(QuotaRequest {
        no: 1,
        stamp: 1 << 60,
        keys,
    })));
    assert!(
        bytes.len() <= PARCEL_MAX && read(&bytes).is_some(),
        "{}",
        bytes.len()
    );
    let keys = Some(Keys {
        budgets: vec![1],
        keys: vec![1, 2],
        ..Keys::default()
    });
    assert_eq!(
        read(
            &Parcel {
                kind: 10,
                keys,
                ..Parcel::default()
            }
            .encode_to_vec()
        ),
        None
    );
}

/// A word of many operations is cut into parts that fit, and whoever hears all of them has the
/// whole.
#[test]
fn words_that_don_t_fit_are_cut_and_add_up_again() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut tally = counters::ProcessCounters::new(1 << 40);
    for n in 0..20_000u64 {
        let (unix, row) = ((1 << 40) + n * 3, rng.random_range(1..14));
        tally.add(
            unix,
            row,
            rng.random_range(0..COLUMNS),
            rng.random_range(0..1 << 30),
        );
        tally.took(unix, row, rng.random_range(1_000_000..2_000_000_000));
        tally.heavy(unix, rng.random_range(0..3), rng.random_range(0..200));
    }
    let word = tally.word(ProcessId { key: 5, life: 6 }, 9, 3);
    let (mut whole, mut parts) = (
        counters::ClusterCounters::new(4),
        counters::ClusterCounters::new(4),
    );
    whole.hear(0, &word);
    let cut = split(&word);
    assert!(cut.len() > 10, "{}", cut.len());
    for part in cut {
        let bytes = write(&ReceivedMessage::ClusterCounters(Box::new(part)));
        assert!(bytes.len() <= PARCEL_MAX, "{}", bytes.len());
        let Some(ReceivedMessage::ClusterCounters(read)) = read(&bytes) else {
            panic!("counts")
        };
        parts.hear(0, &read);
    }
    assert_eq!(whole.word(word.who), parts.word(word.who));
    let minute = whole.lately(u64::MAX, u64::MAX, |_, _| true);
    let sums = ClusterTotals {
        processes: 1,
        gone: 0,
        total: whole.total(),
        minute,
        until_ms: 1,
    };
    assert!(write(&ReceivedMessage::ClusterTotals(Box::new(sums))).len() <= PARCEL_MAX);
}

#[test]
fn a_later_version_is_read_as_far_as_it_is_known() {
    let mut bytes = write(&ReceivedMessage::Budgets(Message::BudgetRequest { no: 4 }));
    bytes.extend([0xfa, 0x01, 0x01, b'x']); // a field 31
    assert_eq!(
        read(&bytes),
        Some(ReceivedMessage::Budgets(Message::BudgetRequest { no: 4 }))
    );
    assert_eq!(
        read(
            &Parcel {
                kind: 40,
                ..Parcel::default()
            }
            .encode_to_vec()
        ),
        None
    );
}

#[test]
fn values_that_make_no_sense_are_taken_for_ones_that_do() {
    let wild = ReceivedMessage::HealthReport(vec![
        (
            5,
            HealthReport {
                zone: 1,
                tries: 2,
                failed: 9,
                level: 7.0,
            },
        ),
        (
            6,
            HealthReport {
                zone: 1,
                tries: 2,
                failed: 0,
                level: f64::NAN,
            },
        ),
    ]);
    let Some(ReceivedMessage::HealthReport(read)) = read(&write(&wild)) else {
        panic!("evidence")
    };
    assert_eq!((read.len(), read[0].1.failed, read[0].1.level), (1, 2, 1.0));
}

#[test]
fn every_cut_and_bit_is_read_or_refused() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for told in all() {
        let bytes = write(&told);
        for at in 0..bytes.len() {
            let _ = read(&bytes[..at]);
            for bit in 0..8 {
                let mut bytes = bytes.clone();
                bytes[at] ^= 1 << bit;
                let _ = read(&bytes);
            }
        }
    }
    for _ in 0..2000 {
        let noise: Vec<u8> = (0..rng.random_range(0..300))
            .map(|_| rng.random())
            .collect();
        let _ = read(&noise);
    }
}
