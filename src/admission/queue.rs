//! The queue: what a request is worth, who is started next, and whom a rejection falls on.

use super::operation::OperationProfile;
use super::request::{Request, RequestTable};
use super::tenants::TenantRates;
use crate::{Deployment, Nanos};
use std::cmp::Reverse;

/// Expected run times count as this at least, in seconds.
const LEAST_RUN_TIME_S: f64 = 1e-3;

/// What values of requests are derived from.
pub(super) struct Valuation<'a> {
    pub(super) deployment: &'a Deployment,
    pub(super) operations: &'a [OperationProfile],
    pub(super) tenants: &'a TenantRates,
    pub(super) has_spare_cpu: bool,
}

impl Valuation<'_> {
    /// Priority weight for an expected second of running (or for each unit of work, where the
    /// deployment weighs so) of an answer in time. Traffic over a tenant's quota is not marked, so
    /// all of that tenant's counts in proportion.
    pub(super) fn value_density(&self, request: &Request) -> f64 {
        let run_time_s = if self.deployment.weighted_by_work {
            1.0
        } else {
            self.expected_run_time_s(request).max(LEAST_RUN_TIME_S)
        };
        let within = request.tenant.map_or(1.0, |tenant| {
            self.tenants.fraction_within_quota(tenant, self.deployment)
        });
        self.operations[request.operation].agreed.priority_weight / run_time_s
            * (within + (1.0 - within) * self.deployment.over_quota_weight_fraction)
    }

    fn expected_run_time_s(&self, request: &Request) -> f64 {
        self.operations[request.operation].run_time_s * request.size
    }

    /// The fraction of its weight that a request would earn if it were started now. While the cores
    /// have spare time, only what is late already counts: an expectation may err, and nothing else
    /// wants the core.
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
                    .agreed
                    .late_weight_fraction
            }
            _ => 1.0,
        }
    }

    /// Its rank among those that could be started now: by value, then by age. `None` if an answer
    /// would earn nothing any more.
    pub(super) fn rank(&self, now: Nanos, request: &Request) -> Option<Rank> {
        let fraction = self.expected_fraction(now, request);
        (fraction != 0.0).then(|| Rank {
            value: self.value_density(request) * fraction,
            arrived_at: Reverse(request.times.arrived_at),
        })
    }
}

/// A place in the order of starts; the highest is started first.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(super) struct Rank {
    value: f64,
    arrived_at: Reverse<Nanos>,
}

/// Slots of the requests that wait to be started, in the order of their arrival.
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

    /// The slot at an index, the oldest arrival first.
    pub(super) fn slot(&self, index: usize) -> usize {
        self.slots[index]
    }

    pub(super) fn push(&mut self, slot: usize) {
        self.slots.push(slot);
    }

    pub(super) fn remove(&mut self, slot: usize) {
        self.slots.retain(|&queued| queued != slot);
    }

    /// Whom a rejection falls on: the least value density among the arrival and the queued requests
    /// that are young, whose clients lose little by trying another node.
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
        young.fold(arrival, |least, slot| {
            if density(slot) < density(least) {
                slot
            } else {
                least
            }
        })
    }
}
