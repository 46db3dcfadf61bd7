//! Plays timetables of faults against several processes of the program, on loopback.

#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use madderpoint_test_harness::rig::{self, Setting};
use madderpoint_test_harness::scenario;
use std::path::PathBuf;
use std::process::ExitCode;

/// Several processes of the program, with faults between them.
#[derive(Parser)]
#[command(
    name = "madderpoint-fault-test",
    after_help = "Example: madderpoint-fault-test run examples/rig/partition.xml"
)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a timetable, and say whether all held.
    Run {
        /// The timetables.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// The program; the one beside this one if it is not told.
        #[arg(long)]
        exe: Option<PathBuf>,
        /// Another build of it, for nodes that a timetable starts as program `later`: see
        /// docs/operators/rig.md.
        #[arg(long)]
        later: Option<PathBuf>,
        /// How often each is played.
        #[arg(long, default_value_t = 1)]
        times: u32,
        /// Take this seed, and with each further time the next one, in place of the timetable's.
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Check a timetable.
    Check {
        /// The timetables.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

fn read(file: &PathBuf) -> Result<scenario::Scenario, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    scenario::read(&name, &text).map_err(|complaints| complaints.to_string())
}

fn run(
    files: &[PathBuf],
    exe: Option<PathBuf>,
    later: Option<PathBuf>,
    times: u32,
    seed: Option<u64>,
) -> Result<bool, String> {
    let beside = std::env::current_exe()
        .ok()
        .and_then(|own| Some(own.parent()?.join("madderpoint")));
    let exe = exe
        .or(beside)
        .filter(|exe| exe.is_file())
        .ok_or("no program; name it by --exe")?;
    let dir = std::env::temp_dir().join(format!("madderpoint-fault-test-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let mut good = true;
    for file in files {
        for time in 0..times {
            let mut script = read(file)?;
            script.seed = seed.map_or(script.seed, |seed| seed + u64::from(time));
            let setting = Setting {
                exe: exe.clone(),
                later: later.clone(),
                dir: dir.clone(),
                more: String::new(),
            };
            let rig = rig::Rig::start(script.clone(), setting)
                .map_err(|e| format!("{}: {e}", file.display()))?;
            let outcome = rig.play();
            let word = if outcome.failures.is_empty() {
                "held"
            } else {
                "FAILED"
            };
            println!("{}, seed {}: {word}", script.name, script.seed);
            for (what, seconds) in &outcome.took {
                println!("  {what}: {seconds:.2} s");
            }
            let below = outcome.below;
            if script.calls_a_second + script.calls_in_hand > 0 || script.below.judged {
                println!(
                    "  calls below: {}, {} in the busiest second, {} in hand at most, {} tries while it was down",
                    below.calls, below.most_in_a_second, below.most_in_hand, below.came_while_down
                );
            }
            if script.keys.count > 0 {
                println!("  runs by key: {}", outcome.keys_ran);
            }
            println!(
                "  answers {:?}, datagrams {:?}",
                outcome.statuses, outcome.datagrams
            );
            for failure in &outcome.failures {
                println!("  {failure}");
            }
            for line in &outcome.record {
                println!("    {line}");
            }
            good &= outcome.failures.is_empty();
        }
    }
    let _ = std::fs::remove_dir_all(&dir);
    Ok(good)
}

fn main() -> ExitCode {
    let ended = match Line::parse().command {
        Command::Run {
            files,
            exe,
            later,
            times,
            seed,
        } => run(&files, exe, later, times, seed),
        Command::Check { files } => files
            .iter()
            .try_for_each(|file| {
                let script = read(file)?;
                println!(
                    "{}: good; {} nodes, {} steps",
                    file.display(),
                    script.nodes,
                    script.steps.len()
                );
                Ok(())
            })
            .map(|()| true)
            .or_else(|what: String| {
                eprint!("{what}");
                Ok(false)
            }),
    };
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(what) => {
            eprintln!("madderpoint-fault-test: {what}");
            ExitCode::from(2)
        }
    }
}
