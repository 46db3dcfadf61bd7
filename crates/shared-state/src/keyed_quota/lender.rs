//! The leader's end of all keyed quotas: units that are free and units that are leased, by key and
//! borrower. A unit is in one place at a time: it leaves a borrower by the borrower's report, or when
//! its lease has expired on the lender's clock, extended by the clock drift bound.
//!
//! Like a [`BudgetLender`](crate::budget::lender::BudgetLender) it exists only while its node is the
//! leader, and grants nothing before its predecessor's leases have ended.

mod key_units;

pub use key_units::{KeyUnits, KeyUsage};

use super::{KeyGrant, KeyRequest, KeyedQuota, QuotaGrant, QuotaRequest, QuotaTiming};
use crate::clock::drift_extended;
use crate::{Nanos, ProcessId};
use key_units::{BorrowerUnits, GrantTerms};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Bytes that a key takes, with its place in the maps.
pub const KEY_BYTES: usize = 176;
/// Bytes that a borrower's units of a key take.
pub const BORROWER_UNITS_BYTES: usize = 40;
/// Keys that are checked for ageing with each request.
const KEYS_AGED_PER_REQUEST: usize = 16;

/// Processes by small numbers, so that a borrower's units of a key take little memory; with the time
/// of the latest request of each.
#[derive(Clone, Debug, Default)]
struct BorrowerTable {
    numbers: BTreeMap<ProcessId, (u32, Nanos)>,
    last_number: u32,
}

impl BorrowerTable {
    /// The number of a process that sends a request now. Processes that were silent for longer than
    /// `max_silence` nanoseconds are forgotten.
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

/// A key: the quota's id and the key's number.
type KeyId = (u32, u64);
/// All nodes number keys alike, so that a client who knows how could choose numbers: the map's own
/// hash has a secret.
type KeyUnitsById = HashMap<KeyId, KeyUnits>;

/// What a lender stores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaLenderSize {
    /// Keys.
    pub keys: usize,
    /// Borrowers' shares of keys.
    pub leases: usize,
    /// Requests for a key for which there was no room.
    pub refused: u64,
}

/// The leased and free units of all keys.
#[derive(Clone, Debug)]
pub struct QuotaLender {
    /// Nothing is granted or made before: the previous leader's units may be in use until then.
    grants_from: Nanos,
    /// The longest that leased units may be in use, in nanoseconds.
    max_use: Nanos,
    quotas: Vec<KeyedQuota>,
    timing: QuotaTiming,
    keys: KeyUnitsById,
    /// Keys by the time at which they are checked for ageing.
    ageing: VecDeque<(Nanos, KeyId)>,
    borrowers: BorrowerTable,
    leases: usize,
    max_keys: usize,
    max_leases: usize,
    rng: Pcg64Mcg,
    refused: u64,
}

impl QuotaLender {
    /// A lender whose leadership begins now, in about this many bytes.
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

    /// Changes the quotas. If more units of a key are leased, nothing of it is granted until enough
    /// have come back.
    pub fn update_quotas(&mut self, quotas: &[KeyedQuota]) {
        self.quotas = quotas.to_vec();
    }

    /// From when on units are granted.
    pub fn grants_from(&self) -> Nanos {
        self.grants_from
    }

    /// Answers a borrower's request; none before the lender opens.
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
        let nothing = Some(KeyGrant {
            quota: request.quota,
            key: request.key,
            added: 0,
            retry_after: self.timing.renewal_interval,
        });
        if !self.keys.contains_key(&id) {
            if request.kept == 0 && request.wanted == 0 {
                return nothing; // released, and forgotten already
            }
            if self.keys.len() >= self.max_keys {
                self.refused += 1;
                return nothing;
            }
            let made =
                now.saturating_sub(self.grants_from) / quota.unit_interval().unwrap_or(1).max(1);
            let free = quota.pool().min(u32::try_from(made).unwrap_or(u32::MAX));
            self.keys.insert(id, KeyUnits::new(now, free));
            self.ageing.push_back((now + self.timing.idle_timeout, id));
        }
        let key = self.keys.get_mut(&id)?;
        let before = key.borrowers.len();
        key.settle(now, quota);
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
        grant.unwrap_or(nothing)
    }

    /// Forgets keys of which nothing is leased, once all units that may be saved up are free again.
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
            key.settle(now, quota);
            self.leases -= before - key.borrowers.len();
            let made_since_open =
                now.saturating_sub(self.grants_from) / quota.unit_interval().unwrap_or(1).max(1);
            let is_as_new = key.borrowers.is_empty()
                && key.free >= quota.pool()
                && made_since_open >= u64::from(quota.pool());
            if is_as_new {
                self.keys.remove(&id);
            } else {
                self.ageing.push_back((now + self.timing.idle_timeout, id));
            }
        }
    }

    /// A borrower leaves with nothing in use: all its units are free.
    pub fn release(&mut self, now: Nanos, borrower: ProcessId) {
        let Some((number, _)) = self.borrowers.numbers.remove(&borrower) else {
            return;
        };
        for (id, key) in &mut self.keys {
            let Some(quota) = self.quotas.iter().find(|quota| quota.id() == id.0) else {
                continue;
            };
            let before = key.borrowers.len();
            key.settle(now, quota);
            if let Ok(index) = key.index_of(number) {
                key.borrowers.remove(index); // units of a rate are lost with it, and made anew
            }
            self.leases -= before - key.borrowers.len();
        }
    }

    /// What it stores.
    pub fn size(&self) -> QuotaLenderSize {
        QuotaLenderSize {
            keys: self.keys.len(),
            leases: self.leases,
            refused: self.refused,
        }
    }

    /// All that decides what is granted of a key, apart from chance, and the borrowers' numbers. For
    /// model checks, which compare states.
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

    /// Units of a key, if anything is stored about it.
    pub fn key_usage(&self, quota: u32, key: u64) -> Option<KeyUsage> {
        self.keys.get(&(quota, key)).map(KeyUnits::usage)
    }
}

#[cfg(test)]
mod tests;
