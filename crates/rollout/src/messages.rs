//! What nodes tell each other about changes, as it travels in the fleet's parcels; what a node
//! hangs on its entry; what operators order; and what is shown. Protocol Buffers, fields by number:
//! one that is not known is passed over, a kind that is not known is no message.
//!
//! | field of `Parcel` | is |
//! | --- | --- |
//! | 1 | kind: 1 changes, 2 poll, 3 report, 4 ask for pieces, 5 piece, 6 prepare, 7 accept, 8 promised, 9 accepted, 10 refused |
//! | 2 | changes |
//! | 3 | whether an answer is wanted |
//! | 4 | number of a poll, or the first piece |
//! | 5 | change |
//! | 6 | a report |
//! | 7 | how many pieces |
//! | 8 | bytes of a piece |
//! | 9 | stage |
//! | 10 | fate |
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
pub const PIECE: usize = 1024;

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct OneVersion {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(fixed64, tag = "2")]
    hash: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct OneStage {
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
struct OnePlan {
    #[prost(message, repeated, tag = "1")]
    stages: Vec<OneStage>,
    #[prost(uint32, tag = "2")]
    of_zone: u32,
    #[prost(uint32, tag = "3")]
    margin: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OneReach {
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
    seq: u64,
    #[prost(uint64, tag = "8")]
    at_ms: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct OneBallot {
    #[prost(uint64, tag = "1")]
    round: u64,
    #[prost(fixed64, tag = "2")]
    by: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OneProposal {
    #[prost(fixed64, tag = "1")]
    change: u64,
    #[prost(message, optional, tag = "2")]
    reach: Option<OneReach>,
}

/// An arbiter's vote, as it is kept.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct OneVote {
    #[prost(uint64, tag = "1")]
    seq: u64,
    #[prost(message, optional, tag = "2")]
    promised: Option<OneBallot>,
    #[prost(message, optional, tag = "3")]
    accepted_in: Option<OneBallot>,
    #[prost(message, optional, tag = "4")]
    accepted: Option<OneProposal>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OneReason {
    #[prost(uint64, tag = "1")]
    at_ms: u64,
    #[prost(fixed64, tag = "2")]
    by: u64,
    #[prost(string, tag = "3")]
    why: String,
}

/// A change, as it travels and is kept.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct OneChange {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(uint32, tag = "2")]
    kind: u32,
    #[prost(message, optional, tag = "3")]
    version: Option<OneVersion>,
    #[prost(message, optional, tag = "4")]
    base: Option<OneVersion>,
    #[prost(bytes = "vec", tag = "5")]
    digest: Vec<u8>,
    #[prost(uint32, tag = "6")]
    bytes: u32,
    #[prost(fixed64, tag = "7")]
    by: u64,
    #[prost(uint64, tag = "8")]
    at_ms: u64,
    #[prost(message, optional, tag = "9")]
    plan: Option<OnePlan>,
    #[prost(message, optional, tag = "10")]
    reach: Option<OneReach>,
    #[prost(uint32, tag = "11")]
    fate: u32,
    #[prost(message, optional, tag = "12")]
    reason: Option<OneReason>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct OneReport {
    #[prost(fixed64, tag = "1")]
    change: u64,
    #[prost(uint32, tag = "2")]
    stage: u32,
    #[prost(uint32, tag = "3")]
    fate: u32,
    #[prost(uint32, tag = "4")]
    stand: u32,
    #[prost(message, optional, tag = "5")]
    running: Option<OneVersion>,
    #[prost(uint64, tag = "6")]
    since_ms: u64,
    #[prost(uint32, tag = "7")]
    died: u32,
    #[prost(string, tag = "8")]
    why: String,
    #[prost(fixed64, tag = "9")]
    digest: u64,
    #[prost(message, optional, tag = "10")]
    good: Option<OneVersion>,
    #[prost(uint64, tag = "11")]
    died_ms: u64,
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
        Parcel {
            kind: LATER_KIND,
            ..Parcel::default()
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
struct Parcel {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(message, repeated, tag = "2")]
    changes: Vec<OneChange>,
    #[prost(bool, tag = "3")]
    answer: bool,
    #[prost(uint32, tag = "4")]
    no: u32,
    #[prost(fixed64, tag = "5")]
    change: u64,
    #[prost(message, optional, tag = "6")]
    report: Option<OneReport>,
    #[prost(uint32, tag = "7")]
    count: u32,
    #[prost(bytes = "vec", tag = "8")]
    bytes: Vec<u8>,
    #[prost(uint32, tag = "9")]
    stage: u32,
    #[prost(uint32, tag = "10")]
    fate: u32,
    #[prost(uint64, tag = "11")]
    seq: u64,
    #[prost(message, optional, tag = "12")]
    ballot: Option<OneBallot>,
    #[prost(message, optional, tag = "13")]
    earlier: Option<OneBallot>,
    #[prost(message, optional, tag = "14")]
    proposal: Option<OneProposal>,
    #[prost(bool, tag = "15")]
    again: bool,
    #[prost(uint32, tag = "16")]
    of: u32,
}

/// What a parcel is.
#[derive(Clone, Debug, PartialEq)]
pub enum ReceivedMessage {
    /// What is known of changes; whether what the other one knows is wanted.
    RolloutTable {
        changes: Vec<Rollout>,
        answer: bool,
    },
    /// From the one who conducts: how do you stand to this, which has come so far as I know?
    Poll {
        no: u32,
        change: RolloutId,
        stage: u32,
        fate: Outcome,
    },
    /// The answer.
    NodeReport {
        no: u32,
        report: NodeReport,
    },
    /// Pieces of a change's content are wanted: so many from this one on.
    AskPieces {
        change: RolloutId,
        first: u32,
        count: u32,
    },
    /// One of them.
    Piece {
        change: RolloutId,
        no: u32,
        bytes: Vec<u8>,
    },
    /// From the one who conducts to an arbiter, of this kind of change; and back.
    PaxosRequest(Kind, PaxosRequest),
    PaxosReply(Kind, PaxosReply),
}

fn one(version: Version) -> Option<OneVersion> {
    Some(OneVersion {
        number: version.number,
        hash: version.hash,
    })
}

fn version(one: Option<OneVersion>) -> Version {
    one.map_or(Version::default(), |one| Version {
        number: one.number,
        hash: one.hash,
    })
}

fn ms(time: Nanos) -> u32 {
    u32::try_from(time / MILLISECOND).unwrap_or(u32::MAX)
}

fn write_plan(plan: &Plan) -> OnePlan {
    let stage = |stage: &Stage| OneStage {
        share: stage.share,
        least_ms: ms(stage.least),
        longest_ms: ms(stage.longest),
        sample: stage.sample,
        spread_ms: ms(stage.spread),
    };
    OnePlan {
        stages: plan.stages.iter().map(stage).collect(),
        of_zone: plan.of_zone,
        margin: plan.margin,
    }
}

fn read_plan(plan: &OnePlan) -> Option<Plan> {
    let nanos = |ms: u32| u64::from(ms) * MILLISECOND;
    let stage = |stage: &OneStage| Stage {
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

fn write_reach(reach: &Progress) -> OneReach {
    let zones: Vec<u32> = reach.until.keys().copied().collect();
    OneReach {
        stage: reach.stage,
        before: zones
            .iter()
            .map(|zone| reach.before.get(zone).copied().unwrap_or(0))
            .collect(),
        until: reach.until.values().copied().collect(),
        zones,
        all: reach.all,
        electorate: reach.electorate,
        seq: reach.seq,
        at_ms: reach.at_ms,
    }
}

fn read_reach(reach: &OneReach) -> Option<Progress> {
    let n = reach.zones.len();
    if n > ZONES_MAX || reach.before.len() != n || reach.until.len() != n {
        return None;
    }
    let by_zone = |of: &[u64]| -> BTreeMap<u32, u64> {
        reach
            .zones
            .iter()
            .copied()
            .zip(of.iter().copied())
            .collect()
    };
    let mut before = by_zone(&reach.before);
    before.retain(|_, before| *before > 0);
    Some(Progress {
        stage: reach.stage,
        before,
        until: by_zone(&reach.until),
        all: reach.all,
        electorate: reach.electorate,
        seq: reach.seq,
        at_ms: reach.at_ms,
    })
}

fn write_ballot(ballot: Ballot) -> Option<OneBallot> {
    Some(OneBallot {
        round: ballot.round,
        by: ballot.by,
    })
}

fn read_ballot(ballot: Option<OneBallot>) -> Ballot {
    ballot.map_or(Ballot::default(), |ballot| Ballot {
        round: ballot.round,
        by: ballot.by,
    })
}

fn write_proposal(proposal: &Proposal) -> OneProposal {
    OneProposal {
        change: proposal.change.0,
        reach: Some(write_reach(&proposal.reach)),
    }
}

fn read_proposal(proposal: &OneProposal) -> Option<Proposal> {
    Some(Proposal {
        change: RolloutId(proposal.change),
        reach: read_reach(proposal.reach.as_ref()?)?,
    })
}

pub(crate) fn write_vote(vote: &Vote) -> OneVote {
    OneVote {
        seq: vote.seq,
        promised: write_ballot(vote.promised),
        accepted_in: vote
            .accepted
            .as_ref()
            .and_then(|(ballot, _)| write_ballot(*ballot)),
        accepted: vote
            .accepted
            .as_ref()
            .map(|(_, proposal)| write_proposal(proposal)),
    }
}

pub(crate) fn read_vote(vote: &OneVote) -> Vote {
    let accepted = vote.accepted.as_ref().and_then(read_proposal);
    Vote {
        seq: vote.seq,
        promised: read_ballot(vote.promised),
        accepted: accepted.map(|proposal| (read_ballot(vote.accepted_in), proposal)),
    }
}

pub(crate) fn write_change(change: &Rollout) -> OneChange {
    OneChange {
        id: change.id.0,
        kind: change.kind as u32,
        version: one(change.version),
        base: one(change.base),
        digest: change.digest.to_vec(),
        bytes: change.bytes,
        by: change.by,
        at_ms: change.at_ms,
        plan: Some(write_plan(&change.plan)),
        reach: Some(write_reach(&change.reach)),
        fate: change.fate as u32,
        reason: (change.fate > Outcome::InProgress).then(|| OneReason {
            at_ms: change.reason.at_ms,
            by: change.reason.by,
            why: change.reason.why.clone(),
        }),
    }
}

fn kind(number: u32) -> Option<Kind> {
    [Kind::Settings, Kind::Program]
        .get(number as usize)
        .copied()
}

pub(crate) fn read_change(change: &OneChange) -> Option<Rollout> {
    let reason = change
        .reason
        .as_ref()
        .filter(|reason| reason.why.len() <= REASON_MAX);
    Some(Rollout {
        id: RolloutId(change.id),
        kind: kind(change.kind)?,
        version: version(change.version),
        base: version(change.base),
        digest: change.digest.as_slice().try_into().ok()?,
        bytes: change.bytes,
        by: change.by,
        at_ms: change.at_ms,
        plan: read_plan(change.plan.as_ref()?)?,
        reach: change
            .reach
            .as_ref()
            .map_or(Some(Progress::default()), read_reach)?,
        // A fate that a later version knows is taken for the one nearest to safety.
        fate: Outcome::from_number(change.fate).unwrap_or(Outcome::RolledBack),
        reason: reason.map_or(Reason::default(), |r| Reason {
            at_ms: r.at_ms,
            by: r.by,
            why: r.why.clone(),
        }),
    })
}

fn write_report(report: &NodeReport) -> OneReport {
    OneReport {
        change: report.change.0,
        stage: report.stage,
        fate: report.fate as u32,
        stand: report.stand as u32,
        running: one(report.running),
        since_ms: report.since_ms,
        died: report.died,
        why: report.why.clone(),
        digest: report.digest,
        good: one(report.good),
        // A field that a later version drops.
        died_ms: if LATER { 0 } else { report.died_ms },
    }
}

fn read_report(report: &OneReport) -> NodeReport {
    NodeReport {
        change: RolloutId(report.change),
        stage: report.stage,
        fate: Outcome::from_number(report.fate).unwrap_or(Outcome::RolledBack),
        stand: NodeStatus::from_number(report.stand),
        running: version(report.running),
        since_ms: report.since_ms,
        died: report.died,
        why: Reason::new(0, 0, &report.why).why,
        digest: report.digest,
        good: version(report.good),
        died_ms: report.died_ms,
    }
}

/// Writes what is told. RolloutTable that don't fit one parcel are told in several: see [`changes`].
pub fn write(told: &ReceivedMessage) -> Vec<u8> {
    let mut parcel = Parcel::default();
    match told {
        ReceivedMessage::RolloutTable { changes, answer } => {
            parcel.kind = 1;
            parcel.changes = changes.iter().map(write_change).collect();
            parcel.answer = *answer;
        }
        ReceivedMessage::Poll {
            no,
            change,
            stage,
            fate,
        } => {
            (parcel.kind, parcel.no, parcel.change) = (2, *no, change.0);
            (parcel.stage, parcel.fate) = (*stage, *fate as u32);
        }
        ReceivedMessage::NodeReport { no, report } => {
            (parcel.kind, parcel.no, parcel.report) = (3, *no, Some(write_report(report)));
        }
        ReceivedMessage::AskPieces {
            change,
            first,
            count,
        } => {
            (parcel.kind, parcel.change, parcel.no, parcel.count) = (4, change.0, *first, *count);
        }
        ReceivedMessage::Piece { change, no, bytes } => {
            (parcel.kind, parcel.change, parcel.no) = (5, change.0, *no);
            parcel.bytes.clone_from(bytes);
        }
        ReceivedMessage::PaxosRequest(kind, ask) => {
            parcel.of = *kind as u32;
            match ask {
                PaxosRequest::Prepare { seq, ballot } => {
                    (parcel.kind, parcel.seq, parcel.ballot) = (6, *seq, write_ballot(*ballot));
                }
                PaxosRequest::Accept {
                    ballot,
                    proposal,
                    again,
                } => {
                    (parcel.kind, parcel.ballot, parcel.again) = (7, write_ballot(*ballot), *again);
                    parcel.proposal = Some(write_proposal(proposal));
                }
            }
        }
        ReceivedMessage::PaxosReply(kind, say) => {
            parcel.of = *kind as u32;
            match say {
                PaxosReply::Promised {
                    seq,
                    ballot,
                    accepted,
                } => {
                    (parcel.kind, parcel.seq, parcel.ballot) = (8, *seq, write_ballot(*ballot));
                    if let Some((earlier, proposal)) = accepted {
                        (parcel.earlier, parcel.proposal) =
                            (write_ballot(*earlier), Some(write_proposal(proposal)));
                    }
                }
                PaxosReply::Accepted { seq, ballot } => {
                    (parcel.kind, parcel.seq, parcel.ballot) = (9, *seq, write_ballot(*ballot));
                }
                PaxosReply::Refused {
                    seq,
                    ballot,
                    promised,
                } => {
                    (parcel.kind, parcel.seq, parcel.ballot) = (10, *seq, write_ballot(*ballot));
                    parcel.earlier = write_ballot(*promised);
                }
            }
        }
    }
    later(parcel.encode_to_vec())
}

/// Words about changes, in as many parcels as they need; the last one asks for an answer, if one is
/// wanted.
pub fn changes<'c>(all: impl Iterator<Item = &'c Rollout>, answer: bool) -> Vec<ReceivedMessage> {
    let mut parcels: Vec<Vec<Rollout>> = vec![Vec::new()];
    let mut size = 0;
    for change in all {
        let more = write_change(change).encoded_len() + 4;
        if size + more > PARCEL_MAX - 16 {
            parcels.push(Vec::new());
            size = 0;
        }
        size += more;
        if let Some(last) = parcels.last_mut() {
            last.push(change.clone());
        }
    }
    let last = parcels.len() - 1;
    let told = |(at, changes)| ReceivedMessage::RolloutTable {
        changes,
        answer: answer && at == last,
    };
    parcels.into_iter().enumerate().map(told).collect()
}

/// Reads what was told; nothing if it can't be read, is beyond its bounds, or is of a kind that is
/// not known.
pub fn read(bytes: &[u8]) -> Option<ReceivedMessage> {
    let parcel = Parcel::decode(bytes)
        .ok()
        .filter(|_| bytes.len() <= PARCEL_MAX)?;
    let (no, change) = (parcel.no, RolloutId(parcel.change));
    Some(match parcel.kind {
        1 if parcel.changes.len() <= CHANGES_MAX => ReceivedMessage::RolloutTable {
            // One that can't be read leaves the others as they are.
            changes: parcel.changes.iter().filter_map(read_change).collect(),
            answer: parcel.answer,
        },
        2 => {
            let fate = Outcome::from_number(parcel.fate).unwrap_or(Outcome::RolledBack);
            ReceivedMessage::Poll {
                no,
                change,
                stage: parcel.stage,
                fate,
            }
        }
        3 => ReceivedMessage::NodeReport {
            no,
            report: read_report(&parcel.report?),
        },
        4 => ReceivedMessage::AskPieces {
            change,
            first: no,
            count: parcel.count,
        },
        5 if parcel.bytes.len() <= PIECE => ReceivedMessage::Piece {
            change,
            no,
            bytes: parcel.bytes,
        },
        6..=10 => return read_vote_parcel(&parcel),
        _ => return None,
    })
}

fn read_vote_parcel(parcel: &Parcel) -> Option<ReceivedMessage> {
    let (of, seq, ballot) = (kind(parcel.of)?, parcel.seq, read_ballot(parcel.ballot));
    // One that is there and can't be read must not be taken for none.
    let proposal = parcel.proposal.as_ref().map(read_proposal);
    Some(match parcel.kind {
        6 => ReceivedMessage::PaxosRequest(of, PaxosRequest::Prepare { seq, ballot }),
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
                Some(proposal) => Some((read_ballot(parcel.earlier), proposal?)),
            };
            ReceivedMessage::PaxosReply(
                of,
                PaxosReply::Promised {
                    seq,
                    ballot,
                    accepted,
                },
            )
        }
        9 => ReceivedMessage::PaxosReply(of, PaxosReply::Accepted { seq, ballot }),
        _ => ReceivedMessage::PaxosReply(
            of,
            PaxosReply::Refused {
                seq,
                ballot,
                promised: read_ballot(parcel.earlier),
            },
        ),
    })
}

/// What a node hangs on its entry: its report.
pub fn write_part(report: &NodeReport) -> Vec<u8> {
    // Why is told to those who ask: an entry has little room.
    later(
        write_report(&NodeReport {
            why: String::new(),
            ..report.clone()
        })
        .encode_to_vec(),
    )
}

/// Reads it.
pub fn read_part(bytes: &[u8]) -> Option<NodeReport> {
    OneReport::decode(bytes)
        .ok()
        .map(|report| read_report(&report))
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
    /// The change that is halted or taken back.
    #[prost(fixed64, tag = "8")]
    pub change: u64,
    #[prost(string, tag = "9")]
    pub why: String,
    #[prost(bool, tag = "10")]
    pub program: bool,
}

/// The kinds of orders.
pub mod order {
    pub const PIECE: u32 = 1;
    pub const OFFER: u32 = 2;
    pub const HALT: u32 = 3;
    pub const BACK: u32 = 4;
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
    pub change: u64,
}

#[cfg(test)]
mod tests;
