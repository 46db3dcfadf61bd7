//! Random rejection: refusal curve, averaged queue length, walk and targets.

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
        let probability = controller.beta_red.rejection_probability();
        assert!(
            (low..=high).contains(&probability) && probability > last,
            "at {q}: {probability}"
        );
        last = probability;
    }
}

#[test]
fn each_arrival_moves_the_average_by_its_weight() {
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..10, RequestState::Queued);
    controller.beta_red.averaged_queue = 20.0;
    observe_arrival(&mut controller, 0);
    assert!((controller.beta_red.averaged_queue - 17.0).abs() < 1e-9);
}

#[test]
fn unread_requests_count_as_queued() {
    // Guards against slow reading that hides the queue: the queue was empty while requests waited
    // unread for 0.6 s.
    let mut controller = controller(deployment());
    controller.beta_red.arrival_rate = 20.0;
    observe_arrival(&mut controller, 500 * MS);
    assert!(
        (controller.beta_red.queue_length - 10.0).abs() < 1e-9
            && (controller.beta_red.averaged_queue - 3.0).abs() < 1e-9
    );
}

#[test]
fn walk_moves_the_virtual_target_by_the_error_within_its_bounds() {
    let mut controller = controller(deployment());
    insert_requests(&mut controller, 0..10, RequestState::Queued);
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
        "never less than the number of cores"
    );
    (
        controller.beta_red.target,
        controller.beta_red.averaged_queue,
        controller.beta_red.virtual_target,
    ) = (1e4, 0.0, 20.0);
    walk(&mut controller);
    assert_eq!(
        controller.beta_red.virtual_target, 39.0,
        "never more than B - 1"
    );
}

#[test]
fn the_virtual_target_returns_to_the_target_while_cpu_is_spare() {
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
    controller.beta_red.completions[3] = 100.0; // 40 per second
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
    insert_requests(&mut controller, 0..6, RequestState::Queued);
    controller.on_arrival(S, arrival(9));
    assert_eq!(controller.queue.len(), 6);
    assert!(controller.host.effects.contains(&Effect::Reject(9, false)));
}

#[test]
fn random_rejection_is_paused_while_cpu_is_spare() {
    let mut controller = controller(deployment());
    (
        controller.running,
        controller.beta_red.queue_bound,
        controller.beta_red.averaged_queue,
        controller.concurrency.busy_share,
    ) = (17, 26.0, 26.0, 0.5);
    insert_requests(&mut controller, 0..20, RequestState::Queued);
    controller.on_arrival(MS, arrival(99));
    assert_eq!(controller.queue.len(), 21);
}

/// Guards against an arrival with a large claimed age that counts as an equally long queue: such a
/// claim by an unidentified peer made the node reject all requests for a dozen arrivals.
#[test]
fn one_arrival_counts_for_at_most_the_queue_bound() {
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
