//! madderpoint decides, inside one server of a cluster, which requests it queues, runs and rejects.
//!
//! All decisions are in [`admission`], which knows no wire, clock, thread or I/O: whoever embeds it
//! reads a [`Deployment`], calls one method of
//! [`AdmissionController`](admission::AdmissionController) for each event, and carries out the side
//! effects that come back through [`Host`].

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
