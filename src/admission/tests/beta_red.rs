//! The random rejection: curve, average, walk and targets.

use super::*;

#[test]
fn rejection_probability_follows_the_curve() {
    let mut controller = controller(deployment());
    (
        controller.beta_red.queue_bound,
        controller.beta_red.virtual_target,
    ) = (40.0, 20.0);
    let mut last = -1.0;
    for (q, low, high) in [
        (0.0, 0.0, 0.0),
        (16.0, 0.01, 0.1),
        (20.0, 0.45, 0.55),
        (24.0, 0.9, 0.99),
        (40.0, 1.0, 1.0),
    ] {
        controller.beta_red.averaged_queue = q;
        let chance = controller.beta_red.rejection_probability();
        assert!(
            (low..=high).contains(&chance) && chance > last,
            "at {q}: {chance}"
        );
        last = chance;
    }
}

#[test]
fn each_arrival_moves_the_average_by_its_weight() {
    let mut controller = controller(deployment());
    put(&mut controller, 0..10, RequestState::Queued);
    controller.beta_red.averaged_queue = 20.0;
    observe_arrival(&mut controller, 0);
    assert!((controller.beta_red.averaged_queue - 17.0).abs() < 1e-9);
}

#[test]
fn unread_requests_count_as_queued() {
    // Guards against slow reading that hides the queue: none queued while requests waited 0.6 s
    // unread.
    let mut controller = controller(deployment());
    controller.beta_red.arrival_rate = 20.0;
    observe_arrival(&mut controller, 500 * MS);
    assert!(
        (controller.beta_red.queue_length - 10.0).abs() < 1e-9
            && (controller.beta_red.averaged_queue - 3.0).abs() < 1e-9
    );
}

#[test]
fn walk_moves_by_the_error_and_keeps_its_bounds() {
    let mut controller = controller(deployment());
    put(&mut controller, 0..10, RequestState::Queued);
    controller.beta_red.queue_length = 10.0;
    (
        controller.concurrency.busy_share,
        controller.beta_red.queue_bound,
        controller.beta_red.target,
        controller.beta_red.virtual_target,
        controller.beta_red.averaged_queue,
    ) = (1.0, 40.0, 10.0, 20.0, 14.0);
    walk(&mut controller);
    assert!(
        (controller.beta_red.virtual_target - 19.0).abs() < 1e-9,
        "0.25 x (10 - 14)"
    );
    controller.beta_red.averaged_queue = 1e4;
    walk(&mut controller);
    assert_eq!(
        controller.beta_red.virtual_target, 4.0,
        "never under the cores"
    );
    (
        controller.beta_red.target,
        controller.beta_red.averaged_queue,
        controller.beta_red.virtual_target,
    ) = (1e4, 0.0, 20.0);
    walk(&mut controller);
    assert_eq!(controller.beta_red.virtual_target, 39.0, "never over B - 1");
}

#[test]
fn a_calm_spell_does_not_wind_up_the_virtual_target() {
    let mut controller = controller(deployment());
    (
        controller.concurrency.busy_share,
        controller.beta_red.queue_bound,
        controller.beta_red.target,
        controller.beta_red.virtual_target,
    ) = (0.3, 40.0, 10.0, 30.0);
    walk(&mut controller);
    assert!((controller.beta_red.virtual_target - 28.0).abs() < 1e-9);
}

#[test]
fn capacity_is_the_best_span_of_the_minute() {
    let mut controller = controller(deployment());
    controller.beta_red.completions[3] = 100.0; // 40 a second
    controller.update_targets();
    assert!(
        (controller.beta_red.target - 20.0).abs() < 1e-9,
        "40 x 0.5 s"
    );
    assert!((controller.beta_red.queue_bound - 80.0).abs() < 1e-9);
}

#[test]
fn the_queue_bound_is_capped_by_memory() {
    let mut controller = controller(deployment());
    controller.beta_red.completions[3] = 1000.0;
    controller.memory.typical_request_kb = 100.0;
    controller.update_targets();
    // (10,000 x 0.85 / 2 - 4 x 4 x 100) / 100
    assert!(
        (controller.beta_red.queue_bound - 26.5).abs() < 1e-9,
        "{}",
        controller.beta_red.queue_bound
    );
}

#[test]
fn everything_is_rejected_at_the_queue_bound() {
    let mut controller = controller(deployment());
    (controller.running, controller.beta_red.queue_bound) = (16, 6.0);
    put(&mut controller, 0..6, RequestState::Queued);
    controller.on_arrival(S, arrival(9));
    assert_eq!(controller.queue.len(), 6);
    assert!(controller.host.effects.contains(&Effect::Reject(9, false)));
}

#[test]
fn random_rejection_rests_while_cores_show_room() {
    let mut controller = controller(deployment());
    (
        controller.running,
        controller.beta_red.queue_bound,
        controller.beta_red.averaged_queue,
        controller.concurrency.busy_share,
    ) = (17, 26.0, 26.0, 0.5);
    put(&mut controller, 0..20, RequestState::Queued);
    controller.on_arrival(MS, arrival(99));
    assert_eq!(controller.queue.len(), 21);
}

/// An arrival that claims to be old once counted as a queue of that length: the claim of an
/// unidentified peer closed the node to everybody for a dozen arrivals.
#[test]
fn one_arrival_cannot_stand_for_more_than_the_queue_bound() {
    let mut controller = controller(deployment());
    controller.beta_red.arrival_rate = 100.0;
    controller.on_arrival(
        100 * S,
        Arrival {
            age: 50 * S,
            ..arrival(1)
        },
    );
    assert_eq!(
        controller.beta_red.averaged_queue,
        AVERAGING_WEIGHT * controller.beta_red.queue_bound
    );
}
