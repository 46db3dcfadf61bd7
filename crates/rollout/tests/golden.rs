//! Wire and file formats must stay byte for byte alike: nodes of two versions run side by side, and
//! a new program reads the files of an old one. What each message, file and status was is recorded
//! in `tests/golden`, a line `name hex` for each, and is compared whole: a line that is missing,
//! added or moved fails too. A record is changed only by hand, with a change of the format that is
//! meant.

// A later version differs by intent.
#![cfg(not(feature = "later"))]

use madderpoint_rollout::change::{Change, ChangeId, Changes, Fate, Kind, Reason, Version};
use madderpoint_rollout::handover::Begin;
use madderpoint_rollout::kept::{Kept, Trial};
use madderpoint_rollout::local::{Report, Stand};
use madderpoint_rollout::orders::{Act, Orders};
use madderpoint_rollout::pieces;
use madderpoint_rollout::quorum::{Ask, Ballot, Proposal, Say, Vote};
use madderpoint_rollout::sayings::{Reader, Saying, kind};
use madderpoint_rollout::shown::{
    Shown, ShownChange, ShownFinding, ShownNode, ShownPoint, ShownVersion,
};
use madderpoint_rollout::stages::{Plan, Reach, Stage, place};
use madderpoint_rollout::wire::{self, Order, Ordered, PIECE, Told, order};
use prost::Message;
use std::collections::BTreeMap;
use std::fmt::Debug;

const FATES: [Fate; 5] = [
    Fate::Open,
    Fate::Done,
    Fate::Refused,
    Fate::Halted,
    Fate::Back,
];
const STANDS: [Stand; 9] = [
    Stand::Unknown,
    Stand::Known,
    Stand::TurnedDown,
    Stand::Staged,
    Stand::Beginning,
    Stand::OnTrial,
    Stand::Good,
    Stand::TakenBack,
    Stand::Died,
];

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect()
}

fn recorded(file: &str) -> String {
    let path = format!("{}/tests/golden/{file}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_default()
}

/// Compares a whole record with what there is now.
fn compare(file: &str, now: &str) {
    let recorded = recorded(file);
    assert!(
        recorded == now,
        "{file} has:\n{recorded}\nand this is now:\n{now}"
    );
}

/// Each is written as it is recorded, and what is recorded is read as what was written.
fn holds<T: PartialEq + Debug>(
    file: &str,
    all: &[(String, T)],
    write: impl Fn(&T) -> Vec<u8>,
    read: impl Fn(&[u8]) -> T,
) {
    let now: String = all
        .iter()
        .map(|(name, one)| format!("{name} {}\n", hex(&write(one))))
        .collect();
    compare(file, &now);
    for (line, (name, one)) in recorded(file).lines().zip(all) {
        let (_, text) = line.split_once(' ').unwrap();
        assert_eq!(&read(&unhex(text)), one, "{file}: {name}");
    }
}

/// The same for what is public Protocol Buffers.
fn message_holds<M: Message + Default + PartialEq + Debug>(file: &str, all: &[(String, M)]) {
    holds(file, all, Message::encode_to_vec, |bytes| {
        M::decode(bytes).unwrap()
    });
}

fn named<T>(name: &str, one: T) -> (String, T) {
    (name.to_owned(), one)
}

fn version(number: u64) -> Version {
    Version {
        number,
        hash: 0x1122_3344_5566_0000 + number,
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        by: 0x2233_4455_6677_0000 + round,
    }
}

fn reach() -> Reach {
    Reach {
        seq: 31,
        stage: 2,
        before: BTreeMap::from([(7, 0x0102_0304_0506_0708)]),
        until: BTreeMap::from([(3, 0x1112_1314_1516_1718), (7, u64::MAX)]),
        all: true,
        electorate: 340,
        at_ms: 1_700_000_000_123,
    }
}

fn plan() -> Plan {
    let stage = |share, n: u64| Stage {
        share,
        least: (60 + n) * 1_000_000_000,
        longest: (1800 + n) * 1_000_000_000,
        sample: 200 + n as u32,
        spread: (10_000 + n) * 1_000_000,
    };
    Plan {
        stages: vec![stage(0, 1), stage(250, 2), stage(1000, 3)],
        of_zone: 400,
        margin: 21,
    }
}

/// A change; the reason of one that is open is not told.
fn change(kind: Kind, fate: Fate) -> Change {
    let reason = Reason::new(1_700_000_000_456, 0x3344_5566_7788_99aa, "book errs: é");
    Change {
        id: ChangeId(0x4455_6677_8899_aa00 + fate as u64),
        kind,
        version: version(5),
        base: version(4),
        digest: std::array::from_fn(|at| at as u8 + 1),
        bytes: 70_000,
        by: 0x5566_7788_99aa_bbcc,
        at_ms: 1_700_000_000_789,
        plan: plan(),
        reach: reach(),
        fate,
        reason: if fate == Fate::Open {
            Reason::default()
        } else {
            reason
        },
    }
}

fn report(fate: Fate, stand: Stand) -> Report {
    Report {
        change: ChangeId(0x4455_6677_8899_aabb),
        stage: 3,
        fate,
        stand,
        running: version(6),
        good: version(7),
        since_ms: 1_700_000_001_111,
        died: 8,
        died_ms: 1_700_000_002_222,
        why: "said so".into(),
        digest: 0x6677_8899_aabb_ccdd,
    }
}

fn proposal() -> Proposal {
    Proposal {
        change: ChangeId(0x4455_6677_8899_aabb),
        reach: reach(),
    }
}

fn trial() -> Trial {
    Trial {
        change: ChangeId(0x4455_6677_8899_aa03),
        version: version(5),
        tries: 2,
    }
}

/// The file of a node in mid-trial, with a vote of its own.
fn kept(kind: Kind) -> Kept {
    Kept {
        kind,
        good: Some(version(4)),
        before: Some(version(3)),
        trial: Some(trial()),
        turned_down: vec![(version(1), 6), (version(2), 7)],
        head: Some(change(kind, Fate::Halted)),
        vote: Some(Vote {
            seq: 32,
            promised: ballot(9),
            accepted: Some((ballot(8), proposal())),
        }),
        abstains_to: 30,
    }
}

/// What the fleet tells of changes, polls, pieces and votes.
fn parcels() -> Vec<(String, Told)> {
    let id = ChangeId(0x4455_6677_8899_aabb);
    let mut all = Vec::new();
    for kind in [Kind::Settings, Kind::Program] {
        for fate in FATES {
            let changes = vec![change(kind, fate)];
            all.push((
                format!("changes-{kind:?}-{fate:?}"),
                Told::Changes {
                    changes,
                    answer: true,
                },
            ));
        }
    }
    let two = vec![
        change(Kind::Settings, Fate::Open),
        change(Kind::Program, Fate::Back),
    ];
    all.push(named(
        "changes-two",
        Told::Changes {
            changes: two,
            answer: false,
        },
    ));
    for fate in FATES {
        all.push((
            format!("poll-{fate:?}"),
            Told::Poll {
                no: 4,
                change: id,
                stage: 2,
                fate,
            },
        ));
        let report = report(fate, Stand::OnTrial);
        all.push((format!("report-{fate:?}"), Told::Report { no: 5, report }));
    }
    all.push(named(
        "ask-pieces",
        Told::AskPieces {
            change: id,
            first: 17,
            count: 8,
        },
    ));
    let bytes = (1..=40).collect();
    all.push(named(
        "piece",
        Told::Piece {
            change: id,
            no: 17,
            bytes,
        },
    ));
    let (seq, ballot, promised) = (31, ballot(3), ballot(2));
    for kind in [Kind::Settings, Kind::Program] {
        let mut add = |name: &str, told| all.push((format!("{name}-{kind:?}"), told));
        add("prepare", Told::Ask(kind, Ask::Prepare { seq, ballot }));
        for again in [false, true] {
            let accept = Ask::Accept {
                ballot,
                proposal: proposal(),
                again,
            };
            add(
                if again { "accept-again" } else { "accept" },
                Told::Ask(kind, accept),
            );
        }
        add(
            "promised",
            Told::Say(
                kind,
                Say::Promised {
                    seq,
                    ballot,
                    accepted: None,
                },
            ),
        );
        let accepted = Some((promised, proposal()));
        add(
            "promised-accepted",
            Told::Say(
                kind,
                Say::Promised {
                    seq,
                    ballot,
                    accepted,
                },
            ),
        );
        add("accepted", Told::Say(kind, Say::Accepted { seq, ballot }));
        add(
            "refused",
            Told::Say(
                kind,
                Say::Refused {
                    seq,
                    ballot,
                    promised,
                },
            ),
        );
    }
    all
}

#[test]
fn each_parcel_is_written_as_recorded_and_read_back() {
    holds("parcels.hex", &parcels(), wire::write, |bytes| {
        wire::read(bytes).unwrap()
    });
}

#[test]
fn many_changes_are_told_in_the_recorded_parcels() {
    let changes: Vec<Change> = FATES
        .iter()
        .map(|fate| change(Kind::Program, *fate))
        .collect();
    let told = wire::changes(changes.iter(), true);
    let all: Vec<_> = told
        .into_iter()
        .enumerate()
        .map(|(at, told)| (format!("parcel-{at}"), told))
        .collect();
    holds("many_changes.hex", &all, wire::write, |bytes| {
        wire::read(bytes).unwrap()
    });
}

#[test]
fn a_report_on_an_entry_is_written_as_recorded_and_read_back() {
    let one = |stand| {
        (
            format!("{stand:?}"),
            Report {
                why: String::new(),
                ..report(Fate::Halted, stand)
            },
        )
    };
    let all: Vec<_> = STANDS.into_iter().map(one).collect();
    holds("entries.hex", &all, wire::write_part, |bytes| {
        wire::read_part(bytes).unwrap()
    });
    let with_why = wire::write_part(&report(Fate::Halted, Stand::Died));
    assert_eq!(
        wire::read_part(&with_why).as_ref(),
        all.last().map(|(_, report)| report)
    );
}

#[test]
fn each_order_is_written_as_recorded_and_read_back() {
    let full = |kind| Order {
        kind,
        no: 9,
        bytes: (1..=20).collect(),
        size: 9236,
        digest: (101..=132).collect(),
        number: 6,
        hash: 0x1122_3344_5566_7788,
        change: 0x4455_6677_8899_aabb,
        why: "it smells: é".into(),
        program: true,
    };
    let kinds = [
        ("piece", order::PIECE),
        ("offer", order::OFFER),
        ("halt", order::HALT),
        ("back", order::BACK),
    ];
    message_holds(
        "orders.hex",
        &kinds.map(|(name, kind)| named(name, full(kind))),
    );
}

/// What a node answers to orders, in their turn.
fn answers() -> Vec<(String, Ordered)> {
    let content: Vec<u8> = (0..1500).map(|at| at as u8).collect();
    let digest = pieces::digest(&content).to_vec();
    let piece = |no| Order {
        kind: order::PIECE,
        no,
        bytes: pieces::piece(&content, no).unwrap().to_vec(),
        size: 1500,
        digest: digest.clone(),
        ..Order::default()
    };
    let offer = Order {
        kind: order::OFFER,
        digest: digest.clone(),
        ..Order::default()
    };
    let halt = Order {
        kind: order::HALT,
        ..Order::default()
    };
    let (mut orders, mut changes) = (Orders::default(), Changes::default());
    let answer = |orders: &mut Orders, changes: &Changes, name: &str, said: &Order| match orders
        .order(1, Kind::Settings, changes, said)
    {
        Act::Answer(answer) => Some(named(name, answer)),
        _ => None,
    };
    let mut all = vec![
        answer(&mut orders, &changes, "pieces-missing", &offer),
        answer(&mut orders, &changes, "piece-taken", &piece(0)),
        answer(&mut orders, &changes, "last-piece-taken", &piece(1)),
        answer(&mut orders, &changes, "nothing-to-halt", &halt),
    ];
    assert!(matches!(
        orders.order(1, Kind::Settings, &changes, &offer),
        Act::LookInto { no: 1, .. }
    ));
    all.push(answer(&mut orders, &changes, "looked-into", &offer));
    let of = (Kind::Settings, 0x5566_7788_99aa_bbcc, 1_700_000_000_789);
    let offered = orders
        .looked_into(1, Ok(version(5)), of, &changes, version(4), &plan())
        .unwrap();
    all.push(answer(&mut orders, &changes, "offered", &offer));
    let halt = Order {
        change: offered.0.id.0,
        ..halt
    };
    changes.hear(&Change {
        fate: Fate::Back,
        ..offered.0
    });
    all.push(answer(&mut orders, &changes, "taken-back-already", &halt));
    all.into_iter().map(Option::unwrap).collect()
}

#[test]
fn each_answer_to_an_order_is_written_as_recorded_and_read_back() {
    message_holds("answers.hex", &answers());
}

/// What a parent says to a process.
fn of_the_parent() -> Vec<(String, Saying)> {
    let begin = |kind, died, fresh, beside| Begin {
        kept: kept(kind),
        version: version(5),
        died,
        fresh,
        beside,
    };
    let refused = Err("it is not here: é".to_owned());
    vec![
        named(
            "begin-settings",
            Saying::begin(&begin(Kind::Settings, Some(trial()), true, false)),
        ),
        named(
            "begin-beside",
            Saying::begin(&begin(Kind::Program, None, false, true)),
        ),
        named("in-charge", Saying::plain(kind::IN_CHARGE)),
        named("hand-over", Saying::plain(kind::HAND_OVER)),
        named("done", Saying::done(11, &Ok(()))),
        named("done-refused", Saying::done(12, &refused)),
    ]
}

/// What a process says to its parent.
fn of_the_process() -> Vec<(String, Saying)> {
    let keep = Saying {
        kind: kind::KEEP,
        no: 13,
        kept: kept(Kind::Program).write(),
        ..Saying::default()
    };
    vec![
        named("ready", Saying::plain(kind::READY)),
        named("keep", keep),
        named("check", Saying::about(kind::CHECK, 14, version(5))),
        named("apply", Saying::about(kind::APPLY, 15, version(6))),
    ]
}

/// One with each field.
fn full_saying() -> Saying {
    Saying {
        kind: 77,
        no: 16,
        kept: vec![1, 2, 3],
        number: 17,
        hash: 18,
        refused: true,
        why: "why".into(),
        died_tries: 19,
        died_change: 20,
        died_number: 21,
        died_hash: 22,
        fresh: true,
        beside: true,
    }
}

fn take(bytes: &[u8]) -> Saying {
    let mut reader = Reader::default();
    reader.feed(bytes);
    let saying = reader.take().unwrap().unwrap();
    assert_eq!(reader.take(), Ok(None));
    saying
}

#[test]
fn what_parent_and_process_say_is_written_as_recorded_and_read_back() {
    holds(
        "sayings_of_the_parent.hex",
        &of_the_parent(),
        Saying::write,
        take,
    );
    holds(
        "sayings_of_the_process.hex",
        &of_the_process(),
        Saying::write,
        take,
    );
    holds(
        "sayings_full.hex",
        &[named("full", full_saying())],
        Saying::write,
        take,
    );
}

#[test]
fn what_a_process_begins_with_is_read_from_the_record() {
    let begins: Vec<Begin> = recorded("sayings_of_the_parent.hex")
        .lines()
        .filter_map(|line| take(&unhex(line.split_once(' ').unwrap().1)).as_begin())
        .collect();
    assert_eq!(begins.len(), 2);
    assert_eq!(begins[0].kept, kept(Kind::Settings));
    assert_eq!(
        (begins[0].died, begins[0].fresh, begins[0].beside),
        (Some(trial()), true, false)
    );
    assert_eq!(begins[1].kept, kept(Kind::Program));
    assert_eq!(
        (begins[1].died, begins[1].fresh, begins[1].beside),
        (None, false, true)
    );
    assert!(begins.iter().all(|begin| begin.version == version(5)));
}

#[test]
fn the_file_of_a_node_in_mid_trial_is_written_as_recorded_and_read_back() {
    let mut first = Kept::new(Kind::Settings);
    first.found_good(version(4));
    first.trial = Some(trial());
    let all = [
        named("settings", kept(Kind::Settings)),
        named("program", kept(Kind::Program)),
        named("first-trial", first),
        named("nothing", Kept::new(Kind::Program)),
    ];
    holds("kept.hex", &all, Kept::write, |bytes| {
        Kept::read(bytes).unwrap()
    });
}

fn shown_version(number: u64) -> Option<ShownVersion> {
    let of = version(number);
    Some(ShownVersion {
        number: of.number,
        hash: of.hash,
    })
}

/// A status with each field.
fn shown() -> Shown {
    let change = ShownChange {
        id: 0x4455_6677_8899_aabb,
        kind: 1,
        version: shown_version(5),
        base: shown_version(4),
        stage: 2,
        stages: vec!["one node".into(), "all".into()],
        fate: "halted".into(),
        why: "book errs".into(),
        by: "n1".into(),
        ended_ms: 1_700_000_000_456,
        offered_by: "n2".into(),
        offered_ms: 1_700_000_000_789,
        agreement: 31,
        electorate: 340,
    };
    let node = ShownNode {
        name: "n3".into(),
        zone: "a".into(),
        there: true,
        in_stage: true,
        running: shown_version(6),
        since_ms: 1_700_000_001_111,
        stand: "on trial".into(),
        died: 8,
        why: "said so".into(),
    };
    let finding = ShownFinding {
        operation: "book".into(),
        what: "errored".into(),
        new: 0.25,
        old: 0.5,
        harm: 0.75,
        error: 1.25,
        evidence: 1.5,
        margin: 1.75,
    };
    let point = ShownPoint {
        window: 41,
        stage: 42,
        nodes: vec![43, 44],
        arrived: vec![45, 46],
        succeeded: vec![47, 48],
        throttled: vec![49, 50],
        errored: vec![51, 52],
        late: vec![53, 54],
        memory_kb: vec![55.5, 56.5],
    };
    Shown {
        node: "n4".into(),
        at_ms: 1_700_000_003_333,
        kind: 1,
        running: shown_version(7),
        reasons: vec!["one".into(), "two".into()],
        conductor: "n5".into(),
        conductor_at: "192.0.2.1:7".into(),
        waits: "for a sample".into(),
        changes: vec![change],
        nodes: vec![node],
        nodes_in_all: 301,
        verdict: "fine".into(),
        findings: vec![finding],
        sample: vec![61, 62],
        judged: vec![63, 64],
        points: vec![point],
        window_ms: 5000,
        good: shown_version(8),
    }
}

#[test]
fn a_status_is_written_as_recorded_and_read_back() {
    message_holds("shown.hex", &[named("status", shown())]);
}

#[test]
fn words_and_pieces_are_as_recorded() {
    let content: Vec<u8> = (0..PIECE + 20).map(|at| at as u8).collect();
    let fates = FATES.map(|fate| format!("fate {}: {}\n", fate as u32, fate.word()));
    let stands = STANDS.map(|stand| format!("stand {}: {}\n", stand as u32, stand.word()));
    let (id, of) = (ChangeId(0x4455_6677_8899_aabb), version(5));
    let mut lines = [fates.concat(), stands.concat()].concat();
    lines += &format!("version: {of}\nchange: {id}\n");
    lines += &format!("digest of a content: {}\n", hex(&pieces::digest(&content)));
    lines += &format!(
        "pieces of {}: {}\n",
        content.len(),
        pieces::count(content.len())
    );
    lines += &format!("last piece: {}\n", hex(pieces::piece(&content, 1).unwrap()));
    // All nodes must come to the same about who is in a stage, and about what they know.
    lines += &format!("place: {:016x}\n", place(id, 0x5566_7788_99aa_bbcc));
    let mut known = Changes::default();
    known.hear(&change(Kind::Settings, Fate::Halted));
    lines += &format!("digest of what is known: {:016x}\n", known.digest());
    compare("words.txt", &lines);
}
