//! `madderpoint fleet`: the member table of a running node, and simulated clusters.

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

/// Commands about a cluster.
#[derive(Subcommand)]
pub enum Command {
    /// Show what a running node holds of its fleet.
    #[command(
        after_help = "Example: madderpoint fleet show --settings translator.xml --at 10.0.0.4:7946"
    )]
    Show {
        /// The settings with the fleet's name and keys.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Where the node's part in the fleet listens.
        #[arg(long = "at", value_name = "ADDRESS")]
        node: SocketAddr,
        /// How it is shown.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Show what changes at a running node, and its digest, until it ends.
    #[command(
        after_help = "Example: madderpoint fleet watch --settings translator.xml --at 10.0.0.4:7946 --times 60"
    )]
    Watch {
        /// The settings with the fleet's name and keys.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Where the node's part in the fleet listens.
        #[arg(long = "at", value_name = "ADDRESS")]
        node: SocketAddr,
        /// Between two looks.
        #[arg(long = "every", value_name = "EVERY", default_value = "1s")]
        interval: String,
        /// How many looks; without end if it is not told.
        #[arg(long)]
        times: Option<u64>,
    },
    /// Play a fleet of any size over simulated time, and measure it.
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
