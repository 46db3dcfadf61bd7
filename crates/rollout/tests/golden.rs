//! Wire and file formats must stay identical byte for byte: nodes of two versions run side by side,
//! and a new program reads the files of an old one. The expected encoding of each message, file and
//! status is recorded in `tests/golden`, one line `name hex` for each. A record is compared as a
//! whole, so that a missing, added or moved line fails as well. A record is only changed by hand,
//! together with an intended change of the format.

// A build with the feature `later` has other formats on purpose.
#![cfg(not(feature = "later"))]

use madderpoint_rollout::chunks;
use madderpoint_rollout::chunks::CHUNK_BYTES;
use madderpoint_rollout::identifiers::{Kind, RolloutId, Version};
use madderpoint_rollout::messages::{
    self, CommandReply, OperatorCommand, RolloutMessage, command_kind,
};
use madderpoint_rollout::node_report::{NodeReport, NodeStatus};
use madderpoint_rollout::operator_commands::{CommandAction, OperatorCommands};
use madderpoint_rollout::paxos::{Ballot, PaxosReply, PaxosRequest, Proposal, Vote};
use madderpoint_rollout::persisted_state::{PersistedState, Trial};
use madderpoint_rollout::process_handover::StartInstructions;
use madderpoint_rollout::rollout::{Outcome, Reason, Rollout};
use madderpoint_rollout::rollout_table::RolloutTable;
use madderpoint_rollout::stages::{Plan, Progress, Stage, node_position};
use madderpoint_rollout::status::{
    CohortPointStatus, ComparisonStatus, NodeStatusEntry, RolloutStatus, StatusSnapshot,
    VersionStatus,
};
use madderpoint_rollout::supervisor_messages::{MessageReader, SupervisorMessage, kind};
use prost::Message;
use std::collections::BTreeMap;
use std::fmt::Debug;

const OUTCOMES: [Outcome; 5] = [
    Outcome::InProgress,
    Outcome::Completed,
    Outcome::Rejected,
    Outcome::Halted,
    Outcome::RolledBack,
];
const NODE_STATUSES: [NodeStatus; 9] = [
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

/// Returns the name of an outcome in the records, which is independent of the variant's name.
fn outcome_label(outcome: Outcome) -> &'static str {
    ["Open", "Done", "Refused", "Halted", "Back"][outcome as usize]
}

/// Returns the name of a node's status in the records, which is independent of the variant's name.
fn status_label(status: NodeStatus) -> &'static str {
    let labels = [
        "Unknown",
        "Known",
        "TurnedDown",
        "Staged",
        "Beginning",
        "OnTrial",
        "Good",
        "TakenBack",
        "Died",
    ];
    labels[status as usize]
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

fn recorded(file: &str) -> String {
    let path = format!("{}/tests/golden/{file}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_default()
}

/// Asserts that a record equals the present text as a whole.
fn assert_recorded(file: &str, now: &str) {
    let recorded = recorded(file);
    assert!(
        recorded == now,
        "{file} has:\n{recorded}\nbut the present encoding is:\n{now}"
    );
}

/// Asserts that each value is encoded as recorded, and that each recorded encoding is decoded to
/// its value.
fn assert_round_trip<T: PartialEq + Debug>(
    file: &str,
    all: &[(String, T)],
    write: impl Fn(&T) -> Vec<u8>,
    read: impl Fn(&[u8]) -> T,
) {
    let now: String = all
        .iter()
        .map(|(name, value)| format!("{name} {}\n", hex(&write(value))))
        .collect();
    assert_recorded(file, &now);
    for (line, (name, value)) in recorded(file).lines().zip(all) {
        let (_, text) = line.split_once(' ').unwrap();
        assert_eq!(&read(&unhex(text)), value, "{file}: {name}");
    }
}

/// Asserts for public Protocol Buffers messages what [`assert_round_trip`] asserts for encoders.
fn assert_message_round_trip<M: Message + Default + PartialEq + Debug>(
    file: &str,
    all: &[(String, M)],
) {
    assert_round_trip(file, all, Message::encode_to_vec, |bytes| {
        M::decode(bytes).unwrap()
    });
}

fn named<T>(name: &str, value: T) -> (String, T) {
    (name.to_owned(), value)
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

fn progress() -> Progress {
    Progress {
        agreement: 31,
        stage: 2,
        previous_thresholds: BTreeMap::from([(7, 0x0102_0304_0506_0708)]),
        thresholds: BTreeMap::from([(3, 0x1112_1314_1516_1718), (7, u64::MAX)]),
        whole_cluster: true,
        cluster_size: 340,
        at_ms: 1_700_000_000_123,
    }
}

fn plan() -> Plan {
    let stage = |share, n: u64| Stage {
        share_permille: share,
        min_duration: (60 + n) * 1_000_000_000,
        max_duration: (1800 + n) * 1_000_000_000,
        min_requests: 200 + n as u32,
        start_spread: (10_000 + n) * 1_000_000,
    };
    Plan {
        stages: vec![stage(0, 1), stage(250, 2), stage(1000, 3)],
        max_zone_permille: 400,
        margin_permille: 21,
    }
}

/// Returns a rollout. A rollout in progress has no reason, since none is encoded for it.
fn rollout(kind: Kind, outcome: Outcome) -> Rollout {
    let reason = Reason::new(1_700_000_000_456, 0x3344_5566_7788_99aa, "book errs: é");
    Rollout {
        id: RolloutId(0x4455_6677_8899_aa00 + outcome as u64),
        kind,
        version: version(5),
        base: version(4),
        digest: std::array::from_fn(|at| at as u8 + 1),
        bytes: 70_000,
        by: 0x5566_7788_99aa_bbcc,
        at_ms: 1_700_000_000_789,
        plan: plan(),
        progress: progress(),
        outcome,
        reason: if outcome == Outcome::InProgress {
            Reason::default()
        } else {
            reason
        },
    }
}

fn report(outcome: Outcome, status: NodeStatus) -> NodeReport {
    NodeReport {
        rollout: RolloutId(0x4455_6677_8899_aabb),
        stage: 3,
        outcome,
        status,
        running: version(6),
        promoted: version(7),
        since_ms: 1_700_000_001_111,
        crashes: 8,
        last_crash_ms: 1_700_000_002_222,
        why: "said so".into(),
        digest: 0x6677_8899_aabb_ccdd,
    }
}

fn proposal() -> Proposal {
    Proposal {
        rollout: RolloutId(0x4455_6677_8899_aabb),
        progress: progress(),
    }
}

fn trial() -> Trial {
    Trial {
        rollout: RolloutId(0x4455_6677_8899_aa03),
        version: version(5),
        tries: 2,
    }
}

/// Returns the persisted state of a node that runs a trial and has voted.
fn persisted(kind: Kind) -> PersistedState {
    PersistedState {
        kind,
        promoted: Some(version(4)),
        previous: Some(version(3)),
        trial: Some(trial()),
        rejected: vec![(version(1), 6), (version(2), 7)],
        head: Some(rollout(kind, Outcome::Halted)),
        vote: Some(Vote {
            agreement: 32,
            promised: ballot(9),
            accepted: Some((ballot(8), proposal())),
        }),
        abstains_to: 30,
    }
}

/// Returns the messages between nodes: rollouts, polls, reports, chunks and votes.
fn node_messages() -> Vec<(String, RolloutMessage)> {
    let id = RolloutId(0x4455_6677_8899_aabb);
    let mut all = Vec::new();
    for kind in [Kind::Settings, Kind::Program] {
        for outcome in OUTCOMES {
            let rollouts = vec![rollout(kind, outcome)];
            all.push((
                format!("changes-{kind:?}-{}", outcome_label(outcome)),
                RolloutMessage::Rollouts {
                    rollouts,
                    answer: true,
                },
            ));
        }
    }
    let two = vec![
        rollout(Kind::Settings, Outcome::InProgress),
        rollout(Kind::Program, Outcome::RolledBack),
    ];
    all.push(named(
        "changes-two",
        RolloutMessage::Rollouts {
            rollouts: two,
            answer: false,
        },
    ));
    for outcome in OUTCOMES {
        all.push((
            format!("poll-{}", outcome_label(outcome)),
            RolloutMessage::Poll {
                poll: 4,
                rollout: id,
                stage: 2,
                outcome,
            },
        ));
        let report = report(outcome, NodeStatus::OnTrial);
        all.push((
            format!("report-{}", outcome_label(outcome)),
            RolloutMessage::NodeReport { poll: 5, report },
        ));
    }
    all.push(named(
        "ask-pieces",
        RolloutMessage::ChunkRequest {
            rollout: id,
            first: 17,
            count: 8,
        },
    ));
    let bytes = (1..=40).collect();
    all.push(named(
        "piece",
        RolloutMessage::Chunk {
            rollout: id,
            index: 17,
            bytes,
        },
    ));
    let (agreement, ballot, promised) = (31, ballot(3), ballot(2));
    for kind in [Kind::Settings, Kind::Program] {
        let mut add = |name: &str, message| all.push((format!("{name}-{kind:?}"), message));
        add(
            "prepare",
            RolloutMessage::PaxosRequest(kind, PaxosRequest::Prepare { agreement, ballot }),
        );
        for again in [false, true] {
            let accept = PaxosRequest::Accept {
                ballot,
                proposal: proposal(),
                again,
            };
            add(
                if again { "accept-again" } else { "accept" },
                RolloutMessage::PaxosRequest(kind, accept),
            );
        }
        add(
            "promised",
            RolloutMessage::PaxosReply(
                kind,
                PaxosReply::Promised {
                    agreement,
                    ballot,
                    accepted: None,
                },
            ),
        );
        let accepted = Some((promised, proposal()));
        add(
            "promised-accepted",
            RolloutMessage::PaxosReply(
                kind,
                PaxosReply::Promised {
                    agreement,
                    ballot,
                    accepted,
                },
            ),
        );
        add(
            "accepted",
            RolloutMessage::PaxosReply(kind, PaxosReply::Accepted { agreement, ballot }),
        );
        add(
            "refused",
            RolloutMessage::PaxosReply(
                kind,
                PaxosReply::Refused {
                    agreement,
                    ballot,
                    promised,
                },
            ),
        );
    }
    all
}

#[test]
fn messages_between_nodes_match_the_record() {
    assert_round_trip("parcels.hex", &node_messages(), messages::encode, |bytes| {
        messages::decode(bytes).unwrap()
    });
}

#[test]
fn many_rollouts_are_split_into_the_recorded_messages() {
    let rollouts: Vec<Rollout> = OUTCOMES
        .iter()
        .map(|outcome| rollout(Kind::Program, *outcome))
        .collect();
    let message = messages::rollout_messages(rollouts.iter(), true);
    let all: Vec<_> = message
        .into_iter()
        .enumerate()
        .map(|(at, message)| (format!("parcel-{at}"), message))
        .collect();
    assert_round_trip("many_changes.hex", &all, messages::encode, |bytes| {
        messages::decode(bytes).unwrap()
    });
}

#[test]
fn attached_reports_match_the_record() {
    let labelled_report = |status| {
        (
            status_label(status).to_owned(),
            NodeReport {
                why: String::new(),
                ..report(Outcome::Halted, status)
            },
        )
    };
    let all: Vec<_> = NODE_STATUSES.into_iter().map(labelled_report).collect();
    assert_round_trip("entries.hex", &all, messages::encode_attachment, |bytes| {
        messages::decode_attachment(bytes).unwrap()
    });
    let with_why = messages::encode_attachment(&report(Outcome::Halted, NodeStatus::Crashed));
    assert_eq!(
        messages::decode_attachment(&with_why).as_ref(),
        all.last().map(|(_, report)| report)
    );
}

#[test]
fn operator_commands_match_the_record() {
    let full = |kind| OperatorCommand {
        kind,
        chunk: 9,
        bytes: (1..=20).collect(),
        size: 9236,
        digest: (101..=132).collect(),
        number: 6,
        hash: 0x1122_3344_5566_7788,
        rollout: 0x4455_6677_8899_aabb,
        why: "it smells: é".into(),
        program: true,
    };
    let kinds = [
        ("piece", command_kind::CHUNK),
        ("offer", command_kind::OFFER),
        ("halt", command_kind::HALT),
        ("back", command_kind::ROLL_BACK),
    ];
    assert_message_round_trip(
        "orders.hex",
        &kinds.map(|(name, kind)| named(name, full(kind))),
    );
}

/// Returns the replies of a node to a sequence of operator commands.
fn command_replies() -> Vec<(String, CommandReply)> {
    let content: Vec<u8> = (0..1500).map(|at| at as u8).collect();
    let digest = chunks::digest(&content).to_vec();
    let chunk = |index| OperatorCommand {
        kind: command_kind::CHUNK,
        chunk: index,
        bytes: chunks::chunk(&content, index).unwrap().to_vec(),
        size: 1500,
        digest: digest.clone(),
        ..OperatorCommand::default()
    };
    let offer = OperatorCommand {
        kind: command_kind::OFFER,
        digest: digest.clone(),
        ..OperatorCommand::default()
    };
    let halt = OperatorCommand {
        kind: command_kind::HALT,
        ..OperatorCommand::default()
    };
    let (mut commands, mut rollouts) = (OperatorCommands::default(), RolloutTable::default());
    let reply = |commands: &mut OperatorCommands,
                 rollouts: &RolloutTable,
                 name: &str,
                 received: &OperatorCommand| match commands.handle(
        1,
        Kind::Settings,
        rollouts,
        received,
    ) {
        CommandAction::Reply(reply) => Some(named(name, reply)),
        _ => None,
    };
    let mut all = vec![
        reply(&mut commands, &rollouts, "pieces-missing", &offer),
        reply(&mut commands, &rollouts, "piece-taken", &chunk(0)),
        reply(&mut commands, &rollouts, "last-piece-taken", &chunk(1)),
        reply(&mut commands, &rollouts, "nothing-to-halt", &halt),
    ];
    assert!(matches!(
        commands.handle(1, Kind::Settings, &rollouts, &offer),
        CommandAction::CheckOffer { check: 1, .. }
    ));
    all.push(reply(&mut commands, &rollouts, "looked-into", &offer));
    let origin = (Kind::Settings, 0x5566_7788_99aa_bbcc, 1_700_000_000_789);
    let offered = commands
        .offer_checked(1, Ok(version(5)), origin, &rollouts, version(4), &plan())
        .unwrap();
    all.push(reply(&mut commands, &rollouts, "offered", &offer));
    let halt = OperatorCommand {
        rollout: offered.0.id.0,
        ..halt
    };
    rollouts.merge(&Rollout {
        outcome: Outcome::RolledBack,
        ..offered.0
    });
    all.push(reply(&mut commands, &rollouts, "taken-back-already", &halt));
    all.into_iter().map(Option::unwrap).collect()
}

#[test]
fn command_replies_match_the_record() {
    assert_message_round_trip("answers.hex", &command_replies());
}

/// Returns the messages of a supervisor to a process.
fn messages_from_supervisor() -> Vec<(String, SupervisorMessage)> {
    let begin = |kind, crashed, disk_was_empty, another_process_serves| StartInstructions {
        persisted: persisted(kind),
        version: version(5),
        crashed,
        disk_was_empty,
        another_process_serves,
    };
    let refused = Err("it is not here: é".into());
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

/// Returns the messages of a process to its supervisor.
fn messages_from_process() -> Vec<(String, SupervisorMessage)> {
    let persist = SupervisorMessage {
        kind: kind::PERSIST,
        request: 13,
        persisted: persisted(Kind::Program).encode(),
        ..SupervisorMessage::default()
    };
    vec![
        named("ready", SupervisorMessage::plain(kind::READY)),
        named("keep", persist),
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

/// Returns a message with every field set.
fn full_supervisor_message() -> SupervisorMessage {
    SupervisorMessage {
        kind: 77,
        request: 16,
        persisted: vec![1, 2, 3],
        number: 17,
        hash: 18,
        refused: true,
        why: "why".into(),
        died_tries: 19,
        died_change: 20,
        died_number: 21,
        died_hash: 22,
        disk_was_empty: true,
        another_process_serves: true,
    }
}

fn read_single(bytes: &[u8]) -> SupervisorMessage {
    let mut reader = MessageReader::default();
    reader.feed(bytes);
    let message = reader.take().unwrap().unwrap();
    assert_eq!(reader.take(), Ok(None));
    message
}

#[test]
fn supervisor_messages_match_the_record() {
    assert_round_trip(
        "sayings_of_the_parent.hex",
        &messages_from_supervisor(),
        SupervisorMessage::write,
        read_single,
    );
    assert_round_trip(
        "sayings_of_the_process.hex",
        &messages_from_process(),
        SupervisorMessage::write,
        read_single,
    );
    assert_round_trip(
        "sayings_full.hex",
        &[named("full", full_supervisor_message())],
        SupervisorMessage::write,
        read_single,
    );
}

#[test]
fn start_instructions_are_decoded_from_the_record() {
    let instructions: Vec<StartInstructions> = recorded("sayings_of_the_parent.hex")
        .lines()
        .filter_map(|line| {
            read_single(&unhex(line.split_once(' ').unwrap().1)).start_instructions()
        })
        .collect();
    assert_eq!(instructions.len(), 2);
    assert_eq!(instructions[0].persisted, persisted(Kind::Settings));
    assert_eq!(
        (
            instructions[0].crashed,
            instructions[0].disk_was_empty,
            instructions[0].another_process_serves
        ),
        (Some(trial()), true, false)
    );
    assert_eq!(instructions[1].persisted, persisted(Kind::Program));
    assert_eq!(
        (
            instructions[1].crashed,
            instructions[1].disk_was_empty,
            instructions[1].another_process_serves
        ),
        (None, false, true)
    );
    assert!(
        instructions
            .iter()
            .all(|instruction| instruction.version == version(5))
    );
}

#[test]
fn persisted_state_matches_the_record() {
    let mut first = PersistedState::new(Kind::Settings);
    first.promote(version(4));
    first.trial = Some(trial());
    let all = [
        named("settings", persisted(Kind::Settings)),
        named("program", persisted(Kind::Program)),
        named("first-trial", first),
        named("nothing", PersistedState::new(Kind::Program)),
    ];
    assert_round_trip("kept.hex", &all, PersistedState::encode, |bytes| {
        PersistedState::decode(bytes).unwrap()
    });
}

fn version_status(number: u64) -> Option<VersionStatus> {
    let version = version(number);
    Some(VersionStatus {
        number: version.number,
        hash: version.hash,
    })
}

/// Returns a status with every field set.
fn full_status() -> StatusSnapshot {
    let rollout = RolloutStatus {
        id: 0x4455_6677_8899_aabb,
        kind: 1,
        version: version_status(5),
        base: version_status(4),
        stage: 2,
        stages: vec!["one node".into(), "all".into()],
        outcome: "halted".into(),
        why: "book errs".into(),
        by: "n1".into(),
        ended_ms: 1_700_000_000_456,
        offered_by: "n2".into(),
        offered_ms: 1_700_000_000_789,
        agreement: 31,
        cluster_size: 340,
    };
    let node = NodeStatusEntry {
        name: "n3".into(),
        zone: "a".into(),
        present: true,
        in_stage: true,
        running: version_status(6),
        since_ms: 1_700_000_001_111,
        status: "on trial".into(),
        crashes: 8,
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
        rejected: vec![49, 50],
        errored: vec![51, 52],
        late: vec![53, 54],
        memory_kb: vec![55.5, 56.5],
    };
    StatusSnapshot {
        node: "n4".into(),
        at_ms: 1_700_000_003_333,
        kind: 1,
        running: version_status(7),
        reasons: vec!["one".into(), "two".into()],
        coordinator: "n5".into(),
        coordinator_address: "192.0.2.1:7".into(),
        waits: "for a sample".into(),
        rollouts: vec![rollout],
        nodes: vec![node],
        nodes_in_all: 301,
        verdict: "fine".into(),
        findings: vec![finding],
        sample: vec![61, 62],
        judged: vec![63, 64],
        points: vec![point],
        window_ms: 5000,
        promoted: version_status(8),
    }
}

#[test]
fn status_matches_the_record() {
    assert_message_round_trip("shown.hex", &[named("status", full_status())]);
}

#[test]
fn names_chunks_positions_and_digests_match_the_record() {
    let content: Vec<u8> = (0..CHUNK_BYTES + 20).map(|at| at as u8).collect();
    let outcomes =
        OUTCOMES.map(|outcome| format!("fate {}: {}\n", outcome as u32, outcome.display_name()));
    let statuses =
        NODE_STATUSES.map(|status| format!("stand {}: {}\n", status as u32, status.display_name()));
    let (id, version) = (RolloutId(0x4455_6677_8899_aabb), version(5));
    let mut lines = [outcomes.concat(), statuses.concat()].concat();
    lines += &format!("version: {version}\nchange: {id}\n");
    lines += &format!("digest of a content: {}\n", hex(&chunks::digest(&content)));
    lines += &format!(
        "pieces of {}: {}\n",
        content.len(),
        chunks::count(content.len())
    );
    lines += &format!("last piece: {}\n", hex(chunks::chunk(&content, 1).unwrap()));
    // All nodes must compute the same position in a rollout and the same digest of known rollouts.
    lines += &format!("place: {:016x}\n", node_position(id, 0x5566_7788_99aa_bbcc));
    let mut known = RolloutTable::default();
    known.merge(&rollout(Kind::Settings, Outcome::Halted));
    lines += &format!("digest of what is known: {:016x}\n", known.digest());
    assert_recorded("words.txt", &lines);
}
