//! The node's timers, ordered by due time.

use crate::actions::{CallId, ConnectionId};
use madderpoint::{Nanos, RequestId, TimerId};
use std::collections::BTreeMap;

/// A timer, named after the action that it triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// A timer that the admission controller set.
    Admission(TimerId),
    /// Request executor gauges, shortly before a timer of the admission controller that uses them.
    RequestGauges,
    /// Timeout of a backend call.
    BackendCallTimeout(RequestId, CallId),
    /// Timeout of the deep health check with this mark, the number that the executor repeats.
    HealthCheckTimeout(u64),
    /// Check whether a connection's idle timeout has expired. The second field is the time that the
    /// timer was set for.
    IdleConnection(ConnectionId, Nanos),
    /// Replace the link to the executor, even if the commands up to the command with this number
    /// are not known to have arrived.
    ReconnectExecutor(u64),
    /// Fail a request whose start command may have been lost with the link to the executor, if the
    /// executor has sent no notice of the request's execution by now. Once the request is over for
    /// the executor too, ask it whether the execution exists.
    UncertainExecution(RequestId),
    /// Fail a request whose resume command may have been lost with the link to the executor, if the
    /// execution has sent no notice by now. The second field is the number of the notice that had
    /// requested the call.
    UncertainResume(RequestId, u64),
    /// Stop listening at the end of the drain grace.
    StopAccepting,
    /// Start the quiet period, when all answers are due to be written out.
    QuietPeriod,
    /// End the drain, and with it the process.
    DrainOver,
    /// Periodic: query overdue executions and log the totals.
    Housekeeping,
    /// Periodic: send the load hint to the cluster.
    LoadHint,
    /// Periodic: request units of the cluster's budgets.
    BudgetRequests,
    /// Send the requests for units of keyed quotas that are due.
    QuotaRequests,
    /// Send queued backend calls, because the budgets may have free units.
    QueuedCalls,
    /// Release the budget units of an abandoned call. The field tells whether the call was a retry.
    AbandonedCallExpired(bool),
    /// Periodic: send the health report on the backend service.
    HealthReport,
    /// Periodic: send the counter report.
    CounterReport,
}

/// The pending timers. Timers with the same due time fire in the order in which they were set.
#[derive(Debug, Default)]
pub struct Timers {
    by_due: BTreeMap<(Nanos, u64), Timer>,
    /// Number of timers set so far; orders timers with the same due time.
    set_count: u64,
}

impl Timers {
    /// Adds a timer that is due at the given time.
    pub fn set(&mut self, due: Nanos, timer: Timer) {
        self.set_count += 1;
        self.by_due.insert((due, self.set_count), timer);
    }

    /// Returns the time at which the next timer is due.
    pub fn next_due(&self) -> Option<Nanos> {
        self.by_due.first_key_value().map(|(&(due, _), _)| due)
    }

    /// Removes and returns the next timer if it is due by `now`.
    pub fn pop_due(&mut self, now: Nanos) -> Option<Timer> {
        self.next_due().filter(|&due| due <= now)?;
        self.by_due.pop_first().map(|(_, timer)| timer)
    }
}
