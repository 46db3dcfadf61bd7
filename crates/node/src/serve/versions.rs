//! Settings that change by rollouts. Their versions are stored in a directory, and the node starts on
//! the version in force, which may differ from the settings file that it is given.

use super::settings::{
    self, SettingsError, keyed_quotas, node_validation_context, read_keys, take_rules,
};
use super::{StartError, cluster, environment};
use crossbeam_channel::Sender;
use madderpoint_membership::datagram_auth::AuthKeys;
use madderpoint_node::config::NodeConfig;
use madderpoint_node::io::{ControlMessage, RolloutSetup, VersionError, Versions};
use madderpoint_node::log::part;
use madderpoint_node::version_store::VersionStore;
use madderpoint_rollout::node_agent::InitialState;
use madderpoint_rollout::{Kind, PersistedState, Version};
use madderpoint_settings::{ClusterSettings, Diagnostics, Settings};
use madderpoint_shared_state::keyed_quota::KeyedQuota;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tracing::warn;

/// The environment variable that takes precedence over `<rollout dir="...">`.
const DIRECTORY_VARIABLE: &str = "MADDERPOINT_ROLLOUT_DIR";

/// The settings in force, for the threads that may change them.
#[derive(Debug)]
pub struct InForce {
    /// Number and content hash of the settings.
    pub version: Version,
    /// The `<fleet>` of the settings.
    pub cluster: ClusterSettings,
    /// The keyed quotas of the whole cluster.
    pub quotas: Vec<KeyedQuota>,
}

/// Locks the settings in force, even if a thread has panicked while it held the lock.
pub fn lock(in_force: &Mutex<InForce>) -> MutexGuard<'_, InForce> {
    in_force.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The settings that a node starts with.
pub struct LoadedSettings {
    /// The settings that the node runs with at first, from the file or a stored version.
    pub settings: Settings,
    /// The settings in force and the node's part in rollouts of settings; `None` if no versions are
    /// stored.
    pub versions: Option<(Arc<Mutex<InForce>>, RolloutSetup)>,
}

/// Reads the settings that the node starts with: the settings file or, if versions are stored, the
/// stored version to start on. With `another_process_serves`, another process of this node may
/// still use the directory of versions.
pub fn load(
    file: &Path,
    config: &Arc<NodeConfig>,
    control: &Sender<ControlMessage>,
    another_process_serves: bool,
) -> Result<LoadedSettings, StartError> {
    let given = settings::read(file, &node_validation_context(config)).map_err(Box::new);
    let Some(directory) = directory_path(file, given.as_ref().ok()) else {
        return match given {
            Ok(settings) => Ok(LoadedSettings {
                settings,
                versions: None,
            }),
            Err(diagnostics) => Err(StartError::SettingsFile(diagnostics)),
        };
    };
    let open = if another_process_serves {
        VersionStore::beside
    } else {
        VersionStore::open
    };
    let mut store =
        open(&directory, &config.name, Kind::Settings).map_err(StartError::VersionStore)?;
    let (settings, start) = choose_start_version(&mut store, file, given, config)?;
    let Some(cluster) = settings.cluster.clone() else {
        return Err(StartError::NoVersion("no <fleet>".into()));
    };
    let in_force = Arc::new(Mutex::new(InForce {
        version: start.running,
        cluster,
        quotas: keyed_quotas(&settings),
    }));
    let setup = RolloutSetup {
        start,
        plan: settings::plan(&settings),
        versions: Box::new(SettingsVersions {
            store,
            file: file.to_owned(),
            config: Arc::clone(config),
            in_force: Arc::clone(&in_force),
            control: control.clone(),
        }),
    };
    Ok(LoadedSettings {
        settings,
        versions: Some((in_force, setup)),
    })
}

/// Chooses the version to start on. The given file may be invalid or missing, since the version in
/// force is stored on the disk.
fn choose_start_version(
    store: &mut VersionStore,
    file: &Path,
    given: Result<Settings, Box<Diagnostics>>,
    config: &NodeConfig,
) -> Result<(Settings, InitialState), StartError> {
    let content = match &given {
        Ok(settings) => {
            let bytes = std::fs::read(file).map_err(|error| StartError::Unreadable {
                path: file.to_owned(),
                error,
            })?;
            Some((version_of(settings), bytes))
        }
        Err(diagnostics) => {
            warn!(
                target: part::SETTINGS,
                error = %diagnostics.summary(),
                "settings rejected: the node starts on the version in force"
            );
            None
        }
    };
    let started = store.begin(content, |version, content| {
        let (settings, _) = read_version(file, content, config).map_err(|e| e.to_string())?;
        match version_of(&settings) == version {
            true => Ok(settings),
            false => Err(SettingsError::OtherContent.to_string()),
        }
    });
    match (started, given) {
        (Ok(started), _) => Ok((started.running, started.state)),
        (Err(_), Err(diagnostics)) => Err(StartError::SettingsFile(diagnostics)),
        (Err(error), Ok(_)) => Err(StartError::NoVersion(error.to_string())),
    }
}

/// Returns the directory in which versions are stored; `None` if none is set. A relative path is
/// resolved against the directory of the settings file.
fn directory_path(file: &Path, settings: Option<&Settings>) -> Option<PathBuf> {
    let set = || {
        settings
            .and_then(|settings| settings.rollout.as_ref())
            .map(|rollout| rollout.dir.clone())
    };
    let directory = environment(DIRECTORY_VARIABLE).or_else(set)?;
    Some(file.parent().unwrap_or(Path::new("")).join(directory))
}

/// Returns the version of settings: their number and the hash of their content.
pub fn version_of(settings: &Settings) -> Version {
    let (number, hash) = settings.number;
    Version { number, hash }
}

/// Reads the content of a version and validates it against this node's deployment and limits.
fn read_version(
    file: &Path,
    content: &[u8],
    config: &NodeConfig,
) -> Result<(Settings, AuthKeys), SettingsError> {
    let text = std::str::from_utf8(content).map_err(|_| SettingsError::NotText)?;
    let settings = madderpoint_settings::read("settings", text, &node_validation_context(config))
        .map_err(|diagnostics| SettingsError::Invalid(diagnostics.summary()))?;
    let (Some(fleet), Some(_)) = (&settings.cluster, &settings.rollout) else {
        return Err(SettingsError::NoClusterOrRollout);
    };
    let keys = read_keys(file, fleet)?;
    Ok((settings, keys))
}

/// Checks, stores and applies versions of the settings.
struct SettingsVersions {
    store: VersionStore,
    /// Path of the settings file. The path of the key file is relative to its directory.
    file: PathBuf,
    config: Arc<NodeConfig>,
    in_force: Arc<Mutex<InForce>>,
    control: Sender<ControlMessage>,
}

impl SettingsVersions {
    fn check_content(&self, content: &[u8]) -> Result<Version, SettingsError> {
        let (settings, new_keys) = read_version(&self.file, content, &self.config)?;
        let current = lock(&self.in_force);
        if let Some(fleet) = &settings.cluster {
            let fields = cluster::fields_needing_restart(fleet, &current.cluster);
            if !fields.is_empty() {
                return Err(SettingsError::NeedsRestart(fields));
            }
            if !read_keys(&self.file, &current.cluster)?.are_compatible(&new_keys) {
                return Err(SettingsError::NoCommonKey);
            }
        }
        Ok(version_of(&settings))
    }

    fn apply_version(&self, version: Version) -> Result<(), SettingsError> {
        let content = self.store.content(version)?;
        let (mut settings, keys) = read_version(&self.file, &content, &self.config)?;
        let Some(new) = settings.cluster.clone() else {
            return Err(SettingsError::NoCluster);
        };
        let update = {
            let mut current = lock(&self.in_force);
            let update = cluster::update(&settings, &new, &current.cluster, keys);
            *current = InForce {
                version,
                cluster: new,
                quotas: update.quotas.clone(),
            };
            update
        };
        self.send(ControlMessage::Cluster(update))?;
        self.send(ControlMessage::Rules(take_rules(&mut settings)))
    }

    fn send(&self, message: ControlMessage) -> Result<(), SettingsError> {
        self.control
            .send(message)
            .map_err(|_| SettingsError::Stopped)
    }
}

impl Versions for SettingsVersions {
    fn check(
        &mut self,
        _: Option<Version>,
        content: Option<&[u8]>,
    ) -> Result<Version, VersionError> {
        let checked = self.check_content(content.unwrap_or_default());
        checked.map_err(|error| VersionError::Settings(error.to_string()))
    }

    fn persist(
        &mut self,
        persisted: &PersistedState,
        content: Option<(Version, &[u8])>,
    ) -> Result<(), VersionError> {
        Ok(self.store.persist(persisted, content)?)
    }

    fn apply(&mut self, version: Version) -> Result<(), VersionError> {
        let applied = self.apply_version(version);
        applied.map_err(|error| VersionError::Settings(error.to_string()))
    }
}
