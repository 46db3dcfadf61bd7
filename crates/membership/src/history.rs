//! What changed in the view: a bounded history, and the lines of the log, of which a burst becomes
//! one.

use crate::{Nanos, SECOND};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;

/// Changes that are kept.
const KEPT: usize = 256;
/// Lines a second; what is beyond becomes one line in the next second.
const LINES: usize = 8;

/// What kind of change it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeKind {
    Joined,
    /// Another process has the name now.
    Replaced,
    Moved,
    Suspect,
    Back,
    Dead,
    Left,
    Phase,
    /// This node cannot tell whether others are gone or it is cut off, or can again.
    Unsure,
    Sure,
    /// Others held this node for suspect or dead, and it said that it is there.
    Refuted,
    /// This node stood still.
    StoodStill,
    /// Another process has this node's name; or it has it again.
    NameTaken,
    NameBack,
    /// None of the seeds answers and nobody else is known; or somebody is.
    Alone,
    Company,
}

impl ChangeKind {
    /// Its word, as logs show it.
    pub fn as_str(self) -> &'static str {
        match self {
            ChangeKind::Joined => "joined",
            ChangeKind::Replaced => "replaced",
            ChangeKind::Moved => "moved",
            ChangeKind::Suspect => "suspect",
            ChangeKind::Back => "back",
            ChangeKind::Dead => "dead",
            ChangeKind::Left => "left",
            ChangeKind::Phase => "phase",
            ChangeKind::Unsure => "unsure",
            ChangeKind::Sure => "sure",
            ChangeKind::Refuted => "refuted",
            ChangeKind::StoodStill => "stood still",
            ChangeKind::NameTaken => "name taken",
            ChangeKind::NameBack => "name back",
            ChangeKind::Alone => "alone",
            ChangeKind::Company => "no longer alone",
        }
    }
}

/// A change.
#[derive(Clone, Debug)]
pub struct ChangeEvent {
    pub unix_ms: u64,
    pub kind: ChangeKind,
    /// Whom it is about.
    pub name: Arc<str>,
    /// More of it, for people.
    pub more: String,
}

impl fmt::Display for ChangeEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.name, self.kind.as_str())?;
        if self.more.is_empty() {
            Ok(())
        } else {
            write!(f, ", {}", self.more)
        }
    }
}

/// The latest changes, and what is still to be told of them.
#[derive(Debug, Default)]
pub struct History {
    kept: VecDeque<ChangeEvent>,
    second: Nanos,
    details: usize,
    /// What was not told, by kind: how often, and who was the first.
    untold: BTreeMap<ChangeKind, (usize, Arc<str>)>,
}

impl History {
    /// A change; gives its line if one may be written now.
    pub fn push(&mut self, now: Nanos, record_change: ChangeEvent) -> Option<String> {
        if now / SECOND != self.second {
            (self.second, self.details) = (now / SECOND, 0);
        }
        self.details += 1;
        let line = (self.details <= LINES).then(|| record_change.to_string());
        if line.is_none() {
            self.untold
                .entry(record_change.kind)
                .or_insert((0, Arc::clone(&record_change.name)))
                .0 += 1;
        }
        if self.kept.len() >= KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(record_change);
        line
    }

    /// A line for what was not told in a second that is over.
    pub fn rest(&mut self, now: Nanos) -> Option<String> {
        if self.untold.is_empty() || now / SECOND == self.second {
            return None;
        }
        let untold = std::mem::take(&mut self.untold).into_iter();
        let attachments: Vec<String> = untold
            .map(|(kind, (n, first))| format!("{n} more {} (first {first})", kind.as_str()))
            .collect();
        Some(attachments.join(", "))
    }

    /// The latest changes, the last one first.
    pub fn latest(&self) -> impl Iterator<Item = &ChangeEvent> {
        self.kept.iter().rev()
    }
}

#[cfg(test)]
mod tests;
