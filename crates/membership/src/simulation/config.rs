//! Configuration of a simulated cluster.

use crate::{FeatureToggles, MILLISECOND, Nanos, SECOND, Timing};

/// Configuration of a simulated cluster.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Number of members in the cluster.
    pub members: usize,
    /// Number of zones; members are spread evenly.
    pub zones: usize,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Shortest and longest delay of a datagram, in nanoseconds.
    pub latency: (Nanos, Nanos),
    /// Fraction of members that stall from time to time.
    pub stalling: f64,
    /// Longest stall and mean time between the beginnings of two stalls, in nanoseconds.
    pub stall: (Nanos, Nanos),
    /// Periods and timeouts of the protocol.
    pub timing: Timing,
    /// Mechanisms of the protocol that are switched on.
    pub features: FeatureToggles,
    /// Whether all members know each other at the start. Otherwise they join through the first
    /// three members, which are the seeds.
    pub preloaded: bool,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        SimulationConfig {
            members: 10,
            zones: 3,
            loss: 0.0,
            latency: (200_000, 2 * MILLISECOND),
            stalling: 0.0,
            stall: (1500 * MILLISECOND, 3 * SECOND),
            timing: Timing::default(),
            features: FeatureToggles::default(),
            preloaded: true,
            seed: 1,
        }
    }
}
