//! Which node may grant units: one leader at a time, by the votes of a majority of fixed voters, for
//! a limited time. Nothing is stored on disk: a voter that starts does not vote for as long as a vote
//! of its past could last.
//!
//! # Why there are never two leaders
//!
//! - A voter gives its vote to one candidate, and to no other until that vote expires on the voter's
//!   clock. The vote lasts a lease duration from the arrival of the request.
//! - The candidate counts the same duration from when it sent the request, which was earlier, and
//!   shortens it by the clock drift bound ([`clock`](crate::clock)). Its lease thus ends before any of
//!   the votes that it rests on.
//! - Two leaders at once would each need a majority. A voter in both majorities would have given two
//!   votes that are valid at once, which it does not.
//!
//! That two successive leaders' leases of units don't overlap either is up to
//! [`budget::lender`](crate::budget::lender) and [`keyed_quota::lender`](crate::keyed_quota::lender).

use crate::clock::drift_shortened;
use crate::{Nanos, ProcessId};
use std::collections::BTreeSet;

/// A vote is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRefused {
    /// How long the vote is bound yet, in nanoseconds; none if the request was overtaken by one of a
    /// later round.
    pub bound_for: Option<Nanos>,
}

/// A vote that was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Vote {
    candidate: ProcessId,
    /// The candidate's round.
    round: u64,
    expires_at: Nanos,
}

/// The vote of one voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    vote: Option<Vote>,
    /// It gives no vote before this time.
    silent_until: Nanos,
    lease_duration: Nanos,
}

impl Voter {
    /// A voter that has just started, or stood still for long, and does not know what it voted
    /// before. A vote lasts for `lease_duration` nanoseconds.
    pub fn new(now: Nanos, lease_duration: Nanos) -> Voter {
        Voter {
            vote: None,
            silent_until: now + lease_duration,
            lease_duration,
        }
    }

    /// A candidate requests the vote in one of its rounds.
    pub fn request(
        &mut self,
        now: Nanos,
        candidate: ProcessId,
        round: u64,
    ) -> Result<(), VoteRefused> {
        if now < self.silent_until {
            return Err(VoteRefused {
                bound_for: Some(self.silent_until - now),
            });
        }
        match self.vote {
            Some(vote) if vote.candidate != candidate && now < vote.expires_at => {
                Err(VoteRefused {
                    bound_for: Some(vote.expires_at - now),
                })
            }
            // A request that was overtaken by one of a later round changes nothing.
            Some(vote)
                if vote.candidate == candidate && vote.round > round && now < vote.expires_at =>
            {
                Err(VoteRefused { bound_for: None })
            }
            _ => {
                self.vote = Some(Vote {
                    candidate,
                    round,
                    expires_at: now + self.lease_duration,
                });
                Ok(())
            }
        }
    }

    /// A candidate that got no majority in a round releases the vote. A late release, after a later
    /// round, frees nothing.
    pub fn release(&mut self, candidate: ProcessId, round: u64) {
        self.vote
            .take_if(|vote| vote.candidate == candidate && vote.round == round);
    }

    /// The candidate that has the vote now.
    pub fn holder(&self, now: Nanos) -> Option<ProcessId> {
        self.vote
            .filter(|vote| now < vote.expires_at)
            .map(|vote| vote.candidate)
    }
}

/// A node that wants to be the leader, or is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    voters: usize,
    lease_duration: Nanos,
    /// When the current round was begun, and which voters gave their vote in it.
    votes: Option<(Nanos, BTreeSet<usize>)>,
    /// The current round's number, so that a late vote counts for its own round only.
    pub round: u64,
    /// Until when this node is the leader.
    leader_until: Nanos,
}

impl Candidate {
    /// A candidate before this many voters, whose votes last for `lease_duration` nanoseconds.
    pub fn new(voters: usize, lease_duration: Nanos) -> Candidate {
        Candidate {
            voters,
            lease_duration,
            votes: None,
            round: 0,
            leader_until: 0,
        }
    }

    /// Begins a round and returns its number, which the requests carry.
    pub fn begin_round(&mut self, now: Nanos) -> u64 {
        self.round += 1;
        self.votes = Some((now, BTreeSet::new()));
        self.round
    }

    /// A voter, by its index, gave its vote in a round. Returns whether that round has a majority.
    pub fn receive_vote(&mut self, round: u64, voter: usize) -> bool {
        let Some((begun_at, votes)) = &mut self.votes else {
            return false;
        };
        if round != self.round || voter >= self.voters {
            return false;
        }
        votes.insert(voter);
        let has_majority = votes.len() * 2 > self.voters;
        if has_majority {
            self.leader_until = self
                .leader_until
                .max(*begun_at + drift_shortened(self.lease_duration));
        }
        has_majority
    }

    /// Until when this node is the leader; in the past if it is not.
    pub fn leader_until(&self) -> Nanos {
        self.leader_until
    }

    /// Ends the leadership and the current round.
    pub fn resign(&mut self) {
        (self.leader_until, self.votes) = (0, None);
    }
}

#[cfg(test)]
mod tests;
