//! The leader's end of a budget: which leases are outstanding, of which borrower, until when.
//!
//! A unit is granted again only when its borrower reported that it holds a later and smaller lease,
//! or when the earlier lease has expired on the lender's clock, extended by the clock drift bound and
//! by the longest that units stay in use beyond their lease.
//!
//! No two leaders' leases overlap either: a lender exists only while
//! [`leader_lease`](crate::leader_lease) makes its node the leader, grants nothing for the first
//! lease duration and use after expiry, in which its predecessor's leases end, and grants no lease
//! that would outlast the leader lease.

use super::fair_share::{Demand, allocate};
use super::{Lease, LeaseId};
use crate::clock::drift_extended;
use crate::{Nanos, ProcessId};
use std::collections::BTreeMap;

/// The most leases of one borrower that may still be in use at once. A borrower that acknowledges
/// none of them gets no more.
const MAX_LEASES_PER_BORROWER: usize = 16;
/// A borrower without units is forgotten after this many times its longest possible use of a lease.
const SILENT_LEASE_TIMES: u64 = 4;

/// A lease that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OutstandingLease {
    number: u64,
    units: u32,
    /// From this time on none of its units is in use.
    expired_at: Nanos,
}

/// What is known of a borrower.
#[derive(Clone, Debug, Default, PartialEq)]
struct BorrowerAccount {
    leases: Vec<OutstandingLease>,
    demand: Demand,
    last_request_at: Nanos,
}

impl BorrowerAccount {
    /// Units that may be in use. A borrower uses one lease at a time.
    fn outstanding(&self, now: Nanos) -> u32 {
        self.leases
            .iter()
            .filter(|lease| lease.expired_at > now)
            .map(|lease| lease.units)
            .max()
            .unwrap_or(0)
    }
}

/// The outstanding leases of one budget.
#[derive(Clone, Debug)]
pub struct BudgetLender {
    /// Tells this lender from all others: lease numbers are each lender's own.
    id: u64,
    /// Units that there are beside all floors.
    pool: u32,
    accounts: BTreeMap<ProcessId, BorrowerAccount>,
    last_number: u64,
    lease_duration: Nanos,
    use_after_expiry: Nanos,
    /// Until this time units of the previous leader's leases may be in use.
    grants_from: Nanos,
    max_borrowers: usize,
}

impl BudgetLender {
    /// A lender whose leadership begins now. `pool` are the units beside the floors;
    /// `use_after_expiry` bounds in nanoseconds how long units stay in use beyond a lease.
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

    /// Units that may be in use by all borrowers together.
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

    /// Changes the pool. If more units are outstanding, nothing is granted until enough have come
    /// back.
    pub fn resize(&mut self, pool: u32) {
        self.pool = pool;
    }

    /// Answers a borrower's request. `held` is the only lease of this lender that it may still use.
    /// Returns none where nothing may be granted now: before the previous leader's leases have ended,
    /// where the lease would outlast `leader_until`, or where there is no room for the borrower.
    pub fn request(
        &mut self,
        now: Nanos,
        borrower: ProcessId,
        held: LeaseId,
        demand: Demand,
        leader_until: Nanos,
    ) -> Option<Lease> {
        self.record_request(now, borrower, held, demand)?;
        // The next leader waits for a lease duration, and all leases of this one end before.
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
            "no unit is granted twice"
        );
        Some(self.lease(units))
    }

    /// Takes up what a request says of its borrower; none if there is no room for another borrower.
    fn record_request(
        &mut self,
        now: Nanos,
        borrower: ProcessId,
        held: LeaseId,
        demand: Demand,
    ) -> Option<()> {
        // A lease of another lender says nothing of the leases of this one.
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
        self.forget_silent(now);
        Some(())
    }

    /// The latest lease, of this many units.
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

    /// A borrower that leaves releases all its leases.
    pub fn release(&mut self, borrower: ProcessId) {
        self.accounts.remove(&borrower);
    }

    fn forget_silent(&mut self, now: Nanos) {
        let silent = SILENT_LEASE_TIMES * (self.lease_duration + self.use_after_expiry);
        self.accounts.retain(|_, account| {
            account.outstanding(now) > 0 || now < account.last_request_at + silent
        });
    }

    /// The units that one borrower should have, given the demands of all.
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

    /// How many borrowers have an account.
    pub fn borrowers(&self) -> usize {
        self.accounts.len()
    }
}

#[cfg(test)]
mod tests;
