//! Keys.

use super::{LimitStrategy, Simulation};
use crate::counters::{OWN, own};
use crate::keyed_quota::{KeyedQuota, QuotaKind};
use crate::{Nanos, ProcessId};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::HashMap;

/// Tries of keys in a step: which node, which key.
pub type KeyLoad = Box<dyn FnMut(Nanos, &mut Pcg64Mcg) -> Vec<(usize, u64)>>;

/// Tries of a caller who is told to come back.
const KEY_TRIES: u32 = 3;

/// The record of what was let through of each key, over all nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyRecord {
    /// When a next one would come evenly; or how many are in hand.
    pub(super) keys: HashMap<u64, (Nanos, u32)>,
}

impl KeyRecord {
    /// One was let through: by how many units the key is over its limit now.
    pub(super) fn came(&mut self, now: Nanos, key: u64, kind: QuotaKind) -> f64 {
        let (due, in_hand) = self.keys.entry(key).or_default();
        *in_hand += 1;
        match kind {
            QuotaKind::Rate {
                count,
                period,
                burst,
            } => {
                let interval = period / u64::from(count);
                *due = (*due).max(now) + interval;
                (*due - now) as f64 / interval as f64 - f64::from(burst)
            }
            QuotaKind::InHand { limit, .. } => f64::from(*in_hand) - f64::from(limit),
        }
    }

    pub(super) fn over(&mut self, key: u64) {
        self.keys.entry(key).or_default().1 -= 1;
    }
}

impl Simulation {
    /// Has keys tried for.
    pub fn key_load(&mut self, load: KeyLoad) {
        self.key_load = Some(load);
    }

    /// Another limit by key, on some nodes.
    pub fn rebudget_keys(&mut self, nodes: std::ops::Range<usize>, keys: &KeyedQuota) {
        let budgets = vec![self.plan.budget.clone()];
        for shared in self.nodes[nodes]
            .iter_mut()
            .filter_map(|node| node.shared.as_mut())
        {
            shared.rebudget(budgets.clone(), vec![keys.clone()]);
            shared.host.wallet.rebudget(std::slice::from_ref(keys));
        }
    }

    pub(super) fn try_keys(&mut self) {
        let Some(budget) = self.plan.keys.clone() else {
            return;
        };
        while self
            .key_hands
            .peek()
            .is_some_and(|Reverse((end, ..))| *end <= self.now)
        {
            let Some(Reverse((_, n, life, key))) = self.key_hands.pop() else {
                break;
            };
            self.key_record.over(key);
            let is_same = self.nodes[n].life == life;
            if let Some(shared) = self.nodes[n].shared.as_mut().filter(|_| is_same) {
                shared.host.wallet.done(budget.id(), key);
            }
        }
        let now = self.now;
        let mut tries: Vec<(usize, u64, u32)> = Vec::new();
        if let Some(load) = &mut self.key_load {
            tries.extend(
                load(now, &mut self.rng)
                    .into_iter()
                    .map(|(n, key)| (n, key, 1)),
            );
        }
        self.measured.keys_wanted += tries.len() as u64;
        while self
            .key_retries
            .peek()
            .is_some_and(|Reverse((due, ..))| *due <= now)
        {
            let Some(Reverse((_, n, times, key))) = self.key_retries.pop() else {
                break;
            };
            tries.push((n, key, times));
        }
        for (n, key, times) in tries {
            let (clock, life) = (self.clock(n), self.nodes[n].life);
            let still = self.nodes[n].still_until > now;
            let Some(shared) = self.nodes[n].shared.as_mut().filter(|_| !still) else {
                continue;
            };
            let fits = match self.plan.way {
                LimitStrategy::Leases => {
                    let fits = shared.host.wallet.fits(clock, budget.id(), key);
                    if fits.is_ok() {
                        shared.host.wallet.take(clock, budget.id(), key);
                    }
                    fits.map_err(|refused| refused.pause)
                }
                way => self.plain_key(way, n, key, budget.kind),
            };
            match fits {
                Ok(()) => {
                    self.measured.keys_made += 1;
                    self.measured.keys_by_node[n] += 1;
                    let over = self.key_record.came(now, key, budget.kind);
                    self.measured.keys_over = self.measured.keys_over.max(over);
                    if let QuotaKind::InHand { longest, .. } = budget.kind {
                        let end = now + self.rng.random_range(longest / 8..longest);
                        self.key_hands.push(Reverse((end, n, life, key)));
                    } else {
                        self.key_record.over(key);
                    }
                }
                Err(pause) if times < KEY_TRIES => {
                    self.key_retries
                        .push(Reverse((now + pause, n, times + 1, key)));
                }
                Err(_) => self.measured.keys_refused += 1,
            }
        }
    }

    /// Units of a key that lie in pockets and could be spent, over all nodes.
    pub fn key_units(&self, key: u64) -> u32 {
        let Some(budget) = &self.plan.keys else {
            return 0;
        };
        (0..self.nodes.len())
            .filter_map(|n| Some((self.clock(n), self.nodes[n].shared.as_ref()?)))
            .map(|(clock, shared)| shared.host.wallet.units(clock, budget.id(), key))
            .sum()
    }

    /// Keys that all wallets tell apart, and keys and pockets in the books of the one who lends.
    pub fn key_figures(&self) -> (usize, Option<(usize, usize, u64)>) {
        let shared = || self.nodes.iter().filter_map(|node| node.shared.as_ref());
        let books = shared()
            .find_map(|shared| shared.key_books())
            .map(|books| books.figures());
        (
            shared().map(|shared| shared.host.wallet.keys()).sum(),
            books,
        )
    }

    /// Has arbiters add up those who are gone.
    pub fn tidy(&mut self) {
        let there: Vec<ProcessId> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].shared.is_some())
            .map(|n| ProcessId {
                key: n as u64 + 1,
                life: self.nodes[n].life,
            })
            .collect();
        for n in 0..self.nodes.len() {
            let now = self.clock(n);
            if let Some(shared) = &mut self.nodes[n].shared {
                shared.tidy(now, |who| there.contains(&who));
            }
        }
    }

    /// Calls of the whole fleet as a node was told last.
    pub fn calls_told(&self, n: usize) -> Option<u64> {
        let shared = self.nodes[n].shared.as_ref()?;
        Some(shared.sums(self.clock(n))?.0.total.get(&OWN)?[own::CALLS])
    }
}
