//! `madderpoint rollout`: starts, shows, halts and rolls back staged rollouts of the settings or
//! the program.

mod display;
pub mod error;
mod plot;
mod target;

use super::arguments::Format;
use super::error::{CommandError, CommandResult};
use super::node_query::NodeQuery;
use clap::Subcommand;
use display::{explain, status, summary};
use error::RolloutCommandError;
use madderpoint_node::program_version;
use madderpoint_rollout::chunks;
use madderpoint_rollout::messages::{CommandReply, OperatorCommand, command_kind};
use madderpoint_rollout::operator_commands::state;
use plot::plot;
use prost::Message;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};
use target::{RolloutTarget, request_status};

/// Maximum time to wait until a node has checked an offered version.
const CHECK_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two requests for the result of the node's check.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two polls of a rollout with `start --wait`.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);
/// Number of consecutive polls without an answer after which `start --wait` gives up.
const MAX_MISSED_POLLS: u32 = 60;

/// Sub-commands of `madderpoint rollout`.
#[derive(Subcommand)]
pub enum Command {
    /// Offer a settings file, or with --program a version of the program, to the fleet through any
    /// node. It is rolled out in the stages that the settings in force define.
    #[command(
        after_help = "Example: madderpoint rollout start new.xml --settings translator.xml --at 10.0.0.4:7946"
    )]
    Start {
        /// Settings file with a higher number than the one in force; with --program, the directory
        /// of a version of the program.
        file: PathBuf,
        #[command(flatten)]
        target: RolloutTarget,
        /// Wait until the rollout has ended, and print each stage; the exit code is 1 if the
        /// rollout was not completed.
        #[arg(long)]
        wait: bool,
    },
    /// Show the rollout in progress, or the last one: stages, nodes, and the verdict of the canary
    /// analysis with its figures.
    #[command(
        after_help = "Example: madderpoint rollout status --settings translator.xml --at 10.0.0.4:7946"
    )]
    Status {
        #[command(flatten)]
        target: RolloutTarget,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Halt a rollout: nodes that run the new version keep it, and no more nodes start it.
    #[command(
        after_help = "Example: madderpoint rollout halt --settings translator.xml --at 10.0.0.4:7946 --why 'calls pile up'"
    )]
    Halt {
        #[command(flatten)]
        target: RolloutTarget,
        /// Identifier of the rollout, in hexadecimal; the current rollout if not given.
        #[arg(long = "change", value_name = "CHANGE")]
        rollout: Option<String>,
        /// Reason, which is stored with the rollout.
        #[arg(long, default_value = "")]
        why: String,
    },
    /// Roll back a rollout: all nodes return to the previous version.
    #[command(
        after_help = "Example: madderpoint rollout back --settings translator.xml --at 10.0.0.4:7946"
    )]
    Back {
        #[command(flatten)]
        target: RolloutTarget,
        /// Identifier of the rollout, in hexadecimal; the current rollout if not given.
        #[arg(long = "change", value_name = "CHANGE")]
        rollout: Option<String>,
        /// Reason, which is stored with the rollout.
        #[arg(long, default_value = "")]
        why: String,
    },
    /// Explain why a node runs its current version.
    #[command(
        after_help = "Example: madderpoint rollout explain --settings translator.xml --at 10.0.0.4:7946"
    )]
    Explain {
        #[command(flatten)]
        target: RolloutTarget,
    },
    /// Draw charts (SVG) of the baseline and the canary cohort over time, from the windows recorded
    /// by the coordinator of the rollout, or by the node if the coordinator cannot be reached.
    #[command(
        after_help = "Example: madderpoint rollout plot --settings translator.xml --at 10.0.0.4:7946 --to change.svg"
    )]
    Plot {
        #[command(flatten)]
        target: RolloutTarget,
        /// SVG file to write.
        #[arg(long, value_name = "FILE")]
        to: PathBuf,
    },
}

impl Command {
    /// Runs the command.
    pub fn run(self) -> CommandResult {
        match self {
            Command::Start { file, target, wait } => start(&file, &target, wait),
            Command::Status { target, format } => status(&target, format),
            Command::Halt {
                target,
                rollout,
                why,
            } => halt_or_roll_back(&target, command_kind::HALT, rollout.as_deref(), &why),
            Command::Back {
                target,
                rollout,
                why,
            } => halt_or_roll_back(&target, command_kind::ROLL_BACK, rollout.as_deref(), &why),
            Command::Explain { target } => explain(&target),
            Command::Plot { target, to } => plot(&target, &to),
        }
    }
}

/// Sends a command repeatedly until the reply is final or [`CHECK_TIMEOUT`] has passed, and returns
/// the last reply.
fn send_command(
    target: &RolloutTarget,
    command: &OperatorCommand,
) -> Result<CommandReply, CommandError> {
    let mut query = NodeQuery::for_topic(&target.settings, target.node, target.topic())?;
    let until = Instant::now() + CHECK_TIMEOUT;
    loop {
        let reply = query.send_command(&command.encode_to_vec())?;
        let reply = CommandReply::decode(reply.as_slice()).map_err(|source| {
            let node = target.node;
            RolloutCommandError::MalformedReply { node, source }
        })?;
        if reply.state != state::PENDING || Instant::now() > until {
            return Ok(reply);
        }
        thread::sleep(RETRY_INTERVAL);
    }
}

/// Prints a reply. Returns whether the command was accepted; a rejected command is not a usage
/// error.
fn print_reply(reply: &CommandReply) -> bool {
    match reply.state {
        state::DONE => {
            let more = if reply.why.is_empty() {
                String::new()
            } else {
                format!(": {}", reply.why)
            };
            println!("change {:016x}{more}", reply.rollout);
        }
        state::PENDING => println!("not accepted yet: {}", reply.why),
        _ => println!("turned down: {}", reply.why),
    }
    reply.state == state::DONE
}

fn start(file: &Path, target: &RolloutTarget, wait: bool) -> CommandResult {
    let offer = if target.program {
        program_offer(file)?
    } else {
        let content = read_content(file)?;
        let digest = chunks::digest(&content).to_vec();
        if let Some(rejection) = send_chunks(target, &content, &digest)? {
            return Ok(print_reply(&rejection));
        }
        OperatorCommand {
            kind: command_kind::OFFER,
            digest,
            ..OperatorCommand::default()
        }
    };
    let reply = send_command(target, &offer)?;
    if !print_reply(&reply) || !wait {
        return Ok(reply.state == state::DONE);
    }
    follow(target, reply.rollout)
}

/// Creates the command that offers the program version in a directory.
fn program_offer(directory: &Path) -> Result<OperatorCommand, RolloutCommandError> {
    let madderpoint_rollout::Version { number, hash } = program_version::version_of(directory)?;
    Ok(OperatorCommand {
        kind: command_kind::OFFER,
        number,
        hash,
        program: true,
        ..OperatorCommand::default()
    })
}

/// Reads a settings file of at most [`chunks::MAX_CONTENT_BYTES`] bytes.
fn read_content(file: &Path) -> Result<Vec<u8>, CommandError> {
    let content = std::fs::read(file).map_err(|e| CommandError::file(file, e))?;
    if content.len() > chunks::MAX_CONTENT_BYTES {
        let (path, size) = (file.to_owned(), content.len());
        return Err(RolloutCommandError::TooLarge { path, size }.into());
    }
    Ok(content)
}

/// Sends a settings file in chunks. If a chunk is not accepted, stops and returns the reply to it.
fn send_chunks(
    target: &RolloutTarget,
    content: &[u8],
    digest: &[u8],
) -> Result<Option<CommandReply>, CommandError> {
    for index in 0..chunks::count(content.len()) {
        let Some(bytes) = chunks::chunk(content, index) else {
            break;
        };
        let chunk = OperatorCommand {
            kind: command_kind::CHUNK,
            chunk: index,
            bytes: bytes.to_vec(),
            size: content.len() as u32,
            digest: digest.to_vec(),
            ..OperatorCommand::default()
        };
        let reply = send_command(target, &chunk)?;
        if reply.state != state::DONE {
            return Ok(Some(reply));
        }
    }
    Ok(None)
}

/// Polls a rollout until it has ended, and prints each stage. Returns whether it was completed.
fn follow(target: &RolloutTarget, id: u64) -> CommandResult {
    let mut before = (u32::MAX, String::new());
    let mut missed_polls = 0;
    loop {
        thread::sleep(FOLLOW_INTERVAL);
        let Ok(snapshot) = request_status(target) else {
            missed_polls += 1;
            if missed_polls > MAX_MISSED_POLLS {
                return Err(RolloutCommandError::StatusLost(target.node).into());
            }
            continue;
        };
        missed_polls = 0;
        let Some(rollout) = snapshot.rollouts.iter().find(|rollout| rollout.id == id) else {
            continue;
        };
        let now = (rollout.stage, rollout.outcome.clone());
        if now != before {
            println!("{}", summary(rollout, &snapshot));
            before = now;
        }
        match rollout.outcome.as_str() {
            "open" => {}
            "done" => return Ok(true),
            _ => return Ok(false),
        }
    }
}

fn halt_or_roll_back(
    target: &RolloutTarget,
    kind: u32,
    rollout: Option<&str>,
    why: &str,
) -> CommandResult {
    let rollout = match rollout {
        Some(text) => u64::from_str_radix(text, 16)
            .map_err(|_| RolloutCommandError::RolloutId(text.to_owned()))?,
        None => 0,
    };
    let command = OperatorCommand {
        kind,
        rollout,
        why: why.to_owned(),
        program: target.program,
        ..OperatorCommand::default()
    };
    Ok(print_reply(&send_command(target, &command)?))
}
