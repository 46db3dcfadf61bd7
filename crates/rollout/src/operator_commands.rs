//! What operators order of a node: a content in pieces, which may come in any order and more than
//! once; that it is offered to the fleet, once the node itself has looked into it; that a change is
//! halted or taken back. The same order may come again, for its answer may have been lost: it is
//! answered as before and has no second effect.

use crate::chunks::{self, CONTENT_MAX};
use crate::messages::{CommandReply, OperatorCommand, PIECE, order};
use crate::rollout::{Kind, Outcome, Reason, Rollout, RolloutId, RolloutTable, Version};
use crate::stages::{Plan, Progress};
use crate::{Nanos, SECOND, mix};
use std::collections::VecDeque;

/// A content whose pieces stopped coming makes room for another after this.
const GIVEN_UP: Nanos = 10 * SECOND;
/// Offers whose answers are remembered.
const REMEMBERED: usize = 8;

/// What became of an order.
pub mod state {
    pub const TAKEN: u32 = 0;
    pub const LATER: u32 = 1;
    pub const REFUSED: u32 = 2;
}

fn answer(state: u32, why: &str, change: u64) -> CommandReply {
    CommandReply {
        state,
        why: why.to_owned(),
        change,
    }
}

fn refused(why: &str) -> CommandReply {
    answer(state::REFUSED, why, 0)
}

/// A content that comes in pieces.
#[derive(Clone, Debug)]
struct Incoming {
    digest: [u8; 32],
    bytes: Vec<u8>,
    have: Vec<bool>,
    since: Nanos,
}

/// What an offer is told apart by: the digest of a content, or a program's version.
type Mark = ([u8; 32], Version);

#[derive(Clone, Debug)]
enum CommandOutcome {
    LookedInto { no: u64, since: Nanos },
    Over(CommandReply),
}

/// What is to be done about an order.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandAction {
    /// It is answered.
    VoterAction(CommandReply),
    /// The node is to look into this, and tell what came of it; the order is answered with "later"
    /// until then.
    LookInto {
        no: u64,
        version: Option<Version>,
        content: Option<Vec<u8>>,
    },
    /// A change is to be moved towards safety.
    End {
        id: RolloutId,
        fate: Outcome,
        why: String,
    },
}

/// OperatorCommands to one node, about changes of one kind.
#[derive(Clone, Debug, Default)]
pub struct OperatorCommands {
    incoming: Option<Incoming>,
    offers: VecDeque<(Mark, CommandOutcome)>,
    looks: u64,
}

/// A look into a content that was not answered for so long may be asked for again.
const ANSWER: Nanos = 20 * SECOND;

impl OperatorCommands {
    /// An order came.
    pub fn order(
        &mut self,
        now: Nanos,
        kind: Kind,
        changes: &RolloutTable,
        said: &OperatorCommand,
    ) -> CommandAction {
        match said.kind {
            order::PIECE if kind == Kind::Settings => {
                CommandAction::VoterAction(self.piece(now, said))
            }
            order::OFFER => self.offer(now, kind, said),
            order::HALT | order::BACK => {
                let fate = if said.kind == order::HALT {
                    Outcome::Halted
                } else {
                    Outcome::RolledBack
                };
                let change = match said.change {
                    0 => changes.current(kind).or_else(|| changes.head(kind)),
                    id => changes
                        .get(RolloutId(id))
                        .filter(|change| change.kind == kind),
                };
                let Some(change) = change else {
                    return CommandAction::VoterAction(refused("no such change is known here"));
                };
                if change.fate >= fate || change.fate == Outcome::Rejected {
                    let why = format!("it is {} already", change.fate.word());
                    return CommandAction::VoterAction(answer(state::TAKEN, &why, change.id.0));
                }
                if fate == Outcome::Halted && change.fate == Outcome::Completed {
                    return CommandAction::VoterAction(refused(
                        "it is done and can't be halted, only taken back",
                    ));
                }
                let why = if said.why.is_empty() {
                    "an operator said so"
                } else {
                    &said.why
                };
                CommandAction::End {
                    id: change.id,
                    fate,
                    why: why.to_owned(),
                }
            }
            _ => CommandAction::VoterAction(refused("this order is not known here")),
        }
    }

    fn piece(&mut self, now: Nanos, said: &OperatorCommand) -> CommandReply {
        let (size, Ok(digest)) = (
            said.size as usize,
            <[u8; 32]>::try_from(said.digest.as_slice()),
        ) else {
            return refused("a piece of nothing that can be named");
        };
        if size == 0 || size > CONTENT_MAX {
            return refused(&format!("{size} bytes, 1 to {CONTENT_MAX} are possible"));
        }
        let is_it = |incoming: &Incoming| incoming.digest == digest && incoming.bytes.len() == size;
        if let Some(other) = self.incoming.as_ref().filter(|incoming| !is_it(incoming)) {
            if now < other.since + GIVEN_UP && !other.have.iter().all(|have| *have) {
                return answer(state::LATER, "another content is coming in", 0);
            }
            self.incoming = None;
        }
        let incoming = self.incoming.get_or_insert_with(|| Incoming {
            digest,
            bytes: vec![0; size],
            have: vec![false; chunks::count(size) as usize],
            since: now,
        });
        let from = (said.no as usize).saturating_mul(PIECE);
        if from >= size || said.bytes.len() != PIECE.min(size - from) {
            return refused("a piece that does not fit");
        }
        incoming.bytes[from..from + said.bytes.len()].copy_from_slice(&said.bytes);
        incoming.have[said.no as usize] = true;
        incoming.since = now;
        answer(state::TAKEN, "", 0)
    }

    fn offer(&mut self, now: Nanos, kind: Kind, said: &OperatorCommand) -> CommandAction {
        let digest = <[u8; 32]>::try_from(said.digest.as_slice()).unwrap_or_default();
        let version = Version {
            number: said.number,
            hash: said.hash,
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
                CommandOutcome::Over(answered) => {
                    return CommandAction::VoterAction(answered.clone());
                }
                CommandOutcome::LookedInto { since, .. } if now < since + ANSWER => {
                    return CommandAction::VoterAction(answer(
                        state::LATER,
                        "the node looks into it",
                        0,
                    ));
                }
                CommandOutcome::LookedInto { .. } => self.offers.retain(|(of, _)| *of != mark),
            }
        }
        let (version, content) = match kind {
            Kind::Program => (Some(version), None),
            Kind::Settings => {
                let whole = self.incoming.as_ref().filter(|incoming| {
                    incoming.digest == digest && incoming.have.iter().all(|have| *have)
                });
                let Some(whole) = whole else {
                    return CommandAction::VoterAction(refused(
                        "pieces of it are missing here; order it anew",
                    ));
                };
                if chunks::digest(&whole.bytes) != digest {
                    self.incoming = None;
                    return CommandAction::VoterAction(refused(
                        "its content is not what its hash says",
                    ));
                }
                (None, Some(whole.bytes.clone()))
            }
        };
        self.looks += 1;
        let no = self.looks;
        self.offers
            .push_back((mark, CommandOutcome::LookedInto { no, since: now }));
        while self.offers.len() > REMEMBERED {
            self.offers.pop_front();
        }
        CommandAction::LookInto {
            no,
            version,
            content,
        }
    }

    /// The node looked into an offer; gives the change to be offered to the fleet, if it is one.
    pub fn looked_into(
        &mut self,
        no: u64,
        found: Result<Version, String>,
        (kind, me, unix_ms): (Kind, u64, u64),
        changes: &RolloutTable,
        good: Version,
        plan: &Plan,
    ) -> Option<(Rollout, Option<Vec<u8>>)> {
        let is_it = |outcome: &CommandOutcome| matches!(outcome, CommandOutcome::LookedInto { no: of, .. } if *of == no);
        let at = self.offers.iter().position(|(_, outcome)| is_it(outcome))?;
        let (digest, _) = self.offers[at].0;
        let (answered, offered) = match found {
            Err(why) => (refused(&why), None),
            Ok(version) if version.number <= good.number => {
                let why = format!("version {version} is not higher than {good}, which is in force");
                (refused(&why), None)
            }
            Ok(version) => {
                match changes
                    .iter()
                    .find(|c| c.kind == kind && c.version == version && !c.is_over())
                {
                    Some(known) => (
                        answer(state::TAKEN, "it was offered before", known.id.0),
                        None,
                    ),
                    None => {
                        let whole = self
                            .incoming
                            .take()
                            .filter(|incoming| incoming.digest == digest);
                        let content = whole.map(|incoming| incoming.bytes);
                        let id = RolloutId(mix(version.hash ^ mix(me ^ mix(unix_ms))));
                        let change = Rollout {
                            id,
                            kind,
                            version,
                            base: good,
                            digest,
                            bytes: content.as_ref().map_or(0, |content| content.len() as u32),
                            by: me,
                            at_ms: unix_ms,
                            plan: plan.clone(),
                            reach: Progress::default(),
                            fate: Outcome::InProgress,
                            reason: Reason::default(),
                        };
                        (answer(state::TAKEN, "", id.0), Some((change, content)))
                    }
                }
            }
        };
        self.offers[at].1 = CommandOutcome::Over(answered);
        offered
    }
}

#[cfg(test)]
mod tests;
