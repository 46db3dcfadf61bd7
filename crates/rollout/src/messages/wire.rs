//! Protocol Buffers messages as they are sent over the network and persisted. Tags never change; a
//! decoder skips fields that it does not know.

/// Number and hash of a version.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct VersionWire {
    #[prost(uint64, tag = "1")]
    pub(super) number: u64,
    #[prost(fixed64, tag = "2")]
    pub(super) hash: u64,
}

/// A stage of a rollout's plan; see [`crate::stages::Stage`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct StageWire {
    #[prost(uint32, tag = "1")]
    pub(super) share_permille: u32,
    #[prost(uint32, tag = "2")]
    pub(super) min_duration_ms: u32,
    #[prost(uint32, tag = "3")]
    pub(super) max_duration_ms: u32,
    #[prost(uint32, tag = "4")]
    pub(super) min_requests: u32,
    #[prost(uint32, tag = "5")]
    pub(super) start_spread_ms: u32,
}

/// The plan of a rollout; see [`crate::stages::Plan`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PlanWire {
    #[prost(message, repeated, tag = "1")]
    pub(super) stages: Vec<StageWire>,
    #[prost(uint32, tag = "2")]
    pub(super) max_zone_permille: u32,
    #[prost(uint32, tag = "3")]
    pub(super) margin_permille: u32,
}

/// Agreed progress of a rollout.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ProgressWire {
    #[prost(uint32, tag = "1")]
    pub(super) stage: u32,
    #[prost(fixed32, repeated, tag = "2")]
    pub(super) zones: Vec<u32>,
    /// Thresholds of the previous stage, one for each entry of `zones`; `thresholds` has those of
    /// the current stage. A zone without a previous threshold has 0, which equals a node's position
    /// only with a probability of 2^-64.
    #[prost(fixed64, repeated, tag = "3")]
    pub(super) previous_thresholds: Vec<u64>,
    #[prost(fixed64, repeated, tag = "4")]
    pub(super) thresholds: Vec<u64>,
    #[prost(bool, tag = "5")]
    pub(super) whole_cluster: bool,
    #[prost(uint32, tag = "6")]
    pub(super) cluster_size: u32,
    #[prost(uint64, tag = "7")]
    pub(super) agreement: u64,
    #[prost(uint64, tag = "8")]
    pub(super) at_ms: u64,
}

/// A ballot of a round of voting; see [`crate::paxos::Ballot`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct BallotWire {
    #[prost(uint64, tag = "1")]
    pub(super) round: u64,
    #[prost(fixed64, tag = "2")]
    pub(super) by: u64,
}

/// A proposal that voters vote on; see [`crate::paxos::Proposal`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ProposalWire {
    #[prost(fixed64, tag = "1")]
    pub(super) rollout: u64,
    #[prost(message, optional, tag = "2")]
    pub(super) progress: Option<ProgressWire>,
}

/// A voter's promise and vote, as persisted.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct VoteWire {
    #[prost(uint64, tag = "1")]
    pub(super) agreement: u64,
    #[prost(message, optional, tag = "2")]
    pub(super) promised: Option<BallotWire>,
    #[prost(message, optional, tag = "3")]
    pub(super) accepted_in: Option<BallotWire>,
    #[prost(message, optional, tag = "4")]
    pub(super) accepted: Option<ProposalWire>,
}

/// The reason why a rollout ended; see [`crate::rollout::Reason`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReasonWire {
    #[prost(uint64, tag = "1")]
    pub(super) at_ms: u64,
    #[prost(fixed64, tag = "2")]
    pub(super) by: u64,
    #[prost(string, tag = "3")]
    pub(super) why: String,
}

/// A rollout, as sent to other nodes and persisted.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RolloutWire {
    #[prost(fixed64, tag = "1")]
    pub(super) id: u64,
    #[prost(uint32, tag = "2")]
    pub(super) kind: u32,
    #[prost(message, optional, tag = "3")]
    pub(super) version: Option<VersionWire>,
    #[prost(message, optional, tag = "4")]
    pub(super) base: Option<VersionWire>,
    #[prost(bytes = "vec", tag = "5")]
    pub(super) digest: Vec<u8>,
    #[prost(uint32, tag = "6")]
    pub(super) bytes: u32,
    #[prost(fixed64, tag = "7")]
    pub(super) by: u64,
    #[prost(uint64, tag = "8")]
    pub(super) at_ms: u64,
    #[prost(message, optional, tag = "9")]
    pub(super) plan: Option<PlanWire>,
    #[prost(message, optional, tag = "10")]
    pub(super) progress: Option<ProgressWire>,
    #[prost(uint32, tag = "11")]
    pub(super) outcome: u32,
    #[prost(message, optional, tag = "12")]
    pub(super) reason: Option<ReasonWire>,
}

/// A node's report on its version and the rollout that it follows.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReportWire {
    #[prost(fixed64, tag = "1")]
    pub(super) rollout: u64,
    #[prost(uint32, tag = "2")]
    pub(super) stage: u32,
    #[prost(uint32, tag = "3")]
    pub(super) outcome: u32,
    #[prost(uint32, tag = "4")]
    pub(super) status: u32,
    #[prost(message, optional, tag = "5")]
    pub(super) running: Option<VersionWire>,
    #[prost(uint64, tag = "6")]
    pub(super) since_ms: u64,
    #[prost(uint32, tag = "7")]
    pub(super) crashes: u32,
    #[prost(string, tag = "8")]
    pub(super) why: String,
    #[prost(fixed64, tag = "9")]
    pub(super) digest: u64,
    #[prost(message, optional, tag = "10")]
    pub(super) promoted: Option<VersionWire>,
    #[prost(uint64, tag = "11")]
    pub(super) last_crash_ms: u64,
}

/// A message between nodes. The documentation of [`crate::messages`] has a table of the fields.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct MessageWire {
    #[prost(uint32, tag = "1")]
    pub(super) kind: u32,
    #[prost(message, repeated, tag = "2")]
    pub(super) rollouts: Vec<RolloutWire>,
    #[prost(bool, tag = "3")]
    pub(super) answer: bool,
    #[prost(uint32, tag = "4")]
    pub(super) number: u32,
    #[prost(fixed64, tag = "5")]
    pub(super) rollout: u64,
    #[prost(message, optional, tag = "6")]
    pub(super) report: Option<ReportWire>,
    #[prost(uint32, tag = "7")]
    pub(super) count: u32,
    #[prost(bytes = "vec", tag = "8")]
    pub(super) bytes: Vec<u8>,
    #[prost(uint32, tag = "9")]
    pub(super) stage: u32,
    #[prost(uint32, tag = "10")]
    pub(super) outcome: u32,
    #[prost(uint64, tag = "11")]
    pub(super) agreement: u64,
    #[prost(message, optional, tag = "12")]
    pub(super) ballot: Option<BallotWire>,
    #[prost(message, optional, tag = "13")]
    pub(super) other_ballot: Option<BallotWire>,
    #[prost(message, optional, tag = "14")]
    pub(super) proposal: Option<ProposalWire>,
    #[prost(bool, tag = "15")]
    pub(super) again: bool,
    #[prost(uint32, tag = "16")]
    pub(super) rollout_kind: u32,
}
