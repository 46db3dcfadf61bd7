//! Fleets that share a budget, over simulated time: the same state machines, links that lose, delay and are cut, nodes that
//! crash, pause and return, clocks that drift; and a service below that keeps the record. Beside the machines of this package
//! two plain ways are played: an even part by the number of nodes in sight, and a central counter.

use crate::purse::{Budget, Ends, Kind};
use crate::shared::{Host, Message, Settings, Shared, Want};
use crate::treasury::Part;
use crate::{MILLISECOND, Nanos, SECOND, Who};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// How the limit is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// By this package.
    Leases,
    /// Each node takes the limit divided by the nodes it has in sight; sight follows the truth late.
    EvenByView,
    /// One node counts for all, and is asked for each call; no answer, no call.
    Counter,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub zones: usize,
    pub way: Way,
    pub budget: Budget,
    pub loss: f64,
    pub latency: (Nanos, Nanos),
    /// Clocks run this much fast or slow at most, as a part of one.
    pub drift: f64,
    /// How late a node's sight of the others is, for the even part.
    pub sight: Nanos,
    pub seed: u64,
}

/// Tries a second of a node at a time.
pub type Load = Box<dyn Fn(usize, Nanos) -> f64>;

struct Out {
    sent: Vec<(u64, Message)>,
    ends: Ends,
}

impl Host for Out {
    fn send(&mut self, to: u64, message: Message) {
        self.sent.push((to, message));
    }
    fn log(&mut self, _: &str) {}
    fn wants(&mut self, now: Nanos) -> (Nanos, Vec<Want>) {
        (now, self.ends.wants(now))
    }
    fn lent(&mut self, now: Nanos, asked: Nanos, parts: &[(usize, Part)]) {
        self.ends.lent(now, asked, parts);
    }
    fn let_go(&mut self, now: Nanos) -> bool {
        self.ends.let_go(now)
    }
}

struct Node {
    shared: Option<Shared<Out>>,
    life: u64,
    rate: f64,
    still_until: Nanos,
    /// Tries that are owed to its load.
    owed: f64,
    /// For the even part: saved calls.
    saved: f64,
    /// For the counter: tries that wait for an answer are not counted; this is what was allowed.
    up_since: Nanos,
}

/// What came of a play.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Measured {
    /// Calls that were made, and tried.
    pub made: u64,
    pub tried: u64,
    /// The most over the limit in any second (of a rate) or at any moment (in hand), in units.
    pub worst_over: f64,
    /// Seconds in which it was over.
    pub seconds_over: u64,
    /// Messages that were sent.
    pub messages: u64,
    /// Calls made in each second.
    pub by_second: Vec<u64>,
    pub tried_by_second: Vec<u64>,
    /// Calls of each node.
    pub by_node: Vec<u64>,
}

/// A fleet that shares one budget.
pub struct Sim {
    pub plan: Plan,
    pub now: Nanos,
    pub measured: Measured,
    nodes: Vec<Node>,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize, u64)>>,
    under_way: BTreeMap<u64, (Who, Message)>,
    sent: u64,
    load: Load,
    cut: Box<dyn Fn(usize, usize) -> bool>,
    lives: u64,
    /// Calls in hand over all, with when they end.
    in_hand: BinaryHeap<Reverse<(Nanos, usize, u64)>>,
    recent: VecDeque<Nanos>,
    /// When the number of nodes changed, for sight that is late.
    changes: VecDeque<(Nanos, Vec<bool>)>,
    counter_saved: f64,
    pub lenders_most: usize,
}

/// Time is played in steps of this.
const STEP: Nanos = 5 * MILLISECOND;
const ARBITERS: usize = 3;

impl Sim {
    /// A fleet all of whose nodes start now.
    pub fn new(plan: Plan, load: Load) -> Sim {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let nodes = (0..plan.nodes)
            .map(|_| Node {
                shared: None,
                life: 0,
                rate: 1.0 + if plan.drift > 0.0 { rng.random_range(-plan.drift..plan.drift) } else { 0.0 },
                still_until: 0,
                owed: 0.0,
                saved: 0.0,
                up_since: 0,
            })
            .collect();
        let mut sim = Sim {
            now: SECOND,
            measured: Measured { by_node: vec![0; plan.nodes], ..Measured::default() },
            nodes,
            rng,
            queue: BinaryHeap::new(),
            under_way: BTreeMap::new(),
            sent: 0,
            load,
            cut: Box::new(|_, _| false),
            lives: 0,
            in_hand: BinaryHeap::new(),
            recent: VecDeque::new(),
            changes: VecDeque::new(),
            counter_saved: 0.0,
            lenders_most: 0,
            plan,
        };
        (0..sim.nodes.len()).for_each(|n| sim.start(n));
        sim
    }

    fn clock(&self, n: usize) -> Nanos {
        (self.now as f64 * self.nodes[n].rate) as Nanos
    }

    /// A node starts, knowing nothing.
    pub fn start(&mut self, n: usize) {
        self.lives += 1;
        let me = Who { key: n as u64 + 1, life: self.lives };
        let arbiters = (1..=ARBITERS.min(self.plan.nodes) as u64).collect();
        let mut settings = Settings::usual(me, arbiters, vec![self.plan.budget.clone()]);
        settings.zone = (n % self.plan.zones.max(1)) as u32;
        // Who lends hears at most some 2,000 questions a second, so that in large fleets each asks more seldom.
        settings.ask = settings.ask.max(SECOND * self.plan.nodes as u64 / 2000);
        settings.part = settings.part.max(5 * settings.ask);
        settings.term = settings.term.max(2 * settings.part);
        let seed = self.plan.seed.wrapping_mul(7919).wrapping_add(self.lives);
        let now = self.clock(n);
        let node = &mut self.nodes[n];
        let ends = Ends::new(now, &settings.budgets);
        node.shared = Some(Shared::new(settings, seed, now, Out { sent: Vec::new(), ends }));
        (node.life, node.owed, node.saved, node.up_since) = (self.lives, 0.0, 0.0, self.now);
        self.changed();
    }

    fn changed(&mut self) {
        let up = self.nodes.iter().map(|node| node.shared.is_some()).collect();
        self.changes.push_back((self.now, up));
    }

    /// A node ends without a word; what it had in hand below is given up.
    pub fn crash(&mut self, n: usize) {
        self.nodes[n].shared = None;
        self.in_hand.retain(|Reverse((_, node, _))| *node != n);
        self.changed();
    }

    /// A node stands still for so long.
    pub fn pause(&mut self, n: usize, time: Nanos) {
        self.nodes[n].still_until = self.now + time;
    }

    /// Links on which nothing passes, by sender and receiver.
    pub fn cut(&mut self, cut: impl Fn(usize, usize) -> bool + 'static) {
        self.cut = Box::new(cut);
    }

    /// Changes what is tried.
    pub fn load(&mut self, load: Load) {
        self.load = load;
    }

    /// Another limit, on some nodes.
    pub fn rebudget(&mut self, nodes: std::ops::Range<usize>, budget: &Budget) {
        for node in &mut self.nodes[nodes] {
            if let Some(shared) = &mut node.shared {
                shared.rebudget(vec![budget.clone()]);
                shared.host.ends.rebudget(std::slice::from_ref(budget));
            }
        }
    }

    fn carry(&mut self, n: usize) {
        let from = Who { key: n as u64 + 1, life: self.nodes[n].life };
        let Some(shared) = &mut self.nodes[n].shared else { return };
        for (to, message) in std::mem::take(&mut shared.host.sent) {
            self.measured.messages += 1;
            let to = to as usize - 1;
            if self.rng.random_bool(self.plan.loss) || (self.cut)(n, to) {
                continue;
            }
            let copies = if self.plan.loss > 0.0 && self.rng.random_bool(0.1) { 2 } else { 1 };
            for _ in 0..copies {
                self.sent += 1;
                let (least, most) = self.plan.latency;
                let due = self.now + self.rng.random_range(least..=most);
                self.under_way.insert(self.sent, (from, message.clone()));
                self.queue.push(Reverse((due, self.sent, to, 0)));
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Nanos) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while self.queue.peek().is_some_and(|Reverse((due, ..))| *due <= self.now) {
            let Some(Reverse((_, id, to, _))) = self.queue.pop() else { break };
            if self.nodes[to].still_until > self.now {
                self.queue.push(Reverse((self.nodes[to].still_until, id, to, 0)));
                continue;
            }
            let Some((from, message)) = self.under_way.remove(&id) else { continue };
            let now = self.clock(to);
            if let Some(shared) = &mut self.nodes[to].shared {
                shared.message(now, from, message);
                self.carry(to);
            }
        }
        self.end_calls();
        let mut lenders = 0;
        for n in 0..self.nodes.len() {
            if self.nodes[n].still_until > self.now || self.nodes[n].shared.is_none() {
                continue;
            }
            let now = self.clock(n);
            if let Some(shared) = &mut self.nodes[n].shared {
                if shared.next() <= now {
                    shared.wake(now);
                }
                lenders += usize::from(shared.lends(now));
            }
            self.carry(n);
            self.tries(n);
        }
        self.lenders_most = self.lenders_most.max(lenders);
        self.look();
    }

    fn end_calls(&mut self) {
        while self.in_hand.peek().is_some_and(|Reverse((end, ..))| *end <= self.now) {
            let Some(Reverse((_, n, life))) = self.in_hand.pop() else { break };
            if self.nodes[n].life == life
                && let Some(shared) = &mut self.nodes[n].shared
            {
                shared.host.ends.over();
            }
        }
    }

    fn tries(&mut self, n: usize) {
        self.nodes[n].owed += (self.load)(n, self.now) * STEP as f64 / SECOND as f64;
        while self.nodes[n].owed >= 1.0 {
            self.nodes[n].owed -= 1.0;
            self.measured.tried += 1;
            let second = (self.now / SECOND) as usize;
            grow(&mut self.measured.tried_by_second, second);
            if self.may(n) {
                self.measured.made += 1;
                self.measured.by_node[n] += 1;
                grow(&mut self.measured.by_second, second);
                self.recent.push_back(self.now);
                if let Kind::InHand { longest } = self.plan.budget.kind {
                    let end = self.now + self.rng.random_range(longest / 4..longest);
                    self.in_hand.push(Reverse((end, n, self.nodes[n].life)));
                }
            }
        }
    }

    fn may(&mut self, n: usize) -> bool {
        let now = self.clock(n);
        match self.plan.way {
            Way::Leases => {
                self.nodes[n].shared.as_mut().is_some_and(|shared| shared.host.ends.take(now).is_ok())
            }
            Way::EvenByView => {
                // Whom it saw some time ago, but for those whom it can't hear.
                let then = self.now.saturating_sub(self.plan.sight);
                let seen = self.changes.iter().rev().find(|(at, _)| *at <= then).or(self.changes.front());
                let there =
                    seen.map_or(1, |(_, up)| (0..up.len()).filter(|&m| up[m] && !(self.cut)(m, n)).count());
                let share = f64::from(self.plan.budget.limit) / there.max(1) as f64;
                let node = &mut self.nodes[n];
                let passed = (self.now - node.up_since) as f64 / SECOND as f64;
                node.up_since = self.now;
                node.saved = (node.saved + share * passed).min((share / 20.0).max(1.0));
                let may = node.saved >= 1.0;
                node.saved -= if may { 1.0 } else { 0.0 };
                may
            }
            Way::Counter => {
                let reached = n == 0 || !(self.cut)(n, 0) && !(self.cut)(0, n);
                let lost = self.plan.loss > 0.0 && self.rng.random_bool(1.0 - (1.0 - self.plan.loss).powi(2));
                self.measured.messages += 2;
                let counts = self.nodes[0].shared.is_some() && self.nodes[0].still_until <= self.now;
                let may = reached && counts && !lost && self.counter_saved >= 1.0;
                self.counter_saved -= if may { 1.0 } else { 0.0 };
                may
            }
        }
    }

    /// The record of the service below.
    fn look(&mut self) {
        let limit = f64::from(self.plan.budget.limit);
        self.counter_saved =
            (self.counter_saved + limit * STEP as f64 / SECOND as f64).min((limit / 20.0).max(1.0));
        match self.plan.budget.kind {
            Kind::Rate { burst } => {
                while self.recent.front().is_some_and(|at| *at + SECOND <= self.now) {
                    self.recent.pop_front();
                }
                // A second's worth, what may be saved, and a call that each node has saved at least.
                let saved = limit * burst as f64 / SECOND as f64;
                let whole = self.nodes.len().min(self.plan.budget.limit as usize) as f64;
                let over = self.recent.len() as f64 - limit - saved.max(whole);
                self.note_over(over);
            }
            Kind::InHand { .. } => {
                let over = self.in_hand.len() as f64 - limit;
                self.note_over(over);
            }
        }
    }

    fn note_over(&mut self, over: f64) {
        if over > 0.0 {
            self.measured.worst_over = self.measured.worst_over.max(over);
            if self.now % SECOND < STEP {
                self.measured.seconds_over += 1;
            }
        }
    }

    /// Units that nodes have in hand now, over all of them.
    pub fn spendable(&mut self) -> u32 {
        let mut sum = 0;
        for n in 0..self.nodes.len() {
            let now = self.clock(n);
            if let Some(shared) = &mut self.nodes[n].shared {
                sum += shared.host.ends.purses()[0].units(now);
            }
        }
        sum
    }

    /// Units of one node now.
    pub fn units(&mut self, n: usize) -> u32 {
        let now = self.clock(n);
        self.nodes[n].shared.as_mut().map_or(0, |shared| shared.host.ends.purses()[0].units(now))
    }
}

fn grow(by_second: &mut Vec<u64>, second: usize) {
    if by_second.len() <= second {
        by_second.resize(second + 1, 0);
    }
    by_second[second] += 1;
}
