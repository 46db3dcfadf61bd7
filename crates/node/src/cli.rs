//! The command line: its sub-commands, and the exit codes that their results map to.

mod arguments;
mod check;
mod error;
mod fleet;
mod identity;
mod node_query;
mod rollout;
mod rules;
mod shared;

use crate::serve;
use crate::supervisor;
use arguments::{Format, SettingsFile};
use clap::{Args, Parser, Subcommand, ValueEnum};
use error::{CommandError, CommandResult};
use madderpoint_node::log;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for wrong arguments, or for a command that could not be carried out.
const EXIT_USAGE: u8 = 2;

/// Load-admission server: decides which requests a node admits, runs and rejects.
#[derive(Parser)]
#[command(
    name = "madderpoint",
    after_help = "Example: PROXY_CONFIG=config.json madderpoint serve --settings translator.xml"
)]
pub struct CommandLine {
    /// Settings file to serve with; without this option the node runs without a settings file.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    #[command(flatten)]
    log: Log,
    #[command(subcommand)]
    command: Option<Command>,
}

/// Log options.
#[derive(Args, Clone, Copy, Debug)]
struct Log {
    /// Log format: plain lines, or JSON lines with the fields time, node, part and event.
    #[arg(long, value_enum, value_name = "FORM", default_value_t = Form::Plain)]
    log: Form,
    /// Log each step of each request, without the limit on lines per second; for debugging, not
    /// for production.
    #[arg(long)]
    follow: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, ValueEnum)]
enum Form {
    Plain,
    Json,
}

impl From<Log> for log::Options {
    fn from(log: Log) -> log::Options {
        log::Options {
            form: match log.log {
                Form::Plain => log::Form::Plain,
                Form::Json => log::Form::Json,
            },
            follow: log.follow,
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Run the server; this is also the default without a sub-command.
    Serve {
        /// Settings file.
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
        #[command(flatten)]
        log: Log,
    },
    /// Inspect a running fleet, or simulate one.
    Fleet {
        #[command(subcommand)]
        command: fleet::Command,
    },
    /// Inspect the state that the nodes of a fleet share.
    Shared {
        #[command(subcommand)]
        command: shared::Command,
    },
    /// Run a node under a supervisor process that can replace it with another version of the
    /// program.
    #[command(
        after_help = "Example: PROXY_CONFIG=config.json madderpoint run-under --programs /opt/madderpoint --start 7 \\\n\
            --state /var/lib/madderpoint -- serve --settings translator.xml"
    )]
    RunUnder {
        /// Directory with one sub-directory for each version, named by the version's number, that
        /// contains the program.
        #[arg(long, value_name = "DIR")]
        programs: PathBuf,
        /// Version to start if no version is in force yet, or if this one is newer: the name of one
        /// of the sub-directories.
        #[arg(long, value_name = "DIR")]
        start: PathBuf,
        /// Directory in which the supervisor stores which version is in force.
        #[arg(long, value_name = "DIR")]
        state: PathBuf,
        #[command(flatten)]
        log: Log,
        /// Arguments passed to the program.
        #[arg(last = true)]
        arguments: Vec<String>,
    },
    /// Change the settings or the program of a fleet in stages.
    Rollout {
        #[command(subcommand)]
        command: rollout::Command,
    },
    /// Check a settings file and show all errors in it.
    #[command(after_help = "Example: madderpoint check deploy/translator.xml --config config.json")]
    Check {
        #[command(flatten)]
        file: SettingsFile,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Check SPIFFE identities.
    Identity {
        #[command(subcommand)]
        command: identity::Command,
    },
    /// Test, explain and measure rules.
    Rules {
        #[command(subcommand)]
        command: rules::Command,
    },
}

impl CommandLine {
    /// Runs the command and returns the exit code of the process.
    pub fn run(self) -> ExitCode {
        let result = match self.command {
            None => serve(self.settings, self.log),
            Some(Command::Serve { settings, log }) => serve(settings.or(self.settings), log),
            Some(command) => command.run(),
        };
        match result {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(e) => {
                eprintln!("madderpoint: {e}");
                match e {
                    CommandError::Start(_) => ExitCode::FAILURE,
                    _ => ExitCode::from(EXIT_USAGE),
                }
            }
        }
    }
}

impl Command {
    fn run(self) -> CommandResult {
        match self {
            Command::Serve { settings, log } => serve(settings, log),
            Command::RunUnder {
                programs,
                start,
                state,
                log,
                arguments,
            } => {
                supervisor::run(supervisor::SupervisorOptions {
                    programs,
                    start,
                    state,
                    arguments,
                    logging: log.into(),
                })?;
                Ok(true)
            }
            Command::Fleet { command } => command.run(),
            Command::Shared { command } => command.run(),
            Command::Rollout { command } => command.run(),
            Command::Check { file, format } => check::check(&file, format),
            Command::Identity { command } => command.run(),
            Command::Rules { command } => command.run(),
        }
    }
}

fn serve(settings: Option<PathBuf>, log: Log) -> CommandResult {
    serve::serve(settings, log.into())?;
    Ok(true)
}
