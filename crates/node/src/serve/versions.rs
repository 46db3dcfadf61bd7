//! Settings that change by rollouts: versions of them are kept in a directory, and the node starts
//! on the one in force rather than on whatever file it is given.

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
    /// Their version.
    pub version: Version,
    /// Their `<fleet>`.
    pub cluster: ClusterSettings,
    /// Their quotas by key of the whole cluster.
    pub quotas: Vec<KeyedQuota>,
}

/// Locks what is in force, also where a thread ended while it held the lock.
pub fn lock(in_force: &Mutex<InForce>) -> MutexGuard<'_, InForce> {
    in_force.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The settings that a node starts with.
pub struct LoadedSettings {
    /// Their content.
    pub read: Settings,
    /// Where versions are kept: what is in force, and the node's part in rollouts of settings.
    pub versions: Option<(Arc<Mutex<InForce>>, RolloutSetup)>,
}

/// Reads the settings file; where versions are kept, the version that the node is to start on.
/// With `is_beside` another process of this node holds the directory still.
pub fn load(
    file: &Path,
    config: &Arc<NodeConfig>,
    control: &Sender<ControlMessage>,
    is_beside: bool,
) -> Result<LoadedSettings, StartError> {
    let given = settings::read(file, &node_validation_context(config)).map_err(Box::new);
    let Some(directory) = directory_path(file, given.as_ref().ok()) else {
        return match given {
            Ok(read) => Ok(LoadedSettings {
                read,
                versions: None,
            }),
            Err(diagnostics) => Err(StartError::SettingsFile(diagnostics)),
        };
    };
    let open = if is_beside {
        VersionStore::beside
    } else {
        VersionStore::open
    };
    let mut store =
        open(&directory, &config.name, Kind::Settings).map_err(StartError::VersionStore)?;
    let (read, start) = begin(&mut store, file, given, config)?;
    let Some(cluster) = read.cluster.clone() else {
        return Err(StartError::NoVersion("no <fleet>".into()));
    };
    let in_force = Arc::new(Mutex::new(InForce {
        version: start.running,
        cluster,
        quotas: keyed_quotas(&read),
    }));
    let setup = RolloutSetup {
        start,
        plan: settings::plan(&read),
        versions: Box::new(SettingsVersions {
            store,
            file: file.to_owned(),
            config: Arc::clone(config),
            in_force: Arc::clone(&in_force),
            control: control.clone(),
        }),
    };
    Ok(LoadedSettings {
        read,
        versions: Some((in_force, setup)),
    })
}

/// Decides on the version to start on. The given file may be broken or gone: what was in force is
/// on the disk.
fn begin(
    store: &mut VersionStore,
    file: &Path,
    given: Result<Settings, Box<Diagnostics>>,
    config: &NodeConfig,
) -> Result<(Settings, InitialState), StartError> {
    let content = match &given {
        Ok(read) => {
            let bytes = std::fs::read(file).map_err(|error| StartError::Unreadable {
                path: file.to_owned(),
                error,
            })?;
            Some((version_of(read), bytes))
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
    let begun = store.begin(content, |version, content| {
        let (read, _) = read_version(file, content, config).map_err(|e| e.to_string())?;
        match version_of(&read) == version {
            true => Ok(read),
            false => Err(SettingsError::OtherContent.to_string()),
        }
    });
    match (begun, given) {
        (Ok(begun), _) => Ok((begun.running, begun.state)),
        (Err(_), Err(diagnostics)) => Err(StartError::SettingsFile(diagnostics)),
        (Err(problem), Ok(_)) => Err(StartError::NoVersion(problem.to_string())),
    }
}

/// Where versions are kept, if they are. A relative path starts at the directory of the settings
/// file.
fn directory_path(file: &Path, read: Option<&Settings>) -> Option<PathBuf> {
    let set = || {
        read.and_then(|read| read.rollout.as_ref())
            .map(|rollout| rollout.dir.clone())
    };
    let directory = environment(DIRECTORY_VARIABLE).or_else(set)?;
    Some(file.parent().unwrap_or(Path::new("")).join(directory))
}

/// The version that settings have by their number and content.
pub fn version_of(read: &Settings) -> Version {
    let (number, hash) = read.number;
    Version { number, hash }
}

/// Reads the content of a version and checks it against this node's deployment and limits.
fn read_version(
    file: &Path,
    content: &[u8],
    config: &NodeConfig,
) -> Result<(Settings, AuthKeys), SettingsError> {
    let text = std::str::from_utf8(content).map_err(|_| SettingsError::NotText)?;
    let read = madderpoint_settings::read("settings", text, &node_validation_context(config))
        .map_err(|diagnostics| SettingsError::Invalid(diagnostics.summary()))?;
    let (Some(fleet), Some(_)) = (&read.cluster, &read.rollout) else {
        return Err(SettingsError::NoClusterOrRollout);
    };
    let keys = read_keys(file, fleet)?;
    Ok((read, keys))
}

/// Checks, keeps and applies versions of the settings.
struct SettingsVersions {
    store: VersionStore,
    /// The settings file, beside which keys are looked for.
    file: PathBuf,
    config: Arc<NodeConfig>,
    in_force: Arc<Mutex<InForce>>,
    control: Sender<ControlMessage>,
}

impl SettingsVersions {
    fn check_content(&self, content: &[u8]) -> Result<Version, SettingsError> {
        let (read, new_keys) = read_version(&self.file, content, &self.config)?;
        let current = lock(&self.in_force);
        if let Some(fleet) = &read.cluster {
            let fields = cluster::fields_needing_restart(fleet, &current.cluster);
            if !fields.is_empty() {
                return Err(SettingsError::NeedsRestart(fields));
            }
            if !read_keys(&self.file, &current.cluster)?.are_compatible(&new_keys) {
                return Err(SettingsError::NoCommonKey);
            }
        }
        Ok(version_of(&read))
    }

    fn apply_version(&self, version: Version) -> Result<(), SettingsError> {
        let content = self.store.content(version)?;
        let (mut read, keys) = read_version(&self.file, &content, &self.config)?;
        let Some(new) = read.cluster.clone() else {
            return Err(SettingsError::NoCluster);
        };
        let update = {
            let mut current = lock(&self.in_force);
            let update = cluster::update(&read, &new, &current.cluster, keys);
            *current = InForce {
                version,
                cluster: new,
                quotas: update.quotas.clone(),
            };
            update
        };
        self.send(ControlMessage::Cluster(update))?;
        self.send(ControlMessage::Rules(take_rules(&mut read)))
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
