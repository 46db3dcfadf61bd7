//! Simulated clusters: many nodes' parts over a network that loses, delays and splits, with disks,
//! crashes, restarts, pauses and clocks that step; by a seed, as fast as it can be computed. At
//! every step it is checked that what the nodes do is allowed.

pub mod cluster;
pub mod load;
pub mod trial;

pub use cluster::{Shape, SimHost, SimulatedCluster, SimulationTotals};
pub use load::{Effect, Load, Noise, Runs, WINDOW};
