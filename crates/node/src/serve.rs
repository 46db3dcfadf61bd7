//! `madderpoint serve`: starts a node from the configuration file that `PROXY_CONFIG` names and, if
//! given, a settings file. While the node runs, passes SIGTERM, changed configurations and changed
//! settings on to it.

mod cluster;
mod reload;
mod settings;
mod versions;

pub use settings::{SettingsError, read, read_keys, validation_context};

use crossbeam_channel::Sender;
use madderpoint_node::config::{self, ConfigError, NodeConfig};
use madderpoint_node::io::{self, ControlMessage, OptionalParts, RolloutSetup};
use madderpoint_node::log;
use madderpoint_node::supervisor_client::{self, Adopted, ProgramVersions, SupervisorClientError};
use madderpoint_node::version_store::VersionStoreError;
use madderpoint_settings::{ClusterSettings, Diagnostics};
use reload::Reloader;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use thiserror::Error;
use versions::{InForce, LoadedSettings};

/// Stack of the thread that waits for signals, in bytes.
const STACK: usize = 128 * 1024;
/// Stack of the signal thread if it also reads settings, whose expressions may be nested, in bytes.
const SETTINGS_STACK: usize = 1024 * 1024;

/// The environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";

/// Why a node does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The signal handlers or the signal thread cannot be set up.
    #[error("cannot set up signal handling: {0}")]
    Signals(std::io::Error),
    /// `PROXY_CONFIG` is not set.
    #[error("{CONFIG_VARIABLE} is not set")]
    ConfigNotSet,
    /// The configuration file was rejected.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The handover from the supervisor failed.
    #[error(transparent)]
    Supervisor(SupervisorClientError),
    /// The thread that listens to the supervisor cannot be started.
    #[error("cannot start the thread that listens to the supervisor: {0}")]
    SupervisorLink(std::io::Error),
    /// The settings file has errors; the text shows them with their lines.
    #[error("settings not taken:\n{0}")]
    SettingsFile(Box<Diagnostics>),
    /// The settings cannot be used on this node.
    #[error("settings not taken: {0}")]
    Settings(#[from] SettingsError),
    /// None of the stored versions of the settings can be run.
    #[error("settings not taken: {0}")]
    NoVersion(String),
    /// The directory of versions cannot be used.
    #[error("rollout/@dir: {0}")]
    VersionStore(VersionStoreError),
    /// The settings file cannot be read.
    #[error("{}: cannot read the settings file: {error}", path.display())]
    Unreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// Error that the operating system gave for the read.
        error: std::io::Error,
    },
    /// The node cannot listen, or its threads cannot be started.
    #[error("cannot listen on {address} or start threads: {error}")]
    Listen {
        /// The configured listening address.
        address: SocketAddr,
        /// Error of the step that failed: opening the listener or starting a thread.
        error: std::io::Error,
    },
}

/// Returns the value of an environment variable; `None` if it is not set or not valid Unicode.
fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Starts the node and serves until it has drained and stopped.
pub fn serve(settings: Option<PathBuf>, logging: log::Options) -> Result<(), StartError> {
    // This comes first, so that the default action of these signals never ends the process.
    let signals = Signals::new([SIGTERM, SIGHUP]).map_err(StartError::Signals)?;
    let path = std::env::var_os(CONFIG_VARIABLE).ok_or(StartError::ConfigNotSet)?;
    let path = PathBuf::from(path);
    let config = Arc::new(config::read(&path, environment)?);
    log::start(&config.name, logging);
    let (control, control_inbox) = crossbeam_channel::bounded(1);
    let adopted = match environment(supervisor_client::SUPERVISED_VARIABLE) {
        Some(_) => Some(supervisor_client::adopt().map_err(StartError::Supervisor)?),
        None => None,
    };
    let mut parts = OptionalParts::default();
    let (mut cluster, mut in_force) = (None, None);
    if let Some(file) = &settings {
        (cluster, in_force) = load_settings(file, &config, &control, adopted.as_ref(), &mut parts)?;
    }
    if let Some(adopted) = adopted {
        listen_to_supervisor(adopted, control.clone(), &mut parts)?;
    }
    let reloader = Reloader {
        config_path: path,
        config: Arc::clone(&config),
        settings,
        cluster,
        in_force,
        control,
    };
    start_signal_thread(signals, reloader)?;
    io::serve(&config, parts, control_inbox).map_err(|error| StartError::Listen {
        address: config.listen,
        error,
    })
}

/// The `<fleet>` that the node starts with, and the settings in force if versions are stored.
type ClusterState = (Option<ClusterSettings>, Option<Arc<Mutex<InForce>>>);

/// Reads the settings file and sets up the parts of the node that it configures.
fn load_settings(
    file: &Path,
    config: &Arc<NodeConfig>,
    control: &Sender<ControlMessage>,
    adopted: Option<&Adopted>,
    parts: &mut OptionalParts,
) -> Result<ClusterState, StartError> {
    let another_process_serves =
        adopted.is_some_and(|adopted| adopted.begin.another_process_serves);
    let LoadedSettings {
        mut settings,
        versions,
    } = versions::load(file, config, control, another_process_serves)?;
    parts.cluster = cluster::participation(file, &settings, config)?;
    let mut in_force = None;
    if let Some(cluster) = &mut parts.cluster {
        if let Some((state, setup)) = versions {
            cluster.rollouts.push(setup);
            in_force = Some(state);
        }
        if let Some(adopted) = adopted {
            cluster.awaits_address = true;
            if cluster.has_shared_state() {
                cluster.rollouts.push(RolloutSetup {
                    start: supervisor_client::start(&adopted.begin),
                    plan: settings::plan(&settings),
                    versions: Box::new(ProgramVersions(Arc::clone(&adopted.link))),
                });
            }
        }
    }
    parts.rules = Some(settings::take_rules(&mut settings));
    Ok((settings.cluster, in_force))
}

/// Takes over the listening socket from the supervisor, arranges the report that the node serves, and
/// starts the thread that passes the supervisor's commands on.
fn listen_to_supervisor(
    mut adopted: Adopted,
    control: Sender<ControlMessage>,
    parts: &mut OptionalParts,
) -> Result<(), StartError> {
    let link = Arc::clone(&adopted.link);
    parts.listener = adopted.listener.take();
    parts.on_serving = Some(Box::new(move || link.ready()));
    adopted.listen(control).map_err(StartError::SupervisorLink)
}

fn start_signal_thread(mut signals: Signals, reloader: Reloader) -> Result<(), StartError> {
    let stack = if reloader.settings.is_some() {
        SETTINGS_STACK
    } else {
        STACK
    };
    let work = move || {
        for signal in signals.forever() {
            if signal == SIGTERM {
                reloader.send(ControlMessage::Drain);
            } else {
                reloader.reload();
            }
        }
    };
    thread::Builder::new()
        .name("signals".into())
        .stack_size(stack)
        .spawn(work)
        .map(drop)
        .map_err(StartError::Signals)
}
