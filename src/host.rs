//! The interface through which decisions request side effects.

use crate::events::{Nanos, RequestId, TimerId};
use std::fmt;

/// Side effects that an embedder carries out for the
/// [`AdmissionController`](crate::admission::AdmissionController). Implementations must not block.
/// An action on a request that has already ended does nothing.
pub trait Host {
    /// Starts a queued request, or resumes a suspended one.
    fn start(&mut self, id: RequestId);
    /// Stops a running execution.
    fn stop(&mut self, id: RequestId);
    /// Answers that the request was rejected and never ran. The client is asked to send nothing for
    /// `retry_after` and, with `stop_trying`, not to try another node.
    fn reject(&mut self, id: RequestId, retry_after: Nanos, stop_trying: bool);
    /// Answers with an error that does not say whether the request ran.
    fn fail(&mut self, id: RequestId);
    /// Makes the backend call that an execution waits for, and abandons the call after `timeout`.
    fn call_backend(&mut self, id: RequestId, timeout: Nanos);
    /// Lets an execution continue without its backend call.
    fn skip_backend_call(&mut self, id: RequestId);
    /// Retains the idempotency key of a request for `lifetime`.
    fn retain_idempotency_key(&mut self, id: RequestId, lifetime: Nanos);
    /// Releases the idempotency key of a request.
    fn release_idempotency_key(&mut self, id: RequestId);
    /// Answers a repeat with the result of the request that it repeats.
    fn coalesce(&mut self, id: RequestId);
    /// Sets the answer to health checks to `healthy`. Health checks are answered from this value
    /// alone if `from_cache` is set, and otherwise after doing real work.
    fn set_health(&mut self, healthy: bool, from_cache: bool);
    /// Sets the load report that is sent with every answer.
    fn report_load(&mut self, value: f64);
    /// Sets the idle time after which connections are closed.
    fn close_idle_connections(&mut self, idle_for: Nanos);
    /// Sets a timer: [`on_timer`](crate::admission::AdmissionController::on_timer) is called with
    /// `timer` after the duration `after`.
    fn set_timer(&mut self, timer: TimerId, after: Nanos);
    /// Writes a line to the node's log.
    fn log(&mut self, line: fmt::Arguments<'_>);
}
