//! Gossip rounds, and attempts to reach dead members and seeds.

use super::*;

/// Number of members that receive a datagram in each gossip round.
pub(super) const GOSSIP_FANOUT: usize = 3;
/// Approximate number of updates that fit one datagram. If more updates are queued, member tables
/// are compared as well.
pub(super) const UPDATES_PER_DATAGRAM: usize = 20;
/// Time between two contacts to seeds while the node knows no other member.
const SEED_INTERVAL_ALONE: Nanos = SECOND;
/// Time between two contacts to seeds while the node knows other members.
const SEED_INTERVAL: Nanos = 10 * SECOND;
/// Number of seeds contacted at once while the node knows no other member.
const SEEDS_AT_ONCE: usize = 3;
/// Members that have been dead for at least the given time are probed only in every n-th round;
/// each pair is a time and its n.
const DEAD_PROBE_BACKOFF: [(Nanos, u64); 2] = [(60 * SECOND, 5), (600 * SECOND, 30)];
/// For each full group of this many dead members that are due, one more is probed in a round.
const DEAD_PER_EXTRA_PROBE: usize = 24;
/// Maximum number of dead members probed in one round.
const DEAD_PROBES_MAX: usize = 8;

impl<H: Host> Membership<H> {
    /// Returns up to `count_max` other present members, chosen at random.
    pub(super) fn random_present(&mut self, count_max: usize) -> Vec<MemberKey> {
        let (member_table, own_key) = (&self.member_table, self.own_key);
        let is_other_present = |key: MemberKey| {
            key != own_key
                && member_table
                    .get(key)
                    .is_some_and(|e| e.liveness().is_present())
        };
        self.probe_order
            .sample(&mut self.rng, count_max, is_other_present)
    }

    /// Returns up to `count_max` other present members, chosen at random.
    pub fn random_members(&mut self, count_max: usize) -> Vec<MemberKey> {
        self.random_present(count_max)
    }

    /// Runs a gossip round: sends queued updates to a few members, and begins a comparison of
    /// member tables if more updates are queued than one datagram holds.
    pub(super) fn gossip_round(&mut self, at: ClockReading) {
        let unsettled = at.now < self.unsettled_until;
        if self.has_name_conflict() || self.dissemination_queue.is_empty() && !unsettled {
            return;
        }
        let queue_is_long = self.dissemination_queue.len() > UPDATES_PER_DATAGRAM;
        let others = self.random_present(GOSSIP_FANOUT);
        for key in &others {
            self.send_to(at, *key, kind::GOSSIP, 0, MemberKey::NONE, Vec::new());
        }
        if queue_is_long && let Some(key) = others.first() {
            self.start_comparison(at, *key);
        }
    }

    /// Probes some dead members. A reply leads to a comparison of member tables, by which the sides
    /// of a healed partition find each other.
    pub(super) fn probe_dead(&mut self, at: ClockReading) {
        self.dead_probe_rounds += 1;
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
        let (now, dead_probe_rounds) = (at.now, self.dead_probe_rounds);
        let due = |since: Nanos| {
            let age = now.saturating_sub(since);
            DEAD_PROBE_BACKOFF
                .iter()
                .rev()
                .find(|(after, _)| age >= *after)
                .is_none_or(|(_, rounds)| dead_probe_rounds % rounds == 0)
        };
        let mut dead: Vec<MemberKey> = dead
            .filter(|(_, entry)| due(entry.since))
            .map(|(key, _)| key)
            .collect();
        // If many members are dead, a partition is more likely than that many separate failures, so
        // more of them are probed.
        let probes = (1 + dead.len() / DEAD_PER_EXTRA_PROBE).min(DEAD_PROBES_MAX);
        dead.shuffle(&mut self.rng);
        dead.truncate(probes);
        for key in &dead {
            self.ping(at, *key, 0);
        }
        let Some(key) = dead.first().copied() else {
            return;
        };
        // Digests cover only present members, so they do not show that a member left that is
        // recorded as dead here. One member receives the recorded state and replies if it knows a
        // later one.
        if let (Some(other), Some(entry)) = (
            self.random_present(1).first().copied(),
            self.member_table.get(key),
        ) {
            let updates = vec![entry.header_update(key)];
            self.send_to(at, other, kind::ENTRIES, 0, MemberKey::NONE, updates);
        }
    }

    /// Returns the addresses at which members may be found: those of the seeds and, after a long
    /// pause, of the members known before.
    pub(super) fn join_addresses(&self) -> Vec<SocketAddr> {
        let all = self
            .config
            .seeds
            .iter()
            .chain(&self.former_addresses)
            .copied();
        all.filter(|address| *address != self.config.address)
            .collect()
    }

    /// Contacts seeds. While the node knows no other member, it contacts several seeds at a short
    /// interval. Otherwise it contacts one seed at a long interval; seeds whose address belongs to
    /// a known present member are then left out.
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
            join_addresses.retain(|address| !known.contains(address));
        }
        join_addresses.shuffle(&mut self.rng);
        for address in join_addresses
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
            self.send(at, address, ping);
        }
    }
}
