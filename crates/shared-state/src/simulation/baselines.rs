//! The baseline strategies: equal shares by the number of nodes in view, and a central counter at
//! the first node.

use super::run::network_bytes;
use super::{LimitStrategy, STEP, Simulation};
use crate::keyed_quota::QuotaKind;
use crate::messages::{LimitMessage, SharedMessage};
use crate::{Nanos, SECOND};
use rand::RngExt;

/// Divisor of the calls of one second that gives the number of calls that may be saved up.
const SAVED_CALLS_DIVISOR: f64 = 20.0;
/// Time after which a client retries if the counter did not answer, in nanoseconds.
const NO_ANSWER_WAIT: Nanos = SECOND / 10;

impl Simulation {
    /// Returns whether the equal share of a node allows a call, and takes it.
    pub(super) fn even_share_allows(&mut self, n: usize) -> bool {
        let in_view = self.nodes_in_view(n);
        let share = f64::from(self.config.budget.limit) / in_view.max(1) as f64;
        let node = &mut self.nodes[n];
        let elapsed = (self.now - node.even_refilled_at) as f64 / SECOND as f64;
        node.even_refilled_at = self.now;
        node.even_tokens =
            (node.even_tokens + share * elapsed).min((share / SAVED_CALLS_DIVISOR).max(1.0));
        let is_allowed = node.even_tokens >= 1.0;
        node.even_tokens -= if is_allowed { 1.0 } else { 0.0 };
        is_allowed
    }

    /// Returns whether the central counter answers and allows a call, and takes it.
    pub(super) fn counter_allows(&mut self, n: usize) -> bool {
        let is_allowed = self.counter_answers(n) && self.counter_tokens >= 1.0;
        self.counter_tokens -= if is_allowed { 1.0 } else { 0.0 };
        is_allowed
    }

    /// Returns whether the central counter answers a request of a node.
    fn counter_answers(&mut self, n: usize) -> bool {
        let is_lost =
            self.config.loss > 0.0 && self.rng.random_bool(1.0 - (1.0 - self.config.loss).powi(2));
        let request = SharedMessage::Limits(LimitMessage::VoteRequest { round: 1 });
        self.result.messages += 2;
        self.result.bytes += 2 * network_bytes(&request);
        let is_reached = n == 0 || !(self.is_cut)(n, 0) && !(self.is_cut)(0, n);
        let is_up = self.nodes[0].shared.is_some() && self.nodes[0].suspended_until <= self.now;
        is_reached && is_up && !is_lost
    }

    pub(super) fn refill_counter(&mut self) {
        let limit = f64::from(self.config.budget.limit);
        self.counter_tokens = (self.counter_tokens + limit * STEP as f64 / SECOND as f64)
            .min((limit / SAVED_CALLS_DIVISOR).max(1.0));
    }

    /// Returns the number of nodes in the view of a node, which lags by `view_delay` and excludes
    /// nodes whose messages do not reach it now.
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

    /// Admits one unit of a key by a baseline strategy, or returns the Retry-After in nanoseconds.
    /// Only quotas on rates are supported; others always refuse.
    pub(super) fn baseline_allows_key(
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
        let unit_interval = period / u64::from(count);
        let (counted_at, interval, max_saved) = match strategy {
            LimitStrategy::EvenByView => {
                let in_view = self.nodes_in_view(n).max(1) as u64;
                let max_saved = (u64::from(burst) / in_view).max(1);
                ((n, key), unit_interval * in_view, max_saved)
            }
            _ => {
                if !self.counter_answers(n) {
                    return Err(NO_ANSWER_WAIT);
                }
                ((0, key), unit_interval, u64::from(burst))
            }
        };
        let due = self.keys.baseline_dues.entry(counted_at).or_default();
        let retry_after = due.saturating_sub(self.now + interval * (max_saved - 1));
        if retry_after > 0 {
            return Err(retry_after);
        }
        *due = (*due).max(self.now) + interval;
        Ok(())
    }
}
