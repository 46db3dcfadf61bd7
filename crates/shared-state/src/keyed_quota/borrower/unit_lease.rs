//! The leased units of one key on the borrower side. This module has all rules by which the
//! borrower prevents a unit from being used twice; the model checks use the same type.

use crate::Nanos;

/// Units of one key that are leased to this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct UnitLease {
    units: u32,
    expires_at: Nanos,
    /// Number of the latest request for the key; 0 before the first.
    request: u32,
    /// True once a grant has answered the latest request; further grants for that request are
    /// ignored.
    is_answered: bool,
}

impl UnitLease {
    /// Returns the number of units that may be used now.
    pub fn units(&self, now: Nanos) -> u32 {
        if now < self.expires_at { self.units } else { 0 }
    }

    /// Spends one unit. At least one unit must be usable.
    pub fn spend(&mut self) {
        self.units -= 1;
    }

    /// Returns whether at least one request for the key was sent.
    pub(super) fn was_requested(&self) -> bool {
        self.request > 0
    }

    /// Records that a request is sent. Keeps at most `keep` of the valid units; the other units are
    /// not used from now on, and grants for earlier requests become void. Returns the numbers of
    /// units kept and released.
    pub fn request(&mut self, now: Nanos, number: u32, keep: u32) -> (u32, u32) {
        let units = self.units(now);
        (self.units, self.request, self.is_answered) = (units.min(keep), number, false);
        (self.units, units - self.units)
    }

    /// Receives a grant, after which all units, kept and added, are valid until `expires_at`.
    /// Returns whether the grant was applied: only the first answer to the latest request is
    /// applied.
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
