//! Changes of a member's entry, and how they are shown.

use crate::history::ChangeKind;
use crate::member::{Liveness, Phase};

/// A change of a member's entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberChange {
    /// Its liveness before; `None` if it was unknown.
    pub before: Option<Liveness>,
    /// Its liveness after.
    pub after: Liveness,
    /// Whether another incarnation took over the name.
    pub replaced: bool,
    /// Whether its address changed.
    pub moved: bool,
    /// Its former phase, if that changed.
    pub phase: Option<Phase>,
    /// Whether the table's digest changed.
    pub digest: bool,
}

impl MemberChange {
    /// The kind of change shown to operators; `None` where only a revision rose.
    pub fn kind(&self) -> Option<ChangeKind> {
        let was = self.before.map(Liveness::is_present);
        match (was, self.after) {
            (None | Some(false), Liveness::Alive | Liveness::Suspect)
                if self.before == Some(Liveness::Dead) =>
            {
                Some(if self.replaced {
                    ChangeKind::Replaced
                } else {
                    ChangeKind::Back
                })
            }
            (None | Some(false), Liveness::Alive | Liveness::Suspect) => Some(ChangeKind::Joined),
            (Some(true), Liveness::Dead) => Some(ChangeKind::Dead),
            (Some(true), Liveness::Left) => Some(ChangeKind::Left),
            (Some(true), _) if self.replaced => Some(ChangeKind::Replaced),
            (Some(true), Liveness::Suspect) if self.before == Some(Liveness::Alive) => {
                Some(ChangeKind::Suspect)
            }
            (Some(true), _) if self.moved => Some(ChangeKind::Moved),
            (Some(true), Liveness::Alive) if self.before == Some(Liveness::Suspect) => {
                Some(ChangeKind::Back)
            }
            (Some(true), _) if self.phase.is_some() => Some(ChangeKind::Phase),
            _ => None,
        }
    }
}
