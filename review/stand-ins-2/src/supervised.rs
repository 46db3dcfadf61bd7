//! A node under the project's supervisor, `run-under`.

use crate::node::{remember, root, work};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Writes a version of the program: a copy of the build, or a script in its place.
pub fn write_version(number: u32, script: Option<&str>) -> std::io::Result<()> {
    let folder = work().join(format!("programs/{number}"));
    std::fs::create_dir_all(&folder)?;
    let file = folder.join("madderpoint");
    match script {
        Some(text) => std::fs::write(&file, text)?,
        None => {
            std::fs::copy(root().join("target/release/madderpoint"), &file)?;
        }
    }
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o755))
}

/// Returns the arguments that start a node of a version under a supervisor.
pub fn arguments(version: u32) -> String {
    let work = work();
    let work = work.display();
    format!("run-under --programs {work}/programs --start {version} --state {work}/state -- serve")
}

/// Returns the ids of the processes that supervisors have started and that may run, and remembers
/// them: they go on when their supervisor is killed.
pub fn processes() -> Vec<u32> {
    let mut pids = Vec::new();
    read_processes(&work().join("state"), &mut pids);
    pids.iter().copied().for_each(remember);
    pids
}

fn read_processes(folder: &Path, pids: &mut Vec<u32>) {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return;
    };
    for path in entries.flatten().map(|entry| entry.path()) {
        if path.is_dir() {
            read_processes(&path, pids);
        } else if path.file_name().is_some_and(|name| name == "processes") {
            let text = std::fs::read_to_string(&path).unwrap_or_default();
            let found = text
                .lines()
                .filter_map(|line| line.split(' ').next()?.parse::<u32>().ok());
            pids.extend(found);
        }
    }
}
