//! How much of each thing the node may keep: all of it follows from the limits that it was told.

use crate::config::Limits;

/// Descriptors left for all that is no dispatcher's connection: standard streams, signals, the
/// listener, the kernel's link (two while it moves), the back end's links and those that they left
/// behind, a report, a file.
const RESERVED: usize = 32;
/// Memory of a node that serves nobody, and of a connection, both measured and rounded up.
const BARE: usize = 6 << 20;
const CONNECTION: usize = 4 << 10;
/// What the largest request, the largest notice or reply, and the longest command take.
const REQUEST: usize = 7 << 10;
const NOTICE: usize = 16 << 10;
const COMMAND: usize = 12 << 10;

/// Bounds on what is kept. Together they stay below the memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityLimits {
    /// Dispatchers' connections that may be open.
    pub connections: usize,
    /// Those above which one that is idle makes room, so that the next one finds it.
    pub spare_from: usize,
    /// Bytes of unfinished requests on one connection.
    pub unfinished: usize,
    /// Bytes of answers that wait for peers to read.
    pub unread: usize,
    /// Events of dispatchers, and of the other peers, that may wait for the core.
    pub front_events: usize,
    pub peer_events: usize,
    /// Commands that may wait for the kernel, and calls for each link to the back end.
    pub commands: usize,
    pub calls: usize,
    /// Bytes of results kept for like reads and repeats; their keys take as much again at most.
    pub results: usize,
    /// Bytes that a set of rules may take, and that limits by key take; 0 where there are no
    /// settings of ours.
    pub rules: usize,
    pub buckets: usize,
    /// Bytes that the file of our settings may have.
    pub settings_file: usize,
    /// Bytes that the view of the fleet may take; 0 where nodes keep none.
    pub fleet: usize,
    /// Bytes for keys of limits that the whole fleet shares, and for the books of them where this
    /// node lends.
    pub keys: usize,
    pub key_books: usize,
    /// Bytes for counts of other processes, where this node is an arbiter.
    pub counts: usize,
    /// Bytes for what an arbiter records of a change; contents of versions have as much room
    /// beside.
    pub changes: usize,
}

/// What a node has beside what it always has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OptionalSubsystems {
    /// Settings of ours.
    pub settings: bool,
    /// A part in a fleet.
    pub fleet: bool,
    /// State that is shared with it.
    pub shared: bool,
    /// Changes that go out in stages.
    pub changes: bool,
}

/// A quarter of what is free is set aside where our settings are given: two sets of rules, the one
/// in force and the one that takes its place, a sixth each; a sixth for limits; the rest for
/// reading a file, which takes about twelve times its size while it is a tree (measured: 11 for
/// 10,000 rules).
const FOR_SETTINGS: usize = 4;
const READING: usize = 12;
/// A sixteenth more is set aside for the fleet: two thirds of it for the view (832 bytes a member),
/// the rest for what is kept of each member beside it (numbers against replays, news, the round)
/// and for the datagram in hand.
const FOR_FLEET: usize = 16;
/// And an eighth for what is shared with the fleet: a third for keys, a third for books of them,
/// the rest for counts and what others say of services below.
const FOR_SHARED: usize = 8;
/// And an eighth for changes that go out in stages: two thirds for contents (what is in force, the
/// one before and one on trial, which were checked, and two that come in and may be as large as
/// any), a third for an arbiter's record of what both sides did.
const FOR_CHANGES: usize = 8;

impl CapacityLimits {
    /// What these limits leave room for, with so many links to the back end, and with these parts
    /// beside.
    pub fn of(limits: &Limits, links: usize, beside: OptionalSubsystems) -> CapacityLimits {
        let memory = (limits.memory_mb * f64::from(1 << 20)) as usize;
        let free = memory.saturating_sub(BARE);
        let aside = if beside.settings {
            free / FOR_SETTINGS
        } else {
            0
        };
        let fleet = if beside.fleet { free / FOR_FLEET } else { 0 };
        let shared = if beside.shared { free / FOR_SHARED } else { 0 };
        let changes = if beside.changes {
            free / FOR_CHANGES
        } else {
            0
        };
        let free = free - aside - fleet - shared - changes;
        let connections = (free / 3 / CONNECTION)
            .min(limits.sockets.saturating_sub(RESERVED))
            .max(1);
        let part = free / 12;
        CapacityLimits {
            connections,
            spare_from: connections - connections / 8,
            unfinished: (part / connections).clamp(REQUEST, 96 << 10),
            unread: part,
            front_events: (part / REQUEST).clamp(32, 4096),
            peer_events: (part / NOTICE).clamp(32, 4096),
            commands: (part / COMMAND).clamp(32, 4096),
            calls: (part / COMMAND / links.max(1)).clamp(8, 1024),
            results: part,
            rules: aside / 6,
            buckets: aside / 6,
            settings_file: aside / 2 / READING,
            fleet: fleet / 3 * 2,
            keys: shared / 3,
            key_books: shared / 3,
            counts: shared / 4,
            changes: changes / 3,
        }
    }

    /// The most that all of it takes.
    #[cfg(test)]
    fn total(&self, links: usize) -> usize {
        let waiting = self.front_events * REQUEST + self.peer_events * NOTICE;
        let written = (self.commands + self.calls * links) * COMMAND + self.unread;
        let settings = 2 * self.rules
            + self.buckets
            + READING * self.settings_file
            + self.fleet / 2 * 3
            + 3 * self.keys;
        let come_in = 2 * madderpoint_rollout::chunks::MAX_CONTENT_BYTES;
        let contents = if self.changes > 0 {
            3 * self.settings_file + come_in
        } else {
            0
        };
        let settings = settings + self.changes + contents;
        BARE + self.connections * (CONNECTION + self.unfinished)
            + waiting
            + written
            + 2 * self.results
            + settings
    }
}

#[cfg(test)]
mod tests;
