//! A node's end of a budget: its floor, which was always its own, and the part that it was lent; what it may spend now.

use crate::keyed::number;
use crate::shared::Want;
use crate::treasury::Part;
use crate::{Nanos, SECOND, shorter};

/// What is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Calls a second; what a node does not use it may save for so long.
    Rate { burst: Nanos },
    /// Calls in hand; one takes so long at most.
    InHand { longest: Nanos },
}

/// A limit for the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    pub name: String,
    /// Calls a second, or calls in hand, of all nodes together.
    pub limit: u32,
    /// Of these, what each node has for itself whatever it hears.
    pub floor: u32,
    /// Processes that run at once, at most: so many floors are set aside.
    pub nodes_most: u32,
    pub kind: Kind,
    /// Whether only calls that repeat one which failed count.
    pub repeats_only: bool,
}

impl Budget {
    /// What nodes call it to each other. The kind is in it: a limit that changes its kind is another one.
    pub fn id(&self) -> u32 {
        let kind = match self.kind {
            Kind::Rate { .. } => "rate",
            Kind::InHand { .. } => "in hand",
        };
        number(&format!("{} {kind}", self.name))
    }

    /// What is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        if self.limit == 0 || self.nodes_most == 0 {
            return Err(format!("budget '{}': limit and nodes must be above 0", self.name));
        }
        let floors = u64::from(self.floor) * u64::from(self.nodes_most);
        if floors > u64::from(self.limit) {
            return Err(format!(
                "budget '{}': the floors of {} nodes are {floors}, more than the limit of {}",
                self.name, self.nodes_most, self.limit
            ));
        }
        Ok(())
    }

    /// What is left beside the floors, to be lent.
    pub fn pool(&self) -> u32 {
        self.limit.saturating_sub(self.floor.saturating_mul(self.nodes_most))
    }

    /// How long units may be in use after their part has ended.
    pub fn lag(&self) -> Nanos {
        match self.kind {
            Kind::Rate { .. } => 0,
            Kind::InHand { longest } => longest,
        }
    }
}

/// A part as its borrower has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    book: u64,
    no: u64,
    units: u32,
    /// When it was asked for: its time counts from there.
    from: Nanos,
    term: Nanos,
}

impl Held {
    /// What of it may be used now: all in the first half of its time, then half, then a quarter, so that one who hears
    /// nothing falls in steps.
    fn units(&self, now: Nanos) -> u32 {
        let (age, term) = (now.saturating_sub(self.from), shorter(self.term));
        match age {
            age if age < term / 2 => self.units,
            age if age < term / 4 * 3 => self.units / 2,
            age if age < term => self.units / 4,
            _ => 0,
        }
    }
}

/// Windows over which demand is counted.
const WINDOW: Nanos = SECOND / 4;
/// What is asked for beyond what was wanted lately, so that a rise finds some.
const AHEAD: f64 = 1.25;

/// A node's end of a budget.
#[derive(Clone, Debug)]
pub struct Purse {
    budget: Budget,
    held: Option<Held>,
    /// Calls that may be made at once, of a rate; with when they were counted up.
    saved: f64,
    counted: Nanos,
    in_hand: u32,
    /// Tries in this window and in the two before, taken or not.
    tries: [u32; 3],
    window: Nanos,
    peak: u32,
    /// What the one who lends said with its latest part, and when that was.
    told: Option<(Nanos, Part)>,
    allowed: u64,
    refused: u64,
}

impl Purse {
    /// One of a node that has just started: nothing is saved and nothing is lent.
    pub fn new(now: Nanos, budget: Budget) -> Purse {
        let window = now / WINDOW;
        Purse {
            budget,
            held: None,
            saved: 0.0,
            counted: now,
            in_hand: 0,
            tries: [0; 3],
            window,
            peak: 0,
            told: None,
            allowed: 0,
            refused: 0,
        }
    }

    /// Its budget.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Another limit, floor or number of nodes. What is held stays until its time is over.
    pub fn rebudget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Units that are this node's now: its floor, and what it was lent.
    pub fn units(&self, now: Nanos) -> u32 {
        self.budget.floor + self.held.map_or(0, |held| held.units(now))
    }

    /// A part came that was asked for then. One of the same book from before what is held is out of date, and one of
    /// another book counts only once what is held is over: no two are ever used together.
    pub fn lend(&mut self, now: Nanos, asked: Nanos, part: Part) {
        self.count_up(now);
        let takes = self.held.is_none_or(|held| {
            if held.book == part.book { part.no > held.no } else { now >= held.from + shorter(held.term) }
        });
        if takes {
            let Part { book, no, units, term, .. } = part;
            self.held = Some(Held { book, no, units, from: asked, term });
            self.told = Some((now, part));
        }
    }

    /// What was lent is not used any more.
    pub fn drop_part(&mut self, now: Nanos) {
        self.count_up(now);
        self.held = None;
        self.count_up(now);
    }

    /// Which part of which book it holds, to be told to the lender. A smaller one counts as held only once no more is in
    /// hand.
    pub fn holds(&self) -> (u64, u64) {
        match (self.held, self.budget.kind) {
            (Some(held), Kind::Rate { .. }) => (held.book, held.no),
            (Some(held), Kind::InHand { .. }) if self.in_hand <= self.budget.floor + held.units => {
                (held.book, held.no)
            }
            _ => (0, 0),
        }
    }

    /// What it wants to be lent, by what was tried lately.
    pub fn wants(&mut self, now: Nanos) -> u32 {
        self.roll(now);
        let wanted = match self.budget.kind {
            Kind::Rate { .. } => {
                let most = self.tries.iter().copied().max().unwrap_or(0);
                f64::from(most) * (SECOND / WINDOW) as f64
            }
            Kind::InHand { .. } => f64::from(self.peak.max(self.in_hand)),
        };
        ((wanted * AHEAD).ceil() as u32).saturating_sub(self.budget.floor).min(self.budget.pool())
    }

    fn roll(&mut self, now: Nanos) {
        let window = now / WINDOW;
        for _ in self.window..window.min(self.window + 3) {
            self.tries.rotate_right(1);
            self.tries[0] = 0;
            // Of calls in hand: what was reached lately fades by a quarter each window.
            self.peak = self.in_hand.max(self.peak - self.peak / 4);
        }
        self.window = window;
    }

    /// Counts up what was saved since, at the rate that held. A clock may run fast by the drift, so it is counted shorter.
    fn count_up(&mut self, now: Nanos) {
        let Kind::Rate { burst } = self.budget.kind else { return };
        let units = f64::from(self.units(now));
        let most = (units * burst as f64 / SECOND as f64).max(if units > 0.0 { 1.0 } else { 0.0 });
        // The units of this moment are the least since the last count: parts only shrink in between.
        let passed = shorter(now.saturating_sub(self.counted));
        self.saved = (self.saved + units * passed as f64 / SECOND as f64).min(most);
        self.counted = now;
    }

    /// Whether one more call may be made now; else after how long it is worth to ask again. Nothing is taken yet; what is
    /// wanted is told to the one who lends in any case.
    pub fn fits(&mut self, now: Nanos) -> Result<(), Nanos> {
        self.roll(now);
        self.tries[0] = self.tries[0].saturating_add(1);
        let fits = match self.budget.kind {
            Kind::Rate { .. } => {
                self.count_up(now);
                let units = f64::from(self.units(now));
                match self.saved {
                    saved if saved >= 1.0 => Ok(()),
                    saved if units > 0.0 => Err(((1.0 - saved) / units * SECOND as f64) as Nanos),
                    _ => Err(SECOND),
                }
            }
            Kind::InHand { longest } => {
                self.peak = self.peak.max(self.in_hand + 1);
                if self.in_hand < self.units(now) { Ok(()) } else { Err(longest / 8) }
            }
        };
        self.refused += u64::from(fits.is_err());
        fits.map_err(|pause| pause.max(1))
    }

    /// Takes one call that fits.
    pub fn take_one(&mut self) {
        self.allowed += 1;
        match self.budget.kind {
            Kind::Rate { .. } => self.saved -= 1.0,
            Kind::InHand { .. } => self.in_hand += 1,
        }
    }

    /// The same in one step.
    pub fn take(&mut self, now: Nanos) -> Result<(), Nanos> {
        self.fits(now)?;
        self.take_one();
        Ok(())
    }

    /// Whether nothing that was lent is in use any more: the floor is all there is.
    pub fn is_at_floor(&self, now: Nanos) -> bool {
        self.held.is_none_or(|held| held.units(now) == 0)
    }

    /// What was lent last, how long ago it was asked for, and how long ago it came.
    pub fn part(&self, now: Nanos) -> Option<(Part, Nanos, Nanos)> {
        let ((came, part), held) = self.told.zip(self.held)?;
        Some((part, now.saturating_sub(held.from), now.saturating_sub(came)))
    }

    /// Calls that were allowed and refused.
    pub fn tally(&self) -> (u64, u64) {
        (self.allowed, self.refused)
    }

    /// A call in hand is over.
    pub fn over(&mut self) {
        self.in_hand = self.in_hand.saturating_sub(1);
    }

    /// Calls in hand.
    pub fn in_hand(&self) -> u32 {
        self.in_hand
    }
}

/// All ends of one node.
#[derive(Clone, Debug)]
pub struct Ends {
    purses: Vec<Purse>,
    value: f64,
}

impl Ends {
    /// Of a node that has just started.
    pub fn new(now: Nanos, budgets: &[Budget]) -> Ends {
        let purses = budgets.iter().map(|budget| Purse::new(now, budget.clone())).collect();
        Ends { purses, value: 1.0 }
    }

    /// The end of each budget, in their order.
    pub fn purses(&mut self) -> &mut [Purse] {
        &mut self.purses
    }

    /// Other limits hold from now on.
    pub fn rebudget(&mut self, budgets: &[Budget]) {
        for purse in &mut self.purses {
            if let Some(budget) = budgets.iter().find(|budget| budget.id() == purse.budget.id()) {
                purse.rebudget(budget.clone());
            }
        }
    }

    /// How much a unit is worth to this node, against others.
    pub fn set_value(&mut self, value: f64) {
        self.value = value;
    }

    /// Whether one more call may be made under all budgets that it counts for; else when it is worth to ask again. It takes
    /// of all or of none.
    pub fn take(&mut self, now: Nanos, repeats: bool) -> Result<(), Nanos> {
        let mut pause = None;
        for purse in self.purses.iter_mut().filter(|purse| repeats || !purse.budget.repeats_only) {
            if let Err(more) = purse.fits(now) {
                pause = Some(pause.map_or(more, |pause: Nanos| pause.max(more)));
            }
        }
        if let Some(pause) = pause {
            return Err(pause);
        }
        self.purses
            .iter_mut()
            .filter(|purse| repeats || !purse.budget.repeats_only)
            .for_each(Purse::take_one);
        Ok(())
    }

    /// Calls a second that may be made now by the budgets of rates that all calls count for; none if there is no such.
    pub fn a_second(&self, now: Nanos) -> Option<f64> {
        let rates = self
            .purses
            .iter()
            .filter(|purse| matches!(purse.budget.kind, Kind::Rate { .. }) && !purse.budget.repeats_only);
        rates.map(|purse| f64::from(purse.units(now))).reduce(f64::min)
    }

    /// How long a call may be in hand, where that is limited.
    pub fn longest(&self) -> Option<Nanos> {
        let of = self.purses.iter().filter_map(|purse| match purse.budget.kind {
            Kind::InHand { longest } => Some(longest),
            Kind::Rate { .. } => None,
        });
        of.max()
    }

    /// How long it takes until so many more calls have found room, if they come one after the other: a guess.
    pub fn wait_for(&self, now: Nanos, calls: usize) -> Nanos {
        let each = self.a_second(now).map_or(0.0, |units| SECOND as f64 / units.max(1e-3));
        (each * calls as f64) as Nanos
    }

    /// When it is worth to ask again, if no more calls in hand are allowed now.
    pub fn is_full(&self, now: Nanos) -> Option<Nanos> {
        self.purses.iter().filter(|purse| !purse.budget.repeats_only).find_map(|purse| {
            match purse.budget.kind {
                Kind::InHand { longest } if purse.in_hand >= purse.units(now) => Some(longest / 8),
                _ => None,
            }
        })
    }

    /// A call would have been made if there were room.
    pub fn wished(&mut self, now: Nanos) {
        for purse in self.purses.iter_mut().filter(|purse| !purse.budget.repeats_only) {
            purse.roll(now);
            purse.tries[0] = purse.tries[0].saturating_add(1);
            purse.peak = purse.peak.max(purse.in_hand + 1);
        }
    }

    /// A call that was allowed is over.
    pub fn over(&mut self, repeats: bool) {
        self.purses.iter_mut().filter(|purse| repeats || !purse.budget.repeats_only).for_each(Purse::over);
    }

    /// What is wanted of each, and held.
    pub fn wants(&mut self, now: Nanos) -> Vec<Want> {
        let value = self.value;
        let want = |purse: &mut Purse| {
            let (budget, holds, units) = (purse.budget.id(), purse.holds(), purse.wants(now));
            Want { budget, holds, units, value }
        };
        self.purses.iter_mut().map(want).collect()
    }

    /// Parts came that were asked for then.
    pub fn lent(&mut self, now: Nanos, asked: Nanos, parts: &[(u32, Part)]) {
        for (budget, part) in parts {
            if let Some(purse) = self.purses.iter_mut().find(|purse| purse.budget.id() == *budget) {
                purse.lend(now, asked, *part);
            }
        }
    }

    /// Nothing that was lent is used from here on; whether nothing is in hand.
    pub fn let_go(&mut self, now: Nanos) -> bool {
        self.purses.iter_mut().for_each(|purse| purse.drop_part(now));
        self.purses.iter().all(|purse| purse.in_hand == 0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TERM: Nanos = 1000 * crate::MILLISECOND;

    fn rate(limit: u32, floor: u32, nodes_most: u32) -> Budget {
        let kind = Kind::Rate { burst: SECOND / 20 };
        Budget { name: "b".into(), limit, floor, nodes_most, kind, repeats_only: false }
    }

    fn part(no: u64, units: u32) -> Part {
        Part { book: 1, no, units, term: TERM, ..Part::default() }
    }

    #[test]
    fn floors_that_add_up_to_more_than_the_limit_are_refused() {
        assert_eq!(rate(100, 1, 60).check(), Ok(()));
        assert_eq!(rate(100, 1, 60).pool(), 40);
        assert!(rate(100, 2, 60).check().unwrap_err().contains("are 120, more than the limit of 100"));
        assert!(rate(0, 0, 1).check().is_err());
    }

    #[test]
    fn a_deaf_node_falls_in_steps_to_its_floor_and_is_never_at_zero() {
        let mut purse = Purse::new(0, rate(100, 2, 10));
        purse.lend(100, 100, part(1, 80));
        let at = |ms: u64| purse.units(100 + ms * crate::MILLISECOND);
        assert_eq!([at(0), at(480), at(500), at(740), at(980), at(5000)], [82, 82, 42, 22, 2, 2]);
    }

    /// Never more than the rate over any window, whatever was saved, and however the part changes.
    #[test]
    fn a_rate_is_kept_over_every_window() {
        let mut purse = Purse::new(0, rate(100, 0, 10));
        let mut taken = Vec::new();
        for ms in 0..20_000u64 {
            let now = ms * crate::MILLISECOND;
            if ms % 300 == 0 {
                let units = [60, 10, 30][(ms / 300 % 3) as usize];
                purse.lend(now, now, part(ms + 1, units));
            }
            for _ in 0..3 {
                if purse.take(now).is_ok() {
                    taken.push(ms);
                }
            }
        }
        for (at, first) in taken.iter().enumerate() {
            for window in [50, 200, 1000, 5000] {
                let n = taken[at..].iter().take_while(|t| **t < first + window).count() as f64;
                // All of it at 60 a second and the saved, as if the largest part had held throughout.
                assert!(n <= 60.0 * window as f64 / 1000.0 + 3.0 + 1.0, "{n} in {window} ms from {first}");
            }
        }
        assert!(taken.len() > 500, "{}", taken.len());
    }

    #[test]
    fn a_smaller_part_of_calls_in_hand_is_held_only_once_they_are_over() {
        let kind = Kind::InHand { longest: SECOND };
        let mut purse = Purse::new(0, Budget { kind, ..rate(100, 1, 10) });
        purse.lend(0, 0, part(1, 5));
        let taken = (0..9).filter(|_| purse.take(0).is_ok()).count();
        assert_eq!((taken, purse.holds()), (6, (1, 1)));
        purse.lend(10, 10, part(2, 2));
        assert_eq!((purse.holds(), purse.take(10).is_err()), ((0, 0), true));
        (0..3).for_each(|_| purse.over());
        assert_eq!((purse.holds(), purse.in_hand()), ((1, 2), 3));
    }

    #[test]
    fn demand_follows_what_was_tried_and_fades() {
        let mut purse = Purse::new(0, rate(1000, 1, 10));
        for ms in 0..1000 {
            let _ = purse.take(ms * crate::MILLISECOND);
        }
        let wants = purse.wants(SECOND);
        assert!((1150..=1300).contains(&(wants + 300)) || wants == 990, "{wants}");
        assert_eq!(purse.wants(3 * SECOND), 0);
    }

    #[test]
    fn a_part_of_another_book_waits_for_the_end_of_what_is_held() {
        let mut purse = Purse::new(0, rate(100, 0, 10));
        purse.lend(0, 0, part(9, 50));
        purse.lend(10, 10, Part { book: 2, ..part(1, 80) });
        assert_eq!((purse.units(10), purse.holds()), (50, (1, 9)));
        purse.lend(TERM, TERM, Part { book: 2, ..part(1, 80) });
        assert_eq!((purse.units(TERM), purse.holds()), (80, (2, 1)));
    }

    /// A call needs room under all budgets that it counts for, or takes nothing of any.
    #[test]
    fn a_call_is_allowed_under_all_budgets_or_takes_nothing() {
        let in_hand = Budget { kind: Kind::InHand { longest: SECOND }, ..rate(40, 4, 10) };
        let repeats = Budget { name: "repeats".into(), repeats_only: true, ..rate(10, 1, 10) };
        let mut ends = Ends::new(0, &[rate(20, 2, 10), in_hand, repeats]);
        let now = SECOND;
        let allowed = (0..9).filter(|_| ends.take(now, false).is_ok()).count();
        assert_eq!(
            (allowed, ends.purses()[1].in_hand()),
            (1, 1),
            "of a rate of 2 a second one call is saved"
        );
        ends.over(false);
        let later = (2..40).filter(|tenths| ends.take(now + tenths * SECOND / 10, false).is_ok()).count();
        assert_eq!((later, ends.purses()[1].in_hand()), (4, 4), "four in hand");
        assert!(!ends.let_go(9 * SECOND));
        (0..4).for_each(|_| ends.over(false));
        assert!(ends.let_go(9 * SECOND));
        // Two may go each second, of which one may be a repeat; one that is refused as such took nothing of the others.
        let at = |tenths: u64| 20 * SECOND + tenths * SECOND / 10;
        let repeated = (0..50)
            .filter(|t| {
                ends.take(at(*t), true).is_ok_and(|()| {
                    ends.over(true);
                    true
                })
            })
            .count();
        assert!((4..=6).contains(&repeated), "{repeated} in 5 s");
        assert!(ends.take(at(51), false).is_ok(), "a first call goes");
    }

    #[test]
    fn one_that_returns_cold_has_saved_nothing() {
        let mut purse = Purse::new(7 * SECOND, rate(100, 10, 10));
        assert!(purse.take(7 * SECOND).is_err());
        assert!(purse.take(8 * SECOND).is_ok());
    }
}
