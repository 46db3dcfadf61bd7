//! Which faults hold on which links at this moment; asked by the relays for everything that passes.

use crate::scenario::{Fault, LinkFault, LinkKind};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A node as links know it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    pub name: String,
    pub zone: String,
}

/// What becomes of a datagram.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fate {
    /// When each copy goes on; none if it is lost.
    pub copies: Vec<Duration>,
    /// A byte that is damaged, by what.
    pub damage: Option<(usize, u8)>,
    /// It waits until links change.
    pub held: bool,
}

struct State {
    faults: Vec<(u64, LinkFault, Option<Instant>)>,
    next: u64,
    rng: Pcg64Mcg,
    /// When the next byte may pass on a link that is throttled.
    free: HashMap<(String, String), Instant>,
    counts: HashMap<&'static str, u64>,
}

/// The faults of all links of a rig.
pub struct Faults {
    state: Mutex<State>,
    changed: Condvar,
}

impl Faults {
    /// None so far; chance comes from this seed.
    pub fn new(seed: u64) -> Faults {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let state = State {
            faults: Vec::new(),
            next: 0,
            rng,
            free: HashMap::new(),
            counts: HashMap::new(),
        };
        Faults {
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on, for so long or until all is healed.
    pub fn put(&self, faulty: LinkFault, time: Option<Duration>) {
        let mut state = self.lock();
        state.next += 1;
        let (no, until) = (state.next, time.map(|time| Instant::now() + time));
        state.faults.push((no, faulty, until));
        self.changed.notify_all();
    }

    /// All links are whole.
    pub fn heal(&self) {
        let mut state = self.lock();
        state.faults.clear();
        state.free.clear();
        self.changed.notify_all();
    }

    /// What happened to what passed, by word.
    pub fn counts(&self) -> HashMap<&'static str, u64> {
        self.lock().counts.clone()
    }

    /// Whether nothing passes between two nodes of the fleet, one way, now.
    pub fn is_cut(&self, from: &Place, to: &Place) -> bool {
        let state = self.lock();
        state
            .of(LinkKind::Fleet, from, to)
            .any(|fault| fault.cut || fault.hold)
    }

    /// What becomes of a datagram of so many bytes.
    pub fn fate(&self, on: LinkKind, from: &Place, to: &Place, bytes: usize) -> Fate {
        let mut state = self.lock();
        let faults: Vec<Fault> = state.of(on, from, to).cloned().collect();
        let mut fate = Fate {
            copies: vec![Duration::ZERO],
            ..Fate::default()
        };
        let mut word = "passed";
        for fault in &faults {
            if fault.hold {
                (fate.held, word) = (true, "held");
            }
            if fault.cut || state.chance(fault.loss) {
                (fate.copies, word) = (Vec::new(), "lost");
                break;
            }
            if state.chance(fault.double) {
                fate.copies.push(Duration::from_millis(1));
                word = "doubled";
            }
            if state.chance(fault.damage) {
                fate.damage = Some((
                    state.rng.random_range(0..bytes.max(1)),
                    1 << state.rng.random_range(0..8),
                ));
                word = "damaged";
            }
            let late = fault.delay + fault.jitter.mul_f64(state.rng.random_range(0.0..1.0));
            let overtaken = state.chance(fault.reorder);
            let late = if overtaken {
                late + Duration::from_millis(20)
            } else {
                late
            };
            let queued = fault.bytes_a_second.map_or(Duration::ZERO, |rate| {
                let now = Instant::now();
                let free = state
                    .free
                    .entry((from.name.clone(), to.name.clone()))
                    .or_insert(now);
                let begin = (*free).max(now);
                *free = begin + Duration::from_secs_f64(bytes as f64 / rate as f64);
                *free - now
            });
            fate.copies
                .iter_mut()
                .for_each(|copy| *copy += late + queued);
        }
        *state.counts.entry(word).or_default() += 1;
        fate
    }

    /// For streams: waits until bytes may pass, and for their delay.
    pub fn pass(&self, on: LinkKind, from: &Place, to: &Place, bytes: usize) {
        let mut state = self.lock();
        loop {
            let (stuck, late) = {
                let faults: Vec<&Fault> = state.of(on, from, to).collect();
                let stuck = faults.iter().any(|fault| fault.cut || fault.hold);
                let rate = faults.iter().filter_map(|f| f.bytes_a_second).min();
                let queued = rate.map_or(0.0, |rate| bytes as f64 / rate as f64);
                let late: Duration = faults.iter().map(|fault| fault.delay).sum();
                (stuck, late + Duration::from_secs_f64(queued))
            };
            if !stuck {
                drop(state);
                return std::thread::sleep(late);
            }
            let until = state.faults.iter().filter_map(|(_, _, until)| *until).min();
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
    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share)
    }

    /// The faults of a link now.
    fn of<'s>(
        &'s self,
        on: LinkKind,
        from: &'s Place,
        to: &'s Place,
    ) -> impl Iterator<Item = &'s Fault> {
        let now = Instant::now();
        let in_force = self
            .faults
            .iter()
            .filter(move |(_, _, until)| until.is_none_or(|until| now < until));
        in_force
            .filter(move |(_, faulty, _)| {
                let one_way =
                    faulty.from.has(&from.name, &from.zone) && faulty.to.has(&to.name, &to.zone);
                let back =
                    faulty.from.has(&to.name, &to.zone) && faulty.to.has(&from.name, &from.zone);
                faulty.on == on && (one_way || faulty.both && back)
            })
            .map(|(_, faulty, _)| &faulty.fault)
    }
}

#[cfg(test)]
mod tests;
