//! The settings as the platform writes them. The JSON names are the platform's; `decode` maps them
//! to the library's terms. The types too have the platform's names, since errors show them. Times
//! are in seconds. What may be absent is optional here, and so is what only some deployments have a
//! use for; all else is asked for by name, and unknown keys are skipped.

use serde::Deserialize;

/// All settings.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Facts {
    pub(crate) ceilings: Ceilings,
    pub(crate) extra: Extra,
    pub(crate) over_share_worth: f64,
    pub(crate) rules: Rules,
    pub(crate) servers: usize,
    pub(crate) services: Vec<Service>,
    #[serde(rename = "Step")]
    pub(crate) read_interval: f64,
    #[serde(default)]
    pub(crate) tenants: Vec<Party>,
    pub(crate) worth_by: String,
}

/// What load balancers honour at most.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Ceilings {
    pub(crate) max_retry_after: f64,
    pub(crate) retry_after: bool,
}

/// Facts about this node and its surroundings.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Extra {
    #[serde(rename = "Advert")]
    pub(crate) load_report: String,
    #[serde(rename = "Below")]
    pub(crate) downstream: String,
    pub(crate) calls_over: Option<f64>,
    pub(crate) class_calls: Option<Vec<bool>>,
    pub(crate) clients_total: usize,
    #[serde(rename = "Cold")]
    pub(crate) starts_cold: bool,
    pub(crate) cores: usize,
    pub(crate) degraded_worth: Option<Vec<f64>>,
    pub(crate) fair_calls: Option<f64>,
    #[serde(rename = "Fresh")]
    pub(crate) shared_answer_ttl: f64,
    pub(crate) gauges: Vec<String>,
    #[serde(rename = "Halt")]
    pub(crate) preemption: String,
    #[serde(rename = "Idle")]
    pub(crate) client_idle_timeout: f64,
    pub(crate) key_kb: f64,
    pub(crate) linger: Option<f64>,
    pub(crate) mem_limit_kb: f64,
    #[serde(default)]
    pub(crate) passes_deadline: bool,
    pub(crate) run_factor: f64,
}

/// What the platform expects of every node.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Rules {
    #[serde(rename = "Cold")]
    pub(crate) warm_up_time: f64,
    pub(crate) cold_from: f64,
    pub(crate) stop_sending_within: f64,
    pub(crate) tip_multiple: f64,
}

/// An operation.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Service {
    #[serde(rename = "Aim")]
    pub(crate) latency_objective: f64,
    #[serde(default, rename = "AimStretch")]
    pub(crate) objective_per_work: f64,
    #[serde(rename = "Deadline")]
    pub(crate) client_timeout: f64,
    pub(crate) dedup_window: Option<f64>,
    #[serde(rename = "Effect")]
    pub(crate) idempotency: String,
    pub(crate) name: String,
    pub(crate) late_worth: f64,
    pub(crate) points: f64,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Party {
    pub(crate) name: String,
    pub(crate) quota_rps: f64,
}
