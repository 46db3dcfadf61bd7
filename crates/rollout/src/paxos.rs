//! Agreement of the voters on the next progress of a rollout: a sequence of single-decree Paxos
//! instances (Lamport, "Paxos Made Simple"). Each agreement has a number, and only voters that know
//! all earlier agreements vote on the next agreement. So each number has at most one agreement,
//! however many coordinators are active at once, and at most one side of a network split continues.
//!
//! A vote is on the voter's disk before it is sent. A voter does not accept a new proposal for a
//! rollout that it knows to be halted. A proposal that may have been agreed on already is completed
//! even for such a rollout, because the numbers of agreements must have no gaps. No node starts a
//! trial by that agreement, as the rollout is halted.

use crate::identifiers::{Kind, RolloutId};
use crate::rollout::Outcome;
use crate::rollout_table::RolloutTable;
use crate::stages::Progress;
use crate::{Nanos, SECOND};
use std::collections::{BTreeMap, BTreeSet};

/// How long a round may take before it is given up.
pub const ROUND_TIMEOUT: Nanos = 4 * SECOND;

/// Identifies a round of voting; a higher ballot takes precedence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ballot {
    /// The number of the round; a coordinator's next round has a higher number than any ballot that
    /// it has seen.
    pub round: u64,
    /// The key of the coordinator that runs the round; decides between equal round numbers.
    pub by: u64,
}

/// A proposed progress of a rollout, which the voters vote on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Proposal {
    /// The rollout that advances with the proposal.
    pub rollout: RolloutId,
    /// The proposed progress, which includes the number of the agreement.
    pub progress: Progress,
}

/// A voter's promise and vote on the next agreement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Vote {
    /// The number of the agreement (Paxos instance) that the promise and the vote are for.
    pub agreement: u64,
    /// The voter refuses rounds with a lower ballot than this.
    pub promised: Ballot,
    /// The proposal that the voter voted for, and the ballot of that round; `None` without a vote.
    pub accepted: Option<(Ballot, Proposal)>,
}

/// A coordinator's request to a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PaxosRequest {
    /// Promise to refuse rounds with a lower ballot, and return the proposal voted for before.
    Prepare {
        /// The number of the agreement that the voters are asked to promise for.
        agreement: u64,
        /// The ballot of the round; the voter is to refuse lower ballots from now on.
        ballot: Ballot,
    },
    /// Vote for this proposal.
    Accept {
        /// The ballot of the round that a majority has promised.
        ballot: Ballot,
        /// The proposal to vote for.
        proposal: Proposal,
        /// True if a voter has already voted for the proposal in an earlier round, so that it may
        /// have been agreed on.
        again: bool,
    },
}

/// A voter's reply to the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PaxosReply {
    /// The voter gives the requested promise.
    Promised {
        /// The number of the agreement, as in the request.
        agreement: u64,
        /// The ballot of the round, as in the request.
        ballot: Ballot,
        /// The proposal that the voter voted for before, and the ballot of that round; `None` if
        /// the voter has not voted on this agreement.
        accepted: Option<(Ballot, Proposal)>,
    },
    /// The voter votes for the proposal.
    Accepted {
        /// The number of the agreement, as in the request.
        agreement: u64,
        /// The ballot of the round, as in the request.
        ballot: Ballot,
    },
    /// The voter has promised a higher ballot, or its rollout table forbids the proposal.
    Refused {
        /// The number of the agreement, as in the request.
        agreement: u64,
        /// The ballot of the round, as in the request.
        ballot: Ballot,
        /// The highest ballot that the voter has promised.
        promised: Ballot,
    },
}

/// The action of a voter after a coordinator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterAction {
    /// Send this reply at once.
    Reply(PaxosReply),
    /// Write the vote to disk, then send the reply.
    Persist(Vote, PaxosReply),
    /// The voter lacks earlier agreements: request the rollouts from the coordinator.
    Behind,
    /// The voter already knows the agreement of this number: send the known rollouts to the
    /// coordinator.
    Ahead,
}

/// Returns the number of the last known agreement of a kind; 0 if there is none.
pub fn last_agreement(rollouts: &RolloutTable, kind: Kind) -> u64 {
    rollouts
        .iter()
        .filter(|rollout| rollout.kind == kind)
        .map(|rollout| rollout.progress.agreement)
        .max()
        .unwrap_or(0)
}

impl Vote {
    /// Decides on a coordinator's request by this vote and the rollouts that the voter knows.
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
        // A proposal that this voter voted for earlier may have been agreed on. The voter must not
        // vote on later agreements before it knows whether that proposal was agreed on.
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

    /// Votes for a proposal. A new proposal must be for a rollout that has neither ended nor been
    /// halted, and no other rollout may be in progress. A proposal that may have been agreed on
    /// already is accepted regardless.
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
    /// The ballot of the round, which identifies the replies that count.
    pub ballot: Ballot,
    /// The number of the agreement that the round is for.
    pub agreement: u64,
    /// When the round began.
    since: Nanos,
    /// Number of voters that form a majority.
    majority: usize,
    /// The coordinator's own proposal; a proposal that a voter has voted for takes precedence.
    preferred: Proposal,
    /// Promises by voter, with the proposal that the voter had voted for and its ballot, if any.
    promised: BTreeMap<u64, Option<(Ballot, Proposal)>>,
    /// The proposal that the voters were asked to vote for; `None` before a majority has promised.
    proposed: Option<Proposal>,
    /// Voters that voted for the proposal.
    accepted: BTreeSet<u64>,
    /// Voters that refused a request of this round.
    refused: BTreeSet<u64>,
    /// The highest ballot seen in replies.
    highest: Ballot,
}

/// The coordinator's next step after a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundStep {
    /// Wait for further replies.
    Wait,
    /// Send this request to all voters.
    Request(PaxosRequest),
    /// A majority voted for this proposal.
    Agreed(Proposal),
    /// The round failed; the next one needs a higher ballot than this.
    GiveUp(Ballot),
}

impl PaxosRound {
    /// Begins a round for a proposal among `voters` voters. Returns the round and the request to
    /// send to all voters.
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

    /// Returns whether the round has lasted longer than [`ROUND_TIMEOUT`].
    pub fn is_timed_out(&self, now: Nanos) -> bool {
        now > self.since + ROUND_TIMEOUT
    }

    /// Returns the rollout of the proposal that the voters are asked to vote for, or of the
    /// coordinator's own proposal before that.
    pub fn rollout(&self) -> RolloutId {
        self.proposed.as_ref().unwrap_or(&self.preferred).rollout
    }

    /// Handles a reply of the voter with key `from`. Replies to other rounds are ignored.
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
