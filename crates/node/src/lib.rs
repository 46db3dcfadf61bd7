//! A madderpoint node: dispatchers, the kernel, the back end and the membership service on real
//! sockets, round the decisions of [`madderpoint::admission`].
//!
//! [`fastcgi`], [`kernel`], [`backend`] and [`members`] are protocols: fed bytes, they know no
//! socket, clock or thread. [`core`] is the node without its I/O. [`driver`] has the sockets and
//! threads.

#![forbid(unsafe_code)]

pub mod backend;
pub mod classify;
pub mod company;
pub mod config;
pub mod core;
mod desk;
pub mod driver;
pub mod fastcgi;
mod idempotency_cache;
pub mod kernel;
pub mod log;
pub mod members;
pub mod outward;
pub mod parent;
pub mod program;
pub mod request;
pub mod room;
pub mod versions;
