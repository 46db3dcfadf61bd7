//! Encoding of messages.

use super::later::{LATER, later};
use super::message::{MAX_MESSAGE_BYTES, RolloutMessage};
use super::wire::{
    BallotWire, MessageWire, PlanWire, ProgressWire, ProposalWire, ReasonWire, ReportWire,
    RolloutWire, StageWire, VersionWire, VoteWire,
};
use crate::identifiers::Version;
use crate::node_report::NodeReport;
use crate::paxos::{Ballot, PaxosReply, PaxosRequest, Proposal, Vote};
use crate::rollout::{Outcome, Rollout};
use crate::stages::{Plan, Progress, Stage};
use crate::{MILLISECOND, Nanos};
use prost::Message as _;

fn encode_version(version: Version) -> Option<VersionWire> {
    Some(VersionWire {
        number: version.number,
        hash: version.hash,
    })
}

fn saturating_ms(time: Nanos) -> u32 {
    u32::try_from(time / MILLISECOND).unwrap_or(u32::MAX)
}

fn encode_plan(plan: &Plan) -> PlanWire {
    let stage = |stage: &Stage| StageWire {
        share_permille: stage.share_permille,
        min_duration_ms: saturating_ms(stage.min_duration),
        max_duration_ms: saturating_ms(stage.max_duration),
        min_requests: stage.min_requests,
        start_spread_ms: saturating_ms(stage.start_spread),
    };
    PlanWire {
        stages: plan.stages.iter().map(stage).collect(),
        max_zone_permille: plan.max_zone_permille,
        margin_permille: plan.margin_permille,
    }
}

fn encode_progress(progress: &Progress) -> ProgressWire {
    let zones: Vec<u32> = progress.thresholds.keys().copied().collect();
    ProgressWire {
        stage: progress.stage,
        previous_thresholds: zones
            .iter()
            .map(|zone| progress.previous_thresholds.get(zone).copied().unwrap_or(0))
            .collect(),
        thresholds: progress.thresholds.values().copied().collect(),
        zones,
        whole_cluster: progress.whole_cluster,
        cluster_size: progress.cluster_size,
        agreement: progress.agreement,
        at_ms: progress.at_ms,
    }
}

fn encode_ballot(ballot: Ballot) -> Option<BallotWire> {
    Some(BallotWire {
        round: ballot.round,
        by: ballot.by,
    })
}

fn encode_proposal(proposal: &Proposal) -> ProposalWire {
    ProposalWire {
        rollout: proposal.rollout.0,
        progress: Some(encode_progress(&proposal.progress)),
    }
}

pub(crate) fn encode_vote(vote: &Vote) -> VoteWire {
    VoteWire {
        agreement: vote.agreement,
        promised: encode_ballot(vote.promised),
        accepted_in: vote
            .accepted
            .as_ref()
            .and_then(|(ballot, _)| encode_ballot(*ballot)),
        accepted: vote
            .accepted
            .as_ref()
            .map(|(_, proposal)| encode_proposal(proposal)),
    }
}

pub(crate) fn encode_rollout(rollout: &Rollout) -> RolloutWire {
    RolloutWire {
        id: rollout.id.0,
        kind: rollout.kind as u32,
        version: encode_version(rollout.version),
        base: encode_version(rollout.base),
        digest: rollout.digest.to_vec(),
        bytes: rollout.bytes,
        by: rollout.by,
        at_ms: rollout.at_ms,
        plan: Some(encode_plan(&rollout.plan)),
        progress: Some(encode_progress(&rollout.progress)),
        outcome: rollout.outcome as u32,
        reason: (rollout.outcome > Outcome::InProgress).then(|| ReasonWire {
            at_ms: rollout.reason.at_ms,
            by: rollout.reason.by,
            why: rollout.reason.why.clone(),
        }),
    }
}

fn encode_report(report: &NodeReport) -> ReportWire {
    ReportWire {
        rollout: report.rollout.0,
        stage: report.stage,
        outcome: report.outcome as u32,
        status: report.status as u32,
        running: encode_version(report.running),
        since_ms: report.since_ms,
        crashes: report.crashes,
        why: report.why.clone(),
        digest: report.digest,
        promoted: encode_version(report.promoted),
        // A later build leaves this field out.
        last_crash_ms: if LATER { 0 } else { report.last_crash_ms },
    }
}

/// Encodes a message. Rollouts that do not fit into one message must be split into several messages
/// first: see [`rollout_messages`].
pub fn encode(message: &RolloutMessage) -> Vec<u8> {
    let mut wire = MessageWire::default();
    match message {
        RolloutMessage::Rollouts { rollouts, answer } => {
            wire.kind = 1;
            wire.rollouts = rollouts.iter().map(encode_rollout).collect();
            wire.answer = *answer;
        }
        RolloutMessage::Poll {
            poll,
            rollout,
            stage,
            outcome,
        } => {
            (wire.kind, wire.number, wire.rollout) = (2, *poll, rollout.0);
            (wire.stage, wire.outcome) = (*stage, *outcome as u32);
        }
        RolloutMessage::NodeReport { poll, report } => {
            (wire.kind, wire.number, wire.report) = (3, *poll, Some(encode_report(report)));
        }
        RolloutMessage::ChunkRequest {
            rollout,
            first,
            count,
        } => {
            (wire.kind, wire.rollout, wire.number, wire.count) = (4, rollout.0, *first, *count);
        }
        RolloutMessage::Chunk {
            rollout,
            index,
            bytes,
        } => {
            (wire.kind, wire.rollout, wire.number) = (5, rollout.0, *index);
            wire.bytes.clone_from(bytes);
        }
        RolloutMessage::PaxosRequest(kind, request) => {
            wire.rollout_kind = *kind as u32;
            encode_paxos_request(&mut wire, request);
        }
        RolloutMessage::PaxosReply(kind, reply) => {
            wire.rollout_kind = *kind as u32;
            encode_paxos_reply(&mut wire, reply);
        }
    }
    later(wire.encode_to_vec())
}

fn encode_paxos_request(wire: &mut MessageWire, request: &PaxosRequest) {
    match request {
        PaxosRequest::Prepare { agreement, ballot } => {
            (wire.kind, wire.agreement, wire.ballot) = (6, *agreement, encode_ballot(*ballot));
        }
        PaxosRequest::Accept {
            ballot,
            proposal,
            again,
        } => {
            (wire.kind, wire.ballot, wire.again) = (7, encode_ballot(*ballot), *again);
            wire.proposal = Some(encode_proposal(proposal));
        }
    }
}

fn encode_paxos_reply(wire: &mut MessageWire, reply: &PaxosReply) {
    match reply {
        PaxosReply::Promised {
            agreement,
            ballot,
            accepted,
        } => {
            (wire.kind, wire.agreement, wire.ballot) = (8, *agreement, encode_ballot(*ballot));
            if let Some((earlier, proposal)) = accepted {
                (wire.other_ballot, wire.proposal) =
                    (encode_ballot(*earlier), Some(encode_proposal(proposal)));
            }
        }
        PaxosReply::Accepted { agreement, ballot } => {
            (wire.kind, wire.agreement, wire.ballot) = (9, *agreement, encode_ballot(*ballot));
        }
        PaxosReply::Refused {
            agreement,
            ballot,
            promised,
        } => {
            (wire.kind, wire.agreement, wire.ballot) = (10, *agreement, encode_ballot(*ballot));
            wire.other_ballot = encode_ballot(*promised);
        }
    }
}

/// Splits rollouts into as many messages as they need. If `answer` is set, the last message asks
/// the receiver to send its own rollouts.
pub fn rollout_messages<'c>(
    all: impl Iterator<Item = &'c Rollout>,
    answer: bool,
) -> Vec<RolloutMessage> {
    let mut messages: Vec<Vec<Rollout>> = vec![Vec::new()];
    let mut size = 0;
    for rollout in all {
        let encoded = encode_rollout(rollout).encoded_len() + 4;
        if size + encoded > MAX_MESSAGE_BYTES - 16 {
            messages.push(Vec::new());
            size = 0;
        }
        size += encoded;
        if let Some(last) = messages.last_mut() {
            last.push(rollout.clone());
        }
    }
    let last = messages.len() - 1;
    let message = |(at, rollouts)| RolloutMessage::Rollouts {
        rollouts,
        answer: answer && at == last,
    };
    messages.into_iter().enumerate().map(message).collect()
}

/// Encodes the report that a node attaches to its membership entry. The reason [`NodeReport::why`]
/// is left out.
pub fn encode_attachment(report: &NodeReport) -> Vec<u8> {
    // Only answers to polls carry the reason, since the space of a membership entry is limited.
    later(
        encode_report(&NodeReport {
            why: String::new(),
            ..report.clone()
        })
        .encode_to_vec(),
    )
}
