//! Steps.

use super::{LimitStrategy, STEP, Simulation, TELLS};
use crate::budget::Kind;
use crate::counters::{OWN, own};
use crate::{MILLISECOND, Nanos, ProcessId, SECOND};
use rand::RngExt;
use std::cmp::Reverse;

impl Simulation {
    /// Lets time pass.
    pub fn run(&mut self, time: Nanos) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    pub(super) fn step(&mut self) {
        self.now += STEP;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse((due, ..))| *due <= self.now)
        {
            let Some(Reverse((_, id, to, _))) = self.queue.pop() else {
                break;
            };
            if self.nodes[to].still_until > self.now {
                self.queue
                    .push(Reverse((self.nodes[to].still_until, id, to, 0)));
                continue;
            }
            let Some((from, message)) = self.under_way.remove(&id) else {
                continue;
            };
            let now = self.clock(to);
            if let Some(shared) = &mut self.nodes[to].shared {
                shared.told(now, from, message);
                self.carry(to);
            }
        }
        self.end_calls();
        let mut lenders = 0;
        for n in 0..self.nodes.len() {
            if self.nodes[n].still_until > self.now || self.nodes[n].shared.is_none() {
                continue;
            }
            let now = self.clock(n);
            let node = &mut self.nodes[n];
            if let Some(shared) = &mut node.shared {
                if shared.next() <= now && self.plan.way == LimitStrategy::Leases {
                    shared.wake(now);
                }
                if self.plan.counted > 0 && now >= node.tells {
                    let who = ProcessId {
                        key: n as u64 + 1,
                        life: node.life,
                    };
                    shared.tell_counts(now, &node.tally.word(who, 0, 2));
                    node.tells = now + TELLS;
                }
                while let Some(asked) = shared.host.wallet.ask(now) {
                    shared.ask_keys(now, asked);
                }
                lenders += usize::from(shared.lends(now));
            }
            self.carry(n);
            self.tries(n);
        }
        self.try_keys();
        self.lenders_most = self.lenders_most.max(lenders);
        self.look();
    }

    pub(super) fn carry(&mut self, n: usize) {
        let from = ProcessId {
            key: n as u64 + 1,
            life: self.nodes[n].life,
        };
        let Some(shared) = &mut self.nodes[n].shared else {
            return;
        };
        for (to, message) in std::mem::take(&mut shared.host.sent) {
            self.measured.messages += 1;
            self.measured.bytes += Self::bytes(&message);
            let to = to as usize - 1;
            if self.rng.random_bool(self.plan.loss) || (self.cut)(n, to) {
                continue;
            }
            let copies = if self.plan.loss > 0.0 && self.rng.random_bool(0.1) {
                2
            } else {
                1
            };
            for _ in 0..copies {
                self.sent += 1;
                let (least, most) = self.plan.latency;
                let due = self.now + self.rng.random_range(least..=most);
                self.under_way.insert(self.sent, (from, message.clone()));
                self.queue.push(Reverse((due, self.sent, to, 0)));
            }
        }
    }

    pub(super) fn end_calls(&mut self) {
        while self
            .in_hand
            .peek()
            .is_some_and(|Reverse((end, ..))| *end <= self.now)
        {
            let Some(Reverse((_, n, life))) = self.in_hand.pop() else {
                break;
            };
            if self.nodes[n].life == life
                && let Some(shared) = &mut self.nodes[n].shared
            {
                shared.host.ends.over(false);
            }
        }
    }

    pub(super) fn tries(&mut self, n: usize) {
        self.nodes[n].owed += (self.load)(n, self.now) * STEP as f64 / SECOND as f64;
        while self.nodes[n].owed >= 1.0 {
            self.nodes[n].owed -= 1.0;
            self.measured.tried += 1;
            let second = (self.now / SECOND) as usize;
            grow(&mut self.measured.tried_by_second, second);
            if self.may(n) {
                self.measured.made += 1;
                self.measured.by_node[n] += 1;
                let unix_ms = self.clock(n) / MILLISECOND;
                self.nodes[n].tally.add(unix_ms, OWN, own::CALLS, 1);
                grow(&mut self.measured.by_second, second);
                self.recent.push_back(self.now);
                if let Kind::InHand { longest } = self.plan.budget.kind {
                    let end = self.now + self.rng.random_range(longest / 4..longest);
                    self.in_hand.push(Reverse((end, n, self.nodes[n].life)));
                }
            }
        }
    }

    pub(super) fn may(&mut self, n: usize) -> bool {
        let now = self.clock(n);
        match self.plan.way {
            LimitStrategy::Leases => self.nodes[n]
                .shared
                .as_mut()
                .is_some_and(|shared| shared.host.ends.take(now, false).is_ok()),
            LimitStrategy::EvenByView => {
                let there = self.in_sight(n);
                let share = f64::from(self.plan.budget.limit) / there.max(1) as f64;
                let node = &mut self.nodes[n];
                let passed = (self.now - node.up_since) as f64 / SECOND as f64;
                node.up_since = self.now;
                node.saved = (node.saved + share * passed).min((share / 20.0).max(1.0));
                let may = node.saved >= 1.0;
                node.saved -= if may { 1.0 } else { 0.0 };
                may
            }
            LimitStrategy::Counter => {
                let reached = n == 0 || !(self.cut)(n, 0) && !(self.cut)(0, n);
                let lost = self.plan.loss > 0.0
                    && self.rng.random_bool(1.0 - (1.0 - self.plan.loss).powi(2));
                self.asks_counter();
                let counts =
                    self.nodes[0].shared.is_some() && self.nodes[0].still_until <= self.now;
                let may = reached && counts && !lost && self.counter_saved >= 1.0;
                self.counter_saved -= if may { 1.0 } else { 0.0 };
                may
            }
        }
    }

    /// The record of the service below.
    pub(super) fn look(&mut self) {
        let limit = f64::from(self.plan.budget.limit);
        self.counter_saved =
            (self.counter_saved + limit * STEP as f64 / SECOND as f64).min((limit / 20.0).max(1.0));
        match self.plan.budget.kind {
            Kind::Rate { burst } => {
                while self
                    .recent
                    .front()
                    .is_some_and(|at| *at + SECOND <= self.now)
                {
                    self.recent.pop_front();
                }
                // A second's worth, what may be saved, and a call that each node has saved at
                // least.
                let saved = limit * burst as f64 / SECOND as f64;
                let whole = self.nodes.len().min(self.plan.budget.limit as usize) as f64;
                let over = self.recent.len() as f64 - limit - saved.max(whole);
                self.note_over(over);
            }
            Kind::InHand { .. } => {
                let over = self.in_hand.len() as f64 - limit;
                self.note_over(over);
            }
        }
    }

    pub(super) fn note_over(&mut self, over: f64) {
        if over > 0.0 {
            self.measured.worst_over = self.measured.worst_over.max(over);
            if self.now % SECOND < STEP {
                self.measured.seconds_over += 1;
            }
        }
    }
}

fn grow(by_second: &mut Vec<u64>, second: usize) {
    if by_second.len() <= second {
        by_second.resize(second + 1, 0);
    }
    by_second[second] += 1;
}
