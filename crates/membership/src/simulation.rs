//! Simulation of clusters of thousands of members in one process. The members run the real state
//! machines over simulated time. Links lose and delay datagrams; members crash, pause, stall and
//! return; zones are partitioned. All random numbers come from a seed.

use crate::datagram_auth::AuthKeys;
use crate::history::ChangeKind;
use crate::member::{Liveness, MemberKey};
use crate::member_table::Interner;
use crate::{ClockReading, Config, Membership};
use crate::{MILLISECOND, Nanos, SECOND};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;

mod config;
mod event;
mod heartbeats;
mod node;

pub use config::SimulationConfig;
pub use heartbeats::{Heartbeats, heartbeats};
pub use node::{SimulatedActions, SimulatedNode};

use event::{Event, EventKind};

/// Unix time at which a simulation starts, in milliseconds.
const START_UNIX_MS: u64 = 1_800_000_000_000;
/// Every member that learns of a false death reports it. Reports about one member count once if no
/// more than this time lies between them.
const FALSE_DEATH_WINDOW: Nanos = 60 * SECOND;

/// Returns whether the link from the first member to the second is cut.
type LinkCut = Box<dyn Fn(&SimulatedNode, &SimulatedNode) -> bool>;

/// Returns the additional loss (a fraction) and delay of the link from the first member to the
/// second.
type LinkQuality = Box<dyn Fn(&SimulatedNode, &SimulatedNode) -> (f64, Nanos)>;

/// Simulated cluster.
pub struct Simulation {
    /// Configuration with which the simulation was created.
    pub config: SimulationConfig,
    /// Current simulated time.
    pub now: Nanos,
    /// All members, up or down.
    pub nodes: Vec<SimulatedNode>,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<Event>>,
    events_scheduled: u64,
    nodes_by_address: HashMap<SocketAddr, usize>,
    nodes_by_key: HashMap<MemberKey, usize>,
    cut: LinkCut,
    link_quality: LinkQuality,
    interner: Interner,
    starts: u64,
    /// Time from the crash of a member until the first other member declared it dead, by the index
    /// of the crashed member.
    pub detected: BTreeMap<usize, Nanos>,
    /// Time and member index of each death that was declared while the member was up and connected.
    pub false_deaths: Vec<(Nanos, usize)>,
    /// Time of the latest report of a false death, by member index.
    last_false_death: HashMap<usize, Nanos>,
    /// Number of events processed so far.
    pub processed: u64,
    /// True if the members' log lines are collected in [`SimulatedActions::lines`].
    pub collect_lines: bool,
}

fn address(node: usize) -> SocketAddr {
    let [_, b, c, d] = (node as u32).to_be_bytes();
    SocketAddr::from(([10, b, c, d], 7946))
}

impl Simulation {
    /// Creates a cluster of which no member has been started.
    pub fn new(config: SimulationConfig) -> Simulation {
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
        let nodes: Vec<SimulatedNode> = (0..config.members)
            .map(|n| {
                let name = format!("n{n}");
                SimulatedNode {
                    key: MemberKey::of(&name),
                    name,
                    zone: n % config.zones.max(1),
                    address: address(n),
                    membership: None,
                    generation: 0,
                    wake_scheduled: Nanos::MAX,
                    paused_until: 0,
                    is_stalling: rng.random_bool(config.stalling),
                    down_since: None,
                    clock_error_ms: 0,
                    bytes: 0,
                    datagrams: 0,
                }
            })
            .collect();
        Simulation {
            now: SECOND,
            rng,
            queue: BinaryHeap::new(),
            events_scheduled: 0,
            nodes_by_address: nodes
                .iter()
                .enumerate()
                .map(|(n, node)| (node.address, n))
                .collect(),
            nodes_by_key: nodes
                .iter()
                .enumerate()
                .map(|(n, node)| (node.key, n))
                .collect(),
            cut: Box::new(|_, _| false),
            link_quality: Box::new(|_, _| (0.0, 0)),
            interner: Interner::default(),
            starts: 0,
            detected: BTreeMap::new(),
            false_deaths: Vec::new(),
            last_false_death: HashMap::new(),
            processed: 0,
            collect_lines: false,
            nodes,
            config,
        }
    }

    /// Creates a cluster of which all members have been started.
    pub fn started(config: SimulationConfig) -> Simulation {
        let mut simulation = Simulation::new(config);
        (0..simulation.nodes.len()).for_each(|n| simulation.start(n));
        if simulation.config.preloaded {
            let all: Vec<_> = simulation
                .nodes
                .iter()
                .filter_map(|node| node.membership.as_ref()?.introduction())
                .collect();
            for n in 0..simulation.nodes.len() {
                let reading = simulation.clock_reading(n);
                if let Some(membership) = &mut simulation.nodes[n].membership {
                    membership.preload(reading, &all);
                }
            }
        }
        simulation
    }

    fn clock_reading(&self, node: usize) -> ClockReading {
        let unix_ms = START_UNIX_MS + self.now / MILLISECOND;
        ClockReading {
            now: self.now,
            unix_ms: unix_ms.saturating_add_signed(self.nodes[node].clock_error_ms),
        }
    }

    fn node_config(&self, node: usize) -> Config {
        let node = &self.nodes[node];
        Config {
            cluster_name: "simulated".into(),
            name: node.name.clone(),
            zone: format!("z{}", node.zone),
            address: node.address,
            seeds: (0..3.min(self.nodes.len()))
                .map(|n| self.nodes[n].address)
                .collect(),
            keys: AuthKeys::new(&[vec![7; 32]]).expect("a key of 32 bytes is long enough"),
            timing: self.config.timing,
            program: "0.1.0".into(),
            settings: (1, 1),
            bytes: 2 * self.config.members * crate::member_table::TYPICAL_ENTRY_BYTES + (1 << 16),
            features: self.config.features,
        }
    }

    /// Starts a member that knows only the seeds.
    pub fn start(&mut self, n: usize) {
        self.starts += 1;
        let seed = self
            .config
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(self.starts);
        let host = SimulatedActions {
            lines: self.collect_lines.then(Vec::new),
            ..SimulatedActions::default()
        };
        let (reading, node_config, interner) = (
            self.clock_reading(n),
            self.node_config(n),
            self.interner.clone(),
        );
        let membership =
            Membership::with_interner(node_config, seed, reading, host, Some(interner));
        let node = &mut self.nodes[n];
        node.membership = Some(membership.expect("names of simulated members are valid"));
        node.generation += 1;
        (node.down_since, node.wake_scheduled, node.paused_until) = (None, Nanos::MAX, self.now);
        self.schedule_wake(n);
        if self.nodes[n].is_stalling {
            self.schedule_stall(n);
        }
    }

    /// Crashes a member: it ends without announcing its leave.
    pub fn crash(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.membership = None;
        node.generation += 1;
        node.down_since = Some(self.now);
        self.detected.remove(&n);
    }

    /// Makes a member announce its leave, and ends it.
    pub fn leave(&mut self, n: usize) {
        let reading = self.clock_reading(n);
        if let Some(membership) = &mut self.nodes[n].membership {
            membership.leave(reading);
        }
        self.apply_actions(n);
        self.crash(n);
    }

    /// Pauses a member for the given time. Datagrams that arrive in the meantime are delivered when
    /// the pause ends.
    pub fn pause(&mut self, n: usize, time: Nanos) {
        self.nodes[n].paused_until = self.now + time;
    }

    /// Cuts the links for which `cut` returns true, given sender and receiver.
    pub fn cut(&mut self, cut: impl Fn(&SimulatedNode, &SimulatedNode) -> bool + 'static) {
        self.cut = Box::new(cut);
    }

    /// Degrades links. `quality` returns the additional loss (a fraction) and delay of the link
    /// from the given sender to the given receiver.
    pub fn degrade_links(
        &mut self,
        quality: impl Fn(&SimulatedNode, &SimulatedNode) -> (f64, Nanos) + 'static,
    ) {
        self.link_quality = Box::new(quality);
    }

    /// Restores all cut and degraded links.
    pub fn heal(&mut self) {
        self.cut(|_, _| false);
        self.degrade_links(|_, _| (0.0, 0));
    }

    /// Schedules the next stall of a member.
    fn schedule_stall(&mut self, n: usize) {
        let (_, interval) = self.config.stall;
        let delay = self.rng.random_range(interval / 2..interval * 3 / 2);
        self.push(self.now + delay, n, EventKind::Stall);
    }

    fn push(&mut self, due: Nanos, node: usize, kind: EventKind) {
        self.events_scheduled += 1;
        self.queue.push(Reverse(Event {
            due,
            order: self.events_scheduled,
            node,
            kind,
        }));
    }

    /// Schedules the next wake of a member, unless one is scheduled that is at least as early.
    fn schedule_wake(&mut self, n: usize) {
        let Some(next) = self.nodes[n]
            .membership
            .as_ref()
            .map(|membership| membership.next_wake().max(self.now))
        else {
            return;
        };
        if next < self.nodes[n].wake_scheduled {
            self.nodes[n].wake_scheduled = next;
            let generation = self.nodes[n].generation;
            self.push(next, n, EventKind::Wake { generation });
        }
    }

    /// Schedules the delivery of the datagrams that a member sent, and records the deaths that it
    /// declared.
    fn apply_actions(&mut self, n: usize) {
        let Some(membership) = &mut self.nodes[n].membership else {
            return;
        };
        let sent = std::mem::take(&mut membership.host.sent);
        let changed = std::mem::take(&mut membership.host.changed);
        for (to, frame) in sent {
            self.nodes[n].bytes += frame.len() as u64 + 28; // including the headers of UDP and IP
            self.nodes[n].datagrams += 1;
            let Some(&to) = self.nodes_by_address.get(&to) else {
                continue;
            };
            let (loss, delay) = (self.link_quality)(&self.nodes[n], &self.nodes[to]);
            let lost =
                self.rng.random_bool(self.config.loss) || loss > 0.0 && self.rng.random_bool(loss);
            if lost || (self.cut)(&self.nodes[n], &self.nodes[to]) {
                continue;
            }
            let (shortest, longest) = self.config.latency;
            let due = self.now + delay + self.rng.random_range(shortest..=longest);
            self.push(
                due,
                to,
                EventKind::Deliver {
                    from: self.nodes[n].address,
                    frame,
                },
            );
        }
        for (kind, key) in changed {
            if kind == ChangeKind::Dead
                && let Some(&other) = self.nodes_by_key.get(&key)
            {
                self.record_death(n, other);
            }
        }
    }

    /// Records that `observer` declared member `dead` dead: as detected if that member is down, and
    /// as a false death if it is up, not paused and connected.
    fn record_death(&mut self, observer: usize, dead: usize) {
        if let Some(since) = self.nodes[dead].down_since {
            self.detected.entry(dead).or_insert(self.now - since);
            return;
        }
        let paused = self.nodes[dead].paused_until > self.now;
        let cut = (self.cut)(&self.nodes[observer], &self.nodes[dead])
            || (self.cut)(&self.nodes[dead], &self.nodes[observer]);
        let last = self.last_false_death.get(&dead).copied();
        if !paused && !cut && last.is_none_or(|last| self.now > last + FALSE_DEATH_WINDOW) {
            self.false_deaths.push((self.now, dead));
        }
        if !paused && !cut {
            self.last_false_death.insert(dead, self.now);
        }
    }

    /// Processes the next event if it is due by `until`; returns whether there was one.
    fn step(&mut self, until: Nanos) -> bool {
        if self
            .queue
            .peek()
            .is_none_or(|Reverse(event)| event.due > until)
        {
            return false;
        }
        let Some(Reverse(event)) = self.queue.pop() else {
            return false;
        };
        self.now = event.due;
        self.processed += 1;
        let n = event.node;
        if self.nodes[n].paused_until > self.now {
            let due = self.nodes[n].paused_until;
            self.push(due, n, event.kind);
            return true;
        }
        match event.kind {
            EventKind::Stall => {
                if self.nodes[n].membership.is_some() {
                    let (stall, _) = self.config.stall;
                    self.nodes[n].paused_until = self.now + self.rng.random_range(stall / 5..stall);
                    self.schedule_stall(n);
                }
            }
            EventKind::Wake { generation } => {
                if generation == self.nodes[n].generation
                    && self.nodes[n].wake_scheduled <= self.now
                {
                    self.nodes[n].wake_scheduled = Nanos::MAX;
                    let reading = self.clock_reading(n);
                    if let Some(membership) = &mut self.nodes[n].membership {
                        if membership.next_wake() <= self.now {
                            membership.wake(reading);
                        }
                        self.apply_actions(n);
                    }
                    self.schedule_wake(n);
                }
            }
            EventKind::Deliver { from, frame } => {
                let reading = self.clock_reading(n);
                if let Some(membership) = &mut self.nodes[n].membership {
                    membership.on_datagram(reading, from, &frame);
                    self.apply_actions(n);
                    self.schedule_wake(n);
                }
            }
        }
        true
    }

    /// Advances the simulation by the given time.
    pub fn run(&mut self, time: Nanos) {
        let until = self.now + time;
        while self.step(until) {}
        self.now = until;
    }

    /// Advances the simulation until `holds` returns true, which is checked at the interval
    /// `every`. Returns the simulated time that this took, or `None` if it took longer than
    /// `timeout`.
    pub fn run_until(
        &mut self,
        timeout: Nanos,
        every: Nanos,
        mut holds: impl FnMut(&Simulation) -> bool,
    ) -> Option<Nanos> {
        let start = self.now;
        while self.now < start + timeout {
            if holds(self) {
                return Some(self.now - start);
            }
            self.run(every);
        }
        holds(self).then(|| self.now - start)
    }

    /// Returns whether the link from one member to another is cut.
    pub fn is_cut(&self, from: &SimulatedNode, to: &SimulatedNode) -> bool {
        (self.cut)(from, to)
    }

    /// Returns the members that are up.
    pub fn up(&self) -> impl Iterator<Item = (&SimulatedNode, &Membership<SimulatedActions>)> {
        self.nodes
            .iter()
            .filter_map(|node| Some((node, node.membership.as_ref()?)))
    }

    /// Returns whether all members that are up share one digest and see exactly the members that
    /// are up.
    pub fn is_settled(&self) -> bool {
        let mut digests = self
            .up()
            .map(|(_, membership)| membership.member_table().digest());
        let Some(first) = digests.next() else {
            return true;
        };
        if !digests.all(|digest| digest == first) {
            return false;
        }
        let up = self.up().count();
        let Some((_, membership)) = self.up().next() else {
            return true;
        };
        let is_seen_correctly = |node: &SimulatedNode| {
            let liveness = membership
                .member_table()
                .get(node.key)
                .map(|entry| entry.liveness());
            liveness.is_some_and(Liveness::is_present) == node.membership.is_some()
        };
        membership.member_table().counts().present() == up
            && self.nodes.iter().all(is_seen_correctly)
    }

    /// Returns whether no member suspects another.
    pub fn is_calm(&self) -> bool {
        self.up()
            .all(|(_, membership)| membership.member_table().counts().suspect == 0)
    }

    /// Returns the mean number of bytes and of datagrams that a member has sent since the last
    /// call.
    pub fn take_traffic(&mut self) -> (f64, f64) {
        let members = self.nodes.len().max(1) as f64;
        let bytes: u64 = self
            .nodes
            .iter_mut()
            .map(|node| std::mem::take(&mut node.bytes))
            .sum();
        let datagrams: u64 = self
            .nodes
            .iter_mut()
            .map(|node| std::mem::take(&mut node.datagrams))
            .sum();
        (bytes as f64 / members, datagrams as f64 / members)
    }
}
