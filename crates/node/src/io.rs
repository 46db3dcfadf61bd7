//! The sockets, threads and clock that drive [`crate::node::Node`].
//!
//! [`serve`] starts the threads and then runs the core on the calling thread. The other threads read
//! and write sockets. They send messages to the core through bounded queues ([`inbox`]), and the
//! core passes its side effects on through their queues ([`sockets`]) without blocking.

mod backend_link;
mod client_connections;
mod client_reader;
mod clock;
mod cluster_link;
mod connection_slots;
mod event_loop;
mod executor_link;
mod executor_writer;
mod inbox;
mod reader_commands;
mod registry_reports;
mod rollout_link;
mod sockets;
mod stream;
mod threads;

pub use cluster_link::{ClusterSettingsUpdate, ClusterSetup, SHARED_STATE_TOPIC, zone_number};
pub use rollout_link::{
    PROGRAM_ROLLOUT_TOPIC, RolloutSetup, SETTINGS_ROLLOUT_TOPIC, VersionError, Versions,
};

use crate::capacity::{CapacityLimits, OptionalSubsystems};
use crate::config::{ConfigUpdate, NodeConfig};
use crate::node::{ClockReading, Event, Node};
use crate::request_rules::CompiledRuleSet;
use crate::state::BACKEND_LINKS;
use backend_link::BackendLinkCommand;
use clock::Clock;
use cluster_link::ClusterLink;
use crossbeam_channel::{Receiver, Sender, bounded};
use crossbeam_utils::atomic::AtomicCell;
use inbox::{Inbox, Message};
use madderpoint::Nanos;
use reader_commands::ReaderHandle;
use registry_reports::NodePhase;
use sockets::Sockets;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::JoinHandle;
use stream::Addresses;
use threads::spawn;

/// Commands to a running node, sent on signals and by the supervisor and rollouts.
#[derive(Debug)]
pub enum ControlMessage {
    /// Drains and stops the node.
    Drain,
    /// Drains and stops this process because another process of the node takes over. The service
    /// registry is not told that the node drains, and no final state of rollouts is written.
    HandOver,
    /// Applies a changed configuration.
    Config(ConfigUpdate),
    /// Replaces the rules.
    Rules(Box<CompiledRuleSet>),
    /// Replaces the settings of the cluster.
    Cluster(Box<ClusterSettingsUpdate>),
}

/// The parts of a node that its configuration file does not provide. All of them are optional.
#[derive(Default)]
pub struct OptionalParts {
    /// The listening socket, if a supervisor owns it. Otherwise the node binds its own.
    pub listener: Option<TcpListener>,
    /// Called once, when the node starts to serve.
    pub on_serving: Option<Box<dyn FnOnce()>>,
    /// The rules and limits of the settings file; `None` without a settings file.
    pub rules: Option<Box<CompiledRuleSet>>,
    /// The node's part in its cluster; `None` if the node is in no cluster.
    pub cluster: Option<Box<ClusterSetup>>,
}

impl OptionalParts {
    fn subsystems(&self) -> OptionalSubsystems {
        let cluster = self.cluster.as_ref();
        OptionalSubsystems {
            settings: self.rules.is_some(),
            cluster: cluster.is_some(),
            shared_state: cluster.is_some_and(|setup| setup.has_shared_state()),
            rollouts: cluster.is_some_and(|setup| !setup.rollouts.is_empty()),
        }
    }
}

/// Returns the bounds on what a node with these optional subsystems stores and queues.
pub fn capacity_limits(config: &NodeConfig, subsystems: OptionalSubsystems) -> CapacityLimits {
    CapacityLimits::of(&config.limits, BACKEND_LINKS, subsystems)
}

/// Runs the node until it has stopped.
///
/// # Errors
///
/// The node cannot listen or cannot start its threads.
pub fn serve(
    config: &NodeConfig,
    mut parts: OptionalParts,
    control: Receiver<ControlMessage>,
) -> io::Result<()> {
    let clock = Clock::start();
    let capacity = capacity_limits(config, parts.subsystems());
    let (client_events, clients) = bounded(capacity.load_balancer_events);
    let (events, peers) = bounded(capacity.peer_events);
    let inbox = Inbox { clients, peers };
    let (reader, on_serving) = open_listener(config, &mut parts, capacity, client_events)?;
    let links = start_peer_links(config, &capacity, &events)?;
    let participation = parts.cluster.as_ref().map(|setup| {
        (
            setup.budgets.clone(),
            setup.quota_timing(),
            setup.shared_state_options(),
        )
    });
    let cluster = parts
        .cluster
        .map(|setup| start_cluster(setup, &capacity, config.seed, clock, events.clone()))
        .transpose()?;
    let (cluster, cluster_thread) = cluster.unzip();
    let control_thread = ControlThread {
        control,
        events,
        cluster: cluster.clone(),
        is_handed_over: Arc::clone(&links.phase.is_handed_over),
    };
    spawn("control", move || control_thread.run())?;
    let has_backend = !links.backend.is_empty();
    let NodePhase {
        is_draining,
        is_handed_over,
    } = links.phase;
    let sockets = Sockets::new(links.backend, links.addresses, reader, is_draining, cluster);
    let mut core = Node::new(
        sockets,
        config.deployment.clone(),
        config.seed,
        config.stop_after.as_nanos() as Nanos,
        has_backend,
        &capacity,
    );
    if let Some((budgets, quota_timing, options)) = participation {
        core.join_cluster(clock.now(), &budgets, quota_timing, &options);
    }
    if let Some(rules) = parts.rules {
        core.handle(clock.read(), Event::RulesChanged(rules));
    }
    event_loop::run(&mut core, clock, &inbox, on_serving);
    core.release_leases(clock.now());
    let is_handed_over = is_handed_over.load(SeqCst);
    core.with_actions(|sockets| sockets.leave_cluster(is_handed_over));
    if let Some(thread) = cluster_thread {
        let _ = thread.join();
    }
    Ok(())
}

/// The callback for the moment when the node starts to serve.
type OnServing = Option<Box<dyn FnOnce()>>;

/// Listens for load balancers. If a supervisor owns the socket, another process may accept
/// connections from it until this one serves, so this process accepts none before that.
fn open_listener(
    config: &NodeConfig,
    parts: &mut OptionalParts,
    capacity: CapacityLimits,
    events: Sender<Message>,
) -> io::Result<(ReaderHandle, OnServing)> {
    let (start_accepting, start) = bounded(1);
    let start = parts.listener.as_ref().map(|_| start);
    let listener = parts
        .listener
        .take()
        .map_or_else(|| TcpListener::bind(config.listen), Ok)?;
    let reader = client_reader::open(listener, start, capacity, events)?;
    let on_serving = parts
        .on_serving
        .take()
        .map(|on_serving| -> Box<dyn FnOnce()> {
            Box::new(move || {
                let _ = start_accepting.send(());
                on_serving();
            })
        });
    Ok((reader, on_serving))
}

/// The links to all peers except load balancers.
struct PeerLinks {
    addresses: Addresses,
    /// The command queue of each backend link.
    backend: Vec<Sender<BackendLinkCommand>>,
    /// The phase that is reported to the service registry.
    phase: NodePhase,
}

/// Starts the threads that communicate with the backend, the executor and the service registry.
fn start_peer_links(
    config: &NodeConfig,
    capacity: &CapacityLimits,
    events: &Sender<Message>,
) -> io::Result<PeerLinks> {
    let addresses = Arc::new(AtomicCell::new(config.peers));
    let backend = start_backend_links(config, &addresses, capacity, events)?;
    executor_link::start(
        Arc::clone(&addresses),
        capacity.executor_commands,
        events.clone(),
    )?;
    let phase = NodePhase::default();
    registry_reports::start(Arc::clone(&addresses), config.name.clone(), phase.clone())?;
    Ok(PeerLinks {
        addresses,
        backend,
        phase,
    })
}

/// Starts the threads that call the backend and returns their queues; none without a backend.
fn start_backend_links(
    config: &NodeConfig,
    addresses: &Addresses,
    capacity: &CapacityLimits,
    events: &Sender<Message>,
) -> io::Result<Vec<Sender<BackendLinkCommand>>> {
    if config.peers.backend.is_none() {
        return Ok(Vec::new());
    }
    (0..BACKEND_LINKS)
        .map(|index| {
            backend_link::start(
                Arc::clone(addresses),
                index,
                capacity.backend_calls,
                events.clone(),
            )
        })
        .collect()
}

fn start_cluster(
    mut setup: Box<ClusterSetup>,
    capacity: &CapacityLimits,
    seed: u64,
    clock: Clock,
    events: Sender<Message>,
) -> io::Result<(ClusterLink, JoinHandle<()>)> {
    setup.settings.bytes = capacity.member_table_bytes;
    setup.quota_lender_bytes = capacity.quota_lender_bytes;
    setup.counter_bytes = capacity.counter_bytes;
    setup.rollout_bytes = capacity.rollout_bytes;
    let read_clock = move || {
        let ClockReading { now, unix_ms } = clock.read();
        madderpoint_membership::ClockReading { now, unix_ms }
    };
    // The clock makes the seed differ between nodes: the configured seed comes from the platform
    // and may be the same on many of them.
    cluster_link::start(*setup, seed ^ clock.now(), read_clock, events)
}

/// Forwards control messages to the core and to the cluster's thread.
struct ControlThread {
    control: Receiver<ControlMessage>,
    events: Sender<Message>,
    cluster: Option<ClusterLink>,
    is_handed_over: Arc<AtomicBool>,
}

impl ControlThread {
    fn run(self) {
        while let Ok(message) = self.control.recv() {
            let event = match message {
                ControlMessage::Drain => Event::Drain,
                ControlMessage::HandOver => {
                    self.is_handed_over.store(true, SeqCst);
                    Event::Drain
                }
                ControlMessage::Config(update) => Event::ConfigChanged(update),
                ControlMessage::Rules(rules) => Event::RulesChanged(rules),
                ControlMessage::Cluster(update) => {
                    if let Some(cluster) = &self.cluster {
                        cluster.reconfigure(*update);
                    }
                    continue;
                }
            };
            let _ = self.events.send(Message::Event(event));
        }
    }
}
