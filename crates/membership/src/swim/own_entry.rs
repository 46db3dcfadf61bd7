//! The node's own entry: details, phase, attachments and load hint, and the announcement of its
//! leave.

use super::*;

/// Number of members to which a drain is announced at once.
const DRAIN_FANOUT: usize = GOSSIP_FANOUT;
/// Number of members to which a node announces its leave directly.
const LEAVE_FANOUT: usize = 8;

impl<H: Host> Membership<H> {
    /// Encodes the node's details with the given attachments.
    fn details(&self, attachments: Vec<Attachment>) -> Result<MemberDetails, DetailsError> {
        let config = &self.config;
        let wire = (messages::VERSION_MIN, messages::VERSION);
        MemberDetails::new(
            config.address,
            &config.zone,
            self.phase,
            &config.program,
            wire,
            config.settings,
            attachments,
        )
    }

    /// Returns the complete update about this node, from its current details.
    pub(super) fn own_update(&self) -> Result<MemberUpdate, DetailsError> {
        let details = self.details(self.attachments.clone())?;
        let liveness = if self.leaving {
            Liveness::Left
        } else {
            Liveness::Alive
        };
        Ok(MemberUpdate {
            key: self.own_key.0,
            started_unix_ms: self.epoch.started_unix_ms,
            incarnation: self.epoch.incarnation.0,
            refutation: self.refutation,
            liveness: liveness.number(),
            revision: self.revision,
            name: self.config.name.clone(),
            details: details.encoded().to_vec(),
            suspected_by: 0,
        })
    }

    /// Merges the node's current details into its own member table and queues them for
    /// dissemination.
    pub(super) fn announce(&mut self, at: ClockReading) -> Result<(), DetailsError> {
        if self.has_name_conflict() {
            return Ok(());
        }
        let update = self.own_update()?;
        if self.member_table.merge(at.now, &update) == MergeOutcome::Full {
            self.count("invariant: the member table has room for its own node", 1);
        }
        self.last_change = at.now;
        self.dissemination_queue.push(self.own_key);
        Ok(())
    }

    /// Announces changed details under the next revision.
    pub(super) fn announce_new_revision(&mut self, at: ClockReading) {
        self.revision += 1;
        if let Err(error) = self.announce(at) {
            debug_assert!(false, "own details cannot be encoded: {error}");
            self.count("invariant: what a node says of itself can be said", 1);
        }
    }

    /// Publishes the node's phase. A drain is announced to some members at once.
    pub fn set_phase(&mut self, at: ClockReading, phase: Phase) {
        self.detect_pause(at);
        if self.phase != phase {
            self.phase = phase;
            self.announce_new_revision(at);
            if phase == Phase::Draining {
                self.send_own_update(at, DRAIN_FANOUT);
            }
        }
    }

    /// Publishes the number and hash of the settings now in force.
    pub fn set_settings(&mut self, at: ClockReading, settings: (u64, u64)) {
        self.detect_pause(at);
        if self.config.settings != settings {
            self.config.settings = settings;
            self.announce_new_revision(at);
        }
    }

    /// Publishes free capacity and load, each from 0 to 255. Delivery is not guaranteed.
    pub fn set_load_hint(&mut self, capacity: u8, load: u8) {
        self.load_hint = LoadHint {
            number: self.load_hint.number.wrapping_add(1),
            capacity,
            load,
        };
    }

    /// Adds an attachment to the node's entry, or replaces the one with the same id. Empty data
    /// removes the attachment.
    ///
    /// # Errors
    /// If the entry would become too large. The entry is left unchanged.
    pub fn set_attachment(
        &mut self,
        at: ClockReading,
        attachment: Attachment,
    ) -> Result<(), DetailsError> {
        self.detect_pause(at);
        let mut attachments = self.attachments.clone();
        attachments.retain(|other| other.id != attachment.id);
        if !attachment.bytes.is_empty() {
            attachments.push(attachment);
        }
        attachments.sort_by_key(|other| other.id);
        if attachments == self.attachments {
            return Ok(());
        }
        if let Err(error) = self.details(attachments.clone()) {
            self.count("attachments that did not fit the entry", 1);
            return Err(error);
        }
        self.attachments = attachments;
        self.announce_new_revision(at);
        Ok(())
    }

    /// Applies the keys, seeds and timing of newly loaded settings.
    pub fn reconfigure(
        &mut self,
        at: ClockReading,
        keys: AuthKeys,
        seeds: Vec<SocketAddr>,
        timing: Timing,
    ) {
        self.detect_pause(at);
        self.datagram_auth.rekey(keys.clone());
        (self.config.keys, self.config.seeds, self.config.timing) = (keys, seeds, timing);
    }

    /// Announces that the node leaves. To be called again a short time later, in case datagrams
    /// were lost.
    pub fn leave(&mut self, at: ClockReading) {
        self.detect_pause(at);
        if self.has_name_conflict() {
            return;
        }
        if !self.leaving {
            self.leaving = true;
            if let Ok(update) = self.own_update() {
                let _ = self.member_table.merge(at.now, &update);
            }
            self.dissemination_queue.push(self.own_key);
        }
        self.send_own_update(at, LEAVE_FANOUT);
    }

    /// Sends the header of this node's own entry to up to `count_max` random members.
    fn send_own_update(&mut self, at: ClockReading, count_max: usize) {
        for key in self.random_present(count_max) {
            let Some(own) = self.own_entry(false) else {
                return;
            };
            self.send_to(at, key, kind::GOSSIP, 0, MemberKey::NONE, vec![own]);
        }
    }

    /// Returns this node's own entry as an update, complete or as a header; `None` while it has
    /// lost its name.
    pub(super) fn own_entry(&self, full: bool) -> Option<MemberUpdate> {
        if self.has_name_conflict() {
            return None;
        }
        let entry = self.member_table.get(self.own_key)?;
        Some(if full {
            entry.full_update(self.own_key)
        } else {
            entry.header_update(self.own_key)
        })
    }
}
