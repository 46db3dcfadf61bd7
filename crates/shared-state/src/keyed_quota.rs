//! Keyed quotas: limits by key for the whole cluster, as a rate of each key or a number of it in
//! flight. There may be a hundred thousand keys, most of them seldom used, so that nothing is stored
//! about a key that nobody used lately.
//!
//! What may be used of a key exists as **units** that are each in one place: free at the lender
//! ([`lender`]), or leased to a node ([`borrower`]). Units of a rate are made at that rate, and only
//! while fewer exist than the burst; a unit that is spent is gone. Units of a number in flight are as
//! many as the limit. Because a unit is never in two places, it does not matter how long it stays
//! with a node: over any time W all nodes together spend at most rate x W and the burst.
//!
//! Beside that each node has a guaranteed floor: a few units of each key that are set aside for it,
//! made at a sixteenth of the rate over all nodes. A node that reaches no lender has these.

pub mod borrower;
pub mod lender;

use crate::clock::CLOCK_DRIFT_PARTS;
use crate::{MILLISECOND, Nanos, SECOND};
use thiserror::Error;

/// Of a rate whose nodes have floors, one part in this many is made as floors.
const FLOOR_PART: u64 = 16;
/// Requests that a lender can answer in a second with a small part of a core.
const LENDER_REQUESTS_PER_SECOND: u64 = 2000;
/// The least time between two requests of a node, in nanoseconds.
const MIN_REQUEST_INTERVAL: Nanos = 250 * MILLISECOND;
/// The most keys in one request: what fits a payload.
pub const MAX_KEYS_PER_REQUEST: usize = 48;

/// What is limited of each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuotaKind {
    /// A rate.
    Rate {
        /// Units in a period.
        count: u32,
        /// The period, in nanoseconds.
        period: Nanos,
        /// Units that may be saved up, of all nodes together and with the floors.
        burst: u32,
    },
    /// A number in flight.
    InFlight {
        /// Units in flight at once.
        limit: u32,
        /// The longest that a unit is in flight, in nanoseconds.
        max_hold: Nanos,
    },
}

/// A limit by key for the whole cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedQuota {
    /// Tells it from all others, on all nodes.
    pub name: String,
    /// What is limited.
    pub kind: QuotaKind,
    /// Units of each key that each node may use without a lease.
    pub floor: u32,
    /// The most processes that run at once; above 0.
    pub max_nodes: u32,
}

/// Why a quota can't be kept.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum QuotaError {
    /// The limit or the number of nodes is 0.
    #[error("'{name}': the limit and the number of nodes must be above 0")]
    Zero {
        /// The quota.
        name: String,
    },
    /// The floors of all nodes leave nothing to be leased.
    #[error(
        "'{name}': the floors of {max_nodes} nodes are {floors}, and nothing of the {field} of {bound} is left to lend"
    )]
    FloorsLeaveNothing {
        /// The quota.
        name: String,
        /// The most processes that run at once.
        max_nodes: u32,
        /// Units of all their floors.
        floors: u64,
        /// The setting that bounds the floors: `burst` or `limit`.
        field: &'static str,
        /// Its value.
        bound: u32,
    },
    /// Units would have to be made faster than one a nanosecond, or in no time.
    #[error("'{name}': this rate can't be kept")]
    ImpossibleRate {
        /// The quota.
        name: String,
    },
}

/// A hash of a name that all nodes agree on: FNV-1a, 32 bits.
pub fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

impl KeyedQuota {
    /// The number by which nodes refer to it in messages. A quota that changes its kind is another
    /// one, so the kind is hashed too.
    pub fn id(&self) -> u32 {
        let kind = match self.kind {
            QuotaKind::Rate { .. } => "rate",
            QuotaKind::InFlight { .. } => "in hand", // the word on the wire
        };
        name_hash(&format!("{} {kind}", self.name))
    }

    /// All units of a key that may exist at once.
    fn max_units(&self) -> u32 {
        match self.kind {
            QuotaKind::Rate { burst, .. } => burst,
            QuotaKind::InFlight { limit, .. } => limit,
        }
    }

    /// Units of a key that are set aside as floors.
    fn floors(&self) -> u64 {
        u64::from(self.floor) * u64::from(self.max_nodes)
    }

    /// Checks that the limit and the number of nodes are above 0, that the floors leave something to
    /// lease, and that the rate can be kept.
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

    /// Units of a key that can be leased: the most that are saved up, or all.
    pub fn pool(&self) -> u32 {
        u32::try_from(u64::from(self.max_units()).saturating_sub(self.floors())).unwrap_or(0)
    }

    /// Time in which a unit to be leased is made, in nanoseconds; none if there is no rate. The
    /// lender's clock may run fast, so it is extended by the drift bound.
    pub fn unit_interval(&self) -> Option<Nanos> {
        let QuotaKind::Rate { count, period, .. } = self.kind else {
            return Some(Nanos::MAX);
        };
        let even = period.checked_div(u64::from(count))?;
        let leased = if self.floor > 0 {
            even + even / (FLOOR_PART - 1) + 1
        } else {
            even
        };
        Some(leased + leased / (CLOCK_DRIFT_PARTS - 1) + 1)
    }

    /// Time in which a unit of a node's floor is made, in nanoseconds; 0 for a number in flight.
    pub fn floor_interval(&self) -> Nanos {
        let QuotaKind::Rate { count, period, .. } = self.kind else {
            return 0;
        };
        let even = period / u64::from(count.max(1)) + 1;
        let of_node = even
            .saturating_mul(FLOOR_PART)
            .saturating_mul(u64::from(self.max_nodes));
        of_node.saturating_add(of_node / (CLOCK_DRIFT_PARTS - 1))
    }

    /// How long units may stay in use after their lease has expired, in nanoseconds.
    pub fn use_after_expiry(&self) -> Nanos {
        match self.kind {
            QuotaKind::Rate { .. } => 0,
            QuotaKind::InFlight { max_hold, .. } => max_hold,
        }
    }
}

/// How often keys are requested, in nanoseconds. The same on all nodes, as it follows from their
/// settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaTiming {
    /// The mean time between two requests of a node.
    pub request_interval: Nanos,
    /// What a node uses of a key is reported, and its lease renewed, this often.
    pub renewal_interval: Nanos,
    /// Leased units expire after this, unless they are renewed.
    pub lease_duration: Nanos,
    /// A key that was used within this counts as in use.
    pub idle_timeout: Nanos,
}

impl QuotaTiming {
    /// The timing for at most this many nodes, which all request from one lender.
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

/// A request for units of one key: what its node keeps, releases, and wants beside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRequest {
    /// The quota, by [`KeyedQuota::id`].
    pub quota: u32,
    /// The key's number.
    pub key: u64,
    /// Units that the node keeps.
    pub kept: u32,
    /// Units that it releases unused.
    pub released: u32,
    /// Units that it wants beside those that it keeps.
    pub wanted: u32,
}

/// A request for units of some keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaRequest {
    /// Grows with each request of a process.
    pub number: u32,
    /// The time by the borrower's clock, which the grant returns, in nanoseconds.
    pub sent_at: Nanos,
    /// At most [`MAX_KEYS_PER_REQUEST`].
    pub keys: Vec<KeyRequest>,
}

/// Units of one key that are granted beside those that the borrower keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// The quota, by [`KeyedQuota::id`].
    pub quota: u32,
    /// The key's number.
    pub key: u64,
    /// Units.
    pub added: u32,
    /// Where none are granted: after how many nanoseconds to request again; else 0.
    pub retry_after: Nanos,
}

/// The answer to a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaGrant {
    /// The number of the request.
    pub number: u32,
    /// The time of the request by the borrower's clock, in nanoseconds.
    pub request_sent_at: Nanos,
    /// All units that the borrower now has of these keys are leased for this long from its request,
    /// in nanoseconds.
    pub lease_duration: Nanos,
    /// By key.
    pub keys: Vec<KeyGrant>,
}

#[cfg(test)]
mod tests;
