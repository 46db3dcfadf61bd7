//! Starts a node from the file that `PROXY_CONFIG` names, and hands it the notice to leave, new configurations and
//! new rules.

use madderpoint_facts::Start;
use madderpoint_node::classify::Sheet;
use madderpoint_node::config::{self, Identity};
use madderpoint_node::driver::{self, Notice};
use madderpoint_node::log;
use madderpoint_settings::{self as settings, Complaints, Known, Place, Translator};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;

/// Stack of the thread that waits for signals; where it reads settings too, their expressions nest in each other.
const STACK: usize = 128 * 1024;
const STACK_TO_READ: usize = 1024 * 1024;

/// The names and effects that a configuration's settings have.
pub fn known(start: &Start) -> Known {
    let effects = start.premises.operations.iter().map(|o| o.effect);
    Known {
        operations: Some(start.operations.iter().cloned().zip(effects).collect()),
        tenants: Some(start.tenants.clone()),
        ..Known::anything()
    }
}

/// Reads a file of our settings.
pub fn read(path: &Path, known: &Known) -> Result<Translator, Complaints> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        let (field, expected) = (String::new(), "a file of settings".to_owned());
        let complaint = settings::Complaint { place: Place::Whole, field, what: e.to_string(), expected };
        Complaints::new(&name, "", vec![complaint])
    })?;
    settings::read(&name, &text, known)
}

/// What of a file the node takes up; a file without rules has an empty set, so that those before it end.
fn sheet(path: &Path, known: &Known) -> Result<Box<Sheet>, Complaints> {
    match read(path, known)?.rules {
        Some(book) => Ok(Box::new(Sheet { rules: book.rules, buckets: book.buckets })),
        None => Ok(Box::new(Sheet::default())),
    }
}

fn with_room(who: &Identity) -> Known {
    let room = driver::room(who, true);
    Known { bytes: room.rules, file_bytes: room.settings_file, ..known(&who.start) }
}

/// Serves until the notice to leave has been carried out.
pub fn serve(settings: Option<PathBuf>) -> Result<(), String> {
    // First of all, so that neither signal ever ends the process by its default.
    let mut signals = Signals::new([SIGTERM, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let path = PathBuf::from(std::env::var_os("PROXY_CONFIG").ok_or("PROXY_CONFIG is not set")?);
    let told = |name: &str| std::env::var(name).ok();
    let who = Arc::new(config::read(&path, told)?);
    let rules = match &settings {
        Some(file) => Some(sheet(file, &with_room(&who)).map_err(|e| format!("settings not taken:\n{e}"))?),
        None => None,
    };
    let first = Arc::clone(&who);
    let (notices, inbox) = crossbeam_channel::bounded(1);
    let stack = if settings.is_some() { STACK_TO_READ } else { STACK };
    let listening = thread::Builder::new().name("signals".into()).stack_size(stack).spawn(move || {
        let tell = |notice| drop(notices.send(notice));
        for signal in signals.forever() {
            if signal == SIGTERM {
                tell(Notice::Leave);
                continue;
            }
            match config::reread(&path, told, &first) {
                Ok(moved) => tell(Notice::Moved(moved)),
                Err(what) => log!("new configuration not taken, the one before stays: {what}"),
            }
            if let Some(file) = &settings {
                match sheet(file, &with_room(&first)) {
                    Ok(sheet) => tell(Notice::Ruled(sheet)),
                    Err(what) => log!("new settings not taken, those before stay: {}", what.first()),
                }
            }
        }
    });
    listening.map_err(|e| format!("signals: {e}"))?;
    driver::serve(&who, rules, inbox).map_err(|e| format!("listen {}: {e}", who.listen))
}
