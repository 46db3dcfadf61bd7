//! Operator commands to one node. There are commands to send a content in chunks, in any order and
//! possibly repeated, to offer the content to the cluster once the node has checked it, and to halt
//! a rollout or roll it back. An operator's tool repeats a command whose reply was lost. A repeated
//! command gets the same reply and has no second effect.

use crate::chunks::CHUNK_BYTES;
use crate::chunks::{self, MAX_CONTENT_BYTES};
use crate::host_error::HostError;
use crate::identifiers::{Kind, RolloutId, Version};
use crate::messages::{CommandReply, OperatorCommand, command_kind};
use crate::rollout::{Outcome, Reason, Rollout};
use crate::rollout_table::RolloutTable;
use crate::stages::{Plan, Progress};
use crate::{Nanos, SECOND, splitmix64};
use std::collections::VecDeque;

/// Time since the last received chunk after which another content may replace an incomplete
/// content.
const INCOMING_IDLE_TIMEOUT: Nanos = 10 * SECOND;
/// Number of offers whose replies are kept for repeated commands.
const REMEMBERED_OFFERS: usize = 8;

/// States of a command in its reply.
pub mod state {
    /// The command took effect, now or when it was first received.
    pub const DONE: u32 = 0;
    /// The command is not finished; the operator's tool repeats it.
    pub const PENDING: u32 = 1;
    /// The command was rejected and had no effect; the reply holds the reason.
    pub const REJECTED: u32 = 2;
}

fn reply(state: u32, why: &str, rollout: u64) -> CommandReply {
    CommandReply {
        state,
        why: why.to_owned(),
        rollout,
    }
}

fn rejection(why: &str) -> CommandReply {
    reply(state::REJECTED, why, 0)
}

/// A content that is being received in chunks.
#[derive(Clone, Debug)]
struct Incoming {
    digest: [u8; 32],
    bytes: Vec<u8>,
    have: Vec<bool>,
    since: Nanos,
}

/// Identifies an offer by the digest of its content (settings) or by its version (program).
type OfferKey = ([u8; 32], Version);

#[derive(Clone, Debug)]
enum CommandOutcome {
    Checking { check: u64, since: Nanos },
    Answered(CommandReply),
}

/// The caller's next action for a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandAction {
    /// Send this reply to the operator.
    Reply(CommandReply),
    /// Have the host check an offer. Until the host has reported the result, the command is
    /// answered with [`state::PENDING`].
    CheckOffer {
        /// The number of the check, passed to [`OperatorCommands::offer_checked`].
        check: u64,
        /// The offered version of the program; `None` for settings.
        version: Option<Version>,
        /// The offered content of settings; `None` for the program.
        content: Option<Vec<u8>>,
    },
    /// End a rollout.
    End {
        /// The rollout to halt or roll back.
        id: RolloutId,
        /// The outcome to set: halted or rolled back.
        outcome: Outcome,
        /// The reason, as given by the operator.
        why: String,
    },
}

/// The state of operator commands to one node for rollouts of one kind.
#[derive(Clone, Debug, Default)]
pub struct OperatorCommands {
    incoming: Option<Incoming>,
    offers: VecDeque<(OfferKey, CommandOutcome)>,
    check_count: u64,
}

/// How long the check of an offer may take before a repeated offer starts another check.
const CHECK_TIMEOUT: Nanos = 20 * SECOND;

impl OperatorCommands {
    /// Handles a command and returns the action to take.
    pub fn handle(
        &mut self,
        now: Nanos,
        kind: Kind,
        rollouts: &RolloutTable,
        command: &OperatorCommand,
    ) -> CommandAction {
        match command.kind {
            command_kind::CHUNK if kind == Kind::Settings => {
                CommandAction::Reply(self.chunk(now, command))
            }
            command_kind::OFFER => self.offer(now, kind, command),
            command_kind::HALT | command_kind::ROLL_BACK => {
                let outcome = if command.kind == command_kind::HALT {
                    Outcome::Halted
                } else {
                    Outcome::RolledBack
                };
                let rollout = match command.rollout {
                    0 => rollouts.current(kind).or_else(|| rollouts.head(kind)),
                    id => rollouts
                        .get(RolloutId(id))
                        .filter(|rollout| rollout.kind == kind),
                };
                let Some(rollout) = rollout else {
                    return CommandAction::Reply(rejection("no such change is known here"));
                };
                if rollout.outcome >= outcome || rollout.outcome == Outcome::Rejected {
                    let why = format!("it is {} already", rollout.outcome.display_name());
                    return CommandAction::Reply(reply(state::DONE, &why, rollout.id.0));
                }
                if outcome == Outcome::Halted && rollout.outcome == Outcome::Completed {
                    return CommandAction::Reply(rejection(
                        "it is completed and can only be rolled back",
                    ));
                }
                let why = if command.why.is_empty() {
                    "requested by an operator"
                } else {
                    &command.why
                };
                CommandAction::End {
                    id: rollout.id,
                    outcome,
                    why: why.to_owned(),
                }
            }
            _ => CommandAction::Reply(rejection("unknown command")),
        }
    }

    fn chunk(&mut self, now: Nanos, command: &OperatorCommand) -> CommandReply {
        let (size, Ok(digest)) = (
            command.size as usize,
            <[u8; 32]>::try_from(command.digest.as_slice()),
        ) else {
            return rejection("chunk without a valid content digest");
        };
        if size == 0 || size > MAX_CONTENT_BYTES {
            return rejection(&format!(
                "content of {size} bytes, must be 1 to {MAX_CONTENT_BYTES}"
            ));
        }
        let is_same =
            |incoming: &Incoming| incoming.digest == digest && incoming.bytes.len() == size;
        if let Some(other) = self.incoming.as_ref().filter(|incoming| !is_same(incoming)) {
            if now < other.since + INCOMING_IDLE_TIMEOUT && !other.have.iter().all(|have| *have) {
                return reply(state::PENDING, "another content is being received", 0);
            }
            self.incoming = None;
        }
        let incoming = self.incoming.get_or_insert_with(|| Incoming {
            digest,
            bytes: vec![0; size],
            have: vec![false; chunks::count(size) as usize],
            since: now,
        });
        let from = (command.chunk as usize).saturating_mul(CHUNK_BYTES);
        if from >= size || command.bytes.len() != CHUNK_BYTES.min(size - from) {
            return rejection("chunk index or length does not match the content");
        }
        incoming.bytes[from..from + command.bytes.len()].copy_from_slice(&command.bytes);
        incoming.have[command.chunk as usize] = true;
        incoming.since = now;
        reply(state::DONE, "", 0)
    }

    fn offer(&mut self, now: Nanos, kind: Kind, command: &OperatorCommand) -> CommandAction {
        let digest = <[u8; 32]>::try_from(command.digest.as_slice()).unwrap_or_default();
        let version = Version {
            number: command.number,
            hash: command.hash,
        };
        let key = (
            digest,
            if kind == Kind::Program {
                version
            } else {
                Version::default()
            },
        );
        if let Some((_, outcome)) = self.offers.iter().find(|(known, _)| *known == key) {
            match outcome {
                CommandOutcome::Answered(reply) => {
                    return CommandAction::Reply(reply.clone());
                }
                CommandOutcome::Checking { since, .. } if now < since + CHECK_TIMEOUT => {
                    return CommandAction::Reply(reply(
                        state::PENDING,
                        "the node looks into it",
                        0,
                    ));
                }
                CommandOutcome::Checking { .. } => self.offers.retain(|(known, _)| *known != key),
            }
        }
        let (version, content) = match kind {
            Kind::Program => (Some(version), None),
            Kind::Settings => {
                let complete = self.incoming.as_ref().filter(|incoming| {
                    incoming.digest == digest && incoming.have.iter().all(|have| *have)
                });
                let Some(complete) = complete else {
                    return CommandAction::Reply(rejection(
                        "pieces of it are missing here; order it anew",
                    ));
                };
                if chunks::digest(&complete.bytes) != digest {
                    self.incoming = None;
                    return CommandAction::Reply(rejection(
                        "the content does not match its digest",
                    ));
                }
                (None, Some(complete.bytes.clone()))
            }
        };
        self.check_count += 1;
        let check = self.check_count;
        self.offers
            .push_back((key, CommandOutcome::Checking { check, since: now }));
        while self.offers.len() > REMEMBERED_OFFERS {
            self.offers.pop_front();
        }
        CommandAction::CheckOffer {
            check,
            version,
            content,
        }
    }

    /// Records the result of an offer's check. Returns the rollout to offer to the cluster and its
    /// content, unless the offer is rejected or already known.
    pub fn offer_checked(
        &mut self,
        check: u64,
        result: Result<Version, HostError>,
        (kind, me, unix_ms): (Kind, u64, u64),
        rollouts: &RolloutTable,
        promoted: Version,
        plan: &Plan,
    ) -> Option<(Rollout, Option<Vec<u8>>)> {
        let is_this_check = |outcome: &CommandOutcome| matches!(outcome, CommandOutcome::Checking { check: number, .. } if *number == check);
        let at = self
            .offers
            .iter()
            .position(|(_, outcome)| is_this_check(outcome))?;
        let (digest, _) = self.offers[at].0;
        let (reply, offered) = match result {
            Err(why) => (rejection(&why.to_string()), None),
            Ok(version) if version.number <= promoted.number => {
                let why =
                    format!("version {version} is not higher than {promoted}, which is in force");
                (rejection(&why), None)
            }
            Ok(version) => {
                match rollouts
                    .iter()
                    .find(|c| c.kind == kind && c.version == version && !c.is_over())
                {
                    Some(known) => (
                        reply(state::DONE, "it has already been offered", known.id.0),
                        None,
                    ),
                    None => {
                        let received = self
                            .incoming
                            .take()
                            .filter(|incoming| incoming.digest == digest);
                        let content = received.map(|incoming| incoming.bytes);
                        let id = RolloutId(splitmix64(
                            version.hash ^ splitmix64(me ^ splitmix64(unix_ms)),
                        ));
                        let rollout = Rollout {
                            id,
                            kind,
                            version,
                            base: promoted,
                            digest,
                            bytes: content.as_ref().map_or(0, |content| content.len() as u32),
                            by: me,
                            at_ms: unix_ms,
                            plan: plan.clone(),
                            progress: Progress::default(),
                            outcome: Outcome::InProgress,
                            reason: Reason::default(),
                        };
                        (reply(state::DONE, "", id.0), Some((rollout, content)))
                    }
                }
            }
        };
        self.offers[at].1 = CommandOutcome::Answered(reply);
        offered
    }
}

#[cfg(test)]
mod tests;
