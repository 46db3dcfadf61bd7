use super::*;

#[test]
fn a_flood_from_unproven_sources_does_not_displace_proven_ones() {
    let (proven, unproven) = (
        SocketAddr::from(([127, 0, 0, 1], 1)),
        SocketAddr::from(([127, 0, 0, 1], 2)),
    );
    let mut receive_limiter = ReceiveLimiter::new(10);
    receive_limiter.mark_proven(proven);
    let admitted = (0..10_000)
        .filter(|_| receive_limiter.admits(SECOND, unproven))
        .count();
    assert_eq!(admitted, RATES[1] as usize);
    assert!(receive_limiter.admits(SECOND, proven));
    assert!(
        !receive_limiter.admits(SECOND, unproven) && receive_limiter.admits(2 * SECOND, unproven)
    );
}
