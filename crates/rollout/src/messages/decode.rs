//! Decoding of messages. A message that exceeds its bounds or is of an unknown kind is rejected.

use super::message::{MAX_MESSAGE_BYTES, RolloutMessage};
use super::wire::{
    BallotWire, MessageWire, PlanWire, ProgressWire, ProposalWire, ReportWire, RolloutWire,
    StageWire, VersionWire, VoteWire,
};
use crate::MILLISECOND;
use crate::chunks::CHUNK_BYTES;
use crate::identifiers::{Kind, RolloutId, Version};
use crate::node_report::{NodeReport, NodeStatus};
use crate::paxos::{Ballot, PaxosReply, PaxosRequest, Proposal, Vote};
use crate::rollout::{MAX_REASON_BYTES, Outcome, Reason, Rollout};
use crate::rollout_table::MAX_ROLLOUTS;
use crate::stages::{MAX_STAGES, MAX_ZONES, Plan, Progress, Stage};
use prost::Message as _;
use std::collections::BTreeMap;

fn decode_version(version: Option<VersionWire>) -> Version {
    version.map_or(Version::default(), |version| Version {
        number: version.number,
        hash: version.hash,
    })
}

fn decode_plan(plan: &PlanWire) -> Option<Plan> {
    let to_nanos = |ms: u32| u64::from(ms) * MILLISECOND;
    let stage = |stage: &StageWire| Stage {
        share_permille: stage.share_permille,
        min_duration: to_nanos(stage.min_duration_ms),
        max_duration: to_nanos(stage.max_duration_ms),
        min_requests: stage.min_requests,
        start_spread: to_nanos(stage.start_spread_ms),
    };
    let stages = plan.stages.iter().take(MAX_STAGES + 1).map(stage).collect();
    let plan = Plan {
        stages,
        max_zone_permille: plan.max_zone_permille,
        margin_permille: plan.margin_permille,
    };
    plan.check().is_ok().then_some(plan)
}

fn decode_progress(progress: &ProgressWire) -> Option<Progress> {
    let zone_count = progress.zones.len();
    if zone_count > MAX_ZONES
        || progress.previous_thresholds.len() != zone_count
        || progress.thresholds.len() != zone_count
    {
        return None;
    }
    let by_zone = |thresholds: &[u64]| -> BTreeMap<u32, u64> {
        progress
            .zones
            .iter()
            .copied()
            .zip(thresholds.iter().copied())
            .collect()
    };
    let mut previous = by_zone(&progress.previous_thresholds);
    previous.retain(|_, threshold| *threshold > 0);
    Some(Progress {
        stage: progress.stage,
        previous_thresholds: previous,
        thresholds: by_zone(&progress.thresholds),
        whole_cluster: progress.whole_cluster,
        cluster_size: progress.cluster_size,
        agreement: progress.agreement,
        at_ms: progress.at_ms,
    })
}

fn decode_ballot(ballot: Option<BallotWire>) -> Ballot {
    ballot.map_or(Ballot::default(), |ballot| Ballot {
        round: ballot.round,
        by: ballot.by,
    })
}

fn decode_proposal(proposal: &ProposalWire) -> Option<Proposal> {
    Some(Proposal {
        rollout: RolloutId(proposal.rollout),
        progress: decode_progress(proposal.progress.as_ref()?)?,
    })
}

pub(crate) fn decode_vote(vote: &VoteWire) -> Vote {
    let accepted = vote.accepted.as_ref().and_then(decode_proposal);
    Vote {
        agreement: vote.agreement,
        promised: decode_ballot(vote.promised),
        accepted: accepted.map(|proposal| (decode_ballot(vote.accepted_in), proposal)),
    }
}

fn decode_kind(number: u32) -> Option<Kind> {
    [Kind::Settings, Kind::Program]
        .get(number as usize)
        .copied()
}

pub(crate) fn decode_rollout(rollout: &RolloutWire) -> Option<Rollout> {
    let reason = rollout
        .reason
        .as_ref()
        .filter(|reason| reason.why.len() <= MAX_REASON_BYTES);
    Some(Rollout {
        id: RolloutId(rollout.id),
        kind: decode_kind(rollout.kind)?,
        version: decode_version(rollout.version),
        base: decode_version(rollout.base),
        digest: rollout.digest.as_slice().try_into().ok()?,
        bytes: rollout.bytes,
        by: rollout.by,
        at_ms: rollout.at_ms,
        plan: decode_plan(rollout.plan.as_ref()?)?,
        progress: rollout
            .progress
            .as_ref()
            .map_or(Some(Progress::default()), decode_progress)?,
        // An outcome that only a later version of the program knows is read as rolled back, the
        // safest outcome.
        outcome: Outcome::from_number(rollout.outcome).unwrap_or(Outcome::RolledBack),
        reason: reason.map_or(Reason::default(), |r| Reason {
            at_ms: r.at_ms,
            by: r.by,
            why: r.why.clone(),
        }),
    })
}

pub(super) fn decode_report(report: &ReportWire) -> NodeReport {
    NodeReport {
        rollout: RolloutId(report.rollout),
        stage: report.stage,
        outcome: Outcome::from_number(report.outcome).unwrap_or(Outcome::RolledBack),
        status: NodeStatus::from_number(report.status),
        running: decode_version(report.running),
        since_ms: report.since_ms,
        crashes: report.crashes,
        why: Reason::new(0, 0, &report.why).why,
        digest: report.digest,
        promoted: decode_version(report.promoted),
        last_crash_ms: report.last_crash_ms,
    }
}

/// Decodes a message; `None` if the message is malformed, exceeds its bounds, or is of an unknown
/// kind.
pub fn decode(bytes: &[u8]) -> Option<RolloutMessage> {
    let wire = MessageWire::decode(bytes)
        .ok()
        .filter(|_| bytes.len() <= MAX_MESSAGE_BYTES)?;
    let (number, rollout) = (wire.number, RolloutId(wire.rollout));
    Some(match wire.kind {
        1 if wire.rollouts.len() <= MAX_ROLLOUTS => RolloutMessage::Rollouts {
            // A rollout that cannot be decoded is skipped; the others are kept.
            rollouts: wire.rollouts.iter().filter_map(decode_rollout).collect(),
            answer: wire.answer,
        },
        2 => {
            let outcome = Outcome::from_number(wire.outcome).unwrap_or(Outcome::RolledBack);
            RolloutMessage::Poll {
                poll: number,
                rollout,
                stage: wire.stage,
                outcome,
            }
        }
        3 => RolloutMessage::NodeReport {
            poll: number,
            report: decode_report(&wire.report?),
        },
        4 => RolloutMessage::ChunkRequest {
            rollout,
            first: number,
            count: wire.count,
        },
        5 if wire.bytes.len() <= CHUNK_BYTES => RolloutMessage::Chunk {
            rollout,
            index: number,
            bytes: wire.bytes,
        },
        6..=10 => return decode_paxos(&wire),
        _ => return None,
    })
}

fn decode_paxos(wire: &MessageWire) -> Option<RolloutMessage> {
    let (kind, agreement, ballot) = (
        decode_kind(wire.rollout_kind)?,
        wire.agreement,
        decode_ballot(wire.ballot),
    );
    // A proposal that is present but cannot be decoded must not be treated as absent.
    let proposal = wire.proposal.as_ref().map(decode_proposal);
    Some(match wire.kind {
        6 => RolloutMessage::PaxosRequest(kind, PaxosRequest::Prepare { agreement, ballot }),
        7 => RolloutMessage::PaxosRequest(
            kind,
            PaxosRequest::Accept {
                ballot,
                proposal: proposal??,
                again: wire.again,
            },
        ),
        8 => {
            let accepted = match proposal {
                None => None,
                Some(proposal) => Some((decode_ballot(wire.other_ballot), proposal?)),
            };
            RolloutMessage::PaxosReply(
                kind,
                PaxosReply::Promised {
                    agreement,
                    ballot,
                    accepted,
                },
            )
        }
        9 => RolloutMessage::PaxosReply(kind, PaxosReply::Accepted { agreement, ballot }),
        _ => RolloutMessage::PaxosReply(
            kind,
            PaxosReply::Refused {
                agreement,
                ballot,
                promised: decode_ballot(wire.other_ballot),
            },
        ),
    })
}

/// Decodes the report that a node attaches to its membership entry; `None` if it is malformed.
pub fn decode_attachment(bytes: &[u8]) -> Option<NodeReport> {
    ReportWire::decode(bytes)
        .ok()
        .map(|report| decode_report(&report))
}
