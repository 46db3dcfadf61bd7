//! The memory bound.

use super::*;

#[test]
fn memory_bounds_admission() {
    let mut controller = controller(deployment());
    controller.memory.counted_kb = 4245.0; // doubled until the gauge has been read
    controller.on_arrival(MS, arrival(1));
    assert_eq!(controller.host.effects, [Effect::Reject(1, false)]);
}

#[test]
fn memory_count_learns_from_the_gauge() {
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
