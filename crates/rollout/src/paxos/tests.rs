use super::*;
use crate::rollout::Reason;
use crate::rollout::tests::rollout;

const KIND: Kind = Kind::Settings;

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

/// Three voters whose votes are persisted at once.
struct ThreeVoters {
    votes: [Vote; 3],
    rollouts: [RolloutTable; 3],
}

impl ThreeVoters {
    fn new(ids: &[u64]) -> ThreeVoters {
        ThreeVoters {
            votes: Default::default(),
            rollouts: [rollouts(ids), rollouts(ids), rollouts(ids)],
        }
    }

    fn request(&mut self, at: usize, request: &PaxosRequest) -> Option<PaxosReply> {
        match self.votes[at].handle_request(&self.rollouts[at], KIND, request) {
            VoterAction::Reply(reply) => Some(reply),
            VoterAction::Persist(vote, reply) => {
                self.votes[at] = vote;
                Some(reply)
            }
            VoterAction::Behind | VoterAction::Ahead => None,
        }
    }

    /// Runs a round of voting with the reachable voters and returns its result.
    fn run_round(&mut self, ballot: Ballot, preferred: Proposal, reachable: &[usize]) -> RoundStep {
        let (mut round, mut request) = PaxosRound::begin(0, ballot, preferred, 3);
        loop {
            let mut next = RoundStep::Wait;
            for at in reachable {
                let Some(reply) = self.request(*at, &request) else {
                    continue;
                };
                match round.handle_reply(*at as u64, &reply) {
                    RoundStep::Wait => {}
                    other => next = other,
                }
            }
            match next {
                RoundStep::Request(following) => request = following,
                other => return other,
            }
        }
    }
}

#[test]
fn majority_agrees_and_minority_does_not() {
    let mut voters = ThreeVoters::new(&[1, 2]);
    assert_eq!(
        voters.run_round(ballot(1, 9), proposal(1, 1, 1), &[0]),
        RoundStep::Wait
    );
    assert_eq!(
        voters.run_round(ballot(2, 8), proposal(2, 1, 1), &[1, 2]),
        RoundStep::Agreed(proposal(2, 1, 1))
    );
    // The other coordinator learns of the accepted proposal and carries it through.
    assert_eq!(
        voters.run_round(ballot(3, 9), proposal(1, 1, 1), &[0, 1]),
        RoundStep::Agreed(proposal(2, 1, 1))
    );
}

#[test]
fn rounds_below_the_promised_ballot_are_refused() {
    let mut voters = ThreeVoters::new(&[1]);
    let (_, prepare) = PaxosRound::begin(0, ballot(5, 1), proposal(1, 1, 1), 3);
    (0..3).for_each(|at| drop(voters.request(at, &prepare)));
    assert_eq!(
        voters.run_round(ballot(4, 2), proposal(1, 1, 1), &[0, 1, 2]),
        RoundStep::GiveUp(ballot(5, 1))
    );
}

#[test]
fn halted_rollout_gets_no_new_votes_but_an_accepted_proposal_is_carried_through() {
    let mut voters = ThreeVoters::new(&[1]);
    voters.rollouts[0].end(RolloutId(1), Outcome::Halted, Reason::default());
    voters.rollouts[1].end(RolloutId(1), Outcome::Halted, Reason::default());
    assert!(matches!(
        voters.run_round(ballot(1, 9), proposal(1, 1, 1), &[0, 1, 2]),
        RoundStep::GiveUp(_)
    ));
    voters.votes[2].accepted = Some((ballot(1, 3), proposal(1, 1, 1)));
    voters.votes[2].agreement = 1;
    assert_eq!(
        voters.run_round(ballot(2, 9), proposal(1, 1, 2), &[0, 2]),
        RoundStep::Agreed(proposal(1, 1, 1))
    );
}

#[test]
fn voter_that_lacks_agreements_abstains_and_voter_ahead_sends_its_rollouts() {
    let mut voters = ThreeVoters::new(&[1]);
    let request = PaxosRequest::Prepare {
        agreement: 2,
        ballot: ballot(1, 1),
    };
    assert_eq!(
        voters.votes[0].handle_request(&voters.rollouts[0], KIND, &request),
        VoterAction::Behind
    );
    voters.rollouts[0].advance(
        RolloutId(1),
        &Progress {
            agreement: 2,
            stage: 2,
            ..Progress::default()
        },
    );
    assert_eq!(
        voters.votes[0].handle_request(&voters.rollouts[0], KIND, &request),
        VoterAction::Ahead
    );
    // A rollout gets no votes to begin while another rollout is in progress.
    let mut voters = ThreeVoters::new(&[1, 2]);
    voters.rollouts.iter_mut().for_each(|rollouts| {
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
        voters.run_round(ballot(1, 9), proposal(2, 2, 1), &[0, 1, 2]),
        RoundStep::GiveUp(_)
    ));
}

#[test]
fn round_times_out() {
    let (round, _) = PaxosRound::begin(5, ballot(1, 1), proposal(1, 1, 1), 3);
    assert!(!round.is_timed_out(5 + ROUND_TIMEOUT) && round.is_timed_out(6 + ROUND_TIMEOUT));
    assert_eq!(round.rollout(), RolloutId(1));
}
