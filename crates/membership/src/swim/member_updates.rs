//! Merging what is reported about members and about this node itself.

use super::*;

/// The counter for details that can't be used.
fn details_error_counter(error: DetailsError) -> &'static str {
    match error {
        DetailsError::TooLarge => "entries that are too large",
        DetailsError::Unreadable => "entries that can't be read",
        DetailsError::BadAddress => "entries with an address that can't be used",
        DetailsError::BadName => "entries with a name that can't be used",
    }
}

impl<H: Host> Membership<H> {
    /// Follows up on a changed member: probe order, suspicion, dissemination, history.
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

    /// Merges an update. `reply` collects what to send back: entries that are wanted, and those of
    /// which more is known here.
    pub(super) fn apply_update(
        &mut self,
        at: ClockReading,
        sender: MemberKey,
        updates: &MemberUpdate,
        back: &mut RangeExchange,
    ) {
        let key = MemberKey(updates.key);
        if key == self.own_key
            && (updates.incarnation == self.epoch.incarnation.0 || self.claims_own_name(updates))
        {
            return self.apply_update_about_self(at, updates, back);
        }
        match self.member_table.merge(at.now, updates) {
            MergeOutcome::Known => self.confirm_suspicion(at, sender, updates),
            MergeOutcome::Older => back.header_update.push(key),
            MergeOutcome::DetailsWanted if back.wants.len() < WANTS_PER_DATAGRAM => {
                back.wants.push(key)
            }
            MergeOutcome::DetailsWanted => {}
            MergeOutcome::DetailsError(error) => self.count(details_error_counter(error), 1),
            MergeOutcome::Full => self.count("members for whom there is no room", 1),
            MergeOutcome::Changed(change) => {
                self.on_member_changed(at, key, &change, "");
                self.confirm_suspicion(at, sender, updates);
            }
        }
    }

    /// An update of a suspicion names who suspects.
    fn confirm_suspicion(&mut self, at: ClockReading, sender: MemberKey, updates: &MemberUpdate) {
        let key = MemberKey(updates.key);
        let suspect = self
            .member_table
            .get(key)
            .is_some_and(|entry| entry.liveness() == Liveness::Suspect);
        if suspect && updates.liveness == Liveness::Suspect.number() {
            let suspected_by = if updates.suspected_by == 0 {
                sender
            } else {
                MemberKey(updates.suspected_by)
            };
            self.suspect(at, key, suspected_by);
        }
    }

    /// Whether the update is about another process with this node's name that takes precedence.
    fn claims_own_name(&self, updates: &MemberUpdate) -> bool {
        let theirs = Epoch {
            started_unix_ms: updates.started_unix_ms,
            incarnation: Incarnation(updates.incarnation),
        };
        !self.is_mute() && theirs > self.epoch && updates.incarnation != self.epoch.incarnation.0
    }

    /// Merges an update about this node: refutes it, or notes a name conflict.
    fn apply_update_about_self(
        &mut self,
        at: ClockReading,
        updates: &MemberUpdate,
        back: &mut RangeExchange,
    ) {
        let liveness = Liveness::from_number(updates.liveness).unwrap_or_default();
        if updates.incarnation == self.epoch.incarnation.0 {
            let own = LivenessState {
                refutation: self.refutation,
                liveness: if self.leaving {
                    Liveness::Left
                } else {
                    Liveness::Alive
                },
            };
            let apply_update = LivenessState {
                refutation: updates.refutation,
                liveness,
            };
            // What was said of it under an earlier birth of the same life is out of date, whatever
            // it says.
            let refutes = if updates.started_unix_ms == self.epoch.started_unix_ms {
                refutes(own, apply_update)
            } else {
                None
            };
            match refutes {
                _ if self.is_mute() => {}
                Some(refutation) => {
                    if self.config.features.health && liveness == Liveness::Suspect {
                        self.local_health.suspected();
                    }
                    if refutation == u32::MAX {
                        return self.reclaim_name(
                            at,
                            updates.started_unix_ms,
                            "its bumps are used up",
                        );
                    }
                    self.refutation = refutation;
                    self.refute(at, liveness);
                }
                None if (updates.started_unix_ms, apply_update)
                    != (self.epoch.started_unix_ms, own) =>
                {
                    back.header_update.push(self.own_key)
                }
                None => {}
            }
            return;
        }
        if !liveness.is_present() {
            return self.reclaim_name(at, updates.started_unix_ms, "what had its name is gone");
        }
        let details = MemberDetails::read(&updates.details).ok();
        match details {
            None => back.wants.push(self.own_key),
            // Only one process can be reached there, and that is this one.
            Some(details) if details.address == self.config.address => {
                self.reclaim_name(at, updates.started_unix_ms, "a past of its own");
            }
            Some(details) => {
                let is_known = self
                    .name_conflict
                    .as_ref()
                    .is_some_and(|c| c.holder.incarnation == updates.incarnation);
                if !is_known {
                    let (holder, address) = (updates.clone(), details.address);
                    self.name_conflict = Some(NameConflict {
                        holder,
                        address,
                        tries: 0,
                        next: at.now,
                        mute: false,
                    });
                }
            }
        }
    }

    /// Announces a higher refutation number.
    fn refute(&mut self, at: ClockReading, said: Liveness) {
        if let Err(error) = self.announce(at) {
            self.count(details_error_counter(error), 1);
        }
        self.count("times it was suspect or dead and said that it is there", 1);
        self.record_change(
            at,
            ChangeKind::Refuted,
            self.own_key,
            format!("held {}", said.as_str()),
        );
    }
}
