//! Simulated fleets: many nodes' parts over a network that loses, delays and splits, with disks,
//! crashes, restarts, pauses and clocks that step; by a seed, as fast as it can be computed. At
//! every step it is checked that what they do is allowed.

pub mod load;
pub mod trial;

use crate::canary_analysis::AnalysisMethod;
use crate::chunks;
use crate::cohort_metrics::WindowSample;
use crate::coordinator::{Coordinator, Member};
use crate::messages::{self, PARCEL_MAX, ReceivedMessage};
use crate::node_agent::{Host, InitialState, NodeReport, NodeStatus};
use crate::participant::Participant;
use crate::persisted_state::PersistedState;
use crate::rollout::{Kind, Outcome, Rollout, RolloutId, Version};
use crate::stages::{Plan, Progress};
use crate::{MILLISECOND, Nanos, SECOND, splitmix64};
pub use load::{Effect, Load, Noise, Runs};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;

/// Windows of the simulated counts.
pub const WINDOW: Nanos = 10 * SECOND;
const WINDOWS: usize = 8;
/// A node that is gone is seen to be so after this, and one that came.
const SEEN: Nanos = 3 * SECOND;
const WAKE: Nanos = 500 * MILLISECOND;
/// The Unix clock when a simulation begins.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// What a simulated fleet is.
#[derive(Clone, Debug)]
pub struct Shape {
    pub seed: u64,
    pub nodes: usize,
    pub zones: u32,
    pub voters: usize,
    /// Invocations of a node in a window.
    pub each: f64,
    pub noise: Noise,
    /// Messages that are lost, as a share.
    pub loss: f64,
    pub plan: Plan,
    pub method: AnalysisMethod,
}

impl Shape {
    /// So many nodes on a day without trouble.
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

#[derive(Clone, Debug)]
enum Task {
    Check {
        rollout: RolloutId,
        version: Version,
    },
    Persist {
        no: u64,
        persisted: Box<PersistedState>,
        content: Option<(Version, Vec<u8>)>,
    },
    Apply(Version),
}

#[derive(Clone, Debug)]
enum Event {
    Message { from: usize, bytes: Vec<u8> },
    Task(Task),
    Wake,
}

struct Queued {
    at: Nanos,
    no: u64,
    node: usize,
    /// Of the process that it is for, if it is for one.
    life: Option<u64>,
    event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        (self.at, self.no) == (other.at, other.no)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        (other.at, other.no).cmp(&(self.at, self.no))
    }
}

/// What all of one side see of the others.
#[derive(Debug, Default)]
struct Board {
    members: Vec<Member>,
    digests: Vec<(u64, u64)>,
    windows: Rc<RefCell<BTreeMap<u64, Vec<WindowSample>>>>,
    keys: BTreeSet<u64>,
}

/// A node's world.
pub struct SimHost {
    me: u64,
    out: Vec<(u64, ReceivedMessage)>,
    tasks: Vec<Task>,
    pub lines: Vec<String>,
    shown: NodeReport,
    board: Rc<Board>,
    rng: Pcg64Mcg,
}

impl Host for SimHost {
    fn send(&mut self, to: u64, message: ReceivedMessage) {
        self.out.push((to, message));
    }

    fn log(&mut self, line: &str) {
        self.lines.push(line.to_owned());
    }

    fn random_peers(&mut self, most: usize) -> Vec<u64> {
        let there: Vec<u64> = self
            .board
            .members
            .iter()
            .filter(|m| m.there && m.node != self.me)
            .map(|m| m.node)
            .collect();
        (0..most.min(there.len()))
            .map(|_| there[self.rng.random_range(0..there.len())])
            .collect()
    }

    fn peer_with_other_digest(&mut self, digest: u64) -> Option<u64> {
        let others = &self.board.digests;
        // From a place of its own on, so that not all ask the same one.
        let from = if others.is_empty() {
            0
        } else {
            self.rng.random_range(0..others.len())
        };
        let differs = |(node, other): &&(u64, u64)| *node != self.me && *other != digest;
        others[from..]
            .iter()
            .chain(&others[..from])
            .find(differs)
            .map(|(node, _)| *node)
    }

    fn show(&mut self, report: &NodeReport) {
        self.shown = report.clone();
    }

    fn check(&mut self, rollout: RolloutId, version: Version, _content: Option<Vec<u8>>) {
        self.tasks.push(Task::Check { rollout, version });
    }

    fn persist(
        &mut self,
        no: u64,
        persisted: &PersistedState,
        content: Option<(Version, Vec<u8>)>,
    ) {
        self.tasks.push(Task::Persist {
            no,
            persisted: Box::new(persisted.clone()),
            content,
        });
    }

    fn apply(&mut self, version: Version) {
        self.tasks.push(Task::Apply(version));
    }

    fn members(&mut self) -> Vec<Member> {
        self.board.members.clone()
    }

    fn windows(&mut self, from: u64, until: u64) -> Vec<(u64, Vec<WindowSample>)> {
        let keys = &self.board.keys;
        let windows = self.board.windows.borrow();
        let mine = |samples: &Vec<WindowSample>| {
            samples
                .iter()
                .filter(|s| keys.contains(&s.node))
                .cloned()
                .collect()
        };
        windows
            .range(from..=until)
            .map(|(window, samples)| (*window, mine(samples)))
            .collect()
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

/// What a simulation came to.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Billed value that versions cost, and that was asked for.
    pub cost: f64,
    pub asked: f64,
    /// Nodes that ever ran the new version, messages and bytes.
    pub ran: BTreeSet<(Version, usize)>,
    pub messages: u64,
    pub bytes: u64,
    /// What was not allowed.
    pub broken: Vec<String>,
}

/// A simulated fleet.
pub struct Fleet {
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
    /// Reaches by number, as any node knows them.
    progress_by_agreement: BTreeMap<u64, (RolloutId, Progress)>,
    pub tally: Tally,
    base: Version,
}

/// A node's key.
fn key(node: usize) -> u64 {
    splitmix64(node as u64 + 1)
}

impl Fleet {
    /// All nodes start on version 1.
    pub fn new(shape: Shape) -> Fleet {
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
        let mut fleet = Fleet {
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
            tally: Tally::default(),
            base,
            shape,
        };
        for node in 0..fleet.shape.nodes {
            fleet.add(node);
        }
        fleet.next_window = fleet.unix_ms(0) / (WINDOW / MILLISECOND);
        fleet.refresh();
        (0..fleet.nodes.len()).for_each(|node| fleet.start(node));
        fleet.run(5 * SECOND);
        fleet
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

    /// How many nodes there are, of which all but the dead ones run.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    // ---- What happens to nodes ----

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
        let fresh = of.disk.persisted.is_empty();
        let mut persisted = if fresh {
            PersistedState::new(Kind::Settings)
        } else {
            // The disk is written whole or not at all.
            PersistedState::decode(&of.disk.persisted)
                .unwrap_or_else(|broken| panic!("node {node}: {}", broken.word()))
        };
        let (starts, crashed) = persisted.start_candidates(base);
        let has = |version: &Version| *version == base || of.disk.contents.contains_key(version);
        let running = starts.into_iter().find(has).unwrap_or(base);
        let new_content = (!of.disk.contents.contains_key(&running)).then(|| vec![0; 100]);
        let contents = of
            .disk
            .contents
            .iter()
            .map(|(version, content)| (*version, content.clone()))
            .collect();
        let host = SimHost {
            me,
            out: Vec::new(),
            tasks: Vec::new(),
            lines: Vec::new(),
            shown: NodeReport::default(),
            board,
            rng,
        };
        let start = InitialState {
            persisted,
            running,
            contents,
            new_content,
            crashed,
            fresh,
        };
        let mut participant = Participant::new(
            now,
            unix,
            (me, zone),
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

    /// A node's process stands still, or goes on.
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

    /// The fleet is split: these nodes are on one side, the others on the other.
    pub fn split(&mut self, side: &[usize]) {
        for (no, node) in self.nodes.iter_mut().enumerate() {
            let now = usize::from(side.contains(&no));
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

    // ---- What operators do ----

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

    /// Halts a rollout at a node, or takes it back.
    pub fn end(&mut self, at: usize, id: RolloutId, outcome: Outcome) {
        let (now, unix) = (self.now, self.unix_ms(at));
        if let Some(participant) = &mut self.nodes[at].participant {
            participant.end(now, unix, id, outcome, "an operator said so");
        }
        self.after(at);
    }

    // ---- What is seen ----

    /// What a node runs; none if it is not there.
    pub fn runs(&self, node: usize) -> Option<Version> {
        self.nodes[node]
            .participant
            .as_ref()
            .map(|participant| participant.agent.running())
    }

    /// How many run a version of this number.
    pub fn running(&self, number: u64) -> usize {
        (0..self.nodes.len())
            .filter(|node| self.runs(*node).is_some_and(|v| v.number == number))
            .count()
    }

    /// What a node knows of a rollout.
    pub fn known(&self, node: usize, id: RolloutId) -> Option<&Rollout> {
        self.nodes[node]
            .participant
            .as_ref()?
            .agent
            .rollouts()
            .get(id)
    }

    /// The outcome of a rollout as a node knows it.
    pub fn outcome(&self, node: usize, id: RolloutId) -> Option<Outcome> {
        self.known(node, id).map(|rollout| rollout.outcome)
    }

    /// Whether all that are there know this outcome of it.
    pub fn all_know(&self, id: RolloutId, outcome: Outcome) -> bool {
        let there = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].participant.is_some() && !self.nodes[*node].paused);
        there
            .into_iter()
            .all(|node| self.outcome(node, id) == Some(outcome))
    }

    /// The fleet as a node sees it.
    pub fn members(&self, node: usize) -> Vec<Member> {
        self.boards[self.nodes[node].side].members.clone()
    }

    /// A node's Unix clock, in milliseconds.
    pub fn clock(&self, node: usize) -> u64 {
        self.unix_ms(node)
    }

    /// A node's part.
    pub fn participant(&self, node: usize) -> Option<&Participant<SimHost>> {
        self.nodes[node].participant.as_ref()
    }

    /// The farthest stage that anybody knows of a rollout.
    pub fn stage(&self, id: RolloutId) -> u32 {
        let stages = (0..self.nodes.len())
            .filter_map(|node| self.known(node, id))
            .map(|rollout| rollout.progress.stage);
        stages.max().unwrap_or(0)
    }

    /// The nodes in the stage that has come farthest.
    pub fn in_stage(&self, id: RolloutId) -> Vec<usize> {
        let farthest = (0..self.nodes.len())
            .filter_map(|node| self.known(node, id))
            .max_by_key(|c| c.progress.agreement);
        let Some(rollout) = farthest else {
            return Vec::new();
        };
        let is_in = |node: &usize| {
            rollout
                .progress
                .has(id, self.nodes[*node].key, self.load.zone(*node))
        };
        (0..self.nodes.len()).filter(is_in).collect()
    }

    // ---- Time ----

    /// Goes on for so long.
    pub fn run(&mut self, time: Nanos) {
        let until = self.now + time;
        self.go(until, &|_| false);
    }

    /// Goes on until this is so, or for so long at most; whether it came to be so.
    pub fn until(&mut self, most: Nanos, is: impl Fn(&Fleet) -> bool) -> bool {
        let until = self.now + most;
        self.go(until, &is)
    }

    fn go(&mut self, until: Nanos, is: &dyn Fn(&Fleet) -> bool) -> bool {
        loop {
            if self.now >= self.next_board {
                self.next_board = self.now + WAKE;
                self.refresh();
                if is(self) {
                    return true;
                }
            }
            let window_at = (self.next_window * (WINDOW / MILLISECOND)).saturating_sub(EPOCH_MS)
                * MILLISECOND
                + WINDOW;
            let next = self
                .queue
                .peek()
                .map_or(until, |queued| queued.at)
                .min(self.next_board)
                .min(window_at);
            if next >= until {
                self.now = until;
                return is(self);
            }
            self.now = next;
            if self.now >= window_at {
                self.count_window();
                continue;
            }
            if self
                .queue
                .peek()
                .is_some_and(|queued| queued.at <= self.now)
                && let Some(queued) = self.queue.pop()
            {
                self.happens(queued);
            }
        }
    }

    fn push(&mut self, after: Nanos, node: usize, life: Option<u64>, event: Event) {
        self.queued += 1;
        self.queue.push(Queued {
            at: self.now + after,
            no: self.queued,
            node,
            life,
            event,
        });
    }

    fn happens(&mut self, queued: Queued) {
        let Queued {
            node, life, event, ..
        } = queued;
        let of = &self.nodes[node];
        if of.participant.is_none() || life.is_some_and(|life| life != of.life) {
            return;
        }
        if of.paused {
            // What is on its way to a process that stands still is there when it goes on, as far as
            // buffers go.
            if !matches!(event, Event::Message { .. }) {
                self.push(SECOND, node, life, event);
            }
            return;
        }
        let (now, unix) = (self.now, self.unix_ms(node));
        match event {
            Event::Wake => {
                let board = self.board(self.nodes[node].side);
                if let Some(participant) = &mut self.nodes[node].participant {
                    participant.agent.host.board = board;
                    participant.wake(now, unix);
                }
                self.push(WAKE, node, life, Event::Wake);
            }
            Event::Message { from, bytes } => {
                if self.nodes[from].side != self.nodes[node].side {
                    return;
                }
                let Some(message) = messages::decode(&bytes) else {
                    self.tally
                        .broken
                        .push(format!("a parcel of {} bytes can't be read", bytes.len()));
                    return;
                };
                let from = self.nodes[from].key;
                if let Some(participant) = &mut self.nodes[node].participant {
                    participant.handle_message(now, unix, from, message);
                }
            }
            Event::Task(task) => self.task(node, task),
        }
        self.after(node);
    }

    fn task(&mut self, node: usize, task: Task) {
        let (now, unix) = (self.now, self.unix_ms(node));
        match task {
            Task::Check { rollout, version } => {
                let unfit = self
                    .effects
                    .get(&version)
                    .map_or(0.0, |effect| effect.unfit);
                let place =
                    (splitmix64(self.nodes[node].key ^ version.hash) % 10_000) as f64 / 10_000.0;
                let result = if place < unfit {
                    Err("its limits are too small".to_owned())
                } else {
                    Ok(())
                };
                if result.is_ok() {
                    self.nodes[node].checked.insert(version);
                }
                if let Some(participant) = &mut self.nodes[node].participant {
                    participant.agent.check_finished(now, rollout, result);
                }
            }
            Task::Persist {
                no,
                persisted,
                content,
            } => {
                let of = &mut self.nodes[node];
                let result = if of.disk.full {
                    Err("no space left on device".to_owned())
                } else {
                    Ok(())
                };
                if result.is_ok() {
                    of.disk.persisted = persisted.encode();
                    of.disk.contents.extend(content);
                    if of.disk.persisted.len() > crate::persisted_state::FILE_MAX {
                        self.tally
                            .broken
                            .push(format!("{} bytes are kept", of.disk.persisted.len()));
                    }
                }
                if let Some(participant) = &mut of.participant {
                    participant.agent.persist_finished(now, no, result);
                }
            }
            Task::Apply(version) => {
                let of = &mut self.nodes[node];
                let known = of.disk.contents.contains_key(&version);
                let result = if known {
                    Ok(())
                } else {
                    Err("its content is not there".to_owned())
                };
                if result.is_ok() {
                    of.ran_since = now;
                }
                if let Some(participant) = &mut of.participant {
                    participant.agent.apply_finished(now, unix, version, result);
                }
            }
        }
    }

    /// Sends on what a node has put out, and looks whether what it does is allowed.
    fn after(&mut self, node: usize) {
        let Some(participant) = &mut self.nodes[node].participant else {
            return;
        };
        let out = std::mem::take(&mut participant.agent.host.out);
        let tasks = std::mem::take(&mut participant.agent.host.tasks);
        let life = self.nodes[node].life;
        for task in tasks {
            if let Task::Apply(version) = &task {
                self.may_begin(node, *version);
            }
            let time = self.rng.random_range(MILLISECOND..20 * MILLISECOND);
            self.push(time, node, Some(life), Event::Task(task));
        }
        for (to, message) in out {
            let bytes = messages::encode(&message);
            self.tally.messages += 1;
            self.tally.bytes += bytes.len() as u64;
            if bytes.len() > PARCEL_MAX {
                self.tally
                    .broken
                    .push(format!("a parcel of {} bytes", bytes.len()));
            }
            let Some(to) = self.keys.get(&to).copied() else {
                continue;
            };
            if self.nodes[to].side != self.nodes[node].side || self.rng.random_bool(self.shape.loss)
            {
                continue;
            }
            let time = self.rng.random_range(MILLISECOND..10 * MILLISECOND);
            self.push(time, to, None, Event::Message { from: node, bytes });
        }
        self.allowed(node);
    }

    /// A node is about to run a version.
    fn may_begin(&mut self, node: usize, version: Version) {
        let of = &self.nodes[node];
        let Some(participant) = &of.participant else {
            return;
        };
        let persisted = participant.agent.persisted_state();
        let going_back = persisted.trial.is_none_or(|trial| trial.version != version);
        if !of.checked.contains(&version) {
            self.tally.broken.push(format!(
                "node {node} begins {version} without having checked it"
            ));
        }
        if !going_back && version.number > 1 {
            let ended = participant
                .agent
                .rollouts()
                .iter()
                .any(|c| c.version == version && c.outcome > Outcome::Completed);
            let other = participant
                .agent
                .rollouts()
                .iter()
                .any(|c| c.version == version && c.outcome <= Outcome::Completed);
            if ended && !other {
                self.tally.broken.push(format!(
                    "node {node} begins {version}, of which it knows that it is halted"
                ));
            }
            let on_disk = PersistedState::decode(&of.disk.persisted)
                .ok()
                .and_then(|persisted| persisted.trial)
                .map(|trial| trial.version);
            if on_disk != Some(version) {
                self.tally.broken.push(format!(
                    "node {node} begins {version}, and its disk does not say so"
                ));
            }
        }
    }

    /// What must always hold.
    fn allowed(&mut self, node: usize) {
        let Some(participant) = &self.nodes[node].participant else {
            return;
        };
        let agent = &participant.agent;
        let running = agent.running();
        for rollout in agent
            .rollouts()
            .iter()
            .filter(|rollout| rollout.progress.agreement > 0)
        {
            let known = self
                .progress_by_agreement
                .entry(rollout.progress.agreement)
                .or_insert_with(|| (rollout.id, rollout.progress.clone()));
            if *known != (rollout.id, rollout.progress.clone()) {
                self.tally.broken.push(format!(
                    "two agreements of number {}",
                    rollout.progress.agreement
                ));
            }
        }
        let of_running = agent
            .rollouts()
            .iter()
            .find(|rollout| rollout.version == running);
        if let Some(rollout) = of_running {
            self.tally.ran.insert((running, node));
            // Nobody runs what no agreement has given it.
            let farthest = self
                .progress_by_agreement
                .values()
                .filter(|(id, _)| *id == rollout.id)
                .max_by_key(|(_, progress)| progress.agreement);
            let zone = self.load.zone(node);
            let may = farthest
                .is_some_and(|(_, progress)| progress.has(rollout.id, self.nodes[node].key, zone));
            if !may {
                self.tally.broken.push(format!(
                    "node {node} runs {running} and is not in its stage"
                ));
            }
        }
        if agent.persisted_state().good.is_none() {
            self.tally
                .broken
                .push(format!("node {node} has no last good version"));
        }
    }

    fn board(&mut self, side: usize) -> Rc<Board> {
        if self.boards.is_empty() {
            self.refresh();
        }
        Rc::clone(&self.boards[side])
    }

    /// What is seen on either side.
    fn refresh(&mut self) {
        let board = |side: usize| {
            let mut board = Board {
                windows: Rc::clone(&self.windows),
                ..Board::default()
            };
            for (no, node) in self.nodes.iter().enumerate() {
                let is_here = node.participant.is_some() && !node.paused && node.side == side;
                let seen_at = node.since + SEEN;
                let there = if self.now >= seen_at {
                    is_here
                } else {
                    !is_here && node.life > 0
                };
                if node.left || node.life == 0 {
                    continue;
                }
                board.members.push(Member {
                    node: node.key,
                    zone: self.load.zone(no),
                    there,
                });
                if is_here {
                    board.keys.insert(node.key);
                    if let Some(participant) = &node.participant {
                        board
                            .digests
                            .push((node.key, participant.agent.report().digest));
                    }
                }
            }
            Rc::new(board)
        };
        self.boards = vec![board(0), board(1)];
    }

    /// A window is over: all count, and some die.
    fn count_window(&mut self) {
        let window = self.next_window;
        self.next_window += 1;
        self.load.window(window);
        let mut samples = Vec::new();
        let mut dead = Vec::new();
        for node in 0..self.nodes.len() {
            let of = &self.nodes[node];
            let (Some(participant), false) = (&of.participant, of.paused) else {
                continue;
            };
            let version = participant.agent.running();
            let runs = Runs {
                label: version.hash,
                effect: self.effects.get(&version).copied().unwrap_or_default(),
                since: (self.now - of.ran_since) / WINDOW,
                age: (self.now - of.started) / WINDOW,
            };
            let (sample, cost) = self.load.sample(node, of.key, &runs);
            self.tally.cost += cost;
            self.tally.asked += sample
                .operations
                .values()
                .map(|(cell, _)| cell.asked as f64 / 1000.0)
                .sum::<f64>();
            samples.push(sample);
            if self.load.dies(&runs) {
                dead.push(node);
            }
        }
        let mut windows = self.windows.borrow_mut();
        windows.insert(window, samples);
        while windows.len() > WINDOWS {
            windows.pop_first();
        }
        drop(windows);
        for node in dead {
            self.crash(node);
            self.start(node);
        }
    }

    /// How a node stands to the rollout that it goes by.
    pub fn node_status(&self, node: usize) -> Option<NodeStatus> {
        self.nodes[node]
            .participant
            .as_ref()
            .map(|participant| participant.agent.report().status)
    }
}
