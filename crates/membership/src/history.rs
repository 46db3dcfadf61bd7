//! Changes of the member table: a bounded history, and rate-limited log lines of which a burst
//! becomes one.

use crate::{Nanos, SECOND};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;

/// Changes that are remembered.
const CAPACITY: usize = 256;
/// Log lines a second; the rest is summed up in one line of the next second.
const LINES_PER_SECOND: usize = 8;

/// Kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeKind {
    /// A member joined.
    Joined,
    /// Another process took over a member's name.
    Replaced,
    /// A member changed its address.
    Moved,
    /// A member is suspected.
    Suspect,
    /// A suspected or dead member is alive.
    Back,
    /// A member was declared dead.
    Dead,
    /// A member left.
    Left,
    /// A member changed its phase.
    Phase,
    /// This node can't tell whether others are gone or it is partitioned.
    Unsure,
    /// It can tell again.
    Sure,
    /// Others suspected this node or declared it dead, and it refuted that.
    Refuted,
    /// This process stood still.
    StoodStill,
    /// Another process holds this node's name.
    NameTaken,
    /// This node has its name back.
    NameBack,
    /// No seed replies and no other member is known.
    Alone,
    /// Another member is known again.
    Company,
}

impl ChangeKind {
    /// Its name in logs.
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

/// A change of the member table.
#[derive(Clone, Debug)]
pub struct ChangeEvent {
    /// When, in Unix milliseconds.
    pub unix_ms: u64,
    /// What kind of change.
    pub kind: ChangeKind,
    /// Name of the member.
    pub name: Arc<str>,
    /// Details for operators; may be empty.
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

/// The latest changes, and those not yet logged.
#[derive(Debug, Default)]
pub struct History {
    changes: VecDeque<ChangeEvent>,
    current_second: Nanos,
    details: usize,
    /// Changes not logged, by kind: how many, and the first member.
    suppressed: BTreeMap<ChangeKind, (usize, Arc<str>)>,
}

impl History {
    /// Records a change; returns its log line if one may be written now.
    pub fn push(&mut self, now: Nanos, change: ChangeEvent) -> Option<String> {
        if now / SECOND != self.current_second {
            (self.current_second, self.details) = (now / SECOND, 0);
        }
        self.details += 1;
        let line = (self.details <= LINES_PER_SECOND).then(|| change.to_string());
        if line.is_none() {
            self.suppressed
                .entry(change.kind)
                .or_insert((0, Arc::clone(&change.name)))
                .0 += 1;
        }
        if self.changes.len() >= CAPACITY {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        line
    }

    /// A log line for the changes suppressed in a second that is over.
    pub fn suppressed_line(&mut self, now: Nanos) -> Option<String> {
        if self.suppressed.is_empty() || now / SECOND == self.current_second {
            return None;
        }
        let suppressed = std::mem::take(&mut self.suppressed).into_iter();
        let attachments: Vec<String> = suppressed
            .map(|(kind, (n, first))| format!("{n} more {} (first {first})", kind.as_str()))
            .collect();
        Some(attachments.join(", "))
    }

    /// The latest changes, newest first.
    pub fn latest(&self) -> impl Iterator<Item = &ChangeEvent> {
        self.changes.iter().rev()
    }
}

#[cfg(test)]
mod tests;
