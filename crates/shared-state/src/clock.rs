//! Durations on clocks that drift against each other.
//!
//! The clocks of two processes run at most one part in [`CLOCK_DRIFT_PARTS`] fast or slow against
//! each other. A borrower therefore treats a lease as shorter than granted (`drift_shortened`), and
//! its lender treats the same lease as longer (`drift_extended`): by the time the lender considers
//! the lease expired, the borrower has stopped using it.

use crate::Nanos;

/// The clock drift bound as a divisor: two clocks run at most one part in this many fast or slow
/// against each other, so 50 means 2 %.
pub const CLOCK_DRIFT_PARTS: u64 = 50;

/// Returns the shortest time that another clock within the drift bound shows while `duration`
/// passes on this clock, in nanoseconds.
pub(crate) fn drift_shortened(duration: Nanos) -> Nanos {
    duration - duration / CLOCK_DRIFT_PARTS
}

/// Returns a time on this clock within which `duration` has passed on any other clock within the
/// drift bound, in nanoseconds.
pub(crate) fn drift_extended(duration: Nanos) -> Nanos {
    duration + duration / CLOCK_DRIFT_PARTS + duration / CLOCK_DRIFT_PARTS / CLOCK_DRIFT_PARTS + 1
}
