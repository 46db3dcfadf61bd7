//! What decisions see of the fleet: how many there are, and how far that can be trusted. A node
//! that lately lost sight of many cannot tell whether they are gone or it is cut off itself, and
//! says so; the size it goes by falls slowly.

use crate::member::{Entry, Status};
use crate::view::{Counts, View};
use crate::{Nanos, SECOND};
use std::sync::Arc;

/// Those found dead stay within what may be there for so long.
const HOLD: Nanos = 30 * SECOND;
/// One part in so many lost within that time, or as much suspected at once as half, makes a node
/// unsure.
const LOST_PART: usize = 4;
/// Doubt of itself from which a node is unsure of all it holds.
const DOUBT: u32 = 4;
/// Sure again after so long without cause to be unsure; and in any case after so long, for then it
/// is the state of things.
const CALM: Nanos = 5 * SECOND;
const LONGEST: Nanos = 300 * SECOND;
/// The size falls by one part in so many each second, at most.
const FALL_PART: usize = 8;

/// How many there are: what to go by, and what lies within sight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Extent {
    /// What decisions go by: up at once, down slowly.
    pub size: usize,
    /// Those held to be there without a doubt.
    pub low: usize,
    /// The same with suspects, and with those who were found dead lately and did not say that they
    /// left.
    pub high: usize,
}

/// What decisions see.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sight {
    pub fleet: Extent,
    /// The own zone.
    pub zone: Extent,
    /// Since when the node cannot tell whether others are gone or it is cut off.
    pub unsure_since: Option<Nanos>,
    /// Equal on nodes that agree.
    pub digest: u64,
    pub suspects: usize,
    /// The node's doubt of itself.
    pub doubt: u32,
    /// Whether another process has this node's name, so that it is in nobody's view.
    pub mute: bool,
}

/// A number that rises at once and falls slowly.
#[derive(Clone, Copy, Debug, Default)]
struct Slow {
    value: usize,
    stepped: Nanos,
    /// What it was when the node became unsure.
    held: usize,
}

impl Slow {
    fn follow(&mut self, now: Nanos, target: usize, unsure: bool) {
        if target >= self.value {
            (self.value, self.stepped) = (target, now);
        }
        if !unsure {
            self.held = self.value;
        }
        let floor = if unsure {
            target.max(self.held.div_ceil(2))
        } else {
            target
        };
        while self.value > floor && now >= self.stepped + SECOND {
            self.stepped += SECOND;
            self.value = (self.value - self.value.div_ceil(FALL_PART)).max(floor);
        }
        if self.value <= floor {
            self.stepped = now;
        }
    }
}

/// Keeps what decisions see.
#[derive(Debug, Default)]
pub struct Sizer {
    fleet: Slow,
    zone: Slow,
    unsure_since: Option<Nanos>,
    /// When there was last a cause to be unsure.
    cause: Nanos,
}

impl Sizer {
    /// Looks at the view; to be called several times a second.
    pub fn look(
        &mut self,
        now: Nanos,
        view: &View,
        own_zone: &Arc<str>,
        doubt: u32,
        mute: bool,
    ) -> Sight {
        let (mut lost, mut lost_here) = (0, 0);
        if view.counts().dead > 0 {
            let is_recent = |entry: &Entry| {
                entry.status() == Status::Dead && now.saturating_sub(entry.since) < HOLD
            };
            for (_, entry) in view.iter().filter(|(_, entry)| is_recent(entry)) {
                lost += 1;
                lost_here += usize::from(entry.details.zone == *own_zone);
            }
        }
        let (fleet, zone) = (view.counts(), view.zone(own_zone));
        self.judge(now, fleet, lost, doubt);
        let unsure = self.unsure_since.is_some();
        self.fleet.follow(now, fleet.present(), unsure);
        self.zone.follow(now, zone.present(), unsure);
        let extent = |slow: &Slow, counts: Counts, lost: usize| Extent {
            size: slow.value,
            low: counts.alive,
            high: (counts.present() + lost).max(slow.value),
        };
        Sight {
            fleet: extent(&self.fleet, fleet, lost),
            zone: extent(&self.zone, zone, lost_here),
            unsure_since: self.unsure_since,
            digest: view.digest(),
            suspects: fleet.suspect,
            doubt,
            mute,
        }
    }

    fn judge(&mut self, now: Nanos, fleet: Counts, lost: usize, doubt: u32) {
        let before = self.fleet.value.max(fleet.present() + lost);
        let many_lost =
            lost * LOST_PART >= before && (lost > 1 || lost == 1 && fleet.present() < 2);
        let many_suspect = fleet.suspect > 1 && fleet.suspect * 2 >= fleet.present();
        if many_lost || many_suspect || doubt >= DOUBT {
            self.cause = now;
            self.unsure_since.get_or_insert(now);
        }
        let calm = now >= self.cause + CALM;
        let long = self
            .unsure_since
            .is_some_and(|since| now >= since + LONGEST)
            && doubt < DOUBT;
        if calm || long {
            self.unsure_since = None;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::member::{Details, Key, Phase, Status};
    use crate::wire::News;
    use std::net::SocketAddr;

    fn fleet(members: usize) -> View {
        let mut view = View::new(16 << 20, None);
        for n in 0..members {
            let name = format!("n{n}");
            let address = SocketAddr::from(([127, 0, 0, 1], 1000));
            let zone = ["a", "b", "c"][n % 3];
            let told =
                Details::new(address, zone, Phase::Serving, "1", (1, 1), (0, 0), vec![]).unwrap();
            let news = News {
                key: Key::of(&name).0,
                birth: 1,
                life: 1,
                name,
                told: told.raw().into(),
                ..News::default()
            };
            let _ = view.merge(0, &news);
        }
        view
    }

    fn set(view: &mut View, now: Nanos, names: std::ops::Range<usize>, status: Status) {
        for n in names {
            view.set(now, Key::of(&format!("n{n}")), status);
        }
    }

    /// One link falls, and with it the sight of all others: the size does not jump, and the node
    /// says that it is unsure.
    #[test]
    fn losing_all_at_once_is_no_jump_and_is_said() {
        let (mut view, mut sizer, zone) = (fleet(300), Sizer::default(), Arc::from("a"));
        let mut look = |view: &View, now| sizer.look(now, view, &zone, 0, false);
        assert_eq!(
            look(&view, SECOND).fleet,
            Extent {
                size: 300,
                low: 300,
                high: 300
            }
        );
        set(&mut view, 2 * SECOND, 1..300, Status::Suspect);
        let sight = look(&view, 2 * SECOND);
        assert_eq!(
            (sight.fleet.size, sight.fleet.low, sight.fleet.high),
            (300, 1, 300)
        );
        assert_eq!(sight.unsure_since, Some(2 * SECOND));
        set(&mut view, 3 * SECOND, 1..300, Status::Dead);
        let (mut before, mut least) = (300, 300);
        for tenths in 30..400 {
            let sight = look(&view, tenths * SECOND / 10);
            assert!(sight.fleet.size <= before && before - sight.fleet.size <= before.div_ceil(8));
            assert!(
                sight.unsure_since.is_none() || sight.fleet.high >= 150,
                "{sight:?}"
            );
            (before, least) = (sight.fleet.size, least.min(sight.fleet.size));
        }
        assert!((1..=150).contains(&least), "{least}");
        // What was lost came to be the state of things.
        let sight = look(&view, 120 * SECOND);
        assert_eq!(
            (sight.fleet, sight.unsure_since),
            (
                Extent {
                    size: 1,
                    low: 1,
                    high: 1
                },
                None
            )
        );
    }

    /// While a node is unsure its size stays at half; nobody may think that he has the whole for
    /// himself.
    #[test]
    fn an_unsure_node_goes_by_half_of_what_it_knew() {
        let (mut view, mut sizer, zone) = (fleet(100), Sizer::default(), Arc::from("a"));
        sizer.look(0, &view, &zone, 0, false);
        set(&mut view, SECOND, 1..100, Status::Dead);
        for second in 1..30 {
            let sight = sizer.look(second * SECOND, &view, &zone, 0, false);
            assert!(
                sight.fleet.size >= 50 && sight.unsure_since.is_some(),
                "{second}: {sight:?}"
            );
        }
    }

    #[test]
    fn few_losses_and_those_who_say_that_they_leave_make_nobody_unsure() {
        let (mut view, mut sizer, zone) = (fleet(12), Sizer::default(), Arc::from("a"));
        sizer.look(0, &view, &zone, 0, false);
        set(&mut view, SECOND, 0..2, Status::Dead);
        set(&mut view, SECOND, 2..8, Status::Left);
        let sight = sizer.look(SECOND, &view, &zone, 0, false);
        assert_eq!((sight.unsure_since, sight.fleet.low), (None, 4));
        assert!(sight.fleet.high >= 6 && sight.fleet.size >= 10, "{sight:?}");
        let sight = sizer.look(40 * SECOND, &view, &zone, 0, false);
        assert_eq!(
            sight.fleet,
            Extent {
                size: 4,
                low: 4,
                high: 4
            }
        );
        assert_eq!(sight.zone.size, 1);
    }

    #[test]
    fn a_node_that_doubts_itself_is_unsure_as_long_as_it_does() {
        let (view, mut sizer, zone) = (fleet(12), Sizer::default(), Arc::from("a"));
        for second in 0..400 {
            let sight = sizer.look(second * SECOND, &view, &zone, 5, false);
            assert!(sight.unsure_since.is_some(), "{second}");
        }
        assert!(
            sizer
                .look(406 * SECOND, &view, &zone, 0, false)
                .unsure_since
                .is_none()
        );
    }

    #[test]
    fn growth_counts_at_once() {
        let (mut sizer, zone) = (Sizer::default(), Arc::from("a"));
        for members in [3, 30, 300] {
            assert_eq!(
                sizer
                    .look(members as Nanos, &fleet(members), &zone, 0, false)
                    .fleet
                    .size,
                members
            );
        }
    }
}
