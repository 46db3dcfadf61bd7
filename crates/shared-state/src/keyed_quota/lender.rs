//! The lender side of all keyed quotas, on the leader: free and leased units, by key and borrower.
//! A unit is in one place at a time: it is taken from a borrower only when the borrower reports it
//! as spent or released, or when its lease has expired on the lender's clock, extended by the clock
//! drift bound.
//!
//! Like a [`BudgetLender`](crate::budget::lender::BudgetLender), a lender exists only while its
//! node is the leader, and grants nothing before the previous leader's leases have ended.

mod key_units;

pub use key_units::{KeyUnits, KeyUsage};

use super::{KeyGrant, KeyRequest, KeyedQuota, QuotaGrant, QuotaRequest, QuotaTiming};
use crate::clock::drift_extended;
use crate::{Nanos, ProcessId};
use key_units::{BorrowerUnits, GrantTerms};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Number of bytes that a key takes, including its entries in the map and the queue.
pub const KEY_BYTES: usize = 176;
/// Number of bytes that the record of one borrower's units of a key takes.
pub const BORROWER_UNITS_BYTES: usize = 40;
/// Maximum number of keys that are checked for ageing per request.
const KEYS_AGED_PER_REQUEST: usize = 16;

/// Numbers of the borrowers, with the time of each borrower's latest request. A number takes less
/// memory in the records of each key than a process id.
#[derive(Clone, Debug, Default)]
struct BorrowerTable {
    numbers: BTreeMap<ProcessId, (u32, Nanos)>,
    last_number: u32,
}

impl BorrowerTable {
    /// Returns the number of a process that sends a request now, and assigns one to a new process.
    /// A new process also causes processes that were silent for `max_silence` nanoseconds or longer
    /// to be forgotten.
    fn number(&mut self, now: Nanos, process: ProcessId, max_silence: Nanos) -> u32 {
        if let Some((number, last_request_at)) = self.numbers.get_mut(&process) {
            *last_request_at = now;
            return *number;
        }
        self.numbers
            .retain(|_, (_, last_request_at)| now < *last_request_at + max_silence);
        self.last_number += 1;
        self.numbers.insert(process, (self.last_number, now));
        self.last_number
    }
}

/// Identifies a key by the quota's id and the key's number.
type KeyId = (u32, u64);
/// All nodes number keys alike, so a client that knows the numbering could choose colliding keys:
/// the map uses a hash with a random secret.
type KeyUnitsById = HashMap<KeyId, KeyUnits>;

/// Size of a lender's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaLenderSize {
    /// Number of keys with a record.
    pub keys: usize,
    /// Number of records of a borrower's units of a key, over all keys.
    pub leases: usize,
    /// Number of requests for a key that were refused because the table of keys or of leases was
    /// full.
    pub refused: u64,
}

/// The leased and free units of all keys.
#[derive(Clone, Debug)]
pub struct QuotaLender {
    /// Time from which units are created and granted; the previous leader's units may be in use
    /// until then.
    grants_from: Nanos,
    /// Longest time for which leased units may be in use, in nanoseconds: the lease duration
    /// extended by the clock drift bound, plus the use after expiry.
    max_use: Nanos,
    quotas: Vec<KeyedQuota>,
    timing: QuotaTiming,
    keys: KeyUnitsById,
    /// Keys in the order of the times at which they are checked for ageing.
    ageing: VecDeque<(Nanos, KeyId)>,
    borrowers: BorrowerTable,
    leases: usize,
    max_keys: usize,
    max_leases: usize,
    rng: Pcg64Mcg,
    refused: u64,
}

impl QuotaLender {
    /// Creates the lender of a leader whose leadership begins now. It uses about `bytes` bytes of
    /// memory; `seed` seeds the random rounding of shares.
    pub fn new(
        now: Nanos,
        quotas: &[KeyedQuota],
        timing: QuotaTiming,
        bytes: usize,
        seed: u64,
    ) -> QuotaLender {
        let use_after_expiry = quotas
            .iter()
            .map(KeyedQuota::use_after_expiry)
            .max()
            .unwrap_or(0);
        let max_use = drift_extended(timing.lease_duration) + use_after_expiry;
        QuotaLender {
            grants_from: now + max_use,
            max_use,
            quotas: quotas.to_vec(),
            timing,
            keys: KeyUnitsById::default(),
            ageing: VecDeque::new(),
            borrowers: BorrowerTable::default(),
            leases: 0,
            max_keys: (bytes / 2 / KEY_BYTES).max(16),
            max_leases: (bytes / 2 / BORROWER_UNITS_BYTES).max(64),
            rng: Pcg64Mcg::seed_from_u64(seed),
            refused: 0,
        }
    }

    /// Changes the quotas. If more units of a key are leased than the new quota has, no unit of the
    /// key is granted until enough of them are free again.
    pub fn update_quotas(&mut self, quotas: &[KeyedQuota]) {
        self.quotas = quotas.to_vec();
    }

    /// Returns the time from which units are granted.
    pub fn grants_from(&self) -> Nanos {
        self.grants_from
    }

    /// Answers a borrower's request. Returns `None` before [`QuotaLender::grants_from`].
    pub fn request(
        &mut self,
        now: Nanos,
        borrower: ProcessId,
        request: &QuotaRequest,
    ) -> Option<QuotaGrant> {
        if now < self.grants_from {
            return None;
        }
        self.age_keys(now);
        let borrower = self.borrowers.number(now, borrower, 2 * self.max_use);
        let mut grant = QuotaGrant {
            number: request.number,
            request_sent_at: request.sent_at,
            lease_duration: self.timing.lease_duration,
            keys: Vec::new(),
        };
        for key in &request.keys {
            if let Some(granted) = self.request_key(now, borrower, request.number, key) {
                grant.keys.push(granted);
            }
        }
        Some(grant)
    }

    fn request_key(
        &mut self,
        now: Nanos,
        borrower: u32,
        number: u32,
        request: &KeyRequest,
    ) -> Option<KeyGrant> {
        let quota = self
            .quotas
            .iter()
            .find(|quota| quota.id() == request.quota)?;
        let id = (request.quota, request.key);
        let empty_grant = Some(KeyGrant {
            quota: request.quota,
            key: request.key,
            added: 0,
            retry_after: self.timing.renewal_interval,
        });
        if !self.keys.contains_key(&id) {
            if request.kept == 0 && request.wanted == 0 {
                return empty_grant; // the borrower releases a key that was already forgotten
            }
            if self.keys.len() >= self.max_keys {
                self.refused += 1;
                return empty_grant;
            }
            let created =
                now.saturating_sub(self.grants_from) / quota.unit_interval().unwrap_or(1).max(1);
            let free = quota.pool().min(u32::try_from(created).unwrap_or(u32::MAX));
            self.keys.insert(id, KeyUnits::new(now, free));
            self.ageing.push_back((now + self.timing.idle_timeout, id));
        }
        let key = self.keys.get_mut(&id)?;
        let before = key.borrowers.len();
        key.bring_up_to_date(now, quota);
        let leases = self.leases - (before - key.borrowers.len());
        let index = match key.index_of(borrower) {
            Ok(index) => Some(index),
            Err(_) if request.kept == 0 && request.wanted == 0 => None,
            Err(_) if leases >= self.max_leases => {
                self.refused += 1;
                None
            }
            Err(index) => {
                let last_request_at = now.saturating_sub(self.timing.renewal_interval);
                key.borrowers
                    .insert(index, BorrowerUnits::new(borrower, last_request_at));
                Some(index)
            }
        };
        let terms = GrantTerms {
            quota,
            timing: &self.timing,
        };
        let grant = index.map(|index| key.grant(now, index, terms, number, request, &mut self.rng));
        self.leases = self.leases + key.borrowers.len() - before;
        grant.unwrap_or(empty_grant)
    }

    /// Forgets keys of which no unit is leased, once as many units are free as a new key would
    /// have.
    fn age_keys(&mut self, now: Nanos) {
        for _ in 0..KEYS_AGED_PER_REQUEST {
            let Some((_, id)) = self.ageing.pop_front_if(|(due, _)| *due <= now) else {
                return;
            };
            let Some(key) = self.keys.get_mut(&id) else {
                continue;
            };
            let Some(quota) = self.quotas.iter().find(|quota| quota.id() == id.0) else {
                self.leases -= key.borrowers.len();
                self.keys.remove(&id);
                continue;
            };
            let before = key.borrowers.len();
            key.bring_up_to_date(now, quota);
            self.leases -= before - key.borrowers.len();
            let created_since_start =
                now.saturating_sub(self.grants_from) / quota.unit_interval().unwrap_or(1).max(1);
            let equals_new_key = key.borrowers.is_empty()
                && key.free >= quota.pool()
                && created_since_start >= u64::from(quota.pool());
            if equals_new_key {
                self.keys.remove(&id);
            } else {
                self.ageing.push_back((now + self.timing.idle_timeout, id));
            }
        }
    }

    /// Frees all units of a borrower that leaves with no unit in use.
    pub fn release(&mut self, now: Nanos, borrower: ProcessId) {
        let Some((number, _)) = self.borrowers.numbers.remove(&borrower) else {
            return;
        };
        for (id, key) in &mut self.keys {
            let Some(quota) = self.quotas.iter().find(|quota| quota.id() == id.0) else {
                continue;
            };
            let before = key.borrowers.len();
            key.bring_up_to_date(now, quota);
            if let Ok(index) = key.index_of(number) {
                key.borrowers.remove(index); // its units of a rate are lost and created anew
            }
            self.leases -= before - key.borrowers.len();
        }
    }

    /// Returns the size of the lender's state.
    pub fn size(&self) -> QuotaLenderSize {
        QuotaLenderSize {
            keys: self.keys.len(),
            leases: self.leases,
            refused: self.refused,
        }
    }

    /// Returns everything that decides the grants of a key except the random draws, and the numbers
    /// of the borrowers. Model checks use this to compare states.
    pub fn state(
        &self,
        quota: u32,
        key: u64,
    ) -> (
        Nanos,
        Option<&KeyUnits>,
        impl Iterator<Item = (ProcessId, u32)>,
    ) {
        let numbers = self
            .borrowers
            .numbers
            .iter()
            .map(|(process, (number, _))| (*process, *number));
        (self.grants_from, self.keys.get(&(quota, key)), numbers)
    }

    /// Returns the numbers of free and leased units of a key; `None` if the key has no record.
    pub fn key_usage(&self, quota: u32, key: u64) -> Option<KeyUsage> {
        self.keys.get(&(quota, key)).map(KeyUnits::usage)
    }
}

#[cfg(test)]
mod tests;
