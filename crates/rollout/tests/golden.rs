//! Wire and file formats must stay byte for byte alike: nodes of two versions run side by side, and
//! a new program reads the files of an old one. What each message, file and status was is recorded
//! in `tests/golden`, a line `name hex` for each, and is compared whole: a line that is missing,
//! added or moved fails too. A record is changed only by hand, with a change of the format that is
//! meant.

// A later version differs by intent.
#![cfg(not(feature = "later"))]

use madderpoint_rollout::chunks;
use madderpoint_rollout::messages::{
    self, CommandReply, OperatorCommand, PIECE, ReceivedMessage, order,
};
use madderpoint_rollout::node_agent::{NodeReport, NodeStatus};
use madderpoint_rollout::operator_commands::{CommandAction, OperatorCommands};
use madderpoint_rollout::paxos::{Ballot, PaxosReply, PaxosRequest, Proposal, Vote};
use madderpoint_rollout::persisted_state::{PersistedState, Trial};
use madderpoint_rollout::process_handover::StartInstructions;
use madderpoint_rollout::rollout::{
    Kind, Outcome, Reason, Rollout, RolloutId, RolloutTable, Version,
};
use madderpoint_rollout::stages::{Plan, Progress, Stage, place};
use madderpoint_rollout::status::{
    CohortPointStatus, ComparisonStatus, NodeStatusEntry, RolloutStatus, StatusSnapshot,
    VersionStatus,
};
use madderpoint_rollout::supervisor_messages::{MessageReader, SupervisorMessage, kind};
use prost::Message;
use std::collections::BTreeMap;
use std::fmt::Debug;

const FATES: [Outcome; 5] = [
    Outcome::InProgress,
    Outcome::Completed,
    Outcome::Rejected,
    Outcome::Halted,
    Outcome::RolledBack,
];
const STANDS: [NodeStatus; 9] = [
    NodeStatus::Unknown,
    NodeStatus::Offered,
    NodeStatus::Rejected,
    NodeStatus::Staged,
    NodeStatus::Starting,
    NodeStatus::OnTrial,
    NodeStatus::Promoted,
    NodeStatus::RolledBack,
    NodeStatus::Crashed,
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

fn reach() -> Progress {
    Progress {
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
fn change(kind: Kind, fate: Outcome) -> Rollout {
    let reason = Reason::new(1_700_000_000_456, 0x3344_5566_7788_99aa, "book errs: é");
    Rollout {
        id: RolloutId(0x4455_6677_8899_aa00 + fate as u64),
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
        reason: if fate == Outcome::InProgress {
            Reason::default()
        } else {
            reason
        },
    }
}

fn report(fate: Outcome, stand: NodeStatus) -> NodeReport {
    NodeReport {
        change: RolloutId(0x4455_6677_8899_aabb),
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
        change: RolloutId(0x4455_6677_8899_aabb),
        reach: reach(),
    }
}

fn trial() -> Trial {
    Trial {
        change: RolloutId(0x4455_6677_8899_aa03),
        version: version(5),
        tries: 2,
    }
}

/// The file of a node in mid-trial, with a vote of its own.
fn kept(kind: Kind) -> PersistedState {
    PersistedState {
        kind,
        good: Some(version(4)),
        before: Some(version(3)),
        trial: Some(trial()),
        turned_down: vec![(version(1), 6), (version(2), 7)],
        head: Some(change(kind, Outcome::Halted)),
        vote: Some(Vote {
            seq: 32,
            promised: ballot(9),
            accepted: Some((ballot(8), proposal())),
        }),
        abstains_to: 30,
    }
}

/// What the fleet tells of changes, polls, pieces and votes.
fn parcels() -> Vec<(String, ReceivedMessage)> {
    let id = RolloutId(0x4455_6677_8899_aabb);
    let mut all = Vec::new();
    for kind in [Kind::Settings, Kind::Program] {
        for fate in FATES {
            let changes = vec![change(kind, fate)];
            all.push((
                format!("changes-{kind:?}-{fate:?}"),
                ReceivedMessage::RolloutTable {
                    changes,
                    answer: true,
                },
            ));
        }
    }
    let two = vec![
        change(Kind::Settings, Outcome::InProgress),
        change(Kind::Program, Outcome::RolledBack),
    ];
    all.push(named(
        "changes-two",
        ReceivedMessage::RolloutTable {
            changes: two,
            answer: false,
        },
    ));
    for fate in FATES {
        all.push((
            format!("poll-{fate:?}"),
            ReceivedMessage::Poll {
                no: 4,
                change: id,
                stage: 2,
                fate,
            },
        ));
        let report = report(fate, NodeStatus::OnTrial);
        all.push((
            format!("report-{fate:?}"),
            ReceivedMessage::NodeReport { no: 5, report },
        ));
    }
    all.push(named(
        "ask-pieces",
        ReceivedMessage::AskPieces {
            change: id,
            first: 17,
            count: 8,
        },
    ));
    let bytes = (1..=40).collect();
    all.push(named(
        "piece",
        ReceivedMessage::Piece {
            change: id,
            no: 17,
            bytes,
        },
    ));
    let (seq, ballot, promised) = (31, ballot(3), ballot(2));
    for kind in [Kind::Settings, Kind::Program] {
        let mut add = |name: &str, told| all.push((format!("{name}-{kind:?}"), told));
        add(
            "prepare",
            ReceivedMessage::PaxosRequest(kind, PaxosRequest::Prepare { seq, ballot }),
        );
        for again in [false, true] {
            let accept = PaxosRequest::Accept {
                ballot,
                proposal: proposal(),
                again,
            };
            add(
                if again { "accept-again" } else { "accept" },
                ReceivedMessage::PaxosRequest(kind, accept),
            );
        }
        add(
            "promised",
            ReceivedMessage::PaxosReply(
                kind,
                PaxosReply::Promised {
                    seq,
                    ballot,
                    accepted: None,
                },
            ),
        );
        let accepted = Some((promised, proposal()));
        add(
            "promised-accepted",
            ReceivedMessage::PaxosReply(
                kind,
                PaxosReply::Promised {
                    seq,
                    ballot,
                    accepted,
                },
            ),
        );
        add(
            "accepted",
            ReceivedMessage::PaxosReply(kind, PaxosReply::Accepted { seq, ballot }),
        );
        add(
            "refused",
            ReceivedMessage::PaxosReply(
                kind,
                PaxosReply::Refused {
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
    holds("parcels.hex", &parcels(), messages::write, |bytes| {
        messages::read(bytes).unwrap()
    });
}

#[test]
fn many_changes_are_told_in_the_recorded_parcels() {
    let changes: Vec<Rollout> = FATES
        .iter()
        .map(|fate| change(Kind::Program, *fate))
        .collect();
    let told = messages::changes(changes.iter(), true);
    let all: Vec<_> = told
        .into_iter()
        .enumerate()
        .map(|(at, told)| (format!("parcel-{at}"), told))
        .collect();
    holds("many_changes.hex", &all, messages::write, |bytes| {
        messages::read(bytes).unwrap()
    });
}

#[test]
fn a_report_on_an_entry_is_written_as_recorded_and_read_back() {
    let one = |stand| {
        (
            format!("{stand:?}"),
            NodeReport {
                why: String::new(),
                ..report(Outcome::Halted, stand)
            },
        )
    };
    let all: Vec<_> = STANDS.into_iter().map(one).collect();
    holds("entries.hex", &all, messages::write_part, |bytes| {
        messages::read_part(bytes).unwrap()
    });
    let with_why = messages::write_part(&report(Outcome::Halted, NodeStatus::Crashed));
    assert_eq!(
        messages::read_part(&with_why).as_ref(),
        all.last().map(|(_, report)| report)
    );
}

#[test]
fn each_order_is_written_as_recorded_and_read_back() {
    let full = |kind| OperatorCommand {
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
fn answers() -> Vec<(String, CommandReply)> {
    let content: Vec<u8> = (0..1500).map(|at| at as u8).collect();
    let digest = chunks::digest(&content).to_vec();
    let piece = |no| OperatorCommand {
        kind: order::PIECE,
        no,
        bytes: chunks::piece(&content, no).unwrap().to_vec(),
        size: 1500,
        digest: digest.clone(),
        ..OperatorCommand::default()
    };
    let offer = OperatorCommand {
        kind: order::OFFER,
        digest: digest.clone(),
        ..OperatorCommand::default()
    };
    let halt = OperatorCommand {
        kind: order::HALT,
        ..OperatorCommand::default()
    };
    let (mut orders, mut changes) = (OperatorCommands::default(), RolloutTable::default());
    let answer =
        |orders: &mut OperatorCommands,
         changes: &RolloutTable,
         name: &str,
         said: &OperatorCommand| match orders.order(1, Kind::Settings, changes, said) {
            CommandAction::VoterAction(answer) => Some(named(name, answer)),
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
        CommandAction::LookInto { no: 1, .. }
    ));
    all.push(answer(&mut orders, &changes, "looked-into", &offer));
    let of = (Kind::Settings, 0x5566_7788_99aa_bbcc, 1_700_000_000_789);
    let offered = orders
        .looked_into(1, Ok(version(5)), of, &changes, version(4), &plan())
        .unwrap();
    all.push(answer(&mut orders, &changes, "offered", &offer));
    let halt = OperatorCommand {
        change: offered.0.id.0,
        ..halt
    };
    changes.hear(&Rollout {
        fate: Outcome::RolledBack,
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
fn of_the_parent() -> Vec<(String, SupervisorMessage)> {
    let begin = |kind, died, fresh, beside| StartInstructions {
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
            SupervisorMessage::begin(&begin(Kind::Settings, Some(trial()), true, false)),
        ),
        named(
            "begin-beside",
            SupervisorMessage::begin(&begin(Kind::Program, None, false, true)),
        ),
        named("in-charge", SupervisorMessage::plain(kind::IN_CHARGE)),
        named("hand-over", SupervisorMessage::plain(kind::HAND_OVER)),
        named("done", SupervisorMessage::done(11, &Ok(()))),
        named("done-refused", SupervisorMessage::done(12, &refused)),
    ]
}

/// What a process says to its parent.
fn of_the_process() -> Vec<(String, SupervisorMessage)> {
    let keep = SupervisorMessage {
        kind: kind::KEEP,
        no: 13,
        kept: kept(Kind::Program).write(),
        ..SupervisorMessage::default()
    };
    vec![
        named("ready", SupervisorMessage::plain(kind::READY)),
        named("keep", keep),
        named(
            "check",
            SupervisorMessage::about(kind::CHECK, 14, version(5)),
        ),
        named(
            "apply",
            SupervisorMessage::about(kind::APPLY, 15, version(6)),
        ),
    ]
}

/// One with each field.
fn full_saying() -> SupervisorMessage {
    SupervisorMessage {
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

fn take(bytes: &[u8]) -> SupervisorMessage {
    let mut reader = MessageReader::default();
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
        SupervisorMessage::write,
        take,
    );
    holds(
        "sayings_of_the_process.hex",
        &of_the_process(),
        SupervisorMessage::write,
        take,
    );
    holds(
        "sayings_full.hex",
        &[named("full", full_saying())],
        SupervisorMessage::write,
        take,
    );
}

#[test]
fn what_a_process_begins_with_is_read_from_the_record() {
    let begins: Vec<StartInstructions> = recorded("sayings_of_the_parent.hex")
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
    let mut first = PersistedState::new(Kind::Settings);
    first.found_good(version(4));
    first.trial = Some(trial());
    let all = [
        named("settings", kept(Kind::Settings)),
        named("program", kept(Kind::Program)),
        named("first-trial", first),
        named("nothing", PersistedState::new(Kind::Program)),
    ];
    holds("kept.hex", &all, PersistedState::write, |bytes| {
        PersistedState::read(bytes).unwrap()
    });
}

fn shown_version(number: u64) -> Option<VersionStatus> {
    let of = version(number);
    Some(VersionStatus {
        number: of.number,
        hash: of.hash,
    })
}

/// A status with each field.
fn shown() -> StatusSnapshot {
    let change = RolloutStatus {
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
    let node = NodeStatusEntry {
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
    let finding = ComparisonStatus {
        operation: "book".into(),
        what: "errored".into(),
        new: 0.25,
        old: 0.5,
        harm: 0.75,
        error: 1.25,
        evidence: 1.5,
        margin: 1.75,
    };
    let point = CohortPointStatus {
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
    StatusSnapshot {
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
    let (id, of) = (RolloutId(0x4455_6677_8899_aabb), version(5));
    let mut lines = [fates.concat(), stands.concat()].concat();
    lines += &format!("version: {of}\nchange: {id}\n");
    lines += &format!("digest of a content: {}\n", hex(&chunks::digest(&content)));
    lines += &format!(
        "pieces of {}: {}\n",
        content.len(),
        chunks::count(content.len())
    );
    lines += &format!("last piece: {}\n", hex(chunks::piece(&content, 1).unwrap()));
    // All nodes must come to the same about who is in a stage, and about what they know.
    lines += &format!("place: {:016x}\n", place(id, 0x5566_7788_99aa_bbcc));
    let mut known = RolloutTable::default();
    known.hear(&change(Kind::Settings, Outcome::Halted));
    lines += &format!("digest of what is known: {:016x}\n", known.digest());
    compare("words.txt", &lines);
}
