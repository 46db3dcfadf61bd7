//! How the arbiters agree on what comes next: single decrees, one after the other, by majority
//! (Paxos as Lamport has it in "Paxos Made Simple"). Each agreement has a number; the next one is
//! voted on by arbiters that know all before it. So there is at most one agreement of a number,
//! whoever conducts, however many at once, and of two halves at most one goes on.
//!
//! An arbiter's vote is on its disk before it is told. What it takes part in is bounded by what it
//! knows: it starts nothing for a change that it knows to be halted. A value that may have been
//! agreed on already is carried through even so, for the numbers have no holes; as the change is
//! halted nobody begins anything by it.

use crate::change::{ChangeId, Changes, Fate, Kind};
use crate::stages::Reach;
use crate::{Nanos, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// A round that came to nothing in this time is given up.
pub const ROUND: Nanos = 4 * SECOND;

/// Whose round it is: the higher holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ballot {
    pub round: u64,
    pub by: u64,
}

/// What is voted on: that a change has come this far. Its number is in the reach.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Proposal {
    pub change: ChangeId,
    pub reach: Reach,
}

/// What an arbiter has voted, of the agreement that comes next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Vote {
    pub seq: u64,
    /// It takes no part in rounds before this one.
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Proposal)>,
}

/// What is asked of an arbiter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Ask {
    /// Take no part in rounds before mine; and what have you voted for?
    Prepare { seq: u64, ballot: Ballot },
    /// Vote for this. Again, if an arbiter had voted for it in a round before.
    Accept {
        ballot: Ballot,
        proposal: Proposal,
        again: bool,
    },
}

/// What it says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Say {
    Promised {
        seq: u64,
        ballot: Ballot,
        accepted: Option<(Ballot, Proposal)>,
    },
    Accepted {
        seq: u64,
        ballot: Ballot,
    },
    /// Its promise was given to another round, or what it knows speaks against it.
    Refused {
        seq: u64,
        ballot: Ballot,
        promised: Ballot,
    },
}

/// What comes of something that was asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Say this at once.
    Say(Say),
    /// Write the vote, and then say this.
    Write(Vote, Say),
    /// This arbiter lacks agreements before that one: it asks for them.
    Behind,
    /// It knows that one to be agreed on already, and tells.
    Ahead,
}

/// The number of the last agreement that is known.
pub fn known(changes: &Changes, kind: Kind) -> u64 {
    changes
        .iter()
        .filter(|change| change.kind == kind)
        .map(|change| change.reach.seq)
        .max()
        .unwrap_or(0)
}

impl Vote {
    /// Something is asked, and this is known.
    pub fn asked(&self, changes: &Changes, kind: Kind, ask: &Ask) -> Answer {
        let (seq, ballot) = match ask {
            Ask::Prepare { seq, ballot } => (*seq, *ballot),
            Ask::Accept {
                ballot, proposal, ..
            } => (proposal.reach.seq, *ballot),
        };
        let known = known(changes, kind);
        // What it voted on before may have been agreed on, so that it can't take part in what comes
        // after without knowing.
        if seq > known + 1 {
            return Answer::Behind;
        }
        if seq <= known {
            return Answer::Ahead;
        }
        let mut vote = if self.seq == seq {
            self.clone()
        } else {
            Vote {
                seq,
                ..Vote::default()
            }
        };
        if ballot < vote.promised {
            return Answer::Say(Say::Refused {
                seq,
                ballot,
                promised: vote.promised,
            });
        }
        match ask {
            Ask::Prepare { .. } => {
                let accepted = vote.accepted.clone();
                vote.promised = ballot;
                Answer::Write(
                    vote,
                    Say::Promised {
                        seq,
                        ballot,
                        accepted,
                    },
                )
            }
            Ask::Accept {
                proposal, again, ..
            } => {
                let change = changes.get(proposal.change);
                let Some(change) = change else {
                    return Answer::Behind;
                };
                let other = changes
                    .under_way(kind)
                    .is_some_and(|other| other.id != proposal.change);
                if !again && (change.fate != Fate::Open || other) {
                    return Answer::Say(Say::Refused {
                        seq,
                        ballot,
                        promised: vote.promised,
                    });
                }
                vote.promised = ballot;
                vote.accepted = Some((ballot, proposal.clone()));
                Answer::Write(vote, Say::Accepted { seq, ballot })
            }
        }
    }
}

/// A round of the one who conducts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    pub ballot: Ballot,
    pub seq: u64,
    since: Nanos,
    majority: usize,
    wished: Proposal,
    promised: BTreeMap<u64, Option<(Ballot, Proposal)>>,
    proposed: Option<Proposal>,
    accepted: BTreeSet<u64>,
    refused: BTreeSet<u64>,
    highest: Ballot,
}

/// What follows from what an arbiter said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    Wait,
    /// All arbiters are asked this.
    Ask(Ask),
    Agreed(Proposal),
    /// It comes to nothing; a next round is to be higher than this.
    GiveUp(Ballot),
}

impl Round {
    /// Begins one for a proposal, among so many arbiters; with what they are asked.
    pub fn begin(now: Nanos, ballot: Ballot, wished: Proposal, arbiters: usize) -> (Round, Ask) {
        let seq = wished.reach.seq;
        let round = Round {
            ballot,
            seq,
            since: now,
            majority: arbiters / 2 + 1,
            wished,
            promised: BTreeMap::new(),
            proposed: None,
            accepted: BTreeSet::new(),
            refused: BTreeSet::new(),
            highest: ballot,
        };
        (round, Ask::Prepare { seq, ballot })
    }

    /// Whether it has come to nothing in its time.
    pub fn is_over(&self, now: Nanos) -> bool {
        now > self.since + ROUND
    }

    /// The change that is carried through.
    pub fn change(&self) -> ChangeId {
        self.proposed.as_ref().unwrap_or(&self.wished).change
    }

    /// An arbiter said something.
    pub fn said(&mut self, from: u64, say: &Say) -> Next {
        match say {
            Say::Promised {
                seq,
                ballot,
                accepted,
            } if (*seq, *ballot) == (self.seq, self.ballot) => {
                self.promised.insert(from, accepted.clone());
                if self.proposed.is_some() || self.promised.len() < self.majority {
                    return Next::Wait;
                }
                let last = self
                    .promised
                    .values()
                    .flatten()
                    .max_by_key(|(ballot, _)| *ballot);
                let again = last.is_some();
                let proposal = last.map_or(&self.wished, |(_, proposal)| proposal).clone();
                self.proposed = Some(proposal.clone());
                Next::Ask(Ask::Accept {
                    ballot: self.ballot,
                    proposal,
                    again,
                })
            }
            Say::Accepted { seq, ballot } if (*seq, *ballot) == (self.seq, self.ballot) => {
                self.accepted.insert(from);
                match &self.proposed {
                    Some(proposal) if self.accepted.len() >= self.majority => {
                        Next::Agreed(proposal.clone())
                    }
                    _ => Next::Wait,
                }
            }
            Say::Refused {
                seq,
                ballot,
                promised,
            } if (*seq, *ballot) == (self.seq, self.ballot) => {
                self.refused.insert(from);
                self.highest = self.highest.max(*promised);
                if self.refused.len() >= self.majority {
                    Next::GiveUp(self.highest)
                } else {
                    Next::Wait
                }
            }
            _ => Next::Wait,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::change::Reason;
    use crate::change::tests::change;

    const K: Kind = Kind::Settings;

    fn changes(ids: &[u64]) -> Changes {
        let mut changes = Changes::default();
        ids.iter()
            .for_each(|id| _ = changes.hear(&change(*id, *id)));
        changes
    }

    fn proposal(id: u64, seq: u64, stage: u32) -> Proposal {
        Proposal {
            change: ChangeId(id),
            reach: Reach {
                seq,
                stage,
                ..Reach::default()
            },
        }
    }

    fn ballot(round: u64, by: u64) -> Ballot {
        Ballot { round, by }
    }

    /// Three arbiters that write at once.
    struct Three {
        votes: [Vote; 3],
        changes: [Changes; 3],
    }

    impl Three {
        fn new(ids: &[u64]) -> Three {
            Three {
                votes: Default::default(),
                changes: [changes(ids), changes(ids), changes(ids)],
            }
        }

        fn ask(&mut self, at: usize, ask: &Ask) -> Option<Say> {
            match self.votes[at].asked(&self.changes[at], K, ask) {
                Answer::Say(say) => Some(say),
                Answer::Write(vote, say) => {
                    self.votes[at] = vote;
                    Some(say)
                }
                Answer::Behind | Answer::Ahead => None,
            }
        }

        /// Plays a round with those that are reached; what came of it.
        fn play(&mut self, ballot: Ballot, wished: Proposal, reached: &[usize]) -> Next {
            let (mut round, mut ask) = Round::begin(0, ballot, wished, 3);
            loop {
                let mut next = Next::Wait;
                for at in reached {
                    let Some(say) = self.ask(*at, &ask) else {
                        continue;
                    };
                    match round.said(*at as u64, &say) {
                        Next::Wait => {}
                        other => next = other,
                    }
                }
                match next {
                    Next::Ask(then) => ask = then,
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
            Next::Wait
        );
        assert_eq!(
            three.play(ballot(2, 8), proposal(2, 1, 1), &[1, 2]),
            Next::Agreed(proposal(2, 1, 1))
        );
        // The other one learns what was agreed on and carries that through.
        assert_eq!(
            three.play(ballot(3, 9), proposal(1, 1, 1), &[0, 1]),
            Next::Agreed(proposal(2, 1, 1))
        );
    }

    #[test]
    fn rounds_before_the_promised_one_are_refused() {
        let mut three = Three::new(&[1]);
        let (_, prepare) = Round::begin(0, ballot(5, 1), proposal(1, 1, 1), 3);
        (0..3).for_each(|at| drop(three.ask(at, &prepare)));
        assert_eq!(
            three.play(ballot(4, 2), proposal(1, 1, 1), &[0, 1, 2]),
            Next::GiveUp(ballot(5, 1))
        );
    }

    #[test]
    fn nothing_new_is_voted_for_a_halted_change_and_what_may_be_agreed_on_is_carried_through() {
        let mut three = Three::new(&[1]);
        three.changes[0].end(ChangeId(1), Fate::Halted, Reason::default());
        three.changes[1].end(ChangeId(1), Fate::Halted, Reason::default());
        assert!(matches!(
            three.play(ballot(1, 9), proposal(1, 1, 1), &[0, 1, 2]),
            Next::GiveUp(_)
        ));
        three.votes[2].accepted = Some((ballot(1, 3), proposal(1, 1, 1)));
        three.votes[2].seq = 1;
        assert_eq!(
            three.play(ballot(2, 9), proposal(1, 1, 2), &[0, 2]),
            Next::Agreed(proposal(1, 1, 1))
        );
    }

    #[test]
    fn who_lacks_what_came_before_takes_no_part_and_who_knows_more_tells() {
        let mut three = Three::new(&[1]);
        let ask = Ask::Prepare {
            seq: 2,
            ballot: ballot(1, 1),
        };
        assert_eq!(
            three.votes[0].asked(&three.changes[0], K, &ask),
            Answer::Behind
        );
        three.changes[0].advance(
            ChangeId(1),
            &Reach {
                seq: 2,
                stage: 2,
                ..Reach::default()
            },
        );
        assert_eq!(
            three.votes[0].asked(&three.changes[0], K, &ask),
            Answer::Ahead
        );
        // A change that begins while another is under way finds no votes.
        let mut three = Three::new(&[1, 2]);
        three.changes.iter_mut().for_each(|changes| {
            changes.advance(
                ChangeId(1),
                &Reach {
                    seq: 1,
                    stage: 1,
                    ..Reach::default()
                },
            );
        });
        assert!(matches!(
            three.play(ballot(1, 9), proposal(2, 2, 1), &[0, 1, 2]),
            Next::GiveUp(_)
        ));
    }

    #[test]
    fn a_round_ends() {
        let (round, _) = Round::begin(5, ballot(1, 1), proposal(1, 1, 1), 3);
        assert!(!round.is_over(5 + ROUND) && round.is_over(6 + ROUND));
        assert_eq!(round.change(), ChangeId(1));
    }
}
