//! Timers of the protocol, and what a node does after it stood still.

use super::*;

/// Period at which the cluster view is refreshed.
pub(super) const VIEW_INTERVAL: Nanos = 250 * MILLISECOND;
/// Period at which members that left or died long ago are forgotten.
pub(super) const EXPIRY_INTERVAL: Nanos = 5 * SECOND;
/// A timer that fires this late shows that the process stood still.
const PAUSE_THRESHOLD: Nanos = 500 * MILLISECOND;
/// After a pause this long the member table is worthless.
const LONG_PAUSE: Nanos = 300 * SECOND;
/// After a long pause, datagrams are ignored for this long: what waited in the socket is as old.
const STALE_SOCKET_TIME: Nanos = 200 * MILLISECOND;
/// Addresses of former members that are kept beside the seeds after a long pause.
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
    /// First times, drawn at random so that nodes that start together do not act together.
    pub(super) fn start(timing: &Timing, now: Nanos, rng: &mut Pcg64Mcg) -> Timers {
        let mut soon = |period: Nanos| now + rng.random_range(0..period.max(1));
        Timers {
            probe: soon(timing.probe),
            gossip: soon(timing.gossip),
            probe_dead: soon(timing.probe_dead),
            contact_seeds: soon(50 * MILLISECOND),
            view: now + VIEW_INTERVAL,
            expire: soon(EXPIRY_INTERVAL),
        }
    }
}

impl<H: Host> Membership<H> {
    /// The time at which [`Membership::wake`] is to be called next.
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

    /// Detects that the process stood still. It has heard nothing meanwhile, which speaks against
    /// itself and against nobody else.
    pub(super) fn detect_pause(&mut self, at: ClockReading) {
        let late = at.now.saturating_sub(self.promised_wake);
        // Timers that are overdue from before do not show another pause.
        self.promised_wake = self.next_wake().max(at.now);
        if late < PAUSE_THRESHOLD {
            return;
        }
        if self.config.features.health {
            self.local_health.paused();
        }
        self.count("times it stood still", 1);
        self.suspicions.postpone(late);
        (self.outstanding_probe, self.relayed_probes) = (None, BTreeMap::new());
        self.record_change(
            at,
            ChangeKind::StoodStill,
            self.own_key,
            format!("for {} ms", late / MILLISECOND),
        );
        if late >= LONG_PAUSE.min(self.config.timing.forget_after / 2) {
            self.forget_and_rejoin(at);
        }
    }

    /// Forgets all other members and joins again by their former addresses. Others may have
    /// forgotten members that died meanwhile; repeated to them, the dead would seem alive.
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

    /// Does what is due. To be called at [`Membership::next_wake`] or later.
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
                self.on_member_changed(at, key, &change, "did not say in time that it is there");
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
            let forgot = self
                .member_table
                .forget_gone(now, self.config.timing.forget_after);
            if forgot > 0 {
                self.count("members forgotten after their time", forgot as u64);
            }
        }
        self.promised_wake = self.next_wake().max(at.now);
    }
}
