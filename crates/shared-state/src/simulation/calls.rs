//! Backend calls: attempts by the nodes, the decisions of the limit strategies, and the record of
//! the backend service.

use super::{LimitStrategy, STEP, Simulation};
use crate::budget::BudgetKind;
use crate::counters::{PROCESS_ROW, process_column};
use crate::{MILLISECOND, SECOND};
use rand::RngExt;
use std::cmp::Reverse;

impl Simulation {
    pub(super) fn end_calls(&mut self) {
        while self
            .calls_in_flight
            .peek()
            .is_some_and(|Reverse((end, ..))| *end <= self.now)
        {
            let Some(Reverse((_, n, incarnation))) = self.calls_in_flight.pop() else {
                break;
            };
            if self.nodes[n].incarnation == incarnation
                && let Some(shared) = &mut self.nodes[n].shared
            {
                shared.host.budgets.release(false);
            }
        }
    }

    pub(super) fn attempt_calls(&mut self, n: usize) {
        self.nodes[n].load_credit += (self.load)(n, self.now) * STEP as f64 / SECOND as f64;
        while self.nodes[n].load_credit >= 1.0 {
            self.nodes[n].load_credit -= 1.0;
            self.result.calls_attempted += 1;
            let second = (self.now / SECOND) as usize;
            count_in_second(&mut self.result.attempts_by_second, second);
            if self.is_call_allowed(n) {
                self.make_call(n, second);
            }
        }
    }

    fn make_call(&mut self, n: usize, second: usize) {
        self.result.calls_made += 1;
        self.result.calls_by_node[n] += 1;
        let unix_ms = self.clock(n) / MILLISECOND;
        self.nodes[n]
            .counters
            .add(unix_ms, PROCESS_ROW, process_column::CALLS, 1);
        count_in_second(&mut self.result.calls_by_second, second);
        self.recent_calls.push_back(self.now);
        if let BudgetKind::InFlight { max_call_time } = self.config.budget.kind {
            let end = self.now + self.rng.random_range(max_call_time / 4..max_call_time);
            self.calls_in_flight
                .push(Reverse((end, n, self.nodes[n].incarnation)));
        }
    }

    fn is_call_allowed(&mut self, n: usize) -> bool {
        let now = self.clock(n);
        match self.config.strategy {
            LimitStrategy::Leases => self.nodes[n]
                .shared
                .as_mut()
                .is_some_and(|shared| shared.host.budgets.acquire(now, false).is_ok()),
            LimitStrategy::EvenByView => self.even_share_allows(n),
            LimitStrategy::Counter => self.counter_allows(n),
        }
    }

    /// Records by how much the calls of this step exceed the limit at the backend service.
    pub(super) fn observe_backend(&mut self) {
        self.refill_counter();
        let limit = f64::from(self.config.budget.limit);
        match self.config.budget.kind {
            BudgetKind::Rate { burst } => {
                while self
                    .recent_calls
                    .front()
                    .is_some_and(|made_at| *made_at + SECOND <= self.now)
                {
                    self.recent_calls.pop_front();
                }
                // Allowed are the calls of one second, the calls that may be saved up, and at least
                // one saved call per node.
                let saved = limit * burst as f64 / SECOND as f64;
                let one_per_node = self.nodes.len().min(self.config.budget.limit as usize) as f64;
                let over = self.recent_calls.len() as f64 - limit - saved.max(one_per_node);
                self.record_over_limit(over);
            }
            BudgetKind::InFlight { .. } => {
                let over = self.calls_in_flight.len() as f64 - limit;
                self.record_over_limit(over);
            }
        }
    }

    fn record_over_limit(&mut self, over: f64) {
        if over > 0.0 {
            self.result.max_over_limit = self.result.max_over_limit.max(over);
            if self.now % SECOND < STEP {
                self.result.seconds_over_limit += 1;
            }
        }
    }
}

fn count_in_second(by_second: &mut Vec<u64>, second: usize) {
    if by_second.len() <= second {
        by_second.resize(second + 1, 0);
    }
    by_second[second] += 1;
}
