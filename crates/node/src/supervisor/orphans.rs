//! Processes of a supervisor that is gone, by the file in which it noted them.

use std::path::Path;

/// A process of a supervisor that is gone, told from others of its number by when it was started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Orphan {
    pub(super) pid: i32,
    pub(super) started: String,
}

impl Orphan {
    /// The process of this number, if there is one.
    pub(super) fn of(pid: i32) -> Option<Orphan> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name may have anything in it but ends with the last bracket; the start is the 20th
        // field after it.
        let started = stat
            .rsplit_once(')')?
            .1
            .split_whitespace()
            .nth(19)?
            .to_owned();
        Some(Orphan { pid, started })
    }

    /// Whether it still runs.
    pub(super) fn is_running(&self) -> bool {
        Orphan::of(self.pid).as_ref() == Some(self)
    }

    /// Those of a file that still run.
    pub(super) fn read(file: &Path) -> Vec<Orphan> {
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let lines = text.lines().filter_map(|line| {
            let (pid, started) = line.split_once(' ')?;
            Some(Orphan {
                pid: pid.parse().ok()?,
                started: started.to_owned(),
            })
        });
        lines.filter(Orphan::is_running).collect()
    }
}
