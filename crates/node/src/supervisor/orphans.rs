//! Processes of a previous supervisor, as listed in the file that it wrote.

use std::path::Path;

/// A process of a previous supervisor. The start time distinguishes it from a later process with
/// the same id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Orphan {
    pub(super) pid: i32,
    /// Start time in clock ticks since boot, as in `/proc/PID/stat`.
    pub(super) started: String,
}

impl Orphan {
    /// Returns the running process with this id, if there is one.
    pub(super) fn of(pid: i32) -> Option<Orphan> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The process name may contain any character and ends with the last bracket. The start time
        // is the 20th field after the name.
        let started = stat
            .rsplit_once(')')?
            .1
            .split_whitespace()
            .nth(19)?
            .to_owned();
        Some(Orphan { pid, started })
    }

    /// Returns whether the process still runs.
    pub(super) fn is_running(&self) -> bool {
        Orphan::of(self.pid).as_ref() == Some(self)
    }

    /// Reads the processes listed in a file, without those that no longer run. Returns none if the
    /// file cannot be read.
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
