//! The file that tells a node who it is and whom it speaks with.

use madderpoint_deployment_config::{self as facts, DeploymentConfig};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    #[serde(flatten)]
    peers: Peers,
    seed: String,
    stop_ms: f64,
    limits: Limits,
    settings: Box<RawValue>,
}

/// Addresses of those that the node speaks to; they may move while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Peers {
    /// The kernel on the same machine.
    pub kernel: SocketAddr,
    /// The membership service.
    pub members: SocketAddr,
    /// What calls go to; absent in the last tier.
    pub backend: Option<SocketAddr>,
}

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// Share of a core.
    pub cores: f64,
    /// Memory in MB; over it the node is killed.
    pub memory_mb: f64,
    /// Descriptors.
    pub sockets: usize,
}

/// All that a node is told at its start.
pub struct Identity {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where dispatchers connect.
    pub listen: SocketAddr,
    /// Whom it speaks to.
    pub peers: Peers,
    /// For random numbers.
    pub seed: u64,
    /// From the notice to leave to the stop.
    pub stop_after: Duration,
    /// What the process may use.
    pub limits: Limits,
    /// The settings, decoded and as they stood.
    pub start: DeploymentConfig,
    settings: serde_json::Value,
}

/// Descriptors and memory below which no node can serve.
const LEAST_DESCRIPTORS: usize = 64;
const LEAST_MEMORY_MB: f64 = 16.0;
/// The longest time from the notice to leave to the stop that makes sense.
const LONGEST_STOP_MS: f64 = 3_600_000.0;

/// Reads and checks the file; an error names the file and the field.
pub fn read(path: &Path, told: impl Fn(&str) -> Option<String>) -> Result<Identity, String> {
    let wrong = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| wrong(e.to_string()))?;
    let file: File = serde_json::from_str(&text).map_err(|e| wrong(e.to_string()))?;
    if told("PROXY_NAME").is_some_and(|name| name != file.name) {
        return Err(wrong(format!(
            "name is {:?}, but PROXY_NAME says otherwise",
            file.name
        )));
    }
    if told("PROXY_LISTEN").is_some_and(|listen| listen != file.listen.to_string()) {
        return Err(wrong(format!(
            "listen is {}, but PROXY_LISTEN says otherwise",
            file.listen
        )));
    }
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| wrong(format!("seed is no hexadecimal number: {:?}", file.seed)))?;
    if !(0.0..=LONGEST_STOP_MS).contains(&file.stop_ms) {
        return Err(wrong(format!("stop_ms is {}", file.stop_ms)));
    }
    if file.limits.sockets < LEAST_DESCRIPTORS {
        return Err(wrong(format!("limits.sockets is {}", file.limits.sockets)));
    }
    if !file.limits.memory_mb.is_finite() || file.limits.memory_mb < LEAST_MEMORY_MB {
        return Err(wrong(format!(
            "limits.memory_mb is {}",
            file.limits.memory_mb
        )));
    }
    if !file.limits.cores.is_finite() || file.limits.cores <= 0.0 {
        return Err(wrong(format!("limits.cores is {}", file.limits.cores)));
    }
    let start = facts::decode(file.settings.get().as_bytes())
        .map_err(|e| wrong(format!("settings: {e}")))?;
    Ok(Identity {
        name: file.name,
        listen: file.listen,
        peers: file.peers,
        seed,
        stop_after: Duration::from_secs_f64(file.stop_ms / 1e3),
        limits: file.limits,
        start,
        settings: serde_json::from_str(file.settings.get())
            .map_err(|e| wrong(format!("settings: {e}")))?,
    })
}

/// Reads a file that took the place of the one `now` in force; gives the new addresses, and the
/// fields that differ but hold until a restart. The seed is new in every file and means nothing
/// here.
pub fn reread(
    path: &Path,
    told: impl Fn(&str) -> Option<String>,
    now: &Identity,
) -> Result<Moved, String> {
    let new = read(path, told)?;
    let fields = [
        ("name", new.name == now.name),
        ("listen", new.listen == now.listen),
        ("stop_ms", new.stop_after == now.stop_after),
        ("limits", new.limits == now.limits),
        ("settings", new.settings == now.settings),
        (
            "backend",
            new.peers.backend.is_some() == now.peers.backend.is_some(),
        ),
    ];
    let kept = fields
        .into_iter()
        .filter(|(_, same)| !same)
        .map(|(field, _)| field)
        .collect();
    // Whether there is a back end is a fact like the settings; only its address may change.
    let backend = now
        .peers
        .backend
        .and(new.peers.backend.or(now.peers.backend));
    Ok(Moved {
        peers: Peers {
            backend,
            ..new.peers
        },
        kept,
    })
}

/// What a new file changes.
#[derive(Debug, PartialEq, Eq)]
pub struct Moved {
    /// Where the peers are now.
    pub peers: Peers,
    /// Fields that differ and hold until a restart.
    pub kept: Vec<&'static str>,
}
