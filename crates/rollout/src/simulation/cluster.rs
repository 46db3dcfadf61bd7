//! A simulated cluster: its nodes, clocks, network and disks, and what happens to them.

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
use events::{Event, Queued};
use host::Board;
pub use host::SimHost;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;

/// Time between two wake-ups of a node, and between two refreshes of what nodes see.
const WAKE: Nanos = 500 * MILLISECOND;

/// The Unix clock when a simulation begins, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// What a simulated cluster is.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Decides all that is random.
    pub seed: u64,
    /// How many nodes.
    pub nodes: usize,
    /// How many zones.
    pub zones: u32,
    /// How many of the nodes are voters.
    pub voters: usize,
    /// Requests of a node in a window.
    pub each: f64,
    /// How much nodes differ by themselves.
    pub noise: Noise,
    /// The share of messages that are lost.
    pub loss: f64,
    /// The plan of all rollouts.
    pub plan: Plan,
    /// The method of analysis.
    pub method: AnalysisMethod,
}

impl Shape {
    /// A cluster of this many nodes on a day without trouble.
    pub fn new(seed: u64, nodes: usize) -> Shape {
        Shape {
            seed,
            nodes,
            zones: 3,
            voters: if nodes < 3 { 1 } else { 3 },
            each: 200.0,
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
    life: u64,
    disk: Disk,
    side: usize,
    paused: bool,
    left: bool,
    /// Since when it is there, or gone.
    since: Nanos,
    started: Nanos,
    ran_since: Nanos,
    clock: i64,
    checked: BTreeSet<Version>,
}

impl Disk {
    /// What a process finds at its start.
    fn initial_state(&self, node: usize, base: Version) -> InitialState {
        let disk_was_empty = self.persisted.is_empty();
        let mut persisted = if disk_was_empty {
            PersistedState::new(Kind::Settings)
        } else {
            // The disk is written whole or not at all.
            PersistedState::decode(&self.persisted)
                .unwrap_or_else(|broken| panic!("node {node}: {}", broken.word()))
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

/// Totals of a simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationTotals {
    /// Priority weight that versions cost.
    pub cost: f64,
    /// Priority weight that was asked for.
    pub asked: f64,
    /// Nodes that ever ran a version.
    pub ran: BTreeSet<(Version, usize)>,
    /// Messages that were sent.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// What was not allowed.
    pub broken: Vec<String>,
}

/// A simulated cluster.
pub struct SimulatedCluster {
    shape: Shape,
    nodes: Vec<Node>,
    keys: BTreeMap<u64, usize>,
    now: Nanos,
    queue: BinaryHeap<Queued>,
    queued: u64,
    rng: Pcg64Mcg,
    load: Load,
    boards: Vec<Rc<Board>>,
    windows: Rc<RefCell<BTreeMap<u64, Vec<WindowSample>>>>,
    next_window: u64,
    next_board: Nanos,
    effects: BTreeMap<Version, Effect>,
    /// Progress by agreement, as any node knows it.
    progress_by_agreement: BTreeMap<u64, (RolloutId, Progress)>,
    /// Totals so far.
    pub totals: SimulationTotals,
    base: Version,
}

impl SimulatedCluster {
    /// All nodes start on version 1.
    pub fn new(shape: Shape) -> SimulatedCluster {
        let load = Load::new(
            shape.seed,
            shape.nodes,
            shape.zones,
            shape.each,
            shape.noise,
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
            queued: 0,
            rng: Pcg64Mcg::seed_from_u64(shape.seed ^ 0x5eed),
            load,
            boards: Vec::new(),
            windows: Rc::default(),
            next_window: 0,
            next_board: 0,
            effects: BTreeMap::from([(base, Effect::NONE)]),
            progress_by_agreement: BTreeMap::new(),
            totals: SimulationTotals::default(),
            base,
            shape,
        };
        for node in 0..cluster.shape.nodes {
            cluster.add(node);
        }
        cluster.next_window = cluster.unix_ms(0) / (WINDOW / MILLISECOND);
        cluster.refresh();
        (0..cluster.nodes.len()).for_each(|node| cluster.start(node));
        cluster.run(5 * SECOND);
        cluster
    }

    fn add(&mut self, node: usize) {
        self.keys.insert(key(node), node);
        self.nodes.push(Node {
            key: key(node),
            participant: None,
            life: 0,
            disk: Disk::default(),
            side: 0,
            paused: false,
            left: false,
            since: 0,
            started: self.now,
            ran_since: self.now,
            clock: 0,
            checked: BTreeSet::from([self.base]),
        });
    }

    fn unix_ms(&self, node: usize) -> u64 {
        let clock = self.nodes.get(node).map_or(0, |node| node.clock);
        (EPOCH_MS + self.now / MILLISECOND).saturating_add_signed(clock)
    }

    /// The time since it began.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// How many nodes there are, running or not.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// A node's process starts, with what is on its disk.
    pub fn start(&mut self, node: usize) {
        if self.nodes[node].participant.is_some() {
            return;
        }
        let unix = self.unix_ms(node);
        let voters = (0..self.shape.voters).map(key).collect();
        let board = self.board(self.nodes[node].side);
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let (zone, me, now, base) = (
            self.load.zone(node),
            self.nodes[node].key,
            self.now,
            self.base,
        );
        let of = &mut self.nodes[node];
        let start = of.disk.initial_state(node, base);
        let host = SimHost {
            me,
            out: Vec::new(),
            tasks: Vec::new(),
            lines: Vec::new(),
            shown: NodeReport::default(),
            board,
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
            (0..self.shape.voters).map(key).collect(),
        )
        .with_method(self.shape.method);
        of.participant = Some(participant);
        of.life += 1;
        (of.since, of.started, of.ran_since) = (now, now, now);
        let first = self.rng.random_range(0..WAKE);
        let life = self.nodes[node].life;
        self.push(first, node, Some(life), Event::Wake);
        self.after(node);
    }

    /// A node's process is killed.
    pub fn crash(&mut self, node: usize) {
        let now = self.now;
        let of = &mut self.nodes[node];
        if of.participant.take().is_some() {
            of.since = now;
        }
    }

    /// A node leaves by notice, and is not missed.
    pub fn leave(&mut self, node: usize) {
        self.crash(node);
        self.nodes[node].left = true;
    }

    /// A new node comes.
    pub fn join(&mut self) -> usize {
        let node = self.nodes.len();
        self.add(node);
        self.load.joins();
        self.refresh();
        self.start(node);
        node
    }

    /// A node's process stops running for a while, or goes on.
    pub fn pause(&mut self, node: usize, paused: bool) {
        (self.nodes[node].paused, self.nodes[node].since) = (paused, self.now);
    }

    /// A node's disk is full, or not any more.
    pub fn fill(&mut self, node: usize, full: bool) {
        self.nodes[node].disk.full = full;
    }

    /// A node is set up anew: its disk is empty.
    pub fn wipe(&mut self, node: usize) {
        self.crash(node);
        self.nodes[node].disk = Disk::default();
        self.nodes[node]
            .checked
            .retain(|version| version.number == 1);
    }

    /// A node's Unix clock steps.
    pub fn step(&mut self, node: usize, ms: i64) {
        self.nodes[node].clock += ms;
    }

    /// The cluster is split: these nodes are on one side, the others on the other.
    pub fn split(&mut self, side: &[usize]) {
        for (number, node) in self.nodes.iter_mut().enumerate() {
            let now = usize::from(side.contains(&number));
            if now != node.side {
                (node.side, node.since) = (now, self.now);
            }
        }
        self.next_board = self.now;
    }

    /// It is whole again.
    pub fn heal(&mut self) {
        self.split(&[]);
    }

    /// Offers a version at a node.
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
        let plan = self.shape.plan.clone();
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
        self.after(at);
        id
    }

    /// An operator halts a rollout at a node, or rolls it back.
    pub fn end(&mut self, at: usize, id: RolloutId, outcome: Outcome) {
        let (now, unix) = (self.now, self.unix_ms(at));
        if let Some(participant) = &mut self.nodes[at].participant {
            participant.end(now, unix, id, outcome, "an operator said so");
        }
        self.after(at);
    }
}
