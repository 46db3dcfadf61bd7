//! All budgets of one node.

use super::BudgetBorrower;
use crate::budget::{Budget, BudgetRequest, Kind, Lease};
use crate::{Nanos, SECOND};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

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
