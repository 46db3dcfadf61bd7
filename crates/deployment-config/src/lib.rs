//! The settings that a node is handed at its start, as the library's [`Deployment`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use madderpoint::{
    Deployment, Downstream, Gauges, Idempotency, LoadReport, Operation, Preemption, Tenant,
};
use serde::Deserialize;
use std::collections::HashSet;

// What may be absent is optional here, and so is what only some sites have a use for; all else is
// asked for by name.

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Facts {
    ceilings: Ceilings,
    extra: Extra,
    over_share_worth: f64,
    rules: Rules,
    servers: usize,
    services: Vec<Service>,
    step: f64,
    #[serde(default)]
    tenants: Vec<Party>,
    worth_by: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Ceilings {
    max_retry_after: f64,
    retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Extra {
    advert: String,
    below: String,
    calls_over: Option<f64>,
    class_calls: Option<Vec<bool>>,
    clients_total: usize,
    cold: bool,
    cores: usize,
    degraded_worth: Option<Vec<f64>>,
    fair_calls: Option<f64>,
    fresh: f64,
    gauges: Vec<String>,
    halt: String,
    idle: f64,
    key_kb: f64,
    linger: Option<f64>,
    mem_limit_kb: f64,
    #[serde(default)]
    passes_deadline: bool,
    run_factor: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Rules {
    cold: f64,
    cold_from: f64,
    stop_sending_within: f64,
    tip_multiple: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    aim: f64,
    #[serde(default)]
    aim_stretch: f64,
    deadline: f64,
    dedup_window: Option<f64>,
    effect: String,
    name: String,
    late_worth: f64,
    points: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Party {
    name: String,
    quota_rps: f64,
}

/// What a node is told at its start.
#[derive(Clone)]
pub struct DeploymentConfig {
    /// What the decisions go by.
    pub deployment: Deployment,
    /// Names of the operations, in their order.
    pub operations: Vec<String>,
    /// Names of the tenants, in their order.
    pub tenants: Vec<String>,
    /// Names of the gauges, in the order of their values.
    pub gauges: Vec<String>,
    /// Whether invocations say how long their caller waits.
    pub passes_deadline: bool,
}

impl DeploymentConfig {
    /// The gauges' values by their names.
    pub fn gauges(&self, values: impl Iterator<Item = f64>) -> Gauges {
        let mut gauges = Gauges::default();
        for (name, value) in self.gauges.iter().zip(values) {
            match name.as_str() {
                "cpu_busy" => gauges.cpu_busy = Some(value),
                "runnable" => gauges.runnable = Some(value),
                "mem_used" => gauges.memory_used = Some(value),
                "sockets" => gauges.connections = Some(value),
                _ => {}
            }
        }
        gauges
    }
}

/// The longest time that makes sense: a hundred days. What is longer is a mistake of the unit.
const LONGEST: f64 = 8_640_000.0;
/// Cores, nodes, dispatchers and operations beyond this are no machine's and no site's.
const MOST: usize = 1 << 20;

fn nanos(seconds: f64, name: &str) -> Result<u64, String> {
    if !(0.0..=LONGEST).contains(&seconds) {
        return Err(format!("{name} is {seconds}, not a time"));
    }
    Ok((seconds * 1e9).round() as u64)
}

fn positive(seconds: f64, name: &str) -> Result<u64, String> {
    match nanos(seconds, name)? {
        0 => Err(format!("{name} is {seconds}, which leaves no time")),
        time => Ok(time),
    }
}

/// A figure that is a share, a factor or an amount: any number from 0 on.
fn figure(value: f64, name: &str) -> Result<f64, String> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(format!("{name} is {value}"))
    }
}

fn count(value: usize, least: usize, name: &str) -> Result<usize, String> {
    if (least..=MOST).contains(&value) {
        Ok(value)
    } else {
        Err(format!("{name} is {value}"))
    }
}

fn needed<T>(value: Option<T>, name: &str, why: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("{name} is missing: {why}"))
}

fn word<T: Copy>(value: &str, name: &str, words: &[(&str, T)]) -> Result<T, String> {
    let found = words.iter().find(|(w, _)| *w == value);
    found
        .map(|(_, t)| *t)
        .ok_or_else(|| format!("{name} is unknown: {value:?}"))
}

/// Names by which requests are told apart.
fn distinct<'a>(names: impl Iterator<Item = &'a str>, what: &str) -> Result<(), String> {
    let mut seen = HashSet::new();
    for (i, name) in names.enumerate() {
        if name.is_empty() {
            return Err(format!("{what}[{i}].Name is empty"));
        }
        if !seen.insert(name) {
            return Err(format!("{what}[{i}].Name stands twice: {name:?}"));
        }
    }
    Ok(())
}

/// One for each operation, or nothing where no operation has a use for it.
fn for_each<T: Clone>(
    values: Option<Vec<T>>,
    has_use: bool,
    of: usize,
    none: T,
    name: &str,
) -> Result<Vec<T>, String> {
    match values {
        None if has_use => Err(format!(
            "{name} is missing: there is something below to be called"
        )),
        None => Ok(vec![none; of]),
        Some(values) if values.len() != of => Err(format!(
            "{name} has {} values for {of} operations",
            values.len()
        )),
        Some(values) => Ok(values),
    }
}

/// Decodes the settings and checks that the figures can be worked with. An error names the field.
pub fn decode(text: &[u8]) -> Result<DeploymentConfig, String> {
    let mut read = serde_json::Deserializer::from_slice(text);
    let facts: Facts =
        serde_path_to_error::deserialize(&mut read).map_err(|e| match e.path().to_string() {
            path if path == "." => e.inner().to_string(),
            path => format!("{path}: {}", e.inner()),
        })?;
    read.end().map_err(|e| e.to_string())?;
    let Facts {
        ceilings,
        extra,
        rules,
        services,
        tenants,
        ..
    } = facts;
    let belows = [
        ("none", Downstream::None),
        ("one_for_all", Downstream::SharedService),
        ("tier", Downstream::Tier),
    ];
    let below = word(&extra.below, "Extra.Below", &belows)?;
    if services.is_empty() {
        return Err("Services is empty".into());
    }
    count(services.len(), 1, "the number of Services")?;
    distinct(services.iter().map(|s| s.name.as_str()), "Services")?;
    distinct(tenants.iter().map(|t| t.name.as_str()), "Tenants")?;
    let calls = below != Downstream::None;
    let class_calls = for_each(
        extra.class_calls,
        calls,
        services.len(),
        false,
        "Extra.ClassCalls",
    )?;
    let degraded = for_each(
        extra.degraded_worth,
        calls,
        services.len(),
        0.0,
        "Extra.DegradedWorth",
    )?;
    let effects = [
        ("read_like", Idempotency::Idempotent),
        ("idempotency_key", Idempotency::Keyed),
        ("non_idempotent", Idempotency::NonIdempotent),
    ];
    let mut operations = Vec::new();
    for (i, s) in services.iter().enumerate() {
        let at = |field: &str| format!("Services[{i}].{field}");
        let effect = word(&s.effect, &at("Effect"), &effects)?;
        let window = match effect {
            Idempotency::Keyed => {
                let why = "its repeats are known for so long";
                positive(
                    needed(s.dedup_window, &at("DedupWindow"), why)?,
                    &at("DedupWindow"),
                )?
            }
            _ => nanos(s.dedup_window.unwrap_or(0.0), &at("DedupWindow"))?,
        };
        operations.push(Operation {
            idempotency: effect,
            latency_objective: positive(s.aim, &at("Aim"))?
                .min(positive(s.deadline, &at("Deadline"))?),
            objective_per_work: figure(s.aim_stretch, &at("AimStretch"))?,
            client_timeout: positive(s.deadline, &at("Deadline"))?,
            idempotency_window: window,
            priority_weight: figure(s.points, &at("Points"))?,
            late_weight_fraction: figure(s.late_worth, &at("LateWorth"))?,
            calls_downstream: class_calls[i],
            weight_fraction_without_call: figure(
                degraded[i],
                &format!("Extra.DegradedWorth[{i}]"),
            )?,
        });
    }
    let adverts = [
        ("none", LoadReport::Disabled),
        ("floor", LoadReport::SheddingLevel),
        ("allowance", LoadReport::Credit),
        ("weight", LoadReport::Weight),
    ];
    let halts = [
        ("none", Preemption::Unsupported),
        ("discard", Preemption::Discard),
        ("freeze", Preemption::Suspend),
    ];
    let shared = |value: Option<f64>, name: &str| match (below, value) {
        (Downstream::SharedService, None) => {
            Err(format!("{name} is missing: all nodes share what is below"))
        }
        (_, value) => figure(value.unwrap_or(0.0), name),
    };
    let max_retry_after = nanos(ceilings.max_retry_after, "Ceilings.MaxRetryAfter")?;
    let by = [("request", false), ("work", true)];
    let tenant = |(i, t): (usize, &Party)| {
        let quota_per_s = figure(t.quota_rps, &format!("Tenants[{i}].QuotaRps"))?;
        Ok::<Tenant, String>(Tenant { quota_per_s })
    };
    let deployment = Deployment {
        cores: count(extra.cores, 1, "Extra.Cores")?,
        memory_kb: figure(extra.mem_limit_kb, "Extra.MemLimitKb")?,
        run_memory_factor: figure(extra.run_factor, "Extra.RunFactor")?,
        idempotency_key_kb: figure(extra.key_kb, "Extra.KeyKb")?,
        starts_cold: extra.cold,
        cold_speed_fraction: figure(rules.cold_from, "Rules.ColdFrom")?,
        warm_up_time: nanos(rules.cold, "Rules.Cold")?,
        max_runnable_per_core: figure(rules.tip_multiple, "Rules.TipMultiple")?,
        drain_grace: nanos(rules.stop_sending_within, "Rules.StopSendingWithin")?,
        read_interval: nanos(facts.step, "Step")?,
        nodes: count(facts.servers, 0, "Servers")?,
        load_balancers: count(extra.clients_total, 0, "Extra.ClientsTotal")?,
        client_idle_timeout: nanos(extra.idle, "Extra.Idle")?,
        downstream: below,
        downstream_call_limit: shared(extra.fair_calls, "Extra.FairCalls")?,
        downstream_call_window: nanos(
            shared(extra.calls_over, "Extra.CallsOver")?,
            "Extra.CallsOver",
        )?,
        abandoned_call_linger: nanos(shared(extra.linger, "Extra.Linger")?, "Extra.Linger")?,
        preemption: word(&extra.halt, "Extra.Halt", &halts)?,
        load_report: word(&extra.advert, "Extra.Advert", &adverts)?,
        shared_answer_ttl: nanos(extra.fresh, "Extra.Fresh")?,
        max_retry_after: if ceilings.retry_after {
            max_retry_after
        } else {
            0
        },
        weighted_by_work: word(&facts.worth_by, "WorthBy", &by)?,
        over_quota_weight_fraction: figure(facts.over_share_worth, "OverShareWorth")?,
        operations,
        tenants: tenants
            .iter()
            .enumerate()
            .map(tenant)
            .collect::<Result<_, _>>()?,
    };
    Ok(DeploymentConfig {
        deployment,
        operations: services.into_iter().map(|s| s.name).collect(),
        tenants: tenants.into_iter().map(|t| t.name).collect(),
        gauges: extra.gauges,
        passes_deadline: extra.passes_deadline,
    })
}

#[cfg(test)]
mod tests;
