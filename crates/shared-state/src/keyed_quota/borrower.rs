//! A node's end of the limits by key: what lies in its pockets, its floors, and what it asks for.
//! It never waits: a unit is here or it is not, and where it is not the caller hears when it is
//! worth to come back.

use super::{KEYS_ASKED, KeyRequest, KeyedQuota, QuotaGrant, QuotaKind, QuotaRequest, QuotaTiming};
use crate::{MILLISECOND, Nanos, shorter};
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

/// Units of a key that were lent to a node: what must hold of them is all here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct UnitLease {
    units: u32,
    /// Until when they are good.
    until: Nanos,
    /// The latest question about them, and whether that was answered.
    asked: u32,
    answered: bool,
}

impl UnitLease {
    /// Units that are good now.
    pub fn units(&self, now: Nanos) -> u32 {
        if now < self.until { self.units } else { 0 }
    }

    /// One of them is spent.
    pub fn spend(&mut self) {
        self.units -= 1;
    }

    /// A question goes out. Of the units that are good so many are kept, and the rest is not used
    /// from here on; any answer to an earlier question counts for nothing. What is kept, and what
    /// is given back.
    pub fn ask(&mut self, now: Nanos, no: u32, keep: u32) -> (u32, u32) {
        let units = self.units(now);
        (self.units, self.asked, self.answered) = (units.min(keep), no, false);
        (self.units, units - self.units)
    }

    /// An answer came: units that are good until then, as all are that were kept. Whether it
    /// counts.
    pub fn answer(&mut self, now: Nanos, no: u32, adds: u32, until: Nanos) -> bool {
        if self.asked != no || self.answered {
            return false;
        }
        (self.units, self.until, self.answered) =
            (self.units(now).saturating_add(adds), until, true);
        true
    }
}

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

    // ---- Questions ----

    fn refill(&mut self, now: Nanos) {
        let passed = now.saturating_sub(self.counted) as f64 / self.rhythm.urgent as f64;
        (self.saved, self.counted) = ((self.saved + passed).min(AT_ONCE), now);
    }

    /// When the next question may go out, if one is wanted now.
    fn next_question(&self, now: Nanos) -> Nanos {
        let passed = now.saturating_sub(self.counted) as f64 / self.rhythm.urgent as f64;
        let lacks = (1.0 - self.saved - passed).max(0.0);
        let since = if self.urgent.is_empty() {
            now
        } else {
            self.urgent_since
        };
        (since + TOGETHER).max(now + (lacks * self.rhythm.urgent as f64) as Nanos)
    }

    /// When it wants to ask, if at all.
    pub fn next(&self, now: Nanos) -> Option<Nanos> {
        let due = match (self.urgent.is_empty(), self.later.front()) {
            (false, _) => now,
            (true, Some((due, _))) => *due,
            (true, None) => return None,
        };
        Some(due.max(self.next_question(now)))
    }

    /// The question that is due now, if one is.
    pub fn ask(&mut self, now: Nanos) -> Option<QuotaRequest> {
        self.refill(now);
        let is_due = !self.urgent.is_empty() && now >= self.urgent_since + TOGETHER
            || self.later.front().is_some_and(|(due, _)| *due <= now);
        if self.saved < 1.0 || !is_due {
            return None;
        }
        let no = self.no + 1;
        let mut asked = QuotaRequest {
            no,
            stamp: now,
            keys: Vec::new(),
        };
        let most = self.urgent.len().min(KEYS_ASKED);
        for place in self.urgent.drain(..most).collect::<Vec<_>>() {
            self.question(now, no, place, &mut asked.keys);
        }
        self.urgent_since = now;
        while asked.keys.len() < KEYS_ASKED {
            let Some((due, place)) = self.later.pop_front_if(|(due, _)| *due <= now) else {
                break;
            };
            let QuotaTiming { renew, keep, .. } = self.rhythm;
            // One that was let go of meanwhile, and perhaps came anew, has another place in the
            // queue or none.
            let Some(pocket) = self
                .pockets
                .get_mut(&place)
                .filter(|pocket| pocket.later == due)
            else {
                continue;
            };
            if pocket.in_hand == 0 && pocket.slip.units(now) == 0 && now >= pocket.used + keep {
                self.forget(now, place);
                continue;
            }
            pocket.later = now + renew;
            let was_asked = now < pocket.asked_at + renew && pocket.slip.asked > 0;
            self.later.push_back((now + renew, place));
            if !was_asked {
                self.question(now, no, place, &mut asked.keys);
            }
        }
        if asked.keys.is_empty() {
            return None;
        }
        (self.no, self.saved, self.lender_asked) = (no, self.saved - 1.0, now);
        Some(asked)
    }

    /// Says of a key what is left and kept, and what is wanted.
    fn question(&mut self, now: Nanos, no: u32, place: Place, keys: &mut Vec<KeyRequest>) {
        let Some(of) = self.terms.get(&place.0).copied() else {
            return;
        };
        let QuotaTiming { renew, keep, .. } = self.rhythm;
        let Some(pocket) = self.pockets.get_mut(&place) else {
            return;
        };
        let is_used = now < pocket.used + keep;
        let tries = match of.kind {
            QuotaKind::Rate { .. } => {
                let passed = now.saturating_sub(pocket.asked_at).max(renew / 8);
                f64::from(pocket.tries) * renew as f64 / passed as f64
            }
            QuotaKind::InHand { .. } => f64::from(pocket.tries.saturating_sub(of.floor)),
        };
        pocket.lately = (f64::from(pocket.lately) * FADES).max(tries) as f32;
        let need = (f64::from(pocket.lately) * AHEAD).ceil() as u32;
        // ProcessId uses a key now and then has one at hand.
        let need = if is_used { need.max(1) } else { 0 }.min(of.pool);
        let in_use = match of.kind {
            QuotaKind::Rate { .. } => 0,
            QuotaKind::InHand { .. } => pocket.in_hand.saturating_sub(of.floor),
        };
        // What is in use is told as left, whatever became of the units that it was taken by.
        let (kept, back) = pocket.slip.ask(now, no, need.max(in_use));
        let left = kept.max(in_use);
        (pocket.need, pocket.asked_at, pocket.tries, pocket.urgent) = (need, now, 0, false);
        keys.push(KeyRequest {
            budget: place.0,
            key: place.1,
            left,
            back,
            wants: need.saturating_sub(left),
        });
    }

    /// An answer came. What it says of a key counts only if no later question was asked about that:
    /// the one who lends goes by the latest question.
    pub fn lent(&mut self, now: Nanos, lent: &QuotaGrant) {
        if lent.stamp > now {
            return;
        }
        self.heard = self.heard.max(now);
        let until = lent
            .stamp
            .saturating_add(shorter(lent.life.min(self.rhythm.life)));
        for key in &lent.keys {
            let Some(pocket) = self.pockets.get_mut(&(key.budget, key.key)) else {
                continue;
            };
            if pocket.slip.answer(now, lent.no, key.adds, until) {
                pocket.empty_until = if key.wait > 0 { now + key.wait } else { 0 };
            }
        }
    }

    /// The node leaves: nothing that was lent is used from here on. Whether nothing of it is in
    /// hand.
    pub fn let_go(&mut self) -> bool {
        self.pockets
            .values_mut()
            .for_each(|pocket| pocket.slip = UnitLease::default());
        self.pockets.values().all(|pocket| pocket.in_hand == 0)
    }

    // ---- What is seen from outside ----

    /// Units that could be spent of a key now, of what was lent.
    pub fn units(&self, now: Nanos, budget: u32, key: u64) -> u32 {
        self.pockets
            .get(&(budget, key))
            .map_or(0, |pocket| pocket.slip.units(now))
    }

    /// What is in hand of a key.
    pub fn in_hand(&self, budget: u32, key: u64) -> u32 {
        self.pockets
            .get(&(budget, key))
            .map_or(0, |pocket| pocket.in_hand)
    }

    /// What came of each budget.
    pub fn tallies(&self) -> impl Iterator<Item = (&KeyedQuota, QuotaCounters)> {
        self.budgets
            .iter()
            .map(|(id, budget)| (budget, self.tallies.get(id).copied().unwrap_or_default()))
    }

    /// Units lent and keys with any, of a budget.
    pub fn holds(&self, now: Nanos, budget: u32) -> (u64, usize) {
        let of = self.pockets.iter().filter(|((id, _), _)| *id == budget);
        let units = of
            .map(|(_, pocket)| u64::from(pocket.slip.units(now)))
            .filter(|units| *units > 0);
        units.fold((0, 0), |(sum, keys), units| (sum + units, keys + 1))
    }

    /// How long ago one who lends was heard; none if never.
    pub fn heard(&self, now: Nanos) -> Option<Nanos> {
        (self.heard > 0).then(|| now.saturating_sub(self.heard))
    }

    /// Whether the floors are all that there is.
    pub fn hears_nobody(&self, now: Nanos) -> bool {
        self.is_deaf(now)
    }

    /// Keys that are told apart.
    pub fn keys(&self) -> usize {
        self.pockets.len()
    }
}

#[cfg(test)]
mod tests;
