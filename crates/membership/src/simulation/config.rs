//! Configuration of a simulated cluster.

use crate::{FeatureToggles, MILLISECOND, Nanos, SECOND, Timing};

/// Configuration of a simulated cluster.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Number of members.
    pub members: usize,
    /// Number of zones; members are spread evenly.
    pub zones: usize,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Shortest and longest time that a datagram takes.
    pub latency: (Nanos, Nanos),
    /// Fraction of members that stall now and then.
    pub stalling: f64,
    /// Longest stall, and mean time between two stalls.
    pub stall: (Nanos, Nanos),
    /// Periods and timeouts of the protocol.
    pub timing: Timing,
    /// Mechanisms that are switched on.
    pub features: FeatureToggles,
    /// Whether all know each other at the start; else the first three are the seeds.
    pub preloaded: bool,
    /// Seed of all chance.
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
