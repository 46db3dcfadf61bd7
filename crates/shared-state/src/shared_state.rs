//! A node's part in what is shared: a method for each thing that happens, acting through a small
//! [`Host`]. Some nodes are arbiters, by name; one of these lends; all borrow.

mod config;
mod counters_exchange;
mod leadership;
mod leases;

pub use config::Config;

use crate::budget::lender::BudgetLender;
use crate::budget::{Budget, BudgetRequest, Lease};
use crate::counters::ClusterCounters;
use crate::keyed_quota::lender::QuotaLender;
use crate::keyed_quota::{KeyedQuota, QuotaGrant};
use crate::leader_lease::{Candidate, Voter};
use crate::messages::{ClusterTotals, Message, ReceivedMessage};
use crate::{MILLISECOND, Nanos, ProcessId, SECOND};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// What a part of the shared state does to the world. None of it may wait.
pub trait Host {
    /// Send to a node, by the key of its name.
    fn send(&mut self, to: u64, told: ReceivedMessage);
    /// Write a line to the log.
    fn log(&mut self, line: &str);
    /// What this node's ends of the budgets want, and what they hold; with the time of this node at
    /// which that was so.
    fn wants(&mut self, now: Nanos) -> (Nanos, Vec<BudgetRequest>);
    /// Parts came that were asked for then.
    fn lent(&mut self, now: Nanos, asked: Nanos, parts: &[(u32, Lease)]);
    /// Units of keys came.
    fn keys_lent(&mut self, now: Nanos, lent: QuotaGrant);
    /// The node leaves: its ends hold nothing from here on. Whether nothing of it is in hand any
    /// more.
    fn let_go(&mut self, now: Nanos) -> bool;
}

/// Between two pages of counts that an arbiter compares with another one's, and between two
/// questions for the sums.
const HAVE: Nanos = 5 * SECOND;
const SUMS: Nanos = 10 * SECOND;

/// A wake that is so late shows that the node stood still: an arbiter may not know what happened
/// meanwhile.
const STOOD_STILL: Nanos = SECOND;

/// A node's part.
pub struct SharedState<H: Host> {
    pub host: H,
    settings: Config,
    rng: Pcg64Mcg,
    arbiter: Option<(Voter, Candidate)>,
    /// Books by budget, while this node lends.
    books: Option<Vec<BudgetLender>>,
    key_books: Option<QuotaLender>,
    /// ClusterCounters of all, at an arbiter; with the next page that is compared with another one's, and
    /// when.
    counts_of_all: Option<ClusterCounters>,
    have_from: u64,
    next_have: Nanos,
    /// The counts of the whole fleet as an arbiter told them last, when that was, and when they are
    /// asked for.
    sums: Option<(ClusterTotals, Nanos)>,
    next_sums: Nanos,
    lender: Option<ProcessId>,
    next_round: Nanos,
    next_ask: Nanos,
    /// When the one who lends answered last.
    answered: Nanos,
    promised: Nanos,
    left: bool,
    /// Whether a round is under way by which it may come to lend.
    tries: bool,
    counts: BTreeMap<&'static str, u64>,
}

impl<H: Host> SharedState<H> {
    /// A node that has just started.
    pub fn new(settings: Config, seed: u64, now: Nanos, host: H) -> SharedState<H> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let arbiters = settings.arbiters.len();
        let is_arbiter = settings.arbiters.contains(&settings.me.key);
        let next_ask = now + rng.random_range(0..settings.ask.max(1));
        let next_round = now + rng.random_range(0..settings.term / 4);
        SharedState {
            host,
            arbiter: is_arbiter.then(|| {
                (
                    Voter::new(now, settings.term),
                    Candidate::new(arbiters, settings.term),
                )
            }),
            books: None,
            key_books: None,
            counts_of_all: (is_arbiter && settings.counted > 0)
                .then(|| ClusterCounters::new(settings.counted)),
            have_from: 0,
            next_have: now + rng.random_range(0..HAVE),
            sums: None,
            next_sums: now + rng.random_range(0..SUMS),
            lender: None,
            next_round,
            next_ask,
            answered: now,
            promised: Nanos::MAX,
            left: false,
            tries: false,
            counts: BTreeMap::new(),
            rng,
            settings,
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// How often what happened.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Whether this node lends now.
    pub fn lends(&self, now: Nanos) -> bool {
        self.books.is_some()
            && self
                .arbiter
                .as_ref()
                .is_some_and(|(_, candidate)| now < candidate.until())
    }

    /// ProcessId lends, as far as is known here.
    pub fn lender(&self) -> Option<ProcessId> {
        self.lender
    }

    /// Other limits hold from now on, in the same order.
    pub fn rebudget(&mut self, budgets: Vec<Budget>, keys: Vec<KeyedQuota>) {
        for (books, budget) in self.books.iter_mut().flatten().zip(&budgets) {
            books.resize(budget.pool());
        }
        self.key_books
            .iter_mut()
            .for_each(|books| books.rebudget(&keys));
        (self.settings.budgets, self.settings.keys) = (budgets, keys);
    }

    fn close_books(&mut self) -> bool {
        self.key_books = None;
        self.books.take().is_some()
    }

    /// When it wants to be woken.
    pub fn next(&self) -> Nanos {
        let mut next = self.next_ask;
        if self.arbiter.is_some() {
            next = next.min(self.next_round);
        }
        if self.counts_of_all.is_some() {
            next = next.min(self.next_have);
        }
        if self.settings.counted > 0 {
            next.min(self.next_sums)
        } else {
            next
        }
    }

    /// An arbiter that stood still begins anew: its name may have been taken, and its word given,
    /// meanwhile.
    fn noticed(&mut self, now: Nanos) {
        let late = now.saturating_sub(self.promised);
        self.promised = self.next().max(now);
        if late >= STOOD_STILL {
            self.count("times it stood still");
            if let Some((arbiter, candidate)) = &mut self.arbiter {
                *arbiter = Voter::new(now, self.settings.term);
                candidate.resign();
            }
            self.close_books();
        }
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Nanos) {
        self.noticed(now);
        if self.arbiter.is_some() && now >= self.next_round {
            self.round(now);
        }
        if now >= self.next_ask {
            self.next_ask = now + self.settings.ask;
            self.ask(now);
        }
        if self.settings.counted > 0 && now >= self.next_sums {
            self.next_sums = now + SUMS;
            self.ask_sums(now);
        }
        if self.counts_of_all.is_some() && now >= self.next_have {
            self.next_have = now + HAVE;
            self.compare_counts();
        }
        self.promised = self.next().max(now);
    }

    /// Something was told.
    pub fn told(&mut self, now: Nanos, from: ProcessId, told: ReceivedMessage) {
        let by_arbiter = self.settings.arbiters.contains(&from.key);
        match told {
            ReceivedMessage::Budgets(message) => return self.message(now, from, message),
            // Each counts for itself; arbiters tell each other what they heard.
            ReceivedMessage::ClusterCounters(word) if word.who == from || by_arbiter => {
                self.counts_of_all
                    .iter_mut()
                    .for_each(|counts| counts.hear(now, &word));
            }
            ReceivedMessage::ClusterCounters(_) => {
                self.count("counts of others by one who is no arbiter")
            }
            ReceivedMessage::KnownCounters(have) if by_arbiter => self.compared(from, &have),
            ReceivedMessage::AskSums => {
                if let Some(sums) = self.sums_now(now) {
                    self.host
                        .send(from.key, ReceivedMessage::ClusterTotals(Box::new(sums)));
                }
            }
            ReceivedMessage::ClusterTotals(sums) if by_arbiter => self.sums = Some((*sums, now)),
            ReceivedMessage::KnownCounters(_)
            | ReceivedMessage::ClusterTotals(_)
            | ReceivedMessage::HealthReport(_) => {}
        }
        self.noticed(now);
        self.promised = self.next().max(now);
    }

    /// A message came.
    pub fn message(&mut self, now: Nanos, from: ProcessId, message: Message) {
        self.noticed(now);
        match message {
            Message::BudgetRequest { no } => self.want(now, from, no),
            Message::CounterReport {
                no, given, holder, ..
            } => {
                if let Some(holder) = holder.filter(|_| !given) {
                    self.lender = Some(holder);
                }
                self.word(now, from, no, given);
            }
            Message::GiveBack { no } => {
                if let Some((arbiter, _)) = &mut self.arbiter {
                    arbiter.give_back(from, no);
                }
            }
            Message::Ask { stamp, zone, wants } => self.asked(now, from, stamp, zone, &wants),
            Message::Lend { stamp, parts } => {
                self.lender = Some(from);
                self.lent(now, stamp, &parts);
            }
            Message::Elsewhere { lender } => {
                self.lender = lender;
                if lender.is_some() {
                    self.next_ask = self.next_ask.min(now + 10 * MILLISECOND);
                }
            }
            Message::Leave => {
                self.books
                    .iter_mut()
                    .flatten()
                    .for_each(|books| books.give_back(from));
                self.key_books
                    .iter_mut()
                    .for_each(|books| books.give_back(now, from));
            }
            Message::AskKeys(asked) => self.keys_asked(now, from, &asked),
            Message::LendKeys(lent) => {
                self.lender = Some(from);
                self.keys_lent(now, lent);
            }
        }
        self.promised = self.next().max(now);
    }

    /// The node leaves: what it was lent is back at once, and its word too.
    pub fn leave(&mut self, now: Nanos) {
        self.left = true;
        let let_go = self.host.let_go(now);
        if let (Some(lender), true) = (self.lender, let_go) {
            self.host
                .send(lender.key, ReceivedMessage::Budgets(Message::Leave));
        }
        if self.close_books() {
            let no = self
                .arbiter
                .as_ref()
                .map_or(0, |(_, candidate)| candidate.no);
            self.tell_arbiters(Message::GiveBack { no });
        }
        self.arbiter = None;
    }

    /// The books of all budgets, while this node lends, in their order.
    pub fn books(&self) -> impl Iterator<Item = (&Budget, &BudgetLender)> {
        self.settings
            .budgets
            .iter()
            .zip(self.books.iter().flatten())
    }

    /// The books by key, while this node lends.
    pub fn key_books(&self) -> Option<&QuotaLender> {
        self.key_books.as_ref()
    }
}
