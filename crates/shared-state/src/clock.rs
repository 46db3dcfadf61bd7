//! How durations are measured on clocks that may disagree.
//!
//! Clocks of two processes run at most one part in [`CLOCK_DRIFT_PARTS`] too fast or too slow
//! against each other. A borrower therefore counts a lease as shorter than granted
//! (`drift_shortened`), and its lender counts the same lease as longer (`drift_extended`): when
//! the lender takes a lease for expired, its borrower has stopped using it.

use crate::Nanos;

/// The clock drift bound: clocks run at most one part in this many too fast or too slow against
/// each other.
pub const CLOCK_DRIFT_PARTS: u64 = 50;

/// The least that any clock within the drift bound shows while `duration` passes, in nanoseconds.
pub(crate) fn drift_shortened(duration: Nanos) -> Nanos {
    duration - duration / CLOCK_DRIFT_PARTS
}

/// A duration on this clock within which `duration` has passed on any other clock, in nanoseconds.
pub(crate) fn drift_extended(duration: Nanos) -> Nanos {
    duration + duration / CLOCK_DRIFT_PARTS + duration / CLOCK_DRIFT_PARTS / CLOCK_DRIFT_PARTS + 1
}
