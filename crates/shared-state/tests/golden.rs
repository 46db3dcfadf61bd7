//! Compares payloads with those recorded in `golden/parcels.hex`, because the wire format must not
//! change. Each line of the file is the name of a message and its bytes in hexadecimal.

#![cfg(not(feature = "later"))] // the messages of a later version differ on purpose

use madderpoint_shared_state::counters::heavy_hitters::HeavyHitters;
use madderpoint_shared_state::counters::{self, CounterReport, CounterRows};
use madderpoint_shared_state::keyed_quota::{KeyGrant, KeyRequest, QuotaGrant, QuotaRequest};
use madderpoint_shared_state::messages::{self, ClusterTotals, KnownCounters, SharedMessage};
use madderpoint_shared_state::{
    BudgetRequest, HealthReport, Lease, LeaseId, LimitMessage, ProcessId,
};
use std::collections::BTreeMap;

const RECORDED: &str = include_str!("golden/parcels.hex");
const PROCESS: ProcessId = ProcessId {
    key: 0x0102_0304_0506_0708,
    incarnation: 0x1112_1314_1516_1718,
};
const OTHER_PROCESS: ProcessId = ProcessId {
    key: 0x2122_2324_2526_2728,
    incarnation: 0x3132_3334_3536_3738,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect()
}

/// Returns the name of a message in the recorded file. A new kind needs a name here and an example
/// below.
fn name(message: &SharedMessage) -> &'static str {
    match message {
        SharedMessage::Limits(LimitMessage::VoteRequest { .. }) => "want",
        SharedMessage::Limits(LimitMessage::Vote { .. }) => "word",
        SharedMessage::Limits(LimitMessage::VoteRelease { .. }) => "give-back",
        SharedMessage::Limits(LimitMessage::LeaseRequest { .. }) => "ask",
        SharedMessage::Limits(LimitMessage::LeaseGrant { .. }) => "lend",
        SharedMessage::Limits(LimitMessage::Redirect { .. }) => "elsewhere",
        SharedMessage::Limits(LimitMessage::Leave) => "leave",
        SharedMessage::Limits(LimitMessage::QuotaRequest(_)) => "ask-keys",
        SharedMessage::Limits(LimitMessage::QuotaGrant(_)) => "lend-keys",
        SharedMessage::HealthReports(_) => "evidence",
        SharedMessage::CounterReport(_) => "counts",
        SharedMessage::KnownCounters(_) => "have",
        SharedMessage::TotalsRequest => "ask-sums",
        SharedMessage::ClusterTotals(_) => "sums",
    }
}

fn budget_messages() -> Vec<LimitMessage> {
    let request = |n: u32| BudgetRequest {
        budget: 100 + n,
        held: LeaseId {
            lender: 200 + u64::from(n),
            number: 300,
        },
        units: 400 + n,
        value: 1.5 * f64::from(n),
    };
    let lease = |n: u32| {
        let lease = Lease {
            id: LeaseId {
                lender: 1 << 50,
                number: 51,
            },
            units: 52,
            duration: 5_300_000_000,
            total_demand: 54,
            borrowers: 55,
            pool: n,
        };
        (500 + n, lease)
    };
    vec![
        LimitMessage::VoteRequest { round: 11 },
        LimitMessage::Vote {
            round: 12,
            is_granted: true,
            holder: Some(PROCESS),
            bound_for: 1_300_000_000,
        },
        LimitMessage::Vote {
            round: 14,
            is_granted: false,
            holder: None,
            bound_for: 15,
        },
        LimitMessage::VoteRelease { round: 16 },
        LimitMessage::LeaseRequest {
            sent_at: 17_000_000_000,
            zone: 18,
            requests: vec![request(1), request(2)],
        },
        LimitMessage::LeaseGrant {
            request_sent_at: 19_000_000_000,
            leases: vec![lease(56), lease(57)],
        },
        LimitMessage::Redirect {
            leader: Some(OTHER_PROCESS),
        },
        LimitMessage::Redirect { leader: None },
        LimitMessage::Leave,
    ]
}

fn quota_messages() -> Vec<LimitMessage> {
    let request = |n: u32| KeyRequest {
        quota: 1 << 30 | n,
        key: 1 << 60 | 61,
        kept: 62,
        released: 63 + n,
        wanted: 70,
    };
    let grant = |n: u32| KeyGrant {
        quota: 1 << 29 | n,
        key: 1 << 59 | 71,
        added: 72 + n,
        retry_after: 250_000_000,
    };
    vec![
        LimitMessage::QuotaRequest(QuotaRequest {
            number: 81,
            sent_at: 82_000_000_000,
            keys: vec![request(1), request(2)],
        }),
        LimitMessage::QuotaGrant(QuotaGrant {
            number: 83,
            request_sent_at: 84_000_000_000,
            lease_duration: 85_000_000_000,
            keys: vec![grant(1), grant(2)],
        }),
    ]
}

fn rows(first: u64) -> CounterRows {
    let row = |first: u64| std::array::from_fn(|at| first + at as u64);
    CounterRows::from([
        (counters::PROCESS_ROW, row(first)),
        (0xa1a2_a3a4, row(1 << 40 | first)),
    ])
}

fn window(first: u64, gauges: [u64; 2]) -> counters::CounterWindow {
    let latency = BTreeMap::from([(0xa1a2_a3a4, vec![(31, 32), (400, 33), (90_000, 34)])]);
    let heavy =
        |total| HeavyHitters::from_parts(total, [(1 << 61 | total, 41), (43, 42)].into_iter());
    let heavy = BTreeMap::from([
        (counters::heavy_kind::REPEATERS, heavy(90)),
        (counters::heavy_kind::OVER_QUOTA, heavy(91)),
    ]);
    counters::CounterWindow {
        rows: rows(first),
        latency,
        heavy,
        gauges,
    }
}

fn sample_messages() -> Vec<SharedMessage> {
    let windows = BTreeMap::from([
        (180_000_001, window(120, [12_001, 41])),
        (180_000_002, window(140, [12_002, 42])),
    ]);
    let counter_report = CounterReport {
        process: PROCESS,
        version: 1 << 62 | 91,
        total: rows(160),
        windows,
    };
    let totals = ClusterTotals {
        processes: 92,
        retired: 93,
        total: rows(180),
        last_minute: window(200, [0; 2]), // gauges are not sent in totals
        minute_end_unix_ms: 1_800_000_000_094,
    };
    let report = |n: u32| HealthReport {
        zone: 100 + n,
        calls: 200 + n,
        failed: 30 + n,
        admitted_share: 0.25,
    };
    let mut all: Vec<SharedMessage> = budget_messages()
        .into_iter()
        .chain(quota_messages())
        .map(SharedMessage::Limits)
        .collect();
    all.push(SharedMessage::HealthReports(vec![
        (1 << 58 | 95, report(1)),
        (96, report(2)),
    ]));
    all.push(SharedMessage::CounterReport(Box::new(counter_report)));
    all.push(SharedMessage::KnownCounters(KnownCounters {
        first_key: 97,
        last_key: u64::MAX,
        progress: vec![(PROCESS, 98), (OTHER_PROCESS, 1 << 41)],
    }));
    all.push(SharedMessage::TotalsRequest);
    all.push(SharedMessage::ClusterTotals(Box::new(totals)));
    all
}

#[test]
fn each_message_encodes_to_the_recorded_bytes() {
    let lines: Vec<String> = sample_messages()
        .iter()
        .map(|message| format!("{} {}", name(message), hex(&messages::encode(message))))
        .collect();
    let is_recorded = RECORDED.lines().eq(lines.iter().map(String::as_str));
    assert!(
        is_recorded,
        "the messages differ from the recorded ones; they are now:\n{}\n",
        lines.join("\n")
    );
}

#[test]
fn the_recorded_bytes_decode_to_each_message() {
    let (recorded, messages): (Vec<&str>, _) = (RECORDED.lines().collect(), sample_messages());
    assert_eq!(recorded.len(), messages.len());
    for (line, message) in recorded.iter().zip(messages) {
        let (recorded_name, bytes) = line.split_once(' ').unwrap();
        let read = messages::decode(&unhex(bytes)).unwrap();
        assert_eq!((recorded_name, &read), (name(&message), &message));
        assert_eq!(hex(&messages::encode(&read)), bytes, "{recorded_name}");
    }
}
