//! A simulated cluster with its nodes, clocks, network and disks, and the faults that tests inject.

mod events;
mod host;
mod invariants;
mod observation;

use super::load::{Effect, Load, Noise, WINDOW, key};
use crate::canary_analysis::AnalysisMethod;
use crate::chunks;
use crate::cohort_metrics::WindowSample;
use crate::coordinator::Coordinator;
use crate::identifiers::{Kind, RolloutId, Version};
use crate::node_agent::{InitialState, NodeIdentity};
use crate::node_report::NodeReport;
use crate::participant::Participant;
use crate::persisted_state::PersistedState;
use crate::rollout::{Outcome, Rollout};
use crate::stages::{Plan, Progress};
use crate::{MILLISECOND, Nanos, SECOND, splitmix64};
use events::{Event, QueuedEvent};
use host::ClusterView;
pub use host::SimHost;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;

/// Time between two wake-ups of a node, and between two updates of the nodes' views of the cluster.
const WAKE_INTERVAL: Nanos = 500 * MILLISECOND;

/// Unix time at which a simulation begins, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// Configuration of a simulated cluster.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Seed of all random decisions.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of zones, to which the nodes are assigned in turn.
    pub zones: u32,
    /// Number of voters; the first nodes are the voters.
    pub voters: usize,
    /// Mean number of requests of a node in a window.
    pub requests_per_window: f64,
    /// Differences between nodes, and faults that no version causes.
    pub noise: Noise,
    /// Share of messages that are lost, from 0 to 1.
    pub loss: f64,
    /// Plan of all rollouts.
    pub plan: Plan,
    /// Method of the canary analysis at all voters.
    pub method: AnalysisMethod,
}

impl SimulationConfig {
    /// Creates the configuration of a cluster of this many nodes in three zones, without faults and
    /// message loss.
    pub fn new(seed: u64, nodes: usize) -> SimulationConfig {
        SimulationConfig {
            seed,
            nodes,
            zones: 3,
            voters: if nodes < 3 { 1 } else { 3 },
            requests_per_window: 200.0,
            noise: Noise::NONE,
            loss: 0.0,
            plan: Plan::default(),
            method: AnalysisMethod::Nodes,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Disk {
    persisted: Vec<u8>,
    contents: BTreeMap<Version, Vec<u8>>,
    full: bool,
}

struct Node {
    key: u64,
    participant: Option<Participant<SimHost>>,
    start_count: u64,
    disk: Disk,
    side: usize,
    paused: bool,
    has_left: bool,
    /// Time of the last change of reachability: a start, crash, pause, resumption or split.
    reachability_changed_at: Nanos,
    started_at: Nanos,
    version_applied_at: Nanos,
    clock_offset_ms: i64,
    checked: BTreeSet<Version>,
}

impl Disk {
    /// Returns what a process reads from the disk at its start.
    fn initial_state(&self, node: usize, base: Version) -> InitialState {
        let disk_was_empty = self.persisted.is_empty();
        let mut persisted = if disk_was_empty {
            PersistedState::new(Kind::Settings)
        } else {
            // Writes to the simulated disk are atomic.
            PersistedState::decode(&self.persisted)
                .unwrap_or_else(|error| panic!("node {node}: {}", error.word()))
        };
        let (starts, crashed) = persisted.start_candidates(base);
        let has = |version: &Version| *version == base || self.contents.contains_key(version);
        let running = starts.into_iter().find(has).unwrap_or(base);
        let new_content = (!self.contents.contains_key(&running)).then(|| vec![0; 100]);
        let contents = self
            .contents
            .iter()
            .map(|(version, content)| (*version, content.clone()))
            .collect();
        InitialState {
            persisted,
            running,
            contents,
            new_content,
            crashed,
            disk_was_empty,
        }
    }
}

/// Totals of a simulation since it began.
#[derive(Clone, Debug, Default)]
pub struct SimulationTotals {
    /// Priority weight lost to the effects of versions.
    pub cost: f64,
    /// Priority weight of all requests that arrived.
    pub asked: f64,
    /// Pairs of a rolled-out version and a node that ran the version at some time.
    pub ran: BTreeSet<(Version, usize)>,
    /// Number of messages that nodes sent, including lost ones.
    pub messages: u64,
    /// Number of bytes of the messages that nodes sent.
    pub bytes: u64,
    /// Violated invariants, one text for each violation.
    pub violations: Vec<String>,
}

/// A simulated cluster with its nodes, network and simulated time.
pub struct SimulatedCluster {
    config: SimulationConfig,
    nodes: Vec<Node>,
    keys: BTreeMap<u64, usize>,
    now: Nanos,
    queue: BinaryHeap<QueuedEvent>,
    events_queued: u64,
    rng: Pcg64Mcg,
    load: Load,
    cluster_views: Vec<Rc<ClusterView>>,
    windows: Rc<RefCell<BTreeMap<u64, Vec<WindowSample>>>>,
    next_window: u64,
    next_view_at: Nanos,
    effects: BTreeMap<Version, Effect>,
    /// Agreed rollout and progress by number of the agreement, as first seen at any node.
    progress_by_agreement: BTreeMap<u64, (RolloutId, Progress)>,
    /// Totals of the simulation so far.
    pub totals: SimulationTotals,
    base: Version,
}

impl SimulatedCluster {
    /// Creates a cluster whose nodes all run version 1, and runs the simulation for 5 s.
    pub fn new(config: SimulationConfig) -> SimulatedCluster {
        let load = Load::new(
            config.seed,
            config.nodes,
            config.zones,
            config.requests_per_window,
            config.noise,
        );
        let base = Version {
            number: 1,
            hash: splitmix64(1),
        };
        let mut cluster = SimulatedCluster {
            nodes: Vec::new(),
            keys: BTreeMap::new(),
            now: SECOND,
            queue: BinaryHeap::new(),
            events_queued: 0,
            rng: Pcg64Mcg::seed_from_u64(config.seed ^ 0x5eed),
            load,
            cluster_views: Vec::new(),
            windows: Rc::default(),
            next_window: 0,
            next_view_at: 0,
            effects: BTreeMap::from([(base, Effect::NONE)]),
            progress_by_agreement: BTreeMap::new(),
            totals: SimulationTotals::default(),
            base,
            config,
        };
        for node in 0..cluster.config.nodes {
            cluster.add_node(node);
        }
        cluster.next_window = cluster.unix_ms(0) / (WINDOW / MILLISECOND);
        cluster.refresh_views();
        (0..cluster.nodes.len()).for_each(|node| cluster.start(node));
        cluster.run(5 * SECOND);
        cluster
    }

    fn add_node(&mut self, node: usize) {
        self.keys.insert(key(node), node);
        self.nodes.push(Node {
            key: key(node),
            participant: None,
            start_count: 0,
            disk: Disk::default(),
            side: 0,
            paused: false,
            has_left: false,
            reachability_changed_at: 0,
            started_at: self.now,
            version_applied_at: self.now,
            clock_offset_ms: 0,
            checked: BTreeSet::from([self.base]),
        });
    }

    fn unix_ms(&self, node: usize) -> u64 {
        let clock_offset_ms = self.nodes.get(node).map_or(0, |node| node.clock_offset_ms);
        (EPOCH_MS + self.now / MILLISECOND).saturating_add_signed(clock_offset_ms)
    }

    /// Returns the simulated time in nanoseconds; a simulation begins at 1 s.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Returns the number of nodes, including nodes that are down.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Starts a node's process with the data on its disk; does nothing if the process is running.
    pub fn start(&mut self, node: usize) {
        if self.nodes[node].participant.is_some() {
            return;
        }
        let unix = self.unix_ms(node);
        let voters = (0..self.config.voters).map(key).collect();
        let cluster_view = self.cluster_view(self.nodes[node].side);
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let (zone, me, now, base) = (
            self.load.zone(node),
            self.nodes[node].key,
            self.now,
            self.base,
        );
        let target = &mut self.nodes[node];
        let start = target.disk.initial_state(node, base);
        let host = SimHost {
            me,
            outbox: Vec::new(),
            tasks: Vec::new(),
            lines: Vec::new(),
            attached: NodeReport::default(),
            cluster_view,
            rng,
        };
        let mut participant = Participant::new(
            now,
            unix,
            NodeIdentity { key: me, zone },
            start,
            voters,
            WINDOW / MILLISECOND,
            host,
        );
        participant.coordinator = Coordinator::new(
            now,
            me,
            Kind::Settings,
            (0..self.config.voters).map(key).collect(),
        )
        .with_method(self.config.method);
        target.participant = Some(participant);
        target.start_count += 1;
        (
            target.reachability_changed_at,
            target.started_at,
            target.version_applied_at,
        ) = (now, now, now);
        let first = self.rng.random_range(0..WAKE_INTERVAL);
        let start_count = self.nodes[node].start_count;
        self.push(first, node, Some(start_count), Event::Wake);
        self.dispatch(node);
    }

    /// Kills a node's process.
    pub fn crash(&mut self, node: usize) {
        let now = self.now;
        let target = &mut self.nodes[node];
        if target.participant.take().is_some() {
            target.reachability_changed_at = now;
        }
    }

    /// Lets a node leave the cluster by notice: the other nodes no longer list it as a member.
    pub fn leave(&mut self, node: usize) {
        self.crash(node);
        self.nodes[node].has_left = true;
    }

    /// Adds and starts a new node; returns its number.
    pub fn join(&mut self) -> usize {
        let node = self.nodes.len();
        self.add_node(node);
        self.load.add_machine();
        self.refresh_views();
        self.start(node);
        node
    }

    /// Pauses a node's process, or resumes it.
    pub fn pause(&mut self, node: usize, paused: bool) {
        (
            self.nodes[node].paused,
            self.nodes[node].reachability_changed_at,
        ) = (paused, self.now);
    }

    /// Lets writes to a node's disk fail, or succeed again.
    pub fn set_disk_full(&mut self, node: usize, full: bool) {
        self.nodes[node].disk.full = full;
    }

    /// Kills a node's process and erases its disk.
    pub fn wipe(&mut self, node: usize) {
        self.crash(node);
        self.nodes[node].disk = Disk::default();
        self.nodes[node]
            .checked
            .retain(|version| version.number == 1);
    }

    /// Steps a node's Unix clock by this many milliseconds.
    pub fn step_clock(&mut self, node: usize, ms: i64) {
        self.nodes[node].clock_offset_ms += ms;
    }

    /// Splits the network between these nodes and all others.
    pub fn split(&mut self, side: &[usize]) {
        for (number, node) in self.nodes.iter_mut().enumerate() {
            let now = usize::from(side.contains(&number));
            if now != node.side {
                (node.side, node.reachability_changed_at) = (now, self.now);
            }
        }
        self.next_view_at = self.now;
    }

    /// Ends a split of the network.
    pub fn heal(&mut self) {
        self.split(&[]);
    }

    /// Offers a version with this effect at a node; returns the rollout's identifier.
    pub fn offer(&mut self, at: usize, number: u64, effect: Effect) -> RolloutId {
        let version = Version {
            number,
            hash: splitmix64(number ^ 0xabc ^ u64::from(at as u32) << 40),
        };
        self.effects.insert(version, effect);
        let id = RolloutId(splitmix64(version.hash ^ self.now));
        let content: Vec<u8> = (0..3000u32)
            .map(|n| splitmix64(version.hash ^ u64::from(n)) as u8)
            .collect();
        let unix = self.unix_ms(at);
        let by = self.nodes[at].key;
        let plan = self.config.plan.clone();
        let now = self.now;
        let Some(participant) = &mut self.nodes[at].participant else {
            return id;
        };
        let rollout = Rollout {
            id,
            kind: Kind::Settings,
            version,
            base: participant.agent.running(),
            digest: chunks::digest(&content),
            bytes: content.len() as u32,
            by,
            at_ms: unix,
            plan,
            progress: Progress::default(),
            outcome: Outcome::InProgress,
            reason: Default::default(),
        };
        participant.offer(now, rollout, Some(content));
        self.dispatch(at);
        id
    }

    /// Halts a rollout or rolls it back at a node, as an operator would.
    pub fn end(&mut self, at: usize, id: RolloutId, outcome: Outcome) {
        let (now, unix) = (self.now, self.unix_ms(at));
        if let Some(participant) = &mut self.nodes[at].participant {
            participant.end(now, unix, id, outcome, "ended by an operator");
        }
        self.dispatch(at);
    }
}
