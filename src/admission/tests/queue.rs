//! Value density, order of starts and the shed candidate.

use super::*;

#[test]
fn the_shed_candidate_has_the_lowest_value_density_of_the_young_requests() {
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..2, RequestState::Queued);
    (
        controller.requests[1].operation,
        controller.operations[0].run_time_s,
        controller.operations[1].run_time_s,
    ) = (1, 1.0, 1.0);
    assert_eq!(shed_candidate(&controller, MS, 1), 0);
    assert_eq!(
        shed_candidate(&controller, 3 * S, 1),
        1,
        "the queued request is too old to try another node"
    );
}

#[test]
fn requests_of_a_tenant_over_its_quota_lose_value_density() {
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..2, RequestState::Queued);
    controller.requests[0].tenant = Some(0);
    controller.tenants.traffic[0].rate = 4.0; // 40 per second over 10 nodes; the quota is 10
    assert!(
        (controller.value_density(0) / controller.value_density(1) - (0.25 + 0.75 * 0.05)).abs()
            < 1e-9
    );
}

#[test]
fn a_request_that_cannot_meet_its_objective_is_rejected() {
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..2, RequestState::Queued);
    (
        controller.concurrency.busy_share,
        controller.operations[0].run_time_s,
    ) = (1.0, 1.5);
    controller.requests[1].times.objective_at = S;
    controller.start_queued(MS);
    assert_eq!(
        controller.host.effects,
        [Effect::Reject(1, false), Effect::Start(0)]
    );
}

#[test]
fn a_request_with_a_long_run_time_is_started_while_cpu_is_spare() {
    // Guards against nodes that reject every large request although no other request needs the
    // core.
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..1, RequestState::Queued);
    (
        controller.concurrency.busy_share,
        controller.operations[0].run_time_s,
    ) = (0.2, 30.0);
    controller.start_queued(MS);
    assert_eq!(controller.host.effects, [Effect::Start(0)]);
}

#[test]
fn only_successful_executions_update_the_run_time() {
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..2, RequestState::Running);
    controller.on_execution_ended(MS, RequestId(0), ExecutionOutcome::Failed, MS);
    assert_eq!(controller.operations[0].run_time_s, 0.0);
    controller.on_execution_ended(MS, RequestId(1), ExecutionOutcome::Succeeded, 300 * MS);
    assert!((controller.operations[0].run_time_s - 0.3).abs() < 1e-9);
}

#[test]
fn the_tenant_rate_is_counted_on_arrival() {
    let mut controller = controller(deployment());
    controller.on_arrival(
        MS,
        Arrival {
            tenant: Some(TenantId(0)),
            ..arrival(1)
        },
    );
    assert_eq!(controller.tenants.traffic[0].arrivals, 1.0);
}

#[test]
fn late_requests_start_after_requests_in_time() {
    // Guards against busy cores that first serve late requests, whose answers earn a fifth of their
    // weight.
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..2, RequestState::Queued);
    (
        controller.concurrency.busy_share,
        controller.concurrency.limit,
        controller.operations[0].run_time_s,
        controller.operations[0].config.late_weight_fraction,
    ) = (1.0, 1.0, 1.5, 0.2);
    controller.requests[0].times.objective_at = S;
    controller.start_queued(MS);
    assert_eq!(controller.host.effects, [Effect::Start(1)]);
}
