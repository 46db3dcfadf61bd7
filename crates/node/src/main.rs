//! Starts a node from the file that `PROXY_CONFIG` names, and hands it the notice to leave and new
//! configurations.

#![forbid(unsafe_code)]

use madderpoint_node::driver::{self, Notice};
use madderpoint_node::{config, log};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

/// Stack of the thread that waits for signals.
const STACK: usize = 128 * 1024;

fn start() -> Result<(), String> {
    // First of all, so that neither signal ever ends the process by its default.
    let mut signals = Signals::new([SIGTERM, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let path = PathBuf::from(std::env::var_os("PROXY_CONFIG").ok_or("PROXY_CONFIG is not set")?);
    let told = |name: &str| std::env::var(name).ok();
    let who = Arc::new(config::read(&path, told)?);
    let first = Arc::clone(&who);
    let (notices, inbox) = crossbeam_channel::bounded(1);
    let listening = thread::Builder::new().name("signals".into()).stack_size(STACK).spawn(move || {
        for signal in signals.forever() {
            let notice = match signal {
                SIGTERM => Notice::Leave,
                _ => match config::reread(&path, told, &first) {
                    Ok(moved) => Notice::Moved(moved),
                    Err(what) => {
                        log!("new configuration not taken, the one before stays: {what}");
                        continue;
                    }
                },
            };
            let _ = notices.send(notice);
        }
    });
    listening.map_err(|e| format!("signals: {e}"))?;
    driver::serve(&who, inbox).map_err(|e| format!("listen {}: {e}", who.listen))
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
