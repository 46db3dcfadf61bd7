//! Failure detection: direct probes, probes relayed by others, and suspicion.

use super::*;

/// Direct probes sent before relays are asked; retries go out only where no reply came.
const PROBE_RETRIES: u64 = 3;
/// Members asked to relay a probe.
const RELAYS: usize = 3;

/// A probe that waits for its acknowledgement.
#[derive(Debug)]
pub(super) struct OutstandingProbe {
    pub(super) number: u32,
    pub(super) target: MemberKey,
    pub(super) incarnation: Incarnation,
    /// When the probe is repeated, in case it was lost.
    pub(super) retry_at: Nanos,
    /// When relays are asked; `None` once they have been.
    pub(super) relay_at: Option<Nanos>,
    pub(super) due: Nanos,
    /// Relays that were asked, and how many of them replied at all.
    pub(super) relays: u32,
    pub(super) relays_heard: u32,
}

/// A probe made on behalf of another member.
#[derive(Debug)]
pub(super) struct RelayedProbe {
    pub(super) origin: MemberKey,
    pub(super) origin_number: u32,
    pub(super) target: MemberKey,
    pub(super) incarnation: Incarnation,
    pub(super) retry_at: Nanos,
    pub(super) due: Nanos,
}

impl<H: Host> Membership<H> {
    /// Timeout of a direct probe, stretched by local health.
    pub(super) fn probe_timeout(&self) -> Nanos {
        self.config.timing.probe_timeout * self.health_factor()
    }

    /// Time that a suspect has to answer the last call.
    pub(super) fn last_call_time(&self) -> Nanos {
        2 * self.config.timing.probe_timeout
    }

    /// Factor by which local health stretches timeouts.
    pub(super) fn health_factor(&self) -> u64 {
        if self.config.features.health {
            self.local_health.health_factor()
        } else {
            1
        }
    }

    /// Probes the next member in the round. The previous probe has had its time.
    pub(super) fn probe(&mut self, at: ClockReading) {
        if let Some(outstanding_probe) = self.outstanding_probe.take() {
            self.on_probe_failed(at, &outstanding_probe);
        }
        let period = self.config.timing.probe * self.health_factor();
        self.timers.probe = at.now + period;
        if self.has_name_conflict() || self.leaving {
            return;
        }
        let (member_table, own_key) = (&self.member_table, self.own_key);
        let there = |key: MemberKey| {
            key != own_key
                && member_table
                    .get(key)
                    .is_some_and(|e| e.liveness().is_present())
        };
        let Some(target) = self.probe_order.next(&mut self.rng, there) else {
            return;
        };
        self.number = self.number.wrapping_add(1);
        let incarnation = self
            .member_table
            .get(target)
            .map_or(Incarnation(0), |entry| entry.epoch.incarnation);
        let answer = self.probe_timeout();
        let (relay_at, retry_at) = (Some(at.now + answer), at.now + answer / PROBE_RETRIES);
        let (number, due) = (self.number, at.now + period);
        self.outstanding_probe = Some(OutstandingProbe {
            number,
            target,
            incarnation,
            retry_at,
            relay_at,
            due,
            relays: 0,
            relays_heard: 0,
        });
        self.ping(at, target, number);
    }

    /// Sends a probe. It carries what is known against its target, so that a suspect learns of it
    /// at once.
    pub(super) fn ping(&mut self, at: ClockReading, target: MemberKey, number: u32) {
        let mut updates: Vec<MemberUpdate> = self.own_entry(true).into_iter().collect();
        if self.config.features.confirm {
            updates.extend(self.suspicion_about(target));
        }
        self.send_to(at, target, kind::PING, number, target, updates);
    }

    /// The suspicion or death recorded for a member, if any.
    pub(super) fn suspicion_about(&self, key: MemberKey) -> Option<MemberUpdate> {
        let entry = self
            .member_table
            .get(key)
            .filter(|entry| entry.liveness() != Liveness::Alive)?;
        Some(MemberUpdate {
            suspected_by: self.own_key.0,
            ..entry.header_update(key)
        })
    }

    /// Retries the outstanding probe, asks relays, or gives it up, as due.
    pub(super) fn on_probe_timers(&mut self, at: ClockReading) {
        let answer = self.probe_timeout();
        let Some(outstanding_probe) = &mut self.outstanding_probe else {
            return;
        };
        if at.now >= outstanding_probe.due {
            if let Some(outstanding_probe) = self.outstanding_probe.take() {
                self.on_probe_failed(at, &outstanding_probe);
            }
        } else if outstanding_probe
            .relay_at
            .is_some_and(|relay_at| at.now >= relay_at)
        {
            (outstanding_probe.relay_at, outstanding_probe.retry_at) = (None, at.now + answer);
            let (number, target) = (outstanding_probe.number, outstanding_probe.target);
            let relays = self.relays(target);
            if let Some(outstanding_probe) = &mut self.outstanding_probe {
                outstanding_probe.relays = relays.len() as u32;
            }
            for relay in relays {
                self.send_to(
                    at,
                    relay,
                    kind::ASK,
                    number,
                    target,
                    self.suspicion_about(target).into_iter().collect(),
                );
            }
        } else if at.now >= outstanding_probe.retry_at {
            let (number, target) = (outstanding_probe.number, outstanding_probe.target);
            outstanding_probe.retry_at = at.now
                + if outstanding_probe.relay_at.is_some() {
                    answer / PROBE_RETRIES
                } else {
                    answer
                };
            self.ping(at, target, number);
        }
    }

    /// Retries relayed probes once, and reports those without a reply to their origin.
    pub(super) fn on_relayed_probe_timers(&mut self, at: ClockReading) {
        let late: Vec<u32> = self
            .relayed_probes
            .iter()
            .filter(|(_, e)| e.due <= at.now)
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            if let Some(relayed_probe) = self.relayed_probes.remove(&number) {
                self.send_to(
                    at,
                    relayed_probe.origin,
                    kind::NACK,
                    relayed_probe.origin_number,
                    relayed_probe.target,
                    Vec::new(),
                );
            }
        }
        let again = self
            .relayed_probes
            .iter_mut()
            .filter(|(_, relayed_probe)| relayed_probe.retry_at <= at.now);
        let again: Vec<(u32, MemberKey)> = again
            .map(|(number, relayed_probe)| {
                relayed_probe.retry_at = relayed_probe.due;
                (*number, relayed_probe.target)
            })
            .collect();
        for (number, target) in again {
            self.ping(at, target, number);
        }
    }

    /// Chooses relays by chance, at least one of them in the target's zone where there is one: the
    /// path there may be the trouble.
    fn relays(&mut self, target: MemberKey) -> Vec<MemberKey> {
        let (member_table, own_key) = (&self.member_table, self.own_key);
        let there = |key: MemberKey| {
            key != own_key
                && key != target
                && member_table
                    .get(key)
                    .is_some_and(|entry| entry.liveness() == Liveness::Alive)
        };
        let mut relays = self.probe_order.sample(&mut self.rng, RELAYS, there);
        let zone = member_table.get(target).map(|entry| &entry.details.zone);
        let is_near =
            |key: &MemberKey| member_table.get(*key).map(|entry| &entry.details.zone) == zone;
        if !relays.iter().any(is_near) {
            let near = self
                .probe_order
                .sample(&mut self.rng, 1, |key| there(key) && is_near(&key));
            if let Some(near) = near.first() {
                relays.truncate(RELAYS - 1);
                relays.push(*near);
            }
        }
        relays
    }

    /// Suspects the target of a probe that nobody acknowledged.
    fn on_probe_failed(&mut self, at: ClockReading, outstanding_probe: &OutstandingProbe) {
        let there = self
            .member_table
            .get(outstanding_probe.target)
            .filter(|entry| entry.liveness().is_present());
        if there.is_none_or(|entry| entry.epoch.incarnation != outstanding_probe.incarnation) {
            return; // gone, or another process, meanwhile
        }
        self.count("probes without an answer", 1);
        if self.config.features.health {
            self.local_health.probe_failed(
                outstanding_probe.relays,
                outstanding_probe
                    .relays
                    .saturating_sub(outstanding_probe.relays_heard),
            );
        }
        self.suspect(at, outstanding_probe.target, self.own_key);
    }

    /// Shortest and longest suspicion timeout for the present cluster size.
    fn suspicion(&self) -> (Nanos, Nanos) {
        let members = self.member_table.counts().present().max(2) as f64;
        let timing = &self.config.timing;
        let least = (timing.suspicion * members.log10().max(1.0) * timing.probe as f64) as Nanos;
        if !self.config.features.confirm || members < 3.0 {
            return (least, least); // nobody is there who could confirm
        }
        (least, (least as f64 * timing.suspicion_max_factor) as Nanos)
    }

    /// Records a suspicion and its source.
    pub(super) fn suspect(&mut self, at: ClockReading, key: MemberKey, suspected_by: MemberKey) {
        let wait = self.suspicion();
        let is_new = self.suspicions.suspect(at.now, key, suspected_by, wait);
        match self.member_table.mark(at.now, key, Liveness::Suspect) {
            Some(change) => {
                let more = if suspected_by == self.own_key {
                    "does not answer"
                } else {
                    "by word of another"
                };
                self.on_member_changed(at, key, &change, more);
            }
            // One more who suspects it is worth telling: it shortens the wait of the others.
            None if is_new => self.dissemination_queue.push(key),
            None => {}
        }
    }
}
