//! Admission control for one server of a cluster: decides which requests are queued, run and
//! rejected.
//!
//! All decisions are made in [`admission`], which uses no network protocol, clock, thread or I/O.
//! An embedder provides a [`Deployment`], calls one method of
//! [`AdmissionController`](admission::AdmissionController) for each event, and carries out the side
//! effects that the controller requests through [`Host`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
mod deployment;
mod events;
mod host;

pub use deployment::{
    Deployment, Downstream, Idempotency, LoadReport, Operation, Preemption, Tenant,
};
pub use events::{
    Arrival, BackendCallOutcome, ExecutionOutcome, Gauges, LoadBalancerId, Nanos, OperationId,
    RequestId, TenantId, TimerId,
};
pub use host::Host;
