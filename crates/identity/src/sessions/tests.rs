use super::*;
use crate::Bundle;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Nanos = 1_000_000_000;
const START: Nanos = 1_000_000 * SECOND;

/// Builds bundles whose authorities are single bytes instead of certificates: [`Sessions`] only
/// compares their digests.
fn bundles(domains: &[(&str, &[u8])]) -> Bundles {
    let mut bundles = Bundles::default();
    domains
        .iter()
        .for_each(|(domain, roots)| trust(&mut bundles, domain, roots));
    bundles
}

fn trust(bundles: &mut Bundles, domain: &str, roots: &[u8]) {
    let x509 = roots.iter().map(|root| vec![*root]).collect();
    bundles.offer(
        &domain.parse().unwrap(),
        Bundle {
            x509,
            ..Bundle::default()
        },
    );
}

fn verified(id: &str, root: u8, life: Nanos, bundles: &Bundles) -> VerifiedSvid {
    VerifiedSvid {
        id: id.parse().unwrap(),
        not_before: START,
        not_after: START + life,
        authority: authority(&[root]),
        bundles: bundles.version(),
    }
}

const ID: &str = "spiffe://saha.example/site/7";

fn allow(_: &SpiffeId) -> PolicyDecision {
    PolicyDecision::Allow
}

#[test]
fn reads_after_expiry_are_refused_whether_or_not_the_timer_has_fired() {
    let trusted = bundles(&[("saha.example", &[1])]);
    let mut sessions = Sessions::new(5 * SECOND);
    for conn in [1, 2] {
        sessions
            .opened(
                START,
                conn,
                &verified(ID, 1, 60 * SECOND, &trusted),
                &trusted,
            )
            .unwrap();
    }
    let end = START + 65 * SECOND;
    assert_eq!(sessions.next(), Some(end));
    assert_eq!(
        sessions.read(end - 1, 1, allow),
        Some(SessionStatus::Served)
    );
    // Connection 1 is read before the timer fires, connection 2 after that.
    assert_eq!(sessions.read(end, 1, allow), Some(SessionStatus::Expired));
    assert_eq!(sessions.on_timer(end), [(2, CloseReason::Expired)]);
    assert_eq!(sessions.read(end, 2, allow), Some(SessionStatus::Expired));
    // A clock that steps back does not make an expired connection valid again.
    assert_eq!(sessions.read(START, 2, allow), Some(SessionStatus::Expired));
    assert_eq!((sessions.counters().expired, sessions.next()), (2, None));
    assert_eq!(
        sessions.read(end, 3, allow),
        None,
        "opened without an identity"
    );
    sessions.closed(1);
    assert_eq!(
        (sessions.len(), sessions.id(2).unwrap().path()),
        (1, "/site/7")
    );
    // An expired identity cannot open a connection; the grace is bounded.
    let late = sessions.opened(end, 4, &verified(ID, 1, 60 * SECOND, &trusted), &trusted);
    assert_eq!(late, Err(CloseReason::Expired));
    assert_eq!(Sessions::new(u64::MAX).grace, SKEW_MOST);
}

#[test]
fn removing_an_authority_closes_only_connections_with_identities_it_issued() {
    let mut trusted = bundles(&[("saha.example", &[1, 2]), ("other.example", &[1])]);
    let mut sessions = Sessions::new(0);
    let other = "spiffe://other.example/site/7";
    for (conn, id, root) in [(1, ID, 1), (2, ID, 2), (3, other, 1)] {
        sessions
            .opened(
                START,
                conn,
                &verified(id, root, 600 * SECOND, &trusted),
                &trusted,
            )
            .unwrap();
    }
    assert_eq!(sessions.on_bundles_changed(START, &trusted), []);
    // Adding a root affects no connection.
    trust(&mut trusted, "saha.example", &[1, 2, 3]);
    assert_eq!(sessions.on_bundles_changed(START, &trusted), []);
    // Root 1 is removed from one domain and stays in the other.
    let checked_before = verified(ID, 1, 600 * SECOND, &trusted);
    trust(&mut trusted, "saha.example", &[2, 3]);
    assert_eq!(
        sessions.on_bundles_changed(START, &trusted),
        [(1, CloseReason::Withdrawn)]
    );
    assert_eq!(
        sessions.read(START, 1, allow),
        Some(SessionStatus::Withdrawn)
    );
    assert_eq!(sessions.read(START, 2, allow), Some(SessionStatus::Served));
    assert_eq!(sessions.read(START, 3, allow), Some(SessionStatus::Served));
    // A withdrawn connection is reported once, and stays withdrawn when the root is added again.
    trust(&mut trusted, "saha.example", &[1, 2]);
    assert_eq!(sessions.on_bundles_changed(START, &trusted), []);
    assert_eq!(
        sessions.read(START, 1, allow),
        Some(SessionStatus::Withdrawn)
    );
    // A handshake that was checked with the previous bundles and completes after the change.
    trust(&mut trusted, "saha.example", &[2]);
    assert_eq!(
        sessions.opened(START, 9, &checked_before, &trusted),
        Err(CloseReason::Withdrawn)
    );
    // A trust domain that is withdrawn as a whole.
    trusted.withdraw(&"other.example".parse().unwrap());
    assert_eq!(
        sessions.on_bundles_changed(START, &trusted),
        [(3, CloseReason::Withdrawn)]
    );
    assert_eq!(sessions.counters().withdrawn, 2);
}

#[test]
fn the_policy_is_evaluated_once_until_the_policy_or_the_bundles_change() {
    let mut trusted = bundles(&[("saha.example", &[1])]);
    let mut sessions = Sessions::new(0);
    sessions
        .opened(START, 1, &verified(ID, 1, 600 * SECOND, &trusted), &trusted)
        .unwrap();
    let evaluations = std::cell::Cell::new(0);
    let denies = std::cell::Cell::new(false);
    let reason: Rc<str> = "not for this site".into();
    let policy = |id: &SpiffeId| {
        evaluations.set(evaluations.get() + 1);
        assert_eq!(id.as_str(), ID);
        if denies.get() {
            PolicyDecision::Deny {
                status: 403,
                reason: Rc::clone(&reason),
            }
        } else {
            PolicyDecision::Allow
        }
    };
    for _ in 0..10 {
        assert_eq!(sessions.read(START, 1, policy), Some(SessionStatus::Served));
    }
    assert_eq!(evaluations.get(), 1);
    denies.set(true);
    assert_eq!(
        sessions.read(START, 1, policy),
        Some(SessionStatus::Served),
        "the cached decision holds until policy_changed is called"
    );
    sessions.policy_changed();
    assert!(matches!(
        sessions.read(START, 1, policy),
        Some(SessionStatus::Denied(_))
    ));
    trust(&mut trusted, "saha.example", &[1, 2]);
    sessions.on_bundles_changed(START, &trusted);
    assert!(matches!(
        sessions.read(START, 1, policy),
        Some(SessionStatus::Denied(_))
    ));
    assert_eq!(
        (
            evaluations.get(),
            sessions.counters().asked,
            sessions.counters().denied
        ),
        (3, 3, 2)
    );
}

/// Opens and closes connections and changes the authorities at random, and compares the status of
/// each connection with a model that re-evaluates all connections after each change.
#[test]
fn random_events_give_the_same_status_as_a_simple_model() {
    for seed in 0..40 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut roots: Vec<u8> = vec![1, 2, 3];
        let mut trusted = bundles(&[("saha.example", &roots)]);
        let mut sessions = Sessions::new(2 * SECOND);
        // Per connection: end with the grace, root, whether it has expired or was withdrawn.
        let mut model: HashMap<ConnectionId, (Nanos, u8, bool)> = HashMap::new();
        let mut now = START;
        for conn in 0..400u64 {
            now += rng.random_range(0..3 * SECOND);
            let root = rng.random_range(1..=4u8);
            let life = rng.random_range(1..60) * SECOND;
            let mut svid = verified(ID, root, 0, &trusted);
            svid.not_after = now + life;
            svid.bundles = 0; // checked with older bundles, so the authority is looked up again
            let opened = sessions.opened(now, conn, &svid, &trusted).is_ok();
            assert_eq!(opened, roots.contains(&root), "seed {seed}");
            if opened {
                model.insert(conn, (now + life + 2 * SECOND, root, false));
            }
            if rng.random_range(0..10) == 0 {
                let root = rng.random_range(1..=4u8);
                if roots.contains(&root) {
                    roots.retain(|r| *r != root)
                } else {
                    roots.push(root)
                }
                trust(&mut trusted, "saha.example", &roots);
                sessions.on_bundles_changed(now, &trusted);
                model
                    .values_mut()
                    .for_each(|(end, root, ended)| *ended |= *end <= now || !roots.contains(root));
            }
            if rng.random_range(0..3) == 0 {
                sessions.on_timer(now);
            }
            let any_conn = rng.random_range(0..=conn);
            if rng.random_range(0..5) == 0 {
                sessions.closed(any_conn);
                model.remove(&any_conn);
            }
            for (conn, (end, _, ended)) in &model {
                let served = sessions.read(now, *conn, allow) == Some(SessionStatus::Served);
                assert_eq!(
                    served,
                    !ended && *end > now,
                    "seed {seed}, connection {conn}"
                );
            }
            assert_eq!(sessions.len(), model.len());
        }
    }
}
