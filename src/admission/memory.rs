//! The memory bound: an estimate of the memory that requests and idempotency keys use, corrected by
//! the memory gauge.

use super::measure::{LEARNING_RATE, update_average};
use crate::{Deployment, Gauges, Nanos};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Fraction of the configured memory that requests and idempotency keys may fill. The rest is left
/// for requests that are read between two readings of the gauge.
const USABLE_FRACTION: f64 = 0.85;
/// Initial ratio of memory in use to counted memory, until the gauge has been read.
const INITIAL_GAUGE_FACTOR: f64 = 2.0;
/// The gauge is compared with the counted memory only while the counted memory exceeds this
/// fraction of the configured memory.
const MIN_COMPARED_FRACTION: f64 = 0.02;

/// Estimate of the memory in use, in kilobytes.
pub(super) struct MemoryAccount {
    memory_kb: f64,
    run_memory_factor: f64,
    idempotency_key_kb: f64,
    /// Memory that open requests use according to their sizes and the run memory factor.
    pub(super) counted_kb: f64,
    /// Ratio of the memory that the gauge shows to the counted memory. Operations do not declare
    /// what they really use.
    pub(super) gauge_factor: f64,
    /// Moving average of the memory that a queued request uses.
    pub(super) typical_request_kb: f64,
    /// Expiry times of the idempotency keys, earliest first.
    key_expiries: BinaryHeap<Reverse<Nanos>>,
}

impl MemoryAccount {
    pub(super) fn new(deployment: &Deployment) -> Self {
        MemoryAccount {
            memory_kb: deployment.memory_kb,
            run_memory_factor: deployment.run_memory_factor,
            idempotency_key_kb: deployment.idempotency_key_kb,
            counted_kb: 0.0,
            gauge_factor: INITIAL_GAUGE_FACTOR,
            typical_request_kb: 0.0,
            key_expiries: BinaryHeap::with_capacity(64),
        }
    }

    /// Adds the memory of an arrival to the count.
    pub(super) fn add_queued(&mut self, queued_kb: f64) {
        self.counted_kb += queued_kb;
        update_average(&mut self.typical_request_kb, queued_kb, LEARNING_RATE);
    }

    /// Adds the extra memory of a started request to the count.
    pub(super) fn add_running(&mut self, queued_kb: f64) {
        self.counted_kb += self.extra_running_kb(queued_kb);
    }

    /// Removes the memory of a queued request from the count.
    pub(super) fn remove_queued(&mut self, queued_kb: f64) {
        self.counted_kb -= queued_kb;
    }

    /// Removes the extra memory of a running request from the count.
    pub(super) fn remove_running(&mut self, queued_kb: f64) {
        self.counted_kb -= self.extra_running_kb(queued_kb);
    }

    /// Returns the memory, in kilobytes, that a request uses while it runs beyond what it uses
    /// while queued.
    pub(super) fn extra_running_kb(&self, queued_kb: f64) -> f64 {
        queued_kb * (self.run_memory_factor - 1.0)
    }

    /// Counts an idempotency key until `expires_at`.
    pub(super) fn add_key(&mut self, expires_at: Nanos) {
        self.key_expiries.push(Reverse(expires_at));
    }

    /// Returns the memory that one idempotency key uses, in kilobytes.
    pub(super) fn key_kb(&self) -> f64 {
        self.idempotency_key_kb
    }

    fn all_keys_kb(&self) -> f64 {
        self.key_expiries.len() as f64 * self.idempotency_key_kb
    }

    /// Returns whether another `extra_kb` kilobytes fit into the usable memory.
    pub(super) fn fits(&self, extra_kb: f64) -> bool {
        (self.counted_kb + extra_kb) * self.gauge_factor + self.all_keys_kb()
            < self.memory_kb * USABLE_FRACTION
    }

    /// Returns whether another `extra_kb` kilobytes fit into memory by the counted memory alone,
    /// without correction by the gauge. A node that runs nothing starts a request under this weaker
    /// condition.
    pub(super) fn fits_by_count(&self, extra_kb: f64) -> bool {
        self.counted_kb + extra_kb + self.all_keys_kb() < self.memory_kb
    }

    /// Returns the number of typical requests that memory can queue while `running` typical
    /// requests run.
    pub(super) fn queue_capacity(&self, running: f64) -> f64 {
        let running_kb = running * self.run_memory_factor * self.typical_request_kb;
        let free_kb = (self.memory_kb * USABLE_FRACTION - self.all_keys_kb()) / self.gauge_factor
            - running_kb;
        free_kb / self.typical_request_kb.max(f64::MIN_POSITIVE)
    }

    /// Removes expired idempotency keys and updates the gauge factor, which rises at once and falls
    /// slowly.
    pub(super) fn update(&mut self, now: Nanos, gauges: &Gauges) {
        while self.key_expiries.peek().is_some_and(|key| key.0 < now) {
            self.key_expiries.pop();
        }
        let Some(used) = gauges.memory_used else {
            return;
        };
        if self.counted_kb > MIN_COMPARED_FRACTION * self.memory_kb {
            let observed =
                ((used * self.memory_kb - self.all_keys_kb()) / self.counted_kb).max(1.0);
            let share = if observed > self.gauge_factor {
                1.0
            } else {
                LEARNING_RATE
            };
            self.gauge_factor += share * (observed - self.gauge_factor);
        }
    }
}
