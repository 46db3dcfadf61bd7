//! A madderpoint node: connects load balancers, the executor, the backend and the service registry
//! to the decisions of [`madderpoint::admission`] over sockets.
//!
//! - Protocols that parse bytes and use no socket, clock or thread: [`fastcgi`], [`executor`],
//!   [`backend`], [`service_registry`].
//! - The node without its I/O: [`node`] handles events and requests [`actions`]. It parses requests
//!   with [`request`] ([`request_error`]), applies [`request_rules`], takes part in the [`cluster`]
//!   and counts in [`metrics`], within the bounds of [`capacity`] and [`request_memory`].
//! - The sockets and threads around the node: [`io`].
//! - Startup and operation: [`config`], [`log`], [`program_version`], [`version_store`],
//!   [`supervisor_client`].

#![forbid(unsafe_code)]

pub mod actions;
pub mod backend;
pub mod capacity;
pub mod cluster;
pub mod config;
pub mod executor;
pub mod fastcgi;
mod idempotency_cache;
pub mod io;
pub mod log;
pub mod metrics;
pub mod node;
pub mod program_version;
pub mod request;
pub mod request_error;
pub mod request_memory;
pub mod request_rules;
pub mod service_registry;
mod state;
pub mod supervisor_client;
pub mod version_store;
