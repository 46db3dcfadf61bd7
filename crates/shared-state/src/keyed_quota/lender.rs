//! The books of the one who lends, by key: units that are free, and what lies in whose pocket. A
//! unit is in one place at a time: it leaves a pocket by the borrower's word, or when its time
//! there is over by the lender's clock with the drift added.

use super::{KeyGrant, KeyRequest, KeyedQuota, QuotaGrant, QuotaKind, QuotaRequest, QuotaTiming};
use crate::budget::lender::longer;
use crate::{Nanos, ProcessId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// What a key and what one pocket take, with their places in the maps.
pub const KEY_BYTES: usize = 176;
pub const POCKET_BYTES: usize = 40;
/// LentKeys that are looked at for ageing with each question.
const AGED_AT_ONCE: usize = 16;

/// What a borrower has of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct BorrowerUnits {
    who: u32,
    /// The question that it had last.
    no: u32,
    units: u32,
    need: u32,
    /// When that was, and after when nothing of it is in use any more.
    heard: Nanos,
    gone: Nanos,
}

/// A key that somebody uses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LentKey {
    free: u32,
    /// Until when units were made.
    made: Nanos,
    pockets: Vec<BorrowerUnits>,
}

impl LentKey {
    fn out(&self) -> u32 {
        self.pockets
            .iter()
            .map(|pocket| pocket.units)
            .fold(0, u32::saturating_add)
    }

    /// Makes units up to a time, as many as there is room for beside what lies in pockets.
    fn make(&mut self, until: Nanos, pool: u32, interval: Nanos) {
        let made = until.saturating_sub(self.made) / interval.max(1);
        let room = u64::from(pool.saturating_sub(self.free.saturating_add(self.out())));
        self.free = self.free.saturating_add(made.min(room) as u32).min(pool);
        self.made = if made < room {
            self.made + made * interval
        } else {
            until.max(self.made)
        };
    }

    /// Brings it up to now. Units that were lost with a pocket are made anew from the end of that
    /// pocket on, and not before: until then their like could still be spent.
    fn settle(&mut self, now: Nanos, budget: &KeyedQuota) {
        let pool = budget.pool();
        let ended = self
            .pockets
            .iter()
            .map(|pocket| pocket.gone)
            .filter(|gone| *gone <= now)
            .max();
        match (budget.kind, budget.interval()) {
            (QuotaKind::Rate { .. }, Some(interval)) => {
                if let Some(ended) = ended {
                    self.make(ended, pool, interval);
                    self.pockets.retain(|pocket| pocket.gone > now);
                }
                self.make(now, pool, interval);
            }
            _ => {
                self.pockets.retain(|pocket| pocket.gone > now);
                self.free = pool.saturating_sub(self.out());
            }
        }
    }
}

/// Processes by small numbers, so that a pocket takes little; with when each was heard last.
#[derive(Clone, Debug, Default)]
struct BorrowerTable {
    numbers: BTreeMap<ProcessId, (u32, Nanos)>,
    next: u32,
}

impl BorrowerTable {
    /// The number of one that asks now. Those that have had nothing for so long are forgotten.
    fn number(&mut self, now: Nanos, who: ProcessId, silent: Nanos) -> u32 {
        if let Some((number, heard)) = self.numbers.get_mut(&who) {
            *heard = now;
            return *number;
        }
        self.numbers.retain(|_, (_, heard)| now < *heard + silent);
        self.next += 1;
        self.numbers.insert(who, (self.next, now));
        self.next
    }
}

/// LentKeys by their budget and number. All nodes number them alike, so that whoever knows by what
/// could choose numbers: the map's own hash has a secret of its own.
type LentKeys = HashMap<(u32, u64), LentKey>;

/// What is lent of all keys.
#[derive(Clone, Debug)]
pub struct QuotaLender {
    /// Nothing is lent, and nothing made, before: what another one lent may be in use until then.
    opens: Nanos,
    opens_after: Nanos,
    budgets: Vec<KeyedQuota>,
    rhythm: QuotaTiming,
    keys: LentKeys,
    ageing: VecDeque<(Nanos, (u32, u64))>,
    borrowers: BorrowerTable,
    pockets: usize,
    most_keys: usize,
    most_pockets: usize,
    rng: Pcg64Mcg,
    refused: u64,
}

impl QuotaLender {
    /// Books that are begun now, of about so many bytes.
    pub fn new(
        now: Nanos,
        budgets: &[KeyedQuota],
        rhythm: QuotaTiming,
        bytes: usize,
        seed: u64,
    ) -> QuotaLender {
        let lag = budgets.iter().map(KeyedQuota::lag).max().unwrap_or(0);
        let opens_after = longer(rhythm.life) + lag;
        QuotaLender {
            opens: now + opens_after,
            opens_after,
            budgets: budgets.to_vec(),
            rhythm,
            keys: LentKeys::default(),
            ageing: VecDeque::new(),
            borrowers: BorrowerTable::default(),
            pockets: 0,
            most_keys: (bytes / 2 / KEY_BYTES).max(16),
            most_pockets: (bytes / 2 / POCKET_BYTES).max(64),
            rng: Pcg64Mcg::seed_from_u64(seed),
            refused: 0,
        }
    }

    /// Other limits hold from now on. Less than what is out is kept by lending nothing until enough
    /// has come back.
    pub fn rebudget(&mut self, budgets: &[KeyedQuota]) {
        self.budgets = budgets.to_vec();
    }

    /// From when on anything is lent.
    pub fn opens(&self) -> Nanos {
        self.opens
    }

    /// A borrower tells what it has of some keys and what it wants. No answer before the books are
    /// open.
    pub fn ask(&mut self, now: Nanos, who: ProcessId, asked: &QuotaRequest) -> Option<QuotaGrant> {
        if now < self.opens {
            return None;
        }
        self.age(now);
        let who = self.borrowers.number(now, who, 2 * self.opens_after);
        let mut lent = QuotaGrant {
            no: asked.no,
            stamp: asked.stamp,
            life: self.rhythm.life,
            keys: Vec::new(),
        };
        for ask in &asked.keys {
            if let Some(answer) = self.ask_key(now, who, asked.no, ask) {
                lent.keys.push(answer);
            }
        }
        Some(lent)
    }

    fn ask_key(&mut self, now: Nanos, who: u32, no: u32, ask: &KeyRequest) -> Option<KeyGrant> {
        let budget = self
            .budgets
            .iter()
            .find(|budget| budget.id() == ask.budget)?;
        let place = (ask.budget, ask.key);
        let nothing = Some(KeyGrant {
            budget: ask.budget,
            key: ask.key,
            adds: 0,
            wait: self.rhythm.renew,
        });
        if !self.keys.contains_key(&place) {
            if ask.left == 0 && ask.wants == 0 {
                return nothing; // given back, and forgotten already
            }
            if self.keys.len() >= self.most_keys {
                self.refused += 1;
                return nothing;
            }
            let made = now.saturating_sub(self.opens) / budget.interval().unwrap_or(1).max(1);
            let free = budget.pool().min(u32::try_from(made).unwrap_or(u32::MAX));
            self.keys.insert(
                place,
                LentKey {
                    free,
                    made: now,
                    pockets: Vec::new(),
                },
            );
            self.ageing.push_back((now + self.rhythm.keep, place));
        }
        let (entry, renew) = (self.keys.get_mut(&place)?, self.rhythm.renew);
        let before = entry.pockets.len();
        entry.settle(now, budget);
        let at = match entry
            .pockets
            .binary_search_by_key(&who, |pocket| pocket.who)
        {
            Ok(at) => Some(at),
            Err(_) if ask.left == 0 && ask.wants == 0 => None,
            Err(_) if self.pockets - (before - entry.pockets.len()) >= self.most_pockets => {
                self.refused += 1;
                None
            }
            Err(at) => {
                entry.pockets.insert(
                    at,
                    BorrowerUnits {
                        who,
                        no: 0,
                        units: 0,
                        need: 0,
                        heard: now.saturating_sub(renew),
                        gone: 0,
                    },
                );
                Some(at)
            }
        };
        let answer = at.map(|at| {
            Self::lend(
                now,
                entry,
                at,
                budget,
                &self.rhythm,
                (no, ask),
                &mut self.rng,
            )
        });
        self.pockets = self.pockets + entry.pockets.len() - before;
        match answer {
            Some(answer) => answer,
            None => nothing,
        }
    }

    /// What the borrower of this pocket gets; nothing is said to a question that was overtaken.
    fn lend(
        now: Nanos,
        entry: &mut LentKey,
        at: usize,
        budget: &KeyedQuota,
        rhythm: &QuotaTiming,
        (no, ask): (u32, &KeyRequest),
        rng: &mut Pcg64Mcg,
    ) -> Option<KeyGrant> {
        let pocket = &mut entry.pockets[at];
        if no <= pocket.no {
            return None;
        }
        match budget.kind {
            QuotaKind::Rate { .. } => {
                // What is not left and not given back was spent.
                let left = ask.left.min(pocket.units);
                entry.free += ask.back.min(pocket.units - left);
                pocket.units = left;
            }
            // More than was lent may be in use yet by one whose time was over.
            QuotaKind::InHand { .. } => pocket.units = ask.left,
        }
        (pocket.no, pocket.need) = (no, ask.left.saturating_add(ask.wants));
        pocket.gone = now + longer(rhythm.life) + budget.lag();
        let passed = now
            .saturating_sub(std::mem::replace(&mut pocket.heard, now))
            .min(rhythm.life);
        let (units, need) = (pocket.units, pocket.need);
        let (pool, out) = (budget.pool(), entry.out());
        let interval = budget.interval().unwrap_or(Nanos::MAX).max(1);
        let needs: u64 = entry
            .pockets
            .iter()
            .map(|pocket| u64::from(pocket.need))
            .sum();
        // What they lack, each as it was told last: who has what he needs has no claim on more.
        let lack = |pocket: &BorrowerUnits| u64::from(pocket.need.saturating_sub(pocket.units));
        let lacks = entry.pockets.iter().map(lack).sum::<u64>().max(1);
        let share = match budget.kind {
            QuotaKind::InHand { .. } => {
                entry.free = pool.saturating_sub(out);
                let part = f64::from(need) / needs.max(1) as f64;
                f64::from(need).min(f64::from(pool.max(out)) * part) - f64::from(units)
            }
            _ if lacks <= u64::from(entry.free) => f64::from(ask.wants),
            // Where it is short each gets its part of what was made since it asked last, and with
            // time of what is left over.
            _ => {
                let part = f64::from(ask.wants) / lacks as f64;
                let in_turn = rhythm.urgent as f64 / interval as f64;
                let left_over = (f64::from(entry.free) - in_turn).max(0.0) * passed as f64
                    / rhythm.renew as f64;
                (passed as f64 / interval as f64 + left_over) * part
            }
        };
        let share = share.max(0.0);
        let whole = share.floor() as u32 + u32::from(rng.random::<f64>() < share.fract());
        let adds = whole.min(ask.wants).min(entry.free);
        entry.pockets[at].units += adds;
        entry.free -= adds;
        debug_assert!(
            matches!(budget.kind, QuotaKind::InHand { .. })
                || entry.free + entry.out() <= pool.max(out),
            "no unit is in two places"
        );
        if units + adds == 0 && ask.wants == 0 {
            entry.pockets.remove(at);
        }
        let wait = match (ask.wants > 0 && adds == 0, budget.kind) {
            (false, _) => 0,
            // Its part of what is made: one in so long.
            (true, QuotaKind::Rate { .. }) => interval
                .saturating_mul(lacks / u64::from(ask.wants.max(1)))
                .clamp(rhythm.urgent, rhythm.life),
            (true, QuotaKind::InHand { .. }) => rhythm.renew,
        };
        Some(KeyGrant {
            budget: ask.budget,
            key: ask.key,
            adds,
            wait,
        })
    }

    /// Forgets keys that nobody has anything of, once all that may be saved of them is free again.
    fn age(&mut self, now: Nanos) {
        for _ in 0..AGED_AT_ONCE {
            let Some((_, place)) = self.ageing.pop_front_if(|(due, _)| *due <= now) else {
                return;
            };
            let Some(entry) = self.keys.get_mut(&place) else {
                continue;
            };
            let Some(budget) = self.budgets.iter().find(|budget| budget.id() == place.0) else {
                self.pockets -= entry.pockets.len();
                self.keys.remove(&place);
                continue;
            };
            let before = entry.pockets.len();
            entry.settle(now, budget);
            self.pockets -= before - entry.pockets.len();
            let known = now.saturating_sub(self.opens) / budget.interval().unwrap_or(1).max(1);
            let as_new = entry.pockets.is_empty()
                && entry.free >= budget.pool()
                && known >= u64::from(budget.pool());
            if as_new {
                self.keys.remove(&place);
            } else {
                self.ageing.push_back((now + self.rhythm.keep, place));
            }
        }
    }

    /// A borrower leaves, and has nothing in use: all that it has is free.
    pub fn give_back(&mut self, now: Nanos, who: ProcessId) {
        let Some((number, _)) = self.borrowers.numbers.remove(&who) else {
            return;
        };
        for (place, entry) in &mut self.keys {
            let Some(budget) = self.budgets.iter().find(|budget| budget.id() == place.0) else {
                continue;
            };
            let before = entry.pockets.len();
            entry.settle(now, budget);
            if let Ok(at) = entry
                .pockets
                .binary_search_by_key(&number, |pocket| pocket.who)
            {
                entry.pockets.remove(at); // units of a rate are lost with it, and made anew
            }
            self.pockets -= before - entry.pockets.len();
        }
    }

    /// LentKeys that are told apart, pockets, and questions for which there was no room.
    pub fn figures(&self) -> (usize, usize, u64) {
        (self.keys.len(), self.pockets, self.refused)
    }

    /// All of a key that decides what is lent of it, but for chance; and the borrowers' numbers.
    /// For those who compare states.
    pub fn state(
        &self,
        budget: u32,
        key: u64,
    ) -> (
        Nanos,
        Option<&LentKey>,
        impl Iterator<Item = (ProcessId, u32)>,
    ) {
        let numbers = self
            .borrowers
            .numbers
            .iter()
            .map(|(who, (number, _))| (*who, *number));
        (self.opens, self.keys.get(&(budget, key)), numbers)
    }

    /// What there is of a key: free, in pockets, needed; and how many pockets.
    pub fn key(&self, budget: u32, key: u64) -> Option<(u32, u32, u64, usize)> {
        let entry = self.keys.get(&(budget, key))?;
        let needs = entry
            .pockets
            .iter()
            .map(|pocket| u64::from(pocket.need))
            .sum();
        Some((entry.free, entry.out(), needs, entry.pockets.len()))
    }
}

#[cfg(test)]
mod tests;
