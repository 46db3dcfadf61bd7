//! The books of who lends: what is out, to whom, until when. A unit is lent again only when its
//! borrower said that it holds a later and smaller part, or when the earlier one has ended by the
//! lender's clock, with the drift added and, where units stay in use beyond their end, the longest
//! use.

use super::Lease;
use super::fair_share::{Demand, allot};
use crate::{Nanos, ProcessId};
use std::collections::BTreeMap;

/// Parts of one borrower that may still be in use at once; a borrower that never answers gets no
/// more.
const PARTS: usize = 16;

/// A part that was lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OutstandingLease {
    no: u64,
    units: u32,
    /// After this nothing of it is in use any more.
    gone: Nanos,
}

/// What is known of a borrower.
#[derive(Clone, Debug, Default, PartialEq)]
struct BorrowerAccount {
    lent: Vec<OutstandingLease>,
    demand: Demand,
    heard: Nanos,
}

impl BorrowerAccount {
    /// Units that may be in use.
    fn out(&self, now: Nanos) -> u32 {
        self.lent
            .iter()
            .filter(|lent| lent.gone > now)
            .map(|lent| lent.units)
            .max()
            .unwrap_or(0)
    }
}

/// What is lent of one budget.
#[derive(Clone, Debug)]
pub struct BudgetLender {
    /// Tells these books from all others: numbers of parts are each book's own.
    id: u64,
    /// Units there are, beside everybody's floor.
    units: u32,
    accounts: BTreeMap<ProcessId, BorrowerAccount>,
    next: u64,
    /// How long a part holds for its borrower, and how long after its end units may be in use yet.
    term: Nanos,
    lag: Nanos,
    /// Units that were out under whoever lent before, until then.
    before: Nanos,
    most: usize,
}

impl BudgetLender {
    /// Books that are begun now. Whoever lent before may have parts out for a term and the lag.
    pub fn new(
        now: Nanos,
        id: u64,
        units: u32,
        term: Nanos,
        lag: Nanos,
        most: usize,
    ) -> BudgetLender {
        let before = now + longer(term) + lag;
        BudgetLender {
            id,
            units,
            accounts: BTreeMap::new(),
            next: 0,
            term,
            lag,
            before,
            most,
        }
    }

    /// Units that may be in use by all together.
    pub fn out(&self, now: Nanos) -> u32 {
        let out = self.accounts.values().map(|account| account.out(now)).sum();
        if now < self.before {
            self.units.max(out)
        } else {
            out
        }
    }

    /// Another limit holds from now on. Less than what is out is kept by lending nothing until
    /// enough has come back.
    pub fn resize(&mut self, units: u32) {
        self.units = units;
    }

    /// A borrower asks: of the parts of this book it holds none but this one any more, and wants so
    /// much. It gets what there is for it now.
    pub fn ask(
        &mut self,
        now: Nanos,
        who: ProcessId,
        (book, holds): (u64, u64),
        demand: Demand,
        lender_until: Nanos,
    ) -> Option<Lease> {
        // What it holds of another book says nothing of what it may still get of this one.
        let holds = if book == self.id { holds } else { 0 };
        if !self.accounts.contains_key(&who) && self.accounts.len() >= self.most {
            return None;
        }
        let account = self.accounts.entry(who).or_default();
        account
            .lent
            .retain(|lent| lent.no >= holds && lent.gone > now);
        (account.demand, account.heard) = (demand, now);
        self.forget(now);
        if now < self.before {
            return None;
        }
        let (term, gone) = (self.term, now + longer(self.term) + self.lag);
        // Nothing is out when the next one who lends begins his books: he waits for a term, and
        // these end before.
        if now + self.term > lender_until {
            return None;
        }
        let target = self.target(who);
        let others: u32 = self
            .accounts
            .iter()
            .filter(|(w, _)| **w != who)
            .map(|(_, a)| a.out(now))
            .sum();
        let free = self.units.saturating_sub(others);
        let account = self.accounts.get_mut(&who)?;
        if account.lent.len() >= PARTS {
            return None;
        }
        let units = target.min(free);
        self.next += 1;
        account.lent.push(OutstandingLease {
            no: self.next,
            units,
            gone,
        });
        debug_assert!(
            others + units <= self.units.max(others),
            "no unit is lent twice"
        );
        let wants = self.accounts.values().map(|account| account.demand.wants);
        let wanted = wants.fold(0, u32::saturating_add);
        let (borrowers, pool) = (self.accounts.len() as u32, self.units);
        Some(Lease {
            book: self.id,
            no: self.next,
            units,
            term,
            wanted,
            borrowers,
            pool,
        })
    }

    /// A borrower gives all back: it leaves.
    pub fn give_back(&mut self, who: ProcessId) {
        self.accounts.remove(&who);
    }

    fn forget(&mut self, now: Nanos) {
        let silent = 4 * (self.term + self.lag);
        self.accounts
            .retain(|_, account| account.out(now) > 0 || now < account.heard + silent);
    }

    /// What one should have, given what all want.
    fn target(&self, who: ProcessId) -> u32 {
        let demands: Vec<Demand> = self
            .accounts
            .values()
            .map(|account| account.demand.clone())
            .collect();
        let place = self.accounts.keys().position(|w| *w == who);
        place
            .and_then(|at| allot(self.units, &demands).get(at).copied())
            .unwrap_or(0)
    }

    /// Those who have an account.
    pub fn borrowers(&self) -> usize {
        self.accounts.len()
    }
}

/// A time that has surely passed by another clock when it has passed by this one.
pub(crate) fn longer(time: Nanos) -> Nanos {
    time + time / crate::DRIFT + time / crate::DRIFT / crate::DRIFT + 1
}

#[cfg(test)]
mod tests;
