//! Keyed quotas: cluster-wide limits per key, either on the rate at which the key's operations are
//! admitted or on how many of them are in flight. There may be a hundred thousand keys, most of
//! them rarely used, so no state is stored for a key that has not been used recently.
//!
//! The right to use a key consists of **units**, each of which is in one place: free at the lender
//! ([`lender`]) or leased to a node ([`borrower`]). Units of a rate are created at that rate, and
//! only while fewer than the burst exist; a spent unit ceases to exist. A limit on units in flight
//! has a fixed number of units. Because a unit is never in two places, it does not matter how long
//! a node keeps it: over any period W all nodes together spend at most rate x W plus the burst.
//!
//! In addition each node has a guaranteed floor: a few units of each key that are set aside for the
//! node. The floors of all nodes together are created at a sixteenth of the rate. A node that is
//! cut off from the lender still has its floor.

pub mod borrower;
pub mod lender;

use crate::clock::CLOCK_DRIFT_PARTS;
use crate::{MILLISECOND, Nanos, SECOND};
use thiserror::Error;

/// If nodes have floors, one part in this many of a rate is created as floor units.
const FLOOR_RATE_DIVISOR: u64 = 16;
/// Requests per second that a lender can answer with a small part of a core.
const LENDER_REQUESTS_PER_SECOND: u64 = 2000;
/// Minimum time between two requests of a node, in nanoseconds.
const MIN_REQUEST_INTERVAL: Nanos = 250 * MILLISECOND;
/// Maximum number of keys in one request, so that the request fits a payload.
pub const MAX_KEYS_PER_REQUEST: usize = 48;

/// The quantity that is limited for each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuotaKind {
    /// Limits the admissions of each key per period.
    Rate {
        /// Number of units per period.
        count: u32,
        /// Length of the period, in nanoseconds.
        period: Nanos,
        /// Maximum number of units saved up by all nodes together, including the floors.
        burst: u32,
    },
    /// Limits the units of each key that are in flight at the same time.
    InFlight {
        /// Maximum number of units in flight at once, over all nodes.
        limit: u32,
        /// The longest time that a unit may be in flight, in nanoseconds.
        max_hold: Nanos,
    },
}

/// A cluster-wide limit per key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedQuota {
    /// The quota's name, unique and the same on all nodes.
    pub name: String,
    /// Whether the limit of each key is on a rate or on units in flight.
    pub kind: QuotaKind,
    /// Number of units of each key that each node may use without a lease.
    pub floor: u32,
    /// Maximum number of processes that run at once; above 0.
    pub max_nodes: u32,
}

/// Reason for which a quota's settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum QuotaError {
    /// The limit or the number of nodes is 0.
    #[error("'{name}': the limit and the number of nodes must be above 0")]
    Zero {
        /// Name of the quota that is rejected.
        name: String,
    },
    /// The floors of all nodes together leave no units for leases: they must be below the burst or
    /// the limit.
    #[error(
        "'{name}': the floors of {max_nodes} nodes are {floors}, which leaves nothing of the {field} of {bound} to lend"
    )]
    FloorsLeaveNothing {
        /// Name of the quota that is rejected.
        name: String,
        /// Maximum number of processes that run at once.
        max_nodes: u32,
        /// Sum of the floors of `max_nodes` nodes, in units.
        floors: u64,
        /// Name of the setting that `floors` must be below: `burst` or `limit`.
        field: &'static str,
        /// Value of the setting that `field` names, in units.
        bound: u32,
    },
    /// The rate is 0, or its units would have to be created faster than one per nanosecond.
    #[error("'{name}': the rate must be above 0 and at most one unit per nanosecond")]
    ImpossibleRate {
        /// Name of the quota that is rejected.
        name: String,
    },
}

/// Returns the 32-bit FNV-1a hash of a name, which is the same on all nodes.
pub fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

impl KeyedQuota {
    /// Returns the number that identifies the quota in messages. The hash covers the kind as well,
    /// because a quota whose kind changes is a different quota.
    pub fn id(&self) -> u32 {
        let kind = match self.kind {
            QuotaKind::Rate { .. } => "rate",
            QuotaKind::InFlight { .. } => "in hand", // hashed into the id on the wire
        };
        name_hash(&format!("{} {kind}", self.name))
    }

    /// Returns the maximum number of units of a key that may exist at once, including the floors.
    fn max_units(&self) -> u32 {
        match self.kind {
            QuotaKind::Rate { burst, .. } => burst,
            QuotaKind::InFlight { limit, .. } => limit,
        }
    }

    /// Returns the number of units of a key that are set aside as floors for all nodes.
    fn floors(&self) -> u64 {
        u64::from(self.floor) * u64::from(self.max_nodes)
    }

    /// Checks that the limit and the number of nodes are above 0, that the floors leave units for
    /// leases, and that the rate is within bounds.
    pub fn check(&self) -> Result<(), QuotaError> {
        let floors = self.floors();
        if self.max_nodes == 0 || self.max_units() == 0 {
            return Err(QuotaError::Zero {
                name: self.name.clone(),
            });
        }
        if floors >= u64::from(self.max_units()) {
            return Err(QuotaError::FloorsLeaveNothing {
                name: self.name.clone(),
                max_nodes: self.max_nodes,
                floors,
                field: match self.kind {
                    QuotaKind::Rate { .. } => "burst",
                    QuotaKind::InFlight { .. } => "limit",
                },
                bound: self.max_units(),
            });
        }
        if self.unit_interval().is_none_or(|interval| interval == 0) {
            return Err(QuotaError::ImpossibleRate {
                name: self.name.clone(),
            });
        }
        Ok(())
    }

    /// Returns the maximum number of units of a key that are free or leased at once: the burst or
    /// the limit, less the floors of all nodes.
    pub fn pool(&self) -> u32 {
        u32::try_from(u64::from(self.max_units()).saturating_sub(self.floors())).unwrap_or(0)
    }

    /// Returns the time in which one leasable unit is created, in nanoseconds: `Nanos::MAX` for a
    /// limit on units in flight, `None` for a rate of 0. The lender's clock may run fast, so the
    /// time is extended by the clock drift bound.
    pub fn unit_interval(&self) -> Option<Nanos> {
        let QuotaKind::Rate { count, period, .. } = self.kind else {
            return Some(Nanos::MAX);
        };
        let even_interval = period.checked_div(u64::from(count))?;
        let leased = if self.floor > 0 {
            even_interval + even_interval / (FLOOR_RATE_DIVISOR - 1) + 1
        } else {
            even_interval
        };
        Some(leased + leased / (CLOCK_DRIFT_PARTS - 1) + 1)
    }

    /// Returns the time in which one unit of a node's floor is created, in nanoseconds, extended by
    /// the clock drift bound; 0 for a limit on units in flight.
    pub fn floor_interval(&self) -> Nanos {
        let QuotaKind::Rate { count, period, .. } = self.kind else {
            return 0;
        };
        let even_interval = period / u64::from(count.max(1)) + 1;
        let node_interval = even_interval
            .saturating_mul(FLOOR_RATE_DIVISOR)
            .saturating_mul(u64::from(self.max_nodes));
        node_interval.saturating_add(node_interval / (CLOCK_DRIFT_PARTS - 1))
    }

    /// Returns how long units may stay in use after their lease has expired, in nanoseconds.
    pub fn use_after_expiry(&self) -> Nanos {
        match self.kind {
            QuotaKind::Rate { .. } => 0,
            QuotaKind::InFlight { max_hold, .. } => max_hold,
        }
    }
}

/// Intervals of the requests for units of keyed quotas, in nanoseconds. They follow from the
/// settings and are the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaTiming {
    /// Mean time between two requests of a node.
    pub request_interval: Nanos,
    /// Time after which a node reports its use of a key and renews the lease.
    pub renewal_interval: Nanos,
    /// Time after which leased units expire unless they are renewed.
    pub lease_duration: Nanos,
    /// Time since its last use during which a key counts as in use.
    pub idle_timeout: Nanos,
}

impl QuotaTiming {
    /// Returns the timing for up to `max_nodes` nodes, all of which send their requests to one
    /// lender.
    pub fn for_nodes(max_nodes: u32) -> QuotaTiming {
        let request_interval =
            MIN_REQUEST_INTERVAL.max(SECOND * u64::from(max_nodes) / LENDER_REQUESTS_PER_SECOND);
        let renewal_interval = 4 * request_interval;
        QuotaTiming {
            request_interval,
            renewal_interval,
            lease_duration: 3 * renewal_interval,
            idle_timeout: 15 * renewal_interval,
        }
    }
}

/// The part of a request that concerns one key: how many units the node keeps, releases, and wants
/// in addition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRequest {
    /// The quota's number, from [`KeyedQuota::id`].
    pub quota: u32,
    /// Hash of the key's text, the same on all nodes.
    pub key: u64,
    /// Number of units that the node keeps.
    pub kept: u32,
    /// Number of units that the node releases unused.
    pub released: u32,
    /// Number of units that the node wants in addition to those that it keeps.
    pub wanted: u32,
}

/// A borrower's request for units of one or more keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaRequest {
    /// Sequence number, which grows with each request of a process.
    pub number: u32,
    /// Time at which the request was sent, on the borrower's clock; the grant returns it.
    pub sent_at: Nanos,
    /// The requested keys, at most [`MAX_KEYS_PER_REQUEST`].
    pub keys: Vec<KeyRequest>,
}

/// Units of one key that are granted in addition to those that the borrower keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// The quota's number, from [`KeyedQuota::id`].
    pub quota: u32,
    /// Hash of the key's text, the same on all nodes.
    pub key: u64,
    /// Number of units granted in addition to those that the borrower keeps.
    pub added: u32,
    /// Time after which to request again, in nanoseconds, if units were wanted and none are
    /// granted; else 0.
    pub retry_after: Nanos,
}

/// The lender's answer to a [`QuotaRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaGrant {
    /// Sequence number of the request.
    pub number: u32,
    /// Time at which the request was sent, on the borrower's clock.
    pub request_sent_at: Nanos,
    /// How long all units that the borrower now has of these keys are leased, in nanoseconds from
    /// the time at which the request was sent.
    pub lease_duration: Nanos,
    /// Grants for the keys of the request.
    pub keys: Vec<KeyGrant>,
}

#[cfg(test)]
mod tests;
