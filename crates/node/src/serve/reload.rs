//! Reload on SIGHUP. The configuration is read again, and so is the settings file or, if settings
//! change by rollouts, the file of the cluster's keys. An invalid file changes nothing.

use super::settings::{self, SettingsError, node_validation_context, read_keys, take_rules};
use super::versions::{InForce, lock, version_of};
use super::{cluster, environment};
use crossbeam_channel::Sender;
use madderpoint_membership::datagram_auth::AuthKeys;
use madderpoint_node::config::{self, NodeConfig};
use madderpoint_node::io::{ClusterSettingsUpdate, ControlMessage};
use madderpoint_node::log::part;
use madderpoint_settings::{ClusterSettings, Settings};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use tracing::warn;

/// Reads the files again and sends the changes to the running node.
pub struct Reloader {
    /// Path of the configuration file.
    pub config_path: PathBuf,
    /// The configuration in force.
    pub config: Arc<NodeConfig>,
    /// Path of the settings file, if there is one.
    pub settings: Option<PathBuf>,
    /// The `<fleet>` that the node started with.
    pub cluster: Option<ClusterSettings>,
    /// The settings in force, if settings change by rollouts.
    pub in_force: Option<Arc<Mutex<InForce>>>,
    /// The running node's queue of control messages.
    pub control: Sender<ControlMessage>,
}

impl Reloader {
    /// Sends the running node a message. Does nothing if the node has stopped.
    pub fn send(&self, message: ControlMessage) {
        let _ = self.control.send(message);
    }

    /// Reads all files again.
    pub fn reload(&self) {
        match config::reread(&self.config_path, environment, &self.config) {
            Ok(update) => self.send(ControlMessage::Config(update)),
            Err(e) => warn!(
                target: part::CONFIGURATION,
                error = %e,
                "new configuration rejected: the current one stays in force"
            ),
        }
        match (&self.settings, &self.in_force) {
            (Some(file), Some(in_force)) => self.reload_keys(file, in_force),
            (Some(file), None) => self.reload_settings(file),
            (None, _) => {}
        }
    }

    /// Applies a new settings file, either completely or not at all.
    fn reload_settings(&self, file: &Path) {
        let (keys, mut settings) = match self.read_settings(file) {
            Ok(new) => new,
            Err(e) => return settings_rejected(&e.to_string()),
        };
        match (keys, &settings.cluster, &self.cluster) {
            (Some(keys), Some(new), Some(current)) => {
                let fields = cluster::fields_needing_restart(new, current);
                if !fields.is_empty() {
                    warn!(target: part::SETTINGS, ?fields, "changes of <fleet> need a restart");
                }
                let update = cluster::update(&settings, new, current, keys);
                self.send(ControlMessage::Cluster(update));
            }
            (None, None, None) => {}
            _ => warn!(target: part::SETTINGS, "to add or remove <fleet> needs a restart"),
        }
        self.send(ControlMessage::Rules(take_rules(&mut settings)));
    }

    fn read_settings(&self, file: &Path) -> Result<(Option<AuthKeys>, Settings), SettingsError> {
        let settings = settings::read(file, &node_validation_context(&self.config))
            .map_err(|diagnostics| SettingsError::Invalid(diagnostics.summary()))?;
        let keys = match &settings.cluster {
            Some(fleet) => Some(read_keys(file, fleet)?),
            None => None,
        };
        Ok((keys, settings))
    }

    /// Applies new keys of the cluster only. The settings file itself takes effect by a rollout.
    fn reload_keys(&self, file: &Path, in_force: &Mutex<InForce>) {
        let update = {
            let current = lock(in_force);
            let keys = match read_keys(file, &current.cluster) {
                Ok(keys) => keys,
                Err(e) => {
                    warn!(
                        target: part::SETTINGS,
                        error = %e,
                        "new keys rejected: the current ones stay in force"
                    );
                    return;
                }
            };
            match settings::read(file, &node_validation_context(&self.config)) {
                Ok(settings) if version_of(&settings) != current.version => warn!(
                    target: part::SETTINGS,
                    file_version = settings.number.0,
                    in_force = %current.version,
                    "new settings not in force: they need 'rollout start'"
                ),
                Ok(_) => {}
                Err(diagnostics) => settings_rejected(&diagnostics.summary()),
            }
            Box::new(ClusterSettingsUpdate {
                keys,
                seeds: current.cluster.seeds.clone(),
                timing: current.cluster.timing,
                number: (current.version.number, current.version.hash),
                budgets: current.cluster.budgets.clone(),
                quotas: current.quotas.clone(),
                plan: None,
            })
        };
        self.send(ControlMessage::Cluster(update));
    }
}

fn settings_rejected(error: &str) {
    warn!(
        target: part::SETTINGS,
        error = %error,
        "new settings rejected: the current ones stay in force"
    );
}
