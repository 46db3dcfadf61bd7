//! Configuration of a node's membership protocol, and the default timing.

use crate::datagram_auth::AuthKeys;
use crate::member::{DetailsError, NAME_MAX, is_name};
use crate::{MILLISECOND, Nanos, SECOND};
use std::net::SocketAddr;

/// Reading of the node's clocks, passed in with each event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic time since an arbitrary fixed origin, in nanoseconds.
    pub now: Nanos,
    /// Unix time in milliseconds; may jump in either direction.
    pub unix_ms: u64,
}

/// Periods and timeouts of the protocol, in nanoseconds unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Time between two probes that a node sends.
    pub probe: Nanos,
    /// Time without a reply to a direct probe after which relays are asked to probe.
    pub probe_timeout: Nanos,
    /// Time between two gossip rounds.
    pub gossip: Nanos,
    /// Factor of the shortest suspicion timeout. That timeout is this many probe periods times the
    /// decimal logarithm of the cluster size (at least 1).
    pub suspicion: f64,
    /// Longest suspicion timeout, as a multiple of the shortest.
    pub suspicion_max_factor: f64,
    /// Time between two attempts to reach members that were declared dead.
    pub probe_dead: Nanos,
    /// Time for which members that died or left stay in the member table.
    pub forget_after: Nanos,
    /// Largest clock difference at which the first datagram of an unknown process is accepted.
    pub skew: Nanos,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            probe: SECOND,
            probe_timeout: 400 * MILLISECOND,
            gossip: 200 * MILLISECOND,
            suspicion: 2.0,
            suspicion_max_factor: 4.0,
            probe_dead: SECOND,
            forget_after: 3600 * SECOND,
            skew: 600 * SECOND,
        }
    }
}

/// Mechanisms that can be switched off in simulations to measure the effect of each. In production
/// all are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeatureToggles {
    /// Local health: a node that shows signs of being slow or cut off itself waits longer before it
    /// suspects others.
    pub health: bool,
    /// Suspicion timeouts that shrink with each confirmation, and probes that inform their target
    /// of a suspicion.
    pub confirm: bool,
    /// Anti-entropy by digests of the member table.
    pub anti_entropy: bool,
    /// Probes of members that were declared dead.
    pub probe_dead: bool,
}

impl Default for FeatureToggles {
    fn default() -> FeatureToggles {
        FeatureToggles {
            health: true,
            confirm: true,
            anti_entropy: true,
            probe_dead: true,
        }
    }
}

/// Configuration of one node of the cluster.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the cluster; datagrams of other clusters are dropped.
    pub cluster_name: String,
    /// Name of this node, unique in the cluster; printable ASCII, at most [`NAME_MAX`] bytes.
    pub name: String,
    /// Zone of this node, printable ASCII of at most [`ZONE_MAX`](crate::member::ZONE_MAX) bytes;
    /// may be empty.
    pub zone: String,
    /// Address at which other members reach this node.
    pub address: SocketAddr,
    /// Addresses that a node contacts to join the cluster while it knows no other member.
    pub seeds: Vec<SocketAddr>,
    /// Keys that authenticate datagrams: the first one signs, all verify.
    pub keys: AuthKeys,
    /// Periods and timeouts of the protocol.
    pub timing: Timing,
    /// Version of the program, shown to operators.
    pub program: String,
    /// Version number and hash of the settings in force.
    pub settings: (u64, u64),
    /// Memory limit of the member table, in bytes.
    pub bytes: usize,
    /// Mechanisms of the protocol that are switched on.
    pub features: FeatureToggles,
}

impl Config {
    /// Checks the constraints that the types do not enforce.
    ///
    /// # Errors
    /// [`DetailsError::BadName`] if the node's name is empty, too long or not printable ASCII.
    pub fn validate(&self) -> Result<(), DetailsError> {
        if is_name(&self.name, NAME_MAX) {
            Ok(())
        } else {
            Err(DetailsError::BadName)
        }
    }
}
