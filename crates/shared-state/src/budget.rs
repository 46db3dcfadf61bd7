//! Budgets: cluster-wide limits on backend calls.
//!
//! # Which node grants units, and why no unit is granted twice
//!
//! - [`leader_lease`](crate::leader_lease) decides which node may grant: a majority of a fixed set
//!   of voters elects a leader for a limited time. The leader's [`lender::BudgetLender`]s exist
//!   only while it holds the leader lease.
//! - [`lender`] records which units the leader has granted. No unit is in two valid leases at once,
//!   whether these belong to two borrowers or were granted by two successive leaders.
//! - [`borrower`] decides how many units a node may use: its guaranteed floor, which needs no
//!   grant, plus its lease until the lease expires.
//!
//! The types in this module are shared by borrower, lender and messages.

pub mod borrower;
pub mod fair_share;
pub mod lender;

pub use borrower::{BudgetBorrower, NodeBudgets};

use crate::Nanos;
use crate::keyed_quota::name_hash;
use thiserror::Error;

/// The quantity that a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BudgetKind {
    /// Limits the calls per second.
    Rate {
        /// The longest period whose unused calls a node may save up, in nanoseconds.
        burst: Nanos,
    },
    /// Limits the calls that are in flight at the same time.
    InFlight {
        /// The longest time that a call may take, in nanoseconds.
        max_call_time: Nanos,
    },
}

/// A cluster-wide limit on backend calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The budget's name, the same on all nodes.
    pub name: String,
    /// The limit for all nodes together, in calls per second or calls in flight; above 0.
    pub limit: u32,
    /// Units that each node may use without a lease.
    pub floor: u32,
    /// The maximum number of processes that run at once; above 0. A floor is set aside for each.
    pub max_nodes: u32,
    /// Whether the limit is on calls per second or on calls in flight.
    pub kind: BudgetKind,
    /// True if only retries of failed calls need a unit of the budget; false if all calls do.
    pub retries_only: bool,
}

/// Reason for which a budget's settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BudgetError {
    /// The limit or the number of nodes is 0.
    #[error("budget '{name}': the limit and the number of nodes must be above 0")]
    Zero {
        /// Name of the budget that is rejected.
        name: String,
    },
    /// The floors of all nodes together exceed the limit.
    #[error(
        "budget '{name}': the floors of {max_nodes} nodes are {floors}, more than the limit of {limit}"
    )]
    FloorsExceedLimit {
        /// Name of the budget that is rejected.
        name: String,
        /// The maximum number of processes that run at once.
        max_nodes: u32,
        /// Sum of the floors of `max_nodes` nodes, in units.
        floors: u64,
        /// The budget's limit, in units, which `floors` exceeds.
        limit: u32,
    },
}

impl Budget {
    /// Returns the number that identifies the budget in messages. The hash covers the kind as well,
    /// because a budget whose kind changes is a different budget.
    pub fn id(&self) -> u32 {
        let kind = match self.kind {
            BudgetKind::Rate { .. } => "rate",
            BudgetKind::InFlight { .. } => "in hand", // hashed into the id on the wire
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

    /// Returns the number of units available for leases: the limit less the floors of all nodes.
    pub fn pool(&self) -> u32 {
        self.limit
            .saturating_sub(self.floor.saturating_mul(self.max_nodes))
    }

    /// Returns how long units may stay in use after their lease has expired, in nanoseconds.
    pub fn use_after_expiry(&self) -> Nanos {
        match self.kind {
            BudgetKind::Rate { .. } => 0,
            BudgetKind::InFlight { max_call_time } => max_call_time,
        }
    }
}

/// Identifies a lease. The default value means no lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId {
    /// Random id of the lender that granted the lease; each lender draws a new one.
    pub lender: u64,
    /// The lease's sequence number at that lender, from 1.
    pub number: u64,
}

/// Units granted to a node for a limited time, with the figures that decided their number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lease {
    /// Id that the borrower reports to the lender while it holds the lease.
    pub id: LeaseId,
    /// Number of units that the borrower may use in addition to its floor.
    pub units: u32,
    /// How long the lease lasts, in nanoseconds on the borrower's clock, counted from the instant
    /// at which the borrower sent its request.
    pub duration: Nanos,
    /// Sum of the units that all borrowers request.
    pub total_demand: u32,
    /// Number of borrowers that the lender knows.
    pub borrowers: u32,
    /// Number of units available for leases to all borrowers.
    pub pool: u32,
}

/// A node's request for a lease of one budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRequest {
    /// The budget's number, from [`Budget::id`].
    pub budget: u32,
    /// The lease that the node holds; the default if it holds none.
    pub held: LeaseId,
    /// Number of units that the node could use in addition to its floor.
    pub units: u32,
    /// The value of a unit to this node, relative to other nodes.
    pub value: f64,
}
