use super::*;
use crate::member::{Liveness, MemberDetails, MemberKey, Phase};
use crate::wire::MemberUpdate;
use std::net::SocketAddr;

fn fleet(members: usize) -> MemberTable {
    let mut view = MemberTable::new(16 << 20, None);
    for n in 0..members {
        let name = format!("n{n}");
        let address = SocketAddr::from(([127, 0, 0, 1], 1000));
        let zone = ["a", "b", "c"][n % 3];
        let told =
            MemberDetails::new(address, zone, Phase::Serving, "1", (1, 1), (0, 0), vec![]).unwrap();
        let news = MemberUpdate {
            key: MemberKey::of(&name).0,
            birth: 1,
            life: 1,
            name,
            told: told.raw().into(),
            ..MemberUpdate::default()
        };
        let _ = view.merge(0, &news);
    }
    view
}

fn set(view: &mut MemberTable, now: Nanos, names: std::ops::Range<usize>, status: Liveness) {
    for n in names {
        view.set(now, MemberKey::of(&format!("n{n}")), status);
    }
}

/// One link falls, and with it the sight of all others: the size does not jump, and the node
/// says that it is unsure.
#[test]
fn losing_all_at_once_is_no_jump_and_is_said() {
    let (mut view, mut sizer, zone) = (fleet(300), ClusterSizeEstimator::default(), Arc::from("a"));
    let mut look = |view: &MemberTable, now| sizer.look(now, view, &zone, 0, false);
    assert_eq!(
        look(&view, SECOND).fleet,
        SizeEstimate {
            size: 300,
            low: 300,
            high: 300
        }
    );
    set(&mut view, 2 * SECOND, 1..300, Liveness::Suspect);
    let sight = look(&view, 2 * SECOND);
    assert_eq!(
        (sight.fleet.size, sight.fleet.low, sight.fleet.high),
        (300, 1, 300)
    );
    assert_eq!(sight.unsure_since, Some(2 * SECOND));
    set(&mut view, 3 * SECOND, 1..300, Liveness::Dead);
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
            SizeEstimate {
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
    let (mut view, mut sizer, zone) = (fleet(100), ClusterSizeEstimator::default(), Arc::from("a"));
    sizer.look(0, &view, &zone, 0, false);
    set(&mut view, SECOND, 1..100, Liveness::Dead);
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
    let (mut view, mut sizer, zone) = (fleet(12), ClusterSizeEstimator::default(), Arc::from("a"));
    sizer.look(0, &view, &zone, 0, false);
    set(&mut view, SECOND, 0..2, Liveness::Dead);
    set(&mut view, SECOND, 2..8, Liveness::Left);
    let sight = sizer.look(SECOND, &view, &zone, 0, false);
    assert_eq!((sight.unsure_since, sight.fleet.low), (None, 4));
    assert!(sight.fleet.high >= 6 && sight.fleet.size >= 10, "{sight:?}");
    let sight = sizer.look(40 * SECOND, &view, &zone, 0, false);
    assert_eq!(
        sight.fleet,
        SizeEstimate {
            size: 4,
            low: 4,
            high: 4
        }
    );
    assert_eq!(sight.zone.size, 1);
}

#[test]
fn a_node_that_doubts_itself_is_unsure_as_long_as_it_does() {
    let (view, mut sizer, zone) = (fleet(12), ClusterSizeEstimator::default(), Arc::from("a"));
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
    let (mut sizer, zone) = (ClusterSizeEstimator::default(), Arc::from("a"));
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
