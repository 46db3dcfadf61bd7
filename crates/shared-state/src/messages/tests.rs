use super::wire::Keys;
use super::*;
use crate::budget::LeaseId;
use crate::counters::heavy_hitters::HeavyHitters;
use crate::counters::{self, COLUMNS};
use crate::keyed_quota::{KeyGrant, KeyRequest, MAX_KEYS_PER_REQUEST};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

fn sample_messages() -> Vec<SharedMessage> {
    let process = ProcessId {
        key: 1 << 60,
        incarnation: 77,
    };
    let lease = Lease {
        id: LeaseId {
            lender: 9,
            number: 3,
        },
        units: 40,
        duration: 1_500_000_000,
        total_demand: 90,
        borrowers: 3,
        pool: 60,
    };
    let request = BudgetRequest {
        budget: 2,
        held: LeaseId {
            lender: 9,
            number: 2,
        },
        units: 7,
        value: 1.5,
    };
    let budgets = [
        LimitMessage::VoteRequest { round: 4 },
        LimitMessage::Vote {
            round: 4,
            is_granted: true,
            holder: Some(process),
            bound_for: 0,
        },
        LimitMessage::Vote {
            round: 4,
            is_granted: false,
            holder: None,
            bound_for: 9,
        },
        LimitMessage::VoteRelease { round: 4 },
        LimitMessage::LeaseRequest {
            sent_at: 12,
            zone: 3,
            requests: vec![
                request,
                BudgetRequest {
                    budget: 0,
                    ..request
                },
            ],
        },
        LimitMessage::LeaseGrant {
            request_sent_at: 12,
            leases: vec![(2, lease)],
        },
        LimitMessage::Redirect {
            leader: Some(process),
        },
        LimitMessage::Leave,
        LimitMessage::QuotaRequest(QuotaRequest {
            number: 7,
            sent_at: 12,
            keys: vec![
                KeyRequest {
                    quota: 5,
                    key: 1 << 50,
                    kept: 0,
                    released: 300,
                    wanted: 2
                };
                2
            ],
        }),
        LimitMessage::QuotaGrant(QuotaGrant {
            number: 7,
            request_sent_at: 12,
            lease_duration: 3_000_000_000,
            keys: vec![KeyGrant {
                quota: 5,
                key: 1 << 50,
                added: 4,
                retry_after: 250_000_000,
            }],
        }),
    ];
    let mut messages: Vec<SharedMessage> = budgets.into_iter().map(SharedMessage::Limits).collect();
    let rows = CounterRows::from([(7, [1, 0, 300, 0, 0, 9, 1 << 40, 0]), (0, [3; COLUMNS])]);
    let latency = BTreeMap::from([(7, vec![(3, 1), (200, 4), (90_000, 1)])]);
    let heavy = BTreeMap::from([(
        0,
        HeavyHitters::from_parts(30, [(5, 9), (1 << 60, 8)].into_iter()),
    )]);
    let window = counters::CounterWindow {
        rows: rows.clone(),
        latency,
        heavy,
        gauges: [12_000, 40],
    };
    let windows = BTreeMap::from([(180_000_000, window.clone())]);
    messages.push(SharedMessage::CounterReport(Box::new(CounterReport {
        process,
        version: 77,
        total: rows.clone(),
        windows,
    })));
    messages.push(SharedMessage::KnownCounters(KnownCounters {
        first_key: 0,
        last_key: u64::MAX,
        progress: vec![(process, 12), (ProcessId::default(), 0)],
    }));
    messages.push(SharedMessage::TotalsRequest);
    let minute = counters::CounterWindow {
        gauges: [0; 2],
        ..window
    };
    let totals = ClusterTotals {
        processes: 3,
        retired: 1,
        total: rows,
        last_minute: minute,
        minute_end_unix_ms: 1 << 40,
    };
    messages.push(SharedMessage::ClusterTotals(Box::new(totals)));
    let report = HealthReport {
        zone: 1,
        calls: 20,
        failed: 3,
        admitted_share: 0.25,
    };
    messages.push(SharedMessage::HealthReports(vec![(5, report)]));
    messages
}

#[test]
fn messages_decode_to_what_was_encoded() {
    for message in sample_messages() {
        let bytes = encode(&message);
        assert!(bytes.len() < 300, "{message:?}");
        assert_eq!(decode(&bytes), Some(message));
    }
}

#[test]
fn the_largest_quota_request_fits_a_payload_and_unequal_lists_are_refused() {
    let key = KeyRequest {
        quota: u32::MAX,
        key: u64::MAX,
        kept: 1 << 20,
        released: 1 << 20,
        wanted: 1 << 20,
    };
    let keys = vec![key; MAX_KEYS_PER_REQUEST];
    let bytes = encode(&SharedMessage::Limits(LimitMessage::QuotaRequest(
        QuotaRequest {
            number: 1,
            sent_at: 1 << 60,
            keys,
        },
    )));
    assert!(
        bytes.len() <= MAX_PAYLOAD_BYTES && decode(&bytes).is_some(),
        "{}",
        bytes.len()
    );
    let keys = Some(Keys {
        quotas: vec![1],
        keys: vec![1, 2],
        ..Keys::default()
    });
    assert_eq!(
        decode(
            &Payload {
                kind: 10,
                keys,
                ..Payload::default()
            }
            .encode_to_vec()
        ),
        None
    );
}

/// Guards against parts of a large report that exceed a payload, and against a receiver of all
/// parts that does not get the whole report.
#[test]
fn large_reports_are_split_and_merge_to_the_whole() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut counters_of_process = counters::ProcessCounters::new(1 << 40);
    for n in 0..20_000u64 {
        let (unix, row) = ((1 << 40) + n * 3, rng.random_range(1..14));
        counters_of_process.add(
            unix,
            row,
            rng.random_range(0..COLUMNS),
            rng.random_range(0..1 << 30),
        );
        counters_of_process.record_latency(unix, row, rng.random_range(1_000_000..2_000_000_000));
        counters_of_process.record_key(unix, rng.random_range(0..3), rng.random_range(0..200));
    }
    let report = counters_of_process.report(
        ProcessId {
            key: 5,
            incarnation: 6,
        },
        9,
        3,
    );
    let (mut whole, mut parts) = (
        counters::ClusterCounters::new(4),
        counters::ClusterCounters::new(4),
    );
    whole.merge(0, &report);
    let split = split_report(&report);
    assert!(split.len() > 10, "{}", split.len());
    for part in split {
        let bytes = encode(&SharedMessage::CounterReport(Box::new(part)));
        assert!(bytes.len() <= MAX_PAYLOAD_BYTES, "{}", bytes.len());
        let Some(SharedMessage::CounterReport(read)) = decode(&bytes) else {
            panic!("a part decodes to a counter report")
        };
        parts.merge(0, &read);
    }
    assert_eq!(whole.report(report.process), parts.report(report.process));
    let minute = whole.recent(u64::MAX, u64::MAX, |_, _| true);
    let totals = ClusterTotals {
        processes: 1,
        retired: 0,
        total: whole.total(),
        last_minute: minute,
        minute_end_unix_ms: 1,
    };
    assert!(encode(&SharedMessage::ClusterTotals(Box::new(totals))).len() <= MAX_PAYLOAD_BYTES);
}

#[test]
fn unknown_fields_are_ignored_and_unknown_kinds_are_refused() {
    let mut bytes = encode(&SharedMessage::Limits(LimitMessage::VoteRequest {
        round: 4,
    }));
    bytes.extend([0xfa, 0x01, 0x01, b'x']); // the unknown field 31
    assert_eq!(
        decode(&bytes),
        Some(SharedMessage::Limits(LimitMessage::VoteRequest {
            round: 4
        }))
    );
    assert_eq!(
        decode(
            &Payload {
                kind: 40,
                ..Payload::default()
            }
            .encode_to_vec()
        ),
        None
    );
}

#[test]
fn values_out_of_bounds_are_clamped_or_refused() {
    let out_of_bounds = SharedMessage::HealthReports(vec![
        (
            5,
            HealthReport {
                zone: 1,
                calls: 2,
                failed: 9,
                admitted_share: 7.0,
            },
        ),
        (
            6,
            HealthReport {
                zone: 1,
                calls: 2,
                failed: 0,
                admitted_share: f64::NAN,
            },
        ),
    ]);
    let Some(SharedMessage::HealthReports(read)) = decode(&encode(&out_of_bounds)) else {
        panic!("health reports decode to health reports")
    };
    assert_eq!(
        (read.len(), read[0].1.failed, read[0].1.admitted_share),
        (1, 2, 1.0)
    );
}

#[test]
fn every_truncation_and_bit_flip_is_decoded_or_refused() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for message in sample_messages() {
        let bytes = encode(&message);
        for at in 0..bytes.len() {
            let _ = decode(&bytes[..at]);
            for bit in 0..8 {
                let mut bytes = bytes.clone();
                bytes[at] ^= 1 << bit;
                let _ = decode(&bytes);
            }
        }
    }
    for _ in 0..2000 {
        let noise: Vec<u8> = (0..rng.random_range(0..300))
            .map(|_| rng.random())
            .collect();
        let _ = decode(&noise);
    }
}
