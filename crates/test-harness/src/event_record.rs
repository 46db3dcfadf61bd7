//! The joined event record: what a scenario's processes, proxies and steps log, on one clock.

use serde_json::Value;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Lines in the record at most; when it is full the oldest quarter is dropped.
const LINES_MAX: usize = 200_000;

/// A line of the event record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventLine {
    /// Unix time in nanoseconds.
    pub at: u128,
    /// The node that logged it, or the runner.
    pub who: String,
    /// The part of the program, or the kind of the runner's note.
    pub part: String,
    /// The log event's name; empty if it has none.
    pub event: String,
    /// The message.
    pub what: String,
}

impl fmt::Display for EventLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = self.at / 1_000_000;
        write!(
            f,
            "{:>6}.{:03} {:<7} {:<11} {}",
            ms / 1000 % 1_000_000,
            ms % 1000,
            self.who,
            self.part,
            self.what
        )
    }
}

/// The present Unix time in nanoseconds.
pub fn unix_nanos() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos()
}

/// The event record, shared by the threads that write to it.
#[derive(Default)]
pub struct EventRecord {
    lines: Mutex<Vec<EventLine>>,
}

impl EventRecord {
    fn push(&self, line: EventLine) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() >= LINES_MAX {
            lines.drain(..LINES_MAX / 4);
        }
        lines.push(line);
    }

    /// Adds something that the runner did or saw.
    pub fn note(&self, who: &str, part: &str, what: impl Into<String>) {
        self.push(EventLine {
            at: unix_nanos(),
            who: who.into(),
            part: part.into(),
            event: String::new(),
            what: what.into(),
        });
    }

    /// Adds a line that a process wrote: JSON, or plain text such as a panic message.
    pub fn line(&self, who: &str, text: &str) {
        let read: Option<Value> = serde_json::from_str(text).ok();
        let field = |name: &str| {
            read.as_ref()
                .and_then(|v| v[name].as_str())
                .unwrap_or_default()
                .to_owned()
        };
        let at = field("timestamp").parse().unwrap_or_else(|_| unix_nanos());
        let what = if read.is_some() {
            field("message")
        } else {
            text.to_owned()
        };
        self.push(EventLine {
            at,
            who: who.into(),
            part: field("part"),
            event: field("event"),
            what,
        });
    }

    /// All lines, ordered by time.
    pub fn joined(&self) -> Vec<EventLine> {
        let mut lines = self
            .lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        lines.sort_by_key(|line| line.at);
        lines
    }
}

#[cfg(test)]
mod tests;
