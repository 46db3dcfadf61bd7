//! The description of a node's part in its cluster, and the construction of its membership, shared
//! state and rollouts on a bound socket.

use super::commands::ClusterLink;
use super::event_loop::EventLoop;
use super::health_exchange::HealthExchange;
use super::hosts::{MembershipHost, SharedStateHost};
use crate::io::inbox::Message;
use crate::io::rollout_link::{RolloutContext, RolloutLink, RolloutSetup};
use crate::log::part;
use crate::node::{SharedService, SharedStateOptions};
use crossbeam_channel::Sender;
use madderpoint_membership::member_table::TYPICAL_ENTRY_BYTES;
use madderpoint_membership::{ClockReading, Config, MemberKey, Membership, Nanos};
use madderpoint_shared_state::counters::PROCESS_BYTES;
use madderpoint_shared_state::keyed_quota::{KeyedQuota, QuotaTiming};
use madderpoint_shared_state::{self as shared_state, Budget, ProcessId, SharedState};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use tracing::info;

/// Number of borrowers that the shared state accepts beyond the capacity of the member table.
const SPARE_BORROWERS: usize = 16;
/// Minimum number of processes whose counters are stored, whatever the memory limit.
const MIN_COUNTED_PROCESSES: usize = 4;

/// The settings of a node's part in its cluster.
#[derive(Debug)]
pub struct ClusterSetup {
    /// The local address to bind the cluster's UDP socket to.
    pub bind: SocketAddr,
    /// Settings of the membership protocol: names, keys, seeds and timing.
    pub settings: Config,
    /// Keys of the voters, which elect the leader of the shared state from among themselves. Without
    /// voters nothing is leased or counted across the cluster.
    pub voters: Vec<u64>,
    /// Budgets of the whole cluster.
    pub budgets: Vec<Budget>,
    /// Keyed quotas of the whole cluster.
    pub quotas: Vec<KeyedQuota>,
    /// Maximum size of a lender's accounts of keyed quotas, in bytes.
    pub quota_lender_bytes: usize,
    /// The backend service whose health the nodes report to each other; `None` if they do not.
    pub service: Option<SharedService>,
    /// Names of the operations, for status snapshots and rollouts.
    pub operations: Vec<String>,
    /// Latency objectives of the operations, in nanoseconds, in the order of `operations`.
    pub objectives: Vec<Nanos>,
    /// Maximum size of the counters of other processes, in bytes.
    pub counter_bytes: usize,
    /// Whether another process of this node may still be bound to the address, so that the thread
    /// waits until the address is free.
    pub awaits_address: bool,
    /// The node's parts in rollouts, one for each kind.
    pub rollouts: Vec<RolloutSetup>,
    /// Maximum size of a voter's metrics of a rollout, in bytes.
    pub rollout_bytes: usize,
}

impl ClusterSetup {
    /// Whether the nodes share state beyond the membership.
    pub fn has_shared_state(&self) -> bool {
        !self.voters.is_empty() || self.service.is_some()
    }

    /// Returns the core's part in the shared state.
    pub fn shared_state_options(&self) -> SharedStateOptions {
        SharedStateOptions {
            service: self.service.clone(),
            counts_for_cluster: !self.voters.is_empty(),
        }
    }

    /// Returns the intervals of requests for keyed quotas. They depend on the largest cluster size
    /// that any budget or quota is configured for.
    pub fn quota_timing(&self) -> QuotaTiming {
        let budgets = self.budgets.iter().map(|budget| budget.max_nodes);
        let quotas = self.quotas.iter().map(|quota| quota.max_nodes);
        QuotaTiming::for_nodes(budgets.chain(quotas).max().unwrap_or(1))
    }
}

/// Builds the event loop of the cluster's thread, with membership, shared state and rollouts.
///
/// # Errors
///
/// The socket cannot be set up, the membership rejects its settings, or the worker of a rollout
/// cannot be started.
pub fn build<C: Fn() -> ClockReading>(
    setup: ClusterSetup,
    seed: u64,
    clock: C,
    events: Sender<Message>,
    socket: UdpSocket,
    link: &ClusterLink,
) -> io::Result<EventLoop<C>> {
    socket.set_nonblocking(true)?;
    info!(
        target: part::CLUSTER,
        cluster = %setup.settings.cluster_name,
        member = %setup.settings.name,
        bind = %socket.local_addr()?,
        advertise = %setup.settings.address,
        "started"
    );
    let shared_host = SharedStateHost::new(events.clone());
    let host = MembershipHost::new(socket, events, setup.has_shared_state());
    let membership = Membership::new(setup.settings.clone(), seed, clock(), host)
        .map_err(|error| io::Error::other(error.to_string()))?;
    let (key, incarnation) = membership.identity();
    let process = ProcessId {
        key: key.0,
        incarnation: incarnation.0,
    };
    let seed = seed ^ incarnation.0;
    let shared_config = shared_state_config(&setup, process);
    let mut rollouts = Vec::new();
    for rollout in setup.rollouts {
        let context = RolloutContext {
            me: key,
            zone: zone_number(&setup.settings.zone),
            voters: setup.voters.clone(),
            operations: setup.operations.clone(),
            objectives: setup.objectives.clone(),
            bytes: setup.rollout_bytes,
            seed,
        };
        let link = link.clone();
        let results = Box::new(move |kind, result| link.task_done(kind, result));
        rollouts.push(RolloutLink::start(clock(), rollout, context, results)?);
    }
    let shared_state =
        shared_config.map(|config| SharedState::new(config, seed, clock().now, shared_host));
    Ok(EventLoop {
        membership,
        shared_state,
        health_exchange: setup
            .service
            .map(|service| HealthExchange::new(&service.name)),
        rollouts,
        settings_hash: setup.settings.settings.1,
        operations: setup.operations,
        clock,
    })
}

/// Returns the configuration of the shared state; `None` without voters.
fn shared_state_config(setup: &ClusterSetup, process: ProcessId) -> Option<shared_state::Config> {
    if setup.voters.is_empty() {
        return None;
    }
    let defaults = shared_state::Config::with_defaults(
        process,
        setup.voters.clone(),
        setup.budgets.clone(),
        setup.quotas.clone(),
    );
    Some(shared_state::Config {
        zone: zone_number(&setup.settings.zone),
        max_borrowers: setup.settings.bytes / TYPICAL_ENTRY_BYTES + SPARE_BORROWERS,
        quota_timing: setup.quota_timing(),
        max_counted_processes: (setup.counter_bytes / PROCESS_BYTES).max(MIN_COUNTED_PROCESSES),
        quota_lender_bytes: setup.quota_lender_bytes,
        ..defaults
    })
}

/// Returns a hash of a zone's name, which is enough to tell zones apart.
pub fn zone_number(zone: &str) -> u32 {
    (MemberKey::of(zone).0 >> 32) as u32
}
