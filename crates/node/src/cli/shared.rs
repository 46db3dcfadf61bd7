//! `madderpoint shared`: prints the status of the shared state of a running node, as text, table or
//! JSON. Other programs read the JSON, so its names must not change.

use super::arguments::Format;
use super::error::{CommandError, CommandResult};
use super::node_query::NodeQuery;
use clap::Subcommand;
use madderpoint_shared_state::counters::COLUMNS;
use madderpoint_shared_state::status::{
    BudgetStatus, CounterRowStatus, CounterStatus, LenderStatus, QuotaStatus, ServiceStatus,
    StatusSnapshot, column_heads,
};
use prost::Message;
use serde_json::{Map, Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Number of times `explain` requests a page of the status before it gives up.
const EXPLAIN_TRIES: u32 = 12;
/// Maximum number of heavy keys of each kind in the table.
const MAX_HEAVY_KEYS: usize = 5;

/// Sub-commands of `madderpoint shared`.
#[derive(Subcommand)]
pub enum Command {
    /// Explain the shared state of a running node: its leases of the fleet's budgets and keyed
    /// quotas, and its state of the backend service, with the reasons.
    #[command(
        after_help = "Example: madderpoint shared explain --settings translator.xml --at 10.0.0.4:7946"
    )]
    Explain {
        /// Settings file with the fleet's name and keys.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// UDP address on which the node receives the fleet's datagrams.
        #[arg(long = "at", value_name = "ADDRESS")]
        node: SocketAddr,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
}

impl Command {
    /// Runs the command.
    pub fn run(self) -> CommandResult {
        match self {
            Command::Explain {
                settings,
                node,
                format,
            } => explain(&settings, node, format),
        }
    }
}

/// Requests the status of a node's shared state, each page up to `tries` times. Returns `None` if a
/// page does not arrive, for example because the node has no shared state.
pub fn request_status(
    settings: &Path,
    node: SocketAddr,
    tries: u32,
) -> Result<Option<StatusSnapshot>, CommandError> {
    let bytes = NodeQuery::for_topic(settings, node, madderpoint_node::io::SHARED_STATE_TOPIC)?
        .request_status_pages(tries)?;
    bytes
        .map(|bytes| {
            StatusSnapshot::decode(bytes.as_slice())
                .map_err(|source| CommandError::MalformedStatus { node, source })
        })
        .transpose()
}

fn explain(settings: &Path, node: SocketAddr, format: Format) -> CommandResult {
    let status =
        request_status(settings, node, EXPLAIN_TRIES)?.ok_or(CommandError::NoSharedState(node))?;
    match format {
        Format::Json => println!("{:#}", as_json(&status)),
        Format::Text => {
            println!("{}:", status.node);
            status
                .explain()
                .iter()
                .for_each(|line| println!("  {line}"));
        }
    }
    Ok(true)
}

/// Prints the status as a table.
pub fn print(status: &StatusSnapshot) {
    status.explain().iter().for_each(|line| println!("{line}"));
    if status.rows.is_empty() {
        return;
    }
    println!(
        "counts of {} processes and {} retired ones, {:.1} s old; each as last minute/total:",
        status.processes,
        status.retired,
        status.totals_age_ms as f64 / 1e3
    );
    for row in &status.rows {
        let heads = column_heads(row.name.is_empty());
        let name = if row.name.is_empty() {
            "processes"
        } else {
            &row.name
        };
        let mut line = format!("{name:<16}");
        for (column, head) in heads.iter().enumerate() {
            let number = |counts: &[u64]| counts.get(column).copied().unwrap_or(0);
            line += &format!("  {head} {}/{}", number(&row.minute), number(&row.total));
        }
        if row.p99_us > 0 {
            line += &format!(
                "  p50 {:.1} ms, p99 {:.1} ms",
                row.p50_us as f64 / 1e3,
                row.p99_us as f64 / 1e3
            );
        }
        println!("{line}");
    }
    print_heavy_keys(status);
    status
        .event_counts
        .iter()
        .for_each(|count| println!("{:>8}  {}", count.times, count.name));
}

fn print_heavy_keys(status: &StatusSnapshot) {
    for kind in ["caller ", "caller that repeats ", "key over a limit "] {
        let counters = status.heavy.iter().filter(|count| {
            count.name.starts_with(kind)
                && (kind != "caller " || !count.name.starts_with("caller that"))
        });
        counters
            .take(MAX_HEAVY_KEYS)
            .for_each(|count| println!("{:>8}  {}", count.times, count.name));
    }
}

fn row(row: &CounterRowStatus) -> Value {
    let heads = column_heads(row.name.is_empty());
    let numbers = |counts: &[u64]| -> Map<String, Value> {
        (0..COLUMNS)
            .map(|column| {
                (
                    heads[column].to_owned(),
                    json!(counts.get(column).copied().unwrap_or(0)),
                )
            })
            .collect()
    };
    json!({"name": row.name, "minute": numbers(&row.minute), "total": numbers(&row.total),
        "p50_us": row.p50_us, "p99_us": row.p99_us})
}

fn budget(budget: &BudgetStatus) -> Value {
    let lease = budget.lease.as_ref().map(|lease| {
        json!({
            "units": lease.units,
            "asked_ms": lease.requested_ms_ago,
            "came_ms": lease.granted_ms_ago,
            "term_ms": lease.duration_ms,
            "wanted": lease.total_demand,
            "borrowers": lease.borrowers,
            "pool": lease.pool,
        })
    });
    json!({
        "name": budget.name,
        "kind": if budget.is_rate { "a-second" } else { "in-hand" },
        "limit": budget.limit,
        "floor": budget.floor,
        "nodes_most": budget.max_nodes,
        "repeats_only": budget.retries_only,
        "units": budget.units,
        "wants": budget.demand,
        "in_hand": budget.in_flight,
        "allowed": budget.allowed,
        "refused": budget.refused,
        "part": lease,
    })
}

fn quota(quota: &QuotaStatus) -> Value {
    json!({
        "name": quota.name,
        "count": quota.count,
        "period_ms": quota.period_ms,
        "burst": quota.burst,
        "floor": quota.floor,
        "nodes_most": quota.max_nodes,
        "lent": quota.by_lease,
        "by_floor": quota.by_floor,
        "refused": quota.refused,
        "units": quota.units,
        "keys": quota.keys,
    })
}

fn service(service: &ServiceStatus) -> Value {
    json!({
        "name": service.name,
        "mode": service.state,
        "since_ms": service.since_ms,
        "level": service.admitted_share,
        "tries": service.calls,
        "failed": service.failed,
        "witnesses": service.reporters,
        "ill": service.failing,
        "zones": service.zones,
        "ill_zones": service.failing_zones,
        "prober": service.is_prober,
        "alone": service.is_alone,
        "passed": service.admitted,
        "kept_back": service.withheld,
    })
}

fn lender(lender: &LenderStatus) -> Value {
    json!({
        "name": lender.name,
        "out": lender.outstanding,
        "pool": lender.pool,
        "borrowers": lender.borrowers,
    })
}

fn counter(counter: &CounterStatus) -> Value {
    json!({"what": counter.name, "times": counter.times})
}

fn list<T>(items: &[T], as_json: impl Fn(&T) -> Value) -> Value {
    items.iter().map(as_json).collect()
}

/// Returns the status as JSON.
pub fn as_json(status: &StatusSnapshot) -> Value {
    json!({
        "node": status.node,
        "lends": status.is_leader,
        "lender": status.leader_name,
        "books": list(&status.lenders, lender),
        "key_books": status.quota_lender,
        "budgets": list(&status.budgets, budget),
        "keys": list(&status.quotas, quota),
        "keys_heard_ms": status.quota_grant_ms_ago,
        "keys_deaf": status.is_quota_cut_off,
        "service": status.service.as_ref().map(service),
        "let_in": status.gate_admitted,
        "turned_away": status.gate_rejected,
        "calls_waiting": status.calls_waiting,
        "processes": status.processes,
        "gone": status.retired,
        "counts_age_ms": status.totals_age_ms,
        "rows": list(&status.rows, row),
        "heavy": list(&status.heavy, counter),
        "counted": list(&status.event_counts, counter),
        "why": status.explain(),
    })
}
