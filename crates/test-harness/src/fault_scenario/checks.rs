//! The final checks of a scenario: the answer to each request, all limits, and the joined event
//! record.

use super::{FaultScenario, Outcome, lock};
use crate::event_record::EventLine;
use std::process::Child;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

/// The client timeout in the nodes' settings (3 s), with 500 ms of slack for a busy machine.
pub(super) const CLIENT_TIMEOUT: Duration = Duration::from_millis(3500);
/// Number of lines before the first failure that the outcome keeps of the joined event record.
const RECORD_BEFORE_FAILURE: usize = 120;
/// Number of lines from the first failure on that the outcome keeps of the joined event record.
const RECORD_AFTER_FAILURE: usize = 10;
/// Maximum number of violations that the failure of one node lists.
const VIOLATIONS_LISTED: usize = 5;

impl FaultScenario {
    /// Stops all processes and runs the final checks.
    pub(super) fn finish(mut self) -> Outcome {
        self.check_still_running();
        self.outcome.final_settings = self.running_settings();
        self.stop.store(true, SeqCst);
        for node in &mut self.nodes {
            for load in node.load_threads.drain(..) {
                let _ = load.join();
            }
        }
        self.faults.heal();
        (0..self.nodes.len()).for_each(|n| self.stop_node(n));
        self.check_answers();
        self.check_limits();
        let joined = self.record.joined();
        self.check_rollouts(&joined);
        for line in &joined {
            if line.message.contains("panicked") || line.message.contains("invariant:") {
                self.outcome.failures.push(line.to_string());
            }
        }
        self.outcome.datagrams = self.faults.counts().into_iter().collect();
        if !self.outcome.failures.is_empty() {
            self.outcome.record_excerpt = excerpt(&joined);
        }
        std::mem::take(&mut self.outcome)
    }

    /// Checks that no process has ended unless the scenario ended it.
    fn check_still_running(&mut self) {
        for n in 0..self.nodes.len() {
            let ended = match self.nodes[n].child.as_mut().map(Child::try_wait) {
                Some(Ok(Some(status))) => Some(status),
                _ => None,
            };
            if let Some(status) = ended {
                let name = &self.nodes[n].place.name;
                self.fail(format!("{name} ended unexpectedly with {status}"));
            }
        }
    }

    /// Checks that each request has one answer in time, and was executed as the answer says.
    fn check_answers(&mut self) {
        for node in &self.nodes {
            let checker = std::mem::take(&mut *lock(&node.checker));
            match checker.verdict(&node.executor.started(), CLIENT_TIMEOUT) {
                Ok(statuses) => {
                    for (status, n) in statuses {
                        *self.outcome.statuses.entry(status).or_default() += n;
                    }
                }
                Err(violations) => {
                    let more = violations.len().saturating_sub(VIOLATIONS_LISTED);
                    let listed = violations.iter().take(VIOLATIONS_LISTED);
                    let first: Vec<String> = listed.map(ToString::to_string).collect();
                    let name = &node.place.name;
                    self.outcome
                        .failures
                        .push(format!("{name}: {first:?} and {more} more"));
                }
            }
        }
    }

    /// Checks the records of the backend service and of keyed executions against all limits.
    fn check_limits(&mut self) {
        self.outcome.backend = self.backend.recorded();
        self.outcome.keyed_executions = self.keys.execution_count();
        let mut failures = Vec::new();
        self.check_backend_limits(&mut failures);
        self.check_backend_availability(&mut failures);
        self.check_key_limits(&mut failures);
        self.outcome.failures.extend(failures);
    }

    /// Checks the backend calls in each second and in flight against the limits of the scenario.
    fn check_backend_limits(&self, failures: &mut Vec<String>) {
        let (backend, nodes) = (self.outcome.backend, self.nodes.len());
        let limit = self.script.calls_a_second as usize;
        // Unused calls may be saved up: those of 50 ms at the limit, but at least one call of each
        // node. At the edges of a second, one more call of each node may arrive.
        let saved = (limit / 20).max(nodes) + nodes;
        if limit > 0 && backend.most_in_a_second > limit + saved {
            let most = backend.most_in_a_second;
            failures.push(format!(
                "{most} backend calls in a second, {limit} and {saved} saved up allowed"
            ));
        }
        let limit = self.script.max_calls_in_flight as usize;
        // A call that was checked just before its process was paused is sent when the process
        // continues, so each pause allows one more call.
        if limit > 0 && backend.most_in_flight > limit + self.pause_count {
            failures.push(format!(
                "{} backend calls in flight, {limit} allowed",
                backend.most_in_flight
            ));
        }
    }

    /// Checks that the backend service was not overloaded. Also checks that it got no more
    /// connection attempts while it was down, and no more calls after a restart, than the scenario
    /// allows.
    fn check_backend_availability(&mut self, failures: &mut Vec<String>) {
        let backend = self.outcome.backend;
        if backend.crashes > 0 {
            failures.push(format!(
                "the backend service died {} times of too many calls in flight",
                backend.crashes
            ));
        }
        if self.script.backend.slow_start {
            let rate = f64::from(self.script.calls_a_second);
            match self.backend.excess_after_restart(rate) {
                Some(excess) if excess <= 0.0 => self.outcome.excess_after_restart = Some(excess),
                other => failures.push(format!(
                    "calls above the slow-start allowance in the worst second after a restart of \
                     the backend service: {other:?}"
                )),
            }
        }
        let tries = backend.connections_while_down;
        if let Some(most) = self.script.backend.tries_most.filter(|most| tries > *most) {
            failures.push(format!(
                "{tries} connection attempts while the backend service was down, {most} allowed"
            ));
        }
    }

    /// Checks the executions of each key against the rate and the limit in flight of the keyed
    /// quotas.
    fn check_key_limits(&self, failures: &mut Vec<String>) {
        let keys = &self.script.keys;
        let (in_flight, excess) = self
            .keys
            .worst(f64::from(keys.a_second), f64::from(keys.burst));
        // Executions are recorded when the executor receives them. Executions that the nodes
        // admitted one after the other may arrive together, one from each node.
        if keys.a_second > 0 && excess > self.nodes.len() as f64 {
            failures.push(format!(
                "a key exceeded its rate and burst by {excess:.1} executions"
            ));
        }
        if keys.max_in_flight > 0 && in_flight > keys.max_in_flight as usize + self.pause_count {
            failures.push(format!(
                "{in_flight} executions of a key in flight, {} allowed",
                keys.max_in_flight
            ));
        }
    }
}

/// Returns the lines around the first failure.
fn excerpt(joined: &[EventLine]) -> Vec<String> {
    let first = joined
        .iter()
        .position(|line| line.part == "FAILED")
        .unwrap_or(joined.len());
    let from = first.saturating_sub(RECORD_BEFORE_FAILURE);
    let to = joined.len().min(first + RECORD_AFTER_FAILURE);
    joined[from..to].iter().map(ToString::to_string).collect()
}
