//! `madderpoint fleet show` and `fleet watch`: print the member table of a running node, as text or
//! JSON. Other programs read the JSON, so its names must not change.

use super::duration::parse_duration;
use crate::cli::arguments::Format;
use crate::cli::error::CommandResult;
use crate::cli::node_query::NodeQuery;
use crate::cli::shared;
use madderpoint_membership::messages::ChangeEvent;
use madderpoint_membership::observer::{MemberSnapshot, NodeSnapshot};
use madderpoint_rules::time;
use madderpoint_shared_state::status::StatusSnapshot;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Maximum number of earlier changes that `watch` prints on its first poll.
const EARLIER_CHANGES: usize = 5;
/// Number of times each page of the shared state's status is requested before it counts as absent.
const SHARED_STATUS_TRIES: u32 = 4;

/// Runs `fleet show`.
pub fn show(settings: &Path, node: SocketAddr, format: Format) -> CommandResult {
    let snapshot = NodeQuery::new(settings, node)?.request_snapshot()?;
    let mut members: Vec<&MemberSnapshot> = snapshot.members.values().collect();
    members.sort_by(|a, b| (&a.zone, &a.name).cmp(&(&b.zone, &b.name)));
    let shared_state = shared::request_status(settings, node, SHARED_STATUS_TRIES)?;
    match format {
        Format::Json => println!(
            "{:#}",
            snapshot_json(&snapshot, members, shared_state.as_ref())
        ),
        Format::Text => {
            println!("{}", summary(&snapshot));
            print_members(members);
            for counter in &snapshot.report.counters {
                println!("{:>8}  {}", counter.times, counter.what);
            }
            shared_state.iter().for_each(shared::print);
        }
    }
    Ok(true)
}

/// Runs `fleet watch`: polls the node `times` times, or without end, with `interval` between two
/// polls. Prints new changes, the latest last, and the summary if it differs from the last summary
/// printed. Only a failure of the first poll is an error.
pub fn watch(
    settings: &Path,
    node: SocketAddr,
    interval: &str,
    times: Option<u64>,
) -> CommandResult {
    let interval = Duration::from_nanos(parse_duration(interval)?);
    let mut query = NodeQuery::new(settings, node)?;
    let (mut latest, mut printed) = (None, String::new());
    let mut polls = 0;
    while times.is_none_or(|times| polls < times) {
        if polls > 0 {
            thread::sleep(interval);
        }
        polls += 1;
        let snapshot = match query.request_snapshot() {
            Ok(snapshot) => snapshot,
            Err(error) if polls == 1 => return Err(error.into()),
            Err(error) => {
                println!("{error}");
                continue;
            }
        };
        let changes = &snapshot.report.changes;
        print_new_changes(changes, latest.as_ref());
        latest = changes.first().cloned().or(latest);
        let line = summary(&snapshot);
        if line != printed {
            println!("{line}");
            printed = line;
        }
    }
    Ok(true)
}

/// Prints the changes after `latest`, or the last [`EARLIER_CHANGES`] if `latest` is `None`.
/// `changes` starts with the latest change.
fn print_new_changes(changes: &[ChangeEvent], latest: Option<&ChangeEvent>) {
    let max = if latest.is_none() {
        EARLIER_CHANGES
    } else {
        usize::MAX
    };
    let new: Vec<_> = changes
        .iter()
        .take_while(|change| latest != Some(*change))
        .take(max)
        .collect();
    for change in new.iter().rev() {
        println!(
            "{} {}",
            time::print_time((change.unix_ms as i64).saturating_mul(1_000_000)),
            change.line
        );
    }
}

/// Returns a one-line summary of a node's view of the cluster.
fn summary(snapshot: &NodeSnapshot) -> String {
    let report = &snapshot.report;
    let unsure = match report.unsure_ms {
        0 => String::new(),
        ms => format!(", UNSURE for {:.1} s", ms as f64 / 1e3),
    };
    let name_conflict = if report.has_name_conflict {
        ", NAME CONFLICT: another process uses its name"
    } else {
        ""
    };
    format!(
        "{}: digest {:016x}, {} members (at least {}, at most {}), {} suspect, {} dead, local health score {}{unsure}{name_conflict}",
        report.name,
        snapshot.digest,
        report.size,
        report.low,
        report.high,
        report.suspects,
        report.dead,
        report.local_health_score
    )
}

fn print_members(members: Vec<&MemberSnapshot>) {
    println!(
        "{:<16} {:<8} {:<8} {:<9} {:<22} {:<12} {:>8} {:>5} {:>5} {:>5}",
        "name", "zone", "status", "phase", "address", "program", "settings", "bump", "room", "load"
    );
    for member in members {
        let (capacity, load) = member
            .load_hint
            .map_or(("-".into(), "-".into()), |(capacity, load)| {
                (capacity.to_string(), load.to_string())
            });
        println!(
            "{:<16} {:<8} {:<8} {:<9} {:<22} {:<12} {:>8} {:>5} {capacity:>5} {load:>5}",
            member.name,
            member.zone,
            member.liveness.as_str(),
            member.phase.as_str(),
            member.address,
            member.program,
            member.settings.0,
            member.refutation
        );
    }
}

fn snapshot_json(
    snapshot: &NodeSnapshot,
    members: Vec<&MemberSnapshot>,
    shared_state: Option<&StatusSnapshot>,
) -> Value {
    let report = &snapshot.report;
    let counters: BTreeMap<_, _> = report
        .counters
        .iter()
        .map(|counter| (counter.what.clone(), counter.times))
        .collect();
    let changes: Vec<_> = report
        .changes
        .iter()
        .map(|change| json!({"unix_ms": change.unix_ms, "line": change.line}))
        .collect();
    json!({"node": report.name, "digest": format!("{:016x}", snapshot.digest), "size": report.size,
        "low": report.low, "high": report.high, "unsure_ms": report.unsure_ms, "doubt": report.local_health_score,
        "suspects": report.suspects, "dead": report.dead, "mute": report.has_name_conflict, "counts": counters,
        "changes": changes, "members": members.into_iter().map(member_json).collect::<Vec<_>>(),
        "shared": shared_state.map(shared::as_json)})
}

fn member_json(member: &MemberSnapshot) -> Value {
    json!({"name": member.name, "status": member.liveness.as_str(), "zone": member.zone,
        "phase": member.phase.as_str(), "address": member.address.to_string(),
        "program": member.program, "settings": member.settings.0,
        "settings_hash": format!("{:016x}", member.settings.1),
        "birth_ms": member.started_unix_ms, "bump": member.refutation,
        "life": format!("{:016x}", member.incarnation), "revision": member.revision,
        "room": member.load_hint.map(|hint| hint.0), "load": member.load_hint.map(|hint| hint.1)})
}
