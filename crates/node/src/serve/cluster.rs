//! What `<fleet>` of the settings means for this node: how it takes part in its cluster, and what
//! of that can change while it runs.

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

/// The UDP port of the cluster where none is set.
const DEFAULT_PORT: u16 = 7946;

/// The environment variables that take precedence over `<fleet>`, for what differs by node.
const BIND_VARIABLE: &str = "MADDERPOINT_FLEET_BIND";
const ADVERTISE_VARIABLE: &str = "MADDERPOINT_FLEET_ADVERTISE";
const ZONE_VARIABLE: &str = "MADDERPOINT_ZONE";

/// How the node takes part in its cluster; `None` without `<fleet>`. Bounds on bytes are left at 0:
/// they are set once all parts of the node are known.
pub fn participation(
    file: &Path,
    read: &Settings,
    config: &NodeConfig,
) -> Result<Option<Box<ClusterSetup>>, SettingsError> {
    let Some(fleet) = &read.cluster else {
        return Ok(None);
    };
    let (bind, advertise) = addresses(fleet, config)?;
    let settings = Config {
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
        settings: read.number,
        bytes: 0,
        features: FeatureToggles::default(),
    };
    let voters = fleet.voters.iter().map(|name| MemberKey::of(name).0);
    let service = fleet.service.as_ref().map(|service| SharedService {
        name: service.name.clone(),
        slow_call_threshold: service.slow,
        zone: io::zone_number(&settings.zone),
    });
    let operations = &config.deployment.deployment.operations;
    Ok(Some(Box::new(ClusterSetup {
        bind,
        settings,
        voters: voters.collect(),
        budgets: fleet.budgets.clone(),
        quotas: keyed_quotas(read),
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

/// The address that the node's socket is bound to, and the one under which others reach it.
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

/// Whether two lists hold the same budgets, apart from their figures.
fn are_same_kinds(a: &[Budget], b: &[Budget]) -> bool {
    let kind = |budget: &Budget| {
        (
            budget.name.clone(),
            matches!(budget.kind, BudgetKind::Rate { .. }),
        )
    };
    a.iter().map(kind).eq(b.iter().map(kind))
}

/// The fields of `<fleet>` that differ and can change with a restart only.
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

/// What of new settings takes effect in the running cluster part.
pub fn update(
    read: &Settings,
    new: &ClusterSettings,
    current: &ClusterSettings,
    keys: AuthKeys,
) -> Box<ClusterSettingsUpdate> {
    // Limits may change; budgets that come or go, or are of another kind, wait for a restart.
    let budgets = if are_same_kinds(&new.budgets, &current.budgets) {
        &new.budgets
    } else {
        &current.budgets
    };
    Box::new(ClusterSettingsUpdate {
        keys,
        seeds: new.seeds.clone(),
        timing: new.timing,
        number: read.number,
        budgets: budgets.clone(),
        quotas: keyed_quotas(read),
        plan: read.rollout.as_ref().map(|rollout| rollout.plan.clone()),
    })
}
