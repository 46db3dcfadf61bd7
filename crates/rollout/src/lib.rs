//! A rolling rollout of the program or its settings: it goes out in stages, old and new nodes side
//! by side, is judged by what callers get, stops by itself when a stage does worse, and goes back.
//! No I/O: fed messages, results and the time, it says what to do.
//!
//! What a fleet knows of a rollout is a value that merges in any order ([`rollout`]) and can only
//! move towards safety without a quorum: any node may halt it, and none may advance it alone.
//! `docs/design/rollout.md` has the argument.

#![forbid(unsafe_code)]

pub mod canary_analysis;
pub mod chunks;
pub mod cohort_metrics;
pub mod coordinator;
pub mod messages;
pub mod node_agent;
pub mod operator_commands;
pub mod participant;
pub mod paxos;
pub mod persisted_state;
pub mod process_handover;
pub mod rollout;
pub mod simulation;
pub mod stages;
pub mod status;
pub mod supervisor_messages;

pub use cohort_metrics::CohortMetrics;
pub use coordinator::{Coordinator, Member, Step};
pub use node_agent::{Host, NodeAgent, NodeReport, NodeStatus};
pub use participant::Participant;
pub use persisted_state::PersistedState;
pub use rollout::{Kind, Outcome, Reason, Rollout, RolloutId, RolloutTable, Version};
pub use stages::{Plan, Progress, Stage};

/// Whole nanoseconds from any fixed point.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1000 * MILLISECOND;

/// Mixes a number well enough to spread choices; splitmix64.
pub(crate) fn splitmix64(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
