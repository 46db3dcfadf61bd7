//! Gossip rounds, and the search for members that are lost: the dead and the seeds.

use super::*;

/// Members addressed in each gossip round.
pub(super) const GOSSIP_FANOUT: usize = 3;
/// Updates that fit one datagram, roughly; with more queued, member tables are compared instead.
pub(super) const UPDATES_PER_DATAGRAM: usize = 20;
/// Period at which seeds are contacted by a node that knows nobody, and by others.
const SEED_INTERVAL_ALONE: Nanos = SECOND;
const SEED_INTERVAL: Nanos = 10 * SECOND;
/// Seeds contacted at once by a node that knows nobody.
const SEEDS_AT_ONCE: usize = 3;
/// Members dead for longer than the time are probed only every so many rounds.
const DEAD_PROBE_BACKOFF: [(Nanos, u64); 2] = [(60 * SECOND, 5), (600 * SECOND, 30)];
/// One more dead member is probed in a round for each so many that are due.
const DEAD_PER_EXTRA_PROBE: usize = 24;
/// Dead members probed in one round at most.
const DEAD_PROBES_MAX: usize = 8;

impl<H: Host> Membership<H> {
    /// Some other present members, by chance.
    pub(super) fn random_present(&mut self, most: usize) -> Vec<MemberKey> {
        let (member_table, own_key) = (&self.member_table, self.own_key);
        let there = |key: MemberKey| {
            key != own_key
                && member_table
                    .get(key)
                    .is_some_and(|e| e.liveness().is_present())
        };
        self.probe_order.sample(&mut self.rng, most, there)
    }

    /// Some other present members, by chance.
    pub fn random_members(&mut self, most: usize) -> Vec<MemberKey> {
        self.random_present(most)
    }

    /// A gossip round: sends queued updates to a few members, and compares member tables where too
    /// much is queued.
    pub(super) fn gossip_round(&mut self, at: ClockReading) {
        let unsettled = at.now < self.unsettled_until;
        if self.has_name_conflict() || self.dissemination_queue.is_empty() && !unsettled {
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

    /// Probes some dead members. One that replies leads to a comparison of member tables: so the
    /// halves of a healed partition find each other.
    pub(super) fn probe_dead(&mut self, at: ClockReading) {
        self.recovery_rounds += 1;
        if !self.config.features.probe_dead
            || self.has_name_conflict()
            || self.leaving
            || self.member_table.counts().dead == 0
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
        if let (Some(other), Some(entry)) = (
            self.random_present(1).first().copied(),
            self.member_table.get(key),
        ) {
            let updates = vec![entry.header_update(key)];
            self.send_to(at, other, kind::ENTRIES, 0, MemberKey::NONE, updates);
        }
    }

    /// Addresses at which members may be found: seeds, and former members after a long pause.
    pub(super) fn join_addresses(&self) -> Vec<SocketAddr> {
        let all = self
            .config
            .seeds
            .iter()
            .chain(&self.former_addresses)
            .copied();
        all.filter(|place| *place != self.config.address).collect()
    }

    /// Contacts seeds: often while the node knows nobody, else now and then those where no member
    /// is known.
    pub(super) fn contact_seeds(&mut self, at: ClockReading) {
        let alone = self.member_table.counts().present() <= 1;
        self.timers.contact_seeds = at.now
            + if alone {
                SEED_INTERVAL_ALONE
            } else {
                SEED_INTERVAL
            };
        if self.has_name_conflict() || self.leaving {
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
            let updates = self.own_entry(true).into_iter().collect();
            let ping = Datagram {
                from: self.own_key.0,
                kind: kind::PING,
                updates,
                ..Datagram::default()
            };
            self.send(at, place, ping);
        }
    }
}
