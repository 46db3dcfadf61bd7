//! One record of all that a rig's processes, relays and steps said, on one clock.

use serde_json::Value;
use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Lines that are kept; the oldest go first.
const KEPT: usize = 200_000;

/// A line of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Unix time in nanoseconds.
    pub at: u128,
    pub who: String,
    pub part: String,
    pub event: String,
    pub what: String,
}

impl fmt::Display for Line {
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

/// Now, as the record counts.
pub fn now() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos()
}

/// The record.
#[derive(Default)]
pub struct Record {
    lines: Mutex<Vec<Line>>,
}

impl Record {
    fn push(&self, line: Line) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() >= KEPT {
            lines.drain(..KEPT / 4);
        }
        lines.push(line);
    }

    /// Something that the rig did or saw.
    pub fn note(&self, who: &str, part: &str, what: impl Into<String>) {
        self.push(Line {
            at: now(),
            who: who.into(),
            part: part.into(),
            event: String::new(),
            what: what.into(),
        });
    }

    /// A line that a process wrote: JSON, or what it says as it dies.
    pub fn line(&self, who: &str, text: &str) {
        let read: Option<Value> = serde_json::from_str(text).ok();
        let field = |name: &str| {
            read.as_ref()
                .and_then(|v| v[name].as_str())
                .unwrap_or_default()
                .to_owned()
        };
        let at = field("timestamp").parse().unwrap_or_else(|_| now());
        let what = if read.is_some() {
            field("message")
        } else {
            text.to_owned()
        };
        self.push(Line {
            at,
            who: who.into(),
            part: field("part"),
            event: field("event"),
            what,
        });
    }

    /// All lines in the order of their times.
    pub fn joined(&self) -> Vec<Line> {
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
