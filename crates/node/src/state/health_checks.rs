//! Health checks of load balancers: answered from what the admission controller last decided, or,
//! if they are deep, by work at the executor.

use super::connections::OpenItem;
use super::requests::ReplyTarget;
use super::{MILLISECOND, NodeState, Timer};
use crate::actions::Actions;
use crate::executor::Command;
use crate::fastcgi::Reply;
use madderpoint::Nanos;
use std::collections::HashMap;

/// A deep health check is answered within this.
const DEEP_CHECK_TIMEOUT: Nanos = 2000 * MILLISECOND;

/// What health checks are answered, and those that wait for the executor.
#[derive(Debug)]
pub struct HealthChecks {
    /// Whether the admission controller holds the node to be healthy.
    is_healthy: bool,
    /// Whether deep checks are answered with that too.
    answers_deep_from_store: bool,
    /// Where deep checks are answered, by their mark at the executor.
    waiting: HashMap<u64, ReplyTarget>,
}

impl Default for HealthChecks {
    fn default() -> HealthChecks {
        HealthChecks {
            is_healthy: false,
            answers_deep_from_store: true,
            waiting: HashMap::new(),
        }
    }
}

impl HealthChecks {
    /// A deep check is no longer waited for.
    pub fn remove(&mut self, mark: u64) {
        self.waiting.remove(&mark);
    }
}

impl<A: Actions> NodeState<A> {
    /// Sets what checks are answered.
    pub fn set_health(&mut self, is_healthy: bool, answers_deep_from_store: bool) {
        self.health_checks.is_healthy = is_healthy;
        self.health_checks.answers_deep_from_store = answers_deep_from_store;
    }

    /// Answers a check, or has the executor do the work of a deep one.
    pub fn health_check(&mut self, target: ReplyTarget, is_deep: bool) {
        let HealthChecks {
            is_healthy,
            answers_deep_from_store,
            ..
        } = self.health_checks;
        let is_stored = !is_deep || answers_deep_from_store || !is_healthy;
        if is_stored || !self.executor.is_in_step() {
            return self.answer_health_check(target, is_healthy && is_stored);
        }
        let mark = self.executor.next_command();
        self.send_command(Command::HealthCheck(mark));
        self.health_checks.waiting.insert(mark, target);
        if let Some(connection) = self.connections.get_mut(&target.connection_id) {
            connection
                .open
                .insert(target.fastcgi_id, OpenItem::HealthCheck(mark));
        }
        self.set_timer(DEEP_CHECK_TIMEOUT, Timer::HealthCheckTimeout(mark));
    }

    /// The executor did the work of a deep check, or the check has waited for long enough.
    pub fn health_check_done(&mut self, mark: u64, is_healthy: bool) {
        if let Some(target) = self.health_checks.waiting.remove(&mark) {
            self.answer_health_check(target, is_healthy);
        }
    }

    fn answer_health_check(&mut self, target: ReplyTarget, is_healthy: bool) {
        let status = if is_healthy { 200 } else { 503 };
        let headers = self.response_headers();
        self.finish(
            target,
            Reply::answer(target.fastcgi_id, status, &headers, Vec::new()),
        );
    }
}
