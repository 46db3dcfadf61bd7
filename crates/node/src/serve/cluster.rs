//! Conversion of the settings' `<fleet>` to this node's part in its cluster, and of changed settings
//! to an update of the running node.

use super::environment;
use super::settings::{SettingsError, keyed_quotas, read_keys};
use madderpoint_membership::FeatureToggles;
use madderpoint_membership::datagram_auth::AuthKeys;
use madderpoint_membership::{Config, MemberKey};
use madderpoint_node::config::NodeConfig;
use madderpoint_node::io::{self, ClusterSettingsUpdate, ClusterSetup};
use madderpoint_node::node::SharedService;
use madderpoint_settings::{ClusterSettings, Settings};
use madderpoint_shared_state::{Budget, BudgetKind};
use std::net::SocketAddr;
use std::path::Path;

/// The default UDP port of the cluster.
const DEFAULT_PORT: u16 = 7946;

// Environment variables that take precedence over attributes of `<fleet>` that differ between nodes.
const BIND_VARIABLE: &str = "MADDERPOINT_FLEET_BIND";
const ADVERTISE_VARIABLE: &str = "MADDERPOINT_FLEET_ADVERTISE";
const ZONE_VARIABLE: &str = "MADDERPOINT_ZONE";

/// Returns the node's part in its cluster; `None` without `<fleet>`. Bounds in bytes are left at 0 and
/// are set once all parts of the node are known.
pub fn participation(
    file: &Path,
    settings: &Settings,
    config: &NodeConfig,
) -> Result<Option<Box<ClusterSetup>>, SettingsError> {
    let Some(fleet) = &settings.cluster else {
        return Ok(None);
    };
    let (bind, advertise) = addresses(fleet, config)?;
    let membership_config = Config {
        cluster_name: fleet.name.clone(),
        name: config.name.clone(),
        zone: environment(ZONE_VARIABLE)
            .or_else(|| fleet.zone.clone())
            .unwrap_or_default(),
        address: advertise,
        seeds: fleet.seeds.clone(),
        keys: read_keys(file, fleet)?,
        timing: fleet.timing,
        program: fleet
            .program
            .clone()
            .unwrap_or_else(|| env!("CARGO_PKG_VERSION").to_owned()),
        settings: settings.number,
        bytes: 0,
        features: FeatureToggles::default(),
    };
    let voters = fleet.voters.iter().map(|name| MemberKey::of(name).0);
    let service = fleet.service.as_ref().map(|service| SharedService {
        name: service.name.clone(),
        slow_call_threshold: service.slow,
        zone: io::zone_number(&membership_config.zone),
    });
    let operations = &config.deployment.deployment.operations;
    Ok(Some(Box::new(ClusterSetup {
        bind,
        settings: membership_config,
        voters: voters.collect(),
        budgets: fleet.budgets.clone(),
        quotas: keyed_quotas(settings),
        quota_lender_bytes: 0,
        service,
        operations: config.deployment.operation_names.clone(),
        objectives: operations
            .iter()
            .map(|operation| operation.latency_objective)
            .collect(),
        counter_bytes: 0,
        awaits_address: false,
        rollouts: Vec::new(),
        rollout_bytes: 0,
    })))
}

/// Returns the address to bind the node's UDP socket to, and the address that it advertises to other
/// nodes.
fn addresses(
    fleet: &ClusterSettings,
    config: &NodeConfig,
) -> Result<(SocketAddr, SocketAddr), SettingsError> {
    let address = |variable: &'static str, set: Option<SocketAddr>| match environment(variable) {
        Some(text) => match text.parse() {
            Ok(address) => Ok(Some(address)),
            Err(_) => Err(SettingsError::Address { variable, text }),
        },
        None => Ok(set),
    };
    let default = SocketAddr::new(config.listen.ip(), DEFAULT_PORT);
    let bind = address(BIND_VARIABLE, fleet.bind)?.unwrap_or(default);
    let advertise = address(ADVERTISE_VARIABLE, fleet.advertise)?.unwrap_or(bind);
    if advertise.ip().is_unspecified() || advertise.port() == 0 {
        return Err(SettingsError::Unreachable(advertise));
    }
    Ok((bind, advertise))
}

/// Whether two lists have budgets of the same names and kinds in the same order. Their limits may
/// differ.
fn are_same_kinds(a: &[Budget], b: &[Budget]) -> bool {
    let kind = |budget: &Budget| {
        (
            budget.name.clone(),
            matches!(budget.kind, BudgetKind::Rate { .. }),
        )
    };
    a.iter().map(kind).eq(b.iter().map(kind))
}

/// Returns the fields of `<fleet>` that differ and only take effect with a restart.
pub fn fields_needing_restart(
    new: &ClusterSettings,
    current: &ClusterSettings,
) -> Vec<&'static str> {
    let fields = [
        ("name", new.name == current.name),
        ("zone", new.zone == current.zone),
        ("bind", new.bind == current.bind),
        ("advertise", new.advertise == current.advertise),
        ("program", new.program == current.program),
        ("arbiter", new.voters == current.voters),
        (
            "calls-budget",
            are_same_kinds(&new.budgets, &current.budgets),
        ),
        ("service", new.service == current.service),
    ];
    fields
        .iter()
        .filter(|(_, is_same)| !is_same)
        .map(|(field, _)| *field)
        .collect()
}

/// Returns the part of new settings that takes effect in the running cluster thread.
pub fn update(
    settings: &Settings,
    new: &ClusterSettings,
    current: &ClusterSettings,
    keys: AuthKeys,
) -> Box<ClusterSettingsUpdate> {
    // Limits of budgets may change. Added, removed or different budgets need a restart.
    let budgets = if are_same_kinds(&new.budgets, &current.budgets) {
        &new.budgets
    } else {
        &current.budgets
    };
    Box::new(ClusterSettingsUpdate {
        keys,
        seeds: new.seeds.clone(),
        timing: new.timing,
        number: settings.number,
        budgets: budgets.clone(),
        quotas: keyed_quotas(settings),
        plan: settings
            .rollout
            .as_ref()
            .map(|rollout| rollout.plan.clone()),
    })
}
