//! The command line: what can be called, and how its results become exit codes.

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

/// Exit code of a command that was called wrongly or could not be carried out.
const EXIT_USAGE: u8 = 2;

/// Decides, inside a server, which requests it accepts, runs and rejects.
#[derive(Parser)]
#[command(
    name = "madderpoint",
    after_help = "Example: PROXY_CONFIG=config.json madderpoint serve --settings translator.xml"
)]
pub struct CommandLine {
    /// The settings file, where serving is to use one.
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
    /// With each step of each request, without regard to the rate: for a look, not for service.
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
    /// Serve, as without a sub-command.
    Serve {
        /// The settings file.
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
    /// Check a settings file, and show all that is wrong.
    #[command(after_help = "Example: madderpoint check deploy/translator.xml --config config.json")]
    Check {
        #[command(flatten)]
        file: SettingsFile,
        /// How the result is shown.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Look into SPIFFE identities.
    Identity {
        #[command(subcommand)]
        command: identity::Command,
    },
    /// Try rules.
    Rules {
        #[command(subcommand)]
        command: rules::Command,
    },
}

impl CommandLine {
    /// Carries the command out.
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
