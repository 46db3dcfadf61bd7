//! The concurrency limit and the runnable limit.

use super::*;

#[test]
fn the_limit_grows_by_half_the_idle_cores_and_falls_by_one() {
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..1, RequestState::Queued);
    update_limit(&mut controller, &cpu_busy(0.5));
    assert_eq!(controller.concurrency.limit, 5.0);
    (
        controller.concurrency.completed,
        controller.concurrency.run_ratio_sum,
    ) = (8.0, 28.0);
    update_limit(&mut controller, &cpu_busy(1.0));
    assert_eq!(controller.concurrency.limit, 4.0);
    update_limit(&mut controller, &cpu_busy(1.0));
    assert_eq!(
        controller.concurrency.limit, 4.0,
        "the lower bound is the number of cores"
    );
}

#[test]
fn executions_waiting_for_a_call_do_not_count_against_the_concurrency_limit() {
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..4, RequestState::Calling);
    insert_requests(&mut controller, 4..6, RequestState::Queued);
    controller.start_queued(MS);
    assert_eq!(
        controller.host.effects,
        [Effect::Start(4), Effect::Start(5)]
    );
}

#[test]
fn the_runnable_limit_is_lower_while_warming_up() {
    let mut controller = controller(Deployment {
        starts_cold: true,
        ..deployment()
    });
    assert_eq!(runnable(&controller, 0), 6); // 4 x (1 + 4 x 0.25) x 0.85
    assert_eq!(runnable(&controller, 20 * S), 17);
    controller.deployment.starts_cold = false;
    assert_eq!(runnable(&controller, 0), 17);
}
