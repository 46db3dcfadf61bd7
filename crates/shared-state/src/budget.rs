//! Budgets: limits of the whole cluster on backend calls.
//!
//! # Who grants units, and why never two nodes at once
//!
//! - Which node may grant is decided by [`leader_lease`](crate::leader_lease): a majority of a
//!   fixed set of voters, for a limited time. The leader's [`lender::BudgetLender`]s exist only while
//!   it holds that lease.
//! - What a leader has granted is in [`lender`]: no unit is in two leases at once, neither of two
//!   borrowers nor of two successive leaders.
//! - What a node may use is in [`borrower`]: its guaranteed floor, which nobody grants, and its
//!   lease until that expires.
//!
//! The types here are shared by borrower, lender and messages.

pub mod borrower;
pub mod fair_share;
pub mod lender;

pub use borrower::{BudgetBorrower, NodeBudgets};

use crate::Nanos;
use crate::keyed_quota::name_hash;
use thiserror::Error;

/// What a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BudgetKind {
    /// Calls a second.
    Rate {
        /// The time whose unused calls a node may save up, in nanoseconds.
        burst: Nanos,
    },
    /// Calls in flight at once.
    InFlight {
        /// The longest that a call takes, in nanoseconds.
        max_call_time: Nanos,
    },
}

/// A limit of the whole cluster on backend calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Its name, the same on all nodes.
    pub name: String,
    /// Calls a second, or calls in flight, of all nodes together; above 0.
    pub limit: u32,
    /// Units that each node may use without a lease.
    pub floor: u32,
    /// The most processes that run at once: a floor is set aside for each; above 0.
    pub max_nodes: u32,
    /// What is limited.
    pub kind: BudgetKind,
    /// Whether only retries of failed calls count.
    pub retries_only: bool,
}

/// Why a budget can't be kept.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BudgetError {
    /// The limit or the number of nodes is 0.
    #[error("budget '{name}': limit and nodes must be above 0")]
    Zero {
        /// The budget.
        name: String,
    },
    /// The floors of all nodes exceed the limit.
    #[error(
        "budget '{name}': the floors of {max_nodes} nodes are {floors}, more than the limit of {limit}"
    )]
    FloorsExceedLimit {
        /// The budget.
        name: String,
        /// The most processes that run at once.
        max_nodes: u32,
        /// Units of all their floors.
        floors: u64,
        /// The bound on them.
        limit: u32,
    },
}

impl Budget {
    /// The number by which nodes refer to it in messages. A budget that changes its kind is another
    /// one, so the kind is hashed too.
    pub fn id(&self) -> u32 {
        let kind = match self.kind {
            BudgetKind::Rate { .. } => "rate",
            BudgetKind::InFlight { .. } => "in hand", // the word on the wire
        };
        name_hash(&format!("{} {kind}", self.name))
    }

    /// Checks that the limit and the number of nodes are above 0 and that the floors fit the limit.
    pub fn check(&self) -> Result<(), BudgetError> {
        if self.limit == 0 || self.max_nodes == 0 {
            return Err(BudgetError::Zero {
                name: self.name.clone(),
            });
        }
        let floors = u64::from(self.floor) * u64::from(self.max_nodes);
        if floors > u64::from(self.limit) {
            return Err(BudgetError::FloorsExceedLimit {
                name: self.name.clone(),
                max_nodes: self.max_nodes,
                floors,
                limit: self.limit,
            });
        }
        Ok(())
    }

    /// Units that are left beside the floors, to be leased.
    pub fn pool(&self) -> u32 {
        self.limit
            .saturating_sub(self.floor.saturating_mul(self.max_nodes))
    }

    /// How long units may stay in use after their lease has expired, in nanoseconds.
    pub fn use_after_expiry(&self) -> Nanos {
        match self.kind {
            BudgetKind::Rate { .. } => 0,
            BudgetKind::InFlight { max_call_time } => max_call_time,
        }
    }
}

/// Names a lease. The default names none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId {
    /// The lender that granted it: random, new for each lender.
    pub lender: u64,
    /// Its number at that lender, from 1.
    pub number: u64,
}

/// Units granted to a node for a time, and why so many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// Which lease this is.
    pub id: LeaseId,
    /// Units.
    pub units: u32,
    /// How long it lasts, from the borrower's request, by the borrower's clock, in nanoseconds.
    pub duration: Nanos,
    /// Units that all borrowers request together.
    pub total_demand: u32,
    /// How many borrowers there are.
    pub borrowers: u32,
    /// Units that there are to be leased.
    pub pool: u32,
}

/// A node's request for a lease of one budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRequest {
    /// The budget, by [`Budget::id`].
    pub budget: u32,
    /// The lease that the node holds.
    pub held: LeaseId,
    /// Units that it could use beside its floor.
    pub units: u32,
    /// The value of a unit to it, compared with others.
    pub value: f64,
}
