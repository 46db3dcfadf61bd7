//! `madderpoint rules`: tries rules by a request, by the cases beside them, and by the clock.

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

/// The longest time that is measured, in nanoseconds.
const MEASURED_MAX: u64 = 60_000_000_000;

/// Commands that try rules.
#[derive(Subcommand)]
pub enum Command {
    /// Show which rule a request matches, why those above it do not, and what that costs.
    #[command(
        after_help = "Example: madderpoint rules explain translator.xml --request r.json\n\
        where r.json is {\"script\": \"/call/gun-yaz\", \"tenant\": \"ege\", \"params\": {\"HTTP_X_SITE\": \"7\"}}"
    )]
    Explain {
        #[command(flatten)]
        file: SettingsFile,
        /// The request as JSON: facts by name, `params` and `body`.
        #[arg(long, value_name = "FILE")]
        request: PathBuf,
        /// How the result is shown.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Run the cases that are written beside the rules.
    #[command(after_help = "Example: madderpoint rules test deploy/translator.xml")]
    Test {
        #[command(flatten)]
        file: SettingsFile,
    },
    /// Measure the rules over the requests of the cases, by index and by scan.
    #[command(
        after_help = "Example: madderpoint rules bench deploy/translator.xml --rounds 100000"
    )]
    Bench {
        #[command(flatten)]
        file: SettingsFile,
        /// How often each request is decided.
        #[arg(long, default_value_t = 20_000)]
        rounds: u32,
    },
}

impl Command {
    /// Carries the command out.
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

/// Reads a sample request: a JSON object of facts by name, `params` and `body`.
fn read_request(path: &Path) -> Result<SampleRequest, CommandError> {
    let whole = read_json(path)?;
    let fields = whole
        .as_object()
        .ok_or_else(|| CommandError::file(path, FileProblem::NotObject))?;
    let plain = |value: &Value| {
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
                request.params = params.iter().map(|(n, v)| (n.clone(), plain(v))).collect();
            }
            "body" => request.body = plain(value).into_bytes(),
            name => {
                request.set(name, &plain(value)).map_err(|expected| {
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
    let Some(book) = file.read_rules()? else {
        return Ok(false);
    };
    let mut scratch = Scratch::new(0);
    scratch.shows_keys = true;
    let facts = request.facts(&book.rules);
    let explained = book.rules.explain(&facts, &mut scratch);
    let decision = book.rules.decide(&facts, &mut scratch, Search::Index);
    let given = decision
        .output
        .as_ref()
        .map(|given| outcome_json(&book, given));
    let limit = book.rules.request_limit();
    if format == Format::Json {
        let rules: Vec<_> = explained
            .iter()
            .map(|why| explanation_json(&book.rules.rules()[why.place].name, why))
            .collect();
        let whole = json!({"given": given, "units": decision.cost, "limit": limit,
            "evaluated": decision.evaluated_count, "rules": rules});
        println!("{whole:#}");
        return Ok(true);
    }
    for why in &explained {
        print_explanation(&book, why);
    }
    match &given {
        Some(given) => println!("given: {given}"),
        None => println!("given: nothing, no rule matches"),
    }
    println!(
        "{} rules evaluated, {} units of {limit} used",
        decision.evaluated_count, decision.cost
    );
    Ok(true)
}

/// What the rule that matches gives the request.
fn outcome_json(book: &RuleConfig, given: &RuleOutput<'_>) -> Value {
    let rule = given.rule;
    let verdict = match &rule.verdict {
        Some(Verdict::Throttle { pause, reason }) => {
            json!({"throttle": reason, "pause_ms": *pause as f64 / 1e6})
        }
        Some(Verdict::Error { status, reason }) => json!({"error": reason, "status": status}),
        None => Value::Null,
    };
    let limits = given.buckets.iter().zip(&given.bucket_texts);
    let limits = limits.map(
        |((bucket, _), key)| json!({"bucket": book.buckets[usize::from(*bucket)].name, "key": key}),
    );
    let facts: BTreeMap<_, _> = given
        .facts
        .iter()
        .map(|(name, value)| (name.to_string(), value.clone()))
        .collect();
    json!({
        "rule": rule.name,
        "operation": rule.operation.and_then(|operation| book.operations.get(operation)),
        "class": rule.class.map(|class| &book.rules.classes()[usize::from(class)]),
        "key": given.key_text,
        "rank": given.rank,
        "facts": facts,
        "limits": limits.collect::<Vec<_>>(),
        "verdict": verdict,
        "worst_units": rule.max_cost(),
    })
}

fn print_explanation(book: &RuleConfig, why: &RuleExplanation) {
    let rule = &book.rules.rules()[why.place];
    let path = if why.evaluated {
        "evaluated"
    } else {
        "left out"
    };
    let outcome = match (&why.result, &why.failed) {
        (Ok(true), _) => "matches".to_owned(),
        (_, Some((part, what))) => format!("no match: {part} {what}"),
        _ => "no match".to_owned(),
    };
    println!(
        "{}: {outcome} ({path} by the index, filed under {}; {} units, worst {})",
        rule.name,
        why.index_kind,
        why.cost,
        rule.max_cost()
    );
}

fn explanation_json(name: &str, why: &RuleExplanation) -> Value {
    let failed = why
        .failed
        .as_ref()
        .map(|(part, what)| json!({"part": part, "what": what}));
    json!({"rule": name, "matches": why.result == Ok(true), "evaluated": why.evaluated, "filed_under": why.index_kind,
        "units": why.cost, "failed": failed})
}

/// Runs the cases that are written beside the rules.
fn test(file: &SettingsFile) -> CommandResult {
    let Some(book) = file.read_rules()? else {
        return Ok(false);
    };
    let mut failed = 0;
    for case in &book.cases {
        match case.run(&book) {
            Ok(()) => println!("ok: {}", case.name),
            Err(what) => {
                failed += 1;
                println!("FAILED: {}: {what}", case.name);
            }
        }
    }
    println!("{} passed, {failed} failed", book.cases.len() - failed);
    Ok(failed == 0)
}

/// Memory of the process, in KiB, where the system tells it.
fn resident() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn bench(file: &SettingsFile, rounds: u32) -> CommandResult {
    let before = resident();
    let loading = Instant::now();
    let Some(book) = file.read_rules()? else {
        return Ok(false);
    };
    let loaded = loading.elapsed();
    let after = resident();
    if book.cases.is_empty() {
        return Err(CommandError::file(&file.path, FileProblem::NoCases));
    }
    println!(
        "{} rules loaded in {:.1} ms, about {} KiB by own count",
        book.rules.rules().len(),
        loaded.as_secs_f64() * 1e3,
        book.rules.bytes() >> 10
    );
    if let (Some(before), Some(after)) = (before, after) {
        println!("memory of the process: {before} KiB before, {after} KiB after loading");
    }
    println!(
        "{:<8} {:>10} {:>10} {:>10} {:>12} {:>12}",
        "by", "p50 ns", "p99 ns", "max ns", "units most", "evaluated"
    );
    for (name, search) in [("index", Search::Index), ("scan", Search::Scan)] {
        let mut times = Histogram::<u64>::new_with_bounds(1, MEASURED_MAX, 3)?;
        let (mut units, mut evaluated) = (0, 0);
        let mut scratch = Scratch::new(0);
        for case in &book.cases {
            let facts = case.request.facts(&book.rules);
            for _ in 0..rounds.max(1) {
                let began = Instant::now();
                let decision =
                    black_box(book.rules.decide(black_box(&facts), &mut scratch, search));
                let took = began.elapsed().as_nanos() as u64;
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
