//! The command line.

mod fleet;
mod rollout;
mod shared;

use crate::serve::{self, Logging};
use crate::supervisor;
use clap::{Args, Parser, Subcommand, ValueEnum};
use hdrhistogram::Histogram;
use madderpoint_deployment_config::DeploymentConfig;
use madderpoint_identity::{Bundle, Bundles, jwt, x509};
use madderpoint_rules::ruleset::RuleExplanation;
use madderpoint_rules::{Path as Search, RuleSet, Scratch, Verdict, time};
use madderpoint_settings::sample_request::SampleRequest;
use madderpoint_settings::{RuleConfig, Settings, ValidationContext};
use rustls_pki_types::CertificateDer;
use rustls_pki_types::pem::PemObject;
use serde_json::{Value, json};
use std::hint::black_box;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Decides, inside a server, which invocations it takes, runs and throttles.
#[derive(Parser)]
#[command(
    name = "madderpoint",
    after_help = "Example: PROXY_CONFIG=config.json madderpoint serve --settings translator.xml"
)]
pub struct Line {
    /// The file of our settings, where serving is to use one.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    #[command(flatten)]
    log: Log,
    #[command(subcommand)]
    command: Option<Command>,
}

/// How the log is written.
#[derive(Args, Clone, Copy, Debug)]
struct Log {
    /// As plain lines, or as JSON lines with time, node, part and event.
    #[arg(long, value_enum, value_name = "FORM", default_value_t = Form::Plain)]
    log: Form,
    /// With each step of each invocation, without regard to the rate: for a look, not for service.
    #[arg(long)]
    follow: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, ValueEnum)]
enum Form {
    Plain,
    Json,
}

impl From<Log> for Logging {
    fn from(log: Log) -> Logging {
        Logging {
            json: log.log == Form::Json,
            follow: log.follow,
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Serve, as without a sub-command.
    Serve {
        /// The file of our settings.
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
        #[command(flatten)]
        log: Log,
    },
    /// Look at a running fleet, or simulate one.
    Fleet {
        #[command(subcommand)]
        command: fleet::Command,
    },
    /// Look at what a fleet shares.
    Shared {
        #[command(subcommand)]
        command: shared::Command,
    },
    /// Run a node under a small parent that can put another version of the program in its place.
    #[command(
        after_help = "Example: PROXY_CONFIG=config.json madderpoint run-under --programs /opt/madderpoint --start 7 \\\n\
            --state /var/lib/madderpoint -- serve --settings translator.xml"
    )]
    RunUnder {
        /// Where directories of versions are: each named by its number, with the program in it.
        #[arg(long, value_name = "DIR")]
        programs: PathBuf,
        /// The version to start on where none is in force yet, or a newer one is given: one of
        /// these directories.
        #[arg(long, value_name = "DIR")]
        start: PathBuf,
        /// Where it is kept what is in force.
        #[arg(long, value_name = "DIR")]
        state: PathBuf,
        #[command(flatten)]
        log: Log,
        /// Arguments for the program.
        #[arg(last = true)]
        arguments: Vec<String>,
    },
    /// Change the settings or the program of a fleet in stages.
    Rollout {
        #[command(subcommand)]
        command: rollout::Command,
    },
    /// Check a file of our settings, and show all that is wrong.
    #[command(after_help = "Example: madderpoint check deploy/translator.xml --config config.json")]
    Check {
        #[command(flatten)]
        file: File,
        /// How the result is shown.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Look into SPIFFE identities.
    Identity {
        #[command(subcommand)]
        command: Identity,
    },
    /// Try rules.
    Rules {
        #[command(subcommand)]
        command: Rules,
    },
}

#[derive(Args)]
struct File {
    /// The file.
    file: PathBuf,
    /// A node's configuration, whose operations and tenants are the ones that are known. Without
    /// one any name goes.
    #[arg(long, value_name = "CONFIG")]
    config: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Identity {
    /// Check a chain of certificates (PEM, the leaf first) or a JWT-SVID against trust bundles.
    #[command(
        after_help = "Example: madderpoint identity check caller.pem --bundle saha.example=bundle.json\n\
        Example: madderpoint identity check token.jwt --bundle saha.example=bundle.json --audience node"
    )]
    Check {
        /// The chain, or the token.
        file: PathBuf,
        /// A trust domain and the file of its bundle, in the SPIFFE format; may be given for each
        /// domain.
        #[arg(long, value_name = "DOMAIN=FILE", required = true)]
        bundle: Vec<String>,
        /// Whom the token is to be for; the file is then taken for a JWT-SVID.
        #[arg(long)]
        audience: Option<String>,
        /// The time at which it is checked, by RFC 3339; now if it is not told.
        #[arg(long, value_name = "TIME")]
        at: Option<String>,
        /// How the result is shown.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
}

#[derive(Subcommand)]
enum Rules {
    /// Show which rule a request matches, why those above it do not, and what that costs.
    #[command(
        after_help = "Example: madderpoint rules explain translator.xml --request r.json\n\
        where r.json is {\"script\": \"/call/gun-yaz\", \"tenant\": \"ege\", \"params\": {\"HTTP_X_SITE\": \"7\"}}"
    )]
    Explain {
        #[command(flatten)]
        file: File,
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
        file: File,
    },
    /// Measure the rules over the requests of the cases, by index and by scan.
    #[command(
        after_help = "Example: madderpoint rules bench deploy/translator.xml --rounds 100000"
    )]
    Bench {
        #[command(flatten)]
        file: File,
        /// How often each request is decided.
        #[arg(long, default_value_t = 20_000)]
        rounds: u32,
    },
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Format {
    Text,
    Json,
}

/// How a command ended that was called rightly: well, or the thing checked is bad.
type Ended = Result<bool, String>;

impl Line {
    /// Carries the call out.
    pub fn run(self) -> ExitCode {
        let ended = match self.command {
            None => return Self::serves(self.settings, self.log),
            Some(Command::Serve { settings, log }) => {
                return Self::serves(settings.or(self.settings), log);
            }
            Some(Command::RunUnder {
                programs,
                start,
                state,
                log,
                arguments,
            }) => {
                let logging = log.into();
                supervisor::run(supervisor::Told {
                    programs,
                    start,
                    state,
                    arguments,
                    logging,
                })
                .map(|()| true)
            }
            Some(Command::Fleet { command }) => command.run(),
            Some(Command::Shared { command }) => command.run(),
            Some(Command::Rollout { command }) => command.run(),
            Some(Command::Check { file, format }) => check(&file, format),
            Some(Command::Identity {
                command:
                    Identity::Check {
                        file,
                        bundle,
                        audience,
                        at,
                        format,
                    },
            }) => identity(&file, &bundle, audience.as_deref(), at.as_deref(), format),
            Some(Command::Rules {
                command:
                    Rules::Explain {
                        file,
                        request,
                        format,
                    },
            }) => explain(&file, &request, format),
            Some(Command::Rules {
                command: Rules::Test { file },
            }) => test(&file),
            Some(Command::Rules {
                command: Rules::Bench { file, rounds },
            }) => bench(&file, rounds),
        };
        match ended {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(what) => {
                eprintln!("madderpoint: {what}");
                ExitCode::from(2)
            }
        }
    }

    fn serves(settings: Option<PathBuf>, log: Log) -> ExitCode {
        match serve::serve(settings, log.into()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(what) => {
                eprintln!("madderpoint: {what}");
                ExitCode::FAILURE
            }
        }
    }
}

/// The settings in a node's configuration; all else in that file is of no matter here.
fn start(path: &Path) -> Result<DeploymentConfig, String> {
    let wrong = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| wrong(e.to_string()))?;
    let whole: Value = serde_json::from_str(&text).map_err(|e| wrong(e.to_string()))?;
    let settings = whole.get("settings").unwrap_or(&whole);
    madderpoint_deployment_config::decode(settings.to_string().as_bytes())
        .map_err(|e| wrong(format!("settings: {e}")))
}

/// Reads a file; what is wrong with it has been shown if there is nothing.
fn read(file: &File) -> Result<Option<Settings>, String> {
    let known = match &file.config {
        Some(config) => ValidationContext {
            ..serve::known(&start(config)?)
        },
        None => ValidationContext::permissive(),
    };
    if !file.file.is_file() {
        return Err(format!("{}: no such file", file.file.display()));
    }
    match serve::read(&file.file, &known) {
        Ok(translator) => Ok(Some(translator)),
        Err(complaints) => {
            eprint!("{complaints}");
            Ok(None)
        }
    }
}

fn rulebook(file: &File) -> Result<Option<RuleConfig>, String> {
    let Some(translator) = read(file)? else {
        return Ok(None);
    };
    translator
        .rules
        .map(Some)
        .ok_or_else(|| format!("{}: no <rules>", file.file.display()))
}

fn check(file: &File, format: Format) -> Ended {
    let Some(translator) = read(file)? else {
        if format == Format::Json {
            println!(
                "{}",
                json!({"file": file.file.display().to_string(), "good": false})
            );
        }
        return Ok(false);
    };
    let rules = translator.rules.as_ref();
    let (count, buckets, cases) = rules.map_or((0, 0, 0), |b| {
        (b.rules.rules().len(), b.buckets.len(), b.cases.len())
    });
    let (bytes, worst, most) = rules.map_or((0, 0, 0), |b| {
        (b.rules.bytes(), b.rules.worst(), dearest(&b.rules))
    });
    match format {
        Format::Text => println!(
            "{}: good; {count} rules, {buckets} buckets, {cases} cases; {} KiB; dearest rule {most} units, a request \
             at most {worst}",
            file.file.display(),
            bytes >> 10
        ),
        Format::Json => println!(
            "{}",
            json!({"file": file.file.display().to_string(), "good": true, "rules": count, "buckets": buckets,
                "cases": cases, "bytes": bytes, "dearest_rule_units": most, "request_units": worst})
        ),
    }
    Ok(true)
}

fn dearest(rules: &RuleSet) -> u64 {
    rules
        .rules()
        .iter()
        .map(|rule| rule.worst())
        .max()
        .unwrap_or(0)
}

/// A request as JSON.
fn request(path: &Path) -> Result<SampleRequest, String> {
    let wrong = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| wrong(e.to_string()))?;
    let whole: Value = serde_json::from_str(&text).map_err(|e| wrong(e.to_string()))?;
    let fields = whole
        .as_object()
        .ok_or_else(|| wrong("not an object".into()))?;
    let plain = |value: &Value| {
        value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned)
    };
    let mut asked = SampleRequest::default();
    for (name, value) in fields {
        match name.as_str() {
            "params" => {
                let params = value
                    .as_object()
                    .ok_or_else(|| wrong("params is not an object".into()))?;
                asked.params = params.iter().map(|(n, v)| (n.clone(), plain(v))).collect();
            }
            "body" => asked.body = plain(value).into_bytes(),
            name => {
                asked
                    .set(name, &plain(value))
                    .map_err(|expected| wrong(format!("{name}: expected {expected}")))?;
            }
        }
    }
    Ok(asked)
}

fn explain(file: &File, path: &Path, format: Format) -> Ended {
    let asked = request(path)?;
    let Some(book) = rulebook(file)? else {
        return Ok(false);
    };
    let mut scratch = Scratch::new(0);
    scratch.shows_keys = true;
    let facts = asked.facts(&book.rules);
    let why = book.rules.explain(&facts, &mut scratch);
    let decision = book.rules.decide(&facts, &mut scratch, Search::Index);
    let rules = book.rules.rules();
    let given = decision.given.as_ref().map(|g| {
        let verdict = match &g.rule.verdict {
            Some(Verdict::Throttle { pause, reason }) => {
                json!({"throttle": reason, "pause_ms": *pause as f64 / 1e6})
            }
            Some(Verdict::Error { status, reason }) => json!({"error": reason, "status": status}),
            None => Value::Null,
        };
        let buckets: Vec<_> = g.buckets.iter().zip(&g.bucket_texts).collect();
        let buckets = buckets.into_iter().map(|((b, _), key)| json!({"bucket": book.buckets[usize::from(*b)].name, "key": key}));
        json!({
            "rule": g.rule.name, "operation": g.rule.operation.and_then(|o| book.operations.get(o)),
            "class": g.rule.class.map(|c| &book.rules.classes()[usize::from(c)]), "key": g.key_text, "rank": g.rank,
            "facts": g.facts.iter().map(|(n, v)| (n.to_string(), v.clone())).collect::<std::collections::BTreeMap<_, _>>(),
            "limits": buckets.collect::<Vec<_>>(), "verdict": verdict, "worst_units": g.rule.worst(),
        })
    });
    if format == Format::Json {
        let above: Vec<_> = why
            .iter()
            .map(|w| line_of(&rules[w.place].name, w))
            .collect();
        let whole = json!({"given": given, "units": decision.cost, "limit": book.rules.request_limit(),
            "evaluated": decision.evaluated_count, "rules": above});
        println!("{whole:#}");
        return Ok(true);
    }
    for w in &why {
        let rule = &rules[w.place];
        let path = if w.evaluated { "evaluated" } else { "left out" };
        let outcome = match (&w.result, &w.failed) {
            (Ok(true), _) => "matches".to_owned(),
            (_, Some((part, what))) => format!("no match: {part} {what}"),
            _ => "no match".to_owned(),
        };
        println!(
            "{}: {outcome} ({path} by the index, filed under {}; {} units, worst {})",
            rule.name,
            w.filed,
            w.cost,
            rule.worst()
        );
    }
    match &given {
        Some(given) => println!("given: {given}"),
        None => println!("given: nothing, no rule matches"),
    }
    println!(
        "{} rules evaluated, {} units of {} used",
        decision.evaluated_count,
        decision.cost,
        book.rules.request_limit()
    );
    Ok(true)
}

fn line_of(name: &str, why: &RuleExplanation) -> Value {
    let failed = why
        .failed
        .as_ref()
        .map(|(part, what)| json!({"part": part, "what": what}));
    json!({"rule": name, "matches": why.result == Ok(true), "evaluated": why.evaluated, "filed_under": why.filed,
        "units": why.cost, "failed": failed})
}

fn test(file: &File) -> Ended {
    let Some(book) = rulebook(file)? else {
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

fn identity(
    file: &Path,
    given: &[String],
    audience: Option<&str>,
    at: Option<&str>,
    format: Format,
) -> Ended {
    let wrong = |path: &Path, what: &dyn std::fmt::Display| format!("{}: {what}", path.display());
    let mut bundles = Bundles::default();
    for pair in given {
        let (domain, path) = pair
            .split_once('=')
            .ok_or_else(|| format!("{pair}: expected DOMAIN=FILE"))?;
        let domain = domain.parse().map_err(|e| format!("{domain}: {e}"))?;
        let path = Path::new(path);
        let text = std::fs::read(path).map_err(|e| wrong(path, &e))?;
        bundles.offer(&domain, Bundle::read(&text).map_err(|e| wrong(path, &e))?);
    }
    let now = match at {
        Some(text) => time::time(text)
            .and_then(|t| u64::try_from(t).ok())
            .ok_or_else(|| format!("{text}: no time"))?,
        None => SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| t.as_nanos() as u64),
    };
    let read = std::fs::read(file).map_err(|e| wrong(file, &e))?;
    let checked = match audience {
        Some(audience) => {
            let token = String::from_utf8_lossy(&read);
            let checked = jwt::check(token.trim(), &bundles, &[audience], now, 0);
            checked
                .map(|proven| (proven.id, proven.not_after))
                .map_err(|e| e.to_string())
        }
        None => {
            let chain = CertificateDer::pem_slice_iter(&read).collect::<Result<Vec<_>, _>>();
            let chain = chain.map_err(|e| wrong(file, &format!("no PEM: {e:?}")))?;
            let checked = x509::check(&chain, &bundles, x509::Role::Caller, now, 0);
            checked
                .map(|proven| (proven.id, proven.not_after))
                .map_err(|e| e.to_string())
        }
    };
    let until = |nanos: u64| time::print_time(i64::try_from(nanos).unwrap_or(i64::MAX));
    let good = checked.is_ok();
    match (checked, format) {
        (Ok((id, ends)), Format::Text) => println!("good: {id} until {}", until(ends)),
        (Err(why), Format::Text) => println!("refused: {why}"),
        (Ok((id, ends)), Format::Json) => {
            println!(
                "{}",
                json!({"good": true, "id": id.as_str(), "until": until(ends)})
            );
        }
        (Err(why), Format::Json) => println!("{}", json!({"good": false, "why": why})),
    }
    Ok(good)
}

/// Memory of the process, in KiB, where the system tells it.
fn resident() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn bench(file: &File, rounds: u32) -> Ended {
    let before = resident();
    let loading = Instant::now();
    let Some(book) = rulebook(file)? else {
        return Ok(false);
    };
    let loaded = loading.elapsed();
    let after = resident();
    if book.cases.is_empty() {
        return Err(format!(
            "{}: no <case>: their requests are what is measured",
            file.file.display()
        ));
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
        let mut times =
            Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3).map_err(|e| e.to_string())?;
        let (mut most, mut evaluated) = (0, 0);
        let mut scratch = Scratch::new(0);
        for case in &book.cases {
            let facts = case.request.facts(&book.rules);
            for _ in 0..rounds.max(1) {
                let began = Instant::now();
                let decision =
                    black_box(book.rules.decide(black_box(&facts), &mut scratch, search));
                let took = began.elapsed().as_nanos() as u64;
                times.saturating_record(took);
                most = most.max(decision.cost);
                evaluated = evaluated.max(decision.evaluated_count);
            }
        }
        println!(
            "{name:<8} {:>10} {:>10} {:>10} {most:>12} {evaluated:>12}",
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            times.max()
        );
    }
    Ok(true)
}
