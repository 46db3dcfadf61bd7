//! SPIFFE identities without I/O: ids and trust domains ([`id`]), trust bundles in the SPIFFE
//! format ([`bundle`]), checks of X.509-SVIDs ([`x509`]) and JWT-SVIDs ([`jwt`]), which identity is
//! presented when ([`rotation`]), and how long a connection is served by the identity it was opened
//! with ([`sessions`]), both as state machines over time.
//!
//! Answers of the Workload API are read and checked in [`workload`]. Its transport, TLS and the
//! policy are not implemented yet; `docs/ROADMAP.md` has their state.

#![forbid(unsafe_code)]

pub mod bundle;
pub mod id;
pub mod jwt;
pub mod rotation;
pub mod sessions;
pub mod workload;
pub mod x509;

pub use bundle::{Bundle, Bundles};
pub use id::{SpiffeId, TrustDomain};

/// Whole nanoseconds since any fixed point.
pub type Nanos = u64;
