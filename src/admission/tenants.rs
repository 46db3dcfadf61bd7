//! Tenants' rates at this node against their quotas of the cluster.

use super::measure::{LEARNING_RATE, UPDATE_INTERVAL, seconds};
use crate::{Deployment, Tenant};

/// One tenant's arrivals at this node.
#[derive(Clone, Copy, Default)]
pub(super) struct TenantTraffic {
    /// Since the last update.
    pub(super) arrivals: f64,
    /// A second, learnt.
    pub(super) rate: f64,
}

/// The traffic of all tenants. The cluster's traffic is taken to be this node's times the nodes.
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

    /// Learns the rates from the arrivals since the last update.
    pub(super) fn update(&mut self) {
        for tenant in &mut self.traffic {
            tenant.rate +=
                LEARNING_RATE * (tenant.arrivals / seconds(UPDATE_INTERVAL) - tenant.rate);
            tenant.arrivals = 0.0;
        }
    }

    /// The part of a tenant's traffic that is within its quota, 0 to 1.
    pub(super) fn fraction_within_quota(&self, tenant: usize, deployment: &Deployment) -> f64 {
        let cluster_rate = self.traffic[tenant].rate * deployment.nodes as f64;
        (deployment.tenants[tenant].quota_per_s / cluster_rate).min(1.0)
    }

    /// Whether other nodes are likely to be overloaded too, as far as the tenants' quotas show;
    /// always where there are no tenants.
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
