//! MemberUpdate: what is said of members, and of this node itself; and a name that two processes have.

use super::*;

impl<H: Host> Membership<H> {
    /// A member changed: clears or begins what belongs to that, spreads it and tells of it.
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
            self.round.insert(&mut self.rng, key);
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

    /// Something was said of a member. Gives what to say back: entries that are wanted, and those
    /// of which more is known.
    pub(super) fn apply_update(
        &mut self,
        at: ClockReading,
        sender: MemberKey,
        updates: &MemberUpdate,
        back: &mut RangeExchange,
    ) {
        let key = MemberKey(updates.key);
        if key == self.own_key && (updates.incarnation == self.epoch.incarnation.0 || self.claims_own_name(updates)) {
            return self.apply_update_about_self(at, updates, back);
        }
        match self.member_table.merge(at.now, updates) {
            MergeOutcome::Known => self.confirm_suspicion(at, sender, updates),
            MergeOutcome::Older => back.header_update.push(key),
            MergeOutcome::Wanted if back.wants.len() < WANTS_PER_DATAGRAM => back.wants.push(key),
            MergeOutcome::Wanted => {}
            MergeOutcome::DetailsError(error) => self.count(details_error_counter(error), 1),
            MergeOutcome::Full => self.count("members for whom there is no room", 1),
            MergeOutcome::Changed(change) => {
                self.on_member_changed(at, key, &change, "");
                self.confirm_suspicion(at, sender, updates);
            }
        }
    }

    /// A suspicion that is told names who has it.
    pub(super) fn confirm_suspicion(&mut self, at: ClockReading, sender: MemberKey, updates: &MemberUpdate) {
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

    /// Whether this is about another life that has this node's name, and holds over it.
    pub(super) fn claims_own_name(&self, updates: &MemberUpdate) -> bool {
        let theirs = Epoch {
            started_unix_ms: updates.started_unix_ms,
            incarnation: Incarnation(updates.incarnation),
        };
        !self.is_mute() && theirs > self.epoch && updates.incarnation != self.epoch.incarnation.0
    }

    /// Something was said of this node itself.
    pub(super) fn apply_update_about_self(
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
                    if self.settings.features.health && liveness == Liveness::Suspect {
                        self.health.suspected();
                    }
                    if refutation == u32::MAX {
                        return self.reclaim_name(at, updates.started_unix_ms, "its bumps are used up");
                    }
                    self.refutation = refutation;
                    self.refute(at, liveness);
                }
                None if (updates.started_unix_ms, apply_update) != (self.epoch.started_unix_ms, own) => back.header_update.push(self.own_key),
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
            Some(details) if details.address == self.settings.address => {
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

    pub(super) fn refute(&mut self, at: ClockReading, said: Liveness) {
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

    /// Its name is its own, by a birth later than any that was heard.
    pub(super) fn reclaim_name(&mut self, at: ClockReading, started_unix_ms: u64, why: &str) {
        let was_mute = self.is_mute();
        self.name_conflict = None;
        self.epoch.started_unix_ms = self.epoch.started_unix_ms.max(started_unix_ms).saturating_add(1);
        self.refutation = 0;
        self.announce_new_revision(at);
        if was_mute {
            self.record_change(at, ChangeKind::NameBack, self.own_key, why.to_owned());
        } else {
            self.count("times it took its name over from an earlier life", 1);
        }
    }

    // ---- A name that two have ----

    /// The other life was heard, so that it is there: it came later, and has the name.
    pub(super) fn on_name_holder_heard(&mut self, at: ClockReading) {
        let Some(name_conflict) = &mut self.name_conflict else {
            return;
        };
        name_conflict.tries = 0;
        if name_conflict.mute {
            return;
        }
        name_conflict.mute = true;
        name_conflict.next = at.now + MUTE_PROBE_INTERVAL;
        let (holder, address) = (name_conflict.holder.clone(), name_conflict.address);
        (self.outstanding_probe, self.relayed_probes) = (None, BTreeMap::new());
        self.dissemination_queue.remove_updates(self.own_key);
        let _ = self.member_table.merge(at.now, &holder);
        self.record_change(
            at,
            ChangeKind::NameTaken,
            self.own_key,
            format!("a later process at {address} has it; this one says nothing of itself"),
        );
    }

    pub(super) fn on_name_conflict_timer(&mut self, at: ClockReading) {
        let Some(name_conflict) = &mut self.name_conflict else {
            return;
        };
        name_conflict.tries += 1;
        let (tries, mute, address, started_unix_ms) = (
            name_conflict.tries,
            name_conflict.mute,
            name_conflict.address,
            name_conflict.holder.started_unix_ms,
        );
        name_conflict.next = at.now
            + if mute {
                MUTE_PROBE_INTERVAL
            } else {
                self.settings.timing.answer
            };
        if tries > if mute { MUTE_PROBES } else { NAME_CONFLICT_PROBES } {
            return self.reclaim_name(at, started_unix_ms, "what had its name does not answer");
        }
        let from = if mute { MemberKey::NONE } else { self.own_key };
        let ping = Datagram {
            from: from.0,
            kind: kind::PING,
            target: self.own_key.0,
            ..Datagram::default()
        };
        self.send(at, address, ping);
        if mute {
            let gone = self
                .member_table
                .get(self.own_key)
                .is_none_or(|entry| !entry.liveness().is_present());
            if gone {
                return self.reclaim_name(at, started_unix_ms, "what had its name is gone");
            }
            // Nobody tells one that no view holds: it asks.
            if let Some(key) = self.random_present(1).first().copied() {
                self.start_comparison(at, key);
            }
        }
    }
}
