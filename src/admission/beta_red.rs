//! Dynamic Beta RED: the random rejection that keeps the queue short. Equations and Algorithm 3 are
//! those of section 5.2 of "New RED-type TCP-AQM algorithms based on Beta distribution drop
//! functions", with q_min = 0, q_max = B, p_max = 1 and Alpha = Beta = 1; `docs/design.md` lists
//! where this departs from it.
//!
//! Each arrival moves the averaged queue length and is rejected with the chance that the refusal
//! curve gives for it; each update moves the virtual target, the mean of that curve, against the
//! error of the average.

use super::measure::{LEARNING_RATE, UPDATE_INTERVAL, seconds};
use crate::Nanos;
use rand::{Rng, RngExt};
use statrs::function::beta::beta_reg;

/// theta: spread of the refusal curve, sigma = theta sqrt(mu (1 - mu)).
const CURVE_SPREAD: f64 = 0.1;
/// w: weight of an arrival in q_avg. High, so that a node with few arrivals forgets old
/// ones soon.
pub(super) const AVERAGING_WEIGHT: f64 = 0.3;
/// T_target as a share of the shortest latency objective.
const TARGET_DELAY_FRACTION: f64 = 0.25;
/// B as a multiple of q_target.
const QUEUE_BOUND_FACTOR: f64 = 4.0;
/// Updates in one span of the measured capacity, and spans: C is the best span of a minute.
const UPDATES_PER_SPAN: usize = 5;
const CAPACITY_SPANS: usize = 24;

/// State of the random rejection. Queue lengths are in requests.
pub(super) struct BetaRed {
    cores: f64,
    /// The shortest latency objective of all operations, in seconds.
    shortest_objective_s: f64,
    /// q_cur: requests queued and unread at the last arrival.
    pub(super) queue_length: f64,
    /// Arrivals a second.
    pub(super) arrival_rate: f64,
    /// q_avg: averaged queue length.
    pub(super) averaged_queue: f64,
    /// q~_target: virtual target queue length, the mean of the refusal curve.
    pub(super) virtual_target: f64,
    /// q_target: target queue length.
    pub(super) target: f64,
    /// B: the queue length at which everything is rejected.
    pub(super) queue_bound: f64,
    /// Executions that succeeded in each span, the present update among them.
    pub(super) completions: [f64; CAPACITY_SPANS],
    update: usize,
}

impl BetaRed {
    pub(super) fn new(cores: f64, shortest_objective: Nanos) -> Self {
        BetaRed {
            cores,
            shortest_objective_s: seconds(shortest_objective),
            queue_length: 0.0,
            arrival_rate: 0.0,
            averaged_queue: 0.0,
            virtual_target: cores,
            target: cores,
            queue_bound: 0.0,
            completions: [0.0; CAPACITY_SPANS],
            update: 0,
        }
    }

    /// Algorithm 3, line 5: q_avg with an arrival that reached the machine `age` ago. What came
    /// after it and is unread counts as queued (arrival rate times age), or slow reading would hide
    /// the queue; the bound limits what one arrival that claims any age can count for.
    pub(super) fn observe_arrival(&mut self, queued: usize, age: Nanos) {
        self.queue_length =
            (queued as f64 + self.arrival_rate * seconds(age)).min(self.queue_bound);
        self.averaged_queue += AVERAGING_WEIGHT * (self.queue_length - self.averaged_queue);
    }

    /// Whether an arrival leads to a rejection, with `queued` requests including it. Everything
    /// over B does.
    pub(super) fn rejects(
        &self,
        queued: usize,
        has_spare_cpu: bool,
        random: &mut impl Rng,
    ) -> bool {
        queued as f64 > self.queue_bound
            || (!self.is_paused(has_spare_cpu)
                && random.random::<f64>() < self.rejection_probability())
    }

    /// Whether the random rejection is paused: the cores have spare time, or fewer requests than
    /// cores are queued and unread.
    fn is_paused(&self, has_spare_cpu: bool) -> bool {
        has_spare_cpu || self.queue_length < self.cores
    }

    /// Section 4: the refusal curve I_{q_avg/B}(alpha, beta) in terms of its mean mu and of theta:
    /// alpha = mu (1/theta^2 - 1), beta = (1 - mu)(1/theta^2 - 1).
    pub(super) fn rejection_probability(&self) -> f64 {
        let mean = self.virtual_target / self.queue_bound;
        let concentration = 1.0 / (CURVE_SPREAD * CURVE_SPREAD) - 1.0;
        beta_reg(
            mean * concentration,
            (1.0 - mean) * concentration,
            (self.averaged_queue / self.queue_bound).clamp(0.0, 1.0),
        )
    }

    /// Counts an execution that succeeded. Others do not count, or quick failures would pass for
    /// capacity.
    pub(super) fn count_completion(&mut self) {
        self.completions[self.update / UPDATES_PER_SPAN] += 1.0;
    }

    /// Learns the arrival rate from the arrivals since the last update.
    pub(super) fn update_arrival_rate(&mut self, arrivals: f64) {
        self.arrival_rate +=
            2.0 * LEARNING_RATE * (arrivals / seconds(UPDATE_INTERVAL) - self.arrival_rate);
    }

    /// Equation 10: q_target = C T_target, with C the best completions a second of the last minute;
    /// and B from it, capped by the requests that memory can queue.
    pub(super) fn update_targets(&mut self, memory_capacity: f64) {
        let span_s = UPDATES_PER_SPAN as f64 * seconds(UPDATE_INTERVAL);
        let most = self.completions.iter().fold(0.0, |a: f64, &b| a.max(b));
        let capacity_per_s = most / span_s;
        self.target =
            (capacity_per_s * TARGET_DELAY_FRACTION * self.shortest_objective_s).max(self.cores);
        self.queue_bound = (QUEUE_BOUND_FACTOR * self.target)
            .min(memory_capacity)
            .max(self.cores + 2.0);
        self.update = (self.update + 1) % (CAPACITY_SPANS * UPDATES_PER_SPAN);
        if self.update.is_multiple_of(UPDATES_PER_SPAN) {
            self.completions[self.update / UPDATES_PER_SPAN] = 0.0;
        }
    }

    /// Algorithm 3, lines 7 to 13: moves the virtual target by mu (1 - mu)(q_target - q_avg). While
    /// the rejection is paused it returns to q_target instead, so that a calm spell does not wind
    /// it up against the next surge.
    pub(super) fn walk(&mut self, has_spare_cpu: bool) {
        let mean = self.virtual_target / self.queue_bound;
        let step = mean * (1.0 - mean) * (self.target - self.averaged_queue);
        let back = LEARNING_RATE * (self.target - self.virtual_target);
        self.virtual_target += if self.is_paused(has_spare_cpu) {
            back
        } else {
            step
        };
        let least = self.cores.max(self.queue_bound / 50.0);
        self.virtual_target = self.virtual_target.clamp(least, self.queue_bound - 1.0);
    }
}
