//! The node's configuration: the JSON file that `PROXY_CONFIG` names, with the node's identity, the
//! addresses of its peers, its resource limits, and the deployment's settings.
//!
//! It is read at start and again on SIGHUP. In a running process only the addresses of peers can
//! change; [`reread`] names the other fields that differ.

use madderpoint_deployment_config::{self as deployment_config, DeploymentConfig};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Descriptors below which no node can serve.
const SOCKETS_MIN: usize = 64;
/// Memory below which no node can serve, in MB.
const MEMORY_MIN_MB: f64 = 16.0;
/// The longest time from the start of the drain to the stop, in milliseconds.
const STOP_MAX_MS: f64 = 3_600_000.0;

/// The environment variable that repeats the node's name.
const NAME_VARIABLE: &str = "PROXY_NAME";
/// The environment variable that repeats the address that the node listens on.
const LISTEN_VARIABLE: &str = "PROXY_LISTEN";

/// Addresses of the node's peers; they may change while it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct PeerAddresses {
    /// The executor on the same machine.
    #[serde(rename = "kernel")]
    pub executor: SocketAddr,
    /// The service registry.
    #[serde(rename = "members")]
    pub service_registry: SocketAddr,
    /// The backend; absent in the last tier.
    pub backend: Option<SocketAddr>,
}

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// Processor time, in cores.
    pub cores: f64,
    /// Memory in MB; over it the node is killed.
    pub memory_mb: f64,
    /// Descriptors.
    pub sockets: usize,
}

/// All that a node is given at its start.
pub struct NodeConfig {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where load balancers connect.
    pub listen: SocketAddr,
    /// The addresses of its peers.
    pub peers: PeerAddresses,
    /// The seed of the decisions' random numbers.
    pub seed: u64,
    /// From the start of the drain to the stop.
    pub stop_after: Duration,
    /// What the process may use.
    pub limits: Limits,
    /// The deployment, decoded from `settings`.
    pub deployment: DeploymentConfig,
    /// The same as JSON, to be compared with that of a later file.
    settings: serde_json::Value,
}

/// What a later file changes.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigUpdate {
    /// The peers' addresses from now on.
    pub peers: PeerAddresses,
    /// Fields that differ and can change with a restart only.
    pub needs_restart: Vec<&'static str>,
}

/// Why a configuration is rejected.
#[derive(Debug, Error)]
#[error("{}: {problem}", path.display())]
pub struct ConfigError {
    /// The file.
    pub path: PathBuf,
    /// What is wrong with it.
    pub problem: ConfigProblem,
}

/// What is wrong with a configuration.
#[derive(Debug, Error)]
pub enum ConfigProblem {
    /// The file can't be read.
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    /// It is not the expected JSON.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// An environment variable has another value than the field that it repeats.
    #[error("{field} is {value}, but {variable} says otherwise")]
    EnvironmentDiffers {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// The environment variable.
        variable: &'static str,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed is no hexadecimal number: {0:?}")]
    Seed(String),
    /// A number is outside its bounds.
    #[error("{field} is {value}")]
    OutOfBounds {
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// The deployment's settings are wrong.
    #[error("settings: {0}")]
    Settings(deployment_config::DeploymentError),
    /// The deployment's settings are no JSON object.
    #[error("settings: {0}")]
    SettingsNotObject(serde_json::Error),
}

/// The file as it is written.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    #[serde(flatten)]
    peers: PeerAddresses,
    seed: String,
    stop_ms: f64,
    limits: Limits,
    settings: Box<RawValue>,
}

/// Reads and checks the file. `environment` gives the values of environment variables.
pub fn read(
    path: &Path,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<NodeConfig, ConfigError> {
    read_checked(path, environment).map_err(|problem| ConfigError {
        path: path.to_owned(),
        problem,
    })
}

/// Reads a file that took the place of the one that `current` was read from. The seed is new in
/// every file and is not compared.
pub fn reread(
    path: &Path,
    environment: impl Fn(&str) -> Option<String>,
    current: &NodeConfig,
) -> Result<ConfigUpdate, ConfigError> {
    let new = read(path, environment)?;
    let has_backend = |config: &NodeConfig| config.peers.backend.is_some();
    let fields = [
        ("name", new.name == current.name),
        ("listen", new.listen == current.listen),
        ("stop_ms", new.stop_after == current.stop_after),
        ("limits", new.limits == current.limits),
        ("settings", new.settings == current.settings),
        ("backend", has_backend(&new) == has_backend(current)),
    ];
    let needs_restart = fields
        .into_iter()
        .filter(|(_, is_same)| !is_same)
        .map(|(field, _)| field)
        .collect();
    // Whether there is a backend is a fact like the settings; only its address may change.
    let backend = current
        .peers
        .backend
        .and(new.peers.backend.or(current.peers.backend));
    Ok(ConfigUpdate {
        peers: PeerAddresses {
            backend,
            ..new.peers
        },
        needs_restart,
    })
}

fn read_checked(
    path: &Path,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<NodeConfig, ConfigProblem> {
    let text = std::fs::read_to_string(path)?;
    let file: File = serde_json::from_str(&text)?;
    if environment(NAME_VARIABLE).is_some_and(|name| name != file.name) {
        return Err(ConfigProblem::EnvironmentDiffers {
            field: "name",
            value: format!("{:?}", file.name),
            variable: NAME_VARIABLE,
        });
    }
    if environment(LISTEN_VARIABLE).is_some_and(|listen| listen != file.listen.to_string()) {
        return Err(ConfigProblem::EnvironmentDiffers {
            field: "listen",
            value: file.listen.to_string(),
            variable: LISTEN_VARIABLE,
        });
    }
    let Ok(seed) = u64::from_str_radix(&file.seed, 16) else {
        return Err(ConfigProblem::Seed(file.seed));
    };
    check_bounds(&file)?;
    let deployment = deployment_config::decode(file.settings.get().as_bytes())
        .map_err(ConfigProblem::Settings)?;
    Ok(NodeConfig {
        name: file.name,
        listen: file.listen,
        peers: file.peers,
        seed,
        stop_after: Duration::from_secs_f64(file.stop_ms / 1e3),
        limits: file.limits,
        deployment,
        settings: serde_json::from_str(file.settings.get())
            .map_err(ConfigProblem::SettingsNotObject)?,
    })
}

fn check_bounds(file: &File) -> Result<(), ConfigProblem> {
    let Limits {
        cores,
        memory_mb,
        sockets,
    } = file.limits;
    let checks = [
        (
            "stop_ms",
            file.stop_ms,
            (0.0..=STOP_MAX_MS).contains(&file.stop_ms),
        ),
        ("limits.sockets", sockets as f64, sockets >= SOCKETS_MIN),
        (
            "limits.memory_mb",
            memory_mb,
            memory_mb.is_finite() && memory_mb >= MEMORY_MIN_MB,
        ),
        ("limits.cores", cores, cores.is_finite() && cores > 0.0),
    ];
    match checks.into_iter().find(|(_, _, is_within)| !is_within) {
        Some((field, value, _)) => Err(ConfigProblem::OutOfBounds { field, value }),
        None => Ok(()),
    }
}
