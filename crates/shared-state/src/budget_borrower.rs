//! A node's end of a budget: its floor, which was always its own, and the part that it was lent;
//! what it may spend now.

use crate::budget_lender::Lease;
use crate::keyed_quota::number;
use crate::shared_state::BudgetRequest;
use crate::{Nanos, SECOND, shorter};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Calls a second; what a node does not use it may save for so long.
    Rate { burst: Nanos },
    /// Calls in hand; one takes so long at most.
    InHand { longest: Nanos },
}

/// A limit for the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    pub name: String,
    /// Calls a second, or calls in hand, of all nodes together.
    pub limit: u32,
    /// Of these, what each node has for itself whatever it hears.
    pub floor: u32,
    /// Processes that run at once, at most: so many floors are set aside.
    pub nodes_most: u32,
    pub kind: Kind,
    /// Whether only calls that repeat one which failed count.
    pub repeats_only: bool,
}

impl Budget {
    /// What nodes call it to each other. The kind is in it: a limit that changes its kind is
    /// another one.
    pub fn id(&self) -> u32 {
        let kind = match self.kind {
            Kind::Rate { .. } => "rate",
            Kind::InHand { .. } => "in hand",
        };
        number(&format!("{} {kind}", self.name))
    }

    /// What is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        if self.limit == 0 || self.nodes_most == 0 {
            return Err(format!(
                "budget '{}': limit and nodes must be above 0",
                self.name
            ));
        }
        let floors = u64::from(self.floor) * u64::from(self.nodes_most);
        if floors > u64::from(self.limit) {
            return Err(format!(
                "budget '{}': the floors of {} nodes are {floors}, more than the limit of {}",
                self.name, self.nodes_most, self.limit
            ));
        }
        Ok(())
    }

    /// What is left beside the floors, to be lent.
    pub fn pool(&self) -> u32 {
        self.limit
            .saturating_sub(self.floor.saturating_mul(self.nodes_most))
    }

    /// How long units may be in use after their part has ended.
    pub fn lag(&self) -> Nanos {
        match self.kind {
            Kind::Rate { .. } => 0,
            Kind::InHand { longest } => longest,
        }
    }
}

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

/// All ends of one node.
#[derive(Clone, Debug)]
pub struct NodeBudgets {
    purses: Vec<BudgetBorrower>,
    value: f64,
    rng: Pcg64Mcg,
}

impl NodeBudgets {
    /// Of a node that has just started.
    pub fn new(now: Nanos, budgets: &[Budget]) -> NodeBudgets {
        let purses = budgets
            .iter()
            .map(|budget| BudgetBorrower::new(now, budget.clone()))
            .collect();
        NodeBudgets {
            purses,
            value: 1.0,
            rng: Pcg64Mcg::seed_from_u64(now),
        }
    }

    /// With chance of its own; each end begins short of its first call by a part of one, or
    /// processes that start in one instant would all send it in one.
    pub fn with_seed(mut self, seed: u64) -> NodeBudgets {
        self.rng = Pcg64Mcg::seed_from_u64(seed);
        for purse in &mut self.purses {
            purse.saved = -self.rng.random::<f64>();
        }
        self
    }

    /// From now on this share of the rates is used: what lies below starts slowly.
    pub fn slow_start(&mut self, now: Nanos, share: f64) {
        for purse in &mut self.purses {
            let part = self.rng.random();
            purse.slow_start(now, share, part);
        }
    }

    /// The end of each budget, in their order.
    pub fn purses(&mut self) -> &mut [BudgetBorrower] {
        &mut self.purses
    }

    /// Other limits hold from now on.
    pub fn rebudget(&mut self, budgets: &[Budget]) {
        for purse in &mut self.purses {
            if let Some(budget) = budgets
                .iter()
                .find(|budget| budget.id() == purse.budget.id())
            {
                purse.rebudget(budget.clone());
            }
        }
    }

    /// How much a unit is worth to this node, against others.
    pub fn set_value(&mut self, value: f64) {
        self.value = value;
    }

    /// Whether one more call may be made under all budgets that it counts for; else when it is
    /// worth to ask again. It takes of all or of none.
    pub fn take(&mut self, now: Nanos, repeats: bool) -> Result<(), Nanos> {
        let mut pause = None;
        for purse in self
            .purses
            .iter_mut()
            .filter(|purse| repeats || !purse.budget.repeats_only)
        {
            if let Err(more) = purse.fits(now) {
                pause = Some(pause.map_or(more, |pause: Nanos| pause.max(more)));
            }
        }
        if let Some(pause) = pause {
            return Err(pause);
        }
        self.purses
            .iter_mut()
            .filter(|purse| repeats || !purse.budget.repeats_only)
            .for_each(BudgetBorrower::take_one);
        Ok(())
    }

    /// Calls a second that may be made now by the budgets of rates that all calls count for; none
    /// if there is no such.
    pub fn a_second(&self, now: Nanos) -> Option<f64> {
        let rates = self.purses.iter().filter(|purse| {
            matches!(purse.budget.kind, Kind::Rate { .. }) && !purse.budget.repeats_only
        });
        rates.map(|purse| purse.a_second(now)).reduce(f64::min)
    }

    /// How long a call may be in hand, where that is limited.
    pub fn longest(&self) -> Option<Nanos> {
        let of = self
            .purses
            .iter()
            .filter_map(|purse| match purse.budget.kind {
                Kind::InHand { longest } => Some(longest),
                Kind::Rate { .. } => None,
            });
        of.max()
    }

    /// How long it takes until so many more calls have found room, if they come one after the
    /// other: a guess.
    pub fn wait_for(&self, now: Nanos, calls: usize) -> Nanos {
        let each = self
            .a_second(now)
            .map_or(0.0, |units| SECOND as f64 / units.max(1e-3));
        (each * calls as f64) as Nanos
    }

    /// When it is worth to ask again, if no more calls in hand are allowed now.
    pub fn is_full(&self, now: Nanos) -> Option<Nanos> {
        self.purses
            .iter()
            .filter(|purse| !purse.budget.repeats_only)
            .find_map(|purse| match purse.budget.kind {
                Kind::InHand { longest } if purse.in_hand >= purse.units(now) => Some(longest / 8),
                _ => None,
            })
    }

    /// A call would have been made if there were room.
    pub fn wished(&mut self, now: Nanos) {
        for purse in self
            .purses
            .iter_mut()
            .filter(|purse| !purse.budget.repeats_only)
        {
            purse.roll(now);
            purse.tries[0] = purse.tries[0].saturating_add(1);
            purse.peak = purse.peak.max(purse.in_hand + 1);
        }
    }

    /// A call that was allowed is over.
    pub fn over(&mut self, repeats: bool) {
        self.purses
            .iter_mut()
            .filter(|purse| repeats || !purse.budget.repeats_only)
            .for_each(BudgetBorrower::over);
    }

    /// What is wanted of each, and held.
    pub fn wants(&mut self, now: Nanos) -> Vec<BudgetRequest> {
        let value = self.value;
        let want = |purse: &mut BudgetBorrower| {
            let (budget, holds, units) = (purse.budget.id(), purse.holds(), purse.wants(now));
            BudgetRequest {
                budget,
                holds,
                units,
                value,
            }
        };
        self.purses.iter_mut().map(want).collect()
    }

    /// Parts came that were asked for then.
    pub fn lent(&mut self, now: Nanos, asked: Nanos, parts: &[(u32, Lease)]) {
        for (budget, part) in parts {
            if let Some(purse) = self
                .purses
                .iter_mut()
                .find(|purse| purse.budget.id() == *budget)
            {
                purse.lend(now, asked, *part);
            }
        }
    }

    /// Nothing that was lent is used from here on; whether nothing is in hand.
    pub fn let_go(&mut self, now: Nanos) -> bool {
        self.purses
            .iter_mut()
            .for_each(|purse| purse.drop_part(now));
        self.purses.iter().all(|purse| purse.in_hand == 0)
    }
}

#[cfg(test)]
mod tests;
