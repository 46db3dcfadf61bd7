//! State that the nodes of a fleet share. So far: budgets, a limit for the whole fleet of which
//! each node holds a part for a time. No I/O: fed messages and the time, it says what to send and
//! when to wake.
//!
//! The bound holds by time and majority, never by anybody's view of who is there: a part is used
//! only by whom it was lent to and only until its end by the borrower's own clock, and lent again
//! only after its end by the lender's, with the drift of clocks between. Who lends is decided by a
//! majority of a fixed set of arbiters. `docs/design/shared.md` has the argument.

#![forbid(unsafe_code)]

pub mod allot;
pub mod counts;
pub mod gate;
pub mod heavy;
pub mod judge;
pub mod keyed;
pub mod latency;
pub mod lease;
pub mod purse;
pub mod shared;
pub mod shown;
pub mod sim;
pub mod treasury;
pub mod wire;

pub use allot::{Demand, allot};
pub use counts::Counts;
pub use gate::Gate;
pub use judge::{Evidence, Judge, Mode, Opinion, Witnesses};
pub use purse::{Budget, Ends, Kind, Purse};
pub use shared::{Host, Message, Settings, Shared, Want};
pub use treasury::Part;

/// Whole nanoseconds from any fixed point.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1000 * MILLISECOND;

/// A node: the key of its name and the number of its process, so that one that returns under its
/// name is another borrower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Who {
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
