//! The settings that a node is handed at its start, decoded into the library's [`Deployment`].
//!
//! [`decode`] reads the platform's JSON, checks that every figure can be worked with and maps the
//! platform's names to the library's terms. It is used by the node and by the simulator adapter, so
//! that both decide on the same facts.

#![forbid(unsafe_code)]

mod decode;
mod error;
mod fields;
mod settings;

pub use decode::decode;
pub use error::DeploymentError;

use madderpoint::{Deployment, Gauges};

/// The decoded settings of a node.
#[derive(Clone)]
pub struct DeploymentConfig {
    /// What the decisions go by.
    pub deployment: Deployment,
    /// Names of the operations, in their order.
    pub operation_names: Vec<String>,
    /// Names of the tenants, in their order.
    pub tenant_names: Vec<String>,
    /// Names of the gauges, in the order of their values.
    pub gauge_names: Vec<String>,
    /// Whether requests carry the time that their client still waits.
    pub passes_deadline: bool,
}

impl DeploymentConfig {
    /// The gauges' values by their names; unknown names are skipped.
    pub fn gauges(&self, values: impl Iterator<Item = f64>) -> Gauges {
        let mut gauges = Gauges::default();
        for (name, value) in self.gauge_names.iter().zip(values) {
            match name.as_str() {
                "cpu_busy" => gauges.cpu_busy = Some(value),
                "runnable" => gauges.runnable = Some(value),
                "mem_used" => gauges.memory_used = Some(value),
                "sockets" => gauges.connections = Some(value),
                _ => {}
            }
        }
        gauges
    }
}

#[cfg(test)]
mod tests;
