//! What nodes tell each other about rollouts, as it travels in the fleet's parcels; what a node
//! hangs on its entry; what operators order; and what is shown. Protocol Buffers, fields by number:
//! one that is not known is passed over, a kind that is not known is no message.
//!
//! | field of `Parcel` | is |
//! | --- | --- |
//! | 1 | kind: 1 rollouts, 2 poll, 3 report, 4 ask for pieces, 5 piece, 6 prepare, 7 accept, 8 promised, 9 accepted, 10 refused |
//! | 2 | rollouts |
//! | 3 | whether an answer is wanted |
//! | 4 | number of a poll, or the first piece |
//! | 5 | rollout |
//! | 6 | a report |
//! | 7 | how many pieces |
//! | 8 | bytes of a piece |
//! | 9 | stage |
//! | 10 | outcome |
//! | 11 | number of an agreement |
//! | 12 | ballot |
//! | 13 | the ballot in which a proposal was accepted, or which was promised |
//! | 14 | what is proposed, or was accepted |
//! | 15 | whether it is proposed again |
//! | 16 | what is changed: 0 settings, 1 the program |

use crate::node_agent::{NodeReport, NodeStatus};
use crate::paxos::{Ballot, PaxosReply, PaxosRequest, Proposal, Vote};
use crate::rollout::{CHANGES_MAX, Kind, Outcome, REASON_MAX, Reason, Rollout, RolloutId, Version};
use crate::stages::{Plan, Progress, STAGES_MAX, Stage, ZONES_MAX};
use crate::{MILLISECOND, Nanos};
use prost::Message;
use std::collections::BTreeMap;

/// The most bytes of a parcel, and of a piece of content in one.
pub const PARCEL_MAX: usize = 1200;
pub const CHUNK_BYTES: usize = 1024;

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct VersionWire {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(fixed64, tag = "2")]
    hash: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct StageWire {
    #[prost(uint32, tag = "1")]
    share: u32,
    #[prost(uint32, tag = "2")]
    least_ms: u32,
    #[prost(uint32, tag = "3")]
    longest_ms: u32,
    #[prost(uint32, tag = "4")]
    sample: u32,
    #[prost(uint32, tag = "5")]
    spread_ms: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct PlanWire {
    #[prost(message, repeated, tag = "1")]
    stages: Vec<StageWire>,
    #[prost(uint32, tag = "2")]
    of_zone: u32,
    #[prost(uint32, tag = "3")]
    margin: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ProgressWire {
    #[prost(uint32, tag = "1")]
    stage: u32,
    #[prost(fixed32, repeated, tag = "2")]
    zones: Vec<u32>,
    /// By zone: before, and until; a zone with none before has 0, and nobody stands there but by a
    /// chance of 2^-64.
    #[prost(fixed64, repeated, tag = "3")]
    before: Vec<u64>,
    #[prost(fixed64, repeated, tag = "4")]
    until: Vec<u64>,
    #[prost(bool, tag = "5")]
    all: bool,
    #[prost(uint32, tag = "6")]
    electorate: u32,
    #[prost(uint64, tag = "7")]
    agreement: u64,
    #[prost(uint64, tag = "8")]
    at_ms: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct BallotWire {
    #[prost(uint64, tag = "1")]
    round: u64,
    #[prost(fixed64, tag = "2")]
    by: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ProposalWire {
    #[prost(fixed64, tag = "1")]
    rollout: u64,
    #[prost(message, optional, tag = "2")]
    progress: Option<ProgressWire>,
}

/// A voter's vote, as it is kept.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct VoteWire {
    #[prost(uint64, tag = "1")]
    agreement: u64,
    #[prost(message, optional, tag = "2")]
    promised: Option<BallotWire>,
    #[prost(message, optional, tag = "3")]
    accepted_in: Option<BallotWire>,
    #[prost(message, optional, tag = "4")]
    accepted: Option<ProposalWire>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ReasonWire {
    #[prost(uint64, tag = "1")]
    at_ms: u64,
    #[prost(fixed64, tag = "2")]
    by: u64,
    #[prost(string, tag = "3")]
    why: String,
}

/// A rollout, as it travels and is kept.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RolloutWire {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(uint32, tag = "2")]
    kind: u32,
    #[prost(message, optional, tag = "3")]
    version: Option<VersionWire>,
    #[prost(message, optional, tag = "4")]
    base: Option<VersionWire>,
    #[prost(bytes = "vec", tag = "5")]
    digest: Vec<u8>,
    #[prost(uint32, tag = "6")]
    bytes: u32,
    #[prost(fixed64, tag = "7")]
    by: u64,
    #[prost(uint64, tag = "8")]
    at_ms: u64,
    #[prost(message, optional, tag = "9")]
    plan: Option<PlanWire>,
    #[prost(message, optional, tag = "10")]
    progress: Option<ProgressWire>,
    #[prost(uint32, tag = "11")]
    outcome: u32,
    #[prost(message, optional, tag = "12")]
    reason: Option<ReasonWire>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ReportWire {
    #[prost(fixed64, tag = "1")]
    rollout: u64,
    #[prost(uint32, tag = "2")]
    stage: u32,
    #[prost(uint32, tag = "3")]
    outcome: u32,
    #[prost(uint32, tag = "4")]
    status: u32,
    #[prost(message, optional, tag = "5")]
    running: Option<VersionWire>,
    #[prost(uint64, tag = "6")]
    since_ms: u64,
    #[prost(uint32, tag = "7")]
    crashes: u32,
    #[prost(string, tag = "8")]
    why: String,
    #[prost(fixed64, tag = "9")]
    digest: u64,
    #[prost(message, optional, tag = "10")]
    good: Option<VersionWire>,
    #[prost(uint64, tag = "11")]
    last_crash_ms: u64,
}

/// Whether this is a build with a later version of the messages: a field more in each, one less in
/// some, and kinds that the present version does not know. For tests of both side by side.
pub const LATER: bool = cfg!(feature = "later");
/// A field that the present version does not know: number 250, a text.
const LATER_FIELD: [u8; 8] = [0xd2, 0x0f, 5, b'l', b'a', b't', b'e', b'r'];
/// A kind of message that it does not know.
pub const LATER_KIND: u32 = 90;

/// A parcel of a kind that the present version does not know.
pub fn later_kind() -> Vec<u8> {
    later(
        MessageWire {
            kind: LATER_KIND,
            ..MessageWire::default()
        }
        .encode_to_vec(),
    )
}

/// What a later version adds to a message.
pub(crate) fn later(mut message: Vec<u8>) -> Vec<u8> {
    if LATER && message.len() + LATER_FIELD.len() <= PARCEL_MAX {
        message.extend(LATER_FIELD);
    }
    message
}

#[derive(Clone, PartialEq, prost::Message)]
struct MessageWire {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(message, repeated, tag = "2")]
    rollouts: Vec<RolloutWire>,
    #[prost(bool, tag = "3")]
    answer: bool,
    #[prost(uint32, tag = "4")]
    no: u32,
    #[prost(fixed64, tag = "5")]
    rollout: u64,
    #[prost(message, optional, tag = "6")]
    report: Option<ReportWire>,
    #[prost(uint32, tag = "7")]
    count: u32,
    #[prost(bytes = "vec", tag = "8")]
    bytes: Vec<u8>,
    #[prost(uint32, tag = "9")]
    stage: u32,
    #[prost(uint32, tag = "10")]
    outcome: u32,
    #[prost(uint64, tag = "11")]
    agreement: u64,
    #[prost(message, optional, tag = "12")]
    ballot: Option<BallotWire>,
    #[prost(message, optional, tag = "13")]
    earlier: Option<BallotWire>,
    #[prost(message, optional, tag = "14")]
    proposal: Option<ProposalWire>,
    #[prost(bool, tag = "15")]
    again: bool,
    #[prost(uint32, tag = "16")]
    of: u32,
}

/// What a parcel is.
#[derive(Clone, Debug, PartialEq)]
pub enum ReceivedMessage {
    /// What is known of rollouts; whether what the other one knows is wanted.
    Rollouts {
        rollouts: Vec<Rollout>,
        answer: bool,
    },
    /// From the one who conducts: how do you stand to this, which has come so far as I know?
    Poll {
        no: u32,
        rollout: RolloutId,
        stage: u32,
        outcome: Outcome,
    },
    /// The answer.
    NodeReport {
        no: u32,
        report: NodeReport,
    },
    /// Pieces of a rollout's content are wanted: so many from this one on.
    ChunkRequest {
        rollout: RolloutId,
        first: u32,
        count: u32,
    },
    /// One of them.
    Chunk {
        rollout: RolloutId,
        no: u32,
        bytes: Vec<u8>,
    },
    /// From the one who conducts to a voter, of this kind of rollout; and back.
    PaxosRequest(Kind, PaxosRequest),
    PaxosReply(Kind, PaxosReply),
}

fn encode_decode_version(version: Version) -> Option<VersionWire> {
    Some(VersionWire {
        number: version.number,
        hash: version.hash,
    })
}

fn decode_version(encode_version: Option<VersionWire>) -> Version {
    encode_version.map_or(Version::default(), |encode_version| Version {
        number: encode_version.number,
        hash: encode_version.hash,
    })
}

fn saturating_ms(time: Nanos) -> u32 {
    u32::try_from(time / MILLISECOND).unwrap_or(u32::MAX)
}

fn encode_plan(plan: &Plan) -> PlanWire {
    let stage = |stage: &Stage| StageWire {
        share: stage.share,
        least_ms: saturating_ms(stage.least),
        longest_ms: saturating_ms(stage.longest),
        sample: stage.sample,
        spread_ms: saturating_ms(stage.spread),
    };
    PlanWire {
        stages: plan.stages.iter().map(stage).collect(),
        of_zone: plan.of_zone,
        margin: plan.margin,
    }
}

fn decode_plan(plan: &PlanWire) -> Option<Plan> {
    let nanos = |ms: u32| u64::from(ms) * MILLISECOND;
    let stage = |stage: &StageWire| Stage {
        share: stage.share,
        least: nanos(stage.least_ms),
        longest: nanos(stage.longest_ms),
        sample: stage.sample,
        spread: nanos(stage.spread_ms),
    };
    let stages = plan.stages.iter().take(STAGES_MAX + 1).map(stage).collect();
    let plan = Plan {
        stages,
        of_zone: plan.of_zone,
        margin: plan.margin,
    };
    plan.check().is_ok().then_some(plan)
}

fn encode_progress(progress: &Progress) -> ProgressWire {
    let zones: Vec<u32> = progress.until.keys().copied().collect();
    ProgressWire {
        stage: progress.stage,
        before: zones
            .iter()
            .map(|zone| progress.before.get(zone).copied().unwrap_or(0))
            .collect(),
        until: progress.until.values().copied().collect(),
        zones,
        all: progress.all,
        electorate: progress.electorate,
        agreement: progress.agreement,
        at_ms: progress.at_ms,
    }
}

fn decode_progress(progress: &ProgressWire) -> Option<Progress> {
    let n = progress.zones.len();
    if n > ZONES_MAX || progress.before.len() != n || progress.until.len() != n {
        return None;
    }
    let by_zone = |of: &[u64]| -> BTreeMap<u32, u64> {
        progress
            .zones
            .iter()
            .copied()
            .zip(of.iter().copied())
            .collect()
    };
    let mut before = by_zone(&progress.before);
    before.retain(|_, before| *before > 0);
    Some(Progress {
        stage: progress.stage,
        before,
        until: by_zone(&progress.until),
        all: progress.all,
        electorate: progress.electorate,
        agreement: progress.agreement,
        at_ms: progress.at_ms,
    })
}

fn encode_ballot(ballot: Ballot) -> Option<BallotWire> {
    Some(BallotWire {
        round: ballot.round,
        by: ballot.by,
    })
}

fn decode_ballot(ballot: Option<BallotWire>) -> Ballot {
    ballot.map_or(Ballot::default(), |ballot| Ballot {
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

fn decode_proposal(proposal: &ProposalWire) -> Option<Proposal> {
    Some(Proposal {
        rollout: RolloutId(proposal.rollout),
        progress: decode_progress(proposal.progress.as_ref()?)?,
    })
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

pub(crate) fn decode_vote(vote: &VoteWire) -> Vote {
    let accepted = vote.accepted.as_ref().and_then(decode_proposal);
    Vote {
        agreement: vote.agreement,
        promised: decode_ballot(vote.promised),
        accepted: accepted.map(|proposal| (decode_ballot(vote.accepted_in), proposal)),
    }
}

pub(crate) fn encode_rollout(rollout: &Rollout) -> RolloutWire {
    RolloutWire {
        id: rollout.id.0,
        kind: rollout.kind as u32,
        version: encode_decode_version(rollout.version),
        base: encode_decode_version(rollout.base),
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

fn kind(number: u32) -> Option<Kind> {
    [Kind::Settings, Kind::Program]
        .get(number as usize)
        .copied()
}

pub(crate) fn decode_rollout(rollout: &RolloutWire) -> Option<Rollout> {
    let reason = rollout
        .reason
        .as_ref()
        .filter(|reason| reason.why.len() <= REASON_MAX);
    Some(Rollout {
        id: RolloutId(rollout.id),
        kind: kind(rollout.kind)?,
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
        // A outcome that a later version knows is taken for the one nearest to safety.
        outcome: Outcome::from_number(rollout.outcome).unwrap_or(Outcome::RolledBack),
        reason: reason.map_or(Reason::default(), |r| Reason {
            at_ms: r.at_ms,
            by: r.by,
            why: r.why.clone(),
        }),
    })
}

fn encode_report(report: &NodeReport) -> ReportWire {
    ReportWire {
        rollout: report.rollout.0,
        stage: report.stage,
        outcome: report.outcome as u32,
        status: report.status as u32,
        running: encode_decode_version(report.running),
        since_ms: report.since_ms,
        crashes: report.crashes,
        why: report.why.clone(),
        digest: report.digest,
        good: encode_decode_version(report.good),
        // A field that a later version drops.
        last_crash_ms: if LATER { 0 } else { report.last_crash_ms },
    }
}

fn decode_report(report: &ReportWire) -> NodeReport {
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
        good: decode_version(report.good),
        last_crash_ms: report.last_crash_ms,
    }
}

/// Writes what is told. RolloutTable that don't fit one parcel are told in several: see [`rollouts`].
pub fn encode(message: &ReceivedMessage) -> Vec<u8> {
    let mut parcel = MessageWire::default();
    match message {
        ReceivedMessage::Rollouts { rollouts, answer } => {
            parcel.kind = 1;
            parcel.rollouts = rollouts.iter().map(encode_rollout).collect();
            parcel.answer = *answer;
        }
        ReceivedMessage::Poll {
            no,
            rollout,
            stage,
            outcome,
        } => {
            (parcel.kind, parcel.no, parcel.rollout) = (2, *no, rollout.0);
            (parcel.stage, parcel.outcome) = (*stage, *outcome as u32);
        }
        ReceivedMessage::NodeReport { no, report } => {
            (parcel.kind, parcel.no, parcel.report) = (3, *no, Some(encode_report(report)));
        }
        ReceivedMessage::ChunkRequest {
            rollout,
            first,
            count,
        } => {
            (parcel.kind, parcel.rollout, parcel.no, parcel.count) = (4, rollout.0, *first, *count);
        }
        ReceivedMessage::Chunk { rollout, no, bytes } => {
            (parcel.kind, parcel.rollout, parcel.no) = (5, rollout.0, *no);
            parcel.bytes.clone_from(bytes);
        }
        ReceivedMessage::PaxosRequest(kind, request) => {
            parcel.of = *kind as u32;
            match request {
                PaxosRequest::Prepare { agreement, ballot } => {
                    (parcel.kind, parcel.agreement, parcel.ballot) =
                        (6, *agreement, encode_ballot(*ballot));
                }
                PaxosRequest::Accept {
                    ballot,
                    proposal,
                    again,
                } => {
                    (parcel.kind, parcel.ballot, parcel.again) =
                        (7, encode_ballot(*ballot), *again);
                    parcel.proposal = Some(encode_proposal(proposal));
                }
            }
        }
        ReceivedMessage::PaxosReply(kind, reply) => {
            parcel.of = *kind as u32;
            match reply {
                PaxosReply::Promised {
                    agreement,
                    ballot,
                    accepted,
                } => {
                    (parcel.kind, parcel.agreement, parcel.ballot) =
                        (8, *agreement, encode_ballot(*ballot));
                    if let Some((earlier, proposal)) = accepted {
                        (parcel.earlier, parcel.proposal) =
                            (encode_ballot(*earlier), Some(encode_proposal(proposal)));
                    }
                }
                PaxosReply::Accepted { agreement, ballot } => {
                    (parcel.kind, parcel.agreement, parcel.ballot) =
                        (9, *agreement, encode_ballot(*ballot));
                }
                PaxosReply::Refused {
                    agreement,
                    ballot,
                    promised,
                } => {
                    (parcel.kind, parcel.agreement, parcel.ballot) =
                        (10, *agreement, encode_ballot(*ballot));
                    parcel.earlier = encode_ballot(*promised);
                }
            }
        }
    }
    later(parcel.encode_to_vec())
}

/// Words about rollouts, in as many parcels as they need; the last one asks for an answer, if one is
/// wanted.
pub fn rollouts<'c>(all: impl Iterator<Item = &'c Rollout>, answer: bool) -> Vec<ReceivedMessage> {
    let mut parcels: Vec<Vec<Rollout>> = vec![Vec::new()];
    let mut size = 0;
    for rollout in all {
        let more = encode_rollout(rollout).encoded_len() + 4;
        if size + more > PARCEL_MAX - 16 {
            parcels.push(Vec::new());
            size = 0;
        }
        size += more;
        if let Some(last) = parcels.last_mut() {
            last.push(rollout.clone());
        }
    }
    let last = parcels.len() - 1;
    let message = |(at, rollouts)| ReceivedMessage::Rollouts {
        rollouts,
        answer: answer && at == last,
    };
    parcels.into_iter().enumerate().map(message).collect()
}

/// Reads what was told; nothing if it can't be read, is beyond its bounds, or is of a kind that is
/// not known.
pub fn decode(bytes: &[u8]) -> Option<ReceivedMessage> {
    let parcel = MessageWire::decode(bytes)
        .ok()
        .filter(|_| bytes.len() <= PARCEL_MAX)?;
    let (no, rollout) = (parcel.no, RolloutId(parcel.rollout));
    Some(match parcel.kind {
        1 if parcel.rollouts.len() <= CHANGES_MAX => ReceivedMessage::Rollouts {
            // One that can't be read leaves the others as they are.
            rollouts: parcel.rollouts.iter().filter_map(decode_rollout).collect(),
            answer: parcel.answer,
        },
        2 => {
            let outcome = Outcome::from_number(parcel.outcome).unwrap_or(Outcome::RolledBack);
            ReceivedMessage::Poll {
                no,
                rollout,
                stage: parcel.stage,
                outcome,
            }
        }
        3 => ReceivedMessage::NodeReport {
            no,
            report: decode_report(&parcel.report?),
        },
        4 => ReceivedMessage::ChunkRequest {
            rollout,
            first: no,
            count: parcel.count,
        },
        5 if parcel.bytes.len() <= CHUNK_BYTES => ReceivedMessage::Chunk {
            rollout,
            no,
            bytes: parcel.bytes,
        },
        6..=10 => return decode_paxos(&parcel),
        _ => return None,
    })
}

fn decode_paxos(parcel: &MessageWire) -> Option<ReceivedMessage> {
    let (of, agreement, ballot) = (
        kind(parcel.of)?,
        parcel.agreement,
        decode_ballot(parcel.ballot),
    );
    // One that is there and can't be read must not be taken for none.
    let proposal = parcel.proposal.as_ref().map(decode_proposal);
    Some(match parcel.kind {
        6 => ReceivedMessage::PaxosRequest(of, PaxosRequest::Prepare { agreement, ballot }),
        7 => ReceivedMessage::PaxosRequest(
            of,
            PaxosRequest::Accept {
                ballot,
                proposal: proposal??,
                again: parcel.again,
            },
        ),
        8 => {
            let accepted = match proposal {
                None => None,
                Some(proposal) => Some((decode_ballot(parcel.earlier), proposal?)),
            };
            ReceivedMessage::PaxosReply(
                of,
                PaxosReply::Promised {
                    agreement,
                    ballot,
                    accepted,
                },
            )
        }
        9 => ReceivedMessage::PaxosReply(of, PaxosReply::Accepted { agreement, ballot }),
        _ => ReceivedMessage::PaxosReply(
            of,
            PaxosReply::Refused {
                agreement,
                ballot,
                promised: decode_ballot(parcel.earlier),
            },
        ),
    })
}

/// What a node hangs on its entry: its report.
pub fn encode_attachment(report: &NodeReport) -> Vec<u8> {
    // Why is told to those who ask: an entry has little room.
    later(
        encode_report(&NodeReport {
            why: String::new(),
            ..report.clone()
        })
        .encode_to_vec(),
    )
}

/// Reads it.
pub fn decode_attachment(bytes: &[u8]) -> Option<NodeReport> {
    ReportWire::decode(bytes)
        .ok()
        .map(|report| decode_report(&report))
}

/// What an operator orders.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OperatorCommand {
    /// 1 a piece of content that is offered, 2 offer it, 3 halt, 4 back.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Of content: the number of the piece, its bytes, and of all of it how many bytes there are
    /// and their SHA-256.
    #[prost(uint32, tag = "2")]
    pub no: u32,
    #[prost(bytes = "vec", tag = "3")]
    pub bytes: Vec<u8>,
    #[prost(uint32, tag = "4")]
    pub size: u32,
    #[prost(bytes = "vec", tag = "5")]
    pub digest: Vec<u8>,
    /// Of a program: its version; 0 for settings, whose file has it.
    #[prost(uint64, tag = "6")]
    pub number: u64,
    #[prost(fixed64, tag = "7")]
    pub hash: u64,
    /// The rollout that is halted or taken back.
    #[prost(fixed64, tag = "8")]
    pub rollout: u64,
    #[prost(string, tag = "9")]
    pub why: String,
    #[prost(bool, tag = "10")]
    pub program: bool,
}

/// The kinds of orders.
pub mod order {
    pub const CHUNK: u32 = 1;
    pub const OFFER: u32 = 2;
    pub const HALT: u32 = 3;
    pub const ROLL_BACK: u32 = 4;
}

/// What became of an order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CommandReply {
    /// 0 taken, 1 not yet: ask again, 2 turned down.
    #[prost(uint32, tag = "1")]
    pub state: u32,
    #[prost(string, tag = "2")]
    pub why: String,
    #[prost(fixed64, tag = "3")]
    pub rollout: u64,
}

#[cfg(test)]
mod tests;
