//! The node without its I/O: takes [`Event`]s and the time, has the [`AdmissionController`] decide,
//! and acts through [`Actions`].
//!
//! The node and the admission controller share one `NodeState`: the controller reaches it through
//! its host, `AdmissionHost`, while it handles a call of the node. So the node never keeps the
//! state borrowed over a call of the controller. What such a call brings up for the controller
//! itself waits in the state as a `DeferredEvent` and is handled before the next event.
//!
//! `node/load_balancer.rs` takes requests, `node/request_policy.rs` has rules and limits look at
//! them, `node/execution.rs` takes notices of the executor and replies of the backend,
//! `node/cluster_reports.rs` tells the cluster about this node.

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

/// Kept back from the time to the stop, for answers to be written out.
const WRITE_OUT_TIME: Nanos = 150_000_000;

/// What a node shares with its cluster beside budgets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedStateOptions {
    /// The backend service whose health is watched together.
    pub service: Option<SharedService>,
    /// Whether counters are added up.
    pub counts_for_cluster: bool,
}

/// A backend service whose health the cluster watches together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedService {
    /// Its name, the same on all nodes.
    pub name: String,
    /// A call that takes longer counts as failed.
    pub slow_call_threshold: Option<Nanos>,
    /// The node's zone as a number.
    pub zone: u32,
}

/// A node.
pub struct Node<A: Actions> {
    state: Rc<RefCell<NodeState<A>>>,
    config: Rc<DeploymentConfig>,
    seed: u64,
    /// From the order to drain to the stop.
    stop_after: Nanos,
    /// Bytes for the buckets of limits.
    bucket_bytes: usize,
    /// Bytes for keys of the cluster's quotas.
    quota_bytes: usize,
    /// When units of quotas are requested; none outside a cluster.
    quota_timing: Option<QuotaTiming>,
    /// There is none before the executor is up: it says whether the node starts cold.
    admission: Option<AdmissionController<AdmissionHost<A>>>,
    /// None outside a cluster.
    cluster: Option<ClusterParticipation>,
    /// The name of the backend service that is watched.
    service_name: String,
    /// Whether each budget had no lease when that was logged last.
    budgets_at_floor: Vec<bool>,
    /// Whether no lender of quotas was heard when that was logged last.
    quotas_without_lender: bool,
}

impl<A: Actions> Node<A> {
    /// A node that waits for its executor.
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

    /// Takes part in a cluster from now on, and shares these budgets with it.
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
        state.now = now;
        state.set_timer(LOAD_HINT_PERIOD, Timer::LoadHint);
        if !budgets.is_empty() {
            // The seed of the decisions may be the same on many nodes.
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

    /// What is seen of the cluster, if there is one and membership has reported.
    pub fn cluster_view(&self) -> Option<&ClusterView> {
        self.cluster.as_ref()?.view.as_ref()
    }

    /// Lets the I/O or a test reach its own end of the actions.
    pub fn with_actions<T>(&mut self, f: impl FnOnce(&mut A) -> T) -> T {
        f(&mut self.state.borrow_mut().actions)
    }

    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.state.borrow().next_timer()
    }

    /// Whether the executor has been up, so that requests are admitted.
    pub fn is_up(&self) -> bool {
        self.admission.is_some()
    }

    /// Whether all is answered and every connection gone after the order to drain.
    pub fn has_drained(&self) -> bool {
        self.state.borrow().has_drained()
    }

    /// Fires the timers that are due.
    pub fn fire_timers(&mut self, now: Nanos) {
        while let Some(timer) = self.pop_timer(now) {
            self.on_timer(now, timer);
            self.handle_deferred(now);
        }
    }

    fn pop_timer(&mut self, now: Nanos) -> Option<Timer> {
        let mut state = self.state.borrow_mut();
        state.now = now;
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
            Timer::UncertainExecution(id) => self.state.borrow_mut().fail_uncertain_execution(id),
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

    /// Handles what happened.
    pub fn handle(&mut self, clock: ClockReading, event: Event) {
        let now = clock.now;
        self.state.borrow_mut().now = now;
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

    /// Handles what came up while the admission controller was acting.
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
            return; // it has begun before
        }
        self.update_cluster(|cluster| cluster.drain_started());
        if let Some(admission) = &mut self.admission {
            admission.start_drain(now, stop_after);
        }
    }
}

#[cfg(test)]
mod tests;
