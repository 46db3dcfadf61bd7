//! Spreading: news in rounds, views that are compared, the dead and the seeds tried again; and all
//! that is sent.

use super::*;

impl<H: Host> Membership<H> {
    pub(super) fn random_present(&mut self, most: usize) -> Vec<MemberKey> {
        let (member_table, own_key) = (&self.member_table, self.own_key);
        let there =
            |key: MemberKey| key != own_key && member_table.get(key).is_some_and(|e| e.liveness().is_present());
        self.round.some(&mut self.rng, most, there)
    }

    /// Some other members that are held to be there, by turns.
    pub fn random_members(&mut self, most: usize) -> Vec<MemberKey> {
        self.random_present(most)
    }

    pub(super) fn spread(&mut self, at: ClockReading) {
        let unsettled = at.now < self.unsettled_until;
        if self.is_mute() || self.dissemination_queue.is_empty() && !unsettled {
            return;
        }
        let crowded = self.dissemination_queue.len() > UPDATES_PER_DATAGRAM;
        let others = self.random_present(GOSSIP_FANOUT);
        for key in &others {
            self.send_to(at, *key, kind::GOSSIP, 0, MemberKey::NONE, Vec::new());
        }
        if crowded && let Some(key) = others.first() {
            self.start_comparison(at, *key);
        }
    }

    /// Looks for one of the dead. If it is there it says so, and then views are compared: so two
    /// halves of a healed partition find each other.
    pub(super) fn probe_dead(&mut self, at: ClockReading) {
        self.recovery_rounds += 1;
        if !self.settings.features.probe_dead
            || self.is_mute()
            || self.leaving
            || self.member_table.counters().dead == 0
        {
            return;
        }
        let dead = self
            .member_table
            .iter()
            .filter(|(_, entry)| entry.liveness() == Liveness::Dead);
        let (now, recovery_rounds) = (at.now, self.recovery_rounds);
        let due = |since: Nanos| {
            let age = now.saturating_sub(since);
            DEAD_PROBE_BACKOFF
                .iter()
                .rev()
                .find(|(after, _)| age >= *after)
                .is_none_or(|(_, turns)| recovery_rounds % turns == 0)
        };
        let mut dead: Vec<MemberKey> = dead
            .filter(|(_, entry)| due(entry.since))
            .map(|(key, _)| key)
            .collect();
        // The more are dead the more are tried: it is not likely that so many died by themselves.
        let tries = (1 + dead.len() / DEAD_PER_EXTRA_PROBE).min(DEAD_PROBES_MAX);
        dead.shuffle(&mut self.rng);
        dead.truncate(tries);
        for key in &dead {
            self.ping(at, *key, 0);
        }
        let Some(key) = dead.first().copied() else {
            return;
        };
        // Digests are of those who are present. That it left and did not die is known to some
        // perhaps: one is told what is held here, and answers if it knows more.
        if let (Some(other), Some(entry)) = (self.random_present(1).first().copied(), self.member_table.get(key)) {
            let updates = vec![entry.header_update(key)];
            self.send_to(at, other, kind::ENTRIES, 0, MemberKey::NONE, updates);
        }
    }

    pub(super) fn join_addresses(&self) -> Vec<SocketAddr> {
        let all = self.settings.seeds.iter().chain(&self.former_addresses).copied();
        all.filter(|place| *place != self.settings.address)
            .collect()
    }

    /// Tries the seeds: often while alone, else now and then those where nobody is known to be.
    pub(super) fn contact_seeds(&mut self, at: ClockReading) {
        let alone = self.member_table.counters().present() <= 1;
        self.timers.contact_seeds = at.now + if alone { SEED_INTERVAL_ALONE } else { SEED_INTERVAL };
        if self.is_mute() || self.leaving {
            return;
        }
        let mut join_addresses = self.join_addresses();
        if !alone {
            let known = self
                .member_table
                .iter()
                .filter(|(_, entry)| entry.liveness().is_present());
            let known: Vec<SocketAddr> = known.map(|(_, entry)| entry.details.address).collect();
            join_addresses.retain(|place| !known.contains(place));
        }
        join_addresses.shuffle(&mut self.rng);
        for place in join_addresses
            .into_iter()
            .take(if alone { SEEDS_AT_ONCE } else { 1 })
        {
            let updates = self.own(true).into_iter().collect();
            let ping = Datagram {
                from: self.own_key.0,
                kind: kind::PING,
                updates,
                ..Datagram::default()
            };
            self.send(at, place, ping);
        }
    }

    /// Begins to compare views with a member.
    pub(super) fn start_comparison(&mut self, at: ClockReading, with: MemberKey) {
        if !self.settings.features.reconcile
            || at.now < self.last_comparison + COMPARISON_INTERVAL
            || !self.comparison_budget.open(at.now)
        {
            return;
        }
        self.last_comparison = at.now;
        let Some(to) = self.member_table.get(with).map(|entry| entry.details.address) else {
            return;
        };
        let summaries = vec![anti_entropy::summary(&self.member_table)];
        self.count("comparisons begun", 1);
        let datagram = Datagram {
            from: self.from(),
            kind: kind::SUMMARY,
            summaries,
            ..Datagram::default()
        };
        let bytes = self.send(at, to, datagram);
        self.comparison_budget.spend(bytes);
    }

    pub(super) fn from(&self) -> u64 {
        if self.is_mute() { 0 } else { self.own_key.0 }
    }

    // ---- Sending ----

    pub(super) fn send_to(
        &mut self,
        at: ClockReading,
        to: MemberKey,
        kind: u32,
        number: u32,
        target: MemberKey,
        updates: Vec<MemberUpdate>,
    ) {
        if let Some(address) = self.member_table.get(to).map(|entry| entry.details.address) {
            let datagram = Datagram {
                from: self.from(),
                kind,
                number,
                target: target.0,
                updates,
                ..Datagram::default()
            };
            self.send(at, address, datagram);
        }
    }

    /// Sends a parcel of another package to a member, once; it may be lost, come late or be
    /// overtaken, but it does not come twice. False if it is too large, or there is no such member.
    pub fn send_payload(
        &mut self,
        at: ClockReading,
        to: MemberKey,
        topic: u32,
        payload: &[u8],
    ) -> bool {
        let there = self
            .member_table
            .get(to)
            .filter(|entry| entry.liveness().is_present())
            .map(|e| e.details.address);
        let (Some(address), false) = (there, self.is_mute() || payload.len() > wire::PAYLOAD_MAX)
        else {
            self.count("parcels that could not be sent", 1);
            return false;
        };
        let payload = payload.to_vec();
        let datagram = Datagram {
            from: self.own_key.0,
            kind: kind::PAYLOAD,
            topic,
            payload,
            ..Datagram::default()
        };
        self.send(at, address, datagram) > 0
    }

    /// Sends a datagram, filled up with news and pulses; gives its size.
    pub(super) fn send(
        &mut self,
        at: ClockReading,
        to: SocketAddr,
        mut datagram: Datagram,
    ) -> usize {
        if datagram.from != 0 || datagram.kind == kind::PAGE {
            datagram.digest = self.member_table.digest();
        }
        let mut pack = DatagramBuilder::new(datagram);
        let spreads = matches!(pack.datagram.kind, kind::PING | kind::ACK | kind::GOSSIP);
        if spreads && !self.is_mute() && self.dissemination_budget.open(at.now) {
            let before = pack.size;
            let Membership {
                dissemination_queue,
                member_table,
                suspicions,
                ..
            } = self;
            dissemination_queue.take(member_table.counters().present(), |key| {
                let Some(entry) = member_table.get(key) else {
                    return true;
                };
                // LivenessState alone is enough for most; who lacks the rest asks for it.
                let details = entry.epoch.started_unix_ms > 0 && entry.liveness_state.liveness == Liveness::Alive;
                let updates = if details {
                    entry.full_update(key)
                } else {
                    entry.header_update(key)
                };
                pack.updates(MemberUpdate {
                    suspected_by: suspicions.latest(key).unwrap_or_default().0,
                    ..updates
                })
            });
            self.dissemination_budget.spend(pack.size - before);
        }
        if spreads && pack.datagram.from != 0 && !wire::LATER {
            pack.datagram.load_hints = self.load_hints();
        }
        let mut message = pack.datagram.encode_to_vec();
        if message.len() + wire::LATER_BYTES <= MESSAGE_MAX {
            message = wire::later(message);
        }
        if message.len() > MESSAGE_MAX {
            debug_assert!(
                false,
                "a datagram of kind {} has its bound",
                pack.datagram.kind
            );
            self.count("invariant: datagrams beyond their bound", 1);
            return 0;
        }
        let frame = self.datagram_auth.seal(at.unix_ms, &message);
        self.host.send(to, &frame);
        if wire::LATER && pack.datagram.kind == kind::GOSSIP {
            let from = pack.datagram.from;
            self.send(
                at,
                to,
                Datagram {
                    from,
                    kind: wire::LATER_KIND,
                    ..Datagram::default()
                },
            );
        }
        frame.len()
    }

    pub(super) fn load_hints(&mut self) -> Vec<u8> {
        let mut load_hints = Vec::with_capacity((LOAD_HINTS_PER_DATAGRAM + 1) * LOAD_HINT_BYTES);
        let mut push = |key: MemberKey, load_hint: LoadHint| {
            load_hints.extend_from_slice(&((key.0 >> 32) as u32).to_be_bytes());
            load_hints.extend_from_slice(&load_hint.number.to_be_bytes());
            load_hints.extend_from_slice(&[load_hint.capacity, load_hint.load]);
        };
        if self.load_hint.number > 0 {
            push(self.own_key, self.load_hint);
        }
        let some = self.recent_load_hints.iter().rev().take(LOAD_HINTS_PER_DATAGRAM);
        some.filter_map(|key| Some((*key, self.member_table.get(*key)?.load_hint)))
            .for_each(|(key, load_hint)| push(key, load_hint));
        load_hints
    }

    /// Sends entries, and asks for others, in as many datagrams as that takes and the rate allows.
    pub(super) fn send_entries(
        &mut self,
        at: ClockReading,
        to: SocketAddr,
        differences: &RangeExchange,
    ) {
        let mut wants = differences.wants.clone();
        wants.sort_unstable();
        wants.dedup();
        let mut updates: Vec<MemberUpdate> = Vec::new();
        let entries = |keys: &[MemberKey], member_table: &MemberTable, full: bool| -> Vec<MemberUpdate> {
            let known = keys.iter().filter_map(|key| Some((*key, member_table.get(*key)?)));
            known
                .map(|(key, entry)| {
                    if full {
                        entry.full_update(key)
                    } else {
                        entry.header_update(key)
                    }
                })
                .collect()
        };
        updates.extend(entries(&differences.header_update, &self.member_table, false));
        updates.extend(entries(&differences.whole, &self.member_table, true));
        if updates.is_empty() && wants.is_empty() {
            return;
        }
        let from = self.from();
        let mut updates = updates.into_iter().peekable();
        let mut wants = wants.chunks(WANTS_PER_DATAGRAM);
        loop {
            let wants = wants
                .next()
                .unwrap_or_default()
                .iter()
                .map(|key| key.0)
                .collect::<Vec<_>>();
            if updates.peek().is_none() && wants.is_empty() || !self.comparison_budget.open(at.now) {
                return;
            }
            let mut pack = DatagramBuilder::new(Datagram {
                from,
                kind: kind::ENTRIES,
                wants,
                ..Datagram::default()
            });
            while let Some(next) = updates.next_if(|next| pack.fits(field(next.encoded_len()))) {
                pack.updates(next);
            }
            let bytes = self.send(at, to, pack.datagram);
            self.comparison_budget.spend(bytes);
        }
    }
}
