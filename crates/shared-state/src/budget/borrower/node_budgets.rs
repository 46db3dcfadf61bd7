//! All budgets of one node: a call takes a unit of every budget that it counts towards, or of none.

use super::{BudgetBorrower, RETRIES_PER_MAX_CALL_TIME};
use crate::budget::{Budget, BudgetKind, BudgetRequest, Lease};
use crate::{Nanos, SECOND};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Lower bound of the rate by which a wait is estimated, in calls per second.
const MIN_RATE_FOR_WAIT: f64 = 1e-3;

/// The borrowers of all budgets on one node.
#[derive(Clone, Debug)]
pub struct NodeBudgets {
    borrowers: Vec<BudgetBorrower>,
    value: f64,
    rng: Pcg64Mcg,
}

impl NodeBudgets {
    /// Creates the borrowers of a node that has just started.
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

    /// Seeds the random draws and starts each borrower with a random deficit of less than one
    /// token. Without the deficit, processes that start in the same instant would all send their
    /// first call at once.
    pub fn with_seed(mut self, seed: u64) -> NodeBudgets {
        self.rng = Pcg64Mcg::seed_from_u64(seed);
        for borrower in &mut self.borrowers {
            borrower.tokens = -self.rng.random::<f64>();
        }
        self
    }

    /// Limits use to this share of the rates from now on, 0 to 1, for the backend's slow start.
    pub fn set_usable_share(&mut self, now: Nanos, share: f64) {
        for borrower in &mut self.borrowers {
            let kept_tokens = self.rng.random();
            borrower.set_usable_share(now, share, kept_tokens);
        }
    }

    /// Returns the borrower of each budget, in the order of the budgets.
    pub fn borrowers(&mut self) -> &mut [BudgetBorrower] {
        &mut self.borrowers
    }

    /// Changes the limits of the budgets whose ids are known; ignores unknown budgets.
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

    /// Sets how valuable a unit is for this node, relative to other nodes; sent with each lease
    /// request. The value is 1 until it is set.
    pub fn set_value(&mut self, value: f64) {
        self.value = value;
    }

    /// Returns the borrowers of the budgets that a call counts towards.
    fn counted_budgets(&mut self, is_retry: bool) -> impl Iterator<Item = &mut BudgetBorrower> {
        self.borrowers
            .iter_mut()
            .filter(move |borrower| is_retry || !borrower.budget.retries_only)
    }

    /// Takes a unit of every budget that the call counts towards, or of none.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, in nanoseconds: the longest wait of all budgets that
    /// have no unit.
    pub fn acquire(&mut self, now: Nanos, is_retry: bool) -> Result<(), Nanos> {
        let mut retry_after = None;
        for borrower in self.counted_budgets(is_retry) {
            if let Err(wait) = borrower.check(now) {
                retry_after = Some(retry_after.map_or(wait, |longest: Nanos| longest.max(wait)));
            }
        }
        if let Some(retry_after) = retry_after {
            return Err(retry_after);
        }
        self.counted_budgets(is_retry)
            .for_each(BudgetBorrower::acquire_checked);
        Ok(())
    }

    /// Returns the lowest rate, in calls per second, that the rate budgets allow now; `None` if
    /// there is no rate budget that counts all calls.
    pub fn calls_per_second(&self, now: Nanos) -> Option<f64> {
        let rates = self.borrowers.iter().filter(|borrower| {
            matches!(borrower.budget.kind, BudgetKind::Rate { .. }) && !borrower.budget.retries_only
        });
        rates
            .map(|borrower| borrower.calls_per_second(now))
            .reduce(f64::min)
    }

    /// Returns the longest time that a call may be in flight, in nanoseconds, or `None` if no
    /// budget limits calls in flight.
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

    /// Estimates the time until units for this many more calls have become available, in
    /// nanoseconds.
    pub fn expected_wait(&self, now: Nanos, calls: usize) -> Nanos {
        let each = self
            .calls_per_second(now)
            .map_or(0.0, |rate| SECOND as f64 / rate.max(MIN_RATE_FOR_WAIT));
        (each * calls as f64) as Nanos
    }

    /// Returns the time after which to retry, in nanoseconds, if no further call in flight is
    /// allowed now.
    pub fn retry_after_if_full(&self, now: Nanos) -> Option<Nanos> {
        self.borrowers
            .iter()
            .filter(|borrower| !borrower.budget.retries_only)
            .find_map(|borrower| match borrower.budget.kind {
                BudgetKind::InFlight { max_call_time }
                    if borrower.in_flight >= borrower.units(now) =>
                {
                    Some(max_call_time / RETRIES_PER_MAX_CALL_TIME)
                }
                _ => None,
            })
    }

    /// Records that a call was not attempted because units were short. The call counts as demand.
    pub fn note_unmet_demand(&mut self, now: Nanos) {
        for borrower in self.counted_budgets(false) {
            borrower.roll_windows(now);
            borrower.record_attempt();
            borrower.record_peak();
        }
    }

    /// Releases the units of an allowed call that has ended.
    pub fn release(&mut self, is_retry: bool) {
        self.counted_budgets(is_retry)
            .for_each(BudgetBorrower::release);
    }

    /// Returns the lease requests of all budgets.
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

    /// Receives leases, by budget id, that were requested at `requested_at`; ignores unknown
    /// budgets.
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
