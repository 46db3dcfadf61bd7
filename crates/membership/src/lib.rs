//! The view that the nodes of a fleet keep of it among themselves: who is there, in which zone and
//! phase, running what, with what room. No I/O: it is fed datagrams and the time, says what to send
//! and when to wake, and draws chance from a seed. After SWIM, with Lifeguard's local health,
//! dynamic suspicion and buddies; the views are made equal by comparing digests of ranges, and the
//! dead are probed again, so that the halves of a healed partition find each other.
//!
//! `docs/design/fleet.md` weighs the ways and gives the format byte by byte;
//! `docs/operators/fleet.md` is for operators.

#![forbid(unsafe_code)]

pub mod fleet;
mod gossip;
mod health;
pub mod history;
pub mod member;
pub mod observer;
mod probe;
mod reconcile;
pub mod seal;
pub mod sight;
pub mod sim;
mod suspicion;
pub mod view;
pub mod wire;

pub use fleet::{Fleet, Host, Moment, Periods, Settings};
pub use member::{Details, Key, Life, Part, Phase, Status};
pub use sight::Sight;

/// Whole nanoseconds from any fixed point.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1000 * MILLISECOND;
