//! Fleets that share a budget, over simulated time: the same state machines, links that lose, delay
//! and are cut, nodes that crash, pause and return, clocks that drift; and a service below that
//! keeps the record. Beside the machines of this package two plain ways are played: an even part by
//! the number of nodes in sight, and a central counter.

use crate::budget_borrower::{Budget, Kind, NodeBudgets};
use crate::budget_lender::Lease;
use crate::counts::{ClusterCounters, OWN, ProcessCounters, own};
use crate::keyed_quota::borrower::QuotaBorrower;
use crate::keyed_quota::{KeyedQuota, QuotaGrant, QuotaKind};
use crate::messages::{ReceivedMessage, write};
use crate::shared_state::{BudgetRequest, Config, Host, Message, SharedState};
use crate::{MILLISECOND, Nanos, ProcessId, SECOND};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

/// How the limit is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitStrategy {
    /// By this package.
    Leases,
    /// Each node takes the limit divided by the nodes it has in sight; sight follows the truth
    /// late.
    EvenByView,
    /// One node counts for all, and is asked for each call; no answer, no call.
    Counter,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub nodes: usize,
    pub zones: usize,
    pub way: LimitStrategy,
    pub budget: Budget,
    pub loss: f64,
    pub latency: (Nanos, Nanos),
    /// Clocks run this much fast or slow at most, as a part of one.
    pub drift: f64,
    /// How late a node's sight of the others is, for the even part.
    pub sight: Nanos,
    pub seed: u64,
    /// A limit by key beside it, and the bytes for the keys of a node, and of books.
    pub keys: Option<KeyedQuota>,
    pub key_bytes: usize,
    /// Processes whose counts arbiters keep apart; none are counted if it is 0.
    pub counted: usize,
}

/// Between two words of a node's counts.
const TELLS: Nanos = 5 * SECOND;

/// Tries of keys in a step: which node, which key.
pub type KeyLoad = Box<dyn FnMut(Nanos, &mut Pcg64Mcg) -> Vec<(usize, u64)>>;

/// The record of what was let through of each key, over all nodes.
#[derive(Clone, Debug, Default)]
struct KeyRecord {
    /// When a next one would come evenly; or how many are in hand.
    keys: HashMap<u64, (Nanos, u32)>,
}

impl KeyRecord {
    /// One was let through: by how many units the key is over its limit now.
    fn came(&mut self, now: Nanos, key: u64, kind: QuotaKind) -> f64 {
        let (due, in_hand) = self.keys.entry(key).or_default();
        *in_hand += 1;
        match kind {
            QuotaKind::Rate {
                count,
                period,
                burst,
            } => {
                let interval = period / u64::from(count);
                *due = (*due).max(now) + interval;
                (*due - now) as f64 / interval as f64 - f64::from(burst)
            }
            QuotaKind::InHand { limit, .. } => f64::from(*in_hand) - f64::from(limit),
        }
    }

    fn over(&mut self, key: u64) {
        self.keys.entry(key).or_default().1 -= 1;
    }
}

/// Tries a second of a node at a time.
pub type Load = Box<dyn Fn(usize, Nanos) -> f64>;

struct SimulatedActions {
    sent: Vec<(u64, ReceivedMessage)>,
    ends: NodeBudgets,
    wallet: QuotaBorrower,
}

impl Host for SimulatedActions {
    fn send(&mut self, to: u64, told: ReceivedMessage) {
        self.sent.push((to, told));
    }
    fn log(&mut self, _: &str) {}
    fn wants(&mut self, now: Nanos) -> (Nanos, Vec<BudgetRequest>) {
        (now, self.ends.wants(now))
    }
    fn lent(&mut self, now: Nanos, asked: Nanos, parts: &[(u32, Lease)]) {
        self.ends.lent(now, asked, parts);
    }
    fn keys_lent(&mut self, now: Nanos, lent: QuotaGrant) {
        self.wallet.lent(now, &lent);
    }
    fn let_go(&mut self, now: Nanos) -> bool {
        let free = self.wallet.let_go();
        self.ends.let_go(now) && free
    }
}

struct SimulatedNode {
    shared: Option<SharedState<SimulatedActions>>,
    life: u64,
    rate: f64,
    still_until: Nanos,
    /// Tries that are owed to its load.
    owed: f64,
    /// For the even part: saved calls.
    saved: f64,
    /// For the counter: tries that wait for an answer are not counted; this is what was allowed.
    up_since: Nanos,
    /// What it counted, and when it tells that.
    tally: ProcessCounters,
    tells: Nanos,
}

/// What came of a play.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationResult {
    /// Calls that were made, and tried.
    pub made: u64,
    pub tried: u64,
    /// The most over the limit in any second (of a rate) or at any moment (in hand), in units.
    pub worst_over: f64,
    /// Seconds in which it was over.
    pub seconds_over: u64,
    /// Messages that were sent, and their bytes as parcels.
    pub messages: u64,
    pub bytes: u64,
    /// Of keys: units that were wanted (each by a caller who comes back twice when it is told to),
    /// let through, and refused at the end; the most over the limit of any key.
    pub keys_wanted: u64,
    pub keys_made: u64,
    pub keys_refused: u64,
    pub keys_over: f64,
    pub keys_by_node: Vec<u64>,
    /// Calls made in each second.
    pub by_second: Vec<u64>,
    pub tried_by_second: Vec<u64>,
    /// Calls of each node.
    pub by_node: Vec<u64>,
}

impl SimulationResult {
    /// Nothing yet, of so many nodes.
    pub fn of(nodes: usize) -> SimulationResult {
        SimulationResult {
            by_node: vec![0; nodes],
            keys_by_node: vec![0; nodes],
            ..SimulationResult::default()
        }
    }
}

/// A fleet that shares one budget.
pub struct Simulation {
    pub plan: SimulationConfig,
    pub now: Nanos,
    pub measured: SimulationResult,
    nodes: Vec<SimulatedNode>,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(Nanos, u64, usize, u64)>>,
    under_way: BTreeMap<u64, (ProcessId, ReceivedMessage)>,
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
    key_load: Option<KeyLoad>,
    key_record: KeyRecord,
    /// Callers who come back: when, to whom, how often they came, which key. And what is in hand:
    /// until when, of whom, which key.
    key_retries: BinaryHeap<Reverse<(Nanos, usize, u32, u64)>>,
    key_hands: BinaryHeap<Reverse<(Nanos, usize, u64, u64)>>,
    /// For plain ways: when a next one of a key would come evenly, at a node.
    plain_keys: HashMap<(usize, u64), Nanos>,
}

/// Tries of a caller who is told to come back.
const KEY_TRIES: u32 = 3;

/// Time is played in steps of this.
const STEP: Nanos = 5 * MILLISECOND;
const ARBITERS: usize = 3;

impl Simulation {
    /// A fleet all of whose nodes start now.
    pub fn new(plan: SimulationConfig, load: Load) -> Simulation {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let nodes = (0..plan.nodes)
            .map(|_| SimulatedNode {
                shared: None,
                life: 0,
                rate: 1.0
                    + if plan.drift > 0.0 {
                        rng.random_range(-plan.drift..plan.drift)
                    } else {
                        0.0
                    },
                still_until: 0,
                owed: 0.0,
                saved: 0.0,
                up_since: 0,
                tally: ProcessCounters::default(),
                tells: 0,
            })
            .collect();
        let mut sim = Simulation {
            now: SECOND,
            measured: SimulationResult::of(plan.nodes),
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
            key_load: None,
            key_record: KeyRecord::default(),
            key_retries: BinaryHeap::new(),
            key_hands: BinaryHeap::new(),
            plain_keys: HashMap::new(),
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
        let me = ProcessId {
            key: n as u64 + 1,
            life: self.lives,
        };
        let arbiters = (1..=ARBITERS.min(self.plan.nodes) as u64).collect();
        let keys: Vec<KeyedQuota> = self.plan.keys.iter().cloned().collect();
        let mut settings = Config::usual(me, arbiters, vec![self.plan.budget.clone()], keys);
        (settings.key_bytes, settings.counted) = (self.plan.key_bytes, self.plan.counted);
        settings.zone = (n % self.plan.zones.max(1)) as u32;
        let seed = self.plan.seed.wrapping_mul(7919).wrapping_add(self.lives);
        let now = self.clock(n);
        let node = &mut self.nodes[n];
        let ends = NodeBudgets::new(now, &settings.budgets);
        let wallet = QuotaBorrower::new(
            now,
            &settings.keys,
            settings.rhythm,
            self.plan.key_bytes,
            seed,
        );
        node.shared = Some(SharedState::new(
            settings,
            seed,
            now,
            SimulatedActions {
                sent: Vec::new(),
                ends,
                wallet,
            },
        ));
        (node.life, node.owed, node.saved, node.up_since) = (self.lives, 0.0, 0.0, self.now);
        (node.tally, node.tells) = (
            ProcessCounters::new(now / MILLISECOND),
            now + self.rng.random_range(0..TELLS),
        );
        self.changed();
    }

    fn changed(&mut self) {
        let up = self
            .nodes
            .iter()
            .map(|node| node.shared.is_some())
            .collect();
        self.changes.push_back((self.now, up));
    }

    /// A node ends without a word; what it had in hand below is given up.
    pub fn crash(&mut self, n: usize) {
        self.nodes[n].shared = None;
        self.in_hand.retain(|Reverse((_, node, _))| *node != n);
        let held = std::mem::take(&mut self.key_hands).into_vec();
        for Reverse((end, node, life, key)) in held {
            if node == n {
                self.key_record.over(key);
            } else {
                self.key_hands.push(Reverse((end, node, life, key)));
            }
        }
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
                shared.rebudget(vec![budget.clone()], Vec::new());
                shared.host.ends.rebudget(std::slice::from_ref(budget));
            }
        }
    }

    /// Another limit by key, on some nodes.
    pub fn rebudget_keys(&mut self, nodes: std::ops::Range<usize>, keys: &KeyedQuota) {
        let budgets = vec![self.plan.budget.clone()];
        for shared in self.nodes[nodes]
            .iter_mut()
            .filter_map(|node| node.shared.as_mut())
        {
            shared.rebudget(budgets.clone(), vec![keys.clone()]);
            shared.host.wallet.rebudget(std::slice::from_ref(keys));
        }
    }

    /// What it takes on the way, with the frame of the fleet and the heads of UDP and IP.
    fn bytes(told: &ReceivedMessage) -> u64 {
        const FRAME: usize = 32 + 16 + 24 + 28;
        (write(told).len() + FRAME) as u64
    }

    /// From here on what happens is measured anew; what is in hand stays.
    pub fn measure_anew(&mut self) {
        self.measured = SimulationResult::of(self.nodes.len());
        self.key_record
            .keys
            .values_mut()
            .for_each(|(due, _)| *due = 0);
    }

    /// Has keys tried for.
    pub fn key_load(&mut self, load: KeyLoad) {
        self.key_load = Some(load);
    }

    /// Whether one of a key may go by a plain way, for rates: an even part by the nodes in sight,
    /// or a central counter.
    fn plain_key(
        &mut self,
        way: LimitStrategy,
        n: usize,
        key: u64,
        kind: QuotaKind,
    ) -> Result<(), Nanos> {
        let QuotaKind::Rate {
            count,
            period,
            burst,
        } = kind
        else {
            return Err(SECOND);
        };
        let even = period / u64::from(count);
        let (place, interval, most) = match way {
            LimitStrategy::EvenByView => {
                let there = self.in_sight(n).max(1) as u64;
                ((n, key), even * there, (u64::from(burst) / there).max(1))
            }
            _ => {
                let lost = self.plan.loss > 0.0
                    && self.rng.random_bool(1.0 - (1.0 - self.plan.loss).powi(2));
                self.asks_counter();
                let reached = n == 0 || !(self.cut)(n, 0) && !(self.cut)(0, n);
                let counts =
                    self.nodes[0].shared.is_some() && self.nodes[0].still_until <= self.now;
                if lost || !reached || !counts {
                    return Err(SECOND / 10);
                }
                ((0, key), even, u64::from(burst))
            }
        };
        let due = self.plain_keys.entry(place).or_default();
        let wait = due.saturating_sub(self.now + interval * (most - 1));
        if wait > 0 {
            return Err(wait);
        }
        *due = (*due).max(self.now) + interval;
        Ok(())
    }

    /// A question to a central counter and its answer.
    fn asks_counter(&mut self) {
        self.measured.messages += 2;
        self.measured.bytes +=
            2 * Self::bytes(&ReceivedMessage::Budgets(Message::BudgetRequest { no: 1 }));
    }

    /// Nodes that one has in sight: whom it saw some time ago, but for those whom it can't hear.
    fn in_sight(&self, n: usize) -> usize {
        let then = self.now.saturating_sub(self.plan.sight);
        let seen = self
            .changes
            .iter()
            .rev()
            .find(|(at, _)| *at <= then)
            .or(self.changes.front());
        seen.map_or(1, |(_, up)| {
            (0..up.len())
                .filter(|&m| up[m] && !(self.cut)(m, n))
                .count()
        })
    }

    fn try_keys(&mut self) {
        let Some(budget) = self.plan.keys.clone() else {
            return;
        };
        while self
            .key_hands
            .peek()
            .is_some_and(|Reverse((end, ..))| *end <= self.now)
        {
            let Some(Reverse((_, n, life, key))) = self.key_hands.pop() else {
                break;
            };
            self.key_record.over(key);
            let is_same = self.nodes[n].life == life;
            if let Some(shared) = self.nodes[n].shared.as_mut().filter(|_| is_same) {
                shared.host.wallet.done(budget.id(), key);
            }
        }
        let now = self.now;
        let mut tries: Vec<(usize, u64, u32)> = Vec::new();
        if let Some(load) = &mut self.key_load {
            tries.extend(
                load(now, &mut self.rng)
                    .into_iter()
                    .map(|(n, key)| (n, key, 1)),
            );
        }
        self.measured.keys_wanted += tries.len() as u64;
        while self
            .key_retries
            .peek()
            .is_some_and(|Reverse((due, ..))| *due <= now)
        {
            let Some(Reverse((_, n, times, key))) = self.key_retries.pop() else {
                break;
            };
            tries.push((n, key, times));
        }
        for (n, key, times) in tries {
            let (clock, life) = (self.clock(n), self.nodes[n].life);
            let still = self.nodes[n].still_until > now;
            let Some(shared) = self.nodes[n].shared.as_mut().filter(|_| !still) else {
                continue;
            };
            let fits = match self.plan.way {
                LimitStrategy::Leases => {
                    let fits = shared.host.wallet.fits(clock, budget.id(), key);
                    if fits.is_ok() {
                        shared.host.wallet.take(clock, budget.id(), key);
                    }
                    fits.map_err(|refused| refused.pause)
                }
                way => self.plain_key(way, n, key, budget.kind),
            };
            match fits {
                Ok(()) => {
                    self.measured.keys_made += 1;
                    self.measured.keys_by_node[n] += 1;
                    let over = self.key_record.came(now, key, budget.kind);
                    self.measured.keys_over = self.measured.keys_over.max(over);
                    if let QuotaKind::InHand { longest, .. } = budget.kind {
                        let end = now + self.rng.random_range(longest / 8..longest);
                        self.key_hands.push(Reverse((end, n, life, key)));
                    } else {
                        self.key_record.over(key);
                    }
                }
                Err(pause) if times < KEY_TRIES => {
                    self.key_retries
                        .push(Reverse((now + pause, n, times + 1, key)));
                }
                Err(_) => self.measured.keys_refused += 1,
            }
        }
    }

    /// Units of a key that lie in pockets and could be spent, over all nodes.
    pub fn key_units(&self, key: u64) -> u32 {
        let Some(budget) = &self.plan.keys else {
            return 0;
        };
        (0..self.nodes.len())
            .filter_map(|n| Some((self.clock(n), self.nodes[n].shared.as_ref()?)))
            .map(|(clock, shared)| shared.host.wallet.units(clock, budget.id(), key))
            .sum()
    }

    /// The counts that a node knows of all, if it is an arbiter.
    pub fn counts(&self, n: usize) -> Option<&ClusterCounters> {
        self.nodes[n].shared.as_ref()?.counts_of_all()
    }

    /// Has arbiters add up those who are gone.
    pub fn tidy(&mut self) {
        let there: Vec<ProcessId> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].shared.is_some())
            .map(|n| ProcessId {
                key: n as u64 + 1,
                life: self.nodes[n].life,
            })
            .collect();
        for n in 0..self.nodes.len() {
            let now = self.clock(n);
            if let Some(shared) = &mut self.nodes[n].shared {
                shared.tidy(now, |who| there.contains(&who));
            }
        }
    }

    /// Calls of the whole fleet as a node was told last.
    pub fn calls_told(&self, n: usize) -> Option<u64> {
        let shared = self.nodes[n].shared.as_ref()?;
        Some(shared.sums(self.clock(n))?.0.total.get(&OWN)?[own::CALLS])
    }

    /// Keys that all wallets tell apart, and keys and pockets in the books of the one who lends.
    pub fn key_figures(&self) -> (usize, Option<(usize, usize, u64)>) {
        let shared = || self.nodes.iter().filter_map(|node| node.shared.as_ref());
        let books = shared()
            .find_map(|shared| shared.key_books())
            .map(|books| books.figures());
        (
            shared().map(|shared| shared.host.wallet.keys()).sum(),
            books,
        )
    }

    fn carry(&mut self, n: usize) {
        let from = ProcessId {
            key: n as u64 + 1,
            life: self.nodes[n].life,
        };
        let Some(shared) = &mut self.nodes[n].shared else {
            return;
        };
        for (to, message) in std::mem::take(&mut shared.host.sent) {
            self.measured.messages += 1;
            self.measured.bytes += Self::bytes(&message);
            let to = to as usize - 1;
            if self.rng.random_bool(self.plan.loss) || (self.cut)(n, to) {
                continue;
            }
            let copies = if self.plan.loss > 0.0 && self.rng.random_bool(0.1) {
                2
            } else {
                1
            };
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
        while self
            .queue
            .peek()
            .is_some_and(|Reverse((due, ..))| *due <= self.now)
        {
            let Some(Reverse((_, id, to, _))) = self.queue.pop() else {
                break;
            };
            if self.nodes[to].still_until > self.now {
                self.queue
                    .push(Reverse((self.nodes[to].still_until, id, to, 0)));
                continue;
            }
            let Some((from, message)) = self.under_way.remove(&id) else {
                continue;
            };
            let now = self.clock(to);
            if let Some(shared) = &mut self.nodes[to].shared {
                shared.told(now, from, message);
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
            let node = &mut self.nodes[n];
            if let Some(shared) = &mut node.shared {
                if shared.next() <= now && self.plan.way == LimitStrategy::Leases {
                    shared.wake(now);
                }
                if self.plan.counted > 0 && now >= node.tells {
                    let who = ProcessId {
                        key: n as u64 + 1,
                        life: node.life,
                    };
                    shared.tell_counts(now, &node.tally.word(who, 0, 2));
                    node.tells = now + TELLS;
                }
                while let Some(asked) = shared.host.wallet.ask(now) {
                    shared.ask_keys(now, asked);
                }
                lenders += usize::from(shared.lends(now));
            }
            self.carry(n);
            self.tries(n);
        }
        self.try_keys();
        self.lenders_most = self.lenders_most.max(lenders);
        self.look();
    }

    fn end_calls(&mut self) {
        while self
            .in_hand
            .peek()
            .is_some_and(|Reverse((end, ..))| *end <= self.now)
        {
            let Some(Reverse((_, n, life))) = self.in_hand.pop() else {
                break;
            };
            if self.nodes[n].life == life
                && let Some(shared) = &mut self.nodes[n].shared
            {
                shared.host.ends.over(false);
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
                let unix_ms = self.clock(n) / MILLISECOND;
                self.nodes[n].tally.add(unix_ms, OWN, own::CALLS, 1);
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
            LimitStrategy::Leases => self.nodes[n]
                .shared
                .as_mut()
                .is_some_and(|shared| shared.host.ends.take(now, false).is_ok()),
            LimitStrategy::EvenByView => {
                let there = self.in_sight(n);
                let share = f64::from(self.plan.budget.limit) / there.max(1) as f64;
                let node = &mut self.nodes[n];
                let passed = (self.now - node.up_since) as f64 / SECOND as f64;
                node.up_since = self.now;
                node.saved = (node.saved + share * passed).min((share / 20.0).max(1.0));
                let may = node.saved >= 1.0;
                node.saved -= if may { 1.0 } else { 0.0 };
                may
            }
            LimitStrategy::Counter => {
                let reached = n == 0 || !(self.cut)(n, 0) && !(self.cut)(0, n);
                let lost = self.plan.loss > 0.0
                    && self.rng.random_bool(1.0 - (1.0 - self.plan.loss).powi(2));
                self.asks_counter();
                let counts =
                    self.nodes[0].shared.is_some() && self.nodes[0].still_until <= self.now;
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
                while self
                    .recent
                    .front()
                    .is_some_and(|at| *at + SECOND <= self.now)
                {
                    self.recent.pop_front();
                }
                // A second's worth, what may be saved, and a call that each node has saved at
                // least.
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
        self.nodes[n]
            .shared
            .as_mut()
            .map_or(0, |shared| shared.host.ends.purses()[0].units(now))
    }
}

fn grow(by_second: &mut Vec<u64>, second: usize) {
    if by_second.len() <= second {
        by_second.resize(second + 1, 0);
    }
    by_second[second] += 1;
}
