//! Datagrams that come, and what is said to each; and what is shown to people.

use super::*;

impl<H: Host> Membership<H> {
    /// A datagram came.
    pub fn datagram(&mut self, at: ClockReading, from: SocketAddr, frame: &[u8]) {
        self.noticed(at);
        if at.now < self.deaf_until {
            return self.count("datagrams from before a long sleep", 1);
        }
        if !self.gate.admits(at.now, from) {
            return self.dropped(DropReason::Flood);
        }
        let (life, message) = match self.seal.open(at.now, at.unix_ms, frame) {
            Ok(opened) => opened,
            Err(why) => return self.dropped(why),
        };
        let Ok(datagram) = Datagram::decode(message) else {
            return self.dropped(DropReason::Unreadable);
        };
        self.gate.proved(from);
        if life == self.epoch.life {
            return self.count("datagrams of its own", 1);
        }
        self.take(at, from, life, &datagram);
        self.promised = self.next().max(at.now);
    }

    pub(super) fn dropped(&mut self, why: DropReason) {
        self.count(why.word(), 1);
    }

    pub(super) fn take(
        &mut self,
        at: ClockReading,
        from: SocketAddr,
        life: Incarnation,
        datagram: &Datagram,
    ) {
        let sender = MemberKey(datagram.from);
        if self
            .contest
            .as_ref()
            .is_some_and(|contest| contest.holder.life == life.0)
        {
            self.holder_heard(at);
        }
        let mut back = RangeExchange::default();
        for news in &datagram.news {
            self.heard(at, sender, news, &mut back);
        }
        self.pulses_heard(at, &datagram.pulses);
        let to = self.reply_to(sender, life, from);
        match datagram.kind {
            kind::PING => self.pinged(at, to, datagram, &mut back),
            kind::ACK => self.acked(at, sender, life, datagram),
            kind::ASK => self.asked(at, sender, datagram),
            kind::NACK => {
                let flight = self
                    .flight
                    .as_mut()
                    .filter(|flight| flight.no == datagram.no);
                flight
                    .into_iter()
                    .for_each(|flight| flight.spoke = (flight.spoke + 1).min(flight.helpers));
            }
            kind::GOSSIP => {}
            kind::SUMMARY => self.summary(at, to, datagram),
            kind::HEADERS => {
                let found =
                    anti_entropy::differences(&self.view, &datagram.covered, &datagram.news);
                back.brief.extend(found.brief);
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
                .order(from, datagram.no, datagram.topic, &datagram.parcel),
            // Only from one that is known by its own word: whoever answers needs to know whom.
            kind::PARCEL => match self
                .view
                .get(sender)
                .filter(|entry| entry.epoch.life == life)
            {
                Some(_) => self
                    .host
                    .parcel(sender, life, datagram.topic, &datagram.parcel),
                None => self.count("parcels of one that is not known", 1),
            },
            _ => self.count("datagrams of a kind that is not known", 1),
        }
        let compares = matches!(datagram.kind, kind::HEADERS | kind::ENTRIES);
        if !compares {
            // A word that is out of date costs an answer only where views are compared, or where it
            // is the sender's own.
            back.brief.retain(|key| *key == sender || *key == self.me);
        }
        back.brief.sort_unstable();
        back.brief.dedup();
        self.send_entries(at, to, &back);
        if sender == MemberKey::NOBODY
            || !matches!(datagram.kind, kind::PING | kind::ACK | kind::GOSSIP)
        {
            return;
        }
        if datagram.digest != self.view.digest() {
            self.differs(at, sender);
        } else if self.gossip.len() > NEWS_FIT {
            // So much news came at once, and one met by chance knows it all: what is left is found
            // by digests. Suspicion alone stands in no digest.
            let Membership { gossip, view, .. } = self;
            gossip.retain(|key| {
                view.get(key)
                    .is_some_and(|entry| entry.status() == Liveness::Suspect)
            });
        }
        // One that is suspected and speaks hears of it at once, whatever it speaks of; to a probe
        // the answer tells it.
        let accused = self
            .accused(sender)
            .filter(|news| news.life == life.0 && datagram.kind != kind::PING);
        if let Some(accused) = accused {
            self.send_to(
                at,
                sender,
                kind::GOSSIP,
                0,
                MemberKey::NOBODY,
                vec![accused],
            );
        }
    }

    /// Replies go where the sender says that it is reached; to one that no view holds, where its
    /// datagram came from.
    pub(super) fn reply_to(
        &self,
        sender: MemberKey,
        life: Incarnation,
        from: SocketAddr,
    ) -> SocketAddr {
        let known = self
            .view
            .get(sender)
            .filter(|entry| entry.epoch.life == life);
        known.map_or(from, |entry| entry.details.address)
    }

    /// The sender's view is another one. MemberUpdate that is under way needs no help.
    pub(super) fn differs(&mut self, at: ClockReading, sender: MemberKey) {
        self.unsettled_until = at.now + UNSETTLED;
        let under_way = !self.gossip.is_empty()
            && self.gossip.len() <= NEWS_FIT
            && at.now < self.changed + UNDER_WAY;
        if !under_way {
            self.compare(at, sender);
        }
    }

    pub(super) fn pinged(
        &mut self,
        at: ClockReading,
        to: SocketAddr,
        datagram: &Datagram,
        back: &mut RangeExchange,
    ) {
        let target = MemberKey(datagram.target);
        if self.is_mute() || target != self.me && target != MemberKey::NOBODY {
            return self.count("probes for another name", 1);
        }
        // Who asks without knowing whom hears all; the others only how it stands. A sender that is
        // held for suspect or dead hears that too.
        let mut news: Vec<MemberUpdate> =
            self.own(target == MemberKey::NOBODY).into_iter().collect();
        news.extend(self.accused(MemberKey(datagram.from)));
        back.brief.retain(|key| *key != self.me);
        let ack = Datagram {
            from: self.me.0,
            kind: kind::ACK,
            no: datagram.no,
            target: self.me.0,
            news,
            ..Datagram::default()
        };
        self.send(at, to, ack);
    }

    pub(super) fn acked(
        &mut self,
        at: ClockReading,
        sender: MemberKey,
        life: Incarnation,
        datagram: &Datagram,
    ) {
        let target = MemberKey(datagram.target);
        if let Some(errand) = self
            .errands
            .get(&datagram.no)
            .filter(|e| e.target == target && e.life == life)
        {
            let (origin, no) = (errand.origin, errand.origin_no);
            self.errands.remove(&datagram.no);
            let news = self
                .view
                .get(target)
                .map(|entry| entry.brief(target))
                .into_iter()
                .collect();
            return self.send_to(at, origin, kind::ACK, no, target, news);
        }
        let flight = self
            .flight
            .as_ref()
            .filter(|flight| flight.no == datagram.no && flight.target == target);
        let Some(flight) = flight else { return };
        // From the one that was asked, or from a helper, who looks at the life itself.
        if sender != target || life == flight.life {
            self.flight = None;
            if self.settings.extensions.health {
                self.health.answered();
            }
        }
    }

    pub(super) fn asked(&mut self, at: ClockReading, origin: MemberKey, datagram: &Datagram) {
        let target = MemberKey(datagram.target);
        let Some(life) = self.view.get(target).map(|entry| entry.epoch.life) else {
            return;
        };
        if self.errands.len() >= ERRANDS || self.is_mute() || target == self.me {
            return self.count("errands beyond their number", 1);
        }
        self.no = self.no.wrapping_add(1);
        let answer = self.settings.periods.answer;
        let (no, again_at, due) = (self.no, at.now + answer / 2, at.now + answer);
        self.errands.insert(
            no,
            RelayedProbe {
                origin,
                origin_no: datagram.no,
                target,
                life,
                again_at,
                due,
            },
        );
        self.ping(at, target, no);
    }

    pub(super) fn summary(&mut self, at: ClockReading, to: SocketAddr, datagram: &Datagram) {
        let from = self.from();
        for summary in datagram.summaries.iter().take(4) {
            let first = self.rng.random_range(0..64);
            let finer = anti_entropy::finer(&self.view, summary, first);
            let mut summaries = finer.summaries.into_iter().peekable();
            while summaries.peek().is_some() && self.comparing.open(at.now) {
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
                self.comparing.spend(bytes);
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
            .map(|range| (range, anti_entropy::headers(&self.view, &range)));
        let mut next = covered.next();
        let mut packs = Vec::new();
        while next.is_some() {
            let mut pack = DatagramBuilder::new(Datagram {
                from,
                kind: kind::HEADERS,
                ..Datagram::default()
            });
            while let Some((range, news)) = next.take() {
                let bytes = field(range.encoded_len())
                    + news.iter().map(|n| field(n.encoded_len())).sum::<usize>();
                if !pack.fits(bytes) {
                    next = Some((range, news));
                    break;
                }
                pack.size += bytes;
                pack.datagram.covered.push(range);
                pack.datagram.news.extend(news);
                next = covered.next();
            }
            if pack.datagram.covered.is_empty() {
                break; // a range that does not fit a datagram can't come up: it has few members
            }
            packs.push(pack.datagram);
        }
        for datagram in packs {
            if self.comparing.open(at.now) {
                let bytes = self.send(at, to, datagram);
                self.comparing.spend(bytes);
            }
        }
    }

    pub(super) fn pulses_heard(&mut self, at: ClockReading, pulses: &[u8]) {
        for pulse in pulses.as_chunks::<PULSE>().0.iter().take(2 * PULSES) {
            let tag = u32::from_be_bytes([pulse[0], pulse[1], pulse[2], pulse[3]]);
            let no = u16::from_be_bytes([pulse[4], pulse[5]]);
            if tag == (self.me.0 >> 32) as u32 {
                continue;
            }
            let heard = self.view.pulse(
                at.now,
                tag,
                LoadHint {
                    no,
                    room: pulse[6],
                    load: pulse[7],
                },
            );
            if let Some(key) = heard {
                self.recent.retain(|other| *other != key);
                self.recent.push(key);
                if self.recent.len() > 4 * PULSES {
                    self.recent.remove(0);
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
            no: datagram.no,
            ..Datagram::default()
        });
        if datagram.topic != 0 {
            let Some((page, next)) = self.host.show(datagram.topic, datagram.cursor) else {
                return;
            };
            if page.len() > wire::PARCEL_MAX {
                return self.count("pages that are too large", 1);
            }
            (
                pack.datagram.topic,
                pack.datagram.parcel,
                pack.datagram.cursor,
            ) = (datagram.topic, page, next);
            self.send(at, to, pack.datagram);
            return;
        }
        if datagram.cursor == 0 {
            pack.datagram.report = Some(self.report(at));
            pack.datagram.cursor = 1;
        } else {
            for (key, entry) in self.view.range(datagram.cursor..=u64::MAX) {
                if !pack.fits(field(entry.full(key).encoded_len()) + PULSE) {
                    pack.datagram.cursor = key.0;
                    break;
                }
                pack.news(entry.full(key));
                let pulse = if key == self.me {
                    self.pulse
                } else {
                    entry.pulse
                };
                pack.size += PULSE;
                pack.datagram
                    .pulses
                    .extend(((key.0 >> 32) as u32).to_be_bytes());
                pack.datagram.pulses.extend(pulse.no.to_be_bytes());
                pack.datagram.pulses.extend([pulse.room, pulse.load]);
            }
        }
        self.send(at, to, pack.datagram);
    }

    /// What became of an order.
    pub fn ordered(
        &mut self,
        at: ClockReading,
        to: SocketAddr,
        no: u32,
        topic: u32,
        answer: &[u8],
    ) {
        if answer.len() > wire::PARCEL_MAX {
            return self.count("answers to orders that are too large", 1);
        }
        let (from, kind, parcel) = (self.from(), kind::ORDERED, answer.to_vec());
        self.send(
            at,
            to,
            Datagram {
                from,
                kind,
                no,
                topic,
                parcel,
                ..Datagram::default()
            },
        );
    }

    pub(super) fn report(&self, at: ClockReading) -> NodeReport {
        let (counts, sight) = (self.view.counts(), &self.sight);
        let times = |since: Nanos| (at.now.saturating_sub(since) / MILLISECOND).max(1);
        let mut report = NodeReport {
            name: self.settings.name.clone(),
            size: sight.fleet.size as u32,
            low: sight.fleet.low as u32,
            high: sight.fleet.high as u32,
            unsure_ms: sight.unsure_since.map_or(0, times),
            doubt: sight.doubt,
            suspects: counts.suspect as u32,
            dead: counts.dead as u32,
            zone: self.settings.zone.clone(),
            mute: self.is_mute(),
            counts: Vec::new(),
            changes: Vec::new(),
        };
        let most = MESSAGE_MAX - 100;
        for (what, times) in &self.counts {
            report.counts.push(wire::CounterMessage {
                what: (*what).to_owned(),
                times: *times,
            });
            if report.encoded_len() > most * 2 / 3 {
                report.counts.pop();
                break;
            }
        }
        for happened in self.history.latest().take(16) {
            let line = happened.to_string();
            report.changes.push(wire::ChangeEvent {
                unix_ms: happened.unix_ms,
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
