//! How a node takes part in its cluster, and the set-up of its membership, shared state and
//! rollouts on a bound socket.

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

/// Borrowers beyond those that the member table has room for.
const SPARE_BORROWERS: usize = 16;
/// Processes whose counters are stored at least.
const MIN_COUNTED_PROCESSES: usize = 4;

/// How a node takes part in its cluster.
#[derive(Debug)]
pub struct ClusterSetup {
    /// The address that the UDP socket is bound to.
    pub bind: SocketAddr,
    /// Settings of the membership.
    pub settings: Config,
    /// Keys of the voters, from whom the leader of the shared state is elected; without them
    /// nothing is leased or counted across the cluster.
    pub voters: Vec<u64>,
    /// Budgets of the whole cluster.
    pub budgets: Vec<Budget>,
    /// Keyed quotas of the whole cluster.
    pub quotas: Vec<KeyedQuota>,
    /// Bytes that a lender's record of keyed quotas may take.
    pub quota_lender_bytes: usize,
    /// The backend service whose health the nodes report to each other, if they do.
    pub service: Option<SharedService>,
    /// Names of the operations, for status snapshots and rollouts.
    pub operations: Vec<String>,
    /// Their latency objectives, in nanoseconds.
    pub objectives: Vec<Nanos>,
    /// Bytes that the counters of other processes may take.
    pub counter_bytes: usize,
    /// Whether another process of this node may still be bound to the address: the thread then
    /// waits until it is free.
    pub awaits_address: bool,
    /// The node's parts in rollouts, one for each kind.
    pub rollouts: Vec<RolloutSetup>,
    /// Bytes that the metrics of rollouts may take.
    pub rollout_bytes: usize,
}

impl ClusterSetup {
    /// Whether the nodes share any state beyond the membership.
    pub fn has_shared_state(&self) -> bool {
        !self.voters.is_empty() || self.service.is_some()
    }

    /// What the core does for the shared state.
    pub fn shared_state_options(&self) -> SharedStateOptions {
        SharedStateOptions {
            service: self.service.clone(),
            counts_for_cluster: !self.voters.is_empty(),
        }
    }

    /// The intervals of requests for keyed quotas, by the largest cluster that any limit is made
    /// for.
    pub fn quota_timing(&self) -> QuotaTiming {
        let budgets = self.budgets.iter().map(|budget| budget.max_nodes);
        let quotas = self.quotas.iter().map(|quota| quota.max_nodes);
        QuotaTiming::for_nodes(budgets.chain(quotas).max().unwrap_or(1))
    }
}

/// Sets up all that the cluster's thread owns.
///
/// # Errors
///
/// The socket can't be used, the membership rejects its settings, or the worker of a rollout can't
/// be started.
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

/// The configuration of the shared state; `None` without voters.
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

/// A zone as a number, which is enough to tell zones apart.
pub fn zone_number(zone: &str) -> u32 {
    (MemberKey::of(zone).0 >> 32) as u32
}
