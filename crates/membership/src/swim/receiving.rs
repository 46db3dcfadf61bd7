//! Datagrams that come, and what is said to each; and what is shown to people.

use super::*;

impl<H: Host> Membership<H> {
    /// A datagram came.
    pub fn datagram(&mut self, at: ClockReading, from: SocketAddr, frame: &[u8]) {
        self.detect_pause(at);
        if at.now < self.ignore_received_until {
            return self.count("datagrams from before a long sleep", 1);
        }
        if !self.receive_limiter.admits(at.now, from) {
            return self.dropped(DropReason::Flood);
        }
        let (incarnation, message) = match self.datagram_auth.open(at.now, at.unix_ms, frame) {
            Ok(opened) => opened,
            Err(why) => return self.dropped(why),
        };
        let Ok(datagram) = Datagram::decode(message) else {
            return self.dropped(DropReason::Unreadable);
        };
        self.receive_limiter.proved(from);
        if incarnation == self.epoch.incarnation {
            return self.count("datagrams of its own", 1);
        }
        self.take(at, from, incarnation, &datagram);
        self.promised_wake = self.next().max(at.now);
    }

    pub(super) fn dropped(&mut self, why: DropReason) {
        self.count(why.as_str(), 1);
    }

    pub(super) fn take(
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
            .is_some_and(|name_conflict| name_conflict.holder.incarnation == incarnation.0)
        {
            self.on_name_holder_heard(at);
        }
        let mut back = RangeExchange::default();
        for updates in &datagram.updates {
            self.apply_update(at, sender, updates, &mut back);
        }
        self.merge_load_hints(at, &datagram.load_hints);
        let to = self.reply_to(sender, incarnation, from);
        match datagram.kind {
            kind::PING => self.on_ping(at, to, datagram, &mut back),
            kind::ACK => self.on_ack(at, sender, incarnation, datagram),
            kind::ASK => self.on_relay_request(at, sender, datagram),
            kind::NACK => {
                let outstanding_probe = self
                    .outstanding_probe
                    .as_mut()
                    .filter(|outstanding_probe| outstanding_probe.number == datagram.number);
                outstanding_probe
                    .into_iter()
                    .for_each(|outstanding_probe| outstanding_probe.spoke = (outstanding_probe.spoke + 1).min(outstanding_probe.relays));
            }
            kind::GOSSIP => {}
            kind::SUMMARY => self.summary(at, to, datagram),
            kind::HEADERS => {
                let found =
                    anti_entropy::differences(&self.member_table, &datagram.covered, &datagram.updates);
                back.header_update.extend(found.header_update);
                back.whole.extend(found.whole);
                back.wants.extend(found.wants);
            }
            kind::ENTRIES => back
                .whole
                .extend(datagram.wants.iter().map(|key| MemberKey(*key))),
            kind::SHOW => self.show(at, from, datagram),
            kind::PAGE | kind::ORDERED => {}
            kind::ORDER => self
                .host
                .order(from, datagram.number, datagram.topic, &datagram.payload),
            // Only from one that is known by its own word: whoever answers needs to know whom.
            kind::PAYLOAD => match self
                .member_table
                .get(sender)
                .filter(|entry| entry.epoch.incarnation == incarnation)
            {
                Some(_) => self
                    .host
                    .payload(sender, incarnation, datagram.topic, &datagram.payload),
                None => self.count("parcels of one that is not known", 1),
            },
            _ => self.count("datagrams of a kind that is not known", 1),
        }
        let compares = matches!(datagram.kind, kind::HEADERS | kind::ENTRIES);
        if !compares {
            // A word that is out of date costs an answer only where views are compared, or where it
            // is the sender's own.
            back.header_update.retain(|key| *key == sender || *key == self.own_key);
        }
        back.header_update.sort_unstable();
        back.header_update.dedup();
        self.send_entries(at, to, &back);
        if sender == MemberKey::NONE
            || !matches!(datagram.kind, kind::PING | kind::ACK | kind::GOSSIP)
        {
            return;
        }
        if datagram.digest != self.member_table.digest() {
            self.on_digest_mismatch(at, sender);
        } else if self.dissemination_queue.len() > UPDATES_PER_DATAGRAM {
            // So much news came at once, and one met by chance knows it all: what is left is found
            // by digests. Suspicion alone stands in no digest.
            let Membership { dissemination_queue, member_table, .. } = self;
            dissemination_queue.retain(|key| {
                member_table.get(key)
                    .is_some_and(|entry| entry.liveness() == Liveness::Suspect)
            });
        }
        // One that is suspected and speaks hears of it at once, whatever it speaks of; to a probe
        // the answer tells it.
        let suspicion_about = self
            .suspicion_about(sender)
            .filter(|updates| updates.incarnation == incarnation.0 && datagram.kind != kind::PING);
        if let Some(suspicion_about) = suspicion_about {
            self.send_to(
                at,
                sender,
                kind::GOSSIP,
                0,
                MemberKey::NONE,
                vec![suspicion_about],
            );
        }
    }

    /// Replies go where the sender says that it is reached; to one that no view holds, where its
    /// datagram came from.
    pub(super) fn reply_to(
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

    /// The sender's view is another one. MemberUpdate that is under way needs no help.
    pub(super) fn on_digest_mismatch(&mut self, at: ClockReading, sender: MemberKey) {
        self.unsettled_until = at.now + UNSETTLED_TIME;
        let under_way = !self.dissemination_queue.is_empty()
            && self.dissemination_queue.len() <= UPDATES_PER_DATAGRAM
            && at.now < self.last_change + UPDATE_TRAVEL_TIME;
        if !under_way {
            self.start_comparison(at, sender);
        }
    }

    pub(super) fn on_ping(
        &mut self,
        at: ClockReading,
        to: SocketAddr,
        datagram: &Datagram,
        back: &mut RangeExchange,
    ) {
        let target = MemberKey(datagram.target);
        if self.is_mute() || target != self.own_key && target != MemberKey::NONE {
            return self.count("probes for another name", 1);
        }
        // Who asks without knowing whom hears all; the others only how it stands. A sender that is
        // held for suspect or dead hears that too.
        let mut updates: Vec<MemberUpdate> =
            self.own(target == MemberKey::NONE).into_iter().collect();
        updates.extend(self.suspicion_about(MemberKey(datagram.from)));
        back.header_update.retain(|key| *key != self.own_key);
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

    pub(super) fn on_ack(
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
            .filter(|e| e.target == target && e.incarnation == incarnation)
        {
            let (origin, number) = (relayed_probe.origin, relayed_probe.origin_no);
            self.relayed_probes.remove(&datagram.number);
            let updates = self
                .member_table
                .get(target)
                .map(|entry| entry.header_update(target))
                .into_iter()
                .collect();
            return self.send_to(at, origin, kind::ACK, number, target, updates);
        }
        let outstanding_probe = self
            .outstanding_probe
            .as_ref()
            .filter(|outstanding_probe| outstanding_probe.number == datagram.number && outstanding_probe.target == target);
        let Some(outstanding_probe) = outstanding_probe else { return };
        // From the one that was asked, or from a helper, who looks at the life itself.
        if sender != target || incarnation == outstanding_probe.incarnation {
            self.outstanding_probe = None;
            if self.settings.features.health {
                self.health.answered();
            }
        }
    }

    pub(super) fn on_relay_request(&mut self, at: ClockReading, origin: MemberKey, datagram: &Datagram) {
        let target = MemberKey(datagram.target);
        let Some(incarnation) = self.member_table.get(target).map(|entry| entry.epoch.incarnation) else {
            return;
        };
        if self.relayed_probes.len() >= RELAYED_PROBES_MAX || self.is_mute() || target == self.own_key {
            return self.count("errands beyond their number", 1);
        }
        self.number = self.number.wrapping_add(1);
        let answer = self.settings.timing.answer;
        let (number, again_at, due) = (self.number, at.now + answer / 2, at.now + answer);
        self.relayed_probes.insert(
            number,
            RelayedProbe {
                origin,
                origin_no: datagram.number,
                target,
                incarnation,
                again_at,
                due,
            },
        );
        self.ping(at, target, number);
    }

    pub(super) fn summary(&mut self, at: ClockReading, to: SocketAddr, datagram: &Datagram) {
        let from = self.from();
        for summary in datagram.summaries.iter().take(4) {
            let first = self.rng.random_range(0..64);
            let finer = anti_entropy::finer(&self.member_table, summary, first);
            let mut summaries = finer.summaries.into_iter().peekable();
            while summaries.peek().is_some() && self.comparison_budget.open(at.now) {
                let mut pack = DatagramBuilder::new(Datagram {
                    from,
                    kind: kind::SUMMARY,
                    ..Datagram::default()
                });
                while let Some(next) = summaries.next_if(|next| {
                    pack.datagram.summaries.len() < 4 && pack.fits(field(next.encoded_len()))
                }) {
                    pack.size += field(next.encoded_len());
                    pack.datagram.summaries.push(next);
                }
                let bytes = self.send(at, to, pack.datagram);
                self.comparison_budget.spend(bytes);
            }
            self.send_headers(at, to, finer.covered);
        }
    }

    pub(super) fn send_headers(
        &mut self,
        at: ClockReading,
        to: SocketAddr,
        covered: Vec<wire::Range>,
    ) {
        let from = self.from();
        let mut covered = covered
            .into_iter()
            .map(|range| (range, anti_entropy::headers(&self.member_table, &range)));
        let mut next = covered.next();
        let mut packs = Vec::new();
        while next.is_some() {
            let mut pack = DatagramBuilder::new(Datagram {
                from,
                kind: kind::HEADERS,
                ..Datagram::default()
            });
            while let Some((range, updates)) = next.take() {
                let bytes = field(range.encoded_len())
                    + updates.iter().map(|n| field(n.encoded_len())).sum::<usize>();
                if !pack.fits(bytes) {
                    next = Some((range, updates));
                    break;
                }
                pack.size += bytes;
                pack.datagram.covered.push(range);
                pack.datagram.updates.extend(updates);
                next = covered.next();
            }
            if pack.datagram.covered.is_empty() {
                break; // a range that does not fit a datagram can't come up: it has few members
            }
            packs.push(pack.datagram);
        }
        for datagram in packs {
            if self.comparison_budget.open(at.now) {
                let bytes = self.send(at, to, datagram);
                self.comparison_budget.spend(bytes);
            }
        }
    }

    pub(super) fn merge_load_hints(&mut self, at: ClockReading, load_hints: &[u8]) {
        for load_hint in load_hints.as_chunks::<LOAD_HINT_BYTES>().0.iter().take(2 * LOAD_HINTS_PER_DATAGRAM) {
            let tag = u32::from_be_bytes([load_hint[0], load_hint[1], load_hint[2], load_hint[3]]);
            let number = u16::from_be_bytes([load_hint[4], load_hint[5]]);
            if tag == (self.own_key.0 >> 32) as u32 {
                continue;
            }
            let apply_update = self.member_table.load_hint(
                at.now,
                tag,
                LoadHint {
                    number,
                    capacity: load_hint[6],
                    load: load_hint[7],
                },
            );
            if let Some(key) = apply_update {
                self.recent_load_hints.retain(|other| *other != key);
                self.recent_load_hints.push(key);
                if self.recent_load_hints.len() > 4 * LOAD_HINTS_PER_DATAGRAM {
                    self.recent_load_hints.remove(0);
                }
            }
        }
    }

    // ---- MemberSnapshot to people ----

    /// Somebody who has the key asks what this node holds: first how it stands, then its view in
    /// pages.
    pub(super) fn show(&mut self, at: ClockReading, to: SocketAddr, datagram: &Datagram) {
        let mut pack = DatagramBuilder::new(Datagram {
            from: self.from(),
            kind: kind::PAGE,
            number: datagram.number,
            ..Datagram::default()
        });
        if datagram.topic != 0 {
            let Some((page, next)) = self.host.show(datagram.topic, datagram.cursor) else {
                return;
            };
            if page.len() > wire::PAYLOAD_MAX {
                return self.count("pages that are too large", 1);
            }
            (
                pack.datagram.topic,
                pack.datagram.payload,
                pack.datagram.cursor,
            ) = (datagram.topic, page, next);
            self.send(at, to, pack.datagram);
            return;
        }
        if datagram.cursor == 0 {
            pack.datagram.report = Some(self.report(at));
            pack.datagram.cursor = 1;
        } else {
            for (key, entry) in self.member_table.range(datagram.cursor..=u64::MAX) {
                if !pack.fits(field(entry.full_update(key).encoded_len()) + LOAD_HINT_BYTES) {
                    pack.datagram.cursor = key.0;
                    break;
                }
                pack.updates(entry.full_update(key));
                let load_hint = if key == self.own_key {
                    self.load_hint
                } else {
                    entry.load_hint
                };
                pack.size += LOAD_HINT_BYTES;
                pack.datagram
                    .load_hints
                    .extend(((key.0 >> 32) as u32).to_be_bytes());
                pack.datagram.load_hints.extend(load_hint.number.to_be_bytes());
                pack.datagram.load_hints.extend([load_hint.capacity, load_hint.load]);
            }
        }
        self.send(at, to, pack.datagram);
    }

    /// What became of an order.
    pub fn answer_order(
        &mut self,
        at: ClockReading,
        to: SocketAddr,
        number: u32,
        topic: u32,
        answer: &[u8],
    ) {
        if answer.len() > wire::PAYLOAD_MAX {
            return self.count("answers to orders that are too large", 1);
        }
        let (from, kind, payload) = (self.from(), kind::ORDERED, answer.to_vec());
        self.send(
            at,
            to,
            Datagram {
                from,
                kind,
                number,
                topic,
                payload,
                ..Datagram::default()
            },
        );
    }

    pub(super) fn report(&self, at: ClockReading) -> NodeReport {
        let (counters, cluster_view) = (self.member_table.counters(), &self.cluster_view);
        let times = |since: Nanos| (at.now.saturating_sub(since) / MILLISECOND).max(1);
        let mut report = NodeReport {
            name: self.settings.name.clone(),
            size: cluster_view.fleet.size as u32,
            low: cluster_view.fleet.low as u32,
            high: cluster_view.fleet.high as u32,
            unsure_ms: cluster_view.unsure_since.map_or(0, times),
            doubt: cluster_view.doubt,
            suspects: counters.suspect as u32,
            dead: counters.dead as u32,
            zone: self.settings.zone.clone(),
            mute: self.is_mute(),
            counters: Vec::new(),
            changes: Vec::new(),
        };
        let most = MESSAGE_MAX - 100;
        for (what, times) in &self.counters {
            report.counters.push(wire::CounterMessage {
                what: (*what).to_owned(),
                times: *times,
            });
            if report.encoded_len() > most * 2 / 3 {
                report.counters.pop();
                break;
            }
        }
        for record_change in self.history.latest().take(16) {
            let line = record_change.to_string();
            report.changes.push(wire::ChangeEvent {
                unix_ms: record_change.unix_ms,
                line,
            });
            if report.encoded_len() > most {
                report.changes.pop();
                break;
            }
        }
        report
    }
}
