//! The open requests of this node, by id and by slot.

use super::deadlines::RequestTimes;
use crate::{Arrival, Nanos, RequestId};
use slab::Slab;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// State of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestState {
    /// The request waits to be started.
    Queued,
    /// The request waits for the result of the request that it repeats.
    Coalesced,
    /// The request is executed.
    Running,
    /// The execution waits for a backend call that is not yet made.
    AwaitsCall,
    /// The execution waits for a backend call that is in flight.
    Calling,
}

/// An open request: a request that is unanswered or whose execution has not ended.
pub(super) struct Request {
    pub(super) id: RequestId,
    /// Index of the requested operation in the deployment's operations.
    pub(super) operation: usize,
    /// Index of the request's tenant in the deployment's tenants; `None` if the request has no
    /// tenant.
    pub(super) tenant: Option<usize>,
    pub(super) times: RequestTimes,
    /// Memory that the request uses while it is queued, in kilobytes.
    pub(super) queued_kb: f64,
    /// Work hint of the request, in seconds of a standard core, or 1 without a hint.
    pub(super) size: f64,
    pub(super) state: RequestState,
    /// Whether the client was answered or has cancelled while the execution continues.
    pub(super) is_answered: bool,
    /// Number of failed attempts of the present backend call.
    pub(super) failed_calls: u8,
}

impl Request {
    pub(super) fn new(arrival: &Arrival, times: RequestTimes) -> Self {
        Request {
            id: arrival.id,
            operation: arrival.operation.0,
            tenant: arrival.tenant.map(|tenant| tenant.0),
            times,
            queued_kb: arrival.queued_kb,
            size: arrival.work_hint.unwrap_or(1.0),
            state: if arrival.duplicate_of.is_some() {
                RequestState::Coalesced
            } else {
                RequestState::Queued
            },
            is_answered: false,
            failed_calls: 0,
        }
    }

    /// Returns whether the request has waited for less than a fifth of the time until its answer is
    /// due, so that its client loses little time by trying another node.
    pub(super) fn is_young(&self, now: Nanos) -> bool {
        let RequestTimes {
            arrived_at,
            answer_by,
            ..
        } = self.times;
        now - arrived_at < answer_by.saturating_sub(arrived_at) / 5
    }
}

/// Table of the open requests. A request keeps its slot until it is removed; slots are then reused.
/// Rules that look at all requests iterate by slot.
pub(super) struct RequestTable {
    slab: Slab<Request>,
    slots: HashMap<RequestId, usize>,
}

impl RequestTable {
    pub(super) fn new() -> Self {
        RequestTable {
            slab: Slab::with_capacity(256),
            slots: HashMap::with_capacity(512),
        }
    }

    pub(super) fn insert(&mut self, request: Request) -> usize {
        let id = request.id;
        let slot = self.slab.insert(request);
        self.slots.insert(id, slot);
        slot
    }

    /// Removes the request in an occupied slot.
    pub(super) fn remove(&mut self, slot: usize) -> Request {
        let request = self.slab.remove(slot);
        self.slots.remove(&request.id);
        request
    }

    /// Returns the slot of an open request.
    pub(super) fn slot(&self, id: RequestId) -> Option<usize> {
        self.slots.get(&id).copied()
    }

    /// Returns the range of all slots, occupied or not.
    pub(super) fn slots(&self) -> std::ops::Range<usize> {
        0..self.slab.capacity()
    }

    pub(super) fn get(&self, slot: usize) -> Option<&Request> {
        self.slab.get(slot)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Request> {
        self.slab.iter_mut().map(|(_, request)| request)
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.slab.len()
    }
}

impl Index<usize> for RequestTable {
    type Output = Request;

    fn index(&self, slot: usize) -> &Request {
        &self.slab[slot]
    }
}

impl IndexMut<usize> for RequestTable {
    fn index_mut(&mut self, slot: usize) -> &mut Request {
        &mut self.slab[slot]
    }
}
