//! Bounded history of the changes of the member table, and their log lines. The lines are
//! rate-limited: the rest of a burst is summarized in one line.

use crate::{Nanos, SECOND};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;

/// Maximum number of changes kept in the history.
const CAPACITY: usize = 256;
/// Maximum number of log lines per second. Further changes are summarized in one line after the end
/// of the second.
const LINES_PER_SECOND: usize = 8;

/// Kind of a change of the member table or of the node's own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeKind {
    /// A member joined.
    Joined,
    /// Another process took over a member's name.
    Replaced,
    /// A member changed its address.
    Moved,
    /// A member is suspected to have failed.
    Suspect,
    /// A member that was suspected or declared dead is alive.
    Back,
    /// A member was declared dead.
    Dead,
    /// A member left.
    Left,
    /// A member changed its phase.
    Phase,
    /// This node cannot tell whether other members are gone or it is partitioned itself.
    Unsure,
    /// This node is no longer unsure whether it is partitioned.
    Sure,
    /// Other members suspected this node or declared it dead, and this node refuted that.
    Refuted,
    /// This process was paused for some time.
    StoodStill,
    /// Another process holds this node's name.
    NameTaken,
    /// This node has reclaimed its name.
    NameBack,
    /// No other member is known and no seed replies.
    Alone,
    /// Another member is known again after [`ChangeKind::Alone`].
    Company,
}

impl ChangeKind {
    /// Returns the name of the kind in logs.
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

/// Change of the member table or of the node's own state.
#[derive(Clone, Debug)]
pub struct ChangeEvent {
    /// Time of the change, in Unix milliseconds.
    pub unix_ms: u64,
    /// What changed, for example that a member joined.
    pub kind: ChangeKind,
    /// Name of the member concerned; `?` if the member is not in the table.
    pub name: Arc<str>,
    /// Further details for operators, such as an address or a zone; may be empty.
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

/// The latest changes, and the number of changes that were not logged.
#[derive(Debug, Default)]
pub struct History {
    changes: VecDeque<ChangeEvent>,
    current_second: Nanos,
    lines_in_second: usize,
    /// For each kind: number of changes that were not logged, and name of the first member
    /// concerned.
    suppressed: BTreeMap<ChangeKind, (usize, Arc<str>)>,
}

impl History {
    /// Records a change. Returns its log line, or `None` if the limit of lines in this second is
    /// reached.
    pub fn push(&mut self, now: Nanos, change: ChangeEvent) -> Option<String> {
        if now / SECOND != self.current_second {
            (self.current_second, self.lines_in_second) = (now / SECOND, 0);
        }
        self.lines_in_second += 1;
        let line = (self.lines_in_second <= LINES_PER_SECOND).then(|| change.to_string());
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

    /// Returns a log line that summarizes the suppressed changes, once their second is over; `None`
    /// if there are none.
    pub fn suppressed_line(&mut self, now: Nanos) -> Option<String> {
        if self.suppressed.is_empty() || now / SECOND == self.current_second {
            return None;
        }
        let suppressed = std::mem::take(&mut self.suppressed).into_iter();
        let counts: Vec<String> = suppressed
            .map(|(kind, (count, first))| format!("{count} more {} (first {first})", kind.as_str()))
            .collect();
        Some(counts.join(", "))
    }

    /// Returns the latest changes, newest first.
    pub fn latest(&self) -> impl Iterator<Item = &ChangeEvent> {
        self.changes.iter().rev()
    }
}

#[cfg(test)]
mod tests;
