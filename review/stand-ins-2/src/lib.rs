//! Stand-ins for the peers of a node, on loopback: kernel, back end, membership service and
//! dispatcher, as the protocol page describes them. Only the standard library is used.

pub mod backend;
pub mod dispatcher;
pub mod encoding;
pub mod kernel;
pub mod node;
pub mod record;
pub mod registry;
pub mod settings;
pub mod supervised;

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Returns whether the run is to be played with its disruption (`TROUBLE` is not `0`).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
