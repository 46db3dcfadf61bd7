//! Health checks from load balancers. They are answered with the health last set by the admission
//! controller; a deep check may be answered by the executor instead.

use super::connections::OpenItem;
use super::requests::ReplyTarget;
use super::{MILLISECOND, NodeState, Timer};
use crate::actions::Actions;
use crate::executor::Command;
use crate::fastcgi::Reply;
use madderpoint::Nanos;
use std::collections::HashMap;

/// A deep health check that the executor has not answered within this time fails.
const DEEP_CHECK_TIMEOUT: Nanos = 2000 * MILLISECOND;

/// The health that checks are answered with, and the deep checks that wait for the executor.
#[derive(Debug)]
pub struct HealthChecks {
    /// True if the admission controller considers the node healthy, so that checks succeed.
    is_healthy: bool,
    /// Whether deep checks are answered with `is_healthy` as well, without asking the executor.
    answers_deep_from_store: bool,
    /// Reply targets of waiting deep checks by the mark that was sent to the executor.
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
    /// Removes a deep check whose client no longer waits.
    pub fn remove(&mut self, mark: u64) {
        self.waiting.remove(&mark);
    }
}

impl<A: Actions> NodeState<A> {
    /// Sets the health that checks are answered with.
    pub fn set_health(&mut self, is_healthy: bool, answers_deep_from_store: bool) {
        self.health_checks.is_healthy = is_healthy;
        self.health_checks.answers_deep_from_store = answers_deep_from_store;
    }

    /// Answers a health check, or sends a deep one to the executor. A deep check that needs the
    /// executor fails if the link is not in step.
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

    /// Answers a deep check after the executor completed it or its timeout expired.
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
