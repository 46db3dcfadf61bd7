//! What the node knows of connections, requests, executions, backend calls and timers.
//!
//! [`Node`](crate::node::Node) brings the events in; the admission controller acts on the same
//! state through [`AdmissionHost`], which holds the other end of the shared reference. What follows
//! from such an action for the admission controller itself can't reach it while it still decides:
//! it waits as a [`DeferredEvent`] until the controller has returned.
//!
//! Each part has its own file: [`connections`], [`idle_connections`] and [`health_checks`] towards
//! load balancers; [`requests`]; [`executor_link`] and [`executions`]; [`backend_calls`];
//! [`shared_limits`] and [`cluster_counters`] for what is shared with the cluster; [`drain`];
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

/// Counts what must hold and does not, and stops a debug build there.
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
pub mod cluster_counters;
mod connections;
mod drain;
mod executions;
mod executor_link;
mod health_checks;
mod idle_connections;
mod requests;
mod shared_limits;
mod timers;

pub use admission_host::AdmissionHost;
pub use backend_calls::BACKEND_LINKS;
pub use requests::{ReplyTarget, RequestContext};
pub use timers::Timer;

use crate::actions::ConnectionId;
use backend_calls::BackendState;
use cluster_counters::ClusterCounting;
use connections::ClientConnection;
use drain::DrainState;
use executor_link::ExecutorLinkState;
use health_checks::HealthChecks;
use idle_connections::IdleLimits;
use requests::OpenRequest;
use shared_limits::SharedLimits;
use timers::Timers;

/// Nanoseconds in a millisecond.
const MILLISECOND: Nanos = 1_000_000;
/// Time between two logs of the counts, and between two searches for overdue executions.
const HOUSEKEEPING_PERIOD: Nanos = 10_000 * MILLISECOND;

/// An event for the admission controller that came up while it was deciding.
pub enum DeferredEvent {
    /// A backend call ended before it was sent.
    BackendCallEnded(RequestId, BackendCallOutcome),
    /// An execution was cancelled whose start was never sent.
    ExecutionNeverStarted(RequestId),
    /// What a coalesced request waited for has ended: with a result, or without.
    CoalescedEnded(RequestId, Option<Vec<u8>>),
}

/// All that the node knows, and the actions through which it works.
pub struct NodeState<A: Actions> {
    /// Side effects.
    pub actions: A,
    /// The time of the event that is being handled.
    pub now: Nanos,
    /// Events for the admission controller, in this order.
    pub deferred: VecDeque<DeferredEvent>,
    config: Rc<DeploymentConfig>,
    timers: Timers,
    metrics: Metrics,
    connections: BTreeMap<ConnectionId, ClientConnection>,
    idle: IdleLimits,
    health_checks: HealthChecks,
    requests: BTreeMap<RequestId, OpenRequest>,
    /// Requests by correlation id.
    request_ids: HashMap<String, RequestId>,
    last_request_id: u64,
    idempotency_cache: IdempotencyCache,
    /// Hashes the keys that clients chose, so that nobody outside can make two of them collide.
    key_hasher: RandomState,
    executor: ExecutorLinkState,
    backend: BackendState,
    /// The latest load report of the admission controller.
    load_report: Option<f64>,
    drain: DrainState,
    /// Rules in force; none where none are set, and then none are evaluated.
    pub rules: Option<Box<RequestRules>>,
    /// When a timer sends the next quota request, if one is set.
    quota_request_due: Option<Nanos>,
    /// What is shared with the cluster and limits backend calls.
    pub shared: SharedLimits,
    /// Counts for the cluster; none where nothing is counted for it.
    pub cluster_counting: Option<Box<ClusterCounting>>,
}

impl<A: Actions> NodeState<A> {
    /// The state of a node without connections.
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

    /// Has a timer fire after this long.
    pub fn set_timer(&mut self, after: Nanos, timer: Timer) {
        self.timers.set(self.now.saturating_add(after), timer);
    }

    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.next_due()
    }

    /// Takes the next timer that is due.
    pub fn pop_timer(&mut self) -> Option<Timer> {
        self.timers.pop_due(self.now)
    }

    /// Adds to a count.
    pub fn count(&mut self, metric: Metric, times: u64) {
        self.metrics.add(metric, times);
    }

    /// Asks again for overdue executions, and logs the counts if any has moved.
    pub fn housekeeping(&mut self) {
        self.set_timer(HOUSEKEEPING_PERIOD, Timer::Housekeeping);
        self.ask_for_overdue_executions();
        if let Some(totals) = self.metrics.take_changed() {
            info!(target: part::METRICS, event = "totals", "{totals}");
        }
        if let Some(line) = self.rules.as_mut().and_then(|rules| rules.changed_counts()) {
            info!(target: part::RULES, event = "totals", "{line}");
        }
    }

    /// Requests that are not answered yet or whose execution goes on.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// What the admission controller last reported of the node's load.
    pub fn load_report(&self) -> Option<f64> {
        self.load_report
    }

    /// The totals.
    #[cfg(test)]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }
}
