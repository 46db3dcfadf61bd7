//! Dynamic Beta RED: the random rejection that keeps the queue short. Equations and Algorithm 3 are
//! those of section 5.2 of "New RED-type TCP-AQM algorithms based on Beta distribution drop
//! functions", with q_min = 0, q_max = B, p_max = 1 and Alpha = Beta = 1; `docs/design.md` lists
//! the differences from the paper.
//!
//! Each arrival moves the averaged queue length and is rejected with the probability that the
//! refusal curve gives for that average. Each update moves the virtual target, which is the mean of
//! the curve, by the difference of target and averaged queue length.

use super::measure::{LEARNING_RATE, UPDATE_INTERVAL, seconds};
use crate::Nanos;
use rand::{Rng, RngExt};
use statrs::function::beta::beta_reg;

/// theta: spread of the refusal curve, sigma = theta sqrt(mu (1 - mu)).
const CURVE_SPREAD: f64 = 0.1;
/// w: weight of an arrival in q_avg. A high weight lets old arrivals fade soon on a node with few
/// arrivals.
pub(super) const AVERAGING_WEIGHT: f64 = 0.3;
/// T_target as a fraction of the shortest latency objective of all operations.
const TARGET_DELAY_FRACTION: f64 = 0.25;
/// B as a multiple of q_target.
const QUEUE_BOUND_FACTOR: f64 = 4.0;
/// Number of updates in one span of the capacity measurement (2.5 s).
const UPDATES_PER_SPAN: usize = 5;
/// Number of spans whose completions are kept (one minute). The span with the most completions
/// gives C.
const CAPACITY_SPANS: usize = 24;

/// State of the random rejection. Queue lengths are in requests.
pub(super) struct BetaRed {
    cores: f64,
    /// The shortest latency objective of all operations, in seconds.
    shortest_objective_s: f64,
    /// q_cur: number of requests queued and unread at the last arrival.
    pub(super) queue_length: f64,
    /// Moving average of the arrivals per second.
    pub(super) arrival_rate: f64,
    /// q_avg: averaged queue length.
    pub(super) averaged_queue: f64,
    /// q~_target: virtual target queue length, the mean of the refusal curve.
    pub(super) virtual_target: f64,
    /// q_target: target queue length.
    pub(super) target: f64,
    /// B: the queue length at which everything is rejected.
    pub(super) queue_bound: f64,
    /// Number of executions that succeeded in each span. The spans form a ring buffer; `update`
    /// determines the current span.
    pub(super) completions: [f64; CAPACITY_SPANS],
    /// Index of the current update in the ring of spans.
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

    /// Algorithm 3, line 5: updates q_avg for an arrival that reached the machine `age` ago. The
    /// requests that came after it and are unread (estimated as arrival rate times age) count as
    /// queued, since slow reading would otherwise hide the queue. The sum is capped at the queue
    /// bound, since an arrival may claim any age.
    pub(super) fn observe_arrival(&mut self, queued: usize, age: Nanos) {
        self.queue_length =
            (queued as f64 + self.arrival_rate * seconds(age)).min(self.queue_bound);
        self.averaged_queue += AVERAGING_WEIGHT * (self.queue_length - self.averaged_queue);
    }

    /// Returns whether an arrival leads to a rejection. `queued` is the number of queued requests
    /// including the arrival; a queue longer than B always leads to a rejection.
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

    /// Returns whether random rejection is paused. This is the case while the cores have spare time
    /// or fewer requests than cores are queued and unread.
    fn is_paused(&self, has_spare_cpu: bool) -> bool {
        has_spare_cpu || self.queue_length < self.cores
    }

    /// Section 4: the refusal curve I_{q_avg/B}(alpha, beta), expressed by its mean mu and theta:
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

    /// Counts an execution that succeeded. Failed executions are not counted, since quick failures
    /// would be mistaken for capacity.
    pub(super) fn count_completion(&mut self) {
        self.completions[self.update / UPDATES_PER_SPAN] += 1.0;
    }

    /// Updates the arrival rate with the number of arrivals since the last update.
    pub(super) fn update_arrival_rate(&mut self, arrivals: f64) {
        self.arrival_rate +=
            2.0 * LEARNING_RATE * (arrivals / seconds(UPDATE_INTERVAL) - self.arrival_rate);
    }

    /// Equation 10: sets q_target = C T_target, where C is the highest number of completions per
    /// second of any span in the last minute. Derives B from q_target and caps B at
    /// `memory_capacity`, the number of requests that memory can queue.
    pub(super) fn update_targets(&mut self, memory_capacity: f64) {
        let span_s = UPDATES_PER_SPAN as f64 * seconds(UPDATE_INTERVAL);
        let best_span = self.completions.iter().fold(0.0, |a: f64, &b| a.max(b));
        let capacity_per_s = best_span / span_s;
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
    /// random rejection is paused, the virtual target moves towards q_target instead; otherwise a
    /// period of low load would raise it so far that the next surge is admitted.
    pub(super) fn walk(&mut self, has_spare_cpu: bool) {
        let mean = self.virtual_target / self.queue_bound;
        let step = mean * (1.0 - mean) * (self.target - self.averaged_queue);
        let return_step = LEARNING_RATE * (self.target - self.virtual_target);
        self.virtual_target += if self.is_paused(has_spare_cpu) {
            return_step
        } else {
            step
        };
        let min_target = self.cores.max(self.queue_bound / 50.0);
        self.virtual_target = self
            .virtual_target
            .clamp(min_target, self.queue_bound - 1.0);
    }
}
