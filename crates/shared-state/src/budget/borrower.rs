//! A node's end of a budget: its floor, which was always its own, and the part that it was lent;
//! what it may spend now.

use super::{Budget, Kind, Lease};
use crate::{Nanos, SECOND, shorter};

mod node_budgets;
pub use node_budgets::NodeBudgets;

/// A part as its borrower has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    book: u64,
    no: u64,
    units: u32,
    /// When it was asked for: its time counts from there.
    from: Nanos,
    term: Nanos,
}

impl HeldLease {
    /// What of it may be used now: all in the first half of its time, then half, then a quarter, so
    /// that one who hears nothing falls in steps.
    fn units(&self, now: Nanos) -> u32 {
        let (age, term) = (now.saturating_sub(self.from), shorter(self.term));
        match age {
            age if age < term / 2 => self.units,
            age if age < term / 4 * 3 => self.units / 2,
            age if age < term => self.units / 4,
            _ => 0,
        }
    }
}

/// Windows over which demand is counted.
const WINDOW: Nanos = SECOND / 4;
/// What is asked for beyond what was wanted lately, so that a rise finds some.
const AHEAD: f64 = 1.25;

/// A node's end of a budget.
#[derive(Clone, Debug)]
pub struct BudgetBorrower {
    budget: Budget,
    held: Option<HeldLease>,
    /// Calls that may be made at once, of a rate; with when they were counted up.
    saved: f64,
    counted: Nanos,
    /// Of its units, the share that is used while what lies below starts slowly.
    share: f64,
    in_hand: u32,
    /// Tries in this window and in the two before, taken or not.
    tries: [u32; 3],
    window: Nanos,
    peak: u32,
    /// What the one who lends said with its latest part, and when that was.
    told: Option<(Nanos, Lease)>,
    allowed: u64,
    refused: u64,
}

impl BudgetBorrower {
    /// One of a node that has just started: nothing is saved and nothing is lent.
    pub fn new(now: Nanos, budget: Budget) -> BudgetBorrower {
        let window = now / WINDOW;
        BudgetBorrower {
            budget,
            held: None,
            saved: 0.0,
            counted: now,
            share: 1.0,
            in_hand: 0,
            tries: [0; 3],
            window,
            peak: 0,
            told: None,
            allowed: 0,
            refused: 0,
        }
    }

    /// Its budget.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Another limit, floor or number of nodes. What is held stays until its time is over.
    pub fn rebudget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Units that are this node's now: its floor, and what it was lent.
    pub fn units(&self, now: Nanos) -> u32 {
        self.budget.floor + self.held.map_or(0, |held| held.units(now))
    }

    /// A part came that was asked for then. One of the same book from before what is held is out of
    /// date, and one of another book counts only once what is held is over: no two are ever used
    /// together.
    pub fn lend(&mut self, now: Nanos, asked: Nanos, part: Lease) {
        self.count_up(now);
        let takes = self.held.is_none_or(|held| {
            if held.book == part.book {
                part.no > held.no
            } else {
                now >= held.from + shorter(held.term)
            }
        });
        if takes {
            let Lease {
                book,
                no,
                units,
                term,
                ..
            } = part;
            self.held = Some(HeldLease {
                book,
                no,
                units,
                from: asked,
                term,
            });
            self.told = Some((now, part));
        }
    }

    /// What was lent is not used any more.
    pub fn drop_part(&mut self, now: Nanos) {
        self.count_up(now);
        self.held = None;
        self.count_up(now);
    }

    /// Which part of which book it holds, to be told to the lender. A smaller one counts as held
    /// only once no more is in hand.
    pub fn holds(&self) -> (u64, u64) {
        match (self.held, self.budget.kind) {
            (Some(held), Kind::Rate { .. }) => (held.book, held.no),
            (Some(held), Kind::InHand { .. }) if self.in_hand <= self.budget.floor + held.units => {
                (held.book, held.no)
            }
            _ => (0, 0),
        }
    }

    /// What it wants to be lent, by what was tried lately.
    pub fn wants(&mut self, now: Nanos) -> u32 {
        self.roll(now);
        let wanted = match self.budget.kind {
            Kind::Rate { .. } => {
                let most = self.tries.iter().copied().max().unwrap_or(0);
                f64::from(most) * (SECOND / WINDOW) as f64
            }
            Kind::InHand { .. } => f64::from(self.peak.max(self.in_hand)),
        };
        ((wanted * AHEAD).ceil() as u32)
            .saturating_sub(self.budget.floor)
            .min(self.budget.pool())
    }

    fn roll(&mut self, now: Nanos) {
        let window = now / WINDOW;
        for _ in self.window..window.min(self.window + 3) {
            self.tries.rotate_right(1);
            self.tries[0] = 0;
            // Of calls in hand: what was reached lately fades by a quarter each window.
            self.peak = self.in_hand.max(self.peak - self.peak / 4);
        }
        self.window = window;
    }

    /// Calls a second that are its own now.
    fn a_second(&self, now: Nanos) -> f64 {
        f64::from(self.units(now)) * self.share
    }

    /// From now on this share of its units is used. Where it falls, what was saved goes but for a
    /// part of one call: nodes that learn of a start in the same instant must not all send one
    /// then.
    fn slow_start(&mut self, now: Nanos, share: f64, part: f64) {
        if share == self.share {
            return;
        }
        self.count_up(now);
        if share < self.share {
            self.saved = self.saved.min(part);
        }
        self.share = share;
    }

    /// ClusterCounters up what was saved since, at the rate that held. A clock may run fast by the drift, so
    /// it is counted shorter.
    fn count_up(&mut self, now: Nanos) {
        let Kind::Rate { burst } = self.budget.kind else {
            return;
        };
        let units = self.a_second(now);
        let most = (units * burst as f64 / SECOND as f64).max(if units > 0.0 { 1.0 } else { 0.0 });
        // The units of this moment are the least since the last count: parts only shrink in
        // between.
        let passed = shorter(now.saturating_sub(self.counted));
        self.saved = (self.saved + units * passed as f64 / SECOND as f64).min(most);
        self.counted = now;
    }

    /// Whether one more call may be made now; else after how long it is worth to ask again. Nothing
    /// is taken yet; what is wanted is told to the one who lends in any case.
    pub fn fits(&mut self, now: Nanos) -> Result<(), Nanos> {
        self.roll(now);
        self.tries[0] = self.tries[0].saturating_add(1);
        let fits = match self.budget.kind {
            Kind::Rate { .. } => {
                self.count_up(now);
                let units = self.a_second(now);
                match self.saved {
                    saved if saved >= 1.0 => Ok(()),
                    saved if units > 0.0 => Err(((1.0 - saved) / units * SECOND as f64) as Nanos),
                    _ => Err(SECOND),
                }
            }
            Kind::InHand { longest } => {
                self.peak = self.peak.max(self.in_hand + 1);
                if self.in_hand < self.units(now) {
                    Ok(())
                } else {
                    Err(longest / 8)
                }
            }
        };
        self.refused += u64::from(fits.is_err());
        fits.map_err(|pause| pause.max(1))
    }

    /// Takes one call that fits.
    pub fn take_one(&mut self) {
        self.allowed += 1;
        match self.budget.kind {
            Kind::Rate { .. } => self.saved -= 1.0,
            Kind::InHand { .. } => self.in_hand += 1,
        }
    }

    /// The same in one step.
    pub fn take(&mut self, now: Nanos) -> Result<(), Nanos> {
        self.fits(now)?;
        self.take_one();
        Ok(())
    }

    /// Whether nothing that was lent is in use any more: the floor is all there is.
    pub fn is_at_floor(&self, now: Nanos) -> bool {
        self.held.is_none_or(|held| held.units(now) == 0)
    }

    /// What was lent last, how long ago it was asked for, and how long ago it came.
    pub fn part(&self, now: Nanos) -> Option<(Lease, Nanos, Nanos)> {
        let ((came, part), held) = self.told.zip(self.held)?;
        Some((
            part,
            now.saturating_sub(held.from),
            now.saturating_sub(came),
        ))
    }

    /// Calls that were allowed and refused.
    pub fn tally(&self) -> (u64, u64) {
        (self.allowed, self.refused)
    }

    /// A call in hand is over.
    pub fn over(&mut self) {
        self.in_hand = self.in_hand.saturating_sub(1);
    }

    /// Calls in hand.
    pub fn in_hand(&self) -> u32 {
        self.in_hand
    }
}

#[cfg(test)]
mod tests;
