//! What the node counts since its start, and the names under which the log shows the counts.

#![warn(missing_docs)]

use crate::request_error::RequestError;
use crate::{backend, executor, fastcgi};
use std::collections::BTreeMap;

/// Something that the node counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Metric {
    /// Times that something which must hold did not; the name starts with `invariant: `.
    Invariant(&'static str),
    /// Requests answered without the admission controller, by cause.
    RequestRejected(RequestError),
    /// Connections of load balancers that can't be read on, by the parser's cause.
    ProtocolError(fastcgi::ParseError),
    /// Connections to the backend that can't be read on, by the parser's cause.
    BackendProtocolError(backend::ReadError),
    /// What the executor should not have sent, by kind.
    ExecutorAnomaly(executor::Anomaly),
    /// Answers written after the request's client timeout.
    LateAnswers,
    /// Orders to close a connection that were void, for an event was on its way.
    VoidedCloses,
    /// Connections that ended with a part of a request on them.
    TruncatedRequests,
    /// Requests on a connection that is not known.
    RequestsWithoutConnection,
    /// Requests that used a FastCGI id while it was open.
    DuplicateRequestIds,
    /// Connections that waited for a free slot.
    ConnectionsOverLimit,
    /// Requests rejected by a rule's verdict.
    RejectedByRule,
    /// Requests answered with an error by a rule's verdict.
    FailedByRule,
    /// Requests rejected by a limit of this node.
    RejectedByLimit,
    /// Requests rejected by a limit of the whole cluster.
    RejectedByClusterLimit,
    /// Requests rejected because the backend call that they need would not be admitted.
    RejectedForBackendCapacity,
    /// Keys that rules gave to operations that can't use one.
    UnusedRuleKeys,
    /// Backend calls wanted for executions that wait for none.
    UnexpectedBackendCalls,
    /// Backend calls withheld because of the service's health.
    BackendCallsWithheld,
    /// Backend calls refused by the budgets of the cluster.
    BackendCallsOverBudget,
    /// Connections to the backend that were closed because nothing came on them.
    SilentBackendLinks,
    /// Replies of the backend to calls that were no longer awaited.
    RepliesToAbandonedCalls,
    /// Links to the executor that were closed because nothing came on them.
    SilentExecutorLinks,
    /// Executions of which it is not known whether they run, after a link broke.
    UncertainExecutions,
    /// Executions past their client timeout of which the executor was asked again.
    OverdueExecutions,
    /// Backend calls wanted by executions that are not known here.
    CallsOfUnknownExecutions,
    /// Ends of executions that are not known here.
    EndsOfUnknownExecutions,
    /// Commands that the executor refused.
    RefusedCommands,
}

impl Metric {
    /// The name in the log.
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
            Metric::OverdueExecutions => "overdue executions asked for again",
            Metric::CallsOfUnknownExecutions => "executor: calls of unknown executions",
            Metric::EndsOfUnknownExecutions => "executor: ends of unknown executions",
            Metric::RefusedCommands => "executor: commands refused",
        }
    }
}

impl RequestError {
    /// What counts requests with this error.
    pub fn metric(self) -> Metric {
        Metric::RequestRejected(self)
    }
}

/// Totals since the start, by name.
#[derive(Debug, Default)]
pub struct Metrics {
    totals: BTreeMap<&'static str, u64>,
    /// The sum of all totals when they were logged last.
    logged_sum: u64,
}

impl Metrics {
    /// Adds to a total.
    pub fn add(&mut self, metric: Metric, times: u64) {
        *self.totals.entry(metric.name()).or_default() += times;
    }

    /// All totals as text, by name; none if no total has moved since they were last taken.
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

    /// The total of a name.
    #[cfg(test)]
    pub fn total(&self, name: &str) -> u64 {
        self.totals.get(name).copied().unwrap_or(0)
    }

    /// How often something that must hold did not.
    #[cfg(test)]
    pub fn invariants(&self) -> u64 {
        self.totals
            .iter()
            .filter(|(name, _)| name.starts_with("invariant"))
            .map(|(_, total)| total)
            .sum()
    }
}
