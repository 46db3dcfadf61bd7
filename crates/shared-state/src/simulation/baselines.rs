//! Plain ways.

use super::{LimitStrategy, Simulation};
use crate::keyed_quota::QuotaKind;
use crate::messages::{Message, ReceivedMessage};
use crate::{Nanos, SECOND};
use rand::RngExt;

impl Simulation {
    /// Whether one of a key may go by a plain way, for rates: an even part by the nodes in sight,
    /// or a central counter.
    pub(super) fn plain_key(
        &mut self,
        way: LimitStrategy,
        n: usize,
        key: u64,
        kind: QuotaKind,
    ) -> Result<(), Nanos> {
        let QuotaKind::Rate {
            count,
            period,
            burst,
        } = kind
        else {
            return Err(SECOND);
        };
        let even = period / u64::from(count);
        let (place, interval, most) = match way {
            LimitStrategy::EvenByView => {
                let there = self.in_sight(n).max(1) as u64;
                ((n, key), even * there, (u64::from(burst) / there).max(1))
            }
            _ => {
                let lost = self.plan.loss > 0.0
                    && self.rng.random_bool(1.0 - (1.0 - self.plan.loss).powi(2));
                self.asks_counter();
                let reached = n == 0 || !(self.cut)(n, 0) && !(self.cut)(0, n);
                let counts =
                    self.nodes[0].shared.is_some() && self.nodes[0].still_until <= self.now;
                if lost || !reached || !counts {
                    return Err(SECOND / 10);
                }
                ((0, key), even, u64::from(burst))
            }
        };
        let due = self.plain_keys.entry(place).or_default();
        let wait = due.saturating_sub(self.now + interval * (most - 1));
        if wait > 0 {
            return Err(wait);
        }
        *due = (*due).max(self.now) + interval;
        Ok(())
    }

    /// A question to a central counter and its answer.
    pub(super) fn asks_counter(&mut self) {
        self.measured.messages += 2;
        self.measured.bytes +=
            2 * Self::bytes(&ReceivedMessage::Budgets(Message::BudgetRequest { no: 1 }));
    }

    /// Nodes that one has in sight: whom it saw some time ago, but for those whom it can't hear.
    pub(super) fn in_sight(&self, n: usize) -> usize {
        let then = self.now.saturating_sub(self.plan.sight);
        let seen = self
            .changes
            .iter()
            .rev()
            .find(|(at, _)| *at <= then)
            .or(self.changes.front());
        seen.map_or(1, |(_, up)| {
            (0..up.len())
                .filter(|&m| up[m] && !(self.cut)(m, n))
                .count()
        })
    }
}
