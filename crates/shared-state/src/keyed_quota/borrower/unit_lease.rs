//! Leased units of one key, as their borrower counts them. All rules that keep a unit from being used
//! twice on the borrower's side are here; the model checks use this type as it is.

use crate::Nanos;

/// Units of a key that are leased to a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct UnitLease {
    units: u32,
    expires_at: Nanos,
    /// The latest request about them, and whether that was answered.
    request: u32,
    is_answered: bool,
}

impl UnitLease {
    /// Units that may be used now.
    pub fn units(&self, now: Nanos) -> u32 {
        if now < self.expires_at { self.units } else { 0 }
    }

    /// Spends one unit, of which there must be one.
    pub fn spend(&mut self) {
        self.units -= 1;
    }

    /// Whether a request about them was ever sent.
    pub(super) fn was_requested(&self) -> bool {
        self.request > 0
    }

    /// A request is sent. Of the valid units at most `keep` are kept, and the rest is not used from
    /// now on; grants for earlier requests become void. Returns the units kept and released.
    pub fn request(&mut self, now: Nanos, number: u32, keep: u32) -> (u32, u32) {
        let units = self.units(now);
        (self.units, self.request, self.is_answered) = (units.min(keep), number, false);
        (self.units, units - self.units)
    }

    /// A grant is received: all units, those that were kept too, are valid until `expires_at`.
    /// Returns whether it counts: only the first answer to the latest request does.
    pub fn receive_grant(
        &mut self,
        now: Nanos,
        number: u32,
        added: u32,
        expires_at: Nanos,
    ) -> bool {
        if self.request != number || self.is_answered {
            return false;
        }
        (self.units, self.expires_at, self.is_answered) =
            (self.units(now).saturating_add(added), expires_at, true);
        true
    }
}
