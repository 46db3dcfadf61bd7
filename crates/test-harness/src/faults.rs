//! The faults in force on each link. The fault proxies query them for all traffic.

use crate::scenario::{Fault, LinkFault, LinkKind};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Additional delay of a reordered datagram, so that later datagrams overtake it.
const REORDER_DELAY: Duration = Duration::from_millis(20);
/// Delay of the second copy of a doubled datagram.
const DOUBLE_DELAY: Duration = Duration::from_millis(1);

/// A node's name and zone, by which faults select links.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeLocation {
    /// The node's name in the scenario.
    pub name: String,
    /// The node's zone in the scenario.
    pub zone: String,
}

/// The treatment of one datagram by the proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delivery {
    /// Delay of each copy; empty if the datagram is lost.
    pub copies: Vec<Duration>,
    /// Index of a damaged byte, and the mask that is applied to it by exclusive or.
    pub damage: Option<(usize, u8)>,
    /// True if the proxy holds the datagram back until its link is healed.
    pub is_held: bool,
}

struct State {
    /// Faults, each with the time at which it ends; `None` if the fault lasts until all links are
    /// healed.
    faults: Vec<(LinkFault, Option<Instant>)>,
    rng: Pcg64Mcg,
    /// Time at which a throttled link is free for the next byte, by names of sender and receiver.
    next_free: HashMap<(String, String), Instant>,
    /// Number of datagrams by result: passed, lost, held, doubled or damaged.
    counts: HashMap<&'static str, u64>,
}

/// The faults on all links of a scenario.
pub struct Faults {
    state: Mutex<State>,
    /// False while no fault has been put on a link. Streams then pass without the lock, so that a
    /// thread that is preempted while it holds the lock does not stop the streams of all nodes.
    has_faults: AtomicBool,
    changed: Condvar,
}

impl Faults {
    /// Creates a state without faults; the seed determines the random draws.
    pub fn new(seed: u64) -> Faults {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let state = State {
            faults: Vec::new(),
            rng,
            next_free: HashMap::new(),
            counts: HashMap::new(),
        };
        Faults {
            state: Mutex::new(state),
            has_faults: AtomicBool::new(false),
            changed: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a fault on its links, for the given time or until all links are healed.
    pub fn put(&self, faulty: LinkFault, time: Option<Duration>) {
        let mut state = self.lock();
        let until = time.map(|time| Instant::now() + time);
        state.faults.push((faulty, until));
        self.has_faults.store(true, SeqCst);
        self.changed.notify_all();
    }

    /// Removes all faults from all links, whatever time they were to last.
    pub fn heal(&self) {
        let mut state = self.lock();
        state.faults.clear();
        self.has_faults.store(false, SeqCst);
        state.next_free.clear();
        self.changed.notify_all();
    }

    /// Returns the number of datagrams that were passed, lost, held, doubled or damaged.
    pub fn counts(&self) -> HashMap<&'static str, u64> {
        self.lock().counts.clone()
    }

    /// Returns whether the link from one node to another is cut or held at present.
    pub fn is_cut(&self, from: &NodeLocation, to: &NodeLocation) -> bool {
        let state = self.lock();
        state
            .on_link(LinkKind::Fleet, from, to)
            .any(|fault| fault.cut || fault.hold)
    }

    /// Decides by random draws how a datagram of `bytes` bytes is treated.
    pub fn delivery(
        &self,
        on: LinkKind,
        from: &NodeLocation,
        to: &NodeLocation,
        bytes: usize,
    ) -> Delivery {
        let mut state = self.lock();
        let faults: Vec<Fault> = state.on_link(on, from, to).cloned().collect();
        let mut delivery = Delivery {
            copies: vec![Duration::ZERO],
            ..Delivery::default()
        };
        let mut result = "passed";
        for fault in &faults {
            if fault.hold {
                (delivery.is_held, result) = (true, "held");
            }
            if fault.cut || state.chance(fault.loss) {
                (delivery.copies, result) = (Vec::new(), "lost");
                break;
            }
            if state.chance(fault.double) {
                delivery.copies.push(DOUBLE_DELAY);
                result = "doubled";
            }
            if state.chance(fault.damage) {
                delivery.damage = Some((
                    state.rng.random_range(0..bytes.max(1)),
                    1 << state.rng.random_range(0..8),
                ));
                result = "damaged";
            }
            let delay = fault.delay + fault.jitter.mul_f64(state.rng.random_range(0.0..1.0));
            let is_overtaken = state.chance(fault.reorder);
            let delay = if is_overtaken {
                delay + REORDER_DELAY
            } else {
                delay
            };
            let queued = fault.bytes_a_second.map_or(Duration::ZERO, |rate| {
                let now = Instant::now();
                let free = state
                    .next_free
                    .entry((from.name.clone(), to.name.clone()))
                    .or_insert(now);
                let begin = (*free).max(now);
                *free = begin + Duration::from_secs_f64(bytes as f64 / rate as f64);
                *free - now
            });
            delivery
                .copies
                .iter_mut()
                .for_each(|copy| *copy += delay + queued);
        }
        *state.counts.entry(result).or_default() += 1;
        delivery
    }

    /// Blocks a stream until `bytes` bytes may pass, including the delay of the link.
    pub fn wait_to_pass(&self, on: LinkKind, from: &NodeLocation, to: &NodeLocation, bytes: usize) {
        if !self.has_faults.load(SeqCst) {
            return;
        }
        let mut state = self.lock();
        loop {
            let (is_blocked, delay) = {
                let faults: Vec<&Fault> = state.on_link(on, from, to).collect();
                let is_blocked = faults.iter().any(|fault| fault.cut || fault.hold);
                let rate = faults.iter().filter_map(|f| f.bytes_a_second).min();
                let queued = rate.map_or(0.0, |rate| bytes as f64 / rate as f64);
                let delay: Duration = faults.iter().map(|fault| fault.delay).sum();
                (is_blocked, delay + Duration::from_secs_f64(queued))
            };
            if !is_blocked {
                drop(state);
                return std::thread::sleep(delay);
            }
            let until = state.faults.iter().filter_map(|(_, until)| *until).min();
            let wait = until.map_or(Duration::from_millis(200), |until| {
                until.saturating_duration_since(Instant::now())
            });
            let waited = self
                .changed
                .wait_timeout(state, wait.max(Duration::from_millis(1)));
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    /// Draws at random; returns `true` with probability `share`.
    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share)
    }

    /// Returns the faults that are in force on a link at present.
    fn on_link<'s>(
        &'s self,
        on: LinkKind,
        from: &'s NodeLocation,
        to: &'s NodeLocation,
    ) -> impl Iterator<Item = &'s Fault> {
        let now = Instant::now();
        let in_force = self
            .faults
            .iter()
            .filter(move |(_, until)| until.is_none_or(|until| now < until));
        in_force
            .filter(move |(faulty, _)| {
                let one_way =
                    faulty.from.has(&from.name, &from.zone) && faulty.to.has(&to.name, &to.zone);
                let back =
                    faulty.from.has(&to.name, &to.zone) && faulty.to.has(&from.name, &from.zone);
                faulty.on == on && (one_way || faulty.both && back)
            })
            .map(|(faulty, _)| &faulty.fault)
    }
}

#[cfg(test)]
mod tests;
