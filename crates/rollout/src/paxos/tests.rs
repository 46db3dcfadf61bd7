use super::*;
use crate::rollout::Reason;
use crate::rollout::tests::rollout;

const K: Kind = Kind::Settings;

fn rollouts(ids: &[u64]) -> RolloutTable {
    let mut rollouts = RolloutTable::default();
    ids.iter()
        .for_each(|id| _ = rollouts.merge(&rollout(*id, *id)));
    rollouts
}

fn proposal(id: u64, agreement: u64, stage: u32) -> Proposal {
    Proposal {
        rollout: RolloutId(id),
        progress: Progress {
            agreement,
            stage,
            ..Progress::default()
        },
    }
}

fn ballot(round: u64, by: u64) -> Ballot {
    Ballot { round, by }
}

/// Three voters that write at once.
struct Three {
    votes: [Vote; 3],
    rollouts: [RolloutTable; 3],
}

impl Three {
    fn new(ids: &[u64]) -> Three {
        Three {
            votes: Default::default(),
            rollouts: [rollouts(ids), rollouts(ids), rollouts(ids)],
        }
    }

    fn request(&mut self, at: usize, request: &PaxosRequest) -> Option<PaxosReply> {
        match self.votes[at].handle_request(&self.rollouts[at], K, request) {
            VoterAction::Reply(reply) => Some(reply),
            VoterAction::Persist(vote, reply) => {
                self.votes[at] = vote;
                Some(reply)
            }
            VoterAction::Behind | VoterAction::Ahead => None,
        }
    }

    /// Plays a round with those that are reached; what came of it.
    fn play(&mut self, ballot: Ballot, wished: Proposal, record_progress: &[usize]) -> RoundStep {
        let (mut round, mut request) = PaxosRound::begin(0, ballot, wished, 3);
        loop {
            let mut next = RoundStep::Wait;
            for at in record_progress {
                let Some(reply) = self.request(*at, &request) else {
                    continue;
                };
                match round.handle_reply(*at as u64, &reply) {
                    RoundStep::Wait => {}
                    other => next = other,
                }
            }
            match next {
                RoundStep::Request(then) => request = then,
                other => return other,
            }
        }
    }
}

#[test]
fn a_majority_agrees_and_a_minority_does_not() {
    let mut three = Three::new(&[1, 2]);
    assert_eq!(
        three.play(ballot(1, 9), proposal(1, 1, 1), &[0]),
        RoundStep::Wait
    );
    assert_eq!(
        three.play(ballot(2, 8), proposal(2, 1, 1), &[1, 2]),
        RoundStep::Agreed(proposal(2, 1, 1))
    );
    // The other one learns what was agreed on and carries that through.
    assert_eq!(
        three.play(ballot(3, 9), proposal(1, 1, 1), &[0, 1]),
        RoundStep::Agreed(proposal(2, 1, 1))
    );
}

#[test]
fn rounds_before_the_promised_one_are_refused() {
    let mut three = Three::new(&[1]);
    let (_, prepare) = PaxosRound::begin(0, ballot(5, 1), proposal(1, 1, 1), 3);
    (0..3).for_each(|at| drop(three.request(at, &prepare)));
    assert_eq!(
        three.play(ballot(4, 2), proposal(1, 1, 1), &[0, 1, 2]),
        RoundStep::GiveUp(ballot(5, 1))
    );
}

#[test]
fn nothing_new_is_voted_for_a_halted_change_and_what_may_be_agreed_on_is_carried_through() {
    let mut three = Three::new(&[1]);
    three.rollouts[0].end(RolloutId(1), Outcome::Halted, Reason::default());
    three.rollouts[1].end(RolloutId(1), Outcome::Halted, Reason::default());
    assert!(matches!(
        three.play(ballot(1, 9), proposal(1, 1, 1), &[0, 1, 2]),
        RoundStep::GiveUp(_)
    ));
    three.votes[2].accepted = Some((ballot(1, 3), proposal(1, 1, 1)));
    three.votes[2].agreement = 1;
    assert_eq!(
        three.play(ballot(2, 9), proposal(1, 1, 2), &[0, 2]),
        RoundStep::Agreed(proposal(1, 1, 1))
    );
}

#[test]
fn who_lacks_what_came_before_takes_no_part_and_who_knows_more_tells() {
    let mut three = Three::new(&[1]);
    let request = PaxosRequest::Prepare {
        agreement: 2,
        ballot: ballot(1, 1),
    };
    assert_eq!(
        three.votes[0].handle_request(&three.rollouts[0], K, &request),
        VoterAction::Behind
    );
    three.rollouts[0].advance(
        RolloutId(1),
        &Progress {
            agreement: 2,
            stage: 2,
            ..Progress::default()
        },
    );
    assert_eq!(
        three.votes[0].handle_request(&three.rollouts[0], K, &request),
        VoterAction::Ahead
    );
    // A rollout that begins while another is under way finds no votes.
    let mut three = Three::new(&[1, 2]);
    three.rollouts.iter_mut().for_each(|rollouts| {
        rollouts.advance(
            RolloutId(1),
            &Progress {
                agreement: 1,
                stage: 1,
                ..Progress::default()
            },
        );
    });
    assert!(matches!(
        three.play(ballot(1, 9), proposal(2, 2, 1), &[0, 1, 2]),
        RoundStep::GiveUp(_)
    ));
}

#[test]
fn a_round_ends() {
    let (round, _) = PaxosRound::begin(5, ballot(1, 1), proposal(1, 1, 1), 3);
    assert!(!round.is_timed_out(5 + ROUND_TIMEOUT) && round.is_timed_out(6 + ROUND_TIMEOUT));
    assert_eq!(round.rollout(), RolloutId(1));
}
