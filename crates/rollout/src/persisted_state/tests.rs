use super::*;
use crate::paxos::{Ballot, Proposal};
use crate::rollout::tests::rollout;
use crate::rollout::{Outcome, Reason};
use crate::stages::{MAX_ZONES, Progress};

fn v(number: u64) -> Version {
    Version {
        number,
        hash: crate::splitmix64(number),
    }
}

fn full() -> PersistedState {
    let trial = Some(Trial {
        rollout: RolloutId(9),
        version: v(3),
        tries: 1,
    });
    let rejected = (10..20).map(|n| (v(n), n as u32 % 3)).collect();
    let mut head = rollout(9, 3);
    let thresholds = (0..MAX_ZONES as u32).map(|zone| (zone, 1 << 60));
    head.progress = Progress {
        agreement: 31,
        stage: 2,
        thresholds: thresholds.clone().collect(),
        ..Progress::default()
    };
    (head.outcome, head.reason) = (
        Outcome::Halted,
        Reason::new(1 << 41, 1 << 60, &"x".repeat(200)),
    );
    head.progress.previous_thresholds = thresholds.collect();
    let proposal = Proposal {
        rollout: RolloutId(9),
        progress: Progress {
            agreement: 32,
            ..head.progress.clone()
        },
    };
    let (promised, earlier) = (
        Ballot {
            round: 9,
            by: 1 << 60,
        },
        Ballot { round: 8, by: 1 },
    );
    let vote = Vote {
        agreement: 32,
        promised,
        accepted: Some((earlier, proposal)),
    };
    PersistedState {
        kind: Kind::Settings,
        promoted: Some(v(2)),
        previous: Some(v(1)),
        trial,
        rejected,
        head: Some(head),
        vote: Some(vote),
        abstains_to: 7,
    }
}

#[test]
fn encoding_round_trips_and_every_truncation_and_bit_flip_is_detected() {
    for persisted in [PersistedState::new(Kind::Program), full()] {
        let file = persisted.encode();
        assert!(file.len() <= MAX_FILE_BYTES);
        assert_eq!(PersistedState::decode(&file), Ok(persisted.clone()));
        for at in 0..file.len() {
            assert!(
                PersistedState::decode(&file[..at]).is_err(),
                "truncated at {at}"
            );
            for bit in 0..8 {
                let mut file = file.clone();
                file[at] ^= 1 << bit;
                assert!(
                    PersistedState::decode(&file).is_err(),
                    "byte {at} bit {bit}"
                );
            }
        }
    }
    assert_eq!(
        PersistedState::decode(b"mpv2 and more to come"),
        Err(PersistedStateError::NewerFormat)
    );
}

#[test]
fn node_that_crashed_on_trial_starts_on_the_last_promoted_version() {
    let mut persisted = full();
    let (start, crashed) = persisted.start_candidates(v(1));
    assert_eq!(
        (start, crashed.unwrap().version, persisted.trial),
        (vec![v(2), v(1)], v(3), None)
    );
    assert_eq!(
        (persisted.crashes(v(3)), persisted.start_candidates(v(1)).1),
        (1, None)
    );
    persisted.trial = Some(Trial {
        rollout: RolloutId(9),
        version: v(3),
        tries: 2,
    });
    assert_eq!(
        persisted.start_candidates(v(3)).0,
        [v(2), v(1), v(3)],
        "a version installed by hand that has crashed comes last"
    );
    assert_eq!(persisted.crashes(v(3)), 2);
}

#[test]
fn promoted_version_is_kept_once_there_is_one() {
    let mut persisted = PersistedState::new(Kind::Settings);
    assert_eq!(persisted.start_candidates(v(7)), (vec![v(7)], None));
    persisted.promote(v(1));
    persisted.trial = Some(Trial {
        rollout: RolloutId(1),
        version: v(2),
        tries: 1,
    });
    assert_eq!(persisted.needed().collect::<Vec<_>>(), [v(1), v(2)]);
    persisted.promote(v(2));
    assert_eq!(
        (persisted.promoted, persisted.previous),
        (Some(v(2)), Some(v(1)))
    );
    assert_eq!(
        persisted.start_candidates(v(1)).0,
        [v(2), v(1)],
        "an older version installed by the operator comes last"
    );
    assert_eq!(
        persisted.start_candidates(v(5)).0,
        [v(5), v(2), v(1)],
        "a newer version installed by the operator comes first"
    );
    persisted.promote(v(2));
    assert_eq!(persisted.previous, Some(v(1)));
    (30..60).for_each(|n| persisted.reject(v(n), 0));
    assert_eq!(
        (
            persisted.rejected.len(),
            persisted.encode().len() <= MAX_FILE_BYTES
        ),
        (MAX_REJECTED, true)
    );
}
