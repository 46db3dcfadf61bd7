//! The queue: the value density of requests, the order in which they start, and the shed candidate.

use super::operation::OperationProfile;
use super::request::{Request, RequestTable};
use super::tenants::TenantRates;
use crate::{Deployment, Nanos};
use std::cmp::Reverse;

/// Lower bound of the expected run time in the value density, in seconds.
const MIN_RUN_TIME_S: f64 = 1e-3;

/// Settings and measurements from which the value of requests is computed.
pub(super) struct Valuation<'a> {
    pub(super) deployment: &'a Deployment,
    pub(super) operations: &'a [OperationProfile],
    pub(super) tenants: &'a TenantRates,
    pub(super) has_spare_cpu: bool,
}

impl Valuation<'_> {
    /// Returns the value density of a request: the priority weight of an answer in time per second
    /// of expected run time, or per unit of work if the deployment is weighted by work. Requests
    /// over a tenant's quota are not marked, so the value density of all requests of the tenant is
    /// reduced in proportion.
    pub(super) fn value_density(&self, request: &Request) -> f64 {
        let run_time_s = if self.deployment.weighted_by_work {
            1.0
        } else {
            self.expected_run_time_s(request).max(MIN_RUN_TIME_S)
        };
        let fraction_within = request.tenant.map_or(1.0, |tenant| {
            self.tenants.fraction_within_quota(tenant, self.deployment)
        });
        self.operations[request.operation].config.priority_weight / run_time_s
            * (fraction_within
                + (1.0 - fraction_within) * self.deployment.over_quota_weight_fraction)
    }

    fn expected_run_time_s(&self, request: &Request) -> f64 {
        self.operations[request.operation].run_time_s * request.size
    }

    /// Returns the fraction of its weight that a request would earn if it were started now. While
    /// the cores have spare time, the expected run time is ignored and only requests that are
    /// already late lose weight: the expectation may be wrong, and no other request needs the core.
    fn expected_fraction(&self, now: Nanos, request: &Request) -> f64 {
        let run_time_s = if self.has_spare_cpu {
            0.0
        } else {
            self.expected_run_time_s(request)
        };
        match now + (run_time_s * 1e9) as Nanos {
            end if end > request.times.answer_by => 0.0,
            end if end > request.times.objective_at => {
                self.operations[request.operation]
                    .config
                    .late_weight_fraction
            }
            _ => 1.0,
        }
    }

    /// Returns the rank of a request in the order of starts: by value, then by age. Returns `None`
    /// if an answer would no longer earn anything.
    pub(super) fn rank(&self, now: Nanos, request: &Request) -> Option<Rank> {
        let fraction = self.expected_fraction(now, request);
        (fraction != 0.0).then(|| Rank {
            value: self.value_density(request) * fraction,
            arrived_at: Reverse(request.times.arrived_at),
        })
    }
}

/// Rank in the order of starts. The request with the highest rank is started first.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(super) struct Rank {
    value: f64,
    arrived_at: Reverse<Nanos>,
}

/// Slots of the queued requests, in the order of their arrival.
pub(super) struct Queue {
    slots: Vec<usize>,
}

impl Queue {
    pub(super) fn new() -> Self {
        Queue {
            slots: Vec::with_capacity(256),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the slot of the queued request at an index; index 0 is the oldest arrival.
    pub(super) fn slot(&self, index: usize) -> usize {
        self.slots[index]
    }

    pub(super) fn push(&mut self, slot: usize) {
        self.slots.push(slot);
    }

    pub(super) fn remove(&mut self, slot: usize) {
        self.slots.retain(|&queued| queued != slot);
    }

    /// Returns the slot of the shed candidate: the request with the lowest value density among the
    /// arrival and the young queued requests. Clients of young requests lose little time by trying
    /// another node.
    pub(super) fn shed_candidate(
        &self,
        now: Nanos,
        arrival: usize,
        requests: &RequestTable,
        values: &Valuation<'_>,
    ) -> usize {
        let density = |slot: usize| values.value_density(&requests[slot]);
        let young = self
            .slots
            .iter()
            .copied()
            .filter(|&slot| requests[slot].is_young(now));
        young.fold(arrival, |candidate, slot| {
            if density(slot) < density(candidate) {
                slot
            } else {
                candidate
            }
        })
    }
}
