//! Merging of updates about other members and about this node itself.

use super::*;

/// Returns the name of the counter for details that are not valid.
fn details_error_counter(error: DetailsError) -> &'static str {
    match error {
        DetailsError::TooLarge => "entries that are too large",
        DetailsError::Unreadable => "entries that can't be read",
        DetailsError::BadAddress => "entries with an address that can't be used",
        DetailsError::BadName => "entries with a name that can't be used",
    }
}

impl<H: Host> Membership<H> {
    /// Handles a change of a member's entry: updates probe order, suspicions, dissemination queue
    /// and history.
    pub(super) fn on_member_changed(
        &mut self,
        at: ClockReading,
        key: MemberKey,
        change: &MemberChange,
        more: &str,
    ) {
        self.last_change = at.now;
        if change.before.is_none_or(|before| !before.is_present())
            && change.after.is_present()
            && key != self.own_key
        {
            self.probe_order.insert(&mut self.rng, key);
        }
        if change.after != Liveness::Suspect {
            self.suspicions.clear(key);
        }
        self.dissemination_queue.push(key);
        if let Some(kind) = change.kind() {
            let more = match (kind, self.member_table.get(key)) {
                (ChangeKind::Joined | ChangeKind::Moved | ChangeKind::Replaced, Some(entry)) => {
                    format!(
                        "at {} in zone '{}'",
                        entry.details.address, entry.details.zone
                    )
                }
                (ChangeKind::Phase, Some(entry)) => entry.details.phase.as_str().to_owned(),
                _ => more.to_owned(),
            };
            self.record_change(at, kind, key, more);
        }
    }

    /// Merges an update. `reply` collects the members whose entry is to be requested from the
    /// sender, and those of which the sender should receive a more recent state.
    pub(super) fn apply_update(
        &mut self,
        at: ClockReading,
        sender: MemberKey,
        update: &MemberUpdate,
        reply: &mut RangeExchange,
    ) {
        let key = MemberKey(update.key);
        if key == self.own_key
            && (update.incarnation == self.epoch.incarnation.0 || self.claims_own_name(update))
        {
            return self.apply_update_about_self(at, update, reply);
        }
        match self.member_table.merge(at.now, update) {
            MergeOutcome::Known => self.confirm_suspicion(at, sender, update),
            MergeOutcome::Older => reply.headers.push(key),
            MergeOutcome::DetailsWanted if reply.wants.len() < WANTS_PER_DATAGRAM => {
                reply.wants.push(key)
            }
            MergeOutcome::DetailsWanted => {}
            MergeOutcome::DetailsError(error) => self.count(details_error_counter(error), 1),
            MergeOutcome::Full => self.count("members for whom there is no room", 1),
            MergeOutcome::Changed(change) => {
                self.on_member_changed(at, key, &change, "");
                self.confirm_suspicion(at, sender, update);
            }
        }
    }

    /// Records the suspicion that an update reports, and the member that suspects.
    fn confirm_suspicion(&mut self, at: ClockReading, sender: MemberKey, update: &MemberUpdate) {
        let key = MemberKey(update.key);
        let is_suspect = self
            .member_table
            .get(key)
            .is_some_and(|entry| entry.liveness() == Liveness::Suspect);
        if is_suspect && update.liveness == Liveness::Suspect.number() {
            let suspected_by = if update.suspected_by == 0 {
                sender
            } else {
                MemberKey(update.suspected_by)
            };
            self.suspect(at, key, suspected_by);
        }
    }

    /// Returns whether the update is about another process with this node's name and a later start.
    fn claims_own_name(&self, update: &MemberUpdate) -> bool {
        let theirs = Epoch {
            started_unix_ms: update.started_unix_ms,
            incarnation: Incarnation(update.incarnation),
        };
        !self.has_name_conflict()
            && theirs > self.epoch
            && update.incarnation != self.epoch.incarnation.0
    }

    /// Handles an update about this node's name: refutes it, reclaims the name or records a name
    /// conflict.
    fn apply_update_about_self(
        &mut self,
        at: ClockReading,
        update: &MemberUpdate,
        reply: &mut RangeExchange,
    ) {
        if update.incarnation == self.epoch.incarnation.0 {
            return self.refute_update(at, update, reply);
        }
        let liveness = Liveness::from_number(update.liveness).unwrap_or_default();
        if !liveness.is_present() {
            return self.reclaim_name(
                at,
                update.started_unix_ms,
                "the other holder of the name is gone",
            );
        }
        match MemberDetails::read(&update.details) {
            Err(_) => reply.wants.push(self.own_key),
            // Only one process can have this address, so the update is about an earlier
            // incarnation.
            Ok(details) if details.address == self.config.address => {
                self.reclaim_name(
                    at,
                    update.started_unix_ms,
                    "the other holder of the name is an earlier incarnation",
                );
            }
            Ok(details) => self.record_name_conflict(at, update, details.address),
        }
    }

    /// Refutes an update about this process if it takes precedence over the process's own state;
    /// replies with the current state if the update is out of date.
    fn refute_update(
        &mut self,
        at: ClockReading,
        update: &MemberUpdate,
        reply: &mut RangeExchange,
    ) {
        let own = LivenessState {
            refutation: self.refutation,
            liveness: if self.leaving {
                Liveness::Left
            } else {
                Liveness::Alive
            },
        };
        let reported = LivenessState {
            refutation: update.refutation,
            liveness: Liveness::from_number(update.liveness).unwrap_or_default(),
        };
        // A report under an earlier start time of the same process is out of date.
        let refutation = if update.started_unix_ms == self.epoch.started_unix_ms {
            refutes(own, reported)
        } else {
            None
        };
        match refutation {
            _ if self.has_name_conflict() => {}
            Some(refutation) => {
                if self.config.features.health && reported.liveness == Liveness::Suspect {
                    self.local_health.suspected();
                }
                if refutation == u32::MAX {
                    let why = "the refutation number has reached its maximum";
                    return self.reclaim_name(at, update.started_unix_ms, why);
                }
                self.refutation = refutation;
                self.announce_refutation(at, reported.liveness);
            }
            None if (update.started_unix_ms, reported) != (self.epoch.started_unix_ms, own) => {
                reply.headers.push(self.own_key);
            }
            None => {}
        }
    }

    /// Records that another process claims this node's name, unless the conflict is already
    /// recorded.
    fn record_name_conflict(
        &mut self,
        at: ClockReading,
        update: &MemberUpdate,
        address: SocketAddr,
    ) {
        let is_known = self
            .name_conflict
            .as_ref()
            .is_some_and(|conflict| conflict.holder.incarnation == update.incarnation);
        if !is_known {
            self.name_conflict = Some(NameConflict {
                holder: update.clone(),
                address,
                probes_sent: 0,
                next: at.now,
                name_lost: false,
            });
        }
    }

    /// Announces the raised refutation number and records the refuted liveness.
    fn announce_refutation(&mut self, at: ClockReading, reported: Liveness) {
        if let Err(error) = self.announce(at) {
            self.count(details_error_counter(error), 1);
        }
        self.count("times it was suspect or dead and said that it is there", 1);
        self.record_change(
            at,
            ChangeKind::Refuted,
            self.own_key,
            format!("was reported {}", reported.as_str()),
        );
    }
}
