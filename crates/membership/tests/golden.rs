//! Datagrams recorded in `golden/datagrams.hex`: the wire format must not change in any byte. Each
//! line of that file holds the name of a message, its form (plain or sealed) and its bytes.

#![cfg(not(feature = "later"))] // messages of a later version differ on purpose

use madderpoint_membership::datagram_auth::{AuthKeys, DatagramAuth};
use madderpoint_membership::member::{Attachment, Incarnation, MemberDetails, Phase};
use madderpoint_membership::messages::{
    ChangeEvent, CounterMessage, Datagram, MemberUpdate, NodeReport, Range, Summary, kind,
};
use prost::Message;
use std::net::SocketAddr;

const RECORDED: &str = include_str!("golden/datagrams.hex");
const UNIX_MS: u64 = 1_800_000_000_123;
const SENDER: Incarnation = Incarnation(0x0102_0304_0506_0708);

fn auth(incarnation: Incarnation) -> DatagramAuth {
    let keys = AuthKeys::new(&[(0..32).collect(), vec![0xa5; 16]]).unwrap();
    DatagramAuth::new("golden", keys, incarnation, 600_000_000_000, 9)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect()
}

fn details(address: &str, phase: Phase) -> MemberDetails {
    let attachments = vec![
        Attachment {
            id: 21,
            version: 22,
            bytes: vec![23, 24],
        },
        Attachment {
            id: 25,
            version: 26,
            bytes: vec![27, 28, 29],
        },
    ];
    let address: SocketAddr = address.parse().unwrap();
    MemberDetails::new(
        address,
        "zone-a",
        phase,
        "1.2.3",
        (3, 4),
        (500, 0x0600_0000_0000_0007),
        attachments,
    )
    .unwrap()
}

fn updates() -> Vec<MemberUpdate> {
    let v4 = details("192.0.2.1:7946", Phase::Draining);
    let v6 = details("[2001:db8::7]:7947", Phase::Serving);
    let full = MemberUpdate {
        key: 0x1112_1314_1516_1718,
        started_unix_ms: 1_700_000_000_001,
        incarnation: 0x2122_2324_2526_2728,
        refutation: 31,
        liveness: 1,
        revision: 32,
        name: "node-1".into(),
        details: v4.encoded().to_vec(),
        suspected_by: 0x3132_3334_3536_3738,
    };
    let other = MemberUpdate {
        key: 41,
        liveness: 3,
        name: "node-2".into(),
        details: v6.encoded().to_vec(),
        ..full.clone()
    };
    let header_update = MemberUpdate {
        key: 42,
        liveness: 2,
        name: String::new(),
        details: vec![],
        suspected_by: 0,
        ..full.clone()
    };
    vec![full, other, header_update]
}

fn report() -> NodeReport {
    NodeReport {
        name: "node-3".into(),
        size: 51,
        low: 52,
        high: 53,
        unsure_ms: 54_000,
        local_health_score: 55,
        suspects: 56,
        dead: 57,
        zone: "zone-b".into(),
        has_name_conflict: true,
        counters: vec![
            CounterMessage {
                what: "first".into(),
                times: 58,
            },
            CounterMessage {
                what: "second".into(),
                times: 1 << 40,
            },
        ],
        changes: vec![ChangeEvent {
            unix_ms: 1_700_000_000_059,
            line: "node-1 left".into(),
        }],
    }
}

/// Returns a datagram with all fields that exist for any kind.
fn full() -> Datagram {
    Datagram {
        from: 0x6162_6364_6566_6768,
        kind: 99,
        number: 61,
        target: 0x7172_7374_7576_7778,
        digest: 0x8182_8384_8586_8788,
        updates: updates(),
        load_hints: (1..=16).collect(),
        summaries: vec![
            Summary {
                from: 62,
                to: u64::MAX,
                digests: (101..=116).collect(),
            },
            Summary {
                from: 63,
                to: 64,
                digests: (117..=124).collect(),
            },
        ],
        covered: vec![
            Range { from: 65, to: 66 },
            Range {
                from: 67,
                to: u64::MAX - 1,
            },
        ],
        wants: vec![68, 0x9192_9394_9596_9798],
        report: Some(report()),
        cursor: 69,
        topic: 70,
        payload: b"parcel".to_vec(),
    }
}

/// Returns a named message of each kind with the fields that the kind uses, and one with all
/// fields.
fn messages() -> Vec<(&'static str, Datagram)> {
    let all = full();
    let base = Datagram {
        from: all.from,
        number: all.number,
        digest: all.digest,
        ..Datagram::default()
    };
    let with_updates = |kind| Datagram {
        kind,
        updates: all.updates.clone(),
        load_hints: all.load_hints.clone(),
        ..base.clone()
    };
    let with_payload = |kind| Datagram {
        kind,
        topic: all.topic,
        payload: all.payload.clone(),
        ..base.clone()
    };
    vec![
        (
            "ping",
            Datagram {
                target: all.target,
                ..with_updates(kind::PING)
            },
        ),
        (
            "ack",
            Datagram {
                target: all.target,
                ..with_updates(kind::ACK)
            },
        ),
        (
            "ask",
            Datagram {
                target: all.target,
                ..with_updates(kind::ASK)
            },
        ),
        (
            "nack",
            Datagram {
                target: all.target,
                ..with_updates(kind::NACK)
            },
        ),
        ("gossip", with_updates(kind::GOSSIP)),
        (
            "summary",
            Datagram {
                kind: kind::SUMMARY,
                summaries: all.summaries.clone(),
                ..base.clone()
            },
        ),
        (
            "headers",
            Datagram {
                covered: all.covered.clone(),
                ..with_updates(kind::HEADERS)
            },
        ),
        (
            "entries",
            Datagram {
                wants: all.wants.clone(),
                ..with_updates(kind::ENTRIES)
            },
        ),
        (
            "show",
            Datagram {
                kind: kind::SHOW,
                cursor: all.cursor,
                topic: all.topic,
                ..base.clone()
            },
        ),
        (
            "page",
            Datagram {
                report: all.report.clone(),
                cursor: all.cursor,
                topic: 0,
                ..with_updates(kind::PAGE)
            },
        ),
        ("parcel", with_payload(kind::PAYLOAD)),
        (
            "order",
            Datagram {
                from: 0,
                ..with_payload(kind::COMMAND)
            },
        ),
        ("ordered", with_payload(kind::COMMAND_REPLY)),
        ("full", all),
    ]
}

/// Returns the lines that the current code produces from the messages.
fn lines() -> Vec<String> {
    let mut sender = auth(SENDER);
    let mut lines = Vec::new();
    for (name, datagram) in messages() {
        let plain = datagram.encode_to_vec();
        lines.push(format!("{name} plain {}", hex(&plain)));
        lines.push(format!(
            "{name} sealed {}",
            hex(&sender.seal(UNIX_MS, &plain))
        ));
    }
    lines
}

/// Returns the name and the recorded bytes of all messages in the given form, `plain` or `sealed`.
fn recorded(form: &str) -> Vec<(&'static str, Vec<u8>)> {
    let fields = RECORDED
        .lines()
        .map(|line| line.split(' ').collect::<Vec<_>>());
    fields
        .filter(|fields| fields[1] == form)
        .map(|fields| (fields[0], unhex(fields[2])))
        .collect()
}

#[test]
fn each_message_encodes_to_the_recorded_bytes() {
    let lines = lines();
    let is_recorded = RECORDED.lines().eq(lines.iter().map(String::as_str));
    assert!(
        is_recorded,
        "the messages differ from the recorded ones; they are now:\n{}\n",
        lines.join("\n")
    );
}

#[test]
fn each_kind_is_recorded_once() {
    let kinds: Vec<u32> = messages()
        .iter()
        .map(|(_, datagram)| datagram.kind)
        .collect();
    assert_eq!(
        kinds,
        (kind::PING..=kind::COMMAND_REPLY)
            .chain([99])
            .collect::<Vec<_>>()
    );
}

#[test]
fn the_recorded_bytes_decode_to_each_message() {
    let (recorded, messages) = (recorded("plain"), messages());
    assert_eq!(recorded.len(), messages.len());
    for ((name, bytes), message) in recorded.iter().zip(messages) {
        let decoded = Datagram::decode(&bytes[..]).unwrap();
        assert_eq!((*name, &decoded), (message.0, &message.1));
        assert_eq!(hex(&decoded.encode_to_vec()), hex(bytes), "{name}");
    }
}

#[test]
fn the_recorded_sealed_bytes_open_to_the_recorded_plain_ones() {
    let (plain, sealed) = (recorded("plain"), recorded("sealed"));
    assert_eq!(
        (plain.len(), sealed.len()),
        (messages().len(), messages().len())
    );
    let mut receiver = auth(Incarnation(9));
    for ((name, message), (sealed_name, frame)) in plain.iter().zip(&sealed) {
        assert_eq!(name, sealed_name);
        assert_eq!(
            receiver.open(0, UNIX_MS, frame),
            Ok((SENDER, &message[..])),
            "{name}"
        );
    }
}

#[test]
fn the_recorded_details_decode_to_the_encoded_values() {
    let (_, gossip) = recorded("plain")
        .into_iter()
        .find(|(name, _)| *name == "gossip")
        .unwrap();
    let gossip = Datagram::decode(&gossip[..]).unwrap();
    for (update, address, phase) in [
        (&gossip.updates[0], "192.0.2.1:7946", Phase::Draining),
        (&gossip.updates[1], "[2001:db8::7]:7947", Phase::Serving),
    ] {
        let read = MemberDetails::read(&update.details).unwrap();
        assert_eq!(read, details(address, phase));
    }
}
