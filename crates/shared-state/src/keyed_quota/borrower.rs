//! A node's end of the limits by key: what lies in its pockets, its floors, and what it asks for.
//! It never waits: a unit is here or it is not, and where it is not the caller hears when it is
//! worth to come back.

mod requests;
mod unit_lease;
mod view;

pub use unit_lease::UnitLease;

use super::{KeyedQuota, QuotaKind, QuotaTiming};
use crate::{MILLISECOND, Nanos};
use madderpoint_rate_limits::sketch::DueTimeSketch;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// What a pocket takes, with its place in the map (which may just have doubled) and the queues; and
/// a cell of the sketch.
pub const POCKET_BYTES: usize = 280;
const CELL_BYTES: usize = 8;
/// What is asked for beyond what was used lately.
const AHEAD: f64 = 1.25;
/// What was used lately fades by this with each question.
const FADES: f64 = 0.5;
/// A refusal is followed by a question this soon, so that some that come together are asked for
/// together; and an answer usually comes within that.
const TOGETHER: Nanos = 10 * MILLISECOND;
const ANSWER: Nanos = 40 * MILLISECOND;
/// Questions that may be asked at once after a rest.
const AT_ONCE: f64 = 4.0;
/// LeasedUnitsByKey of which the least lately used makes room for another key.
const SAMPLE: usize = 8;

/// What a node has of a key.
#[derive(Clone, Copy, Debug, Default)]
struct LeasedUnits {
    slip: UnitLease,
    in_hand: u32,
    /// When a next unit of the floor would come evenly.
    floor_due: Nanos,
    asked_at: Nanos,
    /// Since then: units that were tried for, or the most in hand that was tried for.
    tries: u32,
    /// What was tried for lately, in a renewal period.
    lately: f32,
    need: u32,
    used: Nanos,
    /// The one who lends has nothing before this.
    empty_until: Nanos,
    /// Whether it waits for a question now, and when it is told of at the latest: its place in the
    /// queue.
    urgent: bool,
    later: Nanos,
}

/// RefusalReason a unit is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// None is here; the one who lends is asked.
    Asked,
    /// The one who lends has none now.
    Short,
    /// Nobody who lends is heard: the floor is all there is.
    Deaf,
    /// There is no room to remember the key.
    Room,
}

/// A unit is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaExceeded {
    pub why: RefusalReason,
    /// After this it is worth to ask again.
    pub pause: Nanos,
}

/// What was let through and refused of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaCounters {
    /// By a unit that was lent, and by the floor.
    pub lent: u64,
    pub floor: u64,
    /// QuotaExceeded, in the order of [`RefusalReason`].
    pub refused: [u64; 4],
}

type Place = (u32, u64);
/// By a hash with a secret of its own: see [`super::lender`].
type LeasedUnitsByKey = HashMap<Place, LeasedUnits>;

/// What is needed of a budget for each unit, worked out once.
#[derive(Clone, Copy, Debug)]
struct UnitTerms {
    kind: QuotaKind,
    floor: u32,
    pool: u32,
    floor_interval: Nanos,
    /// How far ahead a floor may be used.
    tolerance: Nanos,
}

impl UnitTerms {
    fn of(budget: &KeyedQuota) -> UnitTerms {
        let floor_interval = budget.floor_interval();
        let tolerance = floor_interval.saturating_mul(u64::from(budget.floor.saturating_sub(1)));
        UnitTerms {
            kind: budget.kind,
            floor: budget.floor,
            pool: budget.pool(),
            floor_interval,
            tolerance,
        }
    }

    /// Whether the floor of a rate has a unit.
    fn has_floor(&self, now: Nanos, pocket: &LeasedUnits) -> bool {
        self.floor > 0 && pocket.floor_due <= now.saturating_add(self.tolerance)
    }
}

/// All pockets of a node.
pub struct QuotaBorrower {
    budgets: BTreeMap<u32, KeyedQuota>,
    terms: BTreeMap<u32, UnitTerms>,
    tallies: BTreeMap<u32, QuotaCounters>,
    rhythm: QuotaTiming,
    started: Nanos,
    pockets: LeasedUnitsByKey,
    most: usize,
    /// Floors of keys that have no pocket.
    times: DueTimeSketch,
    /// Keys that wait for a question now, and those that are told when their time comes.
    urgent: Vec<Place>,
    urgent_since: Nanos,
    later: VecDeque<(Nanos, Place)>,
    /// Where the next sample for making room begins in that queue.
    hand: usize,
    no: u32,
    saved: f64,
    counted: Nanos,
    /// When one who lends was heard.
    heard: Nanos,
    lender_asked: Nanos,
}

impl QuotaBorrower {
    /// Of a node that has just started: nothing is lent, and floors are empty. It takes about so
    /// many bytes.
    pub fn new(
        now: Nanos,
        budgets: &[KeyedQuota],
        rhythm: QuotaTiming,
        bytes: usize,
        seed: u64,
    ) -> QuotaBorrower {
        let cells = (bytes / 4 / CELL_BYTES).max(64);
        let mut wallet = QuotaBorrower {
            budgets: BTreeMap::new(),
            terms: BTreeMap::new(),
            tallies: BTreeMap::new(),
            rhythm,
            started: now,
            pockets: LeasedUnitsByKey::default(),
            most: (bytes / 4 * 3 / POCKET_BYTES).max(16),
            times: DueTimeSketch::new(cells, seed),
            urgent: Vec::new(),
            urgent_since: 0,
            later: VecDeque::new(),
            hand: 0,
            no: 0,
            saved: AT_ONCE,
            counted: now,
            heard: 0,
            lender_asked: now,
        };
        wallet.rebudget(budgets);
        wallet
    }

    /// Other limits hold from now on. What lies in pockets stays until it is used or its time is
    /// over.
    pub fn rebudget(&mut self, budgets: &[KeyedQuota]) {
        self.budgets = budgets
            .iter()
            .map(|budget| (budget.id(), budget.clone()))
            .collect();
        self.terms = self
            .budgets
            .iter()
            .map(|(id, budget)| (*id, UnitTerms::of(budget)))
            .collect();
        let ids = &self.budgets;
        self.pockets
            .retain(|(id, _), pocket| ids.contains_key(id) || pocket.in_hand > 0);
        for id in self.budgets.keys() {
            self.tallies.entry(*id).or_default();
        }
        self.tallies.retain(|id, _| ids.contains_key(id));
    }

    /// The pocket of a key, made if it is not there; none if there is no room for one.
    fn pocket(&mut self, now: Nanos, place: Place) -> Option<&mut LeasedUnits> {
        if self.pockets.len() >= self.most
            && !self.pockets.contains_key(&place)
            && !self.make_room(now)
        {
            return None;
        }
        let QuotaBorrower {
            pockets,
            terms,
            times,
            later,
            rhythm,
            started,
            ..
        } = self;
        Some(pockets.entry(place).or_insert_with(|| {
            // A floor begins empty, and goes on where it was before the key was pushed out.
            let begins = terms.get(&place.0).map_or(0, |of| {
                started.saturating_add(of.floor_interval.saturating_mul(u64::from(of.floor)))
            });
            let floor_due = begins.max(times.due(place.0, place.1));
            let due = now + rhythm.renew;
            later.push_back((due, place));
            LeasedUnits {
                floor_due,
                asked_at: now,
                later: due,
                ..LeasedUnits::default()
            }
        }))
    }

    /// Lets go of the pocket that was used least lately of some, unless something of it is in hand.
    /// What was lent in it is lost until its time is over; its floor goes on in the sketch, so that
    /// nothing is forgiven by being pushed out.
    fn make_room(&mut self, now: Nanos) -> bool {
        let mut victim: Option<(Nanos, Place)> = None;
        for _ in 0..SAMPLE.min(self.later.len()) {
            self.hand = (self.hand + 1) % self.later.len();
            let place = self.later[self.hand].1;
            let Some(pocket) = self.pockets.get(&place) else {
                continue;
            };
            if pocket.in_hand == 0 && victim.is_none_or(|(used, _)| pocket.used < used) {
                victim = Some((pocket.used, place));
            }
        }
        let Some((_, place)) = victim else {
            return false;
        };
        self.forget(now, place);
        true
    }

    fn forget(&mut self, now: Nanos, place: Place) {
        if let Some(pocket) = self.pockets.remove(&place)
            && pocket.floor_due > now
        {
            self.times.raise(place.0, place.1, pocket.floor_due);
        }
    }

    /// Whether nobody who lends was heard for so long that nothing can be expected.
    fn is_deaf(&self, now: Nanos) -> bool {
        now > self.heard.saturating_add(self.rhythm.life) && self.lender_asked > self.heard
    }

    /// Whether one more of a key may go. Nothing is taken yet.
    pub fn fits(&mut self, now: Nanos, budget: u32, key: u64) -> Result<(), QuotaExceeded> {
        let Some(of) = self.terms.get(&budget).copied() else {
            return Ok(());
        };
        let (place, deaf) = ((budget, key), self.is_deaf(now));
        let (life, next) = (self.rhythm.life, self.next_question(now));
        let Some(pocket) = self.pocket(now, place) else {
            self.tallies.entry(budget).or_default().refused[RefusalReason::Room as usize] += 1;
            return Err(QuotaExceeded {
                why: RefusalReason::Room,
                pause: life,
            });
        };
        let fits = match of.kind {
            QuotaKind::Rate { .. } => {
                pocket.tries = pocket.tries.saturating_add(1);
                pocket.slip.units(now) > 0 || of.has_floor(now, pocket)
            }
            QuotaKind::InHand { .. } => {
                pocket.tries = pocket.tries.max(pocket.in_hand.saturating_add(1));
                pocket.in_hand < of.floor + pocket.slip.units(now)
            }
        };
        pocket.used = now;
        if fits {
            return Ok(());
        }
        let floor = match of.kind {
            QuotaKind::Rate { .. } if of.floor > 0 => {
                pocket.floor_due.saturating_sub(of.tolerance + now)
            }
            _ => Nanos::MAX,
        };
        let (empty_until, was_asked) = (pocket.empty_until, pocket.urgent);
        let (why, pause) = match deaf {
            true => (RefusalReason::Deaf, life),
            false if empty_until > now => (RefusalReason::Short, empty_until - now),
            false => (RefusalReason::Asked, next.saturating_sub(now) + ANSWER),
        };
        if !was_asked && empty_until <= now {
            self.urge(now, place);
        }
        self.tallies.entry(budget).or_default().refused[why as usize] += 1;
        Err(QuotaExceeded {
            why,
            pause: pause.min(floor).max(MILLISECOND),
        })
    }

    /// Takes one of a key that fits. Whether it is in hand from here on, and must go back through
    /// [`QuotaBorrower::done`].
    pub fn take(&mut self, now: Nanos, budget: u32, key: u64) -> bool {
        let Some(of) = self.terms.get(&budget).copied() else {
            return false;
        };
        let place = (budget, key);
        let Some(pocket) = self.pocket(now, place) else {
            return false;
        };
        let (is_lent, low) = match of.kind {
            QuotaKind::Rate { .. } => {
                let lent = pocket.slip.units(now) > 0;
                // A floor that is full would make nothing more: it goes first.
                let full = of.floor > 0 && pocket.floor_due <= now;
                let is_lent = lent && !full;
                if is_lent {
                    pocket.slip.spend();
                } else {
                    pocket.floor_due = pocket.floor_due.max(now).saturating_add(of.floor_interval);
                }
                (is_lent, pocket.slip.units(now) * 3 <= pocket.need)
            }
            QuotaKind::InHand { .. } => {
                pocket.in_hand += 1;
                let room = of.floor + pocket.slip.units(now);
                (pocket.in_hand > of.floor, pocket.in_hand >= room)
            }
        };
        let quiet = pocket.urgent || pocket.empty_until > now;
        let tally = self.tallies.entry(budget).or_default();
        (tally.lent, tally.floor) = (
            tally.lent + u64::from(is_lent),
            tally.floor + u64::from(!is_lent),
        );
        if low && !quiet {
            self.urge(now, place);
        }
        matches!(of.kind, QuotaKind::InHand { .. })
    }

    /// What was taken of a number in hand is over.
    pub fn done(&mut self, budget: u32, key: u64) {
        if let Some(pocket) = self.pockets.get_mut(&(budget, key)) {
            debug_assert!(pocket.in_hand > 0, "what is given back was taken");
            pocket.in_hand = pocket.in_hand.saturating_sub(1);
        }
    }

    fn urge(&mut self, now: Nanos, place: Place) {
        if let Some(pocket) = self.pockets.get_mut(&place) {
            pocket.urgent = true;
            if self.urgent.is_empty() {
                self.urgent_since = now;
            }
            self.urgent.push(place);
        }
    }
}

#[cfg(test)]
mod tests;
