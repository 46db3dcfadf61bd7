//! The facts about a node and what it serves, read once at its start.

use crate::events::Nanos;

/// Whether an operation may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Carries a key by which repeats are recognised; runs once within its window.
    Keyed,
    /// Must never run twice.
    NonIdempotent,
}

/// What can be done with work that is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preemption {
    /// Nothing.
    Unsupported,
    /// It can be stopped, and its progress is lost.
    Discard,
    /// It can be stopped where it is and resumed.
    Suspend,
}

/// What the number that goes back with every answer means to load balancers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReport {
    /// There is no such number.
    Disabled,
    /// Requests ranked below it are not to be sent, with ranks from 0 to 1.
    SheddingLevel,
    /// The most requests that each load balancer may have outstanding here.
    Credit,
    /// The chance, 0 to 1, with which a load balancer does not pass this node over.
    Weight,
}

/// What executions call while they run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Downstream {
    /// Nothing.
    None,
    /// One service that all nodes share, which dies when overloaded.
    SharedService,
    /// A further tier of nodes that look after themselves.
    Tier,
}

/// One kind of request, as agreed with the clients.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// An answer within this earns its whole weight.
    pub latency_objective: Nanos,
    /// The objective grows by this multiple of the request's own work.
    pub objective_per_work: f64,
    /// After this the client has given up.
    pub client_timeout: Nanos,
    /// How long after its arrival a keyed request may come again.
    pub idempotency_window: Nanos,
    /// What an answer within the objective is worth.
    pub priority_weight: f64,
    /// The part of that weight which a later answer earns, 0 to 1.
    pub late_weight_fraction: f64,
    /// Whether its executions may make backend calls.
    pub calls_downstream: bool,
    /// The part of the weight that an answer without the backend call earns; 0 = it cannot be
    /// skipped.
    pub weight_fraction_without_call: f64,
}

/// A customer that shares the cluster with others.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its quota, over all nodes.
    pub quota_per_s: f64,
}

/// The facts about the node and what it serves, read at start.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Cores of this node.
    pub cores: usize,
    /// Memory that queued and running requests and idempotency keys share, in kilobytes.
    pub memory_kb: f64,
    /// What running takes, as a multiple of what being queued takes.
    pub run_memory_factor: f64,
    /// What one idempotency key takes, in kilobytes.
    pub idempotency_key_kb: f64,
    /// Whether the node starts cold and warms up.
    pub starts_cold: bool,
    /// The least share of full speed that a cold node starts with, 0 to 1.
    pub cold_speed_fraction: f64,
    /// The longest that it takes to become warm.
    pub warm_up_time: Nanos,
    /// Runnable executions for each core that a warm node survives.
    pub max_runnable_per_core: f64,
    /// After the notice to leave, what arrives later than this must not run.
    pub drain_grace: Nanos,
    /// Time between two readings of what has come in.
    pub read_interval: Nanos,
    /// Nodes of this tier.
    pub nodes: usize,
    /// Load balancers that send here.
    pub load_balancers: usize,
    /// After this load balancers close an idle connection themselves.
    pub client_idle_timeout: Nanos,
    /// What executions call.
    pub downstream: Downstream,
    /// This node's part of the backend calls that the shared service survives, as a mean number in
    /// flight; may be below 1.
    pub downstream_call_limit: f64,
    /// The span of that mean.
    pub downstream_call_window: Nanos,
    /// How long an abandoned call may go on at the backend.
    pub abandoned_call_linger: Nanos,
    /// What can be done with running work.
    pub preemption: Preemption,
    /// What the number sent back with every answer means.
    pub load_report: LoadReport,
    /// How long a read's answer may serve others; 0 = never.
    pub shared_answer_ttl: Nanos,
    /// The longest Retry-After that load balancers honour; 0 = none.
    pub max_retry_after: Nanos,
    /// Whether the priority weight counts for each unit of work instead of each request.
    pub weighted_by_work: bool,
    /// The part of its weight that a request beyond its tenant's quota keeps, 0 to 1.
    pub over_quota_weight_fraction: f64,
    /// The operations.
    pub operations: Vec<Operation>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
}
