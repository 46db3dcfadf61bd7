//! Checks that a request passes before it reaches the admission controller: rules, idempotency
//! keys, the backend gate and limits.

use super::Node;
use crate::actions::{Actions, ConnectionId};
use crate::fastcgi;
use crate::log::part;
use crate::metrics::Metric;
use crate::request::{Fields, RequestHead};
use crate::request_rules::{CompiledRuleSet, HeldPermits, LimitReached, RequestRules, RuleOutcome};
use crate::state::{NodeState, ReplyTarget, RequestContext};
use madderpoint::{LoadBalancerId, Nanos, OperationId};
use madderpoint_deployment_config::DeploymentConfig;
use madderpoint_rules::Verdict;
use madderpoint_shared_state::keyed_quota::KeyedQuota;
use tracing::{info, warn};

impl<A: Actions> Node<A> {
    /// Puts a validated rule set into force for requests that arrive from now on.
    pub(super) fn on_rules_changed(&mut self, now: Nanos, compiled: CompiledRuleSet) {
        let mut state = self.state.borrow_mut();
        let (rules, buckets) = (compiled.rules.rules().len(), compiled.buckets.len());
        let (kib, max_cost) = (compiled.rules.bytes() >> 10, compiled.rules.max_cost());
        let quotas: Vec<KeyedQuota> = compiled
            .quotas
            .iter()
            .map(|(_, quota)| quota.clone())
            .collect();
        match &mut state.rules {
            Some(in_force) => in_force.replace(now, compiled),
            None => {
                let rules = RequestRules::new(now, compiled, self.bucket_bytes, self.seed);
                state.rules = Some(Box::new(rules));
            }
        }
        if let (Some(timing), Some(rules)) = (self.quota_timing, &mut state.rules) {
            rules.join_cluster(now, &quotas, timing, self.quota_bytes, self.seed);
        }
        info!(
            target: part::RULES,
            rules,
            buckets,
            size_kib = kib,
            most_units_per_request = max_cost,
            "rules in force"
        );
    }

    /// Evaluates the rules for a request and writes their log lines. Returns `None` if no rule
    /// matches, no rules are in force or the request is not subject to rules.
    pub(super) fn evaluate_rules(
        state: &mut NodeState<A>,
        config: &DeploymentConfig,
        connection_id: ConnectionId,
        fields: &Fields<'_>,
        request: &fastcgi::Request,
    ) -> Option<RuleOutcome> {
        if !fields.is_subject_to_rules() {
            return None;
        }
        let (now, address) = (state.now, state.address(connection_id));
        let rules = state.rules.as_mut()?;
        let params = rules
            .rule_set()
            .pick(fastcgi::pairs(&request.params).filter_map(Result::ok));
        let facts = madderpoint_rules::Facts {
            address,
            body: &request.body,
            params,
            ..fields.facts(config)
        };
        let outcome = rules.evaluate(now, &facts);
        for line in rules.take_fault_lines() {
            warn!(target: part::RULES, event = "rule failed", "{line}");
        }
        if let Some(line) = outcome
            .as_ref()
            .and_then(|outcome| outcome.log_line.as_ref())
        {
            info!(target: part::RULES, event = "facts", "{line}");
        }
        outcome
    }

    /// Answers a request with a rule's verdict. `counted` is the operation and the load balancer
    /// that the request is counted under, if known.
    pub(super) fn answer_verdict(
        state: &mut NodeState<A>,
        target: ReplyTarget,
        counted: Option<(OperationId, LoadBalancerId)>,
        verdict: &Verdict,
    ) {
        let (status, retry_after, reason, metric) = match verdict {
            Verdict::Throttle { pause, reason } => (429, *pause, reason, Metric::RejectedByRule),
            Verdict::Error { status, reason } => (*status, 0, reason, Metric::FailedByRule),
        };
        if let Some((operation, load_balancer)) = counted {
            state.count_early_answer(operation, load_balancer, status);
        }
        state.count(metric, 1);
        state.reject_by_policy(target, status, retry_after, reason);
    }

    /// Applies idempotency keys, the backend gate and limits to a request. Returns the context for
    /// the admission controller, or `None` if the request was rejected and answered here.
    pub(super) fn admit_by_policy(
        state: &mut NodeState<A>,
        target: ReplyTarget,
        head: &RequestHead,
        outcome: RuleOutcome,
        body: &[u8],
        arrived: Nanos,
    ) -> Option<RequestContext> {
        let idempotency_key = state.idempotency_key(head, outcome.key, body, arrived);
        if outcome.key.is_some() && idempotency_key.is_none() {
            state.count(Metric::UnusedRuleKeys, 1);
        }
        if let Some(key) = &idempotency_key
            && let Err(error) = state.check_idempotency_key(key)
        {
            state.count(error.metric(), 1);
            state.count_early_answer(head.operation, head.load_balancer, error.status());
            let retry_after = state.max_retry_after();
            state.reject_by_policy(target, error.status(), retry_after, error.reason());
            return None;
        }
        let is_gated = match state.check_backend_gate(head.operation, idempotency_key) {
            Ok(is_gated) => is_gated,
            Err(retry_after) => {
                state.count(Metric::RejectedForBackendCapacity, 1);
                state.count_gate_rejection(head);
                state.reject_by_policy(target, 429, retry_after, "no room below");
                return None;
            }
        };
        let permits = match Self::acquire_permits(state, &outcome) {
            Ok(permits) => permits,
            Err(limit) => {
                Self::reject_over_limit(state, target, head, limit);
                return None;
            }
        };
        Some(RequestContext {
            idempotency_key,
            class: outcome.class.filter(|_| state.rules.is_some()),
            permits,
            is_gated,
        })
    }

    /// Acquires permits from the buckets that a rule assigned, and counts the request for its
    /// class.
    fn acquire_permits(
        state: &mut NodeState<A>,
        outcome: &RuleOutcome,
    ) -> Result<Option<HeldPermits>, LimitReached> {
        let now = state.now;
        let Some(rules) = state.rules.as_mut() else {
            return Ok(None);
        };
        let permits = if outcome.buckets.is_empty() {
            Ok(None)
        } else {
            rules.acquire(now, &outcome.buckets).map(Some)
        };
        if let Some(class) = &outcome.class {
            rules.count_arrival(class);
            if permits.is_err() {
                rules.count_answer(class, 429);
            }
        }
        if !outcome.buckets.is_empty() {
            state.set_quota_request_timer();
        }
        permits.map(|permits| permits.filter(|permits| !permits.is_empty()))
    }

    fn reject_over_limit(
        state: &mut NodeState<A>,
        target: ReplyTarget,
        head: &RequestHead,
        limit: LimitReached,
    ) {
        let (retry_after, metric, cluster_key) = match limit {
            LimitReached::Node(exceeded) => (exceeded.retry_after, Metric::RejectedByLimit, None),
            LimitReached::Cluster(exceeded, key) => (
                exceeded.retry_after,
                Metric::RejectedByClusterLimit,
                Some(key),
            ),
        };
        state.count(metric, 1);
        state.count_over_limit(head, cluster_key);
        state.reject_by_policy(target, 429, retry_after, "over a limit");
    }
}
