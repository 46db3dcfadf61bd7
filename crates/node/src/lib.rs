//! A madderpoint node: load balancers, the executor, the backend and the service registry on real
//! sockets, round the decisions of [`madderpoint::admission`].
//!
//! [`fastcgi`], [`executor`], [`backend`] and [`service_registry`] are protocols: fed bytes, they
//! know no socket, clock or thread. [`node`] is the node without its I/O, [`io`] has the sockets
//! and threads.

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
