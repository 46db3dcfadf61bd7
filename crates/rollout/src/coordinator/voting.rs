//! The coordinator's rounds of voting on proposals.

use super::{Coordinator, CoordinatorAction};
use crate::member::Member;
use crate::messages::RolloutMessage;
use crate::paxos::{Ballot, PaxosReply, PaxosRequest, PaxosRound, Proposal, RoundStep};
use crate::{MILLISECOND, Nanos, splitmix64};

/// Minimum pause after a failed round of voting; a random part of the same length is added.
const ROUND_BACKOFF: Nanos = 500 * MILLISECOND;

impl Coordinator {
    /// Handles a voter's reply to the round in progress; other replies are ignored.
    pub fn handle_paxos_reply(
        &mut self,
        now: Nanos,
        from: u64,
        reply: &PaxosReply,
    ) -> Vec<CoordinatorAction> {
        let Some(round) = self.round.as_mut().filter(|_| self.voters.contains(&from)) else {
            return Vec::new();
        };
        match round.handle_reply(from, reply) {
            RoundStep::Wait => Vec::new(),
            RoundStep::Request(request) => self.request_all_voters(&request),
            RoundStep::Agreed(proposal) => {
                self.round = None;
                vec![CoordinatorAction::Agreed(proposal)]
            }
            RoundStep::GiveUp(highest) => {
                self.highest = self.highest.max(highest);
                self.give_up(now);
                Vec::new()
            }
        }
    }

    pub(super) fn request_all_voters(&self, request: &PaxosRequest) -> Vec<CoordinatorAction> {
        self.voters
            .iter()
            .map(|to| {
                CoordinatorAction::Send(
                    *to,
                    RolloutMessage::PaxosRequest(self.kind, request.clone()),
                )
            })
            .collect()
    }

    /// Gives up the round of voting and sets the earliest time of the next round.
    pub(super) fn give_up(&mut self, now: Nanos) {
        self.round = None;
        // The random part keeps two coordinators from interrupting each other's rounds forever.
        let jitter = splitmix64(self.me ^ now) % ROUND_BACKOFF;
        self.not_before = now + ROUND_BACKOFF + jitter;
    }

    /// Begins a round of voting on a proposal.
    pub(super) fn begin_round(&mut self, now: Nanos, proposal: Proposal) -> Vec<CoordinatorAction> {
        let ballot = Ballot {
            round: self.highest.round + 1,
            by: self.me,
        };
        self.highest = ballot;
        self.line = format!(
            "voters are asked to agree on stage {}",
            proposal.progress.stage
        );
        let (round, request) = PaxosRound::begin(now, ballot, proposal, self.voters.len());
        self.round = Some(round);
        self.request_all_voters(&request)
    }

    /// Rule: more than half of the voters are present. Otherwise returns why the rollout waits.
    pub(super) fn check_voters(&self, members: &[Member]) -> Result<(), String> {
        let is_present = |node: u64| {
            node == self.me
                || members
                    .iter()
                    .any(|member| member.node == node && member.present)
        };
        let voters = self.voters.iter().filter(|node| is_present(**node));
        let (present, all) = (voters.count(), self.voters.len());
        if present * 2 <= all {
            return Err(format!(
                "{present} of {all} arbiters are present, more than half are needed"
            ));
        }
        Ok(())
    }
}
