//! The parcels as recorded in `golden/parcels.hex`: wire formats must stay byte for byte alike. A
//! line there is the name of a message and its bytes.

#![cfg(not(feature = "later"))] // a later version's messages differ on purpose

use madderpoint_shared_state::counters::heavy_hitters::HeavyHitters;
use madderpoint_shared_state::counters::{self, CounterReport, CounterRows};
use madderpoint_shared_state::keyed_quota::{KeyGrant, KeyRequest, QuotaGrant, QuotaRequest};
use madderpoint_shared_state::messages::{self, ClusterTotals, KnownCounters, ReceivedMessage};
use madderpoint_shared_state::{BudgetRequest, HealthReport, Lease, Message, ProcessId};
use std::collections::BTreeMap;

const RECORDED: &str = include_str!("golden/parcels.hex");
const SOMEONE: ProcessId = ProcessId {
    key: 0x0102_0304_0506_0708,
    life: 0x1112_1314_1516_1718,
};
const OTHER: ProcessId = ProcessId {
    key: 0x2122_2324_2526_2728,
    life: 0x3132_3334_3536_3738,
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

/// A message's name; a kind that is new needs one here and an example below.
fn name(told: &ReceivedMessage) -> &'static str {
    match told {
        ReceivedMessage::Budgets(Message::BudgetRequest { .. }) => "want",
        ReceivedMessage::Budgets(Message::CounterReport { .. }) => "word",
        ReceivedMessage::Budgets(Message::GiveBack { .. }) => "give-back",
        ReceivedMessage::Budgets(Message::Ask { .. }) => "ask",
        ReceivedMessage::Budgets(Message::Lend { .. }) => "lend",
        ReceivedMessage::Budgets(Message::Elsewhere { .. }) => "elsewhere",
        ReceivedMessage::Budgets(Message::Leave) => "leave",
        ReceivedMessage::Budgets(Message::AskKeys(_)) => "ask-keys",
        ReceivedMessage::Budgets(Message::LendKeys(_)) => "lend-keys",
        ReceivedMessage::HealthReport(_) => "evidence",
        ReceivedMessage::ClusterCounters(_) => "counts",
        ReceivedMessage::KnownCounters(_) => "have",
        ReceivedMessage::AskSums => "ask-sums",
        ReceivedMessage::ClusterTotals(_) => "sums",
    }
}

fn budgets() -> Vec<Message> {
    let want = |n: u32| BudgetRequest {
        budget: 100 + n,
        holds: (200 + u64::from(n), 300),
        units: 400 + n,
        value: 1.5 * f64::from(n),
    };
    let part = |n: u32| {
        let part = Lease {
            book: 1 << 50,
            no: 51,
            units: 52,
            term: 5_300_000_000,
            wanted: 54,
            borrowers: 55,
            pool: n,
        };
        (500 + n, part)
    };
    vec![
        Message::BudgetRequest { no: 11 },
        Message::CounterReport {
            no: 12,
            given: true,
            holder: Some(SOMEONE),
            left: 1_300_000_000,
        },
        Message::CounterReport {
            no: 14,
            given: false,
            holder: None,
            left: 15,
        },
        Message::GiveBack { no: 16 },
        Message::Ask {
            stamp: 17_000_000_000,
            zone: 18,
            wants: vec![want(1), want(2)],
        },
        Message::Lend {
            stamp: 19_000_000_000,
            parts: vec![part(56), part(57)],
        },
        Message::Elsewhere {
            lender: Some(OTHER),
        },
        Message::Elsewhere { lender: None },
        Message::Leave,
    ]
}

fn keyed() -> Vec<Message> {
    let ask = |n: u32| KeyRequest {
        budget: 1 << 30 | n,
        key: 1 << 60 | 61,
        left: 62,
        back: 63 + n,
        wants: 70,
    };
    let lent = |n: u32| KeyGrant {
        budget: 1 << 29 | n,
        key: 1 << 59 | 71,
        adds: 72 + n,
        wait: 250_000_000,
    };
    vec![
        Message::AskKeys(QuotaRequest {
            no: 81,
            stamp: 82_000_000_000,
            keys: vec![ask(1), ask(2)],
        }),
        Message::LendKeys(QuotaGrant {
            no: 83,
            stamp: 84_000_000_000,
            life: 85_000_000_000,
            keys: vec![lent(1), lent(2)],
        }),
    ]
}

fn rows(first: u64) -> CounterRows {
    let row = |first: u64| std::array::from_fn(|at| first + at as u64);
    CounterRows::from([
        (counters::OWN, row(first)),
        (0xa1a2_a3a4, row(1 << 40 | first)),
    ])
}

fn window(first: u64, gauges: [u64; 2]) -> counters::CounterWindow {
    let latency = BTreeMap::from([(0xa1a2_a3a4, vec![(31, 32), (400, 33), (90_000, 34)])]);
    let heavy = |total| HeavyHitters::of(total, [(1 << 61 | total, 41), (43, 42)].into_iter());
    let heavy = BTreeMap::from([
        (counters::heavy_kind::REPEATERS, heavy(90)),
        (counters::heavy_kind::OVER_LIMIT, heavy(91)),
    ]);
    counters::CounterWindow {
        rows: rows(first),
        latency,
        heavy,
        gauges,
    }
}

fn all() -> Vec<ReceivedMessage> {
    let windows = BTreeMap::from([
        (180_000_001, window(120, [12_001, 41])),
        (180_000_002, window(140, [12_002, 42])),
    ]);
    let word = CounterReport {
        who: SOMEONE,
        label: 1 << 62 | 91,
        total: rows(160),
        windows,
    };
    let sums = ClusterTotals {
        processes: 92,
        gone: 93,
        total: rows(180),
        minute: window(200, [0; 2]), // gauges are not told
        until_ms: 1_800_000_000_094,
    };
    let evidence = |n: u32| HealthReport {
        zone: 100 + n,
        tries: 200 + n,
        failed: 30 + n,
        level: 0.25,
    };
    let mut all: Vec<ReceivedMessage> = budgets()
        .into_iter()
        .chain(keyed())
        .map(ReceivedMessage::Budgets)
        .collect();
    all.push(ReceivedMessage::HealthReport(vec![
        (1 << 58 | 95, evidence(1)),
        (96, evidence(2)),
    ]));
    all.push(ReceivedMessage::ClusterCounters(Box::new(word)));
    all.push(ReceivedMessage::KnownCounters(KnownCounters {
        from: 97,
        to: u64::MAX,
        marks: vec![(SOMEONE, 98), (OTHER, 1 << 41)],
    }));
    all.push(ReceivedMessage::AskSums);
    all.push(ReceivedMessage::ClusterTotals(Box::new(sums)));
    all
}

#[test]
fn each_message_encodes_to_the_recorded_bytes() {
    let lines: Vec<String> = all()
        .iter()
        .map(|told| format!("{} {}", name(told), hex(&messages::write(told))))
        .collect();
    let is_recorded = RECORDED.lines().eq(lines.iter().map(String::as_str));
    assert!(
        is_recorded,
        "not as recorded; the messages are now:\n{}\n",
        lines.join("\n")
    );
}

#[test]
fn the_recorded_bytes_are_read_as_each_message() {
    let (recorded, all): (Vec<&str>, _) = (RECORDED.lines().collect(), all());
    assert_eq!(recorded.len(), all.len());
    for (line, told) in recorded.iter().zip(all) {
        let (recorded_name, bytes) = line.split_once(' ').unwrap();
        let read = messages::read(&unhex(bytes)).unwrap();
        assert_eq!((recorded_name, &read), (name(&told), &told));
        assert_eq!(hex(&messages::write(&read)), bytes, "{recorded_name}");
    }
}
