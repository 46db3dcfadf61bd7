//! A node's part in what is shared: a method for each thing that happens, acting through a small
//! [`Host`]. Some nodes are arbiters, by name; one of these lends; all borrow.

use crate::budget_borrower::Budget;
use crate::budget_lender::{BudgetLender, Lease};
use crate::counts::{ClusterCounters, CounterReport};
use crate::fair_share::Demand;
use crate::keyed_quota::lender::QuotaLender;
use crate::keyed_quota::{KeyedQuota, QuotaGrant, QuotaRequest, QuotaTiming};
use crate::leader_lease::{Candidate, Voter};
use crate::messages::{ClusterTotals, HAVE_MAX, KnownCounters, ReceivedMessage, split};
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

/// What nodes tell each other.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// To an arbiter: give me your word, in this round.
    BudgetRequest { no: u64 },
    /// An arbiter gives it, or tells who has it.
    CounterReport {
        no: u64,
        given: bool,
        holder: Option<ProcessId>,
        left: Nanos,
    },
    /// What was given in this round is given back.
    GiveBack { no: u64 },
    /// To the one who lends: I hold these parts and want so much, by budget. The stamp is the
    /// asker's time.
    Ask {
        stamp: Nanos,
        zone: u32,
        wants: Vec<BudgetRequest>,
    },
    /// Parts, by budget; the stamp of the question comes back.
    Lend {
        stamp: Nanos,
        parts: Vec<(u32, Lease)>,
    },
    /// I do not lend; that one does, as far as I know.
    Elsewhere { lender: Option<ProcessId> },
    /// I leave: all of it is back.
    Leave,
    /// To the one who lends: what I have of some keys and want.
    AskKeys(QuotaRequest),
    /// What I get of them.
    LendKeys(QuotaGrant),
}

/// What is asked of one budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRequest {
    pub budget: u32,
    /// The book and the number of the part that it holds.
    pub holds: (u64, u64),
    pub units: u32,
    pub value: f64,
}

/// What a node is told.
#[derive(Clone, Debug)]
pub struct Config {
    pub me: ProcessId,
    pub zone: u32,
    /// Keys of those who arbitrate, the same on all nodes; an odd number, three or five.
    pub arbiters: Vec<u64>,
    pub budgets: Vec<Budget>,
    /// Limits by key, how often keys are asked for, and the bytes that books of them may take.
    pub keys: Vec<KeyedQuota>,
    pub rhythm: QuotaTiming,
    pub key_bytes: usize,
    /// Processes whose counts an arbiter keeps apart; none where nothing is counted.
    pub counted: usize,
    /// How long an arbiter's word holds, and how long a part does.
    pub term: Nanos,
    pub part: Nanos,
    /// Between two questions of a borrower.
    pub ask: Nanos,
    /// BorrowerTable that one who lends keeps accounts for.
    pub most: usize,
}

impl Config {
    /// Usual times, which follow from the most nodes that there may be, so that the one who lends
    /// is not asked more often than it can answer: recovery after its death takes about two terms.
    pub fn usual(
        me: ProcessId,
        arbiters: Vec<u64>,
        budgets: Vec<Budget>,
        keys: Vec<KeyedQuota>,
    ) -> Config {
        let most = budgets
            .iter()
            .map(|b| b.nodes_most)
            .chain(keys.iter().map(|k| k.nodes_most))
            .max();
        let most = most.unwrap_or(1);
        let ask = (300 * MILLISECOND).max(SECOND * u64::from(most) / QUESTIONS);
        let part = 5 * ask;
        let (term, rhythm) = (2 * part, QuotaTiming::of(most));
        let key_bytes = 1 << 20;
        let (counted, most) = (0, 4096);
        Config {
            me,
            zone: 0,
            arbiters,
            budgets,
            keys,
            rhythm,
            key_bytes,
            counted,
            term,
            part,
            ask,
            most,
        }
    }
}

/// Questions that one who lends can answer in a second.
const QUESTIONS: u64 = 2000;
/// Between two pages of counts that an arbiter compares with another one's, and between two
/// questions for the sums.
const HAVE: Nanos = 5 * SECOND;
const SUMS: Nanos = 10 * SECOND;
/// Windows of the sums' last minute.
const MINUTE: u64 = 6;
/// Processes whose counts are told for one page.
const LACKED: usize = 8;

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

    /// ProcessId lends renews the words that it has; who does not tries to get them where nobody is known
    /// to lend.
    fn round(&mut self, now: Nanos) {
        let term = self.settings.term;
        let lends = self.lends(now);
        if !lends && self.close_books() {
            self.arbiter
                .iter_mut()
                .for_each(|(_, candidate)| candidate.resign());
            self.host
                .log("lends no more: no majority of the arbiters answers");
            self.lender = None;
        }
        let Some((arbiter, candidate)) = &mut self.arbiter else {
            return;
        };
        let known = arbiter
            .holder(now)
            .filter(|holder| *holder != self.settings.me);
        if !lends && known.is_some() {
            self.lender = known;
            self.next_round = now + term / 4;
            return;
        }
        if !lends && self.tries {
            // No majority in its time: all that was given goes back, so that three who each have
            // their own word don't wait for each other for ever.
            self.tries = false;
            let no = candidate.no;
            arbiter.give_back(self.settings.me, no);
            candidate.resign();
            self.next_round = now + self.rng.random_range(0..term / 3);
            return self.tell_arbiters(Message::GiveBack { no });
        }
        self.tries = !lends;
        let no = candidate.begin(now);
        self.next_round = now + if lends { term / 4 } else { term / 10 };
        for key in self.settings.arbiters.clone() {
            if key == self.settings.me.key {
                self.want(now, self.settings.me, no);
            } else {
                self.host
                    .send(key, ReceivedMessage::Budgets(Message::BudgetRequest { no }));
            }
        }
    }

    fn tell_arbiters(&mut self, message: Message) {
        let me = self.settings.me.key;
        for key in self.settings.arbiters.iter().filter(|key| **key != me) {
            self.host
                .send(*key, ReceivedMessage::Budgets(message.clone()));
        }
    }

    /// Somebody, perhaps this node, wants this arbiter's word.
    fn want(&mut self, now: Nanos, from: ProcessId, no: u64) {
        let me = self.settings.me;
        let Some((arbiter, _)) = &mut self.arbiter else {
            return;
        };
        let asked = arbiter.ask(now, from, no);
        let (given, left) = (asked.is_ok(), asked.err().flatten().unwrap_or(0));
        let holder = arbiter.holder(now);
        if from == me {
            return self.word(now, me, no, given);
        }
        self.host.send(
            from.key,
            ReceivedMessage::Budgets(Message::CounterReport {
                no,
                given,
                holder,
                left,
            }),
        );
    }

    fn word(&mut self, now: Nanos, from: ProcessId, no: u64, given: bool) {
        let place = self
            .settings
            .arbiters
            .iter()
            .position(|key| *key == from.key);
        let (Some(place), true, Some((_, candidate))) = (place, given, &mut self.arbiter) else {
            return;
        };
        if !candidate.given(no, place) || self.books.is_some() {
            return;
        }
        let Config { part, most, .. } = self.settings;
        let id = self.rng.random();
        let books = self
            .settings
            .budgets
            .iter()
            .map(|b| BudgetLender::new(now, id, b.pool(), part, b.lag(), most));
        self.books = Some(books.collect());
        let Config {
            rhythm, key_bytes, ..
        } = self.settings;
        let keys = &self.settings.keys;
        self.key_books = (!keys.is_empty())
            .then(|| QuotaLender::new(now, keys, rhythm, key_bytes, self.rng.random()));
        self.lender = Some(self.settings.me);
        self.count("times it began to lend");
        self.host
            .log("lends: a majority of the arbiters gave their word; parts from before end first");
    }

    /// Asks the one who lends, or an arbiter who that is.
    fn ask(&mut self, now: Nanos) {
        if self.left {
            return;
        }
        if now > self.answered + 2 * self.settings.term && self.lender.take().is_some() {
            self.count("times nobody who lends answered");
        }
        let (stamp, wants) = self.host.wants(now);
        if wants.is_empty() && self.settings.keys.is_empty() {
            return;
        }
        let to = match self.lender {
            Some(lender) => lender.key,
            None if self.settings.arbiters.is_empty() => return,
            None => self.settings.arbiters[self.rng.random_range(0..self.settings.arbiters.len())],
        };
        let zone = self.settings.zone;
        if to == self.settings.me.key {
            return self.asked(now, self.settings.me, stamp, zone, &wants);
        }
        self.host.send(
            to,
            ReceivedMessage::Budgets(Message::Ask { stamp, zone, wants }),
        );
    }

    fn asked(
        &mut self,
        now: Nanos,
        from: ProcessId,
        stamp: Nanos,
        zone: u32,
        wants: &[BudgetRequest],
    ) {
        let me = self.settings.me;
        if !self.lends(now) {
            let lender = self.lender.filter(|lender| *lender != me);
            if from != me {
                self.host.send(
                    from.key,
                    ReceivedMessage::Budgets(Message::Elsewhere { lender }),
                );
            }
            return;
        }
        let until = self
            .arbiter
            .as_ref()
            .map_or(0, |(_, candidate)| candidate.until());
        let books = self.books.iter_mut().flatten();
        let ids = self.settings.budgets.iter().map(Budget::id);
        let parts: Vec<(u32, Lease)> = ids
            .zip(books)
            .filter_map(|(budget, books)| {
                let want = wants.iter().find(|want| want.budget == budget)?;
                let demand = Demand {
                    zone,
                    wants: want.units,
                    value: want.value,
                };
                Some((budget, books.ask(now, from, want.holds, demand, until)?))
            })
            .collect();
        if from == me {
            return self.lent(now, stamp, &parts);
        }
        self.host.send(
            from.key,
            ReceivedMessage::Budgets(Message::Lend { stamp, parts }),
        );
    }

    fn lent(&mut self, now: Nanos, stamp: Nanos, parts: &[(u32, Lease)]) {
        if self.left {
            return; // what it gave back is not its own any more, whatever is under way
        }
        if stamp > now {
            return self.count("parts that were not asked for");
        }
        self.answered = now;
        self.host.lent(now, stamp, parts);
    }

    /// The node's own ends have a question about keys. Where nobody is known to lend it is lost,
    /// and asked again later.
    pub fn ask_keys(&mut self, now: Nanos, asked: QuotaRequest) {
        self.noticed(now);
        match self.lender {
            _ if self.left => {}
            Some(lender) if lender == self.settings.me => self.keys_asked(now, lender, &asked),
            Some(lender) => self.host.send(
                lender.key,
                ReceivedMessage::Budgets(Message::AskKeys(asked)),
            ),
            None => self.count("questions about keys with nobody known who lends"),
        }
    }

    fn keys_asked(&mut self, now: Nanos, from: ProcessId, asked: &QuotaRequest) {
        if !self.lends(now) {
            return; // the questions about budgets find out who does
        }
        let lent = self
            .key_books
            .as_mut()
            .and_then(|books| books.ask(now, from, asked));
        match lent {
            Some(lent) if from == self.settings.me => self.keys_lent(now, lent),
            Some(lent) => self
                .host
                .send(from.key, ReceivedMessage::Budgets(Message::LendKeys(lent))),
            None => {}
        }
    }

    fn keys_lent(&mut self, now: Nanos, lent: QuotaGrant) {
        if !self.left {
            self.host.keys_lent(now, lent);
        }
    }

    // ---- ClusterCounters ----

    /// The node counted so far: all arbiters hear it.
    pub fn tell_counts(&mut self, now: Nanos, word: &CounterReport) {
        self.noticed(now);
        let arbiters = self.settings.arbiters.clone();
        for part in split(word) {
            for key in arbiters.iter().filter(|key| **key != self.settings.me.key) {
                self.host.send(
                    *key,
                    ReceivedMessage::ClusterCounters(Box::new(part.clone())),
                );
            }
        }
        self.counts_of_all
            .iter_mut()
            .for_each(|counts| counts.hear(now, word));
    }

    /// Tells another arbiter how far it knows the counts of some processes; what is lacked there or
    /// here then follows.
    fn compare_counts(&mut self) {
        let others: Vec<u64> = self
            .settings
            .arbiters
            .iter()
            .copied()
            .filter(|key| *key != self.settings.me.key)
            .collect();
        let (Some(counts), false) = (&self.counts_of_all, others.is_empty()) else {
            return;
        };
        let to = others[self.rng.random_range(0..others.len())];
        let from = self.have_from;
        let mut marks: Vec<(ProcessId, u64)> = counts
            .marks()
            .filter(|(who, _)| who.key >= from)
            .take(HAVE_MAX + 1)
            .collect();
        // The last page ends with the last key; another one before the first key that it has no
        // room for.
        let (last, next) = match marks.get(HAVE_MAX).map(|(who, _)| who.key) {
            Some(next) if next > from => (next - 1, next),
            _ => (u64::MAX, 0),
        };
        marks.truncate(HAVE_MAX);
        marks.retain(|(who, _)| who.key <= last);
        self.have_from = next;
        self.host.send(
            to,
            ReceivedMessage::KnownCounters(KnownCounters {
                from,
                to: last,
                marks,
            }),
        );
    }

    fn compared(&mut self, from: ProcessId, have: &KnownCounters) {
        let Some(counts) = &self.counts_of_all else {
            return;
        };
        let theirs: BTreeMap<ProcessId, u64> = have.marks.iter().copied().collect();
        let in_page = counts
            .marks()
            .filter(|(who, _)| (have.from..=have.to).contains(&who.key));
        let lacked =
            in_page.filter(|(who, mark)| theirs.get(who).is_none_or(|theirs| theirs < mark));
        let words: Vec<CounterReport> = lacked
            .take(LACKED)
            .filter_map(|(who, _)| counts.word(who))
            .collect();
        for part in words.iter().flat_map(split) {
            self.host
                .send(from.key, ReceivedMessage::ClusterCounters(Box::new(part)));
        }
    }

    fn ask_sums(&mut self, now: Nanos) {
        let arbiters = &self.settings.arbiters;
        if self.counts_of_all.is_some() {
            self.sums = self.sums_now(now).map(|sums| (sums, now));
        } else if !arbiters.is_empty() {
            let to = arbiters[self.rng.random_range(0..arbiters.len())];
            self.host.send(to, ReceivedMessage::AskSums);
        }
    }

    /// The counts of the whole fleet, at an arbiter. Clocks count from the Unix epoch here.
    fn sums_now(&self, now: Nanos) -> Option<ClusterTotals> {
        let counts = self.counts_of_all.as_ref()?;
        let until_ms = now / MILLISECOND / crate::counts::WINDOW_MS * crate::counts::WINDOW_MS;
        Some(ClusterTotals {
            processes: counts.processes().count() as u32,
            gone: counts.gone() as u32,
            total: counts.total(),
            minute: counts.lately(until_ms, MINUTE, |_, _| true),
            until_ms,
        })
    }

    /// The counts of the whole fleet as they were told last, and how long ago.
    pub fn sums(&self, now: Nanos) -> Option<(&ClusterTotals, Nanos)> {
        self.sums
            .as_ref()
            .map(|(sums, at)| (sums, now.saturating_sub(*at)))
    }

    /// The counts of all processes, at an arbiter.
    pub fn counts_of_all(&self) -> Option<&ClusterCounters> {
        self.counts_of_all.as_ref()
    }

    /// Those who are gone, by the view of the fleet, are added up after a while.
    pub fn tidy(&mut self, now: Nanos, is_there: impl Fn(ProcessId) -> bool) {
        self.counts_of_all
            .iter_mut()
            .for_each(|counts| counts.tidy(now, &is_there));
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
