use super::*;
use crate::budget::Budget;
use crate::budget::Lease;
use crate::{AggregatedHealth, HealthState, SECOND};
use prost::Message;

/// A node that was lent something, then hears nothing, says so at each step.
#[test]
fn a_node_says_why_it_holds_what_it_holds() {
    let kind = Kind::Rate { burst: SECOND / 20 };
    let budget = Budget {
        name: "register".into(),
        limit: 100,
        floor: 2,
        nodes_most: 10,
        kind,
        repeats_only: false,
    };
    let mut ends = NodeBudgets::new(0, std::slice::from_ref(&budget));
    let at = |ends: &mut NodeBudgets, now: Nanos| {
        let mut shown = StatusSnapshot::default();
        shown.with_ends(now, ends);
        let read = StatusSnapshot::decode(shown.encode_to_vec().as_slice()).unwrap();
        assert_eq!(read, shown);
        read.why()[1].clone()
    };
    assert!(at(&mut ends, 0).contains("may use 2, its floor of 2 alone, for nothing was lent yet"));
    let term = 1500 * MILLISECOND;
    let part = Lease {
        book: 1,
        no: 1,
        units: 40,
        term,
        wanted: 250,
        borrowers: 5,
        pool: 80,
    };
    ends.lent(0, 0, &[(budget.id(), part)]);
    let fresh = at(&mut ends, 100 * MILLISECOND);
    assert!(
        fresh.contains("may use 42")
            && fresh.contains("5 asked for 250 of 80 then, which is short"),
        "{fresh}"
    );
    let later = at(&mut ends, 800 * MILLISECOND);
    assert!(
        later.contains("may use 22") && later.contains("its first half is over"),
        "{later}"
    );
    let over = at(&mut ends, 1600 * MILLISECOND);
    assert!(
        over.contains("may use 2") && over.contains("its time of 1500 ms is over"),
        "{over}"
    );
}

#[test]
fn a_judgement_is_told_with_its_reason() {
    let mut judge = ServiceHealth::new(0, 1);
    let told = |judge: &mut ServiceHealth, now| {
        let mut shown = StatusSnapshot::default();
        shown.with_judge(now, "register", judge);
        shown.why().pop().unwrap()
    };
    let ill = AggregatedHealth {
        witnesses: 4,
        ill: 3,
        zones: 2,
        ill_zones: 2,
        ..AggregatedHealth::default()
    };
    judge.told(SECOND, ill);
    let careful = told(&mut judge, SECOND);
    assert!(
        careful.contains("careful") && careful.contains("3 of 4 others in 2 of 2 zones"),
        "{careful}"
    );
    (0..10).for_each(|_| judge.ended(2 * SECOND, false));
    assert_eq!(judge.mode(), HealthState::Unavailable);
    judge.told(
        3 * SECOND,
        AggregatedHealth {
            prober: true,
            ..ill
        },
    );
    let closed = told(&mut judge, 3 * SECOND);
    assert!(
        closed.contains(
            "closed for 1000 ms, 0 % goes there, for it failed this node; this node is one"
        ),
        "{closed}"
    );
}
