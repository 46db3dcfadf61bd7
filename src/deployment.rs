//! Configuration of a node and of the operations that it serves, read once at its start.

use crate::events::Nanos;

/// Whether an operation may run more than once for the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The operation may run any number of times.
    Idempotent,
    /// Requests carry an idempotency key by which repeats are recognised. The operation runs once
    /// within the idempotency window.
    Keyed,
    /// The operation must never run twice.
    NonIdempotent,
}

/// How a running execution can be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// An execution cannot be stopped.
    Unsupported,
    /// An execution can be stopped, and its progress is lost.
    Discard,
    /// An execution can be suspended and resumed later.
    Suspend,
}

/// Meaning of the load report that is sent to load balancers with every answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReport {
    /// No load report is sent.
    Disabled,
    /// Shedding level, 0 to 1. Load balancers do not send requests whose rank, 0 to 1, is below
    /// this level.
    SheddingLevel,
    /// Highest number of requests that each load balancer may have in flight at this node.
    Credit,
    /// Probability, 0 to 1, with which a load balancer that has selected this node for a request
    /// sends the request to this node.
    Weight,
}

/// Backend that executions call while they run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Downstream {
    /// Executions make no backend calls.
    None,
    /// One service that all nodes share and that fails when overloaded.
    SharedService,
    /// Another tier of nodes, which protect themselves from overload.
    Tier,
}

/// An operation, with the terms agreed with its clients. Times count from the arrival of a request
/// at the machine.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Whether the operation may run more than once for the same request.
    pub idempotency: Idempotency,
    /// Time within which an answer earns its whole weight.
    pub latency_objective: Nanos,
    /// Multiple of the request's work hint by which its latency objective is extended.
    pub objective_per_work: f64,
    /// Time after which the client gives up.
    pub client_timeout: Nanos,
    /// Time after the arrival of a keyed request within which repeats may arrive.
    pub idempotency_window: Nanos,
    /// Weight of an answer within the latency objective.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a later answer earns, 0 to 1.
    pub late_weight_fraction: f64,
    /// Whether executions may make backend calls.
    pub calls_downstream: bool,
    /// Fraction of the priority weight that an answer without the backend call earns, 0 to 1; 0 if
    /// the call cannot be skipped.
    pub weight_fraction_without_call: f64,
}

/// A customer that shares the cluster with other customers.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Quota of the tenant for the whole cluster, in requests per second.
    pub quota_per_s: f64,
}

/// Configuration of a node and of the operations that it serves.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of cores of this node.
    pub cores: usize,
    /// Memory that queued and running requests and idempotency keys share, in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running request as a multiple of its memory while queued.
    pub run_memory_factor: f64,
    /// Memory of one idempotency key, in kilobytes.
    pub idempotency_key_kb: f64,
    /// Whether the node starts cold and reaches full speed only after warming up.
    pub starts_cold: bool,
    /// Lower bound of the fraction of full speed at which a cold node starts, 0 to 1.
    pub cold_speed_fraction: f64,
    /// Longest time that a cold node takes to reach full speed.
    pub warm_up_time: Nanos,
    /// Highest number of runnable executions per core that a warm node can sustain.
    pub max_runnable_per_core: f64,
    /// Time after the start of a drain during which arriving requests may still run.
    pub drain_grace: Nanos,
    /// Interval at which the node reads new requests from its connections.
    pub read_interval: Nanos,
    /// Number of nodes in this tier, including this one; 0 if unknown.
    pub nodes: usize,
    /// Number of load balancers that send to this node; 0 if unknown.
    pub load_balancers: usize,
    /// Idle time after which load balancers close a connection.
    pub client_idle_timeout: Nanos,
    /// Backend that executions call.
    pub downstream: Downstream,
    /// This node's part of the backend calls that a shared service can sustain, as a mean number of
    /// calls in flight; may be below 1.
    pub downstream_call_limit: f64,
    /// Window over which the mean of `downstream_call_limit` is taken.
    pub downstream_call_window: Nanos,
    /// Time for which an abandoned call may continue to run at the backend.
    pub abandoned_call_linger: Nanos,
    /// How running executions can be stopped.
    pub preemption: Preemption,
    /// Meaning of the load report that is sent with every answer.
    pub load_report: LoadReport,
    /// Time for which the answer of a read may be shared with other reads; 0 if never.
    pub shared_answer_ttl: Nanos,
    /// Longest Retry-After that load balancers honour; 0 if they honour none.
    pub max_retry_after: Nanos,
    /// Whether the priority weight counts per unit of work instead of per request.
    pub weighted_by_work: bool,
    /// Fraction of its weight that a request over its tenant's quota keeps, 0 to 1.
    pub over_quota_weight_fraction: f64,
    /// Operations that the node serves, indexed by [`OperationId`](crate::OperationId).
    pub operations: Vec<Operation>,
    /// Tenants that share the cluster, indexed by [`TenantId`](crate::TenantId); may be empty.
    pub tenants: Vec<Tenant>,
}
