use super::*;
use crate::budget::{Budget, Kind};

fn ends(limit: u32) -> NodeBudgets {
    let kind = Kind::Rate { burst: SECOND / 20 };
    let budget = Budget {
        name: "b".into(),
        limit,
        floor: 10,
        nodes_most: 1,
        kind,
        repeats_only: false,
    };
    NodeBudgets::new(0, &[budget])
}

#[test]
fn as_many_are_let_in_as_there_are_calls_for_and_the_rest_hears_when() {
    let (mut gate, mut ends) = (BackendGate::new(0), ends(10));
    let (mut let_in, mut calls, mut waiting, mut pauses) = (0, 0, 0, Vec::new());
    for ms in 0..10_000 {
        let now = ms * MILLISECOND;
        if ms % 20 == 0 {
            match gate.admits(now, Some(&mut ends), None) {
                Ok(()) => (let_in, waiting) = (let_in + 1, waiting + 1),
                Err(pause) => pauses.push(pause),
            }
        }
        if waiting > 0 && ends.take(now, false).is_ok() {
            (calls, waiting) = (calls + 1, waiting - 1);
            gate.ran(1);
        }
    }
    // Ten a second, of fifty that come; and their calls find room soon.
    assert!(
        (92..=99).contains(&let_in) && waiting <= 2 && calls >= let_in - 2,
        "{let_in} {calls}"
    );
    assert!(
        pauses.iter().all(|pause| *pause <= 110 * MILLISECOND),
        "{:?}",
        pauses.iter().max()
    );
}

/// What is turned away counts as wanted, or nothing would ever be asked for.
#[test]
fn what_is_turned_away_is_wanted_all_the_same() {
    let kind = Kind::Rate { burst: SECOND / 20 };
    let budget = Budget {
        name: "b".into(),
        limit: 100,
        floor: 1,
        nodes_most: 2,
        kind,
        repeats_only: false,
    };
    let (mut gate, mut ends) = (BackendGate::new(0), NodeBudgets::new(0, &[budget]));
    for ms in 0..1000 {
        let _ = gate.admits(ms * MILLISECOND, Some(&mut ends), None);
    }
    assert!(ends.wants(SECOND)[0].units > 90, "{:?}", ends.wants(SECOND));
}

#[test]
fn a_closed_service_lets_in_what_tries_it_and_a_rising_one_its_part() {
    let (mut gate, mut judge) = (BackendGate::new(0), ServiceHealth::new(0, 0));
    (0..20).for_each(|_| judge.ended(SECOND, false));
    let now = 60 * SECOND;
    // Alone it tries every 5 s, if the one that was let in makes its call.
    let mut let_in = 0;
    for tenths in 0..100 {
        let now = now + tenths * SECOND / 10;
        if gate.admits(now, None, Some(&mut judge)).is_ok() {
            let_in += 1;
            assert!(judge.admits(now, true));
            judge.ended(now, false);
        }
    }
    assert_eq!(let_in, 2);
    assert!(
        gate.admits(now + 20 * SECOND, None, Some(&mut judge))
            .is_ok()
    );
    (0..3).for_each(|_| judge.ended(now + 20 * SECOND, true));
    let now = now + 21 * SECOND;
    assert_eq!(
        (0..32)
            .filter(|_| gate.admits(now, None, Some(&mut judge)).is_ok())
            .count(),
        2
    );
    assert!(gate.admits(now, None, Some(&mut judge)).unwrap_err() <= 5 * SECOND);
}

#[test]
fn runs_that_call_twice_are_let_in_half_as_often() {
    let (mut gate, mut ends) = (BackendGate::new(0), ends(10));
    (0..200).for_each(|_| gate.ran(2));
    let let_in = (0..1000)
        .filter(|n| gate.admits(n * SECOND / 100, Some(&mut ends), None).is_ok())
        .count();
    assert!((45..=52).contains(&let_in), "{let_in} in 10 s");
}
