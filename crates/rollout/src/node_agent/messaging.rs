//! Handles offers, copies of rollouts, polls and requests for chunks from other nodes and
//! operators, and announces changes to other nodes.

use super::NodeAgent;
use crate::Nanos;
use crate::chunks;
use crate::host::Host;
use crate::identifiers::RolloutId;
use crate::messages::{RolloutMessage, rollout_messages};
use crate::node_report::NodeReport;
use crate::rollout::{Outcome, Reason, Rollout};
use crate::stages::Progress;

/// Number of peers to which the known rollouts are sent at once when a rollout changes.
const ANNOUNCE_FANOUT: usize = 3;

impl<H: Host> NodeAgent<H> {
    /// Offers a rollout to the cluster from this node. Rollouts of settings come with their
    /// content.
    pub fn offer(&mut self, now: Nanos, rollout: Rollout, content: Option<Vec<u8>>) {
        if let Some(content) = content {
            self.contents.insert(rollout.version, content);
        }
        self.merge_rollout(now, &rollout);
    }

    /// Moves a rollout's outcome towards safety, by an operator's command or this node's metrics.
    /// Returns whether the outcome changed.
    pub fn end(
        &mut self,
        now: Nanos,
        unix_ms: u64,
        id: RolloutId,
        outcome: Outcome,
        why: &str,
    ) -> bool {
        let ends = self
            .rollouts
            .end(id, outcome, Reason::new(unix_ms, self.me, why));
        if ends {
            self.host
                .log(&format!("change {id}: {}, {why}", outcome.display_name()));
            self.announce();
            self.proceed(now);
        }
        ends
    }

    /// Applies progress that the voters agreed on. Returns whether it was new.
    pub fn advance(&mut self, now: Nanos, id: RolloutId, progress: &Progress) -> bool {
        let advances = self.rollouts.advance(id, progress);
        if advances {
            let line = match self.rollouts.get(id) {
                Some(rollout) if rollout.outcome == Outcome::Completed => {
                    "done, the whole fleet runs it".to_owned()
                }
                _ => format!("stage {} begins", progress.stage),
            };
            self.host.log(&format!("change {id}: {line}"));
            self.announce();
            self.proceed(now);
        }
        advances
    }

    /// Merges a received copy of a rollout, and announces the known rollouts if the copy changed
    /// the table. Returns whether the copy changed the table.
    fn merge_rollout(&mut self, now: Nanos, received: &Rollout) -> bool {
        if received.kind != self.kind {
            return false;
        }
        let before = self
            .rollouts
            .get(received.id)
            .map(|rollout| (rollout.outcome, rollout.progress.stage));
        if !self.rollouts.merge(received) {
            return false;
        }
        if let Some(rollout) = self.rollouts.get(received.id) {
            let (outcome, stage) = before.unwrap_or((Outcome::InProgress, 0));
            let (id, version) = (rollout.id, rollout.version);
            let line = match rollout.outcome {
                now if now > outcome => Some(format!(
                    "change {id}: {}, {}",
                    now.display_name(),
                    rollout.reason.why
                )),
                Outcome::InProgress if rollout.progress.stage > stage => Some(format!(
                    "change {id}: stage {} begins",
                    rollout.progress.stage
                )),
                Outcome::InProgress if before.is_none() => Some(format!(
                    "change {id}: {version} is offered in place of {}",
                    rollout.base
                )),
                _ => None,
            };
            if let Some(line) = line {
                self.host.log(&line);
            }
        }
        self.announce();
        self.proceed(now);
        true
    }

    /// Sends all known rollouts to [`ANNOUNCE_FANOUT`] random peers.
    fn announce(&mut self) {
        for to in self.host.random_peers(ANNOUNCE_FANOUT) {
            self.send_rollouts(to, false);
        }
    }

    /// Sends all known rollouts to a node. If `answer` is set, the node is asked to send the
    /// rollouts that it knows in return.
    pub(super) fn send_rollouts(&mut self, to: u64, answer: bool) {
        for message in rollout_messages(self.rollouts.iter(), answer) {
            self.host.send(to, message);
        }
    }

    /// Handles a message from the node with key `from`.
    pub fn handle_message(&mut self, now: Nanos, from: u64, message: RolloutMessage) {
        match message {
            RolloutMessage::Rollouts { rollouts, answer } => {
                let of_this_kind: Vec<Rollout> = rollouts
                    .into_iter()
                    .filter(|rollout| rollout.kind == self.kind)
                    .collect();
                for rollout in &of_this_kind {
                    self.merge_rollout(now, rollout);
                }
                if answer {
                    self.send_rollouts(from, false);
                }
            }
            RolloutMessage::Poll {
                poll,
                rollout,
                stage,
                outcome,
            } => {
                self.answer_poll(from, poll, (rollout, stage, outcome));
            }
            RolloutMessage::ChunkRequest {
                rollout,
                first,
                count,
            } => {
                self.send_chunks(from, rollout, first, count);
            }
            RolloutMessage::Chunk {
                rollout,
                index,
                bytes,
            } => {
                if let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.rollout == rollout) {
                    fetch.insert(index, &bytes);
                    self.proceed(now);
                }
            }
            RolloutMessage::PaxosRequest(kind, request) => {
                // A later request replaces an unanswered one, which the coordinator repeats or
                // gives up.
                self.voter_request = Some((from, request)).filter(|_| kind == self.kind);
                self.proceed(now);
            }
            RolloutMessage::NodeReport { .. } | RolloutMessage::PaxosReply(..) => {}
        }
    }

    /// Answers a coordinator's poll with this node's report. The poll carries the rollout's stage
    /// and outcome as the coordinator knows them; if the node or the coordinator has an older copy,
    /// the two exchange rollouts.
    fn answer_poll(
        &mut self,
        from: u64,
        poll: u32,
        (rollout, stage, outcome): (RolloutId, u32, Outcome),
    ) {
        if self.rollouts.get(rollout).is_none() {
            self.send_rollouts(from, true);
        }
        let report = self.report_on(rollout);
        if (report.stage, report.outcome) > (stage, outcome) {
            self.send_rollouts(from, true);
        } else if (report.stage, report.outcome) < (stage, outcome) {
            self.last_digest_exchange = 0;
        }
        self.host
            .send(from, RolloutMessage::NodeReport { poll, report });
    }

    /// Sends the requested chunks of a rollout's content, if this node has the content.
    fn send_chunks(&mut self, to: u64, rollout: RolloutId, first: u32, count: u32) {
        let version = self.rollouts.get(rollout).map(|rollout| rollout.version);
        let content = version.and_then(|version| self.contents.get(&version));
        let chunks: Vec<(u32, Vec<u8>)> = (first
            ..first.saturating_add(count.min(chunks::CHUNKS_PER_REQUEST)))
            .filter_map(|index| Some((index, chunks::chunk(content?, index)?.to_vec())))
            .collect();
        for (index, bytes) in chunks {
            self.host.send(
                to,
                RolloutMessage::Chunk {
                    rollout,
                    index,
                    bytes,
                },
            );
        }
    }

    /// Returns the node's report on this rollout, which may be unknown to the node.
    fn report_on(&self, rollout: RolloutId) -> NodeReport {
        NodeReport {
            rollout,
            ..self.report_of(self.rollouts.get(rollout))
        }
    }
}
