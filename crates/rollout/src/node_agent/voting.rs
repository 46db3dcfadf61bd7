//! The node as a voter. Each vote is written to disk before the reply is sent.

use super::{Continuation, NodeAgent};
use crate::host::Host;
use crate::messages::RolloutMessage;
use crate::paxos::{PaxosRequest, VoterAction, last_agreement};
use crate::{Nanos, SECOND};

/// A voter that starts with an empty disk and learns of an agreement within this time may have lost
/// its vote. The voter abstains for at most this time after its start.
const VOTE_LOSS_PERIOD: Nanos = 600 * SECOND;

impl<H: Host> NodeAgent<H> {
    /// Detects a possible loss of this voter's vote: the disk was empty at the start, and the
    /// cluster has reached agreements. The voter then abstains for two agreements, after which no
    /// agreement that it may have voted on is open. It abstains for at most [`VOTE_LOSS_PERIOD`],
    /// after which every round that counted its vote has ended.
    pub(super) fn detect_lost_votes(&mut self, now: Nanos) {
        let known = last_agreement(&self.rollouts, self.kind);
        let Some(empty_disk_since) = self.empty_disk_since.filter(|_| known > 0) else {
            return;
        };
        self.empty_disk_since = None;
        if now < empty_disk_since + VOTE_LOSS_PERIOD && self.persisted.vote.is_none() {
            self.persisted.abstains_to = known + 2;
        }
    }

    /// Answers the pending Paxos request of the coordinator. A vote is on disk before the reply is
    /// sent.
    pub(super) fn answer_voter_request(&mut self, now: Nanos) {
        let Some((from, request)) = self.voter_request.take() else {
            return;
        };
        let agreement = match &request {
            PaxosRequest::Prepare { agreement, .. } => *agreement,
            PaxosRequest::Accept { proposal, .. } => proposal.progress.agreement,
        };
        if agreement <= self.persisted.abstains_to && now < self.started + VOTE_LOSS_PERIOD {
            let from = self.persisted.abstains_to + 1;
            if !std::mem::replace(&mut self.abstention_logged, true) {
                self.host.log(&format!(
                    "nothing was on the disk: votes on changes from agreement {from} on"
                ));
            }
            return;
        }
        let vote = self.persisted.vote.clone().unwrap_or_default();
        match vote.handle_request(&self.rollouts, self.kind, &request) {
            VoterAction::Reply(reply) => self
                .host
                .send(from, RolloutMessage::PaxosReply(self.kind, reply)),
            VoterAction::Persist(vote, reply) => {
                self.persisted.vote = Some(vote);
                self.persist(now, Continuation::PaxosReply(from, reply), None);
            }
            VoterAction::Behind => self.send_rollouts(from, true),
            VoterAction::Ahead => self.send_rollouts(from, false),
        }
    }
}
