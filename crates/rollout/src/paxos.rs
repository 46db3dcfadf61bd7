//! How the voters agree on what comes next: single decrees, one after the other, by majority (Paxos
//! as in Lamport, "Paxos Made Simple"). Each agreement has a number; the next one is voted on by
//! voters that know all before it. So there is at most one agreement of a number, however many
//! coordinators there are at once, and of the two sides of a split at most one goes on.
//!
//! A vote is on the voter's disk before it is sent. A voter starts nothing for a rollout that it
//! knows to be halted. A value that may have been agreed on already is carried through even so, for
//! the numbers have no holes; as the rollout is halted no node begins anything by it.

use crate::identifiers::{Kind, RolloutId};
use crate::rollout::Outcome;
use crate::rollout_table::RolloutTable;
use crate::stages::Progress;
use crate::{Nanos, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// A round that did not succeed within this is given up.
pub const ROUND_TIMEOUT: Nanos = 4 * SECOND;

/// Identifies a round: the higher one wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ballot {
    /// The round.
    pub round: u64,
    /// The key of the coordinator whose round it is.
    pub by: u64,
}

/// What is voted on: that a rollout has come this far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Proposal {
    /// The rollout.
    pub rollout: RolloutId,
    /// How far it is to have come; the number of the agreement is in it.
    pub progress: Progress,
}

/// A voter's vote on the agreement that comes next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Vote {
    /// The number of the agreement that is voted on.
    pub agreement: u64,
    /// The voter takes no part in rounds before this one.
    pub promised: Ballot,
    /// What it voted for, and in which round.
    pub accepted: Option<(Ballot, Proposal)>,
}

/// What the coordinator asks of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PaxosRequest {
    /// Take no part in rounds before this one; and what have you voted for?
    Prepare {
        /// The number of the agreement.
        agreement: u64,
        /// The round.
        ballot: Ballot,
    },
    /// Vote for this.
    Accept {
        /// The round.
        ballot: Ballot,
        /// The proposal.
        proposal: Proposal,
        /// Whether a voter had voted for it in a round before.
        again: bool,
    },
}

/// What a voter replies.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PaxosReply {
    /// The promise that was asked for.
    Promised {
        /// The number of the agreement.
        agreement: u64,
        /// The round.
        ballot: Ballot,
        /// What the voter voted for before, and in which round.
        accepted: Option<(Ballot, Proposal)>,
    },
    /// The vote that was asked for.
    Accepted {
        /// The number of the agreement.
        agreement: u64,
        /// The round.
        ballot: Ballot,
    },
    /// The promise was given to another round, or what the voter knows speaks against it.
    Refused {
        /// The number of the agreement.
        agreement: u64,
        /// The round.
        ballot: Ballot,
        /// The round to which the voter is bound.
        promised: Ballot,
    },
}

/// What a voter does about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterAction {
    /// Reply at once.
    Reply(PaxosReply),
    /// Write the vote to disk, and then reply.
    Persist(Vote, PaxosReply),
    /// The voter lacks agreements before this one, and asks for them.
    Behind,
    /// The voter knows this one to be agreed on, and sends what it knows.
    Ahead,
}

/// The number of the last agreement that is known.
pub fn last_agreement(rollouts: &RolloutTable, kind: Kind) -> u64 {
    rollouts
        .iter()
        .filter(|rollout| rollout.kind == kind)
        .map(|rollout| rollout.progress.agreement)
        .max()
        .unwrap_or(0)
}

impl Vote {
    /// What a voter does about a request, by the rollouts that it knows.
    pub fn handle_request(
        &self,
        rollouts: &RolloutTable,
        kind: Kind,
        request: &PaxosRequest,
    ) -> VoterAction {
        let (agreement, ballot) = match request {
            PaxosRequest::Prepare { agreement, ballot } => (*agreement, *ballot),
            PaxosRequest::Accept {
                ballot, proposal, ..
            } => (proposal.progress.agreement, *ballot),
        };
        let last_agreement = last_agreement(rollouts, kind);
        // What it voted on before may have been agreed on, so that it can't take part in what comes
        // after without knowing.
        if agreement > last_agreement + 1 {
            return VoterAction::Behind;
        }
        if agreement <= last_agreement {
            return VoterAction::Ahead;
        }
        let vote = if self.agreement == agreement {
            self.clone()
        } else {
            Vote {
                agreement,
                ..Vote::default()
            }
        };
        if ballot < vote.promised {
            return VoterAction::Reply(PaxosReply::Refused {
                agreement,
                ballot,
                promised: vote.promised,
            });
        }
        match request {
            PaxosRequest::Prepare { .. } => vote.promise(ballot),
            PaxosRequest::Accept {
                proposal, again, ..
            } => vote.accept(rollouts, kind, ballot, proposal, *again),
        }
    }

    fn promise(mut self, ballot: Ballot) -> VoterAction {
        let reply = PaxosReply::Promised {
            agreement: self.agreement,
            ballot,
            accepted: self.accepted.clone(),
        };
        self.promised = ballot;
        VoterAction::Persist(self, reply)
    }

    /// Votes for a proposal. A new one must be of a rollout that is in progress and of no other than
    /// the one that has begun; one that may have been agreed on already is voted for all the same.
    fn accept(
        mut self,
        rollouts: &RolloutTable,
        kind: Kind,
        ballot: Ballot,
        proposal: &Proposal,
        again: bool,
    ) -> VoterAction {
        let agreement = self.agreement;
        let Some(rollout) = rollouts.get(proposal.rollout) else {
            return VoterAction::Behind;
        };
        let is_other_in_progress = rollouts
            .in_progress(kind)
            .is_some_and(|other| other.id != proposal.rollout);
        if !again && (rollout.outcome != Outcome::InProgress || is_other_in_progress) {
            return VoterAction::Reply(PaxosReply::Refused {
                agreement,
                ballot,
                promised: self.promised,
            });
        }
        self.promised = ballot;
        self.accepted = Some((ballot, proposal.clone()));
        VoterAction::Persist(self, PaxosReply::Accepted { agreement, ballot })
    }
}

/// A coordinator's round of voting.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PaxosRound {
    /// Whose round it is.
    pub ballot: Ballot,
    /// The number of the agreement that is sought.
    pub agreement: u64,
    /// When it began.
    since: Nanos,
    /// Voters that must agree.
    majority: usize,
    /// What the coordinator wants to be agreed on.
    preferred: Proposal,
    /// Promises, by voter, with what each had voted for.
    promised: BTreeMap<u64, Option<(Ballot, Proposal)>>,
    /// What the voters were asked to vote for.
    proposed: Option<Proposal>,
    /// Voters that voted for it.
    accepted: BTreeSet<u64>,
    /// Voters that refused.
    refused: BTreeSet<u64>,
    /// The highest ballot that was seen.
    highest: Ballot,
}

/// What follows from a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundStep {
    /// Nothing yet.
    Wait,
    /// All voters are asked this.
    Request(PaxosRequest),
    /// A majority agreed.
    Agreed(Proposal),
    /// The round failed; the next one must be higher than this.
    GiveUp(Ballot),
}

impl PaxosRound {
    /// Begins a round for a proposal among this many voters; with what they are asked.
    pub fn begin(
        now: Nanos,
        ballot: Ballot,
        preferred: Proposal,
        voters: usize,
    ) -> (PaxosRound, PaxosRequest) {
        let agreement = preferred.progress.agreement;
        let round = PaxosRound {
            ballot,
            agreement,
            since: now,
            majority: voters / 2 + 1,
            preferred,
            promised: BTreeMap::new(),
            proposed: None,
            accepted: BTreeSet::new(),
            refused: BTreeSet::new(),
            highest: ballot,
        };
        (round, PaxosRequest::Prepare { agreement, ballot })
    }

    /// Whether its time is over.
    pub fn is_timed_out(&self, now: Nanos) -> bool {
        now > self.since + ROUND_TIMEOUT
    }

    /// The rollout that is carried through.
    pub fn rollout(&self) -> RolloutId {
        self.proposed.as_ref().unwrap_or(&self.preferred).rollout
    }

    /// Takes up a voter's reply.
    pub fn handle_reply(&mut self, from: u64, reply: &PaxosReply) -> RoundStep {
        match reply {
            PaxosReply::Promised {
                agreement,
                ballot,
                accepted,
            } if (*agreement, *ballot) == (self.agreement, self.ballot) => {
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
                let proposal = last
                    .map_or(&self.preferred, |(_, proposal)| proposal)
                    .clone();
                self.proposed = Some(proposal.clone());
                RoundStep::Request(PaxosRequest::Accept {
                    ballot: self.ballot,
                    proposal,
                    again,
                })
            }
            PaxosReply::Accepted { agreement, ballot }
                if (*agreement, *ballot) == (self.agreement, self.ballot) =>
            {
                self.accepted.insert(from);
                match &self.proposed {
                    Some(proposal) if self.accepted.len() >= self.majority => {
                        RoundStep::Agreed(proposal.clone())
                    }
                    _ => RoundStep::Wait,
                }
            }
            PaxosReply::Refused {
                agreement,
                ballot,
                promised,
            } if (*agreement, *ballot) == (self.agreement, self.ballot) => {
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
