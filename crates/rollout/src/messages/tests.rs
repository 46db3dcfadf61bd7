use super::decode::decode_report;
use super::wire::{MessageWire, ReportWire};
use super::*;
use crate::chunks::CHUNK_BYTES;
use crate::identifiers::{Kind, RolloutId, Version};
use crate::node_report::{NodeReport, NodeStatus};
use crate::paxos::{Ballot, PaxosReply, PaxosRequest, Proposal};
use crate::rollout::tests::rollout;
use crate::rollout::{MAX_REASON_BYTES, Outcome, Reason, Rollout};
use crate::rollout_table::MAX_ROLLOUTS;
use crate::stages::{MAX_ZONES, Progress};
use prost::Message as _;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

fn report() -> NodeReport {
    NodeReport {
        rollout: RolloutId(7),
        stage: 2,
        outcome: Outcome::Halted,
        status: NodeStatus::OnTrial,
        running: Version {
            number: 3,
            hash: 1 << 60,
        },
        promoted: Version { number: 2, hash: 5 },
        since_ms: 1 << 40,
        crashes: 1,
        last_crash_ms: 1 << 41,
        why: "said so".into(),
        digest: 99,
    }
}

fn all_messages() -> Vec<RolloutMessage> {
    let mut rolled_back = rollout(3, 9);
    let thresholds = BTreeMap::from([(1, 1 << 62), (7, u64::MAX)]);
    rolled_back.progress = Progress {
        agreement: 31,
        stage: 2,
        previous_thresholds: BTreeMap::from([(7, 5)]),
        thresholds,
        whole_cluster: false,
        cluster_size: 12,
        at_ms: 1 << 41,
    };
    let (ballot, promised) = (
        Ballot {
            round: 3,
            by: 1 << 62,
        },
        Ballot { round: 2, by: 5 },
    );
    let proposal = Proposal {
        rollout: RolloutId(3),
        progress: rolled_back.progress.clone(),
    };
    (rolled_back.outcome, rolled_back.reason) = (
        Outcome::RolledBack,
        Reason::new(1 << 40, 6, "book errs: 0.31 of the new, 0.01 of the old"),
    );
    vec![
        RolloutMessage::Rollouts {
            rollouts: vec![rollout(1, 2), rolled_back],
            answer: true,
        },
        RolloutMessage::Poll {
            poll: 4,
            rollout: RolloutId(1 << 63),
            stage: 2,
            outcome: Outcome::InProgress,
        },
        RolloutMessage::NodeReport {
            poll: 4,
            report: report(),
        },
        RolloutMessage::ChunkRequest {
            rollout: RolloutId(3),
            first: 17,
            count: 8,
        },
        RolloutMessage::Chunk {
            rollout: RolloutId(3),
            index: 17,
            bytes: vec![7; CHUNK_BYTES],
        },
        RolloutMessage::PaxosRequest(
            Kind::Program,
            PaxosRequest::Prepare {
                agreement: 31,
                ballot,
            },
        ),
        RolloutMessage::PaxosRequest(
            Kind::Settings,
            PaxosRequest::Accept {
                ballot,
                proposal: proposal.clone(),
                again: true,
            },
        ),
        RolloutMessage::PaxosReply(
            Kind::Settings,
            PaxosReply::Promised {
                agreement: 31,
                ballot,
                accepted: Some((promised, proposal)),
            },
        ),
        RolloutMessage::PaxosReply(
            Kind::Program,
            PaxosReply::Promised {
                agreement: 31,
                ballot,
                accepted: None,
            },
        ),
        RolloutMessage::PaxosReply(
            Kind::Settings,
            PaxosReply::Accepted {
                agreement: 31,
                ballot,
            },
        ),
        RolloutMessage::PaxosReply(
            Kind::Settings,
            PaxosReply::Refused {
                agreement: 31,
                ballot,
                promised,
            },
        ),
    ]
}

#[test]
fn messages_and_attachments_are_decoded_as_encoded() {
    for message in all_messages() {
        let bytes = encode(&message);
        assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{message:?}");
        assert_eq!(decode(&bytes), Some(message));
    }
    let attachment = encode_attachment(&report());
    assert!(attachment.len() < 90, "{}", attachment.len());
    assert_eq!(
        decode_attachment(&attachment),
        Some(NodeReport {
            why: String::new(),
            ..report()
        })
    );
}

#[test]
fn many_rollouts_are_split_into_messages_within_the_size_bound() {
    let mut all: Vec<Rollout> = (1..=MAX_ROLLOUTS as u64)
        .map(|id| rollout(id, id))
        .collect();
    for rollout in &mut all {
        rollout.progress.thresholds = (0..MAX_ZONES as u32).map(|zone| (zone, 1 << 60)).collect();
        (rollout.outcome, rollout.reason) = (
            Outcome::Halted,
            Reason::new(1 << 41, 1 << 60, &"x".repeat(MAX_REASON_BYTES)),
        );
    }
    let messages = rollout_messages(all.iter(), true);
    let read: Vec<RolloutMessage> = messages
        .iter()
        .map(|message| decode(&encode(message)).unwrap())
        .collect();
    assert_eq!(read, messages);
    let received: Vec<Rollout> = read
        .iter()
        .flat_map(|message| match message {
            RolloutMessage::Rollouts { rollouts, .. } => rollouts.clone(),
            _ => Vec::new(),
        })
        .collect();
    assert_eq!(received, all);
    assert_eq!(
        messages
            .iter()
            .filter(|message| matches!(message, RolloutMessage::Rollouts { answer: true, .. }))
            .count(),
        1
    );
}

/// A later program may add fields, kinds and outcomes. Known fields are decoded; an unknown outcome
/// is read as the safest outcome.
#[test]
fn known_parts_of_a_message_of_a_later_version_are_decoded() {
    let mut wire = MessageWire {
        kind: 1,
        rollouts: vec![encode_rollout(&rollout(1, 2))],
        ..MessageWire::default()
    };
    wire.rollouts[0].outcome = 9;
    let mut bytes = wire.encode_to_vec();
    bytes.extend([0xfa, 0x01, 0x01, b'x']); // field 31, which the decoder does not know
    let Some(RolloutMessage::Rollouts { rollouts, .. }) = decode(&bytes) else {
        panic!("rollouts expected")
    };
    assert_eq!(rollouts[0].outcome, Outcome::RolledBack);
    assert_eq!(
        decode(
            &MessageWire {
                kind: 40,
                ..MessageWire::default()
            }
            .encode_to_vec()
        ),
        None
    );
    wire.rollouts.push(RolloutWire {
        kind: 7,
        ..wire.rollouts[0].clone()
    });
    let Some(RolloutMessage::Rollouts { rollouts, .. }) = decode(&wire.encode_to_vec()) else {
        panic!("rollouts expected")
    };
    assert_eq!(rollouts.len(), 1, "a rollout of an unknown kind is skipped");
    assert_eq!(
        decode_report(&ReportWire {
            status: 77,
            ..ReportWire::default()
        })
        .status,
        NodeStatus::Unknown
    );
}

#[test]
fn truncated_and_corrupted_messages_do_not_panic() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for message in all_messages() {
        let bytes = encode(&message);
        for at in 0..bytes.len().min(400) {
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
        let _ = (decode(&noise), decode_attachment(&noise));
    }
}
