//! Changes of a member's entry, and the kinds of change that operators see.

use crate::history::ChangeKind;
use crate::member::{Liveness, Phase};

/// Difference between a member's entry before and after an update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberChange {
    /// Liveness before the change; `None` if the member was unknown.
    pub before: Option<Liveness>,
    /// Liveness after the change.
    pub after: Liveness,
    /// True if a later incarnation took over the member's name.
    pub replaced: bool,
    /// True if the member published a different address.
    pub moved: bool,
    /// Previous phase, if the phase changed.
    pub phase: Option<Phase>,
    /// True if the change altered the digest of the member table.
    pub digest: bool,
}

impl MemberChange {
    /// Returns the kind of change that operators see; `None` for a change that is not shown, such
    /// as a new revision of the details.
    pub fn kind(&self) -> Option<ChangeKind> {
        let was_present = self.before.map(Liveness::is_present);
        match (was_present, self.after) {
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
