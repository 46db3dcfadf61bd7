//! Bounds on what the node stores and queues. All of them are derived from the process's limits,
//! and their sum stays below its memory limit. `docs/capacity.md` has the measurements behind the
//! constants.

#![warn(missing_docs)]

use crate::config::Limits;
use crate::fastcgi;
use crate::request_memory::RESERVED_BYTES;

/// Descriptors reserved for everything except load balancers' connections: standard streams,
/// signals, the listener, the executor link (two while its address changes), the backend links and
/// their retired connections, a report to the service registry, and a file.
const RESERVED_DESCRIPTORS: usize = 32;
/// Memory of a node without connections, in bytes.
const BASE_BYTES: usize = 6 << 20;
/// Memory of one connection, in bytes: its socket and buffers, the memory reserved for its
/// unfinished requests, and the entries of as many of them as it may have open.
const CONNECTION_BYTES: usize =
    (4 << 10) + RESERVED_BYTES + fastcgi::MAX_OPEN * fastcgi::UNFINISHED_ENTRY_BYTES;
/// Memory of the largest request, in bytes.
const REQUEST_BYTES: usize = 7 << 10;
/// Memory of the largest notice of the executor or reply of the backend, in bytes.
const NOTICE_BYTES: usize = 16 << 10;
/// Memory of the longest command to the executor or the backend, in bytes.
const COMMAND_BYTES: usize = 12 << 10;

/// Memory of one remembered correlation id, in bytes.
const EXECUTED_ID_BYTES: usize = 256;

/// Divisor of the free memory that gives the share for XML settings. One sixth of the share goes to
/// each of two rule sets (the one in force and its replacement), one sixth to the buckets of limits,
/// and the rest to reading a file.
const SETTINGS_SHARE: usize = 4;
/// Bytes of memory used per byte of a settings file while the file is read.
const READING_FACTOR: usize = 12;
/// Divisor of the free memory that gives the share for the cluster: two thirds for the member table,
/// the rest for replay windows, member updates, the probe round and the current datagram.
const CLUSTER_SHARE: usize = 16;
/// Divisor of the free memory that gives the share for shared state: one third for the keys of
/// quotas, one third for the lender's accounts of these keys, the rest for counters and health
/// reports.
const SHARED_STATE_SHARE: usize = 8;
/// Divisor of the free memory that gives the share for rollouts: two thirds for the contents of
/// versions (the one in force, the previous one, one on trial, and two that are being received), one
/// third for a voter's metrics of the cohorts.
const ROLLOUT_SHARE: usize = 8;

/// Bounds on what the node stores and queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityLimits {
    /// Maximum number of open connections of load balancers.
    pub connections: usize,
    /// Number of open connections above which an idle one is closed to make room for the next one.
    pub idle_eviction_threshold: usize,
    /// Maximum size of the incomplete requests on all connections together, beyond what is reserved
    /// for each connection, in bytes.
    pub shared_request_bytes: usize,
    /// Maximum size of the answers that load balancers have not read yet, in bytes, over all
    /// connections.
    pub unread_answer_bytes: usize,
    /// Length of the core's queue of events from load balancers.
    pub load_balancer_events: usize,
    /// Length of the core's queue of events from all other peers.
    pub peer_events: usize,
    /// Length of the queue of commands to the executor.
    pub executor_commands: usize,
    /// Length of the queue of calls of each backend link.
    pub backend_calls: usize,
    /// Maximum size of the results in the idempotency cache, in bytes. The cache's keys take at most
    /// the same amount again.
    pub result_bytes: usize,
    /// Maximum number of correlation ids that are remembered so that their requests do not run twice.
    pub executed_ids: usize,
    /// Maximum size of a rule set, in bytes; 0 without XML settings.
    pub rule_bytes: usize,
    /// Maximum size of the buckets of limits, in bytes; 0 without XML settings.
    pub bucket_bytes: usize,
    /// Maximum size of the settings file, in bytes; 0 without XML settings.
    pub settings_file_bytes: usize,
    /// Maximum size of the member table, in bytes; 0 without a cluster.
    pub member_table_bytes: usize,
    /// Maximum size of the keys of quotas, in bytes; 0 without shared state.
    pub quota_bytes: usize,
    /// Maximum size of the lender's accounts of quotas, in bytes; 0 without shared state.
    pub quota_lender_bytes: usize,
    /// Maximum size of the counters of other processes, in bytes. Only a voter stores them.
    pub counter_bytes: usize,
    /// Maximum size of a voter's metrics of a rollout, in bytes; 0 without rollouts. The contents of
    /// versions are not included.
    pub rollout_bytes: usize,
}

/// The optional subsystems of a node; each enabled one gets its share of the memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OptionalSubsystems {
    /// True if the node runs with a settings file (XML); its rules and buckets then need memory.
    pub settings: bool,
    /// True if the node is a member of a cluster; the member table then needs memory.
    pub cluster: bool,
    /// True if the cluster has voters or a shared backend service. The node then stores its part of
    /// budgets, quotas, counters and health reports.
    pub shared_state: bool,
    /// True if the node takes part in rollouts; contents of versions then need memory.
    pub rollouts: bool,
}

impl CapacityLimits {
    /// Derives the bounds from the limits of the process, the number of backend links and the
    /// enabled subsystems.
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
            shared_request_bytes: (free * 3 / 8).saturating_sub(connections * CONNECTION_BYTES),
            unread_answer_bytes: part,
            load_balancer_events: (part / REQUEST_BYTES).clamp(32, 4096),
            peer_events: (part / NOTICE_BYTES).clamp(32, 4096),
            executor_commands: (part / COMMAND_BYTES).clamp(32, 4096),
            backend_calls: (part / COMMAND_BYTES / backend_links.max(1)).clamp(8, 1024),
            result_bytes: part,
            executed_ids: (part / 3 / EXECUTED_ID_BYTES).clamp(32, 8192),
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

    /// Returns the maximum memory that all bounded parts take together, in bytes.
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
        let incoming = 2 * madderpoint_rollout::chunks::MAX_CONTENT_BYTES;
        let contents = if self.rollout_bytes > 0 {
            3 * self.settings_file_bytes + incoming
        } else {
            0
        };
        let settings = settings + self.rollout_bytes + contents;
        BASE_BYTES
            + self.connections * CONNECTION_BYTES
            + self.shared_request_bytes
            + waiting
            + written
            + 2 * self.result_bytes
            + self.executed_ids * EXECUTED_ID_BYTES
            + settings
    }
}

#[cfg(test)]
mod tests;
