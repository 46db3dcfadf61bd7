//! `madderpoint rollout`: rollouts of the settings or the program in stages: started, shown, halted,
//! rolled back.

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

/// How long a node may take to check what is offered.
const CHECK_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two requests for the result of that check.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two looks at a rollout that is followed.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);
/// Looks in a row without an answer, after which a rollout is followed no longer.
const MAX_MISSED_LOOKS: u32 = 60;

/// Commands about rollouts.
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
        target: RolloutTarget,
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
        target: RolloutTarget,
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
        target: RolloutTarget,
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
        target: RolloutTarget,
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
        target: RolloutTarget,
    },
    /// Draw both sides of a rollout over time (SVG), from the record of a voter or from what
    /// `status --format json` printed.
    #[command(
        after_help = "Example: madderpoint rollout plot --settings translator.xml --at 10.0.0.4:7946 --to change.svg"
    )]
    Plot {
        #[command(flatten)]
        target: RolloutTarget,
        /// Where to.
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
            } => end(&target, command_kind::HALT, rollout.as_deref(), &why),
            Command::Back {
                target,
                rollout,
                why,
            } => end(&target, command_kind::ROLL_BACK, rollout.as_deref(), &why),
            Command::Explain { target } => explain(&target),
            Command::Plot { target, to } => plot(&target, &to),
        }
    }
}

/// Sends a command until it has a final reply, or [`CHECK_TIMEOUT`] has passed.
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

/// Prints a reply; true if the command was accepted. A rejected one is no usage error.
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
        state::PENDING => println!("not taken yet: {}", reply.why),
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

/// The offer of the version of the program that is in a directory.
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

/// Reads a file of settings of at most [`chunks::MAX_CONTENT_BYTES`].
fn read_content(file: &Path) -> Result<Vec<u8>, CommandError> {
    let content = std::fs::read(file).map_err(|e| CommandError::file(file, e))?;
    if content.len() > chunks::MAX_CONTENT_BYTES {
        let (path, size) = (file.to_owned(), content.len());
        return Err(RolloutCommandError::TooLarge { path, size }.into());
    }
    Ok(content)
}

/// Sends a file of settings in chunks. `Some` if one is not accepted: the reply to it.
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

/// Prints each stage of a rollout until it is over; true if it is completed.
fn follow(target: &RolloutTarget, id: u64) -> CommandResult {
    let mut before = (u32::MAX, String::new());
    let mut missed_looks = 0;
    loop {
        thread::sleep(FOLLOW_INTERVAL);
        let Ok(shown) = request_status(target) else {
            missed_looks += 1;
            if missed_looks > MAX_MISSED_LOOKS {
                return Err(RolloutCommandError::StatusLost(target.node).into());
            }
            continue;
        };
        missed_looks = 0;
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

fn end(target: &RolloutTarget, kind: u32, rollout: Option<&str>, why: &str) -> CommandResult {
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
