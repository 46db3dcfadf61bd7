use super::*;

#[test]
fn doubt_grows_by_what_points_to_oneself_and_is_bounded() {
    let mut health = LocalHealth::default();
    health.probe_failed(3, 0); // helpers spoke: the other is gone
    assert_eq!(health.doubt(), 0);
    health.probe_failed(3, 2);
    health.suspected();
    assert_eq!((health.doubt(), health.health_factor()), (3, 4));
    (0..9).for_each(|_| health.paused());
    assert_eq!(health.doubt(), SCORE_MAX);
    (0..20).for_each(|_| health.answered());
    assert_eq!(health.health_factor(), 1);
}
