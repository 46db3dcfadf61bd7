//! Name conflicts: of two processes with one name, the one that started later keeps it, and the
//! other publishes nothing until it can reclaim the name.

use super::*;

/// Number of probes of the other process without a reply after which a node that has kept its name
/// takes the name over.
const NAME_CONFLICT_PROBES: u32 = 5;
/// Number of probes of the holder without a reply after which a node that lost its name reclaims
/// it.
const HOLDER_PROBES: u32 = 6;
/// Time between two probes of the holder by a node that lost its name.
const HOLDER_PROBE_INTERVAL: Nanos = 2 * SECOND;

/// Conflict with another process that has this node's name and a later start time. Either that
/// process exists and holds the name, or it is an earlier incarnation of this node whose clock was
/// ahead.
#[derive(Debug)]
pub(super) struct NameConflict {
    pub(super) holder: MemberUpdate,
    pub(super) address: SocketAddr,
    pub(super) probes_sent: u32,
    pub(super) next: Nanos,
    /// Whether a datagram of the holder was received, so that this node has given up the name.
    pub(super) name_lost: bool,
}

impl<H: Host> Membership<H> {
    /// Takes over the name from another process, or reclaims it, with a start time later than any
    /// received for the name.
    pub(super) fn reclaim_name(&mut self, at: ClockReading, started_unix_ms: u64, why: &str) {
        let was_name_lost = self.has_name_conflict();
        self.name_conflict = None;
        self.epoch.started_unix_ms = self
            .epoch
            .started_unix_ms
            .max(started_unix_ms)
            .saturating_add(1);
        self.refutation = 0;
        self.announce_new_revision(at);
        if was_name_lost {
            self.record_change(at, ChangeKind::NameBack, self.own_key, why.to_owned());
        } else {
            self.count("times it took its name over from an earlier incarnation", 1);
        }
    }

    /// Handles a datagram of the other process, which thus exists and keeps the name: gives the
    /// name up.
    pub(super) fn on_name_holder_datagram(&mut self, at: ClockReading) {
        let Some(name_conflict) = &mut self.name_conflict else {
            return;
        };
        name_conflict.probes_sent = 0;
        if name_conflict.name_lost {
            return;
        }
        name_conflict.name_lost = true;
        name_conflict.next = at.now + HOLDER_PROBE_INTERVAL;
        let (holder, address) = (name_conflict.holder.clone(), name_conflict.address);
        (self.outstanding_probe, self.relayed_probes) = (None, BTreeMap::new());
        self.dissemination_queue.remove_updates(self.own_key);
        let _ = self.member_table.merge(at.now, &holder);
        self.record_change(
            at,
            ChangeKind::NameTaken,
            self.own_key,
            format!("a later process at {address} holds it; this process publishes nothing"),
        );
    }

    /// Probes the holder of the name, or reclaims the name after too many probes without a reply.
    pub(super) fn on_name_conflict_timer(&mut self, at: ClockReading) {
        let Some(name_conflict) = &mut self.name_conflict else {
            return;
        };
        name_conflict.probes_sent += 1;
        let (probes_sent, name_lost, address, started_unix_ms) = (
            name_conflict.probes_sent,
            name_conflict.name_lost,
            name_conflict.address,
            name_conflict.holder.started_unix_ms,
        );
        name_conflict.next = at.now
            + if name_lost {
                HOLDER_PROBE_INTERVAL
            } else {
                self.config.timing.probe_timeout
            };
        if probes_sent
            > if name_lost {
                HOLDER_PROBES
            } else {
                NAME_CONFLICT_PROBES
            }
        {
            return self.reclaim_name(
                at,
                started_unix_ms,
                "the other holder of the name does not reply",
            );
        }
        let from = if name_lost {
            MemberKey::NONE
        } else {
            self.own_key
        };
        let ping = Datagram {
            from: from.0,
            kind: kind::PING,
            target: self.own_key.0,
            ..Datagram::default()
        };
        self.send(at, address, ping);
        if name_lost {
            let gone = self
                .member_table
                .get(self.own_key)
                .is_none_or(|entry| !entry.liveness().is_present());
            if gone {
                return self.reclaim_name(
                    at,
                    started_unix_ms,
                    "the other holder of the name is gone",
                );
            }
            // Other members send no gossip to this node, since it is in no member table: it has to
            // compare tables to learn of changes.
            if let Some(key) = self.random_present(1).first().copied() {
                self.start_comparison(at, key);
            }
        }
    }
}
