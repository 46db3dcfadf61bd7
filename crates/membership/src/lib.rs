//! Cluster membership based on SWIM, without I/O: failure detection, dissemination and
//! anti-entropy.
//!
//! [`Membership`] takes datagrams and clock readings, requests side effects through [`Host`], and
//! draws random numbers from a seed. It includes Lifeguard's local health, dynamic suspicion
//! timeouts and buddy updates. Member tables converge by comparing digests of key ranges, and dead
//! members are probed again, so that the sides of a healed partition find each other.
//!
//! `docs/design/fleet.md` compares the alternatives and gives the wire format byte by byte;
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
pub mod messages;
pub mod observer;
mod probe_order;
mod receive_limiter;
pub mod simulation;
mod suspicion;
pub mod swim;
mod token_bucket;

pub use cluster_size::ClusterView;
pub use config::{ClockReading, Config, FeatureToggles, Timing};
pub use host::Host;
pub use member::{Attachment, Incarnation, Liveness, MemberDetails, MemberKey, Phase};
pub use swim::Membership;

/// Time or duration in nanoseconds. Times are relative to an arbitrary fixed origin.
pub type Nanos = u64;

pub(crate) const MILLISECOND: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1000 * MILLISECOND;
