//! Counters of events since the node's start, and their names in the log.

#![warn(missing_docs)]

use crate::request_error::RequestError;
use crate::{backend, executor, fastcgi};
use std::collections::BTreeMap;

/// A kind of event that the node counts. [`Metric::name`] gives its name in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Metric {
    /// Violations of an invariant. The name starts with `invariant: `.
    Invariant(&'static str),
    /// Requests answered with an error without the admission controller, by error.
    RequestRejected(RequestError),
    /// Connections of load balancers that are no longer read because of a protocol error, by error.
    ProtocolError(fastcgi::ParseError),
    /// Connections to the backend that are no longer read because of a protocol error, by error.
    BackendProtocolError(backend::ReadError),
    /// Unexpected messages of the executor, by kind.
    ExecutorAnomaly(executor::Anomaly),
    /// Answers written after the request's client timeout.
    LateAnswers,
    /// Requested closes of connections that were void because of an event not handled yet.
    VoidedCloses,
    /// Connections that ended with an incomplete request.
    TruncatedRequests,
    /// Requests rejected because no memory was free while they were read in part.
    RequestsWithoutMemory,
    /// Requests on an unknown connection.
    RequestsWithoutConnection,
    /// Requests with the FastCGI id of a request that was still open on the same connection.
    DuplicateRequestIds,
    /// Times that the reader found a connection waiting while no slot was free.
    ConnectionsOverLimit,
    /// Requests rejected by a rule's verdict.
    RejectedByRule,
    /// Requests answered with an error by a rule's verdict.
    FailedByRule,
    /// Requests rejected by a limit of this node.
    RejectedByLimit,
    /// Requests rejected by a limit of the whole cluster.
    RejectedByClusterLimit,
    /// Requests rejected because the backend call that they need would not have been admitted.
    RejectedForBackendCapacity,
    /// Idempotency keys that rules assigned to requests of operations that cannot use them.
    UnusedRuleKeys,
    /// Backend calls requested for executions that wait for none.
    UnexpectedBackendCalls,
    /// Backend calls withheld because the service is unhealthy.
    BackendCallsWithheld,
    /// Backend calls refused by the budgets of the cluster.
    BackendCallsOverBudget,
    /// Connections to the backend that were closed because no reply arrived on them.
    SilentBackendLinks,
    /// Replies of the backend to abandoned calls.
    RepliesToAbandonedCalls,
    /// Connections to the executor that were closed because no notice arrived on them.
    SilentExecutorLinks,
    /// Executions that became uncertain after a connection to the executor broke.
    UncertainExecutions,
    /// Resume commands that may have been lost when a connection to the executor broke.
    UncertainResumes,
    /// Executions past their client timeout whose state was requested again from the executor.
    OverdueExecutions,
    /// Backend calls requested by executions that the node does not know.
    CallsOfUnknownExecutions,
    /// Ends of executions that the node does not know.
    EndsOfUnknownExecutions,
    /// Commands that the executor refused.
    RefusedCommands,
}

impl Metric {
    /// Returns the metric's name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Metric::Invariant(name) => name,
            Metric::RequestRejected(RequestError::ExecutorNotUp) => "the executor is not up",
            Metric::RequestRejected(error) => error.reason(),
            Metric::ProtocolError(cause) => cause.as_str(),
            Metric::BackendProtocolError(cause) => cause.as_str(),
            Metric::ExecutorAnomaly(anomaly) => anomaly.as_str(),
            Metric::LateAnswers => "answers after the client timeout",
            Metric::VoidedCloses => "closes voided by a new event",
            Metric::TruncatedRequests => "load balancer: request cut short",
            Metric::RequestsWithoutMemory => "rejected for lack of memory while read in part",
            Metric::RequestsWithoutConnection => "requests on no connection",
            Metric::DuplicateRequestIds => "request ids begun twice",
            Metric::ConnectionsOverLimit => "connections beyond the limit",
            Metric::RejectedByRule => "rejected by a rule",
            Metric::FailedByRule => "failed by a rule",
            Metric::RejectedByLimit => "rejected by a limit",
            Metric::RejectedByClusterLimit => "rejected by a limit of the cluster",
            Metric::RejectedForBackendCapacity => "rejected for lack of backend capacity",
            Metric::UnusedRuleKeys => "keys of rules for operations that have no use for them",
            Metric::UnexpectedBackendCalls => "backend calls of executions that wait for none",
            Metric::BackendCallsWithheld => "backend calls withheld from an unhealthy service",
            Metric::BackendCallsOverBudget => "backend calls refused by the cluster's budgets",
            Metric::SilentBackendLinks => "backend: connections gone silent",
            Metric::RepliesToAbandonedCalls => "backend: replies to abandoned calls",
            Metric::SilentExecutorLinks => "executor: links gone silent",
            Metric::UncertainExecutions => "executions uncertain after a broken link",
            Metric::UncertainResumes => "resume commands uncertain after a broken link",
            Metric::OverdueExecutions => "overdue executions asked for again",
            Metric::CallsOfUnknownExecutions => "executor: calls of unknown executions",
            Metric::EndsOfUnknownExecutions => "executor: ends of unknown executions",
            Metric::RefusedCommands => "executor: commands refused",
        }
    }
}

impl RequestError {
    /// Returns the metric that counts requests with this error.
    pub fn metric(self) -> Metric {
        Metric::RequestRejected(self)
    }
}

/// Totals of the metrics since the node's start, by name.
#[derive(Debug, Default)]
pub struct Metrics {
    totals: BTreeMap<&'static str, u64>,
    /// Sum of all totals at the last call of [`Metrics::take_changed`] that returned them.
    logged_sum: u64,
}

impl Metrics {
    /// Adds `times` to the total of a metric.
    pub fn add(&mut self, metric: Metric, times: u64) {
        *self.totals.entry(metric.name()).or_default() += times;
    }

    /// Returns all totals as text, ordered by name; `None` if no total has changed since they were
    /// last returned.
    pub fn take_changed(&mut self) -> Option<String> {
        let sum = self.totals.values().sum();
        if sum == self.logged_sum {
            return None;
        }
        self.logged_sum = sum;
        let totals: Vec<_> = self
            .totals
            .iter()
            .map(|(name, total)| format!("{name} {total}"))
            .collect();
        Some(totals.join(", "))
    }

    /// Returns the total of the metric with this name.
    #[cfg(test)]
    pub fn total(&self, name: &str) -> u64 {
        self.totals.get(name).copied().unwrap_or(0)
    }

    /// Returns the number of violations of invariants.
    #[cfg(test)]
    pub fn invariants(&self) -> u64 {
        self.totals
            .iter()
            .filter(|(name, _)| name.starts_with("invariant"))
            .map(|(_, total)| total)
            .sum()
    }
}
