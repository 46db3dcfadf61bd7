//! Decodes the platform's JSON settings into a [`DeploymentConfig`].

use crate::DeploymentConfig;
use crate::error::DeploymentError;
use crate::fields::{amount, by_operation, count, distinct, one_of, positive_time, required, time};
use crate::settings::{Extra, Facts, Party, Service};
use madderpoint::{
    Deployment, Downstream, Idempotency, LoadReport, Nanos, Operation, Preemption, Tenant,
};

// The values of enumerated settings, by the name that the platform gives them.
const IDEMPOTENCY: [(&str, Idempotency); 3] = [
    ("read_like", Idempotency::Idempotent),
    ("idempotency_key", Idempotency::Keyed),
    ("non_idempotent", Idempotency::NonIdempotent),
];
const DOWNSTREAM: [(&str, Downstream); 3] = [
    ("none", Downstream::None),
    ("one_for_all", Downstream::SharedService),
    ("tier", Downstream::Tier),
];
const LOAD_REPORT: [(&str, LoadReport); 4] = [
    ("none", LoadReport::Disabled),
    ("floor", LoadReport::SheddingLevel),
    ("allowance", LoadReport::Credit),
    ("weight", LoadReport::Weight),
];
const PREEMPTION: [(&str, Preemption); 3] = [
    ("none", Preemption::Unsupported),
    ("discard", Preemption::Discard),
    ("freeze", Preemption::Suspend),
];
const WEIGHTED_BY_WORK: [(&str, bool); 2] = [("request", false), ("work", true)];

/// Decodes the settings and checks that every value is within its bounds.
///
/// # Errors
///
/// Returns an error for the first field that is missing, has the wrong type or is out of bounds.
pub fn decode(text: &[u8]) -> Result<DeploymentConfig, DeploymentError> {
    let settings = parse(text)?;
    let downstream = one_of(&settings.extra.downstream, "Extra.Below", &DOWNSTREAM)?;
    let (services, tenants) = (&settings.services, &settings.tenants);
    if services.is_empty() {
        return Err(DeploymentError::NoOperations);
    }
    count(services.len(), 1, "the number of Services")?;
    distinct(services.iter().map(|s| s.name.as_str()), "Services")?;
    distinct(tenants.iter().map(|t| t.name.as_str()), "Tenants")?;
    let operations = operations(services, &settings.extra, downstream)?;
    let deployment = deployment(&settings, downstream, operations)?;
    Ok(DeploymentConfig {
        deployment,
        operation_names: settings.services.into_iter().map(|s| s.name).collect(),
        tenant_names: settings.tenants.into_iter().map(|t| t.name).collect(),
        gauge_names: settings.extra.gauges,
        passes_deadline: settings.extra.passes_deadline,
    })
}

/// Parses the JSON object. Text after the object is an error.
fn parse(text: &[u8]) -> Result<Facts, DeploymentError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let settings = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let cause = error.inner().to_string();
        match error.path().to_string() {
            root if root == "." => DeploymentError::Malformed(cause),
            field => DeploymentError::WrongType { field, cause },
        }
    })?;
    json.end()
        .map_err(|error| DeploymentError::Malformed(error.to_string()))?;
    Ok(settings)
}

fn operations(
    services: &[Service],
    extra: &Extra,
    downstream: Downstream,
) -> Result<Vec<Operation>, DeploymentError> {
    let is_used = downstream != Downstream::None;
    let calls_downstream = by_operation(
        extra.class_calls.clone(),
        is_used,
        services.len(),
        false,
        "Extra.ClassCalls",
    )?;
    let weight_fractions = by_operation(
        extra.degraded_worth.clone(),
        is_used,
        services.len(),
        0.0,
        "Extra.DegradedWorth",
    )?;
    let mut operations = Vec::with_capacity(services.len());
    for (index, service) in services.iter().enumerate() {
        operations.push(operation(
            index,
            service,
            calls_downstream[index],
            weight_fractions[index],
        )?);
    }
    Ok(operations)
}

fn operation(
    index: usize,
    service: &Service,
    calls_downstream: bool,
    weight_fraction_without_call: f64,
) -> Result<Operation, DeploymentError> {
    let path = |field: &str| format!("Services[{index}].{field}");
    let idempotency = one_of(&service.idempotency, &path("Effect"), &IDEMPOTENCY)?;
    let window_path = path("DedupWindow");
    let idempotency_window = match idempotency {
        Idempotency::Keyed => {
            let reason = "required for operations with idempotency keys";
            let window = required(service.dedup_window, &window_path, reason)?;
            positive_time(window, &window_path)?
        }
        _ => time(service.dedup_window.unwrap_or(0.0), &window_path)?,
    };
    let latency_objective = positive_time(service.latency_objective, &path("Aim"))?;
    let client_timeout = positive_time(service.client_timeout, &path("Deadline"))?;
    Ok(Operation {
        idempotency,
        latency_objective: latency_objective.min(client_timeout),
        objective_per_work: amount(service.objective_per_work, &path("AimStretch"))?,
        client_timeout,
        idempotency_window,
        priority_weight: amount(service.points, &path("Points"))?,
        late_weight_fraction: amount(service.late_worth, &path("LateWorth"))?,
        calls_downstream,
        weight_fraction_without_call: amount(
            weight_fraction_without_call,
            &format!("Extra.DegradedWorth[{index}]"),
        )?,
    })
}

fn tenant(index: usize, tenant: &Party) -> Result<Tenant, DeploymentError> {
    let quota_per_s = amount(tenant.quota_rps, &format!("Tenants[{index}].QuotaRps"))?;
    Ok(Tenant { quota_per_s })
}

fn deployment(
    settings: &Facts,
    downstream: Downstream,
    operations: Vec<Operation>,
) -> Result<Deployment, DeploymentError> {
    let (ceilings, extra, rules) = (&settings.ceilings, &settings.extra, &settings.rules);
    // Settings of a shared downstream service. Without such a service they are optional and unused.
    let shared = |value: Option<f64>, field: &str| match (downstream, value) {
        (Downstream::SharedService, None) => Err(DeploymentError::Missing {
            field: field.to_owned(),
            reason: "required for a shared downstream service",
        }),
        (_, value) => amount(value.unwrap_or(0.0), field),
    };
    let shared_time = |value: Option<f64>, field: &str| -> Result<Nanos, DeploymentError> {
        time(shared(value, field)?, field)
    };
    let max_retry_after = time(ceilings.max_retry_after, "Ceilings.MaxRetryAfter")?;
    Ok(Deployment {
        cores: count(extra.cores, 1, "Extra.Cores")?,
        memory_kb: amount(extra.mem_limit_kb, "Extra.MemLimitKb")?,
        run_memory_factor: amount(extra.run_factor, "Extra.RunFactor")?,
        idempotency_key_kb: amount(extra.key_kb, "Extra.KeyKb")?,
        starts_cold: extra.starts_cold,
        cold_speed_fraction: amount(rules.cold_from, "Rules.ColdFrom")?,
        warm_up_time: time(rules.warm_up_time, "Rules.Cold")?,
        max_runnable_per_core: amount(rules.tip_multiple, "Rules.TipMultiple")?,
        drain_grace: time(rules.stop_sending_within, "Rules.StopSendingWithin")?,
        read_interval: time(settings.read_interval, "Step")?,
        nodes: count(settings.servers, 0, "Servers")?,
        load_balancers: count(extra.clients_total, 0, "Extra.ClientsTotal")?,
        client_idle_timeout: time(extra.client_idle_timeout, "Extra.Idle")?,
        downstream,
        downstream_call_limit: shared(extra.fair_calls, "Extra.FairCalls")?,
        downstream_call_window: shared_time(extra.calls_over, "Extra.CallsOver")?,
        abandoned_call_linger: shared_time(extra.linger, "Extra.Linger")?,
        preemption: one_of(&extra.preemption, "Extra.Halt", &PREEMPTION)?,
        load_report: one_of(&extra.load_report, "Extra.Advert", &LOAD_REPORT)?,
        shared_answer_ttl: time(extra.shared_answer_ttl, "Extra.Fresh")?,
        max_retry_after: if ceilings.retry_after {
            max_retry_after
        } else {
            0
        },
        weighted_by_work: one_of(&settings.worth_by, "WorthBy", &WEIGHTED_BY_WORK)?,
        over_quota_weight_fraction: amount(settings.over_share_worth, "OverShareWorth")?,
        operations,
        tenants: (settings.tenants.iter().enumerate())
            .map(|(index, settings)| tenant(index, settings))
            .collect::<Result<_, _>>()?,
    })
}
