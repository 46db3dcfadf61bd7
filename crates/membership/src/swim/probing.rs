//! Failure detection: direct probes, probes relayed by other members, and suspicion.

use super::*;

/// Number of direct probes sent before relays are asked. A probe is repeated only if no reply came.
const PROBE_RETRIES: u64 = 3;
/// Number of members asked to relay a probe.
const RELAYS: usize = 3;

/// Probe that has not been acknowledged yet.
#[derive(Debug)]
pub(super) struct OutstandingProbe {
    pub(super) number: u32,
    pub(super) target: MemberKey,
    pub(super) incarnation: Incarnation,
    /// Time at which the probe is repeated, in case it was lost.
    pub(super) retry_at: Nanos,
    /// Time at which relays are asked; `None` once they have been asked.
    pub(super) relay_at: Option<Nanos>,
    /// Time at which the probe counts as failed.
    pub(super) due: Nanos,
    /// Number of relays that were asked to probe; `relays_replied` of them replied.
    pub(super) relays: u32,
    pub(super) relays_replied: u32,
}

/// Probe of a member on behalf of another member.
#[derive(Debug)]
pub(super) struct RelayedProbe {
    /// Member that asked for the probe.
    pub(super) origin: MemberKey,
    /// Number of the probe that `origin` sent itself; repeated in the reply to `origin`.
    pub(super) origin_number: u32,
    pub(super) target: MemberKey,
    pub(super) incarnation: Incarnation,
    pub(super) retry_at: Nanos,
    pub(super) due: Nanos,
}

impl<H: Host> Membership<H> {
    /// Returns the timeout of a direct probe, multiplied by the local health factor.
    pub(super) fn probe_timeout(&self) -> Nanos {
        self.config.timing.probe_timeout * self.health_factor()
    }

    /// Returns the time that a suspect has to reply to the last call.
    pub(super) fn last_call_time(&self) -> Nanos {
        2 * self.config.timing.probe_timeout
    }

    /// Returns the factor by which local health multiplies timeouts.
    pub(super) fn health_factor(&self) -> u64 {
        if self.config.features.health {
            self.local_health.health_factor()
        } else {
            1
        }
    }

    /// Probes the next member in the round. The previous probe has failed if it is still
    /// outstanding.
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
        let is_other_present = |key: MemberKey| {
            key != own_key
                && member_table
                    .get(key)
                    .is_some_and(|e| e.liveness().is_present())
        };
        let Some(target) = self.probe_order.next(&mut self.rng, is_other_present) else {
            return;
        };
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        let incarnation = self
            .member_table
            .get(target)
            .map_or(Incarnation(0), |entry| entry.epoch.incarnation);
        let timeout = self.probe_timeout();
        let (relay_at, retry_at) = (Some(at.now + timeout), at.now + timeout / PROBE_RETRIES);
        let (number, due) = (self.last_probe_number, at.now + period);
        self.outstanding_probe = Some(OutstandingProbe {
            number,
            target,
            incarnation,
            retry_at,
            relay_at,
            due,
            relays: 0,
            relays_replied: 0,
        });
        self.ping(at, target, number);
    }

    /// Sends a probe. It carries the suspicion or death recorded for its target, so that the target
    /// can refute that at once.
    pub(super) fn ping(&mut self, at: ClockReading, target: MemberKey, number: u32) {
        let mut updates: Vec<MemberUpdate> = self.own_entry(true).into_iter().collect();
        if self.config.features.confirm {
            updates.extend(self.suspicion_about(target));
        }
        self.send_to(at, target, kind::PING, number, target, updates);
    }

    /// Returns an update with the recorded state of a member that is not alive; `None` for other
    /// members.
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

    /// Repeats the outstanding probe, asks relays, or records that the probe failed, whichever is
    /// due.
    pub(super) fn on_probe_timers(&mut self, at: ClockReading) {
        let timeout = self.probe_timeout();
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
            (outstanding_probe.relay_at, outstanding_probe.retry_at) = (None, at.now + timeout);
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
                    timeout / PROBE_RETRIES
                } else {
                    timeout
                };
            self.ping(at, target, number);
        }
    }

    /// Repeats relayed probes once, and reports those without a reply to the members that asked for
    /// them.
    pub(super) fn on_relayed_probe_timers(&mut self, at: ClockReading) {
        let expired: Vec<u32> = self
            .relayed_probes
            .iter()
            .filter(|(_, e)| e.due <= at.now)
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
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
        let retries = self
            .relayed_probes
            .iter_mut()
            .filter(|(_, relayed_probe)| relayed_probe.retry_at <= at.now);
        let retries: Vec<(u32, MemberKey)> = retries
            .map(|(number, relayed_probe)| {
                relayed_probe.retry_at = relayed_probe.due;
                (*number, relayed_probe.target)
            })
            .collect();
        for (number, target) in retries {
            self.ping(at, target, number);
        }
    }

    /// Chooses relays at random, at least one of them in the target's zone if a member is alive
    /// there: the fault may lie in the path to that zone.
    fn relays(&mut self, target: MemberKey) -> Vec<MemberKey> {
        let (member_table, own_key) = (&self.member_table, self.own_key);
        let is_candidate = |key: MemberKey| {
            key != own_key
                && key != target
                && member_table
                    .get(key)
                    .is_some_and(|entry| entry.liveness() == Liveness::Alive)
        };
        let mut relays = self.probe_order.sample(&mut self.rng, RELAYS, is_candidate);
        let zone = member_table.get(target).map(|entry| &entry.details.zone);
        let in_zone =
            |key: &MemberKey| member_table.get(*key).map(|entry| &entry.details.zone) == zone;
        if !relays.iter().any(in_zone) {
            let zone_relays = self
                .probe_order
                .sample(&mut self.rng, 1, |key| is_candidate(key) && in_zone(&key));
            if let Some(zone_relay) = zone_relays.first() {
                relays.truncate(RELAYS - 1);
                relays.push(*zone_relay);
            }
        }
        relays
    }

    /// Suspects the target of a probe that was acknowledged neither directly nor through a relay.
    fn on_probe_failed(&mut self, at: ClockReading, outstanding_probe: &OutstandingProbe) {
        let target = self
            .member_table
            .get(outstanding_probe.target)
            .filter(|entry| entry.liveness().is_present());
        if target.is_none_or(|entry| entry.epoch.incarnation != outstanding_probe.incarnation) {
            return; // the target is gone or has another incarnation by now
        }
        self.count("probes without an answer", 1);
        if self.config.features.health {
            self.local_health.probe_failed(
                outstanding_probe.relays,
                outstanding_probe
                    .relays
                    .saturating_sub(outstanding_probe.relays_replied),
            );
        }
        self.suspect(at, outstanding_probe.target, self.own_key);
    }

    /// Returns the shortest and the longest suspicion timeout for the current cluster size.
    fn suspicion_timeouts(&self) -> (Nanos, Nanos) {
        let members = self.member_table.counts().present().max(2) as f64;
        let timing = &self.config.timing;
        let shortest = (timing.suspicion * members.log10().max(1.0) * timing.probe as f64) as Nanos;
        if !self.config.features.confirm || members < 3.0 {
            return (shortest, shortest); // no other member could confirm a suspicion
        }
        (
            shortest,
            (shortest as f64 * timing.suspicion_max_factor) as Nanos,
        )
    }

    /// Records that `suspected_by` suspects a member.
    pub(super) fn suspect(&mut self, at: ClockReading, key: MemberKey, suspected_by: MemberKey) {
        let timeouts = self.suspicion_timeouts();
        let is_new = self.suspicions.suspect(at.now, key, suspected_by, timeouts);
        match self.member_table.mark(at.now, key, Liveness::Suspect) {
            Some(change) => {
                let more = if suspected_by == self.own_key {
                    "does not reply to probes"
                } else {
                    "reported by another member"
                };
                self.on_member_changed(at, key, &change, more);
            }
            // A further suspicion is disseminated as well: it shortens the timeout at other
            // members.
            None if is_new => self.dissemination_queue.push(key),
            None => {}
        }
    }
}
