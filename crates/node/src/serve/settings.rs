//! Reading of settings files and key files, and conversion of settings for the parts of the node.

use madderpoint_deployment_config::DeploymentConfig;
use madderpoint_membership::datagram_auth::{AuthKeys, KeyError};
use madderpoint_node::capacity::OptionalSubsystems;
use madderpoint_node::config::NodeConfig;
use madderpoint_node::io;
use madderpoint_node::request_rules::CompiledRuleSet;
use madderpoint_node::version_store::VersionStoreError;
use madderpoint_rollout::Plan;
use madderpoint_settings::{
    self as settings, ClusterSettings, Diagnostics, Location, Settings, ValidationContext,
};
use madderpoint_shared_state::keyed_quota::KeyedQuota;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Maximum size of a key file, in bytes.
const KEY_FILE_BYTES_MAX: u64 = 4096;

/// Why settings cannot be used on this node or cannot take effect now.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The settings have errors; the text gives the first one and the number of others.
    #[error("{0}")]
    Invalid(String),
    /// The content of a version is not UTF-8.
    #[error("content of the version is not valid UTF-8")]
    NotText,
    /// The cluster's key file cannot be used.
    #[error("fleet/@keys: {}: {problem}", path.display())]
    Keys {
        /// Path of the key file.
        path: PathBuf,
        /// Reason why the file cannot be used; shown after the path.
        problem: KeyFileProblem,
    },
    /// Nodes with the old keys and nodes with the new keys would have no key in common.
    #[error(
        "fleet/@keys: nodes with the old keys and nodes with the new keys would have no key in \
         common: add the new key first, after the old one"
    )]
    NoCommonKey,
    /// An environment variable is not a valid socket address.
    #[error("{variable}: {text:?} is not a valid socket address")]
    Address {
        /// Name of the environment variable.
        variable: &'static str,
        /// Value of the environment variable.
        text: String,
    },
    /// Other nodes cannot reach the advertised address: its IP is unspecified or its port is 0.
    #[error("fleet/@advertise: other nodes cannot reach {0}; expected an address of this node")]
    Unreachable(SocketAddr),
    /// The settings have no cluster, but the node is a member of one.
    #[error("the settings have no <fleet>")]
    NoCluster,
    /// The settings have no cluster or no rollout, but the node takes part in rollouts.
    #[error(
        "the settings have no <fleet> or no <rollout>: adding or removing these needs a restart"
    )]
    NoClusterOrRollout,
    /// Fields of `<fleet>` differ that only take effect with a restart.
    #[error("changes of {0:?} of <fleet> need a restart")]
    NeedsRestart(Vec<&'static str>),
    /// The settings read from a stored version have a different number or hash than those under
    /// which the version is stored.
    #[error("content of the stored version does not match the version's number and hash")]
    OtherContent,
    /// The directory of versions could not be read or written.
    #[error(transparent)]
    VersionStore(#[from] VersionStoreError),
    /// The node has stopped and receives no more control messages.
    #[error("the node has stopped")]
    Stopped,
}

/// What is wrong with a key file.
#[derive(Debug, Error)]
pub enum KeyFileProblem {
    /// The file cannot be read.
    #[error("cannot read the file: {0}")]
    Unreadable(#[from] std::io::Error),
    /// The file is larger than 4 KiB; with its size in bytes.
    #[error("{0} bytes; expected {KEY_FILE_BYTES_MAX} at most")]
    TooLarge(u64),
    /// A line is not a valid key, or there are too few or too many keys.
    #[error("{0}")]
    Invalid(KeyError),
}

/// Returns the context for validation against a deployment: its operations with their idempotency,
/// and its tenants.
pub fn validation_context(config: &DeploymentConfig) -> ValidationContext {
    let idempotencies = config.deployment.operations.iter().map(|o| o.idempotency);
    ValidationContext {
        operations: Some(
            config
                .operation_names
                .iter()
                .cloned()
                .zip(idempotencies)
                .collect(),
        ),
        tenants: Some(config.tenant_names.clone()),
        ..ValidationContext::permissive()
    }
}

/// Returns the context of [`validation_context`] with the bounds on sizes that follow from the node's
/// limits.
pub fn node_validation_context(config: &NodeConfig) -> ValidationContext {
    let capacity = io::capacity_limits(
        config,
        OptionalSubsystems {
            settings: true,
            cluster: true,
            shared_state: true,
            rollouts: true,
        },
    );
    ValidationContext {
        rule_bytes_max: capacity.rule_bytes,
        file_bytes_max: capacity.settings_file_bytes,
        ..validation_context(&config.deployment)
    }
}

/// Reads and validates a settings file.
pub fn read(path: &Path, context: &ValidationContext) -> Result<Settings, Diagnostics> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        let unreadable =
            settings::Diagnostic::new(Location::Whole, "", e.to_string(), "a settings file");
        Diagnostics::new(&name, "", vec![unreadable])
    })?;
    settings::read(&name, &text, context)
}

/// Reads the keys of a cluster. A relative path is resolved against the directory of the settings
/// file.
pub fn read_keys(settings_path: &Path, fleet: &ClusterSettings) -> Result<AuthKeys, SettingsError> {
    let path = settings_path
        .parent()
        .unwrap_or(Path::new(""))
        .join(&fleet.keys);
    read_key_file(&path).map_err(|problem| SettingsError::Keys { path, problem })
}

fn read_key_file(path: &Path) -> Result<AuthKeys, KeyFileProblem> {
    let size = std::fs::metadata(path)?.len();
    if size > KEY_FILE_BYTES_MAX {
        return Err(KeyFileProblem::TooLarge(size));
    }
    let text = std::fs::read_to_string(path)?;
    AuthKeys::parse(&text).map_err(KeyFileProblem::Invalid)
}

/// Returns the keyed quotas of the whole cluster, which the rules define as buckets.
pub fn keyed_quotas(settings: &Settings) -> Vec<KeyedQuota> {
    settings
        .rules
        .iter()
        .flat_map(|rules| &rules.cluster_quotas)
        .map(|(_, quota)| quota.clone())
        .collect()
}

/// Returns the plan of rollouts that are started at this node; the default plan without `<rollout>`.
pub fn plan(settings: &Settings) -> Plan {
    settings
        .rollout
        .as_ref()
        .map(|rollout| rollout.plan.clone())
        .unwrap_or_default()
}

/// Takes the rules out of the settings. Without rules the set is empty, which replaces any earlier
/// rules.
pub fn take_rules(settings: &mut Settings) -> Box<CompiledRuleSet> {
    let secret = settings.cluster.as_ref().map_or(0, |fleet| fleet.secret);
    match settings.rules.take() {
        Some(mut rules) => {
            rules
                .rules
                .use_common_secret(rules.cluster_quotas.iter().map(|(index, _)| *index), secret);
            Box::new(CompiledRuleSet {
                rules: rules.rules,
                buckets: rules.buckets,
                quotas: rules.cluster_quotas,
            })
        }
        None => Box::new(CompiledRuleSet::default()),
    }
}
