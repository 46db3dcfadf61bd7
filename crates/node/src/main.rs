//! The program: serves without arguments, as the platform starts it, and has sub-commands that
//! check and try our settings. Results go to standard output, messages to standard error; exit
//! codes are 0 for well, 1 where the thing checked is bad, 2 where the call is wrong.

#![forbid(unsafe_code)]

mod cli;
mod serve;
mod supervisor;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    cli::CommandLine::parse().run()
}
