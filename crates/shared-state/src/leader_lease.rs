//! Election of the node that may grant units: one leader at a time, elected for a limited time by a
//! majority of a fixed set of voters. Nothing is stored on disk: a voter that starts gives no vote
//! until any vote that it gave before has expired.
//!
//! # Why there are never two leaders
//!
//! - A voter gives its vote to one candidate, and to no other candidate until that vote expires on
//!   the voter's clock. The vote lasts a lease duration from the arrival of the request.
//! - The candidate counts the same duration from the time at which it began the round, which is
//!   earlier, and shortens it by the clock drift bound ([`clock`](crate::clock)). The leader lease
//!   thus ends before any of the votes on which it rests.
//! - Two leaders at once would each need a majority. At least one voter would be in both majorities
//!   and would have given two votes that are valid at once, which a voter never does.
//!
//! [`budget::lender`](crate::budget::lender) and
//! [`keyed_quota::lender`](crate::keyed_quota::lender) ensure that the leases of units granted by
//! two successive leaders do not overlap.

use crate::clock::drift_shortened;
use crate::{Nanos, ProcessId};
use std::collections::BTreeSet;

/// The refusal of a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRefused {
    /// How long the vote stays bound, in nanoseconds; `None` if the voter has already received a
    /// request of a later round.
    pub bound_for: Option<Nanos>,
}

/// A vote that was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Vote {
    candidate: ProcessId,
    /// Round of the candidate for which the vote was given.
    round: u64,
    expires_at: Nanos,
}

/// One voter and the vote that it gave.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    vote: Option<Vote>,
    /// Time before which the voter gives no vote.
    silent_until: Nanos,
    lease_duration: Nanos,
}

impl Voter {
    /// Creates a voter whose process has just started or was suspended, so that its earlier votes
    /// are unknown. Votes last for `lease_duration` nanoseconds, and the voter gives none for that
    /// long from now.
    pub fn new(now: Nanos, lease_duration: Nanos) -> Voter {
        Voter {
            vote: None,
            silent_until: now + lease_duration,
            lease_duration,
        }
    }

    /// Handles a candidate's request for the vote in one of its rounds. `Ok` means that the vote is
    /// given and lasts for a lease duration from now.
    ///
    /// # Errors
    ///
    /// Refuses the vote while another candidate has it, for a lease duration after the voter was
    /// created, and if the candidate's vote is of a later round.
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
            // A request that arrives after one of a later round changes nothing.
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

    /// Releases the vote of a candidate that got no majority in a round. A release that arrives
    /// after a request of a later round has no effect.
    pub fn release(&mut self, candidate: ProcessId, round: u64) {
        self.vote
            .take_if(|vote| vote.candidate == candidate && vote.round == round);
    }

    /// Returns the candidate that has the vote now.
    pub fn holder(&self, now: Nanos) -> Option<ProcessId> {
        self.vote
            .filter(|vote| now < vote.expires_at)
            .map(|vote| vote.candidate)
    }
}

/// A node that requests votes to become or stay the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    voters: usize,
    lease_duration: Nanos,
    /// Start time of the current round, and the indexes of the voters that gave their vote in it.
    votes: Option<(Nanos, BTreeSet<usize>)>,
    /// Number of the current round, so that a late vote counts for its own round only; 0 before the
    /// first.
    pub round: u64,
    /// Time until which this node is the leader; 0 if it never was or has resigned.
    leader_until: Nanos,
}

impl Candidate {
    /// Creates a candidate in a cluster with this many voters, whose votes last for
    /// `lease_duration` nanoseconds.
    pub fn new(voters: usize, lease_duration: Nanos) -> Candidate {
        Candidate {
            voters,
            lease_duration,
            votes: None,
            round: 0,
            leader_until: 0,
        }
    }

    /// Begins a round and returns its number, which the vote requests carry.
    pub fn begin_round(&mut self, now: Nanos) -> u64 {
        self.round += 1;
        self.votes = Some((now, BTreeSet::new()));
        self.round
    }

    /// Records the vote that a voter, by its index, gave in a round. Returns whether the round is
    /// the current one and has a majority.
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

    /// Returns the time until which this node is the leader. The time is in the past if the node is
    /// not the leader.
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
