//! The plain strategies: even shares by the nodes in view, and a central counter at the first node.

use super::run::network_bytes;
use super::{LimitStrategy, STEP, Simulation};
use crate::keyed_quota::QuotaKind;
use crate::messages::{LimitMessage, SharedMessage};
use crate::{Nanos, SECOND};
use rand::RngExt;

/// Calls that may be saved up, as a part of a second's.
const SAVED_PART_OF_SECOND: f64 = 20.0;
/// When a client without the counter's answer comes back, in nanoseconds.
const NO_ANSWER_WAIT: Nanos = SECOND / 10;

impl Simulation {
    /// Whether a node's even share has a call.
    pub(super) fn even_share_allows(&mut self, n: usize) -> bool {
        let in_view = self.nodes_in_view(n);
        let share = f64::from(self.config.budget.limit) / in_view.max(1) as f64;
        let node = &mut self.nodes[n];
        let passed = (self.now - node.even_refilled_at) as f64 / SECOND as f64;
        node.even_refilled_at = self.now;
        node.even_tokens =
            (node.even_tokens + share * passed).min((share / SAVED_PART_OF_SECOND).max(1.0));
        let is_allowed = node.even_tokens >= 1.0;
        node.even_tokens -= if is_allowed { 1.0 } else { 0.0 };
        is_allowed
    }

    /// Whether the central counter answers and has a call.
    pub(super) fn counter_allows(&mut self, n: usize) -> bool {
        let is_allowed = self.counter_answers(n) && self.counter_tokens >= 1.0;
        self.counter_tokens -= if is_allowed { 1.0 } else { 0.0 };
        is_allowed
    }

    /// Whether the central counter answers a node's question.
    fn counter_answers(&mut self, n: usize) -> bool {
        let is_lost =
            self.config.loss > 0.0 && self.rng.random_bool(1.0 - (1.0 - self.config.loss).powi(2));
        let question = SharedMessage::Limits(LimitMessage::VoteRequest { round: 1 });
        self.result.messages += 2;
        self.result.bytes += 2 * network_bytes(&question);
        let is_reached = n == 0 || !(self.is_cut)(n, 0) && !(self.is_cut)(0, n);
        let is_up = self.nodes[0].shared.is_some() && self.nodes[0].suspended_until <= self.now;
        is_reached && is_up && !is_lost
    }

    pub(super) fn refill_counter(&mut self) {
        let limit = f64::from(self.config.budget.limit);
        self.counter_tokens = (self.counter_tokens + limit * STEP as f64 / SECOND as f64)
            .min((limit / SAVED_PART_OF_SECOND).max(1.0));
    }

    /// Nodes in a node's late view, but for those whose messages don't reach it.
    fn nodes_in_view(&self, n: usize) -> usize {
        let viewed_at = self.now.saturating_sub(self.config.view_delay);
        let seen = self
            .up_changes
            .iter()
            .rev()
            .find(|(at, _)| *at <= viewed_at)
            .or(self.up_changes.front());
        seen.map_or(1, |(_, up)| {
            (0..up.len())
                .filter(|&m| up[m] && !(self.is_cut)(m, n))
                .count()
        })
    }

    /// Whether one of a key is admitted by a plain strategy, for rates; else after how many
    /// nanoseconds to come back.
    pub(super) fn plain_key_allows(
        &mut self,
        strategy: LimitStrategy,
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
        let (place, interval, most) = match strategy {
            LimitStrategy::EvenByView => {
                let in_view = self.nodes_in_view(n).max(1) as u64;
                let most = (u64::from(burst) / in_view).max(1);
                ((n, key), even * in_view, most)
            }
            _ => {
                if !self.counter_answers(n) {
                    return Err(NO_ANSWER_WAIT);
                }
                ((0, key), even, u64::from(burst))
            }
        };
        let due = self.keys.plain_dues.entry(place).or_default();
        let wait = due.saturating_sub(self.now + interval * (most - 1));
        if wait > 0 {
            return Err(wait);
        }
        *due = (*due).max(self.now) + interval;
        Ok(())
    }
}
