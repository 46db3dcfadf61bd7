//! Decodes the settings that a node gets at its start into the library's [`Deployment`].
//!
//! [`decode()`] reads the platform's JSON, checks that every value is within its bounds and maps
//! the platform's names to the library's terms. The node and the simulator adapter both use it, so
//! that their decisions are based on the same deployment.

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
    /// Deployment that is passed to the admission controller.
    pub deployment: Deployment,
    /// Names of the operations, indexed by [`OperationId`](madderpoint::OperationId).
    pub operation_names: Vec<String>,
    /// Names of the tenants, indexed by [`TenantId`](madderpoint::TenantId).
    pub tenant_names: Vec<String>,
    /// Names of the gauges, in the order in which their values are reported.
    pub gauge_names: Vec<String>,
    /// Whether requests carry the time for which their client will still wait.
    pub passes_deadline: bool,
}

impl DeploymentConfig {
    /// Assigns reported values, in the order of `gauge_names`, to the gauges. Values of unknown
    /// names are skipped.
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
