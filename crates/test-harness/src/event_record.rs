//! The event record: the log lines of a scenario's processes and the notes of the runner, joined
//! into one list by the machine's clock.

use serde_json::Value;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of lines in the record; when the record is full, the oldest quarter is dropped.
const LINES_MAX: usize = 200_000;

/// A line of the event record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventLine {
    /// Unix time of the line, in nanoseconds.
    pub at: u128,
    /// The node that logged the line, or the runner (`rig`).
    pub source: String,
    /// The field `part` of the program's log line, or the kind of the runner's note.
    pub part: String,
    /// The log event's name; empty if the line names none.
    pub event: String,
    /// The text of the log message or note, without time, source and event name.
    pub message: String,
}

impl fmt::Display for EventLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = self.at / 1_000_000;
        write!(
            f,
            "{:>6}.{:03} {:<7} {:<11} {}",
            ms / 1000 % 1_000_000,
            ms % 1000,
            self.source,
            self.part,
            self.message
        )
    }
}

/// Returns the present Unix time in nanoseconds.
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

    /// Adds a note about an action or observation of the runner.
    pub fn note(&self, source: &str, part: &str, message: impl Into<String>) {
        self.push(EventLine {
            at: unix_nanos(),
            source: source.into(),
            part: part.into(),
            event: String::new(),
            message: message.into(),
        });
    }

    /// Adds a line that a process wrote: a JSON log line, or plain text such as a panic message.
    pub fn line(&self, source: &str, text: &str) {
        let parsed: Option<Value> = serde_json::from_str(text).ok();
        let field = |name: &str| {
            parsed
                .as_ref()
                .and_then(|v| v[name].as_str())
                .unwrap_or_default()
                .to_owned()
        };
        let at = field("timestamp").parse().unwrap_or_else(|_| unix_nanos());
        let message = if parsed.is_some() {
            field("message")
        } else {
            text.to_owned()
        };
        self.push(EventLine {
            at,
            source: source.into(),
            part: field("part"),
            event: field("event"),
            message,
        });
    }

    /// Returns all lines, ordered by time.
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
