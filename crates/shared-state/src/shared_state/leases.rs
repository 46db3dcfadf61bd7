//! Leases.

use super::{Host, SharedState};
use crate::budget::fair_share::Demand;
use crate::budget::{Budget, BudgetRequest, Lease};
use crate::keyed_quota::{QuotaGrant, QuotaRequest};
use crate::messages::{Message, ReceivedMessage};
use crate::{Nanos, ProcessId};
use rand::RngExt;

impl<H: Host> SharedState<H> {
    /// Asks the one who lends, or an arbiter who that is.
    pub(super) fn ask(&mut self, now: Nanos) {
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

    pub(super) fn asked(
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

    pub(super) fn lent(&mut self, now: Nanos, stamp: Nanos, parts: &[(u32, Lease)]) {
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

    pub(super) fn keys_asked(&mut self, now: Nanos, from: ProcessId, asked: &QuotaRequest) {
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

    pub(super) fn keys_lent(&mut self, now: Nanos, lent: QuotaGrant) {
        if !self.left {
            self.host.keys_lent(now, lent);
        }
    }
}
