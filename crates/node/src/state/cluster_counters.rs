//! Counters that the node reports to the cluster: per operation, for its own process, and the most
//! frequent clients. All of them are disabled if the node reports no counters.

use super::NodeState;
use crate::actions::Actions;
use crate::request::RequestHead;
use madderpoint::{LoadBalancerId, Nanos, OperationId};
use madderpoint_shared_state::counters::{
    self, PROCESS_ROW, ProcessCounters, heavy_kind, operation_column, process_column,
};
use madderpoint_shared_state::keyed_quota::name_hash;

/// Priority weights are counted in units of one thousandth.
const THOUSANDTHS: f64 = 1000.0;

/// The node's counters and the rows of its operations.
#[derive(Debug)]
pub struct ClusterCounting {
    counters: ProcessCounters,
    /// Counter rows of the operations, by operation index.
    rows: Vec<u32>,
}

impl ClusterCounting {
    /// Creates the counters of a node that has just started.
    pub fn new(now: Nanos, operations: &[String]) -> ClusterCounting {
        // The row of a name is its 32-bit hash. The chance that a name collides with the process
        // row is about one in four billion.
        let rows = operations.iter().map(|name| name_hash(name)).collect();
        ClusterCounting {
            counters: ProcessCounters::new(unix_ms(now)),
            rows,
        }
    }
}

/// Converts the node's time, which counts from the Unix epoch, to milliseconds.
fn unix_ms(now: Nanos) -> u64 {
    now / 1_000_000
}

impl<A: Actions> NodeState<A> {
    fn with_counters(&mut self, f: impl FnOnce(&mut ProcessCounters, u64)) {
        if let Some(counting) = &mut self.cluster_counting {
            f(&mut counting.counters, unix_ms(self.now));
        }
    }

    fn counter_row(&self, operation: OperationId) -> Option<u32> {
        Some(self.cluster_counting.as_ref()?.rows[operation.0])
    }

    /// Adds `times` to a column of the row that counts the process as a whole.
    pub fn count_own(&mut self, column: usize, times: u64) {
        self.with_counters(|counters, unix_ms| counters.add(unix_ms, PROCESS_ROW, column, times));
    }

    /// Counts a request that was read.
    pub fn count_arrival(
        &mut self,
        operation: OperationId,
        load_balancer: LoadBalancerId,
        is_repeat: bool,
    ) {
        let Some(row) = self.counter_row(operation) else {
            return;
        };
        let weight = self.config.deployment.operations[operation.0].priority_weight;
        self.with_counters(|counters, unix_ms| {
            counters.add(unix_ms, row, operation_column::ARRIVED, 1);
            counters.add(
                unix_ms,
                row,
                operation_column::OFFERED_WEIGHT,
                (weight * THOUSANDTHS) as u64,
            );
            counters.record_key(unix_ms, heavy_kind::CLIENTS, load_balancer.0);
            if is_repeat {
                counters.add(unix_ms, row, operation_column::REPEATS, 1);
                counters.record_key(unix_ms, heavy_kind::REPEATERS, load_balancer.0);
            }
        });
    }

    /// Counts the answer to a request that was counted with
    /// [`count_arrival`](Self::count_arrival); `latency` is the time since its arrival.
    pub fn count_answer(&mut self, operation: OperationId, status: u16, latency: Nanos) {
        let Some(row) = self.counter_row(operation) else {
            return;
        };
        let operation = &self.config.deployment.operations[operation.0];
        let is_late = latency > operation.latency_objective;
        let fraction = if is_late {
            operation.late_weight_fraction
        } else {
            1.0
        };
        let earned = (operation.priority_weight * fraction * THOUSANDTHS) as u64;
        self.with_counters(|counters, unix_ms| match status {
            200 => {
                counters.add(unix_ms, row, operation_column::SUCCEEDED, 1);
                counters.add(unix_ms, row, operation_column::LATE, u64::from(is_late));
                counters.add(unix_ms, row, operation_column::EARNED_WEIGHT, earned);
                counters.record_latency(unix_ms, row, latency);
            }
            429 | 503 => counters.add(unix_ms, row, operation_column::REJECTED, 1),
            _ => counters.add(unix_ms, row, operation_column::FAILED, 1),
        });
    }

    /// Counts a request that was answered before it reached the admission controller, by a rule or
    /// because of its idempotency key.
    pub fn count_early_answer(
        &mut self,
        operation: OperationId,
        load_balancer: LoadBalancerId,
        status: u16,
    ) {
        self.count_arrival(operation, load_balancer, false);
        self.count_answer(operation, status, 0);
    }

    /// Counts a request that was rejected by a limit before it reached the admission controller.
    /// `cluster_key` is the key if the limit applies to the whole cluster.
    pub fn count_over_limit(&mut self, head: &RequestHead, cluster_key: Option<u64>) {
        self.count_early_answer(head.operation, head.load_balancer, 429);
        if let Some(key) = cluster_key {
            self.count_own(process_column::OVER_QUOTA, 1);
            self.with_counters(|counters, unix_ms| {
                counters.record_key(unix_ms, heavy_kind::OVER_QUOTA, key)
            });
        }
    }

    /// Counts a request that was rejected by the backend gate.
    pub fn count_gate_rejection(&mut self, head: &RequestHead) {
        self.count_early_answer(head.operation, head.load_balancer, 429);
        self.count_own(process_column::NO_BACKEND_CAPACITY, 1);
    }

    /// Returns the mean priority weight of recent requests, which is the value of a unit of the
    /// cluster's budgets at this node. `None` if no request arrived recently.
    pub fn mean_priority_weight(&self) -> Option<f64> {
        let counters = &self.cluster_counting.as_ref()?.counters;
        let (weight, arrived) = (
            counters.recent(operation_column::OFFERED_WEIGHT),
            counters.recent(operation_column::ARRIVED),
        );
        (arrived > 0).then(|| weight as f64 / THOUSANDTHS / arrived as f64)
    }

    /// Returns the counter report, with the sender's fields left at their defaults.
    pub fn counter_report(&self) -> Option<counters::CounterReport> {
        // Includes the previous window: counts added to it since the last report are in no other
        // report.
        let counting = self.cluster_counting.as_ref()?;
        Some(counting.counters.report(Default::default(), 0, 2))
    }
}
