//! SPIFFE identities without I/O: ids and trust domains ([`id`]), trust bundles in the SPIFFE
//! format ([`bundle`]), and validation of X.509-SVIDs ([`x509`]) and JWT-SVIDs ([`jwt`]). Two state
//! machines over time decide which identity is presented ([`rotation`]) and how long a connection
//! is served under the identity with which it was opened ([`sessions`]).
//!
//! Responses of the SPIFFE Workload API are parsed and checked in [`workload`]. The transport of
//! the Workload API, TLS and the policy are not implemented yet; `docs/ROADMAP.md` lists their
//! state.

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

/// Time in whole nanoseconds since a fixed point that the caller chooses, or a duration in
/// nanoseconds.
pub type Nanos = u64;
