use super::*;
use crate::budget::{Budget, BudgetKind};

fn budgets(limit: u32) -> NodeBudgets {
    let kind = BudgetKind::Rate { burst: SECOND / 20 };
    let budget = Budget {
        name: "b".into(),
        limit,
        floor: 10,
        max_nodes: 1,
        kind,
        retries_only: false,
    };
    NodeBudgets::new(0, &[budget])
}

#[test]
fn requests_are_admitted_at_the_rate_of_calls_and_the_rest_get_a_retry_after() {
    let (mut gate, mut budgets) = (BackendGate::new(0), budgets(10));
    let (mut admitted, mut calls, mut waiting, mut retry_afters) = (0, 0, 0, Vec::new());
    for ms in 0..10_000 {
        let now = ms * MILLISECOND;
        if ms % 20 == 0 {
            match gate.admits(now, Some(&mut budgets), None) {
                Ok(()) => (admitted, waiting) = (admitted + 1, waiting + 1),
                Err(retry_after) => retry_afters.push(retry_after),
            }
        }
        if waiting > 0 && budgets.acquire(now, false).is_ok() {
            (calls, waiting) = (calls + 1, waiting - 1);
            gate.request_ended(1);
        }
    }
    // 10 of 50 arriving requests per second are admitted, and their calls soon find units.
    assert!(
        (92..=99).contains(&admitted) && waiting <= 2 && calls >= admitted - 2,
        "{admitted} {calls}"
    );
    assert!(
        retry_afters
            .iter()
            .all(|retry_after| *retry_after <= 110 * MILLISECOND),
        "{:?}",
        retry_afters.iter().max()
    );
}

/// If rejected requests did not count as demand, the node would never request units.
#[test]
fn rejected_requests_count_as_demand() {
    let kind = BudgetKind::Rate { burst: SECOND / 20 };
    let budget = Budget {
        name: "b".into(),
        limit: 100,
        floor: 1,
        max_nodes: 2,
        kind,
        retries_only: false,
    };
    let (mut gate, mut budgets) = (BackendGate::new(0), NodeBudgets::new(0, &[budget]));
    for ms in 0..1000 {
        let _ = gate.admits(ms * MILLISECOND, Some(&mut budgets), None);
    }
    assert!(
        budgets.requests(SECOND)[0].units > 90,
        "{:?}",
        budgets.requests(SECOND)
    );
}

#[test]
fn only_probes_pass_while_unavailable_and_the_admitted_share_while_recovering() {
    let (mut gate, mut health) = (BackendGate::new(0), ServiceHealth::new(0, 0));
    (0..20).for_each(|_| health.call_ended(SECOND, false));
    let now = 60 * SECOND;
    // A node without other members probes every 5 s if the admitted request makes its call.
    let mut admitted = 0;
    for tenths in 0..100 {
        let now = now + tenths * SECOND / 10;
        if gate.admits(now, None, Some(&mut health)).is_ok() {
            admitted += 1;
            assert!(health.admits(now, true));
            health.call_ended(now, false);
        }
    }
    assert_eq!(admitted, 2);
    assert!(
        gate.admits(now + 20 * SECOND, None, Some(&mut health))
            .is_ok()
    );
    (0..3).for_each(|_| health.call_ended(now + 20 * SECOND, true));
    let now = now + 21 * SECOND;
    assert_eq!(
        (0..32)
            .filter(|_| gate.admits(now, None, Some(&mut health)).is_ok())
            .count(),
        2
    );
    assert!(gate.admits(now, None, Some(&mut health)).unwrap_err() <= 5 * SECOND);
}

#[test]
fn two_calls_per_request_halve_the_admission_rate() {
    let (mut gate, mut budgets) = (BackendGate::new(0), budgets(10));
    (0..200).for_each(|_| gate.request_ended(2));
    let admitted = (0..1000)
        .filter(|n| {
            gate.admits(n * SECOND / 100, Some(&mut budgets), None)
                .is_ok()
        })
        .count();
    assert!((45..=52).contains(&admitted), "{admitted} in 10 s");
}
