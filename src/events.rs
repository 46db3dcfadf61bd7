//! Identifiers, arrivals, outcomes and gauges that a host passes to the admission controller.

/// A point in time or a duration, in whole nanoseconds. Points in time count from an arbitrary
/// fixed origin.
pub type Nanos = u64;

/// Identifies one attempt of a request at this node. Ids are not reused during the life of the
/// node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies an operation by its index in
/// [`Deployment::operations`](crate::Deployment::operations).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationId(pub usize);

/// Identifies a tenant by its index in [`Deployment::tenants`](crate::Deployment::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// Identifies the load balancer that sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadBalancerId(pub u64);

/// Identifies a timer set through [`Host::set_timer`](crate::Host::set_timer).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u64);

/// A request that was read from a connection.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Id of this attempt, unique during the life of the node.
    pub id: RequestId,
    /// Operation that is requested.
    pub operation: OperationId,
    /// Tenant on whose behalf the request was sent, if known.
    pub tenant: Option<TenantId>,
    /// Load balancer that sent the request.
    pub load_balancer: LoadBalancerId,
    /// Whether the request names a subject. Reads of the same subject can share an answer.
    pub has_subject: bool,
    /// Time for which the client will still wait, if the request carries it.
    pub time_left: Option<Nanos>,
    /// Expected work, in seconds of a standard core, if the request carries it.
    pub work_hint: Option<f64>,
    /// Memory that the request uses while it is queued, in kilobytes.
    pub queued_kb: f64,
    /// Time since the request reached the machine.
    pub age: Nanos,
    /// Earlier attempt, or earlier read of the same subject, that this request repeats.
    pub duplicate_of: Option<RequestId>,
}

/// How an execution or a coalesced wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// The execution succeeded, and the client was answered.
    Succeeded,
    /// The execution failed, and the client was answered with the error.
    Failed,
    /// The execution was stopped, or ended at a backend call because its client no longer waits.
    Cancelled,
    /// The execution never started, because the request had already ended.
    NeverStarted,
}

/// How a backend call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendCallOutcome {
    /// The call succeeded, and the execution has resumed.
    Succeeded,
    /// The call failed before anything ran downstream, so it may be retried.
    NotExecuted,
    /// The call failed and may have taken effect downstream.
    PossiblyExecuted,
    /// The call was abandoned. The backend may still be working on it.
    Abandoned,
}

/// Measurements that the host takes of the node and its process. A value that the host cannot
/// measure is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Fraction of the cores' time that was recently in use, 0 to 1.
    pub cpu_busy: Option<f64>,
    /// Number of executions that wait for a core.
    pub runnable: Option<f64>,
    /// Fraction of the memory that is in use, 0 to 1.
    pub memory_used: Option<f64>,
    /// Number of open connections.
    pub connections: Option<f64>,
}
