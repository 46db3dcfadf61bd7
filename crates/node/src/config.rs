//! The file that tells a node who it is and whom it speaks with.

use madderpoint_facts::{self as facts, Start};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    kernel: SocketAddr,
    members: SocketAddr,
    backend: Option<SocketAddr>,
    seed: String,
    stop_ms: f64,
    limits: Limits,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

/// All that a node is told at its start.
pub struct Identity {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where dispatchers connect.
    pub listen: SocketAddr,
    /// The kernel on the same machine.
    pub kernel: SocketAddr,
    /// The membership service.
    pub members: SocketAddr,
    /// What calls go to; absent in the last tier.
    pub backend: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// From the notice to leave to the stop.
    pub stop_after: Duration,
    /// Descriptors that the process may hold.
    pub descriptors: usize,
    /// The settings.
    pub start: Start,
}

/// Descriptors below which no node can serve.
const LEAST_DESCRIPTORS: usize = 64;
/// The longest time from the notice to leave to the stop that makes sense.
const LONGEST_STOP_MS: f64 = 3_600_000.0;

/// Reads and checks the file; an error names the file and the field.
pub fn read(path: &Path, told: impl Fn(&str) -> Option<String>) -> Result<Identity, String> {
    let wrong = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| wrong(e.to_string()))?;
    let file: File = serde_json::from_str(&text).map_err(|e| wrong(e.to_string()))?;
    if told("PROXY_NAME").is_some_and(|name| name != file.name) {
        return Err(wrong(format!("name is {:?}, but PROXY_NAME says otherwise", file.name)));
    }
    if told("PROXY_LISTEN").is_some_and(|listen| listen != file.listen.to_string()) {
        return Err(wrong(format!("listen is {}, but PROXY_LISTEN says otherwise", file.listen)));
    }
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| wrong(format!("seed is no hexadecimal number: {:?}", file.seed)))?;
    if !(0.0..=LONGEST_STOP_MS).contains(&file.stop_ms) {
        return Err(wrong(format!("stop_ms is {}", file.stop_ms)));
    }
    if file.limits.sockets < LEAST_DESCRIPTORS {
        return Err(wrong(format!("limits.sockets is {}", file.limits.sockets)));
    }
    let start = facts::decode(file.settings.get().as_bytes()).map_err(|e| wrong(format!("settings: {e}")))?;
    Ok(Identity {
        name: file.name,
        listen: file.listen,
        kernel: file.kernel,
        members: file.members,
        backend: file.backend,
        seed,
        stop_after: Duration::from_secs_f64(file.stop_ms / 1e3),
        descriptors: file.limits.sockets,
        start,
    })
}
