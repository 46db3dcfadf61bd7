//! State that the nodes of a cluster share: budgets on backend calls, quotas by key, counters, and
//! the health of backend services. No I/O: a [`SharedState`] is fed messages and the time, and
//! requests side effects from its [`Host`].
//!
//! Limits hold by time and majority, never by a node's view of the membership. A lease is used only
//! by its borrower and only until it expires on the borrower's clock; its units are granted again
//! only after it has expired on the lender's clock, with the clock drift bound added ([`budget`],
//! [`keyed_quota`], [`clock`]). Which node grants leases is decided by a majority of a fixed set of
//! voters ([`leader_lease`]). `docs/design/shared.md` has the argument.

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

/// Whole nanoseconds from any fixed point.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1000 * MILLISECOND;

/// One process of a node: a node that restarts under its name is another borrower, with counters of
/// its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProcessId {
    /// The hash of the node's name.
    pub key: u64,
    /// The node's incarnation: one process from start to end.
    pub incarnation: u64,
}
