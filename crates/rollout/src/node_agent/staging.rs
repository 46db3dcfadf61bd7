//! Fetching, checking and rejecting versions before their stage comes.

use super::{Continuation, NodeAgent, PendingOperation};
use crate::Nanos;
use crate::chunks::{ChunkFetch, FetchProgress};
use crate::host::Host;
use crate::host_error::HostError;
use crate::identifiers::{Kind, RolloutId, Version};
use crate::messages::RolloutMessage;
use crate::rollout::Rollout;

impl<H: Host> NodeAgent<H> {
    /// Fetches and checks what may begin later: what is missing here, then what is in progress, then what
    /// begins next.
    pub(super) fn stage_next(&mut self, now: Nanos) {
        let in_progress = self.rollouts.in_progress(self.kind);
        let all = [
            self.missing_completed(),
            in_progress,
            self.rollouts.next(self.kind),
        ];
        let is_here = |version: Version| {
            self.staged.contains(&version)
                || self.rejected.contains_key(&version)
                || version == self.running
        };
        let rollout = all
            .into_iter()
            .flatten()
            .find(|rollout| !is_here(rollout.version))
            .cloned();
        match rollout {
            Some(rollout) => self.fetch_and_check(now, &rollout),
            None => self.fetch = None,
        }
    }

    /// Fetches a rollout's content, chunk by chunk, and then has it checked.
    fn fetch_and_check(&mut self, now: Nanos, rollout: &Rollout) {
        let has = self.contents.contains_key(&rollout.version);
        if rollout.kind == Kind::Settings && !has {
            if self
                .fetch
                .as_ref()
                .is_none_or(|fetch| fetch.rollout != rollout.id)
            {
                self.fetch = ChunkFetch::new(rollout);
            }
            let Some(fetch) = &mut self.fetch else {
                return self.reject(rollout, "its content is too large");
            };
            match fetch.progress() {
                FetchProgress::Complete(content) => {
                    self.contents.insert(rollout.version, content);
                    self.fetch = None;
                }
                FetchProgress::Corrupt { given_up: true } => {
                    return self.reject(rollout, "its content is not what its hash says");
                }
                FetchProgress::Corrupt { given_up: false } | FetchProgress::Incomplete => {
                    if let Some((first, count)) = fetch.next_request(now) {
                        // The node that offered it has it; others may.
                        let mut to = self.host.random_peers(1);
                        to.push(rollout.by);
                        to.dedup();
                        for to in to {
                            self.host.send(
                                to,
                                RolloutMessage::ChunkRequest {
                                    rollout: rollout.id,
                                    first,
                                    count,
                                },
                            );
                        }
                    }
                    return;
                }
            }
        }
        self.pending = PendingOperation::Check {
            rollout: rollout.id,
            since: now,
        };
        let content = self.contents.get(&rollout.version).cloned();
        self.host.check(rollout.id, rollout.version, content);
    }

    /// The node does not run this version, and reports why.
    pub(super) fn reject(&mut self, rollout: &Rollout, why: &str) {
        self.host
            .log(&format!("change {}: turned down here, {why}", rollout.id));
        self.rejected.insert(rollout.version, why.to_owned());
        self.contents.remove(&rollout.version);
        self.fetch = None;
    }

    /// The host checked what [`Host::check`] asked for.
    pub fn check_finished(&mut self, now: Nanos, id: RolloutId, result: Result<(), HostError>) {
        if !matches!(self.pending, PendingOperation::Check { rollout, .. } if rollout == id) {
            return; // asked for again meanwhile
        }
        self.pending = PendingOperation::Nothing;
        let Some(rollout) = self.rollouts.get(id).cloned() else {
            return;
        };
        match result {
            Err(why) => self.reject(&rollout, &why.to_string()),
            Ok(()) => {
                let content = self
                    .contents
                    .get(&rollout.version)
                    .cloned()
                    .map(|c| (rollout.version, c));
                self.persist(now, Continuation::Staged(id), content);
            }
        }
        self.proceed(now);
    }

    /// Drops contents of versions that are neither needed nor offered.
    pub(super) fn forget_contents(&mut self) {
        let needed: Vec<Version> = self.persisted.needed().collect();
        let open = |version: &Version| {
            self.rollouts
                .iter()
                .any(|c| c.version == *version && !c.is_over())
        };
        self.contents
            .retain(|version, _| needed.contains(version) || open(version));
    }
}
