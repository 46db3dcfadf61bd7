//! Test support: stand-in peers of a node, a runner of fault scenarios with several processes, and
//! checkers of the invariants of every request. All sockets are on the loopback interface, on free
//! ports. Functions that wait return when the awaited event occurs, not after a fixed time.

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
