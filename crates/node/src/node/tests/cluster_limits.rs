//! Limits shared with the cluster: budgets, service health and keyed quotas restrict backend calls
//! and admissions.

use super::rules::{cluster_rules, settings};
use super::support::*;
use madderpoint_shared_state::keyed_quota::{KeyGrant, KeyRequest, QuotaGrant};
use madderpoint_shared_state::{AggregatedHealth, BudgetKind, HealthReport, HealthState};

const S: Nanos = 1000 * MS;

fn rate(limit: u32) -> Budget {
    let kind = BudgetKind::Rate { burst: 50 * MS };
    Budget {
        name: "b".into(),
        limit,
        floor: limit,
        max_nodes: 1,
        kind,
        retries_only: false,
    }
}

fn service() -> SharedService {
    SharedService {
        name: "register".into(),
        slow_call_threshold: Some(200 * MS),
        zone: 1,
    }
}

impl TestNode {
    /// Creates a node in a cluster and advances its clock by two seconds.
    fn in_cluster(budgets: &[Budget], service: Option<&SharedService>) -> TestNode {
        let mut node = TestNode::with_settings(&settings());
        let options = SharedStateOptions {
            service: service.cloned(),
            counts_for_cluster: true,
        };
        node.node
            .join_cluster(node.now, budgets, QuotaTiming::for_nodes(3), &options);
        node.wait(2000);
        node
    }

    /// Sends a request and runs it up to its backend call. Returns whether it was admitted.
    fn run_to_call(&mut self, id: u16, path: &str, correlation_id: &str) -> bool {
        self.call(id, path, correlation_id);
        let runs = self
            .executor_commands()
            .iter()
            .any(|line| line.contains("SCHED") && line.contains(correlation_id));
        if runs {
            self.need_backend_call(correlation_id, 1);
        }
        runs
    }

    fn cluster_updates(&mut self) -> Vec<ClusterUpdate> {
        self.node
            .with_actions(|actions| std::mem::take(&mut actions.cluster_updates))
    }

    fn health_state(&self) -> HealthState {
        self.node
            .state
            .borrow()
            .shared
            .service_health
            .as_ref()
            .unwrap()
            .state()
    }
}

fn correlation_id(n: u64) -> String {
    format!("{n:016x}")
}

/// With a budget of ten calls a second the next unit is free within 100 ms: the call is queued
/// until then and sent unchanged. With one call a second the wait is too long, and the call is
/// refused.
#[test]
fn a_call_is_queued_if_the_budget_is_free_soon_and_refused_otherwise() {
    let mut node = TestNode::in_cluster(&[rate(10)], None);
    assert!(node.run_to_call(1, "/call/pay", A));
    assert_eq!(node.calls(), 1);
    node.reply_to_call(0, A, Outcome::Ok);
    node.end_execution(A, End::Ok, b"r");
    node.answers();
    assert!(node.run_to_call(2, "/call/pay", B));
    assert_eq!((node.calls(), node.statuses()), (1, vec![]));
    node.wait(110);
    assert_eq!(node.calls(), 2);
    let (.., bytes) = node.last_call();
    assert!(bytes.starts_with(&format!("invoke {B} ")), "{bytes}");
    // At one call a second the next unit is not free soon: the second call is not executed, and the
    // request that needs it fails immediately.
    let mut node = TestNode::in_cluster(&[rate(1)], None);
    node.wait(1000);
    assert!(node.run_to_call(1, "/call/pay", A) && node.calls() == 1);
    node.reply_to_call(0, A, Outcome::Ok);
    node.end_execution(A, End::Ok, b"r");
    node.answers();
    assert!(node.run_to_call(2, "/call/pay", B));
    assert_eq!(
        (node.calls(), node.statuses()),
        (1, vec![(2, "500".into())])
    );
    assert!(node.counted("backend calls refused by the cluster's budgets") > 0);
}

/// A queued call whose execution has ended must not be sent, nor block the queue for later calls.
#[test]
fn the_queued_call_of_an_execution_that_ended_is_dropped() {
    let mut node = TestNode::in_cluster(&[rate(10)], None);
    assert!(node.run_to_call(1, "/call/read", A));
    node.reply_to_call(0, A, Outcome::Ok);
    node.end_execution(A, End::Ok, b"r");
    assert!(node.run_to_call(2, "/call/pay", B) && node.calls() == 1);
    node.end_execution(B, End::Error, b"");
    node.wait(200);
    assert_eq!(
        (
            node.calls(),
            node.node.with_actions(|actions| actions.cancelled.len())
        ),
        (1, 0)
    );
    assert!(node.run_to_call(3, "/call/pay", "00000000000000cc") && node.calls() == 2);
}

/// The backend may still be executing an abandoned call, so the call occupies its budget for the
/// longest call time.
#[test]
fn an_abandoned_call_occupies_its_budget_for_the_longest_call() {
    let kind = BudgetKind::InFlight {
        max_call_time: 500 * MS,
    };
    let in_flight_budget = Budget {
        name: "hands".into(),
        kind,
        ..rate(1)
    };
    let calls_in_flight = |node: &TestNode| {
        node.node
            .state
            .borrow_mut()
            .shared
            .budgets
            .as_mut()
            .unwrap()
            .borrowers()[0]
            .in_flight()
    };
    for (outcome, is_released) in [
        (Outcome::Ok, true),
        (Outcome::Overload, false),
        (Outcome::Internal, false),
    ] {
        let mut node = TestNode::in_cluster(std::slice::from_ref(&in_flight_budget), None);
        assert!(node.run_to_call(1, "/call/read", A) && calls_in_flight(&node) == 1);
        node.reply_to_call(0, A, outcome);
        node.end_execution(A, End::Ok, b"r");
        // A call that was not executed was retried, and the retry is abandoned with the execution.
        assert_eq!(calls_in_flight(&node) == 0, is_released, "{outcome:?}");
        node.wait(501);
        assert_eq!(calls_in_flight(&node), 0);
    }
}

/// A request whose backend call would exceed the budget is rejected before it runs, with a
/// Retry-After until units are free.
#[test]
fn requests_that_need_a_call_are_admitted_by_the_free_budget() {
    let mut node = TestNode::in_cluster(&[rate(10)], None);
    let (mut admitted, mut retry_after_ms) = (0, Vec::new());
    for n in 0..100 {
        let correlation_id = correlation_id(n);
        if node.run_to_call(n as u16 % 50 + 1, "/call/pay", &correlation_id) {
            admitted += 1;
            node.wait(19);
            node.reply_to_call(0, &correlation_id, Outcome::Ok);
            node.end_execution(&correlation_id, End::Ok, b"r");
        }
        for answer in node
            .answers()
            .iter()
            .filter(|answer| answer.status == "429")
        {
            retry_after_ms.push(answer.fields["X-Pushback-Ms"].parse::<u64>().unwrap());
        }
        node.wait(20);
    }
    assert!(
        (19..=26).contains(&admitted),
        "{admitted} requests admitted in slightly more than 2 s"
    );
    assert!(
        retry_after_ms.len() > 60 && retry_after_ms.iter().all(|ms| (1..=110).contains(ms)),
        "{retry_after_ms:?}"
    );
    // A request that can continue without its call is admitted regardless of the budget.
    assert!((0..20).all(|n| {
        let correlation_id = correlation_id(500 + n);
        let runs = node.run_to_call(60, "/call/read", &correlation_id);
        node.end_execution(&correlation_id, End::Ok, b"r");
        node.answers();
        runs
    }));
}

#[test]
fn retries_are_limited_by_a_separate_budget() {
    let retry_budget = Budget {
        name: "repeats".into(),
        retries_only: true,
        ..rate(1)
    };
    let mut node = TestNode::in_cluster(&[rate(1000), retry_budget], None);
    assert!(node.run_to_call(1, "/call/pay", A));
    node.reply_to_call(0, A, Outcome::Overload);
    assert_eq!(node.calls(), 2, "the budget allows one retry a second");
    node.reply_to_call(0, A, Outcome::Overload);
    assert_eq!(
        (node.calls(), node.statuses()),
        (2, vec![(1, "500".into())])
    );
    // The first call of an execution is not a retry.
    node.end_execution(A, End::Stopped, b"");
    assert!(node.run_to_call(2, "/call/pay", B) && node.calls() == 3);
}

/// After ten failed calls in a row the node treats the service as unavailable. Requests that need
/// the service are rejected and others continue without their call. When a probe is due, one
/// request is admitted for it.
#[test]
fn a_failing_service_gets_no_calls_and_then_recovers_in_steps() {
    let mut node = TestNode::in_cluster(&[], Some(&service()));
    for n in 0..10 {
        assert!(node.run_to_call(1, "/call/pay", &correlation_id(n)));
        node.reply_to_call(0, &correlation_id(n), Outcome::Internal);
        node.end_execution(&correlation_id(n), End::Stopped, b"");
        node.answers();
    }
    assert_eq!(node.health_state(), HealthState::Unavailable);
    let calls = node.calls();
    node.call(1, "/call/pay", A);
    let answer = &node.answers()[0];
    assert_eq!(
        (&answer.status[..], &answer.fields["X-Pushback-Ms"][..]),
        ("429", "500")
    );
    assert!(node.run_to_call(2, "/call/read", B));
    assert_eq!(node.calls(), calls, "the call is withheld");
    assert!(
        node.executor_commands()
            .iter()
            .any(|line| line.contains("NOIO")),
        "the execution continues without its call"
    );
    node.end_execution(B, End::Ok, b"r");
    // Without reports from other nodes, a probe is due every 5 s.
    let mut probes = 0;
    for n in 100..220 {
        node.wait(100);
        if node.run_to_call(3, "/call/pay", &correlation_id(n)) {
            probes += 1;
            node.reply_to_call(0, &correlation_id(n), Outcome::Ok);
            node.end_execution(&correlation_id(n), End::Ok, b"r");
        }
        node.answers();
    }
    assert_eq!((probes, node.health_state()), (3, HealthState::Recovering));
    let admitted = (300..316).filter(|n| {
        let runs = node.run_to_call(4, "/call/pay", &correlation_id(*n));
        node.reply_to_call(0, &correlation_id(*n), Outcome::Ok);
        node.end_execution(&correlation_id(*n), End::Ok, b"r");
        node.answers();
        runs
    });
    assert_eq!(admitted.count(), 1, "one in sixteen requests is admitted");
    assert!(node.cluster_updates().iter().any(|update| matches!(
        update,
        ClusterUpdate::HealthReport(HealthReport {
            admitted_share: 0.0,
            zone: 1,
            ..
        })
    )));
}

#[test]
fn slow_calls_count_as_failed() {
    let mut node = TestNode::in_cluster(&[], Some(&service()));
    let mut calls = 0;
    while node.health_state() == HealthState::Healthy {
        let correlation_id = correlation_id(calls);
        assert!(
            calls < 10 && node.run_to_call(1, "/call/pay", &correlation_id),
            "{calls}"
        );
        node.wait(300);
        let (place, ..) = node.last_call();
        node.reply_to_call(place, &correlation_id, Outcome::Ok);
        node.end_execution(&correlation_id, End::Ok, b"r");
        node.answers();
        calls += 1;
    }
    assert_eq!(
        (node.health_state(), calls > 5),
        (HealthState::Unavailable, true)
    );
}

/// Reports of other nodes alone must degrade the service without making it unavailable.
#[test]
fn health_reports_of_others_degrade_a_service_until_they_expire() {
    let mut node = TestNode::in_cluster(&[], Some(&service()));
    let failing_reports = AggregatedHealth {
        reporters: 6,
        failing: 6,
        zones: 3,
        failing_zones: 3,
        ..AggregatedHealth::default()
    };
    node.event(Event::AggregatedHealth(failing_reports));
    assert_eq!(node.health_state(), HealthState::Degraded);
    node.wait(6000);
    assert_eq!(node.health_state(), HealthState::Healthy);
}

const BUCKET: &str = r#"<bucket name="by-org" scope="fleet" nodes-most="4" rate="100/s" burst="50"/>
    <bucket name="hands" scope="fleet" nodes-most="4" in-hand="8"/>
    <rule name="all"><when>true</when><give>
        <limit bucket="by-org">caller.name</limit><limit bucket="hands">caller.name</limit></give></rule>"#;

/// The first request of a key is rejected with a short Retry-After, because the node holds no lease
/// yet. The quota request is sent immediately, and the granted units admit later requests.
#[test]
fn a_keyed_quota_requests_units_and_admits_what_was_granted() {
    let mut node = TestNode::in_cluster(&[], None);
    node.event(Event::RulesChanged(cluster_rules(
        &BUCKET.replace("caller.name", "tenant"),
    )));
    node.cluster_updates();
    node.call(1, "/call/read", A);
    let rejection = node.answers().remove(0);
    assert!(
        rejection.status == "429"
            && rejection.fields["X-Pushback-Ms"].parse::<u64>().unwrap() <= 60
    );
    node.wait(30);
    let request = node
        .cluster_updates()
        .into_iter()
        .find_map(|update| match update {
            ClusterUpdate::QuotaRequest(request) => Some(request),
            _ => None,
        });
    let request = request.unwrap();
    assert_eq!(
        request.keys.len(),
        2,
        "one request covers both quotas: {request:?}"
    );
    let grant = |key: &KeyRequest| KeyGrant {
        quota: key.quota,
        key: key.key,
        added: 2,
        retry_after: 0,
    };
    let keys = request.keys.iter().map(grant).collect();
    node.event(Event::QuotaGranted(Box::new(QuotaGrant {
        number: request.number,
        request_sent_at: request.sent_at,
        lease_duration: 3 * S,
        keys,
    })));
    node.call(2, "/call/read", B);
    assert_eq!(node.executor_commands(), [start_command(B, "read")]);
    let admitted_by_lease = |node: &TestNode| {
        let state = node.node.state.borrow();
        let borrower = state.rules.as_ref().unwrap().quota_borrower().unwrap();
        borrower
            .counters()
            .map(|(_, counters)| counters.by_lease)
            .sum::<u64>()
    };
    assert_eq!(admitted_by_lease(&node), 2);
    assert!(
        !node
            .node
            .state
            .borrow_mut()
            .rules
            .as_mut()
            .unwrap()
            .release_leases(),
        "one unit is in use"
    );
    node.end_execution(B, End::Ok, b"r");
    assert!(
        node.node
            .state
            .borrow_mut()
            .rules
            .as_mut()
            .unwrap()
            .release_leases(),
        "no unit is in use any more"
    );
    assert!(node.counted("rejected by a limit of the cluster") >= 1);
}

/// Budget requests carry the mean priority weight as the value of a unit, and counters are reported
/// every five seconds.
#[test]
fn priority_weights_and_counters_are_reported() {
    let mut settings = settings();
    settings = settings.replace(
        "\"Effect\": \"non_idempotent\", \"LateWorth\": 0.0, \"Points\": 1.0",
        "\"Effect\": \"non_idempotent\", \"LateWorth\": 0.0, \"Points\": 5.0",
    );
    let mut node = TestNode::with_settings(&settings);
    node.node.join_cluster(
        node.now,
        &[rate(100)],
        QuotaTiming::for_nodes(3),
        &SharedStateOptions {
            service: None,
            counts_for_cluster: true,
        },
    );
    node.wait(1000);
    assert!(node.run_to_call(1, "/call/pay", A));
    node.reply_to_call(0, A, Outcome::Ok);
    node.end_execution(A, End::Ok, b"r");
    node.call(2, "/call/read", B);
    node.end_execution(B, End::Error, b"");
    node.wait(5000);
    let updates = node.cluster_updates();
    let value = updates.iter().rev().find_map(|update| match update {
        ClusterUpdate::BudgetRequests { requests, .. } => Some(requests[0].value),
        _ => None,
    });
    assert_eq!(value, Some(3.0), "mean of the weights five and one");
    let report = updates.iter().rev().find_map(|update| match update {
        ClusterUpdate::Counters(report) => Some(report.clone()),
        _ => None,
    });
    use madderpoint_shared_state::counters::{PROCESS_ROW, operation_column, process_column};
    let total = report.unwrap().total;
    let row = |name: &str| total[&madderpoint_shared_state::keyed_quota::name_hash(name)];
    assert_eq!(
        (
            row("pay")[operation_column::SUCCEEDED],
            row("pay")[operation_column::EARNED_WEIGHT]
        ),
        (1, 5000)
    );
    assert_eq!(
        (
            row("read")[operation_column::ARRIVED],
            row("read")[operation_column::FAILED]
        ),
        (1, 1)
    );
    assert_eq!(
        (
            total[&PROCESS_ROW][process_column::CALLS],
            total[&PROCESS_ROW][process_column::STARTS]
        ),
        (1, 1)
    );
}
