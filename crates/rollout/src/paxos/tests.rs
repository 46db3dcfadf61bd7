use super::*;
use crate::rollout::Reason;
use crate::rollout::tests::change;

const K: Kind = Kind::Settings;

fn changes(ids: &[u64]) -> RolloutTable {
    let mut changes = RolloutTable::default();
    ids.iter()
        .for_each(|id| _ = changes.hear(&change(*id, *id)));
    changes
}

fn proposal(id: u64, seq: u64, stage: u32) -> Proposal {
    Proposal {
        change: RolloutId(id),
        reach: Progress {
            seq,
            stage,
            ..Progress::default()
        },
    }
}

fn ballot(round: u64, by: u64) -> Ballot {
    Ballot { round, by }
}

/// Three arbiters that write at once.
struct Three {
    votes: [Vote; 3],
    changes: [RolloutTable; 3],
}

impl Three {
    fn new(ids: &[u64]) -> Three {
        Three {
            votes: Default::default(),
            changes: [changes(ids), changes(ids), changes(ids)],
        }
    }

    fn ask(&mut self, at: usize, ask: &PaxosRequest) -> Option<PaxosReply> {
        match self.votes[at].asked(&self.changes[at], K, ask) {
            VoterAction::PaxosReply(say) => Some(say),
            VoterAction::Write(vote, say) => {
                self.votes[at] = vote;
                Some(say)
            }
            VoterAction::Behind | VoterAction::Ahead => None,
        }
    }

    /// Plays a round with those that are reached; what came of it.
    fn play(&mut self, ballot: Ballot, wished: Proposal, reached: &[usize]) -> RoundStep {
        let (mut round, mut ask) = PaxosRound::begin(0, ballot, wished, 3);
        loop {
            let mut next = RoundStep::Wait;
            for at in reached {
                let Some(say) = self.ask(*at, &ask) else {
                    continue;
                };
                match round.said(*at as u64, &say) {
                    RoundStep::Wait => {}
                    other => next = other,
                }
            }
            match next {
                RoundStep::PaxosRequest(then) => ask = then,
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
    (0..3).for_each(|at| drop(three.ask(at, &prepare)));
    assert_eq!(
        three.play(ballot(4, 2), proposal(1, 1, 1), &[0, 1, 2]),
        RoundStep::GiveUp(ballot(5, 1))
    );
}

#[test]
fn nothing_new_is_voted_for_a_halted_change_and_what_may_be_agreed_on_is_carried_through() {
    let mut three = Three::new(&[1]);
    three.changes[0].end(RolloutId(1), Outcome::Halted, Reason::default());
    three.changes[1].end(RolloutId(1), Outcome::Halted, Reason::default());
    assert!(matches!(
        three.play(ballot(1, 9), proposal(1, 1, 1), &[0, 1, 2]),
        RoundStep::GiveUp(_)
    ));
    three.votes[2].accepted = Some((ballot(1, 3), proposal(1, 1, 1)));
    three.votes[2].seq = 1;
    assert_eq!(
        three.play(ballot(2, 9), proposal(1, 1, 2), &[0, 2]),
        RoundStep::Agreed(proposal(1, 1, 1))
    );
}

#[test]
fn who_lacks_what_came_before_takes_no_part_and_who_knows_more_tells() {
    let mut three = Three::new(&[1]);
    let ask = PaxosRequest::Prepare {
        seq: 2,
        ballot: ballot(1, 1),
    };
    assert_eq!(
        three.votes[0].asked(&three.changes[0], K, &ask),
        VoterAction::Behind
    );
    three.changes[0].advance(
        RolloutId(1),
        &Progress {
            seq: 2,
            stage: 2,
            ..Progress::default()
        },
    );
    assert_eq!(
        three.votes[0].asked(&three.changes[0], K, &ask),
        VoterAction::Ahead
    );
    // A change that begins while another is under way finds no votes.
    let mut three = Three::new(&[1, 2]);
    three.changes.iter_mut().for_each(|changes| {
        changes.advance(
            RolloutId(1),
            &Progress {
                seq: 1,
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
    assert!(!round.is_over(5 + ROUND) && round.is_over(6 + ROUND));
    assert_eq!(round.change(), RolloutId(1));
}
