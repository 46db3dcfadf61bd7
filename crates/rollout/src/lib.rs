//! Rollouts of the program or its settings. A rollout proceeds in stages, with nodes of the new and
//! the old version side by side; each stage is analysed by the outcomes of requests, and a rollout
//! whose stage does worse is rolled back without an operator. The crate does no I/O: its state
//! machines take messages, results and the time, and return actions.
//!
//! The state of a rollout is a value that merges in any order ([`rollout`]). Without a quorum it
//! can only move towards safety: any node may halt it ([`rollout`], [`coordinator`]), and none may
//! advance it alone ([`paxos`]). [`node_agent`] describes the start of a node after a crash on
//! trial. `docs/design/rollout.md` has the safety argument.
//!
//! A node embeds a [`Participant`], which holds its [`NodeAgent`] and its [`Coordinator`]; a
//! supervisor process embeds a [`process_handover::Supervisor`].

pub mod canary_analysis;
pub mod chunks;
pub mod cohort_metrics;
pub mod coordinator;
pub mod host;
pub mod host_error;
pub mod identifiers;
pub mod member;
pub mod messages;
pub mod node_agent;
pub mod node_report;
pub mod operator_commands;
pub mod participant;
pub mod paxos;
pub mod persisted_state;
pub mod process_handover;
pub mod rollout;
pub mod rollout_table;
pub mod simulation;
pub mod stages;
pub mod status;
pub mod supervisor_messages;

pub use cohort_metrics::CohortMetrics;
pub use coordinator::{Coordinator, Step};
pub use host::Host;
pub use host_error::HostError;
pub use identifiers::{Kind, RolloutId, Version};
pub use member::Member;
pub use node_agent::NodeAgent;
pub use node_report::{NodeReport, NodeStatus};
pub use participant::Participant;
pub use persisted_state::PersistedState;
pub use rollout::{Outcome, Reason, Rollout};
pub use rollout_table::RolloutTable;
pub use stages::{Plan, Progress, Stage};

/// A time in nanoseconds since an arbitrary fixed point, or a duration in nanoseconds.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1000 * MILLISECOND;

/// Hashes a number with SplitMix64; not cryptographic.
pub(crate) fn splitmix64(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
