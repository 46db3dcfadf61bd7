//! The memory bound: what queued and running requests and idempotency keys take by own count, times
//! what the gauge shows beyond it.

use super::measure::{LEARNING_RATE, learn};
use crate::{Deployment, Gauges, Nanos};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Part of the memory that is used, so that what is read between two readings fits.
const USABLE_FRACTION: f64 = 0.85;
/// How many times the own count the memory in use is taken to be until the gauge has shown it.
const INITIAL_GAUGE_FACTOR: f64 = 2.0;
/// The gauge is compared once the own count is over this part of the memory.
const LEAST_COMPARED_FRACTION: f64 = 0.02;

/// Memory in use. All figures are in kilobytes.
pub(super) struct MemoryAccount {
    memory_kb: f64,
    run_memory_factor: f64,
    idempotency_key_kb: f64,
    /// What open requests take by own count.
    pub(super) counted_kb: f64,
    /// How many times the own count the gauge shows: nobody declares what operations really take.
    pub(super) gauge_factor: f64,
    /// What a typical request takes while it is queued.
    pub(super) typical_request_kb: f64,
    /// When idempotency keys expire.
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

    /// Counts an arrival.
    pub(super) fn add_queued(&mut self, queued_kb: f64) {
        self.counted_kb += queued_kb;
        learn(&mut self.typical_request_kb, queued_kb, LEARNING_RATE);
    }

    /// Counts the start of a request.
    pub(super) fn add_running(&mut self, queued_kb: f64) {
        self.counted_kb += self.extra_running_kb(queued_kb);
    }

    /// Takes a queued request out of the count.
    pub(super) fn remove_queued(&mut self, queued_kb: f64) {
        self.counted_kb -= queued_kb;
    }

    /// Takes out what running took beyond what being queued takes.
    pub(super) fn remove_running(&mut self, queued_kb: f64) {
        self.counted_kb -= self.extra_running_kb(queued_kb);
    }

    /// What running takes beyond what being queued takes.
    pub(super) fn extra_running_kb(&self, queued_kb: f64) -> f64 {
        queued_kb * (self.run_memory_factor - 1.0)
    }

    /// Counts an idempotency key until it expires.
    pub(super) fn add_key(&mut self, expires_at: Nanos) {
        self.key_expiries.push(Reverse(expires_at));
    }

    /// What one idempotency key takes.
    pub(super) fn key_kb(&self) -> f64 {
        self.idempotency_key_kb
    }

    fn all_keys_kb(&self) -> f64 {
        self.key_expiries.len() as f64 * self.idempotency_key_kb
    }

    /// Whether there is memory for this much more.
    pub(super) fn fits(&self, more_kb: f64) -> bool {
        (self.counted_kb + more_kb) * self.gauge_factor + self.all_keys_kb()
            < self.memory_kb * USABLE_FRACTION
    }

    /// Whether there is memory for this much more by own count alone: what a node that runs nothing
    /// still starts.
    pub(super) fn fits_by_count(&self, more_kb: f64) -> bool {
        self.counted_kb + more_kb + self.all_keys_kb() < self.memory_kb
    }

    /// How many typical requests memory can queue beside `running` of them that run.
    pub(super) fn queue_capacity(&self, running: f64) -> f64 {
        let running_kb = running * self.run_memory_factor * self.typical_request_kb;
        let free_kb = (self.memory_kb * USABLE_FRACTION - self.all_keys_kb()) / self.gauge_factor
            - running_kb;
        free_kb / self.typical_request_kb.max(f64::MIN_POSITIVE)
    }

    /// Drops expired keys and compares the own count with the gauge: up at once, down slowly.
    pub(super) fn update(&mut self, now: Nanos, gauges: &Gauges) {
        while self.key_expiries.peek().is_some_and(|key| key.0 < now) {
            self.key_expiries.pop();
        }
        let Some(used) = gauges.memory_used else {
            return;
        };
        if self.counted_kb > LEAST_COMPARED_FRACTION * self.memory_kb {
            let seen = ((used * self.memory_kb - self.all_keys_kb()) / self.counted_kb).max(1.0);
            let share = if seen > self.gauge_factor {
                1.0
            } else {
                LEARNING_RATE
            };
            self.gauge_factor += share * (seen - self.gauge_factor);
        }
    }
}
