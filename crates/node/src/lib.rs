//! A madderpoint node: dispatchers, the kernel, the back end and the membership service on real
//! sockets, round the decisions of [`madderpoint::admission`].
//!
//! [`fastcgi`], [`kernel`], [`backend`] and [`members`] are protocols: fed bytes, they know no
//! socket, clock or thread. [`core`] is the node without its I/O. [`driver`] has the sockets and
//! threads.

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
pub mod node;
pub mod program_version;
pub mod request;
pub mod request_rules;
pub mod service_registry;
mod state;
pub mod supervisor_client;
pub mod version_store;
