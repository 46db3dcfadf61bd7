//! Budgets: limits of the whole cluster on backend calls.

pub mod borrower;
pub mod fair_share;
pub mod lender;

pub use borrower::{BudgetBorrower, NodeBudgets};

use crate::Nanos;
use crate::keyed_quota::number;

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

/// What is lent to one that asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    pub book: u64,
    pub no: u64,
    pub units: u32,
    /// Counted from when the borrower asked, by its own clock.
    pub term: Nanos,
    /// RefusalReason it is so much: what all ask for, how many they are, and what there is to lend.
    pub wanted: u32,
    pub borrowers: u32,
    pub pool: u32,
}

/// What is asked of one budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRequest {
    pub budget: u32,
    /// The book and the number of the part that it holds.
    pub holds: (u64, u64),
    pub units: u32,
    pub value: f64,
}
