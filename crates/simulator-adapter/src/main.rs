//! Adapter of the simulator's wire protocol: reads batches of events from standard input, passes
//! them to [`madderpoint::admission`] and writes the resulting actions to standard output.
//! Malformed input ends the process with one line on standard error and exit code 1.

mod adapter;
mod batch;
mod codes;
mod error;
mod fields;
mod host;
#[cfg(test)]
mod tests;

use adapter::Adapter;
use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let output = io::stdout();
    match Adapter::default().serve(&mut io::stdin().lock(), &mut BufWriter::new(output.lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("madderpoint-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
