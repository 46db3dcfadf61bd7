//! The node without its I/O. [`Node`] receives [`Event`]s and clock readings, passes them to the
//! [`AdmissionController`] for decisions, and performs side effects through [`Actions`].
//!
//! The node and the admission controller share one `NodeState`. While the controller handles a call
//! from the node, it reaches the state through its host, `AdmissionHost`. The node therefore never
//! keeps the state borrowed across a call to the controller. Events for the controller that arise
//! during such a call are queued in the state as `DeferredEvent`s and handled before the next
//! event.
//!
//! `node/load_balancer.rs` handles requests, `node/request_policy.rs` applies rules and limits to
//! them, `node/execution.rs` handles executor notices and backend replies, and
//! `node/cluster_reports.rs` exchanges reports and leases with the cluster.

#![warn(missing_docs)]

use crate::actions::Actions;
use crate::capacity::CapacityLimits;
use crate::cluster::ClusterParticipation;
use crate::metrics::Metric;
use crate::state::cluster_counters::ClusterCounting;
use crate::state::{AdmissionHost, DeferredEvent, NodeState, Timer};
use madderpoint::admission::AdmissionController;
use madderpoint::{ExecutionOutcome, Nanos, TimerId};
use madderpoint_deployment_config::DeploymentConfig;
use madderpoint_membership::ClusterView;
use madderpoint_shared_state::keyed_quota::QuotaTiming;
use madderpoint_shared_state::{BackendGate, Budget, NodeBudgets, ServiceHealth};
use std::cell::RefCell;
use std::rc::Rc;

mod cluster_reports;
mod event;
mod execution;
mod load_balancer;
mod request_policy;

use cluster_reports::{
    BUDGET_REQUEST_PERIOD, COUNTER_REPORT_PERIOD, HEALTH_REPORT_PERIOD, LOAD_HINT_PERIOD,
};
pub use event::{ClockReading, Event};

/// Time reserved at the end of a drain for writing out the last answers.
const WRITE_OUT_TIME: Nanos = 150_000_000;

/// State that a node shares with its cluster in addition to budgets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedStateOptions {
    /// Backend service whose health the cluster tracks; `None` disables health reports.
    pub service: Option<SharedService>,
    /// True if the node sends counter reports, so that the cluster can add up all nodes' counters.
    pub counts_for_cluster: bool,
}

/// A backend service whose health the nodes of the cluster track together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedService {
    /// Name of the service, the same on all nodes.
    pub name: String,
    /// Calls that take longer than this count as failed; `None` disables the check.
    pub slow_call_threshold: Option<Nanos>,
    /// Hash of the name of the zone that this node runs in.
    pub zone: u32,
}

/// A node of the cluster: shared state, admission controller and reports, without I/O.
pub struct Node<A: Actions> {
    state: Rc<RefCell<NodeState<A>>>,
    config: Rc<DeploymentConfig>,
    seed: u64,
    /// Time from the drain command to the stop of the process.
    stop_after: Nanos,
    /// Memory limit for the buckets of rate and in-flight limits, in bytes.
    bucket_bytes: usize,
    /// Memory limit for the keys of the cluster's quotas, in bytes.
    quota_bytes: usize,
    /// Timing of quota requests; `None` outside a cluster.
    quota_timing: Option<QuotaTiming>,
    /// Created once the executor is up, because the executor reports whether the node starts cold.
    admission: Option<AdmissionController<AdmissionHost<A>>>,
    /// `None` outside a cluster.
    cluster: Option<ClusterParticipation>,
    /// Name of the backend service whose health is tracked; empty if there is none.
    service_name: String,
    /// Per budget: whether it had no lease when its state was last logged.
    budgets_at_floor: Vec<bool>,
    /// Whether no quota lender was reachable when this was last logged.
    quotas_without_lender: bool,
}

impl<A: Actions> Node<A> {
    /// Creates a node that waits for its executor to come up.
    pub fn new(
        actions: A,
        config: DeploymentConfig,
        seed: u64,
        stop_after: Nanos,
        has_backend: bool,
        capacity: &CapacityLimits,
    ) -> Self {
        let config = Rc::new(config);
        let state = NodeState::new(actions, Rc::clone(&config), has_backend, capacity);
        Node {
            state: Rc::new(RefCell::new(state)),
            config,
            seed,
            stop_after,
            bucket_bytes: capacity.bucket_bytes,
            quota_bytes: capacity.quota_bytes,
            quota_timing: None,
            admission: None,
            cluster: None,
            service_name: String::new(),
            budgets_at_floor: Vec::new(),
            quotas_without_lender: false,
        }
    }

    /// Makes the node a member of a cluster, sharing `budgets` and the state given in `options`.
    /// Starts the periodic timers for hints, requests and reports.
    pub fn join_cluster(
        &mut self,
        now: Nanos,
        budgets: &[Budget],
        quota_timing: QuotaTiming,
        options: &SharedStateOptions,
    ) {
        self.cluster = Some(ClusterParticipation::default());
        self.quota_timing = Some(quota_timing);
        let service = options.service.as_ref();
        let mut state = self.state.borrow_mut();
        state.set_now(now);
        state.set_timer(LOAD_HINT_PERIOD, Timer::LoadHint);
        if !budgets.is_empty() {
            // Many nodes may run with the same decision seed, so it is mixed with the start time.
            state.shared.budgets = Some(Box::new(
                NodeBudgets::new(now, budgets).with_seed(self.seed ^ now),
            ));
            state.set_timer(BUDGET_REQUEST_PERIOD, Timer::BudgetRequests);
        }
        if let Some(service) = service {
            state.shared.service_health = Some(Box::new(ServiceHealth::new(now, service.zone)));
            state.shared.slow_call_threshold = service.slow_call_threshold;
            state.set_timer(HEALTH_REPORT_PERIOD, Timer::HealthReport);
        }
        if !budgets.is_empty() || service.is_some() {
            state.shared.backend_gate = Some(Box::new(BackendGate::new(now)));
        }
        if options.counts_for_cluster {
            let counting = ClusterCounting::new(now, &self.config.operation_names);
            state.cluster_counting = Some(Box::new(counting));
            state.set_timer(COUNTER_REPORT_PERIOD, Timer::CounterReport);
        }
        self.service_name = service
            .map(|service| service.name.clone())
            .unwrap_or_default();
    }

    /// Returns the latest cluster view, or `None` outside a cluster and before the first report
    /// from membership.
    pub fn cluster_view(&self) -> Option<&ClusterView> {
        self.cluster.as_ref()?.view.as_ref()
    }

    /// Gives the I/O layer or a test access to its implementation of [`Actions`].
    pub fn with_actions<T>(&mut self, f: impl FnOnce(&mut A) -> T) -> T {
        f(&mut self.state.borrow_mut().actions)
    }

    /// Returns the time at which the next timer is due.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.state.borrow().next_timer()
    }

    /// Returns whether the executor has come up, so that requests can be admitted.
    pub fn is_up(&self) -> bool {
        self.admission.is_some()
    }

    /// Returns whether the drain is complete: every request is answered and every connection is
    /// closed, or the time for draining is over.
    pub fn has_drained(&self) -> bool {
        self.state.borrow().has_drained()
    }

    /// Fires all timers that are due at `now`.
    pub fn fire_timers(&mut self, now: Nanos) {
        while let Some(timer) = self.pop_timer(now) {
            self.on_timer(now, timer);
            self.handle_deferred(now);
        }
    }

    fn pop_timer(&mut self, now: Nanos) -> Option<Timer> {
        let mut state = self.state.borrow_mut();
        state.set_now(now);
        state.pop_timer()
    }

    fn on_timer(&mut self, now: Nanos, timer: Timer) {
        match timer {
            Timer::Admission(timer) => self.on_admission_timer(now, timer),
            Timer::BackendCallTimeout(id, call_id) => {
                let ended = self.state.borrow_mut().backend_call_timed_out(id, call_id);
                if let Some(outcome) = ended {
                    self.backend_call_ended(now, id, outcome);
                }
            }
            Timer::RequestGauges => self.state.borrow_mut().refresh_gauges(),
            Timer::HealthCheckTimeout(mark) => {
                self.state.borrow_mut().health_check_done(mark, false)
            }
            Timer::IdleConnection(connection_id, due) => {
                self.state.borrow_mut().close_if_idle(connection_id, due)
            }
            Timer::ReconnectExecutor(mark) => self.state.borrow_mut().replace_executor_link(mark),
            Timer::UncertainExecution(id) => self.state.borrow_mut().check_uncertain_execution(id),
            Timer::UncertainResume(id, notice) => {
                self.state.borrow_mut().fail_uncertain_resume(id, notice)
            }
            Timer::StopAccepting => self.state.borrow_mut().stop_accepting(),
            Timer::QuietPeriod => self.state.borrow_mut().start_quiet_period(),
            Timer::DrainOver => self.state.borrow_mut().end_drain(),
            Timer::Housekeeping => self.state.borrow_mut().housekeeping(),
            Timer::LoadHint => self.send_load_hint(now),
            Timer::BudgetRequests => self.send_budget_requests(now),
            Timer::QuotaRequests => self.send_quota_requests(),
            Timer::AbandonedCallExpired(is_retry) => {
                self.state.borrow_mut().budget_released(is_retry)
            }
            Timer::QueuedCalls => self.state.borrow_mut().send_queued_calls(),
            Timer::HealthReport => self.send_health_report(),
            Timer::CounterReport => self.send_counter_report(),
        }
    }

    fn on_admission_timer(&mut self, now: Nanos, timer: TimerId) {
        let gauges = self.state.borrow().gauges();
        if let Some(admission) = &mut self.admission {
            admission.on_timer(now, timer, gauges);
        }
    }

    /// Handles one event, including the deferred events that it causes.
    pub fn handle(&mut self, clock: ClockReading, event: Event) {
        let now = clock.now;
        self.state.borrow_mut().set_now(now);
        match event {
            Event::Connected(id, address) => self.state.borrow_mut().connected(id, address),
            Event::Disconnected(id) => self.on_disconnected(now, id),
            Event::LoadBalancer(id, event) => self.on_load_balancer_event(clock, id, event),
            Event::HalfClosed(id) => self.on_input_ended(id, None),
            Event::ProtocolError(id, cause) => self.on_input_ended(id, Some(cause)),
            Event::RequestTruncated => self.count(Metric::TruncatedRequests),
            Event::ConnectionLimitReached => self.on_connection_limit_reached(),
            Event::ListenerClosed => self.state.borrow_mut().listener_closed(),
            Event::ExecutorConnected(last) => self.state.borrow_mut().executor_connected(last),
            Event::ExecutorDisconnected => self.state.borrow_mut().executor_disconnected(),
            Event::Executor(notice) => self.on_executor_notice(now, notice),
            Event::BackendCallWritten {
                call,
                request,
                link,
            } => self.on_backend_call_written(now, call, request, link),
            Event::BackendCallNotSent(call, id) => self.on_backend_call_not_sent(now, call, id),
            Event::BackendReply(link, reply) => self.on_backend_reply(now, link, reply),
            Event::BackendDisconnected(link, cause) => {
                self.on_backend_disconnected(now, link, cause)
            }
            Event::BackendIdle(link) => self.state.borrow_mut().backend_idle(link),
            Event::Drain => self.on_drain(now),
            Event::ConfigChanged(changed) => self.state.borrow_mut().config_changed(&changed),
            Event::RulesChanged(rules) => self.on_rules_changed(now, *rules),
            Event::ClusterChanged(view) => self.on_cluster_changed(*view),
            Event::LeasesGranted(asked, leases) => self.on_leases_granted(now, asked, &leases),
            Event::QuotaGranted(grant) => self.on_quota_granted(now, &grant),
            Event::BudgetsChanged(limits) => self.on_budgets_changed(&limits),
            Event::AggregatedHealth(others) => self.on_aggregated_health(others),
            Event::StatusRequested => self.send_status_snapshot(now),
        }
        self.handle_deferred(now);
    }

    fn count(&mut self, metric: Metric) {
        self.state.borrow_mut().count(metric, 1);
    }

    /// Handles the events for the admission controller that arose while it was running.
    fn handle_deferred(&mut self, now: Nanos) {
        loop {
            let Some(event) = self.state.borrow_mut().deferred.pop_front() else {
                return;
            };
            match event {
                DeferredEvent::BackendCallEnded(id, outcome) => {
                    self.backend_call_ended(now, id, outcome)
                }
                DeferredEvent::ExecutionNeverStarted(id) => {
                    self.execution_ended(now, id, ExecutionOutcome::Cancelled, 0)
                }
                DeferredEvent::CoalescedEnded(id, result) => {
                    let answered = self.state.borrow_mut().answer_coalesced(id, result);
                    if let Some((outcome, latency)) = answered {
                        self.execution_ended(now, id, outcome, latency);
                    }
                }
            }
        }
    }

    fn on_drain(&mut self, now: Nanos) {
        let stop_after = self.stop_after.saturating_sub(WRITE_OUT_TIME);
        let grace = self.config.deployment.drain_grace;
        if !self.state.borrow_mut().start_drain(stop_after, grace) {
            return; // the drain is already in progress
        }
        self.update_cluster(|cluster| cluster.drain_started());
        if let Some(admission) = &mut self.admission {
            admission.start_drain(now, stop_after);
        }
    }
}

#[cfg(test)]
mod tests;
