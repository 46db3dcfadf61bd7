//! MemberUpdate: what is said of members, and of this node itself; and a name that two processes have.

use super::*;

impl<H: Host> Membership<H> {
    /// A member changed: clears or begins what belongs to that, spreads it and tells of it.
    pub(super) fn reacted(
        &mut self,
        at: ClockReading,
        key: MemberKey,
        change: &MemberChange,
        more: &str,
    ) {
        self.changed = at.now;
        if change.before.is_none_or(|before| !before.is_present())
            && change.after.is_present()
            && key != self.me
        {
            self.round.insert(&mut self.rng, key);
        }
        if change.after != Liveness::Suspect {
            self.suspicions.clear(key);
        }
        self.gossip.push(key);
        if let Some(kind) = change.kind() {
            let more = match (kind, self.view.get(key)) {
                (ChangeKind::Joined | ChangeKind::Moved | ChangeKind::Replaced, Some(entry)) => {
                    format!(
                        "at {} in zone '{}'",
                        entry.details.address, entry.details.zone
                    )
                }
                (ChangeKind::Phase, Some(entry)) => entry.details.phase.word().to_owned(),
                _ => more.to_owned(),
            };
            self.happened(at, kind, key, more);
        }
    }

    /// Something was said of a member. Gives what to say back: entries that are wanted, and those
    /// of which more is known.
    pub(super) fn heard(
        &mut self,
        at: ClockReading,
        sender: MemberKey,
        news: &MemberUpdate,
        back: &mut RangeExchange,
    ) {
        let key = MemberKey(news.key);
        if key == self.me && (news.life == self.epoch.life.0 || self.contests(news)) {
            return self.heard_of_self(at, news, back);
        }
        match self.view.merge(at.now, news) {
            MergeOutcome::Known => self.confirmed(at, sender, news),
            MergeOutcome::Older => back.brief.push(key),
            MergeOutcome::Wanted if back.wants.len() < WANTS => back.wants.push(key),
            MergeOutcome::Wanted => {}
            MergeOutcome::DetailsError(odd) => self.count(odd_word(odd), 1),
            MergeOutcome::Full => self.count("members for whom there is no room", 1),
            MergeOutcome::Changed(change) => {
                self.reacted(at, key, &change, "");
                self.confirmed(at, sender, news);
            }
        }
    }

    /// A suspicion that is told names who has it.
    pub(super) fn confirmed(&mut self, at: ClockReading, sender: MemberKey, news: &MemberUpdate) {
        let key = MemberKey(news.key);
        let suspect = self
            .view
            .get(key)
            .is_some_and(|entry| entry.status() == Liveness::Suspect);
        if suspect && news.status == Liveness::Suspect.number() {
            let by = if news.by == 0 {
                sender
            } else {
                MemberKey(news.by)
            };
            self.suspect(at, key, by);
        }
    }

    /// Whether this is about another life that has this node's name, and holds over it.
    pub(super) fn contests(&self, news: &MemberUpdate) -> bool {
        let theirs = Epoch {
            birth: news.birth,
            life: Incarnation(news.life),
        };
        !self.is_mute() && theirs > self.epoch && news.life != self.epoch.life.0
    }

    /// Something was said of this node itself.
    pub(super) fn heard_of_self(
        &mut self,
        at: ClockReading,
        news: &MemberUpdate,
        back: &mut RangeExchange,
    ) {
        let status = Liveness::from_number(news.status).unwrap_or_default();
        if news.life == self.epoch.life.0 {
            let own = LivenessState {
                bump: self.bump,
                status: if self.leaving {
                    Liveness::Left
                } else {
                    Liveness::Alive
                },
            };
            let heard = LivenessState {
                bump: news.bump,
                status,
            };
            // What was said of it under an earlier birth of the same life is out of date, whatever
            // it says.
            let refutes = if news.birth == self.epoch.birth {
                refutes(own, heard)
            } else {
                None
            };
            match refutes {
                _ if self.is_mute() => {}
                Some(bump) => {
                    if self.settings.extensions.health && status == Liveness::Suspect {
                        self.health.suspected();
                    }
                    if bump == u32::MAX {
                        return self.outlive(at, news.birth, "its bumps are used up");
                    }
                    self.bump = bump;
                    self.refute(at, status);
                }
                None if (news.birth, heard) != (self.epoch.birth, own) => back.brief.push(self.me),
                None => {}
            }
            return;
        }
        if !status.is_present() {
            return self.outlive(at, news.birth, "what had its name is gone");
        }
        let details = MemberDetails::read(&news.told).ok();
        match details {
            None => back.wants.push(self.me),
            // Only one process can be reached there, and that is this one.
            Some(details) if details.address == self.settings.address => {
                self.outlive(at, news.birth, "a past of its own");
            }
            Some(details) => {
                let is_known = self
                    .contest
                    .as_ref()
                    .is_some_and(|c| c.holder.life == news.life);
                if !is_known {
                    let (holder, address) = (news.clone(), details.address);
                    self.contest = Some(NameConflict {
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
        if let Err(odd) = self.announce(at) {
            self.count(odd_word(odd), 1);
        }
        self.count("times it was suspect or dead and said that it is there", 1);
        self.happened(
            at,
            ChangeKind::Refuted,
            self.me,
            format!("held {}", said.word()),
        );
    }

    /// Its name is its own, by a birth later than any that was heard.
    pub(super) fn outlive(&mut self, at: ClockReading, birth: u64, why: &str) {
        let was_mute = self.is_mute();
        self.contest = None;
        self.epoch.birth = self.epoch.birth.max(birth).saturating_add(1);
        self.bump = 0;
        self.say_anew(at);
        if was_mute {
            self.happened(at, ChangeKind::NameBack, self.me, why.to_owned());
        } else {
            self.count("times it took its name over from an earlier life", 1);
        }
    }

    // ---- A name that two have ----

    /// The other life was heard, so that it is there: it came later, and has the name.
    pub(super) fn holder_heard(&mut self, at: ClockReading) {
        let Some(contest) = &mut self.contest else {
            return;
        };
        contest.tries = 0;
        if contest.mute {
            return;
        }
        contest.mute = true;
        contest.next = at.now + MUTE_LOOK;
        let (holder, address) = (contest.holder.clone(), contest.address);
        (self.flight, self.errands) = (None, BTreeMap::new());
        self.gossip.drop_news(self.me);
        let _ = self.view.merge(at.now, &holder);
        self.happened(
            at,
            ChangeKind::NameTaken,
            self.me,
            format!("a later process at {address} has it; this one says nothing of itself"),
        );
    }

    pub(super) fn contest_due(&mut self, at: ClockReading) {
        let Some(contest) = &mut self.contest else {
            return;
        };
        contest.tries += 1;
        let (tries, mute, address, birth) = (
            contest.tries,
            contest.mute,
            contest.address,
            contest.holder.birth,
        );
        contest.next = at.now
            + if mute {
                MUTE_LOOK
            } else {
                self.settings.periods.answer
            };
        if tries > if mute { MUTE_TRIES } else { CONTEST_TRIES } {
            return self.outlive(at, birth, "what had its name does not answer");
        }
        let from = if mute { MemberKey::NOBODY } else { self.me };
        let ping = Datagram {
            from: from.0,
            kind: kind::PING,
            target: self.me.0,
            ..Datagram::default()
        };
        self.send(at, address, ping);
        if mute {
            let gone = self
                .view
                .get(self.me)
                .is_none_or(|entry| !entry.status().is_present());
            if gone {
                return self.outlive(at, birth, "what had its name is gone");
            }
            // Nobody tells one that no view holds: it asks.
            if let Some(key) = self.others(1).first().copied() {
                self.compare(at, key);
            }
        }
    }
}
