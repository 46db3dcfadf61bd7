//! Operators' commands to one node: a content in chunks, which may come in any order and more than once;
//! to offer it to the cluster, once the node itself has checked it; to halt a rollout or roll it back.
//! A command may come again, for its reply may have been lost: it is replied to as before and has no
//! second effect.

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

/// A content whose chunks stopped coming makes room for another after this.
const INCOMING_IDLE_TIMEOUT: Nanos = 10 * SECOND;
/// Offers whose replies are remembered.
const REMEMBERED_OFFERS: usize = 8;

/// What became of a command.
pub mod state {
    /// Done.
    pub const DONE: u32 = 0;
    /// Not done yet; to be asked again.
    pub const PENDING: u32 = 1;
    /// Rejected.
    pub const REJECTED: u32 = 2;
}

fn answer(state: u32, why: &str, rollout: u64) -> CommandReply {
    CommandReply {
        state,
        why: why.to_owned(),
        rollout,
    }
}

fn refused(why: &str) -> CommandReply {
    answer(state::REJECTED, why, 0)
}

/// A content that comes in chunks.
#[derive(Clone, Debug)]
struct Incoming {
    digest: [u8; 32],
    bytes: Vec<u8>,
    have: Vec<bool>,
    since: Nanos,
}

/// What identifies an offer: the digest of a content, or a program's version.
type OfferKey = ([u8; 32], Version);

#[derive(Clone, Debug)]
enum CommandOutcome {
    Checking { check: u64, since: Nanos },
    Answered(CommandReply),
}

/// What is to be done about a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandAction {
    /// The operator gets this reply.
    Reply(CommandReply),
    /// The host is to check an offer; the command is answered with "later" until then.
    CheckOffer {
        /// The number of the check.
        check: u64,
        /// The version of a program.
        version: Option<Version>,
        /// The content of settings.
        content: Option<Vec<u8>>,
    },
    /// A rollout is to end.
    End {
        /// The rollout.
        id: RolloutId,
        /// Its outcome.
        outcome: Outcome,
        /// The reason.
        why: String,
    },
}

/// Commands to one node, about rollouts of one kind.
#[derive(Clone, Debug, Default)]
pub struct OperatorCommands {
    incoming: Option<Incoming>,
    offers: VecDeque<(OfferKey, CommandOutcome)>,
    check_count: u64,
}

/// A check that was not answered within this may be asked for again.
const CHECK_TIMEOUT: Nanos = 20 * SECOND;

impl OperatorCommands {
    /// Takes up a command.
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
                    return CommandAction::Reply(refused("no such change is known here"));
                };
                if rollout.outcome >= outcome || rollout.outcome == Outcome::Rejected {
                    let why = format!("it is {} already", rollout.outcome.display_name());
                    return CommandAction::Reply(answer(state::DONE, &why, rollout.id.0));
                }
                if outcome == Outcome::Halted && rollout.outcome == Outcome::Completed {
                    return CommandAction::Reply(refused(
                        "it is done and can't be halted, only taken back",
                    ));
                }
                let why = if command.why.is_empty() {
                    "an operator said so"
                } else {
                    &command.why
                };
                CommandAction::End {
                    id: rollout.id,
                    outcome,
                    why: why.to_owned(),
                }
            }
            _ => CommandAction::Reply(refused("this order is not known here")),
        }
    }

    fn chunk(&mut self, now: Nanos, command: &OperatorCommand) -> CommandReply {
        let (size, Ok(digest)) = (
            command.size as usize,
            <[u8; 32]>::try_from(command.digest.as_slice()),
        ) else {
            return refused("a piece of nothing that can be named");
        };
        if size == 0 || size > MAX_CONTENT_BYTES {
            return refused(&format!(
                "{size} bytes, 1 to {MAX_CONTENT_BYTES} are possible"
            ));
        }
        let is_it = |incoming: &Incoming| incoming.digest == digest && incoming.bytes.len() == size;
        if let Some(other) = self.incoming.as_ref().filter(|incoming| !is_it(incoming)) {
            if now < other.since + INCOMING_IDLE_TIMEOUT && !other.have.iter().all(|have| *have) {
                return answer(state::PENDING, "another content is coming in", 0);
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
            return refused("a piece that does not fit");
        }
        incoming.bytes[from..from + command.bytes.len()].copy_from_slice(&command.bytes);
        incoming.have[command.chunk as usize] = true;
        incoming.since = now;
        answer(state::DONE, "", 0)
    }

    fn offer(&mut self, now: Nanos, kind: Kind, command: &OperatorCommand) -> CommandAction {
        let digest = <[u8; 32]>::try_from(command.digest.as_slice()).unwrap_or_default();
        let version = Version {
            number: command.number,
            hash: command.hash,
        };
        let mark = (
            digest,
            if kind == Kind::Program {
                version
            } else {
                Version::default()
            },
        );
        if let Some((_, outcome)) = self.offers.iter().find(|(of, _)| *of == mark) {
            match outcome {
                CommandOutcome::Answered(answered) => {
                    return CommandAction::Reply(answered.clone());
                }
                CommandOutcome::Checking { since, .. } if now < since + CHECK_TIMEOUT => {
                    return CommandAction::Reply(answer(
                        state::PENDING,
                        "the node looks into it",
                        0,
                    ));
                }
                CommandOutcome::Checking { .. } => self.offers.retain(|(of, _)| *of != mark),
            }
        }
        let (version, content) = match kind {
            Kind::Program => (Some(version), None),
            Kind::Settings => {
                let whole = self.incoming.as_ref().filter(|incoming| {
                    incoming.digest == digest && incoming.have.iter().all(|have| *have)
                });
                let Some(whole) = whole else {
                    return CommandAction::Reply(refused(
                        "pieces of it are missing here; order it anew",
                    ));
                };
                if chunks::digest(&whole.bytes) != digest {
                    self.incoming = None;
                    return CommandAction::Reply(refused("its content is not what its hash says"));
                }
                (None, Some(whole.bytes.clone()))
            }
        };
        self.check_count += 1;
        let check = self.check_count;
        self.offers
            .push_back((mark, CommandOutcome::Checking { check, since: now }));
        while self.offers.len() > REMEMBERED_OFFERS {
            self.offers.pop_front();
        }
        CommandAction::CheckOffer {
            check,
            version,
            content,
        }
    }

    /// The host has checked an offer; gives the rollout to be offered to the cluster, if it is one.
    pub fn offer_checked(
        &mut self,
        check: u64,
        found: Result<Version, HostError>,
        (kind, me, unix_ms): (Kind, u64, u64),
        rollouts: &RolloutTable,
        good: Version,
        plan: &Plan,
    ) -> Option<(Rollout, Option<Vec<u8>>)> {
        let is_it = |outcome: &CommandOutcome| matches!(outcome, CommandOutcome::Checking { check: of, .. } if *of == check);
        let at = self.offers.iter().position(|(_, outcome)| is_it(outcome))?;
        let (digest, _) = self.offers[at].0;
        let (answered, offered) = match found {
            Err(why) => (refused(&why.to_string()), None),
            Ok(version) if version.number <= good.number => {
                let why = format!("version {version} is not higher than {good}, which is in force");
                (refused(&why), None)
            }
            Ok(version) => {
                match rollouts
                    .iter()
                    .find(|c| c.kind == kind && c.version == version && !c.is_over())
                {
                    Some(known) => (
                        answer(state::DONE, "it was offered before", known.id.0),
                        None,
                    ),
                    None => {
                        let whole = self
                            .incoming
                            .take()
                            .filter(|incoming| incoming.digest == digest);
                        let content = whole.map(|incoming| incoming.bytes);
                        let id = RolloutId(splitmix64(
                            version.hash ^ splitmix64(me ^ splitmix64(unix_ms)),
                        ));
                        let rollout = Rollout {
                            id,
                            kind,
                            version,
                            base: good,
                            digest,
                            bytes: content.as_ref().map_or(0, |content| content.len() as u32),
                            by: me,
                            at_ms: unix_ms,
                            plan: plan.clone(),
                            progress: Progress::default(),
                            outcome: Outcome::InProgress,
                            reason: Reason::default(),
                        };
                        (answer(state::DONE, "", id.0), Some((rollout, content)))
                    }
                }
            }
        };
        self.offers[at].1 = CommandOutcome::Answered(answered);
        offered
    }
}

#[cfg(test)]
mod tests;
