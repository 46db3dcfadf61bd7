//! The link to the executor. Commands are numbered, and the mark that is returned with gauges shows
//! which of them have arrived.

use super::{MILLISECOND, NodeState, Timer};
use crate::actions::Actions;
use crate::config::ConfigUpdate;
use crate::executor::Command;
use crate::log::part;
use crate::metrics::Metric;
use madderpoint::{Gauges, Idempotency, Nanos, RequestId};
use tracing::{info, warn};

/// Gauges are requested this long before a timer of the admission controller is due.
pub const GAUGES_LEAD: Nanos = 20 * MILLISECOND;
/// Gauges older than this are not used.
const GAUGES_MAX_AGE: Nanos = 100 * MILLISECOND;
/// Time to wait, before a link is replaced, for confirmation that all commands on it arrived.
const RECONNECT_TIMEOUT: Nanos = 100 * MILLISECOND;
/// A link counts as silent after this many consecutive checks without an answer. Checks are counted
/// instead of elapsed time, because only one check is late after the machine was paused.
const SILENT_CHECKS: u32 = 5;
/// Minimum time between two checks for silence.
const SILENT_CHECK_PERIOD: Nanos = 400 * MILLISECOND;
/// Time to wait for a notice of an uncertain execution, or of one whose resume command is uncertain,
/// before its request fails.
pub(super) const UNCERTAIN_TIMEOUT: Nanos = 1000 * MILLISECOND;

/// State of the link to the executor.
#[derive(Default)]
pub struct ExecutorLinkState {
    is_up: bool,
    /// Whether all notices missed while there was no link were read, so that commands may be sent.
    is_in_step: bool,
    /// Number of commands sent over all links so far.
    sent: u64,
    /// Number of the latest command known to have arrived.
    arrived: u64,
    /// Command number of a request for gauges. Its answer shows that all missed notices were read
    /// or, while a replacement of the link is pending, that all commands on the old link arrived.
    step_mark: u64,
    /// Whether the link is replaced once all commands written on it are known to have arrived.
    is_reconnecting: bool,
    gauges_requested_at: Nanos,
    /// Latest gauges and the time at which they were received.
    gauges: Option<(Nanos, Gauges)>,
    /// Whether a request for gauges is still unanswered.
    awaits_answer: bool,
    /// Number of consecutive checks that found a request for gauges unanswered.
    silent_checks: u32,
    /// Time of the last check that found a request for gauges unanswered, or of the last answer,
    /// whichever is later.
    checked_at: Nanos,
}

impl ExecutorLinkState {
    /// Returns whether the link is in step, so that commands may be sent.
    pub fn is_in_step(&self) -> bool {
        self.is_in_step
    }

    /// Returns the number of the next command.
    pub fn next_command(&self) -> u64 {
        self.sent + 1
    }
}

impl<A: Actions> NodeState<A> {
    /// Sends a command and returns its number. Returns 0 without sending while the link is not in
    /// step.
    pub fn send_command(&mut self, command: Command<'_>) -> u64 {
        if !self.executor.is_in_step {
            return 0;
        }
        self.executor.sent += 1;
        self.actions.send_executor_command(command.line());
        self.executor.sent
    }

    /// Handles a new link. `last_notice` is the number of the last notice read on earlier links;
    /// the executor sends the notices after it again.
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

    /// Handles the loss of the link.
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

    /// Applies a new configuration. If the executor's address changed, the link moves once the
    /// answer to one more request for gauges shows that all commands on the old link arrived;
    /// further commands wait meanwhile. If the old link were closed immediately, the executions
    /// whose commands are still on their way would become uncertain.
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
            return self.actions.reconnect_executor(); // no commands were sent on this link
        }
        (self.executor.is_in_step, self.executor.is_reconnecting) = (false, true);
        self.executor.step_mark = self.executor.next_command();
        self.set_timer(
            RECONNECT_TIMEOUT,
            Timer::ReconnectExecutor(self.executor.step_mark),
        );
        self.request_gauges();
    }

    /// Closes the link to the executor's previous address, so that a link to the new address
    /// replaces it. `mark` is the number of a command up to which all commands are known to have
    /// arrived, or the number in a due [`Timer::ReconnectExecutor`]. Does nothing if no replacement
    /// is pending, or if `mark` is below the number of the last command on the old link.
    pub fn replace_executor_link(&mut self, mark: u64) {
        if self.executor.is_reconnecting && mark >= self.executor.step_mark {
            (self.executor.is_up, self.executor.is_reconnecting) = (false, false);
            self.actions.reconnect_executor();
        }
    }

    /// Handles the boot notice: the executor is up and sends all missed notices. Requests gauges,
    /// because their answer follows the missed notices.
    pub fn executor_booted(&mut self, is_cold: bool, up_ms: f64) {
        info!(target: part::EXECUTOR, cold = is_cold, up_ms = up_ms.round(), "connected");
        self.executor.step_mark = self.executor.next_command();
        self.request_gauges();
    }

    /// Requests gauges, unless they were requested less than half of [`GAUGES_LEAD`] ago. Also
    /// checks for a silent link.
    pub fn refresh_gauges(&mut self) {
        self.detect_silence();
        if self.executor.is_in_step
            && self.now >= self.executor.gauges_requested_at + GAUGES_LEAD / 2
        {
            self.request_gauges();
        }
    }

    /// Replaces a link that is open but silent. Otherwise every running request would wait for its
    /// client timeout.
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

    /// Handles gauges. `mark` is the command number of the request that they answer; it confirms
    /// that all commands up to it arrived.
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

    /// Returns the latest gauges, or empty ones if they are older than [`GAUGES_MAX_AGE`].
    pub fn gauges(&self) -> Gauges {
        let fresh = self
            .executor
            .gauges
            .filter(|(received, _)| self.now - received <= GAUGES_MAX_AGE);
        fresh.map_or_else(Gauges::default, |(_, gauges)| gauges)
    }

    /// Sends the commands that waited for the link, and deals with those after command number
    /// `arrived`, which may have been lost with the previous link: a command is sent again only if
    /// it cannot apply to a later state of the execution than the one that it was sent for.
    fn resend_commands(&mut self, arrived: u64) {
        let is_missing = |command: u64| command == 0 || command > arrived;
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
            // A request that must not run twice may have just ended, so it is only started if no
            // start command was sent before. That it was answered does not change this: its client
            // may not have read the answer.
            let may_restart = self.idempotency(request.operation) == Idempotency::Idempotent;
            let (start, cancel) = (execution.start_command, execution.cancel_command);
            if !execution.is_acknowledged && is_missing(start) {
                if start == 0 || may_restart {
                    self.send_start(id)
                } else {
                    self.start_became_uncertain(id);
                }
            }
            self.check_resume(id, is_missing);
            self.send_pending_resume(id);
            if cancel.is_some_and(is_missing) {
                self.cancel_execution(id);
            }
        }
    }

    /// Marks an execution as uncertain: its start command may have been lost with the link.
    fn start_became_uncertain(&mut self, id: RequestId) {
        let Some(execution) = self.execution_mut(id) else {
            return;
        };
        if std::mem::replace(&mut execution.is_uncertain, true) {
            return; // its timer is set
        }
        self.count(Metric::UncertainExecutions, 1);
        self.set_timer(UNCERTAIN_TIMEOUT, Timer::UncertainExecution(id));
    }

    /// Handles an execution that is still uncertain: the executor has sent no notice of it since the
    /// link was lost on which it was started. The client is answered now instead of at its client
    /// timeout. The executor is asked about the execution only once it certainly takes the request
    /// for over, since the execution may have just ended, and the question would start it again.
    pub fn check_uncertain_execution(&mut self, id: RequestId) {
        let is_unacknowledged = self
            .execution_mut(id)
            .is_some_and(|execution| !execution.is_acknowledged);
        if !is_unacknowledged {
            return;
        }
        if !self.executor.is_in_step {
            // The notice may be among those that are sent again on the next link.
            return self.set_timer(UNCERTAIN_TIMEOUT, Timer::UncertainExecution(id));
        }
        self.answer(id, 500, "", Vec::new());
        match self.time_until_over(id) {
            0 => self.query_execution(id),
            left => self.set_timer(left, Timer::UncertainExecution(id)),
        }
    }
}
