//! Everything that a node does in rollouts of one kind: its node agent, its state as a voter and
//! coordinator with the metrics, and the operator commands that it receives.

use crate::coordinator::{Coordinator, CoordinatorAction};
use crate::host::Host;
use crate::host_error::HostError;
use crate::identifiers::{RolloutId, Version};
use crate::messages::{CommandReply, OperatorCommand, RolloutMessage};
use crate::node_agent::NodeIdentity;
use crate::node_agent::{InitialState, LocalMetrics, NodeAgent};
use crate::operator_commands::{self, OperatorCommands, state};
use crate::paxos::Proposal;
use crate::rollout::{Outcome, Rollout};
use crate::stages::Plan;
use crate::{Nanos, SECOND};

/// Time from the end of a window until it is recorded, in milliseconds: nodes send their counters
/// every 5 s, and the reports need time to arrive.
const COUNTER_REPORT_DELAY_MS: u64 = 6000;

/// A node's agent, voter state and operator commands for rollouts of one kind.
pub struct Participant<H: Host> {
    /// Fetches, checks and runs versions at this node.
    pub agent: NodeAgent<H>,
    /// The state as a voter and coordinator; unused while this node is not a voter.
    pub coordinator: Coordinator,
    /// The plan for rollouts that operators offer at this node from now on.
    pub plan: Plan,
    /// The state of the operator commands to this node.
    commands: OperatorCommands,
    /// The length of a window of counts, in milliseconds.
    window_ms: u64,
    last_window_check: Nanos,
}

impl<H: Host> Participant<H> {
    /// Creates the participant of a node that has just started. `voters` is in order of precedence
    /// as coordinator; `window_ms` is the length of the cluster's windows of counts, in
    /// milliseconds.
    pub fn new(
        now: Nanos,
        unix_ms: u64,
        identity: NodeIdentity,
        start: InitialState,
        voters: Vec<u64>,
        window_ms: u64,
        host: H,
    ) -> Participant<H> {
        let kind = start.persisted.kind;
        Participant {
            agent: NodeAgent::new(now, unix_ms, identity, start, host),
            coordinator: Coordinator::new(now, identity.key, kind, voters),
            plan: Plan::default(),
            commands: OperatorCommands::default(),
            window_ms,
            last_window_check: 0,
        }
    }

    /// Handles a message from the node with key `from`.
    pub fn handle_message(&mut self, now: Nanos, unix_ms: u64, from: u64, message: RolloutMessage) {
        match message {
            RolloutMessage::NodeReport { poll, report } => {
                self.coordinator.handle_report(from, poll, report)
            }
            RolloutMessage::PaxosReply(kind, reply) if kind == self.agent.kind() => {
                let actions = self.coordinator.handle_paxos_reply(now, from, &reply);
                self.perform(now, unix_ms, actions);
            }
            message => self.agent.handle_message(now, from, message),
        }
    }

    /// Performs due work. Must be called a few times a second.
    pub fn wake(&mut self, now: Nanos, unix_ms: u64) {
        self.agent.wake(now, unix_ms);
        if !self.coordinator.is_voter() {
            return;
        }
        if now >= self.last_window_check + SECOND {
            self.last_window_check = now;
            let wanted = self.coordinator.next_wanted_window(self.agent.rollouts());
            // The latest window that has ended and whose counts should have arrived.
            let last_window =
                (unix_ms.saturating_sub(COUNTER_REPORT_DELAY_MS) / self.window_ms).checked_sub(1);
            if let (Some(from), Some(last_window)) = (wanted, last_window)
                && last_window >= from
            {
                for (window, samples) in self.agent.host.windows(from, last_window) {
                    self.coordinator.record_window(window, &samples);
                }
            }
        }
        let members = self.agent.host.members();
        let last_window =
            (unix_ms.saturating_sub(COUNTER_REPORT_DELAY_MS) / self.window_ms).saturating_sub(1);
        let actions = {
            let NodeAgent { host, rollouts, .. } = &mut self.agent;
            self.coordinator
                .wake(now, unix_ms, rollouts, &members, &mut || {
                    host.windows(0, last_window)
                })
        };
        self.perform(now, unix_ms, actions);
    }

    fn perform(&mut self, now: Nanos, unix_ms: u64, actions: Vec<CoordinatorAction>) {
        for action in actions {
            match action {
                CoordinatorAction::Send(to, message) if to == self.agent.me() => {
                    self.handle_message(now, unix_ms, to, message)
                }
                CoordinatorAction::Send(to, message) => self.agent.host.send(to, message),
                CoordinatorAction::End {
                    rollout,
                    outcome,
                    why,
                } => {
                    self.agent.end(now, unix_ms, rollout, outcome, &why);
                }
                CoordinatorAction::Agreed(Proposal { rollout, progress }) => {
                    self.agent.advance(now, rollout, &progress);
                }
            }
        }
    }

    /// Offers a rollout to the cluster. The rollout's content must have been checked.
    pub fn offer(&mut self, now: Nanos, rollout: Rollout, content: Option<Vec<u8>>) {
        self.agent.offer(now, rollout, content);
    }

    /// Halts a rollout or rolls it back for an operator. Returns whether its outcome changed.
    pub fn end(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        id: RolloutId,
        outcome: Outcome,
        why: &str,
    ) -> bool {
        self.agent.end(now, unix_ms, id, outcome, why)
    }

    /// Handles an operator's command and returns the reply.
    pub fn handle_command(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        command: &OperatorCommand,
    ) -> CommandReply {
        let kind = self.agent.kind();
        match self
            .commands
            .handle(now, kind, self.agent.rollouts(), command)
        {
            operator_commands::CommandAction::Reply(reply) => reply,
            operator_commands::CommandAction::CheckOffer {
                check,
                version,
                content,
            } => {
                self.agent.host.check_offer(check, version, content);
                CommandReply {
                    state: state::PENDING,
                    why: "the node looks into it".into(),
                    rollout: 0,
                }
            }
            operator_commands::CommandAction::End { id, outcome, why } => {
                self.agent.end(now, unix_ms, id, outcome, &why);
                CommandReply {
                    state: state::DONE,
                    why: String::new(),
                    rollout: id.0,
                }
            }
        }
    }

    /// Records the result of an offer's check: the version of the content, or why it cannot be run.
    pub fn offer_checked(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        check: u64,
        result: Result<Version, HostError>,
    ) {
        let identity = (self.agent.kind(), self.agent.me(), unix_ms);
        let promoted = self
            .agent
            .persisted_state()
            .promoted
            .unwrap_or(self.agent.running());
        let offered = self.commands.offer_checked(
            check,
            result,
            identity,
            self.agent.rollouts(),
            promoted,
            &self.plan,
        );
        if let Some((rollout, content)) = offered {
            self.agent.offer(now, rollout, content);
        }
    }

    /// Records the node's own totals, see [`NodeAgent::record_local_metrics`].
    pub fn record_local_metrics(&mut self, now: Nanos, unix_ms: u64, own: LocalMetrics) {
        self.agent.record_local_metrics(now, unix_ms, own);
    }
}
