//! Fleets by the thousand in one process, over simulated time: the same state machines, links that
//! lose and delay, members that crash, pause, stall and return, zones that are cut off. All chance
//! comes from a seed.

use crate::cluster_size::ClusterView;
use crate::datagram_auth::AuthKeys;
use crate::history::ChangeKind;
use crate::member::{Liveness, MemberKey};
use crate::member_table::Interner;
use crate::swim::{ClockReading, Config, FeatureToggles, Host, Membership, Timing};
use crate::{MILLISECOND, Nanos, SECOND};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// The day on which all of it happens.
const UNIX_MS: u64 = 1_800_000_000_000;
/// A death of one that is there is told of by all; what is told of one member within this time is
/// one death.
const ONE_DEATH: Nanos = 60 * SECOND;

/// What a simulated fleet is like.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub members: usize,
    pub zones: usize,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// How long a datagram is under way.
    pub latency: (Nanos, Nanos),
    /// Share of members that stall, for how long at most, and how long they run in between.
    pub slow: f64,
    pub stall: (Nanos, Nanos),
    pub timing: Timing,
    pub features: FeatureToggles,
    /// Whether all know each other at the start; else they find each other by the first three.
    pub acquainted: bool,
    pub seed: u64,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        SimulationConfig {
            members: 10,
            zones: 3,
            loss: 0.0,
            latency: (200_000, 2 * MILLISECOND),
            slow: 0.0,
            stall: (1500 * MILLISECOND, 3 * SECOND),
            timing: Timing::default(),
            features: FeatureToggles::default(),
            acquainted: true,
            seed: 1,
        }
    }
}

/// What a member did to the world.
#[derive(Debug, Default)]
pub struct SimulatedActions {
    sent: Vec<(SocketAddr, Rc<[u8]>)>,
    changed: Vec<(ChangeKind, MemberKey)>,
    /// Lines of its log, if they are kept.
    pub lines: Option<Vec<String>>,
}

impl Host for SimulatedActions {
    fn send(&mut self, to: SocketAddr, frame: &[u8]) {
        self.sent.push((to, frame.into()));
    }
    fn log(&mut self, _kind: &'static str, line: &str) {
        if let Some(lines) = &mut self.lines {
            lines.push(line.to_owned());
        }
    }
    fn cluster_view(&mut self, _sight: &ClusterView) {}
    fn changed(&mut self, kind: ChangeKind, key: MemberKey) {
        self.changed.push((kind, key));
    }
}

enum What {
    Wake {
        generation: u32,
    },
    /// A slow member stands still from now on, for a while.
    Stall,
    Deliver {
        from: SocketAddr,
        frame: Rc<[u8]>,
    },
}

struct Event {
    due: Nanos,
    order: u64,
    node: usize,
    what: What,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}

/// A simulated member.
pub struct SimulatedNode {
    pub name: String,
    pub key: MemberKey,
    pub zone: usize,
    address: SocketAddr,
    /// None while it is down.
    pub fleet: Option<Membership<SimulatedActions>>,
    generation: u32,
    woken: Nanos,
    /// Nothing reaches it, and it does nothing, until then.
    still_until: Nanos,
    stalls: bool,
    /// When it went down.
    pub down_since: Option<Nanos>,
    /// How far its clock is from true.
    pub clock: i64,
    /// Bytes and datagrams that it sent.
    pub bytes: u64,
    pub datagrams: u64,
}

/// Whether nothing passes from one member to another.
type Cut = Box<dyn Fn(&SimulatedNode, &SimulatedNode) -> bool>;

/// What is lost between two members beside the plan's share, and how much later the rest comes.
type Rough = Box<dyn Fn(&SimulatedNode, &SimulatedNode) -> (f64, Nanos)>;

/// A simulated fleet.
pub struct Simulation {
    pub plan: SimulationConfig,
    pub now: Nanos,
    pub nodes: Vec<SimulatedNode>,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<Event>>,
    answer_order: u64,
    places: HashMap<SocketAddr, usize>,
    keys: HashMap<MemberKey, usize>,
    /// Between which nodes nothing passes: by number of the sender and of the receiver.
    cut: Cut,
    rough: Rough,
    interner: Interner,
    starts: u64,
    /// When somebody first held a member for dead that was down, from its end on; the second number
    /// tells when all did.
    pub detected: BTreeMap<usize, Nanos>,
    /// Members that were held for dead while they were there and reached by others, and when that
    /// was last so.
    pub false_deaths: Vec<(Nanos, usize)>,
    false_last: HashMap<usize, Nanos>,
    /// Events that were played.
    pub played: u64,
    /// Whether logs are kept.
    pub keep_lines: bool,
}

fn address(node: usize) -> SocketAddr {
    let [_, b, c, d] = (node as u32).to_be_bytes();
    SocketAddr::from(([10, b, c, d], 7946))
}

impl Simulation {
    /// A fleet of which nobody is up yet.
    pub fn new(plan: SimulationConfig) -> Simulation {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let nodes: Vec<SimulatedNode> = (0..plan.members)
            .map(|n| {
                let name = format!("n{n}");
                SimulatedNode {
                    key: MemberKey::of(&name),
                    name,
                    zone: n % plan.zones.max(1),
                    address: address(n),
                    fleet: None,
                    generation: 0,
                    woken: Nanos::MAX,
                    still_until: 0,
                    stalls: rng.random_bool(plan.slow),
                    down_since: None,
                    clock: 0,
                    bytes: 0,
                    datagrams: 0,
                }
            })
            .collect();
        Simulation {
            now: SECOND,
            rng,
            queue: BinaryHeap::new(),
            answer_order: 0,
            places: nodes
                .iter()
                .enumerate()
                .map(|(n, node)| (node.address, n))
                .collect(),
            keys: nodes
                .iter()
                .enumerate()
                .map(|(n, node)| (node.key, n))
                .collect(),
            cut: Box::new(|_, _| false),
            rough: Box::new(|_, _| (0.0, 0)),
            interner: Interner::default(),
            starts: 0,
            detected: BTreeMap::new(),
            false_deaths: Vec::new(),
            false_last: HashMap::new(),
            played: 0,
            keep_lines: false,
            nodes,
            plan,
        }
    }

    /// A fleet all of whose members are up, and know each other if the plan says so.
    pub fn started(plan: SimulationConfig) -> Simulation {
        let mut sim = Simulation::new(plan);
        (0..sim.nodes.len()).for_each(|n| sim.start(n));
        if sim.plan.acquainted {
            let all: Vec<_> = sim
                .nodes
                .iter()
                .filter_map(|node| node.fleet.as_ref()?.introduction())
                .collect();
            for n in 0..sim.nodes.len() {
                let at = sim.moment(n);
                if let Some(fleet) = &mut sim.nodes[n].fleet {
                    fleet.preload(at, &all);
                }
            }
        }
        sim
    }

    fn moment(&self, node: usize) -> ClockReading {
        let unix_ms = UNIX_MS + self.now / MILLISECOND;
        ClockReading {
            now: self.now,
            unix_ms: unix_ms.saturating_add_signed(self.nodes[node].clock),
        }
    }

    fn settings(&self, node: usize) -> Config {
        let node = &self.nodes[node];
        Config {
            fleet: "simulated".into(),
            name: node.name.clone(),
            zone: format!("z{}", node.zone),
            address: node.address,
            seeds: (0..3.min(self.nodes.len()))
                .map(|n| self.nodes[n].address)
                .collect(),
            keys: AuthKeys::new(&[vec![7; 32]]).expect("a key of 32 bytes"),
            timing: self.plan.timing,
            program: "0.1.0".into(),
            settings: (1, 1),
            bytes: 2 * self.plan.members * crate::member_table::ENTRY_USUAL + (1 << 16),
            features: self.plan.features,
        }
    }

    /// A member starts, knowing nobody.
    pub fn start(&mut self, n: usize) {
        self.starts += 1;
        let seed = self
            .plan
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(self.starts);
        let out = SimulatedActions {
            lines: self.keep_lines.then(Vec::new),
            ..SimulatedActions::default()
        };
        let (at, settings, interner) = (self.moment(n), self.settings(n), self.interner.clone());
        let fleet = Membership::with_interner(settings, seed, at, out, Some(interner));
        let node = &mut self.nodes[n];
        node.fleet = Some(fleet.expect("simulated members have good names"));
        node.generation += 1;
        (node.down_since, node.woken, node.still_until) = (None, Nanos::MAX, self.now);
        self.schedule(n);
        if self.nodes[n].stalls {
            self.stall(n);
        }
    }

    /// A member ends without a word.
    pub fn crash(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.fleet = None;
        node.generation += 1;
        node.down_since = Some(self.now);
        self.detected.remove(&n);
    }

    /// A member says that it leaves, and ends.
    pub fn leave(&mut self, n: usize) {
        let at = self.moment(n);
        if let Some(fleet) = &mut self.nodes[n].fleet {
            fleet.leave(at);
        }
        self.carry_out(n);
        self.crash(n);
    }

    /// A member stands still for so long; what reaches it meanwhile waits.
    pub fn pause(&mut self, n: usize, time: Nanos) {
        self.nodes[n].still_until = self.now + time;
    }

    /// Cuts links: those for which this holds, given sender and receiver.
    pub fn cut(&mut self, cut: impl Fn(&SimulatedNode, &SimulatedNode) -> bool + 'static) {
        self.cut = Box::new(cut);
    }

    /// Roughens links: what share is lost, and how much later the rest comes, given sender and
    /// receiver.
    pub fn roughen(
        &mut self,
        rough: impl Fn(&SimulatedNode, &SimulatedNode) -> (f64, Nanos) + 'static,
    ) {
        self.rough = Box::new(rough);
    }

    /// All links are whole again.
    pub fn heal(&mut self) {
        self.cut(|_, _| false);
        self.roughen(|_, _| (0.0, 0));
    }

    fn stall(&mut self, n: usize) {
        let (_, run) = self.plan.stall;
        let begin = self.rng.random_range(run / 2..run * 3 / 2);
        self.push(self.now + begin, n, What::Stall);
    }

    fn push(&mut self, due: Nanos, node: usize, what: What) {
        self.answer_order += 1;
        self.queue.push(Reverse(Event {
            due,
            order: self.answer_order,
            node,
            what,
        }));
    }

    /// Has a member woken when it wants that.
    fn schedule(&mut self, n: usize) {
        let Some(next) = self.nodes[n]
            .fleet
            .as_ref()
            .map(|fleet| fleet.next().max(self.now))
        else {
            return;
        };
        if next < self.nodes[n].woken {
            self.nodes[n].woken = next;
            let generation = self.nodes[n].generation;
            self.push(next, n, What::Wake { generation });
        }
    }

    /// Puts on their way what a member sent, and notes what it found.
    fn carry_out(&mut self, n: usize) {
        let Some(fleet) = &mut self.nodes[n].fleet else {
            return;
        };
        let sent = std::mem::take(&mut fleet.host.sent);
        let changed = std::mem::take(&mut fleet.host.changed);
        for (to, frame) in sent {
            self.nodes[n].bytes += frame.len() as u64 + 28; // with the heads of UDP and IP
            self.nodes[n].datagrams += 1;
            let Some(&to) = self.places.get(&to) else {
                continue;
            };
            let (share, late) = (self.rough)(&self.nodes[n], &self.nodes[to]);
            let lost =
                self.rng.random_bool(self.plan.loss) || share > 0.0 && self.rng.random_bool(share);
            if lost || (self.cut)(&self.nodes[n], &self.nodes[to]) {
                continue;
            }
            let (least, most) = self.plan.latency;
            let due = self.now + late + self.rng.random_range(least..=most);
            self.push(
                due,
                to,
                What::Deliver {
                    from: self.nodes[n].address,
                    frame,
                },
            );
        }
        for (kind, key) in changed {
            if kind == ChangeKind::Dead
                && let Some(&other) = self.keys.get(&key)
            {
                self.found_dead(n, other);
            }
        }
    }

    fn found_dead(&mut self, suspected_by: usize, other: usize) {
        if let Some(since) = self.nodes[other].down_since {
            self.detected.entry(other).or_insert(self.now - since);
            return;
        }
        let still = self.nodes[other].still_until > self.now;
        let cut = (self.cut)(&self.nodes[suspected_by], &self.nodes[other])
            || (self.cut)(&self.nodes[other], &self.nodes[suspected_by]);
        let last = self.false_last.get(&other).copied();
        if !still && !cut && last.is_none_or(|last| self.now > last + ONE_DEATH) {
            self.false_deaths.push((self.now, other));
        }
        if !still && !cut {
            self.false_last.insert(other, self.now);
        }
    }

    /// Plays the next event, if it comes before this time.
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
        self.played += 1;
        let n = event.node;
        if self.nodes[n].still_until > self.now {
            let due = self.nodes[n].still_until;
            self.push(due, n, event.what);
            return true;
        }
        match event.what {
            What::Stall => {
                if self.nodes[n].fleet.is_some() {
                    let (stall, _) = self.plan.stall;
                    self.nodes[n].still_until = self.now + self.rng.random_range(stall / 5..stall);
                    self.stall(n);
                }
            }
            What::Wake { generation } => {
                if generation == self.nodes[n].generation && self.nodes[n].woken <= self.now {
                    self.nodes[n].woken = Nanos::MAX;
                    let at = self.moment(n);
                    if let Some(fleet) = &mut self.nodes[n].fleet {
                        if fleet.next() <= self.now {
                            fleet.wake(at);
                        }
                        self.carry_out(n);
                    }
                    self.schedule(n);
                }
            }
            What::Deliver { from, frame } => {
                let at = self.moment(n);
                if let Some(fleet) = &mut self.nodes[n].fleet {
                    fleet.datagram(at, from, &frame);
                    self.carry_out(n);
                    self.schedule(n);
                }
            }
        }
        true
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Nanos) {
        let until = self.now + time;
        while self.step(until) {}
        self.now = until;
    }

    /// Lets time pass until this holds, looked at so often; gives how long it took, or nothing if
    /// it never did.
    pub fn run_until(
        &mut self,
        most: Nanos,
        every: Nanos,
        mut holds: impl FnMut(&Simulation) -> bool,
    ) -> Option<Nanos> {
        let begun = self.now;
        while self.now < begun + most {
            if holds(self) {
                return Some(self.now - begun);
            }
            self.run(every);
        }
        holds(self).then(|| self.now - begun)
    }

    /// Whether nothing passes from one member to another.
    pub fn is_cut(&self, from: &SimulatedNode, to: &SimulatedNode) -> bool {
        (self.cut)(from, to)
    }

    /// Those that are up.
    pub fn up(&self) -> impl Iterator<Item = (&SimulatedNode, &Membership<SimulatedActions>)> {
        self.nodes
            .iter()
            .filter_map(|node| Some((node, node.fleet.as_ref()?)))
    }

    /// Whether all that are up hold one digest, and hold for there just those that are up.
    pub fn is_settled(&self) -> bool {
        let mut digests = self.up().map(|(_, fleet)| fleet.member_table().digest());
        let Some(first) = digests.next() else {
            return true;
        };
        if !digests.all(|digest| digest == first) {
            return false;
        }
        let up = self.up().count();
        let Some((_, fleet)) = self.up().next() else {
            return true;
        };
        let there = |node: &SimulatedNode| {
            let liveness = fleet.member_table().get(node.key).map(|entry| entry.liveness());
            liveness.is_some_and(Liveness::is_present) == node.fleet.is_some()
        };
        fleet.member_table().counters().present() == up && self.nodes.iter().all(there)
    }

    /// Whether nobody is suspected by anybody.
    pub fn is_calm(&self) -> bool {
        self.up()
            .all(|(_, fleet)| fleet.member_table().counters().suspect == 0)
    }

    /// Bytes and datagrams that each member sent, on average, since the last call.
    pub fn spent(&mut self) -> (f64, f64) {
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

/// The plainest way, to measure against: everybody tells everybody that it is there, and who is not
/// heard for some periods is held for dead.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Heartbeats {
    /// Bytes and datagrams a second that each member sends.
    pub bytes: f64,
    pub datagrams: f64,
    /// Deaths of those that were there, as often as some member held one for dead.
    pub false_deaths: u64,
    /// How long until the first and until all held a crashed one for dead, in seconds, on average.
    pub found: f64,
    pub agreed: f64,
}

/// Bytes of a heartbeat: the frame with name and number, and the heads of UDP and IP.
const HEARTBEAT: usize = crate::datagram_auth::OVERHEAD + 42 + 28;

/// Plays heartbeats for so long, with a crash at the end; who is silent for `missed` periods is
/// held for dead.
pub fn heartbeats(
    members: usize,
    loss: f64,
    period: Nanos,
    missed: u32,
    time: Nanos,
    seed: u64,
) -> Heartbeats {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let rounds = time / period;
    let mut silent = vec![0u32; members * members];
    let mut false_deaths = 0;
    for _ in 0..rounds {
        for from in 0..members {
            for to in (0..members).filter(|&to| to != from) {
                let at = &mut silent[from * members + to];
                *at = if loss > 0.0 && rng.random_bool(loss) {
                    *at + 1
                } else {
                    0
                };
                false_deaths += u64::from(*at == missed);
            }
        }
    }
    // A crash: each has the periods that it had missed already, and its own phase.
    let left: Vec<f64> = (1..members)
        .map(|to| f64::from(missed - silent[to].min(missed)) - rng.random_range(0.0..1.0))
        .map(|timing| timing.max(0.0) * period as f64 / SECOND as f64)
        .collect();
    let datagrams = (members - 1) as f64 * SECOND as f64 / period as f64;
    Heartbeats {
        bytes: datagrams * HEARTBEAT as f64,
        datagrams,
        false_deaths,
        found: left.iter().copied().fold(f64::INFINITY, f64::min),
        agreed: left.iter().copied().fold(0.0, f64::max),
    }
}
