//! Fetches, checks, stages and rejects versions before a stage includes the node.

use super::{Continuation, NodeAgent, PendingOperation};
use crate::Nanos;
use crate::chunks::{ChunkFetch, FetchProgress};
use crate::host::Host;
use crate::host_error::HostError;
use crate::identifiers::{Kind, RolloutId, Version};
use crate::messages::RolloutMessage;
use crate::rollout::Rollout;

impl<H: Host> NodeAgent<H> {
    /// Fetches and checks the first version that is not staged yet. The order is: a completed
    /// rollout whose version this node lacks, the rollout in progress, the rollout that begins
    /// next.
    pub(super) fn stage_next(&mut self, now: Nanos) {
        let in_progress = self.rollouts.in_progress(self.kind);
        let candidates = [
            self.missing_completed(),
            in_progress,
            self.rollouts.next(self.kind),
        ];
        let needs_no_staging = |version: Version| {
            self.staged.contains(&version)
                || self.rejected.contains_key(&version)
                || version == self.running
        };
        let rollout = candidates
            .into_iter()
            .flatten()
            .find(|rollout| !needs_no_staging(rollout.version))
            .cloned();
        match rollout {
            Some(rollout) => self.fetch_and_check(now, &rollout),
            None => self.fetch = None,
        }
    }

    /// Fetches a rollout's content chunk by chunk, and asks the host to check the complete content.
    fn fetch_and_check(&mut self, now: Nanos, rollout: &Rollout) {
        let has_content = self.contents.contains_key(&rollout.version);
        if rollout.kind == Kind::Settings && !has_content {
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
                    return self.reject(rollout, "its content does not match its hash");
                }
                FetchProgress::Corrupt { given_up: false } | FetchProgress::Incomplete => {
                    if let Some((first, count)) = fetch.next_request(now) {
                        // The offering node has the content; a random peer may have it.
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

    /// Rejects a version: the node will not run it, and reports the reason.
    pub(super) fn reject(&mut self, rollout: &Rollout, why: &str) {
        self.host
            .log(&format!("change {}: turned down here, {why}", rollout.id));
        self.rejected.insert(rollout.version, why.to_owned());
        self.contents.remove(&rollout.version);
        self.fetch = None;
    }

    /// Reports the result of the check that [`Host::check`] requested.
    pub fn check_finished(&mut self, now: Nanos, id: RolloutId, result: Result<(), HostError>) {
        if !matches!(self.pending, PendingOperation::Check { rollout, .. } if rollout == id) {
            return; // timed out, and requested again
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

    /// Drops the contents of versions that are neither needed for a start nor part of an open
    /// rollout.
    pub(super) fn forget_contents(&mut self) {
        let needed: Vec<Version> = self.persisted.needed().collect();
        let is_open = |version: &Version| {
            self.rollouts
                .iter()
                .any(|c| c.version == *version && !c.is_over())
        };
        self.contents
            .retain(|version, _| needed.contains(version) || is_open(version));
    }
}
