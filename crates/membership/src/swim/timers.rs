//! Timers of the protocol, and the recovery from pauses of the process.

use super::*;

/// Time between two refreshes of the cluster view.
pub(super) const VIEW_INTERVAL: Nanos = 250 * MILLISECOND;
/// Time between two checks for members that left or died long ago and are to be forgotten.
pub(super) const EXPIRY_INTERVAL: Nanos = 5 * SECOND;
/// Delay of a timer from which on the process counts as paused.
const PAUSE_THRESHOLD: Nanos = 500 * MILLISECOND;
/// Length of a pause from which on the member table is too old to be used.
const LONG_PAUSE: Nanos = 300 * SECOND;
/// Time after a long pause during which datagrams are ignored: those that waited in the socket are
/// as old as the pause.
const STALE_SOCKET_TIME: Nanos = 200 * MILLISECOND;
/// Maximum number of addresses of former members that are used in addition to the seeds after a
/// long pause.
const FORMER_ADDRESSES_MAX: usize = 32;

/// Times at which periodic work is due.
#[derive(Debug)]
pub(super) struct Timers {
    pub(super) probe: Nanos,
    pub(super) gossip: Nanos,
    pub(super) probe_dead: Nanos,
    pub(super) contact_seeds: Nanos,
    pub(super) view: Nanos,
    pub(super) expire: Nanos,
}

impl Timers {
    /// Returns the first due times, drawn at random so that nodes that start together do not act at
    /// the same time.
    pub(super) fn start(timing: &Timing, now: Nanos, rng: &mut Pcg64Mcg) -> Timers {
        let mut random_start = |period: Nanos| now + rng.random_range(0..period.max(1));
        Timers {
            probe: random_start(timing.probe),
            gossip: random_start(timing.gossip),
            probe_dead: random_start(timing.probe_dead),
            contact_seeds: random_start(50 * MILLISECOND),
            view: now + VIEW_INTERVAL,
            expire: random_start(EXPIRY_INTERVAL),
        }
    }
}

impl<H: Host> Membership<H> {
    /// Returns the time at which [`Membership::wake`] is to be called next.
    pub fn next_wake(&self) -> Nanos {
        let t = &self.timers;
        let mut next = [
            t.probe,
            t.gossip,
            t.probe_dead,
            t.contact_seeds,
            t.view,
            t.expire,
        ]
        .into_iter()
        .min()
        .unwrap_or(0);
        if let Some(outstanding_probe) = &self.outstanding_probe {
            next = next
                .min(outstanding_probe.relay_at.unwrap_or(outstanding_probe.due))
                .min(outstanding_probe.retry_at);
        }
        if let Some(name_conflict) = &self.name_conflict {
            next = next.min(name_conflict.next);
        }
        let relayed_probes = self
            .relayed_probes
            .values()
            .map(|relayed_probe| relayed_probe.due.min(relayed_probe.retry_at))
            .min();
        next.min(self.suspicions.next(self.last_call_time()).unwrap_or(next))
            .min(relayed_probes.unwrap_or(next))
    }

    /// Detects that the process was paused. The process received nothing during the pause, so the
    /// missing replies are no evidence against other members: suspicions are postponed, and only
    /// the local health score rises.
    pub(super) fn detect_pause(&mut self, at: ClockReading) {
        let pause = at.now.saturating_sub(self.requested_wake);
        // Timers that became due during this pause do not count as another pause.
        self.requested_wake = self.next_wake().max(at.now);
        if pause < PAUSE_THRESHOLD {
            return;
        }
        if self.config.features.health {
            self.local_health.paused();
        }
        self.count("times it stood still", 1);
        self.suspicions.postpone(pause);
        (self.outstanding_probe, self.relayed_probes) = (None, BTreeMap::new());
        self.record_change(
            at,
            ChangeKind::StoodStill,
            self.own_key,
            format!("for {} ms", pause / MILLISECOND),
        );
        if pause >= LONG_PAUSE.min(self.config.timing.forget_after / 2) {
            self.forget_and_rejoin(at);
        }
    }

    /// Forgets all other members and joins again through their former addresses. Other nodes may
    /// have forgotten members that died during the pause; entries from this node's table would make
    /// those members appear alive again.
    fn forget_and_rejoin(&mut self, at: ClockReading) {
        let present = self
            .member_table
            .iter()
            .filter(|(key, e)| *key != self.own_key && e.liveness().is_present());
        let mut former_addresses: Vec<SocketAddr> =
            present.map(|(_, e)| e.details.address).collect();
        former_addresses.shuffle(&mut self.rng);
        former_addresses.truncate(FORMER_ADDRESSES_MAX);
        self.former_addresses = former_addresses;
        self.member_table.forget_all_but(self.own_key);
        self.suspicions.clear_all();
        self.probe_order.clear();
        self.dissemination_queue = DisseminationQueue::default();
        self.refutation += 1;
        self.announce_new_revision(at);
        (
            self.alone_since,
            self.alone_reported,
            self.timers.contact_seeds,
        ) = (Some(at.now), false, at.now + STALE_SOCKET_TIME);
        self.ignore_received_until = at.now + STALE_SOCKET_TIME;
    }

    /// Runs the timers that are due. To be called at [`Membership::next_wake`] or later.
    pub fn wake(&mut self, at: ClockReading) {
        self.detect_pause(at);
        let now = at.now;
        self.on_probe_timers(at);
        self.on_relayed_probe_timers(at);
        let due = self.suspicions.due(now, self.last_call_time());
        for key in due.last_calls {
            self.ping(at, key, 0);
        }
        for key in due.expired {
            if let Some(change) = self.member_table.mark(now, key, Liveness::Dead) {
                self.on_member_changed(at, key, &change, "did not refute the suspicion in time");
            }
        }
        if now >= self.timers.probe {
            self.probe(at);
        }
        if now >= self.timers.gossip {
            self.timers.gossip = now + self.config.timing.gossip;
            self.gossip_round(at);
        }
        if now >= self.timers.probe_dead {
            self.timers.probe_dead = now + self.config.timing.probe_dead;
            self.probe_dead(at);
        }
        if now >= self.timers.contact_seeds {
            self.contact_seeds(at);
        }
        if self
            .name_conflict
            .as_ref()
            .is_some_and(|name_conflict| now >= name_conflict.next)
        {
            self.on_name_conflict_timer(at);
        }
        if now >= self.timers.view {
            self.timers.view = now + VIEW_INTERVAL;
            self.refresh_cluster_view(at);
        }
        if now >= self.timers.expire {
            self.timers.expire = now + EXPIRY_INTERVAL;
            let forgotten = self
                .member_table
                .forget_gone(now, self.config.timing.forget_after);
            if forgotten > 0 {
                self.count("members forgotten after their time", forgotten as u64);
            }
        }
        self.requested_wake = self.next_wake().max(at.now);
    }
}
