//! The steps of the simulated time. In each step, messages arrive, calls end, and then each node
//! runs its timers, sends messages and attempts calls.

use super::{LimitStrategy, MessageInFlight, REPORT_INTERVAL, STEP, Simulation};
use crate::Nanos;
use crate::messages::{SharedMessage, encode};
use rand::RngExt;
use std::cmp::Reverse;

/// Size of the headers of a payload in bytes: frame of the cluster, authentication, UDP and IP.
const HEADER_BYTES: usize = 32 + 16 + 24 + 28;
/// Probability that a message arrives twice, on links that lose messages.
const DUPLICATE_PROBABILITY: f64 = 0.1;

/// Returns the size of a message on the network, in bytes.
pub(super) fn network_bytes(message: &SharedMessage) -> u64 {
    (encode(message).len() + HEADER_BYTES) as u64
}

impl Simulation {
    /// Advances the simulated time by `duration` nanoseconds, rounded up to whole steps.
    pub fn run(&mut self, duration: Nanos) {
        let until = self.now + duration;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver_messages();
        self.end_calls();
        let mut leaders = 0;
        for n in 0..self.nodes.len() {
            if self.nodes[n].suspended_until > self.now || self.nodes[n].shared.is_none() {
                continue;
            }
            leaders += usize::from(self.wake_node(n));
            self.send_messages(n);
            self.attempt_calls(n);
        }
        self.run_keys();
        self.max_leaders = self.max_leaders.max(leaders);
        self.observe_backend();
    }

    fn deliver_messages(&mut self) {
        while self
            .arrivals
            .peek()
            .is_some_and(|Reverse((due, ..))| *due <= self.now)
        {
            let Some(Reverse((_, id, to))) = self.arrivals.pop() else {
                break;
            };
            if self.nodes[to].suspended_until > self.now {
                self.arrivals
                    .push(Reverse((self.nodes[to].suspended_until, id, to)));
                continue;
            }
            let Some(MessageInFlight { from, message }) = self.messages.remove(&id) else {
                continue;
            };
            let now = self.clock(to);
            if let Some(shared) = &mut self.nodes[to].shared {
                shared.receive(now, from, message);
                self.send_messages(to);
            }
        }
    }

    /// Runs the timers that are due at a node. Returns whether the node is the leader.
    fn wake_node(&mut self, n: usize) -> bool {
        let (now, process) = (self.clock(n), self.process(n));
        let node = &mut self.nodes[n];
        let Some(shared) = &mut node.shared else {
            return false;
        };
        if shared.next_wake() <= now && self.config.strategy == LimitStrategy::Leases {
            shared.wake(now);
        }
        if self.config.max_counted_processes > 0 && now >= node.next_report {
            shared.report_counters(now, &node.counters.report(process, 0, 2));
            node.next_report = now + REPORT_INTERVAL;
        }
        while let Some(request) = shared.host.quotas.next_request(now) {
            shared.request_quota(now, request);
        }
        shared.is_leader(now)
    }

    /// Sends the collected messages of a node. Links lose, duplicate and delay them.
    fn send_messages(&mut self, n: usize) {
        let from = self.process(n);
        let Some(shared) = &mut self.nodes[n].shared else {
            return;
        };
        for (to, message) in std::mem::take(&mut shared.host.sent) {
            self.result.messages += 1;
            self.result.bytes += network_bytes(&message);
            let to = to as usize - 1;
            if self.rng.random_bool(self.config.loss) || (self.is_cut)(n, to) {
                continue;
            }
            let is_duplicated =
                self.config.loss > 0.0 && self.rng.random_bool(DUPLICATE_PROBABILITY);
            for _ in 0..if is_duplicated { 2 } else { 1 } {
                self.messages_sent += 1;
                let (min, max) = self.config.latency;
                let due = self.now + self.rng.random_range(min..=max);
                let message = message.clone();
                self.messages
                    .insert(self.messages_sent, MessageInFlight { from, message });
                self.arrivals.push(Reverse((due, self.messages_sent, to)));
            }
        }
    }
}
