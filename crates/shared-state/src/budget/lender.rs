//! The lender side of a budget, on the leader: which leases are outstanding, to which borrower, and
//! until when.
//!
//! A unit is granted again only after its borrower has reported that it holds a later and smaller
//! lease, or after the earlier lease has expired on the lender's clock, extended by the clock drift
//! bound and by the use after expiry.
//!
//! Leases of two successive leaders do not overlap either: a lender exists only while
//! [`leader_lease`](crate::leader_lease) makes its node the leader; it grants nothing for the first
//! lease duration plus use after expiry, during which the previous leader's leases end; and it
//! grants no lease that would outlast the leader lease.

use super::fair_share::{Demand, allocate};
use super::{Lease, LeaseId};
use crate::clock::drift_extended;
use crate::{Nanos, ProcessId};
use std::collections::BTreeMap;

/// Maximum number of leases of one borrower that may still be in use. A borrower that acknowledges
/// none of them is granted no further lease.
const MAX_LEASES_PER_BORROWER: usize = 16;
/// Multiple of the sum of the lease duration and the use after expiry. A borrower without units is
/// forgotten after a silence of this length.
const SILENT_LEASE_TIMES: u64 = 4;

/// A lease that was granted and whose units may still be in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OutstandingLease {
    number: u64,
    units: u32,
    /// Time from which none of the lease's units is in use.
    expired_at: Nanos,
}

/// The lender's record of one borrower.
#[derive(Clone, Debug, Default, PartialEq)]
struct BorrowerAccount {
    leases: Vec<OutstandingLease>,
    demand: Demand,
    last_request_at: Nanos,
}

impl BorrowerAccount {
    /// Returns the number of units that may be in use: the largest unexpired lease, because a
    /// borrower uses one lease at a time.
    fn outstanding(&self, now: Nanos) -> u32 {
        self.leases
            .iter()
            .filter(|lease| lease.expired_at > now)
            .map(|lease| lease.units)
            .max()
            .unwrap_or(0)
    }
}

/// The outstanding leases of one budget, and the units left to grant.
#[derive(Clone, Debug)]
pub struct BudgetLender {
    /// Random id of this lender. Lease numbers are unique only within one lender.
    id: u64,
    /// Number of units available for leases: the limit less all floors.
    pool: u32,
    accounts: BTreeMap<ProcessId, BorrowerAccount>,
    last_number: u64,
    lease_duration: Nanos,
    use_after_expiry: Nanos,
    /// Time of the first grants. Until then units of the previous leader's leases may be in use.
    grants_from: Nanos,
    max_borrowers: usize,
}

impl BudgetLender {
    /// Creates the lender of a leader whose leadership begins now. `pool` is the number of units
    /// left after all floors; `use_after_expiry` is the longest time in nanoseconds for which units
    /// stay in use after their lease has expired.
    pub fn new(
        now: Nanos,
        id: u64,
        pool: u32,
        lease_duration: Nanos,
        use_after_expiry: Nanos,
        max_borrowers: usize,
    ) -> BudgetLender {
        BudgetLender {
            id,
            pool,
            accounts: BTreeMap::new(),
            last_number: 0,
            lease_duration,
            use_after_expiry,
            grants_from: now + drift_extended(lease_duration) + use_after_expiry,
            max_borrowers,
        }
    }

    /// Returns the number of units that all borrowers together may be using.
    pub fn outstanding(&self, now: Nanos) -> u32 {
        let outstanding = self
            .accounts
            .values()
            .map(|account| account.outstanding(now))
            .sum();
        if now < self.grants_from {
            self.pool.max(outstanding)
        } else {
            outstanding
        }
    }

    /// Changes the pool. While more units than the new pool are outstanding, nothing is granted.
    pub fn resize(&mut self, pool: u32) {
        self.pool = pool;
    }

    /// Answers a borrower's request with a lease. `held` is the lease that the borrower holds; the
    /// borrower no longer uses any earlier lease of this lender.
    ///
    /// Returns `None` if nothing may be granted now: before the previous leader's leases have
    /// ended, if the lease would outlast `leader_until`, if the table of borrowers is full, or if
    /// too many leases of the borrower are unacknowledged.
    pub fn request(
        &mut self,
        now: Nanos,
        borrower: ProcessId,
        held: LeaseId,
        demand: Demand,
        leader_until: Nanos,
    ) -> Option<Lease> {
        self.record_request(now, borrower, held, demand)?;
        // The next leader waits for a lease duration before it grants; all leases granted here must
        // have ended by then.
        if now < self.grants_from || now + self.lease_duration > leader_until {
            return None;
        }
        let target = self.fair_share(borrower);
        let others: u32 = self
            .accounts
            .iter()
            .filter(|(process, _)| **process != borrower)
            .map(|(_, account)| account.outstanding(now))
            .sum();
        let free = self.pool.saturating_sub(others);
        let account = self.accounts.get_mut(&borrower)?;
        if account.leases.len() >= MAX_LEASES_PER_BORROWER {
            return None;
        }
        let units = target.min(free);
        self.last_number += 1;
        account.leases.push(OutstandingLease {
            number: self.last_number,
            units,
            expired_at: now + drift_extended(self.lease_duration) + self.use_after_expiry,
        });
        debug_assert!(
            others + units <= self.pool.max(others),
            "the leased units fit into the pool"
        );
        Some(self.lease(units))
    }

    /// Updates the borrower's account from a request. Returns `None` if the table of borrowers is
    /// full and the borrower is not in it.
    fn record_request(
        &mut self,
        now: Nanos,
        borrower: ProcessId,
        held: LeaseId,
        demand: Demand,
    ) -> Option<()> {
        // A lease of another lender does not show which leases of this lender are out of use.
        let held = if held.lender == self.id {
            held.number
        } else {
            0
        };
        if !self.accounts.contains_key(&borrower) && self.accounts.len() >= self.max_borrowers {
            return None;
        }
        let account = self.accounts.entry(borrower).or_default();
        account
            .leases
            .retain(|lease| lease.number >= held && lease.expired_at > now);
        (account.demand, account.last_request_at) = (demand, now);
        self.forget_silent_borrowers(now);
        Some(())
    }

    /// Returns the lease with the latest number and this many units.
    fn lease(&self, units: u32) -> Lease {
        let demands = self.accounts.values().map(|account| account.demand.units);
        Lease {
            id: LeaseId {
                lender: self.id,
                number: self.last_number,
            },
            units,
            duration: self.lease_duration,
            total_demand: demands.fold(0, u32::saturating_add),
            borrowers: self.accounts.len() as u32,
            pool: self.pool,
        }
    }

    /// Frees all leases of a borrower that leaves.
    pub fn release(&mut self, borrower: ProcessId) {
        self.accounts.remove(&borrower);
    }

    fn forget_silent_borrowers(&mut self, now: Nanos) {
        let silent = SILENT_LEASE_TIMES * (self.lease_duration + self.use_after_expiry);
        self.accounts.retain(|_, account| {
            account.outstanding(now) > 0 || now < account.last_request_at + silent
        });
    }

    /// Returns the number of units that a borrower is entitled to, given the demands of all
    /// borrowers.
    fn fair_share(&self, borrower: ProcessId) -> u32 {
        let demands: Vec<Demand> = self
            .accounts
            .values()
            .map(|account| account.demand.clone())
            .collect();
        let index = self
            .accounts
            .keys()
            .position(|process| *process == borrower);
        index
            .and_then(|index| allocate(self.pool, &demands).get(index).copied())
            .unwrap_or(0)
    }

    /// Returns the number of borrowers in the table.
    pub fn borrowers(&self) -> usize {
        self.accounts.len()
    }
}

#[cfg(test)]
mod tests;
