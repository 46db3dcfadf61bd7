//! Test support: stand-in peers of a node, fault scenarios among several processes, and checkers of
//! what must hold for every request. Everything stays on loopback, on free ports, and waits for
//! events instead of fixed times.

pub use madderpoint_settings::scenario;

pub mod backend_service;
pub mod checker;
pub mod event_record;
pub mod executor;
pub mod fault_proxy;
pub mod fault_scenario;
pub mod faults;
pub mod keys;
pub mod load;
pub mod peers;
pub mod program;
pub mod wire;
