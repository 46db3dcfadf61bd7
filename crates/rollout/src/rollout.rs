//! What the fleet knows of a rollout: a value that merges in any order, any number of times, and
//! only ever moves on. Of two words about one rollout the later stage holds, and the outcome that is
//! nearer to safety: whoever halts needs nobody, and nothing that is said later brings a rollout
//! back.

use crate::Nanos;
use crate::stages::{Plan, Progress};
use std::collections::BTreeMap;
use std::fmt;

/// RolloutTable that are remembered; the oldest that are over go first.
pub const CHANGES_MAX: usize = 16;
/// Bytes of a reason.
pub const REASON_MAX: usize = 160;

/// What a node may run: a number, and the first bytes of a hash that name it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    pub number: u64,
    pub hash: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:08x})", self.number, self.hash >> 32)
    }
}

/// One rollout, drawn from who offered what and when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RolloutId(pub u64);

impl fmt::Display for RolloutId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What is changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Our settings: the file's text is spread by the nodes.
    #[default]
    Settings,
    /// The program: its directory is laid on each machine by others.
    Program,
}

/// What has become of a rollout, from the farthest to the nearest to safety.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// It goes on, as far as stages are agreed.
    #[default]
    InProgress,
    /// The whole fleet runs it, and it is the last good version.
    Completed,
    /// It never began: another one did, or it can't be run.
    Rejected,
    /// It goes no further; who runs it runs it on.
    Halted,
    /// It is taken back: all run what was before.
    RolledBack,
}

impl Outcome {
    /// Its word, as tables show it.
    pub fn word(self) -> &'static str {
        ["open", "done", "refused", "halted", "back"][self as usize]
    }

    pub(crate) fn from_number(number: u32) -> Option<Outcome> {
        [
            Outcome::InProgress,
            Outcome::Completed,
            Outcome::Rejected,
            Outcome::Halted,
            Outcome::RolledBack,
        ]
        .get(number as usize)
        .copied()
    }
}

/// Why, by whom and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Reason {
    /// Unix milliseconds.
    pub at_ms: u64,
    /// The key of the node that said so.
    pub by: u64,
    pub why: String,
}

impl Reason {
    /// A reason, cut to its bound.
    pub fn new(at_ms: u64, by: u64, why: &str) -> Reason {
        let end = (0..=REASON_MAX.min(why.len()))
            .rev()
            .find(|end| why.is_char_boundary(*end))
            .unwrap_or(0);
        Reason {
            at_ms,
            by,
            why: why[..end].to_owned(),
        }
    }
}

/// A rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    pub id: RolloutId,
    pub kind: Kind,
    /// What it brings, and what it replaces.
    pub version: Version,
    pub base: Version,
    /// SHA-256 of the content, and its bytes.
    pub digest: [u8; 32],
    pub bytes: u32,
    /// Who offered it, and when by the Unix clock, in milliseconds.
    pub by: u64,
    pub at_ms: u64,
    pub plan: Plan,
    // What grows.
    pub progress: Progress,
    pub outcome: Outcome,
    pub reason: Reason,
}

impl Rollout {
    /// The place of a rollout among those that have not begun: the higher version first, of these
    /// the one offered first.
    pub fn order(&self) -> (std::cmp::Reverse<u64>, u64, RolloutId) {
        (std::cmp::Reverse(self.version.number), self.at_ms, self.id)
    }

    /// Whether it has begun, and is not over.
    pub fn is_in_progress(&self) -> bool {
        self.outcome == Outcome::InProgress && self.progress.stage > 0
    }

    /// Whether nothing more becomes of it by itself.
    pub fn is_over(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Completed | Outcome::Rejected | Outcome::RolledBack
        )
    }

    /// Whether a node is to run the new version by what is known here; none if it is to stay as it
    /// is.
    pub fn assignment(&self, node: u64, zone: u32) -> Option<bool> {
        match self.outcome {
            Outcome::InProgress => Some(self.progress.has(self.id, node, zone)),
            Outcome::Completed => Some(true),
            Outcome::Halted => None,
            Outcome::Rejected | Outcome::RolledBack => Some(false),
        }
    }

    /// Moves towards safety. What is nearer to it already stays.
    pub fn end(&mut self, outcome: Outcome, reason: Reason) -> bool {
        let ends = outcome > self.outcome;
        if ends {
            (self.outcome, self.reason) = (outcome, reason);
        }
        ends
    }

    /// Another word about the same rollout; whether anything is new in it.
    pub fn merge(&mut self, other: &Rollout) -> bool {
        // Of two reasons for the same the one that was first, so that all come to one.
        let nearer = other.outcome > self.outcome
            || other.outcome == self.outcome
                && other.outcome > Outcome::InProgress
                && other.reason < self.reason;
        if nearer {
            (self.outcome, self.reason) = (other.outcome, other.reason.clone());
        }
        let farther = self.record_progress(&other.progress);
        nearer || farther
    }

    /// It was agreed that it has come this far. Agreements are numbered; there are no two of a
    /// number.
    fn record_progress(&mut self, progress: &Progress) -> bool {
        let farther = progress.agreement > self.progress.agreement;
        if farther {
            self.progress = progress.clone();
        }
        if self.outcome <= Outcome::Completed && self.plan.is_beyond(self.progress.stage) {
            (self.outcome, self.reason) = (Outcome::Completed, Reason::default());
        }
        farther
    }

    /// A number that two words share if they say the same.
    fn print(&self) -> u64 {
        let print = crate::splitmix64(
            self.id.0 ^ crate::splitmix64(self.progress.agreement << 3 ^ self.outcome as u64),
        );
        crate::splitmix64(print ^ self.reason.at_ms ^ self.reason.by)
    }

    /// The place among those that are remembered: what is under way, then what may begin, by its
    /// order, then what is over, the latest first.
    fn rank(&self) -> (u8, std::cmp::Reverse<u64>, u64, RolloutId) {
        let (number, at, id) = self.order();
        match self.outcome {
            Outcome::InProgress | Outcome::Halted if self.progress.agreement > 0 => {
                (0, std::cmp::Reverse(self.progress.agreement), at, id)
            }
            Outcome::InProgress => (1, number, at, id),
            _ => (
                2,
                std::cmp::Reverse(self.at_ms),
                self.progress.agreement,
                id,
            ),
        }
    }
}

/// All rollouts that a node knows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutTable {
    all: BTreeMap<RolloutId, Rollout>,
}

impl RolloutTable {
    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.all.values()
    }

    pub fn get(&self, id: RolloutId) -> Option<&Rollout> {
        self.all.get(&id)
    }

    /// The one of the last agreement: it is never forgotten, so that agreements keep their numbers.
    pub fn head(&self, kind: Kind) -> Option<&Rollout> {
        let of = self
            .all
            .values()
            .filter(|rollout| rollout.kind == kind && rollout.progress.agreement > 0);
        of.max_by_key(|rollout| rollout.progress.agreement)
    }

    /// A word about a rollout; whether anything is new in it. Which ones are remembered follows from
    /// what was heard, and not from the order, so that all come to the same.
    pub fn merge(&mut self, other: &Rollout) -> bool {
        if let Some(known) = self.all.get_mut(&other.id) {
            return known.merge(other);
        }
        let mut other = other.clone();
        if other.outcome == Outcome::InProgress {
            other.reason = Reason::default();
        }
        let progress = std::mem::take(&mut other.progress);
        other.record_progress(&progress);
        let id = other.id;
        self.all.insert(id, other);
        if self.all.len() <= CHANGES_MAX {
            return true;
        }
        let heads = [Kind::Settings, Kind::Program].map(|kind| self.head(kind).map(|head| head.id));
        let last = self
            .all
            .values()
            .filter(|c| !heads.contains(&Some(c.id)))
            .max_by_key(|rollout| rollout.rank());
        let Some(last) = last.map(|last| last.id) else {
            return true;
        };
        self.all.remove(&last);
        last != id
    }

    /// Moves a rollout towards safety.
    pub fn end(&mut self, id: RolloutId, outcome: Outcome, reason: Reason) -> bool {
        self.all
            .get_mut(&id)
            .is_some_and(|rollout| rollout.end(outcome, reason))
    }

    /// It was agreed that a rollout has come this far.
    pub fn advance(&mut self, id: RolloutId, progress: &Progress) -> bool {
        self.all
            .get_mut(&id)
            .is_some_and(|rollout| rollout.record_progress(progress))
    }

    /// The rollout that is under way, of a kind. While this node lacks the end of one there may seem
    /// to be two: the later holds.
    pub fn in_progress(&self, kind: Kind) -> Option<&Rollout> {
        self.all
            .values()
            .filter(|c| c.kind == kind && c.is_in_progress())
            .max_by_key(|rollout| rollout.progress.agreement)
    }

    /// The one that goes next: the first in the order of those that have not begun.
    pub fn next(&self, kind: Kind) -> Option<&Rollout> {
        let waits = |c: &&Rollout| {
            c.kind == kind && c.outcome == Outcome::InProgress && c.progress.stage == 0
        };
        self.all
            .values()
            .filter(waits)
            .min_by_key(|rollout| rollout.order())
    }

    /// The one that a node goes by now: under way, or halted and not taken back, or else the next.
    pub fn current(&self, kind: Kind) -> Option<&Rollout> {
        let halted = || {
            let halted = self
                .all
                .values()
                .filter(|c| c.kind == kind && c.outcome == Outcome::Halted);
            halted.max_by_key(|rollout| rollout.progress.agreement)
        };
        self.in_progress(kind)
            .or_else(halted)
            .or_else(|| self.next(kind))
    }

    /// A number that two nodes share if they know the same.
    pub fn digest(&self) -> u64 {
        self.all
            .values()
            .fold(0, |sum, rollout| sum.wrapping_add(rollout.print()))
    }

    /// Forgets what was over long ago.
    pub fn remove_expired(&mut self, now_ms: u64, persist: Nanos) {
        let keep_ms = persist / crate::MILLISECOND;
        let heads = [Kind::Settings, Kind::Program].map(|kind| self.head(kind).map(|head| head.id));
        self.all.retain(|id, rollout| {
            heads.contains(&Some(*id))
                || !rollout.is_over()
                || now_ms
                    < rollout
                        .reason
                        .at_ms
                        .max(rollout.at_ms)
                        .saturating_add(keep_ms)
        });
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use rand::seq::SliceRandom;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    pub(crate) fn rollout(id: u64, number: u64) -> Rollout {
        Rollout {
            id: RolloutId(id),
            kind: Kind::Settings,
            version: Version {
                number,
                hash: crate::splitmix64(number ^ id),
            },
            base: Version {
                number: 1,
                hash: 11,
            },
            digest: [id as u8; 32],
            bytes: 100,
            by: 5,
            at_ms: 1000 + id,
            plan: Plan::default(),
            progress: Progress::default(),
            outcome: Outcome::InProgress,
            reason: Reason::default(),
        }
    }

    fn progress(stage: u32) -> Progress {
        let until = BTreeMap::from([(0, u64::from(stage) << 50)]);
        Progress {
            agreement: u64::from(stage),
            stage,
            until,
            ..Progress::default()
        }
    }

    /// Words in any order, in any groups, any number of times come to the same, and nothing moves
    /// away from safety.
    #[test]
    fn words_merge_in_any_order_and_only_towards_safety() {
        for seed in 0..300 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut words: Vec<Rollout> = Vec::new();
            for id in 1..4 {
                for _ in 0..rng.random_range(1..8) {
                    let mut word = rollout(id, 2);
                    word.progress = progress(rng.random_range(0..8));
                    if rng.random_bool(0.4) {
                        word.outcome = Outcome::from_number(rng.random_range(1..5)).unwrap();
                        let why = ["a", "b"][rng.random_range(0..2)];
                        word.reason =
                            Reason::new(rng.random_range(0..9), rng.random_range(0..3), why);
                    }
                    words.push(word);
                }
            }
            let mut received: Vec<RolloutTable> = vec![RolloutTable::default(); 4];
            for rollouts in &mut received {
                words.shuffle(&mut rng);
                let again = rng.random_range(0..words.len());
                for word in words.iter().chain(&words[..again]) {
                    let before = rollouts.get(word.id).cloned();
                    rollouts.merge(word);
                    let after = rollouts.get(word.id).unwrap();
                    assert!(
                        before.is_none_or(|b| after.outcome >= b.outcome
                            && after.progress.stage >= b.progress.stage)
                    );
                }
            }
            // One more hears by way of the first.
            let mut second = RolloutTable::default();
            received[0]
                .iter()
                .for_each(|rollout| _ = second.merge(rollout));
            received.push(second);
            assert!(
                received
                    .windows(2)
                    .all(|two| two[0] == two[1] && two[0].digest() == two[1].digest()),
                "{seed}"
            );
        }
    }

    #[test]
    fn a_halt_is_not_undone_and_nothing_advances_after_it() {
        let mut rollouts = RolloutTable::default();
        rollouts.merge(&rollout(1, 2));
        assert!(
            rollouts.advance(RolloutId(1), &progress(1))
                && !rollouts.advance(RolloutId(1), &progress(1))
        );
        assert!(rollouts.end(RolloutId(1), Outcome::Halted, Reason::new(5, 1, "seen")));
        assert!(!rollouts.end(RolloutId(1), Outcome::Completed, Reason::new(6, 2, "no")));
        let late = Rollout {
            progress: progress(2),
            ..rollout(1, 2)
        };
        rollouts.merge(&late); // it was agreed on elsewhere before the halt was heard there
        let known = rollouts.get(RolloutId(1)).unwrap();
        assert_eq!(
            (known.progress.stage, known.outcome, known.assignment(3, 0)),
            (2, Outcome::Halted, None)
        );
        assert!(rollouts.end(RolloutId(1), Outcome::RolledBack, Reason::new(9, 1, "back")));
        assert_eq!(
            rollouts.get(RolloutId(1)).unwrap().assignment(3, 0),
            Some(false)
        );
    }

    #[test]
    fn the_highest_version_goes_next_and_of_like_ones_the_first() {
        let mut rollouts = RolloutTable::default();
        [(1, 5), (2, 9), (3, 9), (4, 7)]
            .iter()
            .for_each(|(id, number)| _ = rollouts.merge(&rollout(*id, *number)));
        assert_eq!(rollouts.next(Kind::Settings).unwrap().id, RolloutId(2));
        rollouts.advance(RolloutId(4), &progress(1));
        assert_eq!(
            rollouts.current(Kind::Settings).unwrap().id,
            RolloutId(4),
            "what has begun goes first"
        );
        assert!(rollouts.next(Kind::Program).is_none());
    }

    /// A hundred versions are offered: memory stays, what is under way stays, and the highest ones
    /// are kept.
    #[test]
    fn changes_are_bounded_and_what_is_under_way_is_kept() {
        let mut rollouts = RolloutTable::default();
        rollouts.merge(&rollout(1, 2));
        rollouts.advance(RolloutId(1), &progress(1));
        for id in 2..=100 {
            rollouts.merge(&rollout(id, id));
        }
        assert_eq!(
            (
                rollouts.iter().count(),
                rollouts.in_progress(Kind::Settings).unwrap().id
            ),
            (CHANGES_MAX, RolloutId(1))
        );
        assert_eq!(rollouts.next(Kind::Settings).unwrap().version.number, 100);
        let mut over = RolloutTable::default();
        for id in 1..=40 {
            over.merge(&rollout(id, id));
            over.end(RolloutId(id), Outcome::Rejected, Reason::new(id, 1, ""));
        }
        assert!(over.iter().count() <= CHANGES_MAX && over.get(RolloutId(40)).is_some());
        over.remove_expired(10_000_000, 3600 * crate::SECOND);
        assert_eq!(over.iter().count(), 0);
    }

    /// Whatever the order in which they are heard, the same ones are remembered.
    #[test]
    fn which_changes_are_remembered_does_not_depend_on_the_order() {
        for seed in 0..200 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut all: Vec<Rollout> = (1..=40)
                .map(|id| rollout(id, rng.random_range(2..30)))
                .collect();
            for rollout in &mut all {
                if rng.random_bool(0.5) {
                    rollout.outcome = Outcome::Rejected;
                }
            }
            all[5].progress = progress(3);
            let received = |all: &[Rollout]| {
                let mut rollouts = RolloutTable::default();
                all.iter().for_each(|rollout| _ = rollouts.merge(rollout));
                rollouts
            };
            let one = received(&all);
            all.shuffle(&mut rng);
            assert_eq!(one, received(&all), "{seed}");
            assert_eq!(
                one.head(Kind::Settings).map(|head| head.progress.agreement),
                Some(3)
            );
        }
    }

    /// The agreement beyond the last stage is that it is done.
    #[test]
    fn beyond_the_last_stage_a_change_is_done() {
        let mut rollouts = RolloutTable::default();
        rollouts.merge(&rollout(1, 2));
        (1..=6).for_each(|stage| _ = rollouts.advance(RolloutId(1), &progress(stage)));
        assert_eq!(
            rollouts.get(RolloutId(1)).unwrap().outcome,
            Outcome::Completed
        );
        let mut halted = RolloutTable::default();
        halted.merge(&Rollout {
            outcome: Outcome::Halted,
            ..rollout(1, 2)
        });
        halted.merge(rollouts.get(RolloutId(1)).unwrap());
        assert_eq!(halted.get(RolloutId(1)).unwrap().outcome, Outcome::Halted);
    }

    #[test]
    fn a_reason_is_cut_between_letters() {
        assert_eq!(Reason::new(1, 2, &"ş".repeat(200)).why.len(), REASON_MAX);
    }
}
