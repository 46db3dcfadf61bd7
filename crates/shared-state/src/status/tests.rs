use super::*;
use crate::budget::Budget;
use crate::budget::{Lease, LeaseId};
use crate::{AggregatedHealth, HealthState, SECOND};
use prost::Message;

/// A node that got a lease, then reaches nobody, says so at each step.
#[test]
fn a_node_explains_what_it_may_use() {
    let kind = BudgetKind::Rate { burst: SECOND / 20 };
    let budget = Budget {
        name: "register".into(),
        limit: 100,
        floor: 2,
        max_nodes: 10,
        kind,
        retries_only: false,
    };
    let mut budgets = NodeBudgets::new(0, std::slice::from_ref(&budget));
    let at = |budgets: &mut NodeBudgets, now: Nanos| {
        let mut status = StatusSnapshot::default();
        status.with_budgets(now, budgets);
        let read = StatusSnapshot::decode(status.encode_to_vec().as_slice()).unwrap();
        assert_eq!(read, status);
        read.explain()[1].clone()
    };
    assert!(
        at(&mut budgets, 0).contains("may use 2, its floor of 2 alone, for nothing was lent yet")
    );
    let duration = 1500 * MILLISECOND;
    let lease = Lease {
        id: LeaseId {
            lender: 1,
            number: 1,
        },
        units: 40,
        duration,
        total_demand: 250,
        borrowers: 5,
        pool: 80,
    };
    budgets.receive_leases(0, 0, &[(budget.id(), lease)]);
    let fresh = at(&mut budgets, 100 * MILLISECOND);
    assert!(
        fresh.contains("may use 42")
            && fresh.contains("5 asked for 250 of 80 then, which is short"),
        "{fresh}"
    );
    let later = at(&mut budgets, 800 * MILLISECOND);
    assert!(
        later.contains("may use 22") && later.contains("its first half is over"),
        "{later}"
    );
    let expired = at(&mut budgets, 1600 * MILLISECOND);
    assert!(
        expired.contains("may use 2") && expired.contains("its time of 1500 ms is over"),
        "{expired}"
    );
}

#[test]
fn the_state_of_a_service_is_explained() {
    let mut health = ServiceHealth::new(0, 1);
    let explained = |health: &mut ServiceHealth, now| {
        let mut status = StatusSnapshot::default();
        status.with_service(now, "register", health);
        status.explain().pop().unwrap()
    };
    let failing = AggregatedHealth {
        reporters: 4,
        failing: 3,
        zones: 2,
        failing_zones: 2,
        ..AggregatedHealth::default()
    };
    health.receive_reports(SECOND, failing);
    let careful = explained(&mut health, SECOND);
    assert!(
        careful.contains("careful") && careful.contains("3 of 4 others in 2 of 2 zones"),
        "{careful}"
    );
    (0..10).for_each(|_| health.call_ended(2 * SECOND, false));
    assert_eq!(health.state(), HealthState::Unavailable);
    health.receive_reports(
        3 * SECOND,
        AggregatedHealth {
            is_prober: true,
            ..failing
        },
    );
    let closed = explained(&mut health, 3 * SECOND);
    assert!(
        closed.contains(
            "closed for 1000 ms, 0 % goes there, for it failed this node; this node is one"
        ),
        "{closed}"
    );
}
