//! The node as a voter: its vote is written to disk before it is sent.

use super::{Continuation, NodeAgent};
use crate::host::Host;
use crate::messages::RolloutMessage;
use crate::paxos::{PaxosRequest, VoterAction, last_agreement};
use crate::{Nanos, SECOND};

/// A voter that starts with an empty disk and hears of agreements within this may have lost its
/// vote; it abstains for this long at most.
const VOTE_LOSS_PERIOD: Nanos = 600 * SECOND;

impl<H: Host> NodeAgent<H> {
    /// A voter that starts with an empty disk, in a cluster that has agreed on things, may have lost its
    /// vote. It abstains for two agreements, after which nothing that it can have voted on is open; or for
    /// [`VOTE_LOSS_PERIOD`], by which time any round that counted its vote has long ended.
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

    /// Answers what the coordinator asked: the vote is on disk before the reply goes out.
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
            if !std::mem::replace(&mut self.abstained, true) {
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
