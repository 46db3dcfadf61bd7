//! madderpoint decides, inside one server of a fleet, which invocations it takes, runs and
//! throttles.
//!
//! This file is the interface: the ids, the facts read at start, and the [`Host`] through which
//! decisions take effect. All decisions are in [`choice`], which knows no wire, clock, thread or
//! I/O: whoever embeds it calls one method for each thing that happens and carries out the calls
//! that come back.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;

use std::fmt;

/// A point in time or a span of it, in whole nanoseconds; points count from any fixed origin.
pub type Nanos = u64;

/// One try of an invocation at this node; never reused while the node lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An operation: its place in [`Deployment::operations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationId(pub usize);

/// A tenant: its place in [`Deployment::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(pub usize);

/// The dispatcher that sent an invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadBalancerId(pub u64);

/// A timer set through [`Host::wake`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId(pub u64);

/// Whether an operation may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Carries a mark by which repeats are known; runs once within its window.
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

/// What the number that goes back with every answer means to dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReport {
    /// There is no such number.
    Disabled,
    /// Nothing ranked below it is to be sent, with ranks from 0 to 1.
    SheddingLevel,
    /// At most so many invocations may be outstanding here for each dispatcher.
    Credit,
    /// The chance with which a dispatcher does not pass this node over.
    Weight,
}

/// What invocations call while they run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Downstream {
    /// Nothing.
    None,
    /// One dependency that all nodes share, which dies when overloaded.
    SharedService,
    /// A further tier of nodes that look after themselves.
    Tier,
}

/// How a run or a join ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// Succeeded, and the caller was answered.
    Succeeded,
    /// Errored, and the caller was told.
    Failed,
    /// Stopped, or ended at a call because nobody waits any more.
    Cancelled,
    /// Never started: the invocation was already over.
    NeverStarted,
}

/// How a call below ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendCallOutcome {
    /// It succeeded, and the run resumed by itself.
    Succeeded,
    /// It failed before anything ran there, so that it may be repeated.
    NotExecuted,
    /// It failed and may have taken effect.
    PossiblyExecuted,
    /// It was abandoned; what lies below may still be working on it.
    Abandoned,
}

/// One kind of invocation, as agreed with the callers.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Whether it may run again.
    pub effect: Idempotency,
    /// An answer within this earns the whole billed value.
    pub latency_objective: Nanos,
    /// The objective grows by this multiple of the invocation's own work.
    pub objective_per_work: f64,
    /// After this the client has given up.
    pub client_timeout: Nanos,
    /// How long after its arrival a tokened invocation may come again.
    pub idempotency_window: Nanos,
    /// What an answer within the objective earns.
    pub priority_weight: f64,
    /// The part of that which a later answer earns.
    pub late_weight_fraction: f64,
    /// Whether its runs may call below.
    pub calls_downstream: bool,
    /// The part of the billed value that an answer without the call earns.
    pub weight_fraction_without_call: f64,
}

/// One of those who share the fleet.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Invocations a second within its share, over all nodes.
    pub quota_per_s: f64,
}

/// The facts about the node and what it serves, read at start.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Cores of this node.
    pub cores: usize,
    /// Memory that held and running invocations and remembered keys share.
    pub memory_kb: f64,
    /// What running takes, as a multiple of what being held takes.
    pub run_memory_factor: f64,
    /// What one remembered key takes.
    pub idempotency_key_kb: f64,
    /// Whether the node starts cold.
    pub cold: bool,
    /// The least share of full speed that a cold node starts with.
    pub cold_speed_fraction: f64,
    /// The longest that it takes to become warm.
    pub warm_up_time: Nanos,
    /// Running invocations on the cores, for each core, that a warm node survives.
    pub max_runnable_per_core: f64,
    /// After the notice to leave, what arrives later than this must not run.
    pub drain_grace: Nanos,
    /// Time between two readings of what has come in.
    pub step: Nanos,
    /// Nodes of this tier.
    pub nodes: usize,
    /// Dispatchers that send here.
    pub dispatchers: usize,
    /// After this dispatchers close an idle connection themselves.
    pub client_idle_timeout: Nanos,
    /// What lies below.
    pub below: Downstream,
    /// This node's part of the calls that what lies below survives, as a mean of those in hand.
    pub downstream_call_limit: f64,
    /// The span of that mean.
    pub downstream_call_window: Nanos,
    /// How long an abandoned call may go on below.
    pub abandoned_call_linger: Nanos,
    /// What can be done with running work.
    pub halt: Preemption,
    /// What the advertised number means.
    pub advert: LoadReport,
    /// How long a read's answer may serve others; 0 = never.
    pub shared_answer_ttl: Nanos,
    /// The longest time to stay away that dispatchers honour; 0 = none.
    pub max_retry_after: Nanos,
    /// Whether the billed value counts for each unit of work instead of each invocation.
    pub weighted_by_work: bool,
    /// The part of its value that an invocation beyond its tenant's share keeps.
    pub over_quota_weight_fraction: f64,
    /// The operations.
    pub operations: Vec<Operation>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
}

/// An invocation that was just read.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its operation.
    pub op: OperationId,
    /// Its tenant, where there are any.
    pub tenant: Option<TenantId>,
    /// Who sent it.
    pub dispatcher: LoadBalancerId,
    /// Whether it names a subject, so that reads of the same can share an answer.
    pub has_subject: bool,
    /// How long its caller still waits, where that is told.
    pub time_left: Option<Nanos>,
    /// The work that it should take, in seconds of a standard core, where that is told.
    pub work_hint: Option<f64>,
    /// What it takes while it is held.
    pub queued_kb: f64,
    /// Time since it reached the machine.
    pub age: Nanos,
    /// The earlier try or like read that it repeats.
    pub repeats: Option<RequestId>,
}

/// The node's gauges, each where the host has it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Share of the cores' time in use lately.
    pub cpu_busy: Option<f64>,
    /// All that waits for a core now.
    pub runnable: Option<f64>,
    /// Share of the memory in use.
    pub memory_used: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// What a node lets its decisions do. An action on an invocation that is already over does nothing.
pub trait Host {
    /// Start a held invocation, or resume a frozen one.
    fn start(&mut self, id: RequestId);
    /// Stop running work.
    fn stop(&mut self, id: RequestId);
    /// Answer that it never ran; `pause` asks the caller to stay away, `last` not to try elsewhere.
    fn reject(&mut self, id: RequestId, pause: Nanos, last: bool);
    /// Answer with an error that promises nothing.
    fn fail(&mut self, id: RequestId);
    /// Make the call that a run waits for, and abandon it after `timeout`.
    fn call_backend(&mut self, id: RequestId, timeout: Nanos);
    /// Let a run go on without its call.
    fn skip_backend_call(&mut self, id: RequestId);
    /// Remember an invocation's key.
    fn retain_idempotency_key(&mut self, id: RequestId, lifetime: Nanos);
    /// Forget an invocation's key.
    fn release_idempotency_key(&mut self, id: RequestId);
    /// Serve a repeat from the result of what it repeats.
    fn coalesce(&mut self, id: RequestId);
    /// Answer health checks so, from store or by doing real work.
    fn set_health(&mut self, good: bool, from_store: bool);
    /// Send this number back with every answer from now on.
    fn report_load(&mut self, value: f64);
    /// Close connections that were idle for so long.
    fn close_idle_connections(&mut self, after: Nanos);
    /// Call [`admission::AdmissionController::on_timer`] after this time.
    fn set_timer(&mut self, alarm: TimerId, after: Nanos);
    /// Write a line to the node's log.
    fn log(&mut self, line: fmt::Arguments<'_>);
}
