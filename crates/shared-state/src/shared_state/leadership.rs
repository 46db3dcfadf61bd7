//! Leader election on a voter, in rounds of votes. [`leader_lease`](crate::leader_lease) explains
//! why there are never two leaders.

use super::{Host, Lenders, SharedState};
use crate::budget::lender::BudgetLender;
use crate::keyed_quota::lender::QuotaLender;
use crate::messages::{LimitMessage, SharedMessage};
use crate::{Nanos, ProcessId};
use rand::RngExt;

impl<H: Host> SharedState<H> {
    /// Runs the round that is due: the leader renews its votes; another voter requests votes unless
    /// its own vote is bound to another candidate.
    pub(super) fn run_round(&mut self, now: Nanos) {
        let leader_lease = self.settings.leader_lease;
        let is_leader = self.is_leader(now);
        if !is_leader && self.lenders.take().is_some() {
            self.end_leadership();
        }
        let Some(election) = &mut self.election else {
            return;
        };
        let holder = election
            .voter
            .holder(now)
            .filter(|holder| *holder != self.settings.me);
        if !is_leader && holder.is_some() {
            self.leader = holder;
            self.next_round = now + leader_lease / 4;
            return;
        }
        if !is_leader && self.is_campaigning {
            return self.abandon_round(now);
        }
        self.is_campaigning = !is_leader;
        let round = election.candidate.begin_round(now);
        self.next_round = now
            + if is_leader {
                leader_lease / 4
            } else {
                leader_lease / 10
            };
        for key in self.settings.voters.clone() {
            if key == self.settings.me.key {
                self.answer_vote_request(now, self.settings.me, round);
            } else {
                let message = SharedMessage::Limits(LimitMessage::VoteRequest { round });
                self.host.send(key, message);
            }
        }
    }

    /// Ends the leadership after the leader lease has expired without renewal.
    fn end_leadership(&mut self) {
        if let Some(election) = &mut self.election {
            election.candidate.resign();
        }
        self.host
            .log("lends no more: no majority of the arbiters answers");
        self.leader = None;
    }

    /// Abandons a round that got no majority in time. All its votes are released; otherwise three
    /// voters that each gave their vote to themselves would block each other for ever.
    fn abandon_round(&mut self, now: Nanos) {
        self.is_campaigning = false;
        let Some(election) = &mut self.election else {
            return;
        };
        let round = election.candidate.round;
        election.voter.release(self.settings.me, round);
        election.candidate.resign();
        self.next_round = now + self.rng.random_range(0..self.settings.leader_lease / 3);
        self.send_to_voters(LimitMessage::VoteRelease { round });
    }

    /// Sends a message to all voters except this node.
    pub(super) fn send_to_voters(&mut self, message: LimitMessage) {
        let me = self.settings.me.key;
        for key in self.settings.voters.iter().filter(|key| **key != me) {
            self.host.send(*key, SharedMessage::Limits(message.clone()));
        }
    }

    /// Answers a request for this voter's vote from a candidate, which may be this node.
    pub(super) fn answer_vote_request(&mut self, now: Nanos, from: ProcessId, round: u64) {
        let me = self.settings.me;
        let Some(election) = &mut self.election else {
            return;
        };
        let answer = election.voter.request(now, from, round);
        let is_granted = answer.is_ok();
        let bound_for = answer
            .err()
            .and_then(|refused| refused.bound_for)
            .unwrap_or(0);
        let holder = election.voter.holder(now);
        if from == me {
            return self.receive_vote(now, me, round, is_granted);
        }
        let message = SharedMessage::Limits(LimitMessage::Vote {
            round,
            is_granted,
            holder,
            bound_for,
        });
        self.host.send(from.key, message);
    }

    /// Handles a voter's answer. With a majority this node becomes the leader.
    pub(super) fn receive_vote(
        &mut self,
        now: Nanos,
        from: ProcessId,
        round: u64,
        is_granted: bool,
    ) {
        let index = self.settings.voters.iter().position(|key| *key == from.key);
        let (Some(index), true, Some(election)) = (index, is_granted, &mut self.election) else {
            return;
        };
        if election.candidate.receive_vote(round, index) && self.lenders.is_none() {
            self.begin_leadership(now);
        }
    }

    fn begin_leadership(&mut self, now: Nanos) {
        let lender = self.rng.random();
        let settings = &self.settings;
        let budgets = settings
            .budgets
            .iter()
            .map(|budget| {
                BudgetLender::new(
                    now,
                    lender,
                    budget.pool(),
                    settings.lease_duration,
                    budget.use_after_expiry(),
                    settings.max_borrowers,
                )
            })
            .collect();
        let quotas = (!settings.quotas.is_empty()).then(|| {
            QuotaLender::new(
                now,
                &settings.quotas,
                settings.quota_timing,
                settings.quota_lender_bytes,
                self.rng.random(),
            )
        });
        self.lenders = Some(Lenders { budgets, quotas });
        self.leader = Some(self.settings.me);
        self.count("times it began to lend");
        self.host
            .log("lends: a majority of the arbiters gave their word; earlier leases expire first");
    }
}
