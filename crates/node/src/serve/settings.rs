//! Reading a settings file, and what of it the node's parts are given.

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

/// The largest file of keys, in bytes.
const KEY_FILE_MAX: u64 = 4096;

/// Why settings can't be used on this node, or not now.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file has errors: the first one, and how many more.
    #[error("{0}")]
    Invalid(String),
    /// The content of a version is not UTF-8.
    #[error("it is no text")]
    NotText,
    /// The file of the cluster's keys can't be used.
    #[error("fleet/@keys: {}: {problem}", path.display())]
    Keys {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        problem: KeyFileProblem,
    },
    /// Nodes with the old keys and nodes with the new ones would have none in common.
    #[error(
        "fleet/@keys: old and new nodes would not understand each other: add the new key first, \
         after the old one"
    )]
    NoCommonKey,
    /// An environment variable is no address.
    #[error("{variable}: {text:?} is no address")]
    Address {
        /// The variable.
        variable: &'static str,
        /// Its value.
        text: String,
    },
    /// Other nodes can't reach the address that this one advertises.
    #[error("fleet/@advertise: nobody can reach {0}; expected an address of this node")]
    Unreachable(SocketAddr),
    /// There is no cluster in the settings, but the node is in one.
    #[error("it has no <fleet>")]
    NoCluster,
    /// There is no cluster or no rollout in the settings, but the node takes part in rollouts.
    #[error("it has no <fleet> or no <rollout>: these come and go with a restart only")]
    NoClusterOrRollout,
    /// Fields that differ can change with a restart only.
    #[error("{0:?} of <fleet> can change with a restart only")]
    NeedsRestart(Vec<&'static str>),
    /// The content of a version has another number or hash than the version.
    #[error("its content is not what its name says")]
    OtherContent,
    /// The directory of versions failed.
    #[error(transparent)]
    VersionStore(#[from] VersionStoreError),
    /// The node has stopped meanwhile.
    #[error("the node ends")]
    Stopped,
}

/// What is wrong with a file of keys.
#[derive(Debug, Error)]
pub enum KeyFileProblem {
    /// It can't be read.
    #[error("{0}")]
    Unreadable(#[from] std::io::Error),
    /// It has more than 4 KiB; so many bytes.
    #[error("{0} bytes; expected {KEY_FILE_MAX} at most")]
    TooLarge(u64),
    /// A line is no key, or there are too few or too many.
    #[error("{0}")]
    Invalid(KeyError),
}

/// The names and idempotencies that a deployment's settings define.
pub fn validation_context(config: &DeploymentConfig) -> ValidationContext {
    let effects = config.deployment.operations.iter().map(|o| o.idempotency);
    ValidationContext {
        operations: Some(
            config
                .operation_names
                .iter()
                .cloned()
                .zip(effects)
                .collect(),
        ),
        tenants: Some(config.tenant_names.clone()),
        ..ValidationContext::permissive()
    }
}

/// The same, with the bounds on sizes that follow from the node's limits.
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

/// Reads and checks a settings file.
pub fn read(path: &Path, known: &ValidationContext) -> Result<Settings, Diagnostics> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        let unreadable =
            settings::Diagnostic::new(Location::Whole, "", e.to_string(), "a file of settings");
        Diagnostics::new(&name, "", vec![unreadable])
    })?;
    settings::read(&name, &text, known)
}

/// Reads the keys of a cluster. A relative path starts at the directory of the settings file.
pub fn read_keys(settings: &Path, fleet: &ClusterSettings) -> Result<AuthKeys, SettingsError> {
    let path = settings.parent().unwrap_or(Path::new("")).join(&fleet.keys);
    read_key_file(&path).map_err(|problem| SettingsError::Keys { path, problem })
}

fn read_key_file(path: &Path) -> Result<AuthKeys, KeyFileProblem> {
    let size = std::fs::metadata(path)?.len();
    if size > KEY_FILE_MAX {
        return Err(KeyFileProblem::TooLarge(size));
    }
    let text = std::fs::read_to_string(path)?;
    AuthKeys::parse(&text).map_err(KeyFileProblem::Invalid)
}

/// The quotas by key of the whole cluster, from the buckets of the rules.
pub fn keyed_quotas(read: &Settings) -> Vec<KeyedQuota> {
    read.rules
        .iter()
        .flat_map(|rules| &rules.cluster_quotas)
        .map(|(_, quota)| quota.clone())
        .collect()
}

/// How rollouts that are started here proceed; the default plan without `<rollout>`.
pub fn plan(read: &Settings) -> Plan {
    read.rollout
        .as_ref()
        .map(|rollout| rollout.plan.clone())
        .unwrap_or_default()
}

/// Takes the rules out of the settings. Without rules the set is empty, so that earlier ones end.
pub fn take_rules(read: &mut Settings) -> Box<CompiledRuleSet> {
    let secret = read.cluster.as_ref().map_or(0, |fleet| fleet.secret);
    match read.rules.take() {
        Some(mut book) => {
            book.rules
                .use_common_secret(book.cluster_quotas.iter().map(|(place, _)| *place), secret);
            Box::new(CompiledRuleSet {
                rules: book.rules,
                buckets: book.buckets,
                quotas: book.cluster_quotas,
            })
        }
        None => Box::new(CompiledRuleSet::default()),
    }
}
