//! `madderpoint rules`: explains the rules for a request, runs the test cases of a settings file,
//! and measures rule evaluation.

use super::arguments::{Format, SettingsFile, read_json};
use super::error::{CommandError, CommandResult, FileProblem};
use clap::Subcommand;
use hdrhistogram::Histogram;
use madderpoint_rules::ruleset::{RuleExplanation, RuleOutput};
use madderpoint_rules::{RuleLookup as Search, Scratch, Verdict};
use madderpoint_settings::RuleConfig;
use madderpoint_settings::sample_request::SampleRequest;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Upper bound of the histogram of evaluation times, in nanoseconds. Longer times are recorded as
/// this value.
const MEASURED_MAX: u64 = 60_000_000_000;

/// Sub-commands of `madderpoint rules`.
#[derive(Subcommand)]
pub enum Command {
    /// Show which rule matches a request, why the rules before it do not match, and the cost of the
    /// evaluation.
    #[command(
        after_help = "Example: madderpoint rules explain translator.xml --request r.json\n\
        where r.json is {\"script\": \"/call/gun-yaz\", \"tenant\": \"ege\", \"params\": {\"HTTP_X_SITE\": \"7\"}}"
    )]
    Explain {
        #[command(flatten)]
        file: SettingsFile,
        /// JSON file with the request: facts by name, `params` and `body`.
        #[arg(long, value_name = "FILE")]
        request: PathBuf,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Run the test cases of the settings file.
    #[command(after_help = "Example: madderpoint rules test deploy/translator.xml")]
    Test {
        #[command(flatten)]
        file: SettingsFile,
    },
    /// Measure the evaluation of the rules for the requests of the test cases, with the rule index
    /// and with a scan of all rules.
    #[command(
        after_help = "Example: madderpoint rules bench deploy/translator.xml --rounds 100000"
    )]
    Bench {
        #[command(flatten)]
        file: SettingsFile,
        /// Number of times each request is evaluated.
        #[arg(long, default_value_t = 20_000)]
        rounds: u32,
    },
}

impl Command {
    /// Runs the command.
    pub fn run(self) -> CommandResult {
        match self {
            Command::Explain {
                file,
                request,
                format,
            } => explain(&file, &request, format),
            Command::Test { file } => test(&file),
            Command::Bench { file, rounds } => bench(&file, rounds),
        }
    }
}

/// Reads a sample request from a file: a JSON object with facts by name, `params` and `body`.
fn read_request(path: &Path) -> Result<SampleRequest, CommandError> {
    let whole = read_json(path)?;
    let fields = whole
        .as_object()
        .ok_or_else(|| CommandError::file(path, FileProblem::NotObject))?;
    let text = |value: &Value| {
        value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned)
    };
    let mut request = SampleRequest::default();
    for (name, value) in fields {
        match name.as_str() {
            "params" => {
                let params = value
                    .as_object()
                    .ok_or_else(|| CommandError::file(path, FileProblem::ParamsNotObject))?;
                request.params = params.iter().map(|(n, v)| (n.clone(), text(v))).collect();
            }
            "body" => request.body = text(value).into_bytes(),
            name => {
                request.set(name, &text(value)).map_err(|expected| {
                    let name = name.to_owned();
                    let expected = expected.to_string();
                    CommandError::file(path, FileProblem::Fact { name, expected })
                })?;
            }
        }
    }
    Ok(request)
}

fn explain(file: &SettingsFile, path: &Path, format: Format) -> CommandResult {
    let request = read_request(path)?;
    let Some(config) = file.read_rules()? else {
        return Ok(false);
    };
    let mut scratch = Scratch::new(0);
    scratch.shows_keys = true;
    let facts = request.facts(&config.rules);
    let explanations = config.rules.explain(&facts, &mut scratch);
    let decision = config.rules.decide(&facts, &mut scratch, Search::Index);
    let output = decision
        .output
        .as_ref()
        .map(|output| output_json(&config, output));
    let limit = config.rules.request_limit();
    if format == Format::Json {
        let rules: Vec<_> = explanations
            .iter()
            .map(|explanation| {
                explanation_json(&config.rules.rules()[explanation.place].name, explanation)
            })
            .collect();
        let whole = json!({"given": output, "units": decision.cost, "limit": limit,
            "evaluated": decision.evaluated_count, "rules": rules});
        println!("{whole:#}");
        return Ok(true);
    }
    for explanation in &explanations {
        print_explanation(&config, explanation);
    }
    match &output {
        Some(output) => println!("given: {output}"),
        None => println!("given: nothing, no rule matches"),
    }
    println!(
        "{} rules evaluated, {} units of {limit} used",
        decision.evaluated_count, decision.cost
    );
    Ok(true)
}

/// Returns the output of the matching rule as JSON.
fn output_json(config: &RuleConfig, output: &RuleOutput<'_>) -> Value {
    let rule = output.rule;
    let verdict = match &rule.verdict {
        Some(Verdict::Throttle { pause, reason }) => {
            json!({"throttle": reason, "pause_ms": *pause as f64 / 1e6})
        }
        Some(Verdict::Error { status, reason }) => json!({"error": reason, "status": status}),
        None => Value::Null,
    };
    let limits = output.buckets.iter().zip(&output.bucket_texts);
    let limits = limits.map(
        |((bucket, _), key)| json!({"bucket": config.buckets[usize::from(*bucket)].name, "key": key}),
    );
    let facts: BTreeMap<_, _> = output
        .facts
        .iter()
        .map(|(name, value)| (name.to_string(), value.clone()))
        .collect();
    json!({
        "rule": rule.name,
        "operation": rule.operation.and_then(|operation| config.operations.get(operation)),
        "class": rule.class.map(|class| &config.rules.classes()[usize::from(class)]),
        "key": output.key_text,
        "rank": output.rank,
        "facts": facts,
        "limits": limits.collect::<Vec<_>>(),
        "verdict": verdict,
        "worst_units": rule.max_cost(),
    })
}

fn print_explanation(config: &RuleConfig, explanation: &RuleExplanation) {
    let rule = &config.rules.rules()[explanation.place];
    let path = if explanation.evaluated {
        "evaluated"
    } else {
        "left out"
    };
    let outcome = match (&explanation.result, &explanation.failed) {
        (Ok(true), _) => "matches".to_owned(),
        (_, Some((part, what))) => format!("no match: {part} {what}"),
        _ => "no match".to_owned(),
    };
    println!(
        "{}: {outcome} ({path} by the index, filed under {}; {} units, worst {})",
        rule.name,
        explanation.index_kind,
        explanation.cost,
        rule.max_cost()
    );
}

fn explanation_json(name: &str, explanation: &RuleExplanation) -> Value {
    let failed = explanation
        .failed
        .as_ref()
        .map(|(part, what)| json!({"part": part, "what": what}));
    json!({"rule": name, "matches": explanation.result == Ok(true), "evaluated": explanation.evaluated,
        "filed_under": explanation.index_kind, "units": explanation.cost, "failed": failed})
}

/// Runs the test cases of a settings file.
fn test(file: &SettingsFile) -> CommandResult {
    let Some(config) = file.read_rules()? else {
        return Ok(false);
    };
    let mut failed = 0;
    for case in &config.cases {
        match case.run(&config) {
            Ok(()) => println!("ok: {}", case.name),
            Err(what) => {
                failed += 1;
                println!("FAILED: {}: {what}", case.name);
            }
        }
    }
    println!("{} passed, {failed} failed", config.cases.len() - failed);
    Ok(failed == 0)
}

/// Returns the resident memory of the process in KiB, or `None` if the system does not report it.
fn resident_kib() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn bench(file: &SettingsFile, rounds: u32) -> CommandResult {
    let before = resident_kib();
    let loading = Instant::now();
    let Some(config) = file.read_rules()? else {
        return Ok(false);
    };
    let loaded = loading.elapsed();
    let after = resident_kib();
    if config.cases.is_empty() {
        return Err(CommandError::file(&file.path, FileProblem::NoCases));
    }
    println!(
        "{} rules loaded in {:.1} ms, estimated size {} KiB",
        config.rules.rules().len(),
        loaded.as_secs_f64() * 1e3,
        config.rules.bytes() >> 10
    );
    if let (Some(before), Some(after)) = (before, after) {
        println!("resident memory: {before} KiB before loading, {after} KiB after");
    }
    println!(
        "{:<8} {:>10} {:>10} {:>10} {:>12} {:>12}",
        "by", "p50 ns", "p99 ns", "max ns", "max units", "evaluated"
    );
    for (name, search) in [("index", Search::Index), ("scan", Search::Scan)] {
        let mut times = Histogram::<u64>::new_with_bounds(1, MEASURED_MAX, 3)?;
        let (mut units, mut evaluated) = (0, 0);
        let mut scratch = Scratch::new(0);
        for case in &config.cases {
            let facts = case.request.facts(&config.rules);
            for _ in 0..rounds.max(1) {
                let start = Instant::now();
                let decision =
                    black_box(config.rules.decide(black_box(&facts), &mut scratch, search));
                let took = start.elapsed().as_nanos() as u64;
                times.saturating_record(took);
                units = units.max(decision.cost);
                evaluated = evaluated.max(decision.evaluated_count);
            }
        }
        println!(
            "{name:<8} {:>10} {:>10} {:>10} {units:>12} {evaluated:>12}",
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            times.max()
        );
    }
    Ok(true)
}
