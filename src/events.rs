//! What happens at a node, as the host reports it: identifiers, arrivals,
//! outcomes and gauges.

/// A point in time or a span of it, in whole nanoseconds; points count from any fixed origin.
pub type Nanos = u64;

/// One attempt of a request at this node; never reused while the node lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An operation: its index in [`Deployment::operations`](crate::Deployment::operations).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationId(pub usize);

/// A tenant: its index in [`Deployment::tenants`](crate::Deployment::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// The load balancer that sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadBalancerId(pub u64);

/// A timer set through [`Host::set_timer`](crate::Host::set_timer).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u64);

/// A request that was just read.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its operation.
    pub operation: OperationId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// Who sent it.
    pub load_balancer: LoadBalancerId,
    /// Whether it names a subject, so that reads of the same can share an answer.
    pub has_subject: bool,
    /// How long its client still waits, where the request carries it.
    pub time_left: Option<Nanos>,
    /// The work that it should take, in seconds of a standard core, where the request carries it.
    pub work_hint: Option<f64>,
    /// Memory that it takes while it is queued, in kilobytes.
    pub queued_kb: f64,
    /// Time since it reached the machine.
    pub age: Nanos,
    /// The earlier attempt or like read that it repeats.
    pub duplicate_of: Option<RequestId>,
}

/// How an execution or a coalesced wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// Succeeded, and the client was answered.
    Succeeded,
    /// Failed, and the client was answered with the error.
    Failed,
    /// Stopped, or ended at a backend call because nobody waits any more.
    Cancelled,
    /// Never started: the request was already over.
    NeverStarted,
}

/// How a backend call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendCallOutcome {
    /// It succeeded, and the execution resumed by itself.
    Succeeded,
    /// It failed before anything ran downstream, so that it may be repeated.
    NotExecuted,
    /// It failed and may have taken effect.
    PossiblyExecuted,
    /// It was abandoned; the backend may still be working on it.
    Abandoned,
}

/// The node's gauges, each where the host has it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Share of the cores' time in use lately, 0 to 1.
    pub cpu_busy: Option<f64>,
    /// Executions that wait for a core now.
    pub runnable: Option<f64>,
    /// Share of the memory in use, 0 to 1.
    pub memory_used: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}
