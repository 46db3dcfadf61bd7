//! The side effects that decisions may request from whoever embeds them.

use crate::events::{Nanos, RequestId, TimerId};
use std::fmt;

/// What a node lets its decisions do. No call blocks; an action on a request that is already over
/// does nothing.
pub trait Host {
    /// Start a queued request, or resume a suspended one.
    fn start(&mut self, id: RequestId);
    /// Stop running work.
    fn stop(&mut self, id: RequestId);
    /// Answer that it never ran; the client is asked to stay away for `retry_after` and, with
    /// `stop_trying`, not to try another node.
    fn reject(&mut self, id: RequestId, retry_after: Nanos, stop_trying: bool);
    /// Answer with an error that promises nothing.
    fn fail(&mut self, id: RequestId);
    /// Make the backend call that an execution waits for, and abandon it after `timeout`.
    fn call_backend(&mut self, id: RequestId, timeout: Nanos);
    /// Let an execution go on without its backend call.
    fn skip_backend_call(&mut self, id: RequestId);
    /// Keep a request's idempotency key for `lifetime`.
    fn retain_idempotency_key(&mut self, id: RequestId, lifetime: Nanos);
    /// Drop a request's idempotency key.
    fn release_idempotency_key(&mut self, id: RequestId);
    /// Serve a repeat from the result of the request that it repeats.
    fn coalesce(&mut self, id: RequestId);
    /// Answer health checks with `healthy` from now on, `from_cache` or by doing real work.
    fn set_health(&mut self, healthy: bool, from_cache: bool);
    /// Send this number back with every answer from now on.
    fn report_load(&mut self, value: f64);
    /// Close connections that have been idle for `idle_for`, from now on.
    fn close_idle_connections(&mut self, idle_for: Nanos);
    /// Call [`on_timer`](crate::admission::AdmissionController::on_timer) with `timer` in `after`.
    fn set_timer(&mut self, timer: TimerId, after: Nanos);
    /// Write a line to the node's log.
    fn log(&mut self, line: fmt::Arguments<'_>);
}
