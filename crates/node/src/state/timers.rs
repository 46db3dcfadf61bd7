//! The node's timers, by the time at which they are due.

use crate::actions::{CallId, ConnectionId};
use madderpoint::{Nanos, RequestId, TimerId};
use std::collections::BTreeMap;

/// What happens when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// A timer of the admission controller.
    Admission(TimerId),
    /// Gauges are requested, shortly before a timer of the admission controller that uses them.
    RequestGauges,
    /// A backend call's time is up.
    BackendCallTimeout(RequestId, CallId),
    /// The deep health check with this mark has had its time.
    HealthCheckTimeout(u64),
    /// A connection may have been idle for long enough; set for this time.
    IdleConnection(ConnectionId, Nanos),
    /// The link to the executor is replaced, whatever has arrived up to this mark.
    ReconnectExecutor(u64),
    /// An execution of which it is not known whether it runs has had its time to be heard of.
    UncertainExecution(RequestId),
    /// The drain grace is over.
    StopAccepting,
    /// All answers are due to be written out.
    QuietPeriod,
    /// The process ends.
    DrainOver,
    /// Periodic: overdue executions and the log of the counts.
    Housekeeping,
    /// Periodic: the load hint for the cluster.
    LoadHint,
    /// Periodic: requests for units of the cluster's budgets.
    BudgetRequests,
    /// Requests for units of keyed quotas are due.
    QuotaRequests,
    /// The budgets may have room for a queued backend call.
    QueuedCalls,
    /// An abandoned call no longer occupies its budget; whether it was a retry.
    AbandonedCallExpired(bool),
    /// Periodic: the report on the backend service.
    HealthReport,
    /// Periodic: the report of counters.
    CounterReport,
}

/// Timers that are set; those of one moment fire in the order in which they were set.
#[derive(Debug, Default)]
pub struct Timers {
    by_due: BTreeMap<(Nanos, u64), Timer>,
    set_so_far: u64,
}

impl Timers {
    /// Adds a timer that is due at this time.
    pub fn set(&mut self, due: Nanos, timer: Timer) {
        self.set_so_far += 1;
        self.by_due.insert((due, self.set_so_far), timer);
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Nanos> {
        self.by_due.first_key_value().map(|(&(due, _), _)| due)
    }

    /// Takes the next timer if it is due by now.
    pub fn pop_due(&mut self, now: Nanos) -> Option<Timer> {
        self.next_due().filter(|&due| due <= now)?;
        self.by_due.pop_first().map(|(_, timer)| timer)
    }
}
