//! The node's state: connections, requests, executions, backend calls and timers.
//!
//! [`Node`](crate::node::Node) passes events to the state. The admission controller acts on the
//! same state through [`AdmissionHost`], which holds a second reference to it. An event for the
//! admission controller that results from such an action cannot be delivered while the controller
//! is still deciding; it is queued as a [`DeferredEvent`] until the controller has returned.
//!
//! Each part has its own file: [`connections`], [`idle_connections`], [`pacing`] and [`health_checks`] for load
//! balancers; [`requests`] and [`executed_ids`]; [`executor_link`], [`executions`] and [`resumes`]; [`backend_calls`] and [`backend_links`];
//! [`shared_limits`] and [`cluster_counters`] for state shared with the cluster; [`drain`];
//! [`timers`].

use crate::actions::Actions;
use crate::capacity::CapacityLimits;
use crate::idempotency_cache::IdempotencyCache;
use crate::log::part;
use crate::metrics::{Metric, Metrics};
use crate::request_rules::RequestRules;
use madderpoint::{BackendCallOutcome, Nanos, RequestId};
use madderpoint_deployment_config::DeploymentConfig;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::RandomState;
use std::rc::Rc;
use tracing::info;

/// Counts a violated invariant under its name, and panics in debug builds.
macro_rules! invariant {
    ($state:expr, $holds:expr, $name:literal) => {
        if !$holds {
            debug_assert!(false, $name);
            $state.count(
                crate::metrics::Metric::Invariant(concat!("invariant: ", $name)),
                1,
            );
            $state.count_own(
                madderpoint_shared_state::counters::process_column::INVARIANT_VIOLATIONS,
                1,
            );
        }
    };
}

mod admission_host;
mod backend_calls;
mod backend_links;
pub mod cluster_counters;
mod connections;
mod drain;
mod executed_ids;
mod executions;
mod executor_link;
mod health_checks;
mod idle_connections;
mod pacing;
mod requests;
mod resumes;
mod shared_limits;
mod timers;

pub use admission_host::AdmissionHost;
pub use backend_links::BACKEND_LINKS;
pub use requests::{CorrelationIdUse, ReplyTarget, RequestContext};
pub use timers::Timer;

use crate::actions::ConnectionId;
use backend_calls::BackendState;
use cluster_counters::ClusterCounting;
use connections::ClientConnection;
use drain::DrainState;
use executed_ids::ExecutedIds;
use executor_link::ExecutorLinkState;
use health_checks::HealthChecks;
use idle_connections::IdleLimits;
use requests::OpenRequest;
use shared_limits::SharedLimits;
use timers::Timers;

/// Nanoseconds in a millisecond.
const MILLISECOND: Nanos = 1_000_000;
/// Interval between log lines of the totals, and between searches for overdue executions.
const HOUSEKEEPING_PERIOD: Nanos = 10_000 * MILLISECOND;
/// A timer that is late by more than this shows a pause of the machine.
const MACHINE_PAUSE_MIN: Nanos = 500 * MILLISECOND;

/// An event for the admission controller that arose while the controller was deciding.
pub enum DeferredEvent {
    /// A backend call ended without having been sent.
    BackendCallEnded(RequestId, BackendCallOutcome),
    /// An execution was cancelled before its start command was sent.
    ExecutionNeverStarted(RequestId),
    /// The request that a coalesced request waited for has ended; `None` if it has no result.
    CoalescedEnded(RequestId, Option<Vec<u8>>),
}

/// The state of a node, and the actions through which it causes side effects.
pub struct NodeState<A: Actions> {
    /// Implementation of [`Actions`] that performs the side effects of state changes.
    pub actions: A,
    /// Time of the event that is being handled; set by [`NodeState::set_now`].
    pub now: Nanos,
    /// Total duration of the pauses of the machine so far.
    paused: Nanos,
    /// Events waiting for the admission controller, oldest first.
    pub deferred: VecDeque<DeferredEvent>,
    config: Rc<DeploymentConfig>,
    timers: Timers,
    metrics: Metrics,
    connections: BTreeMap<ConnectionId, ClientConnection>,
    idle: IdleLimits,
    health_checks: HealthChecks,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// Ids of the requests in flight by correlation id.
    request_ids: HashMap<String, RequestId>,
    last_request_id: u64,
    executed_ids: ExecutedIds,
    idempotency_cache: IdempotencyCache,
    /// Hashes keys chosen by clients with a random seed, so that clients cannot construct
    /// collisions.
    key_hasher: RandomState,
    executor: ExecutorLinkState,
    backend: BackendState,
    /// Latest load report of the admission controller; `None` if there was none yet.
    load_report: Option<f64>,
    drain: DrainState,
    /// Rules in force; `None` if no rules are configured, in which case none are evaluated.
    pub rules: Option<Box<RequestRules>>,
    /// Due time of the timer for the next quota request, if one is set.
    quota_request_due: Option<Nanos>,
    /// Limits on backend calls that the node shares with the cluster.
    pub shared: SharedLimits,
    /// Counters that are reported to the cluster; `None` if the node reports none.
    pub cluster_counting: Option<Box<ClusterCounting>>,
}

impl<A: Actions> NodeState<A> {
    /// Creates the state of a node without connections, with the housekeeping timer set.
    pub fn new(
        actions: A,
        config: Rc<DeploymentConfig>,
        has_backend: bool,
        capacity: &CapacityLimits,
    ) -> Self {
        let idle = IdleLimits::new(&config.deployment, capacity.idle_eviction_threshold);
        let mut state = NodeState {
            actions,
            now: 0,
            paused: 0,
            deferred: VecDeque::new(),
            config,
            timers: Timers::default(),
            metrics: Metrics::default(),
            connections: BTreeMap::new(),
            idle,
            health_checks: HealthChecks::default(),
            requests: BTreeMap::new(),
            request_ids: HashMap::new(),
            last_request_id: 0,
            executed_ids: ExecutedIds::new(capacity.executed_ids),
            idempotency_cache: IdempotencyCache::new(capacity.result_bytes),
            key_hasher: RandomState::new(),
            executor: ExecutorLinkState::default(),
            backend: BackendState::new(has_backend),
            load_report: None,
            drain: DrainState::default(),
            rules: None,
            quota_request_due: None,
            shared: SharedLimits::default(),
            cluster_counting: None,
        };
        state.set_timer(HOUSEKEEPING_PERIOD, Timer::Housekeeping);
        state
    }

    /// Sets the time of the next event. If a timer is late by more than [`MACHINE_PAUSE_MIN`], the
    /// time since it was due is added to the pauses of the machine.
    pub fn set_now(&mut self, now: Nanos) {
        let due = self.timers.next_due().unwrap_or(Nanos::MAX).max(self.now);
        let late = now.saturating_sub(due);
        if late > MACHINE_PAUSE_MIN {
            self.paused += late;
        }
        self.now = now;
    }

    /// Returns the time without the pauses of the machine, in which nothing that the node wrote is
    /// read.
    pub(crate) fn time_without_pauses(&self) -> Nanos {
        self.now.saturating_sub(self.paused)
    }

    /// Sets a timer that fires after the given time.
    pub fn set_timer(&mut self, after: Nanos, timer: Timer) {
        self.timers.set(self.now.saturating_add(after), timer);
    }

    /// Returns the time at which the next timer is due.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.next_due()
    }

    /// Removes and returns the next timer if it is due.
    pub fn pop_timer(&mut self) -> Option<Timer> {
        self.timers.pop_due(self.now)
    }

    /// Adds `times` to a metric.
    pub fn count(&mut self, metric: Metric, times: u64) {
        self.metrics.add(metric, times);
    }

    /// Asks the executor about overdue executions, and logs the totals that have changed since the
    /// last log line.
    pub fn housekeeping(&mut self) {
        self.set_timer(HOUSEKEEPING_PERIOD, Timer::Housekeeping);
        self.query_overdue_executions();
        if let Some(totals) = self.metrics.take_changed() {
            info!(target: part::METRICS, event = "totals", "{totals}");
        }
        if let Some(line) = self.rules.as_mut().and_then(|rules| rules.changed_counts()) {
            info!(target: part::RULES, event = "totals", "{line}");
        }
    }

    /// Returns the number of requests that are not answered yet or whose execution continues.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the latest load report of the admission controller.
    pub fn load_report(&self) -> Option<f64> {
        self.load_report
    }

    /// Returns the totals of all metrics.
    #[cfg(test)]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }
}
