//! How much of each thing the node may keep. All bounds follow from the process's limits, and
//! together they stay below its memory. The measurements behind the constants: `docs/capacity.md`.

#![warn(missing_docs)]

use crate::config::Limits;

/// Descriptors left for all that is no load balancer's connection: standard streams, signals, the
/// listener, the executor's link (two while it moves), the backend's links and those before them, a
/// report to the service registry, a file.
const RESERVED_DESCRIPTORS: usize = 32;
/// Bytes that a node without connections takes.
const BASE_BYTES: usize = 6 << 20;
/// Bytes that a connection takes.
const CONNECTION_BYTES: usize = 4 << 10;
/// Bytes of the largest request.
const REQUEST_BYTES: usize = 7 << 10;
/// Bytes of the largest notice or reply.
const NOTICE_BYTES: usize = 16 << 10;
/// Bytes of the longest command.
const COMMAND_BYTES: usize = 12 << 10;

/// Where there are XML settings, a share of one in this many of the free memory is set aside: two
/// sets of rules (the one in force and the one that takes its place) and the limits a sixth each;
/// the rest for reading a file.
const SETTINGS_SHARE: usize = 4;
/// Bytes that a settings file takes while it is read, for each of its bytes.
const READING_FACTOR: usize = 12;
/// One in this many is set aside for the cluster: two thirds for the member table, the rest for
/// replay windows, member updates, the probe round and the datagram at hand.
const CLUSTER_SHARE: usize = 16;
/// One in this many is set aside for shared state: a third for keys, a third for the lender's
/// accounts of them, the rest for counters and health reports.
const SHARED_STATE_SHARE: usize = 8;
/// One in this many is set aside for rollouts: two thirds for contents (the version in force, the
/// one before, one on trial, and two that come in), a third for a voter's record of the cohorts.
const ROLLOUT_SHARE: usize = 8;

/// Bounds on what the node stores and queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityLimits {
    /// Load balancers' connections that may be open.
    pub connections: usize,
    /// Open connections above which an idle one is closed, so that the next one finds room.
    pub idle_eviction_threshold: usize,
    /// Bytes of unfinished requests on one connection.
    pub partial_request_bytes: usize,
    /// Bytes of answers that wait for peers to read.
    pub unread_answer_bytes: usize,
    /// Events of load balancers that may wait for the node.
    pub load_balancer_events: usize,
    /// Events of the other peers that may wait for the node.
    pub peer_events: usize,
    /// Commands that may wait for the executor.
    pub executor_commands: usize,
    /// Calls that may wait for each link to the backend.
    pub backend_calls: usize,
    /// Bytes of results in the idempotency cache; its keys take as much again at most.
    pub result_bytes: usize,
    /// Bytes that a rule set may take; 0 without XML settings.
    pub rule_bytes: usize,
    /// Bytes that the buckets of limits take; 0 without XML settings.
    pub bucket_bytes: usize,
    /// Bytes that the settings file may have.
    pub settings_file_bytes: usize,
    /// Bytes that the member table may take; 0 without a cluster.
    pub member_table_bytes: usize,
    /// Bytes for keys of quotas.
    pub quota_bytes: usize,
    /// Bytes for the lender's accounts of quotas.
    pub quota_lender_bytes: usize,
    /// Bytes for counters of other processes, where this node is a voter.
    pub counter_bytes: usize,
    /// Bytes for what a voter records of a rollout; contents of versions have as much again.
    pub rollout_bytes: usize,
}

/// Subsystems that a node may have beside the basic ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OptionalSubsystems {
    /// XML settings.
    pub settings: bool,
    /// A cluster.
    pub cluster: bool,
    /// State that is shared with it.
    pub shared_state: bool,
    /// Rollouts.
    pub rollouts: bool,
}

impl CapacityLimits {
    /// The bounds for a process with these limits, this many links to the backend, and these
    /// subsystems.
    pub fn of(
        limits: &Limits,
        backend_links: usize,
        subsystems: OptionalSubsystems,
    ) -> CapacityLimits {
        let memory = (limits.memory_mb * f64::from(1 << 20)) as usize;
        let free = memory.saturating_sub(BASE_BYTES);
        let set_aside = |is_present: bool, share: usize| if is_present { free / share } else { 0 };
        let settings = set_aside(subsystems.settings, SETTINGS_SHARE);
        let cluster = set_aside(subsystems.cluster, CLUSTER_SHARE);
        let shared_state = set_aside(subsystems.shared_state, SHARED_STATE_SHARE);
        let rollouts = set_aside(subsystems.rollouts, ROLLOUT_SHARE);
        let free = free - settings - cluster - shared_state - rollouts;
        let connections = (free / 3 / CONNECTION_BYTES)
            .min(limits.sockets.saturating_sub(RESERVED_DESCRIPTORS))
            .max(1);
        let part = free / 12;
        CapacityLimits {
            connections,
            idle_eviction_threshold: connections - connections / 8,
            partial_request_bytes: (part / connections).clamp(REQUEST_BYTES, 96 << 10),
            unread_answer_bytes: part,
            load_balancer_events: (part / REQUEST_BYTES).clamp(32, 4096),
            peer_events: (part / NOTICE_BYTES).clamp(32, 4096),
            executor_commands: (part / COMMAND_BYTES).clamp(32, 4096),
            backend_calls: (part / COMMAND_BYTES / backend_links.max(1)).clamp(8, 1024),
            result_bytes: part,
            rule_bytes: settings / 6,
            bucket_bytes: settings / 6,
            settings_file_bytes: settings / 2 / READING_FACTOR,
            member_table_bytes: cluster / 3 * 2,
            quota_bytes: shared_state / 3,
            quota_lender_bytes: shared_state / 3,
            counter_bytes: shared_state / 4,
            rollout_bytes: rollouts / 3,
        }
    }

    /// The most bytes that all of it takes.
    #[cfg(test)]
    fn total_bytes(&self, backend_links: usize) -> usize {
        let waiting = self.load_balancer_events * REQUEST_BYTES + self.peer_events * NOTICE_BYTES;
        let written = (self.executor_commands + self.backend_calls * backend_links) * COMMAND_BYTES
            + self.unread_answer_bytes;
        let settings = 2 * self.rule_bytes
            + self.bucket_bytes
            + READING_FACTOR * self.settings_file_bytes
            + self.member_table_bytes / 2 * 3
            + 3 * self.quota_bytes;
        let incoming = 2 * madderpoint_rollout::chunks::CONTENT_MAX;
        let contents = if self.rollout_bytes > 0 {
            3 * self.settings_file_bytes + incoming
        } else {
            0
        };
        let settings = settings + self.rollout_bytes + contents;
        BASE_BYTES
            + self.connections * (CONNECTION_BYTES + self.partial_request_bytes)
            + waiting
            + written
            + 2 * self.result_bytes
            + settings
    }
}

#[cfg(test)]
mod tests;
