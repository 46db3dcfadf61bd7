//! The node's configuration: the JSON file that `PROXY_CONFIG` names, with the node's identity, the
//! addresses of its peers, its resource limits, and the deployment's settings.
//!
//! The file is read at start and again on SIGHUP. In a running process only the addresses of peers
//! can change; [`reread`] lists the other fields that differ.

use madderpoint_deployment_config::{self as deployment_config, DeploymentConfig};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Smallest accepted limit on descriptors; a node cannot serve with fewer.
const SOCKETS_MIN: usize = 64;
/// Smallest accepted memory limit, in MB; a node cannot serve with less.
const MEMORY_MIN_MB: f64 = 16.0;
/// Largest accepted time from the start of the drain to the stop, in milliseconds.
const STOP_MAX_MS: f64 = 3_600_000.0;

/// The environment variable that repeats the node's name. If set, it must equal the field `name`.
const NAME_VARIABLE: &str = "PROXY_NAME";
/// The environment variable that repeats the node's listening address. If set, it must equal the
/// field `listen`.
const LISTEN_VARIABLE: &str = "PROXY_LISTEN";

/// Addresses of the node's peers. They may change while the node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct PeerAddresses {
    /// Address of the executor on the same machine.
    #[serde(rename = "kernel")]
    pub executor: SocketAddr,
    /// Address of the service registry.
    #[serde(rename = "members")]
    pub service_registry: SocketAddr,
    /// Address of the backend; absent in the last tier.
    pub backend: Option<SocketAddr>,
}

/// The resources that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// Processor time that the process may use, in cores.
    pub cores: f64,
    /// Memory that the process may use, in MB. A node that exceeds this limit is killed.
    pub memory_mb: f64,
    /// Number of descriptors that the process may have open at a time.
    pub sockets: usize,
}

/// The checked configuration that a node starts with.
pub struct NodeConfig {
    /// The node's name, which stays the same across restarts.
    pub name: String,
    /// The address that load balancers connect to.
    pub listen: SocketAddr,
    /// The addresses of the node's peers.
    pub peers: PeerAddresses,
    /// The seed of the random numbers used in admission decisions.
    pub seed: u64,
    /// Time from the start of the drain to the stop of the process.
    pub stop_after: Duration,
    /// The resources that the process may use.
    pub limits: Limits,
    /// The deployment, decoded from the field `settings`.
    pub deployment: DeploymentConfig,
    /// The field `settings` as JSON, for the comparison with a later file.
    settings: serde_json::Value,
}

/// The differences between the configuration in force and a file that was read later.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigUpdate {
    /// Addresses of all peers in the new file, changed or not.
    pub peers: PeerAddresses,
    /// Names of the fields that differ and only take effect with a restart.
    pub needs_restart: Vec<&'static str>,
}

/// Why a configuration is rejected.
#[derive(Debug, Error)]
#[error("{}: {problem}", path.display())]
pub struct ConfigError {
    /// The configuration file.
    pub path: PathBuf,
    /// Reason for the rejection; shown after the path.
    pub problem: ConfigProblem,
}

/// What is wrong with a configuration.
#[derive(Debug, Error)]
pub enum ConfigProblem {
    /// The file cannot be read.
    #[error("cannot read the file: {0}")]
    Unreadable(#[from] io::Error),
    /// The file is not JSON of the expected form.
    #[error("not a valid JSON configuration: {0}")]
    Malformed(#[from] serde_json::Error),
    /// An environment variable differs from the field that it repeats.
    #[error("{field} is {value}, but the environment variable {variable} has a different value")]
    EnvironmentDiffers {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: String,
        /// Name of the environment variable.
        variable: &'static str,
    },
    /// The seed is not a 64-bit hexadecimal number.
    #[error("seed is not a 64-bit hexadecimal number: {0:?}")]
    Seed(String),
    /// A number is outside its bounds.
    #[error("{field} is out of bounds: {value}")]
    OutOfBounds {
        /// Name of the field.
        field: &'static str,
        /// Value of the field.
        value: f64,
    },
    /// The deployment's settings are invalid.
    #[error("settings: {0}")]
    Settings(deployment_config::DeploymentError),
    /// The deployment's settings are not a JSON object.
    #[error("settings: {0}")]
    SettingsNotObject(serde_json::Error),
}

/// The configuration file, decoded from JSON but not checked.
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

/// Reads and checks the file. `environment` returns the values of environment variables.
pub fn read(
    path: &Path,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<NodeConfig, ConfigError> {
    read_checked(path, environment).map_err(|problem| ConfigError {
        path: path.to_owned(),
        problem,
    })
}

/// Reads a file that replaced the one `current` was read from, and returns the differences. The seed
/// is not compared, since every file has a new one.
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
    // Only the backend's address may change. Adding or removing the backend needs a restart.
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
