//! Probes: who is asked whether it is there, who asks for whom, and who is suspected for it.

use super::*;

impl<H: Host> Membership<H> {
    pub(super) fn answer_time(&self) -> Nanos {
        self.settings.periods.answer * self.factor()
    }

    /// A last call has this long for its answer.
    pub(super) fn call_time(&self) -> Nanos {
        2 * self.settings.periods.answer
    }

    pub(super) fn factor(&self) -> u64 {
        if self.settings.extensions.health {
            self.health.factor()
        } else {
            1
        }
    }

    /// Asks the next member whether it is there. The one before has had its time.
    pub(super) fn probe(&mut self, at: ClockReading) {
        if let Some(flight) = self.flight.take() {
            self.unanswered(at, &flight);
        }
        let period = self.settings.periods.probe * self.factor();
        self.timers.probe = at.now + period;
        if self.is_mute() || self.leaving {
            return;
        }
        let (view, me) = (&self.view, self.me);
        let there =
            |key: MemberKey| key != me && view.get(key).is_some_and(|e| e.status().is_present());
        let Some(target) = self.round.next(&mut self.rng, there) else {
            return;
        };
        self.no = self.no.wrapping_add(1);
        let life = self
            .view
            .get(target)
            .map_or(Incarnation(0), |entry| entry.epoch.life);
        let answer = self.answer_time();
        let (ask_at, again_at) = (Some(at.now + answer), at.now + answer / AGAIN);
        let (no, due) = (self.no, at.now + period);
        self.flight = Some(OutstandingProbe {
            no,
            target,
            life,
            again_at,
            ask_at,
            due,
            helpers: 0,
            spoke: 0,
        });
        self.ping(at, target, no);
    }

    /// A probe tells who asks, and what is held of the one that is asked, so that a suspect hears
    /// it at once.
    pub(super) fn ping(&mut self, at: ClockReading, target: MemberKey, no: u32) {
        let mut news: Vec<MemberUpdate> = self.own(true).into_iter().collect();
        if self.settings.extensions.confirm {
            news.extend(self.accused(target));
        }
        self.send_to(at, target, kind::PING, no, target, news);
    }

    /// What is held against a member.
    pub(super) fn accused(&self, key: MemberKey) -> Option<MemberUpdate> {
        let entry = self
            .view
            .get(key)
            .filter(|entry| entry.status() != Liveness::Alive)?;
        Some(MemberUpdate {
            by: self.me.0,
            ..entry.brief(key)
        })
    }

    pub(super) fn own(&self, full: bool) -> Option<MemberUpdate> {
        if self.is_mute() {
            return None;
        }
        let entry = self.view.get(self.me)?;
        Some(if full {
            entry.full(self.me)
        } else {
            entry.brief(self.me)
        })
    }

    pub(super) fn flight_due(&mut self, at: ClockReading) {
        let answer = self.answer_time();
        let Some(flight) = &mut self.flight else {
            return;
        };
        if at.now >= flight.due {
            if let Some(flight) = self.flight.take() {
                self.unanswered(at, &flight);
            }
        } else if flight.ask_at.is_some_and(|ask_at| at.now >= ask_at) {
            (flight.ask_at, flight.again_at) = (None, at.now + answer);
            let (no, target) = (flight.no, flight.target);
            let helpers = self.helpers(target);
            if let Some(flight) = &mut self.flight {
                flight.helpers = helpers.len() as u32;
            }
            for helper in helpers {
                self.send_to(
                    at,
                    helper,
                    kind::ASK,
                    no,
                    target,
                    self.accused(target).into_iter().collect(),
                );
            }
        } else if at.now >= flight.again_at {
            let (no, target) = (flight.no, flight.target);
            flight.again_at = at.now
                + if flight.ask_at.is_some() {
                    answer / AGAIN
                } else {
                    answer
                };
            self.ping(at, target, no);
        }
    }

    /// Errands: asked again once, given up at their end.
    pub(super) fn errands_due(&mut self, at: ClockReading) {
        let late: Vec<u32> = self
            .errands
            .iter()
            .filter(|(_, e)| e.due <= at.now)
            .map(|(no, _)| *no)
            .collect();
        for no in late {
            if let Some(errand) = self.errands.remove(&no) {
                self.send_to(
                    at,
                    errand.origin,
                    kind::NACK,
                    errand.origin_no,
                    errand.target,
                    Vec::new(),
                );
            }
        }
        let again = self
            .errands
            .iter_mut()
            .filter(|(_, errand)| errand.again_at <= at.now);
        let again: Vec<(u32, MemberKey)> = again
            .map(|(no, errand)| {
                errand.again_at = errand.due;
                (*no, errand.target)
            })
            .collect();
        for (no, target) in again {
            self.ping(at, target, no);
        }
    }

    /// Who is to ask instead: one of the target's own zone if there is one, for the way there may
    /// be the trouble; the others by chance.
    pub(super) fn helpers(&mut self, target: MemberKey) -> Vec<MemberKey> {
        let (view, me) = (&self.view, self.me);
        let there = |key: MemberKey| {
            key != me
                && key != target
                && view
                    .get(key)
                    .is_some_and(|entry| entry.status() == Liveness::Alive)
        };
        let mut helpers = self.round.some(&mut self.rng, HELPERS, there);
        let zone = view.get(target).map(|entry| &entry.details.zone);
        let is_near = |key: &MemberKey| view.get(*key).map(|entry| &entry.details.zone) == zone;
        if !helpers.iter().any(is_near) {
            let near = self
                .round
                .some(&mut self.rng, 1, |key| there(key) && is_near(&key));
            if let Some(near) = near.first() {
                helpers.truncate(HELPERS - 1);
                helpers.push(*near);
            }
        }
        helpers
    }

    pub(super) fn unanswered(&mut self, at: ClockReading, flight: &OutstandingProbe) {
        let there = self
            .view
            .get(flight.target)
            .filter(|entry| entry.status().is_present());
        if there.is_none_or(|entry| entry.epoch.life != flight.life) {
            return; // gone, or another process, meanwhile
        }
        self.count("probes without an answer", 1);
        if self.settings.extensions.health {
            self.health
                .unanswered(flight.helpers, flight.helpers.saturating_sub(flight.spoke));
        }
        self.suspect(at, flight.target, self.me);
    }

    /// The least and the most time that a suspect has.
    pub(super) fn suspicion(&self) -> (Nanos, Nanos) {
        let members = self.view.counts().present().max(2) as f64;
        let periods = &self.settings.periods;
        let least = (periods.suspicion * members.log10().max(1.0) * periods.probe as f64) as Nanos;
        if !self.settings.extensions.confirm || members < 3.0 {
            return (least, least); // nobody is there who could confirm
        }
        (least, (least as f64 * periods.suspicion_most) as Nanos)
    }

    pub(super) fn suspect(&mut self, at: ClockReading, key: MemberKey, by: MemberKey) {
        let wait = self.suspicion();
        let is_new = self.suspicions.suspect(at.now, key, by, wait);
        match self.view.set(at.now, key, Liveness::Suspect) {
            Some(change) => {
                let more = if by == self.me {
                    "does not answer"
                } else {
                    "by word of another"
                };
                self.reacted(at, key, &change, more);
            }
            // One more who suspects it is worth telling: it shortens the wait of the others.
            None if is_new => self.gossip.push(key),
            None => {}
        }
    }
}
