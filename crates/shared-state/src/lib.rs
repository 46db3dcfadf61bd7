//! State that the nodes of a cluster share: budgets on backend calls, keyed quotas, counters, and
//! the aggregated health of backend services. This crate does no I/O: the caller passes messages
//! and the time to a [`SharedState`], which requests side effects through its [`Host`].
//!
//! Limits rest on time and on a majority of voters, never on a node's view of the membership. A
//! lease is used only by its borrower, and only until it expires on the borrower's clock; its units
//! are granted again only after it has expired on the lender's clock, extended by the clock drift
//! bound ([`budget`], [`keyed_quota`], [`clock`]). A majority of a fixed set of voters decides
//! which node grants leases ([`leader_lease`]). `docs/design/shared.md` explains why the limits
//! hold.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend_gate;
pub mod budget;
pub mod clock;
pub mod counters;
pub mod keyed_quota;
pub mod leader_lease;
pub mod messages;
pub mod service_health;
pub mod shared_state;
pub mod simulation;
pub mod status;

pub use backend_gate::BackendGate;
pub use budget::fair_share::{Demand, allocate};
pub use budget::{Budget, BudgetBorrower, BudgetKind, BudgetRequest, Lease, LeaseId, NodeBudgets};
pub use clock::CLOCK_DRIFT_PARTS;
pub use counters::ClusterCounters;
pub use messages::{LimitMessage, SharedMessage};
pub use service_health::{
    AggregatedHealth, HealthReport, HealthReports, HealthState, ServiceHealth,
};
pub use shared_state::{Config, Host, SharedState};

/// A time in nanoseconds since a fixed but arbitrary instant, or a duration in nanoseconds.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1000 * MILLISECOND;

/// Identifies one process of a node. A node that restarts under the same name is another process: a
/// separate borrower with separate counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProcessId {
    /// Hash of the node's name.
    pub key: u64,
    /// The node's incarnation, which stays the same for the lifetime of the process.
    pub incarnation: u64,
}
