//! Received datagrams: authentication, dispatch by kind, and direct replies.

use super::*;

/// Maximum number of relayed probes at a time.
const RELAYED_PROBES_MAX: usize = 64;

impl<H: Host> Membership<H> {
    /// Handles a received datagram.
    pub fn on_datagram(&mut self, at: ClockReading, from: SocketAddr, frame: &[u8]) {
        self.detect_pause(at);
        if at.now < self.ignore_received_until {
            return self.count("datagrams from before a long sleep", 1);
        }
        if !self.receive_limiter.admits(at.now, from) {
            return self.count_drop(DropReason::RateExceeded);
        }
        let (incarnation, message) = match self.datagram_auth.open(at.now, at.unix_ms, frame) {
            Ok(verified) => verified,
            Err(reason) => return self.count_drop(reason),
        };
        let Ok(datagram) = Datagram::decode(message) else {
            return self.count_drop(DropReason::Unreadable);
        };
        self.receive_limiter.mark_proven(from);
        if incarnation == self.epoch.incarnation {
            return self.count("datagrams of its own", 1);
        }
        self.on_message(at, from, incarnation, &datagram);
        self.requested_wake = self.next_wake().max(at.now);
    }

    fn count_drop(&mut self, reason: DropReason) {
        self.count(reason.as_str(), 1);
    }

    /// Handles an authenticated datagram.
    fn on_message(
        &mut self,
        at: ClockReading,
        from: SocketAddr,
        incarnation: Incarnation,
        datagram: &Datagram,
    ) {
        let sender = MemberKey(datagram.from);
        if self
            .name_conflict
            .as_ref()
            .is_some_and(|conflict| conflict.holder.incarnation == incarnation.0)
        {
            self.on_name_holder_datagram(at);
        }
        let mut reply = RangeExchange::default();
        for update in &datagram.updates {
            self.apply_update(at, sender, update, &mut reply);
        }
        self.merge_load_hints(at, &datagram.load_hints);
        let to = self.reply_to(sender, incarnation, from);
        self.on_kind(at, (from, to), incarnation, datagram, &mut reply);
        if !matches!(datagram.kind, kind::HEADERS | kind::ENTRIES) {
            // Outdated updates are replied to only in a comparison of member tables, or if they are
            // about the sender or this node.
            let own_key = self.own_key;
            reply
                .headers
                .retain(|key| *key == sender || *key == own_key);
        }
        reply.headers.sort_unstable();
        reply.headers.dedup();
        self.send_entries(at, to, &reply);
        let is_member_traffic = matches!(datagram.kind, kind::PING | kind::ACK | kind::GOSSIP);
        if sender != MemberKey::NONE && is_member_traffic {
            self.compare_digest(at, sender, datagram.digest);
            self.report_suspicion(at, sender, incarnation, datagram.kind);
        }
    }

    /// Handles a datagram by its kind. `from` is its source address and `to` the address for
    /// replies.
    fn on_kind(
        &mut self,
        at: ClockReading,
        (from, to): (SocketAddr, SocketAddr),
        incarnation: Incarnation,
        datagram: &Datagram,
        reply: &mut RangeExchange,
    ) {
        let sender = MemberKey(datagram.from);
        match datagram.kind {
            kind::PING => self.on_ping(at, to, datagram, reply),
            kind::ACK => self.on_ack(at, sender, incarnation, datagram),
            kind::ASK => self.on_relay_request(at, sender, datagram),
            kind::NACK => self.on_relay_reply(datagram.number),
            kind::GOSSIP => {}
            kind::SUMMARY => self.on_summary(at, to, datagram),
            kind::HEADERS => {
                let found = anti_entropy::differences(
                    &self.member_table,
                    &datagram.covered,
                    &datagram.updates,
                );
                reply.headers.extend(found.headers);
                reply.complete.extend(found.complete);
                reply.wants.extend(found.wants);
            }
            kind::ENTRIES => {
                let wanted = datagram.wants.iter().map(|key| MemberKey(*key));
                reply.complete.extend(wanted);
            }
            kind::SHOW => self.on_show(at, from, datagram),
            kind::PAGE | kind::COMMAND_REPLY => {}
            kind::COMMAND => {
                self.host
                    .command_received(from, datagram.number, datagram.topic, &datagram.payload)
            }
            kind::PAYLOAD => self.on_payload(sender, incarnation, datagram),
            _ => self.count("datagrams of a kind that is not known", 1),
        }
    }

    /// Handles a relay's report that the target did not answer the relayed probe. The report shows
    /// that the relay itself is alive.
    fn on_relay_reply(&mut self, number: u32) {
        if let Some(probe) = self
            .outstanding_probe
            .as_mut()
            .filter(|probe| probe.number == number)
        {
            probe.relays_replied = (probe.relays_replied + 1).min(probe.relays);
        }
    }

    /// Passes a payload to the host if its sender is a known member, so that a reply has an
    /// address.
    fn on_payload(&mut self, sender: MemberKey, incarnation: Incarnation, datagram: &Datagram) {
        let is_known = self
            .member_table
            .get(sender)
            .is_some_and(|entry| entry.epoch.incarnation == incarnation);
        if is_known {
            self.host
                .payload_received(sender, incarnation, datagram.topic, &datagram.payload);
        } else {
            self.count("payloads of unknown members", 1);
        }
    }

    /// Compares the sender's digest with the node's own. If many updates are queued although the
    /// sender already agrees, the updates need no further dissemination: nodes that lack them will
    /// see a digest mismatch. Suspicions are not part of digests and stay queued.
    fn compare_digest(&mut self, at: ClockReading, sender: MemberKey, digest: u64) {
        if digest != self.member_table.digest() {
            self.on_digest_mismatch(at, sender);
        } else if self.dissemination_queue.len() > UPDATES_PER_DATAGRAM {
            let member_table = &self.member_table;
            self.dissemination_queue.retain(|key| {
                member_table
                    .get(key)
                    .is_some_and(|entry| entry.liveness() == Liveness::Suspect)
            });
        }
    }

    /// Informs a suspected sender of the suspicion at once, unless the acknowledgement of its probe
    /// does so.
    fn report_suspicion(
        &mut self,
        at: ClockReading,
        sender: MemberKey,
        incarnation: Incarnation,
        kind: u32,
    ) {
        let suspicion = self
            .suspicion_about(sender)
            .filter(|update| update.incarnation == incarnation.0 && kind != kind::PING);
        if let Some(suspicion) = suspicion {
            let updates = vec![suspicion];
            self.send_to(at, sender, kind::GOSSIP, 0, MemberKey::NONE, updates);
        }
    }

    /// Returns the address for replies: the one that the sender publishes or, for a process without
    /// an entry in the member table, the source address.
    fn reply_to(
        &self,
        sender: MemberKey,
        incarnation: Incarnation,
        from: SocketAddr,
    ) -> SocketAddr {
        let known = self
            .member_table
            .get(sender)
            .filter(|entry| entry.epoch.incarnation == incarnation);
        known.map_or(from, |entry| entry.details.address)
    }

    /// Acknowledges a probe.
    fn on_ping(
        &mut self,
        at: ClockReading,
        to: SocketAddr,
        datagram: &Datagram,
        reply: &mut RangeExchange,
    ) {
        let target = MemberKey(datagram.target);
        if self.has_name_conflict() || target != self.own_key && target != MemberKey::NONE {
            return self.count("probes for another name", 1);
        }
        // A sender that does not know this node's key receives the complete entry, others only the
        // header. A sender that is recorded as suspect or dead also receives the update that says
        // so.
        let mut updates: Vec<MemberUpdate> = self
            .own_entry(target == MemberKey::NONE)
            .into_iter()
            .collect();
        updates.extend(self.suspicion_about(MemberKey(datagram.from)));
        reply.headers.retain(|key| *key != self.own_key);
        let ack = Datagram {
            from: self.own_key.0,
            kind: kind::ACK,
            number: datagram.number,
            target: self.own_key.0,
            updates,
            ..Datagram::default()
        };
        self.send(at, to, ack);
    }

    /// Matches an acknowledgement with a relayed probe or with the outstanding probe.
    fn on_ack(
        &mut self,
        at: ClockReading,
        sender: MemberKey,
        incarnation: Incarnation,
        datagram: &Datagram,
    ) {
        let target = MemberKey(datagram.target);
        if let Some(relayed_probe) = self
            .relayed_probes
            .get(&datagram.number)
            .filter(|probe| probe.target == target && probe.incarnation == incarnation)
        {
            let (origin, number) = (relayed_probe.origin, relayed_probe.origin_number);
            self.relayed_probes.remove(&datagram.number);
            let updates = self
                .member_table
                .get(target)
                .map(|entry| entry.header_update(target))
                .into_iter()
                .collect();
            return self.send_to(at, origin, kind::ACK, number, target, updates);
        }
        let outstanding_probe = self.outstanding_probe.as_ref().filter(|outstanding_probe| {
            outstanding_probe.number == datagram.number && outstanding_probe.target == target
        });
        let Some(outstanding_probe) = outstanding_probe else {
            return;
        };
        // The acknowledgement must come from the probed incarnation, or from a relay, which has
        // checked the incarnation.
        if sender != target || incarnation == outstanding_probe.incarnation {
            self.outstanding_probe = None;
            if self.config.features.health {
                self.local_health.answered();
            }
        }
    }

    /// Probes a member on behalf of another member.
    fn on_relay_request(&mut self, at: ClockReading, origin: MemberKey, datagram: &Datagram) {
        let target = MemberKey(datagram.target);
        let Some(incarnation) = self
            .member_table
            .get(target)
            .map(|entry| entry.epoch.incarnation)
        else {
            return;
        };
        if self.relayed_probes.len() >= RELAYED_PROBES_MAX
            || self.has_name_conflict()
            || target == self.own_key
        {
            return self.count("relayed probes beyond their number", 1);
        }
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        let timeout = self.config.timing.probe_timeout;
        let (number, retry_at, due) = (
            self.last_probe_number,
            at.now + timeout / 2,
            at.now + timeout,
        );
        self.relayed_probes.insert(
            number,
            RelayedProbe {
                origin,
                origin_number: datagram.number,
                target,
                incarnation,
                retry_at,
                due,
            },
        );
        self.ping(at, target, number);
    }

    /// Merges the load hints of a datagram, except those about this node, and keeps the keys of the
    /// members whose hint changed, so that the new hints are passed on.
    fn merge_load_hints(&mut self, at: ClockReading, load_hints: &[u8]) {
        for load_hint in load_hints
            .as_chunks::<LOAD_HINT_BYTES>()
            .0
            .iter()
            .take(2 * LOAD_HINTS_PER_DATAGRAM)
        {
            let tag = u32::from_be_bytes([load_hint[0], load_hint[1], load_hint[2], load_hint[3]]);
            let number = u16::from_be_bytes([load_hint[4], load_hint[5]]);
            if tag == (self.own_key.0 >> 32) as u32 {
                continue;
            }
            let changed = self.member_table.merge_load_hint(
                at.now,
                tag,
                LoadHint {
                    number,
                    capacity: load_hint[6],
                    load: load_hint[7],
                },
            );
            if let Some(key) = changed {
                self.recent_load_hints.retain(|other| *other != key);
                self.recent_load_hints.push(key);
                if self.recent_load_hints.len() > 4 * LOAD_HINTS_PER_DATAGRAM {
                    self.recent_load_hints.remove(0);
                }
            }
        }
    }
}
