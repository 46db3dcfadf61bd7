//! `madderpoint fleet`: shows the member table of a running node, and simulates clusters.

mod duration;
mod scenario;
mod simulate;
mod status;

use super::arguments::Format;
use super::error::CommandResult;
use clap::Subcommand;
use simulate::SimulateOptions;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Sub-commands of `madderpoint fleet`.
#[derive(Subcommand)]
pub enum Command {
    /// Show the member table of a running node.
    #[command(
        after_help = "Example: madderpoint fleet show --settings translator.xml --at 10.0.0.4:7946"
    )]
    Show {
        /// Settings file with the fleet's name and keys.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// UDP address on which the node receives the fleet's datagrams.
        #[arg(long = "at", value_name = "ADDRESS")]
        node: SocketAddr,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Poll a running node; print the changes of its member table, and its digest.
    #[command(
        after_help = "Example: madderpoint fleet watch --settings translator.xml --at 10.0.0.4:7946 --times 60"
    )]
    Watch {
        /// Settings file with the fleet's name and keys.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// UDP address on which the node receives the fleet's datagrams.
        #[arg(long = "at", value_name = "ADDRESS")]
        node: SocketAddr,
        /// Time between two polls, such as 500ms.
        #[arg(long = "every", value_name = "EVERY", default_value = "1s")]
        interval: String,
        /// Number of polls; unlimited if not given.
        #[arg(long)]
        times: Option<u64>,
    },
    /// Simulate a fleet of 1 to 20000 members in simulated time, and print measurements.
    #[command(
        after_help = "Example: madderpoint fleet simulate --members 300 --loss 0.05 --seeds 3 --time 10m"
    )]
    Simulate(SimulateOptions),
}

impl Command {
    /// Runs the command.
    pub fn run(self) -> CommandResult {
        match self {
            Command::Show {
                settings,
                node,
                format,
            } => status::show(&settings, node, format),
            Command::Watch {
                settings,
                node,
                interval,
                times,
            } => status::watch(&settings, node, &interval, times),
            Command::Simulate(options) => simulate::run(&options),
        }
    }
}
