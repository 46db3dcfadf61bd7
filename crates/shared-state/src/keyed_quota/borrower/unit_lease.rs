//! Units.

use crate::Nanos;

/// Units of a key that were lent to a node: what must hold of them is all here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct UnitLease {
    pub(super) units: u32,
    /// Until when they are good.
    until: Nanos,
    /// The latest question about them, and whether that was answered.
    pub(super) asked: u32,
    answered: bool,
}

impl UnitLease {
    /// Units that are good now.
    pub fn units(&self, now: Nanos) -> u32 {
        if now < self.until { self.units } else { 0 }
    }

    /// One of them is spent.
    pub fn spend(&mut self) {
        self.units -= 1;
    }

    /// A question goes out. Of the units that are good so many are kept, and the rest is not used
    /// from here on; any answer to an earlier question counts for nothing. What is kept, and what
    /// is given back.
    pub fn ask(&mut self, now: Nanos, no: u32, keep: u32) -> (u32, u32) {
        let units = self.units(now);
        (self.units, self.asked, self.answered) = (units.min(keep), no, false);
        (self.units, units - self.units)
    }

    /// An answer came: units that are good until then, as all are that were kept. Whether it
    /// counts.
    pub fn answer(&mut self, now: Nanos, no: u32, adds: u32, until: Nanos) -> bool {
        if self.asked != no || self.answered {
            return false;
        }
        (self.units, self.until, self.answered) =
            (self.units(now).saturating_add(adds), until, true);
        true
    }
}
