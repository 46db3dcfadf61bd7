use super::*;
use crate::paxos::{Ballot, Proposal};
use crate::rollout::tests::change;
use crate::rollout::{Outcome, Reason};
use crate::stages::{Progress, ZONES_MAX};

fn v(number: u64) -> Version {
    Version {
        number,
        hash: crate::mix(number),
    }
}

fn full() -> PersistedState {
    let trial = Some(Trial {
        change: RolloutId(9),
        version: v(3),
        tries: 1,
    });
    let turned_down = (10..20).map(|n| (v(n), n as u32 % 3)).collect();
    let mut head = change(9, 3);
    let until = (0..ZONES_MAX as u32).map(|zone| (zone, 1 << 60));
    head.reach = Progress {
        seq: 31,
        stage: 2,
        until: until.clone().collect(),
        ..Progress::default()
    };
    (head.fate, head.reason) = (
        Outcome::Halted,
        Reason::new(1 << 41, 1 << 60, &"x".repeat(200)),
    );
    head.reach.before = until.collect();
    let proposal = Proposal {
        change: RolloutId(9),
        reach: Progress {
            seq: 32,
            ..head.reach.clone()
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
        seq: 32,
        promised,
        accepted: Some((earlier, proposal)),
    };
    PersistedState {
        kind: Kind::Settings,
        good: Some(v(2)),
        before: Some(v(1)),
        trial,
        turned_down,
        head: Some(head),
        vote: Some(vote),
        abstains_to: 7,
    }
}

#[test]
fn what_is_written_is_read_and_every_cut_and_bit_is_found() {
    for kept in [PersistedState::new(Kind::Program), full()] {
        let file = kept.write();
        assert!(file.len() <= FILE_MAX);
        assert_eq!(PersistedState::read(&file), Ok(kept.clone()));
        for at in 0..file.len() {
            assert!(PersistedState::read(&file[..at]).is_err(), "cut at {at}");
            for bit in 0..8 {
                let mut file = file.clone();
                file[at] ^= 1 << bit;
                assert!(PersistedState::read(&file).is_err(), "byte {at} bit {bit}");
            }
        }
    }
    assert_eq!(
        PersistedState::read(b"mpv2 and more to come"),
        Err(PersistedStateError::Later)
    );
}

#[test]
fn one_that_died_on_trial_starts_on_the_last_good_version() {
    let mut kept = full();
    let (start, died) = kept.begin(v(1));
    assert_eq!(
        (start, died.unwrap().version, kept.trial),
        (vec![v(2), v(1)], v(3), None)
    );
    assert_eq!((kept.deaths(v(3)), kept.begin(v(1)).1), (1, None));
    kept.trial = Some(Trial {
        change: RolloutId(9),
        version: v(3),
        tries: 2,
    });
    assert_eq!(
        kept.begin(v(3)).0,
        [v(2), v(1), v(3)],
        "laid there beside, and died: it goes last"
    );
    assert_eq!(kept.deaths(v(3)), 2);
}

#[test]
fn a_last_good_version_always_exists_once_there_was_one() {
    let mut kept = PersistedState::new(Kind::Settings);
    assert_eq!(kept.begin(v(7)), (vec![v(7)], None));
    kept.found_good(v(1));
    kept.trial = Some(Trial {
        change: RolloutId(1),
        version: v(2),
        tries: 1,
    });
    assert_eq!(kept.needed().collect::<Vec<_>>(), [v(1), v(2)]);
    kept.found_good(v(2));
    assert_eq!((kept.good, kept.before), (Some(v(2)), Some(v(1))));
    assert_eq!(
        kept.begin(v(1)).0,
        [v(2), v(1)],
        "what it was set up with goes last"
    );
    assert_eq!(
        kept.begin(v(5)).0,
        [v(5), v(2), v(1)],
        "and what is newer goes first"
    );
    kept.found_good(v(2));
    assert_eq!(kept.before, Some(v(1)));
    (30..60).for_each(|n| kept.turn_down(v(n), 0));
    assert_eq!(
        (kept.turned_down.len(), kept.write().len() <= FILE_MAX),
        (TURNED_DOWN, true)
    );
}
