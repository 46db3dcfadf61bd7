//! Speaks the simulator's wire: batches of events come in on standard input, and what the decisions
//! of [`madderpoint::admission`] do for each goes out on standard output. Input that cannot be
//! followed ends the process with one line on standard error and exit code 1.

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
