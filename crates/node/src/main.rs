//! The `madderpoint` program. Without arguments, as the platform starts it, it serves; its
//! subcommands check and try out settings. Results go to standard output and messages to standard
//! error. The exit code is 0 for success, 1 if the checked input is invalid and 2 for a wrong
//! command line.

#![forbid(unsafe_code)]

mod cli;
mod serve;
mod supervisor;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    cli::CommandLine::parse().run()
}
