//! `madderpoint fleet simulate`: runs a simulated cluster with datagram loss, stalls, crashes and a
//! zone that is cut off, and prints measurements for each seed. Equal options give equal results,
//! except for the real time taken.

use super::duration::{MILLISECOND, SECOND, parse_duration};
use super::scenario;
use crate::cli::arguments::Format;
use crate::cli::error::{CommandError, CommandResult};
use clap::Args;
use madderpoint_membership::simulation::{self, Simulation, SimulationConfig};
use madderpoint_membership::{Liveness, Nanos};
use madderpoint_settings::scenario as scenario_file;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Default number of members of a simulated cluster.
const DEFAULT_MEMBERS: usize = 300;
/// Maximum number of members of a simulated cluster.
const MAX_MEMBERS: usize = 20_000;
/// Simulated time before the first measurement, in nanoseconds.
const WARM_UP: Nanos = 10 * SECOND;
/// Simulated time between two checks whether all members agree, in nanoseconds.
const SETTLED_INTERVAL: Nanos = 50 * MILLISECOND;
/// Maximum simulated time to wait until all members agree on a crash, in nanoseconds.
const CRASH_TIMEOUT: Nanos = 120 * SECOND;
/// Simulated time between the restart of a crashed member and the next crash, in nanoseconds.
const RESTART_PAUSE: Nanos = 2 * SECOND;
/// Maximum simulated time to wait until all members agree after the last fault, in nanoseconds.
const SETTLED_TIMEOUT: Nanos = 60 * SECOND;
/// Heartbeat interval of the simulation with `--heartbeats`, in nanoseconds.
const HEARTBEAT_INTERVAL: Nanos = SECOND;

/// Options of `fleet simulate`.
#[derive(Args)]
pub struct SimulateOptions {
    /// Number of members; 300 if neither this option nor a scenario gives it.
    #[arg(long)]
    members: Option<usize>,
    /// Fraction of datagrams that are lost, from 0 to below 1.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Fraction of members that stall now and then, for up to 1.5 s each time; from 0 to 1.
    #[arg(long = "slow", value_name = "SLOW", default_value_t = 0.0)]
    stalling: f64,
    /// Number of zones.
    #[arg(long, default_value_t = 3)]
    zones: usize,
    /// Time without faults, in which traffic and false deaths are counted.
    #[arg(long = "time", value_name = "TIME", default_value = "60s")]
    quiet_time: String,
    /// Number of members that crash, one after the other, to measure the detection time.
    #[arg(long, default_value_t = 5)]
    crashes: usize,
    /// Time for which a zone is cut off.
    #[arg(long = "cut", value_name = "CUT", default_value = "30s")]
    cut_time: String,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds, counted up from the first one; the simulation runs once for each.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Features to disable, to measure their effect: health, confirm, reconcile, regain.
    #[arg(long, value_delimiter = ',')]
    without: Vec<String>,
    /// Run a fault scenario file in simulated time instead of the default course. `--members`
    /// replaces the scenario's number of nodes if it is larger.
    #[arg(long = "script", value_name = "FILE")]
    scenario: Option<PathBuf>,
    /// For comparison, simulate heartbeats from all members to all instead; a member is declared
    /// dead after this number of missed heartbeats.
    #[arg(long = "heartbeats", value_name = "MISSED")]
    missed_heartbeats: Option<u32>,
    /// Output format: a line of text, or a line of JSON, for each seed.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

/// Phases of a simulation, run once for each seed. Times are simulated, in nanoseconds.
struct Course {
    quiet_time: Nanos,
    crashes: usize,
    cut_time: Nanos,
}

/// Runs `fleet simulate`.
pub fn run(options: &SimulateOptions) -> CommandResult {
    let config = simulation_config(options)?;
    if let Some(file) = &options.scenario {
        return play_scenario(file, options);
    }
    let course = Course {
        quiet_time: parse_duration(&options.quiet_time)?,
        crashes: options.crashes,
        cut_time: parse_duration(&options.cut_time)?,
    };
    for seed in options.seed..options.seed.saturating_add(options.seeds) {
        if let Some(missed) = options.missed_heartbeats {
            print_heartbeats(&config, missed, course.quiet_time, seed);
            continue;
        }
        let config = SimulationConfig {
            seed,
            ..config.clone()
        };
        let measured = measure(config, &course);
        match options.format {
            Format::Json => println!("{measured}"),
            Format::Text => print_measured(&measured),
        }
    }
    Ok(true)
}

fn simulation_config(options: &SimulateOptions) -> Result<SimulationConfig, CommandError> {
    let members = options.members.unwrap_or(DEFAULT_MEMBERS);
    if !(1..=MAX_MEMBERS).contains(&members)
        || !(0.0..1.0).contains(&options.loss)
        || !(0.0..=1.0).contains(&options.stalling)
    {
        return Err(CommandError::SimulationBounds);
    }
    let mut config = SimulationConfig {
        members,
        loss: options.loss,
        stalling: options.stalling,
        zones: options.zones,
        ..SimulationConfig::default()
    };
    for feature in &options.without {
        match feature.as_str() {
            "health" => config.features.health = false,
            "confirm" => config.features.confirm = false,
            "reconcile" => config.features.anti_entropy = false,
            "regain" => config.features.probe_dead = false,
            other => return Err(CommandError::UnknownFeature(other.to_owned())),
        }
    }
    Ok(config)
}

fn play_scenario(file: &Path, options: &SimulateOptions) -> CommandResult {
    let text = std::fs::read_to_string(file).map_err(|e| CommandError::file(file, e))?;
    match scenario_file::read(&file.display().to_string(), &text) {
        Ok(scenario) => Ok(scenario::play(
            &scenario,
            options.members.unwrap_or(0),
            options.loss,
            options.stalling,
        )),
        Err(diagnostics) => {
            eprint!("{diagnostics}");
            Ok(false)
        }
    }
}

/// Prints the traffic and the detection times of heartbeats from all members to all, for
/// comparison.
fn print_heartbeats(config: &SimulationConfig, missed: u32, time: Nanos, seed: u64) {
    let (members, loss) = (config.members, config.loss);
    let measured = simulation::heartbeats(
        members.max(2),
        loss,
        HEARTBEAT_INTERVAL,
        missed.max(1),
        time,
        seed,
    );
    println!(
        "heartbeats, members {members} loss {loss} seed {seed}: {:.0} B/s and {:.0} datagrams/s each, {} \
         false deaths in {} s; crash detected in {:.1} s, by all in {:.1} s",
        measured.bytes,
        measured.datagrams,
        measured.false_deaths,
        time / SECOND,
        measured.found,
        measured.agreed
    );
}

/// Runs the simulation for one seed: time without faults, crashes, and a zone that is cut off and
/// reconnected.
fn measure(config: SimulationConfig, course: &Course) -> Value {
    let began = Instant::now();
    let plan = json!({"members": config.members, "loss": config.loss, "slow": config.stalling,
        "zones": config.zones, "seed": config.seed});
    let mut simulation = Simulation::started(config);
    simulation.run(WARM_UP);
    let quiet = measure_quiet_time(&mut simulation, course.quiet_time);
    let crash = measure_crashes(&mut simulation, course.crashes);
    let heal = measure_cut(&mut simulation, course.cut_time);
    let is_node_0_present = simulation.up().all(|(_, membership)| {
        membership
            .member_table()
            .get(simulation.nodes[0].key)
            .is_some_and(|entry| entry.liveness() != Liveness::Dead)
    });
    let table_bytes = simulation
        .up()
        .next()
        .map_or(0, |(_, membership)| membership.member_table().bytes());
    json!({
        "plan": plan, "quiet": quiet, "crash": crash,
        "heal": heal, "node_0_there": is_node_0_present, "view_bytes": table_bytes,
        "events": simulation.processed, "real_s": (began.elapsed().as_secs_f64() * 10.0).round() / 10.0,
        "cpu_us_event": (began.elapsed().as_secs_f64() * 1e7 / simulation.processed.max(1) as f64).round() / 10.0,
    })
}

/// Measures traffic and false deaths while no faults are applied.
fn measure_quiet_time(simulation: &mut Simulation, time: Nanos) -> Value {
    simulation.take_traffic();
    let false_deaths_before = simulation.false_deaths.len();
    simulation.run(time);
    let seconds = time as f64 / 1e9;
    let (bytes, datagrams) = simulation.take_traffic();
    let false_deaths = simulation.false_deaths.len() - false_deaths_before;
    json!({"seconds": seconds, "bytes_s_each": (bytes / seconds).round(),
        "datagrams_s_each": (datagrams / seconds * 10.0).round() / 10.0,
        "false_deaths": false_deaths, "false_deaths_hour": false_deaths as f64 / seconds * 3600.0})
}

/// Measures the times until the first member detects a crash and until all members agree on it.
fn measure_crashes(simulation: &mut Simulation, crashes: usize) -> Value {
    let members = simulation.config.members;
    let mut agreed = Vec::new();
    let crashes = crashes.min(members.saturating_sub(2));
    for crash in 0..crashes {
        let node = crash * members / crashes.max(1);
        simulation.crash(node);
        agreed.extend(simulation.run_until(CRASH_TIMEOUT, SETTLED_INTERVAL, |s| s.is_settled()));
        simulation.start(node);
        simulation.run(RESTART_PAUSE);
    }
    let mut found: Vec<Nanos> = simulation.detected.values().copied().collect();
    found.sort_unstable();
    agreed.sort_unstable();
    json!({"times": found.len(), "found_s_p50": quantile_s(&found, 0.5), "found_s_p99": quantile_s(&found, 0.99),
        "agreed_s_p50": quantile_s(&agreed, 0.5), "agreed_s_p99": quantile_s(&agreed, 0.99)})
}

/// Measures time and traffic until all members agree after zone 0 was cut off and reconnected.
/// Returns null if the cut time is 0 or there is only one zone.
fn measure_cut(simulation: &mut Simulation, time: Nanos) -> Value {
    let _ = simulation.run_until(SETTLED_TIMEOUT, SETTLED_INTERVAL, |s| s.is_settled());
    simulation.take_traffic();
    if time == 0 || simulation.config.zones <= 1 {
        return Value::Null;
    }
    simulation.cut(|from, to| (from.zone == 0) != (to.zone == 0));
    simulation.run(time);
    simulation.heal();
    simulation.take_traffic();
    let settled = simulation.run_until(SETTLED_TIMEOUT, SETTLED_INTERVAL, |s| s.is_settled());
    let (bytes, _) = simulation.take_traffic();
    json!({"cut_s": time as f64 / 1e9, "settled_s": settled.map(|t| t as f64 / 1e9),
        "bytes_each": bytes.round()})
}

/// Returns a quantile of sorted durations, in seconds, or `None` if there are no durations.
fn quantile_s(sorted: &[Nanos], quantile: f64) -> Option<f64> {
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    let index = rank.clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).map(|nanos| *nanos as f64 / 1e9)
}

/// Prints the measurements as a line of text.
fn print_measured(measured: &Value) {
    let text = |v: &Value| {
        if v.is_null() {
            "-".to_owned()
        } else {
            v.to_string()
        }
    };
    println!(
        "members {} loss {} slow {} seed {}: {} B/s and {} datagrams/s each, {} false deaths in {} s; crash detected in {} s \
         (p99 {}), agreed on in {} s (p99 {}); settled {} s after a cut of {} s; member table {} KiB; {} events in {} s",
        text(&measured["plan"]["members"]),
        text(&measured["plan"]["loss"]),
        text(&measured["plan"]["slow"]),
        text(&measured["plan"]["seed"]),
        text(&measured["quiet"]["bytes_s_each"]),
        text(&measured["quiet"]["datagrams_s_each"]),
        text(&measured["quiet"]["false_deaths"]),
        text(&measured["quiet"]["seconds"]),
        text(&measured["crash"]["found_s_p50"]),
        text(&measured["crash"]["found_s_p99"]),
        text(&measured["crash"]["agreed_s_p50"]),
        text(&measured["crash"]["agreed_s_p99"]),
        text(&measured["heal"]["settled_s"]),
        text(&measured["heal"]["cut_s"]),
        measured["view_bytes"].as_u64().unwrap_or(0) >> 10,
        text(&measured["events"]),
        text(&measured["real_s"])
    );
}
