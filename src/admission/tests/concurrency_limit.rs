//! The concurrency limit and the runnable limit.

use super::*;

#[test]
fn the_limit_grows_by_half_the_idle_cores_and_falls_by_one() {
    let mut controller = controller(deployment());
    put(&mut controller, 0..1, RequestState::Queued);
    update_limit(&mut controller, &busy(0.5));
    assert_eq!(controller.concurrency.limit, 5.0);
    (
        controller.concurrency.ended,
        controller.concurrency.run_ratios,
    ) = (8.0, 28.0);
    update_limit(&mut controller, &busy(1.0));
    assert_eq!(controller.concurrency.limit, 4.0);
    update_limit(&mut controller, &busy(1.0));
    assert_eq!(controller.concurrency.limit, 4.0, "the floor");
}

#[test]
fn executions_that_wait_for_a_call_leave_their_cores() {
    let mut controller = controller(deployment());
    put(&mut controller, 0..4, RequestState::Calling);
    put(&mut controller, 4..6, RequestState::Queued);
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
