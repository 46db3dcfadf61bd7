//! Leadership.

use super::{Config, Host, SharedState};
use crate::budget::lender::BudgetLender;
use crate::keyed_quota::lender::QuotaLender;
use crate::messages::{Message, ReceivedMessage};
use crate::{Nanos, ProcessId};
use rand::RngExt;

impl<H: Host> SharedState<H> {
    /// ProcessId lends renews the words that it has; who does not tries to get them where nobody is known
    /// to lend.
    pub(super) fn round(&mut self, now: Nanos) {
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

    pub(super) fn tell_arbiters(&mut self, message: Message) {
        let me = self.settings.me.key;
        for key in self.settings.arbiters.iter().filter(|key| **key != me) {
            self.host
                .send(*key, ReceivedMessage::Budgets(message.clone()));
        }
    }

    /// Somebody, perhaps this node, wants this arbiter's word.
    pub(super) fn want(&mut self, now: Nanos, from: ProcessId, no: u64) {
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

    pub(super) fn word(&mut self, now: Nanos, from: ProcessId, no: u64, given: bool) {
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
}
