//! All budgets of one node: a call takes a unit of each budget that it counts for, or of none.

use super::{BudgetBorrower, RETRY_PART_OF_CALL};
use crate::budget::{Budget, BudgetKind, BudgetRequest, Lease};
use crate::{Nanos, SECOND};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The least rate, in calls a second, that a wait is computed by.
const MIN_RATE_FOR_WAIT: f64 = 1e-3;

/// A node's ends of all budgets.
#[derive(Clone, Debug)]
pub struct NodeBudgets {
    borrowers: Vec<BudgetBorrower>,
    value: f64,
    rng: Pcg64Mcg,
}

impl NodeBudgets {
    /// The ends of a node that has just started.
    pub fn new(now: Nanos, budgets: &[Budget]) -> NodeBudgets {
        let borrowers = budgets
            .iter()
            .map(|budget| BudgetBorrower::new(now, budget.clone()))
            .collect();
        NodeBudgets {
            borrowers,
            value: 1.0,
            rng: Pcg64Mcg::seed_from_u64(now),
        }
    }

    /// Seeds its random draws. Each end begins a random part of a call short of its first one:
    /// processes that start in one instant would else all send it in one.
    pub fn with_seed(mut self, seed: u64) -> NodeBudgets {
        self.rng = Pcg64Mcg::seed_from_u64(seed);
        for borrower in &mut self.borrowers {
            borrower.tokens = -self.rng.random::<f64>();
        }
        self
    }

    /// Uses only this share of the rates from now on, because the backend starts slowly.
    pub fn set_usable_share(&mut self, now: Nanos, share: f64) {
        for borrower in &mut self.borrowers {
            let kept_tokens = self.rng.random();
            borrower.set_usable_share(now, share, kept_tokens);
        }
    }

    /// The end of each budget, in the order of the budgets.
    pub fn borrowers(&mut self) -> &mut [BudgetBorrower] {
        &mut self.borrowers
    }

    /// Changes the limits of the budgets that are known by their ids; others are passed over.
    pub fn update_budgets(&mut self, budgets: &[Budget]) {
        for borrower in &mut self.borrowers {
            if let Some(budget) = budgets
                .iter()
                .find(|budget| budget.id() == borrower.budget.id())
            {
                borrower.update_budget(budget.clone());
            }
        }
    }

    /// Sets the value of a unit to this node, compared with others.
    pub fn set_value(&mut self, value: f64) {
        self.value = value;
    }

    fn counting(&mut self, is_retry: bool) -> impl Iterator<Item = &mut BudgetBorrower> {
        self.borrowers
            .iter_mut()
            .filter(move |borrower| is_retry || !borrower.budget.retries_only)
    }

    /// Takes a unit of each budget that the call counts for, or of none; then returns after how many
    /// nanoseconds to try again.
    pub fn acquire(&mut self, now: Nanos, is_retry: bool) -> Result<(), Nanos> {
        let mut retry_after = None;
        for borrower in self.counting(is_retry) {
            if let Err(wait) = borrower.check(now) {
                retry_after = Some(retry_after.map_or(wait, |longest: Nanos| longest.max(wait)));
            }
        }
        if let Some(retry_after) = retry_after {
            return Err(retry_after);
        }
        self.counting(is_retry)
            .for_each(BudgetBorrower::acquire_checked);
        Ok(())
    }

    /// Calls a second that the budgets by rate that all calls count for allow now; none if there is
    /// no such budget.
    pub fn calls_per_second(&self, now: Nanos) -> Option<f64> {
        let rates = self.borrowers.iter().filter(|borrower| {
            matches!(borrower.budget.kind, BudgetKind::Rate { .. }) && !borrower.budget.retries_only
        });
        rates
            .map(|borrower| borrower.calls_per_second(now))
            .reduce(f64::min)
    }

    /// The longest that a call may be in flight, in nanoseconds, where a budget bounds that.
    pub fn max_call_time(&self) -> Option<Nanos> {
        let times = self
            .borrowers
            .iter()
            .filter_map(|borrower| match borrower.budget.kind {
                BudgetKind::InFlight { max_call_time } => Some(max_call_time),
                BudgetKind::Rate { .. } => None,
            });
        times.max()
    }

    /// An estimate of the time until this many more calls have found a unit, in nanoseconds.
    pub fn expected_wait(&self, now: Nanos, calls: usize) -> Nanos {
        let each = self
            .calls_per_second(now)
            .map_or(0.0, |rate| SECOND as f64 / rate.max(MIN_RATE_FOR_WAIT));
        (each * calls as f64) as Nanos
    }

    /// After how many nanoseconds to try again, if no more calls in flight are allowed now.
    pub fn retry_after_if_full(&self, now: Nanos) -> Option<Nanos> {
        self.borrowers
            .iter()
            .filter(|borrower| !borrower.budget.retries_only)
            .find_map(|borrower| match borrower.budget.kind {
                BudgetKind::InFlight { max_call_time }
                    if borrower.in_flight >= borrower.units(now) =>
                {
                    Some(max_call_time / RETRY_PART_OF_CALL)
                }
                _ => None,
            })
    }

    /// Counts towards the demand a call that was not attempted for want of units.
    pub fn note_unmet_demand(&mut self, now: Nanos) {
        for borrower in self.counting(false) {
            borrower.roll_windows(now);
            borrower.note_attempt();
            borrower.note_peak();
        }
    }

    /// A call that was allowed has ended.
    pub fn release(&mut self, is_retry: bool) {
        self.counting(is_retry).for_each(BudgetBorrower::release);
    }

    /// The requests for leases of all budgets.
    pub fn requests(&mut self, now: Nanos) -> Vec<BudgetRequest> {
        let value = self.value;
        let request = |borrower: &mut BudgetBorrower| BudgetRequest {
            budget: borrower.budget.id(),
            held: borrower.held_lease(),
            units: borrower.demand(now),
            value,
        };
        self.borrowers.iter_mut().map(request).collect()
    }

    /// Receives leases by budget id that were requested at `requested_at`.
    pub fn receive_leases(&mut self, now: Nanos, requested_at: Nanos, leases: &[(u32, Lease)]) {
        for (budget, lease) in leases {
            if let Some(borrower) = self
                .borrowers
                .iter_mut()
                .find(|borrower| borrower.budget.id() == *budget)
            {
                borrower.receive_lease(now, requested_at, *lease);
            }
        }
    }

    /// Stops using all leases. Returns whether no call is in flight.
    pub fn drop_leases(&mut self, now: Nanos) -> bool {
        self.borrowers
            .iter_mut()
            .for_each(|borrower| borrower.drop_lease(now));
        self.borrowers
            .iter()
            .all(|borrower| borrower.in_flight == 0)
    }
}
