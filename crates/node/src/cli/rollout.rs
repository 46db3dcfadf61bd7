//! `madderpoint rollout`: rollouts of the settings or the program in stages: started, shown, halted,
//! rolled back.

mod display;
mod plot;
mod target;

use super::fleet::Asker;
use super::{Ended, Format};
use clap::Subcommand;
use display::{explain, status, summary};
use madderpoint_node::program_version;
use madderpoint_rollout::chunks;
use madderpoint_rollout::messages::{CommandReply, OperatorCommand, order};
use madderpoint_rollout::operator_commands::state;
use plot::plot;
use prost::Message;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};
use target::{At, request_status};

/// How long a node may take to check what is offered.
const CHECK_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two questions about that.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

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

/// Sends a command until it has a final reply, or [`CHECK_TIMEOUT`] has passed.
fn send_command(at: &At, command: &OperatorCommand) -> Result<CommandReply, String> {
    let mut asker = Asker::about(&at.settings, at.at, at.topic())?;
    let until = Instant::now() + CHECK_TIMEOUT;
    loop {
        let answer = asker.order(at.topic(), &command.encode_to_vec())?;
        let answer = CommandReply::decode(answer.as_slice())
            .map_err(|e| format!("{}: its answer can't be read: {e}", at.at))?;
        if answer.state != state::LATER || Instant::now() > until {
            return Ok(answer);
        }
        thread::sleep(RETRY_INTERVAL);
    }
}

/// Prints a reply; whether the command was taken. One that was rejected is no wrong call.
fn print_reply(answer: &CommandReply) -> bool {
    match answer.state {
        state::TAKEN => {
            let more = if answer.why.is_empty() {
                String::new()
            } else {
                format!(": {}", answer.why)
            };
            println!("change {:016x}{more}", answer.rollout);
        }
        state::LATER => println!("not taken yet: {}", answer.why),
        _ => println!("turned down: {}", answer.why),
    }
    answer.state == state::TAKEN
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
                chunk: no,
                bytes,
                size,
                digest,
                ..OperatorCommand::default()
            };
            let answer = send_command(at, &chunk)?;
            if answer.state != state::TAKEN {
                return Ok(print_reply(&answer));
            }
        }
        OperatorCommand {
            kind: order::OFFER,
            digest,
            ..OperatorCommand::default()
        }
    };
    let answer = send_command(at, &command)?;
    if !print_reply(&answer) || !wait {
        return Ok(answer.state == state::TAKEN);
    }
    follow(at, answer.rollout)
}

/// Tells each stage of a rollout until it is over.
fn follow(at: &At, id: u64) -> Ended {
    let mut before = (u32::MAX, String::new());
    let mut lost = 0;
    loop {
        thread::sleep(Duration::from_millis(500));
        let Ok(shown) = request_status(at) else {
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
    Ok(print_reply(&send_command(at, &command)?))
}
