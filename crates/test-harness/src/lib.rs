//! Stand-in peers, scripted faults and checkers of the four rules, for tests and tools. All of it
//! stays on loopback, on free ports, and waits for events.

#![forbid(unsafe_code)]

pub use madderpoint_settings::scenario;

pub mod checker;
pub mod faults;
pub mod keys;
pub mod load;
pub mod peers;
pub mod program;
pub mod record;
pub mod relay;
pub mod rig;
pub mod service;
pub mod wire;
pub mod worker;
