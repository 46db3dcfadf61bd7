use super::*;

#[test]
fn a_flood_from_unproven_sources_does_not_displace_proven_ones() {
    let (good, bad) = (
        SocketAddr::from(([127, 0, 0, 1], 1)),
        SocketAddr::from(([127, 0, 0, 1], 2)),
    );
    let mut receive_limiter = ReceiveLimiter::new(10);
    receive_limiter.mark_proven(good);
    let admitted = (0..10_000)
        .filter(|_| receive_limiter.admits(SECOND, bad))
        .count();
    assert_eq!(admitted, RATES[1] as usize);
    assert!(receive_limiter.admits(SECOND, good));
    assert!(!receive_limiter.admits(SECOND, bad) && receive_limiter.admits(2 * SECOND, bad));
}
