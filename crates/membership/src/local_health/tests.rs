use super::*;

#[test]
fn the_score_rises_with_signs_of_a_local_fault_and_is_bounded() {
    let mut health = LocalHealth::default();
    health.probe_failed(3, 0); // all relays replied: the fault is the target's
    assert_eq!(health.score(), 0);
    health.probe_failed(3, 2);
    health.suspected();
    assert_eq!((health.score(), health.health_factor()), (3, 4));
    (0..9).for_each(|_| health.paused());
    assert_eq!(health.score(), SCORE_MAX);
    (0..20).for_each(|_| health.answered());
    assert_eq!(health.health_factor(), 1);
}
