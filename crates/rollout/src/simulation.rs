//! Simulated clusters: the rollout participants of many nodes, over a network that loses and delays
//! messages and splits, with disks, crashes, restarts, pauses and clocks that step. All randomness
//! follows from a seed, and simulated time runs as fast as it can be computed. Invariants on the
//! behaviour of the nodes are checked at every step.

pub mod cluster;
pub mod load;
pub mod trial;

pub use cluster::{SimHost, SimulatedCluster, SimulationConfig, SimulationTotals};
pub use load::{Effect, Load, NodeRun, Noise, WINDOW};
