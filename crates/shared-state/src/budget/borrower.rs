//! The borrower side of a budget on one node: the guaranteed floor, the current lease, and how many
//! of their units may be used now.
//!
//! A lease counts from the instant at which it was requested, is shortened by the clock drift
//! bound, and shrinks towards its end, so that a node that is cut off falls to its floor in steps.
//! At most one lease is in use at a time: a lease of another lender replaces the held lease only
//! after the held lease has expired.

use super::{Budget, BudgetKind, Lease, LeaseId};
use crate::clock::drift_shortened;
use crate::{Nanos, SECOND};

mod node_budgets;
pub use node_budgets::NodeBudgets;

/// Length of the windows in which attempts are counted, in nanoseconds.
const DEMAND_WINDOW: Nanos = SECOND / 4;
/// Number of demand windows that are kept, including the current one.
const DEMAND_WINDOWS: usize = 3;
/// Requested units as a multiple of the recent demand, so that units are free when load rises.
const DEMAND_HEADROOM: f64 = 1.25;
/// A call that is refused for lack of a unit in flight may be retried after the maximum call time
/// divided by this.
pub(super) const RETRIES_PER_MAX_CALL_TIME: Nanos = 8;

/// The lease that a borrower holds, in the form that decides its use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    id: LeaseId,
    units: u32,
    requested_at: Nanos,
    duration: Nanos,
}

impl HeldLease {
    /// Returns the number of units that may be used now: all in the first half of the lease, half
    /// of them in its third quarter, a quarter of them in its last quarter, none afterwards.
    fn units(&self, now: Nanos) -> u32 {
        let age = now.saturating_sub(self.requested_at);
        let duration = drift_shortened(self.duration);
        match age {
            age if age < duration / 2 => self.units,
            age if age < duration / 4 * 3 => self.units / 2,
            age if age < duration => self.units / 4,
            _ => 0,
        }
    }
}

/// The latest lease and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseAge {
    /// The lease as granted, with all its units.
    pub lease: Lease,
    /// Time since the lease was requested, in nanoseconds.
    pub since_request: Nanos,
    /// Time since the lease was received, in nanoseconds.
    pub since_grant: Nanos,
}

/// Numbers of calls that a budget allowed and refused since its borrower was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls for which a unit was available.
    pub allowed: u64,
    /// Calls for which no unit was available.
    pub refused: u64,
}

/// The borrower side of a budget on one node.
#[derive(Clone, Debug)]
pub struct BudgetBorrower {
    budget: Budget,
    held: Option<HeldLease>,
    /// For a rate: calls that may be made at once, as of `refilled_at`.
    tokens: f64,
    refilled_at: Nanos,
    /// Share of the floor and the leased units that the node may use, from 0 to 1; below 1 during
    /// the backend's slow start.
    usable_share: f64,
    in_flight: u32,
    /// Attempts per window, allowed or not, from the current window backwards.
    attempts: [u32; DEMAND_WINDOWS],
    /// The current window's number: time divided by [`DEMAND_WINDOW`].
    window: Nanos,
    /// The recent peak of calls in flight, including refused attempts.
    peak_in_flight: u32,
    /// The latest lease, with the time at which it was received.
    latest_grant: Option<(Nanos, Lease)>,
    counts: CallCounts,
}

impl BudgetBorrower {
    /// Creates the borrower of a node that has just started, without tokens or a lease.
    pub fn new(now: Nanos, budget: Budget) -> BudgetBorrower {
        BudgetBorrower {
            budget,
            held: None,
            tokens: 0.0,
            refilled_at: now,
            usable_share: 1.0,
            in_flight: 0,
            attempts: [0; DEMAND_WINDOWS],
            window: now / DEMAND_WINDOW,
            peak_in_flight: 0,
            latest_grant: None,
            counts: CallCounts::default(),
        }
    }

    /// Returns the budget that this borrower uses.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Changes the limit, floor or number of nodes. A held lease stays valid until it expires.
    pub fn update_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Returns the number of units that this node may use now, from its floor and its lease.
    pub fn units(&self, now: Nanos) -> u32 {
        self.budget.floor + self.held.map_or(0, |held| held.units(now))
    }

    /// Receives a lease that was requested at `requested_at`. A lease of the same lender replaces
    /// the held lease only if it is later; a lease of another lender only after the held lease has
    /// expired, so that two leases are never used together.
    pub fn receive_lease(&mut self, now: Nanos, requested_at: Nanos, lease: Lease) {
        self.refill(now);
        let replaces = self.held.is_none_or(|held| {
            if held.id.lender == lease.id.lender {
                lease.id.number > held.id.number
            } else {
                now >= held.requested_at + drift_shortened(held.duration)
            }
        });
        if replaces {
            self.held = Some(HeldLease {
                id: lease.id,
                units: lease.units,
                requested_at,
                duration: lease.duration,
            });
            self.latest_grant = Some((now, lease));
        }
    }

    /// Stops using the held lease.
    pub fn drop_lease(&mut self, now: Nanos) {
        self.refill(now);
        self.held = None;
        self.refill(now);
    }

    /// Returns the id of the held lease, for the next request to the lender. A smaller lease counts
    /// as held only once the calls in flight fit within it and the floor.
    pub fn held_lease(&self) -> LeaseId {
        match (self.held, self.budget.kind) {
            (Some(held), BudgetKind::Rate { .. }) => held.id,
            (Some(held), BudgetKind::InFlight { .. })
                if self.in_flight <= self.budget.floor + held.units =>
            {
                held.id
            }
            _ => LeaseId::default(),
        }
    }

    /// Returns the number of units to request in addition to the floor, from the recent attempts.
    pub fn demand(&mut self, now: Nanos) -> u32 {
        self.roll_windows(now);
        let demand = match self.budget.kind {
            BudgetKind::Rate { .. } => {
                let busiest_window = self.attempts.iter().copied().max().unwrap_or(0);
                f64::from(busiest_window) * (SECOND / DEMAND_WINDOW) as f64
            }
            BudgetKind::InFlight { .. } => f64::from(self.peak_in_flight.max(self.in_flight)),
        };
        ((demand * DEMAND_HEADROOM).ceil() as u32)
            .saturating_sub(self.budget.floor)
            .min(self.budget.pool())
    }

    fn roll_windows(&mut self, now: Nanos) {
        let window = now / DEMAND_WINDOW;
        for _ in self.window..window.min(self.window + DEMAND_WINDOWS as u64) {
            self.attempts.rotate_right(1);
            self.attempts[0] = 0;
            // The peak decays by a quarter per window.
            self.peak_in_flight = self
                .in_flight
                .max(self.peak_in_flight - self.peak_in_flight / 4);
        }
        self.window = window;
    }

    /// Counts an attempt towards the demand.
    fn record_attempt(&mut self) {
        self.attempts[0] = self.attempts[0].saturating_add(1);
    }

    /// Counts towards the demand that a further call in flight was attempted.
    fn record_peak(&mut self) {
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight + 1);
    }

    /// Returns the rate at which calls may be made now, in calls per second.
    fn calls_per_second(&self, now: Nanos) -> f64 {
        f64::from(self.units(now)) * self.usable_share
    }

    /// Limits the use of the floor and the leased units to this share from now on. If the share
    /// falls, saved tokens are cut to `kept_tokens`, which is less than one call: nodes that learn
    /// of a backend's start in the same instant must not all send a call at once.
    fn set_usable_share(&mut self, now: Nanos, share: f64, kept_tokens: f64) {
        if share == self.usable_share {
            return;
        }
        self.refill(now);
        if share < self.usable_share {
            self.tokens = self.tokens.min(kept_tokens);
        }
        self.usable_share = share;
    }

    /// Adds the tokens for the time since the last refill. The clock may run fast, so that time is
    /// shortened by the clock drift bound.
    fn refill(&mut self, now: Nanos) {
        let BudgetKind::Rate { burst } = self.budget.kind else {
            return;
        };
        // A lease only shrinks between two refills, so the units now are the minimum since the last
        // refill.
        let rate = self.calls_per_second(now);
        let max_tokens =
            (rate * burst as f64 / SECOND as f64).max(if rate > 0.0 { 1.0 } else { 0.0 });
        let elapsed = drift_shortened(now.saturating_sub(self.refilled_at));
        self.tokens = (self.tokens + rate * elapsed as f64 / SECOND as f64).min(max_tokens);
        self.refilled_at = now;
    }

    /// Checks whether one more call may be made now, and counts the attempt. Takes no unit.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, in nanoseconds, if no unit is available.
    pub fn check(&mut self, now: Nanos) -> Result<(), Nanos> {
        self.roll_windows(now);
        self.record_attempt();
        let checked = match self.budget.kind {
            BudgetKind::Rate { .. } => {
                self.refill(now);
                let rate = self.calls_per_second(now);
                match self.tokens {
                    tokens if tokens >= 1.0 => Ok(()),
                    tokens if rate > 0.0 => Err(((1.0 - tokens) / rate * SECOND as f64) as Nanos),
                    _ => Err(SECOND),
                }
            }
            BudgetKind::InFlight { max_call_time } => {
                self.record_peak();
                if self.in_flight < self.units(now) {
                    Ok(())
                } else {
                    Err(max_call_time / RETRIES_PER_MAX_CALL_TIME)
                }
            }
        };
        self.counts.refused += u64::from(checked.is_err());
        checked.map_err(|retry_after| retry_after.max(1))
    }

    /// Takes a unit for a call that [`BudgetBorrower::check`] allowed in this instant.
    pub fn acquire_checked(&mut self) {
        self.counts.allowed += 1;
        match self.budget.kind {
            BudgetKind::Rate { .. } => self.tokens -= 1.0,
            BudgetKind::InFlight { .. } => self.in_flight += 1,
        }
    }

    /// Takes a unit if one is available.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, in nanoseconds, if no unit is available.
    pub fn acquire(&mut self, now: Nanos) -> Result<(), Nanos> {
        self.check(now)?;
        self.acquire_checked();
        Ok(())
    }

    /// Returns whether the node has only its floor, because it has no usable leased units.
    pub fn is_at_floor(&self, now: Nanos) -> bool {
        self.held.is_none_or(|held| held.units(now) == 0)
    }

    /// Returns the latest lease with its age, if a lease is held.
    pub fn latest_lease(&self, now: Nanos) -> Option<LeaseAge> {
        let ((received_at, lease), held) = self.latest_grant.zip(self.held)?;
        Some(LeaseAge {
            lease,
            since_request: now.saturating_sub(held.requested_at),
            since_grant: now.saturating_sub(received_at),
        })
    }

    /// Returns the number of calls allowed and refused since the start.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Releases the unit of a call in flight that has ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

#[cfg(test)]
mod tests;
