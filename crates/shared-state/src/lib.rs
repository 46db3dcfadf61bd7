//! State that the nodes of a fleet share. So far: budgets, a limit for the whole fleet of which
//! each node holds a part for a time. No I/O: fed messages and the time, it says what to send and
//! when to wake.
//!
//! The bound holds by time and majority, never by anybody's view of who is there: a part is used
//! only by whom it was lent to and only until its end by the borrower's own clock, and lent again
//! only after its end by the lender's, with the drift of clocks between. ProcessId lends is decided by a
//! majority of a fixed set of arbiters. `docs/design/shared.md` has the argument.

#![forbid(unsafe_code)]

pub mod backend_gate;
pub mod budget;
pub mod counters;
pub mod keyed_quota;
pub mod leader_lease;
pub mod messages;
pub mod service_health;
pub mod shared_state;
pub mod simulation;
pub mod status;

pub use backend_gate::BackendGate;
pub use budget::fair_share::{Demand, allot};
pub use budget::{Budget, BudgetBorrower, BudgetRequest, Kind, Lease, NodeBudgets};
pub use counters::ClusterCounters;
pub use messages::Message;
pub use service_health::{
    AggregatedHealth, HealthReport, HealthReports, HealthState, ServiceHealth,
};
pub use shared_state::{Config, Host, SharedState};

/// Whole nanoseconds from any fixed point.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1000 * MILLISECOND;

/// A node: the key of its name and the number of its process, so that one that returns under its
/// name is another borrower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProcessId {
    /// The key of its name.
    pub key: u64,
    /// Its process.
    pub life: u64,
}

/// Clocks run at most one part in so many too fast or too slow against each other.
pub const DRIFT: u64 = 50;

/// What a clock shows at least while a true time passes, and the time that surely passed while it
/// showed so much.
pub(crate) fn shorter(time: Nanos) -> Nanos {
    time - time / DRIFT
}
