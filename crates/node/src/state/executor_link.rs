//! The link to the executor: commands are numbered, and the mark that comes back with gauges shows
//! which of them have arrived.

use super::{MILLISECOND, NodeState, Timer};
use crate::actions::Actions;
use crate::config::ConfigUpdate;
use crate::executor::Command;
use crate::log::part;
use crate::metrics::Metric;
use madderpoint::{Gauges, Idempotency, Nanos, RequestId};
use tracing::{info, warn};

/// Gauges are requested this long before a timer of the admission controller.
pub const GAUGES_LEAD: Nanos = 20 * MILLISECOND;
/// Gauges older than this are not used.
const GAUGES_FRESH: Nanos = 100 * MILLISECOND;
/// A link that is to be replaced has this long to show that all commands arrived.
const RECONNECT_TIMEOUT: Nanos = 100 * MILLISECOND;
/// A link is silent once this many checks found no answer. Checks are counted and not the clock,
/// for of a machine that stood still only one is late.
const SILENT_CHECKS: u32 = 5;
/// The least time between two such checks.
const SILENT_CHECK_PERIOD: Nanos = 400 * MILLISECOND;
/// An execution of which it is not known whether it runs has this long to be heard of.
const UNCERTAIN_TIMEOUT: Nanos = 1000 * MILLISECOND;

/// What is known of the link.
#[derive(Default)]
pub struct ExecutorLinkState {
    is_up: bool,
    /// Whether all that ended while there was no link is known, so that commands may be sent.
    is_in_step: bool,
    /// Commands sent, on all links.
    sent: u64,
    /// Commands known to have arrived.
    arrived: u64,
    /// The mark whose return shows that all missed notices were read.
    step_mark: u64,
    /// Whether the link is to be replaced once what was written on it is known to have arrived.
    is_reconnecting: bool,
    gauges_requested_at: Nanos,
    /// The latest gauges, and when they came.
    gauges: Option<(Nanos, Gauges)>,
    /// Whether a request for gauges has no answer yet.
    awaits_answer: bool,
    /// How often that was seen in a row.
    silent_checks: u32,
    /// When it was seen last, or the last answer came.
    checked_at: Nanos,
}

impl ExecutorLinkState {
    /// Whether commands may be sent.
    pub fn is_in_step(&self) -> bool {
        self.is_in_step
    }

    /// The number of the next command.
    pub fn next_command(&self) -> u64 {
        self.sent + 1
    }
}

impl<A: Actions> NodeState<A> {
    /// Sends a command and gives its number; 0 while it must wait until the link is in step.
    pub fn send_command(&mut self, command: Command<'_>) -> u64 {
        if !self.executor.is_in_step {
            return 0;
        }
        self.executor.sent += 1;
        self.actions.send_executor_command(command.line());
        self.executor.sent
    }

    /// A link stands; the last notice that was read before it.
    pub fn executor_connected(&mut self, last_notice: u64) {
        let executor = &mut self.executor;
        (
            executor.is_up,
            executor.is_in_step,
            executor.is_reconnecting,
        ) = (true, false, false);
        (executor.awaits_answer, executor.silent_checks) = (false, 0);
        self.actions
            .send_executor_command(Command::Open(last_notice).line());
    }

    /// The link broke.
    pub fn executor_disconnected(&mut self) {
        self.mark_executor_down();
        warn!(target: part::EXECUTOR, requests = self.requests.len(), "connection lost");
    }

    fn mark_executor_down(&mut self) {
        let executor = &mut self.executor;
        (
            executor.is_up,
            executor.is_in_step,
            executor.is_reconnecting,
        ) = (false, false, false);
    }

    /// The configuration changed. The link to the executor moves once the answer to one more
    /// request for gauges shows that what was written on the old one has arrived; commands wait
    /// meanwhile. If it were cut off at once, it would not be known of the executions on their way
    /// whether they run.
    pub fn config_changed(&mut self, changed: &ConfigUpdate) {
        let ConfigUpdate {
            peers,
            needs_restart,
        } = changed;
        info!(
            target: part::CONFIGURATION,
            executor = %peers.executor,
            service_registry = %peers.service_registry,
            backend = ?peers.backend,
            needs_restart = ?needs_restart,
            "new configuration in force"
        );
        if !self.actions.change_peers(*peers) {
            return;
        }
        if !self.executor.is_in_step {
            return self.actions.reconnect_executor(); // no commands are on their way
        }
        (self.executor.is_in_step, self.executor.is_reconnecting) = (false, true);
        self.executor.step_mark = self.executor.next_command();
        self.set_timer(
            RECONNECT_TIMEOUT,
            Timer::ReconnectExecutor(self.executor.step_mark),
        );
        self.request_gauges();
    }

    /// What was written on a link that is to be replaced has arrived up to this mark, or has had
    /// its time.
    pub fn replace_executor_link(&mut self, mark: u64) {
        if self.executor.is_reconnecting && mark >= self.executor.step_mark {
            (self.executor.is_up, self.executor.is_reconnecting) = (false, false);
            self.actions.reconnect_executor();
        }
    }

    /// The executor is up and sends all that was missed; the answer to a request made now comes
    /// after that.
    pub fn executor_booted(&mut self, is_cold: bool, up_ms: f64) {
        info!(target: part::EXECUTOR, cold = is_cold, up_ms = up_ms.round(), "connected");
        self.executor.step_mark = self.executor.next_command();
        self.request_gauges();
    }

    /// Requests gauges, unless that was done a moment ago.
    pub fn refresh_gauges(&mut self) {
        self.detect_silence();
        if self.executor.is_in_step
            && self.now >= self.executor.gauges_requested_at + GAUGES_LEAD / 2
        {
            self.request_gauges();
        }
    }

    /// Replaces a link that is open and brings nothing: all that runs would wait for its client
    /// timeout.
    fn detect_silence(&mut self) {
        let executor = &mut self.executor;
        if !executor.is_up
            || !executor.awaits_answer
            || self.now < executor.checked_at + SILENT_CHECK_PERIOD
        {
            return;
        }
        (executor.checked_at, executor.silent_checks) = (self.now, executor.silent_checks + 1);
        if executor.silent_checks >= SILENT_CHECKS {
            (executor.awaits_answer, executor.silent_checks) = (false, 0);
            self.mark_executor_down();
            self.count(Metric::SilentExecutorLinks, 1);
            warn!(
                target: part::EXECUTOR,
                requests = self.requests.len(),
                "connection silent: it is renewed"
            );
            self.actions.reconnect_executor();
        }
    }

    fn request_gauges(&mut self) {
        let executor = &mut self.executor;
        if !std::mem::replace(&mut executor.awaits_answer, true) {
            (executor.silent_checks, executor.checked_at) = (0, self.now);
        }
        executor.gauges_requested_at = self.now;
        executor.sent += 1;
        self.actions
            .send_executor_command(Command::SysInfo(executor.sent).line());
    }

    /// Gauges came, with the mark of the request for them.
    pub fn gauges_received(&mut self, mark: u64, values: Vec<f64>) {
        let executor = &mut self.executor;
        executor.gauges = Some((self.now, self.config.gauges(values.into_iter())));
        (executor.awaits_answer, executor.silent_checks) = (mark < executor.sent, 0);
        executor.checked_at = self.now;
        let arrived_before = executor.arrived;
        executor.arrived = arrived_before.max(mark);
        if executor.is_reconnecting {
            self.replace_executor_link(mark);
        } else if executor.is_up && !executor.is_in_step && mark >= executor.step_mark {
            executor.is_in_step = true;
            self.resend_commands(arrived_before);
        }
    }

    /// The gauges, without those that are too old.
    pub fn gauges(&self) -> Gauges {
        let fresh = self
            .executor
            .gauges
            .filter(|(received, _)| self.now - received <= GAUGES_FRESH);
        fresh.map_or_else(Gauges::default, |(_, gauges)| gauges)
    }

    /// Sends what waited for the link, and again what may not have arrived over the one before.
    fn resend_commands(&mut self, arrived: u64) {
        let is_lacking = |command: u64| command == 0 || command > arrived;
        let running: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.execution.is_some())
            .map(|(&id, _)| id)
            .collect();
        for id in running {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let Some(execution) = &request.execution else {
                continue;
            };
            // What must not run twice could have ended this moment, so it is only started if it
            // never was.
            let may_restart = self.idempotency(request.operation) == Idempotency::Idempotent
                || request.reply_target.is_none();
            let (start, cancel) = (execution.start_command, execution.cancel_command);
            if !execution.is_acknowledged && is_lacking(start) {
                if start == 0 || may_restart {
                    self.send_start(id)
                } else {
                    self.count(Metric::UncertainExecutions, 1);
                    self.set_timer(UNCERTAIN_TIMEOUT, Timer::UncertainExecution(id));
                }
            }
            self.resend_resume(id, is_lacking);
            if cancel.is_some_and(is_lacking) {
                self.cancel_execution(id);
            }
        }
    }

    /// The executor has not spoken of an execution since the link broke on which it was started:
    /// the client is answered now and not at its client timeout. The second start only makes the
    /// executor say whether there is such an execution, as its request is over.
    pub fn fail_uncertain_execution(&mut self, id: RequestId) {
        let is_unacknowledged = self
            .requests
            .get(&id)
            .and_then(|request| request.execution.as_ref())
            .is_some_and(|execution| !execution.is_acknowledged);
        if self.executor.is_in_step && is_unacknowledged {
            self.answer(id, 500, "", Vec::new());
            self.send_start(id);
        }
    }
}
