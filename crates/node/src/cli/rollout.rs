//! `madderpoint rollout`: rollouts of the settings or the program of a fleet in stages: begun,
//! looked at, halted, taken back.

use super::fleet::Asker;
use super::{Ended, Format};
use clap::{Args, Subcommand};
use madderpoint_node::io::{PROGRAM_CHANGES, SETTINGS_CHANGES};
use madderpoint_node::program_version;
use madderpoint_rollout::chunks;
use madderpoint_rollout::messages::{CommandReply, OperatorCommand, order};
use madderpoint_rollout::status::{
    CohortPointStatus, NodeStatusEntry, RolloutStatus, StatusSnapshot, VersionStatus,
};
use plotters::prelude::*;
use prost::Message;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// What a node may take to look into what is offered.
const LOOK: Duration = Duration::from_secs(30);
/// Between two questions about that.
const AGAIN: Duration = Duration::from_millis(200);
/// How often a node is asked for what it shows, before it is given up.
const TRIES: u32 = 25;

/// Which node is asked, and about what.
#[derive(Args, Clone)]
pub struct At {
    /// The settings with the fleet's name and keys.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Where the node's part in the fleet listens; any node will do.
    #[arg(long, value_name = "ADDRESS")]
    at: SocketAddr,
    /// About the program, not the settings.
    #[arg(long)]
    program: bool,
}

impl At {
    fn topic(&self) -> u32 {
        if self.program {
            PROGRAM_CHANGES
        } else {
            SETTINGS_CHANGES
        }
    }
}

#[derive(Subcommand)]
pub enum Command {
    /// Offer a file of settings to the fleet, by way of any node; it goes out in the stages that
    /// the settings in force tell.
    #[command(
        after_help = "Example: madderpoint rollout start new.xml --settings translator.xml --at 10.0.0.4:7946"
    )]
    Start {
        /// The file, with a higher number than that in force.
        file: PathBuf,
        #[command(flatten)]
        at: At,
        /// Wait until it is over, and tell each stage; the exit code is 1 if it is not done in the
        /// end.
        #[arg(long)]
        wait: bool,
    },
    /// Show the rollout that is under way, or the last one: stages, nodes, judgement with its
    /// figures.
    #[command(
        after_help = "Example: madderpoint rollout status --settings translator.xml --at 10.0.0.4:7946"
    )]
    Status {
        #[command(flatten)]
        at: At,
        /// How it is shown.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Halt a rollout: who runs it runs it on, and it goes no further.
    #[command(
        after_help = "Example: madderpoint rollout halt --settings translator.xml --at 10.0.0.4:7946 --why 'calls pile up'"
    )]
    Halt {
        #[command(flatten)]
        at: At,
        /// The rollout; the current one if it is not told.
        #[arg(long = "change", value_name = "CHANGE")]
        rollout: Option<String>,
        /// Why, for all who look later.
        #[arg(long, default_value = "")]
        why: String,
    },
    /// Take a rollout back: all run what was before.
    #[command(
        after_help = "Example: madderpoint rollout back --settings translator.xml --at 10.0.0.4:7946"
    )]
    Back {
        #[command(flatten)]
        at: At,
        /// The rollout; the current one if it is not told.
        #[arg(long = "change", value_name = "CHANGE")]
        rollout: Option<String>,
        /// Why, for all who look later.
        #[arg(long, default_value = "")]
        why: String,
    },
    /// Say why a node runs what it runs.
    #[command(
        after_help = "Example: madderpoint rollout explain --settings translator.xml --at 10.0.0.4:7946"
    )]
    Explain {
        #[command(flatten)]
        at: At,
    },
    /// Draw both sides of a rollout over time (SVG), from the record of a voter or from what
    /// `status --format json` printed.
    #[command(
        after_help = "Example: madderpoint rollout plot --settings translator.xml --at 10.0.0.4:7946 --to change.svg"
    )]
    Plot {
        #[command(flatten)]
        at: At,
        /// Where to.
        #[arg(long, value_name = "FILE")]
        to: PathBuf,
    },
}

impl Command {
    /// Carries the call out.
    pub fn run(self) -> Ended {
        match self {
            Command::Start { file, at, wait } => start(&file, &at, wait),
            Command::Status { at, format } => status(&at, format),
            Command::Halt { at, rollout, why } => end(&at, order::HALT, rollout.as_deref(), &why),
            Command::Back { at, rollout, why } => {
                end(&at, order::ROLL_BACK, rollout.as_deref(), &why)
            }
            Command::Explain { at } => explain(&at),
            Command::Plot { at, to } => plot(&at, &to),
        }
    }
}

fn ordered(at: &At, command: &OperatorCommand) -> Result<CommandReply, String> {
    let mut asker = Asker::about(&at.settings, at.at, at.topic())?;
    let until = Instant::now() + LOOK;
    loop {
        let answer = asker.order(at.topic(), &command.encode_to_vec())?;
        let answer = CommandReply::decode(answer.as_slice())
            .map_err(|e| format!("{}: its answer can't be read: {e}", at.at))?;
        if answer.state != 1 || Instant::now() > until {
            return Ok(answer);
        }
        thread::sleep(AGAIN);
    }
}

/// What was refused is shown, and is no wrong call.
fn taken(answer: &CommandReply) -> bool {
    match answer.state {
        0 => {
            let more = if answer.why.is_empty() {
                String::new()
            } else {
                format!(": {}", answer.why)
            };
            println!("change {:016x}{more}", answer.rollout);
        }
        1 => println!("not taken yet: {}", answer.why),
        _ => println!("turned down: {}", answer.why),
    }
    answer.state == 0
}

fn start(file: &Path, at: &At, wait: bool) -> Ended {
    let command = if at.program {
        let madderpoint_rollout::Version { number, hash } =
            program_version::version_of(file).map_err(|error| error.to_string())?;
        OperatorCommand {
            kind: order::OFFER,
            number,
            hash,
            program: true,
            ..OperatorCommand::default()
        }
    } else {
        let content = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
        if content.len() > chunks::MAX_CONTENT_BYTES {
            return Err(format!(
                "{}: {} bytes, {} at most",
                file.display(),
                content.len(),
                chunks::MAX_CONTENT_BYTES
            ));
        }
        let digest = chunks::digest(&content).to_vec();
        for no in 0..chunks::count(content.len()) {
            let Some(bytes) = chunks::chunk(&content, no) else {
                break;
            };
            let (size, digest, bytes) = (content.len() as u32, digest.clone(), bytes.to_vec());
            let chunk = OperatorCommand {
                kind: order::CHUNK,
                no,
                bytes,
                size,
                digest,
                ..OperatorCommand::default()
            };
            let answer = ordered(at, &chunk)?;
            if answer.state != 0 {
                return Ok(taken(&answer));
            }
        }
        OperatorCommand {
            kind: order::OFFER,
            digest,
            ..OperatorCommand::default()
        }
    };
    let answer = ordered(at, &command)?;
    if !taken(&answer) || !wait {
        return Ok(answer.state == 0);
    }
    follow(at, answer.rollout)
}

/// Tells each stage of a rollout until it is over.
fn follow(at: &At, id: u64) -> Ended {
    let mut before = (u32::MAX, String::new());
    let mut lost = 0;
    loop {
        thread::sleep(Duration::from_millis(500));
        let Ok(shown) = request(at) else {
            lost += 1;
            if lost > 60 {
                return Err(format!(
                    "{}: it shows nothing any more; the change goes on without it",
                    at.at
                ));
            }
            continue;
        };
        lost = 0;
        let Some(rollout) = shown.rollouts.iter().find(|rollout| rollout.id == id) else {
            continue;
        };
        let now = (rollout.stage, rollout.outcome.clone());
        if now != before {
            println!("{}", summary(rollout, &shown));
            before = now;
        }
        match rollout.outcome.as_str() {
            "open" => {}
            "done" => return Ok(true),
            _ => return Ok(false),
        }
    }
}

fn end(at: &At, kind: u32, rollout: Option<&str>, why: &str) -> Ended {
    let rollout = match rollout {
        Some(text) => u64::from_str_radix(text, 16)
            .map_err(|_| format!("{text}: no change, 16 hex digits"))?,
        None => 0,
    };
    let command = OperatorCommand {
        kind,
        rollout,
        why: why.to_owned(),
        program: at.program,
        ..OperatorCommand::default()
    };
    Ok(taken(&ordered(at, &command)?))
}

fn request(at: &At) -> Result<StatusSnapshot, String> {
    let bytes = Asker::about(&at.settings, at.at, at.topic())?.ask_pages(TRIES)?;
    let bytes = bytes.ok_or_else(|| {
        let what = if at.program {
            "the program"
        } else {
            "settings"
        };
        format!(
            "{}: it shows nothing: nobody is there, or it has no part in changes of {what}",
            at.at
        )
    })?;
    StatusSnapshot::decode(bytes.as_slice())
        .map_err(|e| format!("{}: what it shows can't be read: {e}", at.at))
}

/// What the conductor shows, which has the judgement; or what this node does, if that can't be
/// reached.
fn ask_conductor(at: &At) -> Result<(StatusSnapshot, Option<StatusSnapshot>), String> {
    let shown = request(at)?;
    let acting_coordinator = match shown.coordinator_address.parse() {
        Ok(there) if shown.coordinator != shown.node => request(&At {
            at: there,
            ..at.clone()
        })
        .ok(),
        _ => None,
    };
    Ok((shown, acting_coordinator))
}

fn version(of: Option<&VersionStatus>) -> String {
    of.map_or_else(|| "-".to_owned(), |version| version.version().to_string())
}

fn summary(rollout: &RolloutStatus, shown: &StatusSnapshot) -> String {
    let stages = rollout.stages.len();
    let of = match rollout.stage as usize {
        0 => "has not begun".to_owned(),
        stage if stage > stages => "through all stages".to_owned(),
        stage => format!("stage {stage} of {stages} ({})", rollout.stages[stage - 1]),
    };
    let why = if rollout.why.is_empty() {
        String::new()
    } else {
        format!(", {}", rollout.why)
    };
    let by = if rollout.by.is_empty() {
        String::new()
    } else {
        format!(" (by {})", rollout.by)
    };
    let waits = match shown.waits.as_str() {
        "" => String::new(),
        waits if rollout.outcome == "open" => format!("; waits: {waits}"),
        _ => String::new(),
    };
    format!(
        "change {:016x}: {} in place of {}, {of}, {}{why}{by}{waits}",
        rollout.id,
        version(rollout.version.as_ref()),
        version(rollout.base.as_ref()),
        rollout.outcome
    )
}

fn node(node: &NodeStatusEntry) -> Value {
    json!({"name": node.name, "zone": node.zone, "there": node.present, "in_stage": node.in_stage,
        "version": node.running.map(|v| v.number), "hash": node.running.map(|v| format!("{:016x}", v.hash)),
        "since_ms": node.since_ms, "stand": node.status, "died": node.crashes, "why": node.why})
}

fn point(point: &CohortPointStatus, window_ms: u64) -> Value {
    json!({"unix_ms": point.window * window_ms, "stage": point.stage, "nodes": point.nodes, "arrived": point.arrived,
        "succeeded": point.succeeded, "throttled": point.throttled, "errored": point.errored, "late": point.late,
        "memory_kb": point.memory_kb})
}

/// All of it, for programs. Pairs are of the old and of the new side.
fn as_json(shown: &StatusSnapshot, judged: &StatusSnapshot) -> Value {
    let rollouts: Vec<Value> = shown
        .rollouts
        .iter()
        .map(|c| {
            json!({"change": format!("{:016x}", c.id), "version": c.version.map(|v| v.number),
                "hash": c.version.map(|v| format!("{:016x}", v.hash)), "base": c.base.map(|v| v.number),
                "stage": c.stage, "stages": c.stages, "fate": c.outcome, "why": c.why, "by": c.by,
                "ended_ms": c.ended_ms, "offered_by": c.offered_by, "offered_ms": c.offered_ms,
                "agreement": c.agreement, "electorate": c.electorate})
        })
        .collect();
    let findings: Vec<Value> = judged
        .findings
        .iter()
        .map(|f| {
            json!({"operation": f.operation, "what": f.what, "new": f.new, "old": f.old, "harm": f.harm,
                "error": f.error, "evidence": f.evidence, "margin": f.margin})
        })
        .collect();
    json!({"node": shown.node, "at_ms": shown.at_ms, "running": shown.running.map(|v| v.number),
        "good": shown.good.map(|v| v.number), "conductor": shown.coordinator, "waits": judged.waits,
        "changes": rollouts, "nodes": judged.nodes.iter().map(node).collect::<Vec<_>>(),
        "nodes_in_all": judged.nodes_in_all, "verdict": judged.verdict, "findings": findings,
        "sample_new_old": judged.sample, "judged_new_old": judged.judged,
        "points": judged.points.iter().map(|p| point(p, judged.window_ms)).collect::<Vec<_>>()})
}

fn status(at: &At, format: Format) -> Ended {
    let (shown, acting_coordinator) = ask_conductor(at)?;
    let judged = acting_coordinator.as_ref().unwrap_or(&shown);
    if format == Format::Json {
        println!("{:#}", as_json(&shown, judged));
        return Ok(true);
    }
    let Some(first) = shown.rollouts.first() else {
        println!(
            "no change is known; {} runs version {}",
            shown.node,
            version(shown.running.as_ref())
        );
        return Ok(true);
    };
    let current = shown
        .rollouts
        .iter()
        .find(|rollout| rollout.outcome == "open")
        .unwrap_or(first);
    println!("{}", summary(current, judged));
    for rollout in shown
        .rollouts
        .iter()
        .filter(|rollout| rollout.id != current.id)
    {
        println!("  beside: {}", summary(rollout, &StatusSnapshot::default()));
    }
    if !judged.verdict.is_empty() {
        let pair = |of: &[u64]| {
            [
                of.first().copied().unwrap_or(0),
                of.get(1).copied().unwrap_or(0),
            ]
        };
        let ([new, old], [news, olds]) = (pair(&judged.sample), pair(&judged.judged));
        println!("judgement by {}: {}", shown.coordinator, judged.verdict);
        println!("  {new} invocations at {news} new nodes, {old} at {olds} old ones");
        let head = [
            "operation",
            "what",
            "new",
            "old",
            "harm",
            "+-",
            "evidence",
            "margin",
        ];
        if !judged.findings.is_empty() {
            println!(
                "  {:<16} {:<11} {:>8} {:>8} {:>8} {:>8} {:>9} {:>7}",
                head[0], head[1], head[2], head[3], head[4], head[5], head[6], head[7]
            );
        }
        for f in &judged.findings {
            let operation = if f.operation.is_empty() {
                "all"
            } else {
                &f.operation
            };
            println!(
                "  {operation:<16} {:<11} {:>8.4} {:>8.4} {:>8.4} {:>8.4} {:>9.1} {:>7.3}",
                f.what, f.new, f.old, f.harm, f.error, f.evidence, f.margin
            );
        }
    }
    let running: Vec<String> = judged
        .by_version()
        .iter()
        .map(|(number, nodes)| format!("{nodes} run {number}"))
        .collect();
    println!("{} nodes: {}", judged.nodes_in_all, running.join(", "));
    println!(
        "{:<16} {:<8} {:<5} {:<6} {:<22} {:>9} {:<12} why",
        "node", "zone", "there", "stage", "version", "for", "stands"
    );
    for node in &judged.nodes {
        let yes = |is: bool| if is { "yes" } else { "no" };
        let since = judged.at_ms.saturating_sub(node.since_ms) / 1000;
        println!(
            "{:<16} {:<8} {:<5} {:<6} {:<22} {:>7} s {:<12} {}",
            node.name,
            node.zone,
            yes(node.present),
            yes(node.in_stage),
            version(node.running.as_ref()),
            since,
            node.status,
            node.why
        );
    }
    Ok(true)
}

fn explain(at: &At) -> Ended {
    let shown = request(at)?;
    println!("{}:", shown.node);
    shown.reasons.iter().for_each(|line| println!("  {line}"));
    Ok(true)
}

/// What is drawn of a point, for a side.
type Drawn = fn(&CohortPointStatus, usize) -> f64;

fn plot(at: &At, to: &Path) -> Ended {
    let (shown, acting_coordinator) = ask_conductor(at)?;
    let judged = acting_coordinator.as_ref().unwrap_or(&shown);
    if judged.points.is_empty() {
        return Err(format!(
            "{}: there is no record: no change was under way since its start",
            judged.node
        ));
    }
    draw(judged, to).map_err(|e| format!("{}: {e}", to.display()))?;
    println!(
        "{}: {} windows of {} s",
        to.display(),
        judged.points.len(),
        judged.window_ms / 1000
    );
    Ok(true)
}

fn draw(shown: &StatusSnapshot, to: &Path) -> Result<(), Box<dyn std::error::Error>> {
    fn part(of: &[u64], all: &[u64], side: usize) -> f64 {
        let at = |numbers: &[u64]| numbers.get(side).copied().unwrap_or(0) as f64;
        if at(all) > 0.0 {
            at(of) / at(all) * 100.0
        } else {
            0.0
        }
    }
    let charts: [(&str, Drawn); 5] = [
        ("succeeded, % of what arrived", |p, side| {
            part(&p.succeeded, &p.arrived, side)
        }),
        ("throttled, % of what arrived", |p, side| {
            part(&p.throttled, &p.arrived, side)
        }),
        ("errored, % of what arrived", |p, side| {
            part(&p.errored, &p.arrived, side)
        }),
        ("late, % of what succeeded", |p, side| {
            part(&p.late, &p.succeeded, side)
        }),
        ("memory of a node, MB", |p, side| {
            f64::from(p.memory_kb.get(side).copied().unwrap_or(0.0)) / 1024.0
        }),
    ];
    let first = shown.points.first().map_or(0, |point| point.window);
    let minutes =
        |p: &CohortPointStatus| (p.window - first) as f64 * shown.window_ms as f64 / 60_000.0;
    let last = shown.points.last().map_or(1.0, minutes).max(0.5);
    let root = SVGBackend::new(to, (900, 1000)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, (title, of)) in root.split_evenly((charts.len(), 1)).iter().zip(charts) {
        let values = shown.points.iter().flat_map(|p| [of(p, 0), of(p, 1)]);
        let top = values.fold(0.0, f64::max).max(1.0) * 1.05;
        let mut chart = ChartBuilder::on(area)
            .caption(
                format!("{title}: old grey, new red; x in minutes, stages as lines"),
                ("sans-serif", 14),
            )
            .margin(6)
            .x_label_area_size(18)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..last, 0.0..top)?;
        chart.configure_mesh().light_line_style(WHITE).draw()?;
        for two in shown
            .points
            .windows(2)
            .filter(|two| two[0].stage != two[1].stage)
        {
            let x = minutes(&two[1]);
            chart.draw_series(LineSeries::new([(x, 0.0), (x, top)], BLACK.mix(0.3)))?;
        }
        for (side, colour) in [(0, RGBColor(110, 110, 110)), (1, RGBColor(200, 40, 30))] {
            let points = shown
                .points
                .iter()
                .filter(|p| p.nodes.get(side).is_some_and(|n| *n > 0));
            chart.draw_series(LineSeries::new(
                points.map(|p| (minutes(p), of(p, side))),
                colour,
            ))?;
        }
    }
    root.present()?;
    Ok(())
}
