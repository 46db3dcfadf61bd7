//! The settings as the platform writes them. The JSON names are the platform's; `decode` maps them
//! to the library's terms. The types have the platform's names too, since errors show them. Times
//! are in seconds. Fields that only some deployments use are optional here, and `decode` checks
//! whether they are required; all other fields must be present. Unknown keys are skipped.

use serde::Deserialize;

/// The root object of the settings.
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

/// How far load balancers follow a node's requests to hold back.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Ceilings {
    pub(crate) max_retry_after: f64,
    pub(crate) retry_after: bool,
}

/// Properties of this node, its downstream and its load balancers.
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

/// The platform's rules for every node: warm-up, drain and the limit of runnable executions.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Rules {
    #[serde(rename = "Cold")]
    pub(crate) warm_up_time: f64,
    pub(crate) cold_from: f64,
    pub(crate) stop_sending_within: f64,
    pub(crate) tip_multiple: f64,
}

/// An operation and its agreed latency, idempotency and weight.
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

/// A tenant and its quota.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Party {
    pub(crate) name: String,
    pub(crate) quota_rps: f64,
}
