//! All of a node's part in changes of one kind: its own, and if it is an arbiter its votes, the
//! record and the conducting.

use crate::coordinator::{Coordinator, CoordinatorAction};
use crate::messages::{CommandReply, OperatorCommand, ReceivedMessage};
use crate::node_agent::{Host, InitialState, LocalMetrics, NodeAgent};
use crate::operator_commands::{self, OperatorCommands, state};
use crate::paxos::Proposal;
use crate::rollout::{Outcome, Rollout, RolloutId, Version};
use crate::stages::Plan;
use crate::{Nanos, SECOND};

/// A window is looked at so long after its end: nodes tell their counts each five seconds, and
/// words are on their way.
const WORDS: u64 = 6000;

/// The part.
pub struct Participant<H: Host> {
    pub local: NodeAgent<H>,
    pub conduct: Coordinator,
    /// How a change that is offered here goes out.
    pub plan: Plan,
    orders: OperatorCommands,
    window_ms: u64,
    looked: Nanos,
}

impl<H: Host> Participant<H> {
    /// Of a node that has just started, among these arbiters, in a fleet that counts in windows of
    /// so many milliseconds.
    pub fn new(
        now: Nanos,
        unix_ms: u64,
        (me, zone): (u64, u32),
        start: InitialState,
        arbiters: Vec<u64>,
        window_ms: u64,
        host: H,
    ) -> Participant<H> {
        let kind = start.kept.kind;
        Participant {
            local: NodeAgent::new(now, unix_ms, (me, zone), start, host),
            conduct: Coordinator::new(now, me, kind, arbiters),
            plan: Plan::default(),
            orders: OperatorCommands::default(),
            window_ms,
            looked: 0,
        }
    }

    /// Something was told.
    pub fn told(&mut self, now: Nanos, unix_ms: u64, from: u64, told: ReceivedMessage) {
        match told {
            ReceivedMessage::NodeReport { no, report } => {
                self.conduct.report_came(from, no, report)
            }
            ReceivedMessage::PaxosReply(kind, say) if kind == self.local.kind() => {
                let acts = self.conduct.said(now, from, &say);
                self.act(now, unix_ms, acts);
            }
            told => self.local.told(now, from, told),
        }
    }

    /// Does what is due; to be called some times a second.
    pub fn wake(&mut self, now: Nanos, unix_ms: u64) {
        self.local.wake(now, unix_ms);
        if !self.conduct.is_arbiter() {
            return;
        }
        if now >= self.looked + SECOND {
            self.looked = now;
            let wanted = self.conduct.wants_counts(self.local.changes());
            // The latest window that is over, and of which words have come.
            let over = (unix_ms.saturating_sub(WORDS) / self.window_ms).checked_sub(1);
            if let (Some(from), Some(over)) = (wanted, over)
                && over >= from
            {
                for (window, samples) in self.local.host.windows(from, over) {
                    self.conduct.counted(window, &samples);
                }
            }
        }
        let members = self.local.host.members();
        let over = (unix_ms.saturating_sub(WORDS) / self.window_ms).saturating_sub(1);
        let acts = {
            let NodeAgent { host, changes, .. } = &mut self.local;
            self.conduct.wake(now, unix_ms, changes, &members, &mut || {
                host.windows(0, over)
            })
        };
        self.act(now, unix_ms, acts);
    }

    fn act(&mut self, now: Nanos, unix_ms: u64, acts: Vec<CoordinatorAction>) {
        for act in acts {
            match act {
                CoordinatorAction::Send(to, told) if to == self.local.me() => {
                    self.told(now, unix_ms, to, told)
                }
                CoordinatorAction::Send(to, told) => self.local.host.send(to, told),
                CoordinatorAction::End { change, fate, why } => {
                    self.local.end(now, unix_ms, change, fate, &why);
                }
                CoordinatorAction::Agreed(Proposal { change, reach }) => {
                    self.local.advance(now, change, &reach);
                }
            }
        }
    }

    /// Offers a change here, whose content was checked.
    pub fn offer(&mut self, now: Nanos, change: Rollout, content: Option<Vec<u8>>) {
        self.local.offer(now, change, content);
    }

    /// An operator halts a change, or takes it back.
    pub fn end(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        id: RolloutId,
        fate: Outcome,
        why: &str,
    ) -> bool {
        self.local.end(now, unix_ms, id, fate, why)
    }

    /// An operator orders something; gives what became of it.
    pub fn order(&mut self, now: Nanos, unix_ms: u64, said: &OperatorCommand) -> CommandReply {
        let kind = self.local.kind();
        match self.orders.order(now, kind, self.local.changes(), said) {
            operator_commands::CommandAction::VoterAction(answer) => answer,
            operator_commands::CommandAction::LookInto {
                no,
                version,
                content,
            } => {
                self.local.host.look_into(no, version, content);
                CommandReply {
                    state: state::LATER,
                    why: "the node looks into it".into(),
                    change: 0,
                }
            }
            operator_commands::CommandAction::End { id, fate, why } => {
                self.local.end(now, unix_ms, id, fate, &why);
                CommandReply {
                    state: state::TAKEN,
                    why: String::new(),
                    change: id.0,
                }
            }
        }
    }

    /// The node looked into an offer, and found which version it is, or why it can't be run.
    pub fn looked_into(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        no: u64,
        found: Result<Version, String>,
    ) {
        let of = (self.local.kind(), self.local.me(), unix_ms);
        let good = self.local.kept_now().good.unwrap_or(self.local.running());
        let offered =
            self.orders
                .looked_into(no, found, of, self.local.changes(), good, &self.plan);
        if let Some((change, content)) = offered {
            self.local.offer(now, change, content);
        }
    }

    /// What the node itself came to.
    pub fn own(&mut self, now: Nanos, unix_ms: u64, own: LocalMetrics) {
        self.local.own(now, unix_ms, own);
    }
}
