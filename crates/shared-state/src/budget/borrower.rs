//! A node's end of a budget: its guaranteed floor and its current lease, and what it may use of
//! them now.
//!
//! A lease counts from the instant at which it was requested, shortened by the clock drift bound,
//! and shrinks towards its end, so that a node that reaches nobody falls to its floor in steps. At
//! most one lease counts at a time: a lease of another lender only after the held one has expired.

use super::{Budget, BudgetKind, Lease, LeaseId};
use crate::clock::drift_shortened;
use crate::{Nanos, SECOND};

mod node_budgets;
pub use node_budgets::NodeBudgets;

/// The window over which demand is counted, in nanoseconds.
const DEMAND_WINDOW: Nanos = SECOND / 4;
/// Windows of demand that are kept.
const DEMAND_WINDOWS: usize = 3;
/// The requested units as a multiple of the recent demand, so that a rise finds some.
const DEMAND_HEADROOM: f64 = 1.25;
/// A call that found no unit may try again after this part of the longest call.
pub(super) const RETRY_PART_OF_CALL: Nanos = 8;

/// The lease that a borrower holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    id: LeaseId,
    units: u32,
    requested_at: Nanos,
    duration: Nanos,
}

impl HeldLease {
    /// Units that may be used now: all in the first half of the lease, half in its third quarter, a
    /// quarter in its last.
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

/// The latest lease, with its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseAge {
    /// The lease.
    pub lease: Lease,
    /// Time since it was requested, in nanoseconds.
    pub since_request: Nanos,
    /// Time since it was received, in nanoseconds.
    pub since_grant: Nanos,
}

/// Calls that a budget allowed and refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that found a unit.
    pub allowed: u64,
    /// Calls that found none.
    pub refused: u64,
}

/// A node's end of a budget.
#[derive(Clone, Debug)]
pub struct BudgetBorrower {
    budget: Budget,
    held: Option<HeldLease>,
    /// Of a rate: calls that may be made at once, as of `refilled_at`.
    tokens: f64,
    refilled_at: Nanos,
    /// The share of its units that is used while the backend starts slowly.
    usable_share: f64,
    in_flight: u32,
    /// Attempts in the current window and in those before, allowed or not.
    attempts: [u32; DEMAND_WINDOWS],
    /// The current window's number.
    window: Nanos,
    /// The most in flight that was attempted lately.
    peak_in_flight: u32,
    /// When the latest lease was received, and what it says.
    latest_grant: Option<(Nanos, Lease)>,
    counts: CallCounts,
}

impl BudgetBorrower {
    /// The end of a node that has just started: without tokens or a lease.
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

    /// Its budget.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Changes the limit, floor or number of nodes. A held lease lasts until it expires.
    pub fn update_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Units that this node may use now: its floor and its lease.
    pub fn units(&self, now: Nanos) -> u32 {
        self.budget.floor + self.held.map_or(0, |held| held.units(now))
    }

    /// Receives a lease that was requested at `requested_at`. Of the same lender only a later lease
    /// replaces the held one; of another lender only after the held one has expired, so that no two
    /// are ever used together.
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

    /// Stops using the lease.
    pub fn drop_lease(&mut self, now: Nanos) {
        self.refill(now);
        self.held = None;
        self.refill(now);
    }

    /// The lease that it holds, to be reported to the lender. A smaller one counts as held only once
    /// no more than it allows is in flight.
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

    /// Units to request beside the floor, by the recent attempts.
    pub fn demand(&mut self, now: Nanos) -> u32 {
        self.roll_windows(now);
        let demand = match self.budget.kind {
            BudgetKind::Rate { .. } => {
                let most = self.attempts.iter().copied().max().unwrap_or(0);
                f64::from(most) * (SECOND / DEMAND_WINDOW) as f64
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
            // The peak fades by a quarter each window.
            self.peak_in_flight = self
                .in_flight
                .max(self.peak_in_flight - self.peak_in_flight / 4);
        }
        self.window = window;
    }

    /// Counts an attempt towards the demand.
    fn note_attempt(&mut self) {
        self.attempts[0] = self.attempts[0].saturating_add(1);
    }

    /// Counts towards the demand that one more call was wanted in flight.
    fn note_peak(&mut self) {
        self.peak_in_flight = self.peak_in_flight.max(self.in_flight + 1);
    }

    /// Calls a second that it may make now.
    fn calls_per_second(&self, now: Nanos) -> f64 {
        f64::from(self.units(now)) * self.usable_share
    }

    /// Uses only this share of its units from now on. Where the share falls, saved tokens are cut to
    /// `kept_tokens`, less than one call: nodes that learn of a start in the same instant must not
    /// all send a call at once.
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

    /// Adds the tokens of the time since the last refill. A clock may run fast, so the time counts
    /// as shortened by the drift bound.
    fn refill(&mut self, now: Nanos) {
        let BudgetKind::Rate { burst } = self.budget.kind else {
            return;
        };
        // A lease only shrinks between two refills: the units of this moment are the least since.
        let rate = self.calls_per_second(now);
        let most = (rate * burst as f64 / SECOND as f64).max(if rate > 0.0 { 1.0 } else { 0.0 });
        let passed = drift_shortened(now.saturating_sub(self.refilled_at));
        self.tokens = (self.tokens + rate * passed as f64 / SECOND as f64).min(most);
        self.refilled_at = now;
    }

    /// Checks whether one more call may be made now, and counts the attempt; else returns after how
    /// many nanoseconds to try again. Nothing is taken.
    pub fn check(&mut self, now: Nanos) -> Result<(), Nanos> {
        self.roll_windows(now);
        self.note_attempt();
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
                self.note_peak();
                if self.in_flight < self.units(now) {
                    Ok(())
                } else {
                    Err(max_call_time / RETRY_PART_OF_CALL)
                }
            }
        };
        self.counts.refused += u64::from(checked.is_err());
        checked.map_err(|retry_after| retry_after.max(1))
    }

    /// Takes a unit for a call that was checked in this instant.
    pub fn acquire_checked(&mut self) {
        self.counts.allowed += 1;
        match self.budget.kind {
            BudgetKind::Rate { .. } => self.tokens -= 1.0,
            BudgetKind::InFlight { .. } => self.in_flight += 1,
        }
    }

    /// Checks for a unit and takes it; else returns after how many nanoseconds to try again.
    pub fn acquire(&mut self, now: Nanos) -> Result<(), Nanos> {
        self.check(now)?;
        self.acquire_checked();
        Ok(())
    }

    /// Whether no leased units are in use: the floor is all there is.
    pub fn is_at_floor(&self, now: Nanos) -> bool {
        self.held.is_none_or(|held| held.units(now) == 0)
    }

    /// The latest lease with its age, if one is held.
    pub fn latest_lease(&self, now: Nanos) -> Option<LeaseAge> {
        let ((received_at, lease), held) = self.latest_grant.zip(self.held)?;
        Some(LeaseAge {
            lease,
            since_request: now.saturating_sub(held.requested_at),
            since_grant: now.saturating_sub(received_at),
        })
    }

    /// Calls that were allowed and refused.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// A call has ended.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}

#[cfg(test)]
mod tests;
