//! Requests by key: attempts and retries of clients, and a record of the units of each key that
//! were admitted over all nodes.

use super::{LimitStrategy, Simulation};
use crate::Nanos;
use crate::keyed_quota::lender::QuotaLenderSize;
use crate::keyed_quota::{KeyedQuota, QuotaKind};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// The load by key: returns the node and the key of each request in a step.
pub type KeyLoad = Box<dyn FnMut(Nanos, &mut Pcg64Mcg) -> Vec<(usize, u64)>>;

/// Maximum number of attempts of a client, including the first one.
const MAX_ATTEMPTS: u32 = 3;

/// The admitted units of a key over all nodes.
#[derive(Clone, Copy, Debug, Default)]
struct AdmittedKey {
    /// Time at which the next unit would be due at an even rate.
    due: Nanos,
    in_flight: u32,
}

/// An attempt of a client.
struct KeyAttempt {
    node: usize,
    key: u64,
    /// Number of the attempt, from 1.
    attempt: u32,
}

/// The part of the simulation state that concerns keys.
#[derive(Default)]
pub(super) struct KeySimulation {
    load: Option<KeyLoad>,
    admitted: HashMap<u64, AdmittedKey>,
    /// Scheduled retries: the time, the node, the number of the attempt, and the key.
    retries: BinaryHeap<Reverse<(Nanos, usize, u32, u64)>>,
    /// Units in flight: the time of the end, the node and its incarnation, and the key.
    in_flight: BinaryHeap<Reverse<(Nanos, usize, u64, u64)>>,
    /// For the baseline strategies: the time at which the next unit of a key is due, by node and
    /// key.
    pub(super) baseline_dues: HashMap<(usize, u64), Nanos>,
}

impl KeySimulation {
    /// Records an admitted unit of a key. Returns by how many units the key exceeds its limit now,
    /// which is negative below the limit.
    fn record_admitted(&mut self, now: Nanos, key: u64, kind: QuotaKind) -> f64 {
        let admitted = self.admitted.entry(key).or_default();
        admitted.in_flight += 1;
        match kind {
            QuotaKind::Rate {
                count,
                period,
                burst,
            } => {
                let interval = period / u64::from(count);
                admitted.due = admitted.due.max(now) + interval;
                (admitted.due - now) as f64 / interval as f64 - f64::from(burst)
            }
            QuotaKind::InFlight { limit, .. } => f64::from(admitted.in_flight) - f64::from(limit),
        }
    }

    fn record_ended(&mut self, key: u64) {
        self.admitted.entry(key).or_default().in_flight -= 1;
    }

    /// Ends the units in flight of a crashed node.
    pub(super) fn abandon(&mut self, n: usize) {
        let in_flight = std::mem::take(&mut self.in_flight).into_vec();
        for Reverse((end, node, incarnation, key)) in in_flight {
            if node == n {
                self.record_ended(key);
            } else {
                self.in_flight.push(Reverse((end, node, incarnation, key)));
            }
        }
    }

    /// Resets the record of rates. Units in flight stay.
    pub(super) fn forget_dues(&mut self) {
        self.admitted
            .values_mut()
            .for_each(|admitted| admitted.due = 0);
    }
}

impl Simulation {
    /// Sets the load by key.
    pub fn set_key_load(&mut self, load: KeyLoad) {
        self.keys.load = Some(load);
    }

    /// Replaces the keyed quota on a range of nodes.
    pub fn update_quota(&mut self, nodes: std::ops::Range<usize>, quota: &KeyedQuota) {
        let budgets = vec![self.config.budget.clone()];
        for shared in self.nodes[nodes]
            .iter_mut()
            .filter_map(|node| node.shared.as_mut())
        {
            shared.update_limits(budgets.clone(), vec![quota.clone()]);
            shared
                .host
                .quotas
                .update_quotas(std::slice::from_ref(quota));
        }
    }

    /// Simulates one step of all keys.
    pub(super) fn run_keys(&mut self) {
        let Some(quota) = self.config.quota.clone() else {
            return;
        };
        self.end_keys(&quota);
        for attempt in self.due_attempts() {
            self.attempt_key(&quota, attempt);
        }
    }

    fn end_keys(&mut self, quota: &KeyedQuota) {
        while self
            .keys
            .in_flight
            .peek()
            .is_some_and(|Reverse((end, ..))| *end <= self.now)
        {
            let Some(Reverse((_, n, incarnation, key))) = self.keys.in_flight.pop() else {
                break;
            };
            self.keys.record_ended(key);
            let is_running = self.nodes[n].incarnation == incarnation;
            if let Some(shared) = self.nodes[n].shared.as_mut().filter(|_| is_running) {
                shared.host.quotas.release(quota.id(), key);
            }
        }
    }

    /// Returns the first attempts of the load, followed by the retries that are due.
    fn due_attempts(&mut self) -> Vec<KeyAttempt> {
        let now = self.now;
        let mut attempts: Vec<KeyAttempt> = Vec::new();
        if let Some(load) = &mut self.keys.load {
            attempts.extend(
                load(now, &mut self.rng)
                    .into_iter()
                    .map(|(node, key)| KeyAttempt {
                        node,
                        key,
                        attempt: 1,
                    }),
            );
        }
        self.result.keys_wanted += attempts.len() as u64;
        while self
            .keys
            .retries
            .peek()
            .is_some_and(|Reverse((due, ..))| *due <= now)
        {
            let Some(Reverse((_, node, attempt, key))) = self.keys.retries.pop() else {
                break;
            };
            attempts.push(KeyAttempt { node, key, attempt });
        }
        attempts
    }

    fn attempt_key(&mut self, quota: &KeyedQuota, attempt: KeyAttempt) {
        let KeyAttempt {
            node: n,
            key,
            attempt,
        } = attempt;
        let (now, clock) = (self.now, self.clock(n));
        let is_suspended = self.nodes[n].suspended_until > now;
        let Some(shared) = self.nodes[n].shared.as_mut().filter(|_| !is_suspended) else {
            return;
        };
        let admitted = match self.config.strategy {
            LimitStrategy::Leases => {
                let quotas = &mut shared.host.quotas;
                let checked = quotas.check(clock, quota.id(), key);
                if checked.is_ok() {
                    quotas.acquire(clock, quota.id(), key);
                }
                checked.map_err(|exceeded| exceeded.retry_after)
            }
            strategy => self.baseline_allows_key(strategy, n, key, quota.kind),
        };
        match admitted {
            Ok(()) => self.record_key(n, key, quota.kind),
            Err(retry_after) if attempt < MAX_ATTEMPTS => {
                self.keys
                    .retries
                    .push(Reverse((now + retry_after, n, attempt + 1, key)));
            }
            Err(_) => self.result.keys_refused += 1,
        }
    }

    fn record_key(&mut self, n: usize, key: u64, kind: QuotaKind) {
        self.result.keys_admitted += 1;
        self.result.keys_by_node[n] += 1;
        let over = self.keys.record_admitted(self.now, key, kind);
        self.result.max_key_over_limit = self.result.max_key_over_limit.max(over);
        if let QuotaKind::InFlight { max_hold, .. } = kind {
            let end = self.now + self.rng.random_range(max_hold / 8..max_hold);
            let incarnation = self.nodes[n].incarnation;
            self.keys
                .in_flight
                .push(Reverse((end, n, incarnation, key)));
        } else {
            self.keys.record_ended(key);
        }
    }

    /// Returns the number of leased units of a key that all nodes together may use now.
    pub fn key_units(&self, key: u64) -> u32 {
        let Some(quota) = &self.config.quota else {
            return 0;
        };
        (0..self.nodes.len())
            .filter_map(|n| Some((self.clock(n), self.nodes[n].shared.as_ref()?)))
            .map(|(clock, shared)| shared.host.quotas.units(clock, quota.id(), key))
            .sum()
    }

    /// Returns the number of keys that all nodes track, and the size of the lender at the leader,
    /// if there is a leader.
    pub fn key_sizes(&self) -> (usize, Option<QuotaLenderSize>) {
        let shared = || self.nodes.iter().filter_map(|node| node.shared.as_ref());
        let lender = shared()
            .find_map(|shared| shared.quota_lender())
            .map(|lender| lender.size());
        let tracked = shared()
            .map(|shared| shared.host.quotas.tracked_keys())
            .sum();
        (tracked, lender)
    }
}
