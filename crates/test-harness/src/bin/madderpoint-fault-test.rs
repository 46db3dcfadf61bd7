//! Plays fault scenarios against several processes of the program on the loopback interface.

use clap::{Parser, Subcommand};
use madderpoint_test_harness::fault_scenario::{
    self, FaultScenario, Outcome, ProgramSetup, ScenarioError,
};
use madderpoint_test_harness::scenario::Scenario;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// Play fault scenarios against several processes of the program
#[derive(Parser)]
#[command(
    name = "madderpoint-fault-test",
    after_help = "Example: madderpoint-fault-test run examples/rig/partition-and-crash.xml"
)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play scenarios and report whether all expectations held
    Run {
        /// The scenario files
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// The program under test; by default `madderpoint` in the directory of this executable
        #[arg(long)]
        exe: Option<PathBuf>,
        /// Another build of the program, for nodes that a scenario starts as program `later`; see
        /// docs/operators/rig.md
        #[arg(long)]
        later: Option<PathBuf>,
        /// Number of times that each scenario is played
        #[arg(long, default_value_t = 1)]
        times: u32,
        /// Seed that replaces the scenario's; each further time adds one to it
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Check scenarios without playing them
    Check {
        /// The scenario files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

/// Error that ends the command before all scenarios have been played.
#[derive(Debug, Error)]
enum RunError {
    #[error("program under test not found: give its file with --exe")]
    NoProgram,
    #[error("directory {path} cannot be created: {source}")]
    Directory { path: String, source: io::Error },
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error("scenario {file} cannot be started: {source}")]
    Start { file: String, source: ScenarioError },
}

/// Plays all scenarios and returns whether all expectations held.
fn run(
    files: &[PathBuf],
    exe: Option<PathBuf>,
    later: Option<PathBuf>,
    times: u32,
    seed: Option<u64>,
) -> Result<bool, RunError> {
    let default_exe = std::env::current_exe()
        .ok()
        .and_then(|this_exe| Some(this_exe.parent()?.join("madderpoint")));
    let exe = exe
        .or(default_exe)
        .filter(|exe| exe.is_file())
        .ok_or(RunError::NoProgram)?;
    let dir = std::env::temp_dir().join(format!("madderpoint-fault-test-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|source| RunError::Directory {
        path: dir.display().to_string(),
        source,
    })?;
    let setup = ProgramSetup {
        exe,
        later,
        dir: dir.clone(),
        extra_settings: String::new(),
    };
    let mut all_held = true;
    for file in files {
        for repetition in 0..times {
            let mut script = fault_scenario::read(file)?;
            script.seed = seed.map_or(script.seed, |seed| seed + u64::from(repetition));
            let scenario =
                FaultScenario::start(script.clone(), setup.clone()).map_err(|source| {
                    RunError::Start {
                        file: file.display().to_string(),
                        source,
                    }
                })?;
            let outcome = scenario.run();
            print_outcome(&script, &outcome);
            all_held &= outcome.failures.is_empty();
        }
    }
    let _ = std::fs::remove_dir_all(&dir);
    Ok(all_held)
}

/// Prints an outcome to standard output.
fn print_outcome(script: &Scenario, outcome: &Outcome) {
    let result = if outcome.failures.is_empty() {
        "held"
    } else {
        "FAILED"
    };
    println!("{}, seed {}: {result}", script.name, script.seed);
    for (expectation, seconds) in &outcome.durations {
        println!("  {expectation}: {seconds:.2} s");
    }
    let backend = outcome.backend;
    if script.calls_a_second + script.max_calls_in_flight > 0 || script.backend.judged {
        println!(
            "  backend calls: {}, {} in the busiest second, {} in flight at most, {} connection attempts while down",
            backend.calls,
            backend.most_in_a_second,
            backend.most_in_flight,
            backend.connections_while_down
        );
    }
    if script.keys.count > 0 {
        println!("  executions by key: {}", outcome.keyed_executions);
    }
    println!(
        "  answers {:?}, datagrams {:?}",
        outcome.statuses, outcome.datagrams
    );
    for failure in &outcome.failures {
        println!("  {failure}");
    }
    for line in &outcome.record_excerpt {
        println!("    {line}");
    }
}

/// Checks scenarios up to the first one that is not valid, and returns whether all are valid.
fn check(files: &[PathBuf]) -> bool {
    for file in files {
        match fault_scenario::read(file) {
            Ok(script) => println!(
                "{}: good; {} nodes, {} steps",
                file.display(),
                script.nodes,
                script.steps.len()
            ),
            Err(error) => {
                eprint!("{error}");
                return false;
            }
        }
    }
    true
}

fn main() -> ExitCode {
    let result = match CommandLine::parse().command {
        Command::Run {
            files,
            exe,
            later,
            times,
            seed,
        } => run(&files, exe, later, times, seed),
        Command::Check { files } => Ok(check(&files)),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("madderpoint-fault-test: {error}");
            ExitCode::from(2)
        }
    }
}
