//! How the arbiters agree on what comes next: single decrees, one after the other, by majority
//! (Paxos as Lamport has it in "Paxos Made Simple"). Each agreement has a number; the next one is
//! voted on by arbiters that know all before it. So there is at most one agreement of a number,
//! whoever conducts, however many at once, and of two halves at most one goes on.
//!
//! An arbiter's vote is on its disk before it is told. What it takes part in is bounded by what it
//! knows: it starts nothing for a change that it knows to be halted. A value that may have been
//! agreed on already is carried through even so, for the numbers have no holes; as the change is
//! halted nobody begins anything by it.

use crate::rollout::{Kind, Outcome, RolloutId, RolloutTable};
use crate::stages::Progress;
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
    pub change: RolloutId,
    pub reach: Progress,
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
pub enum PaxosRequest {
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
pub enum PaxosReply {
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
pub enum VoterAction {
    /// PaxosReply this at once.
    PaxosReply(PaxosReply),
    /// Write the vote, and then say this.
    Write(Vote, PaxosReply),
    /// This arbiter lacks agreements before that one: it asks for them.
    Behind,
    /// It knows that one to be agreed on already, and tells.
    Ahead,
}

/// The number of the last agreement that is known.
pub fn known(changes: &RolloutTable, kind: Kind) -> u64 {
    changes
        .iter()
        .filter(|change| change.kind == kind)
        .map(|change| change.reach.seq)
        .max()
        .unwrap_or(0)
}

impl Vote {
    /// Something is asked, and this is known.
    pub fn asked(&self, changes: &RolloutTable, kind: Kind, ask: &PaxosRequest) -> VoterAction {
        let (seq, ballot) = match ask {
            PaxosRequest::Prepare { seq, ballot } => (*seq, *ballot),
            PaxosRequest::Accept {
                ballot, proposal, ..
            } => (proposal.reach.seq, *ballot),
        };
        let known = known(changes, kind);
        // What it voted on before may have been agreed on, so that it can't take part in what comes
        // after without knowing.
        if seq > known + 1 {
            return VoterAction::Behind;
        }
        if seq <= known {
            return VoterAction::Ahead;
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
            return VoterAction::PaxosReply(PaxosReply::Refused {
                seq,
                ballot,
                promised: vote.promised,
            });
        }
        match ask {
            PaxosRequest::Prepare { .. } => {
                let accepted = vote.accepted.clone();
                vote.promised = ballot;
                VoterAction::Write(
                    vote,
                    PaxosReply::Promised {
                        seq,
                        ballot,
                        accepted,
                    },
                )
            }
            PaxosRequest::Accept {
                proposal, again, ..
            } => {
                let change = changes.get(proposal.change);
                let Some(change) = change else {
                    return VoterAction::Behind;
                };
                let other = changes
                    .under_way(kind)
                    .is_some_and(|other| other.id != proposal.change);
                if !again && (change.fate != Outcome::InProgress || other) {
                    return VoterAction::PaxosReply(PaxosReply::Refused {
                        seq,
                        ballot,
                        promised: vote.promised,
                    });
                }
                vote.promised = ballot;
                vote.accepted = Some((ballot, proposal.clone()));
                VoterAction::Write(vote, PaxosReply::Accepted { seq, ballot })
            }
        }
    }
}

/// A round of the one who conducts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PaxosRound {
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
pub enum RoundStep {
    Wait,
    /// All arbiters are asked this.
    PaxosRequest(PaxosRequest),
    Agreed(Proposal),
    /// It comes to nothing; a next round is to be higher than this.
    GiveUp(Ballot),
}

impl PaxosRound {
    /// Begins one for a proposal, among so many arbiters; with what they are asked.
    pub fn begin(
        now: Nanos,
        ballot: Ballot,
        wished: Proposal,
        arbiters: usize,
    ) -> (PaxosRound, PaxosRequest) {
        let seq = wished.reach.seq;
        let round = PaxosRound {
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
        (round, PaxosRequest::Prepare { seq, ballot })
    }

    /// Whether it has come to nothing in its time.
    pub fn is_over(&self, now: Nanos) -> bool {
        now > self.since + ROUND
    }

    /// The change that is carried through.
    pub fn change(&self) -> RolloutId {
        self.proposed.as_ref().unwrap_or(&self.wished).change
    }

    /// An arbiter said something.
    pub fn said(&mut self, from: u64, say: &PaxosReply) -> RoundStep {
        match say {
            PaxosReply::Promised {
                seq,
                ballot,
                accepted,
            } if (*seq, *ballot) == (self.seq, self.ballot) => {
                self.promised.insert(from, accepted.clone());
                if self.proposed.is_some() || self.promised.len() < self.majority {
                    return RoundStep::Wait;
                }
                let last = self
                    .promised
                    .values()
                    .flatten()
                    .max_by_key(|(ballot, _)| *ballot);
                let again = last.is_some();
                let proposal = last.map_or(&self.wished, |(_, proposal)| proposal).clone();
                self.proposed = Some(proposal.clone());
                RoundStep::PaxosRequest(PaxosRequest::Accept {
                    ballot: self.ballot,
                    proposal,
                    again,
                })
            }
            PaxosReply::Accepted { seq, ballot } if (*seq, *ballot) == (self.seq, self.ballot) => {
                self.accepted.insert(from);
                match &self.proposed {
                    Some(proposal) if self.accepted.len() >= self.majority => {
                        RoundStep::Agreed(proposal.clone())
                    }
                    _ => RoundStep::Wait,
                }
            }
            PaxosReply::Refused {
                seq,
                ballot,
                promised,
            } if (*seq, *ballot) == (self.seq, self.ballot) => {
                self.refused.insert(from);
                self.highest = self.highest.max(*promised);
                if self.refused.len() >= self.majority {
                    RoundStep::GiveUp(self.highest)
                } else {
                    RoundStep::Wait
                }
            }
            _ => RoundStep::Wait,
        }
    }
}

#[cfg(test)]
mod tests;
