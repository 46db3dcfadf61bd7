//! What the node counts for the fleet: by operation, of itself, and who comes most. None of it
//! where nothing is shared.

use super::NodeState;
use crate::actions::Actions;
use crate::request::Head;
use madderpoint::{LoadBalancerId, Nanos, OperationId};
use madderpoint_shared_state::counters::{
    self, PROCESS_ROW, ProcessCounters, heavy_kind, operation_column, process_column,
};
use madderpoint_shared_state::keyed_quota::name_hash;

/// Billed value is counted in thousandths.
const THOUSANDTHS: f64 = 1000.0;

/// The node's counts.
#[derive(Debug)]
pub struct Counting {
    pub tally: ProcessCounters,
    /// The rows of operations, in their order.
    rows: Vec<u32>,
}

impl Counting {
    /// Of a node that has just started.
    pub fn new(now: Nanos, operations: &[String]) -> Counting {
        // A name that comes to the process's own row counts there: one in four thousand million.
        let rows = operations.iter().map(|name| name_hash(name)).collect();
        Counting {
            tally: ProcessCounters::new(unix_ms(now)),
            rows,
        }
    }
}

/// The node's time counts from the Unix epoch.
fn unix_ms(now: Nanos) -> u64 {
    now / 1_000_000
}

impl<O: Actions> NodeState<O> {
    fn counting(&mut self, f: impl FnOnce(&mut ProcessCounters, u64)) {
        if let Some(counting) = &mut self.counting {
            f(&mut counting.tally, unix_ms(self.now));
        }
    }

    /// Something of the node itself happened.
    pub fn counts_own(&mut self, column: usize, times: u64) {
        self.counting(|tally, unix| tally.add(unix, PROCESS_ROW, column, times));
    }

    /// An invocation was read.
    pub fn counts_arrival(&mut self, op: OperationId, dispatcher: LoadBalancerId, repeats: bool) {
        let Some(row) = self.counting.as_ref().map(|counting| counting.rows[op.0]) else {
            return;
        };
        let value = self.start.deployment.operations[op.0].priority_weight;
        self.counting(|tally, unix| {
            tally.add(unix, row, operation_column::ARRIVED, 1);
            tally.add(
                unix,
                row,
                operation_column::OFFERED_WEIGHT,
                (value * THOUSANDTHS) as u64,
            );
            tally.record_key(unix, heavy_kind::CLIENTS, dispatcher.0);
            if repeats {
                tally.add(unix, row, operation_column::REPEATS, 1);
                tally.record_key(unix, heavy_kind::REPEATERS, dispatcher.0);
            }
        });
    }

    /// An invocation that arrived was answered so, after so long.
    pub fn counts_answer(&mut self, op: OperationId, status: u16, latency: Nanos) {
        let Some(row) = self.counting.as_ref().map(|counting| counting.rows[op.0]) else {
            return;
        };
        let operation = &self.start.deployment.operations[op.0];
        let is_late = latency > operation.latency_objective;
        let part = if is_late {
            operation.late_weight_fraction
        } else {
            1.0
        };
        let earned = (operation.priority_weight * part * THOUSANDTHS) as u64;
        self.counting(|tally, unix| match status {
            200 => {
                tally.add(unix, row, operation_column::SUCCEEDED, 1);
                tally.add(unix, row, operation_column::LATE, u64::from(is_late));
                tally.add(unix, row, operation_column::EARNED_WEIGHT, earned);
                tally.record_latency(unix, row, latency);
            }
            429 | 503 => tally.add(unix, row, operation_column::REJECTED, 1),
            _ => tally.add(unix, row, operation_column::FAILED, 1),
        });
    }

    /// An invocation was answered so before the decisions saw it: by a rule, or for its key.
    pub fn counts_turned_away(
        &mut self,
        (op, dispatcher): (OperationId, LoadBalancerId),
        status: u16,
    ) {
        self.counts_arrival(op, dispatcher, false);
        self.counts_answer(op, status, 0);
    }

    /// An invocation was throttled before the decisions saw it: for a limit, of which the key is
    /// told where it is one of the whole fleet, or for the room below.
    pub fn counts_refusal(&mut self, head: &Head, over: Option<u64>, for_room: bool) {
        self.counts_turned_away((head.op, head.dispatcher), 429);
        if for_room {
            self.counts_own(process_column::NO_BACKEND_CAPACITY, 1);
        }
        if let Some(key) = over {
            self.counts_own(process_column::OVER_QUOTA, 1);
            self.counting(|tally, unix| tally.record_key(unix, heavy_kind::OVER_QUOTA, key));
        }
    }

    /// The mean billed value of what came lately: what a unit of the fleet's budgets is worth here.
    pub fn mean_value(&self) -> Option<f64> {
        let tally = &self.counting.as_ref()?.tally;
        let (asked, arrived) = (
            tally.recent(operation_column::OFFERED_WEIGHT),
            tally.recent(operation_column::ARRIVED),
        );
        (arrived > 0).then(|| asked as f64 / THOUSANDTHS / arrived as f64)
    }

    /// What there is to say of it, without who says it.
    pub fn counted_word(&self) -> Option<counters::CounterReport> {
        // The window before this one too: what came to it since the last word is told with it.
        Some(
            self.counting
                .as_ref()?
                .tally
                .report(Default::default(), 0, 2),
        )
    }
}
