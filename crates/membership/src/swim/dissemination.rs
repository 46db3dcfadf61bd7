//! Spreading: news in rounds, views that are compared, the dead and the seeds tried again; and all
//! that is sent.

use super::*;

impl<H: Host> Membership<H> {
    pub(super) fn others(&mut self, most: usize) -> Vec<MemberKey> {
        let (view, me) = (&self.view, self.me);
        let there =
            |key: MemberKey| key != me && view.get(key).is_some_and(|e| e.status().is_present());
        self.round.some(&mut self.rng, most, there)
    }

    /// Some other members that are held to be there, by turns.
    pub fn some_others(&mut self, most: usize) -> Vec<MemberKey> {
        self.others(most)
    }

    pub(super) fn spread(&mut self, at: ClockReading) {
        let unsettled = at.now < self.unsettled_until;
        if self.is_mute() || self.gossip.is_empty() && !unsettled {
            return;
        }
        let crowded = self.gossip.len() > NEWS_FIT;
        let others = self.others(FANOUT);
        for key in &others {
            self.send_to(at, *key, kind::GOSSIP, 0, MemberKey::NOBODY, Vec::new());
        }
        if crowded && let Some(key) = others.first() {
            self.compare(at, *key);
        }
    }

    /// Looks for one of the dead. If it is there it says so, and then views are compared: so two
    /// halves of a healed partition find each other.
    pub(super) fn regain(&mut self, at: ClockReading) {
        self.regains += 1;
        if !self.settings.extensions.regain
            || self.is_mute()
            || self.leaving
            || self.view.counts().dead == 0
        {
            return;
        }
        let dead = self
            .view
            .iter()
            .filter(|(_, entry)| entry.status() == Liveness::Dead);
        let (now, regains) = (at.now, self.regains);
        let due = |since: Nanos| {
            let age = now.saturating_sub(since);
            REGAIN_LATER
                .iter()
                .rev()
                .find(|(after, _)| age >= *after)
                .is_none_or(|(_, turns)| regains % turns == 0)
        };
        let mut dead: Vec<MemberKey> = dead
            .filter(|(_, entry)| due(entry.since))
            .map(|(key, _)| key)
            .collect();
        // The more are dead the more are tried: it is not likely that so many died by themselves.
        let tries = (1 + dead.len() / REGAIN_MORE).min(REGAIN_MOST);
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
        if let (Some(other), Some(entry)) = (self.others(1).first().copied(), self.view.get(key)) {
            let news = vec![entry.brief(key)];
            self.send_to(at, other, kind::ENTRIES, 0, MemberKey::NOBODY, news);
        }
    }

    pub(super) fn places(&self) -> Vec<SocketAddr> {
        let all = self.settings.seeds.iter().chain(&self.contacts).copied();
        all.filter(|place| *place != self.settings.address)
            .collect()
    }

    /// Tries the seeds: often while alone, else now and then those where nobody is known to be.
    pub(super) fn seek(&mut self, at: ClockReading) {
        let alone = self.view.counts().present() <= 1;
        self.timers.seek = at.now + if alone { SEEK_ALONE } else { SEEK };
        if self.is_mute() || self.leaving {
            return;
        }
        let mut places = self.places();
        if !alone {
            let known = self
                .view
                .iter()
                .filter(|(_, entry)| entry.status().is_present());
            let known: Vec<SocketAddr> = known.map(|(_, entry)| entry.details.address).collect();
            places.retain(|place| !known.contains(place));
        }
        places.shuffle(&mut self.rng);
        for place in places
            .into_iter()
            .take(if alone { SEEK_AT_ONCE } else { 1 })
        {
            let news = self.own(true).into_iter().collect();
            let ping = Datagram {
                from: self.me.0,
                kind: kind::PING,
                news,
                ..Datagram::default()
            };
            self.send(at, place, ping);
        }
    }

    /// Begins to compare views with a member.
    pub(super) fn compare(&mut self, at: ClockReading, with: MemberKey) {
        if !self.settings.extensions.reconcile
            || at.now < self.compared + COMPARE_GAP
            || !self.comparing.open(at.now)
        {
            return;
        }
        self.compared = at.now;
        let Some(to) = self.view.get(with).map(|entry| entry.details.address) else {
            return;
        };
        let summaries = vec![anti_entropy::summary(&self.view)];
        self.count("comparisons begun", 1);
        let datagram = Datagram {
            from: self.from(),
            kind: kind::SUMMARY,
            summaries,
            ..Datagram::default()
        };
        let bytes = self.send(at, to, datagram);
        self.comparing.spend(bytes);
    }

    pub(super) fn from(&self) -> u64 {
        if self.is_mute() { 0 } else { self.me.0 }
    }

    // ---- Sending ----

    pub(super) fn send_to(
        &mut self,
        at: ClockReading,
        to: MemberKey,
        kind: u32,
        no: u32,
        target: MemberKey,
        news: Vec<MemberUpdate>,
    ) {
        if let Some(address) = self.view.get(to).map(|entry| entry.details.address) {
            let datagram = Datagram {
                from: self.from(),
                kind,
                no,
                target: target.0,
                news,
                ..Datagram::default()
            };
            self.send(at, address, datagram);
        }
    }

    /// Sends a parcel of another package to a member, once; it may be lost, come late or be
    /// overtaken, but it does not come twice. False if it is too large, or there is no such member.
    pub fn send_parcel(
        &mut self,
        at: ClockReading,
        to: MemberKey,
        topic: u32,
        parcel: &[u8],
    ) -> bool {
        let there = self
            .view
            .get(to)
            .filter(|entry| entry.status().is_present())
            .map(|e| e.details.address);
        let (Some(address), false) = (there, self.is_mute() || parcel.len() > wire::PARCEL_MAX)
        else {
            self.count("parcels that could not be sent", 1);
            return false;
        };
        let parcel = parcel.to_vec();
        let datagram = Datagram {
            from: self.me.0,
            kind: kind::PARCEL,
            topic,
            parcel,
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
            datagram.digest = self.view.digest();
        }
        let mut pack = DatagramBuilder::new(datagram);
        let spreads = matches!(pack.datagram.kind, kind::PING | kind::ACK | kind::GOSSIP);
        if spreads && !self.is_mute() && self.spreading.open(at.now) {
            let before = pack.size;
            let Membership {
                gossip,
                view,
                suspicions,
                ..
            } = self;
            gossip.take(view.counts().present(), |key| {
                let Some(entry) = view.get(key) else {
                    return true;
                };
                // LivenessState alone is enough for most; who lacks the rest asks for it.
                let told = entry.epoch.birth > 0 && entry.standing.status == Liveness::Alive;
                let news = if told {
                    entry.full(key)
                } else {
                    entry.brief(key)
                };
                pack.news(MemberUpdate {
                    by: suspicions.latest(key).unwrap_or_default().0,
                    ..news
                })
            });
            self.spreading.spend(pack.size - before);
        }
        if spreads && pack.datagram.from != 0 && !wire::LATER {
            pack.datagram.pulses = self.pulses();
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
        let frame = self.seal.seal(at.unix_ms, &message);
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

    pub(super) fn pulses(&mut self) -> Vec<u8> {
        let mut pulses = Vec::with_capacity((PULSES + 1) * PULSE);
        let mut push = |key: MemberKey, pulse: LoadHint| {
            pulses.extend_from_slice(&((key.0 >> 32) as u32).to_be_bytes());
            pulses.extend_from_slice(&pulse.no.to_be_bytes());
            pulses.extend_from_slice(&[pulse.room, pulse.load]);
        };
        if self.pulse.no > 0 {
            push(self.me, self.pulse);
        }
        let some = self.recent.iter().rev().take(PULSES);
        some.filter_map(|key| Some((*key, self.view.get(*key)?.pulse)))
            .for_each(|(key, pulse)| push(key, pulse));
        pulses
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
        let mut news: Vec<MemberUpdate> = Vec::new();
        let entries = |keys: &[MemberKey], view: &MemberTable, full: bool| -> Vec<MemberUpdate> {
            let known = keys.iter().filter_map(|key| Some((*key, view.get(*key)?)));
            known
                .map(|(key, entry)| {
                    if full {
                        entry.full(key)
                    } else {
                        entry.brief(key)
                    }
                })
                .collect()
        };
        news.extend(entries(&differences.brief, &self.view, false));
        news.extend(entries(&differences.whole, &self.view, true));
        if news.is_empty() && wants.is_empty() {
            return;
        }
        let from = self.from();
        let mut news = news.into_iter().peekable();
        let mut wants = wants.chunks(WANTS);
        loop {
            let wants = wants
                .next()
                .unwrap_or_default()
                .iter()
                .map(|key| key.0)
                .collect::<Vec<_>>();
            if news.peek().is_none() && wants.is_empty() || !self.comparing.open(at.now) {
                return;
            }
            let mut pack = DatagramBuilder::new(Datagram {
                from,
                kind: kind::ENTRIES,
                wants,
                ..Datagram::default()
            });
            while let Some(next) = news.next_if(|next| pack.fits(field(next.encoded_len()))) {
                pack.news(next);
            }
            let bytes = self.send(at, to, pack.datagram);
            self.comparing.spend(bytes);
        }
    }
}
