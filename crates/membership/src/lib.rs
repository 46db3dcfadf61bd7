//! The view that the nodes of a fleet keep of it among themselves: who is there, in which zone and
//! phase, running what, with what room. No I/O: it is fed datagrams and the time, says what to send
//! and when to wake, and draws chance from a seed. After SWIM, with Lifeguard's local health,
//! dynamic suspicion and buddies; the views are made equal by comparing digests of ranges, and the
//! dead are probed again, so that the halves of a healed partition find each other.
//!
//! `docs/design/fleet.md` weighs the ways and gives the format byte by byte;
//! `docs/operators/fleet.md` is for operators.

#![forbid(unsafe_code)]

mod anti_entropy;
pub mod cluster_size;
pub mod config;
pub mod datagram_auth;
mod dissemination_queue;
pub mod history;
pub mod host;
mod local_health;
pub mod member;
pub mod member_table;
pub mod observer;
mod probe_order;
pub mod simulation;
mod suspicion;
pub mod swim;
mod token_bucket;
pub mod wire;

pub use cluster_size::ClusterView;
pub use config::{ClockReading, Config, FeatureToggles, Timing};
pub use host::Host;
pub use member::{Attachment, Incarnation, Liveness, MemberDetails, MemberKey, Phase};
pub use swim::Membership;

/// Whole nanoseconds from any fixed point.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1000 * MILLISECOND;
