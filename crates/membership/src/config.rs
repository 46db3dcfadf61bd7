//! Configuration of a node's membership, with units and defaults.

use crate::datagram_auth::AuthKeys;
use crate::member::{DetailsError, NAME_MAX, is_name};
use crate::{MILLISECOND, Nanos, SECOND};
use std::net::SocketAddr;

/// A reading of the node's clocks, handed in with each event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic time since any fixed origin, in nanoseconds.
    pub now: Nanos,
    /// Unix time in milliseconds; may step.
    pub unix_ms: u64,
}

/// Periods and timeouts of the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Period between two probes.
    pub probe: Nanos,
    /// Timeout of a direct probe, after which relays are asked to probe.
    pub probe_timeout: Nanos,
    /// Period between two gossip rounds.
    pub gossip: Nanos,
    /// Shortest suspicion timeout, in probe periods times the decimal logarithm of the cluster size.
    pub suspicion: f64,
    /// Longest suspicion timeout, as a multiple of the shortest.
    pub suspicion_max_factor: f64,
    /// Period between two attempts to reach members that were declared dead.
    pub probe_dead: Nanos,
    /// How long members that are dead or left are remembered.
    pub forget_after: Nanos,
    /// Greatest clock difference at which the first datagram of an unknown process is accepted.
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

/// Mechanisms that can be switched off in simulations, to measure what each is worth. In service
/// all are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeatureToggles {
    /// Local health: a node that doubts its own timeliness waits longer before it suspects others.
    pub health: bool,
    /// Suspicion timeouts that shrink with each confirmation, and suspects that are told.
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

/// Configuration of one node.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the cluster; datagrams of other clusters are dropped.
    pub cluster_name: String,
    /// Name of this node, unique in the cluster; printable ASCII, at most [`NAME_MAX`] bytes.
    pub name: String,
    /// Zone of this node; may be empty.
    pub zone: String,
    /// Address at which other members reach this node.
    pub address: SocketAddr,
    /// Addresses at which a node that knows nobody looks for members.
    pub seeds: Vec<SocketAddr>,
    /// Keys that authenticate datagrams.
    pub keys: AuthKeys,
    /// Periods and timeouts.
    pub timing: Timing,
    /// Version of the program, as shown to operators.
    pub program: String,
    /// Number and hash of the settings in force.
    pub settings: (u64, u64),
    /// Bytes that the member table may take.
    pub bytes: usize,
    /// Mechanisms that are switched on.
    pub features: FeatureToggles,
}

impl Config {
    /// Checks what the types leave open.
    ///
    /// # Errors
    /// [`DetailsError::BadName`] where the node's name is empty, too long or not printable ASCII.
    pub fn validate(&self) -> Result<(), DetailsError> {
        if is_name(&self.name, NAME_MAX) {
            Ok(())
        } else {
            Err(DetailsError::BadName)
        }
    }
}
