//! Two processes with one name: the later one keeps it, the other goes mute.

use super::*;

/// Probes to find out whether the other process exists.
const NAME_CONFLICT_PROBES: u32 = 5;
/// Probes without a reply after which a mute node takes its name back.
const MUTE_PROBES: u32 = 6;
/// Period of a mute node's probes of the holder.
const MUTE_PROBE_INTERVAL: Nanos = 2 * SECOND;

/// Another process has this node's name and started later. Either it exists and holds the name, or
/// it is this node's own past, recorded with a clock that was ahead.
#[derive(Debug)]
pub(super) struct NameConflict {
    pub(super) holder: MemberUpdate,
    pub(super) address: SocketAddr,
    pub(super) tries: u32,
    pub(super) next: Nanos,
    /// Whether the holder was heard, so that this node gave the name up.
    pub(super) mute: bool,
}

impl<H: Host> Membership<H> {
    /// Takes the name (back), with a start time later than any that was heard.
    pub(super) fn reclaim_name(&mut self, at: ClockReading, started_unix_ms: u64, why: &str) {
        let was_mute = self.has_name_conflict();
        self.name_conflict = None;
        self.epoch.started_unix_ms = self
            .epoch
            .started_unix_ms
            .max(started_unix_ms)
            .saturating_add(1);
        self.refutation = 0;
        self.announce_new_revision(at);
        if was_mute {
            self.record_change(at, ChangeKind::NameBack, self.own_key, why.to_owned());
        } else {
            self.count("times it took its name over from an earlier incarnation", 1);
        }
    }

    /// The other process exists: it started later and keeps the name.
    pub(super) fn on_name_holder_heard(&mut self, at: ClockReading) {
        let Some(name_conflict) = &mut self.name_conflict else {
            return;
        };
        name_conflict.tries = 0;
        if name_conflict.mute {
            return;
        }
        name_conflict.mute = true;
        name_conflict.next = at.now + MUTE_PROBE_INTERVAL;
        let (holder, address) = (name_conflict.holder.clone(), name_conflict.address);
        (self.outstanding_probe, self.relayed_probes) = (None, BTreeMap::new());
        self.dissemination_queue.remove_updates(self.own_key);
        let _ = self.member_table.merge(at.now, &holder);
        self.record_change(
            at,
            ChangeKind::NameTaken,
            self.own_key,
            format!("a later process at {address} has it; this one says nothing of itself"),
        );
    }

    /// Probes the holder of the name, or takes the name back.
    pub(super) fn on_name_conflict_timer(&mut self, at: ClockReading) {
        let Some(name_conflict) = &mut self.name_conflict else {
            return;
        };
        name_conflict.tries += 1;
        let (tries, mute, address, started_unix_ms) = (
            name_conflict.tries,
            name_conflict.mute,
            name_conflict.address,
            name_conflict.holder.started_unix_ms,
        );
        name_conflict.next = at.now
            + if mute {
                MUTE_PROBE_INTERVAL
            } else {
                self.config.timing.probe_timeout
            };
        if tries
            > if mute {
                MUTE_PROBES
            } else {
                NAME_CONFLICT_PROBES
            }
        {
            return self.reclaim_name(at, started_unix_ms, "what had its name does not answer");
        }
        let from = if mute { MemberKey::NONE } else { self.own_key };
        let ping = Datagram {
            from: from.0,
            kind: kind::PING,
            target: self.own_key.0,
            ..Datagram::default()
        };
        self.send(at, address, ping);
        if mute {
            let gone = self
                .member_table
                .get(self.own_key)
                .is_none_or(|entry| !entry.liveness().is_present());
            if gone {
                return self.reclaim_name(at, started_unix_ms, "what had its name is gone");
            }
            // Nobody tells one that no view holds: it asks.
            if let Some(key) = self.random_present(1).first().copied() {
                self.start_comparison(at, key);
            }
        }
    }
}
