//! Request rates of the tenants, compared with their quotas for the whole cluster.

use super::measure::{LEARNING_RATE, UPDATE_INTERVAL, seconds};
use crate::{Deployment, Tenant};

/// Arrivals of one tenant at this node.
#[derive(Clone, Copy, Default)]
pub(super) struct TenantTraffic {
    /// Number of arrivals since the last update.
    pub(super) arrivals: f64,
    /// Moving average of the arrivals per second.
    pub(super) rate: f64,
}

/// Traffic of all tenants. The rate of the cluster is estimated as the rate of this node times the
/// number of nodes.
pub(super) struct TenantRates {
    pub(super) traffic: Vec<TenantTraffic>,
}

impl TenantRates {
    pub(super) fn new(tenants: &[Tenant]) -> Self {
        TenantRates {
            traffic: vec![TenantTraffic::default(); tenants.len()],
        }
    }

    /// Counts an arrival of a tenant.
    pub(super) fn count_arrival(&mut self, tenant: usize) {
        self.traffic[tenant].arrivals += 1.0;
    }

    /// Updates the rates with the arrivals since the last update.
    pub(super) fn update(&mut self) {
        for tenant in &mut self.traffic {
            tenant.rate +=
                LEARNING_RATE * (tenant.arrivals / seconds(UPDATE_INTERVAL) - tenant.rate);
            tenant.arrivals = 0.0;
        }
    }

    /// Returns the fraction of a tenant's traffic that is within its quota, 0 to 1.
    pub(super) fn fraction_within_quota(&self, tenant: usize, deployment: &Deployment) -> f64 {
        let cluster_rate = self.traffic[tenant].rate * deployment.nodes as f64;
        (deployment.tenants[tenant].quota_per_s / cluster_rate).min(1.0)
    }

    /// Returns whether the estimated rate of the cluster reaches the sum of the tenants' quotas, so
    /// that other nodes are likely to be overloaded too. Always true without tenants.
    pub(super) fn cluster_reaches_quotas(&self, deployment: &Deployment) -> bool {
        let rate: f64 = self.traffic.iter().map(|tenant| tenant.rate).sum();
        let quota: f64 = deployment
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s)
            .sum();
        rate * deployment.nodes as f64 >= quota
    }
}
