use super::*;
use crate::budget::Budget;
use crate::budget::{Lease, LeaseId};
use crate::{AggregatedHealth, HealthState, SECOND};
use prost::Message;

/// Guards against explanations that do not follow the age of a lease: before the first lease, while
/// it is fresh, after its first half, and after its end.
#[test]
fn the_state_of_a_budget_is_explained() {
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
    let explained = |budgets: &mut NodeBudgets, now: Nanos| {
        let mut status = StatusSnapshot::default();
        status.with_budgets(now, budgets);
        let read = StatusSnapshot::decode(status.encode_to_vec().as_slice()).unwrap();
        assert_eq!(read, status);
        read.explain()[1].clone()
    };
    assert!(
        explained(&mut budgets, 0)
            .contains("may use 2, its floor of 2 only, because no lease was granted yet")
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
    let fresh = explained(&mut budgets, 100 * MILLISECOND);
    assert!(
        fresh.contains("may use 42")
            && fresh
                .contains("5 nodes requested 250 units of a pool of 80 then, which is too small"),
        "{fresh}"
    );
    let later = explained(&mut budgets, 800 * MILLISECOND);
    assert!(
        later.contains("may use 22") && later.contains("its first half is over"),
        "{later}"
    );
    let expired = explained(&mut budgets, 1600 * MILLISECOND);
    assert!(
        expired.contains("may use 2") && expired.contains("its duration of 1500 ms is over"),
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
    let degraded = explained(&mut health, SECOND);
    assert!(
        degraded.contains("careful") && degraded.contains("3 of 4 others in 2 of 2 zones"),
        "{degraded}"
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
    let unavailable = explained(&mut health, 3 * SECOND);
    assert!(
        unavailable.contains(
            "closed for 1000 ms, 0 % of calls are admitted because it failed this node; this node is one of its probers"
        ),
        "{unavailable}"
    );
}
