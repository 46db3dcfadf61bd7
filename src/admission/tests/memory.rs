//! The memory bound.

use super::*;

#[test]
fn a_request_that_does_not_fit_in_memory_is_rejected() {
    let mut controller = controller(deployment());
    controller.memory.counted_kb = 4245.0; // doubled by the initial gauge factor
    controller.on_arrival(MS, arrival(1));
    assert_eq!(controller.host.effects, [Effect::Reject(1, false)]);
}

#[test]
fn the_gauge_factor_rises_at_once_and_falls_slowly() {
    let mut controller = controller(deployment());
    controller.memory.counted_kb = 1000.0;
    controller.memory.update(
        0,
        &Gauges {
            memory_used: Some(0.3),
            ..Gauges::default()
        },
    );
    assert!((controller.memory.gauge_factor - 3.0).abs() < 1e-9);
    controller.memory.update(
        0,
        &Gauges {
            memory_used: Some(0.1),
            ..Gauges::default()
        },
    );
    assert!((controller.memory.gauge_factor - 2.8).abs() < 1e-9);
}
