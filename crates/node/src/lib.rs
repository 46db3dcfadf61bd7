//! A madderpoint node: load balancers, the executor, the backend and the service registry on real
//! sockets, round the decisions of [`madderpoint::admission`].
//!
//! - Protocols, fed bytes, without sockets, clocks and threads: [`fastcgi`], [`executor`],
//!   [`backend`], [`service_registry`].
//! - The node without its I/O: [`node`] takes events and requests [`actions`]; it reads requests by
//!   [`request`] ([`request_error`]), applies [`request_rules`], takes part in the [`cluster`] and
//!   counts in [`metrics`], within the bounds of [`capacity`].
//! - Sockets and threads round it: [`io`].
//! - Start and operation: [`config`], [`log`], [`program_version`], [`version_store`],
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
pub mod request_rules;
pub mod service_registry;
mod state;
pub mod supervisor_client;
pub mod version_store;
