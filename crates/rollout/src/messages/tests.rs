use super::*;
use crate::rollout::tests::change;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn report() -> NodeReport {
    NodeReport {
        change: RolloutId(7),
        stage: 2,
        fate: Outcome::Halted,
        stand: NodeStatus::OnTrial,
        running: Version {
            number: 3,
            hash: 1 << 60,
        },
        good: Version { number: 2, hash: 5 },
        since_ms: 1 << 40,
        died: 1,
        died_ms: 1 << 41,
        why: "said so".into(),
        digest: 99,
    }
}

fn all() -> Vec<ReceivedMessage> {
    let mut far = change(3, 9);
    let until = BTreeMap::from([(1, 1 << 62), (7, u64::MAX)]);
    far.reach = Progress {
        seq: 31,
        stage: 2,
        before: BTreeMap::from([(7, 5)]),
        until,
        all: false,
        electorate: 12,
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
        change: RolloutId(3),
        reach: far.reach.clone(),
    };
    (far.fate, far.reason) = (
        Outcome::RolledBack,
        Reason::new(1 << 40, 6, "book errs: 0.31 of the new, 0.01 of the old"),
    );
    vec![
        ReceivedMessage::RolloutTable {
            changes: vec![change(1, 2), far],
            answer: true,
        },
        ReceivedMessage::Poll {
            no: 4,
            change: RolloutId(1 << 63),
            stage: 2,
            fate: Outcome::InProgress,
        },
        ReceivedMessage::NodeReport {
            no: 4,
            report: report(),
        },
        ReceivedMessage::AskPieces {
            change: RolloutId(3),
            first: 17,
            count: 8,
        },
        ReceivedMessage::Piece {
            change: RolloutId(3),
            no: 17,
            bytes: vec![7; PIECE],
        },
        ReceivedMessage::PaxosRequest(Kind::Program, PaxosRequest::Prepare { seq: 31, ballot }),
        ReceivedMessage::PaxosRequest(
            Kind::Settings,
            PaxosRequest::Accept {
                ballot,
                proposal: proposal.clone(),
                again: true,
            },
        ),
        ReceivedMessage::PaxosReply(
            Kind::Settings,
            PaxosReply::Promised {
                seq: 31,
                ballot,
                accepted: Some((promised, proposal)),
            },
        ),
        ReceivedMessage::PaxosReply(
            Kind::Program,
            PaxosReply::Promised {
                seq: 31,
                ballot,
                accepted: None,
            },
        ),
        ReceivedMessage::PaxosReply(Kind::Settings, PaxosReply::Accepted { seq: 31, ballot }),
        ReceivedMessage::PaxosReply(
            Kind::Settings,
            PaxosReply::Refused {
                seq: 31,
                ballot,
                promised,
            },
        ),
    ]
}

#[test]
fn what_is_told_is_read_as_it_was_meant() {
    for told in all() {
        let bytes = write(&told);
        assert!(bytes.len() <= PARCEL_MAX, "{told:?}");
        assert_eq!(read(&bytes), Some(told));
    }
    let part = write_part(&report());
    assert!(part.len() < 90, "{}", part.len());
    assert_eq!(
        read_part(&part),
        Some(NodeReport {
            why: String::new(),
            ..report()
        })
    );
}

#[test]
fn many_changes_are_told_in_parcels_that_fit() {
    let mut all: Vec<Rollout> = (1..=CHANGES_MAX as u64).map(|id| change(id, id)).collect();
    for change in &mut all {
        change.reach.until = (0..ZONES_MAX as u32).map(|zone| (zone, 1 << 60)).collect();
        (change.fate, change.reason) = (
            Outcome::Halted,
            Reason::new(1 << 41, 1 << 60, &"x".repeat(REASON_MAX)),
        );
    }
    let told = changes(all.iter(), true);
    let read: Vec<ReceivedMessage> = told
        .iter()
        .map(|told| read(&write(told)).unwrap())
        .collect();
    assert_eq!(read, told);
    let heard: Vec<Rollout> = read
        .iter()
        .flat_map(|told| match told {
            ReceivedMessage::RolloutTable { changes, .. } => changes.clone(),
            _ => Vec::new(),
        })
        .collect();
    assert_eq!(heard, all);
    assert_eq!(
        told.iter()
            .filter(|t| matches!(t, ReceivedMessage::RolloutTable { answer: true, .. }))
            .count(),
        1
    );
}

/// A later program may add fields, kinds and fates: what is known is read, and what is not is
/// taken for safe.
#[test]
fn a_later_version_is_read_as_far_as_it_is_known() {
    let mut parcel = Parcel {
        kind: 1,
        changes: vec![write_change(&change(1, 2))],
        ..Parcel::default()
    };
    parcel.changes[0].fate = 9;
    let mut bytes = parcel.encode_to_vec();
    bytes.extend([0xfa, 0x01, 0x01, b'x']); // a field 31
    let Some(ReceivedMessage::RolloutTable { changes, .. }) = read(&bytes) else {
        panic!("changes")
    };
    assert_eq!(changes[0].fate, Outcome::RolledBack);
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
    parcel.changes.push(OneChange {
        kind: 7,
        ..parcel.changes[0].clone()
    });
    let Some(ReceivedMessage::RolloutTable { changes, .. }) = read(&parcel.encode_to_vec()) else {
        panic!("changes")
    };
    assert_eq!(
        changes.len(),
        1,
        "a kind of change that is not known is passed over"
    );
    assert_eq!(
        read_report(&OneReport {
            stand: 77,
            ..OneReport::default()
        })
        .stand,
        NodeStatus::Unknown
    );
}

#[test]
fn every_cut_and_bit_is_read_or_refused() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for told in all() {
        let bytes = write(&told);
        for at in 0..bytes.len().min(400) {
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
        let _ = (read(&noise), read_part(&noise));
    }
}
