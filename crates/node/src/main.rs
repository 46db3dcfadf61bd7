//! Starts a node from the file that `PROXY_CONFIG` names, and hands it the notice to leave.

#![forbid(unsafe_code)]

use madderpoint_node::{config, driver};
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

/// Stack of the thread that waits for signals.
const STACK: usize = 128 * 1024;

fn start() -> Result<(), String> {
    let path = std::env::var_os("PROXY_CONFIG").ok_or("PROXY_CONFIG is not set")?;
    let who = config::read(&PathBuf::from(path), |name| std::env::var(name).ok())?;
    let listen = who.listen;
    let mut signals = Signals::new([SIGTERM]).map_err(|e| format!("signals: {e}"))?;
    let (notices, drain) = crossbeam_channel::bounded(1);
    let listening = thread::Builder::new().name("signals".into()).stack_size(STACK).spawn(move || {
        for _ in signals.forever() {
            let _ = notices.send(());
        }
    });
    listening.map_err(|e| format!("signals: {e}"))?;
    driver::serve(who, drain).map_err(|e| format!("listen {listen}: {e}"))
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("madderpoint: {what}");
            ExitCode::FAILURE
        }
    }
}
