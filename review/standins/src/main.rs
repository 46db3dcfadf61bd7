//! Plays one case: `review-case NAME ROOT FOLDER TROUBLE`. The exit status is 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod backend;
mod cases;
mod dispatcher;
mod kernel;
mod node;
mod registry;
mod settings;
mod util;
mod world;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, root, folder, trouble] = arguments.as_slice() else {
        eprintln!("review-case NAME ROOT FOLDER TROUBLE");
        exit(2);
    };
    let place = cases::Place {
        root: PathBuf::from(root),
        folder: PathBuf::from(folder),
        trouble: trouble != "0",
    };
    cases::watch();
    let outcome = match name.as_str() {
        "overload-copy" => cases::overload_copy(&place),
        "broken-link" => cases::broken_link(&place),
        "slow-bodies" => cases::slow_bodies(&place),
        _ => None,
    };
    match outcome {
        Some(broken) => exit(i32::from(broken)),
        None => {
            eprintln!("the case could not run");
            exit(2)
        }
    }
}
