//! The settings that a node is handed at its start, as the library's [`Premises`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use madderpoint::{Advert, Below, Effect, Gauges, Halt, Operation, Premises, Tenant};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Facts {
    #[serde(default)]
    ceilings: Ceilings,
    extra: Extra,
    #[serde(default)]
    over_share_worth: f64,
    rules: Rules,
    servers: usize,
    services: Vec<Service>,
    #[serde(default)]
    step: f64,
    #[serde(default)]
    tenants: Vec<Party>,
    #[serde(default)]
    worth_by: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Ceilings {
    max_retry_after: f64,
    retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Extra {
    advert: String,
    below: String,
    #[serde(default)]
    calls_over: f64,
    #[serde(default)]
    class_calls: Vec<bool>,
    #[serde(default)]
    clients_total: usize,
    #[serde(default)]
    cold: bool,
    cores: usize,
    #[serde(default)]
    degraded_worth: Vec<f64>,
    #[serde(default)]
    fair_calls: f64,
    #[serde(default)]
    fresh: f64,
    #[serde(default)]
    gauges: Vec<String>,
    halt: String,
    #[serde(default)]
    idle: f64,
    #[serde(default)]
    key_kb: f64,
    #[serde(default)]
    linger: f64,
    mem_limit_kb: f64,
    #[serde(default)]
    passes_deadline: bool,
    run_factor: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Rules {
    #[serde(default)]
    cold: f64,
    #[serde(default)]
    cold_from: f64,
    #[serde(default)]
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
    #[serde(default)]
    dedup_window: f64,
    effect: String,
    #[serde(default)]
    name: String,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    points: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Party {
    #[serde(default)]
    name: String,
    quota_rps: f64,
}

/// What a node is told at its start.
#[derive(Clone)]
pub struct Start {
    /// What the decisions go by.
    pub premises: Premises,
    /// Names of the operations, in their order.
    pub operations: Vec<String>,
    /// Names of the tenants, in their order.
    pub tenants: Vec<String>,
    /// Names of the gauges, in the order of their values.
    pub gauges: Vec<String>,
    /// Whether invocations say how long their caller waits.
    pub passes_deadline: bool,
}

impl Start {
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

fn nanos(seconds: f64, name: &str) -> Result<u64, String> {
    if !seconds.is_finite() || seconds < 0.0 {
        return Err(format!("{name} is {seconds}, not a time"));
    }
    Ok((seconds * 1e9).round() as u64)
}

fn word<T: Copy>(value: &str, name: &str, words: &[(&str, T)]) -> Result<T, String> {
    let found = words.iter().find(|(w, _)| *w == value);
    found.map(|(_, t)| *t).ok_or_else(|| format!("{name} is unknown: {value:?}"))
}

/// Decodes the settings and checks that the figures can be worked with.
pub fn decode(text: &[u8]) -> Result<Start, String> {
    let facts: Facts = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let Facts { extra, rules, .. } = facts;
    let numbers = [
        ("Extra.MemLimitKb", extra.mem_limit_kb),
        ("Extra.KeyKb", extra.key_kb),
        ("Extra.FairCalls", extra.fair_calls),
        ("Extra.RunFactor", extra.run_factor),
        ("Rules.TipMultiple", rules.tip_multiple),
        ("Rules.ColdFrom", rules.cold_from),
        ("OverShareWorth", facts.over_share_worth),
    ];
    if let Some((name, value)) = numbers.iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
        return Err(format!("{name} is {value}"));
    }
    if extra.cores == 0 {
        return Err("Extra.Cores is 0".into());
    }
    if facts.services.is_empty() {
        return Err("Services is empty".into());
    }
    let effects = [
        ("read_like", Effect::Idempotent),
        ("idempotency_key", Effect::Tokened),
        ("non_idempotent", Effect::NonIdempotent),
    ];
    let mut operations = Vec::new();
    for (i, s) in facts.services.iter().enumerate() {
        let factors = [s.points, s.late_worth, s.aim_stretch];
        if factors.iter().any(|f| !f.is_finite() || *f < 0.0) {
            return Err(format!("Services[{i}] has a negative figure"));
        }
        operations.push(Operation {
            effect: word(&s.effect, "Services[].Effect", &effects)?,
            latency_objective: nanos(s.aim.min(s.deadline), "Services[].Aim")?,
            objective_stretch: s.aim_stretch,
            client_timeout: nanos(s.deadline, "Services[].Deadline")?,
            repeat_window: nanos(s.dedup_window, "Services[].DedupWindow")?,
            billed_value: s.points,
            late_share: s.late_worth,
            calls_below: extra.class_calls.get(i).copied().unwrap_or(true),
            share_without_call: extra.degraded_worth.get(i).copied().unwrap_or(0.0),
        });
    }
    let adverts = [
        ("none", Advert::No),
        ("floor", Advert::Level),
        ("allowance", Advert::Credit),
        ("weight", Advert::Weight),
    ];
    let belows = [("none", Below::Nothing), ("one_for_all", Below::Shared), ("tier", Below::Tier)];
    let halts = [("none", Halt::No), ("discard", Halt::Discard), ("freeze", Halt::Freeze)];
    let longest_pause = if facts.ceilings.retry_after { facts.ceilings.max_retry_after } else { 0.0 };
    let premises = Premises {
        cores: extra.cores,
        memory_kb: extra.mem_limit_kb,
        run_memory_factor: extra.run_factor,
        key_kb: extra.key_kb,
        cold: extra.cold,
        cold_speed: rules.cold_from,
        warm_after: nanos(rules.cold, "Rules.Cold")?,
        crowd_per_core: rules.tip_multiple,
        drain_grace: nanos(rules.stop_sending_within, "Rules.StopSendingWithin")?,
        step: nanos(facts.step, "Step")?,
        nodes: facts.servers,
        dispatchers: extra.clients_total,
        longest_idle: nanos(extra.idle, "Extra.Idle")?,
        below: word(&extra.below, "Extra.Below", &belows)?,
        call_share: extra.fair_calls,
        call_span: nanos(extra.calls_over, "Extra.CallsOver")?,
        call_linger: nanos(extra.linger, "Extra.Linger")?,
        halt: word(&extra.halt, "Extra.Halt", &halts)?,
        advert: word(&extra.advert, "Extra.Advert", &adverts)?,
        answer_fresh: nanos(extra.fresh, "Extra.Fresh")?,
        longest_pause: nanos(longest_pause, "Ceilings.MaxRetryAfter")?,
        billed_by_work: facts.worth_by == "work",
        over_share_value: facts.over_share_worth,
        operations,
        tenants: facts.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_rps }).collect(),
    };
    Ok(Start {
        premises,
        operations: facts.services.into_iter().map(|s| s.name).collect(),
        tenants: facts.tenants.into_iter().map(|t| t.name).collect(),
        gauges: extra.gauges,
        passes_deadline: extra.passes_deadline,
    })
}
